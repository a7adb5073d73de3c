//! Breadth-first search over all states that a cluster can reach: the first violation found is one with the fewest
//! actions.

use super::cluster::{Action, Cluster};
use std::collections::{HashMap, VecDeque};

/// Result of a search.
pub struct SearchResult {
    /// True if every state within the bounds was visited.
    pub complete: bool,
    /// Number of distinct states visited.
    pub states: usize,
    /// Number of actions applied.
    pub transitions: usize,
    /// Shortest sequence of actions to a violation, one action per line.
    pub violation: Option<String>,
}

/// Predecessor of each state on the first path to it, and the action between them.
type Parents = HashMap<u64, Option<(u64, Action)>>;

/// Searches all states reachable from `start`, up to the first violation or this number of states.
pub fn search(start: Cluster, max_states: usize) -> SearchResult {
    let mut parents: Parents = HashMap::from([(start.fingerprint(), None)]);
    let mut frontier = VecDeque::from([start.clone()]);
    let mut transitions = 0;
    while let Some(cluster) = frontier.pop_front() {
        let from = cluster.fingerprint();
        for action in cluster.actions() {
            transitions += 1;
            let mut next = cluster.clone();
            next.apply(action);
            let to = next.fingerprint();
            if parents.contains_key(&to) {
                continue;
            }
            parents.insert(to, Some((from, action)));
            if let Some(text) = &next.violation {
                let violation = Some(format!("{}{text}", trace(start, &parents, to)));
                return SearchResult {
                    complete: false,
                    states: parents.len(),
                    transitions,
                    violation,
                };
            }
            frontier.push_back(next);
        }
        if parents.len() >= max_states {
            break;
        }
    }
    SearchResult {
        complete: frontier.is_empty(),
        states: parents.len(),
        transitions,
        violation: None,
    }
}

/// Returns the actions from the start to a state.
fn trace(start: Cluster, parents: &Parents, end: u64) -> String {
    let mut actions = Vec::new();
    let mut at = end;
    while let Some((from, action)) = parents[&at] {
        actions.push(action);
        at = from;
    }
    let mut cluster = start;
    let mut text = String::new();
    for action in actions.into_iter().rev() {
        text.push_str(&cluster.describe(action));
        text.push('\n');
        cluster.apply(action);
    }
    text
}
