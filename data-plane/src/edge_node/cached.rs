//! Requests that are served copies: near ones, or those of the cache owner.
//!
//! Of all requests here that miss the same key one asks the owner; the others
//! follow it (`Coalescer`). What it gets is kept (`NearCache`) and serves them
//! all. An owner that says nothing is done without after `OWNER_SILENT`.
use super::{EdgeNode, PURGE_GRACE};
use crate::cache_owner::{STALL, minor_span};
use crate::job::{keepable, shareable};
use crate::prelude::*;

/// An owner that does not even confirm a repeated question for this long after
/// it was sent is done without. Less than this is common on a full link, and each
/// fetch without the owner takes the place of another's.
pub(super) const OWNER_SILENT: Duration = Duration::from_millis(500);
/// The first question to the owner is repeated after this time, the next ones
/// each after twice as long as the one before, up to `SLOWEST_REPEAT`.
const FIRST_REPEAT: Duration = Duration::from_millis(200);
const SLOWEST_REPEAT: Duration = Duration::from_millis(1600);

/// When the question that was asked `round` times is asked again.
pub(super) fn repeat_span(round: usize) -> Duration {
    let doubled = FIRST_REPEAT * (1 << round.saturating_sub(1).min(4));
    doubled.min(SLOWEST_REPEAT)
}

impl EdgeNode {
    /// The near copy that this request is served at once, if there is one: a
    /// fresh one, or any while another request asks the owner for it.
    pub(super) fn near_answer(&mut self, now: Duration, job: &Job) -> Option<ClientResponse> {
        let key = job.key?;
        let keep = job.request.entry().keep();
        match self.near.look_up(now, &key, keep) {
            NearLookup::Fresh { reply, age } => Some(ClientResponse::copy(reply, age)),
            NearLookup::Stale { reply, age } if self.coalescer.is_led(&key) => {
                Some(ClientResponse::copy(reply, age))
            }
            _ => None,
        }
    }

    /// Any near copy that may still be served, for a request whose owner or
    /// origin does not answer.
    pub(super) fn last_resort(&mut self, now: Duration, id: u64) -> Option<ClientResponse> {
        let job = self.jobs.get(&id)?;
        match self
            .near
            .look_up(now, &job.key?, job.request.entry().keep())
        {
            NearLookup::Fresh { reply, age } | NearLookup::Stale { reply, age } => {
                Some(ClientResponse::copy(reply, age))
            }
            NearLookup::Missing => None,
        }
    }

    /// A near copy, or the origin, in place of an owner that does not answer.
    pub(super) fn fetch_without_owner(&mut self, now: Duration, id: u64) {
        if let Some(copy) = self.last_resort(now, id) {
            return self.end(now, id, copy);
        }
        self.set_stage(now, id, Stage::AwaitingPermit);
    }

    /// The stage of a request that misses the key here.
    pub(super) fn join_group(&mut self, now: Duration, id: u64, key: CacheKey) -> Stage {
        match self.coalescer.join(key, id) {
            GroupRole::Leader => Stage::AwaitingCopy {
                since: now,
                spare: false,
            },
            GroupRole::Follower => Stage::Following,
        }
    }

    /// The request asks for its group from now on.
    pub(super) fn lead_group(&mut self, now: Duration, id: u64) {
        let stage = Stage::AwaitingCopy {
            since: now,
            spare: false,
        };
        self.set_stage(now, id, stage);
    }

    /// All that follow this request are answered as it is.
    pub(super) fn answer_followers(
        &mut self,
        now: Duration,
        id: u64,
        key: &CacheKey,
        answer: &ClientResponse,
    ) {
        for follower in self.coalescer.dissolve(key, id) {
            self.end(now, follower, answer.clone());
        }
    }

    /// The request has ended: who follows it is refused as it was, if it was
    /// turned away unsent and in time; else the next one asks.
    pub(super) fn leave_group(
        &mut self,
        now: Duration,
        id: u64,
        job: &Job,
        answer: &ClientResponse,
    ) {
        let Some(key) = job.key else { return };
        let turned_away = matches!(answer, ClientResponse::Rejection(_)) && job.calls == 0;
        if turned_away && now < job.deadline && self.coalescer.leads(&key, id) {
            self.answer_followers(now, id, &key, answer);
        } else if let Some(next) = self.coalescer.leave(&key, id) {
            self.lead_group(now, next);
        } else if let Some(leader) = self.coalescer.leader(&key) {
            // It may have gone on for this follower only.
            self.stop_if_abandoned(now, leader);
        }
    }

    /// Those that follow a request whose call goes on for long ask themselves.
    pub(super) fn replace_stalled_leaders(&mut self, now: Duration) {
        let stalled =
            |job: &Job| matches!(&job.stage, Stage::Calling { since, .. } if now >= *since + STALL);
        let stalled: Vec<(u64, CacheKey)> = self
            .jobs
            .iter()
            .filter(|(_, job)| stalled(job))
            .filter_map(|(id, job)| Some((*id, job.key?)))
            .filter(|(id, key)| self.coalescer.leads(key, *id) && self.coalescer.has_followers(key))
            .collect();
        for (id, key) in stalled {
            if let Some(next) = self.coalescer.leave(&key, id) {
                self.lead_group(now, next);
            }
        }
    }

    /// An origin's answer to a request that others may be served, too.
    pub(super) fn fetched(&mut self, now: Duration, id: u64, key: CacheKey, reply: Reply) {
        let job = self.jobs.get_mut(&id).expect("just seen");
        let fetch = job.fetch.unwrap_or(Fetch {
            began: job.began,
            purged: 0,
        });
        let owner = job.token.take();
        let keep = job.request.entry().keep();
        let private = !shareable(&reply);
        let shared = !private && keepable(reply.status);
        if let Some((owner, token)) = owner {
            let result: Message = if shared {
                let reply = reply.clone();
                CachePut { key, token, reply }.into()
            } else {
                CacheFillFailed {
                    key,
                    token,
                    private,
                }
                .into()
            };
            self.tell(owner, result);
        }
        // Begun before a purge that reaches it: good for its own caller while
        // that is fresh, then fetched anew.
        let name = self.jobs[&id].copy_name(&reply);
        let reached = self.book.reached(fetch.purged, name);
        if reached.is_some_and(|learned| now >= learned + PURGE_GRACE) {
            return self.lead_group(now, id);
        }
        let age = now.saturating_sub(fetch.began);
        let answer = ClientResponse::copy(reply.clone(), age);
        if shared && reached.is_none() {
            let major = fetch.began + keep;
            let kept = KeptCopy {
                name: self.jobs[&id].copy_name(&reply),
                reply: &reply,
                began: fetch.began,
                minor: (now + minor_span(keep)).min(major),
                major,
            };
            self.near.put(now, key, kept);
            self.answer_followers(now, id, &key, &answer);
        } else if private {
            // Each of them fetches its own.
            for follower in self.coalescer.dissolve(&key, id) {
                self.lead_group(now, follower);
            }
        }
        self.end(now, id, answer);
    }

    pub(super) fn get_queued(&mut self, now: Duration, queued: CacheGetQueued) {
        let asker = self.asker(queued.id);
        if let Some(job) = asker.and_then(|id| self.jobs.get_mut(&id)) {
            job.heard = now;
        }
    }

    /// The job this cache message is for, if it still waits for it.
    pub(super) fn getting(&self, id: u64, key: CacheKey) -> Option<(Duration, bool)> {
        match self.jobs.get(&id) {
            Some(Job {
                stage: Stage::AwaitingCopy { since, spare },
                key: Some(mine),
                ..
            }) if *mine == key => Some((*since, *spare)),
            _ => None,
        }
    }

    pub(super) fn copy(&mut self, now: Duration, copy: CacheCopy) {
        let CacheCopy {
            id: question,
            key,
            response: copy,
            ..
        } = copy;
        let Some(id) = self.answered(question) else {
            return;
        };
        let Some((since, spare)) = self.getting(id, key) else {
            return;
        };
        let job = &self.jobs[&id];
        let way = (now - since).saturating_sub(copy.owner_delay);
        if way >= copy.remaining_ttl
            || !self
                .book
                .clear(copy.purge_version, job.copy_name(&copy.reply))
        {
            return self.set_stage(now, id, Stage::AwaitingCopy { since: now, spare });
        }
        let kept = KeptCopy {
            name: job.copy_name(&copy.reply),
            reply: &copy.reply,
            began: now.saturating_sub(copy.age + way),
            minor: now + copy.fresh_for.saturating_sub(way),
            major: now + copy.remaining_ttl - way,
        };
        self.near.put(now, key, kept);
        let answer = ClientResponse::copy(copy.reply, copy.age + way);
        self.answer_followers(now, id, &key, &answer);
        self.end(now, id, answer);
    }

    pub(super) fn miss(&mut self, now: Duration, from: Peer, miss: CacheMiss) {
        let CacheMiss {
            id: question,
            key,
            token,
        } = miss;
        let held = Some((from.address, token));
        if self.jobs.values().any(|job| job.token == held) {
            return; // Said twice.
        }
        let waiting = self
            .answered(question)
            .filter(|id| self.getting(*id, key).is_some());
        let Some(id) = waiting else {
            return self.tell(
                from.address,
                CacheFillFailed {
                    key,
                    token,
                    private: false,
                },
            );
        };
        self.jobs.get_mut(&id).expect("just seen").token = held;
        self.set_stage(now, id, Stage::AwaitingPermit);
    }

    pub(super) fn no_copy(&mut self, now: Duration, no_copy: CacheUnavailable) {
        let Some(id) = self.answered(no_copy.id) else {
            return;
        };
        let Some((_, spare)) = self.getting(id, no_copy.key) else {
            return;
        };
        if spare {
            self.end_spare(now, id);
        } else {
            self.set_stage(now, id, Stage::AwaitingPermit);
        }
    }

    pub(super) fn end_spare(&mut self, now: Duration, id: u64) {
        let refusal = self.jobs.get_mut(&id).and_then(|job| job.refusal.take());
        let refusal =
            refusal.unwrap_or_else(|| Rejection::not_run(503, "no_copy", "no copy came in time"));
        self.end(now, id, ClientResponse::Rejection(refusal));
    }
}
