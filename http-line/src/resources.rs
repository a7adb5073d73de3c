//! What an event loop shares with the rest of its process.

use crate::prelude::*;

/// Shared resources of an event loop, and its part of them.
#[derive(Debug, Clone)]
pub struct Resources {
    /// Rate of the machine's link, by which responses are paced; `None`: no pacing.
    pub send_rate: Option<Arc<SendRate>>,
    /// Budget of the bytes held for clients.
    pub byte_budget: Arc<ByteBudget>,
}

/// No pacing, and no limit.
impl Default for Resources {
    fn default() -> Resources {
        Resources {
            send_rate: None,
            byte_budget: Arc::new(ByteBudget::new(usize::MAX, usize::MAX)),
        }
    }
}
