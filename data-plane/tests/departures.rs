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

/// An edge with requests of all kinds; gate, owner and ledger are the test's.
struct Model {
    edge: EdgePart,
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
        news(&mut edge, START_MS, &[origin(50)], true);
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
                let errand = errand(url, method);
                self.edge.step(at(now), Input::ClientRequest { id, errand })
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
                self.edge.step(at(now), Input::CallerLeft { id })
            }
            Step::Permit(which) => match take(&mut self.permits, which) {
                Some(id) => heard(&mut self.edge, now, GATE, permit(id, origin(50), now)),
                None => return Ok(()),
            },
            Step::Refused(which) => match take(&mut self.permits, which) {
                Some(id) => {
                    let refused = PermitRefused {
                        id,
                        reason: AwayReason::Busy,
                        back: at(100),
                    };
                    heard(&mut self.edge, now, GATE, refused)
                }
                None => return Ok(()),
            },
            Step::Called(which, end) => match take(&mut self.calls, which) {
                Some((id, _)) => {
                    let result = match end {
                        End::Good => CallBack::Good(reply(200)),
                        End::Failure => CallBack::Good(reply(500)),
                        End::NotRun => CallBack::NotRun,
                        End::Lost => CallBack::Bad("reset".into()),
                    };
                    self.edge.step(at(now), Input::Called { id, result })
                }
                None => return Ok(()),
            },
            Step::Ledger(which, word) => match take(&mut self.ledger, which) {
                Some(id) => {
                    let outcome = match word {
                        Word::Claimed => Outcome::Claimed,
                        Word::Running => Outcome::Taken {
                            same: true,
                            state: OperationState::Running,
                        },
                        Word::Released => Outcome::Released,
                        Word::Recorded => Outcome::Recorded,
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
                self.edge.step(at(self.now), Input::Tick)
            }
        };
        self.judge(out)?;
        if matches!(step, Step::Wait(ms) if ms >= SOON_MS) {
            self.nothing_is_under_way_for_nobody()?;
        }
        Ok(())
    }

    fn owner_says(&mut self, id: u64, kept: Kept) -> Vec<Output> {
        let key = Job::cache_key(&errand("/copy", "GET"));
        let message: Message = match kept {
            Kept::Copy => {
                let copy = CopyOut {
                    reply: reply(200),
                    purged: 0,
                    age: at(0),
                    fresh: at(10),
                    left: at(20),
                    held: at(0),
                };
                let wait = at(1000);
                Copy {
                    id,
                    key,
                    wait,
                    copy,
                }
                .into()
            }
            Kept::Miss => {
                self.tokens += 1;
                let token = Token {
                    serial: self.tokens,
                    epoch: 1,
                    purged: 0,
                };
                Miss { id, key, token }.into()
            }
            Kept::NoCopy => NoCopy { id, key }.into(),
        };
        heard(&mut self.edge, self.now, OWNER, message)
    }

    fn judge(&mut self, out: Vec<Output>) -> Result<(), TestCaseError> {
        for output in out {
            match output {
                Output::Tell { message, .. } => match message {
                    Message::PermitRequest(ask) => self.permits.push(ask.id),
                    Message::ChangeRequest(ask) => self.ledger.push(ask.id),
                    Message::Get(get) => self.gets.push(get.id),
                    _ => {}
                },
                Output::Call { id, call } => {
                    let request = &self.requests[&call.errand];
                    prop_assert!(
                        !request.left || request.sort == Sort::Cached,
                        "a call is begun for a caller that has left: {:?}",
                        request.sort
                    );
                    self.calls.push((id, call.errand));
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
                Output::Answer { id, .. } => {
                    let request = self.requests.get_mut(&id).unwrap();
                    prop_assert!(!request.answered, "answered twice");
                    request.answered = true;
                }
                Output::Note {
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
