//! Tests of responses that arrive late, twice or for an earlier exchange of the request.
mod edge_harness;
use data_plane::prelude::*;
use edge_harness::*;
use std::collections::HashSet;

fn start_request(edge: &mut EdgeNode, now: u64, id: u64, url: &str, method: &str) -> Vec<Output> {
    submit(edge, now, id, url, method)
}

fn complete_call(edge: &mut EdgeNode, now: u64, id: u64, result: CallOutcome) -> Vec<Output> {
    edge.handle(millis(now), Input::CallCompleted { id, result })
}

/// Returns the number of calls among the outputs.
fn call_count(outputs: &[Output]) -> usize {
    outputs
        .iter()
        .filter(|output| matches!(output, Output::Call { .. }))
        .count()
}

fn success(text: &str) -> CallOutcome {
    CallOutcome::Success(Reply {
        status: 200,
        body: Arc::new(text.as_bytes().to_vec()),
        ..Reply::default()
    })
}

/// Returns the body of the first reply to a client.
fn body(outputs: &[Output]) -> Option<String> {
    outputs.iter().find_map(|output| match output {
        Output::ClientResponse {
            response: ClientResponse::Reply { reply, .. },
            ..
        } => Some(String::from_utf8_lossy(&reply.body).into_owned()),
        _ => None,
    })
}

#[test]
fn stale_permit_is_returned_unused() {
    let mut edge = live_edge(1000);
    let listed = origin(50);
    deliver_updates(&mut edge, 1000, std::slice::from_ref(&listed), false);
    let first = last_exchange(&start_request(&mut edge, 1000, 1, "/low", "GET"));
    let outputs = deliver(
        &mut edge,
        1010,
        ADMISSION,
        permit(first, listed.clone(), 1005),
    );
    assert_eq!(call_count(&outputs), 1);
    let outputs = complete_call(
        &mut edge,
        1020,
        last_exchange(&outputs),
        CallOutcome::NotExecuted,
    );
    let second = last_exchange(&outputs);
    assert_ne!(first, second);
    // The admission controller received the first request twice and granted both.
    let outputs = deliver(
        &mut edge,
        1030,
        ADMISSION,
        permit(first, listed.clone(), 1025),
    );
    assert_eq!(call_count(&outputs), 0);
    let unused = |output: &Output| {
        matches!(output, Output::Send { message: Message::CallDone(done), .. }
            if done.result == CallResult::Unused)
    };
    assert!(outputs.iter().any(unused), "the stale permit is returned");
    let outputs = deliver(&mut edge, 1040, ADMISSION, permit(second, listed, 1035));
    assert_eq!(call_count(&outputs), 1);
}

#[test]
fn stale_call_ending_is_ignored() {
    let mut edge = live_edge(1000);
    let listed = origin(50);
    deliver_updates(&mut edge, 1000, std::slice::from_ref(&listed), false);
    let exchange = last_exchange(&start_request(&mut edge, 1000, 1, "/once", "POST"));
    let outputs = deliver(
        &mut edge,
        1010,
        ADMISSION,
        permit(exchange, listed.clone(), 1005),
    );
    let first = last_exchange(&outputs);
    let outputs = complete_call(&mut edge, 1020, first, CallOutcome::NotExecuted);
    let outputs = deliver(
        &mut edge,
        1030,
        ADMISSION,
        permit(last_exchange(&outputs), listed, 1025),
    );
    let second = last_exchange(&outputs);
    for result in [
        CallOutcome::NotExecuted,
        CallOutcome::WrongInstance,
        success("first"),
    ] {
        let outputs = complete_call(&mut edge, 1040, first, result);
        assert!(
            call_count(&outputs) == 0
                && body(&outputs).is_none()
                && rejections_in(outputs).is_empty()
        );
    }
    let outputs = complete_call(&mut edge, 1050, second, success("second"));
    assert_eq!(body(&outputs), Some("second".into()));
}

#[test]
fn stale_cached_response_is_not_served() {
    let mut edge = live_edge(1000);
    deliver_updates(&mut edge, 1000, &[], true);
    let first = last_exchange(&start_request(&mut edge, 1000, 1, "/copy", "GET"));
    let key = ActiveRequest::cache_key(&client_request("/copy", "GET"));
    let copy = |id, remaining_ttl_ms| CacheCopy {
        id,
        key,
        max_wait: millis(1000),
        response: CachedResponse {
            reply: Reply::default(),
            purge_version: 0,
            age: millis(0),
            fresh_for: millis(remaining_ttl_ms),
            remaining_ttl: millis(remaining_ttl_ms),
            owner_delay: millis(0),
        },
    };
    // The response was in flight for 300 ms, longer than its remaining time to live.
    let outputs = deliver(&mut edge, 1300, OWNER, copy(first, 200));
    assert_eq!(body(&outputs), None);
    let second = last_exchange(&outputs);
    // A duplicate of the response belongs to the first exchange.
    let outputs = deliver(&mut edge, 1310, OWNER, copy(first, 200));
    assert_eq!(body(&outputs), None);
    let outputs = deliver(&mut edge, 1320, OWNER, copy(second, 200));
    assert!(body(&outputs).is_some());
}

#[test]
fn exchange_ids_are_unique_across_incarnations() {
    let ids = |incarnation: u64| -> HashSet<u64> {
        let mut edge = live_edge_with_incarnation(1000, incarnation);
        deliver_updates_to_incarnation(&mut edge, 1000, &[], false, incarnation);
        (0..200)
            .map(|id| last_exchange(&start_request(&mut edge, 1000, id, "/low", "GET")))
            .collect()
    };
    let incarnations: Vec<HashSet<u64>> = [5, 6, 7, 1 << 40, u64::MAX].map(ids).into();
    let all: HashSet<u64> = incarnations.iter().flatten().copied().collect();
    assert_eq!(
        all.len(),
        incarnations.iter().map(HashSet::len).sum::<usize>()
    );
    assert_eq!(all.len(), 5 * 200);
}
