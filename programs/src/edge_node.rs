use crate::prelude::*;

/// Copies kept where the startup says nothing of memory.
const CACHE_BYTES: u64 = 256 * 1024 * 1024;
/// Shorter than a renewal's: deadlines are looked at this often.
const PULSE: Duration = Duration::from_millis(50);

/// Runs an edge until it has left; callers and origins are spoken to in
/// `protocol`'s words.
pub fn run_edge_node(startup: Startup, protocol: Arc<dyn ProtocolAdapter>) -> Result<()> {
    let me = Peer::new(startup.mesh.context("mesh address")?, new_incarnation()?);
    // A quarter of what the process may use goes to copies.
    let bytes = startup
        .cache_bytes
        .or(startup.memory_bytes.map(|bytes| bytes / 4))
        .unwrap_or(CACHE_BYTES);
    let part = EdgeNode::new(
        me,
        startup.locality(),
        startup.seeds.clone(),
        startup.gather_ms.is_some(),
        bytes,
    )
    .with_retry_allowance(startup.extra_tries)
    .with_shutdown_grace(startup.grace());
    let frontend = Box::new(HttpFrontend::new("edge-node", protocol));
    let host = NodeHost {
        me,
        program: "edge-node",
        startup,
        tick: PULSE,
        store: None,
        frontend,
        history: None,
    };
    host.run(Box::new(part))
}
