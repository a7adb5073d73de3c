//! Tests of the `items_change` module.
use crate::prelude::*;

fn item(kind: ItemKind, name: &str, revision: u64, text: Option<String>) -> Item {
    let text: Option<Arc<str>> = text.map(Into::into);
    Item {
        kind,
        name: name.into(),
        revision,
        source: text.clone().unwrap_or_else(|| "null".into()),
        text,
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

fn removal(name: &str, revision: u64) -> Item {
    item(ItemKind::Entry, name, revision, None)
}

/// The rows of one partition, changed in the same way as by its leader.
#[derive(Default, Clone)]
struct Partition {
    rows: BTreeMap<String, Row>,
    version: u64,
}

impl Partition {
    /// Creates a partition with a group that entries can refer to.
    fn with_group() -> Partition {
        let mut partition = Partition::default();
        assert_eq!(partition.put(vec![group("s", 1)]), Ok(1));
        partition
    }

    /// Applies a call and returns the number of items put, or the rejection.
    fn put(&mut self, items: Vec<Item>) -> Result<usize, ItemsRejection> {
        let change = ItemsChange::validate(&self.rows, items)?;
        let is_item = |(_, value): &&(String, Value)| matches!(value, Value::Item(_));
        let count = change.rows.iter().filter(is_item).count();
        for (key, value) in change.rows {
            self.version += 1;
            let version = self.version;
            self.rows.insert(key, Row { version, value });
        }
        Ok(count)
    }

    /// Returns the findings of an invalid call as one text.
    fn put_invalid(&mut self, items: Vec<Item>) -> String {
        match self.put(items) {
            Err(ItemsRejection::Invalid(findings)) => joined(&findings),
            other => panic!("{other:?}"),
        }
    }

    /// Returns the findings of a conflicting call as one text.
    fn put_conflicting(&mut self, items: Vec<Item>) -> String {
        match self.put(items) {
            Err(ItemsRejection::Conflict(findings)) => joined(&findings),
            other => panic!("{other:?}"),
        }
    }

    fn current_revision(&self, name: &str) -> Option<u64> {
        match &self.rows.get(&Items::key(ItemKind::Entry, name))?.value {
            Value::Item(item) => Some(item.revision),
            _ => None,
        }
    }
}

fn joined(findings: &[Finding]) -> String {
    let texts: Vec<String> = findings.iter().map(ToString::to_string).collect();
    texts.join("; ")
}

#[test]
fn highest_revision_wins_and_call_is_atomic() {
    let mut partition = Partition::default();
    assert_eq!(
        partition.put(vec![group("s", 7), entry("a", 7, "/a/", "s")]),
        Ok(2)
    );
    assert_eq!(
        partition.put(vec![entry("a", 6, "/x/", "s")]),
        Ok(0),
        "not newer: no effect"
    );
    let findings = partition.put_invalid(vec![
        entry("b", 9, "/b/", "s"),
        entry("c", 9, "/c/", "none"),
    ]);
    assert!(
        findings.contains("/1/group") && findings.contains("no such group"),
        "{findings}"
    );
    let other = Item {
        name: "d".into(),
        ..entry("c", 9, "/c/", "s")
    };
    assert!(partition.put_invalid(vec![other]).contains("another name"));
    assert_eq!(
        partition.current_revision("b"),
        None,
        "no part of an invalid call is applied"
    );
    let findings = partition.put_invalid(vec![entry("b", 9, "/a/", "s")]);
    assert!(!findings.is_empty(), "two entries with one path");
    assert_eq!(
        partition.put(vec![removal("a", 12), entry("b", 9, "/a/", "s")]),
        Ok(2),
        "the removal frees the path in the same call"
    );
    assert_eq!(
        partition.put(vec![entry("a", 11, "/z/", "s")]),
        Ok(0),
        "older than the removal"
    );
    let findings = partition.put_invalid(vec![item(ItemKind::Group, "s", 20, None)]);
    assert!(
        findings.contains("item/entry/b/group"),
        "an entry still refers to it: {findings}"
    );
    assert_eq!(partition.put(vec![entry("a", 13, "/z/", "s")]), Ok(1));
}

/// Regression: two operators put different content under one revision. The second call
/// was acknowledged although the first one's content was in effect.
#[test]
fn conflicting_revision_rejects_whole_call() {
    let mut partition = Partition::with_group();
    assert_eq!(partition.put(vec![entry("a", 7, "/a/", "s")]), Ok(1));
    let before = partition.rows.clone();
    let findings = partition.put_conflicting(vec![
        entry("b", 7, "/b/", "s"),
        entry("a", 7, "/other/", "s"),
    ]);
    assert!(
        findings.contains("/1/revision") && findings.contains("item/entry/a: revision 7"),
        "{findings}"
    );
    partition.put_conflicting(vec![removal("a", 7)]);
    assert_eq!(partition.rows, before, "the new item is not put either");
    assert_eq!(
        partition.put(vec![entry("a", 7, "/a/", "s"), entry("b", 7, "/b/", "s")]),
        Ok(1),
        "an item accepted earlier does not block the others"
    );
}

#[test]
fn contradictory_call_conflicts_and_highest_revision_wins() {
    let mut partition = Partition::with_group();
    partition.put_conflicting(vec![entry("a", 7, "/a/", "s"), entry("a", 7, "/b/", "s")]);
    assert_eq!(
        partition.put(vec![entry("a", 7, "/a/", "s"), entry("a", 7, "/a/", "s")]),
        Ok(1),
        "the same item twice"
    );
    assert_eq!(
        partition.put(vec![entry("b", 9, "/b/", "s"), entry("b", 8, "/c/", "s")]),
        Ok(1)
    );
    assert_eq!(partition.current_revision("b"), Some(9));
    partition.put_conflicting(vec![entry("b", 8, "/d/", "s")]);
}

#[test]
fn accepted_revision_is_recognized_after_newer_ones() {
    let mut partition = Partition::with_group();
    for revision in [3, 5, 9] {
        let path = format!("/{revision}/");
        assert_eq!(partition.put(vec![entry("a", revision, &path, "s")]), Ok(1));
    }
    let before = partition.rows.clone();
    assert_eq!(partition.put(vec![entry("a", 5, "/5/", "s")]), Ok(0));
    assert_eq!(partition.put(vec![entry("a", 3, "/3/", "s")]), Ok(0));
    partition.put_conflicting(vec![entry("a", 5, "/other/", "s")]);
    partition.put_conflicting(vec![removal("a", 3)]);
    assert_eq!(partition.rows, before, "a repeat changes nothing");
}

#[test]
fn unaccepted_older_revision_has_no_effect_but_is_recorded() {
    let mut partition = Partition::with_group();
    assert_eq!(partition.put(vec![entry("a", 9, "/9/", "s")]), Ok(1));
    assert_eq!(partition.put(vec![entry("a", 7, "/7/", "s")]), Ok(0));
    assert_eq!(partition.current_revision("a"), Some(9));
    assert_eq!(partition.put(vec![entry("a", 7, "/7/", "s")]), Ok(0));
    partition.put_conflicting(vec![entry("a", 7, "/other/", "s")]);
    assert_eq!(partition.put(vec![removal("a", 12)]), Ok(1));
    assert_eq!(partition.put(vec![entry("a", 9, "/9/", "s")]), Ok(0));
    partition.put_conflicting(vec![entry("a", 12, "/back/", "s")]);
}

#[test]
fn removals_compare_equal_in_any_layout() {
    let mut partition = Partition::with_group();
    assert_eq!(partition.put(vec![removal("a", 4)]), Ok(1));
    let in_another_layout = Item {
        source: "".into(),
        ..removal("a", 4)
    };
    assert_eq!(partition.put(vec![in_another_layout]), Ok(0));
}

#[test]
fn acknowledgement_waits_for_all_rows_of_the_items() {
    let mut partition = Partition::with_group();
    partition.put(vec![entry("a", 7, "/a/", "s")]).unwrap();
    partition.put(vec![entry("b", 7, "/b/", "s")]).unwrap();
    let again = ItemsChange::validate(&partition.rows, vec![entry("a", 7, "/a/", "s")]).unwrap();
    assert!(again.rows.is_empty());
    assert!(again.keys.contains("item/entry/a") && again.keys.contains("accepted/item/entry/a"));
    assert!(
        !again.keys.contains("item/entry/b"),
        "not an item of the call"
    );
}

#[test]
fn revision_memory_is_bounded_and_forgotten_is_reported() {
    let mut partition = Partition::with_group();
    let newest = 2 * ACCEPTED_REVISIONS as u64;
    let revision_item = |revision: u64| entry("a", revision, &format!("/{revision}/"), "s");
    for revision in 1..=newest {
        assert_eq!(partition.put(vec![revision_item(revision)]), Ok(1));
    }
    let oldest_known = newest - ACCEPTED_REVISIONS as u64;
    assert_eq!(partition.put(vec![revision_item(oldest_known)]), Ok(0));
    partition.put_conflicting(vec![entry("a", oldest_known, "/other/", "s")]);
    let before = partition.rows.clone();
    for content in ["/1/", "/other/"] {
        let result = partition.put(vec![entry("a", 1, content, "s")]);
        assert!(
            matches!(result, Err(ItemsRejection::Forgotten(_))),
            "{content}: {result:?}"
        );
    }
    assert_eq!(partition.rows, before);
    let bytes = bincode::serialized_size(&partition.rows["accepted/item/entry/a"]).unwrap();
    assert!(bytes <= 64 + 24 * ACCEPTED_REVISIONS as u64, "{bytes}");
}
