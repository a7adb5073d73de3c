//! Named items of the configuration, merged into one document.
use crate::prelude::*;

/// The named parts of the configuration, read once each. Invariants:
/// - `parts` holds, per row key, what the row of that version says.
/// - What is in force is the document and all parts that stand, together:
///   they share names and places, and are valid only as a whole.
#[derive(Debug, Default, Clone)]
pub struct Items {
    parts: BTreeMap<String, (u64, ItemContent)>,
}

/// One named part, read.
#[derive(Debug, Clone)]
pub(crate) enum ItemContent {
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

    /// Row key of the revisions an item was accepted under earlier.
    pub fn accepted_key(kind: ItemKind, name: &str) -> String {
        format!("accepted/{}", Items::key(kind, name))
    }

    /// Takes one row of the configuration's partition; others than document and
    /// items are passed over. Findings have places within the item.
    pub fn apply_row(&mut self, key: &str, row: &Row) -> Result<bool, Vec<Finding>> {
        if self
            .parts
            .get(key)
            .is_some_and(|(version, _)| *version == row.version)
        {
            return Ok(false);
        }
        let part = match &row.value {
            Value::Configuration { text, .. } => {
                ItemContent::Document(Arc::new(Configuration::read(text)?))
            }
            Value::Item(item) => Items::read(item)?,
            _ => return Ok(false),
        };
        self.parts.insert(key.to_string(), (row.version, part));
        Ok(true)
    }

    pub(crate) fn read(item: &Item) -> Result<ItemContent, Vec<Finding>> {
        let Some(text) = &item.text else {
            return Ok(ItemContent::Removed);
        };
        let part = match item.kind {
            ItemKind::Group => ItemContent::Group(Arc::new(read_content(text)?)),
            ItemKind::Entry => ItemContent::Entry(Arc::new(read_content(text)?)),
            ItemKind::Bounds => ItemContent::Bounds(Arc::new(read_content(text)?)),
        };
        let own = match &part {
            ItemContent::Group(group) => group.service.as_str(),
            ItemContent::Entry(entry) => entry.name.as_str(),
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
    pub(crate) fn joined(&self) -> Result<Merged, Vec<(String, Finding)>> {
        let mut document = Configuration {
            groups: Vec::new(),
            entries: Vec::new(),
        };
        let (mut group_keys, mut entry_keys) = (Vec::new(), Vec::new());
        let mut bounds = None;
        for (key, (_, part)) in &self.parts {
            match part {
                ItemContent::Document(whole) => {
                    document.groups.extend(whole.groups.iter().cloned());
                    document.entries.extend(whole.entries.iter().cloned());
                }
                ItemContent::Group(group) => document.groups.push((**group).clone()),
                ItemContent::Entry(entry) => document.entries.push((**entry).clone()),
                ItemContent::Bounds(known) => bounds = Some(known.clone()),
                ItemContent::Removed => {}
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

    /// Takes a part that no row holds yet, to see whether all fits together.
    pub(crate) fn insert_unstored(&mut self, key: String, part: ItemContent) {
        self.parts.insert(key, (0, part));
    }
}

/// One part from its JSON, with all that is wrong in it by itself.
fn read_content<T: for<'a> Deserialize<'a> + Validate>(text: &str) -> Result<T, Vec<Finding>> {
    let part: T =
        serde_json::from_str(text).map_err(|error| vec![Finding::new("", error.to_string())])?;
    let found = findings_of(part.validate());
    if found.is_empty() {
        Ok(part)
    } else {
        Err(found)
    }
}
