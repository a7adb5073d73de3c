//! Names that most modules of this crate use.

pub use crate::folder::{DiskFolder, Folder};
pub use crate::open_error::OpenError;
pub use crate::segment_log::{Loaded, SegmentLog};
pub use kernel::prelude::*;
pub use std::fs::{self, File, OpenOptions};
pub use std::io;
