//! The file system operations of the log, on a real folder or on a model in tests.

use crate::prelude::*;

/// The folder of a log. Written bytes are durable after `sync_file`; created, renamed
/// and removed names are durable after `sync`.
pub trait Folder: Send + Sized {
    /// Opens the same folder again, without cached state.
    fn reopen(&self) -> io::Result<Self>;
    /// Returns the path of the folder, for messages.
    fn path(&self) -> &Path;
    /// Returns the names of all files, in any order.
    fn names(&self) -> io::Result<Vec<String>>;
    /// Reads all bytes of a file.
    fn read(&self, name: &str) -> io::Result<Vec<u8>>;
    /// Creates an empty file, replacing an existing one.
    fn create(&mut self, name: &str) -> io::Result<()>;
    /// Appends bytes to a file.
    fn append(&mut self, name: &str, bytes: &[u8]) -> io::Result<()>;
    /// Truncates a file to `size` bytes.
    fn truncate(&mut self, name: &str, size: u64) -> io::Result<()>;
    /// Makes a file's bytes durable.
    fn sync_file(&mut self, name: &str) -> io::Result<()>;
    /// Renames a file, replacing an existing file of the new name.
    fn rename(&mut self, from: &str, to: &str) -> io::Result<()>;
    /// Deletes a file.
    fn remove(&mut self, name: &str) -> io::Result<()>;
    /// Makes created, renamed and removed names durable.
    fn sync(&mut self) -> io::Result<()>;
}

/// A folder of the file system.
#[derive(Debug)]
pub struct DiskFolder {
    path: PathBuf,
    /// The last written file, open for appends.
    pub(crate) open_file: Option<OpenFile>,
}

/// An open file and its name in the folder.
#[derive(Debug)]
pub(crate) struct OpenFile {
    pub(crate) name: String,
    pub(crate) file: File,
}

impl DiskFolder {
    /// Opens the folder. Creates it durably if it does not exist: an acknowledged
    /// record must not be lost with its folder.
    pub fn open(path: &Path) -> io::Result<DiskFolder> {
        let missing: Vec<&Path> = path
            .ancestors()
            .take_while(|folder| !folder.exists())
            .collect();
        fs::create_dir_all(path)?;
        sync_parent(path)?;
        missing.into_iter().try_for_each(sync_parent)?;
        Ok(DiskFolder {
            path: path.into(),
            open_file: None,
        })
    }

    /// Returns the file, opened for appends.
    fn file(&mut self, name: &str) -> io::Result<&mut File> {
        if self.open_file.as_ref().is_none_or(|open| open.name != name) {
            let path = self.path.join(name);
            let file = OpenOptions::new().append(true).open(path)?;
            let name = name.into();
            self.open_file = Some(OpenFile { name, file });
        }
        Ok(&mut self.open_file.as_mut().expect("just opened").file)
    }
}

/// Syncs the parent folder of a folder or file.
pub(crate) fn sync_parent(path: &Path) -> io::Result<()> {
    match path.parent() {
        Some(parent) if parent == Path::new("") => File::open(".")?.sync_all(),
        Some(parent) => File::open(parent)?.sync_all(),
        None => Ok(()),
    }
}

impl Folder for DiskFolder {
    fn reopen(&self) -> io::Result<DiskFolder> {
        DiskFolder::open(&self.path)
    }

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
        self.open_file = None;
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
        self.open_file = None;
        fs::rename(self.path.join(from), self.path.join(to))
    }

    fn remove(&mut self, name: &str) -> io::Result<()> {
        self.open_file = None;
        fs::remove_file(self.path.join(name))
    }

    fn sync(&mut self) -> io::Result<()> {
        File::open(&self.path)?.sync_all()
    }
}
