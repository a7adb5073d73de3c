//! What is assigned to this edge: cache partitions and admission control of origin groups.
use super::{AGAIN, EdgeNode, PROBE, PROBE_LIMIT, WANTS};
use crate::prelude::*;

impl EdgeNode {
    /// The epoch under which an assignment is granted to this life.
    pub(super) fn granted(&self, assignment: &str) -> Option<u64> {
        self.assignments
            .get(assignment)
            .filter(|assignment| assignment.owner == Some(self.me))
            .map(|assignment| assignment.epoch)
    }

    /// Where an assignment is done now.
    pub(super) fn holder(&self, assignment: &str) -> Option<SocketAddr> {
        self.assignments
            .get(assignment)
            .and_then(|assignment| assignment.owner)
            .map(|peer| peer.address)
    }

    pub(super) fn sync_assignments(&mut self, now: Duration) {
        let mut partitions = BTreeMap::new();
        for partition in 0..CACHE_PARTITIONS {
            if let Some(epoch) = self.granted(&cache_assignment(&self.locality.ring, partition)) {
                partitions.insert(partition, epoch);
            }
        }
        if partitions != self.partitions {
            self.cache
                .keep_partitions(now, self.book.applied, &|partition| {
                    self.partitions.contains_key(&partition)
                        && partitions.get(&partition) == self.partitions.get(&partition)
                });
            let (before, after) = (self.partitions.len(), partitions.len());
            self.wants
                .retain(|partition, _| partitions.contains_key(partition));
            for partition in partitions
                .iter()
                .filter(|(partition, epoch)| self.partitions.get(partition) != Some(epoch))
                .map(|(partition, _)| *partition)
            {
                let last = self
                    .assignments
                    .get(&cache_assignment(&self.locality.ring, partition))
                    .and_then(|assignment| assignment.previous_owner);
                if let Some(last) = last.filter(|last| last.address != self.me.address) {
                    self.wants.insert(partition, (last.address, 0));
                }
            }
            self.partitions = partitions;
            self.ask_wants(now);
            self.note(
                Event::AssignmentAcquired,
                format!("{after} cache slices, before {before}"),
            );
        }
        if let Some(table) = self.table.clone() {
            self.sync_admissions(now, &table);
        }
        let admissions = self
            .admissions
            .keys()
            .map(|service| admission_assignment(service));
        let list = self
            .partitions
            .keys()
            .map(|partition| cache_assignment(&self.locality.ring, *partition))
            .chain(admissions)
            .collect();
        self.out
            .push(Output::Publish(PublishedState::Assignments(list)));
    }

    pub(super) fn sync_admissions(&mut self, now: Duration, table: &RouteTable) {
        let wanted: Vec<(&Group, u64)> = table
            .document
            .groups
            .iter()
            .filter_map(|group| Some((group, self.granted(&admission_assignment(&group.service))?)))
            .collect();
        let held: Vec<(String, u64)> = self
            .admissions
            .values()
            .map(|admission| (admission.service.clone(), admission.epoch))
            .collect();
        for (service, epoch) in held {
            if !wanted
                .iter()
                .any(|(group, granted)| group.service == service && *granted == epoch)
            {
                self.admissions.remove(&service);
                self.note(Event::AssignmentDropped, admission_assignment(&service));
            }
        }
        for (group, epoch) in wanted {
            if !self.admissions.contains_key(&group.service) {
                self.admissions.insert(
                    group.service.clone(),
                    AdmissionController::new(now, &group.service, epoch, self.extra_tries),
                );
                self.note(
                    Event::AssignmentAcquired,
                    format!("{} epoch {epoch}", admission_assignment(&group.service)),
                );
            }
            let admission = self.admissions.get_mut(&group.service).expect("just put");
            admission.update(now, group, &self.origins);
        }
        self.tell_underway(now, table);
    }

    /// Nothing is kept for edges whose sessions have ended: neither places in line
    /// for permits nor waits for copies.
    pub(super) fn forget_gone_askers(&mut self, now: Duration) {
        let Some(Row {
            value:
                Value::EdgeRegistry {
                    members,
                    departed: gone,
                    ..
                },
            ..
        }) = self.known[usize::from(ASSIGNMENTS_PARTITION)].get("roll")
        else {
            return;
        };
        let back = |peer: &Peer| members.iter().any(|member| member.address == peer.address);
        let gone: HashSet<SocketAddr> = gone
            .iter()
            .filter(|peer| !back(peer))
            .map(|peer| peer.address)
            .collect();
        if gone.is_empty() {
            return;
        }
        self.cache.forget_askers(&gone);
        for admission in self.admissions.values_mut() {
            admission.forget_askers(now, &gone);
        }
    }

    /// Asks last holders for copies, a few times.
    pub(super) fn ask_wants(&mut self, now: Duration) {
        self.wants.retain(|_, (_, asked)| *asked < WANTS);
        let due: Vec<(u16, SocketAddr)> = self
            .wants
            .iter()
            .map(|(partition, (last, _))| (*partition, *last))
            .collect();
        for (partition, last) in due {
            self.wants.get_mut(&partition).expect("just listed").1 += 1;
            let epoch = self.partitions.get(&partition).copied().unwrap_or(0);
            self.tell(
                last,
                HandoverRequest {
                    partition,
                    epoch,
                    sent: now,
                },
            );
        }
    }

    pub(super) fn want(&mut self, now: Duration, from: Peer, want: HandoverRequest) {
        let HandoverRequest {
            partition,
            epoch,
            sent,
        } = want;
        let copies = self.cache.hand(now, partition);
        if !copies.is_empty() {
            self.tell(
                from.address,
                HandoverReply {
                    partition,
                    epoch,
                    sent,
                    copies,
                },
            );
        }
    }

    pub(super) fn handed(&mut self, now: Duration, handed: HandoverReply) {
        let HandoverReply {
            partition,
            epoch,
            sent,
            copies,
        } = handed;
        if self.partitions.get(&partition) == Some(&epoch)
            && self.wants.remove(&partition).is_some()
            && sent <= now
        {
            self.cache.take_over(now, now - sent, copies, &self.book);
        }
    }

    /// New admission controller holders hear of our calls under way by earlier permits.
    pub(super) fn tell_underway(&mut self, now: Duration, table: &RouteTable) {
        for group in &table.document.groups {
            let Some(Assignment {
                owner: Some(holder),
                epoch,
                ..
            }) = self.assignments.get(&admission_assignment(&group.service))
            else {
                continue;
            };
            let calls: Vec<_> = self
                .jobs
                .values()
                .filter_map(|job| match &job.stage {
                    Stage::Calling { permit, .. }
                        if permit.service == group.service && permit.epoch < *epoch =>
                    {
                        Some((
                            permit.epoch,
                            permit.serial,
                            permit.origin.address,
                            job.left(now),
                        ))
                    }
                    _ => None,
                })
                .collect();
            if !calls.is_empty() {
                let to = holder.address;
                self.tell(
                    to,
                    CallsInProgress {
                        service: group.service.clone(),
                        calls,
                    },
                );
            }
        }
    }

    pub(super) fn handle_assignment_message(
        &mut self,
        now: Duration,
        from: Peer,
        message: Message,
    ) {
        if !self.is_live(now) {
            return;
        }
        let purged = self.book.applied;
        match message {
            Message::CacheGet(get) => {
                match self.partitions.get(&cache_partition(&get.key)) {
                    Some(epoch) => self.cache.get(now, from.address, get, *epoch, purged),
                    // Between two owners: whoever asks fetches for itself.
                    None => self.tell(
                        from.address,
                        CacheUnavailable {
                            id: get.id,
                            key: get.key,
                        },
                    ),
                }
            }
            Message::CachePut(put) => {
                if let Some(epoch) = self.partitions.get(&cache_partition(&put.key)) {
                    let text = format!("token {} epoch {}", put.token.serial, put.token.epoch);
                    if !self.cache.put(now, put, *epoch, &self.book) {
                        self.note(Event::PutDropped, text);
                    }
                }
            }
            Message::CacheFillFailed(CacheFillFailed {
                key,
                token,
                private,
            }) => {
                if let Some(epoch) = self.partitions.get(&cache_partition(&key)) {
                    self.cache.give_up(now, key, token, *epoch, purged, private);
                }
            }
            Message::PermitRequest(request) => match self.admissions.get_mut(&request.service) {
                Some(admission) => admission.request_permit(now, from.address, request),
                None => self.tell(
                    from.address,
                    PermitRefused {
                        id: request.id,
                        reason: PermitRefusalReason::NotOwner,
                        back: AGAIN,
                    },
                ),
            },
            Message::PermitWithdrawn(withdrawn) => {
                if let Some(admission) = self.admissions.get_mut(&withdrawn.service) {
                    admission.withdraw(now, from.address, withdrawn.id);
                }
            }
            Message::CacheGetWithdrawn(withdrawn) => {
                self.cache
                    .withdraw(from.address, &withdrawn.key, withdrawn.id);
            }
            Message::CallDone(done) => {
                if let Some(admission) = self.admissions.get_mut(&done.service) {
                    admission.done(now, done);
                }
            }
            Message::CallsInProgress(told) => {
                if let Some(admission) = self.admissions.get_mut(&told.service) {
                    admission.underway(now, told);
                }
            }
            _ => {}
        }
    }

    pub(super) fn run_admissions(&mut self, now: Duration) {
        let Some(table) = self.table.clone() else {
            return;
        };
        let mut calls = Vec::new();
        let mut watches = Vec::new();
        for admission in self.admissions.values_mut() {
            admission.pump(now);
            let Some(group) = table.document.group(&admission.service) else {
                continue;
            };
            watches.extend(admission.watches(now));
            for origin in admission.probes(now) {
                calls.push((origin, group.key.clone()));
            }
        }
        self.out.extend(
            watches
                .into_iter()
                .map(|address| Output::WatchConnection { address }),
        );
        for (origin, key) in calls {
            let id = self.draw_id();
            self.probes.insert(id, origin.clone());
            let call = Call {
                origin,
                method: "GET".into(),
                url: PROBE.into(),
                host: String::new(),
                headers: vec![],
                body: Arc::default(),
                operation: None,
                request_id: None,
                request: id,
                key,
                proof: Proof::Seal,
                timeout: PROBE_LIMIT,
                max_connections: 1,
                purpose: CallPurpose::Probe,
            };
            self.out.push(Output::Call { id, call });
        }
    }

    pub(super) fn probed(&mut self, now: Duration, id: u64, result: CallOutcome) {
        let Some(origin) = self.probes.remove(&id) else {
            return;
        };
        let (good, why) = match result {
            CallOutcome::Success(reply) => {
                (reply.status == 200, format!("status {}", reply.status))
            }
            CallOutcome::Unreachable => (false, "refused".into()),
            CallOutcome::NotSent => (false, "withheld".into()),
            CallOutcome::NotExecuted | CallOutcome::WrongInstance => {
                (false, "another, or not willing".into())
            }
            CallOutcome::Failure(why) => (false, why),
        };
        let changed = self
            .admissions
            .get_mut(&origin.service)
            .is_some_and(|admission| admission.probed(now, &origin, good));
        if changed {
            let text = format!(
                "{} {} {}: {why}",
                origin.address, origin.service, origin.instance
            );
            self.note(
                if good {
                    Event::OriginProven
                } else {
                    Event::OriginEjected
                },
                text,
            );
        }
    }

    /// What the assignments held here have to say goes out.
    pub(super) fn flush_assignments(&mut self) {
        let mut told = self.cache.take_out();
        for admission in self.admissions.values_mut() {
            told.extend(admission.take_out());
        }
        for (to, message) in told {
            self.tell(to, message);
        }
    }
}
