#[cfg(test)]
mod tests;

use crate::prelude::*;

/// Decides who shall hold each assignment. An assignment with a holder is first revoked;
/// only when that has settled (every live edge knows, or has fenced itself)
/// is it granted again, under a higher epoch.
pub struct AssignmentPlan<'a> {
    pub rows: &'a BTreeMap<String, Row>,
    pub settled: u64,
    pub live: &'a [SessionInfo],
    pub departed: &'a dyn Fn(Peer) -> bool,
    /// Its process is known to have ended: it cannot come back, so what it held
    /// needs no revoking.
    pub ended: &'a dyn Fn(Peer) -> bool,
    /// Whether a control node is on the same machine: its loss would take both.
    pub on_control_host: &'a dyn Fn(&SessionInfo) -> bool,
    /// Not all sessions are known yet: only what the ended left is given out.
    pub sessions_incomplete: bool,
}

/// Assignments taken from live holders at a time, so that a join does not empty
/// the whole ring at once.
const MAX_CONCURRENT_MOVES: usize = 64;
/// So much stronger must one beside a control node be to have an admission controller as often.
const CONTROL_HOST_WEIGHT_DIVISOR: u32 = 4;

impl AssignmentPlan<'_> {
    /// The rows to write now.
    pub fn next(&self, assignments: &[String]) -> Vec<(String, Assignment)> {
        let mut moves = self
            .rows
            .values()
            .filter(|row| matches!(&row.value, Value::Assignment(assignment) if assignment.owner.is_none()))
            .count();
        let mut out = Vec::new();
        for name in assignments {
            let want = self.preferred_owner(name);
            let known = self.rows.get(name).map(|row| (row.version, &row.value));
            match known {
                Some((
                    version,
                    Value::Assignment(Assignment {
                        owner: None,
                        previous_owner: last,
                        epoch,
                    }),
                )) => {
                    if want.is_some() && self.settled >= version && !self.sessions_incomplete {
                        out.push((
                            name.clone(),
                            Assignment {
                                owner: want,
                                previous_owner: *last,
                                epoch: epoch + 1,
                            },
                        ));
                    }
                }
                Some((
                    _,
                    Value::Assignment(Assignment {
                        owner: Some(holder),
                        epoch,
                        ..
                    }),
                )) => {
                    if want.is_some() && (self.ended)(*holder) {
                        out.push((
                            name.clone(),
                            Assignment {
                                owner: want,
                                previous_owner: None,
                                epoch: epoch + 1,
                            },
                        ));
                        continue;
                    }
                    if self.sessions_incomplete {
                        continue;
                    }
                    let gone = (self.departed)(*holder);
                    let leaves = self
                        .live
                        .iter()
                        .any(|seen| seen.peer == *holder && seen.draining);
                    let better =
                        name.starts_with("cache/") && want.is_some_and(|peer| peer != *holder);
                    let may_move = want.is_some() && moves < MAX_CONCURRENT_MOVES;
                    if gone || (leaves && want.is_some()) || (better && may_move) {
                        moves += 1;
                        let last = (!gone).then_some(*holder);
                        out.push((
                            name.clone(),
                            Assignment {
                                owner: None,
                                previous_owner: last,
                                epoch: epoch + 1,
                            },
                        ));
                    }
                }
                _ => {
                    if want.is_some() && !self.sessions_incomplete {
                        out.push((
                            name.clone(),
                            Assignment {
                                owner: want,
                                previous_owner: None,
                                epoch: 1,
                            },
                        ));
                    }
                }
            }
        }
        out
    }

    fn preferred_owner(&self, name: &str) -> Option<Peer> {
        let near = |seen: &&SessionInfo| assignment_ring(name).is_none_or(|ring| ring == seen.ring);
        let able = self.live.iter().filter(|seen| !seen.draining).filter(near);
        // A copy goes from its one owner to every edge that is asked for it, so
        // the narrow links own next to nothing where wide ones are there. An admission controller
        // is one node's work: the strong ones have it, beside a control node
        // only where others are much weaker.
        let strength = |seen: &SessionInfo| match assignment_ring(name) {
            Some(_) => seen.weight.saturating_pow(2),
            None if (self.on_control_host)(seen) => (seen.weight / CONTROL_HOST_WEIGHT_DIVISOR)
                .max(1)
                .saturating_pow(3),
            None => seen.weight.saturating_pow(3),
        };
        let far = |seen: &SessionInfo| seen.peer.distance(name, strength(seen));
        able.min_by(|one, other| {
            far(one)
                .total_cmp(&far(other))
                .then(one.peer.incarnation.cmp(&other.peer.incarnation))
        })
        .map(|seen| seen.peer)
    }
}
