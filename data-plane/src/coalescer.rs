//! Coalescing of the requests at one edge that need the same key.
use crate::prelude::*;

/// The groups of coalesced requests: for each key, the leader that fetches it and the
/// followers that wait for its response. Invariants:
/// - A request is in at most one group, as its leader or as a follower.
/// - A group exists while it has a leader: removing a leader returns the next one or all
///   followers.
#[derive(Debug, Default)]
pub struct Coalescer {
    groups: HashMap<CacheKey, CoalescingGroup>,
}

/// The requests for one key.
#[derive(Debug)]
struct CoalescingGroup {
    leader: u64,
    followers: VecDeque<u64>,
}

/// The role of a request in its coalescing group.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum CoalescingRole {
    /// The request fetches the key.
    Leader,
    /// The request waits for the leader's response.
    Follower,
}

impl Coalescer {
    /// Adds a request to the group of its key and returns its role there.
    pub fn join(&mut self, key: CacheKey, request: u64) -> CoalescingRole {
        match self.groups.get_mut(&key) {
            Some(group) => {
                group.followers.push_back(request);
                CoalescingRole::Follower
            }
            None => {
                let group = CoalescingGroup {
                    leader: request,
                    followers: VecDeque::new(),
                };
                self.groups.insert(key, group);
                CoalescingRole::Leader
            }
        }
    }

    /// Returns the request that fetches this key.
    pub fn leader(&self, key: &CacheKey) -> Option<u64> {
        self.groups.get(key).map(|group| group.leader)
    }

    /// Returns true if any request fetches this key.
    pub fn has_leader(&self, key: &CacheKey) -> bool {
        self.groups.contains_key(key)
    }

    /// Returns true if this request fetches this key.
    pub fn is_leader(&self, key: &CacheKey, request: u64) -> bool {
        self.leader(key) == Some(request)
    }

    /// Returns true if requests wait for this key's leader.
    pub fn has_followers(&self, key: &CacheKey) -> bool {
        self.groups
            .get(key)
            .is_some_and(|group| !group.followers.is_empty())
    }

    /// Removes the request from its group. Returns the next leader if the leader was
    /// removed and others are left.
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

    /// Removes the group of this leader and returns its followers.
    pub fn take_followers(&mut self, key: &CacheKey, leader: u64) -> Vec<u64> {
        if !self.is_leader(key, leader) {
            return Vec::new();
        }
        self.groups
            .remove(key)
            .map_or_else(Vec::new, |group| group.followers.into())
    }
}
