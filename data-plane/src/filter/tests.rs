//! Tests of the rejections of each filter.
use crate::prelude::*;

fn incoming(method: &str, url: &str, headers: &[(&str, &str)], live: bool) -> IncomingRequest {
    let key = BASE64.encode([1; 32]);
    let text = format!(
        r#"{{"groups":[{{"service":"s","rate":9,"concurrency":9,"key":"{key}"}}],"entries":[
            {{"name":"p","path":"/p","group":"s","rank":1,"kind":"plain"}},
            {{"name":"k","path":"/k","methods":["POST"],"group":"s","rank":1,"kind":"keyed"}}]}}"#
    );
    let routes = Arc::new(RouteTable::new(1, Configuration::read(&text).unwrap()));
    let headers: Vec<(String, String)> = headers
        .iter()
        .map(|(name, value)| (name.to_string(), value.to_string()))
        .collect();
    let operation_key = header(&headers, "operation-key").map(Into::into);
    IncomingRequest {
        method: method.into(),
        host: "h".into(),
        url: url.into(),
        headers,
        body: Arc::default(),
        operation_key,
        timeout: None,
        request_id: None,
        is_live: live,
        routes: Some(routes),
        route_index: None,
    }
}

#[test]
fn filters_reject_in_order_and_valid_request_passes() {
    let long = "x".repeat(129);
    let rejection_of = |mut incoming: IncomingRequest| {
        run_filters(&mut incoming)
            .map(|rejection| (rejection.status, rejection.code, rejection.outcome))
    };
    let not_run = |status, code: &str| Some((status, code.to_string(), RunState::NotRun));
    assert_eq!(rejection_of(incoming("GET", "/p/1", &[], true)), None);
    assert_eq!(
        rejection_of(incoming("POST", "/k", &[("Operation-Key", "a-1")], true)),
        None
    );
    assert_eq!(
        rejection_of(incoming(
            "GET",
            &format!("/{}", "x".repeat(2048)),
            &[],
            true
        )),
        not_run(414, "url_too_long")
    );
    assert_eq!(
        rejection_of(incoming("GET", "p", &[], true)),
        not_run(400, "url_malformed")
    );
    assert_eq!(
        rejection_of(incoming("GET", "/p", &[("a", &"x".repeat(16400))], true)),
        not_run(431, "headers_too_large")
    );
    assert_eq!(
        rejection_of(incoming("GET", "/none", &[], true)),
        not_run(404, "no_entry")
    );
    assert_eq!(
        rejection_of(incoming("POST", "/k", &[], true)),
        not_run(400, "operation_key_missing")
    );
    assert_eq!(
        rejection_of(incoming("POST", "/k", &[("operation-key", &long)], true)),
        not_run(400, "operation_key_malformed")
    );
    assert_eq!(
        rejection_of(incoming("GET", "/p", &[], false)),
        not_run(503, "fenced")
    );
    assert_eq!(
        rejection_of(incoming("GET", "/none", &[], false)),
        not_run(503, "fenced")
    );
    let keyed = rejection_of(incoming("POST", "/k", &[("operation-key", "a")], false));
    assert_eq!(keyed, Some((503, "fenced".into(), RunState::Unknown)));
}
