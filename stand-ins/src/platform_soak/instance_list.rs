//! The platform's list of origins: late, in pages, and limited in calls.
use super::http_message::HttpMessage;
use crate::prelude::*;
use std::io::BufReader;

/// Calls a second, from all nodes together.
pub(super) const CALLS_PER_SECOND: f64 = 50.0;
const PAGE_ENTRIES: usize = 10;
/// How long a slow call takes.
const SLOW_CALL: Duration = Duration::from_millis(600);

/// One entry of the list.
#[derive(Debug, Clone, PartialEq)]
pub(super) struct ListedInstance {
    /// The instance.
    pub(super) id: String,
    /// Its service.
    pub(super) service: String,
    /// Where it listens.
    pub(super) address: SocketAddr,
    /// Whether it is to end.
    pub(super) draining: bool,
}

/// How calls are answered.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum ListMode {
    /// At once.
    Sound,
    /// Late.
    Slow,
    /// With status 500.
    Failing,
}

/// A version of the list, and from when on it is shown.
struct ListVersion {
    shown_from: f64,
    instances: Vec<ListedInstance>,
}

/// Serves the list over HTTP.
pub(super) struct InstanceList {
    /// Where it is served.
    pub(super) address: SocketAddr,
    versions: Mutex<Vec<ListVersion>>,
    mode: Mutex<ListMode>,
    /// Calls that may come now, and when that was counted.
    tokens: Mutex<(f64, f64)>,
}

impl InstanceList {
    /// Listens at the address until `stop` is set.
    ///
    /// # Errors
    ///
    /// The address is taken.
    pub(super) fn serve(address: SocketAddr, stop: Arc<AtomicBool>) -> Result<Arc<InstanceList>> {
        let listener = TcpListener::bind(address)?;
        let list = Arc::new(InstanceList {
            address: listener.local_addr()?,
            versions: Mutex::default(),
            mode: Mutex::new(ListMode::Sound),
            tokens: Mutex::new((CALLS_PER_SECOND, wall())),
        });
        let server = list.clone();
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                if stop.load(Ordering::Acquire) {
                    return;
                }
                let server = server.clone();
                thread::spawn(move || server.serve_connection(stream));
            }
        });
        Ok(list)
    }

    /// Shows another list once `lag_s` has passed; returns when.
    pub(super) fn set(&self, instances: Vec<ListedInstance>, lag_s: f64) -> f64 {
        let mut versions = self.versions.lock().expect("no holder panics");
        let last = versions.last().map_or(0.0, |version| version.shown_from);
        let shown_from = (wall() + lag_s).max(last);
        versions.push(ListVersion {
            shown_from,
            instances,
        });
        shown_from
    }

    /// Sets how calls are answered from now on.
    pub(super) fn set_mode(&self, mode: ListMode) {
        *self.mode.lock().expect("no holder panics") = mode;
    }

    fn shown(&self) -> Vec<ListedInstance> {
        let versions = self.versions.lock().expect("no holder panics");
        let now = wall();
        let shown = versions.iter().rev().find(|one| one.shown_from <= now);
        shown.map_or_else(Vec::new, |version| version.instances.clone())
    }

    fn serve_connection(&self, stream: TcpStream) -> Option<()> {
        let _ = stream.set_nodelay(true);
        let mut output = stream.try_clone().ok()?;
        let mut input = BufReader::new(stream);
        loop {
            let request = HttpMessage::read(&mut input).ok()??;
            self.answer(&request).write(&mut output).ok()?;
        }
    }

    fn answer(&self, request: &HttpMessage) -> HttpMessage {
        let mode = *self.mode.lock().expect("no holder panics");
        match mode {
            _ if !self.take_token() => HttpMessage::response(429),
            ListMode::Failing => HttpMessage::response(500),
            ListMode::Slow => {
                let page = self.page(request);
                thread::sleep(SLOW_CALL);
                page
            }
            ListMode::Sound => self.page(request),
        }
    }

    fn take_token(&self) -> bool {
        let mut tokens = self.tokens.lock().expect("no holder panics");
        let now = wall();
        let (left, counted) = *tokens;
        let left = (left + (now - counted) * CALLS_PER_SECOND).min(CALLS_PER_SECOND);
        let taken = left >= 1.0;
        *tokens = (if taken { left - 1.0 } else { left }, now);
        taken
    }

    fn page(&self, request: &HttpMessage) -> HttpMessage {
        let instances = self.shown();
        let token = request.target().split_once("page_token=p-");
        let first: usize = token
            .and_then(|(_, text)| text.parse().ok())
            .unwrap_or_default();
        let records: Vec<_> = instances
            .iter()
            .skip(first)
            .take(PAGE_ENTRIES)
            .map(|one| {
                let state = if one.draining { "draining" } else { "ready" };
                json!([
                    one.service,
                    one.address,
                    "nyali",
                    "v1",
                    16,
                    state,
                    0,
                    one.id
                ])
            })
            .collect();
        let next = first + PAGE_ENTRIES;
        let body = json!({
            "instances": {
                "column_names": ["backend", "address", "zone", "revision", "capacity", "state", "cold_remaining_s", "id"],
                "records": records,
            },
            "next_page_token": (instances.len() > next).then(|| format!("p-{next}")),
        });
        HttpMessage::response(200)
            .with_header("Content-Type", "application/json")
            .with_body(body.to_string())
    }
}
