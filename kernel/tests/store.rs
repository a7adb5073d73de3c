//! Tests of the store writer with a disk that temporarily rejects writes.

use kernel::prelude::*;

/// An in-memory store that rejects writes while it is full.
#[derive(Clone, Default)]
struct MemoryStore {
    full: Arc<AtomicBool>,
    records: Arc<Mutex<Vec<Vec<u8>>>>,
}

impl MemoryStore {
    fn write(&self, record: &[u8], replaces_all: bool) -> Result<(), StoreError> {
        if self.full.load(Ordering::Acquire) {
            return Err(std::io::Error::other("disk full").into());
        }
        let mut records = self.records.lock().unwrap();
        if replaces_all {
            records.clear();
        }
        records.push(record.to_vec());
        Ok(())
    }
}

impl Store for MemoryStore {
    fn append(&mut self, record: &[u8]) -> Result<(), StoreError> {
        self.write(record, false)
    }

    fn write_snapshot(&mut self, record: &[u8]) -> Result<(), StoreError> {
        self.write(record, true)
    }

    fn sync(&mut self) -> Result<(), StoreError> {
        Ok(())
    }

    fn reopen(&mut self) -> Result<(), StoreError> {
        Ok(())
    }
}

const RESULT_TIMEOUT: Duration = Duration::from_secs(10);

#[test]
fn failed_write_is_recovered_by_the_next_snapshot() {
    let memory = MemoryStore::default();
    let (inputs, received) = flume::unbounded();
    let writer = store::spawn_writer(Box::new(memory.clone()), inputs);
    let append = |serial, record| {
        let write = PendingWrite::Append { serial, record };
        writer.send(write).unwrap();
    };
    let snapshot = |serial, record| {
        let write = PendingWrite::Snapshot { serial, record };
        writer.send(write).unwrap();
    };
    let next = || received.recv_timeout(RESULT_TIMEOUT).expect("a result");
    append(1, vec![1]);
    assert!(matches!(next(), Input::Stored { serial: 1 }));
    memory.full.store(true, Ordering::Release);
    append(2, vec![2]);
    assert!(matches!(next(), Input::StoreFailed));
    snapshot(3, vec![1, 2]);
    assert!(matches!(next(), Input::StoreFailed), "it is still full");
    memory.full.store(false, Ordering::Release);
    // This record is dropped: without a snapshot it would follow a missing record.
    append(4, vec![4]);
    snapshot(5, vec![1, 2, 4]);
    assert!(matches!(next(), Input::Stored { serial: 5 }));
    append(6, vec![6]);
    assert!(matches!(next(), Input::Stored { serial: 6 }));
    let records = memory.records.lock().unwrap().clone();
    assert_eq!(records, [vec![1, 2, 4], vec![6]]);
}
