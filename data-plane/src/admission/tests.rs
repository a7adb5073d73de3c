//! Tests of permits: ranks, rates, slots, the retry budget and the health of origins.
use crate::prelude::*;

fn millis(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

fn origin(port: u16) -> Origin {
    Origin {
        address: SocketAddr::from(([127, 0, 0, 1], port)),
        service: "s".into(),
        instance: format!("i{port}"),
        draining: false,
        zone: String::new(),
        region: String::new(),
        capacity: 0,
        cold_ms: 0,
    }
}

fn group(rate: f64, concurrency: u32) -> Group {
    Group {
        service: "s".into(),
        rate,
        concurrency,
        key: String::new(),
        proof: Proof::Seal,
        total_rate: None,
        sessions: None,
        probe: None,
        keeps_keys: false,
    }
}

fn permit_request(id: u64, rank: u32, wait: u64, is_retry: bool) -> PermitRequest {
    PermitRequest {
        service: "s".into(),
        id,
        rank,
        max_wait: millis(wait),
        sent: millis(0),
        is_retry,
        call_timeout: millis(2000),
        latency_target: millis(wait),
        zone: String::new(),
        region: String::new(),
        excluded_origins: vec![],
    }
}

/// Returns all messages except the confirmations of queued requests.
fn outcomes(admission: &mut AdmissionController) -> Vec<(SocketAddr, Message)> {
    admission
        .take_outgoing()
        .into_iter()
        .filter(|(_, message)| !matches!(message, Message::PermitQueued(_)))
        .collect()
}

#[test]
fn repeated_permit_request_is_confirmed_as_queued() {
    let mut admission = AdmissionController::new(millis(0), "s", 1, 3);
    admission.apply_configuration(millis(0), &group(100.0, 9), &[origin(1)]);
    for ms in [400, 600] {
        admission.request_permit(
            millis(ms),
            origin(9).address,
            permit_request(1, 1, 5000, false),
        );
        assert!(
            matches!(admission.take_outgoing().as_slice(), [(to, Message::PermitQueued(PermitQueued { id: 1 }))] if *to == origin(9).address),
            "the origin is not proven yet"
        );
    }
    admission.connection_changed(millis(650), origin(1).address, true);
    let probe = admission.start_probes(millis(700)).remove(0);
    admission.probe_completed(millis(710), &probe, true);
    assert!(matches!(
        admission.take_outgoing().as_slice(),
        [(_, Message::Permit(_))]
    ));
}

/// Requests may wait for two seconds and calls take 250 ms, so requests of higher ranks
/// wait for the next slot, and no slot is reserved for them.
#[test]
fn short_calls_reserve_no_slots_and_honor_latency_targets() {
    let mut call_ends = vec![];
    let mut simulation = Simulation::new(0, 1, 1000.0, 4);
    for id in 0..3000u64 {
        // Requests per second: 4 of the high rank and 14 of the low one, at a capacity of 16.
        if id % 25 == 0 || id % 7 == 1 {
            let latency_target = if id % 2 == 0 {
                millis(100)
            } else {
                millis(800)
            };
            simulation.admission.request_permit(
                millis(simulation.now),
                origin(9).address,
                PermitRequest {
                    latency_target,
                    ..permit_request(id, u32::from(id % 25 == 0) * 8 + 1, 2000, false)
                },
            );
        }
        simulation.step(250, &mut call_ends);
    }
    let granted = simulation
        .granted
        .iter()
        .filter(|(when, _)| *when > 5000)
        .count();
    assert!(
        granted >= 24 * 16,
        "{granted} calls of 250 ms in 25 s with four slots"
    );
    let high: Vec<u64> = simulation
        .granted
        .iter()
        .filter(|(_, id)| id % 25 == 0)
        .map(|(when, id)| when - id * 10)
        .collect();
    assert!(
        high.len() >= 118 && high.iter().all(|wait| *wait <= 300),
        "{} of 120 requests of the high rank",
        high.len()
    );
}

#[test]
fn total_rate_includes_fallback_calls() {
    let named = Group {
        proof: Proof::Named,
        total_rate: Some(100.0),
        ..group(9999.0, 99)
    };
    let mut admission = AdmissionController::new(millis(0), "s", 1, 3);
    admission.apply_configuration(millis(0), &named, &[origin(1), origin(2)]);
    let mut calls = vec![];
    for id in 0..2000u64 {
        let now = millis(id * 5);
        admission.request_permit(now, origin(9).address, permit_request(id, 1, 60_000, false));
        if id % 20 == 0 {
            calls.push(id * 5);
            admission.call_completed(
                now,
                CallDone {
                    service: "s".into(),
                    epoch: 0,
                    serial: 0,
                    result: CallResult::Success,
                    took: millis(5),
                },
            );
        }
        for (_, message) in outcomes(&mut admission) {
            if let Message::Permit(permit) = message {
                calls.push(id * 5);
                admission.call_completed(
                    now,
                    CallDone {
                        service: "s".into(),
                        epoch: 1,
                        serial: permit.serial,
                        result: CallResult::Success,
                        took: millis(5),
                    },
                );
            }
        }
    }
    let most = max_calls_within(&calls, 5000);
    assert!(
        (470..=530).contains(&most),
        "{most} calls in 5 s at a total rate of 100/s"
    );
}

/// A controller of one origin with the calls that it grants, in steps of virtual time.
/// All times are in milliseconds.
struct Simulation {
    admission: AdmissionController,
    now: u64,
    /// The times and ids of granted requests.
    granted: Vec<(u64, u64)>,
    /// The times, ids and reasons of refused requests.
    refused: Vec<(u64, u64, PermitRefusalReason)>,
    /// The times of calls and probes.
    calls: Vec<u64>,
}

impl Simulation {
    fn new(started_at: u64, epoch: u64, rate: f64, concurrency: u32) -> Simulation {
        let mut admission = AdmissionController::new(millis(started_at), "s", epoch, 3);
        admission.apply_configuration(millis(started_at), &group(rate, concurrency), &[origin(1)]);
        admission.connection_changed(millis(started_at), origin(1).address, true);
        Simulation {
            admission,
            now: started_at,
            granted: vec![],
            refused: vec![],
            calls: vec![],
        }
    }

    /// Advances by 10 ms. Every permit is used at once and its call ends after `took` ms.
    fn step(&mut self, took: u64, call_ends: &mut Vec<(u64, CallDone)>) {
        self.now += 10;
        for probe in self.admission.start_probes(millis(self.now)) {
            self.calls.push(self.now);
            self.admission
                .probe_completed(millis(self.now), &probe, true);
        }
        let (due, later) = std::mem::take(call_ends)
            .into_iter()
            .partition(|(when, _)| *when <= self.now);
        *call_ends = later;
        for (_, done) in due as Vec<(u64, CallDone)> {
            self.admission.call_completed(millis(self.now), done);
        }
        self.admission.dispatch(millis(self.now));
        for (_, message) in self.admission.take_outgoing() {
            match message {
                Message::Permit(permit) => {
                    self.granted.push((self.now, permit.id));
                    self.calls.push(self.now);
                    let done = CallDone {
                        service: "s".into(),
                        epoch: permit.epoch,
                        serial: permit.serial,
                        result: CallResult::Success,
                        took: millis(took),
                    };
                    call_ends.push((self.now + took, done));
                }
                Message::PermitRefused(refused) => {
                    self.refused.push((self.now, refused.id, refused.reason))
                }
                Message::PermitQueued(_) => {}
                other => panic!("{other:?}"),
            }
        }
    }
}

/// Returns the maximum number of calls within any `span` milliseconds.
fn max_calls_within(calls: &[u64], span: u64) -> usize {
    calls
        .iter()
        .map(|from| {
            calls
                .iter()
                .filter(|call| **call >= *from && **call < from + span)
                .count()
        })
        .max()
        .unwrap_or(0)
}

#[test]
fn rate_holds_across_change_of_controller() {
    let mut call_ends = vec![];
    let mut first = Simulation::new(0, 1, 20.0, 50);
    for id in 0..2000 {
        first.admission.request_permit(
            millis(first.now),
            origin(9).address,
            permit_request(id, 1, 60_000, false),
        );
        first.step(5, &mut call_ends);
    }
    let mut next = Simulation::new(first.now + 100, 3, 20.0, 50);
    for id in 0..2000 {
        next.admission.request_permit(
            millis(next.now),
            origin(9).address,
            permit_request(id, 1, 60_000, false),
        );
        next.step(5, &mut call_ends);
    }
    let calls = [first.calls, next.calls].concat();
    let most = max_calls_within(&calls, 5000);
    assert!(
        (95..=104).contains(&most),
        "{most} calls in 5 s at 20/s, including probes"
    );
}

#[test]
fn higher_rank_is_granted_and_lower_is_refused_early() {
    let mut call_ends = vec![];
    let mut simulation = Simulation::new(0, 1, 20.0, 50);
    // 33 requests per second, half of them of the high rank, at a rate of 20.
    for id in 0..6000u64 {
        if id % 3 == 0 {
            simulation.admission.request_permit(
                millis(simulation.now),
                origin(9).address,
                permit_request(id, if id % 6 == 0 { 9 } else { 1 }, 2000, false),
            );
        }
        simulation.step(5, &mut call_ends);
    }
    let granted_fraction = |high: bool| {
        let is_of_rank = |id: &u64| id.is_multiple_of(6) == high && *id > 500;
        let requested = (0..6000u64)
            .filter(|id| id % 3 == 0 && is_of_rank(id))
            .count();
        simulation
            .granted
            .iter()
            .filter(|(_, id)| is_of_rank(id))
            .count() as f64
            / requested as f64
    };
    assert!(
        granted_fraction(true) > 0.97,
        "high {}",
        granted_fraction(true)
    );
    assert!(
        granted_fraction(false) < 0.3 && granted_fraction(false) > 0.1,
        "low {}",
        granted_fraction(false)
    );
    // In the steady state requests are refused well before their deadline.
    let waited = simulation
        .refused
        .iter()
        .filter(|(_, id, _)| *id > 1000)
        .map(|(when, id, _)| when - id * 10);
    assert!(waited.clone().count() > 50);
    assert!(waited.max().unwrap() < 1500);
}

#[test]
fn slow_origins_are_limited_by_concurrency_and_rank() {
    let mut call_ends = vec![];
    let mut simulation = Simulation::new(0, 1, 1000.0, 2);
    for id in 0..3000u64 {
        simulation.admission.request_permit(
            millis(simulation.now),
            origin(9).address,
            permit_request(id, if id % 50 == 0 { 9 } else { 1 }, 2000, false),
        );
        simulation.step(400, &mut call_ends);
        assert!(simulation.admission.calls.len() <= 2);
    }
    let high = simulation
        .granted
        .iter()
        .filter(|(_, id)| id % 50 == 0)
        .count();
    assert!(
        high >= 55,
        "{high} of 60 requests of the high rank, with two slots and calls of 400 ms"
    );
}

/// The origins become so slow that a call occupies its slot for seconds. The lower rank
/// must not take all slots, since they would be occupied for that long.
#[test]
fn slow_origins_reserve_slots_for_higher_rank() {
    let mut call_ends = vec![];
    let mut simulation = Simulation::new(0, 1, 1000.0, 8);
    for id in 0..4000u64 {
        // Requests per second: 3 of the high rank and 30 of the low one.
        let high = id % 33 == 0;
        if high || id % 3 == 1 {
            simulation.admission.request_permit(
                millis(simulation.now),
                origin(9).address,
                permit_request(id, if high { 9 } else { 1 }, 1500, false),
            );
        }
        simulation.step(if id < 500 { 10 } else { 2000 }, &mut call_ends);
    }
    let requested = (0..3800u64).filter(|id| id % 33 == 0).count();
    let granted: Vec<u64> = simulation
        .granted
        .iter()
        .filter(|(_, id)| id % 33 == 0)
        .map(|(when, id)| when - id * 10)
        .collect();
    assert!(
        granted.len() >= requested * 95 / 100,
        "{} of {requested} requests of the high rank",
        granted.len()
    );
    let late = simulation
        .refused
        .iter()
        .filter(|(when, id, _)| *id > 600 && when - id * 10 > 1000)
        .count();
    assert!(
        late * 10 <= simulation.refused.len(),
        "{late} of {} were refused late",
        simulation.refused.len()
    );
}

#[test]
fn low_rates_hold_in_any_five_seconds() {
    for (rate, bound) in [(1.0, 5), (0.2, 1), (7.0, 38)] {
        let mut call_ends = vec![];
        let mut simulation = Simulation::new(0, 1, rate, 50);
        for id in 0..6000 {
            simulation.admission.request_permit(
                millis(simulation.now),
                origin(9).address,
                permit_request(id, 1, 60_000, false),
            );
            simulation.step(5, &mut call_ends);
        }
        // Each permit may be used up to a `PERMIT_VALIDITY` late.
        assert!(
            max_calls_within(&simulation.calls, 5200) <= bound,
            "{} in 5 s at {rate}/s",
            max_calls_within(&simulation.calls, 5200)
        );
        assert!(simulation.calls.len() > 10);
    }
}

#[test]
fn retries_stay_within_budget() {
    let mut simulation = Simulation::new(0, 1, 1000.0, 500);
    let mut call_ends = vec![];
    for id in 0..1000u64 {
        simulation.admission.request_permit(
            millis(simulation.now),
            origin(9).address,
            permit_request(id, 1, 2000, id % 2 == 0),
        );
        simulation.step(5, &mut call_ends);
        let admission = &simulation.admission;
        let earned = if simulation.now >= 10_000 { 3 } else { 0 };
        assert!(
            admission.retry_budget.retries.len()
                <= admission.retry_budget.first_attempts.len() / 5 + earned
        );
    }
    assert!(
        simulation
            .refused
            .iter()
            .any(|(_, _, reason)| *reason == PermitRefusalReason::RetryBudgetExhausted)
    );
    assert!(simulation.admission.retry_budget.retries.len() > 50);
}

#[test]
fn origin_is_granted_only_while_proven_and_not_ejected() {
    let mut admission = AdmissionController::new(millis(0), "s", 1, 3);
    admission.apply_configuration(millis(0), &group(100.0, 9), &[origin(1), origin(2)]);
    assert_eq!(admission.connections_to_open(millis(1)).len(), 2);
    assert!(
        admission.start_probes(millis(350)).is_empty(),
        "no connection is open yet"
    );
    admission.connection_changed(millis(2), origin(1).address, true);
    admission.connection_changed(millis(2), origin(2).address, true);
    admission.request_permit(
        millis(400),
        origin(9).address,
        permit_request(1, 1, 5000, false),
    );
    assert!(outcomes(&mut admission).is_empty(), "no origin is proven");
    let probes = admission.start_probes(millis(500));
    assert_eq!(probes.len(), 2);
    admission.probe_completed(millis(510), &probes[0], false);
    assert!(outcomes(&mut admission).is_empty());
    admission.probe_completed(millis(520), &probes[1], true);
    let outputs = outcomes(&mut admission);
    let [(_, Message::Permit(permit))] = outputs.as_slice() else {
        panic!("{outputs:?}")
    };
    assert_eq!(permit.origin, probes[1]);
    // The connection ends: the next process at the address must prove its identity first.
    admission.connection_changed(millis(600), origin(2).address, false);
    admission.request_permit(
        millis(610),
        origin(9).address,
        permit_request(3, 1, 100, false),
    );
    assert!(outcomes(&mut admission).is_empty());
    admission.connection_changed(millis(620), origin(2).address, true);
    let probe = admission.start_probes(millis(650)).remove(0);
    admission.probe_completed(millis(660), &probe, true);
    assert!(matches!(
        outcomes(&mut admission).as_slice(),
        [(_, Message::Permit(_))]
    ));
    // The proof expires: no permits are granted until there is a newer one.
    admission.request_permit(
        millis(2700),
        origin(9).address,
        permit_request(2, 1, 5000, false),
    );
    assert!(outcomes(&mut admission).is_empty());
    // An origin listed with another instance must prove its identity again.
    let other = Origin {
        instance: "new".into(),
        ..origin(2)
    };
    admission.apply_configuration(millis(2700), &group(100.0, 9), std::slice::from_ref(&other));
    assert!(
        !admission.probe_completed(millis(2800), &probes[1], true),
        "the probe of the old instance is ignored"
    );
    assert!(outcomes(&mut admission).is_empty());
}

#[test]
fn failed_origins_are_refused_and_draining_skipped() {
    let mut admission = AdmissionController::new(millis(0), "s", 1, 3);
    admission.apply_configuration(millis(0), &group(100.0, 9), &[origin(1)]);
    admission.connection_changed(millis(0), origin(1).address, true);
    let probe = admission.start_probes(millis(400)).remove(0);
    admission.probe_completed(millis(400), &probe, false);
    admission.request_permit(
        millis(410),
        origin(9).address,
        permit_request(1, 1, 5000, false),
    );
    assert!(matches!(
        outcomes(&mut admission).as_slice(),
        [(
            _,
            Message::PermitRefused(PermitRefused {
                reason: PermitRefusalReason::NoHealthyOrigin,
                ..
            })
        )]
    ));
    let probe = admission.start_probes(millis(1000)).remove(0);
    admission.probe_completed(millis(1000), &probe, true);
    admission.apply_configuration(
        millis(1001),
        &group(100.0, 9),
        &[Origin {
            draining: true,
            ..origin(1)
        }],
    );
    admission.request_permit(
        millis(1002),
        origin(9).address,
        permit_request(2, 1, 5000, false),
    );
    assert!(
        !outcomes(&mut admission)
            .iter()
            .any(|(_, message)| matches!(message, Message::Permit(_)))
    );
}

#[test]
fn new_controller_counts_calls_of_its_predecessor() {
    let mut simulation = Simulation::new(0, 5, 1000.0, 2);
    simulation.admission.add_calls_in_flight(
        millis(10),
        CallsInProgress {
            service: "s".into(),
            calls: vec![
                (3, 1, origin(1).address, millis(900)),
                (3, 2, origin(1).address, millis(900)),
            ],
        },
    );
    let mut call_ends = vec![];
    simulation.admission.request_permit(
        millis(10),
        origin(9).address,
        permit_request(1, 1, 5000, false),
    );
    for _ in 0..60 {
        simulation.step(5, &mut call_ends);
    }
    assert!(simulation.granted.is_empty());
    simulation.admission.call_completed(
        millis(simulation.now),
        CallDone {
            service: "s".into(),
            epoch: 3,
            serial: 2,
            result: CallResult::Success,
            took: millis(600),
        },
    );
    simulation.step(5, &mut call_ends);
    assert_eq!(simulation.granted.len(), 1);
}

/// Creates an admission controller with one origin of two slots.
fn admission_with_two_slots() -> AdmissionController {
    let mut admission = AdmissionController::new(millis(0), "s", 1, 3);
    let named = Group {
        proof: Proof::Named,
        ..group(1000.0, 2)
    };
    admission.apply_configuration(millis(0), &named, &[origin(1)]);
    admission
}

fn permits(admission: &mut AdmissionController) -> Vec<Permit> {
    let extract = |(_, message)| match message {
        Message::Permit(permit) => Some(permit),
        _ => None,
    };
    outcomes(admission)
        .into_iter()
        .filter_map(extract)
        .collect()
}

fn call_done(permit: &Permit, result: CallResult) -> CallDone {
    CallDone {
        service: "s".into(),
        epoch: permit.epoch,
        serial: permit.serial,
        result,
        took: millis(100),
    }
}

#[test]
fn withdrawn_permit_request_is_skipped() {
    let mut admission = admission_with_two_slots();
    for id in 1..=4 {
        admission.request_permit(
            millis(1000),
            origin(9).address,
            permit_request(id, 1, 5000, false),
        );
    }
    let granted = permits(&mut admission);
    assert_eq!(
        granted.iter().map(|permit| permit.id).collect::<Vec<_>>(),
        [1, 2]
    );
    admission.withdraw(millis(1010), origin(8).address, 3);
    admission.withdraw(millis(1010), origin(9).address, 3);
    admission.withdraw(millis(1010), origin(9).address, 3);
    admission.call_completed(millis(1100), call_done(&granted[0], CallResult::Success));
    let next = permits(&mut admission);
    assert_eq!(next.iter().map(|permit| permit.id).collect::<Vec<_>>(), [4]);
}

/// The slot is freed only once the origin can have observed the cancellation, and a
/// cancelled call is not a failure of the origin.
#[test]
fn cancelled_call_frees_its_slot_without_ejection() {
    let mut admission = admission_with_two_slots();
    for id in 1..=3 {
        admission.request_permit(
            millis(1000),
            origin(9).address,
            permit_request(id, 1, 5000, false),
        );
    }
    let granted = permits(&mut admission);
    assert_eq!(granted.len(), 2);
    admission.call_completed(millis(1100), call_done(&granted[0], CallResult::Cancelled));
    assert!(
        permits(&mut admission).is_empty(),
        "the slot is not free at once"
    );
    admission.call_completed(millis(1105), call_done(&granted[0], CallResult::Cancelled));
    admission.dispatch(millis(1100 + 40));
    let next = permits(&mut admission);
    assert_eq!(next.iter().map(|permit| permit.id).collect::<Vec<_>>(), [3]);
    let health = admission.origin_health(millis(1141));
    assert_eq!(health[0].calls, 2, "each call is counted once");
    assert_ne!(health[0].condition, OriginCondition::Ejected);
}

/// A cancelled call takes a token like any other: even if many clients disconnect, the
/// calls to the origins stay within their rate.
#[test]
fn cancelled_calls_count_toward_rate() {
    let mut admission = admission_with_two_slots();
    let limited = Group {
        proof: Proof::Named,
        total_rate: Some(20.0),
        ..group(1000.0, 32)
    };
    admission.apply_configuration(millis(0), &limited, &[origin(1)]);
    let mut sent = 0;
    for ms in (0..5000).step_by(5) {
        admission.request_permit(
            millis(1000 + ms),
            origin(9).address,
            permit_request(ms, 1, 300, false),
        );
        for permit in permits(&mut admission) {
            sent += 1;
            let cancelled = call_done(&permit, CallResult::Cancelled);
            admission.call_completed(millis(1000 + ms + 1), cancelled);
        }
    }
    assert!((60..=115).contains(&sent), "{sent} calls in 5 s at 20/s");
}

#[test]
fn departed_edges_lose_their_queue_positions() {
    let mut admission = admission_with_two_slots();
    for (id, port) in [(1, 8), (2, 8), (3, 9), (4, 8)] {
        let request = permit_request(id, 1, 5000, false);
        admission.request_permit(millis(1000), origin(port).address, request);
    }
    let granted = permits(&mut admission);
    admission.remove_edges(millis(1010), &HashSet::from([origin(9).address]));
    admission.call_completed(millis(1100), call_done(&granted[0], CallResult::Success));
    let next = permits(&mut admission);
    assert_eq!(next.iter().map(|permit| permit.id).collect::<Vec<_>>(), [4]);
}
