//! One connection to another address, without its socket.

use crate::body_reader::BodyProgress;
use crate::head::{find_end, is_one_of, list_items, push_header, values};
use crate::prelude::*;
use std::ops::ControlFlow;

/// One connection to another address, without its socket. Invariant: while idle
/// (`exchange` is none) nothing may be received, and it may be reused before
/// `reusable_until` only.
pub struct ClientConnection {
    /// Where it goes.
    pub address: SocketAddr,
    exchange: Option<Exchange>,
    /// The start of a head.
    input: Vec<u8>,
    /// Bytes at the start of `input` known to hold no end of a head.
    scanned_bytes: usize,
    response: Option<PartialResponse>,
    /// Bytes of the request that are still to be written.
    pub output: SendQueue,
    exchanges_begun: u64,
    /// Responses to other calls that were received for the current one.
    foreign_responses: u32,
    /// Hashes that tie the last calls here to their responses, oldest first.
    recent_marks: VecDeque<u64>,
    reusable_until: Option<Instant>,
}

/// The call in flight.
struct Exchange {
    id: u64,
    is_head_request: bool,
    /// The request asks to close the connection after it.
    requests_close: bool,
    echo: Option<(String, String)>,
    /// The socket took bytes of it.
    sent: bool,
    /// Bytes were received since.
    received: bool,
    deadline: Instant,
    connect_deadline: Instant,
}

struct PartialResponse {
    head: ResponseHead,
    body: BodyReader,
}

/// How a call ended, and whether the connection may serve another.
pub struct FinishedExchange {
    /// The call's id.
    pub id: u64,
    /// The response, or why there is none.
    pub outcome: ExchangeOutcome,
    /// How long the connection may stay idle; none: it must be closed.
    pub reusable_for: Option<Duration>,
}

/// After a part of the input: bytes consumed, or an end of the reading with the
/// exchange if it has finished.
type ReadStep = ControlFlow<Option<FinishedExchange>, usize>;

const MAX_HEAD_BYTES: usize = 64 * 1024;
/// More responses to other calls than this end the connection.
const MAX_FOREIGN_RESPONSES: u32 = 2;
/// Echoed ids and requests of a connection's last calls that are remembered.
const MAX_RECENT_MARKS: usize = 64;
/// How long an idle connection is kept open if the other side names no timeout.
const DEFAULT_IDLE_TIMEOUT: Duration = Duration::from_secs(8);
/// The longest idle timeout that is taken from the other side, in seconds.
const MAX_IDLE_TIMEOUT_S: u32 = 600;
/// A connection that is not established by then is given up: its address was
/// chosen from a list that becomes stale.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(500);
/// Room for a head without a reallocation, as a rule.
const HEAD_CAPACITY_BYTES: usize = 256;
/// Headers that are written by the connection itself.
const OWN_HEADERS: [&str; 3] = ["content-length", "transfer-encoding", "expect"];

impl ClientConnection {
    /// A connection that has served no call.
    pub fn new(address: SocketAddr) -> ClientConnection {
        ClientConnection {
            address,
            exchange: None,
            input: Vec::new(),
            scanned_bytes: 0,
            response: None,
            output: SendQueue::default(),
            exchanges_begun: 0,
            foreign_responses: 0,
            recent_marks: VecDeque::new(),
            reusable_until: None,
        }
    }

    /// Queues the call's request. The call's timeout runs from `started`.
    pub fn begin(&mut self, call: &Call, started: Instant, now: Instant) {
        self.output.push(encode_head(call).into());
        self.output.push(call.body.clone().into());
        self.exchanges_begun += 1;
        self.foreign_responses = 0;
        self.remember(call);
        self.reusable_until = None;
        let mut connection_options = list_items(&call.headers, "connection");
        self.exchange = Some(Exchange {
            id: call.id,
            is_head_request: call.method == "HEAD",
            requests_close: connection_options
                .any(|option| option.trim().eq_ignore_ascii_case("close")),
            echo: call.echo.clone(),
            sent: false,
            received: false,
            deadline: started + call.timeout,
            connect_deadline: now + CONNECT_TIMEOUT,
        });
    }

    /// Whether one of the last calls here was an attempt of the same request, or
    /// had the same echoed id. A second response to that call could not be told
    /// from the response to this one.
    pub fn recently_carried(&self, call: &Call) -> bool {
        response_marks(call).any(|mark| self.recent_marks.contains(&mark))
    }

    fn remember(&mut self, call: &Call) {
        for mark in response_marks(call) {
            if self.recent_marks.len() == MAX_RECENT_MARKS {
                self.recent_marks.pop_front();
            }
            self.recent_marks.push_back(mark);
        }
    }

    /// The call in flight does not time out before this time.
    pub fn extend_deadline(&mut self, deadline: Instant) {
        if let Some(exchange) = &mut self.exchange {
            exchange.deadline = exchange.deadline.max(deadline);
        }
    }

    /// Whether no call is in flight.
    pub fn is_idle(&self) -> bool {
        self.exchange.is_none()
    }

    /// Whether the socket took any byte of the call in flight.
    pub fn is_sent(&self) -> bool {
        self.exchange.as_ref().is_some_and(|exchange| exchange.sent)
    }

    /// The socket took bytes of the call in flight.
    pub fn mark_sent(&mut self) {
        if let Some(exchange) = &mut self.exchange {
            exchange.sent = true;
        }
    }

    /// Lets the idle connection be reused before `until`.
    pub fn allow_reuse(&mut self, until: Instant) {
        self.reusable_until = Some(until);
    }

    /// Whether an idle connection may still be reused.
    pub fn is_reusable(&self, now: Instant) -> bool {
        self.reusable_until.is_some_and(|until| now < until)
    }

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
    fn finish_response(&mut self, at_end: bool) -> Option<FinishedExchange> {
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

    fn fail(&mut self, reason: &str) -> Option<FinishedExchange> {
        let exchange = self.exchange.take()?;
        let error = if !exchange.sent {
            ExchangeError::NotSent(reason.into())
        } else if self.exchanges_begun > 1 && !exchange.received {
            ExchangeError::Interrupted {
                reason: format!("reused: {reason}"),
                reused: true,
            }
        } else {
            ExchangeError::Interrupted {
                reason: reason.into(),
                reused: false,
            }
        };
        Some(FinishedExchange::failed(exchange.id, error))
    }

    /// The connection has ended, `in_order` if the other side closed it.
    pub fn end(&mut self, in_order: bool, reason: &str) -> Option<FinishedExchange> {
        let is_complete = self
            .response
            .as_ref()
            .is_some_and(|response| response.body.ends_with_connection());
        if in_order
            && is_complete
            && let Some(finished) = self.finish_response(true)
        {
            return Some(FinishedExchange {
                reusable_for: None,
                ..finished
            });
        }
        self.fail(reason)
    }

    /// The call in flight has timed out.
    pub fn time_out(&mut self) -> Option<FinishedExchange> {
        let exchange = self.exchange.take()?;
        let error = match exchange.sent {
            true => ExchangeError::Interrupted {
                reason: "no whole answer in time".into(),
                reused: false,
            },
            false => ExchangeError::NotSent("no connection in time".into()),
        };
        Some(FinishedExchange::failed(exchange.id, error))
    }

    /// When the call in flight times out, or an idle connection is closed.
    pub fn due(&self) -> Option<Instant> {
        match &self.exchange {
            Some(exchange) if exchange.sent || self.exchanges_begun > 1 => Some(exchange.deadline),
            Some(exchange) => Some(exchange.deadline.min(exchange.connect_deadline)),
            None => self.reusable_until,
        }
    }
}

impl FinishedExchange {
    fn failed(id: u64, error: ExchangeError) -> FinishedExchange {
        FinishedExchange {
            id,
            outcome: Err(error),
            reusable_for: None,
        }
    }
}

fn encode_head(call: &Call) -> Vec<u8> {
    let mut head = Vec::with_capacity(HEAD_CAPACITY_BYTES);
    for bytes in [
        call.method.as_bytes(),
        b" ",
        call.target.as_bytes(),
        b" HTTP/1.1\r\n",
    ] {
        head.extend_from_slice(bytes);
    }
    for (name, value) in &call.headers {
        if !is_one_of(name, &OWN_HEADERS) {
            push_header(&mut head, name, value);
        }
    }
    if !call.body.is_empty() || matches!(call.method.as_str(), "POST" | "PUT" | "PATCH") {
        push_header(&mut head, "Content-Length", &call.body.len().to_string());
    }
    head.extend_from_slice(b"\r\n");
    head
}

/// Hashes of what ties a response to its request.
fn response_marks(call: &Call) -> impl Iterator<Item = u64> {
    let hash = |kind: u8, value: &dyn AsRef<[u8]>| {
        let mut hasher = DefaultHasher::new();
        (kind, value.as_ref()).hash(&mut hasher);
        hasher.finish()
    };
    let echo = call.echo.as_ref().map(|(_, value)| hash(0, value));
    let request = call.request.map(|id| hash(1, &id.to_be_bytes()));
    echo.into_iter().chain(request)
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
