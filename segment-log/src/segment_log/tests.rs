//! Tests of the `segment_log` module on a real folder.
use super::*;
use crate::folder::OpenFile;

fn temporary_path(name: &str) -> PathBuf {
    let path = std::env::temp_dir().join(format!("otterslip-log-{name}-{}", std::process::id()));
    let _ = fs::remove_dir_all(&path);
    path
}

fn write_three_records(path: &Path) {
    let mut log = SegmentLog::open(path).unwrap().log;
    for record in [b"one".as_slice(), b"two", b"three"] {
        log.append(record).unwrap();
        log.sync().unwrap();
    }
}

/// Returns the size of a batch with one record of `record_bytes` bytes.
const fn one_record_batch_bytes(record_bytes: usize) -> usize {
    8 + 4 + record_bytes
}

/// Start and end offsets of the last batch of a log from `write_three_records`.
const LAST_BATCH_START: usize = HEADER.len() + 2 * one_record_batch_bytes(3);
const LAST_BATCH_END: usize = LAST_BATCH_START + one_record_batch_bytes(5);

/// Regression: of two writes since the last fsync, the earlier was lost and the later
/// persisted, so that two of four disks were treated as blank after a loss of power.
#[test]
fn sync_writes_one_batch() {
    let path = temporary_path("one-write");
    let mut log = SegmentLog::open(&path).unwrap().log;
    let size = || fs::metadata(path.join("segment-00000001")).unwrap().len();
    log.append(b"one").unwrap();
    log.sync().unwrap();
    log.append(b"two").unwrap();
    log.append(b"three").unwrap();
    let one = HEADER.len() + one_record_batch_bytes(3);
    assert_eq!(size(), one as u64, "nothing is written before the sync");
    log.sync().unwrap();
    let two = 8 + (4 + 3) + (4 + 5);
    assert_eq!(size(), (one + two) as u64);
    log.append(b"four").unwrap();
    log.write_snapshot(b"all").unwrap();
    log.append(b"five").unwrap();
    log.sync().unwrap();
    assert_eq!(
        SegmentLog::open(&path).unwrap().records,
        [b"all".to_vec(), b"five".to_vec()]
    );
    fs::remove_dir_all(&path).unwrap();
}

#[test]
fn torn_tail_of_every_length_is_truncated() {
    let path = temporary_path("torn");
    for kept in LAST_BATCH_START..LAST_BATCH_END {
        let _ = fs::remove_dir_all(&path);
        write_three_records(&path);
        let file = path.join("segment-00000001");
        let bytes = fs::read(&file).unwrap();
        assert_eq!(bytes.len(), LAST_BATCH_END);
        fs::write(&file, &bytes[..kept]).unwrap();
        let loaded = SegmentLog::open(&path).unwrap();
        assert_eq!(loaded.records, [b"one".to_vec(), b"two".to_vec()]);
        assert_eq!(loaded.truncated_bytes, (kept - LAST_BATCH_START) as u64);
        assert_eq!(SegmentLog::open(&path).unwrap().truncated_bytes, 0);
    }
    fs::remove_dir_all(&path).unwrap();
}

/// Copies the log as after a loss of power: with only `bytes` of one file, and a torn
/// draft of a snapshot.
fn copy_after_power_loss(path: &Path, file: &Path, bytes: &[u8], draft: &[u8]) -> PathBuf {
    let copy = temporary_path("cut-copy");
    fs::create_dir_all(&copy).unwrap();
    for entry in fs::read_dir(path).unwrap() {
        let entry = entry.unwrap();
        fs::copy(entry.path(), copy.join(entry.file_name())).unwrap();
    }
    fs::write(copy.join(file.file_name().unwrap()), bytes).unwrap();
    fs::write(copy.join(DRAFT), draft).unwrap();
    copy
}

/// Power is lost at any byte written since the last fsync, including during a roll or a
/// snapshot: all synced records are read in order, and no record that was never written.
#[test]
fn synced_records_survive_power_loss_at_every_unsynced_byte() {
    let path = temporary_path("cut");
    let record = |number: u32| number.to_be_bytes().repeat(40);
    let mut log = SegmentLog::open(&path).unwrap().log;
    let mut written = Vec::new();
    for round in 0..6u32 {
        if round == 3 {
            log.write_snapshot(&record(1000)).unwrap();
            written = vec![record(1000)];
        }
        for index in 0..5 {
            log.append(&record(round * 5 + index)).unwrap();
            written.push(record(round * 5 + index));
        }
        log.sync().unwrap();
        let file = path.join(format!("segment-{:08}", log.number));
        let synced = fs::metadata(&file).unwrap().len();
        log.append(&record(900 + round)).unwrap();
        // The loss of power interrupts the sync after its write.
        log.flush().unwrap();
        let bytes = fs::read(&file).unwrap();
        for kept in synced..=bytes.len() as u64 {
            let draft = &bytes[..(kept - synced) as usize];
            let copy = copy_after_power_loss(&path, &file, &bytes[..kept as usize], draft);
            let read = SegmentLog::open(&copy).unwrap().records;
            let expected = if kept == bytes.len() as u64 {
                written.len() + 1
            } else {
                written.len()
            };
            assert_eq!(
                read.len(),
                expected,
                "round {round}, {kept} of {} bytes",
                bytes.len()
            );
            assert!(read.starts_with(&written));
            fs::remove_dir_all(&copy).unwrap();
        }
        written.push(record(900 + round));
    }
    fs::remove_dir_all(&path).unwrap();
}

/// Corrupted bytes in the unsynced tail are truncated like a torn record, provided that
/// no valid frame follows.
#[test]
fn corrupted_last_record_is_truncated() {
    let path = temporary_path("corrupted");
    write_three_records(&path);
    let file = path.join("segment-00000001");
    let good = fs::read(&file).unwrap();
    for offset in LAST_BATCH_START..good.len() {
        let mut bad = good.clone();
        bad[offset] ^= 0x55;
        fs::write(&file, &bad).unwrap();
        let read = SegmentLog::open(&path).unwrap().records;
        assert_eq!(read, [b"one".to_vec(), b"two".to_vec()], "byte {offset}");
        fs::write(&file, &good).unwrap();
    }
    fs::remove_dir_all(&path).unwrap();
}

#[test]
fn failed_write_is_reported_by_sync() {
    let path = temporary_path("refused");
    let mut log = SegmentLog::open(&path).unwrap().log;
    // Replaces the segment by a device that is always full.
    let full = OpenOptions::new().append(true).open("/dev/full").unwrap();
    log.folder.open_file = Some(OpenFile {
        name: "segment-00000001".into(),
        file: full,
    });
    log.append(b"record").unwrap();
    assert!(log.sync().is_err(), "no record is reported as stored");
    fs::remove_dir_all(&path).unwrap();
}

#[test]
fn damage_before_tail_is_refused() {
    let path = temporary_path("damage");
    write_three_records(&path);
    let file = path.join("segment-00000001");
    let good = fs::read(&file).unwrap();
    for offset in 0..LAST_BATCH_START {
        let mut bad = good.clone();
        bad[offset] ^= 1;
        fs::write(&file, &bad).unwrap();
        assert!(SegmentLog::open(&path).is_err(), "byte {offset}");
    }
    fs::remove_dir_all(&path).unwrap();
}

#[test]
fn snapshot_replaces_earlier_records_and_bounds_file_count() {
    let path = temporary_path("image");
    let mut log = SegmentLog::open(&path).unwrap().log;
    for round in 0..50u8 {
        log.append(&[round; 2000]).unwrap();
        log.write_snapshot(&[round + 100; 10]).unwrap();
        log.append(&[round; 5]).unwrap();
        log.sync().unwrap();
    }
    let names = fs::read_dir(&path).unwrap().count();
    assert_eq!(names, 2);
    let loaded = SegmentLog::open(&path).unwrap();
    assert_eq!(loaded.records, [vec![149; 10], vec![49; 5]]);
    fs::remove_dir_all(&path).unwrap();
}

/// Writes foreign content to a file and asserts that the log is not opened, that the
/// error names the file, and that the folder is unchanged.
fn assert_refused_unchanged(path: &Path, name: &str, content: &[u8]) {
    let file = path.join(name);
    fs::write(&file, content).unwrap();
    let before = folder_contents(path);
    let Err(error) = SegmentLog::open(path) else {
        panic!("{name} was opened")
    };
    assert!(!error.is_recoverable_from_peers(), "{error}");
    assert!(error.to_string().contains(name), "{error}");
    assert_eq!(folder_contents(path), before);
}

fn folder_contents(path: &Path) -> BTreeMap<String, Vec<u8>> {
    let read = |name: String| (name.clone(), fs::read(path.join(name)).unwrap());
    let folder = DiskFolder::open(path).unwrap();
    folder.names().unwrap().into_iter().map(read).collect()
}

#[test]
fn foreign_file_is_named_and_left_unchanged() {
    for name in ["segment-00000001", "segment-00000002", "image-00000001"] {
        let path = temporary_path("foreign");
        write_three_records(&path);
        assert_refused_unchanged(&path, name, b"SQLite format 3\0 and what follows");
        fs::remove_dir_all(&path).unwrap();
    }
}

#[test]
fn unknown_format_version_is_named_and_left_unchanged() {
    let path = temporary_path("later-version");
    write_three_records(&path);
    let mut bytes = fs::read(path.join("segment-00000001")).unwrap();
    bytes[HEADER.len() - 1] += 1;
    assert_refused_unchanged(&path, "segment-00000001", &bytes);
    fs::remove_dir_all(&path).unwrap();
}

#[test]
fn damaged_log_is_quarantined_with_its_bytes() {
    let path = temporary_path("quarantine");
    write_three_records(&path);
    let file = path.join("segment-00000001");
    let mut bytes = fs::read(&file).unwrap();
    bytes[HEADER.len() + 12] ^= 1;
    fs::write(&file, &bytes).unwrap();
    let Err(error) = SegmentLog::open(&path) else {
        panic!("a damaged log was opened")
    };
    assert!(error.is_recoverable_from_peers(), "{error}");
    assert!(error.to_string().contains("segment-00000001"), "{error}");
    let quarantined = SegmentLog::quarantine(&path).unwrap();
    assert_eq!(
        fs::read(quarantined.join("segment-00000001")).unwrap(),
        bytes
    );
    assert!(SegmentLog::open(&path).unwrap().records.is_empty());
    fs::remove_dir_all(&path).unwrap();
    fs::remove_dir_all(&quarantined).unwrap();
}

/// Files of version 0 have no header.
#[test]
fn headerless_files_are_read_and_not_appended_to() {
    let path = temporary_path("version-0");
    fs::create_dir_all(&path).unwrap();
    let old: Vec<u8> = [b"one".as_slice(), b"two"].map(encode_frame).concat();
    let file = path.join("segment-00000001");
    fs::write(&file, [&old[..], &encode_frame(b"torn")[..9]].concat()).unwrap();
    let mut loaded = SegmentLog::open(&path).unwrap();
    assert_eq!(loaded.records, [b"one".to_vec(), b"two".to_vec()]);
    assert_eq!(loaded.truncated_bytes, 9);
    loaded.log.append(b"three").unwrap();
    loaded.log.sync().unwrap();
    assert_eq!(fs::read(&file).unwrap(), old);
    let records = SegmentLog::open(&path).unwrap().records;
    assert_eq!(
        records,
        [b"one".to_vec(), b"two".to_vec(), b"three".to_vec()]
    );
    fs::remove_dir_all(&path).unwrap();
}

/// Regression: the draft of an interrupted snapshot remained on a full disk and occupied
/// its space.
#[test]
fn interrupted_snapshot_draft_is_removed_on_open() {
    let path = temporary_path("draft");
    write_three_records(&path);
    fs::write(path.join(DRAFT), [0; 1000]).unwrap();
    assert_eq!(SegmentLog::open(&path).unwrap().records.len(), 3);
    assert!(!path.join(DRAFT).exists());
    fs::remove_dir_all(&path).unwrap();
}
