//! Runs a simulated fleet under fault schedules and prints the rules that were violated.
mod capacity_tables;
mod options;
mod runs;
mod summary;

use options::Options;
use simulate_fleet::prelude::*;

fn main() -> Result<()> {
    match Options::from_command_line() {
        Options::Capacity {
            sizes,
            control_nodes,
        } => capacity_tables::print(&sizes, control_nodes),
        Options::Figures => {
            Figures::print();
            Ok(())
        }
        Options::Run(options) => {
            let broken = runs::run_seeds(&options);
            std::process::exit(i32::from(broken > 0));
        }
    }
}
