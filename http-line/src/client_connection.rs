//! One connection to another address, without its socket.

mod reader;
mod request_head;

use crate::head::list_items;
use crate::prelude::*;
use request_head::encode_head;

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

/// A response whose body is being read.
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

/// Echoed ids and requests of a connection's last calls that are remembered.
const MAX_RECENT_MARKS: usize = 64;
/// A connection that is not established by then is given up: its address was
/// chosen from a list that becomes stale.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(500);

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
