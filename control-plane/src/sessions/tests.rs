//! Tests of `sessions`.
use crate::prelude::*;

fn session(port: u16, version: u64) -> SessionInfo {
    let peer = Peer::new(SocketAddr::from(([127, 0, 0, 1], port)), 1);
    SessionInfo {
        peer,
        zone: "z".into(),
        ring: String::new(),
        weight: 1,
        draining: false,
        generation: 0,
        recall_complete: true,
        version_vector: vec![version; 4],
        usage: Usage::default(),
        origin_health: vec![],
    }
}

#[test]
fn confirmed_version_waits_for_slowest_session_or_its_lapse() {
    let at = Duration::from_millis;
    let mut table = Sessions::default();
    table.tick(at(0));
    table.renew(at(1000), session(1, 5), None);
    table.renew(at(1000), session(2, 7), None);
    assert_eq!(
        table.confirmed_version(at(700), PURGES_PARTITION, 7),
        None,
        "just started: earlier sessions may exist"
    );
    assert_eq!(
        table.confirmed_version(at(1100), PURGES_PARTITION, 7),
        Some(5)
    );
    table.renew(at(1400), session(2, 7), None);
    assert_eq!(table.tick(at(1799)).len(), 0);
    assert_eq!(table.tick(at(1800)), [session(1, 5).peer]);
    assert_eq!(
        table.confirmed_version(at(1800), PURGES_PARTITION, 7),
        Some(7)
    );
}

#[test]
fn latest_token_decides_incarnation_at_an_address() {
    let at = Duration::from_millis;
    let incarnation = |incarnation| SessionInfo {
        peer: Peer {
            incarnation,
            ..session(1, 0).peer
        },
        ..session(1, 0)
    };
    let mut table = Sessions::new(7);
    table.tick(at(0));
    let (first, second) = (incarnation(8), incarnation(3));
    table.renew(at(10), first.clone(), None);
    let renewal_token = table.issue_token();
    table.renew(at(20), first.clone(), Some(renewal_token));
    table.renew(at(30), second.clone(), None);
    assert_eq!(
        table.local_sessions().len(),
        2,
        "a first renewal may have been delayed"
    );
    table.renew(
        at(40),
        second.clone(),
        Some(RenewalToken { run: 6, count: 99 }),
    );
    assert!(
        !table.has_ended(first.peer, 0) && table.local_sessions().len() == 2,
        "a token of another run proves nothing"
    );
    let tokens = table.issued_tokens();
    table.renew(at(45), second.clone(), Some(renewal_token));
    assert!(
        !table.has_ended(first.peer, tokens),
        "issued before the other incarnation was known to have started"
    );
    let renewal_token = table.issue_token();
    table.renew(at(50), second.clone(), Some(renewal_token));
    assert!(table.has_ended(first.peer, tokens) && !table.has_ended(second.peer, tokens));
    assert_eq!(table.local_sessions(), std::slice::from_ref(&second));
    table.renew(at(60), first, None);
    let renewal_token = table.issue_token();
    table.renew(at(70), second.clone(), Some(renewal_token));
    assert_eq!(
        table.local_sessions(),
        [second],
        "the renewal of the earlier incarnation was late"
    );
}

fn full_delta(sessions: Vec<SessionInfo>) -> SessionsDelta {
    let checksum = sessions
        .iter()
        .fold(0, |checksum, session| checksum ^ session.checksum());
    SessionsDelta {
        to: 1,
        checksum,
        upserted: sessions,
        ..SessionsDelta::default()
    }
}

/// Renews or ends a session, or restarts the sender, at random.
fn change_at_random(
    sender: &mut Sessions,
    now: Duration,
    step: u64,
    random: &mut dyn FnMut(u64) -> u64,
) {
    let port = 1 + random(20) as u16;
    match random(8) {
        0 => _ = sender.remove(session(port, 1).peer),
        1 if random(40) == 0 => *sender = Sessions::default(),
        _ => {
            let draining = random(3) == 0;
            let info = SessionInfo {
                draining,
                ..session(port, step)
            };
            _ = sender.renew(now, info, None);
        }
    }
}

/// Deltas are lost, duplicated, late, or sent by another run: a received table is current only in a state that the
/// sender had.
#[test]
fn applied_deltas_match_a_table_the_sender_had() {
    let mut seed = 7u64;
    let mut random = |bound: u64| {
        seed = seed
            .wrapping_mul(6364136223846793005)
            .wrapping_add(1442695040888963407);
        (seed >> 33) % bound
    };
    let decision_fields =
        |sessions: &mut dyn Iterator<Item = &SessionInfo>| -> BTreeSet<(Peer, bool)> {
            sessions
                .map(|session| (session.peer, session.draining))
                .collect()
        };
    let (mut sender, mut receiver) = (Sessions::default(), Sessions::default());
    let (mut delayed, mut accepted) = (vec![], 0);
    let mut sent_tables: BTreeMap<u64, Vec<BTreeSet<(Peer, bool)>>> = BTreeMap::new();
    for step in 1..6000u64 {
        let now = Duration::from_millis(step * 100);
        change_at_random(&mut sender, now, step, &mut random);
        sent_tables
            .entry(sender.local.checksum)
            .or_default()
            .push(decision_fields(&mut sender.local.infos()));
        let delta = sender.delta_since(receiver.received_revision(1));
        if random(4) == 0 {
            delayed.push(delta.clone());
        }
        let received_delta = if !delayed.is_empty() && random(4) == 0 {
            delayed.swap_remove(random(delayed.len() as u64) as usize)
        } else {
            delta
        };
        receiver.apply_delta(now, 1, received_delta.clone());
        let table = &receiver.peer_tables[&1];
        if table.last_contact == now {
            accepted += 1;
            let received = decision_fields(&mut table.infos());
            assert!(
                sent_tables[&received_delta.checksum].contains(&received),
                "step {step}"
            );
        }
    }
    assert!(accepted > 3000, "{accepted} deltas were applied");
}

#[test]
fn delta_reports_changes_at_once_and_usage_rarely() {
    let at = Duration::from_millis;
    let mut table = Sessions::default();
    (1..=100).for_each(|port| assert!(table.renew(at(0), session(port, 1), None)));
    let revision = table.delta_since(0).to;
    assert_eq!(
        (
            table.delta_since(0).upserted.len(),
            table.delta_since(revision).upserted.len()
        ),
        (100, 0)
    );
    // Confirmed versions rise constantly; only the newest confirmation is reported.
    table.renew(at(200), session(7, 2), None);
    let delta = table.delta_since(revision);
    assert_eq!(
        (delta.upserted.len(), delta.newest[0]),
        (0, (2, session(7, 2).peer))
    );
    table.renew(
        at(5000),
        SessionInfo {
            usage: Usage {
                requests: 4,
                ..Usage::default()
            },
            ..session(7, 2)
        },
        None,
    );
    table.remove(session(8, 1).peer);
    let delta = table.delta_since(revision);
    assert_eq!(
        (delta.upserted.len(), delta.removed),
        (1, vec![session(8, 1).peer])
    );
}

#[test]
fn edge_departure_needs_majority_of_tables() {
    let at = Duration::from_millis;
    let mut table = Sessions::default();
    table.tick(at(0));
    assert!(
        !table.has_departed(at(5000), session(1, 1).peer, Quorum::new(3)),
        "one table is not a majority"
    );
    table.apply_delta(at(5000), 1, full_delta(vec![session(1, 1)]));
    assert!(!table.has_departed(at(5000), session(1, 1).peer, Quorum::new(3)));
    table.apply_delta(at(5100), 1, full_delta(vec![]));
    assert!(table.has_departed(at(5100), session(1, 1).peer, Quorum::new(3)));
}

/// For any tables, an edge in `Quorum::intersecting` of them is live and has not departed, regardless of the others. An
/// edge in fewer is not live, and has departed once `Quorum::majority` of them lack it.
#[test]
fn live_edge_is_never_departed_for_any_slot_count() {
    let at = Duration::from_millis;
    for slots in [3usize, 4, 5, 8] {
        let quorum = Quorum::new(slots);
        for tables in 0..=slots {
            let mut table = Sessions::default();
            for slot in 0..slots {
                table.apply_delta(
                    at(5000),
                    slot as u8,
                    full_delta(if slot < tables {
                        vec![session(1, 1)]
                    } else {
                        vec![]
                    }),
                );
            }
            let (live, departed) = (
                !table.live_sessions(at(5000), quorum).is_empty(),
                table.has_departed(at(5000), session(1, 1).peer, quorum),
            );
            assert_eq!(
                (live, departed),
                (
                    tables >= quorum.intersecting(),
                    slots - tables >= quorum.majority()
                ),
                "{tables} of {slots}"
            );
            assert!(!(live && departed));
        }
    }
}
