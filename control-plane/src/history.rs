//! Acknowledged configurations in a Git object store, for operators to read and compare.

#[cfg(test)]
mod tests;

use crate::prelude::*;

/// Maximum number of versions that wait for the writer; further ones are dropped.
const MAX_QUEUED_VERSIONS: usize = 64;
/// Name of the only file in each commit.
const FILE_NAME: &str = "configuration.json";
/// Branch whose newest commit is the parent of the next.
const BRANCH: &str = "refs/heads/main";

/// Store of acknowledged configurations in a Git object store: one commit per version, with a tag named by the version.
/// It is a convenience in addition to the control state: a separate thread writes it, and no other part waits for it or
/// depends on it.
pub struct History {
    store: git2::Repository,
}

/// Error when the history is written or read.
#[derive(Debug, thiserror::Error)]
pub enum HistoryError {
    /// No configuration of this version is in the store.
    #[error("version {version} was not kept here: {cause}")]
    UnknownVersion {
        /// Requested version.
        version: u64,
        /// Error of the store.
        cause: git2::Error,
    },
    /// A commit lacks the configuration's file.
    #[error("no file in it")]
    NoFile,
    /// The object store cannot be read or written.
    #[error(transparent)]
    Store(#[from] git2::Error),
}

impl History {
    /// Opens or creates the store in a data folder.
    ///
    /// # Errors
    /// The store can be neither opened nor created.
    pub fn open(data: &Path) -> Result<History, HistoryError> {
        let path = data.join("history");
        let store =
            git2::Repository::open_bare(&path).or_else(|_| git2::Repository::init_bare(&path))?;
        Ok(History { store })
    }

    /// Starts a thread that stores each version and text sent to it, in a data folder.
    pub fn spawn_writer(data: PathBuf) -> Sender<(u64, Arc<str>)> {
        let (sender, receiver) = flume::bounded::<(u64, Arc<str>)>(MAX_QUEUED_VERSIONS);
        thread::spawn(move || {
            for (version, text) in receiver.iter() {
                let stored =
                    History::open(&data).and_then(|history| history.store_version(version, &text));
                if let Err(error) = stored {
                    log_event(Event::HistoryFailed, &format!("version {version}: {error}"));
                }
            }
        });
        sender
    }

    fn tag(version: u64) -> String {
        format!("refs/tags/{version}")
    }

    /// Stores a version. A version already stored with the same text is not written again; with another text (the state
    /// was lost and founded again) the newer text replaces it.
    ///
    /// # Errors
    /// The store cannot be written.
    pub fn store_version(&self, version: u64, text: &str) -> Result<(), HistoryError> {
        let stored = self.text(version);
        if stored.is_ok_and(|stored| stored == text.as_bytes()) {
            return Ok(());
        }
        let commit = self.commit(version, text)?;
        self.store
            .reference(&History::tag(version), commit, true, "acknowledged")?;
        Ok(())
    }

    fn commit(&self, version: u64, text: &str) -> Result<git2::Oid, git2::Error> {
        let blob = self.store.blob(text.as_bytes())?;
        let mut tree = self.store.treebuilder(None)?;
        tree.insert(FILE_NAME, blob, 0o100_644)?;
        let tree = self.store.find_tree(tree.write()?)?;
        let author = git2::Signature::now("otterslip", "control-node@otterslip.invalid")?;
        let parent = self
            .store
            .refname_to_id(BRANCH)
            .and_then(|id| self.store.find_commit(id))
            .ok();
        let parents: Vec<&git2::Commit> = parent.iter().collect();
        let message = format!("version {version}");
        self.store
            .commit(Some(BRANCH), &author, &author, &message, &tree, &parents)
    }

    fn tree(&self, version: u64) -> Result<git2::Tree<'_>, HistoryError> {
        let id = self
            .store
            .refname_to_id(&History::tag(version))
            .map_err(|cause| HistoryError::UnknownVersion { version, cause })?;
        Ok(self.store.find_commit(id)?.tree()?)
    }

    /// Returns all stored versions, in ascending order.
    ///
    /// # Errors
    /// The store cannot be read.
    pub fn versions(&self) -> Result<Vec<u64>, HistoryError> {
        let tags = self.store.references_glob("refs/tags/*")?;
        let mut versions: Vec<u64> = tags
            .filter_map(|tag| tag.ok()?.shorthand().ok()?.parse().ok())
            .collect();
        versions.sort_unstable();
        Ok(versions)
    }

    /// Returns the text of a version.
    ///
    /// # Errors
    /// The version is not stored, or the store cannot be read.
    pub fn text(&self, version: u64) -> Result<Vec<u8>, HistoryError> {
        let tree = self.tree(version)?;
        let file = tree.get_name(FILE_NAME).ok_or(HistoryError::NoFile)?;
        Ok(self.store.find_blob(file.id())?.content().to_vec())
    }

    /// Returns the lines that differ between two versions, as a unified diff.
    ///
    /// # Errors
    /// A version is not stored, or the store cannot be read.
    pub fn diff(&self, old: u64, new: u64) -> Result<String, HistoryError> {
        let (old, new) = (self.tree(old)?, self.tree(new)?);
        let diff = self.store.diff_tree_to_tree(Some(&old), Some(&new), None)?;
        let mut text = String::new();
        diff.print(git2::DiffFormat::Patch, |_, _, line| {
            if ['+', '-', ' '].contains(&line.origin()) {
                text.push(line.origin());
            }
            text += &String::from_utf8_lossy(line.content());
            true
        })?;
        Ok(text)
    }
}
