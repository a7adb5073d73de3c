//! Tests of the history checker: accepts linearizable histories and detects all
//! others.
use stand_ins::history::*;
use stand_ins::prelude::*;

fn timed<O>(start: f64, end: f64, operation: O) -> Timed<O> {
    Timed {
        start,
        end: Some(end),
        operation,
    }
}

fn unknown<O>(start: f64, operation: O) -> Timed<O> {
    Timed {
        start,
        end: None,
        operation,
    }
}

fn put(revision: u64, content: &str) -> RevisedOperation {
    RevisedOperation::Put {
        revision,
        content: Some(content.into()),
    }
}

fn conflict(revision: u64, content: &str) -> RevisedOperation {
    RevisedOperation::Conflict {
        revision,
        content: Some(content.into()),
    }
}

fn read(revision: u64, content: &str) -> RevisedOperation {
    RevisedOperation::Read(Some((revision, Some(content.into()))))
}

fn check_item(calls: &[Timed<RevisedOperation>]) -> HistoryResult {
    check_history::<RevisedItem>(calls)
}

#[test]
fn highest_revision_wins_in_item_history() {
    let calls = [
        timed(0.0, 1.0, put(2, "b")),
        timed(2.0, 3.0, put(1, "a")),
        timed(4.0, 5.0, put(2, "b")),
        timed(6.0, 7.0, conflict(2, "c")),
        timed(8.0, 9.0, read(2, "b")),
    ];
    assert_eq!(check_item(&calls), HistoryResult::Linearizable);
    assert_eq!(check_item(&[]), HistoryResult::Linearizable);
}

#[test]
fn revision_with_two_confirmed_contents_is_not_linearizable() {
    let calls = [timed(0.0, 9.0, put(1, "a")), timed(0.0, 9.0, put(1, "b"))];
    assert!(matches!(check_item(&calls), HistoryResult::Violated(_)));
    // The same after a newer revision took effect.
    let calls = [
        timed(0.0, 9.0, put(1, "a")),
        timed(1.0, 2.0, put(2, "c")),
        timed(3.0, 4.0, put(1, "b")),
    ];
    assert!(matches!(check_item(&calls), HistoryResult::Violated(_)));
    let calls = [
        timed(0.0, 1.0, put(1, "a")),
        timed(1.5, 2.0, put(2, "c")),
        timed(3.0, 4.0, conflict(1, "b")),
        timed(5.0, 6.0, put(1, "a")),
        timed(7.0, 8.0, read(2, "c")),
    ];
    assert_eq!(check_item(&calls), HistoryResult::Linearizable);
}

#[test]
fn lost_put_and_stale_read_are_not_linearizable() {
    let lost = [
        timed(0.0, 1.0, put(1, "a")),
        timed(2.0, 3.0, RevisedOperation::Read(None)),
    ];
    assert_eq!(check_item(&lost), HistoryResult::Violated(1));
    let stale_read = [
        timed(0.0, 1.0, put(1, "a")),
        timed(0.0, 9.0, put(2, "b")),
        timed(2.0, 3.0, read(2, "b")),
        timed(4.0, 5.0, read(1, "a")),
    ];
    assert_eq!(check_item(&stale_read), HistoryResult::Violated(3));
}

#[test]
fn unjustified_conflict_is_not_linearizable() {
    let calls = [
        timed(0.0, 1.0, put(1, "a")),
        timed(2.0, 3.0, conflict(1, "a")),
    ];
    assert_eq!(check_item(&calls), HistoryResult::Violated(1));
}

#[test]
fn unknown_outcome_resolves_one_way_only() {
    let late_effect = [
        unknown(0.0, put(2, "b")),
        timed(1.0, 2.0, put(1, "a")),
        timed(3.0, 4.0, read(1, "a")),
        timed(5.0, 6.0, read(2, "b")),
    ];
    assert_eq!(check_item(&late_effect), HistoryResult::Linearizable);
    assert_eq!(
        check_item(&late_effect[..3]),
        HistoryResult::Linearizable,
        "the write never takes effect"
    );
    let undone = [
        unknown(0.0, put(2, "b")),
        timed(1.0, 2.0, read(2, "b")),
        timed(3.0, 4.0, put(1, "a")),
        timed(5.0, 6.0, read(1, "a")),
    ];
    assert_eq!(check_item(&undone), HistoryResult::Violated(3));
    let early_read = [timed(0.0, 1.0, read(1, "a")), unknown(2.0, put(1, "a"))];
    assert_eq!(
        check_item(&early_read),
        HistoryResult::Violated(0),
        "read before the write began"
    );
}

fn record(start: f64, end: Option<f64>, operation: DocumentOperation) -> OperatorRecord {
    OperatorRecord {
        start,
        end,
        operation,
    }
}

fn document(version: Option<u64>, content: &str) -> DocumentOperation {
    DocumentOperation::Put {
        version,
        content: content.into(),
    }
}

fn document_read(version: u64, content: &str) -> DocumentOperation {
    DocumentOperation::Read {
        version,
        content: content.into(),
    }
}

#[test]
fn document_versions_rise_and_unknown_outcomes_are_unconstrained() {
    let linearizable = [
        record(0.0, Some(1.0), document(Some(3), "a")),
        record(2.0, None, document(None, "b")),
        record(3.0, Some(4.0), document_read(3, "a")),
        record(5.0, Some(6.0), document_read(7, "b")),
        record(7.0, Some(8.0), DocumentOperation::Raced { version: 7 }),
    ];
    assert_eq!(
        check_document(&linearizable, None),
        HistoryResult::Linearizable
    );
    let stale = record(9.0, Some(10.0), document_read(3, "a"));
    let stale = [linearizable.as_slice(), &[stale]].concat();
    assert_eq!(check_document(&stale, None), HistoryResult::Violated(5));
    let other = record(9.0, Some(10.0), document_read(7, "c"));
    let other = [linearizable.as_slice(), &[other]].concat();
    assert_eq!(check_document(&other, None), HistoryResult::Violated(5));
    let same_version = record(9.0, Some(10.0), document(Some(7), "d"));
    let same_version = [linearizable.as_slice(), &[same_version]].concat();
    assert_eq!(
        check_document(&same_version, None),
        HistoryResult::Violated(5)
    );
}

#[test]
fn confirmations_before_total_loss_are_not_required() {
    let calls = [
        record(0.0, Some(1.0), document(Some(3), "a")),
        record(5.0, Some(6.0), document(Some(1), "b")),
    ];
    assert_eq!(check_document(&calls, None), HistoryResult::Violated(1));
    assert_eq!(
        check_document(&calls, Some(3.0)),
        HistoryResult::Linearizable
    );
}

fn response(start: f64, end: f64, version: u64) -> ClientRecord {
    ClientRecord {
        start,
        end,
        status: 200,
        version: Some(version),
        ..ClientRecord::default()
    }
}

#[test]
fn operation_key_runs_once_with_one_response() {
    let (first, again) = (response(0.0, 2.0, 5), response(3.0, 4.0, 5));
    let rejected = ClientRecord {
        status: 503,
        ..response(0.0, 0.5, 0)
    };
    let all = [&rejected, &first, &again];
    assert_eq!(check_key(&[1.0], &all), HistoryResult::Linearizable);
    assert_eq!(check_key(&[1.0], &[]), HistoryResult::Linearizable);
    let violated = |runs: &[f64], attempts: &[&ClientRecord]| {
        matches!(check_key(runs, attempts), HistoryResult::Violated(_))
    };
    assert!(violated(&[1.0, 3.5], &[]), "executed twice");
    assert!(violated(&[2.5], &[&first]), "response before the execution");
    assert!(violated(&[], &[&first]), "response without an execution");
    let other = response(3.0, 4.0, 6);
    assert!(violated(&[1.0], &[&first, &other]), "another response");
}

#[test]
fn oversized_history_is_reported_undecided() {
    let mut calls: Vec<_> = (0..24).map(|at| unknown(0.0, put(at + 1, "a"))).collect();
    calls.push(timed(1.0, 2.0, read(99, "a")));
    let result = check_item(&calls);
    // Only the highest revision is visible, but every subset of the writes is a
    // separate search node.
    assert_eq!(result, HistoryResult::Undecided);
}

#[test]
fn checker_reports_histories_that_are_not_linearizable() {
    let mut checker = Checker {
        clients: vec![],
        origins: vec![],
        fleet: vec![],
        operators: vec![
            record(0.0, Some(1.0), document(Some(3), "a")),
            record(2.0, Some(3.0), document_read(3, "a")),
        ],
        items: vec![],
        max_rates: BTreeMap::new(),
        ttls: BTreeMap::new(),
    };
    let verdict = |checker: &Checker, at: usize| checker.verdicts().remove(at).1;
    assert_eq!(verdict(&checker, 12), Verdict::Satisfied(1));
    assert_eq!(verdict(&checker, 13), Verdict::NotExercised);
    checker
        .operators
        .push(record(4.0, Some(5.0), document_read(2, "b")));
    assert!(matches!(verdict(&checker, 12), Verdict::Violated(_)));
    checker.operators.clear();
    let item = |start: f64, operation| ItemRecord {
        name: "g".into(),
        start,
        end: Some(start + 1.0),
        operation,
    };
    checker.items = vec![item(0.0, put(1, "a")), item(2.0, conflict(1, "b"))];
    assert_eq!(verdict(&checker, 12), Verdict::Satisfied(1));
    checker.items.push(item(4.0, put(1, "b")));
    assert!(matches!(verdict(&checker, 12), Verdict::Violated(_)));
    let key = Some("k".to_string());
    checker.clients.push(ClientRecord {
        operation: key.clone(),
        ..response(0.0, 2.0, 5)
    });
    checker.origins.push(OriginRecord {
        at: 1.0,
        operation: key.clone(),
        ..OriginRecord::default()
    });
    assert_eq!(verdict(&checker, 13), Verdict::Satisfied(1));
    checker.clients.push(ClientRecord {
        operation: key,
        ..response(3.0, 4.0, 6)
    });
    assert!(matches!(verdict(&checker, 13), Verdict::Violated(_)));
}
