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

/// A group and two entries of revision 9, on `/a/` and `/b/`.
fn two_entries() -> Partition {
    let mut partition = Partition::with_group();
    let entries = vec![entry("a", 9, "/a/", "s"), entry("b", 9, "/b/", "s")];
    assert_eq!(partition.put(entries), Ok(2));
    partition
}

fn group_removal(name: &str, revision: u64) -> Item {
    item(ItemKind::Group, name, revision, None)
}

fn split_entry(name: &str, revision: u64, path: &str, to: [&str; 2]) -> Item {
    let [first, second] = to;
    let text = format!(
        r#"{{"name":"{name}","path":"{path}","methods":[],"group":"{first}","rank":1,"kind":"repeatable","split":[{{"group":"{first}","weight":1}},{{"group":"{second}","weight":1}}]}}"#
    );
    item(ItemKind::Entry, name, revision, Some(text))
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

/// Regression (review/8): a call with an unknown group below the current revision was
/// acknowledged, and its removal of another entry took effect.
#[test]
fn unknown_group_below_current_revision_rejects_whole_call() {
    let mut partition = two_entries();
    let before = partition.rows.clone();
    for invalid in [
        entry("a", 5, "/a/", "nowhere"),
        split_entry("a", 5, "/a/", ["s", "nowhere"]),
    ] {
        let findings = partition.put_invalid(vec![removal("b", 12), invalid]);
        assert!(findings.contains("/1/"), "{findings}");
        assert!(findings.contains("no such group"), "{findings}");
    }
    assert_eq!(partition.rows, before);
}

/// Regression (review/8): the content of a refused call was remembered, and a valid call
/// with the same revision was refused as a conflict.
#[test]
fn revision_of_rejected_call_can_be_used_by_a_valid_call() {
    let mut partition = two_entries();
    partition.put_invalid(vec![entry("a", 5, "/a/", "nowhere"), removal("b", 12)]);
    assert_eq!(
        partition.put(vec![entry("a", 5, "/x/", "s"), removal("b", 12)]),
        Ok(1)
    );
    assert_eq!(partition.current_revision("b"), Some(12));
    partition.put_conflicting(vec![entry("a", 5, "/y/", "s")]);
}

/// Regression: an entry with an unknown group was accepted when the same call or a later
/// one named the entry with a higher revision, or when the rest of the call conflicted.
#[test]
fn unknown_group_is_invalid_wherever_the_item_has_no_effect() {
    let mut partition = two_entries();
    let before = partition.rows.clone();
    let unknown = |revision| entry("a", revision, "/a/", "nowhere");
    for call in [
        vec![unknown(11), entry("a", 12, "/a/", "s")],
        vec![entry("a", 12, "/a/", "s"), unknown(11)],
        vec![removal("a", 12), unknown(11)],
        vec![unknown(9)],
        vec![unknown(5), entry("b", 9, "/other/", "s")],
    ] {
        let findings = partition.put_invalid(call);
        assert!(findings.contains("no such group"), "{findings}");
    }
    assert_eq!(partition.rows, before);
}

/// Regression: the fields of an entry or group were checked only if it took effect.
#[test]
fn invalid_content_below_current_revision_rejects_whole_call() {
    let mut partition = two_entries();
    let before = partition.rows.clone();
    let keyless = r#"{"service":"s","rate":9,"concurrency":2,"proof":"seal"}"#;
    let cached = r#"{"name":"a","path":"/a/","methods":[],"group":"s","rank":1,"kind":"cached"}"#;
    for invalid in [
        item(ItemKind::Group, "s", 0, Some(keyless.into())),
        item(ItemKind::Entry, "a", 5, Some(cached.into())),
        entry("a", 5, "without-slash", "s"),
    ] {
        let findings = partition.put_invalid(vec![removal("b", 12), invalid]);
        assert!(findings.contains("/1/"), "{findings}");
    }
    assert_eq!(partition.rows, before);
}

/// Regression: two entries of one call with the same path, or a group that the call
/// removes, were accepted if one of the items was below its current revision.
#[test]
fn items_that_contradict_each_other_reject_whole_call() {
    let mut partition = two_entries();
    partition.put(vec![group("s", 9)]).unwrap();
    let before = partition.rows.clone();
    for call in [
        vec![entry("a", 5, "/x/", "s"), entry("c", 9, "/x/", "s")],
        vec![entry("a", 5, "/x/", "s"), entry("b", 5, "/x/", "s")],
        vec![group_removal("s", 5), entry("c", 9, "/c/", "s")],
        vec![
            group("t", 5),
            group_removal("t", 6),
            entry("a", 5, "/a/", "t"),
        ],
    ] {
        partition.put_invalid(call);
    }
    assert_eq!(partition.rows, before);
    let moved = vec![
        entry("a", 10, "/x/", "s"),
        entry("a", 11, "/y/", "s"),
        entry("c", 9, "/x/", "s"),
    ];
    assert_eq!(partition.put(moved), Ok(2), "only the newer path counts");
}

/// A call that arrives late was valid when it was sent, although its group was removed
/// or its path was given to another entry meanwhile.
#[test]
fn late_valid_call_is_acknowledged_after_group_and_path_changed() {
    let mut partition = two_entries();
    assert_eq!(partition.put(vec![group("old", 3)]), Ok(1));
    let moved = vec![
        group_removal("old", 12),
        entry("a", 12, "/y/", "s"),
        entry("b", 12, "/a/", "s"),
    ];
    assert_eq!(partition.put(moved), Ok(3));
    for late in [
        entry("a", 10, "/b/", "old"),
        entry("a", 8, "/a/", "s"),
        split_entry("b", 11, "/z/", ["s", "old"]),
    ] {
        let call = vec![late];
        assert_eq!(partition.put(call.clone()), Ok(0));
        assert_eq!(partition.put(call), Ok(0), "repeated");
    }
    let with_group = vec![group("late", 4), entry("a", 7, "/c/", "late")];
    assert_eq!(partition.put(with_group), Ok(1), "its own call sets it");
    assert_eq!(partition.put(vec![group_removal("never", 20)]), Ok(1));
    assert_eq!(
        partition.put(vec![group("never", 4), entry("b", 4, "/d/", "never")]),
        Ok(0),
        "group set by the call, removed by a newer one"
    );
    assert_eq!(partition.put(vec![entry("b", 5, "/e/", "never")]), Ok(0));
}

#[test]
fn removal_of_a_group_that_was_never_set_does_not_make_it_known() {
    let mut partition = two_entries();
    assert_eq!(partition.put(vec![group_removal("nowhere", 12)]), Ok(1));
    let before = partition.rows.clone();
    partition.put_invalid(vec![entry("a", 5, "/a/", "nowhere")]);
    partition.put_invalid(vec![
        entry("a", 5, "/a/", "nowhere"),
        group_removal("nowhere", 13),
    ]);
    assert_eq!(partition.rows, before);
}

/// Edges, from which rows are restored after the loss of a majority, keep no accepted
/// revisions: whether a removed group was ever set is not known then.
#[test]
fn late_call_is_acknowledged_after_accepted_revisions_were_lost() {
    let mut partition = two_entries();
    partition.put(vec![group("old", 3)]).unwrap();
    partition.put(vec![group_removal("old", 12)]).unwrap();
    partition.rows.retain(|_, row| row.value.visible_to_edges());
    assert_eq!(partition.put(vec![entry("a", 5, "/a/", "old")]), Ok(0));
}

/// Builds before [`DocumentChange`] kept no record of the groups of replaced documents.
#[test]
fn repeated_call_is_acknowledged_without_a_record_of_its_group() {
    let mut partition = two_entries();
    partition.put(vec![group("old", 3)]).unwrap();
    partition.put(vec![entry("a", 10, "/x/", "old")]).unwrap();
    partition.put(vec![entry("a", 12, "/x/", "s")]).unwrap();
    partition.rows.retain(|key, _| !key.ends_with("group/old"));
    assert_eq!(partition.put(vec![entry("a", 10, "/x/", "old")]), Ok(0));
    partition.put_invalid(vec![entry("a", 11, "/x/", "old")]);
}
