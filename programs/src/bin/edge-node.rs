//! Runs an edge node.
use programs::prelude::*;

/// Description in the help text.
const ABOUT: &str = "an edge node of otterslip; serves callers from copies and origins";

fn main() -> Result<()> {
    let startup = Startup::load("edge-node", ABOUT, false);
    startup.log()?;
    run_edge_node(startup, Arc::new(DefaultProtocol))
}
