//! Startup of an edge node.
use crate::prelude::*;

/// Default memory for cached responses in bytes.
const DEFAULT_CACHE_BYTES: u64 = 256 * 1024 * 1024;
/// Interval at which the edge checks its deadlines; shorter than the renewal interval.
const EDGE_TICK_INTERVAL: Duration = Duration::from_millis(50);

/// Runs an edge node until it has shut down. `protocol` defines the HTTP headers for clients
/// and origins.
pub fn run_edge_node(startup: Startup, protocol: Arc<dyn ProtocolAdapter>) -> Result<()> {
    let local_peer = Peer::new(startup.mesh.context("mesh address")?, new_incarnation()?);
    // Without a configured cache size, a quarter of the process's memory limit is used for
    // cached responses.
    let cache_bytes = startup
        .cache_bytes
        .or(startup.memory_bytes.map(|bytes| bytes / 4))
        .unwrap_or(DEFAULT_CACHE_BYTES);
    let edge = EdgeNode::new(
        local_peer,
        startup.locality(),
        startup.seeds.clone(),
        startup.gather_ms.is_some(),
        cache_bytes,
    )
    .with_retry_allowance(startup.extra_tries)
    .with_shutdown_grace(startup.grace_period())
    .with_operation_retention(startup.operation_retention());
    let frontend = Box::new(HttpFrontend::new("edge-node", protocol));
    let host = NodeHost {
        local_peer,
        program: "edge-node",
        startup,
        tick: EDGE_TICK_INTERVAL,
        store: None,
        frontend,
        history: None,
    };
    Ok(host.run(Box::new(edge))?)
}
