//! Watches which marker entries of the configuration are in force at the edges.
use stand_ins::prelude::*;

/// Between two looks at all edges.
const WATCH_INTERVAL: Duration = Duration::from_millis(200);
const PROBE_TIMEOUT: Duration = Duration::from_millis(500);
/// The marker of a configuration that is invalid.
const INVALID_MARKER: u64 = 999;

/// Looks at every edge for the markers that were acknowledged.
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

/// The marker of the document that was acknowledged last.
fn newest_marker(path: &Path) -> u64 {
    let known = read_records::<FleetRecord>(path).unwrap_or_default();
    let configured = known.iter().rfind(|record| record.what == "configured");
    configured.map_or(1, |record| record.number)
}

fn observe(edge: SocketAddr, marker: u64, at: f64) -> Option<FleetRecord> {
    let good = in_force(edge, marker)?;
    Some(FleetRecord {
        at,
        what: "marker".into(),
        subject: edge.to_string(),
        number: marker,
        good,
    })
}

/// Recorded only if the marker is in force, which it never may be.
fn observe_invalid(edge: SocketAddr, at: f64) -> Option<FleetRecord> {
    in_force(edge, INVALID_MARKER).filter(|found| *found)?;
    Some(FleetRecord {
        at,
        what: "invalid-marker".into(),
        subject: edge.to_string(),
        number: INVALID_MARKER,
        good: false,
    })
}

/// Whether an edge has the marker's entry; none if the edge does not show it.
/// A keyed entry without a key answers 400; none answers 404.
fn in_force(edge: SocketAddr, marker: u64) -> Option<bool> {
    let url = format!("http://{edge}/marker/{marker}");
    let response = direct("POST", &url).timeout(PROBE_TIMEOUT).send().ok()?;
    match response.status().as_u16() {
        400 => Some(true),
        404 => Some(false),
        _ => None,
    }
}
