//! Shrinks a failing schedule to the faults that it needs.
#[cfg(test)]
mod tests;

use crate::prelude::*;

/// Makes a schedule that breaks something short: leaves out parts, halves
/// first, as long as `breaks` still says yes.
pub struct Shrink;

impl Shrink {
    /// A short part of a list that still breaks, found by leaving parts out.
    pub fn list<T: Clone>(mut list: Vec<T>, still_fails: &dyn Fn(&[T]) -> bool) -> Vec<T> {
        let mut size = list.len().div_ceil(2);
        while size > 0 {
            let mut at = 0;
            while at < list.len() {
                let mut reduced = list.clone();
                reduced.drain(at..(at + size).min(list.len()));
                if still_fails(&reduced) {
                    list = reduced
                } else {
                    at += size
                }
            }
            size = if size == 1 { 0 } else { size.div_ceil(2) };
        }
        list
    }

    /// The schedule of a plan, with the same nevers broken.
    pub fn plan(plan: &WorldPlan) -> Vec<(Duration, Fault)> {
        let broken_rules = |faults: &[(Duration, Fault)]| -> Vec<usize> {
            let report = World::new(WorldPlan {
                faults: faults.to_vec(),
                ..plan.clone()
            })
            .run();
            let verdicts = report.checker.verdicts().into_iter().enumerate();
            verdicts
                .filter(|(_, (_, verdict))| matches!(verdict, Verdict::Broken(_)))
                .map(|(at, _)| at)
                .collect()
        };
        let first_broken_rule = broken_rules(&plan.faults).first().copied();
        let (repairs, faults): (Vec<_>, Vec<_>) = plan
            .faults
            .iter()
            .cloned()
            .partition(|(_, fault)| fault.is_repair());
        let merged = |faults: &[(Duration, Fault)]| {
            let mut list = [repairs.as_slice(), faults].concat();
            list.sort_by_key(|(at, _)| *at);
            list
        };
        let still_fails = |list: &[(Duration, Fault)]| {
            first_broken_rule
                .is_some_and(|first_broken_rule| broken_rules(list).contains(&first_broken_rule))
        };
        let faults = Shrink::list(faults.clone(), &|faults| still_fails(&merged(faults)));
        // Then those mends that mend nothing any more: all of one kind at once.
        let all_faults = merged(&faults);
        let kinds: BTreeSet<String> = repairs.iter().map(|(_, fault)| fault.kind()).collect();
        kinds
            .into_iter()
            .filter(|kind| kind != "start")
            .fold(all_faults, |list, kind| {
                let reduced: Vec<_> = list
                    .iter()
                    .filter(|(_, fault)| fault.kind() != kind)
                    .cloned()
                    .collect();
                if still_fails(&reduced) { reduced } else { list }
            })
    }
}
