//! Tests of `update_replies`.
use crate::prelude::*;

fn edge(port: u16) -> Peer {
    Peer::new(SocketAddr::from(([127, 0, 0, 1], port)), 1)
}

fn at(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

/// Publishes this number of further purges.
fn publish(replica: &mut Replica, count: u64) {
    let from = replica.partition(PURGES_PARTITION).state.version;
    let to = from + count;
    let row = |version: u64| {
        let prefix = Some(format!("/{version:0100}"));
        let purge = Purge {
            prefix,
            ..Purge::default()
        };
        let value = Value::Purge {
            purge,
            change: version,
        };
        (format!("purge/{version}"), Row { version, value })
    };
    let request = AppendRequest {
        partition: PURGES_PARTITION,
        epoch: 1,
        membership_version: 0,
        round: to,
        full_state: from == 0,
        after_version: from,
        to_version: to,
        rows: (from + 1..=to).map(row).collect(),
        removed_keys: vec![],
        published: to,
        base: None,
    };
    replica.apply(&Record::Appended { request });
}

/// Returns the reply to an edge with this version of the purges, which must be what the edge lacks.
fn expect_reply(
    replies: &mut UpdateReplies,
    ms: u64,
    to: Peer,
    known: u64,
    from: &Replica,
) -> SharedUpdates {
    let vector = [0, known, 0, 0, 0];
    let updates = replies
        .reply(at(ms), to, &vector, from)
        .expect("a reply is sent");
    assert_eq!(updates.to_vec(), from.updates(&vector));
    updates
}

#[test]
fn equal_versions_share_encoded_updates_until_next_publish() {
    let mut replica = Replica::blank(1);
    let mut replies = UpdateReplies::default();
    publish(&mut replica, 400);
    let first = expect_reply(&mut replies, 0, edge(1), 0, &replica);
    let second = expect_reply(&mut replies, 0, edge(2), 0, &replica);
    assert!(Arc::ptr_eq(&first.encoded(), &second.encoded()));
    let behind = expect_reply(&mut replies, 0, edge(3), 399, &replica);
    assert_eq!(behind[0].rows.len(), 1, "only the row that the edge lacks");
    assert!(expect_reply(&mut replies, 0, edge(4), 400, &replica).is_empty());
    publish(&mut replica, 1);
    let later = expect_reply(&mut replies, 0, edge(5), 0, &replica);
    assert_eq!(later[0].rows.len(), 401);
}

#[test]
fn replaced_partition_state_invalidates_cached_reply() {
    let mut replica = Replica::blank(1);
    let mut replies = UpdateReplies::default();
    publish(&mut replica, 3);
    expect_reply(&mut replies, 0, edge(1), 0, &replica);
    let mut other = Replica::blank(2);
    publish(&mut other, 3);
    other.partitions[usize::from(PURGES_PARTITION)].state.epoch = 2;
    other.partitions[usize::from(PURGES_PARTITION)]
        .published_rows
        .clear();
    expect_reply(&mut replies, 0, edge(1), 0, &other);
}

#[test]
fn large_reply_in_flight_is_resent_after_backoff() {
    let mut replica = Replica::blank(1);
    let mut replies = UpdateReplies::default();
    publish(&mut replica, 2_000);
    let updates = expect_reply(&mut replies, 0, edge(1), 0, &replica);
    let bytes = updates.encoded().len() as u64;
    assert!(bytes > 200_000);
    let resend_delay = bytes / 500 + 251;
    for ms in [1, 200, resend_delay - 2] {
        let vector = [0; 5];
        assert_eq!(replies.reply(at(ms), edge(1), &vector, &replica), None);
    }
    expect_reply(&mut replies, 201, edge(2), 0, &replica);
    // Another run of the edge, and the edge with some of the updates, are sent theirs.
    let restarted = Peer::new(edge(1).address, 2);
    expect_reply(&mut replies, 202, restarted, 0, &replica);
    expect_reply(&mut replies, 203, edge(1), 1_900, &replica);
    expect_reply(&mut replies, 204, edge(1), 0, &replica);
    expect_reply(&mut replies, 204 + resend_delay, edge(1), 0, &replica);
}

#[test]
fn small_reply_is_sent_with_every_renewal() {
    let mut replica = Replica::blank(1);
    let mut replies = UpdateReplies::default();
    publish(&mut replica, 2);
    for ms in 0..3 {
        assert_eq!(
            expect_reply(&mut replies, ms, edge(1), 0, &replica).len(),
            1
        );
    }
}
