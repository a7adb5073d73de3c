//! Figures of a record: success shares, gaps and calls against the rate.
use super::*;

impl Checker {
    /// The longest time in which errands ended and none with success.
    pub fn longest_gap(&self) -> f64 {
        let mut ends: Vec<f64> = self
            .callers
            .iter()
            .filter(|call| call.status == 200)
            .map(|call| call.end)
            .collect();
        ends.sort_by(f64::total_cmp);
        ends.windows(2)
            .map(|pair| pair[1] - pair[0])
            .fold(0.0, f64::max)
    }

    /// For each service, the most calls to one origin in 5 s, of what it may get.
    pub fn calls_against_rate(&self) -> String {
        let mut most: BTreeMap<&str, usize> = BTreeMap::new();
        for ((service, _), list) in self.calls_by_origin() {
            let known = most.entry(service).or_default();
            *known = (*known).max(most_within(&list, 5.0).0);
        }
        let one = |(service, rate): (&String, &f64)| {
            format!(
                "{service}: at most {} calls in 5 s of {}",
                most.get(service.as_str()).unwrap_or(&0),
                rate * 5.0
            )
        };
        self.rates.iter().map(one).collect::<Vec<_>>().join(", ")
    }

    /// Errands that were not served, by status and code.
    pub fn other_answers(&self) -> BTreeMap<(u16, &str), usize> {
        let mut codes = BTreeMap::new();
        for call in self.callers.iter().filter(|call| call.status != 200) {
            *codes.entry((call.status, call.code.as_str())).or_default() += 1;
        }
        codes
    }

    /// Share of errands with a success, by rank.
    pub fn shares(&self) -> BTreeMap<u32, (usize, usize)> {
        let mut shares: BTreeMap<u32, (usize, usize)> = BTreeMap::new();
        for call in &self.callers {
            let share = shares.entry(call.rank).or_default();
            share.0 += usize::from(call.status == 200);
            share.1 += 1;
        }
        shares
    }
}
