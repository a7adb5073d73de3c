//! Troubles of control nodes, of operators' orders and of origins that last,
//! come in pairs, or strike within an instant of an order.
use crate::prelude::*;
use crate::schedule::REFILL;

/// A loss comes so many milliseconds after an order was sent.
const AFTER_ORDER: (u64, u64) = (5, 400);
/// The longest cut, and the longest time that a control node stands frozen.
const LONG: u64 = 20_000;
/// A node that was started is a full member by then.
const CATCH_UP: u64 = 4_500;

impl Schedule {
    pub(super) fn core_faults(&mut self, at: u64) {
        match self.random.below(15) {
            0..=2 => self.member_cut_off(at),
            3 => self.member_frozen(at),
            4 => self.process_slow(at),
            5 | 6 => self.disk_hangs(at),
            7 => self.operator_responses_lost(at),
            8 => self.seeds_rotation(at),
            9 => self.order_then_loss(at),
            10 => self.connections_reset(at),
            11 => self.member_replaced(at),
            12 => self.warned_while_busy(at),
            13 => self.origin_grey(at),
            _ => self.second_loss(at),
        }
    }

    fn between(&mut self, (low, high): (u64, u64)) -> u64 {
        low + self.random.below(high - low)
    }

    /// A span that ends before the mending.
    fn span(&mut self, at: u64, low: u64, high: u64) -> Duration {
        let most = self.end.saturating_sub(at + 100).max(1);
        Duration::from_millis(self.between((low, high)).min(most))
    }

    fn slot(&mut self) -> NodeId {
        self.control()
    }

    /// One order of an operator, of any kind.
    fn order(&mut self, at: u64) {
        match self.random.below(4) {
            0 => self.put(at, Fault::Configure),
            1 => self.put(at, Fault::Purge("/".into())),
            2 => self.put(at, Fault::Race(3)),
            _ => self.put(at, Fault::PutItem),
        }
    }

    fn orders(&mut self, from: u64, span: u64, count: u64) {
        for _ in 0..count {
            let at = from + self.random.below(span);
            self.order(at);
        }
        self.put(from + span, Fault::ReadBack);
    }

    /// A member is cut off for up to twenty seconds, maybe twice, maybe with
    /// another, maybe with a restart of either side.
    fn member_cut_off(&mut self, at: u64) {
        let place = self.slot();
        let scope = PartitionScope::ALL[self.random.below(4) as usize];
        let span = self.span(at, 500, LONG);
        let length = span.as_millis() as u64;
        self.put(at, Fault::Partition(place, scope, span));
        self.orders(at + 100, length, 4);
        if self.random.chance(40) {
            let other = if self.random.chance(50) {
                place
            } else {
                self.slot()
            };
            let restart = at + self.random.below(length);
            if self.random.chance(50) {
                self.put(restart, Fault::Restart(other));
            } else {
                self.both(restart, Fault::Kill(other), Fault::Start(other));
            }
        }
        if self.random.chance(25) {
            let (other, begin) = (self.slot(), at + self.random.below(2_000));
            let scope = PartitionScope::ALL[self.random.below(4) as usize];
            let span = self.span(begin, 500, LONG);
            self.put(begin, Fault::Partition(other, scope, span));
        }
        if self.random.chance(30) {
            let again = at + length + self.random.below(2_000);
            let span = self.span(again, 500, LONG);
            self.put(again, Fault::Partition(place, scope, span));
        }
    }

    fn member_frozen(&mut self, at: u64) {
        let place = self.slot();
        let span = self.span(at, 3_000, LONG);
        self.put(at, Fault::Pause(place, span));
        self.orders(at + 50, span.as_millis() as u64, 3);
    }

    fn process_slow(&mut self, at: u64) {
        let place = self.place();
        let span = self.span(at, 1_000, 8_000);
        self.put(at, Fault::Slow(place, span));
        self.orders(at + 50, span.as_millis() as u64, 2);
    }

    /// A disk stalls or is slow; its node may be killed meanwhile.
    fn disk_hangs(&mut self, at: u64) {
        let place = self.slot();
        let span = self.span(at, 500, 10_000);
        let fault = if self.random.chance(50) {
            Fault::StallDisk(place, span)
        } else {
            Fault::SlowDisk(place, span)
        };
        self.put(at, fault);
        let length = span.as_millis() as u64;
        self.orders(at + 5, length, 3);
        if self.random.chance(40) {
            let killed = at + self.random.below(length);
            self.both(killed, Fault::Kill(place), Fault::Start(place));
        }
    }

    /// Answers to orders are lost, and members come and go meanwhile.
    fn operator_responses_lost(&mut self, at: u64) {
        let span = self.span(at, 2_000, 8_000);
        let length = span.as_millis() as u64;
        self.put(at, Fault::LoseOperatorResponses(span));
        self.orders(at + 5, length, 4);
        let place = self.slot();
        let lost = at + self.between(AFTER_ORDER);
        match self.random.below(3) {
            0 => self.both(lost, Fault::Kill(place), Fault::Start(place)),
            1 => self.put(lost, Fault::Restart(place)),
            _ => {}
        }
    }

    fn seeds_rotation(&mut self, at: u64) {
        self.put(at, Fault::ReorderSeeds);
        let place = self.place();
        self.both(at + 10, Fault::Kill(place), Fault::Start(place));
    }

    /// Something is lost within an instant of an order.
    fn order_then_loss(&mut self, at: u64) {
        self.order(at);
        let lost = at + self.between(AFTER_ORDER);
        let place = self.slot();
        match self.random.below(4) {
            0 => self.both(lost, Fault::Kill(place), Fault::Start(place)),
            1 if at >= self.disks => {
                self.disks = at + REFILL;
                self.both(lost, Fault::Wipe(place), Fault::Start(place));
            }
            2 => self.processes_killed(lost, self.control, 0),
            _ if self.majority_wiped => {}
            _ => self.processes_killed(lost, self.control, self.edges),
        }
        self.put(lost + 6_000, Fault::ReadBack);
    }

    /// The first control nodes and edges are killed and back within seconds.
    fn processes_killed(&mut self, at: u64, control: u64, edges: u64) {
        let back = at + 300 + self.random.below(3_000);
        let control = (0..control as usize).map(NodeId::Control);
        let edges = (0..edges as usize).map(NodeId::Edge);
        for place in control.chain(edges) {
            self.put(at, Fault::Kill(place));
            self.put(back, Fault::Start(place));
        }
    }

    fn connections_reset(&mut self, at: u64) {
        let (one, other) = (self.slot(), self.place());
        if one == other {
            return;
        }
        self.order(at);
        for more in 0..1 + self.random.below(6) {
            self.put(at + more * 7, Fault::Reset(one, other));
        }
    }

    /// Planned: the new node comes first. Unplanned: the old one goes first.
    /// The old one may come back.
    fn member_replaced(&mut self, at: u64) {
        if at < self.disks && !self.standby {
            return;
        }
        self.disks = u64::MAX;
        let (old, new) = (self.slot(), NodeId::Control(self.control as usize));
        self.standby = true;
        let later = at + 500 + self.random.below(6_000);
        if self.random.chance(50) {
            self.put(at, Fault::Start(new));
            self.put(later, Fault::Retire(old));
        } else {
            self.put(at, Fault::Kill(old));
            self.put(later, Fault::Start(new));
        }
        self.orders(at + 10, later - at + 6_000, 4);
        if self.random.chance(50) {
            let back = later + 1_000 + self.random.below(15_000);
            self.put(back, Fault::Start(old));
        }
    }

    /// SIGTERM in the middle of orders.
    fn warned_while_busy(&mut self, at: u64) {
        let place = self.place();
        (0..6).for_each(|more| self.order(at + more * 30));
        let warned = at + self.between(AFTER_ORDER);
        self.put(warned, Fault::Restart(place));
    }

    /// Grey for a while, or gone and back again and again.
    fn origin_grey(&mut self, at: u64) {
        let origin = self.random.below(self.origins) as usize;
        let service = self.random.below(self.services) as usize;
        match self.random.below(3) {
            0 => self.both(
                at,
                Fault::Origin(origin, OriginBehavior::Grey),
                Fault::Origin(origin, OriginBehavior::Good),
            ),
            1 => self.both(
                at,
                Fault::Service(service, OriginBehavior::Grey),
                Fault::Service(service, OriginBehavior::Good),
            ),
            _ => {
                let step = 150 + self.random.below(700);
                for round in 0..3 + self.random.below(6) {
                    let down = at + 2 * round * step;
                    self.put(down, Fault::Origin(origin, OriginBehavior::Down));
                    self.put(down + step, Fault::Origin(origin, OriginBehavior::Good));
                }
            }
        }
    }

    /// A member loses its disk, and another goes once the first has had the
    /// time to catch up.
    fn second_loss(&mut self, at: u64) {
        if at < self.disks {
            return;
        }
        self.disks = at + REFILL;
        let (first, second) = (self.slot(), self.slot());
        let started = at + 200 + self.random.below(1_000);
        self.put(at, Fault::Wipe(first));
        self.put(started, Fault::Start(first));
        let lost = started + CATCH_UP;
        self.orders(at, lost - at, 4);
        self.both(lost, Fault::Kill(second), Fault::Start(second));
    }
}
