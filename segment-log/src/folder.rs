//! The folder of a log, as far as the log needs it: real, or a model in tests.

use crate::prelude::*;

/// What is written counts after `sync_file`; that a file was made, renamed or
/// removed counts after `sync`.
pub trait Folder: Send {
    fn path(&self) -> &Path;
    fn names(&self) -> io::Result<Vec<String>>;
    fn read(&self, name: &str) -> io::Result<Vec<u8>>;
    /// Makes an empty file, also in place of an earlier one.
    fn create(&mut self, name: &str) -> io::Result<()>;
    fn append(&mut self, name: &str, bytes: &[u8]) -> io::Result<()>;
    fn truncate(&mut self, name: &str, size: u64) -> io::Result<()>;
    fn sync_file(&mut self, name: &str) -> io::Result<()>;
    fn rename(&mut self, from: &str, to: &str) -> io::Result<()>;
    fn remove(&mut self, name: &str) -> io::Result<()>;
    fn sync(&mut self) -> io::Result<()>;
}

/// A folder of the file system.
#[derive(Debug)]
pub struct DiskFolder {
    path: PathBuf,
    /// The file that was last written to.
    pub(crate) open: Option<(String, File)>,
}

impl DiskFolder {
    /// Makes the folder if it is not there. That it is there is synced too: an
    /// acknowledged record must not vanish with its folder.
    pub fn open(path: &Path) -> io::Result<DiskFolder> {
        let missing: Vec<&Path> = path.ancestors().take_while(|one| !one.exists()).collect();
        fs::create_dir_all(path)?;
        sync_parent(path)?;
        missing.into_iter().try_for_each(sync_parent)?;
        Ok(DiskFolder {
            path: path.into(),
            open: None,
        })
    }

    fn file(&mut self, name: &str) -> io::Result<&mut File> {
        if self.open.as_ref().is_none_or(|(known, _)| known != name) {
            let path = self.path.join(name);
            let file = OpenOptions::new().append(true).open(path)?;
            self.open = Some((name.into(), file));
        }
        Ok(&mut self.open.as_mut().expect("just opened").1)
    }
}

/// Syncs the folder that a folder or file lies in.
pub fn sync_parent(path: &Path) -> io::Result<()> {
    match path.parent() {
        Some(parent) if parent == Path::new("") => File::open(".")?.sync_all(),
        Some(parent) => File::open(parent)?.sync_all(),
        None => Ok(()),
    }
}

impl Folder for DiskFolder {
    fn path(&self) -> &Path {
        &self.path
    }

    fn names(&self) -> io::Result<Vec<String>> {
        fs::read_dir(&self.path)?
            .map(|file| Ok(file?.file_name().to_string_lossy().into_owned()))
            .collect()
    }

    fn read(&self, name: &str) -> io::Result<Vec<u8>> {
        fs::read(self.path.join(name))
    }

    fn create(&mut self, name: &str) -> io::Result<()> {
        self.open = None;
        File::create(self.path.join(name))?;
        Ok(())
    }

    fn append(&mut self, name: &str, bytes: &[u8]) -> io::Result<()> {
        self.file(name)?.write_all(bytes)
    }

    fn truncate(&mut self, name: &str, size: u64) -> io::Result<()> {
        self.file(name)?.set_len(size)
    }

    fn sync_file(&mut self, name: &str) -> io::Result<()> {
        self.file(name)?.sync_all()
    }

    fn rename(&mut self, from: &str, to: &str) -> io::Result<()> {
        self.open = None;
        fs::rename(self.path.join(from), self.path.join(to))
    }

    fn remove(&mut self, name: &str) -> io::Result<()> {
        self.open = None;
        fs::remove_file(self.path.join(name))
    }

    fn sync(&mut self) -> io::Result<()> {
        File::open(&self.path)?.sync_all()
    }
}
