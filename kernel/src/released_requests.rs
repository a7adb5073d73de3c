//! Requests that released their claim of an operation key.

use crate::prelude::*;

/// Maximum number of released requests remembered per operation key. Clients make a few
/// tries with one key, and a claim is delayed by seconds at most.
pub const RELEASED_REQUESTS: usize = 16;

/// A request of an edge.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
struct EdgeRequest {
    edge: Peer,
    id: u64,
}

/// Requests that released their claim of an operation key and have ended, oldest first. A
/// claim of such a request may still arrive, since claims are sent through several nodes;
/// it must not take the key. Invariant: at most `RELEASED_REQUESTS` of them.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct ReleasedRequests {
    requests: VecDeque<EdgeRequest>,
}

impl ReleasedRequests {
    /// Returns true if no request is remembered.
    pub fn is_empty(&self) -> bool {
        self.requests.is_empty()
    }

    /// Returns true if this request of the edge is remembered.
    pub fn contains(&self, edge: Peer, id: u64) -> bool {
        self.requests.contains(&EdgeRequest { edge, id })
    }

    /// Adds a request unless it is remembered already; drops the oldest if there are too
    /// many.
    pub fn remember(&mut self, edge: Peer, id: u64) {
        if self.contains(edge, id) {
            return;
        }
        self.requests.push_back(EdgeRequest { edge, id });
        if self.requests.len() > RELEASED_REQUESTS {
            self.requests.pop_front();
        }
    }
}
