//! Tests of `ledger`.
use crate::prelude::*;

fn claim(request: u64, print: u8) -> Claim {
    let by = Peer::new(SocketAddr::from(([127, 0, 0, 1], 1)), 1);
    Claim {
        operation: "s/k".into(),
        fingerprint: [print; 32],
        claimant: by,
        request,
    }
}

fn done() -> OperationState {
    OperationState::Done(Arc::new(Reply {
        status: 200,
        ..Reply::default()
    }))
}

fn taken(same: bool, state: OperationState) -> ChangeOutcome {
    ChangeOutcome::AlreadyClaimed { same, state }
}

#[test]
fn a_key_is_held_by_one_errand_and_a_repeat_hears_how_it_stands() {
    let mut leader = PartitionLeader::new(PUBLISHED_PARTITIONS, 3, 3, 0);
    assert_eq!(
        Ledger::claim(&mut leader, claim(1, 0)),
        (1, ChangeOutcome::Claimed)
    );
    assert_eq!(
        Ledger::claim(&mut leader, claim(1, 0)),
        (1, ChangeOutcome::Claimed),
        "said twice"
    );
    assert_eq!(
        Ledger::claim(&mut leader, claim(2, 0)).1,
        taken(true, OperationState::Running)
    );
    assert_eq!(
        Ledger::claim(&mut leader, claim(3, 9)).1,
        taken(false, OperationState::Running)
    );
    assert_eq!(
        Ledger::finish(&mut leader, claim(2, 0), done()).1,
        ChangeOutcome::Unknown,
        "it never held it"
    );
    assert_eq!(
        Ledger::finish(&mut leader, claim(1, 0), done()),
        (2, ChangeOutcome::Recorded)
    );
    assert_eq!(
        Ledger::claim(&mut leader, claim(2, 0)),
        (2, taken(true, done()))
    );
    assert_eq!(
        Ledger::finish(&mut leader, claim(1, 0), OperationState::Released).1,
        ChangeOutcome::Unknown,
        "it ran"
    );
}

#[test]
fn a_release_frees_the_key_and_is_met_by_a_claim_that_comes_after_it() {
    let mut leader = PartitionLeader::new(PUBLISHED_PARTITIONS, 3, 3, 0);
    assert_eq!(
        Ledger::finish(&mut leader, claim(1, 0), OperationState::Released).1,
        ChangeOutcome::Released
    );
    assert_eq!(
        Ledger::claim(&mut leader, claim(1, 0)).1,
        ChangeOutcome::Released,
        "the late claim of who gave up"
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
        taken(true, OperationState::Running),
        "another's release frees nothing"
    );
}

#[test]
fn unknown_is_final_but_for_the_claim_that_was_held() {
    let mut leader = PartitionLeader::new(PUBLISHED_PARTITIONS, 3, 3, 0);
    Ledger::claim(&mut leader, claim(1, 0));
    Ledger::finish(&mut leader, claim(1, 0), OperationState::Unknown);
    assert_eq!(
        Ledger::claim(&mut leader, claim(2, 0)).1,
        taken(true, OperationState::Unknown)
    );
    assert_eq!(
        Ledger::claim(&mut leader, claim(1, 0)).1,
        taken(true, OperationState::Unknown),
        "nor by its own request"
    );
    assert_eq!(
        Ledger::finish(&mut leader, claim(1, 0), done()).1,
        ChangeOutcome::Recorded
    );
    assert_eq!(
        Ledger::claim(&mut leader, claim(2, 0)).1,
        taken(true, done())
    );
}
