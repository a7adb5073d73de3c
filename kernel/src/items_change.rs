//! Judges a call that sets or removes items: what it puts, or why nothing of
//! it takes effect.

use crate::prelude::*;

#[cfg(test)]
mod tests;

/// What a call does that may be acknowledged.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct ItemsChange {
    /// Rows to put; none if all of the call was accepted before.
    pub rows: Vec<(String, Value)>,
    /// Row keys that speak of the call's items: it is acknowledged once these,
    /// as they are after the change, have settled.
    pub keys: BTreeSet<String>,
}

/// Why nothing of a call takes effect. The place of a finding begins with the
/// item's in the call, or with the row key of an item that stands.
#[derive(Debug, Clone, PartialEq)]
pub enum ItemsRejection {
    /// Something is wrong in an item, or with all that would stand.
    Invalid(Vec<Finding>),
    /// A revision was accepted before with another content.
    Conflict(Vec<Finding>),
    /// It is not known any more whether a revision was accepted.
    Forgotten(Vec<Finding>),
}

impl ItemsChange {
    /// Judges a call against the rows that stand.
    pub fn validate(
        rows: &BTreeMap<String, Row>,
        items: Vec<Item>,
    ) -> Result<ItemsChange, ItemsRejection> {
        let mut judgement = Judgement::new(rows);
        for (at, item) in items.into_iter().enumerate() {
            judgement.add(at, item);
        }
        judgement.conclude()
    }
}

/// An item of the call: what stands under its name and what is remembered, as
/// they would be after the state machine of the call judged so far.
struct Subject {
    standing: Option<AcceptedRevision>,
    /// The item to put, with its place in the call.
    fresh: Option<(usize, Item)>,
    earlier: AcceptedRevisions,
    earlier_changed: bool,
}

impl Subject {
    fn of(rows: &BTreeMap<String, Row>, item: &Item) -> Subject {
        let standing = match rows.get(&Items::key(item.kind, &item.name)) {
            Some(Row {
                value: Value::Item(known),
                ..
            }) => Some(AcceptedRevision::of(known)),
            _ => None,
        };
        let earlier = match rows.get(&Items::accepted_key(item.kind, &item.name)) {
            Some(Row {
                value: Value::Accepted(earlier),
                ..
            }) => earlier.clone(),
            _ => AcceptedRevisions::default(),
        };
        Subject {
            standing,
            fresh: None,
            earlier,
            earlier_changed: false,
        }
    }

    /// How a revision compares with what stands and what stood before.
    fn compare(&self, asked: AcceptedRevision) -> Acceptance {
        match self.standing {
            None => Acceptance::Never,
            Some(standing) if asked.revision > standing.revision => Acceptance::Never,
            Some(standing) if asked.revision < standing.revision => self.earlier.compare(asked),
            Some(standing) if asked.digest == standing.digest => Acceptance::Same,
            Some(_) => Acceptance::Conflict,
        }
    }

    /// Accepts a revision for the first time: it stands if it is the highest.
    /// An older one is remembered, so that no other content is confirmed under
    /// it later, and has no other effect.
    fn accept(&mut self, at: usize, item: Item) {
        let asked = AcceptedRevision::of(&item);
        let superseded = match self.standing {
            Some(standing) if asked.revision < standing.revision => Some(asked),
            standing => {
                self.standing = Some(asked);
                self.fresh = Some((at, item));
                standing
            }
        };
        if let Some(superseded) = superseded {
            self.earlier.remember(superseded);
            self.earlier_changed = true;
        }
    }
}

/// The judgement of one call, item by item.
struct Judgement<'a> {
    rows: &'a BTreeMap<String, Row>,
    known: Items,
    subjects: BTreeMap<(ItemKind, String), Subject>,
    invalid: Vec<Finding>,
    conflicts: Vec<Finding>,
    forgotten: Vec<Finding>,
}

impl<'a> Judgement<'a> {
    fn new(rows: &'a BTreeMap<String, Row>) -> Judgement<'a> {
        let mut known = Items::default();
        for (key, row) in rows {
            // What stands was judged before.
            let _ = known.apply_row(key, row);
        }
        Judgement {
            rows,
            known,
            subjects: BTreeMap::new(),
            invalid: Vec::new(),
            conflicts: Vec::new(),
            forgotten: Vec::new(),
        }
    }

    fn add(&mut self, at: usize, item: Item) {
        let part = match Items::read(&item) {
            Ok(part) => part,
            Err(found) => {
                let placed = |one: Finding| Finding::new(format!("/{at}{}", one.place), one.text);
                return self.invalid.extend(found.into_iter().map(placed));
            }
        };
        let (kind, name, revision) = (item.kind, item.name.clone(), item.revision);
        let key = Items::key(kind, &name);
        let rows = self.rows;
        let subject = self
            .subjects
            .entry((kind, name))
            .or_insert_with(|| Subject::of(rows, &item));
        let place = format!("/{at}/revision");
        match subject.compare(AcceptedRevision::of(&item)) {
            Acceptance::Same => {}
            Acceptance::Never => {
                subject.accept(at, item);
                if subject
                    .fresh
                    .as_ref()
                    .is_some_and(|(fresh, _)| *fresh == at)
                {
                    self.known.insert_unstored(key, part);
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

    fn conclude(self) -> Result<ItemsChange, ItemsRejection> {
        if !self.invalid.is_empty() {
            return Err(ItemsRejection::Invalid(self.invalid));
        }
        if !self.conflicts.is_empty() {
            return Err(ItemsRejection::Conflict(self.conflicts));
        }
        if !self.forgotten.is_empty() {
            return Err(ItemsRejection::Forgotten(self.forgotten));
        }
        if let Err(found) = self.known.joined() {
            return Err(ItemsRejection::Invalid(self.placed_in_call(found)));
        }
        Ok(self.change())
    }

    /// Findings of all that would stand; those of an item of the call get its
    /// place there.
    fn placed_in_call(&self, found: Vec<(String, Finding)>) -> Vec<Finding> {
        let fresh: BTreeMap<String, usize> = self
            .subjects
            .iter()
            .filter_map(|((kind, name), subject)| {
                let (at, _) = subject.fresh.as_ref()?;
                Some((Items::key(*kind, name), *at))
            })
            .collect();
        let place = |key: String| match fresh.get(&key) {
            Some(at) => format!("/{at}"),
            None => key,
        };
        found
            .into_iter()
            .map(|(key, one)| Finding::new(format!("{}{}", place(key), one.place), one.text))
            .collect()
    }

    fn change(self) -> ItemsChange {
        let mut change = ItemsChange::default();
        for ((kind, name), subject) in self.subjects {
            let key = Items::key(kind, &name);
            let accepted_key = Items::accepted_key(kind, &name);
            if let Some((_, item)) = subject.fresh {
                change.rows.push((key.clone(), Value::Item(item)));
            }
            if subject.earlier_changed {
                let value = Value::Accepted(subject.earlier);
                change.rows.push((accepted_key.clone(), value));
            }
            change.keys.extend([key, accepted_key]);
        }
        change
    }
}
