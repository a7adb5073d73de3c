//! Tests of `checker`.
use crate::prelude::*;

fn empty() -> Checker {
    Checker {
        callers: vec![],
        origins: vec![],
        fleet: vec![],
        operators: vec![],
        items: vec![],
        rates: [("s".to_string(), 10.0)].into(),
        keeps: [("e".to_string(), 5)].into(),
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

fn request(start: f64, status: u16, outcome: &str) -> CallerRecord {
    CallerRecord {
        start,
        end: start + 1.0,
        status,
        outcome: outcome.into(),
        operation: Some("k".into()),
        entry: "e".into(),
        fits: true,
        ..Default::default()
    }
}

fn event(at: f64, what: &str, number: u64, good: bool) -> FleetRecord {
    FleetRecord {
        at,
        what: what.into(),
        subject: "i".into(),
        number,
        good,
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
    assert_eq!(empty().verdicts().len(), JUDGED);
}

fn broken(checker: &Checker, at: usize) -> bool {
    matches!(verdict(checker, at), Verdict::Broken(_))
}

#[test]
fn checker_detects_each_broken_rule() {
    let mut one = empty();
    one.origins = vec![call(1.0, Some("k")), call(9.0, Some("k"))];
    assert!(broken(&one, 0));
    let mut one = empty();
    one.callers = vec![request(1.0, 503, "not_run")];
    assert_eq!(verdict(&one, 1), Verdict::Held(1));
    one.origins = vec![call(5.0, Some("k"))];
    assert!(broken(&one, 1));
    one.callers.push(request(4.5, 200, ""));
    assert_eq!(verdict(&one, 1), Verdict::Held(1), "the later attempt ran");
    let mut one = empty();
    one.callers = vec![CallerRecord {
        fits: false,
        ..request(1.0, 200, "")
    }];
    assert!(broken(&one, 2));
    let mut one = empty();
    one.callers = vec![CallerRecord {
        version: Some(1),
        path: "i/1".into(),
        ..request(9.0, 200, "")
    }];
    one.fleet = vec![event(6.0, "purged", 2, true)];
    assert!(broken(&one, 3));
    one.fleet = vec![event(1.5, "content", 2, true)];
    assert!(broken(&one, 4));
    one.fleet = vec![
        event(1.0, "configured", 4, true),
        event(3.6, "marker", 4, false),
    ];
    assert!(broken(&one, 5));
    one.fleet = vec![event(1.0, "read-back", 4, false)];
    assert!(broken(&one, 6));
    one.fleet = vec![event(1.0, "order-again", 4, false)];
    assert!(broken(&one, 6));
    one.fleet = vec![event(1.0, "leaving", 0, true)];
    one.origins = vec![call(3.1, None)];
    assert!(broken(&one, 7));
    one.fleet = vec![event(1.0, "at-ack", 0, false)];
    assert!(broken(&one, 5));
}

#[test]
fn membership_table_regression_is_detected_over_restart() {
    let mut one = empty();
    one.fleet = vec![
        event(1.0, "in-force", 5, true),
        event(2.0, "in-force", 6, true),
    ];
    assert_eq!(verdict(&one, 5), Verdict::Held(2));
    one.fleet.push(event(9.0, "in-force", 5, true));
    assert!(broken(&one, 5));
    // Ended in between: what was not acknowledged by then may be undone.
    one.fleet = vec![
        event(1.0, "in-force", 6, true),
        event(2.0, "killed", 0, true),
        event(3.0, "in-force", 5, true),
    ];
    assert_eq!(verdict(&one, 5), Verdict::Held(2));
    one.fleet.insert(1, event(1.5, "acknowledged", 6, true));
    assert!(broken(&one, 5));
    // Another node that comes late with what is no longer in force.
    one.fleet = vec![
        event(1.0, "acknowledged", 7, true),
        FleetRecord {
            subject: "other".into(),
            ..event(3.6, "in-force", 6, true)
        },
    ];
    assert!(broken(&one, 5));
    // After everything was lost numbers begin anew.
    one.fleet = vec![
        event(1.0, "in-force", 6, true),
        event(2.0, "all-lost", 0, true),
        event(3.0, "in-force", 1, true),
    ];
    assert_eq!(verdict(&one, 5), Verdict::Held(2));
    one.fleet = vec![
        event(1.0, "removed", 3, true),
        event(3.0, "marker-gone", 3, false),
    ];
    assert_eq!(verdict(&one, 5), Verdict::NotExercised, "not due yet");
    one.fleet.push(event(3.6, "marker-gone", 3, false));
    assert!(broken(&one, 5), "a removed entry still answers");
}

#[test]
fn health_check_is_excused_only_after_an_allowed_call() {
    let mut one = empty();
    let foreign = |address: &str, probe: bool| OriginRecord {
        service: "other".into(),
        address: address.into(),
        probe,
        ..call(5.0, None)
    };
    one.origins = vec![call(1.0, None), foreign("a", true)];
    assert_eq!(verdict(&one, 7), Verdict::Held(1));
    one.origins[1] = foreign("b", true);
    assert!(broken(&one, 7));
    one.origins[1] = foreign("a", false);
    assert!(broken(&one, 7));
}

#[test]
fn retry_and_rate_bounds_are_exact() {
    let tries = |firsts: u32, extras: u32| {
        let mut one = empty();
        let first = |at: u32| OriginRecord {
            request: format!("first {at}"),
            ..call(f64::from(at) * 0.01, None)
        };
        one.origins = (0..firsts).map(first).collect();
        one.origins.extend((0..extras).map(|at| OriginRecord {
            request: "first 0".into(),
            ..call(2.0 + f64::from(at) * 0.1, None)
        }));
        verdict(&one, 8)
    };
    assert_eq!(tries(10, 5), Verdict::Held(5));
    assert!(matches!(tries(10, 6), Verdict::Broken(_)));
    let calls = |count: u32| {
        let mut one = empty();
        one.origins = (0..count)
            .map(|at| call(f64::from(at) * 4.99 / f64::from(count), None))
            .collect();
        one
    };
    assert_eq!(verdict(&calls(55), 9), Verdict::Held(1));
    assert!(broken(&calls(56), 9));
}

#[test]
fn rejection_explained_only_by_planned_work_counts_as_dropped() {
    let mut one = empty();
    let refused = |code: &str| CallerRecord {
        code: code.into(),
        ..request(5.0, 503, "not_run")
    };
    one.fleet = vec![event(4.0, "fault", 0, true)];
    one.callers = vec![refused("over_capacity"), request(5.0, 200, "")];
    assert_eq!(verdict(&one, 10), Verdict::Held(2));
    one.callers = vec![refused("fenced")];
    assert!(broken(&one, 10));
    one.fleet.push(event(1.0, "fault", 0, false));
    assert_eq!(
        verdict(&one, 10),
        Verdict::Held(1),
        "something else was broken too"
    );
    one.callers = vec![CallerRecord {
        dropped: true,
        ..request(5.0, 0, "")
    }];
    assert!(broken(&one, 10), "no answer at all is a drop all the same");
    one.fleet.push(FleetRecord {
        subject: String::new(),
        ..event(5.5, "killed", 0, true)
    });
    assert_eq!(verdict(&one, 10), Verdict::Held(1), "it was killed");
}

#[test]
fn recovery_requires_every_entry_kind() {
    let mut one = empty();
    let other = |start: f64, status: u16, code: &str| CallerRecord {
        entry: "f".into(),
        code: code.into(),
        ..request(start, status, "")
    };
    one.fleet = vec![event(1.0, "returned", 0, true)];
    one.callers = vec![
        request(3.0, 200, ""),
        request(20.0, 200, ""),
        other(4.0, 200, ""),
    ];
    assert_eq!(verdict(&one, 11), Verdict::Held(2));
    one.callers[2] = other(16.0, 200, "");
    assert!(
        broken(&one, 11),
        "one kind is served again, the other only later"
    );
    one.callers.push(other(5.0, 503, "ledger_recovering"));
    assert_eq!(
        verdict(&one, 11),
        Verdict::Held(2),
        "operations may wait, for a minute and no longer"
    );
    one.callers[2] = other(86.0, 200, "");
    assert!(broken(&one, 11));
    one.callers = vec![request(3.0, 200, "")];
    one.fleet.push(event(16.0, "ready-again", 0, false));
    assert!(broken(&one, 11));
}

#[test]
fn faults_count_for_the_rules_they_exercise() {
    let mut one = empty();
    one.callers = vec![request(1.0, 200, ""), request(8.0, 200, "")];
    one.fleet = vec![
        event(8.5, "fault", 0, false),
        event(12.0, "fault", 0, false),
    ];
    assert_eq!(
        one.coverage(&one.cases())["i"],
        [1, 0, 1, 0, 0, 0, 0, 0, 0, 0, 0, 0, 0, 1, 0]
    );
}
