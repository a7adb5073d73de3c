//! Rule on recovery: every entry is served again in time.
use super::*;

/// Time in seconds after a return of machines in which a fault belongs to the
/// return itself.
const SAME_MOMENT: f64 = 0.01;

impl Checker {
    /// Checks that every entry is served again, and every edge is ready, in
    /// time.
    pub(super) fn recovery_in_time(&self) -> Cases {
        let mut cases = Cases::default();
        let entries: BTreeSet<&str> = self
            .clients
            .iter()
            .map(|call| call.entry.as_str())
            .collect();
        for returned in self.fleet.iter().filter(|record| record.kind == "returned") {
            for entry in &entries {
                self.check_return(returned, entry, &mut cases);
            }
        }
        for ready in self
            .fleet
            .iter()
            .filter(|record| record.kind == "ready-again")
        {
            cases.add_case(
                (ready.at - MAX_RECOVERY_S, ready.at),
                ready.as_expected,
                || format!("{} was not ready in 15 s at {:.3}", ready.subject, ready.at),
            );
        }
        cases
    }

    /// Checks the first success of an entry after machines returned.
    fn check_return(&self, returned: &FleetRecord, entry: &str, cases: &mut Cases) {
        let calls = || {
            self.clients
                .iter()
                .filter(|call| call.entry == entry && call.end > returned.at)
        };
        let ledger_was_closed = calls().any(|call| {
            call.code == "ledger_recovering" && call.start < returned.at + MAX_RECOVERY_S
        });
        let limit = if ledger_was_closed {
            MAX_LEDGER_RECOVERY_S
        } else {
            MAX_RECOVERY_S
        };
        let first = calls()
            .filter(|call| call.status == 200)
            .map(|call| call.end - returned.at)
            .min_by(f64::total_cmp);
        if first.is_none_or(|first| first >= limit)
            && self.is_inconclusive(returned.at, limit, first)
        {
            return;
        }
        if let Some(first) = first {
            cases.record_margin(first / limit, || {
                format!("{entry} after {first:.2} of {limit} s")
            });
        }
        let span = (returned.at - MAX_RECOVERY_S, returned.at + MAX_RECOVERY_S);
        cases.add_case(span, first.is_some_and(|first| first < limit), || {
            format!(
                "{entry}: {} returned at {:.3}; first success after {first:?}",
                returned.subject, returned.at
            )
        });
    }

    /// Returns true if the record ends too early, or if another fault occurred
    /// before the limit.
    fn is_inconclusive(&self, returned: f64, limit: f64, first_success: Option<f64>) -> bool {
        let last = self.clients.iter().map(|call| call.end).fold(0.0, f64::max);
        let has_other_fault = self.fleet.iter().any(|record| {
            record.kind == "fault"
                && !record.as_expected
                && record.at > returned + SAME_MOMENT
                && record.at < returned + limit
        });
        has_other_fault || first_success.is_none() && last < returned + limit
    }
}
