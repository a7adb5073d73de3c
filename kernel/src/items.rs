use crate::prelude::*;

/// The named parts of the configuration, read once each. Invariants:
/// - `parts` holds, per row key, what the row of that version says.
/// - What is in force is the document and all parts that stand, together:
///   they share names and places, and are valid only as a whole.
#[derive(Debug, Default, Clone)]
pub struct Items {
    parts: BTreeMap<String, (u64, Part)>,
}

#[derive(Debug, Clone)]
enum Part {
    Document(Arc<Configuration>),
    Group(Arc<Group>),
    Entry(Arc<Entry>),
    Bounds(Arc<Bounds>),
    Removed,
}

/// All items as one document, with the bounds if any are set.
pub type Merged = (Configuration, Option<Arc<Bounds>>);

impl Items {
    /// Row key of an item.
    pub fn key(kind: ItemKind, name: &str) -> String {
        match kind {
            ItemKind::Group => format!("item/group/{name}"),
            ItemKind::Entry => format!("item/entry/{name}"),
            ItemKind::Bounds => "item/bounds".into(),
        }
    }

    /// Takes one row of the configuration's slice; others than document and
    /// items are passed over. Findings have places within the item.
    pub fn learn(&mut self, key: &str, row: &Row) -> Result<bool, Vec<Finding>> {
        if self
            .parts
            .get(key)
            .is_some_and(|(version, _)| *version == row.version)
        {
            return Ok(false);
        }
        let part = match &row.value {
            Value::Configuration { text, .. } => {
                Part::Document(Arc::new(Configuration::read(text)?))
            }
            Value::Item(item) => Items::read(item)?,
            _ => return Ok(false),
        };
        self.parts.insert(key.to_string(), (row.version, part));
        Ok(true)
    }

    fn read(item: &Item) -> Result<Part, Vec<Finding>> {
        let Some(text) = &item.text else {
            return Ok(Part::Removed);
        };
        let part = match item.kind {
            ItemKind::Group => Part::Group(Arc::new(read_part(text)?)),
            ItemKind::Entry => Part::Entry(Arc::new(read_part(text)?)),
            ItemKind::Bounds => Part::Bounds(Arc::new(read_part(text)?)),
        };
        let own = match &part {
            Part::Group(group) => group.service.as_str(),
            Part::Entry(entry) => entry.name.as_str(),
            _ => "",
        };
        if own == item.name {
            Ok(part)
        } else {
            Err(vec![Finding::new(
                "",
                "is set under another name than its own",
            )])
        }
    }

    /// What is wrong with one item by itself; places are within it.
    pub fn findings(item: &Item) -> Vec<Finding> {
        Items::read(item).err().unwrap_or_default()
    }

    /// All that stands, as one document, with the bounds if any are set; each
    /// finding's place begins with the row key of its item.
    pub fn merged(&self) -> Result<Merged, Vec<Finding>> {
        self.joined().map_err(|found| {
            found
                .into_iter()
                .map(|(key, one)| Finding::new(format!("{key}{}", one.place), one.text))
                .collect()
        })
    }

    /// The same; each finding with its item's row key (none: of no one item),
    /// and its place within.
    fn joined(&self) -> Result<Merged, Vec<(String, Finding)>> {
        let mut document = Configuration {
            groups: Vec::new(),
            entries: Vec::new(),
        };
        let (mut group_keys, mut entry_keys) = (Vec::new(), Vec::new());
        let mut bounds = None;
        for (key, (_, part)) in &self.parts {
            match part {
                Part::Document(whole) => {
                    document.groups.extend(whole.groups.iter().cloned());
                    document.entries.extend(whole.entries.iter().cloned());
                }
                Part::Group(group) => document.groups.push((**group).clone()),
                Part::Entry(entry) => document.entries.push((**entry).clone()),
                Part::Bounds(known) => bounds = Some(known.clone()),
                Part::Removed => {}
            }
            group_keys.resize(document.groups.len(), key);
            entry_keys.resize(document.entries.len(), key);
        }
        let found = document.findings();
        if found.is_empty() {
            return Ok((document, bounds));
        }
        let of_item = |one: Finding| {
            let words: Vec<&str> = one.place.splitn(4, '/').collect();
            let at = words.get(2).and_then(|word| word.parse::<usize>().ok());
            let keys = if words.get(1) == Some(&"groups") {
                &group_keys
            } else {
                &entry_keys
            };
            match at.and_then(|at| keys.get(at)) {
                Some(key) => (
                    (*key).clone(),
                    Finding::new(format!("/{}", words.get(3).unwrap_or(&"")), one.text),
                ),
                None => (String::new(), one),
            }
        };
        Err(found.into_iter().map(of_item).collect())
    }

    /// Judges a call against what stands: the rows to put, which may be none,
    /// or all findings, and then nothing of the call takes effect; their places
    /// begin with the item's in the call, or the row key of one that stands. A
    /// part that is not newer than what is known is judged by itself and left.
    pub fn change(
        rows: &BTreeMap<String, Row>,
        items: Vec<Item>,
    ) -> Result<Vec<(String, Item)>, Vec<Finding>> {
        let mut known = Items::default();
        for (key, row) in rows {
            // What stands was judged before.
            let _ = known.learn(key, row);
        }
        let mut found = Vec::new();
        let mut fresh: BTreeMap<String, (usize, Item)> = BTreeMap::new();
        for (at, item) in items.into_iter().enumerate() {
            let key = Items::key(item.kind, &item.name);
            let part = match Items::read(&item) {
                Ok(part) => part,
                Err(list) => {
                    found.extend(
                        list.into_iter()
                            .map(|one| Finding::new(format!("/{at}{}", one.place), one.text)),
                    );
                    continue;
                }
            };
            let stands = rows.get(&key).is_some_and(
                |row| matches!(&row.value, Value::Item(old) if old.revision >= item.revision),
            );
            let earlier = fresh
                .get(&key)
                .is_some_and(|(_, old)| old.revision >= item.revision);
            if !stands && !earlier {
                known.parts.insert(key.clone(), (0, part));
                fresh.insert(key, (at, item));
            }
        }
        if found.is_empty()
            && let Err(list) = known.joined()
        {
            let place = |key: &String| {
                fresh
                    .get(key)
                    .map_or_else(|| key.clone(), |(at, _)| format!("/{at}"))
            };
            found = list
                .into_iter()
                .map(|(key, one)| Finding::new(format!("{}{}", place(&key), one.place), one.text))
                .collect();
        }
        if found.is_empty() {
            Ok(fresh
                .into_iter()
                .map(|(key, (_, item))| (key, item))
                .collect())
        } else {
            Err(found)
        }
    }
}

/// One part from its JSON, with all that is wrong in it by itself.
fn read_part<T: for<'a> Deserialize<'a> + Validate>(text: &str) -> Result<T, Vec<Finding>> {
    let part: T =
        serde_json::from_str(text).map_err(|error| vec![Finding::new("", error.to_string())])?;
    let found = findings_of(part.validate());
    if found.is_empty() {
        Ok(part)
    } else {
        Err(found)
    }
}

#[cfg(test)]
mod tests {
    use crate::prelude::*;

    fn item(kind: ItemKind, name: &str, revision: u64, text: Option<String>) -> Item {
        Item {
            kind,
            name: name.into(),
            revision,
            text: text.map(Into::into),
            source: format!("{name}@{revision}").into(),
        }
    }

    fn group(name: &str, revision: u64) -> Item {
        let text = format!(r#"{{"service":"{name}","rate":9,"concurrency":2,"proof":"named"}}"#);
        item(ItemKind::Group, name, revision, Some(text))
    }

    fn entry(name: &str, revision: u64, path: &str, to: &str) -> Item {
        let text = format!(
            r#"{{"name":"{name}","path":"{path}","methods":[],"group":"{to}","rank":1,"kind":"repeatable"}}"#
        );
        item(ItemKind::Entry, name, revision, Some(text))
    }

    fn put(rows: &mut BTreeMap<String, Row>, items: Vec<Item>) -> Result<usize, String> {
        let fresh = Items::change(rows, items).map_err(|found| {
            found
                .iter()
                .map(ToString::to_string)
                .collect::<Vec<_>>()
                .join("; ")
        })?;
        let count = fresh.len();
        for (key, item) in fresh {
            let version = rows.len() as u64 + 1;
            rows.insert(
                key,
                Row {
                    version,
                    value: Value::Item(item),
                },
            );
        }
        Ok(count)
    }

    #[test]
    fn per_name_the_highest_revision_holds_also_of_removals_and_a_call_is_whole_or_nothing() {
        let mut rows = BTreeMap::new();
        assert_eq!(
            put(&mut rows, vec![group("s", 7), entry("a", 7, "/a/", "s")]),
            Ok(2)
        );
        assert_eq!(
            put(
                &mut rows,
                vec![entry("a", 7, "/other/", "s"), entry("a", 6, "/x/", "s")]
            ),
            Ok(0),
            "not newer: no effect"
        );
        let found = put(
            &mut rows,
            vec![entry("b", 9, "/b/", "s"), entry("c", 9, "/c/", "none")],
        )
        .unwrap_err();
        assert!(
            found.contains("/1/group") && found.contains("no such group"),
            "{found}"
        );
        let other = Item {
            name: "d".into(),
            ..entry("c", 9, "/c/", "s")
        };
        assert!(
            put(&mut rows, vec![other])
                .unwrap_err()
                .contains("another name")
        );
        assert!(
            !rows.contains_key("item/entry/b"),
            "no part of an invalid call"
        );
        assert!(
            put(&mut rows, vec![entry("b", 9, "/a/", "s")]).is_err(),
            "two entries at one place"
        );
        assert_eq!(
            put(
                &mut rows,
                vec![
                    item(ItemKind::Entry, "a", 12, None),
                    entry("b", 9, "/a/", "s")
                ]
            ),
            Ok(2),
            "it made room in the same call"
        );
        assert_eq!(
            put(&mut rows, vec![entry("a", 11, "/z/", "s")]),
            Ok(0),
            "older than the removal"
        );
        let found = put(&mut rows, vec![item(ItemKind::Group, "s", 20, None)]).unwrap_err();
        assert!(
            found.contains("item/entry/b/group"),
            "an entry still goes to it: {found}"
        );
        assert_eq!(put(&mut rows, vec![entry("a", 13, "/z/", "s")]), Ok(1));
    }
}
