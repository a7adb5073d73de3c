#[cfg(test)]
mod tests;

use crate::prelude::*;

/// The rules of operations, over the leader of their partition. Each answer comes
/// with the version that must be on a majority before it is given.
pub struct Ledger;

impl Ledger {
    pub fn claim(leader: &mut PartitionLeader, claim: Claim) -> (u64, ChangeOutcome) {
        if let Some((version, known)) = Ledger::find(leader, &claim) {
            let own = (known.claimant, known.request) == (claim.claimant, claim.request);
            match known.state {
                OperationState::Running if own => return (version, ChangeOutcome::Claimed),
                // The request gave up before this claim came through.
                OperationState::Released if own => return (version, ChangeOutcome::Released),
                OperationState::Released => {}
                state => {
                    return (
                        version,
                        ChangeOutcome::AlreadyClaimed {
                            same: known.fingerprint == claim.fingerprint,
                            state,
                        },
                    );
                }
            }
        }
        (
            Ledger::put(leader, claim, OperationState::Running),
            ChangeOutcome::Claimed,
        )
    }

    /// Ends a claim. A released one leaves its mark even where no claim was
    /// met, so that a claim still under way finds it given up.
    pub fn finish(
        leader: &mut PartitionLeader,
        claim: Claim,
        state: OperationState,
    ) -> (u64, ChangeOutcome) {
        let release = state == OperationState::Released;
        let told = if release {
            ChangeOutcome::Released
        } else {
            ChangeOutcome::Recorded
        };
        if let Some((version, known)) = Ledger::find(leader, &claim) {
            let own = (known.claimant, known.request) == (claim.claimant, claim.request);
            let open = matches!(
                known.state,
                OperationState::Running | OperationState::Unknown
            );
            if known.state == state && own {
                return (version, told);
            }
            if !own && release {
                return (version, told); // Nothing of this request is held.
            }
            if !own && known.state != OperationState::Released || own && !open {
                return (version, ChangeOutcome::Unknown);
            }
        }
        (Ledger::put(leader, claim, state), told)
    }

    /// Whether it is known what came of an operation. A released claim tells
    /// only that this one did not run: an earlier one may have.
    pub fn is_decided(leader: &PartitionLeader, claim: &Claim) -> bool {
        Ledger::find(leader, claim)
            .is_some_and(|(_, known)| known.state != OperationState::Released)
    }

    fn find(leader: &PartitionLeader, claim: &Claim) -> Option<(u64, Operation)> {
        match leader.rows.get(&claim.operation) {
            Some(Row {
                version,
                value: Value::Operation(known),
            }) => Some((*version, known.clone())),
            _ => None,
        }
    }

    fn put(leader: &mut PartitionLeader, claim: Claim, state: OperationState) -> u64 {
        let Claim {
            operation,
            fingerprint: print,
            claimant: by,
            request,
        } = claim;
        leader.put(
            operation,
            Value::Operation(Operation {
                fingerprint: print,
                claimant: by,
                request,
                state,
            }),
        )
    }
}
