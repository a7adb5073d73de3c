//! Tests of an edge's limits and leases, and of the outcomes that it reports for keyed
//! requests.
mod edge_harness;
use data_plane::prelude::*;
use edge_harness::*;

#[test]
fn pending_limit_displaces_lowest_rank_per_service() {
    let mut edge = live_edge(1000);
    for id in 0..256 {
        assert!(rejections_in(submit(&mut edge, 1100, id, "/low", "GET")).is_empty());
    }
    let rejections = rejections_in(submit(&mut edge, 1100, 300, "/low", "GET"));
    assert_eq!(
        rejections,
        [(300, 429, "over_capacity".to_string(), RunState::NotRun)]
    );
    let rejections = rejections_in(submit(&mut edge, 1100, 301, "/high", "GET"));
    assert_eq!(
        rejections,
        [(255, 429, "over_capacity".to_string(), RunState::NotRun)],
        "the latest request of the lowest rank is displaced"
    );
    assert!(rejections_in(submit(&mut edge, 1100, 302, "/quick", "GET")).is_empty());
}

#[test]
fn fenced_edge_rejects_and_reports_keyed_as_unknown() {
    let mut edge = live_edge(1000);
    let rejected = |edge: &mut EdgeNode, now, id, url: &str, method: &str| {
        rejections_in(submit(edge, now, id, url, method))
    };
    assert!(rejected(&mut edge, 1599, 1, "/quick", "GET").is_empty());
    assert_eq!(
        rejected(&mut edge, 1600, 2, "/quick", "GET"),
        [(2, 503, "fenced".to_string(), RunState::NotRun)]
    );
    assert_eq!(
        rejected(&mut edge, 1600, 3, "/k", "POST"),
        [(3, 503, "fenced".to_string(), RunState::Unknown)]
    );
}

#[test]
fn renewal_of_other_incarnation_or_node_is_ignored() {
    for (incarnation, control_node) in [(4, 3), (5, 7)] {
        let mut edge = live_edge(1000);
        let renewed = renew_reply(incarnation, 5000, SharedUpdates::default());
        for _ in 0..2 {
            deliver(&mut edge, 1500, control_node, renewed.clone());
        }
        let rejections = rejections_in(submit(&mut edge, 2500, 1, "/quick", "GET"));
        assert_eq!(
            rejections.len(),
            1,
            "incarnation {incarnation}, control node {control_node}"
        );
    }
}

fn purge_notice(version: u64) -> UpdateNotice {
    UpdateNotice {
        partition: PURGES_PARTITION,
        version,
        renewal_token: RenewalToken::default(),
    }
}

/// Regression: each edge renewed with all control nodes on every notice, which made 144
/// renewals per change with twelve control nodes.
#[test]
fn update_notice_renews_only_with_its_sender() {
    let mut edge = live_edge(1000);
    let renewed_with = |edge: &mut EdgeNode, control_node, message: Message| -> Vec<SocketAddr> {
        let outputs = edge.handle(
            millis(1010),
            Input::MessageReceived {
                from: Peer::new(address(control_node), 1),
                message,
            },
        );
        outputs
            .iter()
            .filter_map(|output| match output {
                Output::Send {
                    to,
                    message: Message::RenewRequest(_),
                } => Some(*to),
                _ => None,
            })
            .collect()
    };
    let reply_with_update = || {
        renew_reply(
            5,
            1010,
            vec![PartitionUpdate {
                partition: PURGES_PARTITION,
                version: 4,
                rows: vec![],
            }]
            .into(),
        )
    };
    assert_eq!(
        renewed_with(&mut edge, 2, purge_notice(4).into()),
        [address(2)]
    );
    assert_eq!(
        renewed_with(&mut edge, 2, reply_with_update().into()).len(),
        3,
        "all control nodes are notified of the applied update"
    );
    assert!(renewed_with(&mut edge, 3, reply_with_update().into()).is_empty());
    assert!(renewed_with(&mut edge, 3, purge_notice(4).into()).is_empty());
    assert_eq!(
        renewed_with(&mut edge, 3, purge_notice(5).into()),
        [address(3)]
    );
}

#[test]
fn lease_of_replaced_control_node_does_not_count() {
    let mut edge = live_edge(1000);
    let slots = [
        Peer::new(address(4), 8),
        Peer::new(address(2), 0),
        Peer::new(address(3), 0),
    ];
    let row = Row {
        version: 1,
        value: Value::Members(slots.to_vec()),
    };
    let updates = vec![PartitionUpdate {
        partition: MEMBERSHIP_PARTITION,
        version: 1,
        rows: vec![("places".into(), row)],
    }];
    let renewed = |sent, updates| renew_reply(5, sent, updates);
    deliver(&mut edge, 1100, 2, renewed(1100, updates.into()));
    let rejections = rejections_in(submit(&mut edge, 1200, 1, "/quick", "GET"));
    assert_eq!(
        rejections.len(),
        1,
        "one lease from the three new control nodes is no majority"
    );
    edge.handle(
        millis(1300),
        Input::MessageReceived {
            from: Peer::new(address(4), 8),
            message: renewed(1300, SharedUpdates::default()).into(),
        },
    );
    assert!(rejections_in(submit(&mut edge, 1400, 2, "/quick", "GET")).is_empty());
}

#[test]
fn keyed_rejection_awaits_release_of_its_claim() {
    let mut edge = live_edge(1000);
    deliver_updates(&mut edge, 1000, &[], false);
    let outputs = submit(&mut edge, 1000, 1, "/k", "POST");
    assert!(matches!(
        changes_in(&outputs).as_slice(),
        [Change::Claim(_)]
    ));
    let outputs = ledger_responds(
        &mut edge,
        1010,
        last_exchange(&outputs),
        ChangeOutcome::Claimed,
    );
    let refused = PermitRefused {
        id: last_exchange(&outputs),
        reason: PermitRefusalReason::Overloaded,
        retry_after: millis(2000),
    };
    let outputs = deliver(&mut edge, 1020, 8, refused);
    assert!(matches!(
        changes_in(&outputs).as_slice(),
        [Change::Release(_)]
    ));
    let release = last_exchange(&outputs);
    assert!(rejections_in(outputs).is_empty());
    let outputs = ledger_responds(&mut edge, 1030, release, ChangeOutcome::Released);
    assert_eq!(
        rejections_in(outputs),
        [(1, 429, "over_capacity".to_string(), RunState::NotRun)]
    );
}

#[test]
fn failed_keyed_call_is_recorded_as_unknown_first() {
    let mut edge = live_edge(1000);
    let listed = origin(50);
    deliver_updates(&mut edge, 1000, std::slice::from_ref(&listed), false);
    let outputs = submit(&mut edge, 1000, 1, "/k", "POST");
    let outputs = ledger_responds(
        &mut edge,
        1010,
        last_exchange(&outputs),
        ChangeOutcome::Claimed,
    );
    let exchange = last_exchange(&outputs);
    let permitted = |edge: &mut EdgeNode, permit: Permit| deliver(edge, 1300, ADMISSION, permit);
    let has_call = |outputs: &[Output]| {
        outputs
            .iter()
            .any(|output| matches!(output, Output::Call { .. }))
    };
    assert!(
        !has_call(&permitted(
            &mut edge,
            permit(exchange, listed.clone(), 1010)
        )),
        "an expired permit is not used"
    );
    let replaced = Origin {
        instance: "gone".into(),
        ..listed.clone()
    };
    assert!(
        !has_call(&permitted(&mut edge, permit(exchange, replaced, 1290))),
        "an origin that is no longer listed is not called"
    );
    let outputs = permitted(&mut edge, permit(exchange, listed, 1290));
    assert!(has_call(&outputs));
    let outputs = edge.handle(
        millis(1400),
        Input::CallCompleted {
            id: last_exchange(&outputs),
            result: CallOutcome::Failure("cut off".into()),
        },
    );
    assert!(matches!(
        changes_in(&outputs).as_slice(),
        [Change::RecordOutcome(_, None)]
    ));
    let record = last_exchange(&outputs);
    assert!(rejections_in(outputs).is_empty());
    let outputs = ledger_responds(&mut edge, 1410, record, ChangeOutcome::Recorded);
    assert_eq!(
        rejections_in(outputs),
        [(1, 502, "bad_origin_answer".to_string(), RunState::Unknown)]
    );
}
