//! Protocol state of a connection to another address, without its socket.

mod reader;
mod request_head;

use crate::head::list_items;
use crate::prelude::*;
use request_head::encode_head;

/// Protocol state of one connection to another address, without its socket.
/// Invariant: while the connection is idle (`exchange` is `None`) nothing may be
/// received, and it may be reused only before `reusable_until`.
pub struct ClientConnection {
    /// Remote address of the connection.
    pub address: SocketAddr,
    exchange: Option<Exchange>,
    /// Buffered start of a response head.
    input: Vec<u8>,
    /// Number of bytes at the start of `input` known not to contain the end of a head.
    scanned_bytes: usize,
    response: Option<PartialResponse>,
    /// Request bytes that are still to be written.
    pub output: SendQueue,
    exchange_count: u64,
    /// Number of responses to other calls received during the current call.
    mismatched_responses: u32,
    /// Correlation hashes of the last calls on this connection, oldest first.
    recent_correlation_hashes: VecDeque<u64>,
    /// Time until which the idle connection may be reused.
    reusable_until: Option<Instant>,
    /// Budget against which response bodies are counted while they are read; `None`: they
    /// are not counted.
    byte_budget: Option<Arc<ByteBudget>>,
}

/// The call in flight.
struct Exchange {
    id: u64,
    is_head_request: bool,
    /// True if the request asks to close the connection after the response.
    requests_close: bool,
    required_response_header: Option<(String, String)>,
    /// True once the socket has accepted bytes of the request.
    sent: bool,
    /// True once bytes have been received during the exchange.
    received: bool,
    deadline: Instant,
    connect_deadline: Instant,
}

/// A response whose body is being read.
struct PartialResponse {
    head: ResponseHead,
    body: BodyReader,
}

/// Result of a finished call, and whether the connection may serve another call.
pub struct FinishedExchange {
    /// Identifier of the call.
    pub id: u64,
    /// The response, or the reason why there is none.
    pub outcome: ExchangeOutcome,
    /// Maximum idle time of the connection before reuse; `None` if it must be closed.
    pub reusable_for: Option<Duration>,
}

/// Maximum number of correlation hashes kept for the last calls of a connection.
const MAX_RECENT_CORRELATION_HASHES: usize = 64;
/// Maximum time to establish a connection. It is short because the list that the
/// address comes from may be outdated.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(500);

impl ClientConnection {
    /// Creates the state of a connection that has not served a call.
    pub fn new(address: SocketAddr) -> ClientConnection {
        ClientConnection {
            address,
            exchange: None,
            input: Vec::new(),
            scanned_bytes: 0,
            response: None,
            output: SendQueue::default(),
            exchange_count: 0,
            mismatched_responses: 0,
            recent_correlation_hashes: VecDeque::new(),
            reusable_until: None,
            byte_budget: None,
        }
    }

    /// Counts response bodies against this budget while they are read.
    pub fn with_byte_budget(mut self, budget: &Arc<ByteBudget>) -> ClientConnection {
        self.byte_budget = Some(budget.clone());
        self
    }

    fn empty_body(&self) -> HeldBytes {
        self.byte_budget
            .as_ref()
            .map_or_else(HeldBytes::default, HeldBytes::on_heap_within)
    }

    /// Queues the request of a call, whose timeout is counted from `started`.
    pub fn begin(&mut self, call: &Call, started: Instant, now: Instant) {
        self.output.push(encode_head(call).into());
        self.output.push(call.body.clone().into());
        self.exchange_count += 1;
        self.mismatched_responses = 0;
        self.remember_correlation_hashes(call);
        self.reusable_until = None;
        let mut connection_options = list_items(&call.headers, "connection");
        self.exchange = Some(Exchange {
            id: call.id,
            is_head_request: call.method == "HEAD",
            requests_close: connection_options
                .any(|option| option.trim().eq_ignore_ascii_case("close")),
            required_response_header: call.required_response_header.clone(),
            sent: false,
            received: false,
            deadline: started + call.timeout,
            connect_deadline: now + CONNECT_TIMEOUT,
        });
    }

    /// Returns true if one of the last calls on this connection was an attempt of the
    /// same request, or had the same echoed id. A duplicate response to that call
    /// could not be distinguished from the response to this one.
    pub fn recently_carried(&self, call: &Call) -> bool {
        correlation_hashes(call).any(|hash| self.recent_correlation_hashes.contains(&hash))
    }

    fn remember_correlation_hashes(&mut self, call: &Call) {
        for hash in correlation_hashes(call) {
            if self.recent_correlation_hashes.len() == MAX_RECENT_CORRELATION_HASHES {
                self.recent_correlation_hashes.pop_front();
            }
            self.recent_correlation_hashes.push_back(hash);
        }
    }

    /// Extends the timeout of the call in flight to at least `deadline`.
    pub fn extend_deadline(&mut self, deadline: Instant) {
        if let Some(exchange) = &mut self.exchange {
            exchange.deadline = exchange.deadline.max(deadline);
        }
    }

    /// Returns true if no call is in flight.
    pub fn is_idle(&self) -> bool {
        self.exchange.is_none()
    }

    /// Returns true if the socket has accepted any byte of the call in flight.
    pub fn is_sent(&self) -> bool {
        self.exchange.as_ref().is_some_and(|exchange| exchange.sent)
    }

    /// Records that the socket has accepted bytes of the call in flight.
    pub fn mark_sent(&mut self) {
        if let Some(exchange) = &mut self.exchange {
            exchange.sent = true;
        }
    }

    /// Allows the idle connection to be reused before `until`.
    pub fn allow_reuse(&mut self, until: Instant) {
        self.reusable_until = Some(until);
    }

    /// Returns true if the idle connection may still be reused.
    pub fn is_reusable(&self, now: Instant) -> bool {
        self.reusable_until.is_some_and(|until| now < until)
    }

    fn fail(&mut self, reason: &str) -> Option<FinishedExchange> {
        let exchange = self.exchange.take()?;
        let error = if !exchange.sent {
            ExchangeError::NotSent(reason.into())
        } else if self.exchange_count > 1 && !exchange.received {
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

    /// Handles the end of the connection; `is_orderly` is true if the peer closed it
    /// without an error.
    pub fn end(&mut self, is_orderly: bool, reason: &str) -> Option<FinishedExchange> {
        let is_complete = self
            .response
            .as_ref()
            .is_some_and(|response| response.body.ends_with_connection());
        if is_orderly
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

    /// Ends the call in flight because it has timed out.
    pub fn time_out(&mut self) -> Option<FinishedExchange> {
        let exchange = self.exchange.take()?;
        let error = match exchange.sent {
            true => ExchangeError::Interrupted {
                reason: "no complete response before the timeout".into(),
                reused: false,
            },
            false => ExchangeError::NotSent("no connection before the timeout".into()),
        };
        Some(FinishedExchange::failed(exchange.id, error))
    }

    /// Time at which the call in flight times out, or the idle connection is closed.
    pub fn due(&self) -> Option<Instant> {
        match &self.exchange {
            Some(exchange) if exchange.sent || self.exchange_count > 1 => Some(exchange.deadline),
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

/// Hashes of the values that correlate a response with its request.
fn correlation_hashes(call: &Call) -> impl Iterator<Item = u64> {
    let hash = |kind: u8, value: &dyn AsRef<[u8]>| {
        let mut hasher = DefaultHasher::new();
        (kind, value.as_ref()).hash(&mut hasher);
        hasher.finish()
    };
    let echo = call
        .required_response_header
        .as_ref()
        .map(|(_, value)| hash(0, value));
    let request = call.request.map(|id| hash(1, &id.to_be_bytes()));
    echo.into_iter().chain(request)
}
