//! Tests of `sessions`.
use crate::prelude::*;

fn seen(port: u16, version: u64) -> SessionInfo {
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
fn clear_waits_for_the_slowest_session_until_it_confirms_or_lapses() {
    let at = Duration::from_millis;
    let mut table = Sessions::default();
    table.tick(at(0));
    table.renew(at(1000), seen(1, 5), None);
    table.renew(at(1000), seen(2, 7), None);
    assert_eq!(
        table.clear(at(700), PURGES_PARTITION, 7),
        None,
        "just started: earlier sessions may stand"
    );
    assert_eq!(table.clear(at(1100), PURGES_PARTITION, 7), Some(5));
    table.renew(at(1400), seen(2, 7), None);
    assert_eq!(table.tick(at(1799)).len(), 0);
    assert_eq!(table.tick(at(1800)), [seen(1, 5).peer]);
    assert_eq!(table.clear(at(1800), PURGES_PARTITION, 7), Some(7));
}

#[test]
fn of_two_incarnations_at_an_address_the_one_that_gives_back_a_later_renewal_token_is_there() {
    let at = Duration::from_millis;
    let incarnation = |incarnation| SessionInfo {
        peer: Peer {
            incarnation,
            ..seen(1, 0).peer
        },
        ..seen(1, 0)
    };
    let mut table = Sessions::new(7);
    table.tick(at(0));
    let (one, two) = (incarnation(8), incarnation(3));
    table.renew(at(10), one.clone(), None);
    let renewal_token = table.renewal_token();
    table.renew(at(20), one.clone(), Some(renewal_token));
    table.renew(at(30), two.clone(), None);
    assert_eq!(
        table.mine().len(),
        2,
        "a first renewal may have been long on the way"
    );
    table.renew(
        at(40),
        two.clone(),
        Some(RenewalToken { run: 6, count: 99 }),
    );
    assert!(
        !table.ended(one.peer, 0) && table.mine().len() == 2,
        "a mark of another run tells nothing"
    );
    let granted = table.renewal_tokens();
    table.renew(at(45), two.clone(), Some(renewal_token));
    assert!(
        !table.ended(one.peer, granted),
        "told before it was known that the other had begun"
    );
    let renewal_token = table.renewal_token();
    table.renew(at(50), two.clone(), Some(renewal_token));
    assert!(table.ended(one.peer, granted) && !table.ended(two.peer, granted));
    assert_eq!(table.mine(), std::slice::from_ref(&two));
    table.renew(at(60), one, None);
    let renewal_token = table.renewal_token();
    table.renew(at(70), two.clone(), Some(renewal_token));
    assert_eq!(table.mine(), [two], "what the earlier life said came late");
}

fn whole(put: Vec<SessionInfo>) -> SessionsDelta {
    let sum = put.iter().fold(0, |sum, seen| sum ^ seen.sum());
    SessionsDelta {
        to: 1,
        checksum: sum,
        upserted: put,
        ..SessionsDelta::default()
    }
}

/// Whatever is lost, doubled, late, or said by another run: a table counts
/// as heard only with what the other has just then.
#[test]
fn differences_never_make_a_table_that_the_other_did_not_have() {
    let mut dice = 7u64;
    let mut edge_registry = |most: u64| {
        dice = dice
            .wrapping_mul(6364136223846793005)
            .wrapping_add(1442695040888963407);
        (dice >> 33) % most
    };
    let core = |table: &Sessions| {
        table
            .mine
            .values()
            .map(|one| (one.seen.peer, one.seen.draining))
            .collect::<BTreeSet<_>>()
    };
    let (mut one, mut other) = (Sessions::default(), Sessions::default());
    let (mut late, mut fitted) = (vec![], 0);
    let mut had: BTreeMap<u64, Vec<BTreeSet<(Peer, bool)>>> = BTreeMap::new();
    for step in 1..6000u64 {
        let now = Duration::from_millis(step * 100);
        let port = 1 + edge_registry(20) as u16;
        match edge_registry(8) {
            0 => _ = one.leave(seen(port, 1).peer),
            1 if edge_registry(40) == 0 => one = Sessions::default(),
            _ => {
                _ = one.renew(
                    now,
                    SessionInfo {
                        draining: edge_registry(3) == 0,
                        ..seen(port, step)
                    },
                    None,
                )
            }
        }
        had.entry(one.sum).or_default().push(core(&one));
        let beat = one.since(other.got(1));
        if edge_registry(4) == 0 {
            late.push(beat.clone());
        }
        let late = if !late.is_empty() && edge_registry(4) == 0 {
            late.swap_remove(edge_registry(late.len() as u64) as usize)
        } else {
            beat
        };
        other.told(now, 1, late.clone());
        let table = &other.told[&1];
        if table.heard == now {
            fitted += 1;
            let told: BTreeSet<_> = table
                .seen
                .values()
                .map(|seen| (seen.peer, seen.draining))
                .collect();
            assert!(had[&late.checksum].contains(&told), "step {step}");
        }
    }
    assert!(fitted > 3000, "{fitted} beats fitted");
}

#[test]
fn a_beat_tells_what_changed_and_usage_seldom() {
    let at = Duration::from_millis;
    let mut table = Sessions::default();
    (1..=100).for_each(|port| assert!(table.renew(at(0), seen(port, 1), None)));
    let got = table.since(0).to;
    assert_eq!(
        (
            table.since(0).upserted.len(),
            table.since(got).upserted.len()
        ),
        (100, 0)
    );
    // What was confirmed rises all the time, and who is newest is said.
    table.renew(at(200), seen(7, 2), None);
    let since = table.since(got);
    assert_eq!(
        (since.upserted.len(), since.newest[0]),
        (0, (2, seen(7, 2).peer))
    );
    table.renew(
        at(5000),
        SessionInfo {
            usage: Usage {
                requests: 4,
                ..Usage::default()
            },
            ..seen(7, 2)
        },
        None,
    );
    table.leave(seen(8, 1).peer);
    let since = table.since(got);
    assert_eq!(
        (since.upserted.len(), since.removed),
        (1, vec![seen(8, 1).peer])
    );
}

#[test]
fn an_edge_is_gone_only_by_a_majority_of_tables() {
    let at = Duration::from_millis;
    let mut table = Sessions::default();
    table.tick(at(0));
    assert!(
        !table.gone(at(5000), seen(1, 1).peer, Quorum::new(3)),
        "one table is no majority"
    );
    table.told(at(5000), 1, whole(vec![seen(1, 1)]));
    assert!(!table.gone(at(5000), seen(1, 1).peer, Quorum::new(3)));
    table.told(at(5100), 1, whole(vec![]));
    assert!(table.gone(at(5100), seen(1, 1).peer, Quorum::new(3)));
}

/// Of any tables: an edge in `rest` of them is live and not gone, whatever
/// the others say; one in fewer is not live, and gone once `most` lack it.
#[test]
fn live_edges_are_never_gone_whatever_the_number_of_slots() {
    let at = Duration::from_millis;
    for slots in [3usize, 4, 5, 8] {
        let quorum = Quorum::new(slots);
        for tables in 0..=slots {
            let mut table = Sessions::default();
            for slot in 0..slots {
                table.told(
                    at(5000),
                    slot as u8,
                    whole(if slot < tables {
                        vec![seen(1, 1)]
                    } else {
                        vec![]
                    }),
                );
            }
            let (live, gone) = (
                !table.live(at(5000), quorum).is_empty(),
                table.gone(at(5000), seen(1, 1).peer, quorum),
            );
            assert_eq!(
                (live, gone),
                (tables >= quorum.rest(), slots - tables >= quorum.most()),
                "{tables} of {slots}"
            );
            assert!(!(live && gone));
        }
    }
}
