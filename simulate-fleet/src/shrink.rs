//! Shrinks a failing schedule to the faults that are required for the failure.
#[cfg(test)]
mod tests;

use crate::prelude::*;

/// Schedule shrinking: removes parts, halves first, while the failure persists.
pub struct Shrink;

impl Shrink {
    /// Returns a short sublist for which `still_fails` returns true.
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

    /// Returns a short schedule of the plan that violates the same first rule.
    pub fn plan(plan: &WorldPlan) -> Vec<(Duration, Fault)> {
        let broken_rules = |faults: &[(Duration, Fault)]| -> Vec<usize> {
            let report = World::new(WorldPlan {
                faults: faults.to_vec(),
                ..plan.clone()
            })
            .run();
            let verdicts = report.checker.verdicts().into_iter().enumerate();
            verdicts
                .filter(|(_, (_, verdict))| matches!(verdict, Verdict::Violated(_)))
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
        // Removes repairs that are no longer needed, all of one kind at a time.
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
