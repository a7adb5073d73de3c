//! Tests of the fields that a response signature covers.
use crate::prelude::*;

#[test]
fn signature_is_valid_only_for_its_request_service_and_key() {
    let key = SigningKey::from_bytes(&[7; 32]);
    let public = BASE64.encode(key.verifying_key().to_bytes());
    let signature = ResponseSignature {
        status: 200,
        method: "POST",
        target: "/book?x=1",
        service: "book",
        instance: "b1",
        operation_key: "k1",
        request_id: "9",
        body: b"done",
    };
    let headers = signature.sign(&key);
    assert!(signature.verify(&headers, &public).is_ok());
    let altered = [
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
            operation_key: "k2",
            ..signature.clone()
        },
        ResponseSignature {
            request_id: "8",
            ..signature.clone()
        },
        ResponseSignature {
            body: b"don",
            ..signature.clone()
        },
    ];
    for altered_signature in altered {
        assert!(
            altered_signature.verify(&headers, &public).is_err(),
            "{altered_signature:?}"
        );
    }
    let other_key = SigningKey::from_bytes(&[8; 32]);
    assert!(
        signature
            .verify(&signature.sign(&other_key), &public)
            .is_err()
    );
    for removed in 0..headers.len() {
        let mut remaining = headers.clone();
        remaining.remove(removed);
        assert!(signature.verify(&remaining, &public).is_err());
    }
}
