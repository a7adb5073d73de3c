//! A disk that refuses writes for a while.

use kernel::prelude::*;

/// A log in memory that refuses writes while it is full.
#[derive(Clone, Default)]
struct Memory {
    full: Arc<AtomicBool>,
    records: Arc<Mutex<Vec<Vec<u8>>>>,
}

impl Memory {
    fn write(&self, record: &[u8], whole: bool) -> Result<()> {
        if self.full.load(Ordering::Acquire) {
            bail!("no room");
        }
        let mut records = self.records.lock().unwrap();
        if whole {
            records.clear();
        }
        records.push(record.to_vec());
        Ok(())
    }
}

impl Store for Memory {
    fn append(&mut self, record: &[u8]) -> Result<()> {
        self.write(record, false)
    }

    fn image(&mut self, record: &[u8]) -> Result<()> {
        self.write(record, true)
    }

    fn sync(&mut self) -> Result<()> {
        Ok(())
    }

    fn reopen(&mut self) -> Result<()> {
        Ok(())
    }
}

const PATIENCE: Duration = Duration::from_secs(10);

#[test]
fn failed_store_recovers_with_a_complete_snapshot() {
    let memory = Memory::default();
    let (give, take) = flume::unbounded();
    let put = store::keep(Box::new(memory.clone()), give);
    let next = || take.recv_timeout(PATIENCE).expect("an answer");
    put.send(PendingWrite::Append(1, vec![1])).unwrap();
    assert!(matches!(next(), Input::Stored { serial: 1 }));
    memory.full.store(true, Ordering::Release);
    put.send(PendingWrite::Append(2, vec![2])).unwrap();
    assert!(matches!(next(), Input::StoreFailed));
    put.send(PendingWrite::Image(3, vec![1, 2])).unwrap();
    assert!(matches!(next(), Input::StoreFailed), "it is still full");
    memory.full.store(false, Ordering::Release);
    // Alone it would follow a record that is missing.
    put.send(PendingWrite::Append(4, vec![4])).unwrap();
    put.send(PendingWrite::Image(5, vec![1, 2, 4])).unwrap();
    assert!(matches!(next(), Input::Stored { serial: 5 }));
    put.send(PendingWrite::Append(6, vec![6])).unwrap();
    assert!(matches!(next(), Input::Stored { serial: 6 }));
    let records = memory.records.lock().unwrap().clone();
    assert_eq!(records, [vec![1, 2, 4], vec![6]]);
}
