//! Tests of the replies that a blank disk accepts for its recovery.
use control_plane::prelude::*;
use std::net::SocketAddr;

/// Incarnation of the blank disk in slot 0.
const INCARNATION: u64 = 7;
/// Incarnation of the earlier disk in slot 0.
const EARLIER_INCARNATION: u64 = 6;

fn address(slot: u16) -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], 100 + slot))
}

/// Returns all outputs of an input; stored records are synced at once.
fn step(control_node: &mut ControlNode, ms: u64, input: Input) -> Vec<Output> {
    let mut inputs = VecDeque::from([input]);
    let mut outputs = Vec::new();
    while let Some(input) = inputs.pop_front() {
        for output in control_node.handle(Duration::from_millis(ms), input) {
            if let Output::Store { serial, .. } | Output::StoreSnapshot { serial, .. } = &output {
                inputs.push_back(Input::Stored { serial: *serial });
            }
            outputs.push(output);
        }
    }
    outputs
}

/// Delivers replies of both other slots, addressed to the disk of this incarnation. Returns true if the disk was
/// recovered.
fn deliver_both_replies(
    control_node: &mut ControlNode,
    ms: u64,
    requester: u64,
    round: u8,
) -> bool {
    let mut recovered = false;
    for slot in [1, 2] {
        let reply = SnapshotReply {
            slot: slot as u8,
            requester_incarnation: requester,
            round,
            full: true,
            lost_generation: 0,
            membership_version: 0,
            partitions: Replica::blank(1).snapshot(),
        };
        let input = Input::MessageReceived {
            from: Peer::new(address(slot), 50 + u64::from(slot)),
            message: reply.into(),
        };
        recovered |= step(control_node, ms, input).iter().any(|output| {
            matches!(
                output,
                Output::Log {
                    event: Event::DiskRecovered,
                    ..
                }
            )
        });
    }
    recovered
}

#[test]
fn snapshot_reply_to_earlier_incarnation_is_ignored() {
    let seeds = (0..3).map(address).collect();
    let mut control_node = ControlNode::new(
        address(0),
        seeds,
        Replica::blank(INCARNATION),
        false,
        None,
        1,
    );
    step(&mut control_node, 0, Input::Tick);
    assert!(!deliver_both_replies(
        &mut control_node,
        10,
        EARLIER_INCARNATION,
        0
    ));
    assert!(!deliver_both_replies(
        &mut control_node,
        20,
        EARLIER_INCARNATION,
        1
    ));
    assert!(!deliver_both_replies(&mut control_node, 30, INCARNATION, 0));
    assert!(
        !deliver_both_replies(&mut control_node, 40, EARLIER_INCARNATION, 1),
        "a late reply to the earlier disk"
    );
    assert!(deliver_both_replies(&mut control_node, 50, INCARNATION, 1));
}
