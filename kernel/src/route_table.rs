//! The routing table, which finds the entry of a request.
#[cfg(test)]
mod tests;

use crate::prelude::*;

/// A configuration with an index over its entries; immutable, replaced as a whole.
#[derive(Debug, PartialEq)]
pub struct RouteTable {
    /// The configuration's version.
    pub version: u64,
    /// The configuration.
    pub document: Configuration,
    /// Limits on client requests, if operators set any.
    pub bounds: Option<Arc<Bounds>>,
    by_path: HashMap<String, Vec<usize>>,
}

impl RouteTable {
    /// Builds the index of a configuration.
    pub fn new(version: u64, document: Configuration) -> RouteTable {
        let mut by_path: HashMap<String, Vec<usize>> = HashMap::new();
        for (index, entry) in document.entries.iter().enumerate() {
            by_path.entry(entry.path.clone()).or_default().push(index);
        }
        RouteTable {
            version,
            document,
            bounds: None,
            by_path,
        }
    }

    /// Sets the limits on client requests.
    pub fn with_bounds(self, bounds: Option<Arc<Bounds>>) -> RouteTable {
        RouteTable { bounds, ..self }
    }

    /// Returns the index of the entry with the longest path that equals the request's
    /// path or is a prefix of it at a `/` boundary. Of two entries with the same path,
    /// the one that names the host is chosen.
    pub fn find(&self, host: &str, url: &str, method: &str) -> Option<usize> {
        let path = url.split(['?', '#']).next().unwrap_or(url);
        let host = host.rsplit_once(':').map_or(host, |(name, _)| name);
        let prefix_lengths = path
            .match_indices('/')
            .flat_map(|(slash, _)| [slash, slash + 1])
            .chain([path.len()]);
        let prefix_lengths: BTreeSet<usize> = prefix_lengths.filter(|length| *length > 0).collect();
        for length in prefix_lengths.into_iter().rev() {
            let matches = |index: &&usize| {
                let entry = &self.document.entries[**index];
                entry.accepts(method)
                    && entry
                        .host
                        .as_deref()
                        .is_none_or(|entry_host| entry_host.eq_ignore_ascii_case(host))
            };
            let candidates = self
                .by_path
                .get(&path[..length])
                .map(Vec::as_slice)
                .unwrap_or_default();
            if let Some(index) = candidates
                .iter()
                .filter(matches)
                .max_by_key(|index| self.document.entries[**index].host.is_some())
            {
                return Some(*index);
            }
        }
        None
    }
}
