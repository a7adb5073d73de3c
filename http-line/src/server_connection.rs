//! Protocol state of a client connection, without its socket.

#[cfg(test)]
mod tests;

mod held_memory;
mod reader;
mod writer;

use crate::prelude::*;
use held_memory::HeldMemory;
pub(crate) use held_memory::RECEIVE_BUFFER_BYTES;

/// Protocol state of one client connection, without its socket. Invariants:
/// - `pending_requests` holds the requests without a written response, oldest first, with
///   consecutive sequence numbers; a response is written once it and all earlier
///   responses are available.
/// - No input is parsed after `closing` was set.
/// - `input` holds the start of a head, or bytes received while paused.
pub struct ServerConnection {
    peer: SocketAddr,
    /// Creates the responses to invalid input that is rejected here.
    handler: Arc<dyn Handler>,
    input: Vec<u8>,
    /// Number of bytes at the start of `input` known not to contain the end of a head.
    scanned_bytes: usize,
    /// The request whose body is being read.
    partial: Option<PartialRequest>,
    pending_requests: VecDeque<PendingRequest>,
    /// Sequence number of the next request.
    next_sequence: u64,
    /// Response bytes that are still to be written.
    pub output: SendQueue,
    /// True once no further requests are read; the connection is closed after the
    /// pending responses.
    closing: bool,
    /// True once a request was read that the client announced as its last.
    last_request_read: bool,
    /// True if the connection is closed after the next request.
    draining: bool,
    /// True if the connection is closed once it has been idle for `FINISH_IDLE_TIME`.
    finishing: bool,
    /// Time by which a finishing connection is closed if it is idle.
    finish_deadline: Option<Instant>,
    /// True once the client has closed its sending side.
    read_closed: bool,
    /// True if input was discarded without parsing it.
    discarded_input: bool,
    /// True if the client waits for `100 Continue`.
    continue_pending: bool,
    /// Time at which the first byte of the current request was received.
    request_started: Instant,
    /// Memory that the connection holds beside the bodies of its requests.
    held_memory: HeldMemory,
    /// Time of the last progress: a request was read, a response was added while no
    /// bytes were unsent, or bytes were written.
    last_progress: Instant,
}

/// A complete request, and its sequence number on the connection.
pub struct PipelinedRequest {
    /// Sequence number, counted from zero.
    pub sequence: u64,
    /// The request.
    pub request: Request,
}

struct PartialRequest {
    head: RequestHead,
    body: BodyReader,
    progress: BodyProgressMark,
}

/// The last time at which enough of a body had arrived since the mark before it.
#[derive(Debug, Clone, Copy)]
struct BodyProgressMark {
    at: Instant,
    body_bytes: usize,
    /// Time at which the last bytes of the body arrived.
    received_at: Instant,
}

/// A request whose response is not written yet.
struct PendingRequest {
    sequence: u64,
    is_head_request: bool,
    /// True if the connection is closed after the response.
    close: bool,
    /// True for an HTTP/1.0 request; its response must state that the connection stays
    /// open.
    is_http_1_0: bool,
    /// True if the request was rejected here, without notifying the handler.
    rejected: bool,
    /// True if the handler was notified that the client has disconnected.
    disconnect_reported: bool,
    response: Option<Response>,
}

impl PendingRequest {
    /// Returns true if the handler was given the request and was not notified that
    /// the client has disconnected.
    fn is_awaited(&self) -> bool {
        !self.rejected && !self.disconnect_reported
    }
}

/// Maximum number of unsent response bytes; above it, nothing is read from the
/// client (backpressure).
const MAX_UNSENT_BYTES: usize = 64 * 1024;
/// Maximum idle time of a connection while the event loop is finishing. A client that
/// is using the connection has sent its next request by then.
pub const FINISH_IDLE_TIME: Duration = Duration::from_secs(1);

impl ServerConnection {
    /// Creates the state of a connection just accepted from `peer`.
    pub fn new(peer: SocketAddr, handler: Arc<dyn Handler>, now: Instant) -> ServerConnection {
        ServerConnection {
            peer,
            handler,
            input: Vec::new(),
            scanned_bytes: 0,
            partial: None,
            pending_requests: VecDeque::new(),
            next_sequence: 0,
            output: SendQueue::default(),
            closing: false,
            last_request_read: false,
            draining: false,
            finishing: false,
            finish_deadline: None,
            read_closed: false,
            discarded_input: false,
            continue_pending: false,
            request_started: now,
            held_memory: HeldMemory::within(&Resources::default().byte_budget),
            last_progress: now,
        }
    }

    /// Counts what the connection holds against this budget.
    pub fn with_byte_budget(mut self, budget: &Arc<ByteBudget>) -> ServerConnection {
        self.held_memory = HeldMemory::within(budget);
        self
    }

    /// Returns true if reading is paused because too much is in flight.
    fn is_paused(&self, limits: &Limits) -> bool {
        self.pending_requests.len() >= limits.max_pipelined_requests.max(1)
            || self.output.remaining() > MAX_UNSENT_BYTES
    }

    /// Returns true if the socket is to be read.
    pub fn wants_read(&self, limits: &Limits) -> bool {
        let reads_requests = !self.closing && !self.is_paused(limits);
        !self.read_closed && (reads_requests || self.held_memory.discards_input)
    }

    /// Returns true if a request is being read, or a response is awaited or unsent.
    pub fn is_busy(&self) -> bool {
        !self.pending_requests.is_empty()
            || !self.output.is_empty()
            || self.partial.is_some()
            || !self.input.is_empty()
    }

    /// Returns true if all responses are written and the connection is to be closed.
    pub fn is_finished(&self) -> bool {
        self.closing && self.pending_requests.is_empty() && self.output.is_empty()
    }

    /// Returns true if all input of the client was read and no more is expected.
    pub fn is_input_exhausted(&self) -> bool {
        self.read_closed || (self.last_request_read && !self.discarded_input)
    }

    /// Accepts the response to a request; responses may be given in any order. Returns
    /// the requests that get no response because this one closes the connection.
    pub fn respond(&mut self, sequence: u64, response: Response, now: Instant) -> Vec<u64> {
        let Some(first) = self
            .pending_requests
            .front()
            .map(|pending| pending.sequence)
        else {
            return Vec::new();
        };
        let Some(index) = sequence.checked_sub(first).map(|index| index as usize) else {
            return Vec::new();
        };
        if self
            .pending_requests
            .get(index)
            .is_none_or(|pending| pending.response.is_some())
        {
            return Vec::new();
        }
        if response.close {
            self.stop_reading_requests();
        }
        let pending = &mut self.pending_requests[index];
        pending.close |= response.close;
        pending.response = Some(response);
        let dropped = self.drop_requests_after_close();
        if self.output.is_empty() {
            self.last_progress = now;
        }
        self.write_ready_responses();
        dropped
    }

    fn drop_requests_after_close(&mut self) -> Vec<u64> {
        let Some(index) = self
            .pending_requests
            .iter()
            .position(|pending| pending.close)
        else {
            return Vec::new();
        };
        self.pending_requests
            .drain(index + 1..)
            .filter(PendingRequest::is_awaited)
            .map(|pending| pending.sequence)
            .collect()
    }

    fn stop_reading_requests(&mut self) {
        self.discarded_input |= !self.input.is_empty() || self.partial.is_some();
        self.closing = true;
        self.discard_partial_request();
    }

    fn discard_partial_request(&mut self) {
        self.input = Vec::new();
        self.partial = None;
        self.continue_pending = false;
    }

    /// Handles the end of the client's input. Requests read before it still get
    /// responses.
    pub fn close_read(&mut self) {
        self.read_closed = true;
        if !self.closing {
            self.stop_reading_requests();
        }
    }

    /// Makes the next request the last one. An idle connection stays open for it: the
    /// request may be in transit, and once it is read it must get a response.
    pub fn drain(&mut self) {
        self.draining = true;
        let in_flight = !self.pending_requests.is_empty();
        if in_flight && self.partial.is_none() && self.input.is_empty() {
            self.closing = true;
        }
    }

    /// Makes the next request the last one, and limits the wait for it to
    /// `FINISH_IDLE_TIME`, and to the deadline if there is one.
    pub fn finish(&mut self, deadline: Option<Instant>) {
        self.drain();
        self.finishing = true;
        self.finish_deadline = deadline;
    }

    /// Time at which the connection is closed if it stays idle.
    fn idle_due(&self, limits: &Limits) -> Instant {
        if !self.finishing {
            return self.last_progress + limits.idle_timeout;
        }
        let idle_due = self.last_progress + limits.idle_timeout.min(FINISH_IDLE_TIME);
        self.finish_deadline
            .map_or(idle_due, |deadline| deadline.min(idle_due))
    }

    /// Returns true if the connection is finishing and no request arrived in time.
    pub fn is_idle_at_finish(&self, limits: &Limits, now: Instant) -> bool {
        self.finishing && !self.closing && !self.is_busy() && now >= self.idle_due(limits)
    }

    /// Ends an idle connection with a response to the request that may be in transit:
    /// it is discarded when it arrives. Without one, a client whose request crosses the
    /// close would get no response (RFC 9110, section 15.5.9).
    pub fn reject_request_in_transit(&mut self) {
        self.reject(408, "the connection was closed before the request came");
    }

    /// Limits a connection accepted while draining to one request.
    pub fn serve_one(&mut self) {
        self.draining = true;
    }

    /// Records that the socket has accepted bytes of a response.
    pub fn record_write(&mut self, now: Instant) {
        self.last_progress = now;
    }

    /// Removes and returns the requests that get no response because the connection
    /// ends.
    pub fn take_unanswered(&mut self) -> Vec<u64> {
        self.pending_requests
            .drain(..)
            .filter(PendingRequest::is_awaited)
            .map(|pending| pending.sequence)
            .collect()
    }

    /// Handles the close of the connection by the client. Returns the requests whose
    /// responses are no longer awaited, each of them once.
    pub fn client_disconnected(&mut self) -> Vec<u64> {
        let awaited = self
            .pending_requests
            .iter_mut()
            .filter(|pending| pending.is_awaited());
        awaited
            .map(|pending| {
                pending.disconnect_reported = true;
                pending.sequence
            })
            .collect()
    }

    /// Time at which `time_out` is to be called.
    pub fn due(&self, limits: &Limits) -> Option<Instant> {
        if !self.output.is_empty() {
            return Some(self.last_progress + limits.idle_timeout);
        }
        if self.closing || self.is_paused(limits) {
            return None;
        }
        if let Some(partial) = &self.partial {
            // One more millisecond for each byte enforces a minimum rate of 1 KB/s.
            let body_time = Duration::from_millis(partial.body.body.len() as u64);
            let too_slow = self.request_started + limits.idle_timeout + body_time;
            let stopped = partial.progress.received_at + limits.idle_timeout;
            return Some(too_slow.min(stopped));
        }
        if !self.input.is_empty() {
            return Some(self.request_started + limits.head_timeout);
        }
        self.pending_requests
            .is_empty()
            .then(|| self.idle_due(limits))
    }

    /// Handles a timeout at `due`. Returns true if the connection is to be closed
    /// without a response.
    pub fn time_out(&mut self) -> bool {
        let is_reading = self.partial.is_some() || !self.input.is_empty();
        if self.output.is_empty() && is_reading {
            self.reject(408, "the request did not come in time");
            return false;
        }
        true
    }
}
