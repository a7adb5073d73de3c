//! Tests of which endings of a call prove that its request was not executed.
use data_plane::prelude::*;
use std::net::SocketAddr;

/// The id of the request in the call.
const REQUEST_ID: u64 = 9;

fn call(proof: Proof) -> Call {
    Call {
        origin: Origin {
            address: SocketAddr::from(([127, 0, 0, 1], 50)),
            service: "s".into(),
            instance: "i1".into(),
            draining: false,
            zone: String::new(),
            region: String::new(),
            capacity: 0,
            cold_ms: 0,
        },
        method: "POST".into(),
        url: "/u".into(),
        host: "h".into(),
        headers: vec![],
        body: Arc::default(),
        operation_key: None,
        request_id: None,
        request_id_at_edge: REQUEST_ID,
        key: String::new(),
        proof,
        timeout: Duration::from_secs(1),
        max_connections: 1,
        purpose: CallPurpose::Client,
    }
}

fn reply(status: u16, headers: &[(&str, &str)], delimited: bool) -> ExchangeOutcome {
    Ok(ReceivedResponse {
        status,
        headers: headers
            .iter()
            .map(|(name, value)| (name.to_string(), value.to_string()))
            .collect(),
        body: b"x".to_vec(),
        delimited,
    })
}

/// Headers that name the called instance and the request.
const MATCHING: [(&str, &str); 2] = [("otterslip-instance", "i1"), ("otterslip-errand", "9")];
/// Headers by which the called instance states that it did not execute the request.
const NOT_EXECUTED: [(&str, &str); 3] = [
    ("otterslip-instance", "i1"),
    ("otterslip-errand", "9"),
    ("otterslip-not-run", "1"),
];
/// The headers of `NOT_EXECUTED` for another request.
const NOT_EXECUTED_OTHER: [(&str, &str); 3] = [
    ("otterslip-instance", "i1"),
    ("otterslip-errand", "8"),
    ("otterslip-not-run", "1"),
];

fn outcome_of(ending: ExchangeOutcome) -> CallOutcome {
    classify_call_outcome(&DefaultProtocol, &call(Proof::Named), ending)
}

#[test]
fn non_execution_is_proven_only_by_unsent_call_or_origin() {
    let proven = [
        Err(ExchangeError::NotSent("connect: refused".into())),
        reply(503, &NOT_EXECUTED, true),
        reply(421, &MATCHING, true),
    ];
    for ending in proven {
        let text = format!("{ending:?}");
        assert!(
            matches!(
                outcome_of(ending),
                CallOutcome::Unreachable | CallOutcome::NotExecuted | CallOutcome::WrongInstance
            ),
            "{text}"
        );
    }
    let lost = |reused| {
        Err(ExchangeError::Interrupted {
            reason: "connection reset".into(),
            reused,
        })
    };
    let unproven = [
        lost(false),
        lost(true),
        reply(503, &NOT_EXECUTED_OTHER, true),
        reply(421, &NOT_EXECUTED_OTHER[..2], true),
        reply(421, &[], true),
        reply(503, &[("otterslip-not-run", "1")], true),
        reply(200, &MATCHING, false),
    ];
    for ending in unproven {
        let text = format!("{ending:?}");
        assert!(
            matches!(outcome_of(ending), CallOutcome::Failure(_)),
            "{text}"
        );
    }
}

#[test]
fn unframed_body_requires_signature() {
    assert!(matches!(
        outcome_of(reply(200, &MATCHING, true)),
        CallOutcome::Success(Reply { status: 200, .. })
    ));
    let key = SigningKey::from_bytes(&[7; 32]);
    let signed = Call {
        key: BASE64.encode(key.verifying_key().to_bytes()),
        ..call(Proof::Seal)
    };
    let signature = ResponseSignature {
        status: 200,
        method: "POST",
        target: "/u",
        service: "s",
        instance: "i1",
        operation_key: "",
        request_id: "9",
        body: b"x",
    };
    let ending = |body: &[u8]| {
        Ok(ReceivedResponse {
            status: 200,
            headers: signature.sign(&key),
            body: body.to_vec(),
            delimited: false,
        })
    };
    assert!(matches!(
        classify_call_outcome(&DefaultProtocol, &signed, ending(b"x")),
        CallOutcome::Success(_)
    ));
    assert!(matches!(
        classify_call_outcome(&DefaultProtocol, &signed, ending(b"")),
        CallOutcome::Failure(_)
    ));
}
