//! Validates a new configuration document together with the current items.

use crate::prelude::*;

/// Key of the row that holds the configuration document, which is replaced as a unit.
pub const CONFIGURATION_KEY: &str = "configuration";

/// The effect of a valid document beside its own row.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct DocumentChange {
    /// Records of the groups that are no longer in the document: items that arrive late
    /// may still refer to them.
    pub removed_groups: Vec<(String, Value)>,
}

impl DocumentChange {
    /// Validates a document against the current rows.
    pub fn validate(
        rows: &BTreeMap<String, Row>,
        text: &str,
    ) -> Result<DocumentChange, Vec<Finding>> {
        let document = Arc::new(Configuration::read(text)?);
        let mut merged = Items::default();
        for (key, row) in rows.iter().filter(|(key, _)| *key != CONFIGURATION_KEY) {
            // The current rows were validated when they were put.
            let _ = merged.apply_row(key, row);
        }
        merged.insert_document(CONFIGURATION_KEY, document.clone());
        merged.merged()?;
        let is_removed = |group: &Group| document.group(&group.service).is_none();
        let removed_groups = current_groups(rows)
            .into_iter()
            .filter(is_removed)
            .map(|group| record_of_group(rows, &group.service))
            .collect();
        Ok(DocumentChange { removed_groups })
    }
}

fn current_groups(rows: &BTreeMap<String, Row>) -> Vec<Group> {
    match rows.get(CONFIGURATION_KEY).map(|row| &row.value) {
        Some(Value::Configuration { text, .. }) => {
            Configuration::read(text).map_or_else(|_| Vec::new(), |document| document.groups)
        }
        _ => Vec::new(),
    }
}

/// Returns the row of the group's accepted revisions, with the document's group added.
fn record_of_group(rows: &BTreeMap<String, Row>, service: &str) -> (String, Value) {
    let key = Items::accepted_key(ItemKind::Group, service);
    let mut accepted = match rows.get(&key).map(|row| &row.value) {
        Some(Value::Accepted(accepted)) => accepted.clone(),
        _ => AcceptedRevisions::default(),
    };
    accepted.remember_unnumbered();
    (key, Value::Accepted(accepted))
}
