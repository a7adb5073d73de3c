//! Rules on origins: draining ones are left alone, retries and rates are bounded.
use super::*;

impl Checker {
    /// "Learned" is when the platform's call was read by a node that could
    /// take it, not when it was answered.
    pub(super) fn leaving_called(&self) -> Cases {
        let mut cases = Cases::default();
        for left in self.fleet.iter().filter(|one| one.what == "leaving") {
            let calls = || {
                self.origins
                    .iter()
                    .filter(|call| call.instance == left.subject && call.at > left.at)
            };
            if let Some(last) = calls().map(|call| call.at - left.at).max_by(f64::total_cmp) {
                cases.margin(last / GRACE, || format!("the last call {last:.3} s after"));
            }
            let count = calls().filter(|call| call.at > left.at + GRACE).count();
            cases.case((left.at - GRACE, left.at + GRACE), count == 0, || {
                format!("{} was called {count} times after 2 s", left.subject)
            });
        }
        // A probe carries nobody's request and is how another service at an
        // address is found out; but only where an allowed one was listed.
        let allowed: BTreeSet<&String> = self.rates.keys().collect();
        let listed: BTreeSet<&String> = self
            .origins
            .iter()
            .filter(|call| allowed.contains(&call.service))
            .map(|call| &call.address)
            .collect();
        for call in self
            .origins
            .iter()
            .filter(|call| !allowed.contains(&call.service))
        {
            let good = call.probe && listed.contains(&call.address);
            cases.case((call.at - GRACE, call.at), good, || {
                format!(
                    "{} at {} is of service {}",
                    call.path, call.address, call.service
                )
            });
        }
        cases
    }

    /// A probe repeats nobody's request and is no extra try; it counts against
    /// the rate.
    pub(super) fn extra_tries(&self) -> Cases {
        let mut cases = Cases::default();
        for service in self.rates.keys() {
            let mut known = HashSet::new();
            let (mut firsts, mut extras) = (Vec::new(), Vec::new());
            for call in self
                .origins
                .iter()
                .filter(|call| call.service == *service && !call.probe)
            {
                if known.insert(&call.request) {
                    firsts.push(call.at)
                } else {
                    extras.push(call.at)
                }
            }
            for at in &extras {
                let within = |list: &[f64]| {
                    list.partition_point(|time| *time <= *at)
                        - list.partition_point(|time| *time <= at - 10.0)
                };
                let (first, extra) = (within(&firsts), within(&extras));
                let bound = first as f64 * 0.2 + ALLOWANCE;
                cases.margin(extra as f64 / bound, || {
                    format!("{service}: {extra} extra of {first} first tries")
                });
                cases.case((at - 10.0, *at), extra as f64 <= bound, || {
                    format!("{service}: {extra} extra of {first} first tries at {at:.3}")
                });
            }
        }
        cases
    }

    /// Every origin counts; the span is the fullest five seconds.
    pub(super) fn over_rate(&self) -> Cases {
        let mut cases = Cases::default();
        for ((service, address), list) in self.calls_by_origin() {
            let Some(rate) = self.rates.get(service) else {
                continue;
            };
            let (most, from) = most_within(&list, 5.0);
            let bound = rate_bound(*rate);
            cases.margin(most as f64 / bound, || {
                format!("{service}: {most} calls in 5 s at {rate}/s")
            });
            cases.case((from, from + 5.0), most as f64 <= bound, || {
                format!("{address}: {most} calls in 5 s at {rate}/s, from {from:.3}")
            });
        }
        cases
    }

    pub(super) fn calls_by_origin(&self) -> BTreeMap<(&str, &str), Vec<f64>> {
        let mut times: BTreeMap<(&str, &str), Vec<f64>> = BTreeMap::new();
        for call in &self.origins {
            times
                .entry((&call.service, &call.address))
                .or_default()
                .push(call.at);
        }
        times
    }
}
