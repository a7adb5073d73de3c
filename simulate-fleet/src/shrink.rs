//! Shrinks a failing schedule to the faults that it needs.
#[cfg(test)]
mod tests;

use crate::prelude::*;

/// Makes a schedule that breaks something short: leaves out parts, halves
/// first, as long as `breaks` still says yes.
pub struct Shrink;

impl Shrink {
    /// A short part of a list that still breaks, found by leaving parts out.
    pub fn list<T: Clone>(mut list: Vec<T>, breaks: &dyn Fn(&[T]) -> bool) -> Vec<T> {
        let mut size = list.len().div_ceil(2);
        while size > 0 {
            let mut at = 0;
            while at < list.len() {
                let mut less = list.clone();
                less.drain(at..(at + size).min(list.len()));
                if breaks(&less) {
                    list = less
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
        let broken = |faults: &[(Duration, Fault)]| -> Vec<usize> {
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
        let first = broken(&plan.faults).first().copied();
        let (repairs, hurts): (Vec<_>, Vec<_>) = plan
            .faults
            .iter()
            .cloned()
            .partition(|(_, fault)| fault.repairs());
        let whole = |hurts: &[(Duration, Fault)]| {
            let mut list = [repairs.as_slice(), hurts].concat();
            list.sort_by_key(|(at, _)| *at);
            list
        };
        let breaks =
            |list: &[(Duration, Fault)]| first.is_some_and(|first| broken(list).contains(&first));
        let hurts = Shrink::list(hurts.clone(), &|hurts| breaks(&whole(hurts)));
        // Then those mends that mend nothing any more: all of one kind at once.
        let all = whole(&hurts);
        let kinds: BTreeSet<String> = repairs.iter().map(|(_, fault)| fault.kind()).collect();
        kinds
            .into_iter()
            .filter(|kind| kind != "start")
            .fold(all, |list, kind| {
                let less: Vec<_> = list
                    .iter()
                    .filter(|(_, fault)| fault.kind() != kind)
                    .cloned()
                    .collect();
                if breaks(&less) { less } else { list }
            })
    }
}
