//! Requests that are served copies: near ones, or those of the cache owner.
//!
//! Of all requests here that miss the same key one asks the owner; the others
//! follow it (`Coalescer`). What it gets is entry (`NearCache`) and serves them
//! all. An owner that says nothing is done without after `OWNER_TIMEOUT`.
use super::{EdgeNode, PURGE_GRACE};
use crate::active_request::{is_cacheable_status, is_shareable};
use crate::cache_owner::{REFRESH_TIMEOUT, minor_lifetime};
use crate::prelude::*;

/// An owner that does not even confirm a repeated question for this long after
/// it was sent is done without. Less than this is common on a full link, and each
/// fetch without the owner takes the place of another's.
pub(super) const OWNER_TIMEOUT: Duration = Duration::from_millis(500);
/// The first question to the owner is repeated after this time, the next ones
/// each after twice as long as the one before, up to `MAX_BACKOFF`.
const INITIAL_BACKOFF: Duration = Duration::from_millis(200);
const MAX_BACKOFF: Duration = Duration::from_millis(1600);

/// When the question that was asked `round` times is asked again.
pub(super) fn resend_backoff(round: usize) -> Duration {
    let doubled = INITIAL_BACKOFF * (1 << round.saturating_sub(1).min(4));
    doubled.min(MAX_BACKOFF)
}

impl EdgeNode {
    /// The near copy that this request is served at once, if there is one: a
    /// fresh one, or any while another request asks the owner for it.
    pub(super) fn near_cache_response(
        &mut self,
        now: Duration,
        active: &ActiveRequest,
    ) -> Option<ClientResponse> {
        let key = active.cache.key?;
        let ttl = active.request.entry().keep();
        match self.near_cache.look_up(now, &key, ttl) {
            NearLookup::Fresh { reply, age } => Some(ClientResponse::copy(reply, age)),
            NearLookup::Stale { reply, age } if self.coalescer.is_led(&key) => {
                Some(ClientResponse::copy(reply, age))
            }
            _ => None,
        }
    }

    /// Any near copy that may still be served, for a request whose owner or
    /// origin does not answer.
    pub(super) fn any_near_response(&mut self, now: Duration, id: u64) -> Option<ClientResponse> {
        let active = self.active_requests.get(&id)?;
        match self
            .near_cache
            .look_up(now, &active.cache.key?, active.request.entry().keep())
        {
            NearLookup::Fresh { reply, age } | NearLookup::Stale { reply, age } => {
                Some(ClientResponse::copy(reply, age))
            }
            NearLookup::Missing => None,
        }
    }

    /// A near copy, or the origin, in place of an owner that does not answer.
    pub(super) fn fetch_without_owner(&mut self, now: Duration, id: u64) {
        if let Some(copy) = self.any_near_response(now, id) {
            return self.finish(now, id, copy);
        }
        self.enter_stage(now, id, Stage::AwaitingPermit);
    }

    /// The stage of a request that misses the key here.
    pub(super) fn join_group(&mut self, now: Duration, id: u64, key: CacheKey) -> Stage {
        match self.coalescer.join(key, id) {
            GroupRole::Leader => Stage::AwaitingCachedResponse {
                since: now,
                accepts_any_age: false,
            },
            GroupRole::Follower => Stage::Following,
        }
    }

    /// The request asks for its group from now on.
    pub(super) fn lead_group(&mut self, now: Duration, id: u64) {
        let stage = Stage::AwaitingCachedResponse {
            since: now,
            accepts_any_age: false,
        };
        self.enter_stage(now, id, stage);
    }

    /// All that follow this request are answered as it is.
    pub(super) fn respond_to_followers(
        &mut self,
        now: Duration,
        id: u64,
        key: &CacheKey,
        answer: &ClientResponse,
    ) {
        for follower in self.coalescer.dissolve(key, id) {
            self.finish(now, follower, answer.clone());
        }
    }

    /// The request has ended: who follows it is refused as it was, if it was
    /// turned away unsent and in time; else the next one asks.
    pub(super) fn leave_group(
        &mut self,
        now: Duration,
        id: u64,
        active: &ActiveRequest,
        answer: &ClientResponse,
    ) {
        let Some(key) = active.cache.key else { return };
        let turned_away =
            matches!(answer, ClientResponse::Rejection(_)) && active.attempts.count == 0;
        if turned_away && now < active.deadline && self.coalescer.leads(&key, id) {
            self.respond_to_followers(now, id, &key, answer);
        } else if let Some(next) = self.coalescer.leave(&key, id) {
            self.lead_group(now, next);
        } else if let Some(leader) = self.coalescer.leader(&key) {
            // It may have gone on for this follower only.
            self.stop_if_abandoned(now, leader);
        }
    }

    /// Those that follow a request whose call goes on for long ask themselves.
    pub(super) fn replace_stalled_leaders(&mut self, now: Duration) {
        let stalled = |active: &ActiveRequest| matches!(&active.stage, Stage::Calling { since, .. } if now >= *since + REFRESH_TIMEOUT);
        let stalled: Vec<(u64, CacheKey)> = self
            .active_requests
            .iter()
            .filter(|(_, active)| stalled(active))
            .filter_map(|(id, active)| Some((*id, active.cache.key?)))
            .filter(|(id, key)| self.coalescer.leads(key, *id) && self.coalescer.has_followers(key))
            .collect();
        for (id, key) in stalled {
            if let Some(next) = self.coalescer.leave(&key, id) {
                self.lead_group(now, next);
            }
        }
    }

    /// An origin's answer to a request that others may be served, too.
    pub(super) fn handle_fetched(&mut self, now: Duration, id: u64, key: CacheKey, reply: Reply) {
        let active = self.active_requests.get_mut(&id).expect("just seen");
        let fetch = active.cache.fetch.unwrap_or(Fetch {
            started_at: active.started_at,
            purge_version: 0,
        });
        let owner = active.cache.fill_token.take();
        let ttl = active.request.entry().keep();
        let private = !is_shareable(&reply);
        let shared = !private && is_cacheable_status(reply.status);
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
            self.send(owner, result);
        }
        // Begun before a purge that reaches it: good for its own caller while
        // that is fresh, then fetched anew.
        let name = self.active_requests[&id].cache_entry_name(&reply);
        let reached = self.purge_log.first_match(fetch.purge_version, name);
        if reached.is_some_and(|learned| now >= learned + PURGE_GRACE) {
            return self.lead_group(now, id);
        }
        let age = now.saturating_sub(fetch.started_at);
        let answer = ClientResponse::copy(reply.clone(), age);
        if shared && reached.is_none() {
            let major_expiry = fetch.started_at + ttl;
            let entry = NearCacheEntry {
                name: self.active_requests[&id].cache_entry_name(&reply),
                reply: &reply,
                fetch_started_at: fetch.started_at,
                minor_expiry: (now + minor_lifetime(ttl)).min(major_expiry),
                major_expiry,
            };
            self.near_cache.put(now, key, entry);
            self.respond_to_followers(now, id, &key, &answer);
        } else if private {
            // Each of them fetches its own.
            for follower in self.coalescer.dissolve(&key, id) {
                self.lead_group(now, follower);
            }
        }
        self.finish(now, id, answer);
    }

    pub(super) fn handle_get_queued(&mut self, now: Duration, queued: CacheGetQueued) {
        let asker = self.request_awaiting(queued.id);
        if let Some(active) = asker.and_then(|id| self.active_requests.get_mut(&id)) {
            active.exchange.last_contact = now;
        }
    }

    /// The job this cache message is for, if it still waits for it.
    pub(super) fn awaiting_cached_response(
        &self,
        id: u64,
        key: CacheKey,
    ) -> Option<(Duration, bool)> {
        match self.active_requests.get(&id) {
            Some(ActiveRequest {
                stage:
                    Stage::AwaitingCachedResponse {
                        since,
                        accepts_any_age,
                    },
                cache: CacheUse {
                    key: Some(awaited), ..
                },
                ..
            }) if *awaited == key => Some((*since, *accepts_any_age)),
            _ => None,
        }
    }

    pub(super) fn handle_cache_copy(&mut self, now: Duration, copy: CacheCopy) {
        let CacheCopy {
            id: question,
            key,
            response: copy,
            ..
        } = copy;
        let Some(id) = self.complete_exchange(question) else {
            return;
        };
        let Some((since, accepts_any_age)) = self.awaiting_cached_response(id, key) else {
            return;
        };
        let active = &self.active_requests[&id];
        let way = (now - since).saturating_sub(copy.owner_delay);
        if way >= copy.remaining_ttl
            || !self
                .purge_log
                .is_clear(copy.purge_version, active.cache_entry_name(&copy.reply))
        {
            return self.enter_stage(
                now,
                id,
                Stage::AwaitingCachedResponse {
                    since: now,
                    accepts_any_age,
                },
            );
        }
        let entry = NearCacheEntry {
            name: active.cache_entry_name(&copy.reply),
            reply: &copy.reply,
            fetch_started_at: now.saturating_sub(copy.age + way),
            minor_expiry: now + copy.fresh_for.saturating_sub(way),
            major_expiry: now + copy.remaining_ttl - way,
        };
        self.near_cache.put(now, key, entry);
        let answer = ClientResponse::copy(copy.reply, copy.age + way);
        self.respond_to_followers(now, id, &key, &answer);
        self.finish(now, id, answer);
    }

    pub(super) fn handle_cache_miss(&mut self, now: Duration, from: Peer, miss: CacheMiss) {
        let CacheMiss {
            id: question,
            key,
            token,
        } = miss;
        let held = Some((from.address, token));
        if self
            .active_requests
            .values()
            .any(|active| active.cache.fill_token == held)
        {
            return; // Said twice.
        }
        let waiting = self
            .complete_exchange(question)
            .filter(|id| self.awaiting_cached_response(*id, key).is_some());
        let Some(id) = waiting else {
            return self.send(
                from.address,
                CacheFillFailed {
                    key,
                    token,
                    private: false,
                },
            );
        };
        self.active_requests
            .get_mut(&id)
            .expect("just seen")
            .cache
            .fill_token = held;
        self.enter_stage(now, id, Stage::AwaitingPermit);
    }

    pub(super) fn handle_cache_unavailable(&mut self, now: Duration, no_copy: CacheUnavailable) {
        let Some(id) = self.complete_exchange(no_copy.id) else {
            return;
        };
        let Some((_, accepts_any_age)) = self.awaiting_cached_response(id, no_copy.key) else {
            return;
        };
        if accepts_any_age {
            self.finish_failed_fallback(now, id);
        } else {
            self.enter_stage(now, id, Stage::AwaitingPermit);
        }
    }

    pub(super) fn finish_failed_fallback(&mut self, now: Duration, id: u64) {
        let rejection = self
            .active_requests
            .get_mut(&id)
            .and_then(|active| active.cache.pending_rejection.take());
        let rejection =
            rejection.unwrap_or_else(|| Rejection::not_run(503, "no_copy", "no copy came in time"));
        self.finish(now, id, ClientResponse::Rejection(rejection));
    }
}
