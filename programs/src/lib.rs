//! Startup of control and edge nodes, shared by the programs of this package and by
//! platform adapters.
#![warn(missing_docs, unreachable_pub)]

mod control_node;
mod edge_node;
pub mod prelude;
pub use control_node::run_control_node;
pub use edge_node::run_edge_node;
