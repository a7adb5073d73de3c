//! Filters that validate a request before the edge processes it.
#[cfg(test)]
mod tests;

use crate::prelude::*;

/// A received request that has not passed the filters yet.
#[derive(Debug, Clone)]
pub struct IncomingRequest {
    /// The method.
    pub method: String,
    /// The `Host` header.
    pub host: String,
    /// The request target: path and query.
    pub url: String,
    /// All headers as received.
    pub headers: Vec<(String, String)>,
    /// The body.
    pub body: Arc<HeldBytes>,
    /// The operation key, if the request has one in the header that the protocol uses.
    pub operation_key: Option<String>,
    /// The client's timeout, if it sent one.
    pub timeout: Option<Duration>,
    /// The request id that the client sent, if any.
    pub request_id: Option<String>,
    /// Set if the edge is live.
    pub is_live: bool,
    /// The routes in force, if any are known.
    pub routes: Option<Arc<RouteTable>>,
    /// The index of the matching route, set by the route filter.
    pub route_index: Option<usize>,
}

impl IncomingRequest {
    fn kind(&self) -> Option<Kind> {
        Some(self.routes.as_ref()?.document.entries[self.route_index?].kind)
    }
}

/// A filter of the chain. The first filter that rejects a request ends the chain.
pub trait Filter: Sync {
    /// Returns the rejection of a request that does not pass.
    fn reject(&self, request: &mut IncomingRequest) -> Option<Rejection>;
}

/// The registration of a filter with its position in the chain.
pub struct FilterPlugIn {
    /// Filters run in ascending order.
    pub order: u32,
    /// The filter.
    pub filter: &'static dyn Filter,
}

inventory::collect!(FilterPlugIn);

/// Runs the filters in order. Returns the rejection of the first one that the request
/// does not pass.
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

/// Maximum length of a URL in bytes.
const MAX_URL_BYTES: usize = 2048;
/// Maximum total size of the headers in bytes, unless the configuration sets a limit.
const DEFAULT_MAX_HEADER_BYTES: usize = 16 * 1024;
/// Maximum length of an operation key in bytes.
const MAX_OPERATION_KEY_BYTES: usize = 128;

/// Rejects URLs and headers that are too large or malformed.
struct SizeAndSyntaxFilter;
inventory::submit!(FilterPlugIn {
    order: 10,
    filter: &SizeAndSyntaxFilter
});

impl Filter for SizeAndSyntaxFilter {
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
struct ConfigurationFilter;
inventory::submit!(FilterPlugIn {
    order: 20,
    filter: &ConfigurationFilter
});

impl Filter for ConfigurationFilter {
    fn reject(&self, request: &mut IncomingRequest) -> Option<Rejection> {
        request.routes.is_none().then(|| {
            Rejection::unknown(503, "not_ready", "this node has no configuration yet")
                .with_nothing_sent()
        })
    }
}

/// Rejects requests while the edge is fenced. No response may depend on its possibly
/// outdated configuration, not even one that a route does not exist. A request with an
/// operation key may have run elsewhere, so its outcome is unknown.
struct FenceFilter;
inventory::submit!(FilterPlugIn {
    order: 25,
    filter: &FenceFilter
});

impl Filter for FenceFilter {
    fn reject(&self, request: &mut IncomingRequest) -> Option<Rejection> {
        let outcome = if request.operation_key.is_some() {
            RunState::Unknown
        } else {
            RunState::NotRun
        };
        (!request.is_live).then(|| Rejection::fenced(outcome))
    }
}

/// Finds the request's route, and rejects requests without one.
struct RouteFilter;
inventory::submit!(FilterPlugIn {
    order: 30,
    filter: &RouteFilter
});

impl Filter for RouteFilter {
    fn reject(&self, request: &mut IncomingRequest) -> Option<Rejection> {
        let routes = request.routes.as_ref()?;
        request.route_index = routes.find(&request.host, &request.url, &request.method);
        request
            .route_index
            .is_none()
            .then(|| Rejection::not_run(404, "no_entry", "no entry matches host, path and method"))
    }
}

/// Rejects requests of keyed routes without a valid operation key.
struct OperationKeyFilter;
inventory::submit!(FilterPlugIn {
    order: 40,
    filter: &OperationKeyFilter
});

impl Filter for OperationKeyFilter {
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
