//! Limit of the memory held for clients: which body yields to others.

use super::*;

/// Minimum time between two searches for stalled bodies.
const EVICTION_INTERVAL: Duration = Duration::from_millis(20);
impl EventLoop {
    /// Ends stalled bodies, the largest first, until this many bytes fit for a body that
    /// already has `held` bytes.
    pub(super) fn make_room(&mut self, held: usize, additional: usize) {
        if self.byte_budget.has_room(held, additional) || self.now < self.next_eviction {
            return;
        }
        self.next_eviction = self.now + EVICTION_INTERVAL;
        let stalled = self.connections.iter().filter_map(|(token, connection)| {
            let Role::Server { connection, .. } = &connection.role else {
                return None;
            };
            Some((connection.stalled_body_bytes(self.now)?, *token))
        });
        let mut stalled: Vec<(usize, usize)> = stalled.collect();
        stalled.sort_unstable();
        while let Some((_, token)) = stalled.pop() {
            if self.byte_budget.has_room(held, additional) {
                return;
            }
            self.byte_budget.record_refusal();
            self.reject_stalled(token);
            self.ready.push(token);
        }
    }

    fn reject_stalled(&mut self, token: usize) {
        if let Some(connection) = self.connections.get_mut(&token)
            && let Role::Server { connection, .. } = &mut connection.role
        {
            connection.reject_stalled();
        }
    }
}
