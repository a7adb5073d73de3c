//! The control plane: replicated partitions and their leaders, membership, sessions of the edges, and the edges'
//! assignments.
#![warn(missing_docs, unreachable_pub)]

mod assignment_plan;
mod bootstrap;
mod control_node;
mod history;
mod ledger;
mod operator_api;
mod partition_leader;
pub mod prelude;
mod replica;
mod replica_recovery;
mod sessions;
mod succession_version;
mod update_replies;
pub use bootstrap::Bootstrap;
pub use control_node::ControlNode;
pub use history::{History, HistoryError};
pub use replica::{Record, ReplayError, Replica};
