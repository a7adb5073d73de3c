use crate::prelude::*;

/// Acknowledged configurations in a Git object store: one commit each, with a
/// tag that is its version. A convenience beside the control state: written by
/// a thread of its own, and nothing pending_replies for it or depends on it.
pub struct History {
    store: git2::Repository,
}

/// Changes not yet kept; more are left out.
const MAX_QUEUED_VERSIONS: usize = 64;
const FILE: &str = "configuration.json";

impl History {
    /// Opens the store below a data folder, or begins it.
    pub fn open(data: &Path) -> Result<History> {
        let path = data.join("history");
        let store =
            git2::Repository::open_bare(&path).or_else(|_| git2::Repository::init_bare(&path))?;
        Ok(History { store })
    }

    /// Keeps what is sent to it, in a thread.
    pub fn spawn_writer(data: PathBuf) -> Sender<(u64, Arc<str>)> {
        let (give, take) = flume::bounded::<(u64, Arc<str>)>(MAX_QUEUED_VERSIONS);
        thread::spawn(move || {
            for (version, text) in take.iter() {
                if let Err(error) =
                    History::open(&data).and_then(|store| store.store_version(version, &text))
                {
                    log_event(
                        Event::HistoryFailed,
                        &format!("version {version}: {error:#}"),
                    );
                }
            }
        });
        give
    }

    fn tag(version: u64) -> String {
        format!("refs/tags/{version}")
    }

    /// A version already kept with the same text stays as it is; with another
    /// text (the state was lost and founded anew) the newer is kept.
    pub fn store_version(&self, version: u64, text: &str) -> Result<()> {
        if self
            .text(version)
            .is_ok_and(|known| known == text.as_bytes())
        {
            return Ok(());
        }
        let blob = self.store.blob(text.as_bytes())?;
        let mut tree = self.store.treebuilder(None)?;
        tree.insert(FILE, blob, 0o100_644)?;
        let tree = self.store.find_tree(tree.write()?)?;
        let who = git2::Signature::now("otterslip", "control-node@otterslip.invalid")?;
        let last = self
            .store
            .refname_to_id("refs/heads/main")
            .and_then(|id| self.store.find_commit(id))
            .ok();
        let parents: Vec<&git2::Commit> = last.iter().collect();
        let id = self.store.commit(
            Some("refs/heads/main"),
            &who,
            &who,
            &format!("version {version}"),
            &tree,
            &parents,
        )?;
        self.store
            .reference(&History::tag(version), id, true, "acknowledged")?;
        Ok(())
    }

    fn tree(&self, version: u64) -> Result<git2::Tree<'_>> {
        let id = self
            .store
            .refname_to_id(&History::tag(version))
            .with_context(|| format!("version {version} was not kept here"))?;
        Ok(self.store.find_commit(id)?.tree()?)
    }

    pub fn versions(&self) -> Result<Vec<u64>> {
        let names = self.store.references_glob("refs/tags/*")?;
        let mut list: Vec<u64> = names
            .filter_map(|one| one.ok()?.shorthand().ok()?.parse().ok())
            .collect();
        list.sort_unstable();
        Ok(list)
    }

    pub fn text(&self, version: u64) -> Result<Vec<u8>> {
        let tree = self.tree(version)?;
        let file = tree.get_name(FILE).context("no file in it")?;
        Ok(self.store.find_blob(file.id())?.content().to_vec())
    }

    /// Lines that differ, in the usual form.
    pub fn diff(&self, old: u64, new: u64) -> Result<String> {
        let diff =
            self.store
                .diff_tree_to_tree(Some(&self.tree(old)?), Some(&self.tree(new)?), None)?;
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

#[cfg(test)]
mod tests {
    use crate::prelude::*;

    #[test]
    fn stored_versions_are_listed_and_diffed_and_broken_store_is_an_error() {
        let data = std::env::temp_dir().join(format!("otterslip-history-{}", std::process::id()));
        let _ = std::fs::remove_dir_all(&data);
        std::fs::create_dir_all(&data).unwrap();
        let store = History::open(&data).unwrap();
        store.store_version(3, "one\ntwo\n").unwrap();
        store.store_version(7, "one\nthree\n").unwrap();
        store.store_version(7, "one\nthree\n").unwrap();
        assert_eq!(store.versions().unwrap(), [3, 7]);
        assert_eq!(store.text(3).unwrap(), b"one\ntwo\n");
        let told = store.diff(3, 7).unwrap();
        assert!(
            told.contains("-two") && told.contains("+three") && !told.contains("-one"),
            "{told}"
        );
        assert!(store.text(4).is_err());
        // Something else lies where the store should be: an error, no more.
        std::fs::remove_dir_all(data.join("history")).unwrap();
        std::fs::write(data.join("history"), "x").unwrap();
        assert!(History::open(&data).is_err());
        let give = History::spawn_writer(data.clone());
        assert!(give.try_send((9, "text".into())).is_ok());
        std::fs::remove_dir_all(&data).unwrap();
    }
}
