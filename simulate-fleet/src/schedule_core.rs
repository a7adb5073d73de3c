//! Longer, combined and precisely timed faults of control nodes, operator commands and
//! origins.
use crate::prelude::*;
use crate::schedule::DISK_REFILL_MS;

/// Range of the delay from an operator command to the loss that follows it, in milliseconds.
const LOSS_DELAY_MS: (u64, u64) = (5, 400);
/// Maximum duration of a partition or of a pause of a control node, in milliseconds.
const MAX_SPAN_MS: u64 = 20_000;
/// Time within which a started node becomes a full member, in milliseconds.
const CATCH_UP_MS: u64 = 4_500;

impl Schedule {
    /// Draws one of the faults of this module.
    pub(super) fn draw_core_fault(&mut self, at: u64) {
        match self.random.below(15) {
            0..=2 => self.partition_member(at),
            3 => self.pause_member(at),
            4 => self.slow_process(at),
            5 | 6 => self.stall_or_slow_disk(at),
            7 => self.lose_operator_responses(at),
            8 => self.reorder_seeds(at),
            9 => self.lose_after_command(at),
            10 => self.reset_connections(at),
            11 => self.replace_member(at),
            12 => self.shut_down_while_busy(at),
            13 => self.degrade_origin(at),
            _ => self.lose_second_member(at),
        }
    }

    fn random_in_range(&mut self, (low, high): (u64, u64)) -> u64 {
        low + self.random.below(high - low)
    }

    /// Random duration within these bounds (in milliseconds) that ends before the repair.
    fn span(&mut self, at: u64, low: u64, high: u64) -> Duration {
        let max_span = self.end.saturating_sub(at + 100).max(1);
        Duration::from_millis(self.random_in_range((low, high)).min(max_span))
    }

    fn random_slot(&mut self) -> NodeId {
        self.random_control_node()
    }

    /// Adds one operator command of a random kind.
    fn add_operator_command(&mut self, at: u64) {
        match self.random.below(4) {
            0 => self.add(at, Fault::Configure),
            1 => self.add(at, Fault::Purge("/".into())),
            2 => self.add(at, Fault::Race(3)),
            _ => self.add(at, Fault::PutItem),
        }
    }

    /// Adds random operator commands within a period (in milliseconds) and a read-back at its end.
    fn add_operator_commands(&mut self, from: u64, span: u64, count: u64) {
        for _ in 0..count {
            let at = from + self.random.below(span);
            self.add_operator_command(at);
        }
        self.add(from + span, Fault::ReadBack);
    }

    /// Partitions a member for up to 20 s. It may be partitioned twice, together with
    /// another member, or with a restart or kill of a member meanwhile.
    fn partition_member(&mut self, at: u64) {
        let node_id = self.random_slot();
        let scope = PartitionScope::ALL[self.random.below(4) as usize];
        let span = self.span(at, 500, MAX_SPAN_MS);
        let span_ms = span.as_millis() as u64;
        self.add(at, Fault::Partition(node_id, scope, span));
        self.add_operator_commands(at + 100, span_ms, 4);
        if self.random.chance(40) {
            let other = if self.random.chance(50) {
                node_id
            } else {
                self.random_slot()
            };
            let restart = at + self.random.below(span_ms);
            if self.random.chance(50) {
                self.add(restart, Fault::Restart(other));
            } else {
                self.add_pair(restart, Fault::Kill(other), Fault::Start(other));
            }
        }
        if self.random.chance(25) {
            let (other, second_start) = (self.random_slot(), at + self.random.below(2_000));
            let scope = PartitionScope::ALL[self.random.below(4) as usize];
            let span = self.span(second_start, 500, MAX_SPAN_MS);
            self.add(second_start, Fault::Partition(other, scope, span));
        }
        if self.random.chance(30) {
            let repeat_at = at + span_ms + self.random.below(2_000);
            let span = self.span(repeat_at, 500, MAX_SPAN_MS);
            self.add(repeat_at, Fault::Partition(node_id, scope, span));
        }
    }

    fn pause_member(&mut self, at: u64) {
        let node_id = self.random_slot();
        let span = self.span(at, 3_000, MAX_SPAN_MS);
        self.add(at, Fault::Pause(node_id, span));
        self.add_operator_commands(at + 50, span.as_millis() as u64, 3);
    }

    fn slow_process(&mut self, at: u64) {
        let node_id = self.random_node();
        let span = self.span(at, 1_000, 8_000);
        self.add(at, Fault::Slow(node_id, span));
        self.add_operator_commands(at + 50, span.as_millis() as u64, 2);
    }

    /// Stalls a disk or slows it down; its node may be killed meanwhile.
    fn stall_or_slow_disk(&mut self, at: u64) {
        let node_id = self.random_slot();
        let span = self.span(at, 500, 10_000);
        let fault = if self.random.chance(50) {
            Fault::StallDisk(node_id, span)
        } else {
            Fault::SlowDisk(node_id, span)
        };
        self.add(at, fault);
        let span_ms = span.as_millis() as u64;
        self.add_operator_commands(at + 5, span_ms, 3);
        if self.random.chance(40) {
            let kill_at = at + self.random.below(span_ms);
            self.add_pair(kill_at, Fault::Kill(node_id), Fault::Start(node_id));
        }
    }

    /// Drops responses to operators; a member may restart or be killed meanwhile.
    fn lose_operator_responses(&mut self, at: u64) {
        let span = self.span(at, 2_000, 8_000);
        let span_ms = span.as_millis() as u64;
        self.add(at, Fault::LoseOperatorResponses(span));
        self.add_operator_commands(at + 5, span_ms, 4);
        let node_id = self.random_slot();
        let lost = at + self.random_in_range(LOSS_DELAY_MS);
        match self.random.below(3) {
            0 => self.add_pair(lost, Fault::Kill(node_id), Fault::Start(node_id)),
            1 => self.add(lost, Fault::Restart(node_id)),
            _ => {}
        }
    }

    fn reorder_seeds(&mut self, at: u64) {
        self.add(at, Fault::ReorderSeeds);
        let node_id = self.random_node();
        self.add_pair(at + 10, Fault::Kill(node_id), Fault::Start(node_id));
    }

    /// Injects a loss shortly after an operator command.
    fn lose_after_command(&mut self, at: u64) {
        self.add_operator_command(at);
        let lost = at + self.random_in_range(LOSS_DELAY_MS);
        let node_id = self.random_slot();
        match self.random.below(4) {
            0 => self.add_pair(lost, Fault::Kill(node_id), Fault::Start(node_id)),
            1 if at >= self.next_disk_loss => {
                self.next_disk_loss = at + DISK_REFILL_MS;
                self.add_pair(lost, Fault::Wipe(node_id), Fault::Start(node_id));
            }
            2 => self.kill_processes(lost, self.control, 0),
            _ if self.loses_disk_majority => {}
            _ => self.kill_processes(lost, self.control, self.edges),
        }
        self.add(lost + 6_000, Fault::ReadBack);
    }

    /// Kills this number of control nodes and edges and starts them again within seconds.
    fn kill_processes(&mut self, at: u64, control: u64, edges: u64) {
        let restart_at = at + 300 + self.random.below(3_000);
        let control = (0..control as usize).map(NodeId::Control);
        let edges = (0..edges as usize).map(NodeId::Edge);
        for node_id in control.chain(edges) {
            self.add(at, Fault::Kill(node_id));
            self.add(restart_at, Fault::Start(node_id));
        }
    }

    fn reset_connections(&mut self, at: u64) {
        let (one, other) = (self.random_slot(), self.random_node());
        if one == other {
            return;
        }
        self.add_operator_command(at);
        for index in 0..1 + self.random.below(6) {
            self.add(at + index * 7, Fault::Reset(one, other));
        }
    }

    /// Replaces a member. In a planned replacement the new node starts before the old one
    /// retires, in an unplanned one after the old one was killed. The old one may return.
    fn replace_member(&mut self, at: u64) {
        if at < self.next_disk_loss && !self.has_standby {
            return;
        }
        self.next_disk_loss = u64::MAX;
        let (old, new) = (self.random_slot(), NodeId::Control(self.control as usize));
        self.has_standby = true;
        let later = at + 500 + self.random.below(6_000);
        if self.random.chance(50) {
            self.add(at, Fault::Start(new));
            self.add(later, Fault::Retire(old));
        } else {
            self.add(at, Fault::Kill(old));
            self.add(later, Fault::Start(new));
        }
        self.add_operator_commands(at + 10, later - at + 6_000, 4);
        if self.random.chance(50) {
            let restart_at = later + 1_000 + self.random.below(15_000);
            self.add(restart_at, Fault::Start(old));
        }
    }

    /// Sends SIGTERM while operator commands are in progress.
    fn shut_down_while_busy(&mut self, at: u64) {
        let node_id = self.random_node();
        (0..6).for_each(|index| self.add_operator_command(at + index * 30));
        let shutdown_at = at + self.random_in_range(LOSS_DELAY_MS);
        self.add(shutdown_at, Fault::Restart(node_id));
    }

    /// Makes an origin or a service fail intermittently, or stops and starts an origin
    /// repeatedly.
    fn degrade_origin(&mut self, at: u64) {
        let origin = self.random.below(self.origins) as usize;
        let service = self.random.below(self.services) as usize;
        match self.random.below(3) {
            0 => self.add_pair(
                at,
                Fault::Origin(origin, OriginBehavior::Grey),
                Fault::Origin(origin, OriginBehavior::Good),
            ),
            1 => self.add_pair(
                at,
                Fault::Service(service, OriginBehavior::Grey),
                Fault::Service(service, OriginBehavior::Good),
            ),
            _ => {
                let step = 150 + self.random.below(700);
                for round in 0..3 + self.random.below(6) {
                    let down = at + 2 * round * step;
                    self.add(down, Fault::Origin(origin, OriginBehavior::Down));
                    self.add(down + step, Fault::Origin(origin, OriginBehavior::Good));
                }
            }
        }
    }

    /// Wipes a member's disk and kills another member once the first had time to catch up.
    fn lose_second_member(&mut self, at: u64) {
        if at < self.next_disk_loss {
            return;
        }
        self.next_disk_loss = at + DISK_REFILL_MS;
        let (first, second) = (self.random_slot(), self.random_slot());
        let started = at + 200 + self.random.below(1_000);
        self.add(at, Fault::Wipe(first));
        self.add(started, Fault::Start(first));
        let lost = started + CATCH_UP_MS;
        self.add_operator_commands(at, lost - at, 4);
        self.add_pair(lost, Fault::Kill(second), Fault::Start(second));
    }
}
