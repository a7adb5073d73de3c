//! Why a log is not opened. Nothing was changed on disk then.

use crate::prelude::*;

#[derive(Debug)]
pub enum OpenError {
    /// The disk refused; what is on it is not known.
    Io { file: String, error: io::Error },
    /// Not written by this program, or by another version of it.
    Foreign { file: String, found: String },
    /// Ours, and damaged before its tail: what came after it cannot be trusted
    /// to be complete.
    Damaged { file: String, at: usize },
    /// A file between others is missing.
    Missing { file: String },
}

impl OpenError {
    /// Whether the files are ours, so that the disk may be refilled by others
    /// once they are set aside.
    pub fn refillable(&self) -> bool {
        matches!(self, OpenError::Damaged { .. } | OpenError::Missing { .. })
    }
}

impl fmt::Display for OpenError {
    fn fmt(&self, out: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            OpenError::Io { file, error } => write!(out, "{file}: {error}"),
            OpenError::Foreign { file, found } => {
                write!(out, "{file} is not a file of this program: {found}")
            }
            OpenError::Damaged { file, at } => write!(out, "{file} is damaged at byte {at}"),
            OpenError::Missing { file } => write!(out, "{file} is missing"),
        }
    }
}

impl std::error::Error for OpenError {}
