//! What is assigned to this edge: cache partitions and admission control of origin groups.
use super::{EdgeNode, MAX_HANDOVER_REQUESTS, PROBE_PATH, PROBE_TIMEOUT, RESEND_INTERVAL};
use crate::prelude::*;

impl EdgeNode {
    /// The epoch under which an assignment is granted to this life.
    pub(super) fn granted_epoch(&self, assignment: &str) -> Option<u64> {
        self.assignments
            .get(assignment)
            .filter(|assignment| assignment.owner == Some(self.local_peer))
            .map(|assignment| assignment.epoch)
    }

    /// Where an assignment is done now.
    pub(super) fn assignment_owner(&self, assignment: &str) -> Option<SocketAddr> {
        self.assignments
            .get(assignment)
            .and_then(|assignment| assignment.owner)
            .map(|peer| peer.address)
    }

    pub(super) fn sync_assignments(&mut self, now: Duration) {
        let mut partitions = BTreeMap::new();
        for partition in 0..CACHE_PARTITIONS {
            if let Some(epoch) =
                self.granted_epoch(&cache_assignment(&self.locality.ring, partition))
            {
                partitions.insert(partition, epoch);
            }
        }
        if partitions != self.owned_partitions {
            self.cache_owner
                .retain_partitions(now, self.purge_log.applied, &|partition| {
                    self.owned_partitions.contains_key(&partition)
                        && partitions.get(&partition) == self.owned_partitions.get(&partition)
                });
            let (before, after) = (self.owned_partitions.len(), partitions.len());
            self.pending_handovers
                .retain(|partition, _| partitions.contains_key(partition));
            for partition in partitions
                .iter()
                .filter(|(partition, epoch)| self.owned_partitions.get(partition) != Some(epoch))
                .map(|(partition, _)| *partition)
            {
                let last = self
                    .assignments
                    .get(&cache_assignment(&self.locality.ring, partition))
                    .and_then(|assignment| assignment.previous_owner);
                if let Some(last) = last.filter(|last| last.address != self.local_peer.address) {
                    self.pending_handovers.insert(partition, (last.address, 0));
                }
            }
            self.owned_partitions = partitions;
            self.request_handovers(now);
            self.log_event(
                Event::AssignmentAcquired,
                format!("{after} cache slices, before {before}"),
            );
        }
        if let Some(table) = self.routes.clone() {
            self.sync_admission_controllers(now, &table);
        }
        let admissions = self
            .admission_controllers
            .keys()
            .map(|service| admission_assignment(service));
        let list = self
            .owned_partitions
            .keys()
            .map(|partition| cache_assignment(&self.locality.ring, *partition))
            .chain(admissions)
            .collect();
        self.outputs
            .push(Output::Publish(PublishedState::Assignments(list)));
    }

    pub(super) fn sync_admission_controllers(&mut self, now: Duration, table: &RouteTable) {
        let wanted: Vec<(&Group, u64)> = table
            .document
            .groups
            .iter()
            .filter_map(|group| {
                Some((
                    group,
                    self.granted_epoch(&admission_assignment(&group.service))?,
                ))
            })
            .collect();
        let held: Vec<(String, u64)> = self
            .admission_controllers
            .values()
            .map(|admission| (admission.service.clone(), admission.epoch))
            .collect();
        for (service, epoch) in held {
            if !wanted
                .iter()
                .any(|(group, granted)| group.service == service && *granted == epoch)
            {
                self.admission_controllers.remove(&service);
                self.log_event(Event::AssignmentDropped, admission_assignment(&service));
            }
        }
        for (group, epoch) in wanted {
            if !self.admission_controllers.contains_key(&group.service) {
                self.admission_controllers.insert(
                    group.service.clone(),
                    AdmissionController::new(now, &group.service, epoch, self.retry_allowance),
                );
                self.log_event(
                    Event::AssignmentAcquired,
                    format!("{} epoch {epoch}", admission_assignment(&group.service)),
                );
            }
            let admission = self
                .admission_controllers
                .get_mut(&group.service)
                .expect("just put");
            admission.apply_configuration(now, group, &self.origins);
        }
        self.report_calls_in_flight(now, table);
    }

    /// Nothing is kept for edges whose sessions have ended: neither places in line
    /// for permits nor waits for copies.
    pub(super) fn forget_departed_edges(&mut self, now: Duration) {
        let Some(Row {
            value:
                Value::EdgeRegistry {
                    members,
                    departed: gone,
                    ..
                },
            ..
        }) = self.known_rows[usize::from(ASSIGNMENTS_PARTITION)].get("roll")
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
        self.cache_owner.forget_edges(&gone);
        for admission in self.admission_controllers.values_mut() {
            admission.forget_edges(now, &gone);
        }
    }

    /// Asks last holders for copies, a few times.
    pub(super) fn request_handovers(&mut self, now: Duration) {
        self.pending_handovers
            .retain(|_, (_, asked)| *asked < MAX_HANDOVER_REQUESTS);
        let due: Vec<(u16, SocketAddr)> = self
            .pending_handovers
            .iter()
            .map(|(partition, (last, _))| (*partition, *last))
            .collect();
        for (partition, last) in due {
            self.pending_handovers
                .get_mut(&partition)
                .expect("just listed")
                .1 += 1;
            let epoch = self.owned_partitions.get(&partition).copied().unwrap_or(0);
            self.send(
                last,
                HandoverRequest {
                    partition,
                    epoch,
                    sent: now,
                },
            );
        }
    }

    pub(super) fn handle_handover_request(
        &mut self,
        now: Duration,
        from: Peer,
        want: HandoverRequest,
    ) {
        let HandoverRequest {
            partition,
            epoch,
            sent,
        } = want;
        let copies = self.cache_owner.hand_over(now, partition);
        if !copies.is_empty() {
            self.send(
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

    pub(super) fn handle_handover_reply(&mut self, now: Duration, handed: HandoverReply) {
        let HandoverReply {
            partition,
            epoch,
            sent,
            copies,
        } = handed;
        if self.owned_partitions.get(&partition) == Some(&epoch)
            && self.pending_handovers.remove(&partition).is_some()
            && sent <= now
        {
            self.cache_owner
                .take_over(now, now - sent, copies, &self.purge_log);
        }
    }

    /// New admission controller holders hear of our calls under way by earlier permits.
    pub(super) fn report_calls_in_flight(&mut self, now: Duration, table: &RouteTable) {
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
                .active_requests
                .values()
                .filter_map(|active| match &active.stage {
                    Stage::Calling { permit, .. }
                        if permit.service == group.service && permit.epoch < *epoch =>
                    {
                        Some((
                            permit.epoch,
                            permit.serial,
                            permit.origin.address,
                            active.remaining(now),
                        ))
                    }
                    _ => None,
                })
                .collect();
            if !calls.is_empty() {
                let to = holder.address;
                self.send(
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
        let purged = self.purge_log.applied;
        match message {
            Message::CacheGet(get) => {
                match self.owned_partitions.get(&cache_partition(&get.key)) {
                    Some(epoch) => self.cache_owner.get(now, from.address, get, *epoch, purged),
                    // Between two owners: whoever asks fetches for itself.
                    None => self.send(
                        from.address,
                        CacheUnavailable {
                            id: get.id,
                            key: get.key,
                        },
                    ),
                }
            }
            Message::CachePut(put) => {
                if let Some(epoch) = self.owned_partitions.get(&cache_partition(&put.key)) {
                    let text = format!("token {} epoch {}", put.token.serial, put.token.epoch);
                    if !self.cache_owner.put(now, put, *epoch, &self.purge_log) {
                        self.log_event(Event::PutDropped, text);
                    }
                }
            }
            Message::CacheFillFailed(CacheFillFailed {
                key,
                token,
                private,
            }) => {
                if let Some(epoch) = self.owned_partitions.get(&cache_partition(&key)) {
                    self.cache_owner
                        .fill_failed(now, key, token, *epoch, purged, private);
                }
            }
            Message::PermitRequest(request) => {
                match self.admission_controllers.get_mut(&request.service) {
                    Some(admission) => admission.request_permit(now, from.address, request),
                    None => self.send(
                        from.address,
                        PermitRefused {
                            id: request.id,
                            reason: PermitRefusalReason::NotOwner,
                            back: RESEND_INTERVAL,
                        },
                    ),
                }
            }
            Message::PermitWithdrawn(withdrawn) => {
                if let Some(admission) = self.admission_controllers.get_mut(&withdrawn.service) {
                    admission.withdraw(now, from.address, withdrawn.id);
                }
            }
            Message::CacheGetWithdrawn(withdrawn) => {
                self.cache_owner
                    .withdraw(from.address, &withdrawn.key, withdrawn.id);
            }
            Message::CallDone(done) => {
                if let Some(admission) = self.admission_controllers.get_mut(&done.service) {
                    admission.call_completed(now, done);
                }
            }
            Message::CallsInProgress(told) => {
                if let Some(admission) = self.admission_controllers.get_mut(&told.service) {
                    admission.add_calls_in_flight(now, told);
                }
            }
            _ => {}
        }
    }

    pub(super) fn run_admission_controllers(&mut self, now: Duration) {
        let Some(table) = self.routes.clone() else {
            return;
        };
        let mut calls = Vec::new();
        let mut watches = Vec::new();
        for admission in self.admission_controllers.values_mut() {
            admission.dispatch(now);
            let Some(group) = table.document.group(&admission.service) else {
                continue;
            };
            watches.extend(admission.connections_to_open(now));
            for origin in admission.start_probes(now) {
                calls.push((origin, group.key.clone()));
            }
        }
        self.outputs.extend(
            watches
                .into_iter()
                .map(|address| Output::WatchConnection { address }),
        );
        for (origin, key) in calls {
            let id = self.next_id();
            self.probes_in_flight.insert(id, origin.clone());
            let call = Call {
                origin,
                method: "GET".into(),
                url: PROBE_PATH.into(),
                host: String::new(),
                headers: vec![],
                body: Arc::default(),
                operation: None,
                request_id: None,
                request: id,
                key,
                proof: Proof::Seal,
                timeout: PROBE_TIMEOUT,
                max_connections: 1,
                purpose: CallPurpose::Probe,
            };
            self.outputs.push(Output::Call { id, call });
        }
    }

    pub(super) fn handle_probe_result(&mut self, now: Duration, id: u64, result: CallOutcome) {
        let Some(origin) = self.probes_in_flight.remove(&id) else {
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
            .admission_controllers
            .get_mut(&origin.service)
            .is_some_and(|admission| admission.probe_completed(now, &origin, good));
        if changed {
            let text = format!(
                "{} {} {}: {why}",
                origin.address, origin.service, origin.instance
            );
            self.log_event(
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
    pub(super) fn flush_assignment_messages(&mut self) {
        let mut told = self.cache_owner.take_outgoing();
        for admission in self.admission_controllers.values_mut() {
            told.extend(admission.take_outgoing());
        }
        for (to, message) in told {
            self.send(to, message);
        }
    }
}
