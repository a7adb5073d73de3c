//! Concurrent operators under one revision, and commands resent after lost responses, while
//! control nodes and their disks are lost.

use crate::prelude::*;

/// Virtual duration of a run.
const SPAN: Duration = Duration::from_secs(60);
/// Time at which all faults are repaired.
const REPAIR_AT: Duration = Duration::from_secs(40);
/// Time at which all commands are sent once more.
const RESEND_AT: Duration = Duration::from_secs(50);
/// Number of items that operators put.
const ITEM_COUNT: u64 = 3;
/// Milliseconds after which a blank disk is refilled and another one may be lost.
const DISK_REFILL_MS: u64 = 14_000;
/// Time of the permanent loss of a node in some runs, in milliseconds; a standby takes its slot.
const REPLACEMENT_AT_MS: u64 = 20_000;

fn at(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

/// Generator of a random plan: bursts of up to eight concurrent commands, two operators per
/// revision, and losses 1 to 400 ms after a burst.
struct Plan {
    random: SeededRandom,
    control: usize,
    commands: Vec<ItemCommand>,
    faults: Vec<(Duration, Fault)>,
    /// Earliest time of the next disk loss, in milliseconds.
    next_disk_loss: u64,
    /// Slot of the node that is lost permanently.
    replaced_slot: Option<usize>,
}

impl Plan {
    fn random(control: usize, seed: u64) -> WorldPlan {
        let mut plan = Plan {
            random: SeededRandom::new(seed ^ 0x0D3E),
            control,
            commands: Vec::new(),
            faults: Vec::new(),
            next_disk_loss: 0,
            replaced_slot: None,
        };
        if seed.is_multiple_of(3) {
            plan.add_replacement();
        }
        let mut time = 12_000;
        let mut revision = 1;
        while at(time) < REPAIR_AT {
            plan.add_burst(time, &mut revision);
            plan.add_loss(time);
            time += 3_000 + plan.random.below(3_000);
        }
        plan.repair_all();
        plan.resend_all();
        let deployment = Deployment::find("small").unwrap();
        WorldPlan {
            control_nodes: control,
            gather: control != 3,
            commands: plan.commands,
            ..WorldPlan::new(deployment, seed, SPAN, plan.faults)
        }
    }

    fn add_burst(&mut self, time: u64, revision: &mut u64) {
        for _ in 0..=self.random.below(3) {
            let name = format!("item-{}", self.random.below(ITEM_COUNT));
            // Some commands use an older revision after a newer one.
            let number = if self.random.chance(20) {
                revision.saturating_sub(2).max(1)
            } else {
                *revision
            };
            *revision += 1 + self.random.below(2);
            for operator in 0..2 {
                let command = ItemCommand {
                    at: at(time + self.random.below(5)),
                    node: self.random.below(self.control as u64) as usize,
                    name: name.clone(),
                    revision: number,
                    content: (number * 10) as u32 + operator * self.random.below(2) as u32,
                    operator_responses_lost: self.random.below(3) as u32,
                };
                self.commands.push(command);
            }
        }
    }

    fn add_loss(&mut self, time: u64) {
        let lost = at(time + 1 + self.random.below(400));
        let back = lost + at(500 + self.random.below(1_500));
        let nodes = self.remaining_nodes();
        let node_id = nodes[self.random.below(nodes.len() as u64) as usize];
        let disk = time >= self.next_disk_loss && self.replaced_slot.is_none();
        match self.random.below(6) {
            0 => {
                self.faults.push((lost, Fault::Kill(node_id)));
                self.faults.push((back, Fault::Start(node_id)));
            }
            1 if disk => {
                self.next_disk_loss = time + DISK_REFILL_MS;
                self.faults.push((lost, Fault::Wipe(node_id)));
                self.faults.push((back, Fault::Start(node_id)));
            }
            1 | 2 => self.faults.push((lost, Fault::Restart(node_id))),
            3 => {
                self.faults.push((lost, Fault::Isolate(node_id)));
                self.faults.push((back, Fault::Heal));
            }
            4 => self.faults.push((lost, Fault::Pause(node_id, back - lost))),
            _ => {
                for node in nodes {
                    self.faults.push((lost, Fault::Kill(node)));
                    self.faults.push((back, Fault::Start(node)));
                }
            }
        }
    }

    /// Loses one node permanently while commands are in progress; an empty standby takes its
    /// slot.
    fn add_replacement(&mut self) {
        let lost = self.random.below(self.control as u64) as usize;
        let standby = NodeId::Control(self.control);
        self.faults.push((at(8_000), Fault::Start(standby)));
        self.faults
            .push((at(REPLACEMENT_AT_MS), Fault::Kill(NodeId::Control(lost))));
        self.replaced_slot = Some(lost);
    }

    fn remaining_nodes(&self) -> Vec<NodeId> {
        let slots = (0..self.control).filter(|slot| Some(*slot) != self.replaced_slot);
        slots.map(NodeId::Control).collect()
    }

    fn repair_all(&mut self) {
        self.faults.push((REPAIR_AT, Fault::Heal));
        for node in self.remaining_nodes() {
            self.faults.push((REPAIR_AT, Fault::Start(node)));
        }
    }

    /// Repeats every command at another node, without lost responses.
    fn resend_all(&mut self) {
        for command in self.commands.clone() {
            self.commands.push(ItemCommand {
                at: RESEND_AT,
                node: command.node + 1,
                operator_responses_lost: 0,
                ..command
            });
        }
    }
}

fn run(plan: WorldPlan) -> Report {
    World::new(plan).run()
}

/// Contents of the commands of one revision, by result.
#[derive(Default)]
struct Revision {
    confirmed: BTreeSet<u32>,
    rejected: BTreeSet<u32>,
}

/// Checks that each revision was confirmed with one content, that no confirmed content was
/// rejected, and that each command has a final response.
fn check_item_commands(report: &Report, context: &str) -> (usize, usize) {
    let mut revisions: BTreeMap<(String, u64), Revision> = BTreeMap::new();
    for record in &report.commands {
        let command = &record.command;
        let revision = revisions
            .entry((command.name.clone(), command.revision))
            .or_default();
        match &record.outcome {
            Some(ChangeOutcome::Acknowledged { .. }) => revision.confirmed.insert(command.content),
            Some(ChangeOutcome::RevisionConflict(_)) => revision.rejected.insert(command.content),
            other => panic!(
                "{context}: {command:?} ends with {other:?} after {} attempts",
                record.attempts
            ),
        };
    }
    for (name, revision) in &revisions {
        assert_eq!(
            revision.confirmed.len(),
            1,
            "{context}: {name:?} {:?}",
            revision.confirmed
        );
        let both: Vec<&u32> = revision
            .confirmed
            .intersection(&revision.rejected)
            .collect();
        assert!(
            both.is_empty(),
            "{context}: {name:?} rejected and confirmed: {both:?}"
        );
    }
    let conflicts = revisions
        .values()
        .filter(|revision| !revision.rejected.is_empty());
    (revisions.len(), conflicts.count())
}

#[test]
fn revision_has_one_content_and_retry_is_acknowledged() {
    let (mut revisions, mut conflicts) = (0, 0);
    for control in [3, 4, 5] {
        for seed in 1..=8 {
            let context = format!("{control} control nodes, seed {seed}");
            let report = run(Plan::random(control, seed));
            let (all, rejected) = check_item_commands(&report, &context);
            revisions += all;
            conflicts += rejected;
        }
    }
    assert!(revisions > 100 && conflicts > 30, "{revisions} {conflicts}");
}
