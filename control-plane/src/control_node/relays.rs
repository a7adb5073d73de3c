//! Changes that this node forwards for other members, by the ids under which it forwards them.

use super::changes::OPERATOR_CALL_TIMEOUT;
use crate::prelude::*;

/// Bit that is set in the ids of forwarded changes, and not in those of operators' calls.
const RELAY_ID_BIT: u64 = 1 << 63;

/// Changes forwarded for members that do not reach the leader themselves.
#[derive(Debug, Default)]
pub(super) struct Relays {
    relays: BTreeMap<u64, Relay>,
    next_id: u64,
}

/// Destination of the reply to a forwarded change.
#[derive(Debug)]
pub(super) struct Relay {
    /// Address of the member that requested the change.
    pub(super) requester: SocketAddr,
    /// Id of the change at the requester.
    pub(super) id: u64,
    deadline: Duration,
}

impl Relays {
    /// Creates an empty set. `run` must differ from that of every other run of this node, so that ids differ from
    /// earlier ones.
    pub(super) fn new(run: u64) -> Relays {
        Relays {
            relays: BTreeMap::new(),
            next_id: run | RELAY_ID_BIT,
        }
    }

    /// Returns the id under which a member's change is forwarded, the same one if the change is retried.
    pub(super) fn id_for(&mut self, now: Duration, requester: SocketAddr, id: u64) -> u64 {
        let deadline = now + OPERATOR_CALL_TIMEOUT;
        let mut known = self.relays.iter_mut();
        let retried = known.find(|(_, relay)| (relay.requester, relay.id) == (requester, id));
        if let Some((relay_id, relay)) = retried {
            relay.deadline = deadline;
            return *relay_id;
        }
        let relay_id = self.next_id | RELAY_ID_BIT;
        self.next_id = relay_id.wrapping_add(1);
        let relay = Relay {
            requester,
            id,
            deadline,
        };
        self.relays.insert(relay_id, relay);
        relay_id
    }

    /// Removes and returns the relay of this id, so that its reply can be sent back.
    pub(super) fn take(&mut self, relay_id: u64) -> Option<Relay> {
        self.relays.remove(&relay_id)
    }

    /// Removes relays whose deadline has passed.
    pub(super) fn expire(&mut self, now: Duration) {
        self.relays.retain(|_, relay| now < relay.deadline);
    }
}
