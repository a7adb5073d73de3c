//! Statistics of a record: share of successes, gaps, and calls relative to the
//! rate.
use super::*;

impl Checker {
    /// Returns the longest time between two successful requests, in seconds.
    pub fn longest_gap(&self) -> f64 {
        let mut ends: Vec<f64> = self
            .clients
            .iter()
            .filter(|call| call.status == 200)
            .map(|call| call.end)
            .collect();
        ends.sort_by(f64::total_cmp);
        ends.windows(2)
            .map(|pair| pair[1] - pair[0])
            .fold(0.0, f64::max)
    }

    /// Returns, for each service, the largest number of calls to one origin in
    /// 5 s and the limit.
    pub fn max_calls_by_service(&self) -> String {
        let mut max_calls: BTreeMap<&str, usize> = BTreeMap::new();
        for ((service, _), list) in self.calls_by_origin() {
            let max_of_service = max_calls.entry(service).or_default();
            *max_of_service = (*max_of_service).max(max_events_within(&list, 5.0).0);
        }
        let line = |(service, rate): (&String, &f64)| {
            format!(
                "{service}: at most {} calls in 5 s of {}",
                max_calls.get(service.as_str()).unwrap_or(&0),
                rate * 5.0
            )
        };
        self.max_rates
            .iter()
            .map(line)
            .collect::<Vec<_>>()
            .join(", ")
    }

    /// Counts unsuccessful requests by status and error code.
    pub fn unsuccessful_responses(&self) -> BTreeMap<(u16, &str), usize> {
        let mut codes = BTreeMap::new();
        for call in self.clients.iter().filter(|call| call.status != 200) {
            *codes.entry((call.status, call.code.as_str())).or_default() += 1;
        }
        codes
    }

    /// Counts successful and all requests by rank.
    pub fn shares(&self) -> BTreeMap<u32, (usize, usize)> {
        let mut shares: BTreeMap<u32, (usize, usize)> = BTreeMap::new();
        for call in &self.clients {
            let share = shares.entry(call.rank).or_default();
            share.0 += usize::from(call.status == 200);
            share.1 += 1;
        }
        shares
    }
}
