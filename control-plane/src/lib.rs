//! The control plane: owners of slices, sessions with the edges, duties.
mod bootstrap;
mod control_part;
mod duty_plan;
mod history;
mod ledger;
mod news_replies;
mod operator_face;
mod partition_leader;
pub mod prelude;
mod replica;
mod replica_recovery;
mod sessions;
pub use bootstrap::Bootstrap;
pub use control_part::ControlPart;
pub use history::History;
pub use replica::{Record, Replica};
