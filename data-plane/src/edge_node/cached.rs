//! Requests that are served cached responses: from the near cache, or by the cache owner.
//!
//! Of all requests here that miss the same key one is sent to the owner; the others
//! follow it (`Coalescer`). What it gets is stored (`NearCache`) and serves them
//! all. An owner that does not respond is bypassed.
use super::{EdgeNode, PURGE_GRACE};
use crate::active_request::{is_cacheable_status, is_shareable};
use crate::cache_owner::{REFRESH_TIMEOUT, minor_lifetime};
use crate::prelude::*;

/// What a request that waits for a cached response waits for.
struct CacheWait {
    since: Duration,
    accepts_any_age: bool,
}

/// A response that an origin sent for a key.
struct FetchedResponse {
    key: CacheKey,
    reply: Reply,
    fetch: Fetch,
    ttl: Duration,
    /// It may not be served to other clients.
    is_private: bool,
    /// It may be stored in a cache.
    is_cacheable: bool,
}

impl EdgeNode {
    /// The near response that this request is served at once, if there is one: a
    /// fresh one, or any while another request is at the owner.
    pub(super) fn near_cache_response(
        &mut self,
        now: Duration,
        active: &ActiveRequest,
    ) -> Option<ClientResponse> {
        let key = active.cache.key?;
        let ttl = active.request.entry().cache_ttl();
        match self.near_cache.look_up(now, &key, ttl) {
            NearLookup::Fresh { reply, age } => Some(ClientResponse::cached(reply, age)),
            NearLookup::Stale { reply, age } if self.coalescer.is_led(&key) => {
                Some(ClientResponse::cached(reply, age))
            }
            _ => None,
        }
    }

    /// Any near response that may still be served, for a request whose owner or
    /// origin does not respond.
    pub(super) fn any_near_response(&mut self, now: Duration, id: u64) -> Option<ClientResponse> {
        let active = self.active_requests.get(&id)?;
        let ttl = active.request.entry().cache_ttl();
        match self.near_cache.look_up(now, &active.cache.key?, ttl) {
            NearLookup::Fresh { reply, age } | NearLookup::Stale { reply, age } => {
                Some(ClientResponse::cached(reply, age))
            }
            NearLookup::Missing => None,
        }
    }

    /// Serves a near response, or calls the origin, in place of an owner that
    /// does not respond.
    pub(super) fn fetch_without_owner(&mut self, now: Duration, id: u64) {
        if let Some(response) = self.any_near_response(now, id) {
            return self.finish(now, id, response);
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

    /// The request leads its group from now on.
    fn lead_group(&mut self, now: Duration, id: u64) {
        let stage = Stage::AwaitingCachedResponse {
            since: now,
            accepts_any_age: false,
        };
        self.enter_stage(now, id, stage);
    }

    /// Sends all followers of this request its response.
    fn respond_to_followers(
        &mut self,
        now: Duration,
        id: u64,
        key: &CacheKey,
        response: &ClientResponse,
    ) {
        for follower in self.coalescer.dissolve(key, id) {
            self.finish(now, follower, response.clone());
        }
    }

    /// The request has ended: its followers are rejected as it was, if it was
    /// rejected uncalled and in time; else the next one leads.
    pub(super) fn remove_from_group(
        &mut self,
        now: Duration,
        id: u64,
        active: &ActiveRequest,
        response: &ClientResponse,
    ) {
        let Some(key) = active.cache.key else { return };
        let is_rejected_uncalled =
            matches!(response, ClientResponse::Rejection(_)) && active.attempts.count == 0;
        if is_rejected_uncalled && now < active.deadline && self.coalescer.leads(&key, id) {
            self.respond_to_followers(now, id, &key, response);
        } else if let Some(next) = self.coalescer.remove(&key, id) {
            self.lead_group(now, next);
        } else if let Some(leader) = self.coalescer.leader(&key) {
            // It may have gone on for this follower only.
            self.stop_if_abandoned(now, leader);
        }
    }

    /// The followers of a request whose call takes too long get another leader.
    pub(super) fn replace_stalled_leaders(&mut self, now: Duration) {
        let is_stalled = |active: &ActiveRequest| matches!(&active.stage, Stage::Calling { since, .. } if now >= *since + REFRESH_TIMEOUT);
        let stalled: Vec<(u64, CacheKey)> = self
            .active_requests
            .iter()
            .filter(|(_, active)| is_stalled(active))
            .filter_map(|(id, active)| Some((*id, active.cache.key?)))
            .filter(|(id, key)| self.coalescer.leads(key, *id) && self.coalescer.has_followers(key))
            .collect();
        for (id, key) in stalled {
            if let Some(next) = self.coalescer.remove(&key, id) {
                self.lead_group(now, next);
            }
        }
    }

    /// An origin's response to a cacheable request.
    pub(super) fn handle_fetched(&mut self, now: Duration, id: u64, key: CacheKey, reply: Reply) {
        let active = self.active_requests.get_mut(&id).expect("just found");
        let is_private = !is_shareable(&reply);
        let fetched = FetchedResponse {
            key,
            fetch: active.cache.fetch.unwrap_or(Fetch {
                started_at: active.started_at,
                purge_version: 0,
            }),
            ttl: active.request.entry().cache_ttl(),
            is_private,
            is_cacheable: !is_private && is_cacheable_status(reply.status),
            reply,
        };
        let grant = active.cache.fill_grant.take();
        // A response fetched before a purge that matches it is good for its own
        // client while the purge is recent, then it is fetched anew.
        let name = active.cache_entry_name(&fetched.reply);
        let purged_at = self
            .state
            .purge_log
            .first_match(fetched.fetch.purge_version, name);
        if let Some(grant) = grant {
            self.report_fill(grant, &fetched);
        }
        if purged_at.is_some_and(|purged_at| now >= purged_at + PURGE_GRACE) {
            return self.lead_group(now, id);
        }
        let age = now.saturating_sub(fetched.fetch.started_at);
        let response = ClientResponse::cached(fetched.reply.clone(), age);
        if fetched.is_cacheable && purged_at.is_none() {
            self.store_fetched(now, id, &fetched);
            self.respond_to_followers(now, id, &key, &response);
        } else if fetched.is_private {
            // Each of them fetches its own.
            for follower in self.coalescer.dissolve(&key, id) {
                self.lead_group(now, follower);
            }
        }
        self.finish(now, id, response);
    }

    /// Sends the cache owner what its refresher fetched.
    fn report_fill(&mut self, grant: FillGrant, fetched: &FetchedResponse) {
        let FillGrant { owner, token } = grant;
        let key = fetched.key;
        if fetched.is_cacheable {
            let reply = fetched.reply.clone();
            self.send(owner, CachePut { key, token, reply });
        } else {
            let private = fetched.is_private;
            let failed = CacheFillFailed {
                key,
                token,
                private,
            };
            self.send(owner, failed);
        }
    }

    fn store_fetched(&mut self, now: Duration, id: u64, fetched: &FetchedResponse) {
        let fetch_started_at = fetched.fetch.started_at;
        let major_expiry = fetch_started_at + fetched.ttl;
        let entry = NearCacheEntry {
            name: self.active_requests[&id].cache_entry_name(&fetched.reply),
            reply: &fetched.reply,
            fetch_started_at,
            minor_expiry: (now + minor_lifetime(fetched.ttl)).min(major_expiry),
            major_expiry,
        };
        self.near_cache.put(now, fetched.key, entry);
    }

    /// The owner confirms that the request waits there.
    pub(super) fn handle_get_queued(&mut self, now: Duration, queued: CacheGetQueued) {
        self.record_contact(now, queued.id);
    }

    /// What the request waits for, if it waits for a cached response of this key.
    fn cache_wait(&self, id: u64, key: CacheKey) -> Option<CacheWait> {
        let active = self.active_requests.get(&id)?;
        match active.stage {
            Stage::AwaitingCachedResponse {
                since,
                accepts_any_age,
            } if active.cache.key == Some(key) => Some(CacheWait {
                since,
                accepts_any_age,
            }),
            _ => None,
        }
    }

    /// The owner sends the cached response.
    pub(super) fn handle_cache_copy(&mut self, now: Duration, copy: CacheCopy) {
        let CacheCopy {
            id: exchange,
            key,
            response: cached,
            ..
        } = copy;
        let Some(id) = self.complete_exchange(exchange) else {
            return;
        };
        let Some(wait) = self.cache_wait(id, key) else {
            return;
        };
        let active = &self.active_requests[&id];
        let name = active.cache_entry_name(&cached.reply);
        let network_delay = (now - wait.since).saturating_sub(cached.owner_delay);
        let age = cached.age + network_delay;
        // The owner may not know of a time-to-live that became shorter.
        let ttl = active.request.entry().cache_ttl();
        let remaining_ttl = cached
            .remaining_ttl
            .saturating_sub(network_delay)
            .min(ttl.saturating_sub(age));
        if remaining_ttl.is_zero() || !self.state.purge_log.is_clear(cached.purge_version, name) {
            let stage = Stage::AwaitingCachedResponse {
                since: now,
                accepts_any_age: wait.accepts_any_age,
            };
            return self.enter_stage(now, id, stage);
        }
        let entry = NearCacheEntry {
            name,
            reply: &cached.reply,
            fetch_started_at: now.saturating_sub(age),
            minor_expiry: now
                + cached
                    .fresh_for
                    .saturating_sub(network_delay)
                    .min(remaining_ttl),
            major_expiry: now + remaining_ttl,
        };
        self.near_cache.put(now, key, entry);
        let response = ClientResponse::cached(cached.reply, age);
        self.respond_to_followers(now, id, &key, &response);
        self.finish(now, id, response);
    }

    /// The owner makes the request the refresher of the key.
    pub(super) fn handle_cache_miss(&mut self, now: Duration, from: Peer, miss: CacheMiss) {
        let CacheMiss {
            id: exchange,
            key,
            token,
        } = miss;
        let grant = FillGrant {
            owner: from.address,
            token,
        };
        let is_duplicate = self
            .active_requests
            .values()
            .any(|active| active.cache.fill_grant == Some(grant));
        if is_duplicate {
            return;
        }
        let waiting = self
            .complete_exchange(exchange)
            .filter(|id| self.cache_wait(*id, key).is_some());
        let Some(id) = waiting else {
            let failed = CacheFillFailed {
                key,
                token,
                private: false,
            };
            return self.send(from.address, failed);
        };
        let active = self.active_requests.get_mut(&id).expect("just found");
        active.cache.fill_grant = Some(grant);
        self.enter_stage(now, id, Stage::AwaitingPermit);
    }

    /// The owner has no response to share.
    pub(super) fn handle_cache_unavailable(
        &mut self,
        now: Duration,
        unavailable: CacheUnavailable,
    ) {
        let Some(id) = self.complete_exchange(unavailable.id) else {
            return;
        };
        match self.cache_wait(id, unavailable.key) {
            Some(wait) if wait.accepts_any_age => self.finish_failed_fallback(now, id),
            Some(_) => self.enter_stage(now, id, Stage::AwaitingPermit),
            None => {}
        }
    }

    /// No cached response of any age is available for a request that failed.
    pub(super) fn finish_failed_fallback(&mut self, now: Duration, id: u64) {
        let rejection = self
            .active_requests
            .get_mut(&id)
            .and_then(|active| active.cache.pending_rejection.take())
            .unwrap_or_else(|| Rejection::not_run(503, "no_copy", "no copy came in time"));
        self.finish_rejected(now, id, rejection);
    }
}
