use simulate_fleet::prelude::*;

const HELP: &str = "what-if questions over the real planes, in virtual time

--deployment mombasa|trasa|small   (default small)
--edges N       number of edges (default: the deployment's)
--rate N        errands a second (default: the deployment's)
--seconds N     of virtual time (default 60)
--seed N        the first seed (default 1)
--seeds N       how many seeds, one after the other (default 1)
--faults none|random   (default random)
--trace 1       prints what happens
--figures 1     prints the figures of docs/figures.md, nothing else

Prints served shares, origin calls, nevers broken, and the seed that repeats it.
Exit code 1 if a never is broken.";

fn main() -> Result<()> {
    let mut flags = Flags::gather("simulate-fleet", HELP);
    let name = flags.take("--deployment", Some("small".to_string())).unwrap_or_default();
    let seconds = flags.take("--seconds", Some(60u64)).unwrap_or(60);
    let first = flags.take("--seed", Some(1u64)).unwrap_or(1);
    let seeds = flags.take("--seeds", Some(1u64)).unwrap_or(1);
    let edges = flags.take("--edges", Some(0usize)).unwrap_or(0);
    let rate = flags.take("--rate", Some(0u64)).unwrap_or(0);
    let faults = flags.take("--faults", Some("random".to_string())).unwrap_or_default();
    let trace = flags.take("--trace", Some(0u8)).unwrap_or(0) > 0;
    let figures = flags.take("--figures", Some(0u8)).unwrap_or(0) > 0;
    let deployment = Deployment::find(&name);
    if deployment.is_none() {
        flags.found("--deployment", "no such deployment");
    }
    if !["none", "random"].contains(&faults.as_str()) {
        flags.found("--faults", "no such faults");
    }
    if seconds < 20 {
        flags.found("--seconds", "at least 20");
    }
    flags.finish();
    if figures {
        Figures::print();
        return Ok(());
    }
    let mut deployment = deployment.context("deployment")?;
    if edges > 0 {
        deployment.edges = edges;
    }
    if rate > 0 {
        deployment.rate = rate;
    }
    let span = Duration::from_secs(seconds);
    let mut broken = 0;
    let mut held = [0; 12];
    for seed in first..first + seeds {
        let list = if faults == "random" { Schedule::random(&deployment, seed, span) } else { vec![] };
        let plan = WorldPlan { deployment: deployment.clone(), seed, span, faults: list, mute: "" };
        let began = Instant::now();
        let mut world = World::new(plan);
        world.trace = trace;
        let report = world.run();
        broken += show(seed, &report, seeds == 1, began.elapsed(), &mut held);
    }
    if seeds > 1 {
        println!("cases held, by never: {held:?}");
    }
    println!("{broken} of {seeds} seeds broke a never");
    std::process::exit(i32::from(broken > 0));
}

fn show(seed: u64, report: &Report, whole: bool, took: Duration, held: &mut [usize; 12]) -> usize {
    let checker = &report.checker;
    let shares: Vec<String> = checker
        .shares()
        .into_iter()
        .map(|(rank, (good, all))| format!("rank {rank} {:.1} %", 100.0 * good as f64 / all as f64))
        .collect();
    println!("seed {seed}: {} errands, {}, {} origin calls, {} steps in {} ms", checker.callers.len(), shares.join(", "), checker.origins.len(), report.steps, took.as_millis());
    if whole {
        let mut codes: BTreeMap<(u16, String), usize> = BTreeMap::new();
        for call in checker.callers.iter().filter(|call| call.status != 200) {
            *codes.entry((call.status, call.code.clone())).or_default() += 1;
        }
        println!("other answers: {codes:?}\nevents: {:?}\nlog at most {} bytes", report.notes, report.log_bytes);
    }
    let mut broken = 0;
    for (at, (never, verdict)) in checker.verdicts().into_iter().enumerate() {
        match verdict {
            Verdict::Broken(cases) => {
                broken = 1;
                println!("  {:2}. {never}: BROKEN in {} cases: {}", at + 1, cases.len(), cases.iter().take(4).cloned().collect::<Vec<_>>().join("; "));
            }
            Verdict::Held(cases) if !whole => held[at] += cases,
            verdict if whole => println!("  {:2}. {never}: {verdict:?}", at + 1),
            _ => {}
        }
    }
    broken
}
