//! The items of one call as they were sent. They are judged whichever of them take effect:
//! a call is also invalid if its invalid item has a revision below the current one.

use crate::items::ItemContent;
use crate::prelude::*;

/// An item of the call, parsed.
struct SentItem {
    /// Index in the call.
    index: usize,
    revision: u64,
    content: ItemContent,
    /// The same revision and content were accepted by an earlier call, or by this one.
    is_accepted: bool,
}

/// All items of one call by kind and name, in the order in which they were sent.
#[derive(Default)]
pub(super) struct CallContents {
    items: BTreeMap<(ItemKind, String), Vec<SentItem>>,
}

impl CallContents {
    /// Adds an item of the call.
    pub(super) fn add(
        &mut self,
        index: usize,
        item: &Item,
        content: ItemContent,
        is_accepted: bool,
    ) {
        let key = (item.kind, item.name.clone());
        self.items.entry(key).or_default().push(SentItem {
            index,
            revision: item.revision,
            content,
            is_accepted,
        });
    }

    /// Validates the items against each other. `was_set` tells whether the group of a
    /// service was set at any time before the call: a call that arrives late may refer to
    /// a group that was removed meanwhile. For the same reason, its paths are not compared
    /// with those of current entries.
    pub(super) fn findings(&self, was_set: &dyn Fn(&str) -> bool) -> Vec<Finding> {
        let mut findings = self.unknown_services(was_set);
        findings.extend(self.contradictions());
        findings
    }

    /// Returns findings about references to services that never had a group. Items that
    /// were accepted earlier are left out: their services were known then.
    fn unknown_services(&self, was_set: &dyn Fn(&str) -> bool) -> Vec<Finding> {
        let set_services = self.set_services();
        let is_known = |service: &str| set_services.contains(service) || was_set(service);
        let sent_items = self.items.values().flatten();
        let findings_of = |sent: &SentItem| match &sent.content {
            ItemContent::Entry(entry) if !sent.is_accepted => {
                placed(sent.index, unknown_services(entry, &is_known))
            }
            _ => Vec::new(),
        };
        sent_items.flat_map(findings_of).collect()
    }

    /// Returns findings about entries that match the same requests, or that refer to a group
    /// which the call removes. Of several revisions of an item, the highest one counts.
    fn contradictions(&self) -> Vec<Finding> {
        let removed_services = self.removed_services();
        let is_kept = |service: &str| !removed_services.contains(service);
        let mut matched = MatchedRequests::default();
        let mut findings = Vec::new();
        for sent in self.items.values().filter_map(|sent| newest(sent)) {
            if let ItemContent::Entry(entry) = &sent.content {
                findings.extend(placed(sent.index, unknown_services(entry, &is_kept)));
                findings.extend(placed(sent.index, matched.add(entry)));
            }
        }
        findings
    }

    /// Returns the services whose groups the call sets, under any revision.
    fn set_services(&self) -> HashSet<&str> {
        let is_set = |sent: &SentItem| matches!(sent.content, ItemContent::Group(_));
        self.groups()
            .filter(|(_, sent_items)| sent_items.iter().any(is_set))
            .map(|(service, _)| service)
            .collect()
    }

    /// Returns the services whose groups the call removes.
    fn removed_services(&self) -> HashSet<&str> {
        let is_removal = |sent: &SentItem| matches!(sent.content, ItemContent::Removed);
        self.groups()
            .filter(|(_, sent_items)| newest(sent_items).is_some_and(is_removal))
            .map(|(service, _)| service)
            .collect()
    }

    fn groups(&self) -> impl Iterator<Item = (&str, &Vec<SentItem>)> {
        let is_group = |((kind, _), _): &(&(ItemKind, String), _)| *kind == ItemKind::Group;
        self.items
            .iter()
            .filter(is_group)
            .map(|((_, name), sent_items)| (name.as_str(), sent_items))
    }
}

/// Returns the item with the highest revision.
fn newest(sent_items: &[SentItem]) -> Option<&SentItem> {
    sent_items.iter().max_by_key(|sent| sent.revision)
}

/// Prefixes the places of an item's findings with the item's index in the call.
pub(super) fn placed(index: usize, findings: Vec<Finding>) -> Vec<Finding> {
    let within =
        |finding: Finding| Finding::new(format!("/{index}{}", finding.place), finding.text);
    findings.into_iter().map(within).collect()
}
