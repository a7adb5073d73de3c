//! The stored log, held by files written by commit 3cfc7c8.
//!
//! The files beside this one are never edited: what that version stored is
//! read by every later one.
#[path = "../../../kernel/tests/samples/mod.rs"]
mod samples;

mod records;

use control_plane::prelude::*;
use segment_log::{OpenError, SegmentLog};
use std::fs;

/// The replica after all records, as the record of a snapshot.
const REPLAYED: &str = include_str!("replayed.hex");

/// A copy of the checked-in log that a test may open, removed at its end.
struct ScratchLog {
    folder: PathBuf,
}

impl ScratchLog {
    fn new(test: &str) -> ScratchLog {
        let folder =
            std::env::temp_dir().join(format!("otterslip-stored-{test}-{}", std::process::id()));
        let _ = fs::remove_dir_all(&folder);
        fs::create_dir_all(&folder).unwrap();
        for file in fs::read_dir(checked_in()).unwrap() {
            let file = file.unwrap();
            fs::copy(file.path(), folder.join(file.file_name())).unwrap();
        }
        ScratchLog { folder }
    }

    /// Each file's name and bytes.
    fn contents(&self) -> BTreeMap<PathBuf, Vec<u8>> {
        fs::read_dir(&self.folder)
            .unwrap()
            .map(|file| file.unwrap().path())
            .map(|path| (path.clone(), fs::read(&path).unwrap()))
            .collect()
    }

    /// The oldest segment, which others follow.
    fn oldest_segment(&self) -> PathBuf {
        let is_segment = |path: &PathBuf| {
            path.file_name()
                .unwrap()
                .to_string_lossy()
                .starts_with("segment")
        };
        self.contents().into_keys().find(is_segment).unwrap()
    }

    /// Why the log is not opened; its files must be as they were.
    fn refusal(&self) -> OpenError {
        let before = self.contents();
        let refusal = SegmentLog::open(&self.folder).err().unwrap();
        assert_eq!(self.contents(), before);
        refusal
    }
}

impl Drop for ScratchLog {
    fn drop(&mut self) {
        let _ = fs::remove_dir_all(&self.folder);
    }
}

fn checked_in() -> PathBuf {
    Path::new(env!("CARGO_MANIFEST_DIR")).join("tests/stored_data/log")
}

fn hexadecimal(bytes: &[u8]) -> String {
    bytes.iter().map(|byte| format!("{byte:02x}")).collect()
}

#[test]
fn checked_in_log_yields_every_record() {
    let log = ScratchLog::new("records");
    let loaded = SegmentLog::open(&log.folder).unwrap();
    let expected: Vec<Vec<u8>> = records::records().iter().map(Record::bytes).collect();
    assert_eq!(loaded.records, expected);
    let read: Vec<Record> = loaded
        .records
        .iter()
        .map(|record| bincode::deserialize(record).unwrap())
        .collect();
    assert_eq!(read, records::records());
}

#[test]
fn checked_in_log_replays_to_the_checked_in_replica() {
    let log = ScratchLog::new("replay");
    let loaded = SegmentLog::open(&log.folder).unwrap();
    let replica = Replica::replay(&loaded.records).unwrap().unwrap();
    let snapshot = Record::Snapshot(Box::new(replica));
    assert_eq!(hexadecimal(&snapshot.bytes()), REPLAYED.trim());
}

#[test]
fn damaged_checked_in_log_is_refused_unmodified() {
    let log = ScratchLog::new("damaged");
    let segment = log.oldest_segment();
    let mut bytes = fs::read(&segment).unwrap();
    let middle = bytes.len() / 2;
    bytes[middle] ^= 0xff;
    fs::write(&segment, bytes).unwrap();
    assert!(matches!(log.refusal(), OpenError::Damaged { .. }));
}

#[test]
fn foreign_file_in_checked_in_log_is_refused_unmodified() {
    let log = ScratchLog::new("foreign");
    fs::write(log.oldest_segment(), "not a segment of ours").unwrap();
    assert!(matches!(log.refusal(), OpenError::Foreign { .. }));
}
