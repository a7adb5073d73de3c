//! Where a part's records go, and the thread that writes them.

use crate::prelude::*;

/// A log of records. What was appended counts once synced.
pub trait Store: Send {
    fn append(&mut self, record: &[u8]) -> Result<()>;
    /// Writes a record that holds all that earlier ones held.
    fn image(&mut self, record: &[u8]) -> Result<()>;
    fn sync(&mut self) -> Result<()>;
    /// Begins anew from what the disk holds, after a write that failed.
    fn reopen(&mut self) -> Result<()>;
}

/// A record with its serial number, on its way to the disk.
pub enum PendingWrite {
    Append(u64, Vec<u8>),
    Image(u64, Vec<u8>),
}

impl PendingWrite {
    fn serial(&self) -> u64 {
        match self {
            PendingWrite::Append(serial, _) | PendingWrite::Image(serial, _) => *serial,
        }
    }

    fn write(&self, store: &mut dyn Store) -> Result<()> {
        match self {
            PendingWrite::Append(_, record) => store.append(record),
            PendingWrite::Image(_, record) => store.image(record),
        }
    }
}

/// Writes records in a thread of its own. One sync serves all that waited for
/// the one before. After a write that failed only an snapshot, which holds all
/// that was lost, is tried.
pub fn keep(mut store: Box<dyn Store>, give: Sender<Input>) -> Sender<PendingWrite> {
    let (put, take) = flume::unbounded::<PendingWrite>();
    thread::spawn(move || {
        let mut failed = false;
        while let Ok(first) = take.recv() {
            let records: Vec<PendingWrite> = std::iter::once(first).chain(take.drain()).collect();
            let Some(stored) = write_all(&mut *store, &records, failed) else {
                continue;
            };
            failed = stored.is_err();
            let input = match stored {
                Ok(serial) => Input::Stored { serial },
                Err(_) => Input::StoreFailed,
            };
            if give.send(input).is_err() {
                return;
            }
        }
    });
    put
}

/// The serial of the last record, once all are synced; none if nothing was to
/// be written.
fn write_all(store: &mut dyn Store, records: &[PendingWrite], failed: bool) -> Option<Result<u64>> {
    let is_image = |record: &PendingWrite| matches!(record, PendingWrite::Image(..));
    let first = if failed {
        records.iter().rposition(is_image)?
    } else {
        0
    };
    let records = &records[first..];
    let serial = records.last()?.serial();
    let mut write = || {
        if failed {
            store.reopen()?;
        }
        records.iter().try_for_each(|record| record.write(store))?;
        store.sync()?;
        Ok(serial)
    };
    Some(write())
}
