//! Which connections to other addresses are open, and which of them idle.

#[cfg(test)]
mod tests;

use crate::prelude::*;

/// Connections to other addresses, by their tokens. Invariant: `open` counts the
/// idle ones too.
#[derive(Default)]
pub(crate) struct Pool {
    addresses: HashMap<SocketAddr, AddressConnections>,
}

#[derive(Default)]
struct AddressConnections {
    /// The one used last is last.
    idle: Vec<usize>,
    open: usize,
}

impl Pool {
    /// Takes the idle connection used last among those that fit.
    pub(crate) fn take(
        &mut self,
        address: SocketAddr,
        fits: impl Fn(usize) -> bool,
    ) -> Option<usize> {
        let idle = &mut self.addresses.get_mut(&address)?.idle;
        let index = idle.iter().rposition(|token| fits(*token))?;
        Some(idle.remove(index))
    }

    /// Adds an idle connection.
    pub(crate) fn put(&mut self, address: SocketAddr, token: usize) {
        self.addresses.entry(address).or_default().idle.push(token);
    }

    /// How many connections there are to the address.
    pub(crate) fn open_count(&self, address: SocketAddr) -> usize {
        self.addresses.get(&address).map_or(0, |known| known.open)
    }

    /// Counts a new connection.
    pub(crate) fn record_opened(&mut self, address: SocketAddr) {
        self.addresses.entry(address).or_default().open += 1;
    }

    /// Forgets a connection that has ended.
    pub(crate) fn record_closed(&mut self, address: SocketAddr, token: usize) {
        if let Some(known) = self.addresses.get_mut(&address) {
            known.idle.retain(|idle| *idle != token);
            known.open -= 1;
            if known.open == 0 {
                self.addresses.remove(&address);
            }
        }
    }
}
