use crate::prelude::*;

/// A configuration with an index over its entries; never changed, only
/// replaced whole.
#[derive(Debug, PartialEq)]
pub struct RouteTable {
    pub version: u64,
    pub document: Configuration,
    /// What callers may send, if operators said so.
    pub bounds: Option<Arc<Bounds>>,
    by_path: HashMap<String, Vec<usize>>,
}

impl RouteTable {
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

    /// The same, with the callers' bounds.
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
                entry.takes(method)
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

#[cfg(test)]
mod tests {
    use crate::prelude::*;

    #[test]
    fn the_longest_whole_path_wins_then_the_host() {
        let entry = |name: &str, host: Option<&str>, path: &str| Entry {
            name: name.into(),
            host: host.map(Into::into),
            path: path.into(),
            methods: vec!["GET".into()],
            group: "g".into(),
            rank: 1,
            kind: Kind::Plain,
            cache_ttl_s: None,
            deadline_ms: 100,
            split: vec![],
            attempts: None,
            aim_ms: None,
        };
        let entries = vec![
            entry("root", None, "/"),
            entry("list", None, "/list"),
            entry("ours", Some("a.example"), "/list"),
            entry("tiles", None, "/t/"),
        ];
        let table = RouteTable::new(
            1,
            Configuration {
                groups: vec![],
                entries,
            },
        );
        let find = |host: &str, url: &str| {
            table
                .find(host, url, "GET")
                .map(|at| table.document.entries[at].name.clone())
        };
        assert_eq!(find("b.example", "/list/4?x=/t/").as_deref(), Some("list"));
        assert_eq!(find("A.example:80", "/list").as_deref(), Some("ours"));
        assert_eq!(find("b.example", "/listing").as_deref(), Some("root"));
        assert_eq!(find("b.example", "/t/1/2").as_deref(), Some("tiles"));
        assert_eq!(find("b.example", "/t").as_deref(), Some("root"));
        assert_eq!(table.find("b.example", "/t", "POST"), None);
    }
}
