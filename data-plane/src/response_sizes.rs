//! How large the answers of each route are.
use crate::prelude::*;

/// A moving average of the answers' bodies in bytes, by route.
#[derive(Debug, Default)]
pub struct ResponseSizes {
    by_route: Mutex<HashMap<String, f64>>,
}

/// The weight of the latest answer.
const LATEST: f64 = 0.1;

impl ResponseSizes {
    pub fn saw(&self, route: &str, bytes: usize) {
        let mut known = self.by_route.lock().expect("no holder panics");
        match known.get_mut(route) {
            Some(mean) => *mean += (bytes as f64 - *mean) * LATEST,
            None => {
                known.insert(route.into(), bytes as f64);
            }
        }
    }

    /// 0 for a route of which no answer was seen.
    pub fn expected(&self, route: &str) -> f64 {
        let known = self.by_route.lock().expect("no holder panics");
        known.get(route).copied().unwrap_or(0.0)
    }
}
