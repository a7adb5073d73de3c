//! The assignments of this edge: cache partitions and admission control of origin
//! groups.
use super::{EdgeNode, RESEND_INTERVAL};
use crate::prelude::*;

/// The edges that have or had a session.
pub(super) struct EdgeRegistry<'a> {
    /// Edges whose sessions are valid.
    pub(super) members: &'a [Peer],
    /// Edges whose sessions have ended.
    pub(super) departed: &'a [Peer],
}

/// The key of the row that holds the edge registry.
const EDGE_REGISTRY_KEY: &str = "roll";

impl EdgeNode {
    /// Returns the epoch under which an assignment is granted to this incarnation.
    fn granted_epoch(&self, assignment: &str) -> Option<u64> {
        self.state
            .assignments
            .get(assignment)
            .filter(|assignment| assignment.owner == Some(self.local_peer))
            .map(|assignment| assignment.epoch)
    }

    /// Returns the edge that owns an assignment.
    pub(super) fn assignment_owner(&self, assignment: &str) -> Option<SocketAddr> {
        self.state
            .assignments
            .get(assignment)
            .and_then(|assignment| assignment.owner)
            .map(|peer| peer.address)
    }

    /// Returns the registry of edges, once it is known.
    pub(super) fn edge_registry(&self) -> Option<EdgeRegistry<'_>> {
        let row =
            self.state.known_rows[usize::from(ASSIGNMENTS_PARTITION)].get(EDGE_REGISTRY_KEY)?;
        match &row.value {
            Value::EdgeRegistry {
                members, departed, ..
            } => Some(EdgeRegistry { members, departed }),
            _ => None,
        }
    }

    /// Acquires and drops assignments to match the current grants.
    pub(super) fn sync_assignments(&mut self, now: Duration) {
        self.sync_partitions(now);
        if let Some(routes) = self.state.routes.clone() {
            self.sync_admission_controllers(now, &routes);
        }
        let admissions = self
            .admission_controllers
            .keys()
            .map(|service| admission_assignment(service));
        let owned = self
            .owned_partitions
            .keys()
            .map(|partition| cache_assignment(&self.locality.ring, *partition))
            .chain(admissions)
            .collect();
        self.outputs
            .push(Output::Publish(PublishedState::Assignments(owned)));
    }

    fn sync_partitions(&mut self, now: Duration) {
        let granted: BTreeMap<u16, u64> = (0..CACHE_PARTITIONS)
            .filter_map(|partition| {
                let assignment = cache_assignment(&self.locality.ring, partition);
                Some((partition, self.granted_epoch(&assignment)?))
            })
            .collect();
        if granted == self.owned_partitions {
            return;
        }
        let before = std::mem::replace(&mut self.owned_partitions, granted);
        let owned = &self.owned_partitions;
        self.cache_owner
            .retain_partitions(now, self.state.purge_log.applied, &|partition| {
                before.contains_key(&partition) && owned.get(&partition) == before.get(&partition)
            });
        self.pending_handovers
            .retain(|partition, _| owned.contains_key(partition));
        let gained: Vec<u16> = owned
            .iter()
            .filter(|(partition, epoch)| before.get(partition) != Some(epoch))
            .map(|(partition, _)| *partition)
            .collect();
        for partition in gained {
            self.plan_handover(partition);
        }
        self.request_handovers(now);
        let text = format!(
            "{} cache partitions, previously {}",
            self.owned_partitions.len(),
            before.len()
        );
        self.log_event(Event::AssignmentAcquired, text);
    }

    fn sync_admission_controllers(&mut self, now: Duration, routes: &RouteTable) {
        let granted: Vec<(&Group, u64)> = routes
            .document
            .groups
            .iter()
            .filter_map(|group| {
                let assignment = admission_assignment(&group.service);
                Some((group, self.granted_epoch(&assignment)?))
            })
            .collect();
        self.drop_admission_controllers(&granted);
        for (group, epoch) in granted {
            if !self.admission_controllers.contains_key(&group.service) {
                let admission =
                    AdmissionController::new(now, &group.service, epoch, self.retry_allowance);
                self.admission_controllers
                    .insert(group.service.clone(), admission);
                let assignment = admission_assignment(&group.service);
                let text = format!("{assignment} epoch {epoch}");
                self.log_event(Event::AssignmentAcquired, text);
            }
            let admission = self
                .admission_controllers
                .get_mut(&group.service)
                .expect("just inserted");
            admission.apply_configuration(now, group, &self.state.origins);
        }
        self.report_calls_in_flight(now, routes);
    }

    /// Drops the admission controllers whose epoch is no longer granted.
    fn drop_admission_controllers(&mut self, granted: &[(&Group, u64)]) {
        let is_granted = |admission: &AdmissionController| {
            granted.iter().any(|(group, epoch)| {
                group.service == admission.service && *epoch == admission.epoch
            })
        };
        let dropped: Vec<String> = self
            .admission_controllers
            .values()
            .filter(|admission| !is_granted(admission))
            .map(|admission| admission.service.clone())
            .collect();
        for service in dropped {
            self.admission_controllers.remove(&service);
            self.log_event(Event::AssignmentDropped, admission_assignment(&service));
        }
    }

    /// Removes the queued requests of edges whose sessions have ended.
    pub(super) fn remove_departed_edges(&mut self, now: Duration) {
        let Some(registry) = self.edge_registry() else {
            return;
        };
        let has_returned = |peer: &Peer| {
            registry
                .members
                .iter()
                .any(|member| member.address == peer.address)
        };
        let departed: HashSet<SocketAddr> = registry
            .departed
            .iter()
            .filter(|peer| !has_returned(peer))
            .map(|peer| peer.address)
            .collect();
        if departed.is_empty() {
            return;
        }
        self.cache_owner.remove_edges(&departed);
        for admission in self.admission_controllers.values_mut() {
            admission.remove_edges(now, &departed);
        }
    }

    /// Reports this edge's calls in flight under earlier permits to new admission
    /// controllers.
    fn report_calls_in_flight(&mut self, now: Duration, routes: &RouteTable) {
        for group in &routes.document.groups {
            let assignment = self
                .state
                .assignments
                .get(&admission_assignment(&group.service));
            let Some(Assignment {
                owner: Some(controller),
                epoch,
                ..
            }) = assignment
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
                        let origin = permit.origin.address;
                        Some((permit.epoch, permit.serial, origin, active.remaining(now)))
                    }
                    _ => None,
                })
                .collect();
            if !calls.is_empty() {
                let service = group.service.clone();
                self.send(controller.address, CallsInProgress { service, calls });
            }
        }
    }

    /// Handles a message for an assignment that this edge may own.
    pub(super) fn handle_assignment_message(
        &mut self,
        now: Duration,
        from: Peer,
        message: Message,
    ) {
        if !self.is_live(now) {
            return;
        }
        match message {
            Message::CacheGet(get) => self.handle_cache_get(now, from, get),
            Message::CachePut(put) => self.handle_cache_put(now, put),
            Message::CacheFillFailed(failed) => self.handle_fill_failed(now, failed),
            Message::CacheGetWithdrawn(withdrawn) => {
                self.cache_owner
                    .withdraw(from.address, &withdrawn.key, withdrawn.id);
            }
            Message::PermitRequest(request) => self.handle_permit_request(now, from, request),
            Message::PermitWithdrawn(withdrawn) => {
                if let Some(admission) = self.admission_controllers.get_mut(&withdrawn.service) {
                    admission.withdraw(now, from.address, withdrawn.id);
                }
            }
            Message::CallDone(done) => {
                if let Some(admission) = self.admission_controllers.get_mut(&done.service) {
                    admission.call_completed(now, done);
                }
            }
            Message::CallsInProgress(reported) => {
                if let Some(admission) = self.admission_controllers.get_mut(&reported.service) {
                    admission.add_calls_in_flight(now, reported);
                }
            }
            _ => {}
        }
    }

    fn handle_cache_get(&mut self, now: Duration, from: Peer, get: CacheGet) {
        match self.owned_partitions.get(&cache_partition(&get.key)) {
            Some(epoch) => {
                let applied = self.state.purge_log.applied;
                self.cache_owner
                    .get(now, from.address, get, *epoch, applied)
            }
            // The partition is being reassigned: each request fetches for itself.
            None => {
                let CacheGet { id, key, .. } = get;
                self.send(from.address, CacheUnavailable { id, key })
            }
        }
    }

    fn handle_cache_put(&mut self, now: Duration, put: CachePut) {
        let Some(epoch) = self.owned_partitions.get(&cache_partition(&put.key)) else {
            return;
        };
        let text = format!("token {} epoch {}", put.token.serial, put.token.epoch);
        if !self
            .cache_owner
            .put(now, put, *epoch, &self.state.purge_log)
        {
            self.log_event(Event::PutDropped, text);
        }
    }

    fn handle_fill_failed(&mut self, now: Duration, failed: CacheFillFailed) {
        let CacheFillFailed {
            key,
            token,
            private,
        } = failed;
        if let Some(epoch) = self.owned_partitions.get(&cache_partition(&key)) {
            let applied = self.state.purge_log.applied;
            self.cache_owner
                .fill_failed(now, key, token, *epoch, applied, private);
        }
    }

    fn handle_permit_request(&mut self, now: Duration, from: Peer, request: PermitRequest) {
        match self.admission_controllers.get_mut(&request.service) {
            Some(admission) => admission.request_permit(now, from.address, request),
            None => {
                let refused = PermitRefused {
                    id: request.id,
                    reason: PermitRefusalReason::NotOwner,
                    retry_after: RESEND_INTERVAL,
                };
                self.send(from.address, refused);
            }
        }
    }

    /// Sends the messages of the cache owner and the admission controllers.
    pub(super) fn flush_assignment_messages(&mut self) {
        let mut outgoing = self.cache_owner.take_outgoing();
        for admission in self.admission_controllers.values_mut() {
            outgoing.extend(admission.take_outgoing());
        }
        for (to, message) in outgoing {
            self.send(to, message);
        }
    }
}
