//! Simulated disks: what is written, and losses in the moment it is.
use crate::prelude::*;

impl World {
    pub(crate) fn store(&mut self, node: usize, serial: u64, image: bool, record: Vec<u8>) {
        let run = self.nodes[node].run;
        if self.nodes[node].disk.full {
            return self.step(node, Input::StoreFailed);
        }
        let took = self.sync_takes(node);
        let disk = &mut self.nodes[node].disk;
        disk.pending.push_back((serial, image, record));
        let unwritten = self.plan.founder == FounderEnd::Unwritten
            && self.founder_ends(node, FounderEnd::Unwritten);
        let disk = &mut self.nodes[node].disk;
        // One sync serves all that came while the one before was running.
        let done = (disk.busy_until.max(self.now) + took).max(disk.stalled_until);
        disk.busy_until = self.now + took;
        self.push(done, SimEvent::Synced { node, run, serial });
        if unwritten {
            self.after(
                Duration::ZERO,
                SimEvent::Fault(Fault::Kill(NodeId::Control(0))),
            );
        }
    }

    /// Whether the first seed ends now, having just written the table.
    pub(crate) fn founder_ends(&mut self, node: usize, end: FounderEnd) -> bool {
        if node != 0 || self.plan.founder != end || self.founder_ended {
            return false;
        }
        let disk = &self.nodes[0].disk;
        let record = if end == FounderEnd::Unwritten {
            disk.pending.back().map(|(_, _, record)| record)
        } else {
            disk.synced.last()
        };
        let table = record.is_some_and(|record| {
            matches!(bincode::deserialize(record), Ok(Record::Founding { .. }))
        });
        if table {
            self.founder_ended = true;
            self.after(
                Duration::from_secs(1),
                SimEvent::Fault(Fault::Start(NodeId::Control(0))),
            );
        }
        table
    }

    pub(crate) fn spring(&mut self, trigger: Trigger) {
        let Some((_, loss)) = self.armed_loss.take_if(|(known, _)| *known == trigger) else {
            return;
        };
        match loss {
            Loss::Power => {
                for node in 0..self.first_spare() {
                    self.kill(node);
                    self.after(
                        Duration::from_secs(3),
                        SimEvent::Fault(Fault::Start(self.nodes[node].place)),
                    );
                }
                self.after(Duration::from_secs(3), SimEvent::Fault(Fault::Returned));
            }
            Loss::Disk(slot) => {
                self.fault(Fault::Wipe(NodeId::Control(slot)));
                self.after(
                    Duration::from_secs(3),
                    SimEvent::Fault(Fault::Start(NodeId::Control(slot))),
                );
            }
            Loss::Disks(slot, count) => {
                for node in 0..self.nodes.len() {
                    let wiped = (0..count).any(|more| node == (slot + more) % self.plan.control);
                    let (place, ran) = (self.nodes[node].place, self.nodes[node].part.is_some());
                    if wiped {
                        self.fault(Fault::Wipe(place));
                    } else {
                        self.kill(node);
                    }
                    if wiped || ran || node < self.first_spare() {
                        self.after(Duration::from_secs(3), SimEvent::Fault(Fault::Start(place)));
                    }
                }
                self.after(Duration::from_secs(3), SimEvent::Fault(Fault::Returned));
            }
            Loss::DiskSpace(slot) => self.fault(Fault::DiskFull(NodeId::Control(slot))),
        }
    }
}
