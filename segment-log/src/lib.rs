//! The log on disk: segments of checked records, with an image beside them.
mod folder;
mod open_error;
pub mod prelude;
mod segment_log;
pub use folder::{DiskFolder, Folder};
pub use open_error::OpenError;
pub use segment_log::{Loaded, SegmentLog};
