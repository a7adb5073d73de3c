//! Limits of the client connections and of the memory held for them: which connection
//! yields to another, and which is refused.

use super::*;

/// Minimum time between two searches for stalled bodies.
const EVICTION_INTERVAL: Duration = Duration::from_millis(20);
/// Maximum number of connections that linger after their last response; above it, a
/// connection is closed at once.
const MAX_LINGERING: usize = 32;
/// Number of connections above the limit that listeners other than the first may use, so
/// that clients do not crowd out readiness checks.
const RESERVED_CONNECTIONS: usize = 8;
/// Number of connections above the limit that are open only to be refused.
const MAX_REFUSING: usize = 16;

/// Numbers of the client connections, and their limit.
pub(super) struct ConnectionCounts {
    limit: usize,
    serving: usize,
    lingering: usize,
}

impl ConnectionCounts {
    pub(super) fn new(limit: usize) -> ConnectionCounts {
        ConnectionCounts {
            limit,
            serving: 0,
            lingering: 0,
        }
    }

    /// Returns true if another connection of this listener has a place.
    fn has_place(&self, listener: usize) -> bool {
        let reserved = if listener == 0 {
            0
        } else {
            RESERVED_CONNECTIONS
        };
        self.serving < self.limit.saturating_add(reserved)
    }

    /// Returns true if a connection may be accepted to tell its client that it is refused.
    fn may_refuse(&self) -> bool {
        self.serving
            < self
                .limit
                .saturating_add(RESERVED_CONNECTIONS + MAX_REFUSING)
    }

    /// Returns true if another connection may linger.
    pub(super) fn may_linger(&self) -> bool {
        self.lingering < MAX_LINGERING
    }

    pub(super) fn record_accepted(&mut self) {
        self.serving += 1;
    }

    pub(super) fn record_linger(&mut self) {
        self.serving -= 1;
        self.lingering += 1;
    }

    pub(super) fn record_closed(&mut self, role: &Role) {
        match role {
            Role::Server { .. } => self.serving -= 1,
            Role::Linger { .. } => self.lingering -= 1,
            Role::Client(_) => {}
        }
    }
}

/// What becomes of a new connection.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum ConnectionAdmission {
    /// It is served.
    Serve,
    /// It gets a response that tells the client to come back.
    Refuse,
    /// It is closed without a response.
    Drop,
}

impl EventLoop {
    /// Decides about a new connection, for which another one may have to yield.
    pub(super) fn admit_connection(&mut self, listener: usize) -> ConnectionAdmission {
        if self.connection_counts.has_place(listener) {
            return ConnectionAdmission::Serve;
        }
        self.replace_connection();
        if self.connection_counts.has_place(listener) {
            return ConnectionAdmission::Serve;
        }
        let refused = &self.shared.refused_connections;
        refused.fetch_add(1, Ordering::Relaxed);
        match self.connection_counts.may_refuse() {
            true => ConnectionAdmission::Refuse,
            false => ConnectionAdmission::Drop,
        }
    }

    /// Ends the connection that has waited longest for its client, if there is one.
    fn replace_connection(&mut self) {
        let replaceable = self.connections.iter().filter_map(|(token, connection)| {
            let Role::Server { connection, .. } = &connection.role else {
                return None;
            };
            Some((connection.replaceable_since(self.now)?, *token))
        });
        if let Some((_, token)) = replaceable.min() {
            self.reject_stalled(token);
            self.drive(token);
        }
    }

    /// Ends stalled bodies, the largest first, and then responses that are not read, until
    /// this many bytes fit for a body that already has `held` bytes.
    pub(super) fn make_room(&mut self, held: usize, additional: usize) {
        if self.byte_budget.has_room(held, additional) || self.now < self.next_eviction {
            return;
        }
        self.next_eviction = self.now + EVICTION_INTERVAL;
        self.end_stalled_bodies(held, additional);
        self.end_stalled_responses(held, additional);
    }

    fn end_stalled_bodies(&mut self, held: usize, additional: usize) {
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

    /// Closes connections whose clients have read nothing of their responses for a while.
    fn end_stalled_responses(&mut self, held: usize, additional: usize) {
        let stalled = self.connections.iter().filter_map(|(token, connection)| {
            let Role::Server {
                connection: server, ..
            } = &connection.role
            else {
                return None;
            };
            let since = server.stalled_responses_since(self.now)?;
            connection.write_blocked.then_some((since, *token))
        });
        let mut stalled: Vec<(Instant, usize)> = stalled.collect();
        stalled.sort_unstable();
        for (_, token) in stalled {
            if self.byte_budget.has_room(held, additional) {
                return;
            }
            self.byte_budget.record_refusal();
            self.close(token);
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
