//! A durable write-ahead log: segments of checksummed records, compacted by snapshots.
#![warn(missing_docs, unreachable_pub)]
mod file_names;
mod folder;
mod frame;
mod open_error;
#[cfg(test)]
mod power_loss_tests;
pub mod prelude;
mod recovery;
mod segment_log;
pub use folder::{DiskFolder, Folder};
pub use open_error::OpenError;
pub use segment_log::{Loaded, SegmentLog};
