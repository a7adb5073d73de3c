//! The edge registry, maintained by the leader of the assignments: the edges that may hold rows and operations, and the
//! edges that may claim operations. After a loss it also determines when the ledger is complete.

use super::*;

impl ControlNode {
    /// Updates the registry, and opens the ledger once all edges registered before a loss have reported their
    /// operations.
    pub(super) fn update_edge_registry(&mut self, now: Duration) {
        self.open_complete_ledger(now);
        let quorum = self.quorum();
        let Some(leader) = self.leaders.get_mut(&ASSIGNMENTS_PARTITION) else {
            return;
        };
        let known = leader.edge_registry().unwrap_or_default();
        // Until the new generation is founded, the registry is that of the lost one.
        let complete = if self.generation.current == 0 {
            known.complete
        } else {
            leader.opened_generation() == self.generation.current
        };
        let live = self.sessions.live_sessions(now, quorum);
        let mut members: BTreeSet<Peer> = live.iter().map(|session| session.peer).collect();
        let mut departed = known.departed;
        for peer in known.members {
            if !members.contains(&peer) && self.sessions.has_departed(now, peer, quorum) {
                departed.push(peer);
            } else {
                members.insert(peer);
            }
        }
        retain_recently_departed(now, &mut self.departed_since, &members, &mut departed);
        let registry = EdgeRegistry {
            members: members.into_iter().collect(),
            departed,
            complete,
        };
        write_registry(leader, registry);
    }

    /// Opens the ledger once no operation that ran before can be missing from it.
    fn open_complete_ledger(&mut self, now: Duration) {
        if self.all_registered_edges_reported(now) {
            self.open_ledger("all registered edges reported their operations");
            self.generation.registry_before_loss = None;
        }
        let current = self.generation.current;
        let is_new = self.generation.first_fleet_start && !Generation::is_successor(current);
        if is_new && current != 0 && !self.is_opened_by_leader() {
            self.open_ledger("the fleet was founded for the first time");
        }
        if self.is_closed_period_over(now) && !self.is_opened_by_leader() {
            self.open_ledger("all operations from before the loss are past their retry period");
        }
    }

    fn is_opened_by_leader(&self) -> bool {
        self.leaders
            .get(&ASSIGNMENTS_PARTITION)
            .is_some_and(|leader| leader.opened_generation() == self.generation.current)
    }

    /// Returns true if every edge registered before a loss has reported all its operations, and none had departed.
    fn all_registered_edges_reported(&self, now: Duration) -> bool {
        let Some(registry) = &self.generation.registry_before_loss else {
            return false;
        };
        let current = self.generation.current;
        let sessions = self.sessions.all_sessions();
        let has_reported = |peer: &Peer| {
            sessions.iter().any(|session| {
                session.peer == *peer && session.generation == current && session.recall_complete
            })
        };
        registry.complete
            && now < self.generation.ledger_closed_until
            && Generation::is_successor(current)
            && registry.departed.is_empty()
            && !registry.members.is_empty()
            && registry.members.iter().all(has_reported)
    }

    /// Returns true if the ledger was closed for so long that no operation that ran before the loss can still be
    /// retried.
    fn is_closed_period_over(&self, now: Duration) -> bool {
        let generation = &self.generation;
        let own_closed_until = generation.entered_at + lease::LEDGER_CLOSED_AFTER_LOSS;
        generation.current != 0
            && self.replica.opened_generation() != generation.current
            && now >= generation.ledger_closed_until.max(own_closed_until)
    }

    fn open_ledger(&mut self, reason: &str) {
        let generation = self.generation.current;
        let Some(leader) = self.leaders.get_mut(&ASSIGNMENTS_PARTITION) else {
            return;
        };
        leader.put("opened".into(), Value::Opened { generation });
        let text = format!("realm {}: {reason}", Generation::format(generation));
        self.log_event(Event::LedgerOpened, text);
    }
}

/// Drops departed edges that can have nothing left to report, and those that returned: an edge in the same incarnation
/// still holds its operations.
fn retain_recently_departed(
    now: Duration,
    departed_since: &mut BTreeMap<Peer, Duration>,
    members: &BTreeSet<Peer>,
    departed: &mut Vec<Peer>,
) {
    departed_since.retain(|peer, _| departed.contains(peer));
    for peer in departed.iter() {
        departed_since.entry(*peer).or_insert(now);
    }
    departed.retain(|peer| {
        let since = departed_since[peer];
        !members.contains(peer) && now < since + lease::LEDGER_CLOSED_AFTER_LOSS
    });
}

/// Writes the registry if it changed, and the edges that may claim operations. A new edge may claim only once all edges
/// know the registry that contains it.
fn write_registry(leader: &mut PartitionLeader, registry: EdgeRegistry) {
    let members = registry.members.clone();
    let value = Value::EdgeRegistry {
        members: registry.members,
        departed: registry.departed,
        complete: registry.complete,
    };
    let known = leader.rows.get("roll");
    if known.is_none_or(|row| row.value != value) {
        leader.put("roll".into(), value);
    }
    let settled = leader.settled();
    let is_settled = leader
        .rows
        .get("roll")
        .is_some_and(|row| row.version <= settled);
    let enrolled = leader.enrolled();
    let members: Vec<Peer> = members
        .into_iter()
        .filter(|peer| is_settled || enrolled.contains(peer))
        .collect();
    if members != enrolled {
        leader.put("enrolled".into(), Value::Enrolled { members });
    }
}
