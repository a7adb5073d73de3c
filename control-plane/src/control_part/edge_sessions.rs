//! Renewals of edges and the news they are told.

use super::*;

impl ControlPart {
    /// All sessions renew now, with a mark of this moment.
    pub(super) fn ask_all(&mut self) {
        let mark = self.sessions.mark();
        for edge in self.sessions.addresses() {
            self.tell(edge, RenewPrompt { mark });
        }
    }

    pub(super) fn renew(&mut self, now: Duration, from: Peer, renew: RenewRequest) {
        let mine = self.replica.realm();
        // An edge of another realm takes everything anew.
        let known: &[u64] = if renew.realm == mine || mine == 0 {
            &renew.vector
        } else {
            &[]
        };
        let news = self.news_replies.reply(now, from, known, &self.replica);
        let recall = now < self.closed;
        let founded = renew.realm == 0 || mine != 0;
        let RenewRequest {
            sent,
            heard,
            realm,
            recalled,
            vector,
            zone,
            ring,
            strength,
            draining,
            usage,
            found,
        } = renew;
        if self.sessions.renew(
            now,
            SessionInfo {
                peer: from,
                zone,
                ring,
                strength,
                draining,
                realm,
                recalled,
                vector,
                usage,
                found,
            },
            heard,
        ) {
            self.note(Event::SessionOpened, from.to_string());
        }
        // An edge of an earlier realm is heard, but not live by us, until there
        // is a new one for it to enter.
        if !founded {
            return;
        }
        // A renewal counts only with all news it lacks: while that is on the way
        // there is nothing to say.
        let Some(news) = news else {
            return;
        };
        let mark = self.sessions.mark();
        self.tell(
            from.address,
            RenewReply {
                life: from.life,
                mark,
                sent,
                realm: mine,
                recall,
                news,
            },
        );
    }
}
