//! Clients that send what the users' pages do not allow, or stop in the middle of it, and
//! the resources that a process holds meanwhile.
mod crowd;
mod ordinary_request;
mod process_usage;
mod sending;

pub use crowd::Crowd;
pub use ordinary_request::OrdinaryRequest;
pub use process_usage::{PeakUsage, UsageSampler};
pub use sending::{Framing, Sending};
