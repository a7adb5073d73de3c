//! Generations of the fleet: after a majority of disks was lost the next generation is founded, and the operation
//! ledger stays closed until it is complete again.

use super::*;

/// Minimum extension of the period for which the ledger is closed that is adopted from a heartbeat. Without this
/// minimum, the transit time of heartbeats would extend the period each time two nodes report it to each other.
const MIN_CLOSURE_EXTENSION: Duration = Duration::from_secs(1);

/// Generation of this node, and the period for which its operation ledger is closed.
#[derive(Debug, Default)]
pub(super) struct GenerationState {
    /// Generation last read from the replica; 0 after a start, so that a node whose ledger is not open yet closes it
    /// again for the full time.
    pub(super) current: u64,
    /// Time when `current` was first seen.
    pub(super) entered_at: Duration,
    /// Time until which the ledger is closed. Until then operations without a record are not run: their records may
    /// have been lost after they ran.
    pub(super) ledger_closed_until: Duration,
    /// Generation in which a majority of disks was lost, while the next one is requested.
    pub(super) refound_after: Option<u64>,
    /// Edge registry before the loss, while the ledger is closed.
    pub(super) registry_before_loss: Option<EdgeRegistry>,
    /// True if the fleet started for the first time when this node did, on empty disks: no operation ran before.
    pub(super) first_fleet_start: bool,
}

impl GenerationState {
    /// Returns the state after a start.
    pub(super) fn new(first_fleet_start: bool) -> GenerationState {
        GenerationState {
            first_fleet_start,
            ..GenerationState::default()
        }
    }
}

impl ControlNode {
    /// Closes the operation ledger: operations that ran before may be missing from it.
    pub(super) fn close_ledger(&mut self, now: Duration) {
        let span = lease::LEDGER_CLOSED_AFTER_LOSS;
        if now >= self.generation.ledger_closed_until {
            let text = format!("operations without a record are refused for {span:?}");
            self.log_event(Event::MajorityLost, text);
        }
        self.generation.ledger_closed_until = now + span;
    }

    /// Returns true if the ledger of this generation is known to be complete.
    fn is_ledger_open(&self) -> bool {
        let current = self.generation.current;
        current != 0
            && self.replica.opened_generation() == current
            && self.generation.refound_after.is_none()
    }

    /// Returns the loss recorded in the replica, if it is one of this generation.
    fn replica_loss(&self, generation: u64) -> Option<u64> {
        Some(self.replica.lost_generation).filter(|lost| *lost == generation)
    }

    /// Returns the generation whose acknowledged rows may be lost, to this node's knowledge; 0 if none is.
    pub(super) fn lost_generation(&self) -> u64 {
        let known = self.replica_loss(self.replica.generation());
        self.generation.refound_after.or(known).unwrap_or(0)
    }

    /// Handles another node's report that a majority of disks was lost. Nodes report a loss with every promise, so that
    /// no partition is taken over without knowledge of it.
    pub(super) fn on_loss_reported(&mut self, now: Duration, generation: u64) {
        let is_current = generation != 0 && generation == self.generation.current;
        if is_current && self.generation.refound_after.is_none() {
            self.close_ledger(now);
            self.generation.refound_after = Some(generation);
        }
    }

    /// Extends the period for which the ledger is closed to the remaining time that another node reported.
    pub(super) fn extend_ledger_closure(&mut self, now: Duration, closed_for: Duration) {
        let until = now + closed_for;
        let is_longer = until > self.generation.ledger_closed_until + MIN_CLOSURE_EXTENSION;
        if is_longer && !self.is_ledger_open() {
            self.generation.ledger_closed_until = until;
        }
    }

    /// Enters the generation of the replica if it changed.
    pub(super) fn enter_generation(&mut self, now: Duration) {
        if self.generation.current != self.replica.generation() {
            self.generation.current = self.replica.generation();
            self.generation.entered_at = now;
            self.generation.refound_after = self.replica_loss(self.generation.current);
            let is_opened = self.replica.opened_generation() == self.generation.current;
            if !is_opened || self.generation.refound_after.is_some() {
                // A first founding cannot be distinguished from the loss of everything.
                self.close_ledger(now);
                self.remember_registry_before_loss();
            }
        }
        if self.is_ledger_open() {
            self.generation.ledger_closed_until = Duration::ZERO;
            self.generation.registry_before_loss = None;
        }
    }

    /// Remembers the edge registry if this node leads the assignments: a leader that lost no rows itself has the
    /// registry from before the loss.
    fn remember_registry_before_loss(&mut self) {
        let leader = self
            .leaders
            .get(&ASSIGNMENTS_PARTITION)
            .filter(|leader| leader.is_serving());
        let known = leader.and_then(PartitionLeader::edge_registry);
        let earlier = self.generation.registry_before_loss.take();
        self.generation.registry_before_loss = known.or(earlier);
    }

    /// Requests the next generation after a loss, until that generation is founded.
    pub(super) fn request_next_generation(&mut self) {
        if let Some(after) = self.generation.refound_after {
            let request =
                self.own_request(CONFIGURATION_PARTITION, Change::FoundGeneration { after });
            self.send(self.address, request);
        }
    }

    /// Founds the next generation, unless it was founded since the request.
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
