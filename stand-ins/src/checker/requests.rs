//! Rules on requests: planned changes drop no request; no work for disconnected
//! clients.
use super::*;

/// Time in seconds after a planned change in which new requests are checked.
const PLANNED_SPAN: f64 = 10.0;
/// Time in seconds before and after an edge is killed in which it may drop
/// requests.
const KILL_SPAN: f64 = 0.5;

/// Times of the planned changes, the unplanned faults and the kills.
struct FaultTimes<'a> {
    planned: Vec<f64>,
    unplanned: Vec<f64>,
    /// Addresses of killed edges and the times of the kills.
    kills: Vec<(&'a str, f64)>,
}

impl<'a> FaultTimes<'a> {
    /// Collects the times from a fleet's records. For a fault, `as_expected` means
    /// that it was planned.
    fn from_records(fleet: &'a [FleetRecord]) -> FaultTimes<'a> {
        let times = |planned: bool| {
            fleet
                .iter()
                .filter(|record| record.kind == "fault" && record.as_expected == planned)
                .map(|record| record.at)
                .collect()
        };
        let kills = fleet
            .iter()
            .filter(|record| record.kind == "killed")
            .map(|record| (record.subject.as_str(), record.at))
            .collect();
        FaultTimes {
            planned: times(true),
            unplanned: times(false),
            kills,
        }
    }

    /// Returns true if the edge of the request was killed while the request was
    /// in flight.
    fn was_edge_killed(&self, call: &ClientRecord) -> bool {
        self.kills.iter().any(|(edge, at)| {
            *edge == call.edge && call.start < at + KILL_SPAN && call.end > at - KILL_SPAN
        })
    }

    /// Returns true if no unplanned fault explains a rejection of the request.
    fn is_unaffected_by_faults(&self, call: &ClientRecord) -> bool {
        // After a loss the ledger is closed for longer than the other effects
        // last.
        let span = if call.code == "ledger_recovering" {
            MAX_LEDGER_RECOVERY_S
        } else {
            FAULT_EFFECT_S
        };
        !any_within(&self.unplanned, call.start - span, call.end)
    }
}

/// Returns true if any of the times is between `from` and `to`, inclusive.
fn any_within(times: &[f64], from: f64, to: f64) -> bool {
    times.iter().any(|at| *at >= from && *at <= to)
}

impl Checker {
    /// Checks that no completely read request is left without a response, or is
    /// rejected because of a planned change alone. Requests with an unplanned
    /// fault shortly before or during them may be rejected, and an edge that is
    /// killed may drop its requests.
    pub(super) fn dropped_requests(&self) -> Cases {
        let mut cases = Cases::default();
        let times = FaultTimes::from_records(&self.fleet);
        for call in &self.clients {
            if !any_within(&times.planned, call.start - PLANNED_SPAN, call.end) {
                continue;
            }
            // A request on a refused connection was not read.
            let was_read = call.status != 0 || call.dropped;
            let rejected = was_read
                && times.is_unaffected_by_faults(call)
                && call.status != 200
                && !ALLOWED_REJECTION_CODES.contains(&call.code.as_str());
            let is_violation = (call.dropped || rejected) && !times.was_edge_killed(call);
            cases.add_case((call.start, call.end), !is_violation, || {
                format!(
                    "{} at {} at {:.3}: {} {}",
                    call.path, call.edge, call.start, call.status, call.code
                )
            });
        }
        cases
    }

    /// Checks that work ends when a client disconnects early. A violation is a
    /// request that is sent to an origin long after the disconnect, and any
    /// work that an edge itself reports as abandoned.
    pub(super) fn abandoned_work(&self) -> Cases {
        let mut cases = Cases::default();
        let observed = self
            .fleet
            .iter()
            .filter(|record| ["abandoned-work", "caller-left"].contains(&record.kind.as_str()));
        for record in observed {
            cases.add_case((record.at, record.at), record.as_expected, || {
                record.subject.clone()
            });
        }
        cases
    }
}
