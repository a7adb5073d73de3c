//! Checks the rules and their bounds for a run, from outside the processes.
mod configuration;
mod contact;
mod drain;
mod losses;

use super::observations::*;
use super::series::Scenario;
use super::shape::FleetShape;
use crate::prelude::*;
use contact::ContactRecord;
use hdrhistogram::Histogram;

/// Results of a run.
pub struct PlatformVerdict {
    /// Number of request attempts.
    pub attempts: usize,
    /// Number of operations that clients began.
    pub operations: usize,
    /// Number of operations with a successful response in time.
    pub served: usize,
    /// Number of requests of operators, each with all its attempts.
    pub operator_requests: usize,
    /// Number of processes that received SIGTERM.
    pub stops: usize,
    /// Number of processes that were killed at the end of their grace period.
    pub killed_after_grace: usize,
    /// Number of attempts that ended without a response within `loss_slack_s`
    /// of their last byte and were not forwarded to an origin.
    pub lost_within_slack: usize,
    /// Number of other attempts that ended without a response but within the
    /// rules.
    pub excused_losses: usize,
    /// Number of operator requests that were checked against the acknowledgement bound.
    pub checked_operator_requests: usize,
    /// Time from an order to its acknowledgement, in milliseconds.
    pub acknowledgement_ms: Histogram<u64>,
    /// Time from the listing of an origin as draining to the last request that
    /// reached it, in milliseconds.
    pub drain_ms: Histogram<u64>,
    /// Time from SIGTERM to the end of the process, in milliseconds.
    pub stop_ms: Histogram<u64>,
    /// Violations of the rules.
    pub violations: Vec<Violation>,
}

/// Violation of a rule.
#[derive(Debug, Clone)]
pub struct Violation {
    /// Name of the rule.
    pub rule: &'static str,
    /// Description of the violation.
    pub text: String,
}

/// Number of significant decimal digits of the histograms.
const HISTOGRAM_DIGITS: u8 = 3;

fn histogram() -> Histogram<u64> {
    Histogram::new(HISTOGRAM_DIGITS).expect("the precision is valid")
}

fn record_seconds(histogram: &mut Histogram<u64>, seconds: f64) {
    let milliseconds = (seconds.max(0.0) * 1000.0) as u64;
    histogram
        .record(milliseconds)
        .expect("the histogram resizes automatically");
}

/// Observations of a run, prepared for the rules.
pub(super) struct RunObservations<'a> {
    shape: &'a FleetShape,
    attempts: Vec<RequestAttempt>,
    arrivals: HashMap<String, Vec<Arrival>>,
    orders: Vec<Order>,
    departures: Vec<OriginDeparture>,
    events: Vec<ProcessEvent>,
    list_faults: Vec<Interval>,
    contact: ContactRecord,
}

impl PlatformVerdict {
    /// Checks a run; `read_back` is the configuration at its end.
    pub fn of(
        shape: &FleetShape,
        scenario: Scenario,
        observations: &Observations,
        read_back: Option<&serde_json::Value>,
    ) -> PlatformVerdict {
        let mut arrivals: HashMap<String, Vec<Arrival>> = HashMap::new();
        for arrival in observations.arrivals() {
            let list = arrivals.entry(arrival.request_id.clone()).or_default();
            list.push(arrival);
        }
        let events = observations.process_events();
        let run = RunObservations {
            shape,
            attempts: observations.attempts(),
            arrivals,
            orders: observations.orders(),
            departures: observations.departures(),
            contact: ContactRecord::new(&events, shape.bounds.contact_window),
            events,
            list_faults: observations.list_faults(),
        };
        let mut verdict = PlatformVerdict::new(&run, &observations.operations());
        verdict.check_processes(&run);
        verdict.check_served_fraction(&run);
        if scenario.is_planned() {
            verdict.check_losses(&run);
        }
        verdict.check_drain(&run);
        verdict.check_acknowledgements(&run);
        verdict.check_configuration(&run);
        verdict.check_keys(&run);
        verdict.check_read_back(&run, read_back);
        verdict
    }

    fn new(run: &RunObservations, operations: &[ClientOperation]) -> PlatformVerdict {
        PlatformVerdict {
            attempts: run.attempts.len(),
            operations: operations.len(),
            served: operations
                .iter()
                .filter(|operation| operation.served)
                .count(),
            operator_requests: run.orders.len(),
            stops: 0,
            killed_after_grace: 0,
            lost_within_slack: 0,
            excused_losses: 0,
            checked_operator_requests: 0,
            acknowledgement_ms: histogram(),
            drain_ms: histogram(),
            stop_ms: histogram(),
            violations: Vec::new(),
        }
    }

    fn add_violation(&mut self, rule: &'static str, text: String) {
        self.violations.push(Violation { rule, text });
    }

    fn check_processes(&mut self, run: &RunObservations) {
        let mut terminated: HashMap<(usize, bool), f64> = HashMap::new();
        for event in &run.events {
            let process = (event.machine, event.control);
            match event.kind {
                ProcessEventKind::Terminated => {
                    self.stops += 1;
                    terminated.insert(process, event.at);
                }
                ProcessEventKind::Ended | ProcessEventKind::KilledAfterGrace => {
                    if let Some(since) = terminated.remove(&process) {
                        record_seconds(&mut self.stop_ms, event.at - since);
                    }
                    let killed = event.kind == ProcessEventKind::KilledAfterGrace;
                    self.killed_after_grace += usize::from(killed);
                }
                ProcessEventKind::Crashed => {
                    self.add_violation(
                        "Fault",
                        format!("a process exited unexpectedly: {event:?}"),
                    );
                }
                _ => {}
            }
        }
    }

    fn check_served_fraction(&mut self, run: &RunObservations) {
        let fraction = self.served as f64 / self.operations.max(1) as f64;
        if fraction < run.shape.bounds.min_served_fraction {
            let text = format!("{} of {} served", self.served, self.operations);
            self.add_violation("FLOOR", text);
        }
    }

    fn check_acknowledgements(&mut self, run: &RunObservations) {
        let bounds = run.shape.bounds;
        for order in &run.orders {
            if matches!(order.content, OrderContent::Invalid) {
                if order.acknowledged.is_some() {
                    self.add_violation(
                        "CONFIG",
                        format!("an invalid order was accepted: {order:?}"),
                    );
                }
                continue;
            }
            if let Some(acknowledged) = order.acknowledged {
                record_seconds(&mut self.acknowledgement_ms, acknowledged - order.sent);
            }
            if let Some(status) = order.refused {
                self.add_violation("CONFIG", format!("rejected with {status}: {order:?}"));
            }
            let limit = bounds.ack_timeout + bounds.ack_timeout_per_route * order.routes as f64;
            if !run.contact.is_settled(order.sent, order.sent + limit) {
                continue;
            }
            self.checked_operator_requests += 1;
            let delay = order
                .acknowledged
                .map_or(f64::INFINITY, |at| at - order.sent);
            if delay > limit && order.refused.is_none() {
                self.add_violation("ACKS", format!("{delay:.3} s of {limit:.3}: {order:?}"));
            }
        }
    }

    fn check_keys(&mut self, run: &RunObservations) {
        let mut executions: HashMap<&str, Vec<&Arrival>> = HashMap::new();
        for arrival in run.arrivals.values().flatten() {
            if let Some(key) = &arrival.key {
                executions.entry(key).or_default().push(arrival);
            }
        }
        for (key, arrivals) in executions {
            if arrivals.len() > 1 {
                self.add_violation(
                    "TWICE",
                    format!("{key} was executed more than once: {arrivals:?}"),
                );
            }
        }
    }

    /// Returns a summary of the counts.
    pub fn summary(&self) -> String {
        let percentiles = |name: &str, histogram: &Histogram<u64>| {
            format!(
                "{name} p50 {} p99 {} max {} ms ({})",
                histogram.value_at_quantile(0.5),
                histogram.value_at_quantile(0.99),
                histogram.max(),
                histogram.len(),
            )
        };
        let mut by_rule: BTreeMap<&str, usize> = BTreeMap::new();
        for violation in &self.violations {
            *by_rule.entry(violation.rule).or_default() += 1;
        }
        format!(
            "{} of {} operations served, {} attempts ({} lost within the slack, {} otherwise ended within the rules), {} orders ({} checked), {} stops ({} killed after the grace period); {}; {}; {}; violations {:?}",
            self.served,
            self.operations,
            self.attempts,
            self.lost_within_slack,
            self.excused_losses,
            self.operator_requests,
            self.checked_operator_requests,
            self.stops,
            self.killed_after_grace,
            percentiles("acknowledgement", &self.acknowledgement_ms),
            percentiles("drain", &self.drain_ms),
            percentiles("stop", &self.stop_ms),
            by_rule,
        )
    }
}
