//! Test harness: an edge whose peers are simulated by the test. Times are in milliseconds.
#![allow(dead_code)]
use data_plane::prelude::*;
use std::net::SocketAddr;

/// Returns the time after `ms` milliseconds.
pub fn millis(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

/// Returns the loopback address with this port.
pub fn address(port: u16) -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], port))
}

/// Creates the routes of the tests, all of group "slow" except `/quick`.
pub fn route_table() -> Arc<RouteTable> {
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

/// Creates an edge of incarnation 5 that is live: two of three control nodes have
/// confirmed a renewal sent at `now`.
pub fn live_edge(now: u64) -> EdgeNode {
    live_edge_with_incarnation(now, 5)
}

/// Creates a live edge of another incarnation.
pub fn live_edge_with_incarnation(now: u64, incarnation: u64) -> EdgeNode {
    let local_peer = Peer::new(address(9), incarnation);
    let mut edge = EdgeNode::new(
        local_peer,
        Locality::default(),
        vec![address(1), address(2), address(3)],
        false,
        1 << 20,
    );
    edge.handle(millis(now), Input::Tick);
    for control_node in [1, 2] {
        let renewed = renew_reply(incarnation, now, SharedUpdates::default());
        edge.handle(
            millis(now),
            Input::MessageReceived {
                from: Peer::new(address(control_node), 1),
                message: renewed.into(),
            },
        );
    }
    edge
}

/// Renews the leases of an edge of incarnation 5 with two control nodes.
pub fn renew(edge: &mut EdgeNode, now: u64) {
    for control_node in [1, 2] {
        let renewed = renew_reply(5, now, SharedUpdates::default());
        deliver(edge, now, control_node, renewed);
    }
}

/// Creates the reply to a renewal that was sent at `sent_ms`, with these updates.
pub fn renew_reply(incarnation: u64, sent_ms: u64, updates: SharedUpdates) -> RenewReply {
    RenewReply {
        incarnation,
        renewal_token: RenewalToken::default(),
        sent: millis(sent_ms),
        generation: 0,
        recall_requested: false,
        updates,
    }
}

/// Sends a client's request to the edge.
pub fn submit(edge: &mut EdgeNode, now: u64, id: u64, url: &str, method: &str) -> Vec<Output> {
    let request = client_request(url, method);
    edge.handle(millis(now), Input::ClientRequest { id, request })
}

/// Creates a client's request, with the operation key "key".
pub fn client_request(url: &str, method: &str) -> ClientRequest {
    let routes = route_table();
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

/// Returns the ids, statuses, codes and outcomes of the rejections sent to clients.
pub fn rejections_in(outputs: Vec<Output>) -> Vec<(u64, u16, String, RunState)> {
    let extract = |output| match output {
        Output::ClientResponse {
            id,
            response: ClientResponse::Rejection(rejection),
        } => Some((id, rejection.status, rejection.code, rejection.outcome)),
        _ => None,
    };
    outputs.into_iter().filter_map(extract).collect()
}

/// Returns the changes that the edge requests from the ledger.
pub fn changes_in(outputs: &[Output]) -> Vec<Change> {
    let extract = |output: &Output| match output {
        Output::Send {
            message: Message::ChangeRequest(request),
            ..
        } => Some(request.change.clone()),
        _ => None,
    };
    outputs.iter().filter_map(extract).collect()
}

/// Returns the id of the last message or call that awaits a response.
pub fn last_exchange(outputs: &[Output]) -> u64 {
    let extract = |output: &Output| match output {
        Output::Send { message, .. } => match message {
            Message::ChangeRequest(request) => Some(request.id),
            Message::PermitRequest(request) => Some(request.id),
            Message::CacheGet(get) => Some(get.id),
            _ => None,
        },
        Output::Call { id, .. } => Some(*id),
        _ => None,
    };
    outputs.iter().rev().find_map(extract).expect("an exchange")
}

/// Delivers the ledger's response to a change.
pub fn ledger_responds(
    edge: &mut EdgeNode,
    now: u64,
    id: u64,
    outcome: ChangeOutcome,
) -> Vec<Output> {
    edge.handle(
        millis(now),
        Input::MessageReceived {
            from: Peer::new(address(1), 1),
            message: ChangeReply { id, outcome }.into(),
        },
    )
}

/// Delivers updates with the origins of "slow", the owner of its admission control and, if
/// `cache` is set, the owner of all cache partitions.
pub fn deliver_updates(
    edge: &mut EdgeNode,
    now: u64,
    origins: &[Origin],
    cache: bool,
) -> Vec<Output> {
    deliver_updates_to_incarnation(edge, now, origins, cache, 5)
}

/// Delivers the updates of `deliver_updates` to an edge of another incarnation.
pub fn deliver_updates_to_incarnation(
    edge: &mut EdgeNode,
    now: u64,
    origins: &[Origin],
    cache: bool,
    incarnation: u64,
) -> Vec<Output> {
    let row = |value| Row { version: 1, value };
    let assignment = |owner_port: u16| {
        row(Value::Assignment(Assignment {
            epoch: 1,
            owner: Some(Peer::new(address(owner_port), 1)),
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
    let update = |partition, rows| PartitionUpdate {
        partition,
        version: 1,
        rows,
    };
    let renewed = renew_reply(
        incarnation,
        now,
        vec![
            update(ORIGINS_PARTITION, vec![("origins".into(), origins)]),
            update(ASSIGNMENTS_PARTITION, assignments),
        ]
        .into(),
    );
    deliver(edge, now, 1, renewed)
}

/// The port of the edge with the admission controller of "slow".
pub const ADMISSION: u16 = 8;
/// The port of the edge that owns all cache partitions.
pub const OWNER: u16 = 7;

/// Delivers a message from the peer with this port.
pub fn deliver(
    edge: &mut EdgeNode,
    now: u64,
    port: u16,
    message: impl Into<Message>,
) -> Vec<Output> {
    let from = Peer::new(address(port), 1);
    let message = message.into();
    edge.handle(millis(now), Input::MessageReceived { from, message })
}

/// Creates an origin of "slow" with this port.
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

/// Creates a permit for the exchange, requested at `now`.
pub fn permit(exchange: u64, origin: Origin, now: u64) -> Permit {
    Permit {
        id: exchange,
        service: "slow".into(),
        epoch: 1,
        serial: 1,
        origin,
        sent: millis(now),
        queued_for: millis(0),
        expected_latency: millis(0),
    }
}
