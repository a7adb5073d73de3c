//! The common base of all otterslip processes: settings, messages, frames, links,
//! events, and the host that drives a node's state machine.
#![warn(missing_docs, unreachable_pub)]

pub mod accepted;
pub mod applied;
pub mod call;
pub mod client;
pub mod configuration;
pub mod document_change;
pub mod event;
pub mod finding;
pub mod frame;
pub mod frontend;
pub mod host;
pub mod items;
pub mod items_change;
pub mod lease;
pub mod link;
pub mod message;
pub mod operator_server;
pub mod origin;
pub mod partition;
pub mod peer;
pub mod plug_in;
pub mod port;
pub mod prelude;
pub mod protocol;
pub mod purge;
pub mod quorum;
pub mod refusals;
pub mod released_requests;
pub mod resource_limits;
pub mod route_table;
pub mod row;
pub mod shared_updates;
pub mod slot_set;
pub mod startup;
pub mod state_machine;
pub mod store;
