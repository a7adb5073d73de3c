//! The queue of permit requests that have been neither granted nor refused.
use crate::prelude::*;

/// An edge's request for a permit.
pub(super) struct WaitingRequest {
    pub(super) from: SocketAddr,
    pub(super) id: u64,
    pub(super) rank: u32,
    /// Number in order of arrival.
    serial: u64,
    /// The time at which the request was queued or last refreshed.
    pub(super) queued_at: Duration,
    /// The time at which the edge sent the request, on the edge's clock.
    pub(super) sent: Duration,
    pub(super) deadline: Duration,
    pub(super) is_retry: bool,
    pub(super) call_timeout: Duration,
    /// The time by which the client should have its response.
    latency_target: Duration,
    pub(super) zone: String,
    pub(super) region: String,
    /// Origins that have failed this request.
    pub(super) excluded_origins: Vec<SocketAddr>,
}

impl WaitingRequest {
    pub(super) fn new(
        now: Duration,
        from: SocketAddr,
        serial: u64,
        request: PermitRequest,
    ) -> WaitingRequest {
        WaitingRequest {
            from,
            id: request.id,
            rank: request.rank,
            serial,
            queued_at: now,
            sent: request.sent,
            deadline: now + request.max_wait,
            is_retry: request.is_retry,
            call_timeout: request.call_timeout,
            latency_target: now + request.latency_target,
            zone: request.zone,
            region: request.region,
            excluded_origins: request.excluded_origins,
        }
    }

    /// Returns true if this is the request of that edge with that id.
    pub(super) fn is(&self, from: SocketAddr, id: u64) -> bool {
        (self.from, self.id) == (from, id)
    }
}

/// The waiting permit requests. `take_in_order` sorts them.
#[derive(Default)]
pub(super) struct WaitingQueue {
    requests: Vec<WaitingRequest>,
}

impl WaitingQueue {
    pub(super) fn len(&self) -> usize {
        self.requests.len()
    }

    pub(super) fn find(&mut self, from: SocketAddr, id: u64) -> Option<&mut WaitingRequest> {
        self.requests
            .iter_mut()
            .find(|waiting| waiting.is(from, id))
    }

    pub(super) fn push(&mut self, waiting: WaitingRequest) {
        self.requests.push(waiting);
    }

    /// Removes matching requests. Returns true if there were any.
    pub(super) fn remove_where(&mut self, removed: &dyn Fn(&WaitingRequest) -> bool) -> bool {
        let before = self.requests.len();
        self.requests.retain(|waiting| !removed(waiting));
        self.requests.len() < before
    }

    /// Takes all requests out, highest rank first. Within a rank, requests that would
    /// meet their latency target with a call that ends at `call_end` precede those that
    /// would not.
    pub(super) fn take_in_order(&mut self, call_end: Duration) -> Vec<WaitingRequest> {
        self.requests.sort_by_key(|waiting| {
            (
                std::cmp::Reverse(waiting.rank),
                call_end > waiting.latency_target,
                waiting.serial,
            )
        });
        std::mem::take(&mut self.requests)
    }

    /// Puts back the requests that are still waiting.
    pub(super) fn restore(&mut self, still_waiting: Vec<WaitingRequest>) {
        self.requests = still_waiting;
    }
}
