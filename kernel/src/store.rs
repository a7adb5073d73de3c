//! The durable store of a node's records, and the thread that writes to it.

use crate::prelude::*;

/// Reasons why an operation of a store failed. The text is that of the cause.
#[derive(Debug, thiserror::Error)]
pub enum StoreError {
    /// A read, write or sync of the file system failed.
    #[error(transparent)]
    Io(#[from] std::io::Error),
    /// The store could not be reopened.
    #[error(transparent)]
    Reopen(Box<dyn std::error::Error + Send + Sync>),
}

/// A log of records. A record is durable once a later `sync` has returned.
pub trait Store: Send {
    /// Appends a record.
    fn append(&mut self, record: &[u8]) -> Result<(), StoreError>;
    /// Writes a record that replaces all earlier ones.
    fn write_snapshot(&mut self, record: &[u8]) -> Result<(), StoreError>;
    /// Makes all earlier writes durable.
    fn sync(&mut self) -> Result<(), StoreError>;
    /// Reloads the store from disk after a failed write.
    fn reopen(&mut self) -> Result<(), StoreError>;
}

/// A record with its serial number, queued for the writer thread.
pub enum PendingWrite {
    /// A record to append.
    Append {
        /// Reported once the record is durable.
        serial: u64,
        /// The record's bytes.
        record: Vec<u8>,
    },
    /// A snapshot that replaces all earlier records.
    Snapshot {
        /// Reported once the snapshot is durable.
        serial: u64,
        /// The snapshot's bytes.
        record: Vec<u8>,
    },
}

impl PendingWrite {
    fn serial(&self) -> u64 {
        match self {
            PendingWrite::Append { serial, .. } | PendingWrite::Snapshot { serial, .. } => *serial,
        }
    }

    fn is_snapshot(&self) -> bool {
        matches!(self, PendingWrite::Snapshot { .. })
    }

    fn write(&self, store: &mut dyn Store) -> Result<(), StoreError> {
        match self {
            PendingWrite::Append { record, .. } => store.append(record),
            PendingWrite::Snapshot { record, .. } => store.write_snapshot(record),
        }
    }
}

/// Spawns the thread that writes queued records and reports each batch to `inputs`.
/// One fsync covers all records that were queued during the previous one (group
/// commit). After a failed write, records are dropped until the next snapshot, which
/// contains all that was lost. The thread ends when either channel is closed.
pub fn spawn_writer(mut store: Box<dyn Store>, inputs: Sender<Input>) -> Sender<PendingWrite> {
    let (queue, queued) = flume::unbounded::<PendingWrite>();
    thread::spawn(move || {
        let mut failed = false;
        while let Ok(first) = queued.recv() {
            let batch: Vec<PendingWrite> = std::iter::once(first).chain(queued.drain()).collect();
            let Some(result) = write_batch(&mut *store, &batch, failed) else {
                continue;
            };
            failed = result.is_err();
            let input = match result {
                Ok(serial) => Input::Stored { serial },
                Err(_) => Input::StoreFailed,
            };
            if inputs.send(input).is_err() {
                return;
            }
        }
    });
    queue
}

/// Writes and syncs a batch, and returns the serial of its last record. After a
/// failure only a snapshot and the records after it are written; returns `None` if
/// the batch contains none.
fn write_batch(
    store: &mut dyn Store,
    batch: &[PendingWrite],
    failed: bool,
) -> Option<Result<u64, StoreError>> {
    let first = if failed {
        batch.iter().rposition(PendingWrite::is_snapshot)?
    } else {
        0
    };
    let batch = &batch[first..];
    let serial = batch.last()?.serial();
    let mut write = || {
        if failed {
            store.reopen()?;
        }
        batch.iter().try_for_each(|record| record.write(store))?;
        store.sync()?;
        Ok(serial)
    };
    Some(write())
}
