//! Cuts, resets, slow processes and slow disks.
use crate::prelude::*;

/// What a sync takes, in microseconds.
const SYNC: (u64, u64) = (500, 6_000);
const SLOW_SYNC: (u64, u64) = (50_000, 300_000);
/// What a step of a slow process takes, in microseconds.
const SLOW_STEP: (u64, u64) = (500, 4_000);

impl World {
    pub(crate) fn cut(&mut self, from: usize, to: usize, until: Duration) {
        let known = self.cuts.entry((from, to)).or_default();
        *known = until.max(*known);
    }

    pub(crate) fn is_cut(&self, from: usize, to: usize) -> bool {
        let until = self.cuts.get(&(from, to));
        until.is_some_and(|until| self.now < *until)
    }

    pub(crate) fn cut_off(&mut self, node: usize, scope: PartitionScope, span: Duration) {
        let until = self.now + span;
        for other in 0..self.nodes.len() {
            let control = matches!(self.nodes[other].place, NodeId::Control(_));
            if other == node || !control && scope != PartitionScope::Everybody {
                continue;
            }
            if scope != PartitionScope::FromControlNodes {
                self.cut(node, other, until);
            }
            if scope != PartitionScope::ToControlNodes {
                self.cut(other, node, until);
            }
        }
    }

    /// What is under way between the two is lost.
    pub(crate) fn reset(&mut self, one: usize, other: usize) {
        let addresses = [one, other].map(|node| self.nodes[node].peer.address);
        self.queue.retain(|_, what| match what {
            SimEvent::Deliver { to, from, .. } => {
                let between = (*to == one && from.address == addresses[1])
                    || (*to == other && from.address == addresses[0]);
                !between
            }
            _ => true,
        });
    }

    /// A process ends: its connections end with all that it had not read, also
    /// what waited for it while it was paused.
    pub(crate) fn lose_unread(&mut self, node: usize) {
        self.queue
            .retain(|_, what| !matches!(what, SimEvent::Deliver { to, .. } if *to == node));
    }

    /// When a node can take this: not while it is paused or at another step,
    /// and no sync ends while its disk stalls.
    pub(crate) fn held_until(&self, node: usize, what: &SimEvent) -> Duration {
        let SimNode {
            paused,
            busy_until,
            disk,
            ..
        } = &self.nodes[node];
        let held = *paused.max(busy_until);
        match what {
            SimEvent::Synced { .. } => held.max(disk.stalled_until),
            _ => held,
        }
    }

    /// A step of a slow process takes its time.
    pub(crate) fn take_time(&mut self, node: usize) {
        if self.now < self.nodes[node].slow_until {
            let took = self.micros(SLOW_STEP.0, SLOW_STEP.1);
            self.nodes[node].busy_until = self.now + took;
        }
    }

    pub(crate) fn sync_takes(&mut self, node: usize) -> Duration {
        let slow = self.now < self.nodes[node].disk.slow_until;
        let (low, high) = if slow { SLOW_SYNC } else { SYNC };
        self.micros(low, high)
    }

    pub(crate) fn send(&mut self, node: usize, to: SocketAddr, message: Message) {
        let from = self.nodes[node].peer;
        if let (NodeId::Edge(at), Message::CacheCopy(_)) = (self.nodes[node].place, &message) {
            self.copies[at] += 1;
        }
        let Some(to) = self.by_address.get(&to).copied() else {
            return;
        };
        if to == node {
            return self.after(Duration::ZERO, SimEvent::Deliver { to, from, message });
        }
        let (lost, doubled, late) = self.weather;
        if message.name() == self.plan.mute || self.is_cut(node, to) || self.random.chance(lost) {
            return;
        }
        let copies = if self.random.chance(doubled) { 2 } else { 1 };
        for _ in 0..copies {
            let span = if self.random.chance(late) {
                self.micros(5_000, 400_000)
            } else {
                self.micros(200, 3_000)
            };
            self.after(
                span,
                SimEvent::Deliver {
                    to,
                    from,
                    message: message.clone(),
                },
            );
        }
    }

    pub(crate) fn call(&mut self, node: usize, run: u64, id: u64, call: &Call) {
        self.see_departed(call);
        let (span, result) = if !self.nodes[node].live(self.now) {
            (Duration::ZERO, CallOutcome::NotSent)
        } else {
            let at = self.seconds();
            let origin = self
                .origins
                .iter()
                .find(|origin| origin.origin.address == call.origin.address)
                .cloned();
            match origin {
                None => (Duration::from_millis(1), CallOutcome::Unreachable),
                Some(origin) => {
                    let (span, result, record) =
                        origin.take(call, at, self.version, &mut self.random);
                    self.calls.extend(record);
                    (span, result)
                }
            }
        };
        self.after(
            span,
            SimEvent::CallEnds {
                node,
                run,
                id,
                result,
            },
        );
    }
}
