//! Tests of the rule checker.
use crate::prelude::*;

fn empty() -> Checker {
    Checker {
        clients: vec![],
        origins: vec![],
        fleet: vec![],
        operators: vec![],
        items: vec![],
        max_rates: [("s".to_string(), 10.0)].into(),
        ttls: [("e".to_string(), 5)].into(),
    }
}

fn verdict(checker: &Checker, at: usize) -> Verdict {
    checker.verdicts().remove(at).1
}

fn call(at: f64, operation: Option<&str>) -> OriginRecord {
    OriginRecord {
        at,
        service: "s".into(),
        instance: "i".into(),
        address: "a".into(),
        operation: operation.map(Into::into),
        request: format!("{at}"),
        ..Default::default()
    }
}

fn request(start: f64, status: u16, outcome: &str) -> ClientRecord {
    ClientRecord {
        start,
        end: start + 1.0,
        status,
        outcome: outcome.into(),
        operation: Some("k".into()),
        entry: "e".into(),
        matches_request: true,
        ..Default::default()
    }
}

fn event(at: f64, kind: &str, number: u64, as_expected: bool) -> FleetRecord {
    FleetRecord {
        at,
        kind: kind.into(),
        subject: "i".into(),
        number,
        as_expected,
    }
}

#[test]
fn rule_without_its_case_is_not_exercised() {
    assert!(
        empty()
            .verdicts()
            .iter()
            .all(|(_, verdict)| *verdict == Verdict::NotExercised)
    );
    assert_eq!(empty().verdicts().len(), RULE_COUNT);
}

fn is_violated(checker: &Checker, at: usize) -> bool {
    matches!(verdict(checker, at), Verdict::Violated(_))
}

#[test]
fn checker_detects_each_broken_rule() {
    let mut checker = empty();
    checker.origins = vec![call(1.0, Some("k")), call(9.0, Some("k"))];
    assert!(is_violated(&checker, 0));
    let mut checker = empty();
    checker.clients = vec![request(1.0, 503, "not_run")];
    assert_eq!(verdict(&checker, 1), Verdict::Satisfied(1));
    checker.origins = vec![call(5.0, Some("k"))];
    assert!(is_violated(&checker, 1));
    checker.clients.push(request(4.5, 200, ""));
    assert_eq!(
        verdict(&checker, 1),
        Verdict::Satisfied(1),
        "the later attempt was executed"
    );
    let mut checker = empty();
    checker.clients = vec![ClientRecord {
        matches_request: false,
        ..request(1.0, 200, "")
    }];
    assert!(is_violated(&checker, 2));
    let mut checker = empty();
    checker.clients = vec![ClientRecord {
        version: Some(1),
        path: "i/1".into(),
        ..request(9.0, 200, "")
    }];
    checker.fleet = vec![event(6.0, "purged", 2, true)];
    assert!(is_violated(&checker, 3));
    checker.fleet = vec![event(1.5, "content", 2, true)];
    assert!(is_violated(&checker, 4));
    checker.fleet = vec![
        event(1.0, "configured", 4, true),
        event(3.6, "marker", 4, false),
    ];
    assert!(is_violated(&checker, 5));
    checker.fleet = vec![event(1.0, "read-back", 4, false)];
    assert!(is_violated(&checker, 6));
    checker.fleet = vec![event(1.0, "order-again", 4, false)];
    assert!(is_violated(&checker, 6));
    checker.fleet = vec![event(1.0, "leaving", 0, true)];
    checker.origins = vec![call(3.1, None)];
    assert!(is_violated(&checker, 7));
    checker.fleet = vec![event(1.0, "at-ack", 0, false)];
    assert!(is_violated(&checker, 5));
}

#[test]
fn configuration_regression_is_detected_across_restart() {
    let mut checker = empty();
    checker.fleet = vec![
        event(1.0, "in-force", 5, true),
        event(2.0, "in-force", 6, true),
    ];
    assert_eq!(verdict(&checker, 5), Verdict::Satisfied(2));
    checker.fleet.push(event(9.0, "in-force", 5, true));
    assert!(is_violated(&checker, 5));
    // After a kill, versions that were not acknowledged may be undone.
    checker.fleet = vec![
        event(1.0, "in-force", 6, true),
        event(2.0, "killed", 0, true),
        event(3.0, "in-force", 5, true),
    ];
    assert_eq!(verdict(&checker, 5), Verdict::Satisfied(2));
    checker.fleet.insert(1, event(1.5, "acknowledged", 6, true));
    assert!(is_violated(&checker, 5));
    // Another node applies an outdated version later.
    checker.fleet = vec![
        event(1.0, "acknowledged", 7, true),
        FleetRecord {
            subject: "other".into(),
            ..event(3.6, "in-force", 6, true)
        },
    ];
    assert!(is_violated(&checker, 5));
    // Versions restart after a total loss.
    checker.fleet = vec![
        event(1.0, "in-force", 6, true),
        event(2.0, "all-lost", 0, true),
        event(3.0, "in-force", 1, true),
    ];
    assert_eq!(verdict(&checker, 5), Verdict::Satisfied(2));
    checker.fleet = vec![
        event(1.0, "removed", 3, true),
        event(3.0, "marker-gone", 3, false),
    ];
    assert_eq!(verdict(&checker, 5), Verdict::NotExercised, "not due yet");
    checker.fleet.push(event(3.6, "marker-gone", 3, false));
    assert!(
        is_violated(&checker, 5),
        "a removed entry is still in effect"
    );
}

#[test]
fn health_check_requires_earlier_allowed_call() {
    let mut checker = empty();
    let other_service_call = |address: &str, probe: bool| OriginRecord {
        service: "other".into(),
        address: address.into(),
        probe,
        ..call(5.0, None)
    };
    checker.origins = vec![call(1.0, None), other_service_call("a", true)];
    assert_eq!(verdict(&checker, 7), Verdict::Satisfied(1));
    checker.origins[1] = other_service_call("b", true);
    assert!(is_violated(&checker, 7));
    checker.origins[1] = other_service_call("a", false);
    assert!(is_violated(&checker, 7));
}

#[test]
fn retry_and_rate_bounds_are_exact() {
    let retry_verdict = |first_attempts: u32, retries: u32| {
        let mut checker = empty();
        let first = |at: u32| OriginRecord {
            request: format!("first {at}"),
            ..call(f64::from(at) * 0.01, None)
        };
        checker.origins = (0..first_attempts).map(first).collect();
        checker.origins.extend((0..retries).map(|at| OriginRecord {
            request: "first 0".into(),
            ..call(2.0 + f64::from(at) * 0.1, None)
        }));
        verdict(&checker, 8)
    };
    assert_eq!(retry_verdict(10, 5), Verdict::Satisfied(5));
    assert!(matches!(retry_verdict(10, 6), Verdict::Violated(_)));
    let calls = |count: u32| {
        let mut checker = empty();
        checker.origins = (0..count)
            .map(|at| call(f64::from(at) * 4.99 / f64::from(count), None))
            .collect();
        checker
    };
    assert_eq!(verdict(&calls(55), 9), Verdict::Satisfied(1));
    assert!(is_violated(&calls(56), 9));
}

#[test]
fn rejection_explained_only_by_planned_change_counts_as_dropped() {
    let mut checker = empty();
    let rejected = |code: &str| ClientRecord {
        code: code.into(),
        ..request(5.0, 503, "not_run")
    };
    checker.fleet = vec![event(4.0, "fault", 0, true)];
    checker.clients = vec![rejected("over_capacity"), request(5.0, 200, "")];
    assert_eq!(verdict(&checker, 10), Verdict::Satisfied(2));
    checker.clients = vec![rejected("fenced")];
    assert!(is_violated(&checker, 10));
    checker.fleet.push(event(1.0, "fault", 0, false));
    assert_eq!(
        verdict(&checker, 10),
        Verdict::Satisfied(1),
        "an unplanned fault explains the rejection"
    );
    checker.clients = vec![ClientRecord {
        dropped: true,
        ..request(5.0, 0, "")
    }];
    assert!(
        is_violated(&checker, 10),
        "a missing response is a drop in any case"
    );
    checker.fleet.push(FleetRecord {
        subject: String::new(),
        ..event(5.5, "killed", 0, true)
    });
    assert_eq!(
        verdict(&checker, 10),
        Verdict::Satisfied(1),
        "the edge was killed"
    );
}

#[test]
fn recovery_requires_every_entry_kind() {
    let mut checker = empty();
    let other_entry = |start: f64, status: u16, code: &str| ClientRecord {
        entry: "f".into(),
        code: code.into(),
        ..request(start, status, "")
    };
    checker.fleet = vec![event(1.0, "returned", 0, true)];
    checker.clients = vec![
        request(3.0, 200, ""),
        request(20.0, 200, ""),
        other_entry(4.0, 200, ""),
    ];
    assert_eq!(verdict(&checker, 11), Verdict::Satisfied(2));
    checker.clients[2] = other_entry(16.0, 200, "");
    assert!(
        is_violated(&checker, 11),
        "one entry recovers in time, the other too late"
    );
    checker
        .clients
        .push(other_entry(5.0, 503, "ledger_recovering"));
    assert_eq!(
        verdict(&checker, 11),
        Verdict::Satisfied(2),
        "a closed ledger extends the limit"
    );
    checker.clients[2] = other_entry(86.0, 200, "");
    assert!(is_violated(&checker, 11));
    checker.clients = vec![request(3.0, 200, "")];
    checker.fleet.push(event(16.0, "ready-again", 0, false));
    assert!(is_violated(&checker, 11));
}

#[test]
fn coverage_counts_faults_within_rule_spans() {
    let mut checker = empty();
    checker.clients = vec![request(1.0, 200, ""), request(8.0, 200, "")];
    checker.fleet = vec![
        event(8.5, "fault", 0, false),
        event(12.0, "fault", 0, false),
    ];
    assert_eq!(
        checker.coverage(&checker.cases())["i"],
        [1, 0, 1, 0, 0, 0, 0, 0, 0, 0, 0, 0, 0, 1, 0]
    );
}
