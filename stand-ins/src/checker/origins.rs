//! Rules on origins: no calls to draining origins; bounded retries and call
//! rates.
use super::*;

impl Checker {
    /// Checks that draining origins and origins of other services get no calls.
    ///
    /// The allowed time begins when a node that can apply the platform's request
    /// has read the request, not when the node responds.
    pub(super) fn calls_to_draining_origins(&self) -> Cases {
        let mut cases = Cases::default();
        for drained in self.fleet.iter().filter(|record| record.kind == "leaving") {
            let calls = || {
                self.origins
                    .iter()
                    .filter(|call| call.instance == drained.subject && call.at > drained.at)
            };
            if let Some(last) = calls()
                .map(|call| call.at - drained.at)
                .max_by(f64::total_cmp)
            {
                cases.record_margin(last / GRACE_S, || {
                    format!("the last call {last:.3} s after")
                });
            }
            let count = calls()
                .filter(|call| call.at > drained.at + GRACE_S)
                .count();
            cases.add_case(
                (drained.at - GRACE_S, drained.at + GRACE_S),
                count == 0,
                || format!("{} was called {count} times after 2 s", drained.subject),
            );
        }
        // A health check carries no client request, and it detects that another
        // service uses an address. It is allowed only at addresses that were
        // listed for an allowed service.
        let allowed: BTreeSet<&String> = self.max_rates.keys().collect();
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
            let is_allowed = call.probe && listed.contains(&call.address);
            cases.add_case((call.at - GRACE_S, call.at), is_allowed, || {
                format!(
                    "{} at {} belongs to service {}",
                    call.path, call.address, call.service
                )
            });
        }
        cases
    }

    /// Checks the retry budget.
    ///
    /// A health check repeats no client request and is not a retry, but it
    /// counts against the rate.
    pub(super) fn retries_over_budget(&self) -> Cases {
        let mut cases = Cases::default();
        for service in self.max_rates.keys() {
            let mut known_requests = HashSet::new();
            let (mut first_attempts, mut retries) = (Vec::new(), Vec::new());
            for call in self
                .origins
                .iter()
                .filter(|call| call.service == *service && !call.probe)
            {
                if known_requests.insert(&call.request) {
                    first_attempts.push(call.at)
                } else {
                    retries.push(call.at)
                }
            }
            for at in &retries {
                let count_recent = |list: &[f64]| {
                    list.partition_point(|time| *time <= *at)
                        - list.partition_point(|time| *time <= at - 10.0)
                };
                let (first, retry_count) = (count_recent(&first_attempts), count_recent(&retries));
                let bound = first as f64 * 0.2 + RETRY_ALLOWANCE;
                cases.record_margin(retry_count as f64 / bound, || {
                    format!("{service}: {retry_count} retries, {first} first attempts")
                });
                cases.add_case((at - 10.0, *at), retry_count as f64 <= bound, || {
                    format!("{service}: {retry_count} retries, {first} first attempts at {at:.3}")
                });
            }
        }
        cases
    }

    /// Checks the rate of each origin in its busiest five seconds.
    pub(super) fn calls_over_rate(&self) -> Cases {
        let mut cases = Cases::default();
        for ((service, address), list) in self.calls_by_origin() {
            let Some(rate) = self.max_rates.get(service) else {
                continue;
            };
            let (max_calls, from) = max_events_within(&list, 5.0);
            let bound = rate_bound(*rate);
            cases.record_margin(max_calls as f64 / bound, || {
                format!("{service}: {max_calls} calls in 5 s at {rate}/s")
            });
            cases.add_case((from, from + 5.0), max_calls as f64 <= bound, || {
                format!("{address}: {max_calls} calls in 5 s at {rate}/s, from {from:.3}")
            });
        }
        cases
    }

    /// Returns the times of the calls, in seconds, by service and address.
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
