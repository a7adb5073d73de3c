//! Stand-in for the platform's list of origins: delayed, paginated and
//! rate-limited.
use super::http_message::HttpMessage;
use crate::prelude::*;
use std::io::BufReader;

/// Rate limit of calls per second, for all nodes together.
pub(super) const CALLS_PER_SECOND: f64 = 50.0;
/// Number of entries per page.
const PAGE_ENTRIES: usize = 10;
/// Duration of a slow call.
const SLOW_CALL: Duration = Duration::from_millis(600);

/// Entry of the list.
#[derive(Debug, Clone, PartialEq)]
pub(super) struct ListedInstance {
    /// Id of the instance.
    pub(super) id: String,
    /// Service of the instance.
    pub(super) service: String,
    /// Address of the instance.
    pub(super) address: SocketAddr,
    /// True if the instance is draining.
    pub(super) draining: bool,
}

/// Response behaviour of the list.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum ListMode {
    /// Responds immediately.
    Healthy,
    /// Responds after a delay.
    Slow,
    /// Responds with status 500.
    Failing,
}

/// Version of the list, with the time in seconds from which it is shown.
struct ListVersion {
    shown_from: f64,
    instances: Vec<ListedInstance>,
}

/// Serves the list over HTTP.
pub(super) struct InstanceList {
    /// Address of the server.
    pub(super) address: SocketAddr,
    versions: Mutex<Vec<ListVersion>>,
    mode: Mutex<ListMode>,
    /// Tokens of the rate limit and the time of the last update, in seconds.
    tokens: Mutex<(f64, f64)>,
}

impl InstanceList {
    /// Listens at the address until `stop` is set.
    ///
    /// # Errors
    ///
    /// Returns an error if the address is in use.
    pub(super) fn serve(address: SocketAddr, stop: Arc<AtomicBool>) -> Result<Arc<InstanceList>> {
        let listener = TcpListener::bind(address)?;
        let list = Arc::new(InstanceList {
            address: listener.local_addr()?,
            versions: Mutex::default(),
            mode: Mutex::new(ListMode::Healthy),
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

    /// Publishes another list after `lag_s`; returns the time of publication.
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

    /// Sets the response behaviour.
    pub(super) fn set_mode(&self, mode: ListMode) {
        *self.mode.lock().expect("no holder panics") = mode;
    }

    fn shown(&self) -> Vec<ListedInstance> {
        let versions = self.versions.lock().expect("no holder panics");
        let now = wall();
        let shown = versions
            .iter()
            .rev()
            .find(|version| version.shown_from <= now);
        shown.map_or_else(Vec::new, |version| version.instances.clone())
    }

    fn serve_connection(&self, stream: TcpStream) -> Option<()> {
        let _ = stream.set_nodelay(true);
        let mut output = stream.try_clone().ok()?;
        let mut input = BufReader::new(stream);
        loop {
            let request = HttpMessage::read(&mut input).ok()??;
            self.respond(&request).write(&mut output).ok()?;
        }
    }

    fn respond(&self, request: &HttpMessage) -> HttpMessage {
        let mode = *self.mode.lock().expect("no holder panics");
        match mode {
            _ if !self.take_token() => HttpMessage::response(429),
            ListMode::Failing => HttpMessage::response(500),
            ListMode::Slow => {
                let page = self.page(request);
                thread::sleep(SLOW_CALL);
                page
            }
            ListMode::Healthy => self.page(request),
        }
    }

    fn take_token(&self) -> bool {
        let mut tokens = self.tokens.lock().expect("no holder panics");
        let now = wall();
        let (available, updated) = *tokens;
        let available = (available + (now - updated) * CALLS_PER_SECOND).min(CALLS_PER_SECOND);
        let is_allowed = available >= 1.0;
        *tokens = (
            if is_allowed {
                available - 1.0
            } else {
                available
            },
            now,
        );
        is_allowed
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
            .map(|instance| {
                let state = if instance.draining {
                    "draining"
                } else {
                    "ready"
                };
                json!([
                    instance.service,
                    instance.address,
                    "nyali",
                    "v1",
                    16,
                    state,
                    0,
                    instance.id
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
