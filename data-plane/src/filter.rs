//! Filters that check a request before the edge acts on it.
#[cfg(test)]
mod tests;

use crate::prelude::*;

/// A request as it was received, before it has passed the filters.
#[derive(Debug, Clone)]
pub struct IncomingRequest {
    /// The method.
    pub method: String,
    /// The `Host` header.
    pub host: String,
    /// Path and query.
    pub url: String,
    /// All headers as received.
    pub headers: Vec<(String, String)>,
    /// The body.
    pub body: Arc<Vec<u8>>,
    /// The key under which it runs once, in whatever header it was sent.
    pub operation_key: Option<String>,
    /// How long the client waits, if it sent a timeout.
    pub timeout: Option<Duration>,
    /// The client's own id of the request, if it has one.
    pub request_id: Option<String>,
    /// Whether the edge is live.
    pub live: bool,
    /// The routes in force, if any are known.
    pub routes: Option<Arc<RouteTable>>,
    /// The index of the matching route, set by a filter.
    pub entry: Option<usize>,
}

impl IncomingRequest {
    fn kind(&self) -> Option<Kind> {
        Some(self.routes.as_ref()?.document.entries[self.entry?].kind)
    }
}

/// One filter of the chain. The first one that rejects a request ends the chain.
pub trait Filter: Sync {
    /// The rejection of a request that does not pass.
    fn reject(&self, request: &mut IncomingRequest) -> Option<Rejection>;
}

/// A filter that registers itself, with its position in the chain.
pub struct FilterPlugIn {
    /// Filters run in ascending order.
    pub order: u32,
    /// The filter.
    pub filter: &'static dyn Filter,
}

inventory::collect!(FilterPlugIn);

/// Runs all filters in order; the rejection of the first that the request does not pass.
pub fn run_filters(request: &mut IncomingRequest) -> Option<Rejection> {
    static CHAIN: OnceLock<Vec<&FilterPlugIn>> = OnceLock::new();
    let chain = CHAIN.get_or_init(|| {
        let mut chain: Vec<&FilterPlugIn> = inventory::iter::<FilterPlugIn>().collect();
        chain.sort_by_key(|plug_in| plug_in.order);
        chain
    });
    chain
        .iter()
        .find_map(|plug_in| plug_in.filter.reject(request))
}

/// The longest URL in bytes.
const MAX_URL_BYTES: usize = 2048;
/// The largest headers in bytes, if the configuration sets no limit.
const DEFAULT_MAX_HEADER_BYTES: usize = 16 * 1024;
/// The longest operation key in bytes.
const MAX_OPERATION_KEY_BYTES: usize = 128;

/// Rejects URLs and headers that are too large or malformed.
struct SizeAndSyntax;
inventory::submit!(FilterPlugIn {
    order: 10,
    filter: &SizeAndSyntax
});

impl Filter for SizeAndSyntax {
    fn reject(&self, request: &mut IncomingRequest) -> Option<Rejection> {
        if request.url.len() > MAX_URL_BYTES {
            return Some(Rejection::not_run(
                414,
                "url_too_long",
                "the URL is longer than 2048 bytes",
            ));
        }
        if !request.url.starts_with('/') || !request.url.bytes().all(|byte| byte.is_ascii_graphic())
        {
            return Some(Rejection::not_run(
                400,
                "url_malformed",
                "the target must be a path of printable ASCII",
            ));
        }
        let header_bytes: usize = request
            .headers
            .iter()
            .map(|(name, value)| name.len() + value.len())
            .sum();
        let max_header_bytes = request
            .routes
            .as_ref()
            .and_then(|routes| routes.bounds.as_ref())
            .map_or(DEFAULT_MAX_HEADER_BYTES, |bounds| {
                bounds.head_bytes as usize
            });
        (header_bytes > max_header_bytes)
            .then(|| Rejection::not_run(431, "headers_too_large", "headers are over the limit"))
    }
}

/// Rejects requests before the first configuration is known.
struct Configured;
inventory::submit!(FilterPlugIn {
    order: 20,
    filter: &Configured
});

impl Filter for Configured {
    fn reject(&self, request: &mut IncomingRequest) -> Option<Rejection> {
        request.routes.is_none().then(|| {
            Rejection::unknown(503, "not_ready", "this node has no configuration yet")
                .with_nothing_sent()
        })
    }
}

/// Rejects requests while the edge is fenced: nothing that depends on its
/// configuration is reported, not even that there is no such route. A request
/// with an operation key may have run elsewhere.
struct NotFenced;
inventory::submit!(FilterPlugIn {
    order: 25,
    filter: &NotFenced
});

impl Filter for NotFenced {
    fn reject(&self, request: &mut IncomingRequest) -> Option<Rejection> {
        let outcome = if request.operation_key.is_some() {
            RunState::Unknown
        } else {
            RunState::NotRun
        };
        (!request.live).then(|| Rejection::fenced(outcome))
    }
}

/// Matches the request to a route.
struct RouteMatch;
inventory::submit!(FilterPlugIn {
    order: 30,
    filter: &RouteMatch
});

impl Filter for RouteMatch {
    fn reject(&self, request: &mut IncomingRequest) -> Option<Rejection> {
        let routes = request.routes.as_ref()?;
        request.entry = routes.find(&request.host, &request.url, &request.method);
        request
            .entry
            .is_none()
            .then(|| Rejection::not_run(404, "no_entry", "no entry matches host, path and method"))
    }
}

/// Rejects requests of keyed routes without a valid operation key.
struct OperationKey;
inventory::submit!(FilterPlugIn {
    order: 40,
    filter: &OperationKey
});

impl Filter for OperationKey {
    fn reject(&self, request: &mut IncomingRequest) -> Option<Rejection> {
        if request.kind() != Some(Kind::Keyed) {
            return None;
        }
        match request.operation_key.as_deref() {
            None => Some(Rejection::not_run(
                400,
                "operation_key_missing",
                "this entry needs an Operation-Key header",
            )),
            Some(key) if !is_valid_operation_key(key) => Some(Rejection::not_run(
                400,
                "operation_key_malformed",
                "an operation key is 1 to 128 printable ASCII characters",
            )),
            Some(_) => None,
        }
    }
}

fn is_valid_operation_key(key: &str) -> bool {
    (1..=MAX_OPERATION_KEY_BYTES).contains(&key.len())
        && key.bytes().all(|byte| byte.is_ascii_graphic())
}
