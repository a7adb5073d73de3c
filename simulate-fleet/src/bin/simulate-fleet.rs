//! Answers what-if questions: plays schedules of faults and prints what broke.
use simulate_fleet::prelude::*;

const HELP: &str = "what-if questions over the real planes, in virtual time

--deployment mombasa|trasa|small   (default small)
--edges N       number of edges (default: the deployment's)
--rate N        errands a second (default: the deployment's)
--seconds N     of virtual time (default 120: repeats come up to 70 s later)
--seed N        the first seed (default 1)
--seeds N       how many seeds, one after the other (default 1)
--control N     control nodes (default 3; others found their table themselves)
--zones N       spreads the nodes over so many zones
--service-rate NAME=N   calls a second one origin of a service may get; one
--lost N --late N --doubled N   of a hundred messages, all the time
--faults none|random   (default random)
--script FILE   what happens when, see docs/simulator.md; instead of --faults
--drift N       clocks are off by up to so many millionths (default 1000)
--shrink 1      makes the schedule of a broken seed short and prints it as a script
--trace 1       prints what happens; 2: messages between control nodes, too
--figures 1     prints the figures of docs/figures.md, nothing else
--capacity A,B  prints the tables of docs/CAPACITY.md for so many hollow edges
                (all: 16,64,256,1100) and --control nodes (default 12), nothing else

Prints served shares by rank, origin calls against their rate, moves of duties,
longest gap without a success, nevers broken, and the seed that repeats it.
Exit code 1 if a never is broken.";

fn main() -> Result<()> {
    let mut flags = Flags::gather("simulate-fleet", HELP);
    let name = flags
        .take("--deployment", Some("small".to_string()))
        .unwrap_or_default();
    let seconds = flags.take("--seconds", Some(120u64)).unwrap_or(60);
    let first = flags.take("--seed", Some(1u64)).unwrap_or(1);
    let seeds = flags.take("--seeds", Some(1u64)).unwrap_or(1);
    let control = flags.take("--control", Some(0usize)).unwrap_or(0);
    let (controls, control) = (control > 0, if control == 0 { 3 } else { control });
    if !(1..=MAX_SLOTS).contains(&control) {
        flags.found("--control", "1 to 16");
    }
    let edges = flags.take("--edges", Some(0usize)).unwrap_or(0);
    let rate = flags.take("--rate", Some(0u64)).unwrap_or(0);
    let faults = flags
        .take("--faults", Some("random".to_string()))
        .unwrap_or_default();
    let trace = flags.take("--trace", Some(0u8)).unwrap_or(0);
    let shrink = flags.take("--shrink", Some(0u8)).unwrap_or(0) > 0;
    let drift = flags.take("--drift", Some(1000u64)).unwrap_or(0);
    let sizes = flags
        .take("--capacity", Some(String::new()))
        .unwrap_or_default();
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
    let zones = flags.take("--zones", Some(0usize)).unwrap_or(0);
    let service_rate = flags
        .take("--service-rate", Some(String::new()))
        .unwrap_or_default();
    let weather =
        ["--lost", "--doubled", "--late"].map(|name| flags.take(name, Some(0u64)).unwrap_or(0));
    let script = flags
        .take("--script", Some(String::new()))
        .filter(|path| !path.is_empty());
    let mut deployment = deployment.unwrap_or_else(|| Deployment::find("small").expect("known"));
    if edges > 0 {
        deployment.edges = edges;
    }
    if rate > 0 {
        deployment.rate = rate;
    }
    if zones > 0 {
        const NAMES: [&str; 8] = [
            "zone-1", "zone-2", "zone-3", "zone-4", "zone-5", "zone-6", "zone-7", "zone-8",
        ];
        deployment.zones = NAMES[..zones.min(8)].to_vec();
    }
    if weather.iter().any(|share| *share > 90) {
        flags.found("--lost, --doubled, --late", "at most 90 of a hundred");
    }
    if !service_rate.is_empty() {
        let parts = service_rate
            .split_once('=')
            .and_then(|(name, rate)| Some((name, rate.parse::<f64>().ok()?)));
        match parts.and_then(|(name, rate)| {
            Some((
                deployment
                    .services
                    .iter_mut()
                    .find(|one| one.name == name)?,
                rate,
            ))
        }) {
            Some((service, rate)) => service.rate = rate,
            None => flags.found(
                "--service-rate",
                "must be a service of the deployment, = and a number",
            ),
        }
    }
    let mut scripted = None;
    if let Some(path) = &script {
        match fs::read_to_string(path)
            .map_err(|error| vec![Finding::new("", error.to_string())])
            .and_then(|text| Script::read(&text, &deployment, control))
        {
            Ok(list) => scripted = Some(list),
            Err(found) => found.iter().for_each(|finding| {
                flags.found(&format!("{path}{}", finding.place), &finding.text)
            }),
        }
    }
    let hollow: Vec<usize> = if sizes == "all" {
        SIZES.to_vec()
    } else {
        sizes
            .split(',')
            .filter_map(|size| size.trim().parse().ok())
            .collect()
    };
    if !sizes.is_empty() && (hollow.is_empty() || hollow.contains(&0)) {
        flags.found("--capacity", "all, or numbers of edges, as 16,64");
    }
    flags.finish();
    if !hollow.is_empty() {
        return capacity(&hollow, if controls { control } else { CONTROL });
    }
    if figures {
        Figures::print();
        return Ok(());
    }
    let span = Duration::from_secs(seconds);
    let mut broken = 0;
    let mut sum = Sum::default();
    for seed in first..first + seeds {
        let mut list = match &scripted {
            Some(list) => list.clone(),
            None if faults == "random" => Schedule::random(&deployment, control, seed, span),
            None => vec![],
        };
        let [lost, doubled, late] = weather;
        if (lost, doubled, late) != (0, 0, 0) {
            list.insert(
                0,
                (
                    Duration::from_secs(3),
                    Fault::LossyNetwork {
                        lost,
                        doubled,
                        late,
                    },
                ),
            );
        }
        let plan = WorldPlan {
            drift,
            clients_disconnect: scripted.is_none() && faults == "random",
            ..WorldPlan::new(deployment.clone(), seed, span, list).of(control)
        };
        let began = Instant::now();
        let mut world = World::new(plan.clone());
        world.trace = trace > 0;
        world.trace_messages = trace > 1;
        let report = world.run();
        let bad = show(seed, &report, seeds == 1, began.elapsed(), &mut sum);
        broken += bad;
        if bad > 0 && shrink {
            println!(
                "seed {seed}, made short:\n{}",
                Script::write(&Shrink::plan(&plan), &plan.deployment)
            );
        }
    }
    sum.print();
    println!("{broken} of {seeds} seeds broke a never");
    std::process::exit(i32::from(broken > 0));
}

#[global_allocator]
static COUNTED: &stats_alloc::StatsAlloc<std::alloc::System> = &stats_alloc::INSTRUMENTED_SYSTEM;

fn capacity(sizes: &[usize], control: usize) -> Result<()> {
    let used = || {
        let stats = COUNTED.stats();
        Some((stats.bytes_allocated - stats.bytes_deallocated) as u64)
    };
    let mut list = Vec::new();
    for edges in sizes {
        let began = Instant::now();
        let sized = Capacity::measure(*edges, control, &used)?;
        println!(
            "{edges} edges, {control} control nodes: {} live, {} regions, run in {:.1} s",
            sized.live,
            sized.regions,
            began.elapsed().as_secs_f64()
        );
        for (role, name) in sized.quiet.sent.keys() {
            let (frames, bytes) = sized.quiet.rate(*role, name);
            println!("  {role:?} sends {name}: {frames:.0} frames, {bytes:.0} bytes a second");
        }
        for ((role, name), (count, took, most)) in &sized.quiet.steps {
            println!(
                "  {role:?} takes {name}: {count} steps, {:.1} us each, at most {:.1} us",
                took.as_secs_f64() * 1e6 / *count as f64,
                most.as_secs_f64() * 1e6
            );
        }
        list.push(sized);
    }
    println!(
        "\n{}\n{}",
        Sized::table(&list, &Sized::counts),
        Sized::table(&list, &Sized::times)
    );
    Ok(())
}

/// Over all seeds: cases held, worst margins, and how many faults of each
/// kind fell into the cases of each never.
#[derive(Default)]
struct Sum {
    held: [usize; JUDGED],
    worst: BTreeMap<usize, (f64, String)>,
    fell: BTreeMap<String, [usize; JUDGED]>,
}

impl Sum {
    fn print(&self) {
        println!("cases held, by never: {:?}", self.held);
        for (never, (used, text)) in &self.worst {
            println!(
                "never {}: at most {:.0} % of the bound: {text}",
                never + 1,
                used * 100.0
            );
        }
        println!(
            "faults that fell into the cases of each never:\n{:>20} {}",
            "",
            (1..=JUDGED)
                .map(|never| format!("{never:>6}"))
                .collect::<String>()
        );
        for (kind, row) in &self.fell {
            println!(
                "{kind:>20} {}",
                row.iter()
                    .map(|count| format!("{count:>6}"))
                    .collect::<String>()
            );
        }
    }
}

fn show(seed: u64, report: &Report, whole: bool, took: Duration, sum: &mut Sum) -> usize {
    let checker = &report.checker;
    let shares: Vec<String> = checker
        .shares()
        .into_iter()
        .map(|(rank, (good, all))| format!("rank {rank} {:.1} %", 100.0 * good as f64 / all as f64))
        .collect();
    println!(
        "seed {seed}: {} errands, {}, {} origin calls, {} steps in {} ms",
        checker.callers.len(),
        shares.join(", "),
        checker.origins.len(),
        report.steps,
        took.as_millis()
    );
    let moves = report.notes.get(&Event::AssignmentRevoked).unwrap_or(&0);
    println!(
        "  duties moved {moves}; longest gap without a success {:.2} s; {}",
        checker.longest_gap(),
        checker.calls_against_rate()
    );
    if whole {
        let codes = checker.other_answers();
        println!(
            "other answers: {codes:?}\nevents: {:?}\nlog at most {} bytes",
            report.notes, report.log_bytes
        );
    }
    let mut broken = 0;
    let nevers = checker.cases();
    for (kind, row) in checker.coverage(&nevers) {
        let known = sum.fell.entry(kind).or_default();
        known
            .iter_mut()
            .zip(row)
            .for_each(|(known, more)| *known += more);
    }
    for (at, (never, cases)) in nevers.into_iter().enumerate() {
        if let Some((used, text)) = cases
            .worst
            .clone()
            .filter(|(used, _)| sum.worst.get(&at).is_none_or(|(most, _)| used > most))
        {
            sum.worst
                .insert(at, (used, format!("{text} (seed {seed})")));
        }
        sum.held[at] += cases.seen - cases.broken.len();
        match cases.verdict() {
            Verdict::Broken(cases) => {
                broken = 1;
                println!(
                    "  {:2}. {never}: BROKEN in {} cases: {}",
                    at + 1,
                    cases.len(),
                    cases.iter().take(4).cloned().collect::<Vec<_>>().join("; ")
                );
            }
            verdict if whole => println!("  {:2}. {never}: {verdict:?}", at + 1),
            _ => {}
        }
    }
    broken
}
