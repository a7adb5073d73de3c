//! Random sequences of permits, call endings, ledger responses and delays for a single
//! request, checked against the calls that may have been executed.
mod edge_harness;
use data_plane::prelude::*;
use edge_harness::*;
use proptest::prelude::*;

/// Maximum number of calls for one request.
const DEFAULT_MAX_ATTEMPTS: usize = 3;
/// The id of the request.
const REQUEST: u64 = 1;

#[derive(Debug, Clone, Copy, PartialEq)]
enum RequestKind {
    /// The request may run more than once.
    Repeatable,
    /// The request may run at most once, although it is a GET.
    Once,
    Post,
    Keyed,
}

/// A step of a random sequence. `back` selects the last element or one before it.
#[derive(Debug, Clone)]
enum Step {
    /// A permit is granted for the current exchange or an earlier one.
    Permit {
        back: usize,
    },
    Refused {
        back: usize,
        overloaded: bool,
    },
    /// The current call ends, or an earlier one ends, possibly again.
    Called {
        back: usize,
        ending: CallEnding,
    },
    Ledger {
        back: usize,
        outcome: LedgerReply,
    },
    /// This many milliseconds pass, then the leases are renewed.
    Wait(u64),
    /// This many milliseconds pass without a renewal of the leases.
    MissedRenewals(u64),
    /// The edge receives a shutdown request.
    Shutdown,
    /// The client closes its connection.
    ClientDisconnected,
}

#[derive(Debug, Clone, Copy)]
enum CallEnding {
    Success,
    Failure,
    Unsent,
    Withheld,
    NotExecuted,
    WrongInstance,
    Lost,
}

#[derive(Debug, Clone, Copy)]
enum LedgerReply {
    Claimed,
    Released,
    Recorded,
    Unknown,
    Running,
}

fn step() -> impl Strategy<Value = Step> {
    let back = || prop_oneof![5 => Just(0usize), 1 => 1usize..4];
    let ending = prop_oneof![
        Just(CallEnding::Success),
        Just(CallEnding::Failure),
        Just(CallEnding::Unsent),
        Just(CallEnding::Withheld),
        Just(CallEnding::NotExecuted),
        Just(CallEnding::WrongInstance),
        Just(CallEnding::Lost),
    ];
    let ledger_reply = prop_oneof![
        3 => Just(LedgerReply::Claimed),
        1 => Just(LedgerReply::Released),
        1 => Just(LedgerReply::Recorded),
        1 => Just(LedgerReply::Unknown),
        1 => Just(LedgerReply::Running),
    ];
    prop_oneof![
        4 => back().prop_map(|back| Step::Permit { back }),
        1 => (back(), any::<bool>()).prop_map(|(back, overloaded)| Step::Refused { back, overloaded }),
        4 => (back(), ending).prop_map(|(back, ending)| Step::Called { back, ending }),
        4 => (back(), ledger_reply).prop_map(|(back, outcome)| Step::Ledger { back, outcome }),
        2 => prop_oneof![Just(50u64), Just(250), Just(5_000)].prop_map(Step::Wait),
        1 => prop_oneof![Just(250u64), Just(700)].prop_map(Step::MissedRenewals),
        1 => Just(Step::Shutdown),
        1 => Just(Step::ClientDisconnected),
    ]
}

struct SentCall {
    id: u64,
    /// The first ending of the call that was reported to the edge.
    ended: Option<CallEnding>,
}

impl SentCall {
    /// Returns true if the origin may have executed the request.
    fn may_have_run(&self) -> bool {
        !matches!(
            self.ended,
            Some(
                CallEnding::Unsent
                    | CallEnding::Withheld
                    | CallEnding::NotExecuted
                    | CallEnding::WrongInstance
            )
        )
    }
}

struct Model {
    kind: RequestKind,
    edge: EdgeNode,
    now: u64,
    permits: Vec<u64>,
    ledger: Vec<u64>,
    calls: Vec<SentCall>,
    responded: bool,
    disconnected: bool,
}

/// Returns the element `back` places before the last.
fn nth_last(ids: &[u64], back: usize) -> Option<u64> {
    ids.len().checked_sub(back + 1).map(|index| ids[index])
}

impl Model {
    fn new(kind: RequestKind) -> Result<Model, TestCaseError> {
        let mut edge = live_edge(1000);
        deliver_updates(&mut edge, 1000, &[origin(50)], false);
        let mut model = Model {
            kind,
            edge,
            now: 1000,
            permits: Vec::new(),
            ledger: Vec::new(),
            calls: Vec::new(),
            responded: false,
            disconnected: false,
        };
        let (url, method) = match kind {
            RequestKind::Repeatable => ("/low", "GET"),
            RequestKind::Once => ("/once", "GET"),
            RequestKind::Post => ("/post", "POST"),
            RequestKind::Keyed => ("/k", "POST"),
        };
        let request = client_request(url, method);
        let outputs = model.edge.handle(
            millis(1000),
            Input::ClientRequest {
                id: REQUEST,
                request,
            },
        );
        model.check_outputs(outputs)?;
        Ok(model)
    }

    fn renew(&mut self) {
        for control_node in [1, 2] {
            let renewed = renew_reply(5, self.now, SharedUpdates::default());
            deliver(&mut self.edge, self.now, control_node, renewed);
        }
    }

    fn apply_step(&mut self, step: Step) -> Result<(), TestCaseError> {
        let now = self.now;
        let outputs = match step {
            Step::Permit { back } => match nth_last(&self.permits, back) {
                Some(id) => deliver(&mut self.edge, now, ADMISSION, permit(id, origin(50), now)),
                None => return Ok(()),
            },
            Step::Refused { back, overloaded } => match nth_last(&self.permits, back) {
                Some(id) => {
                    let reason = if overloaded {
                        PermitRefusalReason::Overloaded
                    } else {
                        PermitRefusalReason::RetryBudgetExhausted
                    };
                    let retry_after = millis(1000);
                    deliver(
                        &mut self.edge,
                        now,
                        ADMISSION,
                        PermitRefused {
                            id,
                            reason,
                            retry_after,
                        },
                    )
                }
                None => return Ok(()),
            },
            Step::Called { back, ending } => match self.calls.len().checked_sub(back + 1) {
                Some(index) => self.end_call(index, ending),
                None => return Ok(()),
            },
            Step::Ledger { back, outcome } => match nth_last(&self.ledger, back) {
                Some(id) => self.ledger_replies(id, outcome),
                None => return Ok(()),
            },
            Step::MissedRenewals(ms) => {
                self.now += ms;
                self.edge.handle(millis(self.now), Input::Tick)
            }
            Step::ClientDisconnected => {
                self.disconnected = true;
                self.edge
                    .handle(millis(now), Input::ClientDisconnected { id: REQUEST })
            }
            Step::Shutdown => self.edge.handle(millis(now), Input::ShutdownRequested),
            Step::Wait(ms) => {
                self.now += ms;
                self.renew();
                self.edge.handle(millis(self.now), Input::Tick)
            }
        };
        self.check_outputs(outputs)
    }

    fn end_call(&mut self, call: usize, ending: CallEnding) -> Vec<Output> {
        let sent_call = &mut self.calls[call];
        sent_call.ended.get_or_insert(ending);
        let reply = |status| {
            CallOutcome::Success(Reply {
                status,
                body: Arc::new(format!("call {}", sent_call.id).into_bytes()),
                ..Reply::default()
            })
        };
        let result = match ending {
            CallEnding::Success => reply(200),
            CallEnding::Failure => reply(500),
            CallEnding::Unsent => CallOutcome::Unreachable,
            CallEnding::Withheld => CallOutcome::NotSent,
            CallEnding::NotExecuted => CallOutcome::NotExecuted,
            CallEnding::WrongInstance => CallOutcome::WrongInstance,
            CallEnding::Lost => CallOutcome::Failure("reset".into()),
        };
        let id = sent_call.id;
        self.edge
            .handle(millis(self.now), Input::CallCompleted { id, result })
    }

    fn ledger_replies(&mut self, id: u64, ledger_reply: LedgerReply) -> Vec<Output> {
        let outcome = match ledger_reply {
            LedgerReply::Claimed => ChangeOutcome::Claimed,
            LedgerReply::Released => ChangeOutcome::Released,
            LedgerReply::Recorded => ChangeOutcome::Recorded,
            LedgerReply::Unknown => ChangeOutcome::Unknown,
            LedgerReply::Running => ChangeOutcome::AlreadyClaimed {
                same: true,
                state: OperationState::Running,
            },
        };
        ledger_responds(&mut self.edge, self.now, id, outcome)
    }

    fn check_outputs(&mut self, outputs: Vec<Output>) -> Result<(), TestCaseError> {
        for output in outputs {
            match output {
                Output::Send { message, .. } => match message {
                    Message::PermitRequest(request) => self.permits.push(request.id),
                    Message::ChangeRequest(request) => {
                        if matches!(request.change, Change::Release(_)) {
                            prop_assert!(
                                !self.calls.iter().any(SentCall::may_have_run),
                                "a claim was released whose operation may have run"
                            );
                        }
                        self.ledger.push(request.id);
                    }
                    _ => {}
                },
                Output::Call { id, .. } => self.check_call(id)?,
                Output::CancelCall { .. } => {
                    prop_assert!(self.disconnected && self.kind == RequestKind::Repeatable);
                }
                Output::Log { event, text } => {
                    prop_assert!(event != Event::AbandonedWork, "{}", text);
                }
                Output::ClientResponse { id, response } => {
                    prop_assert_eq!(id, REQUEST);
                    self.check_response(response)?;
                }
                _ => {}
            }
        }
        Ok(())
    }

    fn check_call(&mut self, id: u64) -> Result<(), TestCaseError> {
        prop_assert!(!self.responded, "a call after the response");
        prop_assert!(!self.disconnected, "a call after the client disconnected");
        prop_assert!(
            self.calls.iter().all(|call| call.id != id),
            "a call id was used twice"
        );
        // A call that the edge itself withheld reached no origin.
        let withheld = |call: &&SentCall| matches!(call.ended, Some(CallEnding::Withheld));
        let attempts = self.calls.len() - self.calls.iter().filter(withheld).count();
        prop_assert!(
            attempts < DEFAULT_MAX_ATTEMPTS,
            "more attempts than allowed"
        );
        if self.kind != RequestKind::Repeatable {
            prop_assert!(
                !self.calls.iter().any(SentCall::may_have_run),
                "a retry without proof that no earlier call was executed"
            );
        }
        self.calls.push(SentCall { id, ended: None });
        Ok(())
    }

    fn check_response(&mut self, response: ClientResponse) -> Result<(), TestCaseError> {
        prop_assert!(!self.responded, "a second response");
        self.responded = true;
        match response {
            ClientResponse::Reply { reply, .. } => {
                let text = String::from_utf8_lossy(&reply.body).into_owned();
                let call = self
                    .calls
                    .iter()
                    .find(|call| text == format!("call {}", call.id));
                let call = call.expect("the response to one of the calls");
                prop_assert!(matches!(
                    call.ended,
                    Some(CallEnding::Success | CallEnding::Failure)
                ));
                if self.kind != RequestKind::Repeatable {
                    prop_assert_eq!(Some(call.id), self.calls.last().map(|call| call.id));
                }
            }
            ClientResponse::Rejection(rejection) => {
                let reported_not_run =
                    rejection.nothing_sent || rejection.outcome == RunState::NotRun;
                if reported_not_run {
                    prop_assert!(
                        !self.calls.iter().any(SentCall::may_have_run),
                        "reported as not run: {:?}",
                        rejection
                    );
                }
            }
        }
        Ok(())
    }
}

proptest! {
    #![proptest_config(ProptestConfig {
        cases: 3000,
        failure_persistence: None,
        ..ProptestConfig::default()
    })]

    /// Messages may arrive late, twice or for an earlier exchange. A request that may run
    /// only once is retried, or reported as "not run", only with proof that it was not
    /// executed, and its response is that of the last call.
    #[test]
    fn request_is_retried_only_on_proof(
        kind in prop_oneof![
            Just(RequestKind::Repeatable),
            Just(RequestKind::Once),
            Just(RequestKind::Post),
            Just(RequestKind::Keyed),
        ],
        steps in proptest::collection::vec(step(), 1..60),
    ) {
        let mut model = Model::new(kind)?;
        for step in steps {
            model.apply_step(step)?;
        }
    }
}
