//! Simulated clients.
use crate::prelude::*;

/// A repeat of what was answered comes within so many milliseconds: the brief
/// says "about a minute".
const CLIENT_RETRY_DELAY: u64 = 70_000;
const REPEATS: u32 = 30;
/// One caller in so many leaves early, within this many milliseconds.
const LEAVES_ONE_IN: u64 = 16;
const LEAVES_WITHIN_MS: u64 = 400;
/// A call takes less than this from its edge's decision to its origin.
const CALL_LEAVES: Duration = Duration::from_millis(5);

/// Callers, and the platform that hands them to nodes.
/// Of a hundred confirmed operations that are sent again all the same.
const CONFIRMED_RETRY_SHARE: u64 = 15;
/// Retries of an operation whose outcome is unknown.
const UNKNOWN_OUTCOME_RETRIES: u32 = 3;

impl World {
    pub(crate) fn caller_comes(&mut self) {
        let gap = 1_000_000 / self.plan.deployment.rate;
        if self.now + CLIENT_TIMEOUT / 2 < self.plan.span {
            let span = self.micros(gap / 2, gap + gap / 2);
            self.after(span, SimEvent::ClientArrives);
        }
        let mut roll = self.random.below(100);
        let list = self.plan.deployment.mix.clone();
        let Some(mix) = list.into_iter().find(|mix| {
            let hit = roll < mix.share;
            roll = roll.saturating_sub(mix.share);
            hit
        }) else {
            return;
        };
        let at = if self.random.chance(70) {
            self.random.below(mix.paths / 10 + 1)
        } else {
            self.random.below(mix.paths)
        };
        self.serial += 1;
        let operation = mix.keyed.then(|| format!("op-{}", self.serial));
        let path = format!("{}{at}", mix.path);
        self.caller_calls(Task {
            mix,
            path,
            operation: operation.clone(),
            zone: None,
            tries: 0,
            first: self.now,
        });
    }

    /// A caller, sent by the platform to a node that says it is ready.
    pub(crate) fn caller_calls(&mut self, task: Task) {
        let ready = |node: &&usize| {
            let node = &self.nodes[**node];
            node.part.is_some()
                && !node.ending
                && node.ready
                && node.live(self.now)
                && task.zone.as_ref() != Some(&node.zone)
        };
        let all: Vec<usize> = self.edges().collect();
        let list: Vec<usize> = all.iter().filter(ready).copied().collect();
        // With none ready, callers still try somewhere.
        let list = if list.is_empty() { all } else { list };
        let node = list[self.random.below(list.len() as u64) as usize];
        let record = CallerRecord {
            start: self.seconds(),
            edge: self.nodes[node].peer.address.to_string(),
            entry: task.mix.entry.clone(),
            rank: task.mix.rank,
            path: task.path.clone(),
            operation: task.operation.clone(),
            ..CallerRecord::default()
        };
        self.serial += 1;
        let id = self.serial;
        let alive = self.nodes[node].part.is_some();
        self.requests.insert(
            id,
            PendingRequest {
                node,
                run: self.nodes[node].run,
                task: task.clone(),
                record,
            },
        );
        if !alive {
            return self.client_finished(
                id,
                Some(ClientResponse::Rejection(Rejection::not_run(
                    0, "refused", "",
                ))),
            );
        }
        self.after(CLIENT_TIMEOUT, SimEvent::ClientTimesOut { id });
        if self.plan.clients_disconnect && id.is_multiple_of(LEAVES_ONE_IN) {
            let span = Duration::from_millis(1 + id / LEAVES_ONE_IN * 37 % LEAVES_WITHIN_MS);
            self.after(span, SimEvent::ClientDisconnects { id });
        }
        let run = self.nodes[node].run;
        let span = self.micros(50, 500);
        self.after(span, SimEvent::Arrives { node, run, id });
    }

    /// The node reads the request.
    pub(crate) fn arrives(&mut self, node: usize, id: u64) {
        let Some(PendingRequest { task, .. }) = self.requests.get(&id) else {
            return;
        };
        let task = task.clone();
        match self.arrive(
            node,
            &task.mix.method,
            &task.path,
            task.operation.as_deref(),
        ) {
            Err(refusal) => self.client_finished(id, Some(ClientResponse::Rejection(refusal))),
            Ok(request) => self.step(node, Input::ClientRequest { id, request }),
        }
    }

    /// The same filters as in a process.
    pub(crate) fn arrive(
        &self,
        node: usize,
        method: &str,
        path: &str,
        operation: Option<&str>,
    ) -> Result<ClientRequest, Rejection> {
        let node = &self.nodes[node];
        let headers: Vec<(String, String)> = operation
            .iter()
            .flat_map(|key| {
                [
                    ("Operation-Key".to_string(), key.to_string()),
                    ("Authorization".to_string(), format!("caller of {key}")),
                ]
            })
            .collect();
        let mut arrival = IncomingRequest {
            method: method.into(),
            host: "sim".into(),
            url: path.into(),
            headers,
            body: Arc::new(operation.unwrap_or("").into()),
            operation_key: operation.map(Into::into),
            timeout: None,
            request_id: None,
            live: node.live(self.now),
            routes: node.image.clone(),
            entry: None,
        };
        match run_filters(&mut arrival) {
            Some(refusal) => Err(refusal),
            None => client_request_of(arrival)
                .ok_or_else(|| Rejection::not_run(500, "filters", "an unmatched arrival passed")),
        }
    }

    /// The face checks the lease once more before a copy goes out.
    pub(crate) fn response_sent(&mut self, node: usize, id: u64, answer: ClientResponse) {
        let keyed = self
            .requests
            .get(&id)
            .is_some_and(|request| request.task.operation.is_some());
        let copy = matches!(answer, ClientResponse::Reply { age: Some(_), .. });
        let answer = if copy && !keyed && !self.nodes[node].live(self.now) {
            ClientResponse::Rejection(Rejection::fenced(RunState::NotRun))
        } else {
            answer
        };
        self.client_finished(id, Some(answer));
    }

    /// Nothing leaves for a caller alone after its close was read.
    pub(crate) fn see_departed(&mut self, call: &Call) {
        let Some(left) = self.departures.get(&call.request) else {
            return;
        };
        let since = self.now - *left;
        if matches!(call.purpose, CallPurpose::Client | CallPurpose::RunOnce) {
            let subject = format!("request {} sent {since:?} after", call.request);
            self.record("abandoned-work", &subject, 0, since <= CALL_LEAVES);
        }
    }

    /// The caller closes its connection; a keyed one asks again elsewhere.
    pub(crate) fn caller_leaves(&mut self, id: u64) {
        let Some(PendingRequest {
            node,
            run,
            task,
            mut record,
        }) = self.requests.remove(&id)
        else {
            return;
        };
        record.end = self.seconds();
        self.callers.push(record);
        let alive = self.nodes[node].run == run && self.nodes[node].part.is_some();
        if alive && self.now >= self.nodes[node].paused {
            self.record("caller-left", "", id, true);
            let span = self.micros(50, 500);
            self.after(span, SimEvent::CloseRead { node, run, id });
        }
        if task.operation.is_some() && self.now + CLIENT_TIMEOUT < self.plan.span {
            self.retry_at_another_node(node, task, Duration::from_millis(300));
        }
    }

    /// The same operation comes again, not to the zone of this node.
    fn retry_at_another_node(&mut self, node: usize, task: Task, wait: Duration) {
        let again = Task {
            zone: Some(self.nodes[node].zone.clone()),
            tries: task.tries + 1,
            ..task
        };
        self.after(wait, SimEvent::ClientRetry(again));
    }

    pub(crate) fn client_finished(&mut self, id: u64, response: Option<ClientResponse>) {
        let Some(PendingRequest {
            node,
            task,
            mut record,
            ..
        }) = self.requests.remove(&id)
        else {
            return;
        };
        record.end = self.seconds();
        match response {
            None => record.dropped = true,
            Some(response) => read_response(&mut record, &task, response),
        }
        let good = record.status == 200;
        let sprung = good && task.operation.is_some() && task.tries == 0 && self.spring_booked();
        if task.operation.is_some() && self.now + CLIENT_TIMEOUT < self.plan.span {
            self.retry_operation(node, task, &record, sprung);
        }
        self.callers.push(record);
    }

    /// Whether a loss was armed for a booking that was confirmed; it comes now.
    fn spring_booked(&mut self) -> bool {
        let armed = self
            .armed_loss
            .is_some_and(|(trigger, _)| trigger == Trigger::Booked);
        self.spring(Trigger::Booked);
        armed
    }

    /// Some send an operation again though it was confirmed; all others until
    /// it is.
    fn retry_operation(&mut self, node: usize, task: Task, record: &CallerRecord, sprung: bool) {
        let good = record.status == 200;
        let again = if good {
            task.tries == 0 && (sprung || self.random.chance(CONFIRMED_RETRY_SHARE))
        } else if record.code == "outcome_unknown" {
            task.tries < UNKNOWN_OUTCOME_RETRIES
        } else {
            task.tries < REPEATS
        };
        // Who was told when to come back may come then, or sooner.
        let spread = if good {
            CLIENT_RETRY_DELAY
        } else {
            1_500 << (task.tries / 4).min(4)
        };
        let wait = Duration::from_millis(100 + self.random.below(spread));
        if again && self.now + wait < task.first + Duration::from_millis(CLIENT_RETRY_DELAY) {
            self.retry_at_another_node(node, task, wait);
        }
    }

    /// Whether an entry is there, at an edge that says anything on it: a keyed
    /// entry without a key answers 400, no entry 404.
    fn entry_at(&self, node: usize, marker: u64) -> Option<bool> {
        self.shows(node, &format!("/marker/{marker}"))
    }

    /// The same of any keyed entry, by its path.
    pub(crate) fn shows(&self, node: usize, path: &str) -> Option<bool> {
        let told = self
            .arrive(node, "POST", path, None)
            .err()
            .map_or(0, |refusal| refusal.status);
        [(400, true), (404, false)]
            .into_iter()
            .find(|(status, _)| *status == told)
            .map(|(_, there)| there)
    }

    /// The number of the last record of a kind since all was lost.
    pub(crate) fn last(&self, what: &str) -> Option<u64> {
        self.fleet
            .iter()
            .rev()
            .take_while(|one| one.what != "all-lost")
            .find(|one| one.what == what)
            .map(|one| one.number)
    }

    pub(crate) fn look_at_markers(&mut self) {
        self.after(Duration::from_millis(100), SimEvent::LookAtMarkers);
        let looks = [
            self.last("configured")
                .map(|marker| ("marker", marker, true)),
            self.last("removed")
                .map(|marker| ("marker-gone", marker, false)),
            Some(("invalid-marker", 999, false)),
        ];
        for node in self.edges() {
            if self.nodes[node].part.is_none() || self.now < self.nodes[node].paused {
                continue;
            }
            for (what, marker, wanted) in looks.into_iter().flatten() {
                if let Some(there) = self.entry_at(node, marker) {
                    let subject = self.nodes[node].peer.address.to_string();
                    self.fleet.push(FleetRecord {
                        at: self.seconds(),
                        what: what.into(),
                        subject,
                        number: marker,
                        good: there == wanted,
                    });
                }
            }
        }
    }

    /// Every edge must be ready by now, unless something was done to the fleet
    /// meanwhile.
    pub(crate) fn look_ready(&mut self, since: Duration) {
        let meanwhile = self
            .fleet
            .iter()
            .rev()
            .any(|one| one.what == "fault" && !one.good && one.at > since.as_secs_f64());
        for node in self.edges() {
            let ready = self.nodes[node].part.is_some()
                && self.nodes[node].ready
                && self.nodes[node].live(self.now);
            if ready || !meanwhile {
                let subject = self.nodes[node].peer.address.to_string();
                self.record("ready-again", &subject, 0, ready);
            }
        }
    }
}

/// Records what a client reads in its response.
fn read_response(record: &mut CallerRecord, task: &Task, response: ClientResponse) {
    match response {
        ClientResponse::Rejection(rejection) => {
            (record.status, record.code) = (rejection.status, rejection.code);
            if rejection.status != 0 {
                let not_run = rejection.outcome == RunState::NotRun;
                record.outcome = if not_run { "not_run" } else { "unknown" }.into();
            }
        }
        ClientResponse::Reply { reply, .. } => {
            record.status = reply.status;
            (record.fits, record.version) = SimOrigin::read(
                &reply,
                &task.mix.method,
                &task.path,
                task.operation.as_deref(),
            );
        }
    }
}
