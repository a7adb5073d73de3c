//! Membership changes with an additional loss at every step. A machine counts as lost until
//! `CATCH_UP_MS` after its own or its successor's start; from then on the next one may be lost.

use crate::prelude::*;
use crate::scenarios::{assert_served_more_than, check_rules, count, gathering_plan, run};

/// Value of the setting `catch_up_s`, in milliseconds.
const CATCH_UP_MS: u64 = 4_000;
/// Numbers of control nodes of the tested fleets.
const FLEET_SIZES: [usize; 4] = [3, 4, 5, 8];

/// Maximum number of machines that may be lost at once.
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

/// Time of the first `DiskRecovered` event of a node at or after `after`, in milliseconds.
fn disk_recovered_at(report: &Report, node_id: NodeId, after: u64) -> Option<u64> {
    let first = report.membership_events.iter().find(|(at, who, event)| {
        *event == Event::DiskRecovered && *who == node_id && at.as_millis() as u64 >= after
    });
    first.map(|(at, _, _)| at.as_millis() as u64)
}

/// Checks that no rule is violated, that all expected configurations were acknowledged, and that
/// clients were served within the period.
fn check_after_loss(report: &Report, context: &str, from: f64, to: f64, configured: usize) {
    check_rules(report, &[6]);
    assert_eq!(count(report, "configured"), configured, "{context}");
    assert_served_more_than(0.98, report, from, to, context);
}

/// A machine is lost permanently and an empty one starts 1 s later. After the catch-up time the
/// maximum number of further machines is lost permanently.
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

/// Two machines of five or eight are lost at the same time. They are replaced one after the
/// other, and then two more are lost.
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

/// Planned replacement: the new machine starts first, then the old one receives SIGTERM. The
/// old one counts as lost only until its successor has caught up.
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

/// The new machine has caught up before SIGTERM, so the leaving one never counts as lost. Others
/// are isolated or killed around the same time: state held by the leaving machine must not be
/// lost with it.
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
                        // Client service is checked before the heal; operators may use any node.
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
                    // A command in progress at a killed machine gets no response.
                    let unknown = count(&report, "configure-unknown");
                    assert!(unknown <= 1, "{context}");
                    check_after_loss(&report, &context, 15.0, 18.0, 3 - unknown);
                    let last = report
                        .checker
                        .fleet
                        .iter()
                        .rfind(|record| record.kind == "configured");
                    assert!(last.is_some_and(|record| record.at > 18.4), "{context}");
                }
            }
        }
    }
}

/// A member that is only restarted keeps its slot and returns without a replacement.
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

/// Two control nodes are replaced in immediate succession, followed by further losses.
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

/// The new machine is lost at each step of the takeover, and another one replaces it.
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

/// The replaced machine was partitioned, not lost: it keeps its disk and returns when its slot
/// has a new holder. It must then wait as an empty node and take the slot of the next machine
/// that leaves.
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
            let context = format!("{control} slots, {slot} partitioned");
            let full = disk_recovered_at(&report, partitioned, 15_000);
            assert!(full.is_some_and(|at| at < 20_000), "{context}: {full:?}");
            check_after_loss(&report, &context, 25.0, 34.0, 3);
            assert_eq!(
                report.event_counts.get(&Event::MemberRemoved),
                Some(&2),
                "{context}: the partitioned member and the leaving one"
            );
        }
    }
}

/// A disk is wiped right after an acknowledgement, at several times after the new machine of a
/// replacement has caught up. No acknowledged data may be lost.
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

/// Loss scenario: name, node whose disk must recover, time of the loss, start of the replacement
/// (both in milliseconds), and faults. `reduced_redundancy_is_bounded_by_catch_up` measures the
/// time until each slot has a full disk again; with `--nocapture` it prints the lines of
/// the table in `docs/figures.md`.
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
