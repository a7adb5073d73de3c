//! Results of a soak test.
use super::{ClientRequest, DisconnectMode, Downtime, ForwardedRequest, RequestKind};
use crate::prelude::*;

/// Counts and violations of one run or of several runs.
#[derive(Debug, Clone, Default)]
pub struct SoakVerdict {
    /// Number of requests that were sent.
    pub requests: usize,
    /// Number of requests with a successful response.
    pub served: usize,
    /// Number of clients that disconnected before their response.
    pub disconnected: usize,
    /// Number of origin calls that were sent before their client disconnected.
    pub in_progress_at_disconnect: usize,
    /// Maximum time that calls continued after their client disconnected, in
    /// milliseconds.
    pub longest_ms: u64,
    /// Descriptions of the violations.
    pub violations: Vec<String>,
}

/// Maximum time in seconds until work for a disconnected client ends; the
/// users' rule says half a second. The measured time also includes the delay until the edge
/// receives the close and the delay until the relay receives the end of the
/// call, on a busy machine.
const MAX_ABANDONED_WORK_S: f64 = 0.5;
/// Time in seconds that a suspended or restarted node needs to resume.
const RESUME_S: f64 = 0.5;

impl SoakVerdict {
    /// Checks each request of a disconnected client: it is not sent to an
    /// origin any more, and a repeatable call in progress is cancelled.
    pub fn of(
        requests: &[ClientRequest],
        forwarded_requests: &[ForwardedRequest],
        downtimes: &[Downtime],
    ) -> SoakVerdict {
        let mut sent: HashMap<&str, Vec<&ForwardedRequest>> = HashMap::new();
        for forwarded in forwarded_requests {
            sent.entry(&forwarded.path).or_default().push(forwarded);
        }
        let mut verdict = SoakVerdict {
            requests: requests.len(),
            served: requests
                .iter()
                .filter(|request| request.status == 200)
                .count(),
            ..SoakVerdict::default()
        };
        for request in requests {
            let Some(disconnected_at) = request.disconnected_at else {
                verdict.check_half_closed(request, downtimes);
                continue;
            };
            verdict.disconnected += 1;
            if request.kind == RequestKind::Cached {
                continue; // The call serves other clients, too; the edges check it.
            }
            let detectable_at = detectable_at(request.edge, disconnected_at, downtimes);
            for forwarded in sent.get(request.path.as_str()).into_iter().flatten() {
                verdict.check_forwarded(request, forwarded, disconnected_at, detectable_at);
            }
        }
        verdict
    }

    /// Checks that a client that closed only its writing side receives its
    /// response.
    fn check_half_closed(&mut self, request: &ClientRequest, downtimes: &[Downtime]) {
        let was_down = downtimes
            .iter()
            .any(|downtime| downtime.edge == request.edge);
        if request.mode == DisconnectMode::HalfCloses && request.status == 0 && !was_down {
            self.violations
                .push(format!("{} got no response: {request:?}", request.path));
        }
    }

    fn check_forwarded(
        &mut self,
        request: &ClientRequest,
        forwarded: &ForwardedRequest,
        disconnected_at: f64,
        detectable_at: f64,
    ) {
        let bound = detectable_at + MAX_ABANDONED_WORK_S;
        if forwarded.at > bound {
            let delay_s = forwarded.at - disconnected_at;
            self.violations.push(format!(
                "{} sent to the origin {delay_s:.3} s after the disconnect",
                forwarded.path
            ));
        }
        if forwarded.at > disconnected_at {
            return;
        }
        self.in_progress_at_disconnect += 1;
        let ended = forwarded.ended.unwrap_or(f64::MAX);
        if request.kind == RequestKind::Repeatable {
            if ended > bound {
                let path = &forwarded.path;
                self.violations.push(format!(
                    "{path} still in progress: {forwarded:?}, disconnected at {disconnected_at:.3}"
                ));
            } else if ended > disconnected_at && detectable_at == disconnected_at {
                let duration_ms = ((ended - disconnected_at) * 1000.0) as u64;
                self.longest_ms = self.longest_ms.max(duration_ms);
            }
        }
    }

    /// Adds violations that the processes reported in their logs.
    pub fn count_reports(&mut self, folder: &Path) -> Result<()> {
        let codes = [Event::AbandonedWork].map(|event| format!("E{:03} ", event as u32));
        for entry in fs::read_dir(folder)? {
            let path = entry?.path();
            if path.extension().is_none_or(|kind| kind != "log") {
                continue;
            }
            let text = fs::read_to_string(&path)?;
            let is_violation = |line: &&str| {
                codes.iter().any(|code| line.contains(code)) || line.contains("panicked")
            };
            for line in text.lines().filter(is_violation) {
                self.violations.push(format!("{}: {line}", path.display()));
            }
        }
        Ok(())
    }

    /// Adds violations reported by `operate state`.
    pub fn count_usage(&mut self, state: &serde_json::Value) {
        for session in state["edges"].as_array().into_iter().flatten() {
            let abandoned = session["usage"]["abandoned"].as_u64().unwrap_or(0);
            if abandoned > 0 {
                self.violations
                    .push(format!("abandoned work {abandoned}: {session}"));
            }
        }
    }

    /// Adds the results of another run.
    pub fn add(&mut self, other: SoakVerdict) {
        self.requests += other.requests;
        self.served += other.served;
        self.disconnected += other.disconnected;
        self.in_progress_at_disconnect += other.in_progress_at_disconnect;
        self.longest_ms = self.longest_ms.max(other.longest_ms);
        self.violations.extend(other.violations);
    }
}

/// Returns the time at which the edge was able to detect the disconnect.
fn detectable_at(edge: SocketAddr, disconnected_at: f64, downtimes: &[Downtime]) -> f64 {
    let covers_disconnect = |downtime: &&Downtime| {
        downtime.edge == edge
            && downtime.from <= disconnected_at + RESUME_S
            && disconnected_at <= downtime.to
    };
    downtimes
        .iter()
        .filter(covers_disconnect)
        .map(|downtime| downtime.to + RESUME_S)
        .fold(disconnected_at, f64::max)
}

impl fmt::Display for SoakVerdict {
    fn fmt(&self, out: &mut fmt::Formatter) -> fmt::Result {
        write!(
            out,
            "{} requests, {} served, {} clients disconnected ({} of their calls in progress, ended within {} ms), {} violations",
            self.requests,
            self.served,
            self.disconnected,
            self.in_progress_at_disconnect,
            self.longest_ms,
            self.violations.len()
        )
    }
}
