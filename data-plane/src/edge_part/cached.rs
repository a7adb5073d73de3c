//! Requests that wait for a copy from the cache owner.
use super::EdgePart;
use crate::prelude::*;

impl EdgePart {
    /// The job this cache message is for, if it still waits for it.
    pub(super) fn getting(&self, id: u64, key: CacheKey) -> Option<(Duration, bool)> {
        match self.jobs.get(&id) {
            Some(Job {
                stage: Stage::Getting { since, spare },
                key: Some(mine),
                ..
            }) if *mine == key => Some((*since, *spare)),
            _ => None,
        }
    }

    pub(super) fn copy(&mut self, now: Duration, copy: Copy) {
        let Copy {
            id: question,
            key,
            copy,
        } = copy;
        let Some(id) = self.asker(question) else {
            return;
        };
        let Some((since, spare)) = self.getting(id, key) else {
            return;
        };
        let job = &self.jobs[&id];
        let way = (now - since).saturating_sub(copy.held);
        if way >= copy.left || !self.book.clear(copy.purged, job.copy_name(&copy.reply)) {
            return self.set_stage(now, id, Stage::Getting { since: now, spare });
        }
        self.end(
            now,
            id,
            Answer::Reply {
                reply: copy.reply,
                age: Some(copy.age + way),
            },
        );
    }

    pub(super) fn miss(&mut self, now: Duration, from: Peer, miss: Miss) {
        let Miss {
            id: question,
            key,
            token,
        } = miss;
        let held = Some((from.address, token));
        if self.jobs.values().any(|job| job.token == held) {
            return; // Said twice.
        }
        let waiting = self
            .asker(question)
            .filter(|id| self.getting(*id, key).is_some());
        let Some(id) = waiting else {
            return self.tell(
                from.address,
                Fail {
                    key,
                    token,
                    private: false,
                },
            );
        };
        self.jobs.get_mut(&id).expect("just seen").token = held;
        self.set_stage(now, id, Stage::Knocking);
    }

    pub(super) fn no_copy(&mut self, now: Duration, no_copy: NoCopy) {
        let Some(id) = self.asker(no_copy.id) else {
            return;
        };
        let Some((_, spare)) = self.getting(id, no_copy.key) else {
            return;
        };
        if spare {
            self.end_spare(now, id);
        } else {
            self.set_stage(now, id, Stage::Knocking);
        }
    }

    pub(super) fn end_spare(&mut self, now: Duration, id: u64) {
        let refusal = self.jobs.get_mut(&id).and_then(|job| job.refusal.take());
        let refusal =
            refusal.unwrap_or_else(|| Refusal::not_run(503, "no_copy", "no copy came in time"));
        self.end(now, id, Answer::Refusal(refusal));
    }
}
