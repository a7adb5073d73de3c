//! Runs a simulated fleet for each seed and prints the violated rules.
use crate::options::{RunOptions, ScheduleSource};
use crate::summary::Summary;
use simulate_fleet::prelude::*;

/// Start of the message faults set on the command line.
const MESSAGE_FAULTS_START: Duration = Duration::from_secs(3);

/// Runs all seeds; returns the number of seeds that violated a rule.
pub(crate) fn run_seeds(options: &RunOptions) -> usize {
    let mut broken = 0;
    let mut summary = Summary::default();
    for seed in options.first_seed..options.first_seed + options.seeds {
        if run_seed(seed, options, &mut summary) {
            broken += 1;
        }
    }
    summary.print();
    println!("{broken} of {} seeds violated a rule", options.seeds);
    broken
}

/// Runs one seed; returns true if it violated a rule.
fn run_seed(seed: u64, options: &RunOptions, summary: &mut Summary) -> bool {
    let plan = plan(seed, options);
    let started_at = Instant::now();
    let mut world = World::new(plan.clone());
    world.trace = options.trace > 0;
    world.trace_messages = options.trace > 1;
    let report = world.run();
    print_run(seed, &report, started_at.elapsed());
    let verbose = options.seeds == 1;
    if verbose {
        print_events(&report);
    }
    let broken = summary.add(seed, &report.checker, verbose);
    if broken && options.shrink {
        println!(
            "seed {seed}, shrunk schedule:\n{}",
            Script::write(&Shrink::plan(&plan), &plan.deployment)
        );
    }
    broken
}

fn plan(seed: u64, options: &RunOptions) -> WorldPlan {
    let (deployment, span) = (&options.deployment, options.span);
    let mut schedule = match &options.schedule {
        ScheduleSource::Empty => vec![],
        ScheduleSource::Random => Schedule::random(deployment, options.control_nodes, seed, span),
        ScheduleSource::Script(schedule) => schedule.clone(),
    };
    let message_faults = options.message_faults;
    if message_faults
        .lost
        .max(message_faults.doubled)
        .max(message_faults.late)
        > 0
    {
        let network = Fault::LossyNetwork {
            lost: message_faults.lost,
            doubled: message_faults.doubled,
            late: message_faults.late,
        };
        schedule.insert(0, (MESSAGE_FAULTS_START, network));
    }
    WorldPlan {
        drift: options.drift,
        clients_disconnect: matches!(options.schedule, ScheduleSource::Random),
        ..WorldPlan::new(deployment.clone(), seed, span, schedule)
            .with_control_nodes(options.control_nodes)
    }
}

fn print_run(seed: u64, report: &Report, took: Duration) {
    let checker = &report.checker;
    let shares: Vec<String> = checker
        .shares()
        .into_iter()
        .map(|(rank, (good, all))| format!("rank {rank} {:.1} %", 100.0 * good as f64 / all as f64))
        .collect();
    println!(
        "seed {seed}: {} requests, {}, {} origin calls, {} steps in {} ms",
        checker.clients.len(),
        shares.join(", "),
        checker.origins.len(),
        report.steps,
        took.as_millis()
    );
    let moves = report
        .event_counts
        .get(&Event::AssignmentRevoked)
        .unwrap_or(&0);
    println!(
        "  assignments moved {moves}; longest gap without a success {:.2} s; {}",
        checker.longest_gap(),
        checker.max_calls_by_service()
    );
}

fn print_events(report: &Report) {
    println!(
        "other responses: {:?}\nevents: {:?}\nlargest disk {} bytes",
        report.checker.unsuccessful_responses(),
        report.event_counts,
        report.log_bytes
    );
}
