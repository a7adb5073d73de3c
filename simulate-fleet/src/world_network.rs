//! Message delivery, dropped links, connection resets, slow processes and slow disks.
use crate::prelude::*;

/// Range of the duration of a disk sync, in microseconds.
const SYNC_MICROS: (u64, u64) = (500, 6_000);
/// Range of the duration of a sync of a slow disk, in microseconds.
const SLOW_SYNC_MICROS: (u64, u64) = (50_000, 300_000);
/// Range of the duration of a step of a slow process, in microseconds.
const SLOW_STEP_MICROS: (u64, u64) = (500, 4_000);

impl World {
    pub(crate) fn drop_link(&mut self, from: usize, to: usize, until: Duration) {
        let current_end = self.dropped_links.entry((from, to)).or_default();
        *current_end = until.max(*current_end);
    }

    pub(crate) fn is_link_dropped(&self, from: usize, to: usize) -> bool {
        let until = self.dropped_links.get(&(from, to));
        until.is_some_and(|until| self.now < *until)
    }

    pub(crate) fn partition_node(&mut self, node: usize, scope: PartitionScope, span: Duration) {
        let until = self.now + span;
        for other in 0..self.nodes.len() {
            let control = matches!(self.nodes[other].node_id, NodeId::Control(_));
            if other == node || !control && scope != PartitionScope::Everybody {
                continue;
            }
            if scope != PartitionScope::FromControlNodes {
                self.drop_link(node, other, until);
            }
            if scope != PartitionScope::ToControlNodes {
                self.drop_link(other, node, until);
            }
        }
    }

    /// Drops all messages in transit between two nodes.
    pub(crate) fn reset(&mut self, first: usize, second: usize) {
        let addresses = [first, second].map(|node| self.nodes[node].peer.address);
        self.queue.retain(|_, event| match event {
            SimEvent::Deliver { to, from, .. } => {
                let between = (*to == first && from.address == addresses[1])
                    || (*to == second && from.address == addresses[0]);
                !between
            }
            _ => true,
        });
    }

    /// Drops all undelivered messages to a node whose process ended, including those that
    /// waited while it was paused.
    pub(crate) fn drop_undelivered(&mut self, node: usize) {
        self.queue
            .retain(|_, event| !matches!(event, SimEvent::Deliver { to, .. } if *to == node));
    }

    /// Time at which a node can handle an event: not while it is paused or busy, and no sync
    /// completes while its disk is stalled.
    pub(crate) fn blocked_until(&self, node: usize, event: &SimEvent) -> Duration {
        let SimNode {
            paused_until,
            busy_until,
            disk,
            ..
        } = &self.nodes[node];
        let idle_at = *paused_until.max(busy_until);
        match event {
            SimEvent::Synced { .. } => idle_at.max(disk.stalled_until),
            _ => idle_at,
        }
    }

    /// Marks a slow process as busy for the duration of a step.
    pub(crate) fn charge_step_time(&mut self, node: usize) {
        if self.now < self.nodes[node].slow_until {
            let took = self.random_micros(SLOW_STEP_MICROS.0, SLOW_STEP_MICROS.1);
            self.nodes[node].busy_until = self.now + took;
        }
    }

    pub(crate) fn sync_duration(&mut self, node: usize) -> Duration {
        let slow = self.now < self.nodes[node].disk.slow_until;
        let (low, high) = if slow { SLOW_SYNC_MICROS } else { SYNC_MICROS };
        self.random_micros(low, high)
    }

    /// Sends a message, subject to dropped links and message faults.
    pub(crate) fn send(&mut self, node: usize, to: SocketAddr, message: Message) {
        let from = self.nodes[node].peer;
        if let (NodeId::Edge(at), Message::CacheCopy(_)) = (self.nodes[node].node_id, &message) {
            self.copies_sent[at] += 1;
        }
        let Some(to) = self.node_by_address.get(&to).copied() else {
            return;
        };
        if to == node {
            return self.after(Duration::ZERO, SimEvent::Deliver { to, from, message });
        }
        let (lost, doubled, late) = self.message_faults;
        if message.name() == self.plan.dropped_message
            || self.is_link_dropped(node, to)
            || self.random.chance(lost)
        {
            return;
        }
        let copies = if self.random.chance(doubled) { 2 } else { 1 };
        for _ in 0..copies {
            let span = if self.random.chance(late) {
                self.random_micros(5_000, 400_000)
            } else {
                self.random_micros(200, 3_000)
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

    /// Makes a call to the origin at an address.
    pub(crate) fn call(&mut self, node: usize, run: u64, id: u64, call: &Call) {
        self.check_call_after_disconnect(call);
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
                        origin.handle_call(call, at, self.content_version, &mut self.random);
                    self.origin_calls.extend(record);
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
