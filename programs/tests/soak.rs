//! The short form of the soak: real processes, callers that leave, overlapping
//! troubles. The long form is the program `soak`.
use stand_ins::prelude::*;
use stand_ins::soak::{Soak, SoakPlan};

const SPAN: Duration = Duration::from_secs(12);
/// Below this, too little happened to be a soak.
const MIN_REMAINING: usize = 50;

#[test]
fn disconnected_clients_leave_no_work_in_a_process_fleet() {
    for seed in [1, 2] {
        let name = format!("otterslip-soak-{}-{seed}", std::process::id());
        let folder = std::env::temp_dir().join(name);
        let plan = SoakPlan {
            seed,
            span: SPAN,
            folder: folder.clone(),
        };
        let verdict = Soak::run(plan).unwrap();
        assert!(
            verdict.broken.is_empty(),
            "seed {seed}: {:#?}",
            verdict.broken
        );
        assert!(verdict.left > MIN_REMAINING, "seed {seed}: {verdict}");
        assert!(verdict.sent_before > 0, "seed {seed}: {verdict}");
        let _ = fs::remove_dir_all(folder);
    }
}
