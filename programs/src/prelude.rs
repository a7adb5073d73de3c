pub use control_plane::{ControlPart, Gather, History, Replica};
pub use data_plane::{EdgePart, call_origin};
pub use kernel::prelude::*;
pub use segment_log::SegmentLog;
