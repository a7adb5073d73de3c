//! An edge whose peers are simulated by the test.
#![allow(dead_code)]
use data_plane::prelude::*;
use std::net::SocketAddr;

pub fn at(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

pub fn address(port: u16) -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], port))
}

pub fn table() -> Arc<RouteTable> {
    let key = BASE64.encode([1; 32]);
    let group =
        |name: &str| format!(r#"{{"service":"{name}","rate":9,"concurrency":9,"key":"{key}"}}"#);
    let text = format!(
        r#"{{"groups":[{},{}],"entries":[
        {{"name":"low","path":"/low","group":"slow","rank":1,"kind":"plain"}},
        {{"name":"high","path":"/high","group":"slow","rank":9,"kind":"plain"}},
        {{"name":"k","path":"/k","methods":["POST"],"group":"slow","rank":9,"kind":"keyed"}},
        {{"name":"once","path":"/once","methods":["GET","POST"],"group":"slow","rank":9,"kind":"once"}},
            {{"name":"post","path":"/post","methods":["POST"],"group":"slow","rank":9,"kind":"plain"}},
            {{"name":"copy","path":"/copy","group":"slow","rank":9,"kind":"cached","cache_ttl_s":4}},
            {{"name":"copy-low","path":"/copy-low","group":"slow","rank":1,"kind":"cached","cache_ttl_s":4}},
            {{"name":"quick","path":"/quick","group":"quick","rank":1,"kind":"plain"}}]}}"#,
        group("slow"),
        group("quick")
    );
    Arc::new(RouteTable::new(1, Configuration::read(&text).unwrap()))
}

/// An edge with two confirmed renewals at `now`.
pub fn live(now: u64) -> EdgeNode {
    live_as(now, 5)
}

/// The same, of another incarnation.
pub fn live_as(now: u64, incarnation: u64) -> EdgeNode {
    let me = Peer::new(address(9), incarnation);
    let mut edge = EdgeNode::new(
        me,
        Locality::default(),
        vec![address(1), address(2), address(3)],
        false,
        1 << 20,
    );
    edge.handle(at(now), Input::Tick);
    for control_node in [1, 2] {
        let renewed = renew_reply(incarnation, now, SharedUpdates::default());
        edge.handle(
            at(now),
            Input::MessageReceived {
                from: Peer::new(address(control_node), 1),
                message: renewed.into(),
            },
        );
    }
    edge
}

/// Renewals with two control nodes, so that an edge of incarnation 5 stays live.
pub fn renew(edge: &mut EdgeNode, now: u64) {
    for control_node in [1, 2] {
        let renewed = renew_reply(5, now, SharedUpdates::default());
        deliver(edge, now, control_node, renewed);
    }
}

/// A renewal that was sent at `sent_ms` is confirmed, with these updates.
pub fn renew_reply(incarnation: u64, sent_ms: u64, updates: SharedUpdates) -> RenewReply {
    RenewReply {
        incarnation,
        renewal_token: RenewalToken::default(),
        sent: at(sent_ms),
        generation: 0,
        recall_requested: false,
        updates,
    }
}

/// A client sends a request.
pub fn submit(edge: &mut EdgeNode, now: u64, id: u64, url: &str, method: &str) -> Vec<Output> {
    let request = client_request(url, method);
    edge.handle(at(now), Input::ClientRequest { id, request })
}

pub fn client_request(url: &str, method: &str) -> ClientRequest {
    let routes = table();
    let entry = routes.find("h", url, method).unwrap();
    let headers = vec![("operation-key".to_string(), "key".to_string())];
    ClientRequest {
        method: method.into(),
        host: "h".into(),
        url: url.into(),
        headers,
        body: Arc::default(),
        caller: String::new(),
        operation: Some("key".into()),
        timeout: None,
        request_id: None,
        service: routes.document.entries[entry].group.clone(),
        routes,
        entry,
    }
}

pub fn rejections_in(outputs: Vec<Output>) -> Vec<(u64, u16, String, RunState)> {
    let one = |output| match output {
        Output::ClientResponse {
            id,
            response: ClientResponse::Rejection(refusal),
        } => Some((id, refusal.status, refusal.code, refusal.outcome)),
        _ => None,
    };
    outputs.into_iter().filter_map(one).collect()
}

/// The changes that the edge asks of the ledger.
pub fn changes_in(outputs: &[Output]) -> Vec<Change> {
    let one = |output: &Output| match output {
        Output::Send {
            message: Message::ChangeRequest(request_message),
            ..
        } => Some(request_message.change.clone()),
        _ => None,
    };
    outputs.iter().filter_map(one).collect()
}

/// The id of the last message or call among the outputs that awaits a response.
pub fn last_exchange(outputs: &[Output]) -> u64 {
    let one = |output: &Output| match output {
        Output::Send { message, .. } => match message {
            Message::ChangeRequest(request_message) => Some(request_message.id),
            Message::PermitRequest(request_message) => Some(request_message.id),
            Message::CacheGet(get) => Some(get.id),
            _ => None,
        },
        Output::Call { id, .. } => Some(*id),
        _ => None,
    };
    outputs.iter().rev().find_map(one).expect("an exchange")
}

pub fn ledger_responds(
    edge: &mut EdgeNode,
    now: u64,
    id: u64,
    rejections: ChangeOutcome,
) -> Vec<Output> {
    edge.handle(
        at(now),
        Input::MessageReceived {
            from: Peer::new(address(1), 1),
            message: ChangeReply {
                id,
                outcome: rejections,
            }
            .into(),
        },
    )
}

/// Delivers updates with the origins of "slow" and the peers that own its admission control
/// and, if `cache` is set, all cache partitions.
pub fn updates(edge: &mut EdgeNode, now: u64, origins: &[Origin], cache: bool) -> Vec<Output> {
    updates_as(edge, now, origins, cache, 5)
}

/// The same, to an edge of another incarnation.
pub fn updates_as(
    edge: &mut EdgeNode,
    now: u64,
    origins: &[Origin],
    cache: bool,
    incarnation: u64,
) -> Vec<Output> {
    let row = |value| Row { version: 1, value };
    let assignment = |holder: u16| {
        row(Value::Assignment(Assignment {
            epoch: 1,
            owner: Some(Peer::new(address(holder), 1)),
            previous_owner: None,
        }))
    };
    let mut assignments = vec![(admission_assignment("slow"), assignment(ADMISSION))];
    if cache {
        assignments.extend(
            (0..CACHE_PARTITIONS)
                .map(|partition| (cache_assignment("", partition), assignment(OWNER))),
        );
    }
    let list = Arc::new(origins.to_vec());
    let origins = row(Value::Origins { list, change: 1 });
    let updates = |partition, rows| PartitionUpdate {
        partition,
        version: 1,
        rows,
    };
    let renewed = renew_reply(
        incarnation,
        now,
        vec![
            updates(ORIGINS_PARTITION, vec![("origins".into(), origins)]),
            updates(ASSIGNMENTS_PARTITION, assignments),
        ]
        .into(),
    );
    deliver(edge, now, 1, renewed)
}

/// The ports of the admission controller of "slow" and of the cache owner.
pub const ADMISSION: u16 = 8;
pub const OWNER: u16 = 7;

pub fn deliver(
    edge: &mut EdgeNode,
    now: u64,
    port: u16,
    message: impl Into<Message>,
) -> Vec<Output> {
    let from = Peer::new(address(port), 1);
    let message = message.into();
    edge.handle(at(now), Input::MessageReceived { from, message })
}

pub fn origin(port: u16) -> Origin {
    Origin {
        address: address(port),
        service: "slow".into(),
        instance: format!("i{port}"),
        draining: false,
        zone: String::new(),
        region: String::new(),
        capacity: 0,
        cold_ms: 0,
    }
}

/// A permit for the exchange that is fresh at `now`.
pub fn permit(exchange: u64, origin: Origin, now: u64) -> Permit {
    Permit {
        id: exchange,
        service: "slow".into(),
        epoch: 1,
        serial: 1,
        origin,
        sent: at(now),
        queued_for: at(0),
        expected_latency: at(0),
    }
}
