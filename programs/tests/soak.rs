//! Short soak test with real processes, clients that disconnect and overlapping faults. The
//! program `soak` runs the long form.
use stand_ins::prelude::*;
use stand_ins::soak::{Soak, SoakPlan};

/// Duration of the soak for each seed.
const SOAK_DURATION: Duration = Duration::from_secs(12);
/// Minimum number of client disconnects, so that the run is long enough to be a soak.
const MIN_DISCONNECTS: usize = 50;

#[test]
fn process_fleet_ends_work_of_disconnected_clients() {
    for seed in [1, 2] {
        let name = format!("otterslip-soak-{}-{seed}", std::process::id());
        let folder = std::env::temp_dir().join(name);
        let plan = SoakPlan {
            seed,
            span: SOAK_DURATION,
            folder: folder.clone(),
        };
        let verdict = Soak::run(plan).unwrap();
        assert!(
            verdict.violations.is_empty(),
            "seed {seed}: {:#?}",
            verdict.violations
        );
        assert!(
            verdict.disconnected > MIN_DISCONNECTS,
            "seed {seed}: {verdict}"
        );
        assert!(
            verdict.in_progress_at_disconnect > 0,
            "seed {seed}: {verdict}"
        );
        let _ = fs::remove_dir_all(folder);
    }
}
