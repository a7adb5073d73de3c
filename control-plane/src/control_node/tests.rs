//! Tests of a control node with scripted peers on a simulated clock.

use crate::prelude::*;

fn address(slot: u16) -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], 100 + slot))
}

/// Returns all possible slots.
pub(super) fn all_slots() -> SlotSet {
    (0..MAX_SLOTS as u8).collect()
}

/// Returns the heartbeat of a member with a full disk that is in contact with all others.
pub(super) fn member_heartbeat(slot: u8) -> Heartbeat {
    Heartbeat {
        heard_slots: all_slots(),
        mutual_contacts: all_slots(),
        leader_candidates: SlotSet::default(),
        slot,
        full: true,
        blank: false,
        membership_version: 0,
        ledger_closed_for: Duration::ZERO,
        lost_generation: 0,
        acknowledged_sessions: 0,
        sessions: None,
    }
}

/// Slot 0 with a full disk that syncs at once, and scripted peers.
struct ScriptedNode {
    control_node: ControlNode,
}

/// A partition that the scripted node leads.
#[derive(Clone, Copy)]
struct LedPartition {
    partition: u8,
    epoch: u64,
}

/// Incarnation of a scripted peer's first disk.
fn first_incarnation(slot: u16) -> u64 {
    10 + u64::from(slot)
}

impl ScriptedNode {
    fn new(slots: u16) -> ScriptedNode {
        let replica = Replica {
            full: true,
            ..Replica::blank(1)
        };
        let seeds = (0..slots).map(address).collect();
        ScriptedNode {
            control_node: ControlNode::new(address(0), seeds, replica, false, None, 1),
        }
    }

    /// Handles an input and all messages that the node sends to itself. Returns the messages to others.
    fn step(&mut self, ms: u64, input: Input) -> Vec<(SocketAddr, Message)> {
        let now = Duration::from_millis(ms);
        let mut inputs = VecDeque::from([input]);
        let mut messages = Vec::new();
        while let Some(input) = inputs.pop_front() {
            for output in self.control_node.handle(now, input) {
                match output {
                    Output::Send { to, message } if to == address(0) => {
                        inputs.push_back(Input::MessageReceived {
                            from: self.control_node.local_peer(),
                            message,
                        })
                    }
                    Output::Send { to, message } => messages.push((to, message)),
                    Output::Store { serial, .. } | Output::StoreSnapshot { serial, .. } => {
                        inputs.push_back(Input::Stored { serial })
                    }
                    _ => {}
                }
            }
        }
        messages
    }

    fn receive(
        &mut self,
        ms: u64,
        slot: u16,
        incarnation: u64,
        message: impl Into<Message>,
    ) -> Vec<(SocketAddr, Message)> {
        let from = Peer::new(address(slot), incarnation);
        let message = message.into();
        self.step(ms, Input::MessageReceived { from, message })
    }

    fn receive_heartbeat(
        &mut self,
        ms: u64,
        slot: u16,
        incarnation: u64,
    ) -> Vec<(SocketAddr, Message)> {
        let heartbeat = Heartbeat {
            sessions: Some(SessionsDelta::default()),
            ..member_heartbeat(slot as u8)
        };
        self.receive(ms, slot, incarnation, heartbeat)
    }

    /// Ticks until a time while these peers promise and store everything. Returns the partition of purges or of origins
    /// that the node then leads, if any.
    fn lead(&mut self, peers: &[u16], until_ms: u64) -> Option<LedPartition> {
        let mut led = None;
        for ms in (0..until_ms).step_by(100) {
            let mut queue = VecDeque::new();
            for slot in peers {
                queue.extend(self.receive_heartbeat(ms, *slot, first_incarnation(*slot)));
            }
            queue.extend(self.step(ms + 1, Input::Tick));
            while let Some((to, message)) = queue.pop_front() {
                let slot = to.port() - 100;
                if !peers.contains(&slot) {
                    continue;
                }
                if let Message::PrepareRequest(request) = &message
                    && [PURGES_PARTITION, ORIGINS_PARTITION].contains(&request.partition)
                {
                    let (partition, epoch) = (request.partition, request.epoch);
                    led = Some(LedPartition { partition, epoch });
                }
                queue.extend(self.reply_as_peer(ms, slot, message));
            }
        }
        led
    }

    /// Replies like a peer with an empty disk that promises and stores.
    fn reply_as_peer(
        &mut self,
        ms: u64,
        slot: u16,
        message: Message,
    ) -> Vec<(SocketAddr, Message)> {
        let incarnation = first_incarnation(slot);
        match message {
            Message::PrepareRequest(request) => {
                let reply = PrepareReply {
                    partition: request.partition,
                    epoch: request.epoch,
                    lost_generation: 0,
                    retired_incarnations: vec![],
                    state: PreparedState::Newer(PartitionState::default()),
                };
                self.receive(ms + 2, slot, incarnation, reply)
            }
            Message::AppendRequest(request) => {
                let reply = AppendReply {
                    partition: request.partition,
                    epoch: request.epoch,
                    round: request.round,
                    synced_version: request.to_version,
                    sessions_confirmed: Some(0),
                    retired_incarnations: vec![],
                };
                self.receive(ms + 3, slot, incarnation, reply)
            }
            _ => vec![],
        }
    }

    /// Sends slot 1's request for a change of a partition that the node leads. Returns the version under which it is
    /// written.
    fn request_change(&mut self, ms: u64, partition: u8) -> Option<u64> {
        let change = match partition {
            PURGES_PARTITION => Change::AddPurge {
                purge: Purge {
                    entry: Some("e".into()),
                    ..Purge::default()
                },
                change: 5,
            },
            _ => Change::PutOrigins {
                list: Arc::default(),
                expect: None,
                change: 5,
                acknowledge: Acknowledge::Settled,
            },
        };
        let request = ChangeRequest {
            hops: 0,
            requester: address(1),
            id: CHANGE_ID,
            partition,
            change,
        };
        let messages = self.receive(ms, 1, first_incarnation(1), request);
        messages.iter().find_map(|(_, message)| match message {
            Message::AppendRequest(request) if request.partition == partition => {
                Some(request.to_version)
            }
            _ => None,
        })
    }
}

/// Id of the change that slot 1 requests.
const CHANGE_ID: u64 = 7;

/// Returns true if the messages contain the reply to the requested change.
fn has_change_reply(messages: &[(SocketAddr, Message)]) -> bool {
    messages
        .iter()
        .any(|(_, message)| matches!(message, Message::ChangeReply(reply) if reply.id == CHANGE_ID))
}

#[test]
fn append_reply_of_replaced_disk_is_not_counted() {
    let mut node = ScriptedNode::new(3);
    let led = node.lead(&[1], 1_600);
    let LedPartition { partition, epoch } =
        led.expect("the node leads one of the two partitions by weight");
    let version = node.request_change(1_700, partition);
    let version = version.expect("the change is written at once");
    // The disk of slot 1 was replaced; a reply of the earlier disk arrives late.
    node.receive_heartbeat(1_710, 1, 12);
    let append_reply = AppendReply {
        partition,
        epoch,
        round: 100,
        synced_version: version,
        sessions_confirmed: Some(version),
        retired_incarnations: vec![],
    };
    assert!(!has_change_reply(&node.receive(
        1_720,
        1,
        11,
        append_reply.clone()
    )));
    assert!(!has_change_reply(&node.step(1_801, Input::Tick)));
    let mut messages = node.receive(1_810, 1, 12, append_reply.clone());
    messages.extend(node.step(1_901, Input::Tick));
    messages.extend(node.receive(1_910, 1, 12, append_reply));
    assert!(
        has_change_reply(&messages),
        "the current disk holds the change"
    );
}

/// Returns true if a change on disks 0, 1 and 2 of five is acknowledged when disk 2 reports these retired incarnations.
/// Disk 2 may know that disk 1 was replaced and recovered without the change, and reports that with its
/// acknowledgement.
fn is_acknowledged_with(retired_incarnations: Vec<u64>) -> Option<bool> {
    let mut node = ScriptedNode::new(5);
    let LedPartition { partition, epoch } = node.lead(&[1, 2, 3, 4], 2_500)?;
    let version = node.request_change(2_600, partition)?;
    let append_reply = |retired_incarnations| AppendReply {
        partition,
        epoch,
        round: 1_000,
        synced_version: version,
        sessions_confirmed: Some(version),
        retired_incarnations,
    };
    let mut messages = node.receive(2_610, 1, 11, append_reply(vec![]));
    messages.extend(node.receive(2_611, 2, 12, append_reply(retired_incarnations)));
    messages.extend(node.step(2_701, Input::Tick));
    messages.extend(node.step(2_801, Input::Tick));
    Some(has_change_reply(&messages))
}

#[test]
fn append_reply_of_reported_retired_incarnation_is_not_counted() {
    assert_eq!(
        is_acknowledged_with(vec![]),
        Some(true),
        "three of five disks hold the change"
    );
    assert_eq!(
        is_acknowledged_with(vec![11]),
        Some(false),
        "only two disks hold the change"
    );
}

/// Control node whose disk retains synced records over restarts, and scripted peers.
struct DurableNode {
    control_node: ControlNode,
    disk: Vec<Vec<u8>>,
    unsynced: Vec<(u64, Vec<u8>)>,
}

impl DurableNode {
    fn start(slot: u16, disk: Vec<Vec<u8>>, founding: bool) -> DurableNode {
        let known = Replica::replay(&disk).unwrap();
        let blank = known.is_none();
        let bootstrap = Bootstrap::new(founding, Duration::from_millis(500));
        let replica = known.unwrap_or_else(|| Replica::blank(40 + u64::from(slot)));
        let control_node = ControlNode::new(
            address(slot),
            (0..3).map(address).collect(),
            replica,
            blank,
            Some(bootstrap),
            1,
        );
        DurableNode {
            control_node,
            disk,
            unsynced: vec![],
        }
    }

    /// Returns the messages sent; stored records wait to be synced.
    fn step(&mut self, ms: u64, input: Input) -> Vec<(SocketAddr, Message)> {
        let mut messages = Vec::new();
        for output in self.control_node.handle(Duration::from_millis(ms), input) {
            match output {
                Output::Send { to, message } => messages.push((to, message)),
                Output::Store { serial, record } => self.unsynced.push((serial, record)),
                _ => {}
            }
        }
        messages
    }

    fn sync(&mut self, ms: u64) -> Vec<(SocketAddr, Message)> {
        let mut messages = Vec::new();
        for (serial, record) in std::mem::take(&mut self.unsynced) {
            self.disk.push(record);
            messages.extend(self.step(ms, Input::Stored { serial }));
        }
        messages
    }

    fn receive(
        &mut self,
        ms: u64,
        from: u16,
        message: impl Into<Message>,
    ) -> Vec<(SocketAddr, Message)> {
        self.step(
            ms,
            Input::MessageReceived {
                from: Peer::new(address(from), 40 + u64::from(from)),
                message: message.into(),
            },
        )
    }
}

/// Returns the slots of the first membership table in the messages, by the numbers of their nodes.
fn sent_table_slots(messages: &[(SocketAddr, Message)]) -> Option<Vec<u16>> {
    messages.iter().find_map(|(_, message)| match message {
        Message::MembershipTable(table) => Some(
            table
                .members
                .iter()
                .map(|peer| peer.address.port() - 100)
                .collect(),
        ),
        _ => None,
    })
}

#[test]
fn founding_table_is_sent_after_sync_and_never_changes() {
    let mut founder = DurableNode::start(0, vec![], true);
    founder.step(0, Input::Tick);
    founder.receive(100, 4, JoinRequest { founding: true });
    founder.receive(110, 3, JoinRequest { founding: true });
    founder.receive(120, 7, JoinRequest { founding: false });
    founder.sync(130);
    assert_eq!(
        sent_table_slots(&founder.step(600, Input::Tick)),
        None,
        "not synced yet"
    );
    // The process ends before the sync: no node was sent the table, so the founding starts again.
    let mut restarted = DurableNode::start(0, founder.disk.clone(), true);
    assert!(restarted.control_node.members.is_empty());
    restarted.step(0, Input::Tick);
    restarted.receive(100, 5, JoinRequest { founding: true });
    restarted.step(600, Input::Tick);
    assert_eq!(
        sent_table_slots(&restarted.receive(601, 5, JoinRequest { founding: true })),
        None,
        "still not synced"
    );
    assert_eq!(
        sent_table_slots(&restarted.sync(602)),
        Some(vec![0, 1, 2, 5])
    );
    // The process ends after the sync: the table remains the one that was sent, regardless of later joiners.
    let mut restarted = DurableNode::start(0, restarted.disk, true);
    restarted.receive(10, 3, JoinRequest { founding: true });
    restarted.step(900, Input::Tick);
    assert_eq!(
        sent_table_slots(&restarted.receive(901, 1, JoinRequest { founding: true })),
        Some(vec![0, 1, 2, 5])
    );
}

/// Returns the founding table with these slots.
fn table(slots: &[u16]) -> MembershipTable {
    let members = slots.iter().map(|slot| Peer::new(address(*slot), 0));
    MembershipTable {
        version: 0,
        members: members.collect(),
    }
}

#[test]
fn founding_table_is_accepted_once_by_founding_nodes() {
    let mut seed = DurableNode::start(1, vec![], true);
    seed.step(0, Input::Tick);
    assert!(
        (0..50).all(|tick| sent_table_slots(&seed.step(100 * tick, Input::Tick)).is_none()),
        "only the first seed creates a founding table"
    );
    seed.receive(5_001, 0, table(&[0, 1, 2, 3]));
    seed.receive(5_002, 0, table(&[0, 1, 2, 4]));
    seed.sync(5_003);
    assert_eq!(seed.control_node.members.len(), 4);
    let restarted = DurableNode::start(1, seed.disk, false);
    assert_eq!(restarted.control_node.members[3].address, address(3));
    // A replacement machine never accepts or creates a founding table.
    for slot in [0, 1] {
        let mut other = DurableNode::start(slot, vec![], false);
        other.step(0, Input::Tick);
        other.receive(10, 2, table(&[0, 1, 2]));
        assert!(
            (1..20).all(|tick| sent_table_slots(&other.step(100 * tick, Input::Tick)).is_none())
        );
        assert!(other.control_node.members.is_empty());
        other.receive(
            3_000,
            2,
            MembershipTable {
                version: 3,
                ..table(&[0, 1, 2])
            },
        );
        assert_eq!(
            (other.control_node.members.len(), other.control_node.slot),
            (3, slot as u8)
        );
    }
    // The first seed creates none either, if another node already has a table.
    let mut late_founder = DurableNode::start(0, vec![], true);
    late_founder.step(0, Input::Tick);
    late_founder.receive(
        100,
        2,
        Heartbeat {
            membership_version: 4,
            ..member_heartbeat(2)
        },
    );
    late_founder.step(900, Input::Tick);
    assert!(late_founder.control_node.members.is_empty());
}

fn purge_rows(versions: std::ops::RangeInclusive<u64>) -> Vec<(String, Row)> {
    versions
        .map(|version| {
            let purge = Purge::default();
            let change = version;
            let value = Value::Purge { purge, change };
            (format!("purge/{version}"), Row { version, value })
        })
        .collect()
}

/// Within an epoch a replica is complete up to its version: a full state that arrives late, after newer rows were
/// acknowledged, removes none of them.
#[test]
fn late_full_state_removes_no_later_row() {
    let mut node = ScriptedNode::new(3);
    node.receive_heartbeat(10, 1, 11);
    let full_append = AppendRequest {
        partition: PURGES_PARTITION,
        epoch: 17,
        membership_version: 0,
        round: 1,
        full_state: true,
        after_version: 0,
        to_version: 1,
        rows: purge_rows(1..=1),
        removed_keys: vec![],
        published: 0,
        base: None,
    };
    node.receive(20, 1, 11, full_append.clone());
    let next = AppendRequest {
        full_state: false,
        round: 2,
        after_version: 1,
        to_version: 2,
        rows: purge_rows(2..=2),
        ..full_append.clone()
    };
    node.receive(30, 1, 11, next);
    node.receive(40, 1, 11, full_append);
    let prepare = PrepareRequest {
        partition: PURGES_PARTITION,
        epoch: 34,
        membership_version: 0,
        requester_state: StateId::default(),
    };
    let state = node
        .receive(50, 1, 11, prepare)
        .into_iter()
        .find_map(|(_, message)| match message {
            Message::PrepareReply(PrepareReply {
                state: PreparedState::Newer(state),
                ..
            }) => Some(state),
            _ => None,
        })
        .expect("the epoch is promised");
    assert_eq!((state.version, state.rows.len()), (2, 2));
}
