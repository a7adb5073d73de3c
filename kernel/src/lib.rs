//! What every otterslip process is built on: startup, messages, frames, links,
//! ticks, events and the host that drives a part.
pub mod accepted;
pub mod applied;
pub mod configuration;
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
pub mod peer;
pub mod plug_in;
pub mod prelude;
pub mod protocol;
pub mod quorum;
pub mod route_table;
pub mod row;
pub mod shared_updates;
pub mod slot_set;
pub mod startup;
pub mod state_machine;
pub mod store;
