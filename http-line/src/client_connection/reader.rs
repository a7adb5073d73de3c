//! Reading of responses from received bytes.

use super::*;
use crate::body_reader::BodyProgress;
use crate::head::{find_head_end, header_values};
use std::ops::ControlFlow;

/// Result of one parsing step: the number of bytes consumed, or the end of parsing
/// for now, with the exchange if it has finished.
type ReadStep = ControlFlow<Option<FinishedExchange>, usize>;

/// Maximum size of a response head in bytes.
const MAX_HEAD_BYTES: usize = 64 * 1024;
/// Maximum number of responses to other calls that are skipped before the connection
/// is closed.
const MAX_MISMATCHED_RESPONSES: u32 = 2;
/// Idle timeout of a connection if the peer does not announce one.
const DEFAULT_IDLE_TIMEOUT: Duration = Duration::from_secs(8);
/// Upper bound of an idle timeout announced by the peer, in seconds.
const MAX_IDLE_TIMEOUT_S: u32 = 600;

impl ClientConnection {
    /// Parses received bytes. Returns the finished exchange if they end the call.
    pub fn feed(&mut self, received: &[u8], limits: &Limits) -> Option<FinishedExchange> {
        let exchange = self.exchange.as_mut()?;
        if !exchange.sent {
            return self.fail("received bytes before the request was sent");
        }
        exchange.received = true;
        let mut buffered = std::mem::take(&mut self.input);
        let input = if buffered.is_empty() {
            received
        } else {
            buffered.extend_from_slice(received);
            &buffered
        };
        let mut offset = 0;
        loop {
            let rest = &input[offset..];
            let step = match self.response {
                Some(_) => self.read_body(rest),
                None => self.read_head(rest, limits),
            };
            match step {
                ControlFlow::Continue(consumed) => offset += consumed,
                ControlFlow::Break(finished) => return finished,
            }
        }
    }

    fn read_body(&mut self, input: &[u8]) -> ReadStep {
        let Some(response) = &mut self.response else {
            return ControlFlow::Continue(0);
        };
        match response.body.feed(input) {
            Ok(BodyProgress {
                complete: false, ..
            }) => ControlFlow::Break(None),
            Ok(BodyProgress { consumed, .. }) => {
                match self.finish_response(consumed == input.len()) {
                    Some(finished) => ControlFlow::Break(Some(finished)),
                    None => ControlFlow::Continue(consumed),
                }
            }
            Err(BodyError::Malformed(reason)) => ControlFlow::Break(self.fail(reason)),
            Err(BodyError::TooLarge) => ControlFlow::Break(self.fail("the response is too large")),
            Err(BodyError::BudgetExceeded) => {
                ControlFlow::Break(self.fail("no memory is left for the response"))
            }
        }
    }

    fn read_head(&mut self, input: &[u8], limits: &Limits) -> ReadStep {
        let version = b"HTTP/1.";
        if input
            .iter()
            .zip(version)
            .any(|(byte, expected)| byte != expected)
        {
            return ControlFlow::Break(self.fail("the input is not an HTTP/1 response"));
        }
        let Some(size) = find_head_end(input, self.scanned_bytes) else {
            if input.len() > MAX_HEAD_BYTES {
                return ControlFlow::Break(self.fail("the response head is too large"));
            }
            self.scanned_bytes = input.len();
            self.input = input.to_vec();
            return ControlFlow::Break(None);
        };
        self.scanned_bytes = 0;
        let exchange = self.exchange.as_ref();
        let is_head_request = exchange.is_some_and(|exchange| exchange.is_head_request);
        match ResponseHead::parse(&input[..size], is_head_request) {
            Ok(head) if head.status < 100 || head.status == 101 => {
                return ControlFlow::Break(self.fail("invalid response status"));
            }
            Ok(head) if head.status < 200 => {}
            Ok(head) => match BodyReader::new(
                head.framing,
                limits.max_response_body_bytes,
                self.empty_body(),
            ) {
                Ok(body) => self.response = Some(PartialResponse { head, body }),
                Err(_) => return ControlFlow::Break(self.fail("the response is too large")),
            },
            Err(error) => return ControlFlow::Break(self.fail(error.0)),
        }
        ControlFlow::Continue(size)
    }

    /// Handles a complete response to the call in flight, or skips a late response to
    /// another call. `at_end` is true if no bytes were received behind it.
    pub(super) fn finish_response(&mut self, at_end: bool) -> Option<FinishedExchange> {
        let PartialResponse { head, body } = self.response.take()?;
        let exchange = self.exchange.as_ref()?;
        if let Some((name, value)) = &exchange.required_response_header
            && !header_values(&head.headers, name).any(|found| found == value)
        {
            self.mismatched_responses += 1;
            if self.mismatched_responses > MAX_MISMATCHED_RESPONSES || head.close {
                return self.fail("received only responses to other calls");
            }
            return None;
        }
        let exchange = self.exchange.take()?;
        let is_reusable = at_end
            && !head.close
            && !exchange.requests_close
            && self.mismatched_responses == 0
            && self.output.is_empty();
        let reusable_for = if is_reusable {
            idle_timeout(&head.headers)
        } else {
            None
        };
        Some(FinishedExchange {
            id: exchange.id,
            outcome: Ok(ReceivedResponse {
                status: head.status,
                headers: head.headers,
                delimited: !body.ends_with_connection(),
                body: body.body.into_vec(),
            }),
            reusable_for,
        })
    }
}

/// Idle timeout of the connection, shorter than the one that the peer announces.
fn idle_timeout(headers: &[(String, String)]) -> Option<Duration> {
    let announced = list_items(headers, "keep-alive").find_map(|parameter| {
        let (name, value) = parameter.split_once('=')?;
        name.trim()
            .eq_ignore_ascii_case("timeout")
            .then(|| value.trim().parse::<u32>().ok())?
    });
    let Some(seconds) = announced else {
        return Some(DEFAULT_IDLE_TIMEOUT);
    };
    let timeout = Duration::from_secs(seconds.min(MAX_IDLE_TIMEOUT_S).into());
    let margin = (timeout / 5).max(Duration::from_secs(1));
    timeout
        .checked_sub(margin)
        .filter(|remaining| !remaining.is_zero())
}
