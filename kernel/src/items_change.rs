//! Validates a call, that is, an operator's request to set or remove configuration
//! items. The result is the rows to put, or the reasons for the rejection.

use crate::prelude::*;

mod call_contents;
#[cfg(test)]
mod tests;

use call_contents::{CallContents, placed};

/// The effect of a valid call.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct ItemsChange {
    /// Rows to put; empty if every item of the call was accepted earlier.
    pub rows: Vec<(String, Value)>,
    /// Keys of all rows of the call's items. The call is acknowledged once these rows,
    /// as they are after the change, have settled.
    pub keys: BTreeSet<String>,
}

/// The reason why a call is rejected as a whole. The place of a finding starts with
/// the item's index in the call, or with the row key of a current item.
#[derive(Debug, Clone, PartialEq)]
pub enum ItemsRejection {
    /// An item is invalid by itself, or together with the other items.
    Invalid(Vec<Finding>),
    /// A revision was accepted earlier with different content.
    Conflict(Vec<Finding>),
    /// A revision is so old that it is no longer known whether it was accepted.
    Forgotten(Vec<Finding>),
}

impl ItemsChange {
    /// Validates a call against the current rows.
    pub fn validate(
        rows: &BTreeMap<String, Row>,
        items: Vec<Item>,
    ) -> Result<ItemsChange, ItemsRejection> {
        let mut validator = CallValidator::new(rows);
        for (index, item) in items.into_iter().enumerate() {
            validator.add(index, item);
        }
        validator.finish()
    }
}

/// State of an item that the call names: its current and remembered revisions, as
/// they would be after the part of the call that was validated so far.
struct ItemState {
    current: Option<AcceptedRevision>,
    /// The item to put, with its index in the call.
    to_put: Option<(usize, Item)>,
    earlier: AcceptedRevisions,
    earlier_changed: bool,
}

impl ItemState {
    fn of(rows: &BTreeMap<String, Row>, item: &Item) -> ItemState {
        let current = match rows.get(&Items::key(item.kind, &item.name)) {
            Some(Row {
                value: Value::Item(stored),
                ..
            }) => Some(AcceptedRevision::of(stored)),
            _ => None,
        };
        let earlier = match rows.get(&Items::accepted_key(item.kind, &item.name)) {
            Some(Row {
                value: Value::Accepted(earlier),
                ..
            }) => earlier.clone(),
            _ => AcceptedRevisions::default(),
        };
        ItemState {
            current,
            to_put: None,
            earlier,
            earlier_changed: false,
        }
    }

    /// Compares a revision with the current one and the earlier ones.
    fn compare(&self, requested: AcceptedRevision) -> Acceptance {
        match self.current {
            None => Acceptance::Never,
            Some(current) if requested.revision > current.revision => Acceptance::Never,
            Some(current) if requested.revision < current.revision => {
                self.earlier.compare(requested)
            }
            Some(current) if requested.digest == current.digest => Acceptance::Same,
            Some(_) => Acceptance::Conflict,
        }
    }

    /// Accepts a revision for the first time. It becomes the current one if it is
    /// the highest. An older one is only remembered, so that no other content is
    /// confirmed under it later.
    fn accept(&mut self, index: usize, item: Item) {
        let requested = AcceptedRevision::of(&item);
        if self.current.is_none() && item.kind == ItemKind::Group && item.text.is_none() {
            // An empty record tells that the removed group was never set.
            self.earlier_changed = true;
        }
        let superseded = match self.current {
            Some(current) if requested.revision < current.revision => Some(requested),
            current => {
                self.current = Some(requested);
                self.to_put = Some((index, item));
                current
            }
        };
        if let Some(superseded) = superseded {
            self.earlier.remember(superseded);
            self.earlier_changed = true;
        }
    }
}

/// Validates one call, item by item.
struct CallValidator<'a> {
    rows: &'a BTreeMap<String, Row>,
    /// The current items with those of the call that take effect.
    merged: Items,
    call: CallContents,
    item_states: BTreeMap<(ItemKind, String), ItemState>,
    invalid: Vec<Finding>,
    conflicts: Vec<Finding>,
    forgotten: Vec<Finding>,
}

impl<'a> CallValidator<'a> {
    fn new(rows: &'a BTreeMap<String, Row>) -> CallValidator<'a> {
        let mut merged = Items::default();
        for (key, row) in rows {
            // The current rows were validated when they were put.
            let _ = merged.apply_row(key, row);
        }
        CallValidator {
            rows,
            merged,
            call: CallContents::default(),
            item_states: BTreeMap::new(),
            invalid: Vec::new(),
            conflicts: Vec::new(),
            forgotten: Vec::new(),
        }
    }

    fn add(&mut self, index: usize, item: Item) {
        let part = match Items::read(&item) {
            Ok(part) => part,
            Err(findings) => return self.invalid.extend(placed(index, findings)),
        };
        let (kind, name, revision) = (item.kind, item.name.clone(), item.revision);
        let key = Items::key(kind, &name);
        let rows = self.rows;
        let item_state = self
            .item_states
            .entry((kind, name))
            .or_insert_with(|| ItemState::of(rows, &item));
        let place = format!("/{index}/revision");
        let acceptance = item_state.compare(AcceptedRevision::of(&item));
        let is_accepted = acceptance == Acceptance::Same;
        self.call.add(index, &item, part.clone(), is_accepted);
        match acceptance {
            Acceptance::Same => {}
            Acceptance::Never => {
                item_state.accept(index, item);
                if item_state
                    .to_put
                    .as_ref()
                    .is_some_and(|(put_index, _)| *put_index == index)
                {
                    self.merged.insert_unstored(key, part);
                }
            }
            Acceptance::Conflict => self.conflicts.push(Finding::new(
                place,
                format!("{key}: revision {revision} was accepted with another content"),
            )),
            Acceptance::Forgotten => self.forgotten.push(Finding::new(
                place,
                format!("{key}: whether revision {revision} was accepted is not known any more"),
            )),
        }
    }

    fn finish(mut self) -> Result<ItemsChange, ItemsRejection> {
        let call_findings = self.call.findings(&|service| self.was_set(service));
        self.invalid.extend(call_findings);
        if !self.invalid.is_empty() {
            return Err(ItemsRejection::Invalid(self.invalid));
        }
        if !self.conflicts.is_empty() {
            return Err(ItemsRejection::Conflict(self.conflicts));
        }
        if !self.forgotten.is_empty() {
            return Err(ItemsRejection::Forgotten(self.forgotten));
        }
        if let Err(findings) = self.merged.merge_with_keys() {
            return Err(ItemsRejection::Invalid(self.placed_in_call(findings)));
        }
        Ok(self.change())
    }

    /// Returns true if the group of a service was ever set before the call, or if the
    /// record of it was lost.
    fn was_set(&self, service: &str) -> bool {
        if self.merged.document_has_group(service) {
            return true;
        }
        let value = |key: String| self.rows.get(&key).map(|row| &row.value);
        let current = value(Items::key(ItemKind::Group, service));
        let earlier = value(Items::accepted_key(ItemKind::Group, service));
        match (current, earlier) {
            (Some(Value::Item(Item { text: Some(_), .. })), _) => true,
            (_, Some(Value::Accepted(earlier))) => earlier.may_include_set(),
            // Edges restore removed items without their accepted revisions.
            (Some(_), _) => true,
            (None, _) => false,
        }
    }

    /// Converts the findings of the merged configuration; for an item of the call,
    /// the place starts with its index in the call.
    fn placed_in_call(&self, findings: Vec<(String, Finding)>) -> Vec<Finding> {
        let put_indexes: BTreeMap<String, usize> = self
            .item_states
            .iter()
            .filter_map(|((kind, name), item_state)| {
                let (index, _) = item_state.to_put.as_ref()?;
                Some((Items::key(*kind, name), *index))
            })
            .collect();
        let place = |key: String| match put_indexes.get(&key) {
            Some(index) => format!("/{index}"),
            None => key,
        };
        findings
            .into_iter()
            .map(|(key, finding)| {
                Finding::new(format!("{}{}", place(key), finding.place), finding.text)
            })
            .collect()
    }

    fn change(self) -> ItemsChange {
        let mut change = ItemsChange::default();
        for ((kind, name), item_state) in self.item_states {
            let key = Items::key(kind, &name);
            let accepted_key = Items::accepted_key(kind, &name);
            if let Some((_, item)) = item_state.to_put {
                change.rows.push((key.clone(), Value::Item(item)));
            }
            if item_state.earlier_changed {
                let value = Value::Accepted(item_state.earlier);
                change.rows.push((accepted_key.clone(), value));
            }
            change.keys.extend([key, accepted_key]);
        }
        change
    }
}
