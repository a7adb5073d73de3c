//! Tests of the measurements for `docs/figures.md`.
use crate::prelude::*;

#[test]
fn two_expiries_cost_one_call_per_delta_under_load_burst() {
    let load_burst = Figures::load_burst(100, Duration::from_millis(200));
    assert!(load_burst.two_phase <= 13, "{load_burst:?}");
    assert!(
        load_burst.single_expiry > 10 * load_burst.two_phase,
        "{load_burst:?}"
    );
}

#[test]
fn cache_handover_spares_origins() {
    let deployment = Deployment::find("small").unwrap();
    // The difference for a single seed is smaller than the random variation.
    let sum = |dropped_message| {
        (1..=12)
            .map(|seed| {
                Figures::origin_calls_during_rolling_restart(&deployment, dropped_message, seed)
            })
            .collect::<Vec<_>>()
    };
    let (with, without) = (sum(""), sum("HandoverRequest"));
    assert!(
        with.iter().sum::<usize>() < without.iter().sum(),
        "{with:?} with, {without:?} without"
    );
}

#[test]
fn higher_ranks_win_when_origins_are_slow() {
    let (ranked, unranked) = (
        Figures::served_during_slowdown(false),
        Figures::served_during_slowdown(true),
    );
    let shares: Vec<f64> = ranked.values().map(|rank| rank.0).collect();
    assert!(shares.is_sorted(), "{ranked:?}");
    assert!(
        ranked[&9].0 > 0.99 && ranked[&9].0 > unranked[&9].0,
        "{ranked:?} without ranks {unranked:?}"
    );
    assert!(
        ranked[&9].1 < unranked[&9].1,
        "{ranked:?} without ranks {unranked:?}"
    );
    assert!(
        ranked[&5].2 < 1.0,
        "the lowest rank is rejected soon: {ranked:?}"
    );
}

#[test]
fn settled_acknowledgement_stays_within_lease_bound() {
    let deployment = Deployment::find("small").unwrap();
    let max = |isolate_edge| {
        Figures::acknowledgement_ticks(&deployment, isolate_edge)
            .into_values()
            .map(|spans| spans[2])
            .fold(0.0, f64::max)
    };
    assert!(max(false) < 5.0, "{}", max(false));
    assert!(max(true) < 20.0, "{}", max(true));
    assert!(max(true) > 5.0, "the change waited for the isolated edge");
}
