//! Runs a control node.
use programs::prelude::*;

/// Description in the help text.
const ABOUT: &str = "a control node of otterslip; keeps the control state on its disk";

fn main() -> Result<()> {
    let startup = Startup::load("control-node", ABOUT, true);
    startup.log()?;
    run_control_node(startup)
}
