//! Moving averages of the response sizes of each route.
use crate::prelude::*;

/// The moving average of the size of response bodies in bytes, by route.
#[derive(Debug, Default)]
pub struct ResponseSizes {
    mean_by_route: Mutex<HashMap<String, f64>>,
}

/// Weight of the latest response in the moving average.
const LATEST_WEIGHT: f64 = 0.1;

impl ResponseSizes {
    /// Records the size of a response.
    pub fn record(&self, route: &str, bytes: usize) {
        let mut means = self.mean_by_route.lock().expect("no holder panics");
        match means.get_mut(route) {
            Some(mean) => *mean += (bytes as f64 - *mean) * LATEST_WEIGHT,
            None => {
                means.insert(route.into(), bytes as f64);
            }
        }
    }

    /// Returns the expected size in bytes; 0 for a route without a recorded response.
    pub fn expected(&self, route: &str) -> f64 {
        let means = self.mean_by_route.lock().expect("no holder panics");
        means.get(route).copied().unwrap_or(0.0)
    }
}
