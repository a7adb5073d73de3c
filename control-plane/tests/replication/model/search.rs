//! Breadth-first search over all states a cluster can reach: the first
//! violation that is met is one with the fewest actions.

use super::cluster::{Action, Cluster};
use std::collections::{HashMap, VecDeque};

/// What a search found.
pub struct Found {
    /// True if every state within the bounds was met.
    pub complete: bool,
    /// Distinct states met.
    pub states: usize,
    /// Actions tried.
    pub transitions: usize,
    /// The shortest way to a violation, one action a line.
    pub violation: Option<String>,
}

/// Where a state was first come to from, and by what.
type Parents = HashMap<u64, Option<(u64, Action)>>;

/// Searches all states that `start` can reach, up to the first violation or to
/// so many states.
pub fn search(start: Cluster, most_states: usize) -> Found {
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
                return Found {
                    complete: false,
                    states: parents.len(),
                    transitions,
                    violation,
                };
            }
            frontier.push_back(next);
        }
        if parents.len() >= most_states {
            break;
        }
    }
    Found {
        complete: frontier.is_empty(),
        states: parents.len(),
        transitions,
        violation: None,
    }
}

/// The actions from the start to a state.
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
