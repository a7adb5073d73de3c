//! Tests of `replica`.
use crate::prelude::*;

fn append_request(from: u64, to: u64, published: u64) -> AppendRequest {
    let purge = Purge {
        entry: Some(format!("e{to}")),
        ..Purge::default()
    };
    let row = Row {
        version: to,
        value: Value::Purge { purge, change: to },
    };
    let rows = vec![("k".to_string(), row)];
    AppendRequest {
        partition: PURGES_PARTITION,
        epoch: 3,
        membership_version: 0,
        round: 1,
        full_state: from == 0,
        after_version: from,
        to_version: to,
        rows,
        removed_keys: vec![],
        published,
        base: None,
    }
}

#[test]
fn row_is_visible_once_published_despite_newer_row() {
    let mut replica = Replica::blank(1);
    replica.apply(&Record::Appended {
        request: append_request(0, 1, 0),
    });
    assert!(replica.updates(&[0; 4]).is_empty());
    // One append publishes version 1 and replaces its row by version 2.
    replica.apply(&Record::Appended {
        request: append_request(1, 2, 1),
    });
    let updates = replica.updates(&[0; 4]);
    assert_eq!((updates[0].version, updates[0].rows[0].1.version), (1, 1));
    assert!(replica.updates(&[0, 1, 0, 0]).is_empty());
}

/// Regression: a lagging disk reported a row as published that it had never received. The edge missed the revocation of
/// its assignment, and two edges held it.
#[test]
fn overwritten_row_is_not_reported_as_published() {
    let mut replica = Replica::blank(1);
    replica.apply(&Record::Appended {
        request: append_request(0, 1, 1),
    });
    // Rows 2 and 3 were published; row 4 of the same key replaced them.
    replica.apply(&Record::Appended {
        request: append_request(1, 4, 3),
    });
    assert!(
        replica.updates(&[0, 1]).is_empty(),
        "version 3 was not received"
    );
    replica.apply(&Record::Appended {
        request: AppendRequest {
            rows: vec![],
            ..append_request(4, 4, 4)
        },
    });
    let updates = replica.updates(&[0, 1]);
    assert_eq!((updates[0].version, updates[0].rows[0].1.version), (4, 4));
}

#[test]
fn log_replays_to_same_state_and_empty_log_is_blank() {
    let mut replica = Replica::blank(0);
    let records = [
        Record::Incarnation { incarnation: 9 },
        Record::Promise {
            partition: PURGES_PARTITION,
            epoch: 3,
        },
        Record::Appended {
            request: append_request(0, 1, 0),
        },
    ];
    let bytes: Vec<Vec<u8>> = records
        .iter()
        .map(|record| bincode::serialize(record).unwrap())
        .collect();
    records.iter().for_each(|record| replica.apply(record));
    assert_eq!(Replica::replay(&bytes).unwrap(), Some(replica.clone()));
    let snapshot = bincode::serialize(&Record::Snapshot(Box::new(replica.clone()))).unwrap();
    assert_eq!(Replica::replay(&[snapshot]).unwrap(), Some(replica));
    assert_eq!(Replica::replay(&[]).unwrap(), None);
    assert!(Replica::replay(&[vec![250, 1, 2]]).is_err());
}
