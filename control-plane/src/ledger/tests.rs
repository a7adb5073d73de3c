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
