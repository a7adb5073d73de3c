use crate::prelude::*;

/// A folder of segments. Invariants:
/// - `image-N` holds everything before segment N; a segment below the newest
///   image's number is of no more use and is removed.
/// - Files are written under another name, synced, renamed, and the folder is
///   synced, before an older file goes.
/// - A record is `length, checksum, bytes`. Only the newest segment may end in
///   a torn record, since a new one is begun only after the old was synced.
/// - Between two syncs there is one write at most: of several, a loss of power
///   may keep a later one and lose an earlier, which looks like damage.
pub struct SegmentLog {
    folder: PathBuf,
    number: u64,
    file: File,
    size: u64,
    /// Appended, and written as one with the next sync.
    pending: Vec<u8>,
}

/// What was on disk, oldest first; the first may be an image.
pub struct Loaded {
    pub log: SegmentLog,
    pub records: Vec<Vec<u8>>,
    /// Bytes cut from a torn tail.
    pub cut: u64,
}

const SEGMENT_BYTES: u64 = 8 * 1024 * 1024;

impl SegmentLog {
    /// Opens the folder. Corruption before the tail is an error: what came
    /// after it cannot be trusted to be complete.
    pub fn open(folder: &Path) -> Result<Loaded> {
        fs::create_dir_all(folder)?;
        let image = SegmentLog::numbers(folder, "image-")?
            .into_iter()
            .max()
            .unwrap_or(0);
        let mut records = Vec::new();
        if image > 0 {
            let bytes = fs::read(folder.join(format!("image-{image:08}")))?;
            let (mut read, whole) = SegmentLog::records(&bytes);
            if whole != bytes.len() || read.len() != 1 {
                bail!("image {image} is corrupt");
            }
            records.append(&mut read);
        }
        let mut segments = SegmentLog::numbers(folder, "segment-")?;
        segments.retain(|number| *number >= image);
        segments.sort_unstable();
        let mut cut = 0;
        for (at, number) in segments.iter().enumerate() {
            if *number != segments[0] + at as u64 || (image > 0 && segments[0] != image) {
                bail!("a segment before {number} is missing");
            }
            let path = folder.join(format!("segment-{number:08}"));
            let bytes = fs::read(&path)?;
            let (mut read, whole) = SegmentLog::records(&bytes);
            if whole != bytes.len() {
                if at + 1 != segments.len() || SegmentLog::more_follows(&bytes[whole..]) {
                    bail!("segment {number} is corrupt at byte {whole}");
                }
                cut = (bytes.len() - whole) as u64;
                let file = OpenOptions::new().write(true).open(&path)?;
                file.set_len(whole as u64)?;
                file.sync_all()?;
            }
            records.append(&mut read);
        }
        let number = segments.last().copied().unwrap_or(image.max(1));
        let path = folder.join(format!("segment-{number:08}"));
        let file = OpenOptions::new().create(true).append(true).open(path)?;
        let size = file.metadata()?.len();
        SegmentLog::sync_folder(folder)?;
        Ok(Loaded {
            log: SegmentLog {
                folder: folder.into(),
                number,
                file,
                size,
                pending: Vec::new(),
            },
            records,
            cut,
        })
    }

    /// Renames a folder that cannot be trusted out of the way.
    pub fn set_aside(folder: &Path) -> Result<PathBuf> {
        for at in 1.. {
            let aside = folder.with_extension(format!("corrupt-{at}"));
            if !aside.exists() {
                fs::rename(folder, &aside)?;
                return Ok(aside);
            }
        }
        bail!("no free name")
    }

    fn numbers(folder: &Path, start: &str) -> Result<Vec<u64>> {
        let mut found = Vec::new();
        for file in fs::read_dir(folder)? {
            let name = file?.file_name();
            if let Some(number) = name
                .to_string_lossy()
                .strip_prefix(start)
                .and_then(|rest| rest.parse().ok())
            {
                found.push(number);
            }
        }
        Ok(found)
    }

    /// All whole records from the start, and how many bytes they take.
    fn records(bytes: &[u8]) -> (Vec<Vec<u8>>, usize) {
        let mut found = Vec::new();
        let mut at = 0;
        while let Some(record) = SegmentLog::record(&bytes[at..]) {
            found.push(record.to_vec());
            at += record.len() + 8;
        }
        (found, at)
    }

    fn record(bytes: &[u8]) -> Option<&[u8]> {
        let size = u32::from_be_bytes(bytes.get(..4)?.try_into().ok()?) as usize;
        let check = u32::from_be_bytes(bytes.get(4..8)?.try_into().ok()?);
        let record = bytes.get(8..8 + size)?;
        (size > 0 && crc32fast::hash(record) == check).then_some(record)
    }

    /// A torn write has nothing whole behind it; damage in the middle does.
    fn more_follows(rest: &[u8]) -> bool {
        (1..rest.len()).any(|at| SegmentLog::record(&rest[at..]).is_some())
    }

    fn framed(record: &[u8]) -> Vec<u8> {
        let mut bytes = Vec::with_capacity(record.len() + 8);
        bytes.extend((record.len() as u32).to_be_bytes());
        bytes.extend(crc32fast::hash(record).to_be_bytes());
        bytes.extend(record);
        bytes
    }

    fn sync_folder(folder: &Path) -> Result<()> {
        Ok(File::open(folder)?.sync_all()?)
    }

    fn flush(&mut self) -> Result<()> {
        if !self.pending.is_empty() {
            self.file.write_all(&self.pending)?;
            self.pending = Vec::new();
        }
        Ok(())
    }

    fn roll(&mut self) -> Result<()> {
        self.flush()?;
        self.file.sync_all()?;
        self.number += 1;
        let path = self.folder.join(format!("segment-{:08}", self.number));
        self.file = OpenOptions::new()
            .create_new(true)
            .append(true)
            .open(path)?;
        self.size = 0;
        SegmentLog::sync_folder(&self.folder)
    }
}

impl Store for SegmentLog {
    fn append(&mut self, record: &[u8]) -> Result<()> {
        if self.size > SEGMENT_BYTES {
            self.roll()?;
        }
        let bytes = SegmentLog::framed(record);
        self.size += bytes.len() as u64;
        self.pending.extend(bytes);
        Ok(())
    }

    fn image(&mut self, record: &[u8]) -> Result<()> {
        self.roll()?;
        let draft = self.folder.join("draft");
        let mut file = File::create(&draft)?;
        file.write_all(&SegmentLog::framed(record))?;
        file.sync_all()?;
        fs::rename(
            &draft,
            self.folder.join(format!("image-{:08}", self.number)),
        )?;
        SegmentLog::sync_folder(&self.folder)?;
        for start in ["segment-", "image-"] {
            for number in SegmentLog::numbers(&self.folder, start)?
                .into_iter()
                .filter(|number| *number < self.number)
            {
                fs::remove_file(self.folder.join(format!("{start}{number:08}")))?;
            }
        }
        Ok(())
    }

    fn sync(&mut self) -> Result<()> {
        self.flush()?;
        Ok(self.file.sync_data()?)
    }
}

#[cfg(test)]
mod tests {
    use crate::prelude::*;

    fn folder(name: &str) -> PathBuf {
        let path =
            std::env::temp_dir().join(format!("otterslip-log-{name}-{}", std::process::id()));
        let _ = fs::remove_dir_all(&path);
        path
    }

    fn filled(path: &Path) {
        let mut log = SegmentLog::open(path).unwrap().log;
        for record in [b"one".as_slice(), b"two", b"three"] {
            log.append(record).unwrap();
        }
        log.sync().unwrap();
    }

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
        assert_eq!(size(), 11, "nothing is written before the sync");
        log.sync().unwrap();
        assert_eq!(size(), 11 + 11 + 13);
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
        for keep in 22..33 {
            let _ = fs::remove_dir_all(&path);
            filled(&path);
            let file = path.join("segment-00000001");
            let bytes = fs::read(&file).unwrap();
            assert_eq!(bytes.len(), 3 * 8 + 11);
            fs::write(&file, &bytes[..keep]).unwrap();
            let loaded = SegmentLog::open(&path).unwrap();
            assert_eq!(loaded.records, [b"one".to_vec(), b"two".to_vec()]);
            assert_eq!(loaded.cut, keep as u64 - 22);
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
        for at in 22..good.len() {
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
        log.file = OpenOptions::new().append(true).open("/dev/full").unwrap();
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
        for at in 0..22 {
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
}
