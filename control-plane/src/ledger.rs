//! Rules of the operation ledger: claims, their completion, and the outcome of retries.

#[cfg(test)]
mod tests;

use crate::prelude::*;

/// Rules for operations, applied by the leader of their partition. Each outcome is returned with the version that must
/// be committed before it is sent.
pub struct Ledger;

impl Ledger {
    /// Claims an operation for a request, unless it is already claimed.
    pub fn claim(leader: &mut PartitionLeader, claim: Claim) -> (u64, ChangeOutcome) {
        let Some((version, operation)) = Ledger::find(leader, &claim) else {
            return Ledger::begin(leader, claim);
        };
        let is_own = is_claimed_by(&operation, &claim);
        match operation.state {
            OperationState::Running if is_own => (version, ChangeOutcome::Claimed),
            // The request was given up before this claim arrived.
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

    /// Completes a claim. A release writes a row even if no claim was received, so that a claim still in flight finds
    /// it released.
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
            // A release does not affect a claim that another request owns.
            let releases_other_claim = !is_own && is_release;
            if is_retry || releases_other_claim {
                return (version, outcome);
            }
            if !is_own && !is_released || is_own && !is_open {
                return (version, ChangeOutcome::Unknown);
            }
        }
        (Ledger::put(leader, claim, state), outcome)
    }

    /// Returns true if the outcome of an operation is decided or the operation is running. A released claim shows only
    /// that this request did not run it: an earlier one may have.
    pub fn is_decided(leader: &PartitionLeader, claim: &Claim) -> bool {
        Ledger::find(leader, claim)
            .is_some_and(|(_, operation)| operation.state != OperationState::Released)
    }

    /// Returns the operation's row, with its version.
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
