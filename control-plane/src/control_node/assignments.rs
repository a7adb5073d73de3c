//! What edges are assigned: cache partitions and admission controllers, planned by the leader of the assignments.

use super::*;

/// What the assignments were last planned from: the same again gives the same plan.
#[derive(PartialEq)]
pub(super) struct PlannedFrom {
    epoch: u64,
    version: u64,
    settled: u64,
    configuration: u64,
    sessions: Vec<Vec<(Peer, bool)>>,
    ended: BTreeSet<Peer>,
}

impl ControlNode {
    /// Who owns the list of origins is the one to read the platform's.
    pub(super) fn show_lists(&mut self, now: Duration) {
        let leads = self
            .leaders
            .get(&ORIGINS_PARTITION)
            .is_some_and(|leader| leader.ready() && leader.wary.is_none());
        // Cut off, what is read could not be put.
        let lists = leads && self.reaches_majority(now);
        if lists != self.lists {
            self.lists = lists;
            let list = if lists {
                vec![ORIGIN_LIST_ASSIGNMENT.to_string()]
            } else {
                vec![]
            };
            self.out
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
        if !leader.ready() || !calm || leader.wary.is_some() {
            return;
        }
        // After a start, sessions may stand that are not known yet: then only
        // what holders left who are known to have ended is given out.
        let known = self.sessions.known(now);
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
            .filter(|peer| self.sessions.ended(*peer, self.granted))
            .collect();
        let planned = PlannedFrom {
            epoch: leader.epoch,
            version: leader.version,
            settled: leader.settled(),
            configuration: self.read,
            sessions: self.sessions.standing(now),
            ended: over,
        };
        if self.planned.as_ref() == Some(&planned) {
            return;
        }
        let quorum = self.quorum();
        let live = if known {
            self.sessions.live(now, quorum)
        } else {
            self.sessions.mine()
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
        let gone = |peer: Peer| self.sessions.gone(now, peer, quorum);
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
            gone: &gone,
            ended: &ended,
            beside: &beside,
            early: !known,
        };
        let out = plan.next(&names);
        self.planned = Some(planned);
        if !out.is_empty() {
            self.granted = self.sessions.renewal_tokens();
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
                Some(peer) => self.note(
                    Event::AssignmentGranted,
                    format!("{key} epoch {} to {peer}", assignment.epoch),
                ),
                None => self.note(
                    Event::AssignmentRevoked,
                    format!("{key} epoch {}", assignment.epoch),
                ),
            }
        }
    }

    /// The services of the configuration in force, as shown here.
    pub(super) fn read_services(&mut self) {
        let held = self.replica.held(CONFIGURATION_PARTITION);
        if held.image.published == self.read {
            return;
        }
        self.read = held.image.published;
        for (key, row) in &held.shown {
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
