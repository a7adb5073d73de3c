//! Simulated disks: writes, syncs, and losses triggered by acknowledgements.
use crate::prelude::*;

impl World {
    /// Queues a record for the next disk sync of a node.
    pub(crate) fn store(&mut self, node: usize, serial: u64, is_snapshot: bool, record: Vec<u8>) {
        let run = self.nodes[node].run;
        if self.nodes[node].disk.full {
            return self.step(node, Input::StoreFailed);
        }
        let took = self.sync_duration(node);
        let disk = &mut self.nodes[node].disk;
        disk.pending.push_back((serial, is_snapshot, record));
        let crash_before_sync = self.plan.founder_crash == FounderCrash::BeforeSync
            && self.founder_crash_due(node, FounderCrash::BeforeSync);
        let disk = &mut self.nodes[node].disk;
        // One sync covers all records written while the previous one was running.
        let synced_at = (disk.busy_until.max(self.now) + took).max(disk.stalled_until);
        disk.busy_until = self.now + took;
        self.push(synced_at, SimEvent::Synced { node, run, serial });
        if crash_before_sync {
            self.after(
                Duration::ZERO,
                SimEvent::FaultStarts(Fault::Kill(NodeId::Control(0))),
            );
        }
    }

    /// Returns true if the first seed crashes now, at this stage of writing the founding table;
    /// schedules its restart 1 s later.
    pub(crate) fn founder_crash_due(&mut self, node: usize, stage: FounderCrash) -> bool {
        if node != 0 || self.plan.founder_crash != stage || self.founder_crashed {
            return false;
        }
        let disk = &self.nodes[0].disk;
        let record = if stage == FounderCrash::BeforeSync {
            disk.pending.back().map(|(_, _, record)| record)
        } else {
            disk.synced.last()
        };
        let is_founding_record = record.is_some_and(|record| {
            matches!(bincode::deserialize(record), Ok(Record::Founding { .. }))
        });
        if is_founding_record {
            self.founder_crashed = true;
            self.after(
                Duration::from_secs(1),
                SimEvent::FaultStarts(Fault::Start(NodeId::Control(0))),
            );
        }
        is_founding_record
    }

    /// Injects the armed loss if it waits for this trigger.
    pub(crate) fn trigger_loss(&mut self, trigger: Trigger) {
        let Some((_, loss)) = self.armed_loss.take_if(|(known, _)| *known == trigger) else {
            return;
        };
        match loss {
            Loss::Power => {
                for node in 0..self.first_spare() {
                    self.kill(node);
                    self.after(
                        Duration::from_secs(3),
                        SimEvent::FaultStarts(Fault::Start(self.nodes[node].node_id)),
                    );
                }
                self.after(
                    Duration::from_secs(3),
                    SimEvent::FaultStarts(Fault::Returned),
                );
            }
            Loss::Disk(slot) => {
                self.inject_fault(Fault::Wipe(NodeId::Control(slot)));
                self.after(
                    Duration::from_secs(3),
                    SimEvent::FaultStarts(Fault::Start(NodeId::Control(slot))),
                );
            }
            Loss::Disks(slot, count) => {
                for node in 0..self.nodes.len() {
                    let wiped =
                        (0..count).any(|offset| node == (slot + offset) % self.plan.control_nodes);
                    let (node_id, was_running) = (
                        self.nodes[node].node_id,
                        self.nodes[node].state_machine.is_some(),
                    );
                    if wiped {
                        self.inject_fault(Fault::Wipe(node_id));
                    } else {
                        self.kill(node);
                    }
                    if wiped || was_running || node < self.first_spare() {
                        self.after(
                            Duration::from_secs(3),
                            SimEvent::FaultStarts(Fault::Start(node_id)),
                        );
                    }
                }
                self.after(
                    Duration::from_secs(3),
                    SimEvent::FaultStarts(Fault::Returned),
                );
            }
            Loss::DiskSpace(slot) => self.inject_fault(Fault::DiskFull(NodeId::Control(slot))),
        }
    }
}
