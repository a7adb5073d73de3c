//! Tests of clients that disconnect before their response, at any stage of their requests.
mod edge_harness;
use data_plane::prelude::*;
use edge_harness::*;
use proptest::prelude::*;
use std::collections::BTreeMap;

/// The start of the random sequences, in milliseconds.
const START_MS: u64 = 1000;
/// Maximum time after a disconnect, in milliseconds, for which work for that client alone
/// may continue.
const CANCELLATION_BOUND_MS: u64 = 300;

#[derive(Debug, Clone, Copy, PartialEq)]
enum RequestKind {
    Repeatable,
    Once,
    Keyed,
    Cached,
}

impl RequestKind {
    fn target(self) -> (&'static str, &'static str) {
        match self {
            RequestKind::Repeatable => ("/low", "GET"),
            RequestKind::Once => ("/once", "POST"),
            RequestKind::Keyed => ("/k", "POST"),
            RequestKind::Cached => ("/copy", "GET"),
        }
    }
}

/// A step of a random sequence. Indexes select one of the waiting elements, modulo their
/// number.
#[derive(Debug, Clone, Copy)]
enum Step {
    Arrives(RequestKind),
    /// The client of the waiting request with this index disconnects.
    Disconnects(usize),
    Permit(usize),
    Refused(usize),
    Called(usize, CallEnding),
    Ledger(usize, LedgerReply),
    Owner(usize, OwnerReply),
    /// This many milliseconds pass, then the leases are renewed.
    Wait(u64),
}

#[derive(Debug, Clone, Copy)]
enum CallEnding {
    Success,
    Failure,
    NotExecuted,
    Lost,
}

#[derive(Debug, Clone, Copy)]
enum LedgerReply {
    Claimed,
    Running,
    Released,
    Recorded,
}

#[derive(Debug, Clone, Copy)]
enum OwnerReply {
    Copy,
    Miss,
    Unavailable,
}

fn step() -> impl Strategy<Value = Step> {
    let kind = prop_oneof![
        Just(RequestKind::Repeatable),
        Just(RequestKind::Once),
        Just(RequestKind::Keyed),
        Just(RequestKind::Cached)
    ];
    let ending = prop_oneof![
        Just(CallEnding::Success),
        Just(CallEnding::Failure),
        Just(CallEnding::NotExecuted),
        Just(CallEnding::Lost)
    ];
    let ledger_reply = prop_oneof![
        3 => Just(LedgerReply::Claimed),
        1 => Just(LedgerReply::Running),
        1 => Just(LedgerReply::Released),
        1 => Just(LedgerReply::Recorded)
    ];
    let owner_reply = prop_oneof![1 => Just(OwnerReply::Copy), 2 => Just(OwnerReply::Miss), 1 => Just(OwnerReply::Unavailable)];
    prop_oneof![
        3 => kind.prop_map(Step::Arrives),
        3 => (0usize..12).prop_map(Step::Disconnects),
        4 => (0usize..4).prop_map(Step::Permit),
        1 => (0usize..4).prop_map(Step::Refused),
        3 => (0usize..4, ending).prop_map(|(index, ending)| Step::Called(index, ending)),
        3 => (0usize..4, ledger_reply).prop_map(|(index, ledger_reply)| Step::Ledger(index, ledger_reply)),
        3 => (0usize..4, owner_reply).prop_map(|(index, owner_reply)| Step::Owner(index, owner_reply)),
        3 => prop_oneof![Just(50u64), Just(250), Just(CANCELLATION_BOUND_MS), Just(1_300)].prop_map(Step::Wait),
    ]
}

struct Request {
    kind: RequestKind,
    disconnected: bool,
    responded: bool,
}

/// An edge with requests of all kinds, and the simulated admission controller, cache owner
/// and ledger.
struct Model {
    edge: EdgeNode,
    now: u64,
    requests: BTreeMap<u64, Request>,
    /// The permit requests without a response, by exchange id, oldest first.
    permits: Vec<u64>,
    ledger: Vec<u64>,
    gets: Vec<u64>,
    /// The ids of calls in flight and of their requests.
    calls: Vec<(u64, u64)>,
    tokens: u64,
}

/// Removes the element at `index`, modulo the length. Returns `None` if the list is empty.
fn remove_wrapping<T>(list: &mut Vec<T>, index: usize) -> Option<T> {
    (!list.is_empty()).then(|| list.remove(index % list.len()))
}

impl Model {
    fn new() -> Model {
        let mut edge = live_edge(START_MS);
        deliver_updates(&mut edge, START_MS, &[origin(50)], true);
        Model {
            edge,
            now: START_MS,
            requests: BTreeMap::new(),
            permits: Vec::new(),
            ledger: Vec::new(),
            gets: Vec::new(),
            calls: Vec::new(),
            tokens: 0,
        }
    }

    fn apply_step(&mut self, step: Step) -> Result<(), TestCaseError> {
        let outputs = self.outputs_of(step);
        self.check_outputs(outputs)?;
        if matches!(step, Step::Wait(ms) if ms >= CANCELLATION_BOUND_MS) {
            self.check_no_abandoned_call()?;
        }
        Ok(())
    }

    /// Applies a step and returns the edge's outputs; none if the step is not applicable.
    fn outputs_of(&mut self, step: Step) -> Vec<Output> {
        let now = self.now;
        let outputs = match step {
            Step::Arrives(kind) => Some(self.arrive(kind)),
            Step::Disconnects(index) => self.disconnect(index),
            Step::Permit(index) => remove_wrapping(&mut self.permits, index)
                .map(|id| deliver(&mut self.edge, now, ADMISSION, permit(id, origin(50), now))),
            Step::Refused(index) => remove_wrapping(&mut self.permits, index).map(|id| {
                let refused = PermitRefused {
                    id,
                    reason: PermitRefusalReason::Overloaded,
                    retry_after: millis(100),
                };
                deliver(&mut self.edge, now, ADMISSION, refused)
            }),
            Step::Called(index, ending) => {
                remove_wrapping(&mut self.calls, index).map(|(id, _)| {
                    let result = call_outcome(ending);
                    self.edge
                        .handle(millis(now), Input::CallCompleted { id, result })
                })
            }
            Step::Ledger(index, reply) => remove_wrapping(&mut self.ledger, index)
                .map(|id| ledger_responds(&mut self.edge, now, id, change_outcome(reply))),
            Step::Owner(index, reply) => {
                remove_wrapping(&mut self.gets, index).map(|id| self.owner_replies(id, reply))
            }
            Step::Wait(ms) => Some(self.wait(ms)),
        };
        outputs.unwrap_or_default()
    }

    fn arrive(&mut self, kind: RequestKind) -> Vec<Output> {
        let id = self.requests.len() as u64;
        let request = Request {
            kind,
            disconnected: false,
            responded: false,
        };
        self.requests.insert(id, request);
        let (url, method) = kind.target();
        submit(&mut self.edge, self.now, id, url, method)
    }

    fn disconnect(&mut self, index: usize) -> Option<Vec<Output>> {
        let mut waiting: Vec<u64> = self
            .requests
            .iter()
            .filter(|(_, request)| !request.disconnected && !request.responded)
            .map(|(id, _)| *id)
            .collect();
        let id = remove_wrapping(&mut waiting, index)?;
        self.requests.get_mut(&id).unwrap().disconnected = true;
        let input = Input::ClientDisconnected { id };
        Some(self.edge.handle(millis(self.now), input))
    }

    fn wait(&mut self, ms: u64) -> Vec<Output> {
        self.now += ms;
        renew(&mut self.edge, self.now);
        self.edge.handle(millis(self.now), Input::Tick)
    }

    fn owner_replies(&mut self, id: u64, owner_reply: OwnerReply) -> Vec<Output> {
        let key = ActiveRequest::cache_key(&client_request("/copy", "GET"));
        let message: Message = match owner_reply {
            OwnerReply::Copy => {
                let cached_response = CachedResponse {
                    reply: reply(200),
                    purge_version: 0,
                    age: millis(0),
                    fresh_for: millis(10),
                    remaining_ttl: millis(20),
                    owner_delay: millis(0),
                };
                let wait = millis(1000);
                CacheCopy {
                    id,
                    key,
                    max_wait: wait,
                    response: cached_response,
                }
                .into()
            }
            OwnerReply::Miss => {
                self.tokens += 1;
                let token = FillToken {
                    serial: self.tokens,
                    epoch: 1,
                    purge_version: 0,
                };
                CacheMiss { id, key, token }.into()
            }
            OwnerReply::Unavailable => CacheUnavailable { id, key }.into(),
        };
        deliver(&mut self.edge, self.now, OWNER, message)
    }

    fn check_outputs(&mut self, outputs: Vec<Output>) -> Result<(), TestCaseError> {
        for output in outputs {
            match output {
                Output::Send { message, .. } => match message {
                    Message::PermitRequest(request) => self.permits.push(request.id),
                    Message::ChangeRequest(request) => self.ledger.push(request.id),
                    Message::CacheGet(get) => self.gets.push(get.id),
                    _ => {}
                },
                Output::Call { id, call } => {
                    let request = &self.requests[&call.request_id_at_edge];
                    prop_assert!(
                        !request.disconnected || request.kind == RequestKind::Cached,
                        "a call was started for a disconnected client: {:?}",
                        request.kind
                    );
                    self.calls.push((id, call.request_id_at_edge));
                }
                Output::CancelCall { id } => {
                    let request = self.calls.iter().find(|(call, _)| *call == id);
                    let request = request.map(|(_, request)| &self.requests[request]);
                    prop_assert!(
                        request.is_some_and(|request| request.disconnected
                            && request.kind == RequestKind::Repeatable),
                        "a call that must continue was cancelled"
                    );
                    self.calls.retain(|(call, _)| *call != id);
                }
                Output::ClientResponse { id, .. } => {
                    let request = self.requests.get_mut(&id).unwrap();
                    prop_assert!(!request.responded, "a second response");
                    request.responded = true;
                }
                Output::Log {
                    event: Event::AbandonedWork,
                    text,
                } => return Err(TestCaseError::fail(text)),
                _ => {}
            }
        }
        Ok(())
    }

    fn check_no_abandoned_call(&self) -> Result<(), TestCaseError> {
        for (_, id) in &self.calls {
            let request = &self.requests[id];
            prop_assert!(
                !request.disconnected || request.kind != RequestKind::Repeatable,
                "an idempotent call continues for a disconnected client"
            );
        }
        Ok(())
    }

    /// Disconnects all clients and lets all peers respond, then checks that every request
    /// has ended.
    fn finish(&mut self) -> Result<(), TestCaseError> {
        for _ in 0..self.requests.len() {
            self.apply_step(Step::Disconnects(0))?;
        }
        for _ in 0..120 {
            let (ledger, calls) = (self.ledger.len(), self.calls.len());
            for _ in 0..ledger {
                self.apply_step(Step::Ledger(0, LedgerReply::Released))?;
            }
            for _ in 0..calls {
                self.apply_step(Step::Called(0, CallEnding::Success))?;
            }
            self.apply_step(Step::Wait(100))?;
        }
        for (id, request) in &self.requests {
            prop_assert!(request.responded, "request {} got no response", id);
        }
        Ok(())
    }
}

fn call_outcome(ending: CallEnding) -> CallOutcome {
    match ending {
        CallEnding::Success => CallOutcome::Success(reply(200)),
        CallEnding::Failure => CallOutcome::Success(reply(500)),
        CallEnding::NotExecuted => CallOutcome::NotExecuted,
        CallEnding::Lost => CallOutcome::Failure("reset".into()),
    }
}

fn change_outcome(reply: LedgerReply) -> ChangeOutcome {
    match reply {
        LedgerReply::Claimed => ChangeOutcome::Claimed,
        LedgerReply::Running => ChangeOutcome::AlreadyClaimed {
            same: true,
            state: OperationState::Running,
        },
        LedgerReply::Released => ChangeOutcome::Released,
        LedgerReply::Recorded => ChangeOutcome::Recorded,
    }
}

fn reply(status: u16) -> Reply {
    Reply {
        status,
        ..Reply::default()
    }
}

proptest! {
    #![proptest_config(ProptestConfig {
        cases: 2000,
        failure_persistence: None,
        ..ProptestConfig::default()
    })]

    /// After its client disconnects, at any stage, no call is started for a request, a call
    /// that may be cancelled ends, and the request gets a response.
    #[test]
    fn work_for_disconnected_clients_ends(
        steps in proptest::collection::vec(step(), 1..80),
    ) {
        let mut model = Model::new();
        for step in steps {
            model.apply_step(step)?;
        }
        model.finish()?;
    }
}

/// Returns the ids of the withdrawn exchanges.
fn withdrawn(outputs: &[Output]) -> Vec<u64> {
    let extract = |output: &Output| match output {
        Output::Send { message, .. } => match message {
            Message::PermitWithdrawn(withdrawn) => Some(withdrawn.id),
            Message::CacheGetWithdrawn(withdrawn) => Some(withdrawn.id),
            _ => None,
        },
        _ => None,
    };
    outputs.iter().filter_map(extract).collect()
}

fn start_request(edge: &mut EdgeNode, id: u64, url: &str, method: &str) -> Vec<Output> {
    let request = client_request(url, method);
    edge.handle(millis(START_MS), Input::ClientRequest { id, request })
}

fn ready_edge() -> EdgeNode {
    let mut edge = live_edge(START_MS);
    deliver_updates(&mut edge, START_MS, &[origin(50)], true);
    edge
}

/// Grants the request a permit. Returns the id of its call.
fn start_call(edge: &mut EdgeNode, started: &[Output]) -> u64 {
    let outputs = deliver(
        edge,
        1010,
        ADMISSION,
        permit(last_exchange(started), origin(50), 1005),
    );
    last_exchange(&outputs)
}

fn call_results(outputs: &[Output]) -> Vec<CallResult> {
    let extract = |output: &Output| match output {
        Output::Send {
            message: Message::CallDone(done),
            ..
        } => Some(done.result),
        _ => None,
    };
    outputs.iter().filter_map(extract).collect()
}

fn cancelled(outputs: &[Output]) -> Vec<u64> {
    let extract = |output: &Output| match output {
        Output::CancelCall { id } => Some(*id),
        _ => None,
    };
    outputs.iter().filter_map(extract).collect()
}

#[test]
fn disconnect_withdraws_permit_request_and_returns_permit() {
    let mut edge = ready_edge();
    let requested = last_exchange(&start_request(&mut edge, 1, "/low", "GET"));
    let outputs = edge.handle(millis(1300), Input::ClientDisconnected { id: 1 });
    assert_eq!(withdrawn(&outputs), [requested]);
    let expected = (1, 503, "caller_left".to_string(), RunState::NotRun);
    assert_eq!(rejections_in(outputs), [expected]);
    let outputs = deliver(
        &mut edge,
        1301,
        ADMISSION,
        permit(requested, origin(50), 1299),
    );
    assert_eq!(call_results(&outputs), [CallResult::Unused]);
}

#[test]
fn idempotent_call_is_cancelled_on_disconnect() {
    let mut edge = ready_edge();
    let started = start_request(&mut edge, 1, "/low", "GET");
    let call = start_call(&mut edge, &started);
    let outputs = edge.handle(millis(1300), Input::ClientDisconnected { id: 1 });
    assert_eq!(cancelled(&outputs), [call]);
    assert_eq!(call_results(&outputs), [CallResult::Cancelled]);
    // The call may have been executed, which the response reports.
    let expected = (1, 503, "caller_left".to_string(), RunState::Unknown);
    assert_eq!(rejections_in(outputs), [expected]);
    let repeated = edge.handle(millis(1310), Input::ClientDisconnected { id: 1 });
    assert!(repeated.is_empty(), "{repeated:?}");
}

/// The outcome is recorded for the next request with the same operation key.
#[test]
fn called_operation_is_recorded_after_disconnect() {
    let mut edge = ready_edge();
    let claim = last_exchange(&start_request(&mut edge, 1, "/k", "POST"));
    let claimed = ledger_responds(&mut edge, 1005, claim, ChangeOutcome::Claimed);
    let call = start_call(&mut edge, &claimed);
    let outputs = edge.handle(millis(1300), Input::ClientDisconnected { id: 1 });
    assert!(cancelled(&outputs).is_empty() && rejections_in(outputs).is_empty());
    let result = CallOutcome::Success(reply(200));
    let outputs = edge.handle(millis(1400), Input::CallCompleted { id: call, result });
    assert!(matches!(
        changes_in(&outputs)[..],
        [Change::RecordOutcome(_, Some(_))]
    ));
}

/// No call was sent under the claim, so the next request may run the operation at once.
#[test]
fn uncalled_claim_is_released_on_disconnect() {
    for claimed_before in [false, true] {
        let mut edge = ready_edge();
        let claim = last_exchange(&start_request(&mut edge, 1, "/k", "POST"));
        let mut outputs = Vec::new();
        if !claimed_before {
            outputs.extend(edge.handle(millis(1002), Input::ClientDisconnected { id: 1 }));
        }
        outputs.extend(ledger_responds(
            &mut edge,
            1005,
            claim,
            ChangeOutcome::Claimed,
        ));
        if claimed_before {
            outputs.extend(edge.handle(millis(1010), Input::ClientDisconnected { id: 1 }));
        }
        let is_release = |change: &Change| matches!(change, Change::Release(_));
        assert_eq!(
            changes_in(&outputs)
                .iter()
                .filter(|change| is_release(change))
                .count(),
            1
        );
        assert!(changes_in(&outputs).last().is_some_and(is_release));
    }
}

/// A non-idempotent call continues; one that the origin did not execute is not
/// retried.
#[test]
fn non_idempotent_call_is_not_cancelled_or_retried() {
    let mut edge = ready_edge();
    let started = start_request(&mut edge, 1, "/once", "POST");
    let call = start_call(&mut edge, &started);
    let outputs = edge.handle(millis(1300), Input::ClientDisconnected { id: 1 });
    assert!(cancelled(&outputs).is_empty() && rejections_in(outputs).is_empty());
    let result = CallOutcome::NotExecuted;
    let outputs = edge.handle(millis(1400), Input::CallCompleted { id: call, result });
    let requests_permit = |output: &Output| {
        let Output::Send { message, .. } = output else {
            return false;
        };
        matches!(message, Message::PermitRequest(_))
    };
    assert!(!outputs.iter().any(requests_permit));
    let expected = (1, 503, "caller_left".to_string(), RunState::NotRun);
    assert_eq!(rejections_in(outputs), [expected]);
}

/// A leader whose client has disconnected continues for its followers only.
#[test]
fn leader_continues_until_last_follower_disconnects() {
    let mut edge = ready_edge();
    let get = last_exchange(&start_request(&mut edge, 1, "/copy", "GET"));
    for id in 2..=3 {
        start_request(&mut edge, id, "/copy", "GET");
    }
    for (id, ms) in [(1, 1100), (3, 1110)] {
        let outputs = edge.handle(millis(ms), Input::ClientDisconnected { id });
        assert!(
            withdrawn(&outputs).is_empty(),
            "request 2 waits for the response"
        );
    }
    let outputs = edge.handle(millis(1120), Input::ClientDisconnected { id: 2 });
    assert_eq!(withdrawn(&outputs), [get]);
    let mut ended: Vec<u64> = rejections_in(outputs)
        .into_iter()
        .map(|(id, ..)| id)
        .collect();
    ended.sort_unstable();
    assert_eq!(ended, [1, 2]);
}

/// The owner depends on its refresher, since other requests wait there for the response.
#[test]
fn refresher_continues_after_disconnect() {
    let mut edge = ready_edge();
    let get = last_exchange(&start_request(&mut edge, 1, "/copy", "GET"));
    let token = FillToken {
        serial: 1,
        epoch: 1,
        purge_version: 0,
    };
    let key = ActiveRequest::cache_key(&client_request("/copy", "GET"));
    let outputs = deliver(
        &mut edge,
        1005,
        OWNER,
        CacheMiss {
            id: get,
            key,
            token,
        },
    );
    let requested = last_exchange(&outputs);
    let outputs = edge.handle(millis(1050), Input::ClientDisconnected { id: 1 });
    assert!(withdrawn(&outputs).is_empty());
    let outputs = deliver(
        &mut edge,
        1060,
        ADMISSION,
        permit(requested, origin(50), 1059),
    );
    let call = last_exchange(&outputs);
    let result = CallOutcome::Success(reply(200));
    let outputs = edge.handle(millis(1100), Input::CallCompleted { id: call, result });
    let is_put = |output: &Output| {
        let Output::Send { message, .. } = output else {
            return false;
        };
        matches!(message, Message::CachePut(_))
    };
    assert!(outputs.iter().any(is_put));
}

/// A request that bypasses an unresponsive owner withdraws its message, so that no
/// response is sent for it later.
#[test]
fn bypassed_owner_request_is_withdrawn() {
    let mut edge = ready_edge();
    let get = last_exchange(&start_request(&mut edge, 1, "/copy", "GET"));
    let mut withdrawn_ids = Vec::new();
    for now in (1050..3000).step_by(50) {
        renew(&mut edge, now);
        withdrawn_ids.extend(withdrawn(&edge.handle(millis(now), Input::Tick)));
        if !withdrawn_ids.is_empty() {
            break;
        }
    }
    assert_eq!(withdrawn_ids, [get]);
}

/// The check for abandoned work reports each violation once, and nothing else.
#[test]
fn abandoned_work_check_reports_started_and_continued_calls() {
    let (before, disconnected, after) = (millis(10), millis(20), millis(30));
    let late = disconnected + millis(CANCELLATION_BOUND_MS);
    let none_pending = |_: u64| false;
    let purposes = [
        (CallPurpose::Client, true, true),
        (CallPurpose::RunOnce, true, false),
        (CallPurpose::CacheFill, true, false),
        (CallPurpose::SharedCacheFill, false, false),
    ];
    for (purpose, reports_started, reports_continued) in purposes {
        let mut monitor = AbandonedWorkMonitor::default();
        monitor.client_disconnected(disconnected, 1);
        assert_eq!(
            monitor.call_started(after, 7, 2, purpose),
            None,
            "a call of another request"
        );
        let started = monitor.call_started(after, 8, 1, purpose);
        assert_eq!(started.is_some(), reports_started, "{purpose:?}");

        let mut monitor = AbandonedWorkMonitor::default();
        assert_eq!(monitor.call_started(before, 8, 1, purpose), None);
        monitor.client_disconnected(disconnected, 1);
        assert!(monitor.overdue(after, &none_pending).is_empty());
        let violations = monitor.overdue(late, &none_pending);
        assert_eq!(
            violations.len(),
            usize::from(reports_continued),
            "{purpose:?}"
        );
        assert!(
            monitor.overdue(late, &none_pending).is_empty(),
            "reported once"
        );

        let mut monitor = AbandonedWorkMonitor::default();
        monitor.call_started(before, 8, 1, purpose);
        monitor.client_disconnected(disconnected, 1);
        monitor.call_ended(8);
        assert!(monitor.overdue(late, &none_pending).is_empty());
    }
}

/// Delivers rows of one partition to an edge of incarnation 5.
fn apply_update(edge: &mut EdgeNode, version: u64, rows: Vec<(String, Row)>, partition: u8) {
    let update = PartitionUpdate {
        partition,
        version,
        rows,
    };
    let reply = renew_reply(5, START_MS, vec![update].into());
    deliver(edge, START_MS, 1, reply);
}

/// Creates a row with the registry of edges.
fn registry_row(version: u64, members: Vec<Peer>, departed: Vec<Peer>) -> (String, Row) {
    let value = Value::EdgeRegistry {
        members,
        departed,
        complete: true,
    };
    ("roll".into(), Row { version, value })
}

/// Creates an edge that runs the admission controller of "slow", with these members in the
/// registry.
fn edge_with_admission(members: Vec<Peer>) -> EdgeNode {
    let mut edge = live_edge(START_MS);
    let row = |value| Row { version: 1, value };
    let configuration = Value::Configuration {
        text: serde_json::to_string(&route_table().document)
            .unwrap()
            .into(),
        change: 1,
    };
    let origins = Value::Origins {
        list: Arc::default(),
        change: 1,
    };
    let assignment = Assignment {
        epoch: 1,
        owner: Some(members[0]),
        previous_owner: None,
    };
    let assignments = vec![
        (
            admission_assignment("slow"),
            row(Value::Assignment(assignment)),
        ),
        registry_row(1, members, vec![]),
    ];
    let configuration = vec![("configuration".into(), row(configuration))];
    apply_update(&mut edge, 1, configuration, CONFIGURATION_PARTITION);
    let origins = vec![("origins".into(), row(origins))];
    apply_update(&mut edge, 1, origins, ORIGINS_PARTITION);
    apply_update(&mut edge, 1, assignments, ASSIGNMENTS_PARTITION);
    edge
}

/// The requests of an edge whose session has ended are removed from the queue of the
/// admission controller.
#[test]
fn admission_forgets_requests_of_departed_edge() {
    const DEPARTED: u16 = 60;
    let this_edge = Peer::new(address(9), 5);
    let departed_edge = Peer::new(address(DEPARTED), 1);
    let mut edge = edge_with_admission(vec![this_edge, departed_edge]);
    let permit_request = PermitRequest {
        service: "slow".into(),
        id: 1,
        rank: 1,
        max_wait: millis(5000),
        sent: millis(START_MS),
        is_retry: false,
        call_timeout: millis(1000),
        latency_target: millis(1000),
        zone: String::new(),
        region: String::new(),
        excluded_origins: vec![],
    };
    deliver(&mut edge, START_MS, DEPARTED, permit_request);
    let registry = registry_row(2, vec![this_edge], vec![departed_edge]);
    apply_update(&mut edge, 2, vec![registry], ASSIGNMENTS_PARTITION);
    let mut outputs = Vec::new();
    for now in (START_MS + 50..START_MS + 3000).step_by(50) {
        renew(&mut edge, now);
        outputs.extend(edge.handle(millis(now), Input::Tick));
    }
    let to_departed =
        |output: &&Output| matches!(output, Output::Send { to, .. } if *to == address(DEPARTED));
    assert_eq!(
        outputs
            .iter()
            .find(to_departed)
            .map(|output| format!("{output:?}")),
        None
    );
}

/// A call that the edge itself withheld is neither a failure of its origin nor an attempt.
#[test]
fn withheld_call_returns_its_permit_unused() {
    let mut edge = ready_edge();
    let mut requested = start_request(&mut edge, 1, "/low", "GET");
    for _ in 0..5 {
        let call = start_call(&mut edge, &requested);
        let result = CallOutcome::NotSent;
        requested = edge.handle(millis(1020), Input::CallCompleted { id: call, result });
        assert_eq!(call_results(&requested), [CallResult::Unused]);
    }
    let started = start_request(&mut edge, 2, "/once", "POST");
    let call = start_call(&mut edge, &started);
    edge.handle(millis(1015), Input::ClientDisconnected { id: 2 });
    let result = CallOutcome::NotSent;
    let outputs = edge.handle(millis(1020), Input::CallCompleted { id: call, result });
    assert_eq!(call_results(&outputs), [CallResult::Unused]);
    let expected = (2, 503, "caller_left".to_string(), RunState::NotRun);
    assert_eq!(rejections_in(outputs), [expected]);
}

/// The operation runs at another edge, and no client waits for its outcome here.
#[test]
fn claim_held_elsewhere_is_not_resent_after_disconnect() {
    let mut edge = ready_edge();
    let claim = last_exchange(&start_request(&mut edge, 1, "/k", "POST"));
    edge.handle(millis(1002), Input::ClientDisconnected { id: 1 });
    let running = ChangeOutcome::AlreadyClaimed {
        same: true,
        state: OperationState::Running,
    };
    let mut outputs = ledger_responds(&mut edge, 1005, claim, running);
    for now in (1050..3000).step_by(50) {
        renew(&mut edge, now);
        outputs.extend(edge.handle(millis(now), Input::Tick));
    }
    let is_claim = |change: &Change| matches!(change, Change::Claim(_));
    assert!(!changes_in(&outputs).iter().any(is_claim));
    assert_eq!(rejections_in(outputs).len(), 1);
}
