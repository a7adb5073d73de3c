//! Reads responses from another address's bytes.

use super::*;
use crate::body_reader::BodyProgress;
use crate::head::{find_end, values};
use std::ops::ControlFlow;

/// One step of reading: bytes consumed, or the end of the reading, with the
/// exchange if it has finished.
type ReadStep = ControlFlow<Option<FinishedExchange>, usize>;

const MAX_HEAD_BYTES: usize = 64 * 1024;
/// More responses to other calls than this end the connection.
const MAX_FOREIGN_RESPONSES: u32 = 2;
/// How long an idle connection is kept open if the other side names no timeout.
const DEFAULT_IDLE_TIMEOUT: Duration = Duration::from_secs(8);
/// The longest idle timeout that is taken from the other side, in seconds.
const MAX_IDLE_TIMEOUT_S: u32 = 600;

impl ClientConnection {
    /// Reads received bytes; how the call ended, if it did by them.
    pub fn feed(&mut self, received: &[u8], limits: &Limits) -> Option<FinishedExchange> {
        let exchange = self.exchange.as_mut()?;
        if !exchange.sent {
            return self.fail("bytes came before the request was sent");
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
            Err(BodyError::TooLarge) => ControlFlow::Break(self.fail("the answer is too large")),
        }
    }

    fn read_head(&mut self, input: &[u8], limits: &Limits) -> ReadStep {
        let version = b"HTTP/1.";
        if input
            .iter()
            .zip(version)
            .any(|(byte, expected)| byte != expected)
        {
            return ControlFlow::Break(self.fail("what came is no HTTP/1 answer"));
        }
        let Some(size) = find_end(input, self.scanned_bytes) else {
            if input.len() > MAX_HEAD_BYTES {
                return ControlFlow::Break(self.fail("the head of the answer is too large"));
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
                return ControlFlow::Break(self.fail("a status that cannot be"));
            }
            Ok(head) if head.status < 200 => {}
            Ok(head) => match BodyReader::new(head.framing, limits.response_bytes) {
                Ok(body) => self.response = Some(PartialResponse { head, body }),
                Err(_) => return ControlFlow::Break(self.fail("the answer is too large")),
            },
            Err(error) => return ControlFlow::Break(self.fail(error.0)),
        }
        ControlFlow::Continue(size)
    }

    /// The response is complete: that to the call in flight, or a late one to
    /// another call. `at_end`: nothing was received behind it.
    pub(super) fn finish_response(&mut self, at_end: bool) -> Option<FinishedExchange> {
        let PartialResponse { head, body } = self.response.take()?;
        let exchange = self.exchange.as_ref()?;
        if let Some((name, value)) = &exchange.echo
            && !values(&head.headers, name).any(|found| found == value)
        {
            self.foreign_responses += 1;
            if self.foreign_responses > MAX_FOREIGN_RESPONSES || head.close {
                return self.fail("only answers to other calls came");
            }
            return None;
        }
        let exchange = self.exchange.take()?;
        let is_reusable = at_end
            && !head.close
            && !exchange.requests_close
            && self.foreign_responses == 0
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
                body: body.body,
            }),
            reusable_for,
        })
    }
}

/// How long an idle connection is kept open: less than the other side does.
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
