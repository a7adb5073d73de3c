//! Starts an edge.
use crate::prelude::*;

/// Memory for cached responses where the settings say nothing of it.
const DEFAULT_CACHE_BYTES: u64 = 256 * 1024 * 1024;
/// Shorter than a renewal's interval: deadlines are looked at this often.
const EDGE_TICK_INTERVAL: Duration = Duration::from_millis(50);

/// Runs an edge until it has shut down; clients and origins are spoken to
/// through `protocol`.
pub fn run_edge_node(startup: Startup, protocol: Arc<dyn ProtocolAdapter>) -> Result<()> {
    let me = Peer::new(startup.mesh.context("mesh address")?, new_incarnation()?);
    // A quarter of what the process may use goes to cached responses.
    let bytes = startup
        .cache_bytes
        .or(startup.memory_bytes.map(|bytes| bytes / 4))
        .unwrap_or(DEFAULT_CACHE_BYTES);
    let edge = EdgeNode::new(
        me,
        startup.locality(),
        startup.seeds.clone(),
        startup.gather_ms.is_some(),
        bytes,
    )
    .with_retry_allowance(startup.extra_tries)
    .with_shutdown_grace(startup.grace())
    .with_operation_retention(startup.operation_retention());
    let frontend = Box::new(HttpFrontend::new("edge-node", protocol));
    let host = NodeHost {
        me,
        program: "edge-node",
        startup,
        tick: EDGE_TICK_INTERVAL,
        store: None,
        frontend,
        history: None,
    };
    Ok(host.run(Box::new(edge))?)
}
