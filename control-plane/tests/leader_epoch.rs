//! Tests that a leader's epoch is on its own disk before other nodes are requested to promise it, so that no epoch is
//! used twice over a restart.
use control_plane::{ControlNode, Record, Replica};
use kernel::prelude::*;

fn address(slot: u16) -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], 100 + slot))
}

/// Starts slot 0 of three, with a full disk.
fn start(replica: Replica) -> ControlNode {
    let seeds = (0..3).map(address).collect();
    ControlNode::new(address(0), seeds, replica, false, None, 1)
}

fn heartbeat() -> Input {
    let all_slots: SlotSet = (0..MAX_SLOTS as u8).collect();
    let heartbeat = Heartbeat {
        heard_slots: all_slots,
        mutual_contacts: all_slots,
        leader_candidates: SlotSet::default(),
        slot: 1,
        full: true,
        blank: false,
        membership_version: 0,
        ledger_closed_for: Duration::ZERO,
        lost_generation: 0,
        acknowledged_sessions: 0,
        sessions: None,
    };
    Input::MessageReceived {
        from: Peer::new(address(1), 11),
        message: heartbeat.into(),
    }
}

/// Returns the partition and epoch of each request for a promise to another node.
fn promise_requests(outputs: &[Output]) -> BTreeSet<(u8, u64)> {
    let request = |output: &Output| match output {
        Output::Send {
            to,
            message: Message::PrepareRequest(request),
        } if *to != address(0) => Some((request.partition, request.epoch)),
        _ => None,
    };
    outputs.iter().filter_map(request).collect()
}

#[test]
fn prepare_is_sent_after_own_promise_is_synced() {
    let now = Duration::from_secs(1);
    let full = Replica {
        full: true,
        ..Replica::blank(1)
    };
    let mut control_node = start(full.clone());
    control_node.handle(now, heartbeat());
    let outputs = control_node.handle(now, Input::Tick);
    assert!(
        promise_requests(&outputs).is_empty(),
        "nothing is synced yet"
    );
    let mut replica = full;
    let mut last_serial = 0;
    for output in outputs {
        if let Output::Store { serial, record } = output {
            last_serial = serial;
            replica.apply(&bincode::deserialize::<Record>(&record).unwrap());
        }
    }
    let requested = promise_requests(&control_node.handle(
        now,
        Input::Stored {
            serial: last_serial,
        },
    ));
    assert!(
        !requested.is_empty(),
        "the node leads some partitions by weight"
    );

    // The process ends before any reply, and restarts with the synced records.
    let mut control_node = start(replica);
    control_node.handle(now, heartbeat());
    let outputs = control_node.handle(now, Input::Tick);
    let stored = outputs.iter().filter_map(|output| match output {
        Output::Store { serial, .. } => Some(*serial),
        _ => None,
    });
    let serial = stored.max().expect("promises are stored");
    let requested_after_restart =
        promise_requests(&control_node.handle(now, Input::Stored { serial }));
    for (partition, epoch) in requested_after_restart {
        let earlier = requested.iter().filter(|(other, _)| *other == partition);
        assert!(earlier.map(|(_, epoch)| *epoch).all(|known| known < epoch));
    }
}
