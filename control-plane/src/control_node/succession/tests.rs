//! When members that were lost for good are succeeded without a majority.
use super::super::tests::member_heartbeat;
use super::*;

fn peer(number: u16) -> Peer {
    let address = SocketAddr::from(([127, 0, 0, 1], 100 + number));
    Peer::new(address, 10 + u64::from(number))
}

/// What a node of a table sees for six seconds.
struct Sight {
    slots: u16,
    tolerated_losses: usize,
    /// This node's slot.
    own: u16,
    /// Members heard all the time; the others fall silent after half a second.
    heard: &'static [u16],
    /// Slots that those who are heard say they hear.
    heard_by_others: &'static [u8],
    /// Empty nodes that request a slot.
    joiners: &'static [u16],
}

const TWO_OF_FOUR_LOST: Sight = Sight {
    slots: 4,
    tolerated_losses: 2,
    own: 0,
    heard: &[1],
    heard_by_others: &[0, 1],
    joiners: &[7, 8],
};

/// When this node writes a table of its own, in milliseconds, and that table.
fn succession_of(sight: &Sight) -> Option<(u64, MembershipTable)> {
    const SILENT_AFTER_MS: u64 = 500;
    let replica = Replica {
        full: true,
        ..Replica::blank(peer(sight.own).incarnation)
    };
    let seeds = (0..sight.slots).map(|slot| peer(slot).address).collect();
    let mut node = ControlNode::new(peer(sight.own).address, seeds, replica, false, None, 1)
        .with_tolerated_losses(sight.tolerated_losses);
    for ms in (0..6_000).step_by(100) {
        let now = Duration::from_millis(ms);
        let mut inputs = VecDeque::from([Input::Tick]);
        for slot in (0..sight.slots).filter(|slot| *slot != sight.own) {
            let is_silent = ms > SILENT_AFTER_MS && !sight.heard.contains(&slot);
            let mut heartbeat = member_heartbeat(slot as u8);
            if ms > SILENT_AFTER_MS {
                heartbeat.heard_slots = sight.heard_by_others.iter().copied().collect();
                heartbeat.mutual_contacts = heartbeat.heard_slots;
            }
            if !is_silent {
                inputs.push_front(Input::MessageReceived {
                    from: peer(slot),
                    message: heartbeat.into(),
                });
            }
        }
        inputs.extend(sight.joiners.iter().map(|joiner| Input::MessageReceived {
            from: peer(*joiner),
            message: JoinRequest { founding: false }.into(),
        }));
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

/// Regression: nothing could be read back or changed any more once two of four were
/// lost for good.
#[test]
fn lowest_survivor_gives_slots_of_two_lost_of_four_to_waiting_nodes() {
    let (at_ms, table) = succession_of(&TWO_OF_FOUR_LOST).unwrap();
    // The last contact is known by the tick before it.
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
fn no_members_are_succeeded_while_a_majority_may_be_there() {
    let refused = [
        (
            "not tolerated",
            Sight {
                tolerated_losses: 1,
                ..TWO_OF_FOUR_LOST
            },
        ),
        (
            "one is lost",
            Sight {
                heard: &[1, 2],
                heard_by_others: &[0, 1, 2],
                ..TWO_OF_FOUR_LOST
            },
        ),
        (
            "three are lost",
            Sight {
                heard: &[],
                ..TWO_OF_FOUR_LOST
            },
        ),
        (
            "the other survivor hears one",
            Sight {
                heard_by_others: &[0, 1, 2],
                ..TWO_OF_FOUR_LOST
            },
        ),
        (
            "one empty node waits",
            Sight {
                joiners: &[7],
                ..TWO_OF_FOUR_LOST
            },
        ),
        (
            "three empty nodes wait",
            Sight {
                joiners: &[7, 8, 9],
                ..TWO_OF_FOUR_LOST
            },
        ),
        (
            "a majority is left of five",
            Sight {
                slots: 5,
                heard: &[1, 2],
                heard_by_others: &[0, 1, 2],
                ..TWO_OF_FOUR_LOST
            },
        ),
        (
            "not the lowest",
            Sight {
                own: 1,
                heard: &[0],
                ..TWO_OF_FOUR_LOST
            },
        ),
    ];
    for (case, sight) in refused {
        assert_eq!(succession_of(&sight), None, "{case}");
    }
}

#[test]
fn successions_rise_above_all_versions_of_the_tables_before() {
    let first = next_succession(9);
    assert!(first > 1 << 31 && last_succession(first) == first);
    assert_eq!(last_succession(first + 5), first);
    assert_eq!(last_succession(9), 0);
    assert!(next_succession(first + 5) > first + (1 << 31));
}
