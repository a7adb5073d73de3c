//! The control plane: owners of slices, sessions with the edges, duties.
mod control_part;
mod duty_plan;
mod gather;
mod history;
mod keeper;
mod ledger;
mod operator_face;
pub mod prelude;
mod refiller;
mod replica;
mod sessions;
pub use control_part::ControlPart;
pub use gather::Gather;
pub use history::History;
pub use replica::{Record, Replica};
