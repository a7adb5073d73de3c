//! Reading of requests from received bytes.

use super::*;
use crate::body_reader::BodyProgress;
use crate::head::find_head_end;
use crate::request_id;

/// Minimum capacity in bytes of an input buffer that is shrunk once most of its bytes
/// are consumed.
const MIN_SHRINK_CAPACITY: usize = 16 * 1024;

impl ServerConnection {
    /// Parses received bytes and adds the complete requests to `requests`.
    pub fn feed(
        &mut self,
        received: &[u8],
        limits: &Limits,
        now: Instant,
        requests: &mut Vec<PipelinedRequest>,
    ) {
        if self.input.is_empty() {
            let consumed = self.read(received, limits, now, requests);
            self.input.extend_from_slice(&received[consumed..]);
        } else {
            self.input.extend_from_slice(received);
            self.resume(limits, now, requests);
        }
    }

    /// Continues to parse buffered input once the connection is no longer paused.
    pub fn resume(&mut self, limits: &Limits, now: Instant, requests: &mut Vec<PipelinedRequest>) {
        if self.input.is_empty() || (self.is_paused(limits) && !self.closing) {
            return;
        }
        let mut buffered = std::mem::take(&mut self.input);
        let consumed = self.read(&buffered, limits, now, requests);
        if consumed < buffered.len() {
            buffered.drain(..consumed);
            let capacity = buffered.capacity();
            if capacity > MIN_SHRINK_CAPACITY && buffered.len() * 4 < capacity {
                buffered.shrink_to_fit();
            }
            self.input = buffered;
        }
    }

    /// Parses requests until the input is consumed or incomplete, or the connection is
    /// paused. Returns the number of bytes consumed.
    fn read(
        &mut self,
        input: &[u8],
        limits: &Limits,
        now: Instant,
        requests: &mut Vec<PipelinedRequest>,
    ) -> usize {
        let mut offset = 0;
        loop {
            if self.closing {
                self.discarded_input |= offset < input.len();
                return input.len();
            }
            if self.is_paused(limits) {
                self.scanned_bytes = 0;
                self.request_started = now;
                return offset;
            }
            let is_complete = if self.partial.is_some() {
                self.read_body(input, &mut offset, now, requests)
            } else {
                self.skip_empty_lines(input, &mut offset);
                self.read_head(input, &mut offset, limits, now, requests)
            };
            if !is_complete {
                return offset;
            }
        }
    }

    /// Parses the body of the current request. Returns false if it needs more input.
    fn read_body(
        &mut self,
        input: &[u8],
        offset: &mut usize,
        now: Instant,
        requests: &mut Vec<PipelinedRequest>,
    ) -> bool {
        let Some(partial) = &mut self.partial else {
            return true;
        };
        self.continue_pending &= *offset == input.len();
        match partial.body.feed(&input[*offset..]) {
            Ok(BodyProgress { consumed, complete }) => {
                *offset += consumed;
                let body_bytes = partial.body.body.len();
                partial.progress.update(body_bytes, now);
                if complete {
                    self.complete_request(now, requests);
                }
                return complete;
            }
            Err(BodyError::Malformed(reason)) => self.reject(400, reason),
            Err(BodyError::TooLarge) => self.reject(413, "the body is too large"),
            Err(BodyError::BudgetExceeded) => self.reject_for_memory(),
        }
        true
    }

    fn skip_empty_lines(&mut self, input: &[u8], offset: &mut usize) {
        while matches!(input[*offset..], [b'\r', b'\n', ..]) {
            *offset += 2;
            self.scanned_bytes = 0;
        }
    }

    /// Parses a request head. Returns false if it needs more input.
    fn read_head(
        &mut self,
        input: &[u8],
        offset: &mut usize,
        limits: &Limits,
        now: Instant,
        requests: &mut Vec<PipelinedRequest>,
    ) -> bool {
        let rest = &input[*offset..];
        if rest.is_empty() || self.scanned_bytes == 0 {
            self.request_started = now;
        }
        if rest.is_empty() || rest == b"\r" {
            self.scanned_bytes = rest.len();
            return false;
        }
        if rest[0] <= b' ' || rest[0] >= 0x7f {
            self.reject(400, "malformed head");
            return true;
        }
        let end = find_head_end(rest, self.scanned_bytes);
        if end.unwrap_or(rest.len()) > limits.max_head_bytes {
            self.reject(431, "the head is too large");
            return true;
        }
        let Some(size) = end else {
            self.scanned_bytes = rest.len();
            return false;
        };
        self.scanned_bytes = 0;
        match RequestHead::parse(&rest[..size]) {
            Ok(head) => {
                *offset += size;
                self.begin_request(head, *offset == input.len(), limits, now, requests);
            }
            Err(rejection) => self.reject(rejection.status, rejection.reason),
        }
        true
    }

    /// Starts the request of a complete head. `at_end` is true if no bytes were received
    /// behind the head.
    fn begin_request(
        &mut self,
        head: RequestHead,
        at_end: bool,
        limits: &Limits,
        now: Instant,
        requests: &mut Vec<PipelinedRequest>,
    ) {
        let body = HeldBytes::within(&self.held_memory.budget);
        let Ok(body) = BodyReader::new(head.framing, limits.max_body_bytes, body) else {
            return self.reject(413, "the body is too large");
        };
        if !self.held_memory.budget.has_room(0, 0) {
            return self.reject_for_memory();
        }
        let has_no_body = head.framing == Framing::Length(0);
        self.continue_pending = head.expects_continue && at_end && !has_no_body;
        self.partial = Some(PartialRequest {
            head,
            body,
            progress: BodyProgressMark::start(now),
        });
        self.request_started = now;
        if has_no_body {
            self.complete_request(now, requests);
        } else {
            self.write_ready_responses();
        }
    }

    /// Adds the current request, now complete, to `requests`.
    fn complete_request(&mut self, now: Instant, requests: &mut Vec<PipelinedRequest>) {
        let Some(PartialRequest { head, body, .. }) = self.partial.take() else {
            return;
        };
        let sequence = self.next_sequence;
        self.next_sequence += 1;
        self.pending_requests.push_back(PendingRequest {
            sequence,
            is_head_request: head.method == "HEAD",
            close: head.close,
            is_http_1_0: head.is_http_1_0,
            rejected: false,
            disconnect_reported: false,
            response: None,
        });
        self.last_request_read |= head.close;
        let is_last = self.draining || request_id::is_exhausted(self.next_sequence);
        self.closing |= head.close || is_last;
        self.continue_pending = false;
        self.last_progress = now;
        let request = Request {
            method: head.method,
            target: head.target,
            headers: head.headers,
            body: body.body,
            peer: self.peer,
        };
        requests.push(PipelinedRequest { sequence, request });
    }

    fn reject_for_memory(&mut self) {
        self.held_memory.budget.record_refusal();
        self.reject(503, "no memory is left for the request");
    }

    /// Queues the response to input that cannot be parsed. Input behind it is
    /// discarded.
    pub(super) fn reject(&mut self, status: u16, reason: &'static str) {
        let response = self.handler.rejection_response(status, reason);
        self.pending_requests.push_back(PendingRequest {
            sequence: self.next_sequence,
            is_head_request: false,
            close: true,
            is_http_1_0: false,
            rejected: true,
            disconnect_reported: false,
            response: Some(response),
        });
        self.next_sequence += 1;
        self.discard_partial_request();
        self.scanned_bytes = 0;
        self.closing = true;
        self.discarded_input = true;
        self.write_ready_responses();
    }
}
