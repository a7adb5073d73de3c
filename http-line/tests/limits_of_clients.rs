//! Tests of what an event loop holds for its clients: the memory budget, and the number of
//! connections.
mod harness;
use harness::*;
use http_line::prelude::*;
use std::net::TcpStream;

const KIB: usize = 1024;
/// Budget of the tests, in bytes; the largest body takes most of it.
const BUDGET_BYTES: usize = 1024 * KIB;
/// Size of the largest body, in bytes.
const MAX_BODY_BYTES: usize = 800 * KIB;
/// Longer than a body may stop before it is stalled.
const LONGER_THAN_STALL: Duration = Duration::from_millis(1200);

fn limits() -> Limits {
    Limits {
        max_body_bytes: MAX_BODY_BYTES,
        max_pipelined_requests: 2,
        ..Limits::default()
    }
}

fn harness(max_client_connections: usize) -> (Harness, Arc<ByteBudget>) {
    let byte_budget = Arc::new(ByteBudget::new(BUDGET_BYTES, BUDGET_BYTES));
    let resources = Resources {
        byte_budget: byte_budget.clone(),
        max_client_connections,
        ..Resources::default()
    };
    (Harness::with_resources(limits(), resources), byte_budget)
}

/// Sends a head, and `sent` bytes of a body of `announced` bytes.
fn send_body(peer: &mut TcpStream, announced: usize, sent: usize) {
    let head = format!("POST /p HTTP/1.1\r\nContent-Length: {announced}\r\n\r\n");
    peer.write_all(head.as_bytes()).unwrap();
    peer.write_all(&vec![b'x'; sent]).unwrap();
}

/// Waits until the event loop holds exactly this number of bytes.
fn wait_until_held(budget: &ByteBudget, bytes: usize) {
    let until = Instant::now() + EVENT_TIMEOUT;
    while budget.used() != bytes {
        assert!(Instant::now() < until, "{} bytes are held", budget.used());
        std::thread::sleep(Duration::from_millis(5));
    }
}

#[test]
fn body_that_does_not_fit_is_refused_while_another_makes_progress() {
    let (harness, budget) = harness(usize::MAX);
    let mut first = harness.peer();
    send_body(&mut first, MAX_BODY_BYTES, MAX_BODY_BYTES - 1);
    wait_until_held(&budget, MAX_BODY_BYTES - 1);
    let mut second = harness.peer();
    send_body(&mut second, MAX_BODY_BYTES, MAX_BODY_BYTES / 2);
    let refusal = read_head(&mut second);
    assert!(refusal.starts_with("HTTP/1.1 503"), "{refusal}");
    assert!(refusal.contains("Connection: close"), "{refusal}");
    first.write_all(b"x").unwrap();
    assert_eq!(harness.request().1.body.len(), MAX_BODY_BYTES);
    wait_until_held(&budget, 0);
    assert!(harness.http.usage().refused_requests >= 1);
}

#[test]
fn stalled_body_yields_to_one_that_makes_progress() {
    let (harness, budget) = harness(usize::MAX);
    let mut stalled = harness.peer();
    send_body(&mut stalled, MAX_BODY_BYTES, MAX_BODY_BYTES - 1);
    wait_until_held(&budget, MAX_BODY_BYTES - 1);
    std::thread::sleep(LONGER_THAN_STALL);
    let mut moving = harness.peer();
    send_body(&mut moving, MAX_BODY_BYTES, MAX_BODY_BYTES);
    assert_eq!(harness.request().1.body.len(), MAX_BODY_BYTES);
    let rejection = read_head(&mut stalled);
    assert!(rejection.starts_with("HTTP/1.1 408"), "{rejection}");
}

#[test]
fn stalled_body_stays_while_there_is_room() {
    let (harness, budget) = harness(usize::MAX);
    let mut slow = harness.peer();
    send_body(&mut slow, 100, 99);
    wait_until_held(&budget, 99);
    std::thread::sleep(LONGER_THAN_STALL);
    let mut other = harness.peer();
    send_body(&mut other, MAX_BODY_BYTES, MAX_BODY_BYTES);
    assert_eq!(harness.request().1.body.len(), MAX_BODY_BYTES);
    slow.write_all(b"x").unwrap();
    assert_eq!(harness.request().1.body.len(), 100);
}

#[test]
fn small_body_is_read_beside_the_largest_one() {
    let (harness, budget) = harness(usize::MAX);
    let mut large = harness.peer();
    send_body(&mut large, MAX_BODY_BYTES, MAX_BODY_BYTES - 1);
    wait_until_held(&budget, MAX_BODY_BYTES - 1);
    let mut small = harness.peer();
    send_body(&mut small, KIB, KIB);
    assert_eq!(harness.request().1.body.len(), KIB);
}

#[test]
fn bytes_are_given_back_when_the_client_disconnects() {
    let (harness, budget) = harness(usize::MAX);
    let mut client = harness.peer();
    send_body(&mut client, MAX_BODY_BYTES, MAX_BODY_BYTES - 1);
    wait_until_held(&budget, MAX_BODY_BYTES - 1);
    drop(client);
    wait_until_held(&budget, 0);
}

/// Bytes behind unanswered requests are not read, so they are counted while they wait; if
/// there is no room, the requests that were read are still answered.
#[test]
fn input_behind_unanswered_requests_is_discarded_if_it_does_not_fit() {
    let (harness, budget) = harness(usize::MAX);
    let mut holder = Reservation::empty(&budget);
    holder.set(BUDGET_BYTES - KIB);
    let mut client = harness.peer();
    client
        .write_all(b"GET /a HTTP/1.1\r\n\r\nGET /b HTTP/1.1\r\n\r\n")
        .unwrap();
    let (first, second) = (harness.request().0, harness.request().0);
    for _ in 0..64 {
        client.write_all(&vec![b'x'; 16 * KIB]).unwrap();
    }
    harness.http.respond(first, response("a"));
    harness.http.respond(second, response("b"));
    let answers = read_to_end(&mut client);
    assert!(answers.ends_with('b'), "{answers}");
    assert_eq!(answers.matches("HTTP/1.1 200").count(), 2);
    assert!(harness.events.try_recv().is_err());
}

/// Guards against clients that take up the memory with responses that they do not read.
#[test]
fn response_that_is_not_read_yields_to_a_request() {
    const UNREAD_BYTES: usize = 64 * 1024 * KIB;
    let (harness, budget) = harness(usize::MAX);
    let mut reader = harness.peer();
    reader.write_all(b"GET /wait HTTP/1.1\r\n\r\n").unwrap();
    let large = vec![b'x'; UNREAD_BYTES];
    let response = Response {
        body: large.into(),
        ..response("")
    };
    harness.http.respond(harness.request().0, response);
    std::thread::sleep(Duration::from_secs(6));
    assert!(budget.used() > BUDGET_BYTES);
    let mut other = harness.peer();
    send_body(&mut other, KIB, KIB);
    assert_eq!(harness.request().1.body.len(), KIB);
    wait_until_held(&budget, 0);
}

#[test]
fn new_connection_takes_the_place_of_the_one_idle_longest() {
    let (harness, _) = harness(2);
    let mut oldest = harness.peer();
    oldest.write_all(b"GET /now HTTP/1.1\r\n\r\n").unwrap();
    read_head(&mut oldest);
    let mut newer = harness.peer();
    newer.write_all(b"GET /wait HTTP/1.1\r\n\r\n").unwrap();
    let (waiting, _) = harness.request();
    let mut newest = harness.peer();
    newest.write_all(b"GET /newest HTTP/1.1\r\n\r\n").unwrap();
    assert_eq!(harness.request().1.target, "/newest");
    let rest = read_to_end(&mut oldest);
    assert!(rest.contains("HTTP/1.1 408"), "{rest}");
    harness.http.respond(waiting, response("done"));
    assert!(read_head(&mut newer).starts_with("HTTP/1.1 200"));
    assert_eq!(harness.http.usage().refused_connections, 0);
}

#[test]
fn new_connection_is_refused_while_all_others_are_served() {
    let (harness, _) = harness(2);
    let mut busy: Vec<TcpStream> = (0..2).map(|_| harness.peer()).collect();
    for client in &mut busy {
        client.write_all(b"GET /wait HTTP/1.1\r\n\r\n").unwrap();
        harness.request();
    }
    let mut refused = harness.peer();
    refused.write_all(b"GET /refused HTTP/1.1\r\n\r\n").unwrap();
    let answer = read_to_end(&mut refused);
    assert!(answer.starts_with("HTTP/1.1 503"), "{answer}");
    assert!(harness.events.try_recv().is_err());
    assert_eq!(harness.http.usage().refused_connections, 1);
}

#[test]
fn idle_connections_for_calls_are_closed_above_their_limit() {
    let caller = Harness::with_resources(
        Limits::default(),
        Resources {
            max_call_connections: 2,
            ..Resources::default()
        },
    );
    let origins: Vec<Harness> = (0..4).map(|_| Harness::new(Limits::default())).collect();
    for (id, origin) in origins.iter().enumerate() {
        caller.call(id as u64, origin.address, "/now");
        assert_eq!(body(caller.outcome()).1, "/now");
    }
    assert_eq!(caller.http.usage().open, 2);
}
