//! The file system as far as the log needs it: a real folder, or a model in tests.

use crate::prelude::*;

/// The operations of a log on its folder. Written bytes are durable after
/// `sync_file`; created, renamed and removed names are durable after `sync`.
pub trait Folder: Send + Sized {
    /// The same folder opened anew, without any cached state.
    fn reopen(&self) -> io::Result<Self>;
    /// Where the folder is, for messages.
    fn path(&self) -> &Path;
    /// Names of all files, in any order.
    fn names(&self) -> io::Result<Vec<String>>;
    /// All bytes of a file.
    fn read(&self, name: &str) -> io::Result<Vec<u8>>;
    /// Creates an empty file, replacing an earlier one.
    fn create(&mut self, name: &str) -> io::Result<()>;
    /// Writes to the end of a file.
    fn append(&mut self, name: &str, bytes: &[u8]) -> io::Result<()>;
    /// Shortens a file to so many bytes.
    fn truncate(&mut self, name: &str, size: u64) -> io::Result<()>;
    /// Makes a file's bytes durable.
    fn sync_file(&mut self, name: &str) -> io::Result<()>;
    /// Gives a file another name, replacing a file of that name.
    fn rename(&mut self, from: &str, to: &str) -> io::Result<()>;
    /// Deletes a file.
    fn remove(&mut self, name: &str) -> io::Result<()>;
    /// Makes the folder's names durable.
    fn sync(&mut self) -> io::Result<()>;
}

/// A folder of the file system.
#[derive(Debug)]
pub struct DiskFolder {
    path: PathBuf,
    /// The file that was last written to, open for appends.
    pub(crate) open_file: Option<OpenFile>,
}

/// An open file and its name in the folder.
#[derive(Debug)]
pub(crate) struct OpenFile {
    pub(crate) name: String,
    pub(crate) file: File,
}

impl DiskFolder {
    /// Creates the folder if it is not there, durably: an acknowledged record
    /// must not vanish with its folder.
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

    /// The file opened for appends.
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

/// Syncs the folder that a folder or file lies in.
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
