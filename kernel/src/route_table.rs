//! The routing table: a configuration with an index over its entries.
#[cfg(test)]
mod tests;

use crate::prelude::*;

/// A configuration with an index over its entries; never changed, only replaced
/// as a whole.
#[derive(Debug, PartialEq)]
pub struct RouteTable {
    /// The configuration's version.
    pub version: u64,
    /// The configuration.
    pub document: Configuration,
    /// What callers may send, if operators said so.
    pub bounds: Option<Arc<Bounds>>,
    by_path: HashMap<String, Vec<usize>>,
}

impl RouteTable {
    /// Indexes a configuration.
    pub fn new(version: u64, document: Configuration) -> RouteTable {
        let mut by_path: HashMap<String, Vec<usize>> = HashMap::new();
        for (at, entry) in document.entries.iter().enumerate() {
            by_path.entry(entry.path.clone()).or_default().push(at);
        }
        RouteTable {
            version,
            document,
            bounds: None,
            by_path,
        }
    }

    /// The same, with the clients' bounds.
    pub fn within(self, bounds: Option<Arc<Bounds>>) -> RouteTable {
        RouteTable { bounds, ..self }
    }

    /// The entry with the longest path that is the request's path or a whole
    /// part of its start; of two alike the one that names the host.
    pub fn find(&self, host: &str, url: &str, method: &str) -> Option<usize> {
        let path = url.split(['?', '#']).next().unwrap_or(url);
        let host = host.rsplit_once(':').map_or(host, |(name, _)| name);
        let cuts = path
            .match_indices('/')
            .flat_map(|(at, _)| [at, at + 1])
            .chain([path.len()]);
        let cuts: BTreeSet<usize> = cuts.filter(|at| *at > 0).collect();
        for cut in cuts.into_iter().rev() {
            let fits = |at: &&usize| {
                let entry = &self.document.entries[**at];
                entry.accepts(method)
                    && entry
                        .host
                        .as_deref()
                        .is_none_or(|known| known.eq_ignore_ascii_case(host))
            };
            let list = self
                .by_path
                .get(&path[..cut])
                .map(Vec::as_slice)
                .unwrap_or_default();
            if let Some(at) = list
                .iter()
                .filter(fits)
                .max_by_key(|at| self.document.entries[**at].host.is_some())
            {
                return Some(*at);
            }
        }
        None
    }
}
