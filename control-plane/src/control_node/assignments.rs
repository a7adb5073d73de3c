//! What edges are assigned: cache partitions and admission controllers, planned by the leader of the assignments.

use super::*;

/// What the assignments were last planned from: the same again gives the same plan.
#[derive(PartialEq)]
pub(super) struct PlanInputs {
    epoch: u64,
    version: u64,
    settled: u64,
    configuration: u64,
    sessions: Vec<Vec<(Peer, bool)>>,
    ended: BTreeSet<Peer>,
}

impl ControlNode {
    /// Who owns the list of origins is the one to read the platform's.
    pub(super) fn publish_origin_list(&mut self, now: Duration) {
        let leads = self
            .leaders
            .get(&ORIGINS_PARTITION)
            .is_some_and(|leader| leader.ready() && leader.recall_until.is_none());
        // Cut off, what is read could not be put.
        let lists = leads && self.reaches_majority(now);
        if lists != self.publishes_origins {
            self.publishes_origins = lists;
            let list = if lists {
                vec![ORIGIN_LIST_ASSIGNMENT.to_string()]
            } else {
                vec![]
            };
            self.outputs
                .push(Output::Publish(PublishedState::Assignments(list)));
        }
    }

    pub(super) fn plan_assignments(&mut self, now: Duration) {
        let Some(leader) = self.leaders.get(&ASSIGNMENTS_PARTITION) else {
            return;
        };
        // A new owner pending_replies until sessions have had time to show.
        let calm = leader
            .active_since
            .is_some_and(|since| now >= since + lease::CONTROL_TICK);
        if !leader.ready() || !calm || leader.recall_until.is_some() {
            return;
        }
        // After a start, sessions may stand that are not known yet: then only
        // what holders left who are known to have ended is given out.
        let known = self.sessions.is_complete(now);
        if known {
            self.plan_edge_registry(now);
        }
        self.read_services();
        let Some(leader) = self.leaders.get(&ASSIGNMENTS_PARTITION) else {
            return;
        };
        let holders = leader.rows.values().filter_map(|row| match &row.value {
            Value::Assignment(assignment) => assignment.owner,
            _ => None,
        });
        let over: BTreeSet<Peer> = holders
            .filter(|peer| self.sessions.has_ended(*peer, self.tokens_at_grant))
            .collect();
        let planned = PlanInputs {
            epoch: leader.epoch,
            version: leader.version,
            settled: leader.settled(),
            configuration: self.items_version,
            sessions: self.sessions.membership_snapshot(now),
            ended: over,
        };
        if self.last_plan_inputs.as_ref() == Some(&planned) {
            return;
        }
        let quorum = self.quorum();
        let live = if known {
            self.sessions.live(now, quorum)
        } else {
            self.sessions.local_sessions()
        };
        let spread = leader
            .rows
            .keys()
            .filter_map(|assignment| assignment_ring(assignment));
        let rings: BTreeSet<&str> = live
            .iter()
            .map(|seen| seen.ring.as_str())
            .chain(spread)
            .collect();
        let mut names: Vec<String> = rings
            .iter()
            .flat_map(|ring| {
                (0..CACHE_PARTITIONS).map(|partition| cache_assignment(ring, partition))
            })
            .collect();
        names.extend(
            self.services
                .iter()
                .map(|service| admission_assignment(service)),
        );
        let gone = |peer: Peer| self.sessions.has_departed(now, peer, quorum);
        let ended = |peer: Peer| planned.ended.contains(&peer);
        let members = &self.members;
        let beside = |seen: &SessionInfo| {
            members
                .iter()
                .any(|place| place.address.ip() == seen.peer.address.ip())
        };
        let plan = AssignmentPlan {
            rows: &leader.rows,
            settled: leader.settled(),
            live: &live,
            departed: &gone,
            ended: &ended,
            on_control_host: &beside,
            sessions_incomplete: !known,
        };
        let out = plan.next(&names);
        self.last_plan_inputs = Some(planned);
        if !out.is_empty() {
            self.tokens_at_grant = self.sessions.issued_tokens();
        }
        let leader = self
            .leaders
            .get_mut(&ASSIGNMENTS_PARTITION)
            .expect("just seen");
        for (key, assignment) in &out {
            leader.put(key.clone(), Value::Assignment(assignment.clone()));
        }
        for (key, assignment) in out {
            match assignment.owner {
                Some(peer) => self.log_event(
                    Event::AssignmentGranted,
                    format!("{key} epoch {} to {peer}", assignment.epoch),
                ),
                None => self.log_event(
                    Event::AssignmentRevoked,
                    format!("{key} epoch {}", assignment.epoch),
                ),
            }
        }
    }

    /// The services of the configuration in force, as shown here.
    pub(super) fn read_services(&mut self) {
        let held = self.replica.partition(CONFIGURATION_PARTITION);
        if held.state.published == self.items_version {
            return;
        }
        self.items_version = held.state.published;
        for (key, row) in &held.published_rows {
            // What stands was judged before.
            let _ = self.items.learn(key, row);
        }
        if let Ok((document, _)) = self.items.merged() {
            self.services = document
                .groups
                .into_iter()
                .map(|group| group.service)
                .collect();
        }
    }
}
