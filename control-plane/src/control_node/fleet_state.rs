//! The state of the fleet as this node knows it, for operators. Its names are part of the operators' interface.

use super::*;
use serde_json::{Value as Json, json};

impl ControlNode {
    /// Returns the state of the fleet as this node knows it.
    pub(super) fn fleet_state(&self, now: Duration) -> Json {
        let live = self.sessions.live_sessions(now, self.quorum());
        json!({
            "slot": self.slot,
            "majority": self.reaches_majority(now),
            "ledger": self.ledger_state(now),
            "control": self.member_states(now),
            "edges": live.iter().map(edge_state).collect::<Vec<Json>>(),
            "origins": live.iter().flat_map(|session| &session.origin_health).collect::<Vec<_>>(),
            "owned_slices": self.partition_states(),
        })
    }

    fn ledger_state(&self, now: Duration) -> Json {
        let closed_for = self.generation.ledger_closed_until.saturating_sub(now);
        json!({
            "realm": Generation::format(self.generation.current),
            "closed_s": closed_for.as_secs_f64().ceil(),
        })
    }

    fn member_states(&self, now: Duration) -> Vec<Json> {
        let contacts = self.mutual_contacts(now);
        let state = |slot: u8| {
            let live = contacts.contains(slot);
            let full = if slot == self.slot {
                self.can_vote()
            } else {
                live && self.peers.get(&slot).is_some_and(|peer| peer.full)
            };
            json!({ "slot": slot, "address": self.address(slot), "live": live, "full": full })
        };
        (0..self.members.len() as u8).map(state).collect()
    }

    fn partition_states(&self) -> Vec<Json> {
        let serving = self.leaders.values().filter(|leader| leader.is_ready());
        serving.map(partition_state).collect()
    }
}

fn edge_state(session: &SessionInfo) -> Json {
    json!({
        "address": session.peer.address,
        "life": format!("{:016x}", session.peer.incarnation),
        "zone": session.zone,
        "draining": session.draining,
        "vector": session.version_vector,
        "usage": session.usage,
    })
}

fn partition_state(leader: &PartitionLeader) -> Json {
    json!({
        "slice": leader.partition,
        "epoch": leader.epoch,
        "version": leader.version,
        "committed": leader.committed(),
        "settled": leader.settled(),
        "rows": leader.rows.len(),
    })
}
