pub use crate::segment_log::{Loaded, SegmentLog};
pub use kernel::prelude::*;
pub use std::fs::{self, File, OpenOptions};
