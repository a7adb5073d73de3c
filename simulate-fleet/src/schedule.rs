//! Generates random fault schedules from a seed.
use crate::prelude::*;

/// Generator of a random fault schedule from a seed. Invariants:
/// - All faults are repaired 26 s before the end and none follows, because recovery is
///   checked in this quiet period.
/// - A disk is lost only after the previously lost one was refilled (`DISK_REFILL_MS`
///   later). The exception is a seed that loses most disks at once; it loses no other.
/// - A standby takes over the slot of an absent node, which loses that node's disk too. A run
///   with a standby therefore has either disk losses or the faults of `schedule_core`,
///   never both.
/// - Every fifth seed contains only planned actions of operators and the platform.
pub struct Schedule {
    pub(super) random: SeededRandom,
    list: Vec<(Duration, Fault)>,
    pub(super) control: u64,
    pub(super) edges: u64,
    pub(super) origins: u64,
    pub(super) services: u64,
    /// Origins that were drained or whose address was reused.
    drained_origins: BTreeSet<usize>,
    /// Earliest time of the next disk loss, in milliseconds.
    pub(super) next_disk_loss: u64,
    /// Time of the repair, in milliseconds.
    pub(super) end: u64,
    /// True if this run loses a majority of disks: the edges must survive.
    pub(super) loses_disk_majority: bool,
    /// True if this run starts the standby, an empty control node.
    pub(super) has_standby: bool,
}

/// Minimum milliseconds between disk losses. A blank disk is refilled in much less once
/// both other members are up.
pub(super) const DISK_REFILL_MS: u64 = 14_000;
/// Percentage of faults that are drawn from `schedule_core`.
const CORE_FAULT_PERCENT: u64 = 40;
/// Milliseconds from the repair to the end of the run.
const QUIET_TAIL_MS: u64 = 26_000;

impl Schedule {
    /// Generates the schedule for a fleet with this number of control nodes.
    pub fn random(
        deployment: &Deployment,
        control: usize,
        seed: u64,
        span: Duration,
    ) -> Vec<(Duration, Fault)> {
        let mut schedule = Schedule {
            random: SeededRandom::new(seed ^ 0x5EED),
            list: Vec::new(),
            control: control as u64,
            edges: deployment.edges as u64,
            origins: deployment
                .services
                .iter()
                .map(|service| service.origins as u64)
                .sum(),
            services: deployment.services.len() as u64,
            drained_origins: BTreeSet::new(),
            next_disk_loss: 0,
            loses_disk_majority: false,
            has_standby: false,
            end: (span.as_millis() as u64)
                .saturating_sub(QUIET_TAIL_MS)
                .max(8_000),
        };
        let planned = seed.is_multiple_of(5);
        // In some runs an empty standby can take over a lost slot.
        schedule.has_standby = !planned && schedule.random.chance(40);
        let has_core_faults = !schedule.has_standby || schedule.random.chance(50);
        if schedule.has_standby && has_core_faults {
            schedule.next_disk_loss = u64::MAX;
        }
        if schedule.has_standby {
            schedule.add(5_000, Fault::Start(NodeId::Control(control)));
        }
        if !planned && schedule.random.chance(12) {
            schedule.lose_most_disks();
        }
        // Founding by gathering the members takes longer.
        let mut at = if control == 3 { 6_000 } else { 9_000 };
        while at < schedule.end - 1_000 {
            if planned {
                schedule.draw_planned_change(at)
            } else if has_core_faults && schedule.random.chance(CORE_FAULT_PERCENT) {
                schedule.draw_core_fault(at)
            } else {
                schedule.draw_fault(at)
            }
            at += 300 + schedule.random.below(2_500);
        }
        schedule.repair_all();
        let mut list = schedule.list;
        list.sort_by_key(|(at, _)| *at);
        list
    }

    /// Maximum number of disks that may be lost at once.
    pub fn max_disk_losses(control: usize) -> usize {
        if control < 5 { 1 } else { 2 }
    }

    /// Adds a fault at a time in milliseconds, at the latest at the repair.
    pub(super) fn add(&mut self, at: u64, fault: Fault) {
        self.list
            .push((Duration::from_millis(at.min(self.end)), fault));
    }

    /// Adds a fault and, 0.5 to 5.5 s later, a second one.
    pub(super) fn add_pair(&mut self, at: u64, first: Fault, second: Fault) {
        let later = self.later_time(at);
        self.add(at, first);
        self.add(later, second);
    }

    /// Random time 0.5 to 5.5 s later, at the latest at the repair.
    pub(super) fn later_time(&mut self, at: u64) -> u64 {
        (at + 500 + self.random.below(5_000)).min(self.end)
    }

    pub(super) fn random_edge(&mut self) -> NodeId {
        NodeId::Edge(self.random.below(self.edges) as usize)
    }

    pub(super) fn random_control_node(&mut self) -> NodeId {
        NodeId::Control(self.random.below(self.control) as usize)
    }

    pub(super) fn random_node(&mut self) -> NodeId {
        if self.random.chance(50) {
            self.random_edge()
        } else {
            self.random_control_node()
        }
    }

    /// Draws a planned action of operators or the platform.
    fn draw_planned_change(&mut self, at: u64) {
        match self.random.below(11) {
            0 | 1 => {
                // Only one machine restarts at a time.
                let node_id = self.random_node();
                if self.list.iter().all(|(known, fault)| {
                    !matches!(fault, Fault::Restart(_)) || known.as_millis() as u64 + 9_000 < at
                }) {
                    self.add(at, Fault::Restart(node_id));
                }
            }
            2 | 3 => {
                self.add(at, Fault::Content);
                self.add(at + 1, Fault::Purge("/".into()));
            }
            4 => (0..3 + self.random.below(60)).for_each(|index| {
                self.add(
                    at + index * 15,
                    Fault::Purge(format!("/listing/{}", index % 20)),
                )
            }),
            5 => self.add(at, Fault::Configure),
            // Several changes in quick succession.
            6 => (0..2 + self.random.below(6))
                .for_each(|index| self.add(at + index * 40, Fault::Configure)),
            7 => self.add_pair(at, Fault::ConfigureInvalid, Fault::ReadBack),
            8 => {
                let operators = 2 + self.random.below(4) as usize;
                self.add_pair(at, Fault::Race(operators), Fault::ReadBack);
            }
            9 => {
                let entries = 200 + self.random.below(1_500) as usize;
                self.add_pair(at, Fault::Grow(entries), Fault::ReadBack);
            }
            _ => {
                let origin = self.random.below(self.origins) as usize;
                // At least one origin of each service remains.
                if self.drained_origins.is_empty() && self.drained_origins.insert(origin) {
                    self.add(at, Fault::DrainOrigin(origin));
                    self.add(at + 4_000, Fault::Origin(origin, OriginBehavior::Down));
                }
            }
        }
    }

    /// Draws a fault of any kind or a planned action.
    fn draw_fault(&mut self, at: u64) {
        let (edge, control, node_id) = (
            self.random_edge(),
            self.random_control_node(),
            self.random_node(),
        );
        let origin = self.random.below(self.origins) as usize;
        let service = self.random.below(self.services) as usize;
        match self.random.below(if self.control == 3 { 31 } else { 35 }) {
            0 | 1 => self.add_pair(at, Fault::Kill(node_id), Fault::Start(node_id)),
            2 | 3 => {
                let span = Duration::from_millis(200 + self.random.below(4_000));
                self.add(at, Fault::Pause(node_id, span));
            }
            4 => self.add(at, Fault::Restart(node_id)),
            5 => self.add_pair(at, Fault::DropLink(node_id, control), Fault::Heal),
            6 => self.add_pair(at, Fault::DropLink(control, node_id), Fault::Heal),
            7 => self.add_pair(at, Fault::Isolate(node_id), Fault::Heal),
            8 => self.draw_lossy_network(at),
            9..=12 => self.draw_origin_fault(at, origin),
            13 => self.draw_service_fault(at, service),
            14 => self.add(at, Fault::Replace(origin)),
            // Replaces up to four origins, one after another.
            15 => (0..self.origins.min(4))
                .for_each(|index| self.add(at + index * 700, Fault::Replace(index as usize))),
            16 => self.reuse_address(at, origin),
            17 => self.draw_power_failure(at, control),
            18 if at >= self.next_disk_loss => {
                self.next_disk_loss = at + DISK_REFILL_MS;
                self.add_pair(at, Fault::Wipe(control), Fault::Start(control));
            }
            19 => self.split_core(at, control, node_id),
            20 => self.split_core_and_edges(at),
            21 if at >= self.next_disk_loss => self.fill_disk(at, control),
            22 | 23 => self.draw_loss_on_trigger(at),
            31..=33 if at >= self.next_disk_loss => self.draw_disk_losses_on_trigger(at),
            // The slot's node is absent for longer than an empty node needs to take over the slot.
            34 => {
                self.add(at, Fault::Start(NodeId::Control(self.control as usize)));
                self.add(at, Fault::Kill(control));
                self.add(at + 9_000, Fault::Start(control));
            }
            24 => self.add_pair(at, Fault::Kill(edge), Fault::Start(edge)),
            _ => self.draw_planned_change(at),
        }
    }

    /// Loses, duplicates and delays messages for some seconds.
    fn draw_lossy_network(&mut self, at: u64) {
        let lossy_network = Fault::LossyNetwork {
            lost: self.random.below(20),
            doubled: self.random.below(20),
            late: self.random.below(30),
        };
        self.add_pair(
            at,
            lossy_network,
            Fault::LossyNetwork {
                lost: 0,
                doubled: 0,
                late: 0,
            },
        );
    }

    /// Makes one origin faulty for some seconds.
    fn draw_origin_fault(&mut self, at: u64, origin: usize) {
        let behavior = [
            OriginBehavior::Down,
            OriginBehavior::Mute,
            OriginBehavior::VerySlow,
            OriginBehavior::WrongBytes,
        ][self.random.below(4) as usize];
        self.add_pair(
            at,
            Fault::Origin(origin, behavior),
            Fault::Origin(origin, OriginBehavior::Good),
        );
    }

    /// Makes all origins of a service faulty for some seconds.
    fn draw_service_fault(&mut self, at: u64, service: usize) {
        let behavior = [
            OriginBehavior::Slow,
            OriginBehavior::VerySlow,
            OriginBehavior::Mute,
            OriginBehavior::WrongBytes,
        ][self.random.below(4) as usize];
        self.add_pair(
            at,
            Fault::Service(service, behavior),
            Fault::Service(service, OriginBehavior::Good),
        );
    }

    /// Stops an origin and lets an origin of another service take its address.
    fn reuse_address(&mut self, at: u64, origin: usize) {
        if self.drained_origins.is_empty() {
            self.drained_origins.insert(origin);
            self.add(at, Fault::Origin(origin, OriginBehavior::Down));
            self.add(at + 300, Fault::ReuseAddress(origin));
            self.add(at + 301, Fault::Origin(origin, OriginBehavior::Good));
        }
    }

    /// Cuts the power of a random group of nodes at once.
    fn draw_power_failure(&mut self, at: u64, control: NodeId) {
        let later = self.later_time(at);
        let share = [30, 60, 100][self.random.below(3) as usize];
        for node_id in (0..self.control as usize)
            .map(NodeId::Control)
            .chain((0..self.edges as usize).map(NodeId::Edge))
        {
            if self.random.chance(share) {
                self.add(at, Fault::Kill(node_id));
                self.add(later, Fault::Start(node_id));
            }
        }
        self.add(later, Fault::Heal);
        // One node fails again while the others recover.
        if self.random.chance(50) {
            let repeat_at = later + 300 + self.random.below(2_000);
            self.add_pair(repeat_at, Fault::Kill(control), Fault::Start(control));
        }
    }

    /// Partitions the control nodes.
    fn split_core(&mut self, at: u64, control: NodeId, node_id: NodeId) {
        let other = self.random_control_node();
        let later = self.later_time(at);
        self.add(at, Fault::Isolate(control));
        self.add(at, Fault::DropLink(node_id, other));
        self.add(later, Fault::Heal);
    }

    /// Partitions the control nodes and lets each half of the edges reach one side only.
    fn split_core_and_edges(&mut self, at: u64) {
        let (first_slot, later) = (
            self.random.below(self.control) as usize,
            self.later_time(at),
        );
        for other in (0..self.control as usize).filter(|other| *other != first_slot) {
            self.add(
                at,
                Fault::DropLink(NodeId::Control(first_slot), NodeId::Control(other)),
            );
            self.add(
                at,
                Fault::DropLink(NodeId::Control(other), NodeId::Control(first_slot)),
            );
        }
        for edge in 0..self.edges as usize {
            for slot in 0..self.control as usize {
                if (slot == first_slot) == (edge % 2 == 0) {
                    self.add(
                        at,
                        Fault::DropLink(NodeId::Edge(edge), NodeId::Control(slot)),
                    );
                }
            }
        }
        self.add(later, Fault::Heal);
    }

    /// Fills a disk until its node is started again.
    fn fill_disk(&mut self, at: u64, control: NodeId) {
        self.next_disk_loss = at + DISK_REFILL_MS;
        let later = self.later_time(at);
        self.add(at, Fault::DiskFull(control));
        self.add(later, Fault::Kill(control));
        self.add(later + 500, Fault::Start(control));
    }

    /// Injects a loss at the moment of an acknowledgement.
    fn draw_loss_on_trigger(&mut self, at: u64) {
        let trigger = Trigger::ALL[self.random.below(3) as usize];
        let slot = self.random.below(self.control) as usize;
        let mut loss =
            [Loss::Power, Loss::Disk(slot), Loss::DiskSpace(slot)][self.random.below(3) as usize];
        if at < self.next_disk_loss {
            loss = Loss::Power;
        }
        if loss != Loss::Power {
            self.next_disk_loss = at + DISK_REFILL_MS;
        }
        self.add(at, Fault::LossOnTrigger(trigger, loss));
        self.add(
            at + 5,
            if trigger == Trigger::Purged {
                Fault::Purge("/".into())
            } else {
                Fault::Configure
            },
        );
        if let Loss::DiskSpace(slot) = loss {
            self.add(at + 4_000, Fault::Kill(NodeId::Control(slot)));
            self.add(at + 4_500, Fault::Start(NodeId::Control(slot)));
        }
    }

    /// Loses the maximum number of disks while all other nodes lose power.
    fn draw_disk_losses_on_trigger(&mut self, at: u64) {
        self.next_disk_loss = at + DISK_REFILL_MS;
        let (trigger, slot) = (
            Trigger::ALL[self.random.below(3) as usize],
            self.random.below(self.control) as usize,
        );
        self.add(
            at,
            Fault::LossOnTrigger(
                trigger,
                Loss::Disks(slot, Schedule::max_disk_losses(self.control as usize)),
            ),
        );
        self.add(
            at + 5,
            if trigger == Trigger::Purged {
                Fault::Purge("/".into())
            } else {
                Fault::Configure
            },
        );
    }

    /// Loses all control disks or all but one at once, sometimes with an edge. No other
    /// disk fault follows in this run.
    fn lose_most_disks(&mut self) {
        let at = 8_000 + self.random.below((self.end - 8_000) / 2);
        let surviving_slot = self.random.below(6) as usize;
        for slot in (0..self.control as usize).filter(|slot| *slot != surviving_slot) {
            self.add(at, Fault::Wipe(NodeId::Control(slot)));
            self.add(at + 2_000, Fault::Start(NodeId::Control(slot)));
        }
        if self.random.chance(40) {
            let edge = self.random_edge();
            let before = self.random.below(300);
            self.add(at - before, Fault::Kill(edge));
            self.add(at + 2_000, Fault::Start(edge));
        }
        self.next_disk_loss = u64::MAX;
        self.loses_disk_majority = true;
    }

    /// Repairs all faults and starts every node.
    fn repair_all(&mut self) {
        let at = self.end;
        self.end += 200;
        self.add(at, Fault::Heal);
        self.add(
            at,
            Fault::LossyNetwork {
                lost: 0,
                doubled: 0,
                late: 0,
            },
        );
        for origin in 0..self.origins as usize {
            self.add(at, Fault::Origin(origin, OriginBehavior::Good));
        }
        // A full disk rejects writes until its node is started again.
        let full_disks: Vec<NodeId> = self
            .list
            .iter()
            .filter_map(|(_, fault)| match fault {
                Fault::DiskFull(node_id) => Some(*node_id),
                Fault::LossOnTrigger(_, Loss::DiskSpace(slot)) => Some(NodeId::Control(*slot)),
                _ => None,
            })
            .collect();
        full_disks
            .into_iter()
            .for_each(|node_id| self.add(at, Fault::Kill(node_id)));
        let standby = self
            .has_standby
            .then_some(NodeId::Control(self.control as usize));
        for node_id in (0..self.control as usize)
            .map(NodeId::Control)
            .chain((0..self.edges as usize).map(NodeId::Edge))
            .chain(standby)
        {
            self.add(at + 100, Fault::Start(node_id));
        }
        self.add(at + 101, Fault::Returned);
    }
}
