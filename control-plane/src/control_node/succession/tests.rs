//! Tests of the replacement of members that were lost for good, without a majority.
use super::super::tests::member_heartbeat;
use super::*;

fn peer(number: u16) -> Peer {
    let address = SocketAddr::from(([127, 0, 0, 1], 100 + number));
    Peer::new(address, 10 + u64::from(number))
}

/// Conditions that a member observes for six seconds.
struct Scenario {
    slots: u16,
    tolerated_losses: usize,
    /// Slot of the observing node.
    own: u16,
    /// Members whose heartbeats are received all the time; the others stop after half a second.
    received: &'static [u16],
    /// Slots that those members report as received.
    received_by_others: &'static [u8],
    /// Empty nodes that request a slot.
    joiners: &'static [u16],
}

const TWO_OF_FOUR_LOST: Scenario = Scenario {
    slots: 4,
    tolerated_losses: 2,
    own: 0,
    received: &[1],
    received_by_others: &[0, 1],
    joiners: &[7, 8],
};

/// Returns the time in milliseconds at which the node writes a succession table, and that table.
fn succession_of(scenario: &Scenario) -> Option<(u64, MembershipTable)> {
    const LOST_AFTER_MS: u64 = 500;
    let replica = Replica {
        full: true,
        ..Replica::blank(peer(scenario.own).incarnation)
    };
    let seeds = (0..scenario.slots).map(|slot| peer(slot).address).collect();
    let mut node = ControlNode::new(peer(scenario.own).address, seeds, replica, false, None, 1)
        .with_tolerated_losses(scenario.tolerated_losses);
    for ms in (0..6_000).step_by(100) {
        let now = Duration::from_millis(ms);
        let mut inputs = VecDeque::from([Input::Tick]);
        for slot in (0..scenario.slots).filter(|slot| *slot != scenario.own) {
            let is_unresponsive = ms > LOST_AFTER_MS && !scenario.received.contains(&slot);
            let mut heartbeat = member_heartbeat(slot as u8);
            if ms > LOST_AFTER_MS {
                heartbeat.heard_slots = scenario.received_by_others.iter().copied().collect();
                heartbeat.mutual_contacts = heartbeat.heard_slots;
            }
            if !is_unresponsive {
                inputs.push_front(Input::MessageReceived {
                    from: peer(slot),
                    message: heartbeat.into(),
                });
            }
        }
        inputs.extend(
            scenario
                .joiners
                .iter()
                .map(|joiner| Input::MessageReceived {
                    from: peer(*joiner),
                    message: JoinRequest { founding: false }.into(),
                }),
        );
        while let Some(input) = inputs.pop_front() {
            for output in node.handle(now, input) {
                match output {
                    Output::Store { serial, .. } => inputs.push_back(Input::Stored { serial }),
                    Output::Send {
                        message: Message::MembershipTable(table),
                        ..
                    } => return Some((ms, table)),
                    _ => {}
                }
            }
        }
    }
    None
}

/// Regression: after two of four members were lost for good, nothing could be read or changed any more.
#[test]
fn lowest_survivor_assigns_lost_slots_to_waiting_nodes() {
    let (at_ms, table) = succession_of(&TWO_OF_FOUR_LOST).unwrap();
    // The time of the last contact is that of the tick before it.
    let silent_for = Duration::from_millis(at_ms - 500) + lease::CONTROL_TICK;
    assert!(silent_for >= SUCCESSION_TIMEOUT, "{silent_for:?}");
    let mut expected: Vec<Peer> = (0..2)
        .map(|slot| Peer::new(peer(slot).address, 0))
        .collect();
    expected.extend([peer(7), peer(8)]);
    assert_eq!(table.members, expected);
    assert_eq!(table.version, next_succession(0));
}

#[test]
fn possible_majority_prevents_succession() {
    let refused = [
        (
            "more lost than tolerated",
            Scenario {
                tolerated_losses: 1,
                ..TWO_OF_FOUR_LOST
            },
        ),
        (
            "one is lost",
            Scenario {
                received: &[1, 2],
                received_by_others: &[0, 1, 2],
                ..TWO_OF_FOUR_LOST
            },
        ),
        (
            "three are lost",
            Scenario {
                received: &[],
                ..TWO_OF_FOUR_LOST
            },
        ),
        (
            "the other survivor receives one",
            Scenario {
                received_by_others: &[0, 1, 2],
                ..TWO_OF_FOUR_LOST
            },
        ),
        (
            "one empty node waits",
            Scenario {
                joiners: &[7],
                ..TWO_OF_FOUR_LOST
            },
        ),
        (
            "three empty nodes wait",
            Scenario {
                joiners: &[7, 8, 9],
                ..TWO_OF_FOUR_LOST
            },
        ),
        (
            "a majority is left of five",
            Scenario {
                slots: 5,
                received: &[1, 2],
                received_by_others: &[0, 1, 2],
                ..TWO_OF_FOUR_LOST
            },
        ),
        (
            "not the lowest",
            Scenario {
                own: 1,
                received: &[0],
                ..TWO_OF_FOUR_LOST
            },
        ),
    ];
    for (case, scenario) in refused {
        assert_eq!(succession_of(&scenario), None, "{case}");
    }
}

#[test]
fn succession_version_exceeds_all_earlier_versions() {
    let first = next_succession(9);
    assert!(first > 1 << 31 && last_succession(first) == first);
    assert_eq!(last_succession(first + 5), first);
    assert_eq!(last_succession(9), 0);
    assert!(next_succession(first + 5) > first + (1 << 31));
}
