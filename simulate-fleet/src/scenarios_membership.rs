//! Changes of membership, with a further loss at every step of them. A machine
//! counts as lost until `CATCH_UP` after its own or its successor's start; from
//! then on the next one may go.

use crate::prelude::*;
use crate::scenarios::{check_rules, count, gathering_plan, run, served_share_within};

/// The users' `catch_up_s`, in milliseconds.
const CATCH_UP_MS: u64 = 4_000;
const FLEET_SIZES: [usize; 4] = [3, 4, 5, 8];

/// Machines that may be lost at once.
fn max_losses(control: usize) -> usize {
    if control < 5 { 1 } else { 2 }
}

fn spare(control: usize, number: usize) -> NodeId {
    NodeId::Control(control + number)
}

fn fleet(control: usize, seed: u64, span: u64, faults: Vec<(u64, Fault)>) -> WorldPlan {
    WorldPlan {
        spares: 3,
        ..gathering_plan(control, seed, span, faults)
    }
}

/// When a node's disk first counted after this moment, in milliseconds.
fn disk_recovered_at(report: &Report, node_id: NodeId, after: u64) -> Option<u64> {
    let first = report.membership_events.iter().find(|(at, who, event)| {
        *event == Event::DiskRecovered && *who == node_id && at.as_millis() as u64 >= after
    });
    first.map(|(at, _, _)| at.as_millis() as u64)
}

/// No never is broken, every change and read after the last loss is answered,
/// and callers are served.
fn check_after_loss(report: &Report, context: &str, from: f64, to: f64, configured: usize) {
    check_rules(report, &[6]);
    assert_eq!(count(report, "configured"), configured, "{context}");
    let served_share = served_share_within(report, from, to);
    assert!(served_share > 0.98, "{context}: {served_share} served");
}

/// A machine is gone for good and an empty one starts a second later; once
/// that has had its time, as many more as may be lost go for good.
#[test]
fn unplanned_replacement_leaves_majority_for_next_loss() {
    for control in FLEET_SIZES {
        for lost in 0..3 {
            let start = 9_000;
            let next = start + CATCH_UP_MS;
            let mut faults = vec![
                (8_000, Fault::Kill(NodeId::Control(lost))),
                (start, Fault::Start(spare(control, 0))),
                (14_000, Fault::Configure),
                (22_000, Fault::ReadBack),
            ];
            for more in 1..=max_losses(control) {
                faults.push((next, Fault::Kill(NodeId::Control((lost + more) % control))));
            }
            let report = run(fleet(control, lost as u64 + 1, 30, faults));
            let context = format!("{control} slots, {lost} lost");
            let full = disk_recovered_at(&report, spare(control, 0), start);
            assert!(
                full.is_some_and(|at| at < next),
                "{context}: full at {full:?}"
            );
            check_after_loss(&report, &context, 17.0, 29.0, 2);
        }
    }
}

/// Of five and eight, two machines go at the same moment: one after the other
/// is replaced, and two more may go.
#[test]
fn two_lost_members_are_replaced_in_sequence() {
    for control in [5, 8] {
        for lost in [0, 2] {
            let (start, second) = (9_000, lost + 1);
            let next = start + CATCH_UP_MS;
            let report = run(fleet(
                control,
                lost as u64 + 1,
                30,
                vec![
                    (8_000, Fault::Kill(NodeId::Control(lost))),
                    (8_000, Fault::Kill(NodeId::Control(second))),
                    (start, Fault::Start(spare(control, 0))),
                    (start, Fault::Start(spare(control, 1))),
                    (next, Fault::Kill(NodeId::Control((lost + 2) % control))),
                    (next, Fault::Kill(NodeId::Control((lost + 3) % control))),
                    (14_000, Fault::Configure),
                    (22_000, Fault::ReadBack),
                ],
            ));
            let context = format!("{control} slots, {lost} and {second} lost");
            for number in 0..2 {
                let full = disk_recovered_at(&report, spare(control, number), start);
                assert!(
                    full.is_some_and(|at| at < next),
                    "{context}: full at {full:?}"
                );
            }
            check_after_loss(&report, &context, 17.0, 29.0, 2);
        }
    }
}

/// Planned: the new machine first, then SIGTERM. The leaving one counts as
/// lost no longer than until its successor has had its time.
#[test]
fn draining_member_hands_slot_to_newcomer() {
    for control in FLEET_SIZES {
        for leaving in 0..3 {
            let (start, shutdown_at) = (8_000, 10_000);
            let next = start + CATCH_UP_MS;
            let mut faults = vec![
                (start, Fault::Start(spare(control, 0))),
                (shutdown_at, Fault::Retire(NodeId::Control(leaving))),
                (13_500, Fault::Configure),
                (22_000, Fault::ReadBack),
            ];
            for more in 1..=max_losses(control) {
                faults.push((
                    next,
                    Fault::Kill(NodeId::Control((leaving + more) % control)),
                ));
            }
            let report = run(fleet(control, leaving as u64 + 1, 30, faults));
            let context = format!("{control} slots, {leaving} leaving");
            let full = disk_recovered_at(&report, spare(control, 0), start);
            assert!(
                full.is_some_and(|at| at < shutdown_at + 1_500),
                "{context}: full at {full:?}"
            );
            check_after_loss(&report, &context, 17.0, 29.0, 2);
        }
    }
}

/// The newcomer has had its time before SIGTERM comes, so the leaving machine
/// never counts as lost, and others are lost (cut off or killed) around that
/// very moment: what the leaving one holds must not go with it.
#[test]
fn draining_member_hands_over_at_maximum_loss() {
    for control in FLEET_SIZES {
        for (seed, shift) in [0, 100, 300, 700, 1_500].into_iter().enumerate() {
            for early in [false, true] {
                for partitioned in [false, true] {
                    let (start, shutdown_at) = (8_000, 8_000 + CATCH_UP_MS);
                    let at = if early {
                        shutdown_at - shift
                    } else {
                        shutdown_at + shift
                    };
                    let leaving = seed % 3;
                    let mut faults = vec![
                        (start, Fault::Start(spare(control, 0))),
                        (shutdown_at - 20, Fault::Configure),
                        (shutdown_at, Fault::Retire(NodeId::Control(leaving))),
                        // Callers were served before it; operators ask any node.
                        (18_200, Fault::Heal),
                        (18_500, Fault::Configure),
                        (24_000, Fault::ReadBack),
                    ];
                    for more in 1..=max_losses(control) {
                        let other = NodeId::Control((leaving + more) % control);
                        let loss = if partitioned {
                            Fault::Isolate(other)
                        } else {
                            Fault::Kill(other)
                        };
                        faults.push((at, loss));
                    }
                    let report = run(fleet(control, seed as u64 + 1, 30, faults));
                    let context =
                        format!("{control} slots, {leaving} leaving, others lost at {at}");
                    // An order under way at a machine that is killed is not answered.
                    let unknown = count(&report, "configure-unknown");
                    assert!(unknown <= 1, "{context}");
                    check_after_loss(&report, &context, 15.0, 18.0, 3 - unknown);
                    let last = report
                        .checker
                        .fleet
                        .iter()
                        .rfind(|record| record.what == "configured");
                    assert!(last.is_some_and(|record| record.at > 18.4), "{context}");
                }
            }
        }
    }
}

/// One that is only restarted keeps its slot, and is back as soon as ever.
#[test]
fn restarted_member_keeps_its_slot() {
    for control in FLEET_SIZES {
        let faults = (0..control)
            .map(|slot| {
                let at = 8_000 + slot as u64 * 3_000;
                (at, Fault::Restart(NodeId::Control(slot)))
            })
            .chain([(34_000, Fault::Configure), (37_000, Fault::ReadBack)])
            .collect();
        let report = run(fleet(control, 1, 40, faults));
        check_after_loss(&report, &control.to_string(), 8.0, 39.0, 2);
        assert!(!report.event_counts.contains_key(&Event::MemberRemoved));
        let replaced = report
            .membership_events
            .iter()
            .filter(|(at, _, event)| {
                *event == Event::MemberReplaced && *at > Duration::from_secs(8)
            })
            .count();
        assert_eq!(replaced, 0, "{control} slots");
    }
}

/// Two machines of the core are replaced one right after the other.
#[test]
fn consecutive_planned_replacements_tolerate_next_loss() {
    for control in FLEET_SIZES {
        let mut faults = vec![
            (8_000, Fault::Start(spare(control, 0))),
            (9_000, Fault::Retire(NodeId::Control(0))),
            (9_500, Fault::Configure),
            (12_000, Fault::Start(spare(control, 1))),
            (13_000, Fault::Retire(NodeId::Control(1))),
            (13_200, Fault::Configure),
            (18_500, Fault::Configure),
            (22_000, Fault::ReadBack),
        ];
        for more in 0..max_losses(control) {
            faults.push((16_000, Fault::Kill(NodeId::Control(control - 1 - more))));
        }
        let report = run(fleet(control, 3, 30, faults));
        check_after_loss(&report, &control.to_string(), 20.0, 29.0, 4);
    }
}

/// The newcomer is lost at each step of its taking over, and another one comes.
#[test]
fn newcomer_lost_at_any_step_is_replaced() {
    for control in FLEET_SIZES {
        for step in (0..1_500).step_by(150) {
            let leaving = NodeId::Control((step / 150) as usize % 3);
            let report = run(fleet(
                control,
                step + 1,
                30,
                vec![
                    (8_000, Fault::Start(spare(control, 0))),
                    (9_980, Fault::Configure),
                    (10_000, Fault::Retire(leaving)),
                    (10_010 + step, Fault::Wipe(spare(control, 0))),
                    (13_000, Fault::Start(spare(control, 1))),
                    (18_000, Fault::Configure),
                    (22_000, Fault::ReadBack),
                ],
            ));
            let context = format!("{control} slots, the newcomer lost after {step} ms");
            let full = disk_recovered_at(&report, spare(control, 1), 13_000);
            assert!(
                full.is_some_and(|at| at < 13_000 + CATCH_UP_MS),
                "{context}: full at {full:?}"
            );
            check_after_loss(&report, &context, 20.0, 29.0, 3);
        }
    }
}

/// The machine that is to be replaced is cut off, not dead: it keeps its disk
/// and comes back when its slot is another's. It then is an empty node that
/// waits, and takes the slot of the next that leaves.
#[test]
fn replaced_partitioned_member_returns_as_newcomer() {
    for control in FLEET_SIZES {
        for slot in 0..3 {
            let partitioned = NodeId::Control(slot);
            let leaving = NodeId::Control((slot + 1) % 3);
            let report = run(fleet(
                control,
                slot as u64 + 1,
                35,
                vec![
                    (8_000, Fault::Isolate(partitioned)),
                    (9_000, Fault::Start(spare(control, 0))),
                    (15_000, Fault::Heal),
                    (16_000, Fault::Configure),
                    (18_000, Fault::Retire(leaving)),
                    (21_000, Fault::Kill(NodeId::Control((slot + 2) % 3))),
                    (23_000, Fault::Configure),
                    (27_000, Fault::ReadBack),
                ],
            ));
            let context = format!("{control} slots, {slot} cut off");
            let full = disk_recovered_at(&report, partitioned, 15_000);
            assert!(full.is_some_and(|at| at < 20_000), "{context}: {full:?}");
            check_after_loss(&report, &context, 25.0, 34.0, 3);
            assert_eq!(
                report.event_counts.get(&Event::MemberRemoved),
                Some(&2),
                "{context}: the one cut off and the one that left"
            );
        }
    }
}

/// Right after an acknowledgement a disk is wiped, at every moment of a
/// replacement from when the newcomer has had its time: nothing is missing.
#[test]
fn disk_wiped_after_replacement_loses_nothing() {
    for control in FLEET_SIZES {
        for planned in [false, true] {
            for (seed, more) in [0, 200, 600, 1_200].into_iter().enumerate() {
                let leaving = seed % 3;
                let end = if planned {
                    Fault::Retire(NodeId::Control(leaving))
                } else {
                    Fault::Kill(NodeId::Control(leaving))
                };
                let first = (leaving + 1) % control;
                let report = run(fleet(
                    control,
                    seed as u64 + 1,
                    40,
                    vec![
                        (8_000, Fault::Start(spare(control, 0))),
                        (9_000, end),
                        (
                            8_000 + CATCH_UP_MS + more,
                            Fault::LossOnTrigger(
                                Trigger::Configured,
                                Loss::Disks(first, max_losses(control)),
                            ),
                        ),
                        (8_010 + CATCH_UP_MS + more, Fault::Configure),
                        (24_000, Fault::ReadBack),
                        (26_000, Fault::Configure),
                    ],
                ));
                let context = format!("{control} slots, planned: {planned}, {more} ms later");
                check_rules(&report, &[1, 12]);
                assert_eq!(count(&report, "read-back"), 1, "{context}");
                assert_eq!(count(&report, "configured"), 3, "{context}");
                assert_eq!(
                    report.event_counts.get(&Event::GenerationFounded),
                    Some(&1),
                    "{context}"
                );
            }
        }
    }
}

/// From a loss until each slot has a full disk again, by kind of loss; with
/// `--nocapture` the lines of the table in docs/figures.md.
/// Its name, whose disk is to be full again, when it is lost and when what
/// replaces it starts (both in ms), and what happens.
type LossCase = (&'static str, NodeId, u64, u64, [(u64, Fault); 2]);

#[test]
fn reduced_redundancy_is_bounded_by_catch_up() {
    let lost = NodeId::Control(1);
    for control in FLEET_SIZES {
        let new = spare(control, 0);
        let cases: [LossCase; 5] = [
            (
                "a disk wiped, back after 1 s",
                lost,
                10_000,
                11_000,
                [(10_000, Fault::Wipe(lost)), (11_000, Fault::Start(lost))],
            ),
            (
                "gone for good, an empty one 1 s later",
                new,
                10_000,
                11_000,
                [(10_000, Fault::Kill(lost)), (11_000, Fault::Start(new))],
            ),
            (
                "gone for good, an empty one at once",
                new,
                10_000,
                10_000,
                [(10_000, Fault::Kill(lost)), (10_000, Fault::Start(new))],
            ),
            (
                "planned: an empty one, SIGTERM 1 s later",
                new,
                10_000,
                9_000,
                [(9_000, Fault::Start(new)), (10_000, Fault::Retire(lost))],
            ),
            (
                "cut off while an empty one waits",
                new,
                10_000,
                9_000,
                [(9_000, Fault::Start(new)), (10_000, Fault::Isolate(lost))],
            ),
        ];
        for (name, node_id, loss, start, faults) in cases {
            let mut spans = Vec::new();
            for seed in 1..=8 {
                let report = run(fleet(control, seed, 20, faults.to_vec()));
                check_rules(&report, &[]);
                let full = disk_recovered_at(&report, node_id, loss).expect(name);
                assert!(
                    full < loss.max(start) + CATCH_UP_MS,
                    "{control} {name}: {full}"
                );
                spans.push(full - loss);
            }
            spans.sort_unstable();
            println!("| {control} | {name} | {} | {} |", spans[4], spans[7]);
        }
    }
}
