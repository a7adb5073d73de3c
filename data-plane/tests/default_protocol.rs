//! Tests of how the default protocol classifies the responses of origins.
use data_plane::prelude::*;

fn call(proof: Proof) -> Call {
    let address = SocketAddr::from(([127, 0, 0, 1], 50));
    let origin = Origin {
        address,
        service: "s".into(),
        instance: "i1".into(),
        draining: false,
        zone: String::new(),
        region: String::new(),
        capacity: 0,
        cold_ms: 0,
    };
    let (host, url, key) = ("h".into(), "/u".into(), String::new());
    let (headers, body) = (vec![], Arc::default());
    Call {
        origin,
        method: "GET".into(),
        url,
        host,
        headers,
        body,
        operation_key: None,
        request_id: None,
        request_id_at_edge: 9,
        key,
        proof,
        timeout: Duration::from_secs(1),
        max_connections: 1,
        purpose: CallPurpose::Client,
    }
}

#[test]
fn named_response_requires_matching_instance_and_request() {
    let verdict = |headers: &[(&str, &str)], status| {
        let headers: Vec<(String, String)> = headers
            .iter()
            .map(|(name, value)| (name.to_string(), value.to_string()))
            .collect();
        DefaultProtocol.classify(&call(Proof::Named), status, &headers, b"x")
    };
    let valid = [
        ("otterslip-instance", "i1"),
        ("otterslip-errand", "9"),
        ("otterslip-tags", "a b"),
        ("etag", "1"),
        ("x-own", "2"),
    ];
    assert_eq!(
        verdict(&valid, 200),
        OriginVerdict::Accepted {
            headers: vec![("etag".into(), "1".into())],
            tags: vec!["a".into(), "b".into()]
        }
    );
    let other_instance = [("otterslip-instance", "i2"), ("otterslip-errand", "9")];
    assert_eq!(verdict(&valid, 421), OriginVerdict::WrongInstance);
    assert_eq!(verdict(&other_instance, 421), OriginVerdict::WrongInstance);
    for (headers, status, reason) in [
        (
            &other_instance[..],
            200,
            "a response of another instance, which may have executed the request",
        ),
        (
            &other_instance,
            500,
            "a failure of another instance, which may have executed the request",
        ),
        (&valid[1..], 200, "a response that names no instance"),
        (&valid[..1], 421, "a rejection that names no request"),
        (
            &[],
            421,
            "a rejection that names neither instance nor request",
        ),
        (
            &[("otterslip-instance", "i1"), ("otterslip-errand", "8")],
            421,
            "the rejection of another request",
        ),
    ] {
        assert!(
            matches!(verdict(headers, status), OriginVerdict::Rejected(_)),
            "{reason}"
        );
    }
    assert!(matches!(
        verdict(
            &[("otterslip-instance", "i1"), ("otterslip-errand", "8")],
            200
        ),
        OriginVerdict::Rejected(_)
    ));
    assert_eq!(
        verdict(
            &[
                ("otterslip-instance", "i1"),
                ("otterslip-errand", "9"),
                ("otterslip-not-run", "1")
            ],
            503
        ),
        OriginVerdict::NotExecuted
    );
    assert!(
        matches!(
            DefaultProtocol.classify(&call(Proof::Seal), 200, &[], b"x"),
            OriginVerdict::Rejected(_)
        ),
        "an unsigned response"
    );
}
