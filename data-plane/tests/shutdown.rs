//! Tests of requests at an edge that shuts down.
mod edge_harness;
use data_plane::prelude::*;
use edge_harness::*;

/// The shutdown grace in milliseconds.
const GRACE_MS: u64 = 6000;
/// A shutdown grace that is shorter than the deadlines of the requests, in milliseconds.
const SHORT_GRACE_MS: u64 = 3000;

/// Every request gets a response in time to be written before the process exits.
/// Regression: requests that waited for a cached response, a permit or the ledger were
/// still waiting when the process exited.
#[test]
fn waiting_requests_are_rejected_in_first_half_of_grace() {
    let mut edge = live_edge(1000).with_shutdown_grace(millis(GRACE_MS));
    deliver_updates(&mut edge, 1000, &[origin(50)], true);
    let urls = [("/copy", "GET"), ("/low", "GET"), ("/k", "POST")];
    for id in 0..30u64 {
        let (url, method) = urls[id as usize % 3];
        let mut request = client_request(url, method);
        request.timeout = Some(millis(12_000));
        edge.handle(millis(1000), Input::ClientRequest { id, request });
    }
    edge.handle(millis(1100), Input::ShutdownRequested);
    let mut rejections = Vec::new();
    let mut last_at = 0;
    for now in (1150..1100 + GRACE_MS).step_by(50) {
        renew(&mut edge, now);
        let outputs = rejections_in(edge.handle(millis(now), Input::Tick));
        if !outputs.is_empty() {
            last_at = now;
        }
        rejections.extend(outputs);
    }
    let mut ids: Vec<u64> = rejections.iter().map(|(id, ..)| *id).collect();
    ids.sort_unstable();
    assert_eq!(
        ids,
        (0..30).collect::<Vec<u64>>(),
        "each request gets one rejection"
    );
    assert!(
        last_at <= 1100 + GRACE_MS / 2 + 50,
        "the last rejection was sent at {last_at}"
    );
}

#[test]
fn late_request_is_rejected_and_call_in_flight_completes() {
    let mut edge = live_edge(1000).with_shutdown_grace(millis(GRACE_MS));
    deliver_updates(&mut edge, 1000, &[origin(50)], false);
    let once = client_request("/once", "POST");
    let started = edge.handle(
        millis(1000),
        Input::ClientRequest {
            id: 1,
            request: once,
        },
    );
    let outputs = deliver(
        &mut edge,
        1010,
        ADMISSION,
        permit(last_exchange(&started), origin(50), 1005),
    );
    let call = last_exchange(&outputs);
    edge.handle(millis(1100), Input::ShutdownRequested);
    let late = 1100 + GRACE_MS / 2 + 100;
    for now in (1150..=late).step_by(50) {
        renew(&mut edge, now);
        let rejections = rejections_in(edge.handle(millis(now), Input::Tick));
        assert!(
            rejections.is_empty(),
            "the call is in flight: {rejections:?}"
        );
    }
    let request = client_request("/low", "GET");
    let rejections =
        rejections_in(edge.handle(millis(late), Input::ClientRequest { id: 2, request }));
    assert_eq!(
        rejections,
        [(2, 503, "ending".to_string(), RunState::NotRun)]
    );
    let result = CallOutcome::Success(Reply::default());
    let outputs = edge.handle(millis(late + 10), Input::CallCompleted { id: call, result });
    assert!(outputs.iter().any(|output| matches!(
        output,
        Output::ClientResponse {
            id: 1,
            response: ClientResponse::Reply { .. }
        }
    )));
}

/// Guards against connections that end without an answer when the process exits: requests
/// whose origins are still at work then get a response of the edge shortly before.
#[test]
fn requests_left_shortly_before_exit_are_answered() {
    let mut edge = live_edge(1000).with_shutdown_grace(millis(SHORT_GRACE_MS));
    deliver_updates(&mut edge, 1000, &[origin(50)], false);
    for (id, url, method) in [(1, "/once", "POST"), (2, "/low", "GET")] {
        let mut request = client_request(url, method);
        request.timeout = Some(millis(2 * SHORT_GRACE_MS));
        let started = edge.handle(millis(1000), Input::ClientRequest { id, request });
        let permit = permit(last_exchange(&started), origin(50), 1005);
        let outputs = deliver(&mut edge, 1010, ADMISSION, permit);
        assert!(
            outputs
                .iter()
                .any(|output| matches!(output, Output::Call { .. }))
        );
    }
    edge.handle(millis(1100), Input::ShutdownRequested);
    let mut rejections = Vec::new();
    let mut shutdown_at = None;
    for now in (1150..1100 + SHORT_GRACE_MS).step_by(50) {
        renew(&mut edge, now);
        let outputs = edge.handle(millis(now), Input::Tick);
        let is_end = |output: &Output| matches!(output, Output::ShutdownComplete);
        if outputs.iter().any(is_end) {
            shutdown_at.get_or_insert(now);
        }
        for rejection in rejections_in(outputs) {
            assert!(now + 1000 >= 1100 + SHORT_GRACE_MS, "ended early, at {now}");
            rejections.push(rejection);
        }
    }
    let ending = |id| (id, 502, "ending".to_string(), RunState::Unknown);
    assert_eq!(rejections, [ending(1), ending(2)]);
    assert!(
        shutdown_at.is_some(),
        "the edge has shut down before the exit"
    );
}

/// Regression: a call sent after the shutdown request timed out after half of the
/// remaining time, while its origin was still executing it.
#[test]
fn call_after_shutdown_request_gets_full_timeout() {
    const TIMEOUT_MS: u64 = 4000;
    for shutting_down in [false, true] {
        let mut edge = live_edge(1000).with_shutdown_grace(millis(GRACE_MS));
        deliver_updates(&mut edge, 1000, &[origin(50)], false);
        if shutting_down {
            edge.handle(millis(1000), Input::ShutdownRequested);
        }
        let mut request = client_request("/low", "GET");
        request.timeout = Some(millis(TIMEOUT_MS));
        let started = edge.handle(millis(1000), Input::ClientRequest { id: 1, request });
        let permit = permit(last_exchange(&started), origin(50), 1005);
        let outputs = deliver(&mut edge, 1010, ADMISSION, permit);
        let limit = outputs.iter().find_map(|output| match output {
            Output::Call { call, .. } => Some(call.timeout),
            _ => None,
        });
        let remaining = millis(TIMEOUT_MS - 10);
        let expected = if shutting_down {
            remaining
        } else {
            remaining / 2
        };
        assert_eq!(limit, Some(expected), "shutting down: {shutting_down}");
    }
}

/// Calls sent before the shutdown request also get all of the remaining time.
#[test]
fn shutdown_request_extends_calls_in_flight() {
    const TIMEOUT_MS: u64 = 4000;
    let mut edge = live_edge(1000).with_shutdown_grace(millis(GRACE_MS));
    deliver_updates(&mut edge, 1000, &[origin(50)], false);
    let mut request = client_request("/low", "GET");
    request.timeout = Some(millis(TIMEOUT_MS));
    let started = edge.handle(millis(1000), Input::ClientRequest { id: 1, request });
    let permit = permit(last_exchange(&started), origin(50), 1005);
    let call = last_exchange(&deliver(&mut edge, 1010, ADMISSION, permit));
    let outputs = edge.handle(millis(1500), Input::ShutdownRequested);
    let extended = outputs.iter().find_map(|output| match output {
        Output::ExtendCall { id, limit } => Some((*id, *limit)),
        _ => None,
    });
    assert_eq!(extended, Some((call, millis(TIMEOUT_MS - 500))));
}

/// Regression: an idle edge shut down at once, so that requests on keep-alive connections were
/// reset. They are served for a quarter of the grace, and rejected after that.
#[test]
fn idle_edge_rejects_after_a_quarter_of_the_grace() {
    let mut edge = live_edge(1000).with_shutdown_grace(millis(GRACE_MS));
    deliver_updates(&mut edge, 1000, &[origin(50)], false);
    edge.handle(millis(1000), Input::ShutdownRequested);
    let earliest_end = 1000 + GRACE_MS / 4;
    for now in (1050..=1000 + GRACE_MS).step_by(50) {
        renew(&mut edge, now);
        let outputs = edge.handle(millis(now), Input::Tick);
        let ended = outputs
            .iter()
            .any(|output| matches!(output, Output::ShutdownComplete));
        assert!(!ended || now >= earliest_end, "shut down at {now}");
        if ended {
            let request = client_request("/low", "GET");
            let input = Input::ClientRequest { id: 1, request };
            let rejections = rejections_in(edge.handle(millis(now), input));
            let expected = (1, 503, "ending".to_string(), RunState::NotRun);
            assert_eq!(rejections, [expected]);
            return;
        }
    }
    panic!("the shutdown does not complete");
}
