//! Tests of an edge's near cache and of the coalescing of requests for a key.
mod edge_harness;
use data_plane::prelude::*;
use edge_harness::*;
use std::collections::BTreeMap;

/// Time to live of the route `/copy`, in milliseconds.
const TTL_MS: u64 = 4000;
/// Timeout of each client's request, in milliseconds.
const TIMEOUT_MS: u64 = 2500;

fn key() -> CacheKey {
    ActiveRequest::cache_key(&client_request("/copy", "GET"))
}

fn start_request(edge: &mut EdgeNode, now: u64, id: u64) -> Vec<Output> {
    let mut request = client_request("/copy", "GET");
    request.timeout = Some(millis(TIMEOUT_MS));
    edge.handle(millis(now), Input::ClientRequest { id, request })
}

fn reply(text: &str) -> Reply {
    Reply {
        status: 200,
        body: Arc::new(text.as_bytes().to_vec()),
        ..Reply::default()
    }
}

/// Creates a response of the owner whose fetch started `age` ms ago.
fn cache_copy(id: u64, text: &str, age: u64) -> CacheCopy {
    CacheCopy {
        id,
        key: key(),
        max_wait: millis(1000),
        response: CachedResponse {
            reply: reply(text),
            purge_version: 0,
            age: millis(age),
            fresh_for: millis((TTL_MS / 2).saturating_sub(age)),
            remaining_ttl: millis(TTL_MS - age),
            owner_delay: millis(0),
        },
    }
}

/// Returns the exchange ids of the requests sent to the owner.
fn gets(outputs: &[Output]) -> Vec<u64> {
    let extract = |output: &Output| match output {
        Output::Send {
            message: Message::CacheGet(get),
            ..
        } => Some(get.id),
        _ => None,
    };
    outputs.iter().filter_map(extract).collect()
}

/// Returns the number of permit requests among the outputs.
fn permit_requests(outputs: &[Output]) -> usize {
    let is_permit_request = |output: &&Output| {
        matches!(
            output,
            Output::Send {
                message: Message::PermitRequest(_),
                ..
            }
        )
    };
    outputs.iter().filter(is_permit_request).count()
}

/// Returns the bodies of the replies to clients, by request.
fn served(outputs: &[Output]) -> BTreeMap<u64, String> {
    let extract = |output: &Output| match output {
        Output::ClientResponse {
            id,
            response: ClientResponse::Reply { reply, .. },
        } => Some((*id, String::from_utf8_lossy(&reply.body).into_owned())),
        _ => None,
    };
    outputs.iter().filter_map(extract).collect()
}

/// Renews the leases and ticks every 50 ms. Returns the outputs of the ticks.
fn run(edge: &mut EdgeNode, from: u64, to: u64) -> Vec<Output> {
    let mut outputs = Vec::new();
    for now in (from..=to).step_by(50) {
        renew(edge, now);
        outputs.extend(edge.handle(millis(now), Input::Tick));
    }
    outputs
}

/// Makes the request the refresher of its key at 1010 ms and permits its call at 1020 ms.
/// Returns the id of the call.
fn start_fetch(edge: &mut EdgeNode, requested: u64) -> u64 {
    let token = FillToken {
        serial: 1,
        epoch: 1,
        purge_version: 0,
    };
    let miss = CacheMiss {
        id: requested,
        key: key(),
        token,
    };
    let outputs = deliver(edge, 1010, OWNER, miss);
    let permit = permit(last_exchange(&outputs), origin(50), 1015);
    last_exchange(&deliver(edge, 1020, ADMISSION, permit))
}

/// Creates a live edge with an origin, an admission controller and a cache owner.
fn ready_edge() -> EdgeNode {
    let mut edge = live_edge(1000);
    deliver_updates(&mut edge, 1000, &[origin(50)], true);
    edge
}

/// Creates an edge that stored the response "a" at 1000 ms.
fn edge_with_cached_response() -> EdgeNode {
    let mut edge = ready_edge();
    let exchange = last_exchange(&start_request(&mut edge, 1000, 1));
    deliver(&mut edge, 1000, OWNER, cache_copy(exchange, "a", 0));
    edge
}

#[test]
fn concurrent_requests_for_a_key_are_coalesced() {
    let mut edge = ready_edge();
    let mut requested = Vec::new();
    for id in 0..100 {
        requested.extend(gets(&start_request(&mut edge, 1000, id)));
    }
    assert_eq!(requested.len(), 1);
    let outputs = deliver(&mut edge, 1020, OWNER, cache_copy(requested[0], "a", 0));
    assert_eq!(served(&outputs).len(), 100);
    let outputs = start_request(&mut edge, 1030, 200);
    assert!(gets(&outputs).is_empty());
    assert_eq!(served(&outputs)[&200], "a", "from the near cache");
}

#[test]
fn stale_response_is_served_while_one_request_refreshes() {
    let mut edge = edge_with_cached_response();
    run(&mut edge, 1000, 3000);
    assert_eq!(gets(&start_request(&mut edge, 3000, 2)).len(), 1);
    for id in 3..20 {
        let outputs = start_request(&mut edge, 3001, id);
        assert!(gets(&outputs).is_empty());
        assert_eq!(served(&outputs)[&id], "a");
    }
}

#[test]
fn response_is_not_served_past_its_ttl() {
    let mut edge = edge_with_cached_response();
    run(&mut edge, 1000, 1000 + TTL_MS);
    let outputs = start_request(&mut edge, 1000 + TTL_MS, 2);
    assert!(served(&outputs).is_empty());
    assert_eq!(gets(&outputs).len(), 1);
    // An expired response is not served as stale either while another request fetches.
    let outputs = start_request(&mut edge, 1000 + TTL_MS, 3);
    assert!(served(&outputs).is_empty());
}

#[test]
fn purge_removes_near_response() {
    let mut edge = edge_with_cached_response();
    let purge = Purge {
        url: Some("/copy".into()),
        ..Purge::default()
    };
    let value = Value::Purge { purge, change: 1 };
    let row = Row { version: 2, value };
    let renewed = renew_reply(
        5,
        1100,
        vec![PartitionUpdate {
            partition: PURGES_PARTITION,
            version: 2,
            rows: vec![("p".into(), row)],
        }]
        .into(),
    );
    deliver(&mut edge, 1100, 1, renewed);
    let outputs = start_request(&mut edge, 1100, 2);
    assert!(served(&outputs).is_empty());
    // The owner sent its response before it applied the purge.
    let outputs = deliver(
        &mut edge,
        1110,
        OWNER,
        cache_copy(gets(&outputs)[0], "a", 100),
    );
    assert!(served(&outputs).is_empty());
    assert_eq!(gets(&outputs).len(), 1, "requested again");
}

#[test]
fn near_response_is_not_replaced_by_older_one() {
    let mut edge = edge_with_cached_response();
    run(&mut edge, 1000, 3000);
    let requested = gets(&start_request(&mut edge, 3000, 2));
    // The fetch of this response started before that of the stored one.
    deliver(
        &mut edge,
        3010,
        OWNER,
        cache_copy(requested[0], "older", 3010),
    );
    start_request(&mut edge, 3020, 3);
    let outputs = start_request(&mut edge, 3030, 4);
    assert_eq!(
        served(&outputs)[&4],
        "a",
        "while another request refreshes it"
    );
}

/// Regression: an unresponsive owner delayed requests for half of the time to their
/// deadline, and each resent request got another cached response.
#[test]
fn unresponsive_owner_is_bypassed_unless_it_confirms() {
    let mut edge = ready_edge();
    start_request(&mut edge, 1000, 1);
    let outputs = run(&mut edge, 1050, 1800);
    assert_eq!(
        permit_requests(&outputs[..]).min(1),
        1,
        "fetched without the owner"
    );

    let mut edge = ready_edge();
    let requested = last_exchange(&start_request(&mut edge, 1000, 1));
    let mut resends = 0;
    for now in (1050..2200).step_by(50) {
        renew(&mut edge, now);
        let outputs = edge.handle(millis(now), Input::Tick);
        resends += gets(&outputs).len();
        assert_eq!(permit_requests(&outputs), 0, "at {now}");
        deliver(&mut edge, now, OWNER, CacheGetQueued { id: requested });
    }
    assert!(resends <= 4, "{resends} resends in 1.2 s");
}

#[test]
fn stale_near_response_covers_unresponsive_owner() {
    let mut edge = edge_with_cached_response();
    run(&mut edge, 1000, 3000);
    start_request(&mut edge, 3000, 2);
    let outputs = run(&mut edge, 3050, 3800);
    assert_eq!(served(&outputs)[&2], "a");
}

#[test]
fn followers_are_rejected_with_their_leader() {
    let mut edge = ready_edge();
    let requested = last_exchange(&start_request(&mut edge, 1000, 1));
    for id in 2..10 {
        start_request(&mut edge, 1000, id);
    }
    let outputs = deliver(
        &mut edge,
        1010,
        OWNER,
        CacheUnavailable {
            id: requested,
            key: key(),
        },
    );
    let refused = PermitRefused {
        id: last_exchange(&outputs),
        reason: PermitRefusalReason::Overloaded,
        retry_after: millis(100),
    };
    let rejections = rejections_in(deliver(&mut edge, 1020, ADMISSION, refused));
    assert_eq!(rejections.len(), 9);
    assert!(rejections.iter().all(|(_, status, _, _)| *status == 429));
}

#[test]
fn follower_replaces_stalled_leader() {
    let mut edge = ready_edge();
    let requested = last_exchange(&start_request(&mut edge, 1000, 1));
    start_request(&mut edge, 1000, 2);
    let call = start_fetch(&mut edge, requested);
    // The call takes too long: the second request does not wait for it.
    let mut outputs = Vec::new();
    for now in (1050..3100).step_by(50) {
        renew(&mut edge, now);
        outputs.extend(edge.handle(millis(now), Input::Tick));
    }
    assert_eq!(
        gets(&outputs).len().min(1),
        1,
        "the second request is sent to the owner"
    );
    let result = CallOutcome::Success(reply("late"));
    let outputs = edge.handle(millis(3100), Input::CallCompleted { id: call, result });
    assert_eq!(served(&outputs)[&1], "late");
}

/// Regression: a displaced follower stayed in its group and became the leader when the
/// leader timed out, so that no request fetched the key any more.
#[test]
fn displaced_follower_leaves_its_group() {
    const MAX_PENDING_PER_SERVICE: u64 = 256;
    let mut edge = ready_edge();
    let request = |edge: &mut EdgeNode, now: u64, id: u64, url: &str, timeout: u64| {
        let mut request = client_request(url, "GET");
        request.timeout = Some(millis(timeout));
        edge.handle(millis(now), Input::ClientRequest { id, request })
    };
    request(&mut edge, 1000, 0, "/copy-low", 500);
    request(&mut edge, 1000, 1, "/copy-low", 5000);
    for id in 2..=MAX_PENDING_PER_SERVICE {
        request(&mut edge, 1000, id, "/high", 400);
    }
    run(&mut edge, 1050, 1550);
    let outputs = request(&mut edge, 1600, 1000, "/copy-low", 1000);
    assert_eq!(
        gets(&outputs).len(),
        1,
        "the new request is sent to the owner"
    );
}

/// The leader's response serves all followers and is put to the owner.
#[test]
fn fetched_response_serves_followers_and_is_put_to_owner() {
    let mut edge = ready_edge();
    let requested = last_exchange(&start_request(&mut edge, 1000, 1));
    for id in 2..10 {
        start_request(&mut edge, 1000, id);
    }
    let call = start_fetch(&mut edge, requested);
    let result = CallOutcome::Success(reply("x"));
    let outputs = edge.handle(millis(1100), Input::CallCompleted { id: call, result });
    assert_eq!(served(&outputs).len(), 9);
    let puts = outputs.iter().filter(|output| {
        matches!(
            output,
            Output::Send {
                message: Message::CachePut(_),
                ..
            }
        )
    });
    assert_eq!(puts.count(), 1);
}

/// A pseudo-random number generator, initialized with a seed.
struct Random(u64);

impl Random {
    /// Returns a number below `limit`.
    fn below(&mut self, limit: u64) -> u64 {
        self.0 = self.0.wrapping_mul(6364136223846793005).wrapping_add(1);
        (self.0 >> 33) % limit
    }
}

/// A simulation of an edge and the owner of an object that changes and is purged, with a
/// slow and lossy network between them. Times are in milliseconds.
struct RandomRun {
    seed: u64,
    random: Random,
    edge: EdgeNode,
    /// The current version of the object.
    version: u64,
    purges: u64,
    /// The times at which versions were replaced.
    replaced_at: BTreeMap<u64, u64>,
    /// The times at which versions were last purged.
    purged_at: BTreeMap<u64, u64>,
    /// The start times of requests without a response, by request.
    waiting: BTreeMap<u64, u64>,
    /// The owner's messages in flight, with the times of their arrival.
    in_flight: Vec<(u64, Message)>,
    next_id: u64,
}

impl RandomRun {
    /// The time in milliseconds after which no request is started, so that all get a
    /// response.
    const LAST_REQUEST_MS: u64 = 13_000;

    fn new(seed: u64) -> RandomRun {
        RandomRun {
            seed,
            random: Random(seed),
            edge: ready_edge(),
            version: 0,
            purges: 0,
            replaced_at: BTreeMap::new(),
            purged_at: BTreeMap::new(),
            waiting: BTreeMap::new(),
            in_flight: Vec::new(),
            next_id: 1,
        }
    }

    fn step(&mut self, now: u64) {
        let mut outputs = Vec::new();
        if now.is_multiple_of(50) {
            renew(&mut self.edge, now);
            outputs.extend(self.edge.handle(millis(now), Input::Tick));
        }
        if self.random.below(200) == 0 {
            self.replaced_at.insert(self.version, now);
            self.version += 1;
        }
        if self.random.below(400) == 0 {
            outputs.extend(self.purge(now));
        }
        if now < Self::LAST_REQUEST_MS && self.random.below(4) == 0 {
            self.waiting.insert(self.next_id, now);
            outputs.extend(start_request(&mut self.edge, now, self.next_id));
            self.next_id += 1;
        }
        let (due, later) = self
            .in_flight
            .drain(..)
            .partition(|(arrives_at, _)| *arrives_at <= now);
        self.in_flight = later;
        let due: Vec<(u64, Message)> = due;
        for (_, message) in due {
            outputs.extend(deliver(&mut self.edge, now, OWNER, message));
        }
        for output in outputs {
            self.handle(now, output);
        }
    }

    fn purge(&mut self, now: u64) -> Vec<Output> {
        self.purges += 1;
        self.purged_at.insert(self.version, now);
        let purge = Purge {
            url: Some("/copy".into()),
            ..Purge::default()
        };
        let change = self.purges;
        let row = Row {
            version: self.purges,
            value: Value::Purge { purge, change },
        };
        let update = PartitionUpdate {
            partition: PURGES_PARTITION,
            version: self.purges,
            rows: vec![(format!("p{}", self.purges), row)],
        };
        let reply = renew_reply(5, now, vec![update].into());
        deliver(&mut self.edge, now, 1, reply)
    }

    fn handle(&mut self, now: u64, output: Output) {
        match output {
            Output::Send {
                message: Message::CacheGet(get),
                ..
            } if self.random.below(5) > 0 => {
                let mut response = cache_copy(get.id, &self.version.to_string(), 0);
                response.response.purge_version = self.purges;
                let delay = self.random.below(600);
                self.in_flight.push((now + delay, response.into()));
            }
            Output::ClientResponse { id, response } => {
                let started_at = self.waiting.remove(&id).expect("responded once");
                if let ClientResponse::Reply { reply, .. } = response {
                    self.check_reply(now, started_at, &reply);
                }
            }
            _ => {}
        }
    }

    fn check_reply(&self, now: u64, started_at: u64, reply: &Reply) {
        let served: u64 = String::from_utf8_lossy(&reply.body).parse().unwrap();
        let context = format!("seed {}, at {now}", self.seed);
        if let Some(replaced_at) = self.replaced_at.get(&served) {
            assert!(
                now <= replaced_at + TTL_MS + 10,
                "{context}: past its time to live"
            );
        }
        let purged_at = self
            .purged_at
            .range(served + 1..)
            .map(|(_, purged_at)| *purged_at)
            .min();
        if let Some(purged_at) = purged_at {
            assert!(now <= purged_at.max(started_at), "{context}: purged");
        }
    }
}

/// Each request gets one response. No response is served that is past its time to live or
/// that a known purge matches.
#[test]
fn random_runs_respond_once_and_never_serve_expired() {
    for seed in 0..300 {
        let mut run = RandomRun::new(seed);
        for now in (1000..16_000).step_by(10) {
            run.step(now);
        }
        let pending: Vec<u64> = run.waiting.keys().copied().collect();
        assert!(
            pending.is_empty(),
            "seed {seed}: {pending:?} without a response"
        );
    }
}
