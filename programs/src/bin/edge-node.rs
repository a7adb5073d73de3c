use programs::prelude::*;

const ABOUT: &str = "an edge node of otterslip; serves callers from copies and origins";
const CACHE_BYTES: u64 = 256 * 1024 * 1024;
/// Shorter than a renewal's: deadlines are looked at this often.
const PULSE: Duration = Duration::from_millis(50);

fn main() -> Result<()> {
    let startup = Startup::gather("edge-node", ABOUT, false);
    startup.log()?;
    let me = Mate::new(startup.mesh.context("mesh address")?, new_life()?);
    let bytes = startup.cache_bytes.unwrap_or(CACHE_BYTES);
    let part = EdgePart::new(me, &startup.zone, startup.seeds.clone(), startup.gather_ms.is_some(), bytes);
    let host = Host { me, program: "edge-node", startup, pulse: PULSE, store: None, caller: Some(call_origin), history: None };
    host.run(Box::new(part))
}
