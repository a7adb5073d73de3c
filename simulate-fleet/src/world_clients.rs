//! Simulated clients.
use crate::prelude::*;

/// Window after the first attempt in which a client may repeat a completed operation, in
/// milliseconds. The requirement is "about a minute".
const CLIENT_RETRY_WINDOW_MS: u64 = 70_000;
/// Maximum number of retries of a failed operation.
const MAX_RETRIES: u32 = 30;
/// Every n-th client disconnects before its response.
const DISCONNECT_ONE_IN: u64 = 16;
/// Maximum delay of an early disconnect, in milliseconds.
const MAX_DISCONNECT_DELAY_MS: u64 = 400;
/// Upper bound of the time from an edge's decision to make a call until it is sent.
const CALL_SEND_DELAY: Duration = Duration::from_millis(5);

/// Percentage of confirmed operations that are nevertheless repeated.
const CONFIRMED_RETRY_PERCENT: u64 = 15;
/// Maximum number of retries of an operation whose outcome is unknown.
const UNKNOWN_OUTCOME_RETRIES: u32 = 3;

impl World {
    pub(crate) fn client_arrives(&mut self) {
        let gap = 1_000_000 / self.plan.deployment.rate;
        if self.now + CLIENT_TIMEOUT / 2 < self.plan.span {
            let span = self.random_micros(gap / 2, gap + gap / 2);
            self.after(span, SimEvent::ClientArrives);
        }
        let mut remaining = self.random.below(100);
        let list = self.plan.deployment.mix.clone();
        let Some(mix) = list.into_iter().find(|mix| {
            let selected = remaining < mix.percentage;
            remaining = remaining.saturating_sub(mix.percentage);
            selected
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
        self.send_client_request(Task {
            mix,
            path,
            operation: operation.clone(),
            zone: None,
            attempts: 0,
            first_attempt_at: self.now,
        });
    }

    /// Sends a client's request to a random ready edge, as the platform does.
    pub(crate) fn send_client_request(&mut self, task: Task) {
        let ready = |node: &&usize| {
            let node = &self.nodes[**node];
            node.state_machine.is_some()
                && !node.shutdown_finished
                && node.ready
                && node.live(self.now)
                && task.zone.as_ref() != Some(&node.zone)
        };
        let all: Vec<usize> = self.edges().collect();
        let list: Vec<usize> = all.iter().filter(ready).copied().collect();
        // Without a ready edge, clients are sent to a random one.
        let list = if list.is_empty() { all } else { list };
        let node = list[self.random.below(list.len() as u64) as usize];
        let record = ClientRecord {
            start: self.seconds(),
            edge: self.nodes[node].peer.address.to_string(),
            entry: task.mix.entry.clone(),
            rank: task.mix.rank,
            path: task.path.clone(),
            operation: task.operation.clone(),
            ..ClientRecord::default()
        };
        self.serial += 1;
        let id = self.serial;
        let alive = self.nodes[node].state_machine.is_some();
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
        if self.plan.clients_disconnect && id.is_multiple_of(DISCONNECT_ONE_IN) {
            let span =
                Duration::from_millis(1 + id / DISCONNECT_ONE_IN * 37 % MAX_DISCONNECT_DELAY_MS);
            self.after(span, SimEvent::ClientDisconnects { id });
        }
        let run = self.nodes[node].run;
        let span = self.random_micros(50, 500);
        self.after(span, SimEvent::RequestArrives { node, run, id });
    }

    /// Handles the arrival of a request at its node.
    pub(crate) fn request_arrives(&mut self, node: usize, id: u64) {
        let Some(PendingRequest { task, .. }) = self.requests.get(&id) else {
            return;
        };
        let task = task.clone();
        match self.filter_request(
            node,
            &task.mix.method,
            &task.path,
            task.operation.as_deref(),
        ) {
            Err(rejection) => self.client_finished(id, Some(ClientResponse::Rejection(rejection))),
            Ok(request) => self.step(node, Input::ClientRequest { id, request }),
        }
    }

    /// Applies the request filters of the real edge process.
    pub(crate) fn filter_request(
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
        let mut request = IncomingRequest {
            method: method.into(),
            host: "sim".into(),
            url: path.into(),
            headers,
            body: Arc::new(operation.unwrap_or("").as_bytes().to_vec().into()),
            operation_key: operation.map(Into::into),
            timeout: None,
            request_id: None,
            is_live: node.live(self.now),
            routes: node.route_table.clone(),
            route_index: None,
        };
        match run_filters(&mut request) {
            Some(rejection) => Err(rejection),
            None => into_client_request(request)
                .ok_or_else(|| Rejection::not_run(500, "filters", "an unmatched arrival passed")),
        }
    }

    /// Checks the lease once more before a cached response is sent, as the HTTP frontend does.
    pub(crate) fn response_sent(&mut self, node: usize, id: u64, response: ClientResponse) {
        let keyed = self
            .requests
            .get(&id)
            .is_some_and(|request| request.task.operation.is_some());
        let copy = matches!(response, ClientResponse::Reply { age: Some(_), .. });
        let response = if copy && !keyed && !self.nodes[node].live(self.now) {
            ClientResponse::Rejection(Rejection::fenced(RunState::NotRun))
        } else {
            response
        };
        self.client_finished(id, Some(response));
    }

    /// Records a call for a single client that was sent after the edge had read the client's
    /// disconnect. It is a violation if it was sent more than `CALL_SEND_DELAY` later.
    pub(crate) fn check_call_after_disconnect(&mut self, call: &Call) {
        let Some(disconnect_read) = self.disconnects_read.get(&call.request_id_at_edge) else {
            return;
        };
        let elapsed = self.now - *disconnect_read;
        if matches!(call.purpose, CallPurpose::Client | CallPurpose::RunOnce) {
            let subject = format!("request {} sent {elapsed:?} after", call.request_id_at_edge);
            self.record("abandoned-work", &subject, 0, elapsed <= CALL_SEND_DELAY);
        }
    }

    /// Closes a client's connection; a keyed operation is retried at another node.
    pub(crate) fn client_disconnects(&mut self, id: u64) {
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
        self.client_records.push(record);
        let alive = self.nodes[node].run == run && self.nodes[node].state_machine.is_some();
        if alive && self.now >= self.nodes[node].paused_until {
            self.record("caller-left", "", id, true);
            let span = self.random_micros(50, 500);
            self.after(span, SimEvent::DisconnectRead { node, run, id });
        }
        if task.operation.is_some() && self.now + CLIENT_TIMEOUT < self.plan.span {
            self.retry_at_another_node(node, task, Duration::from_millis(300));
        }
    }

    /// Retries an operation at a node of another zone.
    fn retry_at_another_node(&mut self, node: usize, task: Task, wait: Duration) {
        let retry = Task {
            zone: Some(self.nodes[node].zone.clone()),
            attempts: task.attempts + 1,
            ..task
        };
        self.after(wait, SimEvent::ClientRetry(retry));
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
        let loss_triggered =
            good && task.operation.is_some() && task.attempts == 0 && self.trigger_booked_loss();
        if task.operation.is_some() && self.now + CLIENT_TIMEOUT < self.plan.span {
            self.retry_operation(node, task, &record, loss_triggered);
        }
        self.client_records.push(record);
    }

    /// Injects the loss armed for a confirmed booking; returns true if there was one.
    fn trigger_booked_loss(&mut self) -> bool {
        let armed = self
            .armed_loss
            .is_some_and(|(trigger, _)| trigger == Trigger::Booked);
        self.trigger_loss(Trigger::Booked);
        armed
    }

    /// Schedules the retry of an operation: some confirmed ones are repeated, all others are
    /// retried until they are confirmed or the attempts are used up.
    fn retry_operation(
        &mut self,
        node: usize,
        task: Task,
        record: &ClientRecord,
        loss_triggered: bool,
    ) {
        let good = record.status == 200;
        let retry = if good {
            task.attempts == 0 && (loss_triggered || self.random.chance(CONFIRMED_RETRY_PERCENT))
        } else if record.code == "outcome_unknown" {
            task.attempts < UNKNOWN_OUTCOME_RETRIES
        } else {
            task.attempts < MAX_RETRIES
        };
        // Clients may ignore Retry-After and retry sooner.
        let spread = if good {
            CLIENT_RETRY_WINDOW_MS
        } else {
            1_500 << (task.attempts / 4).min(4)
        };
        let wait = Duration::from_millis(100 + self.random.below(spread));
        if retry
            && self.now + wait
                < task.first_attempt_at + Duration::from_millis(CLIENT_RETRY_WINDOW_MS)
        {
            self.retry_at_another_node(node, task, wait);
        }
    }

    /// Returns whether a marker entry exists at an edge, none if the edge does not reveal it. A
    /// keyed entry without a key responds with 400, a missing entry with 404.
    fn marker_visible(&self, node: usize, marker: u64) -> Option<bool> {
        self.entry_visible(node, &format!("/marker/{marker}"))
    }

    /// Returns whether the keyed entry of this path exists at an edge, none if unknown.
    pub(crate) fn entry_visible(&self, node: usize, path: &str) -> Option<bool> {
        let rejection_status = self
            .filter_request(node, "POST", path, None)
            .err()
            .map_or(0, |rejection| rejection.status);
        [(400, true), (404, false)]
            .into_iter()
            .find(|(status, _)| *status == rejection_status)
            .map(|(_, visible)| visible)
    }

    /// The number of the last record of this kind since the last total loss.
    pub(crate) fn last_recorded(&self, kind: &str) -> Option<u64> {
        self.fleet_records
            .iter()
            .rev()
            .take_while(|record| record.kind != "all-lost")
            .find(|record| record.kind == kind)
            .map(|record| record.number)
    }

    pub(crate) fn check_markers(&mut self) {
        self.after(Duration::from_millis(100), SimEvent::CheckMarkers);
        let checks = [
            self.last_recorded("configured")
                .map(|marker| ("marker", marker, true)),
            self.last_recorded("removed")
                .map(|marker| ("marker-gone", marker, false)),
            Some(("invalid-marker", 999, false)),
        ];
        for node in self.edges() {
            if self.nodes[node].state_machine.is_none() || self.now < self.nodes[node].paused_until
            {
                continue;
            }
            for (kind, marker, expected) in checks.into_iter().flatten() {
                if let Some(visible) = self.marker_visible(node, marker) {
                    let subject = self.nodes[node].peer.address.to_string();
                    self.fleet_records.push(FleetRecord {
                        at: self.seconds(),
                        kind: kind.into(),
                        subject,
                        number: marker,
                        as_expected: visible == expected,
                    });
                }
            }
        }
    }

    /// Records whether every edge is ready again. An unready edge is excused if another fault
    /// was injected meanwhile.
    pub(crate) fn check_readiness(&mut self, since: Duration) {
        let disturbed = self.fleet_records.iter().rev().any(|record| {
            record.kind == "fault" && !record.as_expected && record.at > since.as_secs_f64()
        });
        for node in self.edges() {
            let ready = self.nodes[node].state_machine.is_some()
                && self.nodes[node].ready
                && self.nodes[node].live(self.now);
            if ready || !disturbed {
                let subject = self.nodes[node].peer.address.to_string();
                self.record("ready-again", &subject, 0, ready);
            }
        }
    }
}

/// Copies the fields of a response to the client's record.
fn read_response(record: &mut ClientRecord, task: &Task, response: ClientResponse) {
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
            (record.matches_request, record.version) = SimOrigin::parse_reply(
                &reply,
                &task.mix.method,
                &task.path,
                task.operation.as_deref(),
            );
        }
    }
}
