//! The log on disk: segments of checked records, with an image beside them.
pub mod prelude;
mod segment_log;
pub use segment_log::{Loaded, SegmentLog};
