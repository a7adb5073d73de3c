//! An edge's bounds, sessions and what it says of keyed requests.
mod edge;
use data_plane::prelude::*;
use edge::*;

#[test]
fn a_slow_service_is_bounded_lowest_rank_first_and_takes_nothing_from_others() {
    let mut edge = live(1000);
    for id in 0..256 {
        assert!(
            answers(edge.handle(
                at(1100),
                Input::ClientRequest {
                    id,
                    request: client_request("/low", "GET")
                }
            ))
            .is_empty()
        );
    }
    let told = answers(edge.handle(
        at(1100),
        Input::ClientRequest {
            id: 300,
            request: client_request("/low", "GET"),
        },
    ));
    assert_eq!(
        told,
        [(300, 429, "over_capacity".to_string(), RunState::NotRun)]
    );
    let told = answers(edge.handle(
        at(1100),
        Input::ClientRequest {
            id: 301,
            request: client_request("/high", "GET"),
        },
    ));
    assert_eq!(
        told,
        [(255, 429, "over_capacity".to_string(), RunState::NotRun)],
        "the last of the lowest makes room"
    );
    assert!(
        answers(edge.handle(
            at(1100),
            Input::ClientRequest {
                id: 302,
                request: client_request("/quick", "GET")
            }
        ))
        .is_empty()
    );
}

#[test]
fn without_two_renewals_nothing_is_begun_and_of_a_keyed_errand_nothing_is_said() {
    let mut edge = live(1000);
    let told = |edge: &mut EdgeNode, now, id, url: &str, method: &str| {
        answers(edge.handle(
            at(now),
            Input::ClientRequest {
                id,
                request: client_request(url, method),
            },
        ))
    };
    assert!(told(&mut edge, 1599, 1, "/quick", "GET").is_empty());
    assert_eq!(
        told(&mut edge, 1600, 2, "/quick", "GET"),
        [(2, 503, "fenced".to_string(), RunState::NotRun)]
    );
    assert_eq!(
        told(&mut edge, 1600, 3, "/k", "POST"),
        [(3, 503, "fenced".to_string(), RunState::Unknown)]
    );
}

#[test]
fn a_renewal_of_an_earlier_incarnation_or_a_stranger_counts_for_nothing() {
    for (incarnation, seed) in [(4, 3), (5, 7)] {
        let mut edge = live(1000);
        let renewed = RenewReply {
            incarnation,
            renewal_token: RenewalToken::default(),
            sent: at(5000),
            generation: 0,
            recall_requested: false,
            updates: SharedUpdates::default(),
        };
        for _ in 0..2 {
            edge.handle(
                at(1500),
                Input::MessageReceived {
                    from: Peer::new(address(seed), 1),
                    message: renewed.clone().into(),
                },
            );
        }
        let told = answers(edge.handle(
            at(2500),
            Input::ClientRequest {
                id: 1,
                request: client_request("/quick", "GET"),
            },
        ));
        assert_eq!(told.len(), 1, "life {incarnation}, seed {seed}");
    }
}

/// With twelve control nodes each change was renewed 144 times an edge.
#[test]
fn what_is_known_already_is_not_renewed_for_and_a_nudge_asks_the_nudger_alone() {
    let mut edge = live(1000);
    let said = |edge: &mut EdgeNode, seed, message: Message| -> Vec<SocketAddr> {
        let out = edge.handle(
            at(1010),
            Input::MessageReceived {
                from: Peer::new(address(seed), 1),
                message,
            },
        );
        out.iter()
            .filter_map(|one| match one {
                Output::Send {
                    to,
                    message: Message::RenewRequest(_),
                } => Some(*to),
                _ => None,
            })
            .collect()
    };
    let updates = || RenewReply {
        incarnation: 5,
        renewal_token: RenewalToken::default(),
        sent: at(1010),
        generation: 0,
        recall_requested: false,
        updates: vec![PartitionUpdate {
            partition: PURGES_PARTITION,
            version: 4,
            rows: vec![],
        }]
        .into(),
    };
    assert_eq!(
        said(
            &mut edge,
            2,
            UpdateNotice {
                partition: PURGES_PARTITION,
                version: 4,
                renewal_token: RenewalToken::default()
            }
            .into()
        ),
        [address(2)]
    );
    assert_eq!(
        said(&mut edge, 2, updates().into()).len(),
        3,
        "all are told that it is applied"
    );
    assert!(said(&mut edge, 3, updates().into()).is_empty());
    assert!(
        said(
            &mut edge,
            3,
            UpdateNotice {
                partition: PURGES_PARTITION,
                version: 4,
                renewal_token: RenewalToken::default()
            }
            .into()
        )
        .is_empty()
    );
    assert_eq!(
        said(
            &mut edge,
            3,
            UpdateNotice {
                partition: PURGES_PARTITION,
                version: 5,
                renewal_token: RenewalToken::default()
            }
            .into()
        ),
        [address(3)]
    );
}

#[test]
fn the_lease_of_who_lost_its_slot_ends_with_the_updates_of_it() {
    let mut edge = live(1000);
    let places = [
        Peer::new(address(4), 8),
        Peer::new(address(2), 0),
        Peer::new(address(3), 0),
    ];
    let row = Row {
        version: 1,
        value: Value::Members(places.to_vec()),
    };
    let updates = vec![PartitionUpdate {
        partition: MEMBERSHIP_PARTITION,
        version: 1,
        rows: vec![("places".into(), row)],
    }];
    let renewed = |sent, updates| RenewReply {
        incarnation: 5,
        renewal_token: RenewalToken::default(),
        sent: at(sent),
        generation: 0,
        recall_requested: false,
        updates,
    };
    edge.handle(
        at(1100),
        Input::MessageReceived {
            from: Peer::new(address(2), 1),
            message: renewed(1100, updates.into()).into(),
        },
    );
    let told = answers(edge.handle(
        at(1200),
        Input::ClientRequest {
            id: 1,
            request: client_request("/quick", "GET"),
        },
    ));
    assert_eq!(told.len(), 1, "one renewal of the new three is no majority");
    edge.handle(
        at(1300),
        Input::MessageReceived {
            from: Peer::new(address(4), 8),
            message: renewed(1300, SharedUpdates::default()).into(),
        },
    );
    assert!(
        answers(edge.handle(
            at(1400),
            Input::ClientRequest {
                id: 2,
                request: client_request("/quick", "GET")
            }
        ))
        .is_empty()
    );
}

#[test]
fn not_run_is_said_of_a_keyed_errand_only_once_its_release_is_recorded() {
    let mut edge = live(1000);
    updates(&mut edge, 1000, &[], false);
    let out = edge.handle(
        at(1000),
        Input::ClientRequest {
            id: 1,
            request: client_request("/k", "POST"),
        },
    );
    assert!(matches!(asked(&out).as_slice(), [Change::Claim(_)]));
    let out = told(&mut edge, 1010, question(&out), ChangeOutcome::Claimed);
    let away = PermitRefused {
        id: question(&out),
        reason: PermitRefusalReason::Overloaded,
        back: at(2000),
    };
    let out = edge.handle(
        at(1020),
        Input::MessageReceived {
            from: Peer::new(address(8), 1),
            message: away.into(),
        },
    );
    assert!(matches!(asked(&out).as_slice(), [Change::Release(_)]));
    let release = question(&out);
    assert!(answers(out).is_empty());
    let out = told(&mut edge, 1030, release, ChangeOutcome::Released);
    assert_eq!(
        answers(out),
        [(1, 429, "over_capacity".to_string(), RunState::NotRun)]
    );
}

#[test]
fn what_was_sent_and_not_answered_is_unknown_and_recorded_before_it_is_said() {
    let mut edge = live(1000);
    let listed = origin(50);
    updates(&mut edge, 1000, std::slice::from_ref(&listed), false);
    let out = edge.handle(
        at(1000),
        Input::ClientRequest {
            id: 1,
            request: client_request("/k", "POST"),
        },
    );
    let out = told(&mut edge, 1010, question(&out), ChangeOutcome::Claimed);
    let asked_for = question(&out);
    let permitted = |edge: &mut EdgeNode, permit: Permit| heard(edge, 1300, ADMISSION, permit);
    let called = |out: &[Output]| {
        out.iter()
            .any(|output| matches!(output, Output::Call { .. }))
    };
    assert!(
        !called(&permitted(
            &mut edge,
            permit(asked_for, listed.clone(), 1010)
        )),
        "a permit that was too long on the way lapses"
    );
    let left = Origin {
        instance: "gone".into(),
        ..listed.clone()
    };
    assert!(
        !called(&permitted(&mut edge, permit(asked_for, left, 1290))),
        "nor is an origin called that is not listed so (any more)"
    );
    let out = permitted(&mut edge, permit(asked_for, listed, 1290));
    assert!(called(&out));
    let out = edge.handle(
        at(1400),
        Input::CallCompleted {
            id: question(&out),
            result: CallOutcome::Failure("cut off".into()),
        },
    );
    assert!(matches!(asked(&out).as_slice(), [Change::Record(_, None)]));
    let record = question(&out);
    assert!(answers(out).is_empty());
    let out = told(&mut edge, 1410, record, ChangeOutcome::Recorded);
    assert_eq!(
        answers(out),
        [(1, 502, "bad_origin_answer".to_string(), RunState::Unknown)]
    );
}
