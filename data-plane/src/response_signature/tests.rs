//! Tests of `signature`.
use crate::prelude::*;

#[test]
fn an_answer_passes_only_for_the_very_request_service_and_key_it_was_signed_for() {
    let key = SigningKey::from_bytes(&[7; 32]);
    let public = BASE64.encode(key.verifying_key().to_bytes());
    let signature = ResponseSignature {
        status: 200,
        method: "POST",
        target: "/book?x=1",
        service: "book",
        instance: "b1",
        operation: "k1",
        request: "9",
        body: b"done",
    };
    let headers = signature.sign(&key);
    assert!(signature.verify(&headers, &public).is_ok());
    let others = [
        ResponseSignature {
            status: 201,
            ..signature.clone()
        },
        ResponseSignature {
            method: "GET",
            ..signature.clone()
        },
        ResponseSignature {
            target: "/book?x=2",
            ..signature.clone()
        },
        ResponseSignature {
            service: "other",
            ..signature.clone()
        },
        ResponseSignature {
            instance: "b2",
            ..signature.clone()
        },
        ResponseSignature {
            operation: "k2",
            ..signature.clone()
        },
        ResponseSignature {
            request: "8",
            ..signature.clone()
        },
        ResponseSignature {
            body: b"don",
            ..signature.clone()
        },
    ];
    for other in others {
        assert!(other.verify(&headers, &public).is_err(), "{other:?}");
    }
    let stranger = SigningKey::from_bytes(&[8; 32]);
    assert!(
        signature
            .verify(&signature.sign(&stranger), &public)
            .is_err()
    );
    for gone in 0..headers.len() {
        let mut fewer = headers.clone();
        fewer.remove(gone);
        assert!(signature.verify(&fewer, &public).is_err());
    }
}
