//! Coalesces the requests of one edge that wait for the same key.
use crate::prelude::*;

/// For each key the one request that fetches it, and those that wait for what
/// it gets. Invariants:
/// - A request is in at most one group, as its leader or as a follower.
/// - A group lasts while it has a leader: whoever removes a leader is given the
///   next one, or all followers.
#[derive(Debug, Default)]
pub struct Coalescer {
    groups: HashMap<CacheKey, RequestGroup>,
}

#[derive(Debug)]
struct RequestGroup {
    leader: u64,
    followers: VecDeque<u64>,
}

/// The role of a request in its group.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum GroupRole {
    /// It fetches.
    Leader,
    /// It waits for what the leader gets.
    Follower,
}

impl Coalescer {
    /// Adds a request to the group of its key.
    pub fn join(&mut self, key: CacheKey, request: u64) -> GroupRole {
        match self.groups.get_mut(&key) {
            Some(group) => {
                group.followers.push_back(request);
                GroupRole::Follower
            }
            None => {
                let group = RequestGroup {
                    leader: request,
                    followers: VecDeque::new(),
                };
                self.groups.insert(key, group);
                GroupRole::Leader
            }
        }
    }

    /// The request that fetches this key.
    pub fn leader(&self, key: &CacheKey) -> Option<u64> {
        self.groups.get(key).map(|group| group.leader)
    }

    /// Whether any request fetches this key.
    pub fn has_leader(&self, key: &CacheKey) -> bool {
        self.groups.contains_key(key)
    }

    /// Whether this request fetches this key.
    pub fn leads(&self, key: &CacheKey, request: u64) -> bool {
        self.leader(key) == Some(request)
    }

    /// Whether requests wait for this key's leader.
    pub fn has_followers(&self, key: &CacheKey) -> bool {
        self.groups
            .get(key)
            .is_some_and(|group| !group.followers.is_empty())
    }

    /// Removes the request from its group; the next leader, if that changed.
    pub fn remove(&mut self, key: &CacheKey, request: u64) -> Option<u64> {
        let group = self.groups.get_mut(key)?;
        if group.leader != request {
            group.followers.retain(|follower| *follower != request);
            return None;
        }
        match group.followers.pop_front() {
            Some(next) => {
                group.leader = next;
                Some(next)
            }
            None => {
                self.groups.remove(key);
                None
            }
        }
    }

    /// Ends the group of this leader; its followers.
    pub fn dissolve(&mut self, key: &CacheKey, leader: u64) -> Vec<u64> {
        if !self.leads(key, leader) {
            return Vec::new();
        }
        self.groups
            .remove(key)
            .map_or_else(Vec::new, |group| group.followers.into())
    }
}
