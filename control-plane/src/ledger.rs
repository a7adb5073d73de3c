use crate::prelude::*;

/// The rules of operations, over the leader of their slice. Each answer comes
/// with the version that must be on a majority before it is given.
pub struct Ledger;

impl Ledger {
    pub fn claim(leader: &mut PartitionLeader, claim: Claim) -> (u64, Outcome) {
        if let Some((version, known)) = Ledger::known(leader, &claim) {
            let own = (known.by, known.request) == (claim.by, claim.request);
            match known.state {
                OperationState::Running if own => return (version, Outcome::Claimed),
                // The request gave up before this claim came through.
                OperationState::Released if own => return (version, Outcome::Released),
                OperationState::Released => {}
                state => {
                    return (
                        version,
                        Outcome::Taken {
                            same: known.print == claim.print,
                            state,
                        },
                    );
                }
            }
        }
        (
            Ledger::put(leader, claim, OperationState::Running),
            Outcome::Claimed,
        )
    }

    /// Ends a claim. A released one leaves its mark even where no claim was
    /// met, so that a claim still under way finds it given up.
    pub fn finish(
        leader: &mut PartitionLeader,
        claim: Claim,
        state: OperationState,
    ) -> (u64, Outcome) {
        let release = state == OperationState::Released;
        let told = if release {
            Outcome::Released
        } else {
            Outcome::Recorded
        };
        if let Some((version, known)) = Ledger::known(leader, &claim) {
            let own = (known.by, known.request) == (claim.by, claim.request);
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
                return (version, Outcome::Lost);
            }
        }
        (Ledger::put(leader, claim, state), told)
    }

    /// Whether it is known what came of an operation. A released claim tells
    /// only that this one did not run: an earlier one may have.
    pub fn tells(leader: &PartitionLeader, claim: &Claim) -> bool {
        Ledger::known(leader, claim)
            .is_some_and(|(_, known)| known.state != OperationState::Released)
    }

    fn known(leader: &PartitionLeader, claim: &Claim) -> Option<(u64, Operation)> {
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
            print,
            by,
            request,
        } = claim;
        leader.put(
            operation,
            Value::Operation(Operation {
                print,
                by,
                request,
                state,
            }),
        )
    }
}

#[cfg(test)]
mod tests {
    use crate::prelude::*;

    fn claim(request: u64, print: u8) -> Claim {
        let by = Peer::new(SocketAddr::from(([127, 0, 0, 1], 1)), 1);
        Claim {
            operation: "s/k".into(),
            print: [print; 32],
            by,
            request,
        }
    }

    fn done() -> OperationState {
        OperationState::Done(Arc::new(Reply {
            status: 200,
            ..Reply::default()
        }))
    }

    fn taken(same: bool, state: OperationState) -> Outcome {
        Outcome::Taken { same, state }
    }

    #[test]
    fn a_key_is_held_by_one_errand_and_a_repeat_hears_how_it_stands() {
        let mut leader = PartitionLeader::new(NEWS, 3, 3, 0);
        assert_eq!(
            Ledger::claim(&mut leader, claim(1, 0)),
            (1, Outcome::Claimed)
        );
        assert_eq!(
            Ledger::claim(&mut leader, claim(1, 0)),
            (1, Outcome::Claimed),
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
            Outcome::Lost,
            "it never held it"
        );
        assert_eq!(
            Ledger::finish(&mut leader, claim(1, 0), done()),
            (2, Outcome::Recorded)
        );
        assert_eq!(
            Ledger::claim(&mut leader, claim(2, 0)),
            (2, taken(true, done()))
        );
        assert_eq!(
            Ledger::finish(&mut leader, claim(1, 0), OperationState::Released).1,
            Outcome::Lost,
            "it ran"
        );
    }

    #[test]
    fn a_release_frees_the_key_and_is_met_by_a_claim_that_comes_after_it() {
        let mut leader = PartitionLeader::new(NEWS, 3, 3, 0);
        assert_eq!(
            Ledger::finish(&mut leader, claim(1, 0), OperationState::Released).1,
            Outcome::Released
        );
        assert_eq!(
            Ledger::claim(&mut leader, claim(1, 0)).1,
            Outcome::Released,
            "the late claim of who gave up"
        );
        assert_eq!(Ledger::claim(&mut leader, claim(2, 0)).1, Outcome::Claimed);
        assert_eq!(
            Ledger::finish(&mut leader, claim(1, 0), OperationState::Released).1,
            Outcome::Released
        );
        assert_eq!(
            Ledger::claim(&mut leader, claim(3, 0)).1,
            taken(true, OperationState::Running),
            "another's release frees nothing"
        );
    }

    #[test]
    fn unknown_is_final_but_for_the_claim_that_was_held() {
        let mut leader = PartitionLeader::new(NEWS, 3, 3, 0);
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
            Outcome::Recorded
        );
        assert_eq!(
            Ledger::claim(&mut leader, claim(2, 0)).1,
            taken(true, done())
        );
    }
}
