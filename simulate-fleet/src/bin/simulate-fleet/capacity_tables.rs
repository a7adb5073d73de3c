//! Prints the tables of `docs/CAPACITY.md`.
use simulate_fleet::prelude::*;

#[global_allocator]
static ALLOCATOR: &stats_alloc::StatsAlloc<std::alloc::System> = &stats_alloc::INSTRUMENTED_SYSTEM;

/// Measures a fleet for each number of edges and prints the results.
pub(crate) fn print(sizes: &[usize], control_nodes: usize) -> Result<()> {
    let mut measured = Vec::new();
    for edges in sizes {
        let started_at = Instant::now();
        let measurement = Capacity::measure(*edges, control_nodes, &allocated_bytes)?;
        println!(
            "{edges} edges, {control_nodes} control nodes: {} live, {} regions, run in {:.1} s",
            measurement.live_edges,
            measurement.regions,
            started_at.elapsed().as_secs_f64()
        );
        print_messages(&measurement);
        measured.push(measurement);
    }
    println!(
        "\n{}\n{}",
        Measurement::table(&measured, &Measurement::counts),
        Measurement::table(&measured, &Measurement::times)
    );
    Ok(())
}

fn allocated_bytes() -> Option<u64> {
    let stats = ALLOCATOR.stats();
    Some((stats.bytes_allocated - stats.bytes_deallocated) as u64)
}

/// Prints the messages that each role sent and handled in the quiet period.
fn print_messages(measurement: &Measurement) {
    for (role, name) in measurement.quiet.sent.keys() {
        let (frames, bytes) = measurement.quiet.rate(*role, name);
        println!("  {role:?} sends {name}: {frames:.0} frames, {bytes:.0} bytes a second");
    }
    for ((role, name), (count, took, most)) in &measurement.quiet.steps {
        println!(
            "  {role:?} takes {name}: {count} steps, {:.1} us each, at most {:.1} us",
            took.as_secs_f64() * 1e6 / *count as f64,
            most.as_secs_f64() * 1e6
        );
    }
}
