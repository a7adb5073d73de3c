//! Drawn sequences of permits, call endings, ledger answers and delays for one
//! request, judged against which of its calls may have run.
mod edge;
use data_plane::prelude::*;
use edge::*;
use proptest::prelude::*;

/// Calls that one request may make.
const DEFAULT_MAX_ATTEMPTS: usize = 3;
const REQUEST: u64 = 1;

#[derive(Debug, Clone, Copy, PartialEq)]
enum Sort {
    /// May run more than once.
    Repeatable,
    /// At most once, though it is a GET.
    Once,
    Post,
    Keyed,
}

#[derive(Debug, Clone)]
enum Step {
    /// A permit for the question of now, or for an earlier one.
    Permit {
        back: usize,
    },
    Refused {
        back: usize,
        busy: bool,
    },
    /// The call of now ends, or an earlier one does so (again).
    Called {
        back: usize,
        end: End,
    },
    Ledger {
        back: usize,
        outcome: Word,
    },
    Wait(u64),
    /// Time passes and no control node renews the lease.
    Silence(u64),
    /// The process is asked to end.
    Shutdown,
    /// The caller closes its connection.
    ClientDisconnected,
}

#[derive(Debug, Clone, Copy)]
enum End {
    Good,
    Failure,
    Unsent,
    Withheld,
    NotRun,
    Stranger,
    Lost,
}

#[derive(Debug, Clone, Copy)]
enum Word {
    Claimed,
    Released,
    Recorded,
    Lost,
    Running,
}

fn step() -> impl Strategy<Value = Step> {
    let back = || prop_oneof![5 => Just(0usize), 1 => 1usize..4];
    let end = prop_oneof![
        Just(End::Good),
        Just(End::Failure),
        Just(End::Unsent),
        Just(End::Withheld),
        Just(End::NotRun),
        Just(End::Stranger),
        Just(End::Lost),
    ];
    let word = prop_oneof![
        3 => Just(Word::Claimed),
        1 => Just(Word::Released),
        1 => Just(Word::Recorded),
        1 => Just(Word::Lost),
        1 => Just(Word::Running),
    ];
    prop_oneof![
        4 => back().prop_map(|back| Step::Permit { back }),
        1 => (back(), any::<bool>()).prop_map(|(back, busy)| Step::Refused { back, busy }),
        4 => (back(), end).prop_map(|(back, end)| Step::Called { back, end }),
        4 => (back(), word).prop_map(|(back, outcome)| Step::Ledger { back, outcome }),
        2 => prop_oneof![Just(50u64), Just(250), Just(5_000)].prop_map(Step::Wait),
        1 => prop_oneof![Just(250u64), Just(700)].prop_map(Step::Silence),
        1 => Just(Step::Shutdown),
        1 => Just(Step::ClientDisconnected),
    ]
}

struct CallMade {
    id: u64,
    /// How it first ended, as told to the edge.
    ended: Option<End>,
}

impl CallMade {
    /// Whether its request may have run at the origin.
    fn may_have_run(&self) -> bool {
        !matches!(
            self.ended,
            Some(End::Unsent | End::Withheld | End::NotRun | End::Stranger)
        )
    }
}

struct Model {
    sort: Sort,
    edge: EdgeNode,
    now: u64,
    permits: Vec<u64>,
    ledger: Vec<u64>,
    calls: Vec<CallMade>,
    answered: bool,
    left: bool,
}

fn earlier(ids: &[u64], back: usize) -> Option<u64> {
    ids.len().checked_sub(back + 1).map(|at| ids[at])
}

impl Model {
    fn new(sort: Sort) -> Result<Model, TestCaseError> {
        let mut edge = live(1000);
        updates(&mut edge, 1000, &[origin(50)], false);
        let mut model = Model {
            sort,
            edge,
            now: 1000,
            permits: Vec::new(),
            ledger: Vec::new(),
            calls: Vec::new(),
            answered: false,
            left: false,
        };
        let (url, method) = match sort {
            Sort::Repeatable => ("/low", "GET"),
            Sort::Once => ("/once", "GET"),
            Sort::Post => ("/post", "POST"),
            Sort::Keyed => ("/k", "POST"),
        };
        let request = client_request(url, method);
        let out = model.edge.handle(
            at(1000),
            Input::ClientRequest {
                id: REQUEST,
                request,
            },
        );
        model.judge(out)?;
        Ok(model)
    }

    fn renew(&mut self) {
        for seed in [1, 2] {
            let renewed = RenewReply {
                incarnation: 5,
                renewal_token: RenewalToken::default(),
                sent: at(self.now),
                generation: 0,
                recall_requested: false,
                updates: SharedUpdates::default(),
            };
            heard(&mut self.edge, self.now, seed, renewed);
        }
    }

    fn play(&mut self, step: Step) -> Result<(), TestCaseError> {
        let now = self.now;
        let out = match step {
            Step::Permit { back } => match earlier(&self.permits, back) {
                Some(id) => heard(&mut self.edge, now, ADMISSION, permit(id, origin(50), now)),
                None => return Ok(()),
            },
            Step::Refused { back, busy } => match earlier(&self.permits, back) {
                Some(id) => {
                    let reason = if busy {
                        PermitRefusalReason::Overloaded
                    } else {
                        PermitRefusalReason::RetryBudgetExhausted
                    };
                    let back = at(1000);
                    heard(
                        &mut self.edge,
                        now,
                        ADMISSION,
                        PermitRefused { id, reason, back },
                    )
                }
                None => return Ok(()),
            },
            Step::Called { back, end } => match self.calls.len().checked_sub(back + 1) {
                Some(at) => self.call_ends(at, end),
                None => return Ok(()),
            },
            Step::Ledger { back, outcome } => match earlier(&self.ledger, back) {
                Some(id) => self.ledger_says(id, outcome),
                None => return Ok(()),
            },
            Step::Silence(ms) => {
                self.now += ms;
                self.edge.handle(at(self.now), Input::Tick)
            }
            Step::ClientDisconnected => {
                self.left = true;
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
        self.judge(out)
    }

    fn call_ends(&mut self, call: usize, end: End) -> Vec<Output> {
        let made = &mut self.calls[call];
        made.ended.get_or_insert(end);
        let reply = |status| {
            CallOutcome::Success(Reply {
                status,
                body: Arc::new(format!("call {}", made.id).into_bytes()),
                ..Reply::default()
            })
        };
        let result = match end {
            End::Good => reply(200),
            End::Failure => reply(500),
            End::Unsent => CallOutcome::Unreachable,
            End::Withheld => CallOutcome::NotSent,
            End::NotRun => CallOutcome::NotExecuted,
            End::Stranger => CallOutcome::WrongInstance,
            End::Lost => CallOutcome::Failure("reset".into()),
        };
        let id = made.id;
        self.edge
            .handle(at(self.now), Input::CallCompleted { id, result })
    }

    fn ledger_says(&mut self, id: u64, word: Word) -> Vec<Output> {
        let outcome = match word {
            Word::Claimed => ChangeOutcome::Claimed,
            Word::Released => ChangeOutcome::Released,
            Word::Recorded => ChangeOutcome::Recorded,
            Word::Lost => ChangeOutcome::Unknown,
            Word::Running => ChangeOutcome::AlreadyClaimed {
                same: true,
                state: OperationState::Running,
            },
        };
        told(&mut self.edge, self.now, id, outcome)
    }

    fn judge(&mut self, out: Vec<Output>) -> Result<(), TestCaseError> {
        for output in out {
            match output {
                Output::Send { message, .. } => match message {
                    Message::PermitRequest(ask) => self.permits.push(ask.id),
                    Message::ChangeRequest(ask) => {
                        if matches!(ask.change, Change::Release(_)) {
                            prop_assert!(
                                !self.calls.iter().any(CallMade::may_have_run),
                                "a key is released whose operation may have run"
                            );
                        }
                        self.ledger.push(ask.id);
                    }
                    _ => {}
                },
                Output::Call { id, .. } => self.call_leaves(id)?,
                Output::CancelCall { .. } => {
                    prop_assert!(self.left && self.sort == Sort::Repeatable);
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

    fn call_leaves(&mut self, id: u64) -> Result<(), TestCaseError> {
        prop_assert!(!self.answered, "called after its answer");
        prop_assert!(!self.left, "called after its caller left");
        prop_assert!(self.calls.iter().all(|call| call.id != id), "an id twice");
        // One that the edge's own line held back reached no origin.
        let withheld = |call: &&CallMade| matches!(call.ended, Some(End::Withheld));
        let tries = self.calls.len() - self.calls.iter().filter(withheld).count();
        prop_assert!(tries < DEFAULT_MAX_ATTEMPTS, "more calls than it may make");
        if self.sort != Sort::Repeatable {
            prop_assert!(
                !self.calls.iter().any(CallMade::may_have_run),
                "called again without proof"
            );
        }
        self.calls.push(CallMade { id, ended: None });
        Ok(())
    }

    fn answer(&mut self, answer: ClientResponse) -> Result<(), TestCaseError> {
        prop_assert!(!self.answered, "answered twice");
        self.answered = true;
        match answer {
            ClientResponse::Reply { reply, .. } => {
                let text = String::from_utf8_lossy(&reply.body).into_owned();
                let own = self
                    .calls
                    .iter()
                    .find(|call| text == format!("call {}", call.id));
                let own = own.expect("the answer to a call that was made");
                prop_assert!(matches!(own.ended, Some(End::Good | End::Failure)));
                if self.sort != Sort::Repeatable {
                    prop_assert_eq!(Some(own.id), self.calls.last().map(|call| call.id));
                }
            }
            ClientResponse::Rejection(refusal) => {
                let promised = refusal.nothing_sent || refusal.outcome == RunState::NotRun;
                if promised {
                    prop_assert!(
                        !self.calls.iter().any(CallMade::may_have_run),
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

    /// Whatever comes late, twice or for an earlier question: a request that
    /// may run once is called again only on proof, "not run" is said only on
    /// proof, and the answer is that of the call under way.
    #[test]
    fn a_request_runs_again_only_on_proof(
        sort in prop_oneof![
            Just(Sort::Repeatable),
            Just(Sort::Once),
            Just(Sort::Post),
            Just(Sort::Keyed),
        ],
        steps in proptest::collection::vec(step(), 1..60),
    ) {
        let mut model = Model::new(sort)?;
        for step in steps {
            model.play(step)?;
        }
    }
}
