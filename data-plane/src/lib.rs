//! The data plane of an edge node: request filters, caches, admission control and calls
//! to origins.
#![warn(missing_docs, unreachable_pub)]
mod abandoned_work;
mod active_request;
mod admission;
mod cache_owner;
mod call_outcome;
mod coalescer;
mod default_protocol;
mod edge_node;
mod fallback_quota;
mod fetch_start;
mod filter;
mod http_frontend;
mod leases;
mod link_delay_estimator;
mod memory_budget;
mod near_cache;
pub mod prelude;
mod purge_log;
mod request_conversion;
mod response_signature;
mod response_sizes;
pub use call_outcome::classify_call_outcome;
pub use default_protocol::DefaultProtocol;
pub use edge_node::EdgeNode;
pub use http_frontend::HttpFrontend;
pub use request_conversion::into_client_request;
pub use response_signature::ResponseSignature;
