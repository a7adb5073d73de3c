//! What an event loop shares with the rest of its process.

use crate::prelude::*;

/// Shared resources of an event loop, and its part of them.
#[derive(Debug, Clone)]
pub struct Resources {
    /// Rate of the machine's link, by which responses are paced; `None`: no pacing.
    pub send_rate: Option<Arc<SendRate>>,
    /// Budget of the bytes held for clients.
    pub byte_budget: Arc<ByteBudget>,
    /// Maximum number of client connections. Above it, an idle or stalled connection is
    /// closed, or the new one is refused.
    pub max_client_connections: usize,
    /// Number of connections for calls above which an idle one is closed before another is
    /// opened. The caller bounds the number of calls.
    pub max_call_connections: usize,
}

/// No pacing, and no limits.
impl Default for Resources {
    fn default() -> Resources {
        Resources {
            send_rate: None,
            byte_budget: Arc::new(ByteBudget::new(usize::MAX, usize::MAX)),
            max_client_connections: usize::MAX,
            max_call_connections: usize::MAX,
        }
    }
}
