//! Tests of the retention of finished operations.
use super::*;

/// Operations with a key per second, in the largest deployments.
const OPERATIONS_PER_SECOND: u64 = 180;
/// Bytes of each response, in the largest deployments.
const RESPONSE_BYTES: usize = 1_500;

fn finished(number: u64) -> Value {
    let reply = Reply {
        status: 200,
        body: Arc::new(vec![0; RESPONSE_BYTES]),
        ..Reply::default()
    };
    Value::Operation(Operation {
        fingerprint: Default::default(),
        claimant: Peer::new(([127, 0, 0, 1], 1).into(), 1),
        request: number,
        state: OperationState::Done(Arc::new(reply)),
    })
}

/// Regression: outcomes were retained for 180 s regardless of the deployment's retention setting, so control nodes
/// exceeded their memory limit after 200 s of ordinary traffic.
#[test]
fn finished_operations_are_dropped_after_configured_retention() {
    let retention = Duration::from_secs(90);
    let mut operations = FinishedOperations {
        retention,
        ..FinishedOperations::default()
    };
    let mut leader = PartitionLeader::new(PUBLISHED_PARTITIONS, 1, 1, 0);
    let mut max_rows = 0;
    for second in 0..200 {
        for number in 0..OPERATIONS_PER_SECOND {
            let number = second * OPERATIONS_PER_SECOND + number;
            leader.put(format!("k-{number}"), finished(number));
        }
        let now = Duration::from_secs(second);
        let expired = operations.take_expired(now, &leader);
        for key in &expired {
            leader.remove_row(key);
        }
        if now < retention {
            assert!(expired.is_empty(), "dropped at {now:?}");
        }
        max_rows = max_rows.max(leader.rows.len() as u64);
    }
    let bound = OPERATIONS_PER_SECOND * (retention.as_secs() + SWEEP_INTERVAL.as_secs());
    assert!(max_rows <= bound, "{max_rows} operations, bound {bound}");
}
