//! Names of the log's files, and the numbers they contain.

use crate::prelude::*;

pub(crate) const SEGMENT_PREFIX: &str = "segment-";
pub(crate) const SNAPSHOT_PREFIX: &str = "image-";
/// Temporary name of a snapshot until it is synced.
pub(crate) const DRAFT: &str = "draft";

pub(crate) fn segment_name(number: u64) -> String {
    format!("{SEGMENT_PREFIX}{number:08}")
}

pub(crate) fn snapshot_name(number: u64) -> String {
    format!("{SNAPSHOT_PREFIX}{number:08}")
}

/// Returns the number of a segment or snapshot; `None` for other files.
pub(crate) fn file_number(name: &str) -> Option<u64> {
    number_after(name, SEGMENT_PREFIX).or_else(|| number_after(name, SNAPSHOT_PREFIX))
}

fn number_after(name: &str, prefix: &str) -> Option<u64> {
    name.strip_prefix(prefix)?.parse().ok()
}

/// Returns the numbers of all files with this prefix, in any order.
pub(crate) fn numbers_after(folder: &impl Folder, prefix: &str) -> Result<Vec<u64>, OpenError> {
    let names = folder.names().map_err(|error| OpenError::Io {
        file: folder.path().display().to_string(),
        error,
    })?;
    Ok(names
        .iter()
        .filter_map(|name| number_after(name, prefix))
        .collect())
}

/// Returns the path of a file as shown to operators.
pub(crate) fn display_path(folder: &impl Folder, name: &str) -> String {
    folder.path().join(name).display().to_string()
}
