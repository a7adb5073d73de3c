//! Errors of opening a log.

use crate::prelude::*;

/// Reasons why a log could not be opened. Except for `Io`, nothing was changed on disk.
#[derive(Debug, thiserror::Error)]
pub enum OpenError {
    /// A file system operation failed; the state of the disk is unknown.
    #[error("{file}: {error}")]
    Io {
        /// Path of the file or folder.
        file: String,
        /// The error of the file system. It is part of the text and therefore not the
        /// error's source.
        error: io::Error,
    },
    /// A file was written by another program, or by another version of this one.
    #[error("{file} is not a file of this program: {found}")]
    Foreign {
        /// Path of the file.
        file: String,
        /// Description of the contents found.
        found: String,
    },
    /// A file of the log is corrupt before its tail: the following records may be
    /// incomplete.
    #[error("{file} is damaged at byte {at}")]
    Damaged {
        /// Path of the file.
        file: String,
        /// Offset of the first invalid byte.
        at: usize,
    },
    /// A segment is missing between others.
    #[error("{file} is missing")]
    Missing {
        /// Path of the missing file.
        file: String,
    },
}

impl OpenError {
    /// Returns true if the files belong to this log: after they are quarantined, the log
    /// may be refilled from the other replicas.
    pub fn is_recoverable_from_peers(&self) -> bool {
        matches!(self, OpenError::Damaged { .. } | OpenError::Missing { .. })
    }
}
