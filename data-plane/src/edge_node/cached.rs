//! Requests that are served cached responses, from the near cache or by the cache owner.
//!
//! Of all requests at this edge that miss the same key, one is sent to the owner and
//! the others wait for its response (`Coalescer`), which is stored (`NearCache`) and
//! serves them all. An owner that does not respond is bypassed.
use super::{EdgeNode, PURGE_GRACE};
use crate::active_request::{is_cacheable_status, is_shareable};
use crate::cache_owner::{REFRESH_TIMEOUT, minor_lifetime};
use crate::prelude::*;

/// The fields of `Stage::AwaitingCachedResponse`.
struct CacheWait {
    entered_at: Duration,
    accepts_any_age: bool,
}

/// An origin's response for a key.
struct FetchedResponse {
    key: CacheKey,
    reply: Reply,
    fetch: Fetch,
    ttl: Duration,
    /// Set if the response may not be served to other clients.
    is_private: bool,
    /// Set if the response may be stored in a cache.
    is_cacheable: bool,
}

impl EdgeNode {
    /// Returns the near cache response that serves this request at once, if any: a
    /// fresh one, or a stale one while another request refreshes it.
    pub(super) fn near_cache_response(
        &mut self,
        now: Duration,
        active: &ActiveRequest,
    ) -> Option<ClientResponse> {
        let key = active.cache.key?;
        let ttl = active.request.entry().cache_ttl();
        match self.near_cache.look_up(now, &key, ttl) {
            NearCacheLookup::Fresh { reply, age } => Some(ClientResponse::cached(reply, age)),
            NearCacheLookup::Stale { reply, age } if self.coalescer.has_leader(&key) => {
                Some(ClientResponse::cached(reply, age))
            }
            _ => None,
        }
    }

    /// Returns any near cache response that may still be served, for a request whose
    /// owner or origin does not respond.
    pub(super) fn any_near_cache_response(
        &mut self,
        now: Duration,
        id: u64,
    ) -> Option<ClientResponse> {
        let active = self.active_requests.get(&id)?;
        let ttl = active.request.entry().cache_ttl();
        match self.near_cache.look_up(now, &active.cache.key?, ttl) {
            NearCacheLookup::Fresh { reply, age } | NearCacheLookup::Stale { reply, age } => {
                Some(ClientResponse::cached(reply, age))
            }
            NearCacheLookup::Missing => None,
        }
    }

    /// Bypasses an owner that does not respond: serves a near cache response or calls
    /// the origin.
    pub(super) fn fetch_without_owner(&mut self, now: Duration, id: u64) {
        if let Some(response) = self.any_near_cache_response(now, id) {
            return self.finish(now, id, response);
        }
        self.enter_stage(now, id, Stage::AwaitingPermit);
    }

    /// Adds a request that missed the near cache to its group and returns its stage.
    pub(super) fn join_coalescing_group(&mut self, now: Duration, id: u64, key: CacheKey) -> Stage {
        match self.coalescer.join(key, id) {
            CoalescingRole::Leader => Stage::AwaitingCachedResponse {
                entered_at: now,
                accepts_any_age: false,
            },
            CoalescingRole::Follower => Stage::Following,
        }
    }

    /// Makes the request the leader of its group.
    fn become_leader(&mut self, now: Duration, id: u64) {
        let stage = Stage::AwaitingCachedResponse {
            entered_at: now,
            accepts_any_age: false,
        };
        self.enter_stage(now, id, stage);
    }

    /// Sends the request's response to all of its followers.
    fn respond_to_followers(
        &mut self,
        now: Duration,
        id: u64,
        key: &CacheKey,
        response: &ClientResponse,
    ) {
        for follower in self.coalescer.take_followers(key, id) {
            self.finish(now, follower, response.clone());
        }
    }

    /// Removes a request that has ended from its group. If a leader was rejected before
    /// its deadline without a call, its followers get the same rejection; otherwise the
    /// next follower becomes the leader.
    pub(super) fn remove_from_coalescing_group(
        &mut self,
        now: Duration,
        id: u64,
        active: &ActiveRequest,
        response: &ClientResponse,
    ) {
        let Some(key) = active.cache.key else { return };
        let is_rejected_uncalled =
            matches!(response, ClientResponse::Rejection(_)) && active.attempts.count == 0;
        if is_rejected_uncalled && now < active.deadline && self.coalescer.is_leader(&key, id) {
            self.respond_to_followers(now, id, &key, response);
        } else if let Some(next) = self.coalescer.remove(&key, id) {
            self.become_leader(now, next);
        } else if let Some(leader) = self.coalescer.leader(&key) {
            // The leader may have continued only for this follower.
            self.stop_if_abandoned(now, leader);
        }
    }

    /// Replaces leaders whose calls take too long, if they have followers.
    pub(super) fn replace_stalled_leaders(&mut self, now: Duration) {
        let is_stalled = |active: &ActiveRequest| matches!(&active.stage, Stage::Calling { sent_at, .. } if now >= *sent_at + REFRESH_TIMEOUT);
        let stalled: Vec<(u64, CacheKey)> = self
            .active_requests
            .iter()
            .filter(|(_, active)| is_stalled(active))
            .filter_map(|(id, active)| Some((*id, active.cache.key?)))
            .filter(|(id, key)| {
                self.coalescer.is_leader(key, *id) && self.coalescer.has_followers(key)
            })
            .collect();
        for (id, key) in stalled {
            if let Some(next) = self.coalescer.remove(&key, id) {
                self.become_leader(now, next);
            }
        }
    }

    /// Handles an origin's response to a cacheable request.
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
        // A response that was fetched before a purge that matches it may be sent to
        // its own client while the purge is recent. After that it is fetched again.
        let attributes = active.cache_entry_attributes(&fetched.reply);
        let purged_at = self
            .state
            .purge_log
            .first_match(fetched.fetch.purge_version, attributes);
        if let Some(grant) = grant {
            self.report_fill(grant, &fetched);
        }
        if purged_at.is_some_and(|purged_at| now >= purged_at + PURGE_GRACE) {
            return self.become_leader(now, id);
        }
        let age = now.saturating_sub(fetched.fetch.started_at);
        let response = ClientResponse::cached(fetched.reply.clone(), age);
        if fetched.is_cacheable && purged_at.is_none() {
            self.store_fetched(now, id, &fetched);
            self.respond_to_followers(now, id, &key, &response);
        } else if fetched.is_private {
            // Each follower fetches for itself.
            for follower in self.coalescer.take_followers(&key, id) {
                self.become_leader(now, follower);
            }
        }
        self.finish(now, id, response);
    }

    /// Sends the result of a refresh to the cache owner.
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
            attributes: self.active_requests[&id].cache_entry_attributes(&fetched.reply),
            reply: &fetched.reply,
            fetch_start: FetchStart::at(fetch_started_at),
            minor_expiry: (now + minor_lifetime(fetched.ttl)).min(major_expiry),
            major_expiry,
        };
        self.near_cache.put(now, fetched.key, entry);
    }

    /// Handles the owner's confirmation that the request is queued.
    pub(super) fn handle_get_queued(&mut self, now: Duration, queued: CacheGetQueued) {
        self.record_contact(now, queued.id);
    }

    /// Returns the fields of the request's stage if it waits for a cached response of
    /// this key.
    fn cache_wait(&self, id: u64, key: CacheKey) -> Option<CacheWait> {
        let active = self.active_requests.get(&id)?;
        match active.stage {
            Stage::AwaitingCachedResponse {
                entered_at,
                accepts_any_age,
            } if active.cache.key == Some(key) => Some(CacheWait {
                entered_at,
                accepts_any_age,
            }),
            _ => None,
        }
    }

    /// Handles a cached response from the owner.
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
        let attributes = active.cache_entry_attributes(&cached.reply);
        let network_delay = (now - wait.entered_at).saturating_sub(cached.owner_delay);
        let age = cached.age + network_delay;
        // The owner may not know yet that the time to live was shortened.
        let ttl = active.request.entry().cache_ttl();
        let remaining_ttl = cached
            .remaining_ttl
            .saturating_sub(network_delay)
            .min(ttl.saturating_sub(age));
        if remaining_ttl.is_zero()
            || !self
                .state
                .purge_log
                .is_clear(cached.purge_version, attributes)
        {
            let stage = Stage::AwaitingCachedResponse {
                entered_at: now,
                accepts_any_age: wait.accepts_any_age,
            };
            return self.enter_stage(now, id, stage);
        }
        let entry = NearCacheEntry {
            attributes,
            reply: &cached.reply,
            fetch_start: FetchStart::of_age(now, age),
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

    /// Handles the owner's message that makes the request the refresher of the key.
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

    /// Handles the owner's message that it has no response to share.
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

    /// Ends a failed request for which no cached response of any age is available.
    pub(super) fn finish_failed_fallback(&mut self, now: Duration, id: u64) {
        let rejection = self
            .active_requests
            .get_mut(&id)
            .and_then(|active| active.cache.pending_rejection.take())
            .unwrap_or_else(|| Rejection::not_run(503, "no_copy", "no copy came in time"));
        self.finish_rejected(now, id, rejection);
    }
}
