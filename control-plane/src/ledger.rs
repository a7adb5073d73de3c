//! Rules of the operation ledger: claims, their completion, and the outcome of retries.

#[cfg(test)]
mod tests;

use crate::prelude::*;

/// Rules for operations, applied by the leader of their partition. Each outcome is returned with the version that must
/// be committed before it is sent.
pub struct Ledger;

/// The row of an operation key.
struct OperationRow {
    version: u64,
    operation: Operation,
    /// Requests other than the operation's own that released the key.
    released: ReleasedRequests,
}

impl OperationRow {
    fn is_claimed_by(&self, claim: &Claim) -> bool {
        (self.operation.claimant, self.operation.request) == (claim.claimant, claim.request)
    }

    /// Returns true if the request released the key, so that it has ended.
    fn is_released_by(&self, claim: &Claim) -> bool {
        self.released.contains(claim.claimant, claim.request)
            || self.is_claimed_by(claim) && self.operation.state == OperationState::Released
    }

    /// Returns the released requests for the row of a later claim.
    fn into_released(mut self) -> ReleasedRequests {
        if self.operation.state == OperationState::Released {
            let Operation {
                claimant, request, ..
            } = self.operation;
            self.released.remember(claimant, request);
        }
        self.released
    }
}

impl Ledger {
    /// Claims an operation for a request, unless it is already claimed, or the request was given up before this claim
    /// arrived.
    pub fn claim(leader: &mut PartitionLeader, claim: Claim) -> (u64, ChangeOutcome) {
        let Some(row) = Ledger::find(leader, &claim) else {
            return Ledger::begin(leader, claim, ReleasedRequests::default());
        };
        if row.is_released_by(&claim) {
            return (row.version, ChangeOutcome::Released);
        }
        let is_own = row.is_claimed_by(&claim);
        match row.operation.state {
            OperationState::Running if is_own => (row.version, ChangeOutcome::Claimed),
            OperationState::Released => Ledger::begin(leader, claim, row.into_released()),
            state => {
                let same = row.operation.fingerprint == claim.fingerprint;
                (row.version, ChangeOutcome::AlreadyClaimed { same, state })
            }
        }
    }

    fn begin(
        leader: &mut PartitionLeader,
        claim: Claim,
        released: ReleasedRequests,
    ) -> (u64, ChangeOutcome) {
        let version = Ledger::put(leader, claim, OperationState::Running, released);
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
        let Some(row) = Ledger::find(leader, &claim) else {
            let released = ReleasedRequests::default();
            return (Ledger::put(leader, claim, state, released), outcome);
        };
        let is_own = row.is_claimed_by(&claim);
        if is_own && row.operation.state == state {
            return (row.version, outcome);
        }
        if !is_own && is_release {
            return (Ledger::release_beside(leader, claim, row), outcome);
        }
        let is_open = match row.operation.state {
            OperationState::Running | OperationState::Unknown => is_own,
            OperationState::Released => !is_own,
            OperationState::Done(_) => false,
        };
        if !is_open {
            return (row.version, ChangeOutcome::Unknown);
        }
        (
            Ledger::put(leader, claim, state, row.into_released()),
            outcome,
        )
    }

    /// Remembers the release by a request that does not hold the claim. It does not affect the claim. Once the outcome
    /// is known, no claim is accepted any more, and nothing has to be remembered.
    fn release_beside(leader: &mut PartitionLeader, claim: Claim, row: OperationRow) -> u64 {
        let is_done = matches!(row.operation.state, OperationState::Done(_));
        if is_done || row.is_released_by(&claim) {
            return row.version;
        }
        let mut released = row.released;
        released.remember(claim.claimant, claim.request);
        let value = Value::of_operation(row.operation, released);
        leader.put(claim.operation, value)
    }

    /// Returns true if the outcome of an operation is decided or the operation is running. A released claim shows only
    /// that this request did not run it: an earlier one may have.
    pub fn is_decided(leader: &PartitionLeader, claim: &Claim) -> bool {
        Ledger::find(leader, claim)
            .is_some_and(|row| row.operation.state != OperationState::Released)
    }

    fn find(leader: &PartitionLeader, claim: &Claim) -> Option<OperationRow> {
        let row = leader.rows.get(&claim.operation)?;
        Some(OperationRow {
            version: row.version,
            operation: row.value.operation()?.clone(),
            released: row.value.released_requests(),
        })
    }

    fn put(
        leader: &mut PartitionLeader,
        claim: Claim,
        state: OperationState,
        released: ReleasedRequests,
    ) -> u64 {
        let released = match state {
            OperationState::Done(_) => ReleasedRequests::default(),
            _ => released,
        };
        let operation = Operation {
            fingerprint: claim.fingerprint,
            claimant: claim.claimant,
            request: claim.request,
            state,
        };
        leader.put(claim.operation, Value::of_operation(operation, released))
    }
}
