//! Answers what-if questions: plays schedules of faults and prints what broke.
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
