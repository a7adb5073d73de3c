//! Polls which marker entries of the configuration are in effect at the edges.
use stand_ins::prelude::*;

/// Interval between two polls of all edges.
const WATCH_INTERVAL: Duration = Duration::from_millis(200);
const PROBE_TIMEOUT: Duration = Duration::from_millis(500);
/// Marker in the invalid configuration.
const INVALID_MARKER: u64 = 999;

/// Polls every edge for the acknowledged markers.
pub(crate) struct MarkerWatch {
    stop: Arc<AtomicBool>,
    thread: thread::JoinHandle<()>,
}

impl MarkerWatch {
    pub(crate) fn start(fleet: &Fleet) -> MarkerWatch {
        let stop = Arc::new(AtomicBool::new(false));
        let edges = fleet.edges.iter().map(|node| node.http).collect();
        let (path, stopped) = (fleet.folder.join("fleet.jsonl"), stop.clone());
        let thread = thread::spawn(move || watch(&path, edges, &stopped));
        MarkerWatch { stop, thread }
    }

    pub(crate) fn end(self) {
        self.stop.store(true, Ordering::Release);
        let _ = self.thread.join();
    }
}

fn watch(path: &Path, edges: Vec<SocketAddr>, stopped: &AtomicBool) {
    let Ok(record) = Recorder::open(path) else {
        return;
    };
    while !stopped.load(Ordering::Acquire) {
        let marker = newest_marker(path);
        for edge in &edges {
            let at = wall();
            if let Some(marker) = observe(*edge, marker, at) {
                record.put(&marker);
            }
            if let Some(invalid) = observe_invalid(*edge, at) {
                record.put(&invalid);
            }
        }
        thread::sleep(WATCH_INTERVAL);
    }
}

/// Returns the marker of the document that was acknowledged last.
fn newest_marker(path: &Path) -> u64 {
    let records = read_records::<FleetRecord>(path).unwrap_or_default();
    let configured = records.iter().rfind(|record| record.kind == "configured");
    configured.map_or(1, |record| record.number)
}

fn observe(edge: SocketAddr, marker: u64, at: f64) -> Option<FleetRecord> {
    let as_expected = is_in_effect(edge, marker)?;
    Some(FleetRecord {
        at,
        kind: "marker".into(),
        subject: edge.to_string(),
        number: marker,
        as_expected,
    })
}

/// Returns a record only if the invalid marker is in effect, which is a
/// violation.
fn observe_invalid(edge: SocketAddr, at: f64) -> Option<FleetRecord> {
    is_in_effect(edge, INVALID_MARKER).filter(|in_effect| *in_effect)?;
    Some(FleetRecord {
        at,
        kind: "invalid-marker".into(),
        subject: edge.to_string(),
        number: INVALID_MARKER,
        as_expected: false,
    })
}

/// Returns true if an edge has the marker's entry; none if this is unknown. A
/// request without a key gets status 400 from a keyed entry, and status 404 if
/// there is no entry.
fn is_in_effect(edge: SocketAddr, marker: u64) -> Option<bool> {
    let url = format!("http://{edge}/marker/{marker}");
    let response = request_without_proxy("POST", &url)
        .timeout(PROBE_TIMEOUT)
        .send()
        .ok()?;
    match response.status().as_u16() {
        400 => Some(true),
        404 => Some(false),
        _ => None,
    }
}
