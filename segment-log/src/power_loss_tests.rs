//! Property tests with a model of a loss of power: each name changed since the folder's
//! last sync persists or is lost independently, and each write since its file's last
//! sync is complete, missing, torn or has a hole.

use crate::prelude::*;
use proptest::prelude::*;

#[derive(Debug, Clone, Default)]
struct ModelFile {
    synced: Vec<u8>,
    unsynced: Vec<Vec<u8>>,
}

#[derive(Debug, Clone)]
enum NameChange {
    Link(String, usize),
    Unlink(String),
}

/// The synced state of a disk, and the changes that are not synced yet.
#[derive(Debug, Clone, Default)]
struct Disk {
    files: Vec<ModelFile>,
    synced_names: BTreeMap<String, usize>,
    changes: Vec<NameChange>,
}

impl Disk {
    fn apply(names: &mut BTreeMap<String, usize>, change: &NameChange) {
        match change {
            NameChange::Link(name, file) => {
                names.insert(name.clone(), *file);
            }
            NameChange::Unlink(name) => {
                names.remove(name);
            }
        }
    }

    fn names(&self) -> BTreeMap<String, usize> {
        let mut names = self.synced_names.clone();
        for change in &self.changes {
            Disk::apply(&mut names, change);
        }
        names
    }

    fn content(&self, file: usize) -> Vec<u8> {
        let file = &self.files[file];
        [std::slice::from_ref(&file.synced), &file.unsynced[..]]
            .concat()
            .concat()
    }

    /// Returns each state that the disk may have after a loss of power: every subset
    /// of the name changes with every outcome of the unsynced writes.
    fn after_power_loss(&self) -> Vec<Disk> {
        let mut survivors = Vec::new();
        for persisted in 0..1u32 << self.changes.len() {
            let mut names = self.synced_names.clone();
            for (index, change) in self.changes.iter().enumerate() {
                if persisted >> index & 1 == 1 {
                    Disk::apply(&mut names, change);
                }
            }
            let mut disks = vec![Disk {
                files: self.files.clone(),
                synced_names: names,
                changes: vec![],
            }];
            for file in 0..self.files.len() {
                for write in 0..self.files[file].unsynced.len() {
                    let outcomes = |disk: Disk| Disk::with_outcomes(disk, file, write);
                    disks = disks.into_iter().flat_map(outcomes).collect();
                }
            }
            survivors.extend(disks);
        }
        survivors.iter_mut().for_each(Disk::sync_all);
        survivors
    }

    /// Returns the disk after each possible outcome of one unsynced write.
    fn with_outcomes(disk: Disk, file: usize, write: usize) -> Vec<Disk> {
        let bytes = disk.files[file].unsynced[write].clone();
        let middle = bytes.len() / 2;
        let torn = bytes[..middle].to_vec();
        let mut hole = bytes.clone();
        hole[..middle].fill(0);
        let mut late_hole = bytes.clone();
        late_hole[middle..].fill(0);
        let outcomes = [bytes, vec![], torn, hole, late_hole];
        let with = |outcome: Vec<u8>| {
            let mut disk = disk.clone();
            disk.files[file].unsynced[write] = outcome;
            disk
        };
        outcomes.into_iter().map(with).collect()
    }

    fn sync_all(&mut self) {
        for file in &mut self.files {
            let unsynced = std::mem::take(&mut file.unsynced);
            file.synced.extend(unsynced.concat());
        }
    }
}

#[derive(Debug, Default)]
struct Model {
    disk: Disk,
    /// The disk after each operation.
    history: Vec<Disk>,
    /// Number of operations until the disk is full.
    free_operations: Option<usize>,
}

#[derive(Debug, Clone, Default)]
struct ModelFolder(Arc<Mutex<Model>>);

impl ModelFolder {
    fn on(disk: Disk) -> ModelFolder {
        ModelFolder(Arc::new(Mutex::new(Model {
            disk,
            ..Model::default()
        })))
    }

    fn model(&self) -> std::sync::MutexGuard<'_, Model> {
        self.0.lock().unwrap()
    }

    /// Performs an operation; one that fails may have been partially applied.
    fn change(&self, apply: impl FnOnce(&mut Disk, bool)) -> io::Result<()> {
        let mut model = self.model();
        let fails = model.free_operations == Some(0);
        model.free_operations = model.free_operations.map(|left| left.saturating_sub(1));
        apply(&mut model.disk, fails);
        let disk = model.disk.clone();
        model.history.push(disk);
        if fails {
            return Err(io::Error::other("disk full"));
        }
        Ok(())
    }
}

impl Folder for ModelFolder {
    fn reopen(&self) -> io::Result<ModelFolder> {
        Ok(self.clone())
    }

    fn path(&self) -> &Path {
        Path::new("model")
    }

    fn names(&self) -> io::Result<Vec<String>> {
        Ok(self.model().disk.names().into_keys().collect())
    }

    fn read(&self, name: &str) -> io::Result<Vec<u8>> {
        let disk = &self.model().disk;
        Ok(disk.content(disk.names()[name]))
    }

    fn create(&mut self, name: &str) -> io::Result<()> {
        self.change(|disk, fails| {
            if !fails {
                let file = disk.files.len();
                disk.files.push(ModelFile::default());
                disk.changes.push(NameChange::Link(name.into(), file));
            }
        })
    }

    fn append(&mut self, name: &str, bytes: &[u8]) -> io::Result<()> {
        self.change(|disk, fails| {
            let file = disk.names()[name];
            let written = if fails { bytes.len() / 2 } else { bytes.len() };
            disk.files[file].unsynced.push(bytes[..written].to_vec());
        })
    }

    fn truncate(&mut self, name: &str, size: u64) -> io::Result<()> {
        // Modelled as durable at once: the truncated bytes are no complete batch, so it
        // makes no difference whether the truncation persists.
        self.change(|disk, fails| {
            let file = disk.names()[name];
            let mut content = disk.content(file);
            let rest = content.split_off(size as usize);
            if fails {
                disk.files[file] = ModelFile {
                    synced: content,
                    unsynced: vec![rest],
                };
            } else {
                disk.files[file] = ModelFile {
                    synced: content,
                    unsynced: vec![],
                };
            }
        })
    }

    fn sync_file(&mut self, name: &str) -> io::Result<()> {
        self.change(|disk, fails| {
            let file = disk.names()[name];
            if !fails {
                let file = &mut disk.files[file];
                let unsynced = std::mem::take(&mut file.unsynced);
                file.synced.extend(unsynced.concat());
            }
        })
    }

    fn rename(&mut self, from: &str, to: &str) -> io::Result<()> {
        self.change(|disk, fails| {
            if !fails {
                let file = disk.names()[from];
                disk.changes.push(NameChange::Link(to.into(), file));
                disk.changes.push(NameChange::Unlink(from.into()));
            }
        })
    }

    fn remove(&mut self, name: &str) -> io::Result<()> {
        self.change(|disk, fails| {
            if !fails {
                disk.changes.push(NameChange::Unlink(name.into()));
            }
        })
    }

    fn sync(&mut self) -> io::Result<()> {
        self.change(|disk, fails| {
            if !fails {
                disk.synced_names = disk.names();
                disk.changes.clear();
            }
        })
    }
}

#[derive(Debug, Clone)]
enum Step {
    Append(usize),
    Sync,
    Snapshot,
    Restart,
}

fn step() -> impl Strategy<Value = Step> {
    prop_oneof![
        4 => (1usize..60).prop_map(Step::Append),
        3 => Just(Step::Sync),
        1 => Just(Step::Snapshot),
        1 => Just(Step::Restart),
    ]
}

/// A log whose records are numbered from 1; a snapshot replaces all records up to its
/// number.
struct NumberedLog {
    folder: ModelFolder,
    log: SegmentLog<ModelFolder>,
    appended: u32,
    synced: u32,
    /// Numbers of synced and of appended records after each operation.
    bounds: Vec<(u32, u32)>,
}

impl NumberedLog {
    fn open(folder: ModelFolder) -> NumberedLog {
        let loaded = SegmentLog::open_in(folder.clone()).unwrap();
        let known = last_record_number(&loaded.records);
        let mut log = NumberedLog {
            folder,
            log: loaded.log,
            appended: known,
            synced: known,
            bounds: vec![],
        };
        log.record_bounds();
        log
    }

    fn record_bounds(&mut self) {
        let done = self.folder.model().history.len();
        self.bounds.resize(done, (self.synced, self.appended));
    }

    fn run(&mut self, step: &Step) -> Result<(), Box<dyn std::error::Error>> {
        match step {
            Step::Append(size) => {
                self.appended += 1;
                let number = self.appended.to_be_bytes();
                self.log.append(&[&number[..], &vec![7; *size]].concat())?;
            }
            Step::Sync => {
                self.log.sync()?;
                self.record_bounds();
                self.synced = self.appended;
            }
            Step::Snapshot => {
                let number = self.appended.to_be_bytes();
                self.log.write_snapshot(&[&b"all "[..], &number].concat())?;
                self.record_bounds();
                self.synced = self.appended;
            }
            Step::Restart => {
                let loaded = SegmentLog::open_in(self.folder.clone())?;
                let known = last_record_number(&loaded.records);
                assert!(known >= self.synced && known <= self.appended);
                self.log = loaded.log;
                (self.appended, self.synced) = (known, known);
                self.record_bounds();
            }
        }
        Ok(())
    }
}

/// Returns the number of the last record; panics if there is a gap.
fn last_record_number(records: &[Vec<u8>]) -> u32 {
    let number = |bytes: &[u8]| u32::from_be_bytes(bytes[..4].try_into().unwrap());
    let mut known = 0;
    for record in records {
        match record.strip_prefix(b"all ") {
            Some(snapshot) => {
                assert_eq!(known, 0, "a snapshot comes first");
                known = number(snapshot);
            }
            None => {
                assert_eq!(number(record), known + 1, "no gap");
                known += 1;
            }
        }
    }
    known
}

/// Opens the log on a disk and asserts that it contains all synced records and none that
/// was never appended. Returns the disk after the recovery.
fn assert_recovers(disk: Disk, synced: u32, appended: u32) -> Disk {
    let folder = ModelFolder::on(disk.clone());
    let loaded = match SegmentLog::open_in(folder.clone()) {
        Ok(loaded) => loaded,
        Err(error) => panic!("{error}: {disk:?}"),
    };
    let known = last_record_number(&loaded.records);
    assert!(
        synced <= known && known <= appended,
        "{known} of {synced} synced and {appended} appended: {disk:?}"
    );
    folder.model().disk.clone()
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 24, ..ProptestConfig::default() })]

    /// Power is lost after each operation, with each outcome of the unsynced changes.
    #[test]
    fn synced_records_survive_power_loss(
        steps in proptest::collection::vec(step(), 1..16),
    ) {
        let mut log = NumberedLog::open(ModelFolder::default());
        for step in &steps {
            log.run(step).unwrap();
        }
        log.record_bounds();
        let history = log.folder.model().history.clone();
        for (disk, (synced, appended)) in history.iter().zip(&log.bounds) {
            for survivor in disk.after_power_loss() {
                assert_recovers(survivor, *synced, *appended);
            }
        }
    }

    /// The process ends after any operation and is restarted. The records that it
    /// reads are treated as durable, so a later loss of power must not remove them.
    #[test]
    fn records_read_after_restart_survive_power_loss(
        steps in proptest::collection::vec(step(), 1..12),
    ) {
        let mut log = NumberedLog::open(ModelFolder::default());
        for step in &steps {
            log.run(step).unwrap();
        }
        let history = log.folder.model().history.clone();
        for disk in history {
            let restarted = NumberedLog::open(ModelFolder::on(disk));
            let disk = restarted.folder.model().disk.clone();
            for survivor in disk.after_power_loss() {
                assert_recovers(survivor, restarted.synced, restarted.appended);
            }
        }
    }

    /// The disk is full from any operation on. The process ends, with or without a
    /// loss of power, and finds free space when it is restarted.
    #[test]
    fn synced_records_survive_full_disk(
        steps in proptest::collection::vec(step(), 1..16),
        free_operations in 0usize..60,
    ) {
        let mut log = NumberedLog::open(ModelFolder::default());
        log.folder.model().free_operations = Some(free_operations);
        for step in &steps {
            if log.run(step).is_err() {
                break;
            }
        }
        log.folder.model().free_operations = None;
        let disk = log.folder.model().disk.clone();
        for survivor in disk.after_power_loss() {
            let repaired = assert_recovers(survivor, log.synced, log.appended);
            let mut restarted = NumberedLog::open(ModelFolder::on(repaired));
            restarted.run(&Step::Append(5)).unwrap();
            restarted.run(&Step::Sync).unwrap();
            restarted.run(&Step::Restart).unwrap();
        }
        assert_recovers(disk, log.synced, log.appended);
    }

    /// Repeated restarts leave no more files than a running log.
    #[test]
    fn restart_loop_leaves_two_files_at_most(
        steps in proptest::collection::vec(step(), 1..16),
    ) {
        let mut log = NumberedLog::open(ModelFolder::default());
        for step in &steps {
            log.run(step).unwrap();
            log.run(&Step::Restart).unwrap();
        }
        prop_assert!(log.folder.names().unwrap().len() <= 2);
    }
}
