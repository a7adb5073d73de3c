//! Tests of slot handover, and of what a moved disk may acknowledge.

use super::slot_handover::Handover;
use super::tests::member_heartbeat;
use super::*;

/// Version of the table that assigns the slot to the joiner.
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

/// Returns the table in which node 3 holds the slot of node 0.
fn handed_over_table() -> MembershipTable {
    MembershipTable {
        version: VERSION,
        members: vec![peer(3), peer(1), peer(2)],
    }
}

/// Control node whose disk syncs at once.
struct Node {
    control_node: ControlNode,
    records: Vec<Vec<u8>>,
}

impl Node {
    fn start(slot: u16, full: bool) -> Node {
        let replica = Replica {
            full,
            ..Replica::blank(incarnation(slot))
        };
        let seeds = (0..3).map(address).collect();
        let control_node = ControlNode::new(address(slot), seeds, replica, false, None, 1);
        Node {
            control_node,
            records: vec![],
        }
    }

    /// Returns the messages sent, and whether the node ends.
    fn step(&mut self, ms: u64, input: Input) -> (Vec<(SocketAddr, Message)>, bool) {
        let mut inputs = VecDeque::from([input]);
        let (mut messages, mut ended) = (Vec::new(), false);
        while let Some(input) = inputs.pop_front() {
            for output in self.control_node.handle(Duration::from_millis(ms), input) {
                match output {
                    Output::Send { to, message } => messages.push((to, message)),
                    Output::Store { serial, record } => {
                        self.records.push(record);
                        inputs.push_back(Input::Stored { serial });
                    }
                    Output::ShutdownComplete => ended = true,
                    _ => {}
                }
            }
        }
        (messages, ended)
    }

    fn receive(&mut self, ms: u64, from: u16, message: impl Into<Message>) -> Vec<Message> {
        let input = Input::MessageReceived {
            from: peer(from),
            message: message.into(),
        };
        let (messages, _) = self.step(ms, input);
        messages.into_iter().map(|(_, message)| message).collect()
    }

    fn heartbeat(&mut self, ms: u64, slot: u16) {
        self.receive(ms, slot, member_heartbeat(slot as u8));
    }

    /// Requests the node's shutdown, and replies to its offer with this outcome.
    fn begin_leaving(&mut self, outcome: SlotOfferOutcome) {
        self.step(0, Input::Tick);
        self.heartbeat(10, 1);
        self.heartbeat(10, 2);
        self.step(100, Input::ShutdownRequested);
        self.receive(110, 1, SlotOfferReply { outcome });
    }
}

fn assigned() -> SlotOfferOutcome {
    SlotOfferOutcome::Assigned {
        version: VERSION,
        successor: peer(3),
    }
}

fn sent_states(messages: &[(SocketAddr, Message)]) -> usize {
    messages
        .iter()
        .filter(|(to, message)| *to == address(3) && matches!(message, Message::SlotState(_)))
        .count()
}

#[test]
fn leaving_member_sends_state_after_it_is_fenced() {
    let mut node = Node::start(0, true);
    node.begin_leaving(assigned());
    let (messages, ended) = node.step(200, Input::Tick);
    assert_eq!(
        (sent_states(&messages), ended),
        (0, false),
        "the node is still a member"
    );
    node.receive(250, 1, handed_over_table());
    let (messages, ended) = node.step(300, Input::Tick);
    assert_eq!((sent_states(&messages), ended), (1, false));
    let prepare = PrepareRequest {
        partition: PURGES_PARTITION,
        epoch: 99,
        membership_version: VERSION,
        requester_state: StateId::default(),
    };
    assert!(
        node.receive(310, 1, prepare).is_empty(),
        "a removed node promises nothing"
    );
    let restarted = Replica::replay(
        &[Record::Incarnation {
            incarnation: incarnation(0),
        }
        .bytes()]
        .into_iter()
        .chain(node.records.clone())
        .collect::<Vec<_>>(),
    );
    assert!(
        restarted.unwrap().unwrap().removed,
        "the removal persists over restarts"
    );
    let (messages, ended) = node.step(1_000, Input::Tick);
    assert_eq!((sent_states(&messages), ended), (1, false), "sent again");
    node.receive(1_010, 3, SlotStateReceived { version: VERSION });
    let (messages, ended) = node.step(1_100, Input::Tick);
    assert_eq!((sent_states(&messages), ended), (0, true));
}

#[test]
fn leaving_member_waits_for_successor_within_grace_period() {
    let mut node = Node::start(0, true);
    node.begin_leaving(assigned());
    node.receive(250, 1, handed_over_table());
    let ends: Vec<u64> = (3..70)
        .map(|tick| tick * 100)
        .filter(|ms| node.step(*ms, Input::Tick).1)
        .collect();
    assert_eq!(ends.first(), Some(&5_300));
}

#[test]
fn leaving_member_without_joiner_retains_slot_and_ends() {
    let mut node = Node::start(0, true);
    node.begin_leaving(SlotOfferOutcome::NoJoiner);
    let (_, ended) = node.step(200, Input::Tick);
    assert!(ended && !node.control_node.removed);
    let mut node = Node::start(0, true);
    node.begin_leaving(assigned());
    let deferred = SlotOfferReply {
        outcome: SlotOfferOutcome::Deferred,
    };
    node.receive(120, 1, deferred);
    assert!(
        matches!(
            node.control_node.shutdown.handover,
            Handover::Assigned { .. }
        ),
        "a reply to an earlier offer does not revoke the assignment"
    );
}

fn state(version: u64, slot: u8) -> SlotState {
    let mut replica = Replica::blank(incarnation(0));
    replica.partitions[usize::from(PURGES_PARTITION)].promised_epoch = 7;
    SlotState {
        version,
        slot,
        lost_generation: 0,
        retired_incarnations: vec![77],
        partitions: replica.snapshot(),
    }
}

#[test]
fn joiner_accepts_state_of_direct_predecessor_only() {
    let joiner = || {
        let mut node = Node::start(3, false);
        node.step(0, Input::Tick);
        node.receive(50, 1, handed_over_table());
        node
    };
    for (version, slot) in [(VERSION - 1, 0), (VERSION + 1, 0), (VERSION, 1)] {
        let mut node = joiner();
        let messages = node.receive(100, 0, state(version, slot));
        assert!(messages.is_empty(), "version {version}, slot {slot}");
        assert!(
            !node.control_node.replica.full,
            "version {version}, slot {slot}"
        );
    }
    let mut node = joiner();
    let messages = node.receive(100, 0, state(VERSION, 0));
    assert!(node.control_node.replica.full);
    assert!(matches!(
        messages.as_slice(),
        [Message::SlotStateReceived(_)]
    ));
    assert_eq!(
        node.control_node
            .replica
            .partition(PURGES_PARTITION)
            .promised_epoch,
        7
    );
    assert_eq!(
        node.control_node.replica.retired,
        [77],
        "it reports the same retired incarnations as its predecessor"
    );
    // A repeated state is confirmed again and not applied twice.
    assert_eq!(node.receive(200, 0, state(VERSION, 0)).len(), 1);
}

#[test]
fn removed_member_ends_and_restarts_without_slot() {
    let mut node = Node::start(0, true);
    node.step(0, Input::Tick);
    node.receive(50, 1, handed_over_table());
    assert!(
        node.step(100, Input::Tick).1,
        "the node is no longer a member"
    );
    let renewed = node.control_node.replica.for_rejoin(500);
    assert!(!renewed.full && !renewed.removed && renewed.incarnation == 500);
    assert_eq!(renewed.newest_table(), Some(handed_over_table()));
    let founding = Bootstrap::new(true, Duration::ZERO);
    let seeds = (0..3).map(address).collect();
    let control_node = ControlNode::new(address(0), seeds, renewed, true, Some(founding), 1);
    let mut restarted = Node {
        control_node,
        records: vec![],
    };
    let (messages, _) = restarted.step(200, Input::Tick);
    let mut join_requests = messages.iter().filter_map(|(_, message)| match message {
        Message::JoinRequest(request) => Some(request.founding),
        _ => None,
    });
    assert!(join_requests.all(|founding| !founding) && !messages.is_empty());
    assert!(
        !restarted.control_node.generation.first_fleet_start,
        "operations may have run before"
    );
}

#[test]
fn paused_node_declares_no_member_lost() {
    let at = Duration::from_millis;
    let mut detector = FailureDetector::default();
    (0..30).for_each(|tick| detector.tick(at(tick * 100)));
    assert!(detector.is_lost(at(2_950), at(900)));
    assert!(!detector.is_lost(at(2_950), at(1_000)));
    assert!(
        !detector.is_lost(at(9_000), at(900)),
        "the node was paused since its last tick"
    );
    detector.tick(at(9_000));
    assert!(
        !detector.is_lost(at(9_010), at(900)),
        "the node has only just resumed"
    );
}

#[test]
fn member_with_recent_message_is_not_lost() {
    let mut node = Node::start(0, true);
    for tick in 0..40 {
        node.step(tick * 100, Input::Tick);
        node.heartbeat(tick * 100 + 10, 1);
    }
    let now = Duration::from_millis(3_950);
    assert!(
        node.control_node.is_slot_lost(now, 2),
        "slot 2 has sent no message yet"
    );
    let request = SnapshotRequest {
        slot: 2,
        round: 0,
        membership_version: 0,
    };
    node.receive(3_940, 2, request);
    assert!(
        !node.control_node.is_slot_lost(now, 2),
        "a snapshot request is a message too"
    );
}

/// Regression: a disk was wiped and returned within two seconds; another node then reported that the disk's earlier
/// incarnation is retired. The slot was assigned to a joiner, although its node was never silent for long enough.
#[test]
fn reported_retirement_does_not_age_last_contact() {
    let mut node = Node::start(0, true);
    for tick in 0..40 {
        node.step(tick * 100, Input::Tick);
        node.heartbeat(tick * 100 + 10, 1);
        node.heartbeat(tick * 100 + 10, 2);
    }
    node.control_node.on_retired_reported(&[incarnation(2)]);
    assert!(
        !node
            .control_node
            .is_slot_lost(Duration::from_millis(3_950), 2)
    );
}
