use crate::prelude::*;

/// A folder of segments. Invariants:
/// - `image-N` holds everything before segment N; a segment below the newest
///   image's number is of no more use and is removed.
/// - A file begins with a header, which is synced before anything follows it.
/// - An image is written under another name, synced, renamed, and the folder is
///   synced, before an older file goes.
/// - Between two syncs there is one write at most, of one batch: `length,
///   checksum, records`, each record with its length. So a loss of power leaves
///   a batch whole or not at all, in whichever order its bytes reach the disk,
///   and only the newest segment may end in a torn one.
pub struct SegmentLog<F: Folder = DiskFolder> {
    folder: F,
    number: u64,
    size: u64,
    /// Records appended, and written as one batch with the next sync.
    pending: Vec<u8>,
}

/// What was on disk, oldest first; the first may be an image.
pub struct Loaded<F: Folder = DiskFolder> {
    pub log: SegmentLog<F>,
    pub records: Vec<Vec<u8>>,
    /// Bytes cut from a torn tail.
    pub cut: u64,
    /// Bytes of the records: of the image, and of what came after it.
    pub image_bytes: usize,
    pub log_bytes: usize,
}

/// The segments as read, before anything is changed.
struct Segments {
    records: Vec<Vec<u8>>,
    newest: Option<u64>,
    /// Bytes of the newest that are good, and all that it has.
    good: usize,
    size: usize,
    /// Whether the newest holds batches, so that more may follow in it.
    batches: bool,
}

/// One file as read.
struct Contents {
    records: Vec<Vec<u8>>,
    /// How many bytes are whole; the rest is torn or damaged.
    good: usize,
    size: usize,
    /// Whether something whole follows the first bytes that are not.
    more: bool,
    /// Whether it holds batches, not single records as before version 1.
    batches: bool,
}

const SEGMENT_BYTES: u64 = 8 * 1024 * 1024;
const DRAFT: &str = "draft";
/// The last byte is the version of the format. Files of version 0 have no
/// header, and a record where later ones have a batch; they are still read.
const HEADER: [u8; 8] = *b"OTSLOG\0\x01";
/// A file that does not begin as ours is searched this far for a batch of ours.
const SEARCHED_BYTES: usize = 64 * 1024;

impl SegmentLog {
    /// Opens the folder, which is made if it is not there.
    pub fn open(path: &Path) -> Result<Loaded, OpenError> {
        let folder = DiskFolder::open(path).map_err(|error| OpenError::Io {
            file: path.display().to_string(),
            error,
        })?;
        SegmentLog::open_in(folder)
    }

    /// Renames a folder that cannot be trusted out of the way, for good: a
    /// later loss of power must not bring it back in place of its successor.
    pub fn set_aside(folder: &Path) -> Result<PathBuf> {
        for at in 1.. {
            let aside = folder.with_extension(format!("corrupt-{at}"));
            if !aside.exists() {
                fs::rename(folder, &aside)?;
                crate::folder::sync_parent(folder)?;
                return Ok(aside);
            }
        }
        bail!("no free name")
    }
}

impl<F: Folder> SegmentLog<F> {
    /// Reads all there is before anything is changed: what cannot be read is
    /// left as it is.
    pub fn open_in(mut folder: F) -> Result<Loaded<F>, OpenError> {
        let image = numbers(&folder, "image-")?.into_iter().max().unwrap_or(0);
        let mut records = Vec::new();
        if image > 0 {
            records.push(read_image(&folder, image)?);
        }
        let image_bytes = records.iter().map(Vec::len).sum();
        let mut segments = read_segments(&folder, image)?;
        let log_bytes = segments.records.iter().map(Vec::len).sum();
        records.append(&mut segments.records);
        let cut = (segments.size - segments.good) as u64;
        let path = folder.path().display().to_string();
        let refused = |error| OpenError::Io { file: path, error };
        let number = match segments.newest {
            Some(newest) if !segments.batches => newest + 1,
            Some(newest) => newest,
            None => image.max(1),
        };
        mend(&mut folder, number, image, &segments).map_err(refused)?;
        Ok(Loaded {
            log: SegmentLog {
                folder,
                number,
                size: segments.good as u64,
                pending: Vec::new(),
            },
            records,
            cut,
            image_bytes,
            log_bytes,
        })
    }

    fn flush(&mut self) -> io::Result<()> {
        if !self.pending.is_empty() {
            let batch = framed(&self.pending);
            self.size += batch.len() as u64;
            self.folder.append(&segment(self.number), &batch)?;
            self.pending.clear();
        }
        Ok(())
    }

    /// Begins the next segment.
    fn roll(&mut self) -> io::Result<()> {
        self.flush()?;
        self.folder.sync_file(&segment(self.number))?;
        self.number += 1;
        self.size = HEADER.len() as u64;
        create_segment(&mut self.folder, self.number)?;
        self.folder.sync()
    }

    fn write_image(&mut self, record: &[u8]) -> io::Result<()> {
        self.roll()?;
        self.folder.create(DRAFT)?;
        let batch = framed(&counted(record));
        self.folder.append(DRAFT, &[&HEADER[..], &batch].concat())?;
        self.folder.sync_file(DRAFT)?;
        self.folder.rename(DRAFT, &image(self.number))?;
        self.folder.sync()?;
        remove_below(&mut self.folder, self.number)
    }
}

impl<F: Folder> Store for SegmentLog<F> {
    fn append(&mut self, record: &[u8]) -> Result<()> {
        if self.size + self.pending.len() as u64 > SEGMENT_BYTES {
            self.roll()?;
        }
        self.pending.extend(counted(record));
        Ok(())
    }

    fn image(&mut self, record: &[u8]) -> Result<()> {
        Ok(self.write_image(record)?)
    }

    fn sync(&mut self) -> Result<()> {
        self.flush()?;
        Ok(self.folder.sync_file(&segment(self.number))?)
    }
}

fn segment(number: u64) -> String {
    format!("segment-{number:08}")
}

fn image(number: u64) -> String {
    format!("image-{number:08}")
}

fn create_segment(folder: &mut impl Folder, number: u64) -> io::Result<()> {
    let name = segment(number);
    folder.create(&name)?;
    folder.append(&name, &HEADER)?;
    folder.sync_file(&name)
}

/// Makes the folder fit to go on with: cuts a torn tail, begins a segment if
/// there is none, and removes what an interrupted image left.
fn mend(folder: &mut impl Folder, number: u64, image: u64, read: &Segments) -> io::Result<()> {
    let newest = read.newest.filter(|_| read.good > 0);
    if let Some(newest) = newest.filter(|_| read.good < read.size) {
        folder.truncate(&segment(newest), read.good as u64)?;
    }
    // What was read may still be on its way to the disk: the process may have
    // ended between a write and its sync.
    if let Some(newest) = newest {
        folder.sync_file(&segment(newest))?;
    }
    if newest != Some(number) {
        create_segment(folder, number)?;
    }
    if folder.names()?.iter().any(|name| name == DRAFT) {
        folder.remove(DRAFT)?;
    }
    remove_below(folder, image)?;
    folder.sync()
}

/// Removes what an image of this number made needless.
fn remove_below(folder: &mut impl Folder, number: u64) -> io::Result<()> {
    for name in folder.names()? {
        let known = numbered(&name, "segment-").or(numbered(&name, "image-"));
        if known.is_some_and(|known| known < number) {
            folder.remove(&name)?;
        }
    }
    Ok(())
}

fn numbered(name: &str, start: &str) -> Option<u64> {
    name.strip_prefix(start)?.parse().ok()
}

fn numbers(folder: &impl Folder, start: &str) -> Result<Vec<u64>, OpenError> {
    let names = folder.names().map_err(|error| OpenError::Io {
        file: folder.path().display().to_string(),
        error,
    })?;
    Ok(names
        .iter()
        .filter_map(|name| numbered(name, start))
        .collect())
}

fn read_image(folder: &impl Folder, number: u64) -> Result<Vec<u8>, OpenError> {
    let name = image(number);
    let mut read = read_file(folder, &name)?;
    if read.good != read.size || read.records.len() != 1 {
        let file = file_name(folder, &name);
        return Err(OpenError::Damaged {
            file,
            at: read.good,
        });
    }
    Ok(read.records.remove(0))
}

/// All segments from the image on; only the newest may end in a torn batch.
fn read_segments(folder: &impl Folder, image: u64) -> Result<Segments, OpenError> {
    let mut found = numbers(folder, "segment-")?;
    found.retain(|number| *number >= image);
    found.sort_unstable();
    let first = if image > 0 {
        image
    } else {
        found.first().copied().unwrap_or(1)
    };
    let mut all = Segments {
        records: Vec::new(),
        newest: found.last().copied(),
        good: 0,
        size: 0,
        batches: true,
    };
    for (number, expected) in found.iter().zip(first..) {
        if *number != expected {
            let file = file_name(folder, &segment(expected));
            return Err(OpenError::Missing { file });
        }
        let name = segment(*number);
        let newest = Some(*number) == all.newest;
        let mut read = if newest {
            read_newest(folder, &name)?
        } else {
            read_file(folder, &name)?
        };
        if read.good != read.size && (!newest || read.more) {
            let file = file_name(folder, &name);
            return Err(OpenError::Damaged {
                file,
                at: read.good,
            });
        }
        all.records.append(&mut read.records);
        (all.good, all.size) = (read.good, read.size);
        all.batches = read.batches;
    }
    Ok(all)
}

/// The newest segment may be one whose header did not get to the disk: then
/// nothing followed it.
fn read_newest(folder: &impl Folder, name: &str) -> Result<Contents, OpenError> {
    let bytes = read_bytes(folder, name)?;
    if bytes.len() <= HEADER.len() && bytes != HEADER {
        return Ok(Contents {
            records: vec![],
            good: 0,
            size: bytes.len(),
            more: false,
            batches: true,
        });
    }
    parse(&bytes).map_err(|found| foreign(folder, name, found))
}

fn read_file(folder: &impl Folder, name: &str) -> Result<Contents, OpenError> {
    let bytes = read_bytes(folder, name)?;
    parse(&bytes).map_err(|found| foreign(folder, name, found))
}

fn read_bytes(folder: &impl Folder, name: &str) -> Result<Vec<u8>, OpenError> {
    folder.read(name).map_err(|error| OpenError::Io {
        file: file_name(folder, name),
        error,
    })
}

fn foreign(folder: &impl Folder, name: &str, found: String) -> OpenError {
    let file = file_name(folder, name);
    OpenError::Foreign { file, found }
}

fn file_name(folder: &impl Folder, name: &str) -> String {
    folder.path().join(name).display().to_string()
}

/// The records of a file; an error says why it is not one of ours.
fn parse(bytes: &[u8]) -> Result<Contents, String> {
    let (start, version) = HEADER.split_at(HEADER.len() - 1);
    if bytes.starts_with(&HEADER) {
        return Ok(contents(bytes, HEADER.len(), true));
    }
    if bytes.starts_with(start) {
        let found = bytes.get(start.len()).copied().unwrap_or_default();
        return Err(format!("format {found}, not {}", version[0]));
    }
    let searched = &bytes[..bytes.len().min(SEARCHED_BYTES)];
    if !bytes.is_empty() && frame_at(bytes).is_none() && !more_follows(searched) {
        return Err("it does not begin as one".into());
    }
    Ok(contents(bytes, 0, false))
}

/// Reads from `begin` on, in batches or, as before version 1, single records.
fn contents(bytes: &[u8], begin: usize, batches: bool) -> Contents {
    let mut records = Vec::new();
    let mut good = begin;
    while let Some(frame) = frame_at(&bytes[good..]) {
        if batches {
            let Some(mut read) = uncounted(frame) else {
                break;
            };
            records.append(&mut read);
        } else {
            records.push(frame.to_vec());
        }
        good += frame.len() + 8;
    }
    Contents {
        records,
        good,
        size: bytes.len(),
        more: more_follows(&bytes[good..]),
        batches,
    }
}

/// The bytes of a frame that begins here, if it is whole.
fn frame_at(bytes: &[u8]) -> Option<&[u8]> {
    let size = u32::from_be_bytes(bytes.get(..4)?.try_into().ok()?) as usize;
    let check = u32::from_be_bytes(bytes.get(4..8)?.try_into().ok()?);
    let content = bytes.get(8..8 + size)?;
    (size > 0 && crc32fast::hash(content) == check).then_some(content)
}

/// A torn write has nothing whole behind it; damage in the middle does.
fn more_follows(rest: &[u8]) -> bool {
    (1..rest.len()).any(|at| frame_at(&rest[at..]).is_some())
}

fn framed(content: &[u8]) -> Vec<u8> {
    let mut bytes = Vec::with_capacity(content.len() + 8);
    bytes.extend((content.len() as u32).to_be_bytes());
    bytes.extend(crc32fast::hash(content).to_be_bytes());
    bytes.extend(content);
    bytes
}

/// A record as it stands in a batch.
fn counted(record: &[u8]) -> Vec<u8> {
    let length = (record.len() as u32).to_be_bytes();
    [&length[..], record].concat()
}

/// The records of a batch.
fn uncounted(mut batch: &[u8]) -> Option<Vec<Vec<u8>>> {
    let mut records = Vec::new();
    while !batch.is_empty() {
        let length = u32::from_be_bytes(batch.get(..4)?.try_into().ok()?) as usize;
        records.push(batch.get(4..4 + length)?.to_vec());
        batch = &batch[4 + length..];
    }
    Some(records)
}

#[cfg(test)]
#[path = "segment_log_tests.rs"]
mod tests;

#[cfg(test)]
#[path = "power_loss_tests.rs"]
mod power_loss_tests;
