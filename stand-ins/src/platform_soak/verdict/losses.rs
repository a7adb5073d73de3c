//! LOST: requests that end without an answer under planned work.
use super::super::observations::*;
use super::super::routes::DEADLINE_MS;
use super::{JudgedRun, PlatformVerdict};

/// A try that lasted this part of its deadline has reached it.
const DEADLINE_SHARE: f64 = 0.99;

impl PlatformVerdict {
    pub(super) fn judge_losses(&mut self, run: &JudgedRun) {
        for one in &run.tries {
            if one.outcome != TryOutcome::Ended {
                continue;
            }
            match run.excuse_of(one) {
                Some(LossExcuse::WithinSlack) => self.cut_within_slack += 1,
                Some(_) => self.excused_ends += 1,
                None => {
                    let arrivals = run.arrivals.get(&one.id);
                    let lasted = one.ended - one.sent;
                    self.violate(
                        "LOST",
                        format!(
                            "ended {lasted:.3} s after its last byte, passed on: {arrivals:?}: {one:?}"
                        ),
                    );
                }
            }
        }
    }
}

/// Why a request that ended without an answer breaks no rule.
enum LossExcuse {
    /// It was sent behind another one and not passed on.
    BehindAnother,
    /// It was not passed on, and its end came within the slack.
    WithinSlack,
    /// Its deadline was reached.
    DeadlineReached,
    /// The origin was at work in the second half of the grace period.
    AtWorkAtGraceEnd,
}

impl JudgedRun<'_> {
    fn excuse_of(&self, one: &RequestTry) -> Option<LossExcuse> {
        let bounds = self.shape.bounds;
        let arrivals = self.arrivals.get(&one.id).map_or(&[][..], Vec::as_slice);
        let lasted = one.ended - one.sent;
        let deadline = DEADLINE_MS as f64 / 1000.0;
        if arrivals.is_empty() && one.pipelined_behind {
            return Some(LossExcuse::BehindAnother);
        }
        if arrivals.is_empty() && lasted <= bounds.loss_slack {
            return Some(LossExcuse::WithinSlack);
        }
        if lasted >= deadline * DEADLINE_SHARE {
            return Some(LossExcuse::DeadlineReached);
        }
        let at_work = arrivals
            .iter()
            .any(|arrival| arrival.at <= one.ended && one.ended <= arrival.finished);
        let in_second_half = self.events.iter().any(|event| {
            let second_half = event.at + bounds.grace_period / 2.0;
            event.kind == ProcessEventKind::Terminated
                && event.machine == one.machine
                && !event.control
                && (second_half..=event.at + bounds.grace_period + 1.0).contains(&one.ended)
        });
        (at_work && in_second_half).then_some(LossExcuse::AtWorkAtGraceEnd)
    }
}
