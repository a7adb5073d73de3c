//! Assignments of cache partitions and admission controllers to edges, planned by the leader of the assignments.

use super::*;

/// Inputs of the leader of the assignments for its plans.
#[derive(Debug, Default)]
pub(super) struct AssignmentState {
    /// Items of the configuration published on this node, up to `items_version`.
    items: Items,
    items_version: u64,
    /// Services of that configuration.
    services: Vec<String>,
    /// Number of renewal tokens issued when assignments were last granted: each owner's process had started by then.
    pub(super) tokens_at_grant: u64,
    /// Inputs of the last plan; equal inputs give an equal plan, so planning is skipped.
    last_inputs: Option<PlanInputs>,
    /// True if this node published itself as leader of the list of origins.
    publishes_origins: bool,
}

/// Everything that a plan depends on.
#[derive(Debug, PartialEq)]
struct PlanInputs {
    epoch: u64,
    version: u64,
    settled: u64,
    configuration: u64,
    sessions: Vec<Vec<SessionStatus>>,
    ended: BTreeSet<Peer>,
}

impl ControlNode {
    /// Publishes whether this node leads the list of origins: the leader is the node that reads the platform's list.
    pub(super) fn publish_origin_list(&mut self, now: Duration) {
        let leads = self
            .leaders
            .get(&ORIGINS_PARTITION)
            .is_some_and(PartitionLeader::is_serving);
        // An isolated node could not store the list that it reads.
        let publishes = leads && self.reaches_majority(now);
        if publishes != self.assignments.publishes_origins {
            self.assignments.publishes_origins = publishes;
            let names = if publishes {
                vec![ORIGIN_LIST_ASSIGNMENT.to_string()]
            } else {
                vec![]
            };
            let assignments = PublishedState::Assignments(names);
            self.outputs.push(Output::Publish(assignments));
        }
    }

    /// Writes the assignments that change now, if this node leads them.
    pub(super) fn plan_assignments(&mut self, now: Duration) {
        if !self.may_plan_assignments(now) {
            return;
        }
        // After a start, other sessions may exist that are not known yet. Until then only the assignments of edges
        // known to have ended are granted.
        if self.sessions.is_complete(now) {
            self.update_edge_registry(now);
        }
        self.read_services();
        let Some(inputs) = self.plan_inputs(now) else {
            return;
        };
        if self.assignments.last_inputs.as_ref() == Some(&inputs) {
            return;
        }
        let planned = self.next_assignments(now, &inputs);
        self.assignments.last_inputs = Some(inputs);
        if !planned.is_empty() {
            self.assignments.tokens_at_grant = self.sessions.issued_tokens();
        }
        self.write_assignments(planned);
    }

    /// Returns true if this node leads the assignments and sessions have had time to be renewed since it became leader.
    fn may_plan_assignments(&self, now: Duration) -> bool {
        let Some(leader) = self.leaders.get(&ASSIGNMENTS_PARTITION) else {
            return false;
        };
        let has_waited = |since: Duration| now >= since + lease::CONTROL_TICK;
        leader.is_serving() && leader.active_since.is_some_and(has_waited)
    }

    fn plan_inputs(&self, now: Duration) -> Option<PlanInputs> {
        let leader = self.leaders.get(&ASSIGNMENTS_PARTITION)?;
        let owners = leader.rows.values().filter_map(|row| match &row.value {
            Value::Assignment(assignment) => assignment.owner,
            _ => None,
        });
        let tokens = self.assignments.tokens_at_grant;
        Some(PlanInputs {
            epoch: leader.epoch,
            version: leader.version,
            settled: leader.settled(),
            configuration: self.assignments.items_version,
            sessions: self.sessions.statuses(now),
            ended: owners
                .filter(|peer| self.sessions.has_ended(*peer, tokens))
                .collect(),
        })
    }

    fn next_assignments(&self, now: Duration, inputs: &PlanInputs) -> Vec<(String, Assignment)> {
        let Some(leader) = self.leaders.get(&ASSIGNMENTS_PARTITION) else {
            return vec![];
        };
        let quorum = self.quorum();
        let is_complete = self.sessions.is_complete(now);
        let live = if is_complete {
            self.sessions.live_sessions(now, quorum)
        } else {
            self.sessions.local_sessions()
        };
        let is_on_host =
            |session: &SessionInfo, member: &Peer| member.address.ip() == session.peer.address.ip();
        let plan = AssignmentPlan {
            rows: &leader.rows,
            settled: leader.settled(),
            live: &live,
            has_departed: &|peer| self.sessions.has_departed(now, peer, quorum),
            has_ended: &|peer| inputs.ended.contains(&peer),
            is_on_control_host: &|session| {
                let mut members = self.members.iter();
                members.any(|member| is_on_host(session, member))
            },
            sessions_incomplete: !is_complete,
        };
        plan.next(&self.assignment_names(leader, &live))
    }

    /// Returns the names of all assignments: the cache partitions of each ring, and the admission controller of each
    /// service.
    fn assignment_names(&self, leader: &PartitionLeader, live: &[SessionInfo]) -> Vec<String> {
        let live_rings = live.iter().map(|session| session.ring.as_str());
        let assigned_rings = leader.rows.keys().filter_map(|name| assignment_ring(name));
        let rings: BTreeSet<&str> = live_rings.chain(assigned_rings).collect();
        let caches = rings.into_iter().flat_map(|ring| {
            (0..CACHE_PARTITIONS).map(move |partition| cache_assignment(ring, partition))
        });
        let services = self.assignments.services.iter();
        let admissions = services.map(|service| admission_assignment(service));
        caches.chain(admissions).collect()
    }

    fn write_assignments(&mut self, planned: Vec<(String, Assignment)>) {
        let Some(leader) = self.leaders.get_mut(&ASSIGNMENTS_PARTITION) else {
            return;
        };
        for (key, assignment) in &planned {
            leader.put(key.clone(), Value::Assignment(assignment.clone()));
        }
        for (key, assignment) in planned {
            let epoch = assignment.epoch;
            match assignment.owner {
                Some(peer) => {
                    let text = format!("{key} epoch {epoch} to {peer}");
                    self.log_event(Event::AssignmentGranted, text);
                }
                None => {
                    let text = format!("{key} epoch {epoch}");
                    self.log_event(Event::AssignmentRevoked, text);
                }
            }
        }
    }

    /// Updates the services from the configuration published on this node.
    fn read_services(&mut self) {
        let configuration = self.replica.partition(CONFIGURATION_PARTITION);
        let state = &mut self.assignments;
        if configuration.state.published == state.items_version {
            return;
        }
        state.items_version = configuration.state.published;
        for (key, row) in &configuration.published_rows {
            // Published rows were validated before they were written.
            let _ = state.items.apply_row(key, row);
        }
        if let Ok((document, _)) = state.items.merged() {
            let groups = document.groups.into_iter();
            state.services = groups.map(|group| group.service).collect();
        }
    }
}
