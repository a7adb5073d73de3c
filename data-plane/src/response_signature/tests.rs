//! Tests of `seal`.
use crate::prelude::*;

#[test]
fn an_answer_passes_only_for_the_very_request_service_and_key_it_was_signed_for() {
    let key = SigningKey::from_bytes(&[7; 32]);
    let public = BASE64.encode(key.verifying_key().to_bytes());
    let seal = ResponseSignature {
        status: 200,
        method: "POST",
        target: "/book?x=1",
        service: "book",
        instance: "b1",
        operation: "k1",
        request: "9",
        body: b"done",
    };
    let headers = seal.sign(&key);
    assert!(seal.check(&headers, &public).is_ok());
    let others = [
        ResponseSignature {
            status: 201,
            ..seal.clone()
        },
        ResponseSignature {
            method: "GET",
            ..seal.clone()
        },
        ResponseSignature {
            target: "/book?x=2",
            ..seal.clone()
        },
        ResponseSignature {
            service: "other",
            ..seal.clone()
        },
        ResponseSignature {
            instance: "b2",
            ..seal.clone()
        },
        ResponseSignature {
            operation: "k2",
            ..seal.clone()
        },
        ResponseSignature {
            request: "8",
            ..seal.clone()
        },
        ResponseSignature {
            body: b"don",
            ..seal.clone()
        },
    ];
    for other in others {
        assert!(other.check(&headers, &public).is_err(), "{other:?}");
    }
    let stranger = SigningKey::from_bytes(&[8; 32]);
    assert!(seal.check(&seal.sign(&stranger), &public).is_err());
    for gone in 0..headers.len() {
        let mut fewer = headers.clone();
        fewer.remove(gone);
        assert!(seal.check(&fewer, &public).is_err());
    }
}
