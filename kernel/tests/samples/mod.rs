//! Sample values of every kind in messages and in the stored log. All fields have
//! different values, so that a swapped or reordered field changes the bytes.
use kernel::prelude::*;

/// Returns an address derived from a number.
pub fn address(number: u16) -> SocketAddr {
    format!("10.1.0.{}:{}", number % 250, 7000 + number)
        .parse()
        .unwrap()
}

/// Returns accepted revisions beyond the bound, so that the oldest are dropped.
pub fn accepted_revisions() -> AcceptedRevisions {
    let mut accepted = AcceptedRevisions::default();
    for revision in 0..ACCEPTED_REVISIONS as u64 + 2 {
        accepted.remember(AcceptedRevision::of(&Item {
            kind: ItemKind::Group,
            name: "group".into(),
            revision,
            text: (revision % 2 == 0).then(|| "{}".into()),
            source: format!("source {revision}").into(),
        }));
    }
    accepted
}

/// Returns applied changes beyond the bound, so that the oldest are dropped.
pub fn applied_changes() -> AppliedChanges {
    let mut applied = AppliedChanges::default();
    for change in 0..APPLIED_CHANGES as u64 + 2 {
        applied.remember(change * 3 + 1, change + 5);
    }
    applied
}

/// Returns rows with every kind of value.
pub fn rows() -> Vec<(String, Row)> {
    let values = vec![
        Value::Configuration {
            text: "shared text 301".into(),
            change: 302,
        },
        Value::Item(Item {
            kind: ItemKind::Group,
            name: "text 303".into(),
            revision: 304,
            text: Some("shared text 305".into()),
            source: "shared text 306".into(),
        }),
        Value::Item(Item {
            kind: ItemKind::Entry,
            name: "text 303".into(),
            revision: 304,
            text: None,
            source: "shared text 306".into(),
        }),
        Value::Item(Item {
            kind: ItemKind::Bounds,
            name: "text 303".into(),
            revision: 304,
            text: Some("shared text 305".into()),
            source: "shared text 306".into(),
        }),
        Value::Purge {
            purge: Purge {
                entry: Some("text 307".into()),
                url: Some("text 308".into()),
                prefix: Some("text 309".into()),
                host: Some("text 310".into()),
                tag: Some("text 311".into()),
            },
            change: 312,
        },
        Value::Purge {
            purge: Purge {
                entry: None,
                url: None,
                prefix: None,
                host: None,
                tag: None,
            },
            change: 312,
        },
        Value::Origins {
            list: Arc::new(vec![
                Origin {
                    address: address(313),
                    service: "text 314".into(),
                    instance: "text 315".into(),
                    draining: true,
                    zone: "text 316".into(),
                    region: "text 317".into(),
                    capacity: 318,
                    cold_ms: 319,
                },
                Origin {
                    address: address(313),
                    service: "text 314".into(),
                    instance: "text 315".into(),
                    draining: false,
                    zone: "text 316".into(),
                    region: "text 317".into(),
                    capacity: 318,
                    cold_ms: 319,
                },
            ]),
            change: 320,
        },
        Value::Assignment(Assignment {
            owner: Some(Peer {
                address: address(321),
                incarnation: 322,
            }),
            previous_owner: Some(Peer {
                address: address(323),
                incarnation: 324,
            }),
            epoch: 325,
        }),
        Value::Assignment(Assignment {
            owner: None,
            previous_owner: None,
            epoch: 325,
        }),
        Value::Members(vec![Peer {
            address: address(326),
            incarnation: 327,
        }]),
        Value::EdgeRegistry {
            members: vec![Peer {
                address: address(328),
                incarnation: 329,
            }],
            departed: vec![Peer {
                address: address(330),
                incarnation: 331,
            }],
            complete: true,
        },
        Value::EdgeRegistry {
            members: vec![Peer {
                address: address(328),
                incarnation: 329,
            }],
            departed: vec![Peer {
                address: address(330),
                incarnation: 331,
            }],
            complete: false,
        },
        Value::Enrolled {
            members: vec![Peer {
                address: address(332),
                incarnation: 333,
            }],
        },
        Value::Opened { generation: 334 },
        Value::Founded { generation: 335 },
        Value::Operation(Operation {
            fingerprint: [86; 32],
            claimant: Peer {
                address: address(337),
                incarnation: 338,
            },
            request: 339,
            state: OperationState::Running,
        }),
        Value::Operation(Operation {
            fingerprint: [86; 32],
            claimant: Peer {
                address: address(337),
                incarnation: 338,
            },
            request: 339,
            state: OperationState::Released,
        }),
        Value::Operation(Operation {
            fingerprint: [86; 32],
            claimant: Peer {
                address: address(337),
                incarnation: 338,
            },
            request: 339,
            state: OperationState::Unknown,
        }),
        Value::Operation(Operation {
            fingerprint: [86; 32],
            claimant: Peer {
                address: address(337),
                incarnation: 338,
            },
            request: 339,
            state: OperationState::Done(Arc::new(Reply {
                status: 5000,
                headers: vec![("text 341".into(), "text 342".into())],
                body: Arc::new(vec![93, 94]),
                tags: vec!["text 345".into()],
            })),
        }),
        Value::Accepted(accepted_revisions()),
        Value::Applied(applied_changes()),
    ];
    values
        .into_iter()
        .enumerate()
        .map(|(number, value)| {
            (
                format!("row {number:02}"),
                Row {
                    version: 1000 + number as u64,
                    value,
                },
            )
        })
        .collect()
}
