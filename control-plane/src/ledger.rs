//! The rules of the operation ledger: claims, their ends, and what a retry finds.

#[cfg(test)]
mod tests;

use crate::prelude::*;

/// The rules of operations, over the leader of their partition. Each outcome comes with the version that must be
/// committed before it is sent.
pub struct Ledger;

impl Ledger {
    /// Claims an operation for a request, unless it is claimed already.
    pub fn claim(leader: &mut PartitionLeader, claim: Claim) -> (u64, ChangeOutcome) {
        let Some((version, operation)) = Ledger::find(leader, &claim) else {
            return Ledger::begin(leader, claim);
        };
        let is_own = is_claimed_by(&operation, &claim);
        match operation.state {
            OperationState::Running if is_own => (version, ChangeOutcome::Claimed),
            // The request gave up before this claim arrived.
            OperationState::Released if is_own => (version, ChangeOutcome::Released),
            OperationState::Released => Ledger::begin(leader, claim),
            state => {
                let same = operation.fingerprint == claim.fingerprint;
                (version, ChangeOutcome::AlreadyClaimed { same, state })
            }
        }
    }

    fn begin(leader: &mut PartitionLeader, claim: Claim) -> (u64, ChangeOutcome) {
        let version = Ledger::put(leader, claim, OperationState::Running);
        (version, ChangeOutcome::Claimed)
    }

    /// Ends a claim. A released one leaves its row even where no claim was received, so that a claim still in
    /// flight finds it given up.
    pub fn finish(
        leader: &mut PartitionLeader,
        claim: Claim,
        state: OperationState,
    ) -> (u64, ChangeOutcome) {
        let is_release = state == OperationState::Released;
        let outcome = if is_release {
            ChangeOutcome::Released
        } else {
            ChangeOutcome::Recorded
        };
        if let Some((version, operation)) = Ledger::find(leader, &claim) {
            let is_own = is_claimed_by(&operation, &claim);
            let is_released = operation.state == OperationState::Released;
            let is_open = matches!(
                operation.state,
                OperationState::Running | OperationState::Unknown
            );
            let is_retry = is_own && operation.state == state;
            // A release of a claim that another request owns frees nothing.
            let frees_nothing = !is_own && is_release;
            if is_retry || frees_nothing {
                return (version, outcome);
            }
            if !is_own && !is_released || is_own && !is_open {
                return (version, ChangeOutcome::Unknown);
            }
        }
        (Ledger::put(leader, claim, state), outcome)
    }

    /// Whether the outcome of an operation is decided or under way. A released claim shows only that this request
    /// did not run it: an earlier one may have.
    pub fn is_decided(leader: &PartitionLeader, claim: &Claim) -> bool {
        Ledger::find(leader, claim)
            .is_some_and(|(_, operation)| operation.state != OperationState::Released)
    }

    /// The operation's row, with its version.
    fn find(leader: &PartitionLeader, claim: &Claim) -> Option<(u64, Operation)> {
        match leader.rows.get(&claim.operation) {
            Some(Row {
                version,
                value: Value::Operation(operation),
            }) => Some((*version, operation.clone())),
            _ => None,
        }
    }

    fn put(leader: &mut PartitionLeader, claim: Claim, state: OperationState) -> u64 {
        let operation = Operation {
            fingerprint: claim.fingerprint,
            claimant: claim.claimant,
            request: claim.request,
            state,
        };
        leader.put(claim.operation, Value::Operation(operation))
    }
}

fn is_claimed_by(operation: &Operation, claim: &Claim) -> bool {
    (operation.claimant, operation.request) == (claim.claimant, claim.request)
}
