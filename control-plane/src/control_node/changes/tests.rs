//! Tests of changes that are retried while nodes and messages are lost.
use super::cluster::Cluster;
use crate::prelude::*;

/// Time within which calls are replied to, including after a takeover.
const REPLY_TIMEOUT: Duration = Duration::from_secs(4);

fn group(name: &str, revision: u64, rate: u32) -> Item {
    let text: Arc<str> =
        format!(r#"{{"service":"{name}","rate":{rate},"concurrency":2,"proof":"named"}}"#).into();
    Item {
        kind: ItemKind::Group,
        name: name.into(),
        revision,
        text: Some(text.clone()),
        source: text,
    }
}

fn put_items(items: Vec<Item>) -> Change {
    Change::PutItems { items }
}

fn document(path: &str, expect: Option<u64>, change: u64) -> Change {
    let group = r#"{"service":"s","rate":9,"concurrency":2,"proof":"named"}"#;
    let entry = format!(
        r#"{{"name":"e","path":"{path}","methods":["GET"],"group":"s","rank":1,"kind":"plain"}}"#
    );
    Change::PutConfiguration {
        text: format!(r#"{{"groups":[{group}],"entries":[{entry}]}}"#).into(),
        expect,
        change,
    }
}

fn origins(instance: &str, expect: Option<u64>, change: u64) -> Change {
    let origin = Origin {
        address: SocketAddr::from(([127, 0, 0, 1], 9)),
        service: "s".into(),
        instance: instance.into(),
        draining: false,
        zone: String::new(),
        region: String::new(),
        capacity: 0,
        cold_ms: 0,
    };
    Change::PutOrigins {
        list: Arc::new(vec![origin]),
        expect,
        change,
        acknowledge: Acknowledge::Settled,
    }
}

fn version(outcome: &ChangeOutcome) -> u64 {
    match outcome {
        ChangeOutcome::Acknowledged { version } => *version,
        other => panic!("{other:?}"),
    }
}

fn assert_acknowledged(outcome: &ChangeOutcome, context: &str) {
    assert!(
        matches!(outcome, ChangeOutcome::Acknowledged { .. }),
        "{context}: {outcome:?}"
    );
}

fn assert_conflict(outcome: &ChangeOutcome, context: &str) {
    let ChangeOutcome::RevisionConflict(found) = outcome else {
        panic!("{context}: {outcome:?}")
    };
    assert!(
        found[0].text.contains("item/group/s"),
        "{context}: {found:?}"
    );
}

#[test]
fn concurrent_revisions_yield_one_acknowledgement_and_one_conflict() {
    for first in 0..3 {
        let mut cluster = Cluster::new();
        let second = cluster.other(first);
        cluster.submit(
            first,
            1,
            CONFIGURATION_PARTITION,
            put_items(vec![group("s", 7, 1)]),
        );
        cluster.submit(
            second,
            2,
            CONFIGURATION_PARTITION,
            put_items(vec![group("s", 7, 2)]),
        );
        cluster.run_for(REPLY_TIMEOUT);
        let outcomes: Vec<&ChangeOutcome> = [1, 2].iter().map(|id| &cluster.outcomes[id]).collect();
        let acknowledged = outcomes
            .iter()
            .filter(|outcome| matches!(outcome, ChangeOutcome::Acknowledged { .. }));
        assert_eq!(acknowledged.count(), 1, "{outcomes:?}");
        let conflict = outcomes
            .iter()
            .find(|outcome| matches!(outcome, ChangeOutcome::RevisionConflict(_)));
        assert_conflict(conflict.expect("the other"), "the other");
    }
}

#[test]
fn same_change_at_every_node_is_acknowledged_by_each() {
    let mut cluster = Cluster::new();
    for slot in 0..3 {
        let id = slot as u64;
        cluster.submit(
            slot,
            id,
            CONFIGURATION_PARTITION,
            put_items(vec![group("s", 7, 1)]),
        );
        cluster.submit(slot, 10 + id, ORIGINS_PARTITION, origins("o", Some(0), 5));
    }
    cluster.run_for(REPLY_TIMEOUT);
    for (id, outcome) in &cluster.outcomes {
        assert_acknowledged(outcome, &format!("call {id}"));
    }
    assert_eq!(cluster.outcomes.len(), 6);
}

#[test]
fn concurrent_changes_are_acknowledged_again_after_lost_replies() {
    let mut cluster = Cluster::new();
    let change = |at: u64| put_items(vec![group(&format!("s{at}"), 1, 1), group("s", at + 1, 1)]);
    cluster.replies_lost = true;
    for at in 0..8 {
        cluster.submit(at as usize % 3, at, CONFIGURATION_PARTITION, change(at));
    }
    cluster.run_for(Duration::from_millis(300));
    assert!(cluster.outcomes.is_empty());
    cluster.replies_lost = false;
    for at in 0..8 {
        let outcome = cluster.outcome((at as usize + 1) % 3, CONFIGURATION_PARTITION, change(at));
        assert_acknowledged(&outcome, &format!("change {at}"));
    }
}

/// The leader ends at each moment between a change's arrival and its settling, with or without the loss of its disk.
/// The change is then retried at another node.
#[test]
fn retried_change_is_acknowledged_after_reply_loss_at_any_step() {
    for wiped in [false, true] {
        for lost_at in 0..16 {
            let context = format!("wiped: {wiped}, lost after {lost_at} ms");
            let mut cluster = Cluster::new();
            let leader = cluster.leader(CONFIGURATION_PARTITION).unwrap();
            let contacted = cluster.other(leader);
            cluster.replies_lost = true;
            cluster.submit(
                contacted,
                1,
                CONFIGURATION_PARTITION,
                put_items(vec![group("s", 7, 1)]),
            );
            cluster.run_for(Duration::from_millis(lost_at));
            if wiped {
                cluster.wipe(leader);
            } else {
                cluster.kill(leader);
            }
            cluster.replies_lost = false;
            let next = cluster.other(contacted);
            let next = if next == leader { contacted } else { next };
            let outcome = cluster.outcome(
                next,
                CONFIGURATION_PARTITION,
                put_items(vec![group("s", 7, 1)]),
            );
            assert_acknowledged(&outcome, &context);
            cluster.start(leader);
            cluster.run_for(REPLY_TIMEOUT);
            let outcome = cluster.outcome(
                leader,
                CONFIGURATION_PARTITION,
                put_items(vec![group("s", 7, 1)]),
            );
            assert_acknowledged(&outcome, &context);
            let outcome = cluster.outcome(
                leader,
                CONFIGURATION_PARTITION,
                put_items(vec![group("s", 7, 2)]),
            );
            assert_conflict(&outcome, &context);
        }
    }
}

#[test]
fn accepted_revisions_survive_restarts_and_disk_loss() {
    let mut cluster = Cluster::new();
    for revision in 1..=3 {
        let outcome = cluster.outcome(
            0,
            CONFIGURATION_PARTITION,
            put_items(vec![group("s", revision, revision as u32)]),
        );
        assert_acknowledged(&outcome, "put");
    }
    let check = |cluster: &mut Cluster, context: &str| {
        for revision in 1..=3 {
            for slot in 0..3 {
                let again = put_items(vec![group("s", revision, revision as u32)]);
                assert_acknowledged(
                    &cluster.outcome(slot, CONFIGURATION_PARTITION, again),
                    context,
                );
            }
            let other = put_items(vec![group("s", revision, 99)]);
            assert_conflict(&cluster.outcome(0, CONFIGURATION_PARTITION, other), context);
        }
    };
    check(&mut cluster, "at once");
    (0..3).for_each(|slot| cluster.kill(slot));
    (0..3).for_each(|slot| cluster.start(slot));
    cluster.run_for(REPLY_TIMEOUT);
    check(&mut cluster, "after a restart of all");
    for slot in 0..3 {
        cluster.wipe(slot);
        cluster.run_for(Duration::from_secs(2));
        cluster.start(slot);
        cluster.run_for(REPLY_TIMEOUT);
        check(&mut cluster, "after each disk in turn was lost");
    }
}

/// A change that replaces the document or the list of a given version is retried after the leader ended.
#[test]
fn retry_after_takeover_reports_original_version() {
    for (partition, make) in [
        (
            CONFIGURATION_PARTITION,
            document as fn(&str, Option<u64>, u64) -> Change,
        ),
        (
            ORIGINS_PARTITION,
            origins as fn(&str, Option<u64>, u64) -> Change,
        ),
    ] {
        for newer in [false, true] {
            let context = format!("partition {partition}, newer: {newer}");
            let mut cluster = Cluster::new();
            let first = version(&cluster.outcome(0, partition, make("/a/", Some(0), 5)));
            let mut current = first;
            if newer {
                current = version(&cluster.outcome(1, partition, make("/b/", Some(first), 6)));
            }
            let leader = cluster.leader(partition).unwrap();
            cluster.kill(leader);
            cluster.run_for(REPLY_TIMEOUT);
            let contacted = cluster.other(leader);
            let outcome = cluster.outcome(contacted, partition, make("/a/", Some(0), 5));
            assert_eq!(version(&outcome), first, "{context}");
            let outcome = cluster.outcome(contacted, partition, make("/c/", Some(0), 9));
            assert!(
                matches!(outcome, ChangeOutcome::VersionConflict { version, .. } if version == current),
                "{context}: {outcome:?}"
            );
            let outcome = cluster.outcome(contacted, partition, make("/c/", Some(current), 9));
            assert_acknowledged(&outcome, &context);
        }
    }
}

/// The node sends the change twice, since the first reply was lost. Another change came first, so the operator gets a
/// version conflict.
#[test]
fn retried_change_that_lost_race_gets_version_conflict() {
    let mut cluster = Cluster::new();
    assert_acknowledged(
        &cluster.outcome(0, CONFIGURATION_PARTITION, document("/a/", Some(0), 5)),
        "first",
    );
    cluster.replies_lost = true;
    cluster.submit(1, 1, CONFIGURATION_PARTITION, document("/b/", Some(0), 6));
    cluster.run_for(Duration::from_millis(600));
    cluster.replies_lost = false;
    cluster.run_for(REPLY_TIMEOUT);
    let outcome = &cluster.outcomes[&1];
    assert!(
        matches!(outcome, ChangeOutcome::VersionConflict { .. }),
        "{outcome:?}"
    );
}

fn entry(name: &str, revision: u64, path: &str, group: &str) -> Item {
    let text: Arc<str> =
        format!(r#"{{"name":"{name}","path":"{path}","group":"{group}","rank":1,"kind":"plain"}}"#)
            .into();
    Item {
        kind: ItemKind::Entry,
        name: name.into(),
        revision,
        text: Some(text.clone()),
        source: text,
    }
}

/// Regression: a document that contradicts the items was acknowledged, and no edge could use either of them from then
/// on.
#[test]
fn document_that_contradicts_items_is_refused() {
    let mut cluster = Cluster::new();
    let mut put = |change| cluster.outcome(1, CONFIGURATION_PARTITION, change);
    let items = vec![group("t", 1, 1), entry("f", 1, "/f/", "t")];
    assert_acknowledged(&put(put_items(items)), "items");
    for path in ["/f/", "/e/"] {
        let outcome = put(document(path, None, 5));
        let is_refused = matches!(outcome, ChangeOutcome::Findings(_));
        assert_eq!(is_refused, path == "/f/", "{path}: {outcome:?}");
    }
    assert_acknowledged(&put(put_items(vec![entry("g", 1, "/g/", "s")])), "item");
    let without_group = Change::PutConfiguration {
        text: r#"{"groups":[],"entries":[]}"#.into(),
        expect: None,
        change: 7,
    };
    let outcome = put(without_group);
    assert!(
        matches!(outcome, ChangeOutcome::Findings(_)),
        "an item refers to the group: {outcome:?}"
    );
}

/// A late item was valid when it was sent, although its group was in a document that was replaced meanwhile.
#[test]
fn group_of_replaced_document_stays_known() {
    let mut cluster = Cluster::new();
    let mut put = |change| cluster.outcome(1, CONFIGURATION_PARTITION, change);
    assert_acknowledged(&put(document("/e/", None, 5)), "document");
    let items = vec![group("t", 1, 1), entry("f", 9, "/f/", "t")];
    assert_acknowledged(&put(put_items(items)), "items");
    let without_group = Change::PutConfiguration {
        text: r#"{"groups":[],"entries":[]}"#.into(),
        expect: None,
        change: 6,
    };
    assert_acknowledged(&put(without_group), "document without the group");
    let late = put_items(vec![entry("f", 5, "/f/", "s")]);
    assert_acknowledged(&put(late), "late item");
    let invalid = put(put_items(vec![entry("f", 4, "/f/", "nowhere")]));
    assert!(matches!(invalid, ChangeOutcome::Findings(_)), "{invalid:?}");
}

/// An isolated leader does not know the changes accepted after it was superseded.
#[test]
fn isolated_leader_reports_unknown_instead_of_refusal() {
    let mut cluster = Cluster::new();
    assert_acknowledged(
        &cluster.outcome(
            0,
            CONFIGURATION_PARTITION,
            put_items(vec![group("s", 7, 1)]),
        ),
        "first",
    );
    let old = cluster.leader(CONFIGURATION_PARTITION).unwrap();
    cluster.isolated.insert(old);
    cluster.submit(
        old,
        1,
        CONFIGURATION_PARTITION,
        put_items(vec![group("s", 7, 2)]),
    );
    cluster.submit(
        old,
        2,
        CONFIGURATION_PARTITION,
        document("/a/", Some(99), 5),
    );
    let orphan = entry("e", 1, "/e/", "none");
    cluster.submit(old, 3, CONFIGURATION_PARTITION, put_items(vec![orphan]));
    cluster.run_for(Duration::from_secs(14));
    for id in [1, 2, 3] {
        assert_eq!(cluster.outcomes[&id], ChangeOutcome::Unknown, "call {id}");
    }
}

#[test]
fn applied_changes_are_bounded_and_report_completeness() {
    let mut applied = AppliedChanges::default();
    for change in 1..=2 * APPLIED_CHANGES as u64 {
        applied.remember(change, change * 2);
    }
    let dropped = APPLIED_CHANGES as u64;
    assert_eq!(applied.version_of(dropped), None);
    assert_eq!(applied.version_of(dropped + 1), Some(2 * (dropped + 1)));
    assert_eq!(applied.complete_after(), 2 * dropped);
    let bytes = bincode::serialized_size(&applied).unwrap();
    assert!(bytes <= 16 + 16 * APPLIED_CHANGES as u64, "{bytes}");
}

/// The platform's list is read again only once the last one was acknowledged. An edge that is slow to apply a list must
/// not delay the acknowledgement: the removal of an origin in the meantime would be noticed too late.
#[test]
fn committed_acknowledgement_of_origins_ignores_slow_edge() {
    /// Time for which the edge applies no update.
    const SLOW: Duration = Duration::from_secs(1);
    for (acknowledge, within) in [
        (Acknowledge::Settled, false),
        (Acknowledge::Committed, true),
    ] {
        let mut cluster = Cluster::new();
        cluster.renew_without_applying(SLOW);
        let Change::PutOrigins {
            list,
            expect,
            change,
            ..
        } = origins("o", Some(0), 5)
        else {
            unreachable!()
        };
        let put = Change::PutOrigins {
            list,
            expect,
            change,
            acknowledge,
        };
        cluster.submit(0, 1, ORIGINS_PARTITION, put);
        cluster.renew_without_applying(SLOW);
        assert_eq!(
            cluster.outcomes.contains_key(&1),
            within,
            "{acknowledge:?} within {SLOW:?}"
        );
        // The edge's session expires, after which it delays nothing.
        cluster.run_for(REPLY_TIMEOUT);
        assert_acknowledged(&cluster.outcomes[&1], "in the end");
    }
}
