//! Choice of the edge that owns each assignment: cache partitions and admission controllers.

#[cfg(test)]
mod tests;

use crate::prelude::*;

/// Maximum number of assignments that may be without an owner at a time because they move to a preferred edge, so that
/// a joining edge does not empty the whole ring at once.
const MAX_CONCURRENT_MOVES: usize = 64;
/// Divisor of the weight of an edge on a control node's host for admission controllers.
const CONTROL_HOST_WEIGHT_DIVISOR: u32 = 4;

/// Decides which edge owns each assignment. An assignment with an owner is first revoked. Only when the revocation has
/// settled (every live edge knows it, or has fenced itself) is the assignment granted again, under a higher epoch.
pub struct AssignmentPlan<'a> {
    /// Rows of the partition of assignments.
    pub rows: &'a BTreeMap<String, Row>,
    /// Version that has settled.
    pub settled: u64,
    /// Edges that are live.
    pub live: &'a [SessionInfo],
    /// Returns true if a quorum reports that an edge has no session.
    pub has_departed: &'a dyn Fn(Peer) -> bool,
    /// Returns true if an edge's process is known to have ended: it cannot return, so its assignments need no
    /// revocation.
    pub has_ended: &'a dyn Fn(Peer) -> bool,
    /// Returns true if a control node is on the same host, so that both would be lost together.
    pub is_on_control_host: &'a dyn Fn(&SessionInfo) -> bool,
    /// True if not all sessions are known yet: only the assignments of ended edges are granted.
    pub sessions_incomplete: bool,
}

impl AssignmentPlan<'_> {
    /// Returns the rows to write now, of these assignments.
    pub fn next(&self, assignments: &[String]) -> Vec<(String, Assignment)> {
        let mut moves = self.unowned_count();
        let mut planned = Vec::new();
        for name in assignments {
            let preferred = self.preferred_owner(name);
            let next = match self.rows.get(name).map(|row| (row.version, &row.value)) {
                Some((version, Value::Assignment(current))) => match current.owner {
                    None => self.grant(current, version, preferred),
                    Some(owner) => self.reassign(name, current, owner, preferred, &mut moves),
                },
                _ => self.first_grant(preferred),
            };
            planned.extend(next.map(|assignment| (name.clone(), assignment)));
        }
        planned
    }

    fn unowned_count(&self) -> usize {
        let is_unowned = |row: &&Row| matches!(&row.value, Value::Assignment(assignment) if assignment.owner.is_none());
        self.rows.values().filter(is_unowned).count()
    }

    /// Returns the first grant of an assignment that has no row yet.
    fn first_grant(&self, preferred: Option<Peer>) -> Option<Assignment> {
        preferred
            .filter(|_| !self.sessions_incomplete)
            .map(|owner| Assignment {
                owner: Some(owner),
                previous_owner: None,
                epoch: 1,
            })
    }

    /// Returns the grant of a revoked assignment, once its revocation with this version has settled.
    fn grant(
        &self,
        revoked: &Assignment,
        version: u64,
        preferred: Option<Peer>,
    ) -> Option<Assignment> {
        let may_grant = self.settled >= version && !self.sessions_incomplete;
        preferred.filter(|_| may_grant).map(|owner| Assignment {
            owner: Some(owner),
            previous_owner: revoked.previous_owner,
            epoch: revoked.epoch + 1,
        })
    }

    /// Returns the grant of an ended owner's assignment to another edge, or the revocation of an assignment that its
    /// owner must give up.
    fn reassign(
        &self,
        name: &str,
        current: &Assignment,
        owner: Peer,
        preferred: Option<Peer>,
        moves: &mut usize,
    ) -> Option<Assignment> {
        if preferred.is_some() && (self.has_ended)(owner) {
            return Some(Assignment {
                owner: preferred,
                previous_owner: None,
                epoch: current.epoch + 1,
            });
        }
        if self.sessions_incomplete || !self.is_revocation_due(name, owner, preferred, *moves) {
            return None;
        }
        *moves += 1;
        Some(Assignment {
            owner: None,
            previous_owner: Some(owner).filter(|owner| !(self.has_departed)(*owner)),
            epoch: current.epoch + 1,
        })
    }

    fn is_revocation_due(
        &self,
        name: &str,
        owner: Peer,
        preferred: Option<Peer>,
        moves: usize,
    ) -> bool {
        if (self.has_departed)(owner) {
            return true;
        }
        let Some(preferred) = preferred else {
            return false;
        };
        let is_draining = |session: &SessionInfo| session.peer == owner && session.draining;
        let is_cache = name.starts_with("cache/");
        let may_move = is_cache && preferred != owner && moves < MAX_CONCURRENT_MOVES;
        may_move || self.live.iter().any(is_draining)
    }

    /// Returns the nearest live edge by weighted rendezvous hashing.
    fn preferred_owner(&self, name: &str) -> Option<Peer> {
        let ring = assignment_ring(name);
        let is_eligible = |session: &&SessionInfo| {
            !session.draining && ring.is_none_or(|ring| ring == session.ring)
        };
        let distance = |session: &SessionInfo| {
            session
                .peer
                .rendezvous_distance(name, self.weight(ring, session))
        };
        let eligible = self.live.iter().filter(is_eligible);
        eligible
            .min_by(|left, right| {
                distance(left)
                    .total_cmp(&distance(right))
                    .then(left.peer.incarnation.cmp(&right.peer.incarnation))
            })
            .map(|session| session.peer)
    }

    /// Returns the weight of an edge for an assignment. A cached response is sent by its only owner to every edge that
    /// requests it, so edges with narrow links own few cache partitions where others have wide ones. An admission
    /// controller is run by a single node, preferably a strong one, and on a control node's host only if all other
    /// edges are much weaker.
    fn weight(&self, ring: Option<&str>, session: &SessionInfo) -> u32 {
        match ring {
            Some(_) => session.weight.saturating_pow(2),
            None if (self.is_on_control_host)(session) => {
                let reduced = session.weight / CONTROL_HOST_WEIGHT_DIVISOR;
                reduced.max(1).saturating_pow(3)
            }
            None => session.weight.saturating_pow(3),
        }
    }
}
