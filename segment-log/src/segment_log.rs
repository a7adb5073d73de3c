//! The segmented log: appends records in batches, rolls segments and writes snapshots.

#[cfg(test)]
mod tests;

use crate::file_names::*;
use crate::folder::sync_parent;
use crate::frame::{HEADER, encode_frame, encode_record};
use crate::prelude::*;
use crate::recovery::{create_segment, read_segments, read_snapshot, remove_below, repair};

/// A write-ahead log in a folder of segments. Invariants:
/// - Snapshot N replaces everything before segment N; segments below the number of
///   the newest snapshot are obsolete and removed.
/// - A file starts with a header, which is synced before anything follows it.
/// - A snapshot is written under a temporary name, synced and renamed, and the folder
///   is synced, before older files are removed.
/// - Between two fsyncs there is at most one write, of one batch: `length, checksum,
///   records`, each record with its length. Therefore, after a loss of power, a batch
///   is either complete or discarded, regardless of the order in which its bytes reach
///   the disk, and only the newest segment may end in a torn batch.
pub struct SegmentLog<F: Folder = DiskFolder> {
    folder: F,
    /// Number of the segment that is appended to.
    number: u64,
    /// Size of that segment in bytes, without the pending records. Approximate if
    /// opening the log created the segment.
    segment_bytes: u64,
    /// Encoded records that the next sync writes as one batch.
    pending: Vec<u8>,
}

/// An opened log with the contents read from disk.
pub struct Loaded<F: Folder = DiskFolder> {
    /// The log, ready for appends.
    pub log: SegmentLog<F>,
    /// All records, oldest first; the first may be a snapshot.
    pub records: Vec<Vec<u8>>,
    /// Number of bytes of a torn tail that were truncated.
    pub truncated_bytes: u64,
    /// Size of the snapshot record in bytes.
    pub snapshot_bytes: usize,
    /// Size of the records after the snapshot in bytes.
    pub log_bytes: usize,
}

/// Size of a segment, in bytes, above which the next record starts a new one.
const SEGMENT_BYTES: u64 = 8 * 1024 * 1024;

impl SegmentLog {
    /// Opens the log in a folder, which is created if it does not exist.
    pub fn open(path: &Path) -> Result<Loaded, OpenError> {
        let folder = DiskFolder::open(path).map_err(|error| OpenError::Io {
            file: path.display().to_string(),
            error,
        })?;
        SegmentLog::open_in(folder)
    }

    /// Renames the folder of a damaged log to the first free name `corrupt-N`. The
    /// rename is durable: a later loss of power must not restore the folder in place
    /// of its successor.
    pub fn quarantine(folder: &Path) -> io::Result<PathBuf> {
        for number in 1.. {
            let quarantined = folder.with_extension(format!("corrupt-{number}"));
            if !quarantined.exists() {
                fs::rename(folder, &quarantined)?;
                sync_parent(folder)?;
                return Ok(quarantined);
            }
        }
        Err(io::Error::other("no unused folder name"))
    }
}

impl<F: Folder> SegmentLog<F> {
    /// Opens the log. All files are read before anything is changed, so the folder is
    /// left unchanged if a file cannot be read.
    pub fn open_in(mut folder: F) -> Result<Loaded<F>, OpenError> {
        let snapshots = numbers_after(&folder, SNAPSHOT_PREFIX)?;
        let snapshot = snapshots.into_iter().max().unwrap_or(0);
        let mut records = Vec::new();
        if snapshot > 0 {
            records.push(read_snapshot(&folder, snapshot)?);
        }
        let snapshot_bytes = records.iter().map(Vec::len).sum();
        let mut segments = read_segments(&folder, snapshot)?;
        let log_bytes = segments.records.iter().map(Vec::len).sum();
        records.append(&mut segments.records);
        let number = match segments.newest {
            Some(newest) if !segments.has_batches => newest + 1,
            Some(newest) => newest,
            None => snapshot.max(1),
        };
        let file = folder.path().display().to_string();
        repair(&mut folder, number, snapshot, &segments)
            .map_err(|error| OpenError::Io { file, error })?;
        Ok(Loaded {
            log: SegmentLog {
                folder,
                number,
                segment_bytes: segments.valid_bytes as u64,
                pending: Vec::new(),
            },
            records,
            truncated_bytes: (segments.total_bytes - segments.valid_bytes) as u64,
            snapshot_bytes,
            log_bytes,
        })
    }

    /// Writes the pending records as one batch, without an fsync.
    fn flush(&mut self) -> io::Result<()> {
        if !self.pending.is_empty() {
            let batch = encode_frame(&self.pending);
            self.segment_bytes += batch.len() as u64;
            self.folder.append(&segment_name(self.number), &batch)?;
            self.pending.clear();
        }
        Ok(())
    }

    /// Starts the next segment.
    fn roll(&mut self) -> io::Result<()> {
        self.flush()?;
        self.folder.sync_file(&segment_name(self.number))?;
        self.number += 1;
        self.segment_bytes = HEADER.len() as u64;
        create_segment(&mut self.folder, self.number)?;
        self.folder.sync()
    }

    fn replace_with_snapshot(&mut self, record: &[u8]) -> io::Result<()> {
        self.roll()?;
        self.folder.create(DRAFT)?;
        let batch = encode_frame(&encode_record(record));
        self.folder.append(DRAFT, &[&HEADER[..], &batch].concat())?;
        self.folder.sync_file(DRAFT)?;
        self.folder.rename(DRAFT, &snapshot_name(self.number))?;
        self.folder.sync()?;
        remove_below(&mut self.folder, self.number)
    }
}

impl<F: Folder> Store for SegmentLog<F> {
    fn append(&mut self, record: &[u8]) -> Result<(), StoreError> {
        if self.segment_bytes + self.pending.len() as u64 > SEGMENT_BYTES {
            self.roll()?;
        }
        self.pending.extend(encode_record(record));
        Ok(())
    }

    fn write_snapshot(&mut self, record: &[u8]) -> Result<(), StoreError> {
        Ok(self.replace_with_snapshot(record)?)
    }

    fn sync(&mut self) -> Result<(), StoreError> {
        self.flush()?;
        Ok(self.folder.sync_file(&segment_name(self.number))?)
    }

    fn reopen(&mut self) -> Result<(), StoreError> {
        let folder = self.folder.reopen()?;
        let loaded =
            SegmentLog::open_in(folder).map_err(|error| StoreError::Reopen(error.into()))?;
        *self = loaded.log;
        Ok(())
    }
}
