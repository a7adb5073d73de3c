//! Handing a slot over, and what a disk that moved may and may not say.

use super::*;

const VERSION: u64 = 9;

fn address(slot: u16) -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], 100 + slot))
}

fn incarnation(slot: u16) -> u64 {
    40 + u64::from(slot)
}

fn peer(slot: u16) -> Peer {
    Peer::new(address(slot), incarnation(slot))
}

/// The table in which node 3 has the slot of node 0.
fn moved() -> MembershipTable {
    MembershipTable {
        version: VERSION,
        members: vec![peer(3), peer(1), peer(2)],
    }
}

/// A control node that syncs at once.
struct Node {
    part: ControlNode,
    records: Vec<Vec<u8>>,
}

impl Node {
    fn start(slot: u16, full: bool) -> Node {
        let replica = Replica {
            full,
            ..Replica::blank(incarnation(slot))
        };
        let seeds = (0..3).map(address).collect();
        let part = ControlNode::new(address(slot), seeds, replica, false, None, 1);
        Node {
            part,
            records: vec![],
        }
    }

    /// What it says, and whether it ends.
    fn step(&mut self, ms: u64, input: Input) -> (Vec<(SocketAddr, Message)>, bool) {
        let mut inputs = VecDeque::from([input]);
        let (mut told, mut ended) = (Vec::new(), false);
        while let Some(input) = inputs.pop_front() {
            for output in self.part.handle(Duration::from_millis(ms), input) {
                match output {
                    Output::Send { to, message } => told.push((to, message)),
                    Output::Store { serial, record } => {
                        self.records.push(record);
                        inputs.push_back(Input::Stored { serial });
                    }
                    Output::ShutdownComplete => ended = true,
                    _ => {}
                }
            }
        }
        (told, ended)
    }

    fn hear(&mut self, ms: u64, from: u16, message: impl Into<Message>) -> Vec<Message> {
        let input = Input::MessageReceived {
            from: peer(from),
            message: message.into(),
        };
        let (told, _) = self.step(ms, input);
        told.into_iter().map(|(_, message)| message).collect()
    }

    fn beat(&mut self, ms: u64, slot: u16) {
        let beat = Heartbeat {
            heard_slots: everybody(),
            mutual_contacts: everybody(),
            leader_candidates: SlotSet::default(),
            slot: slot as u8,
            full: true,
            blank: false,
            membership_version: 0,
            ledger_closed_for: Duration::ZERO,
            lost_generation: 0,
            acknowledged_sessions: 0,
            sessions: None,
        };
        self.hear(ms, slot, beat);
    }

    /// It is told to end, and its offer is answered so.
    fn leave(&mut self, answer: SlotOfferOutcome) {
        self.step(0, Input::Tick);
        self.beat(10, 1);
        self.beat(10, 2);
        self.step(100, Input::ShutdownRequested);
        self.hear(110, 1, SlotOfferReply { outcome: answer });
    }
}

fn assigned() -> SlotOfferOutcome {
    SlotOfferOutcome::Assigned {
        version: VERSION,
        successor: peer(3),
    }
}

fn states(told: &[(SocketAddr, Message)]) -> usize {
    told.iter()
        .filter(|(to, message)| *to == address(3) && matches!(message, Message::SlotState(_)))
        .count()
}

#[test]
fn a_leaving_member_sends_its_state_only_once_it_acknowledges_nothing_any_more() {
    let mut node = Node::start(0, true);
    node.leave(assigned());
    let (told, ended) = node.step(200, Input::Tick);
    assert_eq!((states(&told), ended), (0, false), "it still is a member");
    node.hear(250, 1, moved());
    let (told, ended) = node.step(300, Input::Tick);
    assert_eq!((states(&told), ended), (1, false));
    let prepare = PrepareRequest {
        partition: PURGES_PARTITION,
        epoch: 99,
        membership_version: VERSION,
        requester_state: StateId::default(),
    };
    assert!(node.hear(310, 1, prepare).is_empty(), "it promises nothing");
    let again = Replica::replay(
        &[Record::Incarnation {
            incarnation: incarnation(0),
        }
        .bytes()]
        .into_iter()
        .chain(node.records.clone())
        .collect::<Vec<_>>(),
    );
    assert!(again.unwrap().unwrap().removed, "over its restarts");
    let (told, ended) = node.step(1_000, Input::Tick);
    assert_eq!((states(&told), ended), (1, false), "sent again");
    node.hear(1_010, 3, SlotStateReceived { version: VERSION });
    let (told, ended) = node.step(1_100, Input::Tick);
    assert_eq!((states(&told), ended), (0, true));
}

#[test]
fn a_leaving_member_stays_for_its_successor_but_not_beyond_the_grace_period() {
    let mut node = Node::start(0, true);
    node.leave(assigned());
    node.hear(250, 1, moved());
    let ends: Vec<u64> = (3..70)
        .map(|tick| tick * 100)
        .filter(|ms| node.step(*ms, Input::Tick).1)
        .collect();
    assert_eq!(ends.first(), Some(&5_300));
}

#[test]
fn a_member_whose_slot_nobody_waits_for_keeps_it_and_ends_at_once() {
    let mut node = Node::start(0, true);
    node.leave(SlotOfferOutcome::NoNewcomer);
    let (_, ended) = node.step(200, Input::Tick);
    assert!(ended && !node.part.removed);
    let mut node = Node::start(0, true);
    node.leave(assigned());
    let later = SlotOfferReply {
        outcome: SlotOfferOutcome::Later,
    };
    node.hear(120, 1, later);
    assert!(
        matches!(node.part.handover, Handover::Assigned { .. }),
        "an answer to an earlier offer takes nothing back"
    );
}

fn state(version: u64, slot: u8) -> SlotState {
    let mut replica = Replica::blank(incarnation(0));
    replica.partitions[usize::from(PURGES_PARTITION)].promised = 7;
    SlotState {
        version,
        slot,
        lost_generation: 0,
        retired_incarnations: vec![77],
        partitions: replica.copy_out(),
    }
}

#[test]
fn a_newcomer_takes_the_state_of_its_direct_predecessor_and_of_no_other() {
    let newcomer = || {
        let mut node = Node::start(3, false);
        node.step(0, Input::Tick);
        node.hear(50, 1, moved());
        node
    };
    for (version, slot) in [(VERSION - 1, 0), (VERSION + 1, 0), (VERSION, 1)] {
        let mut node = newcomer();
        let told = node.hear(100, 0, state(version, slot));
        assert!(told.is_empty(), "version {version}, slot {slot}");
        assert!(!node.part.replica.full, "version {version}, slot {slot}");
    }
    let mut node = newcomer();
    let told = node.hear(100, 0, state(VERSION, 0));
    assert!(node.part.replica.full);
    assert!(matches!(told.as_slice(), [Message::SlotStateReceived(_)]));
    assert_eq!(node.part.replica.held(PURGES_PARTITION).promised, 7);
    assert_eq!(
        node.part.replica.retired,
        [77],
        "it says what its predecessor would have said"
    );
    // Sent again: it is told again, and nothing is taken twice.
    assert_eq!(node.hear(200, 0, state(VERSION, 0)).len(), 1);
}

#[test]
fn a_removed_member_ends_and_starts_over_without_a_slot_of_its_own() {
    let mut node = Node::start(0, true);
    node.step(0, Input::Tick);
    node.hear(50, 1, moved());
    assert!(node.step(100, Input::Tick).1, "it is no member any more");
    let renewed = node.part.replica.renewed(500);
    assert!(!renewed.full && !renewed.removed && renewed.incarnation == 500);
    assert_eq!(renewed.table(), Some((VERSION, moved().members)));
    let founding = Bootstrap::new(true, Duration::ZERO);
    let seeds = (0..3).map(address).collect();
    let part = ControlNode::new(address(0), seeds, renewed, true, Some(founding), 1);
    let mut again = Node {
        part,
        records: vec![],
    };
    let (told, _) = again.step(200, Input::Tick);
    let mut asked = told.iter().filter_map(|(_, message)| match message {
        Message::JoinRequest(request) => Some(request.founding),
        _ => None,
    });
    assert!(asked.all(|founding| !founding) && !told.is_empty());
    assert!(!again.part.fresh, "operations may have run before");
}

#[test]
fn one_that_was_frozen_itself_calls_nobody_silent() {
    let at = Duration::from_millis;
    let mut watch = Watch::default();
    (0..30).for_each(|tick| watch.tick(at(tick * 100)));
    assert!(watch.lost(at(2_950), at(900)));
    assert!(!watch.lost(at(2_950), at(1_000)));
    assert!(!watch.lost(at(9_000), at(900)), "frozen since");
    watch.tick(at(9_000));
    assert!(!watch.lost(at(9_010), at(900)), "it has just begun to hear");
}

#[test]
fn one_that_was_just_met_by_any_message_is_not_silent() {
    let mut node = Node::start(0, true);
    for tick in 0..40 {
        node.step(tick * 100, Input::Tick);
        node.beat(tick * 100 + 10, 1);
    }
    let now = Duration::from_millis(3_950);
    assert!(node.part.is_lost(now, 2), "nobody has met it");
    let request = SnapshotRequest {
        slot: 2,
        round: 0,
        membership_version: 0,
    };
    node.hear(3_940, 2, request);
    assert!(!node.part.is_lost(now, 2), "it asks for what it lacks");
}

/// A disk wiped, and back within two seconds: another told that its earlier life
/// is retired, and its slot went to a node that waited.
#[test]
fn a_incarnation_that_another_retired_was_met_no_earlier_for_that() {
    let mut node = Node::start(0, true);
    for tick in 0..40 {
        node.step(tick * 100, Input::Tick);
        node.beat(tick * 100 + 10, 1);
        node.beat(tick * 100 + 10, 2);
    }
    node.part.note_retired(&[incarnation(2)]);
    assert!(!node.part.is_lost(Duration::from_millis(3_950), 2));
}

/// All slots that there may be.
fn everybody() -> SlotSet {
    (0..MAX_SLOTS as u8).collect()
}
