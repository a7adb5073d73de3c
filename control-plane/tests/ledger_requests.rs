//! Random orders of the messages of keyed requests at the ledger, judged by the users' rules:
//! a key runs at most once, a repeat gets the recorded outcome, and no key stays claimed for
//! requests that have ended.
//!
//! The requests of this test behave as those of edges do: claims, releases and outcomes are
//! sent several times through different nodes, so each copy may arrive at any later moment.

use control_plane::prelude::*;
use proptest::prelude::*;
use proptest::sample::Index;

/// Number of control nodes.
const SLOTS: usize = 3;
/// Maximum number of requests with the key, within what a row remembers.
const MAX_REQUESTS: usize = RELEASED_REQUESTS;

/// What a request does next; each one has a key in common with the others.
#[derive(Debug, Clone, Copy, PartialEq)]
enum Stage {
    /// It waits for its claim.
    Claiming,
    /// It holds the claim; an origin may run it.
    Running,
    /// It was not run, and releases its claim until that is confirmed.
    Releasing,
    /// It was run, and records its outcome until that is confirmed.
    Recording,
    Ended,
}

#[derive(Debug, Clone, Copy, PartialEq)]
enum MessageKind {
    Claim,
    Release,
    Outcome,
}

/// A copy of a request's message on its way to the ledger.
#[derive(Debug, Clone, Copy)]
struct MessageCopy {
    request: usize,
    kind: MessageKind,
}

/// A random step.
#[derive(Debug, Clone)]
enum Step {
    StartRequest,
    /// A request sends its current message again.
    Resend(Index),
    /// A copy arrives.
    Deliver(Index),
    /// An origin refuses a running request, or the client of a claiming one leaves.
    GiveUp(Index),
    /// An origin runs a request.
    Run(Index),
}

struct World {
    ledger: PartitionLeader,
    requests: Vec<Stage>,
    in_flight: Vec<MessageCopy>,
    /// The request that an origin ran.
    ran: Option<usize>,
}

fn response(request: usize) -> Arc<Reply> {
    Arc::new(Reply {
        status: 200,
        body: Arc::new(vec![request as u8]),
        ..Reply::default()
    })
}

fn claim(request: usize) -> Claim {
    const EDGES: u16 = 3;
    let port = 1 + request as u16 % EDGES;
    Claim {
        operation: "s/key".into(),
        fingerprint: [7; 32],
        claimant: Peer::new(SocketAddr::from(([127, 0, 0, 1], port)), 1),
        request: request as u64,
    }
}

impl World {
    fn new() -> World {
        World {
            ledger: PartitionLeader::new(PUBLISHED_PARTITIONS, 1, SLOTS, 0),
            requests: Vec::new(),
            in_flight: Vec::new(),
            ran: None,
        }
    }

    fn step(&mut self, step: &Step) {
        match step {
            Step::StartRequest if self.requests.len() < MAX_REQUESTS => {
                self.requests.push(Stage::Claiming);
                self.send(self.requests.len() - 1);
            }
            Step::StartRequest => {}
            Step::Resend(index) => self.with_request(index, World::send),
            Step::Deliver(index) => {
                if !self.in_flight.is_empty() {
                    let at = index.index(self.in_flight.len());
                    self.deliver(at);
                }
            }
            Step::GiveUp(index) => self.with_request(index, World::give_up),
            Step::Run(index) => self.with_request(index, World::run),
        }
    }

    fn with_request(&mut self, index: &Index, action: fn(&mut World, usize)) {
        if !self.requests.is_empty() {
            action(self, index.index(self.requests.len()));
        }
    }

    /// Sends a copy of the request's current message.
    fn send(&mut self, request: usize) {
        let kind = match self.requests[request] {
            Stage::Claiming => MessageKind::Claim,
            Stage::Releasing => MessageKind::Release,
            Stage::Recording => MessageKind::Outcome,
            Stage::Running | Stage::Ended => return,
        };
        self.in_flight.push(MessageCopy { request, kind });
    }

    fn give_up(&mut self, request: usize) {
        if matches!(self.requests[request], Stage::Claiming | Stage::Running) {
            self.requests[request] = Stage::Releasing;
            self.send(request);
        }
    }

    fn run(&mut self, request: usize) {
        if self.requests[request] == Stage::Running {
            assert_eq!(self.ran, None, "request {request} runs the key again");
            self.ran = Some(request);
            self.requests[request] = Stage::Recording;
            self.send(request);
        }
    }

    fn deliver(&mut self, at: usize) {
        let MessageCopy { request, kind } = self.in_flight.swap_remove(at);
        let claim = claim(request);
        let (_, outcome) = match kind {
            MessageKind::Claim => Ledger::claim(&mut self.ledger, claim),
            MessageKind::Release => {
                Ledger::finish(&mut self.ledger, claim, OperationState::Released)
            }
            MessageKind::Outcome => {
                let state = OperationState::Done(response(request));
                Ledger::finish(&mut self.ledger, claim, state)
            }
        };
        self.handle(request, kind, outcome);
    }

    /// Handles the ledger's reply as the request's edge does.
    fn handle(&mut self, request: usize, kind: MessageKind, outcome: ChangeOutcome) {
        let stage = self.requests[request];
        match (stage, kind, outcome) {
            (Stage::Claiming, MessageKind::Claim, ChangeOutcome::Claimed) => {
                self.requests[request] = Stage::Running;
            }
            (
                Stage::Claiming,
                MessageKind::Claim,
                ChangeOutcome::AlreadyClaimed {
                    same,
                    state: OperationState::Done(reply),
                },
            ) => {
                let ran = self.ran.expect("an outcome without a run");
                assert!(same, "the fingerprints are equal");
                assert_eq!(reply, response(ran));
                self.requests[request] = Stage::Ended;
            }
            (Stage::Releasing, MessageKind::Release, ChangeOutcome::Released) => {
                self.requests[request] = Stage::Ended;
            }
            (Stage::Recording, MessageKind::Outcome, ChangeOutcome::Recorded) => {
                self.requests[request] = Stage::Ended;
            }
            (Stage::Releasing, MessageKind::Release, outcome)
            | (Stage::Recording, MessageKind::Outcome, outcome) => {
                panic!("request {request}: {kind:?} is answered with {outcome:?}");
            }
            _ => {}
        }
    }

    /// Gives up every request that has not run, and lets all messages arrive.
    fn finish(&mut self) {
        for request in 0..self.requests.len() {
            self.give_up(request);
            self.send(request);
        }
        while !self.in_flight.is_empty() {
            self.deliver(self.in_flight.len() - 1);
        }
    }

    fn final_state(&self) -> Option<OperationState> {
        let row = self.ledger.rows.get("s/key")?;
        Some(row.value.operation()?.state.clone())
    }
}

fn steps() -> impl Strategy<Value = Vec<Step>> {
    let step = prop_oneof![
        2 => Just(Step::StartRequest),
        3 => any::<Index>().prop_map(Step::Resend),
        6 => any::<Index>().prop_map(Step::Deliver),
        4 => any::<Index>().prop_map(Step::GiveUp),
        1 => any::<Index>().prop_map(Step::Run),
    ];
    proptest::collection::vec(step, 1..120)
}

proptest! {
    #![proptest_config(ProptestConfig::with_cases(4_000))]

    /// Guards against the fault of review/6: a late claim of a released request took the key
    /// for good.
    #[test]
    fn key_runs_once_and_never_stays_claimed(steps in steps()) {
        let mut world = World::new();
        for step in &steps {
            world.step(step);
        }
        world.finish();
        prop_assert!(world.requests.iter().all(|stage| *stage == Stage::Ended));
        let expected = match world.ran {
            Some(request) => OperationState::Done(response(request)),
            None => OperationState::Released,
        };
        let final_state = world.final_state();
        let is_expected = final_state.as_ref().is_none_or(|state| *state == expected);
        prop_assert!(is_expected, "{:?}", final_state);
        prop_assert!(world.requests.is_empty() || final_state.is_some());
    }
}
