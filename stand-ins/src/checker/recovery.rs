//! Rule on recovery: every kind of entry is served again in time.
use super::*;

/// Faults this shortly after a return belong to the return itself, in seconds.
const SAME_MOMENT: f64 = 0.01;

impl Checker {
    /// Every kind of entry is served again, and every edge is ready.
    pub(super) fn back_in_time(&self) -> Cases {
        let mut cases = Cases::default();
        let entries: BTreeSet<&str> = self
            .callers
            .iter()
            .map(|call| call.entry.as_str())
            .collect();
        for returned in self.fleet.iter().filter(|one| one.what == "returned") {
            for entry in &entries {
                self.judge_return(returned, entry, &mut cases);
            }
        }
        for ready in self.fleet.iter().filter(|one| one.what == "ready-again") {
            cases.case((ready.at - BACK, ready.at), ready.good, || {
                format!("{} was not ready in 15 s at {:.3}", ready.subject, ready.at)
            });
        }
        cases
    }

    /// The first success of an entry after machines returned.
    fn judge_return(&self, returned: &FleetRecord, entry: &str, cases: &mut Cases) {
        let calls = || {
            self.callers
                .iter()
                .filter(|call| call.entry == entry && call.end > returned.at)
        };
        let closed =
            calls().any(|call| call.code == "ledger_recovering" && call.start < returned.at + BACK);
        let limit = if closed { CLOSED } else { BACK };
        let first = calls()
            .filter(|call| call.status == 200)
            .map(|call| call.end - returned.at)
            .min_by(f64::total_cmp);
        if first.is_none_or(|first| first >= limit) && self.inconclusive(returned.at, limit, first)
        {
            return;
        }
        if let Some(first) = first {
            cases.margin(first / limit, || {
                format!("{entry} after {first:.2} of {limit} s")
            });
        }
        let span = (returned.at - BACK, returned.at + BACK);
        cases.case(span, first.is_some_and(|first| first < limit), || {
            format!(
                "{entry}: {} returned at {:.3}; first success after {first:?}",
                returned.subject, returned.at
            )
        });
    }

    /// A record that ends too soon shows nothing; nor does one in which
    /// something else was broken meanwhile.
    fn inconclusive(&self, returned: f64, limit: f64, first_success: Option<f64>) -> bool {
        let last = self.callers.iter().map(|call| call.end).fold(0.0, f64::max);
        let broken_meanwhile = self.fleet.iter().any(|one| {
            one.what == "fault"
                && !one.good
                && one.at > returned + SAME_MOMENT
                && one.at < returned + limit
        });
        broken_meanwhile || first_success.is_none() && last < returned + limit
    }
}
