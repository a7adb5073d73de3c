use super::*;

fn folder(name: &str) -> PathBuf {
    let path = std::env::temp_dir().join(format!("otterslip-log-{name}-{}", std::process::id()));
    let _ = fs::remove_dir_all(&path);
    path
}

fn filled(path: &Path) {
    let mut log = SegmentLog::open(path).unwrap().log;
    for record in [b"one".as_slice(), b"two", b"three"] {
        log.append(record).unwrap();
        log.sync().unwrap();
    }
}

/// Bytes of a batch of one record of so many bytes.
const fn batch(record: usize) -> usize {
    8 + 4 + record
}

/// Where the last batch of a filled log begins, and where it ends.
const LAST: usize = HEADER.len() + 2 * batch(3);
const END: usize = LAST + batch(5);

/// Once, of two writes since the last sync the earlier was lost and the
/// later kept: two disks of four counted as blank after a loss of power.
#[test]
fn between_two_syncs_there_is_one_write() {
    let path = folder("one-write");
    let mut log = SegmentLog::open(&path).unwrap().log;
    let size = || fs::metadata(path.join("segment-00000001")).unwrap().len();
    log.append(b"one").unwrap();
    log.sync().unwrap();
    log.append(b"two").unwrap();
    log.append(b"three").unwrap();
    let one = HEADER.len() + batch(3);
    assert_eq!(size(), one as u64, "nothing is written before the sync");
    log.sync().unwrap();
    let two = 8 + (4 + 3) + (4 + 5);
    assert_eq!(size(), (one + two) as u64);
    log.append(b"four").unwrap();
    log.image(b"all").unwrap();
    log.append(b"five").unwrap();
    log.sync().unwrap();
    assert_eq!(
        SegmentLog::open(&path).unwrap().records,
        [b"all".to_vec(), b"five".to_vec()]
    );
    fs::remove_dir_all(&path).unwrap();
}

#[test]
fn a_torn_tail_is_cut_at_every_length_and_what_was_before_it_is_kept() {
    let path = folder("torn");
    for keep in LAST..END {
        let _ = fs::remove_dir_all(&path);
        filled(&path);
        let file = path.join("segment-00000001");
        let bytes = fs::read(&file).unwrap();
        assert_eq!(bytes.len(), END);
        fs::write(&file, &bytes[..keep]).unwrap();
        let loaded = SegmentLog::open(&path).unwrap();
        assert_eq!(loaded.records, [b"one".to_vec(), b"two".to_vec()]);
        assert_eq!(loaded.cut, (keep - LAST) as u64);
        assert_eq!(SegmentLog::open(&path).unwrap().cut, 0);
    }
    fs::remove_dir_all(&path).unwrap();
}

/// The power goes at any byte of what was written since the last sync, in
/// the middle of a roll or of an image too: all that was synced is read
/// back, in order, and nothing that was never written.
#[test]
fn whatever_part_of_the_unsynced_bytes_is_there_the_synced_records_read_back() {
    let path = folder("cut");
    let record = |at: u32| at.to_be_bytes().repeat(40);
    let mut log = SegmentLog::open(&path).unwrap().log;
    let mut written = Vec::new();
    for round in 0..6u32 {
        if round == 3 {
            log.image(&record(1000)).unwrap();
            written = vec![record(1000)];
        }
        for at in 0..5 {
            log.append(&record(round * 5 + at)).unwrap();
            written.push(record(round * 5 + at));
        }
        log.sync().unwrap();
        let file = path.join(format!("segment-{:08}", log.number));
        let synced = fs::metadata(&file).unwrap().len();
        log.append(&record(900 + round)).unwrap();
        // Written by the sync that the loss of power interrupts.
        log.flush().unwrap();
        let bytes = fs::read(&file).unwrap();
        for keep in synced..=bytes.len() as u64 {
            let copy = folder("cut-copy");
            fs::create_dir_all(&copy).unwrap();
            for one in fs::read_dir(&path).unwrap() {
                let one = one.unwrap();
                fs::copy(one.path(), copy.join(one.file_name())).unwrap();
            }
            fs::write(
                copy.join(file.file_name().unwrap()),
                &bytes[..keep as usize],
            )
            .unwrap();
            // A draft of an image may lie about, torn; so may the next,
            // empty segment.
            fs::write(copy.join("draft"), &bytes[..(keep - synced) as usize]).unwrap();
            let read = SegmentLog::open(&copy).unwrap().records;
            let whole = if keep == bytes.len() as u64 {
                written.len() + 1
            } else {
                written.len()
            };
            assert_eq!(
                read.len(),
                whole,
                "round {round}, {keep} of {} bytes",
                bytes.len()
            );
            assert!(read.starts_with(&written));
            fs::remove_dir_all(&copy).unwrap();
        }
        written.push(record(900 + round));
    }
    fs::remove_dir_all(&path).unwrap();
}

/// Bytes that are there but garbled, in the unsynced tail: cut, as a torn
/// record is, as long as nothing whole follows.
#[test]
fn a_garbled_last_record_is_cut() {
    let path = folder("garbled");
    filled(&path);
    let file = path.join("segment-00000001");
    let good = fs::read(&file).unwrap();
    for at in LAST..good.len() {
        let mut bad = good.clone();
        bad[at] ^= 0x55;
        fs::write(&file, &bad).unwrap();
        let read = SegmentLog::open(&path).unwrap().records;
        assert_eq!(read, [b"one".to_vec(), b"two".to_vec()], "byte {at}");
        fs::write(&file, &good).unwrap();
    }
    fs::remove_dir_all(&path).unwrap();
}

#[test]
fn a_write_that_is_refused_is_told() {
    let path = folder("refused");
    let mut log = SegmentLog::open(&path).unwrap().log;
    // A device that is always full, in the segment's place.
    let full = OpenOptions::new().append(true).open("/dev/full").unwrap();
    log.folder.open = Some(("segment-00000001".into(), full));
    log.append(b"record").unwrap();
    assert!(log.sync().is_err(), "before anything counts as stored");
    fs::remove_dir_all(&path).unwrap();
}

#[test]
fn damage_before_the_tail_is_refused() {
    let path = folder("damage");
    filled(&path);
    let file = path.join("segment-00000001");
    let good = fs::read(&file).unwrap();
    for at in 0..LAST {
        let mut bad = good.clone();
        bad[at] ^= 1;
        fs::write(&file, &bad).unwrap();
        assert!(SegmentLog::open(&path).is_err(), "byte {at}");
    }
    fs::remove_dir_all(&path).unwrap();
}

#[test]
fn an_image_replaces_what_came_before_it_and_bounds_the_folder() {
    let path = folder("image");
    let mut log = SegmentLog::open(&path).unwrap().log;
    for round in 0..50u8 {
        log.append(&[round; 2000]).unwrap();
        log.image(&[round + 100; 10]).unwrap();
        log.append(&[round; 5]).unwrap();
        log.sync().unwrap();
    }
    let names = fs::read_dir(&path).unwrap().count();
    assert_eq!(names, 2);
    let loaded = SegmentLog::open(&path).unwrap();
    assert_eq!(loaded.records, [vec![149; 10], vec![49; 5]]);
    fs::remove_dir_all(&path).unwrap();
}

/// What a file holds that this program did not write, and what stands in its
/// place afterwards: the same, and nothing beside it.
fn assert_left_alone(path: &Path, name: &str, content: &[u8]) {
    let file = path.join(name);
    fs::write(&file, content).unwrap();
    let before = listing(path);
    let Err(error) = SegmentLog::open(path) else {
        panic!("{name} was opened")
    };
    assert!(!error.refillable(), "{error}");
    assert!(error.to_string().contains(name), "{error}");
    assert_eq!(listing(path), before);
}

fn listing(path: &Path) -> BTreeMap<String, Vec<u8>> {
    let read = |name: String| (name.clone(), fs::read(path.join(name)).unwrap());
    let folder = DiskFolder::open(path).unwrap();
    folder.names().unwrap().into_iter().map(read).collect()
}

#[test]
fn a_foreign_file_is_named_and_nothing_is_overwritten() {
    for name in ["segment-00000001", "segment-00000002", "image-00000001"] {
        let path = folder("foreign");
        filled(&path);
        assert_left_alone(&path, name, b"SQLite format 3\0 and what follows");
        fs::remove_dir_all(&path).unwrap();
    }
}

#[test]
fn a_file_of_another_format_version_is_named_and_nothing_is_overwritten() {
    let path = folder("later-version");
    filled(&path);
    let mut bytes = fs::read(path.join("segment-00000001")).unwrap();
    bytes[HEADER.len() - 1] += 1;
    assert_left_alone(&path, "segment-00000001", &bytes);
    fs::remove_dir_all(&path).unwrap();
}

#[test]
fn damage_of_our_own_files_may_be_set_aside_and_is_kept_there() {
    let path = folder("aside");
    filled(&path);
    let file = path.join("segment-00000001");
    let mut bytes = fs::read(&file).unwrap();
    bytes[HEADER.len() + 12] ^= 1;
    fs::write(&file, &bytes).unwrap();
    let Err(error) = SegmentLog::open(&path) else {
        panic!("a damaged log was opened")
    };
    assert!(error.refillable(), "{error}");
    assert!(error.to_string().contains("segment-00000001"), "{error}");
    let aside = SegmentLog::set_aside(&path).unwrap();
    assert_eq!(fs::read(aside.join("segment-00000001")).unwrap(), bytes);
    assert!(SegmentLog::open(&path).unwrap().records.is_empty());
    fs::remove_dir_all(&path).unwrap();
    fs::remove_dir_all(&aside).unwrap();
}

/// As written before files had a header.
#[test]
fn files_without_a_header_are_read_and_not_written_to() {
    let path = folder("version-0");
    fs::create_dir_all(&path).unwrap();
    let old: Vec<u8> = [b"one".as_slice(), b"two"].map(framed).concat();
    let file = path.join("segment-00000001");
    fs::write(&file, [&old[..], &framed(b"torn")[..9]].concat()).unwrap();
    let mut loaded = SegmentLog::open(&path).unwrap();
    assert_eq!(loaded.records, [b"one".to_vec(), b"two".to_vec()]);
    assert_eq!(loaded.cut, 9);
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

/// Once, what a full disk had left of an image stayed there, and took the room.
#[test]
fn what_an_interrupted_image_left_is_removed_at_the_next_start() {
    let path = folder("draft");
    filled(&path);
    fs::write(path.join(DRAFT), [0; 1000]).unwrap();
    assert_eq!(SegmentLog::open(&path).unwrap().records.len(), 3);
    assert!(!path.join(DRAFT).exists());
    fs::remove_dir_all(&path).unwrap();
}
