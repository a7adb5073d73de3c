//! Generations: after a majority of disks was lost the next one is founded, and the operation ledger stays closed
//! until it is complete again.

use super::*;

/// The time that a heartbeat takes must not add to the closing that it reports, to and fro.
const CLOSING_TOLERANCE: Duration = Duration::from_secs(1);

/// The generation that the node is in, and the closing of its operation ledger.
#[derive(Debug, Default)]
pub(super) struct GenerationState {
    /// The generation as last looked at; 0 after a start, so that one whose ledger is not open yet closes it anew,
    /// in full.
    pub(super) current: u64,
    /// When that was first seen.
    pub(super) entered_at: Duration,
    /// Until then operations that are not known are not run: acknowledged ones may be lost.
    pub(super) ledger_closed_until: Duration,
    /// The disk was recovered after a loss in this generation: the next one is requested.
    pub(super) refound_after: Option<u64>,
    /// The edge registry as it was before the loss, while the ledger is closed.
    pub(super) registry_before_loss: Option<EdgeRegistry>,
    /// The fleet started for the first time when this node did, on empty disks: no operation ran before.
    pub(super) first_fleet_start: bool,
}

impl GenerationState {
    /// The state after a start.
    pub(super) fn new(first_fleet_start: bool) -> GenerationState {
        GenerationState {
            first_fleet_start,
            ..GenerationState::default()
        }
    }
}

impl ControlNode {
    /// Closes the operation ledger: operations that ran before may be unknown now.
    pub(super) fn close_ledger(&mut self, now: Duration) {
        let span = lease::LEDGER_CLOSED_AFTER_LOSS;
        if now >= self.generation.ledger_closed_until {
            let text = format!("unknown operations are not run for {span:?}");
            self.log_event(Event::MajorityLost, text);
        }
        self.generation.ledger_closed_until = now + span;
    }

    /// Whether the ledger of this generation is known to be complete.
    fn is_ledger_open(&self) -> bool {
        let current = self.generation.current;
        current != 0
            && self.replica.opened_generation() == current
            && self.generation.refound_after.is_none()
    }

    /// The loss that the replica remembers, if it is one of this generation.
    fn replica_loss(&self, generation: u64) -> Option<u64> {
        Some(self.replica.lost_generation).filter(|lost| *lost == generation)
    }

    /// The generation whose acknowledged rows may be lost, as far as known here; 0 if none is.
    pub(super) fn lost_generation(&self) -> u64 {
        let known = self.replica_loss(self.replica.generation());
        self.generation.refound_after.or(known).unwrap_or(0)
    }

    /// Another node knows that a majority of disks was lost. That is reported with every promise, so that no
    /// partition is taken in ignorance of it.
    pub(super) fn on_loss_reported(&mut self, now: Duration, generation: u64) {
        let is_current = generation != 0 && generation == self.generation.current;
        if is_current && self.generation.refound_after.is_none() {
            self.close_ledger(now);
            self.generation.refound_after = Some(generation);
        }
    }

    /// Another node has closed the ledger for so long.
    pub(super) fn extend_ledger_closure(&mut self, now: Duration, closed_for: Duration) {
        let until = now + closed_for;
        let is_longer = until > self.generation.ledger_closed_until + CLOSING_TOLERANCE;
        if is_longer && !self.is_ledger_open() {
            self.generation.ledger_closed_until = until;
        }
    }

    /// Follows the generation that the replica shows.
    pub(super) fn enter_generation(&mut self, now: Duration) {
        if self.generation.current != self.replica.generation() {
            self.generation.current = self.replica.generation();
            self.generation.entered_at = now;
            self.generation.refound_after = self.replica_loss(self.generation.current);
            let is_opened = self.replica.opened_generation() == self.generation.current;
            if !is_opened || self.generation.refound_after.is_some() {
                // A first founding looks like the loss of everything.
                self.close_ledger(now);
                self.remember_registry_before_loss();
            }
        }
        if self.is_ledger_open() {
            self.generation.ledger_closed_until = Duration::ZERO;
            self.generation.registry_before_loss = None;
        }
    }

    /// A leader that lost nothing itself knows the registry as it was.
    fn remember_registry_before_loss(&mut self) {
        let leader = self
            .leaders
            .get(&ASSIGNMENTS_PARTITION)
            .filter(|leader| leader.is_serving());
        let known = leader.and_then(PartitionLeader::edge_registry);
        let earlier = self.generation.registry_before_loss.take();
        self.generation.registry_before_loss = known.or(earlier);
    }

    /// Requests the next generation after a loss, until it is founded.
    pub(super) fn request_next_generation(&mut self) {
        if let Some(after) = self.generation.refound_after {
            let request =
                self.own_request(CONFIGURATION_PARTITION, Change::FoundGeneration { after });
            self.send(self.address, request);
        }
    }

    /// Founds the next generation, unless that was done since it was requested.
    pub(super) fn found_next_generation(&mut self, after: u64) {
        let generation = Generation::after(self.replica.generation(), self.replica.incarnation);
        let Some(leader) = self.leaders.get_mut(&CONFIGURATION_PARTITION) else {
            return;
        };
        let founded = leader.rows.get("founded").map(|row| &row.value);
        if founded == Some(&Value::Founded { generation: after }) {
            leader.put("founded".into(), Value::Founded { generation });
            self.log_event(Event::GenerationFounded, format!("realm {generation:016x}"));
        }
    }
}
