//! Requests of one edge that wait for the same key.
use crate::prelude::*;

/// For each key the one request that asks for it, and those that wait for what
/// it gets. Invariants:
/// - A request stands in at most one group, as its leader or as a follower.
/// - A group lasts while its leader does: who takes a leader out is told who
///   leads next, or gets all followers.
#[derive(Debug, Default)]
pub struct Coalescer {
    groups: HashMap<CacheKey, Group>,
}

#[derive(Debug)]
struct Group {
    leader: u64,
    followers: VecDeque<u64>,
}

/// What a request is to its group.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum GroupRole {
    /// It asks.
    Leader,
    /// It waits for what the leader gets.
    Follower,
}

impl Coalescer {
    pub fn join(&mut self, key: CacheKey, request: u64) -> GroupRole {
        match self.groups.get_mut(&key) {
            Some(group) => {
                group.followers.push_back(request);
                GroupRole::Follower
            }
            None => {
                let group = Group {
                    leader: request,
                    followers: VecDeque::new(),
                };
                self.groups.insert(key, group);
                GroupRole::Leader
            }
        }
    }

    /// The request that asks for this key.
    pub fn leader(&self, key: &CacheKey) -> Option<u64> {
        self.groups.get(key).map(|group| group.leader)
    }

    /// Whether anybody asks for this key.
    pub fn is_led(&self, key: &CacheKey) -> bool {
        self.groups.contains_key(key)
    }

    pub fn leads(&self, key: &CacheKey, request: u64) -> bool {
        self.groups
            .get(key)
            .is_some_and(|group| group.leader == request)
    }

    pub fn has_followers(&self, key: &CacheKey) -> bool {
        self.groups
            .get(key)
            .is_some_and(|group| !group.followers.is_empty())
    }

    /// The request is out of its group; who leads it now, if that changed.
    pub fn leave(&mut self, key: &CacheKey, request: u64) -> Option<u64> {
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
