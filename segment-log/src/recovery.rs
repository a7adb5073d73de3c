//! Recovery: reads a log's files on open, and repairs the result of an interruption.

use crate::file_names::*;
use crate::frame::{FileContents, ForeignContent, HEADER, parse};
use crate::prelude::*;

/// The contents of the segments, read before anything is changed.
pub(crate) struct Segments {
    pub(crate) records: Vec<Vec<u8>>,
    pub(crate) newest: Option<u64>,
    /// Number of valid bytes of the newest segment, out of `total_bytes`.
    pub(crate) valid_bytes: usize,
    pub(crate) total_bytes: usize,
    /// True if the newest segment contains batches, so that it can be appended to.
    pub(crate) has_batches: bool,
}

/// Reads the record of a snapshot, which must be complete.
pub(crate) fn read_snapshot(folder: &impl Folder, number: u64) -> Result<Vec<u8>, OpenError> {
    let name = snapshot_name(number);
    let mut contents = read_file(folder, &name)?;
    if contents.valid_bytes != contents.total_bytes || contents.records.len() != 1 {
        return Err(damaged(folder, &name, &contents));
    }
    Ok(contents.records.remove(0))
}

/// Reads all segments from the snapshot on; only the newest may end in a torn batch.
pub(crate) fn read_segments(folder: &impl Folder, snapshot: u64) -> Result<Segments, OpenError> {
    let mut numbers = numbers_after(folder, SEGMENT_PREFIX)?;
    numbers.retain(|number| *number >= snapshot);
    numbers.sort_unstable();
    let first = if snapshot > 0 {
        snapshot
    } else {
        numbers.first().copied().unwrap_or(1)
    };
    let mut segments = Segments {
        records: Vec::new(),
        newest: numbers.last().copied(),
        valid_bytes: 0,
        total_bytes: 0,
        has_batches: true,
    };
    for (number, expected) in numbers.iter().zip(first..) {
        if *number != expected {
            let file = display_path(folder, &segment_name(expected));
            return Err(OpenError::Missing { file });
        }
        let is_newest = Some(*number) == segments.newest;
        let mut contents = read_segment(folder, *number, is_newest)?;
        segments.records.append(&mut contents.records);
        segments.valid_bytes = contents.valid_bytes;
        segments.total_bytes = contents.total_bytes;
        segments.has_batches = contents.has_batches;
    }
    Ok(segments)
}

fn read_segment(
    folder: &impl Folder,
    number: u64,
    is_newest: bool,
) -> Result<FileContents, OpenError> {
    let name = segment_name(number);
    let contents = if is_newest {
        read_newest(folder, &name)?
    } else {
        read_file(folder, &name)?
    };
    let is_complete = contents.valid_bytes == contents.total_bytes;
    if !is_complete && (!is_newest || contents.valid_frame_follows) {
        return Err(damaged(folder, &name, &contents));
    }
    Ok(contents)
}

/// Reads the newest segment. If its header was not written completely, the segment has
/// no records: the header is synced before anything follows it.
fn read_newest(folder: &impl Folder, name: &str) -> Result<FileContents, OpenError> {
    let bytes = read_bytes(folder, name)?;
    if bytes.len() <= HEADER.len() && bytes != HEADER {
        return Ok(FileContents {
            records: vec![],
            valid_bytes: 0,
            total_bytes: bytes.len(),
            valid_frame_follows: false,
            has_batches: true,
        });
    }
    parse(&bytes).map_err(|content| foreign(folder, name, content))
}

fn read_file(folder: &impl Folder, name: &str) -> Result<FileContents, OpenError> {
    let bytes = read_bytes(folder, name)?;
    parse(&bytes).map_err(|content| foreign(folder, name, content))
}

fn read_bytes(folder: &impl Folder, name: &str) -> Result<Vec<u8>, OpenError> {
    folder.read(name).map_err(|error| OpenError::Io {
        file: display_path(folder, name),
        error,
    })
}

fn foreign(folder: &impl Folder, name: &str, content: ForeignContent) -> OpenError {
    OpenError::Foreign {
        file: display_path(folder, name),
        found: content.to_string(),
    }
}

fn damaged(folder: &impl Folder, name: &str, contents: &FileContents) -> OpenError {
    OpenError::Damaged {
        file: display_path(folder, name),
        at: contents.valid_bytes,
    }
}

/// Prepares the folder for appends: truncates a torn tail, creates segment `number` if
/// it does not exist, and removes the files left by an interrupted snapshot.
pub(crate) fn repair(
    folder: &mut impl Folder,
    number: u64,
    snapshot: u64,
    segments: &Segments,
) -> io::Result<()> {
    let newest = segments.newest.filter(|_| segments.valid_bytes > 0);
    let is_torn = segments.valid_bytes < segments.total_bytes;
    if let Some(newest) = newest.filter(|_| is_torn) {
        folder.truncate(&segment_name(newest), segments.valid_bytes as u64)?;
    }
    // The bytes that were read may not be durable yet: the process may have ended
    // between a write and its fsync.
    if let Some(newest) = newest {
        folder.sync_file(&segment_name(newest))?;
    }
    if newest != Some(number) {
        create_segment(folder, number)?;
    }
    if folder.names()?.iter().any(|name| name == DRAFT) {
        folder.remove(DRAFT)?;
    }
    remove_below(folder, snapshot)?;
    folder.sync()
}

/// Creates an empty segment with a durable header.
pub(crate) fn create_segment(folder: &mut impl Folder, number: u64) -> io::Result<()> {
    let name = segment_name(number);
    folder.create(&name)?;
    folder.append(&name, &HEADER)?;
    folder.sync_file(&name)
}

/// Removes the files replaced by the snapshot with this number.
pub(crate) fn remove_below(folder: &mut impl Folder, number: u64) -> io::Result<()> {
    for name in folder.names()? {
        if file_number(&name).is_some_and(|known| known < number) {
            folder.remove(&name)?;
        }
    }
    Ok(())
}
