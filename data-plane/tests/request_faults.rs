//! Random sequences of permits, call endings, ledger responses and delays for one
//! request, checked against which of its calls may have been executed.
mod edge;
use data_plane::prelude::*;
use edge::*;
use proptest::prelude::*;

/// Calls that one request may make.
const DEFAULT_MAX_ATTEMPTS: usize = 3;
const REQUEST: u64 = 1;

#[derive(Debug, Clone, Copy, PartialEq)]
enum RequestKind {
    /// May run more than once.
    Repeatable,
    /// At most once, though it is a GET.
    Once,
    Post,
    Keyed,
}

#[derive(Debug, Clone)]
enum Step {
    /// A permit for the current exchange, or for an earlier one.
    Permit {
        back: usize,
    },
    Refused {
        back: usize,
        overloaded: bool,
    },
    /// The current call ends, or an earlier one does so (again).
    Called {
        back: usize,
        ending: CallEnding,
    },
    Ledger {
        back: usize,
        outcome: LedgerReply,
    },
    Wait(u64),
    /// Time passes and no control node renews the lease.
    MissedRenewals(u64),
    /// The process is requested to shut down.
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
    /// How it first ended, as reported to the edge.
    ended: Option<CallEnding>,
}

impl SentCall {
    /// Whether the origin may have executed its request.
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

fn nth_last(ids: &[u64], back: usize) -> Option<u64> {
    ids.len().checked_sub(back + 1).map(|at| ids[at])
}

impl Model {
    fn new(kind: RequestKind) -> Result<Model, TestCaseError> {
        let mut edge = live(1000);
        updates(&mut edge, 1000, &[origin(50)], false);
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
            at(1000),
            Input::ClientRequest {
                id: REQUEST,
                request,
            },
        );
        model.check_outputs(outputs)?;
        Ok(model)
    }

    fn renew(&mut self) {
        for seed in [1, 2] {
            let renewed = renew_reply(5, self.now, SharedUpdates::default());
            deliver(&mut self.edge, self.now, seed, renewed);
        }
    }

    fn play(&mut self, step: Step) -> Result<(), TestCaseError> {
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
                    let back = at(1000);
                    deliver(
                        &mut self.edge,
                        now,
                        ADMISSION,
                        PermitRefused {
                            id,
                            reason,
                            retry_after: back,
                        },
                    )
                }
                None => return Ok(()),
            },
            Step::Called { back, ending } => match self.calls.len().checked_sub(back + 1) {
                Some(at) => self.end_call(at, ending),
                None => return Ok(()),
            },
            Step::Ledger { back, outcome } => match nth_last(&self.ledger, back) {
                Some(id) => self.ledger_replies(id, outcome),
                None => return Ok(()),
            },
            Step::MissedRenewals(ms) => {
                self.now += ms;
                self.edge.handle(at(self.now), Input::Tick)
            }
            Step::ClientDisconnected => {
                self.disconnected = true;
                self.edge
                    .handle(at(now), Input::ClientDisconnected { id: REQUEST })
            }
            Step::Shutdown => self.edge.handle(at(now), Input::ShutdownRequested),
            Step::Wait(ms) => {
                self.now += ms;
                self.renew();
                self.edge.handle(at(self.now), Input::Tick)
            }
        };
        self.check_outputs(outputs)
    }

    fn end_call(&mut self, call: usize, ending: CallEnding) -> Vec<Output> {
        let made = &mut self.calls[call];
        made.ended.get_or_insert(ending);
        let reply = |status| {
            CallOutcome::Success(Reply {
                status,
                body: Arc::new(format!("call {}", made.id).into_bytes()),
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
        let id = made.id;
        self.edge
            .handle(at(self.now), Input::CallCompleted { id, result })
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
                    Message::PermitRequest(request_message) => {
                        self.permits.push(request_message.id)
                    }
                    Message::ChangeRequest(request_message) => {
                        if matches!(request_message.change, Change::Release(_)) {
                            prop_assert!(
                                !self.calls.iter().any(SentCall::may_have_run),
                                "a key is released whose operation may have run"
                            );
                        }
                        self.ledger.push(request_message.id);
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
                Output::ClientResponse {
                    id,
                    response: answer,
                } => {
                    prop_assert_eq!(id, REQUEST);
                    self.answer(answer)?;
                }
                _ => {}
            }
        }
        Ok(())
    }

    fn check_call(&mut self, id: u64) -> Result<(), TestCaseError> {
        prop_assert!(!self.responded, "called after its answer");
        prop_assert!(!self.disconnected, "called after its caller left");
        prop_assert!(self.calls.iter().all(|call| call.id != id), "an id twice");
        // A call that the edge itself withheld reached no origin.
        let withheld = |call: &&SentCall| matches!(call.ended, Some(CallEnding::Withheld));
        let attempts = self.calls.len() - self.calls.iter().filter(withheld).count();
        prop_assert!(
            attempts < DEFAULT_MAX_ATTEMPTS,
            "more calls than it may make"
        );
        if self.kind != RequestKind::Repeatable {
            prop_assert!(
                !self.calls.iter().any(SentCall::may_have_run),
                "called again without proof"
            );
        }
        self.calls.push(SentCall { id, ended: None });
        Ok(())
    }

    fn answer(&mut self, answer: ClientResponse) -> Result<(), TestCaseError> {
        prop_assert!(!self.responded, "answered twice");
        self.responded = true;
        match answer {
            ClientResponse::Reply { reply, .. } => {
                let text = String::from_utf8_lossy(&reply.body).into_owned();
                let own = self
                    .calls
                    .iter()
                    .find(|call| text == format!("call {}", call.id));
                let own = own.expect("the answer to a call that was made");
                prop_assert!(matches!(
                    own.ended,
                    Some(CallEnding::Success | CallEnding::Failure)
                ));
                if self.kind != RequestKind::Repeatable {
                    prop_assert_eq!(Some(own.id), self.calls.last().map(|call| call.id));
                }
            }
            ClientResponse::Rejection(refusal) => {
                let promised = refusal.nothing_sent || refusal.outcome == RunState::NotRun;
                if promised {
                    prop_assert!(
                        !self.calls.iter().any(SentCall::may_have_run),
                        "promised that it did not run: {:?}",
                        refusal
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

    /// Whatever arrives late, twice or for an earlier exchange: a request that
    /// may run once is retried only on proof, "not run" is reported only on
    /// proof, and the response is that of the call in flight.
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
            model.play(step)?;
        }
    }
}
