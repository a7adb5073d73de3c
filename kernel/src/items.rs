//! Named items of the configuration, merged into one document.
use crate::prelude::*;

/// The parsed contents of the configuration: the document and the named items.
/// Invariants:
/// - `contents` holds, for each row key, the version and the parsed content of the row.
/// - The document and all items take effect together: names and paths must be
///   unique among them, and they are valid only as a whole.
#[derive(Debug, Default, Clone)]
pub struct Items {
    contents: BTreeMap<String, (u64, ItemContent)>,
}

/// The parsed content of the document or of one item.
#[derive(Debug, Clone)]
pub(crate) enum ItemContent {
    Document(Arc<Configuration>),
    Group(Arc<Group>),
    Entry(Arc<Entry>),
    Bounds(Arc<Bounds>),
    Removed,
}

/// All contents merged into one document, with the bounds if any are set.
pub type Merged = (Configuration, Option<Arc<Bounds>>);

impl Items {
    /// Returns the row key of an item.
    pub fn key(kind: ItemKind, name: &str) -> String {
        match kind {
            ItemKind::Group => format!("item/group/{name}"),
            ItemKind::Entry => format!("item/entry/{name}"),
            ItemKind::Bounds => "item/bounds".into(),
        }
    }

    /// Returns the row key of an item's earlier accepted revisions.
    pub fn accepted_key(kind: ItemKind, name: &str) -> String {
        format!("accepted/{}", Items::key(kind, name))
    }

    /// Applies a row of the configuration's partition; rows other than the document
    /// and items are ignored. Returns true if the row was applied. The places of
    /// findings are relative to the item.
    pub fn apply_row(&mut self, key: &str, row: &Row) -> Result<bool, Vec<Finding>> {
        if self
            .contents
            .get(key)
            .is_some_and(|(version, _)| *version == row.version)
        {
            return Ok(false);
        }
        let content = match &row.value {
            Value::Configuration { text, .. } => {
                ItemContent::Document(Arc::new(Configuration::read(text)?))
            }
            Value::Item(item) => Items::read(item)?,
            _ => return Ok(false),
        };
        self.contents
            .insert(key.to_string(), (row.version, content));
        Ok(true)
    }

    pub(crate) fn read(item: &Item) -> Result<ItemContent, Vec<Finding>> {
        let Some(text) = &item.text else {
            return Ok(ItemContent::Removed);
        };
        let content = match item.kind {
            ItemKind::Group => {
                ItemContent::Group(Arc::new(parse_content(text, Group::own_findings)?))
            }
            ItemKind::Entry => {
                ItemContent::Entry(Arc::new(parse_content(text, Entry::own_findings)?))
            }
            ItemKind::Bounds => ItemContent::Bounds(Arc::new(parse_content(text, |_| Vec::new())?)),
        };
        let own_name = match &content {
            ItemContent::Group(group) => group.service.as_str(),
            ItemContent::Entry(entry) => entry.name.as_str(),
            _ => "",
        };
        if own_name == item.name {
            Ok(content)
        } else {
            Err(vec![Finding::new(
                "",
                "is set under another name than its own",
            )])
        }
    }

    /// Validates one item by itself and returns its findings; places are relative to
    /// the item.
    pub fn findings(item: &Item) -> Vec<Finding> {
        Items::read(item).err().unwrap_or_default()
    }

    /// Returns all current contents as one document, with the bounds if any are set.
    /// Each finding's place starts with the row key of its item.
    pub fn merged(&self) -> Result<Merged, Vec<Finding>> {
        self.merge_with_keys().map_err(|findings| {
            findings
                .into_iter()
                .map(|(key, finding)| Finding::new(format!("{key}{}", finding.place), finding.text))
                .collect()
        })
    }

    /// Like [`Items::merged`], but each finding comes with the row key of its item
    /// (empty if it concerns no single item) and a place relative to the item.
    pub(crate) fn merge_with_keys(&self) -> Result<Merged, Vec<(String, Finding)>> {
        let mut document = Configuration {
            groups: Vec::new(),
            entries: Vec::new(),
        };
        let (mut group_keys, mut entry_keys) = (Vec::new(), Vec::new());
        let mut bounds = None;
        for (key, (_, content)) in &self.contents {
            match content {
                ItemContent::Document(base) => {
                    document.groups.extend(base.groups.iter().cloned());
                    document.entries.extend(base.entries.iter().cloned());
                }
                ItemContent::Group(group) => document.groups.push((**group).clone()),
                ItemContent::Entry(entry) => document.entries.push((**entry).clone()),
                ItemContent::Bounds(item) => bounds = Some(item.clone()),
                ItemContent::Removed => {}
            }
            group_keys.resize(document.groups.len(), key);
            entry_keys.resize(document.entries.len(), key);
        }
        let findings = document.findings();
        if findings.is_empty() {
            return Ok((document, bounds));
        }
        let with_item_key = |finding: Finding| {
            let segments: Vec<&str> = finding.place.splitn(4, '/').collect();
            let index = segments
                .get(2)
                .and_then(|segment| segment.parse::<usize>().ok());
            let keys = if segments.get(1) == Some(&"groups") {
                &group_keys
            } else {
                &entry_keys
            };
            match index.and_then(|index| keys.get(index)) {
                Some(key) => (
                    (*key).clone(),
                    Finding::new(format!("/{}", segments.get(3).unwrap_or(&"")), finding.text),
                ),
                None => (String::new(), finding),
            }
        };
        Err(findings.into_iter().map(with_item_key).collect())
    }

    /// Returns true if the document has a group of this service.
    pub(crate) fn document_has_group(&self, service: &str) -> bool {
        match self.contents.get(CONFIGURATION_KEY) {
            Some((_, ItemContent::Document(document))) => document.group(service).is_some(),
            _ => false,
        }
    }

    /// Inserts a document that is not stored in a row yet, to validate it together with
    /// the items.
    pub(crate) fn insert_document(&mut self, key: &str, document: Arc<Configuration>) {
        self.insert_unstored(key.to_string(), ItemContent::Document(document));
    }

    /// Inserts content that is not stored in a row yet, to validate it together with
    /// the others.
    pub(crate) fn insert_unstored(&mut self, key: String, content: ItemContent) {
        self.contents.insert(key, (0, content));
    }
}

/// Parses and validates the content of one item by itself; returns all findings.
/// `own_findings` checks what the ranges of the fields do not cover.
fn parse_content<T: for<'a> Deserialize<'a> + Validate>(
    text: &str,
    own_findings: fn(&T) -> Vec<Finding>,
) -> Result<T, Vec<Finding>> {
    let content: T =
        serde_json::from_str(text).map_err(|error| vec![Finding::new("", error.to_string())])?;
    let mut findings = findings_of(content.validate());
    findings.extend(own_findings(&content));
    if findings.is_empty() {
        Ok(content)
    } else {
        Err(findings)
    }
}
