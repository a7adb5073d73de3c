//! Callers that leave before their answer, wherever their requests are.
mod edge;
use data_plane::prelude::*;
use edge::*;
use proptest::prelude::*;
use std::collections::BTreeMap;

/// Time that the drawn sequences begin at, in milliseconds.
const START_MS: u64 = 1000;
/// What is under way for nobody has ended this long after its caller left.
const SOON_MS: u64 = 300;

#[derive(Debug, Clone, Copy, PartialEq)]
enum Sort {
    Repeatable,
    Once,
    Keyed,
    Cached,
}

impl Sort {
    fn words(self) -> (&'static str, &'static str) {
        match self {
            Sort::Repeatable => ("/low", "GET"),
            Sort::Once => ("/once", "POST"),
            Sort::Keyed => ("/k", "POST"),
            Sort::Cached => ("/copy", "GET"),
        }
    }
}

#[derive(Debug, Clone, Copy)]
enum Step {
    Comes(Sort),
    /// The caller of the so-many-th request leaves.
    Leaves(usize),
    Permit(usize),
    Refused(usize),
    Called(usize, End),
    Ledger(usize, Word),
    Owner(usize, Kept),
    Wait(u64),
}

#[derive(Debug, Clone, Copy)]
enum End {
    Good,
    Failure,
    NotRun,
    Lost,
}

#[derive(Debug, Clone, Copy)]
enum Word {
    Claimed,
    Running,
    Released,
    Recorded,
}

#[derive(Debug, Clone, Copy)]
enum Kept {
    Copy,
    Miss,
    NoCopy,
}

fn step() -> impl Strategy<Value = Step> {
    let sort = prop_oneof![
        Just(Sort::Repeatable),
        Just(Sort::Once),
        Just(Sort::Keyed),
        Just(Sort::Cached)
    ];
    let end = prop_oneof![
        Just(End::Good),
        Just(End::Failure),
        Just(End::NotRun),
        Just(End::Lost)
    ];
    let word = prop_oneof![
        3 => Just(Word::Claimed),
        1 => Just(Word::Running),
        1 => Just(Word::Released),
        1 => Just(Word::Recorded)
    ];
    let kept = prop_oneof![1 => Just(Kept::Copy), 2 => Just(Kept::Miss), 1 => Just(Kept::NoCopy)];
    prop_oneof![
        3 => sort.prop_map(Step::Comes),
        3 => (0usize..12).prop_map(Step::Leaves),
        4 => (0usize..4).prop_map(Step::Permit),
        1 => (0usize..4).prop_map(Step::Refused),
        3 => (0usize..4, end).prop_map(|(at, end)| Step::Called(at, end)),
        3 => (0usize..4, word).prop_map(|(at, word)| Step::Ledger(at, word)),
        3 => (0usize..4, kept).prop_map(|(at, kept)| Step::Owner(at, kept)),
        3 => prop_oneof![Just(50u64), Just(250), Just(SOON_MS), Just(1_300)].prop_map(Step::Wait),
    ]
}

struct Request {
    sort: Sort,
    left: bool,
    answered: bool,
}

/// An edge with requests of all kinds; admission controller, owner and ledger are the test's.
struct Model {
    edge: EdgeNode,
    now: u64,
    requests: BTreeMap<u64, Request>,
    /// Questions not answered yet, oldest first.
    permits: Vec<u64>,
    ledger: Vec<u64>,
    gets: Vec<u64>,
    /// Calls under way, and the requests that they are for.
    calls: Vec<(u64, u64)>,
    tokens: u64,
}

/// Takes one out, if there are any.
fn take<T>(list: &mut Vec<T>, at: usize) -> Option<T> {
    (!list.is_empty()).then(|| list.remove(at % list.len()))
}

impl Model {
    fn new() -> Model {
        let mut edge = live(START_MS);
        updates(&mut edge, START_MS, &[origin(50)], true);
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

    fn play(&mut self, step: Step) -> Result<(), TestCaseError> {
        let now = self.now;
        let out = match step {
            Step::Comes(sort) => {
                let id = self.requests.len() as u64;
                let request = Request {
                    sort,
                    left: false,
                    answered: false,
                };
                self.requests.insert(id, request);
                let (url, method) = sort.words();
                let request = client_request(url, method);
                self.edge
                    .handle(at(now), Input::ClientRequest { id, request })
            }
            Step::Leaves(which) => {
                let waiting = |(id, request): (&u64, &Request)| {
                    (!request.left && !request.answered).then_some(*id)
                };
                let mut waiting: Vec<u64> = self.requests.iter().filter_map(waiting).collect();
                let Some(id) = take(&mut waiting, which) else {
                    return Ok(());
                };
                self.requests.get_mut(&id).unwrap().left = true;
                self.edge.handle(at(now), Input::ClientDisconnected { id })
            }
            Step::Permit(which) => match take(&mut self.permits, which) {
                Some(id) => heard(&mut self.edge, now, ADMISSION, permit(id, origin(50), now)),
                None => return Ok(()),
            },
            Step::Refused(which) => match take(&mut self.permits, which) {
                Some(id) => {
                    let refused = PermitRefused {
                        id,
                        reason: PermitRefusalReason::Overloaded,
                        back: at(100),
                    };
                    heard(&mut self.edge, now, ADMISSION, refused)
                }
                None => return Ok(()),
            },
            Step::Called(which, end) => match take(&mut self.calls, which) {
                Some((id, _)) => {
                    let result = match end {
                        End::Good => CallOutcome::Success(reply(200)),
                        End::Failure => CallOutcome::Success(reply(500)),
                        End::NotRun => CallOutcome::NotExecuted,
                        End::Lost => CallOutcome::Failure("reset".into()),
                    };
                    self.edge
                        .handle(at(now), Input::CallCompleted { id, result })
                }
                None => return Ok(()),
            },
            Step::Ledger(which, word) => match take(&mut self.ledger, which) {
                Some(id) => {
                    let outcome = match word {
                        Word::Claimed => ChangeOutcome::Claimed,
                        Word::Running => ChangeOutcome::AlreadyClaimed {
                            same: true,
                            state: OperationState::Running,
                        },
                        Word::Released => ChangeOutcome::Released,
                        Word::Recorded => ChangeOutcome::Recorded,
                    };
                    told(&mut self.edge, now, id, outcome)
                }
                None => return Ok(()),
            },
            Step::Owner(which, kept) => match take(&mut self.gets, which) {
                Some(id) => self.owner_says(id, kept),
                None => return Ok(()),
            },
            Step::Wait(ms) => {
                self.now += ms;
                renew(&mut self.edge, self.now);
                self.edge.handle(at(self.now), Input::Tick)
            }
        };
        self.judge(out)?;
        if matches!(step, Step::Wait(ms) if ms >= SOON_MS) {
            self.nothing_is_under_way_for_nobody()?;
        }
        Ok(())
    }

    fn owner_says(&mut self, id: u64, kept: Kept) -> Vec<Output> {
        let key = ActiveRequest::cache_key(&client_request("/copy", "GET"));
        let message: Message = match kept {
            Kept::Copy => {
                let copy = CachedResponse {
                    reply: reply(200),
                    purge_version: 0,
                    age: at(0),
                    fresh_for: at(10),
                    remaining_ttl: at(20),
                    owner_delay: at(0),
                };
                let wait = at(1000);
                CacheCopy {
                    id,
                    key,
                    max_wait: wait,
                    response: copy,
                }
                .into()
            }
            Kept::Miss => {
                self.tokens += 1;
                let token = FillToken {
                    serial: self.tokens,
                    epoch: 1,
                    purge_version: 0,
                };
                CacheMiss { id, key, token }.into()
            }
            Kept::NoCopy => CacheUnavailable { id, key }.into(),
        };
        heard(&mut self.edge, self.now, OWNER, message)
    }

    fn judge(&mut self, out: Vec<Output>) -> Result<(), TestCaseError> {
        for output in out {
            match output {
                Output::Send { message, .. } => match message {
                    Message::PermitRequest(ask) => self.permits.push(ask.id),
                    Message::ChangeRequest(ask) => self.ledger.push(ask.id),
                    Message::CacheGet(get) => self.gets.push(get.id),
                    _ => {}
                },
                Output::Call { id, call } => {
                    let request = &self.requests[&call.request];
                    prop_assert!(
                        !request.left || request.sort == Sort::Cached,
                        "a call is begun for a caller that has left: {:?}",
                        request.sort
                    );
                    self.calls.push((id, call.request));
                }
                Output::CancelCall { id } => {
                    let request = self.calls.iter().find(|(call, _)| *call == id);
                    let request = request.map(|(_, request)| &self.requests[request]);
                    prop_assert!(
                        request.is_some_and(|one| one.left && one.sort == Sort::Repeatable),
                        "a call is broken off that must go on"
                    );
                    self.calls.retain(|(call, _)| *call != id);
                }
                Output::ClientResponse { id, .. } => {
                    let request = self.requests.get_mut(&id).unwrap();
                    prop_assert!(!request.answered, "answered twice");
                    request.answered = true;
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

    fn nothing_is_under_way_for_nobody(&self) -> Result<(), TestCaseError> {
        for (_, id) in &self.calls {
            let request = &self.requests[id];
            prop_assert!(
                !request.left || request.sort != Sort::Repeatable,
                "a repeatable call goes on for a caller that has left"
            );
        }
        Ok(())
    }

    /// Everybody leaves; the rest of the system answers what it is asked.
    fn end(&mut self) -> Result<(), TestCaseError> {
        for _ in 0..self.requests.len() {
            self.play(Step::Leaves(0))?;
        }
        for _ in 0..120 {
            let (ledger, calls) = (self.ledger.len(), self.calls.len());
            for _ in 0..ledger {
                self.play(Step::Ledger(0, Word::Released))?;
            }
            for _ in 0..calls {
                self.play(Step::Called(0, End::Good))?;
            }
            self.play(Step::Wait(100))?;
        }
        for (id, request) in &self.requests {
            prop_assert!(request.answered, "request {} was forgotten", id);
        }
        Ok(())
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

    /// Wherever a request is when its caller leaves, no call is begun for it, none
    /// that may be broken off goes on, and it comes to its end.
    #[test]
    fn no_work_goes_on_for_callers_that_have_left(
        steps in proptest::collection::vec(step(), 1..80),
    ) {
        let mut model = Model::new();
        for step in steps {
            model.play(step)?;
        }
        model.end()?;
    }
}

fn withdrawn(out: &[Output]) -> Vec<u64> {
    let one = |output: &Output| match output {
        Output::Send { message, .. } => match message {
            Message::PermitWithdrawn(withdrawn) => Some(withdrawn.id),
            Message::CacheGetWithdrawn(withdrawn) => Some(withdrawn.id),
            _ => None,
        },
        _ => None,
    };
    out.iter().filter_map(one).collect()
}

fn begin(edge: &mut EdgeNode, id: u64, url: &str, method: &str) -> Vec<Output> {
    let request = client_request(url, method);
    edge.handle(at(START_MS), Input::ClientRequest { id, request })
}

fn ready_edge() -> EdgeNode {
    let mut edge = live(START_MS);
    updates(&mut edge, START_MS, &[origin(50)], true);
    edge
}

/// The call of the request, begun by a permit.
fn called(edge: &mut EdgeNode, begun: &[Output]) -> u64 {
    let out = heard(
        edge,
        1010,
        ADMISSION,
        permit(question(begun), origin(50), 1005),
    );
    question(&out)
}

fn call_results(out: &[Output]) -> Vec<CallResult> {
    let one = |output: &Output| match output {
        Output::Send {
            message: Message::CallDone(done),
            ..
        } => Some(done.result),
        _ => None,
    };
    out.iter().filter_map(one).collect()
}

fn cancelled(out: &[Output]) -> Vec<u64> {
    let one = |output: &Output| match output {
        Output::CancelCall { id } => Some(*id),
        _ => None,
    };
    out.iter().filter_map(one).collect()
}

#[test]
fn a_wait_for_a_permit_is_taken_back_and_a_permit_on_its_way_is_given_back() {
    let mut edge = ready_edge();
    let asked = question(&begin(&mut edge, 1, "/low", "GET"));
    let out = edge.handle(at(1300), Input::ClientDisconnected { id: 1 });
    assert_eq!(withdrawn(&out), [asked]);
    let left = (1, 503, "caller_left".to_string(), RunState::NotRun);
    assert_eq!(answers(out), [left]);
    let out = heard(&mut edge, 1301, ADMISSION, permit(asked, origin(50), 1299));
    assert_eq!(call_results(&out), [CallResult::Unused]);
}

#[test]
fn a_call_that_may_be_repeated_is_broken_off_at_once() {
    let mut edge = ready_edge();
    let begun = begin(&mut edge, 1, "/low", "GET");
    let call = called(&mut edge, &begun);
    let out = edge.handle(at(1300), Input::ClientDisconnected { id: 1 });
    assert_eq!(cancelled(&out), [call]);
    assert_eq!(call_results(&out), [CallResult::Cancelled]);
    // It may have run: a caller that still reads is not told that it did not.
    let left = (1, 503, "caller_left".to_string(), RunState::Unknown);
    assert_eq!(answers(out), [left]);
    let again = edge.handle(at(1310), Input::ClientDisconnected { id: 1 });
    assert!(again.is_empty(), "{again:?}");
}

/// Its outcome is recorded, and the next who asks gets it.
#[test]
fn an_operation_that_may_have_run_goes_on_until_it_is_recorded() {
    let mut edge = ready_edge();
    let claim = question(&begin(&mut edge, 1, "/k", "POST"));
    let claimed = told(&mut edge, 1005, claim, ChangeOutcome::Claimed);
    let call = called(&mut edge, &claimed);
    let out = edge.handle(at(1300), Input::ClientDisconnected { id: 1 });
    assert!(cancelled(&out).is_empty() && answers(out).is_empty());
    let result = CallOutcome::Success(reply(200));
    let out = edge.handle(at(1400), Input::CallCompleted { id: call, result });
    assert!(matches!(asked(&out)[..], [Change::Record(_, Some(_))]));
}

/// Nothing was sent under its claim: the next who asks may run it at once.
#[test]
fn a_claim_of_an_operation_that_was_not_sent_is_given_back() {
    for claimed_before in [false, true] {
        let mut edge = ready_edge();
        let claim = question(&begin(&mut edge, 1, "/k", "POST"));
        let mut out = Vec::new();
        if !claimed_before {
            out.extend(edge.handle(at(1002), Input::ClientDisconnected { id: 1 }));
        }
        out.extend(told(&mut edge, 1005, claim, ChangeOutcome::Claimed));
        if claimed_before {
            out.extend(edge.handle(at(1010), Input::ClientDisconnected { id: 1 }));
        }
        let released = |change: &Change| matches!(change, Change::Release(_));
        assert_eq!(asked(&out).iter().filter(|one| released(one)).count(), 1);
        assert!(asked(&out).last().is_some_and(released));
    }
}

/// What may run once only and was sent goes on; one that the origin did not take
/// is not sent again.
#[test]
fn what_may_run_once_is_neither_broken_off_nor_sent_again() {
    let mut edge = ready_edge();
    let begun = begin(&mut edge, 1, "/once", "POST");
    let call = called(&mut edge, &begun);
    let out = edge.handle(at(1300), Input::ClientDisconnected { id: 1 });
    assert!(cancelled(&out).is_empty() && answers(out).is_empty());
    let result = CallOutcome::NotExecuted;
    let out = edge.handle(at(1400), Input::CallCompleted { id: call, result });
    let asks = |output: &Output| {
        let Output::Send { message, .. } = output else {
            return false;
        };
        matches!(message, Message::PermitRequest(_))
    };
    assert!(!out.iter().any(asks));
    let left = (1, 503, "caller_left".to_string(), RunState::NotRun);
    assert_eq!(answers(out), [left]);
}

/// A leader whose caller has left asks on for its followers, and no longer.
#[test]
fn who_asks_for_others_goes_on_until_the_last_of_them_has_left() {
    let mut edge = ready_edge();
    let get = question(&begin(&mut edge, 1, "/copy", "GET"));
    for id in 2..=3 {
        begin(&mut edge, id, "/copy", "GET");
    }
    for (id, ms) in [(1, 1100), (3, 1110)] {
        let out = edge.handle(at(ms), Input::ClientDisconnected { id });
        assert!(withdrawn(&out).is_empty(), "request 2 waits for the copy");
    }
    let out = edge.handle(at(1120), Input::ClientDisconnected { id: 2 });
    assert_eq!(withdrawn(&out), [get]);
    let mut ended: Vec<u64> = answers(out).into_iter().map(|(id, ..)| id).collect();
    ended.sort_unstable();
    assert_eq!(ended, [1, 2]);
}

/// The owner counts on its refresher: others wait for the copy there.
#[test]
fn the_refresher_of_a_cache_owner_goes_on() {
    let mut edge = ready_edge();
    let get = question(&begin(&mut edge, 1, "/copy", "GET"));
    let token = FillToken {
        serial: 1,
        epoch: 1,
        purge_version: 0,
    };
    let key = ActiveRequest::cache_key(&client_request("/copy", "GET"));
    let out = heard(
        &mut edge,
        1005,
        OWNER,
        CacheMiss {
            id: get,
            key,
            token,
        },
    );
    let asked = question(&out);
    let out = edge.handle(at(1050), Input::ClientDisconnected { id: 1 });
    assert!(withdrawn(&out).is_empty());
    let out = heard(&mut edge, 1060, ADMISSION, permit(asked, origin(50), 1059));
    let call = question(&out);
    let result = CallOutcome::Success(reply(200));
    let out = edge.handle(at(1100), Input::CallCompleted { id: call, result });
    let puts = |output: &Output| {
        let Output::Send { message, .. } = output else {
            return false;
        };
        matches!(message, Message::CachePut(_))
    };
    assert!(out.iter().any(puts));
}

/// The same class with other words: who goes on without an owner that says
/// nothing takes its question back, and no copy is sent for it later.
#[test]
fn who_does_without_a_silent_owner_takes_its_question_back() {
    let mut edge = ready_edge();
    let get = question(&begin(&mut edge, 1, "/copy", "GET"));
    let mut taken_back = Vec::new();
    for now in (1050..3000).step_by(50) {
        renew(&mut edge, now);
        taken_back.extend(withdrawn(&edge.handle(at(now), Input::Tick)));
        if !taken_back.is_empty() {
            break;
        }
    }
    assert_eq!(taken_back, [get]);
}

/// The check itself: it counts what it is there for, once each, and nothing else.
#[test]
fn the_check_of_abandoned_work_sees_calls_begun_and_kept_for_nobody() {
    let (before, left, after) = (at(10), at(20), at(30));
    let late = left + at(SOON_MS);
    let nobody_pending = |_: u64| false;
    let purposes = [
        (CallPurpose::Caller, true, true),
        (CallPurpose::RunOnce, true, false),
        (CallPurpose::Copy, true, false),
        (CallPurpose::SharedCopy, false, false),
    ];
    for (purpose, counts_begun, counts_kept) in purposes {
        let mut check = AbandonedWork::default();
        check.client_disconnected(left, 1);
        assert_eq!(
            check.call_started(after, 7, 2, purpose),
            None,
            "not its own"
        );
        let begun = check.call_started(after, 8, 1, purpose);
        assert_eq!(begun.is_some(), counts_begun, "{purpose:?}");

        let mut check = AbandonedWork::default();
        assert_eq!(check.call_started(before, 8, 1, purpose), None);
        check.client_disconnected(left, 1);
        assert!(check.overdue(after, &nobody_pending).is_empty());
        let kept = check.overdue(late, &nobody_pending);
        assert_eq!(kept.len(), usize::from(counts_kept), "{purpose:?}");
        assert!(check.overdue(late, &nobody_pending).is_empty(), "once");

        let mut check = AbandonedWork::default();
        check.call_started(before, 8, 1, purpose);
        check.client_disconnected(left, 1);
        check.call_ended(8);
        assert!(check.overdue(late, &nobody_pending).is_empty());
    }
}

/// An edge that died has no place in line at the admission controller that this edge holds.
#[test]
fn a_admission_forgets_what_a_gone_edge_asked_for() {
    const GONE: u16 = 60;
    let mut edge = live(START_MS);
    let row = |value| Row { version: 1, value };
    let me = Peer::new(address(9), 5);
    let assignment = Assignment {
        epoch: 1,
        owner: Some(me),
        previous_owner: None,
    };
    let list = Arc::new(Vec::new());
    let roll = |members: Vec<Peer>, gone| Value::EdgeRegistry {
        members,
        departed: gone,
        complete: true,
    };
    let dead = Peer::new(address(GONE), 1);
    let learn = |edge: &mut EdgeNode, version, rows: Vec<(String, Row)>, partition| {
        let updates = PartitionUpdate {
            partition,
            version,
            rows,
        };
        let renewed = RenewReply {
            incarnation: 5,
            renewal_token: RenewalToken::default(),
            sent: at(START_MS),
            generation: 0,
            recall_requested: false,
            updates: vec![updates].into(),
        };
        heard(edge, START_MS, 1, renewed);
    };
    let text = table().document.clone();
    let configuration = Value::Configuration {
        text: serde_json::to_string(&text).unwrap().into(),
        change: 1,
    };
    let origins = Value::Origins { list, change: 1 };
    learn(
        &mut edge,
        1,
        vec![("configuration".into(), row(configuration))],
        CONFIGURATION_PARTITION,
    );
    learn(
        &mut edge,
        1,
        vec![("origins".into(), row(origins))],
        ORIGINS_PARTITION,
    );
    let assignments = vec![
        (
            admission_assignment("slow"),
            row(Value::Assignment(assignment)),
        ),
        ("roll".into(), row(roll(vec![me, dead], vec![]))),
    ];
    learn(&mut edge, 1, assignments, ASSIGNMENTS_PARTITION);
    let ask = PermitRequest {
        service: "slow".into(),
        id: 1,
        rank: 1,
        max_wait: at(5000),
        sent: at(START_MS),
        is_retry: false,
        call_timeout: at(1000),
        latency_target: at(1000),
        zone: String::new(),
        region: String::new(),
        excluded_origins: vec![],
    };
    heard(&mut edge, START_MS, GONE, ask);
    learn(
        &mut edge,
        2,
        vec![(
            "roll".into(),
            Row {
                version: 2,
                value: roll(vec![me], vec![dead]),
            },
        )],
        ASSIGNMENTS_PARTITION,
    );
    let mut told = Vec::new();
    for now in (START_MS + 50..START_MS + 3000).step_by(50) {
        renew(&mut edge, now);
        told.extend(edge.handle(at(now), Input::Tick));
    }
    let to_dead =
        |output: &&Output| matches!(output, Output::Send { to, .. } if *to == address(GONE));
    assert_eq!(
        told.iter().find(to_dead).map(|one| format!("{one:?}")),
        None
    );
}

/// A call that the edge itself held back says nothing of its origin, and is no
/// try.
#[test]
fn a_withheld_call_gives_its_permit_back_unused() {
    let mut edge = ready_edge();
    let mut asked = begin(&mut edge, 1, "/low", "GET");
    for _ in 0..5 {
        let call = called(&mut edge, &asked);
        let result = CallOutcome::NotSent;
        asked = edge.handle(at(1020), Input::CallCompleted { id: call, result });
        assert_eq!(call_results(&asked), [CallResult::Unused]);
    }
    let begun = begin(&mut edge, 2, "/once", "POST");
    let call = called(&mut edge, &begun);
    edge.handle(at(1015), Input::ClientDisconnected { id: 2 });
    let result = CallOutcome::NotSent;
    let out = edge.handle(at(1020), Input::CallCompleted { id: call, result });
    assert_eq!(call_results(&out), [CallResult::Unused]);
    let left = (2, 503, "caller_left".to_string(), RunState::NotRun);
    assert_eq!(answers(out), [left]);
}

/// An operation that runs elsewhere: nobody is left to be told of its end.
#[test]
fn a_claim_that_another_holds_is_not_asked_for_on() {
    let mut edge = ready_edge();
    let claim = question(&begin(&mut edge, 1, "/k", "POST"));
    edge.handle(at(1002), Input::ClientDisconnected { id: 1 });
    let running = ChangeOutcome::AlreadyClaimed {
        same: true,
        state: OperationState::Running,
    };
    let mut out = told(&mut edge, 1005, claim, running);
    for now in (1050..3000).step_by(50) {
        renew(&mut edge, now);
        out.extend(edge.handle(at(now), Input::Tick));
    }
    let claims = |change: &Change| matches!(change, Change::Claim(_));
    assert!(!asked(&out).iter().any(claims));
    assert_eq!(answers(out).len(), 1);
}
