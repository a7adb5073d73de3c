//! Imports shared by the modules of this crate.
pub use crate::{run_control_node, run_edge_node};
pub use anyhow::{Context, Result, anyhow, bail};
pub use control_plane::{Bootstrap, ControlNode, History, Record, Replica};
pub use data_plane::{DefaultProtocol, EdgeNode, HttpFrontend};
pub use kernel::prelude::*;
pub use segment_log::{Loaded, SegmentLog};
