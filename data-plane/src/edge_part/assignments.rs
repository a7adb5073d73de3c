//! What is assigned to this edge: cache slices and admission control of origin groups.
use super::{AGAIN, EdgePart, PROBE, PROBE_LIMIT, WANTS};
use crate::prelude::*;

impl EdgePart {
    /// The epoch under which a duty is granted to this life.
    pub(super) fn granted(&self, duty: &str) -> Option<u64> {
        self.duties
            .get(duty)
            .filter(|duty| duty.holder == Some(self.me))
            .map(|duty| duty.epoch)
    }

    /// Where a duty is done now.
    pub(super) fn holder(&self, duty: &str) -> Option<SocketAddr> {
        self.duties
            .get(duty)
            .and_then(|duty| duty.holder)
            .map(|peer| peer.address)
    }

    pub(super) fn sync_duties(&mut self, now: Duration) {
        let mut slices = BTreeMap::new();
        for slice in 0..CACHE_SLICES {
            if let Some(epoch) = self.granted(&cache_duty(&self.spot.ring, slice)) {
                slices.insert(slice, epoch);
            }
        }
        if slices != self.slices {
            self.cache.keep_slices(now, self.book.applied, &|slice| {
                self.slices.contains_key(&slice) && slices.get(&slice) == self.slices.get(&slice)
            });
            let (before, after) = (self.slices.len(), slices.len());
            self.wants.retain(|slice, _| slices.contains_key(slice));
            for slice in slices
                .iter()
                .filter(|(slice, epoch)| self.slices.get(slice) != Some(epoch))
                .map(|(slice, _)| *slice)
            {
                let last = self
                    .duties
                    .get(&cache_duty(&self.spot.ring, slice))
                    .and_then(|duty| duty.last);
                if let Some(last) = last.filter(|last| last.address != self.me.address) {
                    self.wants.insert(slice, (last.address, 0));
                }
            }
            self.slices = slices;
            self.ask_wants(now);
            self.note(
                Event::DutyTaken,
                format!("{after} cache slices, before {before}"),
            );
        }
        if let Some(table) = self.table.clone() {
            self.sync_gates(now, &table);
        }
        let gates = self.gates.keys().map(|service| gate_duty(service));
        let list = self
            .slices
            .keys()
            .map(|slice| cache_duty(&self.spot.ring, *slice))
            .chain(gates)
            .collect();
        self.out.push(Output::Show(Shown::Duties(list)));
    }

    pub(super) fn sync_gates(&mut self, now: Duration, table: &EntryTable) {
        let wanted: Vec<(&Group, u64)> = table
            .document
            .groups
            .iter()
            .filter_map(|group| Some((group, self.granted(&gate_duty(&group.service))?)))
            .collect();
        let held: Vec<(String, u64)> = self
            .gates
            .values()
            .map(|gate| (gate.service.clone(), gate.epoch))
            .collect();
        for (service, epoch) in held {
            if !wanted
                .iter()
                .any(|(group, granted)| group.service == service && *granted == epoch)
            {
                self.gates.remove(&service);
                self.note(Event::DutyDropped, gate_duty(&service));
            }
        }
        for (group, epoch) in wanted {
            if !self.gates.contains_key(&group.service) {
                self.gates.insert(
                    group.service.clone(),
                    Gate::new(now, &group.service, epoch, self.extra_tries),
                );
                self.note(
                    Event::DutyTaken,
                    format!("{} epoch {epoch}", gate_duty(&group.service)),
                );
            }
            let gate = self.gates.get_mut(&group.service).expect("just put");
            gate.update(now, group, &self.origins);
        }
        self.tell_underway(now, table);
    }

    /// Nothing is kept for edges whose sessions have ended: neither places in line
    /// for permits nor waits for copies.
    pub(super) fn forget_gone_askers(&mut self, now: Duration) {
        let Some(Row {
            value: Value::Roll { members, gone, .. },
            ..
        }) = self.known[usize::from(DUTIES)].get("roll")
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
        for gate in self.gates.values_mut() {
            gate.forget_askers(now, &gone);
        }
    }

    /// Asks last holders for copies, a few times.
    pub(super) fn ask_wants(&mut self, now: Duration) {
        self.wants.retain(|_, (_, asked)| *asked < WANTS);
        let due: Vec<(u16, SocketAddr)> = self
            .wants
            .iter()
            .map(|(slice, (last, _))| (*slice, *last))
            .collect();
        for (slice, last) in due {
            self.wants.get_mut(&slice).expect("just listed").1 += 1;
            let epoch = self.slices.get(&slice).copied().unwrap_or(0);
            self.tell(
                last,
                HandoverRequest {
                    slice,
                    epoch,
                    sent: now,
                },
            );
        }
    }

    pub(super) fn want(&mut self, now: Duration, from: Peer, want: HandoverRequest) {
        let HandoverRequest { slice, epoch, sent } = want;
        let copies = self.cache.hand(now, slice);
        if !copies.is_empty() {
            self.tell(
                from.address,
                HandoverReply {
                    slice,
                    epoch,
                    sent,
                    copies,
                },
            );
        }
    }

    pub(super) fn handed(&mut self, now: Duration, handed: HandoverReply) {
        let HandoverReply {
            slice,
            epoch,
            sent,
            copies,
        } = handed;
        if self.slices.get(&slice) == Some(&epoch)
            && self.wants.remove(&slice).is_some()
            && sent <= now
        {
            self.cache.take_over(now, now - sent, copies, &self.book);
        }
    }

    /// New gate holders hear of our calls under way by earlier permits.
    pub(super) fn tell_underway(&mut self, now: Duration, table: &EntryTable) {
        for group in &table.document.groups {
            let Some(Duty {
                holder: Some(holder),
                epoch,
                ..
            }) = self.duties.get(&gate_duty(&group.service))
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

    pub(super) fn handle_duty_message(&mut self, now: Duration, from: Peer, message: Message) {
        if !self.is_live(now) {
            return;
        }
        let purged = self.book.applied;
        match message {
            Message::Get(get) => {
                match self.slices.get(&cache_slice(&get.key)) {
                    Some(epoch) => self.cache.get(now, from.address, get, *epoch, purged),
                    // Between two owners: whoever asks fetches for itself.
                    None => self.tell(
                        from.address,
                        NoCopy {
                            id: get.id,
                            key: get.key,
                        },
                    ),
                }
            }
            Message::Put(put) => {
                if let Some(epoch) = self.slices.get(&cache_slice(&put.key)) {
                    let text = format!("token {} epoch {}", put.token.serial, put.token.epoch);
                    if !self.cache.put(now, put, *epoch, &self.book) {
                        self.note(Event::PutDropped, text);
                    }
                }
            }
            Message::Fail(Fail {
                key,
                token,
                private,
            }) => {
                if let Some(epoch) = self.slices.get(&cache_slice(&key)) {
                    self.cache.give_up(now, key, token, *epoch, purged, private);
                }
            }
            Message::PermitRequest(request) => match self.gates.get_mut(&request.service) {
                Some(gate) => gate.request_permit(now, from.address, request),
                None => self.tell(
                    from.address,
                    PermitRefused {
                        id: request.id,
                        reason: AwayReason::NotHere,
                        back: AGAIN,
                    },
                ),
            },
            Message::PermitWithdrawn(withdrawn) => {
                if let Some(gate) = self.gates.get_mut(&withdrawn.service) {
                    gate.withdraw(now, from.address, withdrawn.id);
                }
            }
            Message::GetWithdrawn(withdrawn) => {
                self.cache
                    .withdraw(from.address, &withdrawn.key, withdrawn.id);
            }
            Message::CallDone(done) => {
                if let Some(gate) = self.gates.get_mut(&done.service) {
                    gate.done(now, done);
                }
            }
            Message::CallsInProgress(told) => {
                if let Some(gate) = self.gates.get_mut(&told.service) {
                    gate.underway(now, told);
                }
            }
            _ => {}
        }
    }

    pub(super) fn run_gates(&mut self, now: Duration) {
        let Some(table) = self.table.clone() else {
            return;
        };
        let mut calls = Vec::new();
        let mut watches = Vec::new();
        for gate in self.gates.values_mut() {
            gate.pump(now);
            let Some(group) = table.document.group(&gate.service) else {
                continue;
            };
            watches.extend(gate.watches(now));
            for origin in gate.probes(now) {
                calls.push((origin, group.key.clone()));
            }
        }
        self.out
            .extend(watches.into_iter().map(|address| Output::Watch { address }));
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
                name: None,
                request: id,
                key,
                proof: Proof::Seal,
                limit: PROBE_LIMIT,
                sessions: 1,
                purpose: CallPurpose::Probe,
            };
            self.out.push(Output::Call { id, call });
        }
    }

    pub(super) fn probed(&mut self, now: Duration, id: u64, result: CallBack) {
        let Some(origin) = self.probes.remove(&id) else {
            return;
        };
        let (good, why) = match result {
            CallBack::Good(reply) => (reply.status == 200, format!("status {}", reply.status)),
            CallBack::Refused => (false, "refused".into()),
            CallBack::Withheld => (false, "withheld".into()),
            CallBack::NotRun | CallBack::Stranger => (false, "another, or not willing".into()),
            CallBack::Bad(why) => (false, why),
        };
        let changed = self
            .gates
            .get_mut(&origin.service)
            .is_some_and(|gate| gate.probed(now, &origin, good));
        if changed {
            let text = format!(
                "{} {} {}: {why}",
                origin.address, origin.service, origin.instance
            );
            self.note(
                if good {
                    Event::OriginProven
                } else {
                    Event::OriginAside
                },
                text,
            );
        }
    }

    /// What the duties held here have to say goes out.
    pub(super) fn flush_duties(&mut self) {
        let mut told = self.cache.take_out();
        for gate in self.gates.values_mut() {
            told.extend(gate.take_out());
        }
        for (to, message) in told {
            self.tell(to, message);
        }
    }
}
