//! Which edge owns each assignment: cache partitions and admission controllers.

#[cfg(test)]
mod tests;

use crate::prelude::*;

/// Owned assignments that may be without an owner at a time because a better one is there, so that a join does not
/// empty the whole ring at once.
const MAX_CONCURRENT_MOVES: usize = 64;
/// The weight of an edge on a control node's host is divided by this where admission controllers are planned.
const CONTROL_HOST_WEIGHT_DIVISOR: u32 = 4;

/// Decides which edge shall own each assignment. An assignment with an owner is first revoked; only when that has
/// settled (every live edge knows, or has fenced itself) is it granted again, under a higher epoch.
pub struct AssignmentPlan<'a> {
    /// Rows of the assignments' partition.
    pub rows: &'a BTreeMap<String, Row>,
    /// The version that has settled.
    pub settled: u64,
    /// Edges that are live.
    pub live: &'a [SessionInfo],
    /// Whether a quorum reports that an edge has no session.
    pub departed: &'a dyn Fn(Peer) -> bool,
    /// Whether an edge's process is known to have ended: it cannot come back, so what it owned needs no revoking.
    pub ended: &'a dyn Fn(Peer) -> bool,
    /// Whether a control node is on the same host: its loss would take both.
    pub on_control_host: &'a dyn Fn(&SessionInfo) -> bool,
    /// Not all sessions are known yet: only what edges that ended left is granted.
    pub sessions_incomplete: bool,
}

impl AssignmentPlan<'_> {
    /// The rows to write now, of these assignments.
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

    /// Grants an assignment that has no row yet.
    fn first_grant(&self, preferred: Option<Peer>) -> Option<Assignment> {
        preferred
            .filter(|_| !self.sessions_incomplete)
            .map(|owner| Assignment {
                owner: Some(owner),
                previous_owner: None,
                epoch: 1,
            })
    }

    /// Grants a revoked assignment, once its revocation of this version has settled.
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

    /// Grants what an ended owner left, or revokes what the owner shall not have any more.
    fn reassign(
        &self,
        name: &str,
        current: &Assignment,
        owner: Peer,
        preferred: Option<Peer>,
        moves: &mut usize,
    ) -> Option<Assignment> {
        if preferred.is_some() && (self.ended)(owner) {
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
            previous_owner: Some(owner).filter(|owner| !(self.departed)(*owner)),
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
        if (self.departed)(owner) {
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

    /// The nearest live edge by weighted rendezvous hashing.
    fn preferred_owner(&self, name: &str) -> Option<Peer> {
        let ring = assignment_ring(name);
        let is_eligible = |session: &&SessionInfo| {
            !session.draining && ring.is_none_or(|ring| ring == session.ring)
        };
        let distance =
            |session: &SessionInfo| session.peer.distance(name, self.weight(ring, session));
        let eligible = self.live.iter().filter(is_eligible);
        eligible
            .min_by(|one, other| {
                distance(one)
                    .total_cmp(&distance(other))
                    .then(one.peer.incarnation.cmp(&other.peer.incarnation))
            })
            .map(|session| session.peer)
    }

    /// A cached response goes from its one owner to every edge that requests it, so edges with narrow links own
    /// next to nothing where wide ones are there. An admission controller is one node's work: the strong ones have
    /// it, on a control node's host only where others are much weaker.
    fn weight(&self, ring: Option<&str>, session: &SessionInfo) -> u32 {
        match ring {
            Some(_) => session.weight.saturating_pow(2),
            None if (self.on_control_host)(session) => {
                let reduced = session.weight / CONTROL_HOST_WEIGHT_DIVISOR;
                reduced.max(1).saturating_pow(3)
            }
            None => session.weight.saturating_pow(3),
        }
    }
}
