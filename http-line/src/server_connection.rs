//! One connection of a client, without its socket.

#[cfg(test)]
mod tests;

mod reader;
mod writer;

use crate::prelude::*;

/// One connection of a client, without its socket. Invariants:
/// - `slots` are the requests handed out, oldest first, their sequence numbers
///   without gaps; a response is written once it and all before it are there.
/// - Once `closing`, no input is looked at any more.
/// - `input` holds the start of a head, or what was received while paused.
pub struct ServerConnection {
    peer: SocketAddr,
    /// Writes the responses to input that is rejected here.
    handler: Arc<dyn Handler>,
    input: Vec<u8>,
    /// Bytes at the start of `input` known to hold no end of a head.
    scanned_bytes: usize,
    /// The request whose body is being read.
    partial: Option<PartialRequest>,
    slots: VecDeque<Slot>,
    next_sequence: u64,
    /// Bytes of responses that are still to be written.
    pub output: SendQueue,
    closing: bool,
    /// The client announced its last request, and that was read.
    last_request_read: bool,
    draining: bool,
    /// It ends once it has been idle for `FINISH_IDLE_TIME`.
    finishing: bool,
    read_closed: bool,
    /// Input was discarded unread.
    discarded_input: bool,
    /// The client waits for `100 Continue`.
    continue_due: bool,
    /// When the first byte of the current request was received.
    request_started: Instant,
    /// When the last request was read, or the last byte written.
    last_progress: Instant,
}

/// A complete request, and its sequence number on the connection.
pub struct PipelinedRequest {
    /// Counted from zero.
    pub sequence: u64,
    /// The request.
    pub request: Request,
}

struct PartialRequest {
    head: RequestHead,
    body: BodyReader,
}

/// A request whose response is not written yet.
struct Slot {
    sequence: u64,
    is_head_request: bool,
    /// The connection ends after the response.
    close: bool,
    /// An HTTP/1.0 client must be told that the connection stays open.
    is_http_1_0: bool,
    /// Rejected here: the handler does not know of it.
    rejected: bool,
    /// The handler was told that the client has disconnected.
    disconnect_reported: bool,
    response: Option<Response>,
}

impl Slot {
    /// The handler has the request, no response was written, and its client was
    /// not reported as disconnected.
    fn is_awaited(&self) -> bool {
        !self.rejected && !self.disconnect_reported
    }
}

/// While more bytes of responses are unsent, nothing is read from the client.
const MAX_UNSENT_BYTES: usize = 64 * 1024;
/// How long a connection of a finishing event loop may be without a request: a
/// client that is using it has sent its next one by then.
pub const FINISH_IDLE_TIME: Duration = Duration::from_secs(1);

impl ServerConnection {
    /// A connection just accepted from `peer`.
    pub fn new(peer: SocketAddr, handler: Arc<dyn Handler>, now: Instant) -> ServerConnection {
        ServerConnection {
            peer,
            handler,
            input: Vec::new(),
            scanned_bytes: 0,
            partial: None,
            slots: VecDeque::new(),
            next_sequence: 0,
            output: SendQueue::default(),
            closing: false,
            last_request_read: false,
            draining: false,
            finishing: false,
            read_closed: false,
            discarded_input: false,
            continue_due: false,
            request_started: now,
            last_progress: now,
        }
    }

    /// Whether so much is in flight that no more is read for now.
    fn is_paused(&self, limits: &Limits) -> bool {
        self.slots.len() >= limits.pipeline.max(1) || self.output.remaining() > MAX_UNSENT_BYTES
    }

    /// Whether the socket is to be read.
    pub fn wants_read(&self, limits: &Limits) -> bool {
        !self.read_closed && !self.closing && !self.is_paused(limits)
    }

    /// Whether a request is being read, or a response is awaited or unsent.
    pub fn is_busy(&self) -> bool {
        !self.slots.is_empty()
            || !self.output.is_empty()
            || self.partial.is_some()
            || !self.input.is_empty()
    }

    /// Whether all is written and the connection is to be closed.
    pub fn is_finished(&self) -> bool {
        self.closing && self.slots.is_empty() && self.output.is_empty()
    }

    /// Whether nothing the client sent is unread, and nothing more is to come.
    pub fn is_input_exhausted(&self) -> bool {
        self.read_closed || (self.last_request_read && !self.discarded_input)
    }

    /// Takes a response, in any order, and returns the requests that will get
    /// none because it closes the connection.
    pub fn respond(&mut self, sequence: u64, response: Response, now: Instant) -> Vec<u64> {
        let Some(first) = self.slots.front().map(|slot| slot.sequence) else {
            return Vec::new();
        };
        let Some(index) = sequence.checked_sub(first).map(|index| index as usize) else {
            return Vec::new();
        };
        if self
            .slots
            .get(index)
            .is_none_or(|slot| slot.response.is_some())
        {
            return Vec::new();
        }
        if response.close {
            self.stop_taking_requests();
        }
        let slot = &mut self.slots[index];
        slot.close |= response.close;
        slot.response = Some(response);
        let dropped = self.drop_slots_behind_close();
        if self.output.is_empty() {
            self.last_progress = now;
        }
        self.write_ready_responses();
        dropped
    }

    fn drop_slots_behind_close(&mut self) -> Vec<u64> {
        let Some(index) = self.slots.iter().position(|slot| slot.close) else {
            return Vec::new();
        };
        self.slots
            .drain(index + 1..)
            .filter(Slot::is_awaited)
            .map(|slot| slot.sequence)
            .collect()
    }

    fn stop_taking_requests(&mut self) {
        self.discarded_input |= !self.input.is_empty() || self.partial.is_some();
        self.closing = true;
        self.discard_partial_request();
    }

    fn discard_partial_request(&mut self) {
        self.input = Vec::new();
        self.partial = None;
        self.continue_due = false;
    }

    /// The client sends no more: what it requested is still responded to.
    pub fn close_read(&mut self) {
        self.read_closed = true;
        if !self.closing {
            self.stop_taking_requests();
        }
    }

    /// The next request is the last. An idle connection stays open for it: it may
    /// be on its way, and once it is read it must be responded to.
    pub fn drain(&mut self) {
        self.draining = true;
        let in_flight = !self.slots.is_empty();
        if in_flight && self.partial.is_none() && self.input.is_empty() {
            self.closing = true;
        }
    }

    /// The next request is the last, and none is waited for beyond
    /// `FINISH_IDLE_TIME` without one.
    pub fn finish(&mut self) {
        self.drain();
        self.finishing = true;
    }

    /// Whether it is finishing and no request came in time.
    pub fn is_idle_at_finish(&self, now: Instant) -> bool {
        self.finishing && !self.is_busy() && now >= self.last_progress + FINISH_IDLE_TIME
    }

    /// Serves one request only: the connection was accepted while draining.
    pub fn serve_one(&mut self) {
        self.draining = true;
    }

    /// The socket took bytes of a response.
    pub fn record_write(&mut self, now: Instant) {
        self.last_progress = now;
    }

    /// The connection ends: the requests that will get no response.
    pub fn take_unanswered(&mut self) -> Vec<u64> {
        self.slots
            .drain(..)
            .filter(Slot::is_awaited)
            .map(|slot| slot.sequence)
            .collect()
    }

    /// The client has closed its side of the connection: the requests whose
    /// responses nobody waits for any more, each once.
    pub fn client_disconnected(&mut self) -> Vec<u64> {
        let awaited = self.slots.iter_mut().filter(|slot| slot.is_awaited());
        awaited
            .map(|slot| {
                slot.disconnect_reported = true;
                slot.sequence
            })
            .collect()
    }

    /// When `time_out` is to be called.
    pub fn due(&self, limits: &Limits) -> Option<Instant> {
        if !self.output.is_empty() {
            return Some(self.last_progress + limits.idle_timeout);
        }
        if self.closing || self.is_paused(limits) {
            return None;
        }
        if let Some(partial) = &self.partial {
            // One more millisecond for each byte: at least 1 KB a second.
            let body_time = Duration::from_millis(partial.body.body.len() as u64);
            return Some(self.request_started + limits.idle_timeout + body_time);
        }
        if !self.input.is_empty() {
            return Some(self.request_started + limits.head_timeout);
        }
        let idle_timeout = match self.finishing {
            true => limits.idle_timeout.min(FINISH_IDLE_TIME),
            false => limits.idle_timeout,
        };
        self.slots
            .is_empty()
            .then_some(self.last_progress + idle_timeout)
    }

    /// At `due`: whether the connection is to be closed without a response.
    pub fn time_out(&mut self) -> bool {
        let is_reading = self.partial.is_some() || !self.input.is_empty();
        if self.output.is_empty() && is_reading {
            self.reject(408, "the request did not come in time");
            return false;
        }
        true
    }
}
