//! Which answers fill a blank disk.
use control_plane::prelude::*;
use std::net::SocketAddr;

/// The life of the blank disk in slot 0, and that of the disk before it.
const INCARNATION: u64 = 7;
const EARLIER: u64 = 6;

fn address(slot: u16) -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], 100 + slot))
}

/// All outputs of an input; what is stored is synced at once.
fn step(part: &mut ControlNode, ms: u64, input: Input) -> Vec<Output> {
    let mut inputs = VecDeque::from([input]);
    let mut all = Vec::new();
    while let Some(input) = inputs.pop_front() {
        for output in part.handle(Duration::from_millis(ms), input) {
            if let Output::Store { serial, .. } | Output::StoreSnapshot { serial, .. } = &output {
                inputs.push_back(Input::Stored { serial: *serial });
            }
            all.push(output);
        }
    }
    all
}

/// Both others answer, to the disk of this life. True if the disk is full now.
fn both_answer(part: &mut ControlNode, ms: u64, asker: u64, round: u8) -> bool {
    let mut refilled = false;
    for slot in [1, 2] {
        let reply = SnapshotReply {
            slot: slot as u8,
            requester_incarnation: asker,
            round,
            full: true,
            lost_generation: 0,
            membership_version: 0,
            partitions: Replica::blank(1).copy_out(),
        };
        let input = Input::MessageReceived {
            from: Peer::new(address(slot), 50 + u64::from(slot)),
            message: reply.into(),
        };
        refilled |= step(part, ms, input).iter().any(|output| {
            matches!(
                output,
                Output::Log {
                    event: Event::DiskRefilled,
                    ..
                }
            )
        });
    }
    refilled
}

#[test]
fn what_was_told_to_an_earlier_disk_of_the_slot_does_not_fill_this_one() {
    let seeds = (0..3).map(address).collect();
    let mut part = ControlNode::new(
        address(0),
        seeds,
        Replica::blank(INCARNATION),
        false,
        None,
        1,
    );
    step(&mut part, 0, Input::Tick);
    assert!(!both_answer(&mut part, 10, EARLIER, 0));
    assert!(!both_answer(&mut part, 20, EARLIER, 1));
    assert!(!both_answer(&mut part, 30, INCARNATION, 0));
    assert!(
        !both_answer(&mut part, 40, EARLIER, 1),
        "late to the earlier"
    );
    assert!(both_answer(&mut part, 50, INCARNATION, 1));
}
