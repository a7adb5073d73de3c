//! Tests of `ledger`.
use crate::prelude::*;

fn claim(request: u64, digest: u8) -> Claim {
    let claimant = Peer::new(SocketAddr::from(([127, 0, 0, 1], 1)), 1);
    Claim {
        operation: "s/k".into(),
        fingerprint: [digest; 32],
        claimant,
        request,
    }
}

fn done() -> OperationState {
    OperationState::Done(Arc::new(Reply {
        status: 200,
        ..Reply::default()
    }))
}

fn already_claimed(same: bool, state: OperationState) -> ChangeOutcome {
    ChangeOutcome::AlreadyClaimed { same, state }
}

#[test]
fn key_is_claimed_once_and_retry_gets_its_state() {
    let mut leader = PartitionLeader::new(PUBLISHED_PARTITIONS, 3, 3, 0);
    assert_eq!(
        Ledger::claim(&mut leader, claim(1, 0)),
        (1, ChangeOutcome::Claimed)
    );
    assert_eq!(
        Ledger::claim(&mut leader, claim(1, 0)),
        (1, ChangeOutcome::Claimed),
        "a duplicate claim"
    );
    assert_eq!(
        Ledger::claim(&mut leader, claim(2, 0)).1,
        already_claimed(true, OperationState::Running)
    );
    assert_eq!(
        Ledger::claim(&mut leader, claim(3, 9)).1,
        already_claimed(false, OperationState::Running)
    );
    assert_eq!(
        Ledger::finish(&mut leader, claim(2, 0), done()).1,
        ChangeOutcome::Unknown,
        "the request never held the claim"
    );
    assert_eq!(
        Ledger::finish(&mut leader, claim(1, 0), done()),
        (2, ChangeOutcome::Recorded)
    );
    assert_eq!(
        Ledger::claim(&mut leader, claim(2, 0)),
        (2, already_claimed(true, done()))
    );
    assert_eq!(
        Ledger::finish(&mut leader, claim(1, 0), OperationState::Released).1,
        ChangeOutcome::Unknown,
        "the operation has run"
    );
}

#[test]
fn release_frees_key_and_rejects_late_claim() {
    let mut leader = PartitionLeader::new(PUBLISHED_PARTITIONS, 3, 3, 0);
    assert_eq!(
        Ledger::finish(&mut leader, claim(1, 0), OperationState::Released).1,
        ChangeOutcome::Released
    );
    assert_eq!(
        Ledger::claim(&mut leader, claim(1, 0)).1,
        ChangeOutcome::Released,
        "a late claim of a released request"
    );
    assert_eq!(
        Ledger::claim(&mut leader, claim(2, 0)).1,
        ChangeOutcome::Claimed
    );
    assert_eq!(
        Ledger::finish(&mut leader, claim(1, 0), OperationState::Released).1,
        ChangeOutcome::Released
    );
    assert_eq!(
        Ledger::claim(&mut leader, claim(3, 0)).1,
        already_claimed(true, OperationState::Running),
        "a release by another request does not release the claim"
    );
}

#[test]
fn unknown_is_final_except_for_its_claimant() {
    let mut leader = PartitionLeader::new(PUBLISHED_PARTITIONS, 3, 3, 0);
    Ledger::claim(&mut leader, claim(1, 0));
    Ledger::finish(&mut leader, claim(1, 0), OperationState::Unknown);
    assert_eq!(
        Ledger::claim(&mut leader, claim(2, 0)).1,
        already_claimed(true, OperationState::Unknown)
    );
    assert_eq!(
        Ledger::claim(&mut leader, claim(1, 0)).1,
        already_claimed(true, OperationState::Unknown),
        "its own request cannot claim it either"
    );
    assert_eq!(
        Ledger::finish(&mut leader, claim(1, 0), done()).1,
        ChangeOutcome::Recorded
    );
    assert_eq!(
        Ledger::claim(&mut leader, claim(2, 0)).1,
        already_claimed(true, done())
    );
}

/// Regression (review/6): the mark of a released request was overwritten by that of the next one. A claim of the first
/// request that arrived after both was accepted, and the key stayed claimed for a request that had ended.
#[test]
fn late_claim_of_any_released_request_is_rejected() {
    let mut leader = PartitionLeader::new(PUBLISHED_PARTITIONS, 3, 3, 0);
    let requests = 1..=RELEASED_REQUESTS as u64;
    for request in requests.clone() {
        assert_eq!(
            Ledger::claim(&mut leader, claim(request, 0)).1,
            ChangeOutcome::Claimed
        );
        Ledger::finish(&mut leader, claim(request, 0), OperationState::Released);
    }
    for request in requests {
        assert_eq!(
            Ledger::claim(&mut leader, claim(request, 0)).1,
            ChangeOutcome::Released,
            "request {request}"
        );
    }
    let next = claim(100, 0);
    assert_eq!(
        Ledger::claim(&mut leader, next.clone()).1,
        ChangeOutcome::Claimed
    );
    assert_eq!(
        Ledger::claim(&mut leader, claim(1, 0)).1,
        ChangeOutcome::Released,
        "also while another request runs"
    );
    Ledger::finish(&mut leader, next, done());
    assert_eq!(
        Ledger::claim(&mut leader, claim(101, 0)).1,
        already_claimed(true, done())
    );
}

/// Regression: a release that arrived while another request ran, or after its release, left no mark, so that a later
/// claim of the released request was accepted.
#[test]
fn release_beside_another_claim_rejects_late_claim() {
    for other_state in [
        OperationState::Running,
        OperationState::Released,
        OperationState::Unknown,
    ] {
        let mut leader = PartitionLeader::new(PUBLISHED_PARTITIONS, 3, 3, 0);
        Ledger::claim(&mut leader, claim(2, 0));
        Ledger::finish(&mut leader, claim(2, 0), other_state.clone());
        for _ in 0..2 {
            assert_eq!(
                Ledger::finish(&mut leader, claim(1, 0), OperationState::Released).1,
                ChangeOutcome::Released
            );
        }
        Ledger::finish(&mut leader, claim(2, 0), OperationState::Released);
        assert_eq!(
            Ledger::claim(&mut leader, claim(1, 0)).1,
            ChangeOutcome::Released,
            "{other_state:?}"
        );
    }
}

#[test]
fn marks_of_released_requests_are_bounded() {
    let mut leader = PartitionLeader::new(PUBLISHED_PARTITIONS, 3, 3, 0);
    for request in 0..4 * RELEASED_REQUESTS as u64 {
        Ledger::claim(&mut leader, claim(request, 0));
        Ledger::finish(&mut leader, claim(request, 0), OperationState::Released);
    }
    let bytes = bincode::serialized_size(&leader.rows["s/k"]).unwrap();
    assert!(bytes <= 160 + 64 * RELEASED_REQUESTS as u64, "{bytes}");
}
