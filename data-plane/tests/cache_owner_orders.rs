//! Random orders of requests, puts, purges and handovers at cache owners, with times to live
//! that operators shorten and lengthen, judged by the rules of the cache: a response is sent
//! with at least its true age, within the time to live of the last request, and not after a
//! purge; no order ends the process.

use data_plane::prelude::*;
use proptest::prelude::*;

const KEY: CacheKey = [1; 32];
const EPOCH: u64 = 7;
const EDGES: u16 = 3;
/// Times to live of the route, in milliseconds.
const TTLS_MS: [u64; 3] = [1_000, 4_000, 20_000];
const MAX_WAIT: Duration = Duration::from_secs(3);

/// A random step; indexes are taken modulo the number of elements.
#[derive(Debug, Clone)]
enum Step {
    Get {
        edge: u16,
        ttl: usize,
    },
    /// A refresher puts its response.
    Put(usize),
    FillFailed {
        token: usize,
        is_private: bool,
    },
    Purge,
    Withdraw(u16),
    /// The partition moves to another process, which hands no responses over until asked.
    Move {
        uptime_ms: u64,
    },
    /// The responses of the previous owner arrive.
    HandOver {
        delay_ms: u64,
    },
    Wait(u64),
}

/// An owner whose clock counts from its own start.
struct Owner {
    cache: CacheOwner,
    started_at: Duration,
    /// Time to live in the last request.
    last_ttl: Option<Duration>,
}

struct World {
    now: Duration,
    owner: Owner,
    previous: Option<Owner>,
    /// Tokens with the time of their issue.
    tokens: Vec<(FillToken, Duration)>,
    next_id: u64,
    /// The purges, which all owners apply at once.
    purge_log: PurgeLog,
    purge_version: u64,
    /// Time of the last purge.
    purged_at: Option<Duration>,
    copies: usize,
}

fn edge_address(edge: u16) -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], 1 + edge % EDGES))
}

fn ms(milliseconds: u64) -> Duration {
    Duration::from_millis(milliseconds)
}

impl Owner {
    fn new(started_at: Duration) -> Owner {
        Owner {
            cache: CacheOwner::new(1 << 20),
            started_at,
            last_ttl: None,
        }
    }

    fn clock(&self, now: Duration) -> Duration {
        now.saturating_sub(self.started_at)
    }
}

impl World {
    fn new() -> World {
        /// Time at which the run starts, so that processes can be older than it.
        const START: Duration = Duration::from_secs(100);
        World {
            now: START,
            owner: Owner::new(Duration::ZERO),
            previous: None,
            tokens: Vec::new(),
            next_id: 0,
            purge_log: PurgeLog::default(),
            purge_version: 0,
            purged_at: None,
            copies: 0,
        }
    }

    fn step(&mut self, step: &Step) {
        match step {
            Step::Get { edge, ttl } => self.get(*edge, ms(TTLS_MS[ttl % TTLS_MS.len()])),
            Step::Put(token) => self.put(*token),
            Step::FillFailed { token, is_private } => self.fill_failed(*token, *is_private),
            Step::Purge => self.purge(),
            Step::Withdraw(edge) => {
                let id = self.next_id;
                self.owner.cache.withdraw(edge_address(*edge), &KEY, id);
            }
            Step::Move { uptime_ms } => self.move_partition(ms(*uptime_ms)),
            Step::HandOver { delay_ms } => self.hand_over(ms(*delay_ms)),
            Step::Wait(milliseconds) => self.now += ms(*milliseconds),
        }
        let clock = self.owner.clock(self.now);
        let epoch_of = |_| EPOCH;
        let purge_version = self.purge_version;
        self.owner.cache.tick(clock, &epoch_of, purge_version);
        self.judge_outgoing();
    }

    fn get(&mut self, edge: u16, ttl: Duration) {
        self.next_id += 1;
        let get = CacheGet {
            id: self.next_id,
            key: KEY,
            entry: "e".into(),
            host: "h".into(),
            url: "/a".into(),
            ttl,
            accepts_any_age: false,
            max_wait: MAX_WAIT,
        };
        let clock = self.owner.clock(self.now);
        self.owner.last_ttl = Some(ttl);
        let from = edge_address(edge);
        self.owner
            .cache
            .get(clock, from, get, EPOCH, self.purge_version);
    }

    fn put(&mut self, token: usize) {
        if self.tokens.is_empty() {
            return;
        }
        let (token, issued_at) = self.tokens[token % self.tokens.len()];
        // The body tells when the fetch started.
        let body = (issued_at.as_millis() as u64).to_be_bytes().to_vec();
        let reply = Reply {
            status: 200,
            body: Arc::new(body),
            ..Reply::default()
        };
        let put = CachePut {
            key: KEY,
            token,
            reply,
        };
        let clock = self.owner.clock(self.now);
        self.owner.cache.put(clock, put, EPOCH, &self.purge_log);
    }

    fn fill_failed(&mut self, token: usize, is_private: bool) {
        if self.tokens.is_empty() {
            return;
        }
        let (token, _) = self.tokens[token % self.tokens.len()];
        let clock = self.owner.clock(self.now);
        let version = self.purge_version;
        self.owner
            .cache
            .fill_failed(clock, KEY, token, EPOCH, version, is_private);
    }

    fn purge(&mut self) {
        self.purge_version += 1;
        self.purged_at = Some(self.now);
        let purge = Purge {
            url: Some("/a".into()),
            ..Purge::default()
        };
        let value = Value::Purge {
            purge: purge.clone(),
            change: self.purge_version,
        };
        let version = self.purge_version;
        let row = (format!("purge/{version}"), Row { version, value });
        self.purge_log.apply(self.now, version, &[row]);
        let owners = std::iter::once(&mut self.owner).chain(self.previous.as_mut());
        for owner in owners {
            owner.cache.purge(&purge);
        }
    }

    fn move_partition(&mut self, uptime: Duration) {
        let clock = self.owner.clock(self.now);
        self.owner
            .cache
            .retain_partitions(clock, self.purge_version, &|_| false);
        let next = Owner::new(self.now.saturating_sub(uptime));
        self.previous = Some(std::mem::replace(&mut self.owner, next));
        self.tokens.clear();
    }

    fn hand_over(&mut self, delay: Duration) {
        let Some(mut previous) = self.previous.take() else {
            return;
        };
        let clock = previous.clock(self.now);
        let responses = previous.cache.hand_over(clock, cache_partition(&KEY));
        self.now += delay;
        let clock = self.owner.clock(self.now);
        self.owner
            .cache
            .take_over(clock, delay, responses, &self.purge_log);
    }

    fn judge_outgoing(&mut self) {
        for (_, message) in self.owner.cache.take_outgoing() {
            match message {
                Message::CacheMiss(miss) => self.tokens.push((miss.token, self.now)),
                Message::CacheCopy(copy) => self.judge_copy(&copy),
                _ => {}
            }
        }
    }

    fn judge_copy(&mut self, copy: &CacheCopy) {
        self.copies += 1;
        let response = &copy.response;
        let body: [u8; 8] = response.reply.body[..].try_into().expect("written by put");
        let fetch_started_at = ms(u64::from_be_bytes(body));
        let true_age = self.now - fetch_started_at;
        let ttl = self.owner.last_ttl.expect("a request was answered");
        assert!(
            response.age >= true_age,
            "{:?} of {true_age:?}",
            response.age
        );
        assert!(!response.remaining_ttl.is_zero(), "expired");
        assert!(
            response.age + response.remaining_ttl <= ttl,
            "age {:?}, remaining {:?}, time to live {ttl:?}",
            response.age,
            response.remaining_ttl
        );
        assert!(
            self.purged_at
                .is_none_or(|purged_at| purged_at <= fetch_started_at),
            "fetched at {fetch_started_at:?}, purged at {:?}",
            self.purged_at
        );
    }
}

fn step() -> impl Strategy<Value = Step> {
    let token = 0..8_usize;
    prop_oneof![
        8 => (0..EDGES, 0..TTLS_MS.len()).prop_map(|(edge, ttl)| Step::Get { edge, ttl }),
        5 => token.clone().prop_map(Step::Put),
        1 => (token, any::<bool>())
            .prop_map(|(token, is_private)| Step::FillFailed { token, is_private }),
        1 => Just(Step::Purge),
        1 => (0..EDGES).prop_map(Step::Withdraw),
        1 => prop_oneof![0..1_000_u64, 0..30_000_u64]
            .prop_map(|uptime_ms| Step::Move { uptime_ms }),
        3 => (0..500_u64).prop_map(|delay_ms| Step::HandOver { delay_ms }),
        4 => (0..3_000_u64).prop_map(Step::Wait),
    ]
}

proptest! {
    #![proptest_config(ProptestConfig::with_cases(2_000))]

    /// Guards against the fault of review/7: a handover, a shortened time to live and a
    /// waiting request ended the edge.
    #[test]
    fn responses_keep_their_age_and_expiry_in_any_order(
        steps in proptest::collection::vec(step(), 1..80),
    ) {
        let mut world = World::new();
        for step in &steps {
            world.step(step);
        }
    }
}
