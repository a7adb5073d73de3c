//! Rule LOST: no request ends without a response during planned work.
use super::super::observations::*;
use super::super::routes::DEADLINE_MS;
use super::{PlatformVerdict, RunObservations};

/// Fraction of the deadline from which an attempt counts as having reached its
/// deadline.
const DEADLINE_FRACTION: f64 = 0.99;

impl PlatformVerdict {
    pub(super) fn check_losses(&mut self, run: &RunObservations) {
        for attempt in &run.attempts {
            if attempt.outcome != AttemptOutcome::Ended {
                continue;
            }
            match run.loss_excuse(attempt) {
                Some(LossExcuse::WithinSlack) => self.lost_within_slack += 1,
                Some(_) => self.excused_losses += 1,
                None => {
                    let arrivals = run.arrivals.get(&attempt.id);
                    let duration_s = attempt.ended - attempt.sent;
                    self.add_violation(
                        "LOST",
                        format!(
                            "ended {duration_s:.3} s after its last byte, forwarded as: {arrivals:?}: {attempt:?}"
                        ),
                    );
                }
            }
        }
    }
}

/// Reason why a request without a response is not a violation.
enum LossExcuse {
    /// The request was pipelined behind another one and not forwarded.
    BehindAnother,
    /// The request was not forwarded and ended within the slack.
    WithinSlack,
    /// The deadline was reached.
    DeadlineReached,
    /// The origin was processing the request in the second half of the grace
    /// period.
    ProcessingAtGraceEnd,
}

impl RunObservations<'_> {
    fn loss_excuse(&self, attempt: &RequestAttempt) -> Option<LossExcuse> {
        let bounds = self.shape.bounds;
        let arrivals = self
            .arrivals
            .get(&attempt.id)
            .map_or(&[][..], Vec::as_slice);
        let duration_s = attempt.ended - attempt.sent;
        let deadline = DEADLINE_MS as f64 / 1000.0;
        if arrivals.is_empty() && attempt.pipelined_behind {
            return Some(LossExcuse::BehindAnother);
        }
        if arrivals.is_empty() && duration_s <= bounds.loss_slack {
            return Some(LossExcuse::WithinSlack);
        }
        if duration_s >= deadline * DEADLINE_FRACTION {
            return Some(LossExcuse::DeadlineReached);
        }
        let was_processing = arrivals
            .iter()
            .any(|arrival| arrival.at <= attempt.ended && attempt.ended <= arrival.finished);
        let in_second_half = self.events.iter().any(|event| {
            let second_half = event.at + bounds.grace_period / 2.0;
            event.kind == ProcessEventKind::Terminated
                && event.machine == attempt.machine
                && !event.control
                && (second_half..=event.at + bounds.grace_period + 1.0).contains(&attempt.ended)
        });
        (was_processing && in_second_half).then_some(LossExcuse::ProcessingAtGraceEnd)
    }
}
