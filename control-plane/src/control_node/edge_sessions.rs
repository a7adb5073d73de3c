//! Renewals of edges and the updates they are told.

use super::*;

impl ControlNode {
    /// All sessions renew now, with a mark of this moment.
    pub(super) fn request_renewals(&mut self) {
        let renewal_token = self.sessions.issue_token();
        for edge in self.sessions.addresses() {
            self.send(edge, RenewPrompt { renewal_token });
        }
    }

    pub(super) fn handle_renew_request(&mut self, now: Duration, from: Peer, renew: RenewRequest) {
        let mine = self.replica.generation();
        // An edge of another generation takes everything anew.
        let known: &[u64] = if renew.generation == mine || mine == 0 {
            &renew.version_vector
        } else {
            &[]
        };
        let updates = self.update_replies.reply(now, from, known, &self.replica);
        let recall = now < self.ledger_closed_until;
        let founded = renew.generation == 0 || mine != 0;
        let RenewRequest {
            sent,
            last_token: heard,
            generation,
            recall_complete: recalled,
            version_vector: vector,
            zone,
            ring,
            weight: strength,
            draining,
            usage,
            origin_health: found,
        } = renew;
        if self.sessions.renew(
            now,
            SessionInfo {
                peer: from,
                zone,
                ring,
                weight: strength,
                draining,
                generation,
                recall_complete: recalled,
                version_vector: vector,
                usage,
                origin_health: found,
            },
            heard,
        ) {
            self.log_event(Event::SessionOpened, from.to_string());
        }
        // An edge of an earlier generation is heard, but not live by us, until there
        // is a new one for it to enter.
        if !founded {
            return;
        }
        // A renewal counts only with all updates it lacks: while that is on the way
        // there is nothing to say.
        let Some(updates) = updates else {
            return;
        };
        let renewal_token = self.sessions.issue_token();
        self.send(
            from.address,
            RenewReply {
                incarnation: from.incarnation,
                renewal_token,
                sent,
                generation: mine,
                recall_requested: recall,
                updates,
            },
        );
    }
}
