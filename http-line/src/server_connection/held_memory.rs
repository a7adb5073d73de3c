//! Memory that a connection holds beside the bodies of its requests: buffered input, bytes
//! that arrived while it is not read, and responses.

use super::*;

/// Bytes that may arrive on a connection that is not read: the size of its receive buffer,
/// which the system doubles.
const UNREAD_BYTES: usize = 2 * RECEIVE_BUFFER_BYTES;
/// Size of the receive buffer of a client connection, in bytes.
pub(crate) const RECEIVE_BUFFER_BYTES: usize = 32 * 1024;
/// Time after which a body is stalled unless `MIN_PROGRESS_BYTES` have arrived.
const STALL_TIME: Duration = Duration::from_secs(1);
/// Time after which a response of which the client reads nothing is stalled.
const RESPONSE_STALL_TIME: Duration = Duration::from_secs(5);
/// Number of body bytes that are progress.
const MIN_PROGRESS_BYTES: usize = 16 * 1024;

/// Memory of one connection that is counted against the budget of the process.
pub(super) struct HeldMemory {
    pub(super) budget: Arc<ByteBudget>,
    input: Reservation,
    responses: Reservation,
    /// True if all further input is read and discarded, because no memory is left to
    /// keep it.
    pub(super) discards_input: bool,
}

impl HeldMemory {
    pub(super) fn within(budget: &Arc<ByteBudget>) -> HeldMemory {
        HeldMemory {
            budget: budget.clone(),
            input: Reservation::empty(budget),
            responses: Reservation::empty(budget),
            discards_input: false,
        }
    }
}

impl BodyProgressMark {
    pub(super) fn start(now: Instant) -> BodyProgressMark {
        BodyProgressMark {
            at: now,
            body_bytes: 0,
            received_at: now,
        }
    }

    /// Records that bytes have arrived, and moves the mark if they are enough.
    pub(super) fn update(&mut self, body_bytes: usize, now: Instant) {
        self.received_at = now;
        if body_bytes >= self.body_bytes + MIN_PROGRESS_BYTES {
            self.at = now;
            self.body_bytes = body_bytes;
        }
    }
}

impl ServerConnection {
    /// Counts the buffered input, what may arrive while nothing is read, and the
    /// responses. If the input does not fit, what was read is still answered, and the rest
    /// is discarded.
    pub fn count_held_memory(&mut self, limits: &Limits) {
        self.held_memory.responses.set(self.response_bytes());
        let is_read = self.read_closed || self.wants_read(limits);
        let unread_bytes = if is_read { 0 } else { UNREAD_BYTES };
        let input_bytes = self.input.len() + unread_bytes;
        if self.held_memory.input.resize(input_bytes).is_err() {
            self.discard_further_input(is_read);
        }
    }

    fn discard_further_input(&mut self, is_read: bool) {
        self.held_memory.budget.record_refusal();
        self.held_memory.discards_input = true;
        if is_read && !self.closing {
            self.reject(503, "no memory is left for the request");
        } else if !self.closing {
            self.stop_reading_requests();
        }
        self.held_memory.input.clear();
    }

    /// Number of bytes in responses that are not written yet. Bytes that others hold too,
    /// such as a cache, are counted there.
    fn response_bytes(&self) -> usize {
        let pending = self
            .pending_requests
            .iter()
            .filter_map(|pending| pending.response.as_ref())
            .filter(|response| response.body.is_unshared())
            .map(|response| response.body.len());
        pending.sum::<usize>() + self.output.unshared_bytes()
    }

    /// Number of body bytes that a read of this many bytes adds to, if a body is being
    /// read.
    pub fn partial_body_bytes(&self) -> Option<usize> {
        self.partial.as_ref().map(|partial| partial.body.body.len())
    }

    /// Number of bytes of the body that is being read, if too little of it has arrived
    /// lately.
    pub fn stalled_body_bytes(&self, now: Instant) -> Option<usize> {
        let partial = self.partial.as_ref()?;
        let is_stalled = now >= partial.progress.at + STALL_TIME;
        is_stalled.then_some(partial.body.body.len())
    }

    /// Time of the last progress of the responses, if the client reads nothing of them and
    /// they hold memory.
    pub fn stalled_responses_since(&self, now: Instant) -> Option<Instant> {
        let is_stalled = now >= self.last_progress + RESPONSE_STALL_TIME;
        let holds_memory = self.response_bytes() > 0 && !self.output.is_empty();
        (is_stalled && holds_memory).then_some(self.last_progress)
    }

    /// Rejects the request whose body or head is stalled, so that others can be served.
    pub fn reject_stalled(&mut self) {
        self.reject(
            408,
            "the request made no progress, and others need its place",
        );
    }

    /// Rejects the first request of a connection for which there is no place.
    pub fn refuse(&mut self) {
        self.reject(503, "too many connections are open");
    }

    /// Time since which the connection has only waited for its client, if its place can be
    /// given to another: it is idle, or the request that it reads is stalled.
    pub fn replaceable_since(&self, now: Instant) -> Option<Instant> {
        if self.closing || !self.pending_requests.is_empty() || !self.output.is_empty() {
            return None;
        }
        if !self.is_busy() {
            return Some(self.last_progress);
        }
        let progress = self
            .partial
            .as_ref()
            .map_or(self.request_started, |partial| partial.progress.at);
        (now >= progress + STALL_TIME).then_some(progress)
    }
}
