//! Why a log was not opened.

use crate::prelude::*;

/// Why a log was not opened. Nothing was changed on disk then.
#[derive(Debug, thiserror::Error)]
pub enum OpenError {
    /// The file system refused; what is on the disk is not known.
    #[error("{file}: {error}")]
    Io {
        /// Path of the file or folder.
        file: String,
        /// What the file system reported. Part of the text, so no source.
        error: io::Error,
    },
    /// A file that this program did not write, or another version of it.
    #[error("{file} is not a file of this program: {found}")]
    Foreign {
        /// Path of the file.
        file: String,
        /// What it holds instead.
        found: String,
    },
    /// A file of ours that is corrupt before its tail: what followed cannot be
    /// trusted to be complete.
    #[error("{file} is damaged at byte {at}")]
    Damaged {
        /// Path of the file.
        file: String,
        /// Offset of the first bad byte.
        at: usize,
    },
    /// A segment between others is missing.
    #[error("{file} is missing")]
    Missing {
        /// Path of the missing file.
        file: String,
    },
}

impl OpenError {
    /// Whether the files are ours: then the log may be refilled by the other
    /// replicas once these files are quarantined.
    pub fn is_recoverable_from_peers(&self) -> bool {
        matches!(self, OpenError::Damaged { .. } | OpenError::Missing { .. })
    }
}
