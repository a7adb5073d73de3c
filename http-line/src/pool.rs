//! Pool of connections to other addresses.

#[cfg(test)]
mod tests;

use crate::prelude::*;

/// Tokens of the connections to other addresses. Invariant: `open` also counts the
/// idle connections.
#[derive(Default)]
pub(crate) struct Pool {
    addresses: HashMap<SocketAddr, AddressConnections>,
    /// Number of open connections to all addresses.
    open: usize,
}

#[derive(Default)]
struct AddressConnections {
    /// Tokens of the idle connections, most recently used last.
    idle: Vec<usize>,
    /// Number of open connections, idle or in use.
    open: usize,
}

impl Pool {
    /// Takes the most recently used idle connection that satisfies `is_suitable`.
    pub(crate) fn take(
        &mut self,
        address: SocketAddr,
        is_suitable: impl Fn(usize) -> bool,
    ) -> Option<usize> {
        let idle = &mut self.addresses.get_mut(&address)?.idle;
        let index = idle.iter().rposition(|token| is_suitable(*token))?;
        Some(idle.remove(index))
    }

    /// Takes an idle connection to any address.
    pub(crate) fn take_any(&mut self) -> Option<usize> {
        let mut addresses = self.addresses.values_mut();
        let connections = addresses.find(|connections| !connections.idle.is_empty())?;
        Some(connections.idle.remove(0))
    }

    /// Number of open connections to all addresses.
    pub(crate) fn total_open_count(&self) -> usize {
        self.open
    }

    /// Adds an idle connection.
    pub(crate) fn put(&mut self, address: SocketAddr, token: usize) {
        self.addresses.entry(address).or_default().idle.push(token);
    }

    /// Number of open connections to the address.
    pub(crate) fn open_count(&self, address: SocketAddr) -> usize {
        self.addresses
            .get(&address)
            .map_or(0, |connections| connections.open)
    }

    /// Records that a connection was opened.
    pub(crate) fn record_opened(&mut self, address: SocketAddr) {
        self.addresses.entry(address).or_default().open += 1;
        self.open += 1;
    }

    /// Records that a connection was closed.
    pub(crate) fn record_closed(&mut self, address: SocketAddr, token: usize) {
        if let Some(connections) = self.addresses.get_mut(&address) {
            connections.idle.retain(|idle| *idle != token);
            connections.open -= 1;
            self.open -= 1;
            if connections.open == 0 {
                self.addresses.remove(&address);
            }
        }
    }
}
