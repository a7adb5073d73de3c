//! Clients, which send requests to edges and record the results.
use crate::prelude::*;

/// Traffic plan, which `stand-in-caller` reads from a file.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct CallerPlan {
    /// HTTP address and zone of each edge.
    pub edges: Vec<(SocketAddr, String)>,
    /// Requests per second of all clients.
    pub rate: u64,
    /// Duration in which new requests are sent, in seconds.
    pub seconds: u64,
    /// Seed of all random numbers.
    pub seed: u64,
    /// Traffic mix.
    pub mix: Vec<crate::deployment::Mix>,
}

#[derive(Debug, Clone)]
struct PlannedRequest {
    mix: crate::deployment::Mix,
    path: String,
    operation: Option<String>,
    edge: SocketAddr,
    attempts: u32,
}

/// Number of threads that send requests.
const WORKERS: usize = 96;
/// Percentage of operation keys that are sent again to an edge in another zone
/// although they succeeded.
const RESEND_PERCENT: u64 = 15;

/// Clients that send requests at a fixed rate to the edges that are ready.
pub struct Traffic {
    plan: CallerPlan,
    ready: Mutex<Vec<(SocketAddr, String)>>,
    record: Recorder,
    delayed: Mutex<Vec<(Instant, PlannedRequest)>>,
    stop: AtomicBool,
}

impl Traffic {
    /// Runs the plan and records each request; returns once all have ended.
    pub fn run(plan: CallerPlan, record: Recorder) {
        let (edges, seconds, rate, seed) = (plan.edges.clone(), plan.seconds, plan.rate, plan.seed);
        let traffic = Arc::new(Traffic {
            plan,
            ready: Mutex::new(edges),
            record,
            delayed: Mutex::default(),
            stop: AtomicBool::new(false),
        });
        let watched = traffic.clone();
        let watcher = thread::spawn(move || watched.watch_ready());
        let (sender, receiver) = flume::unbounded::<PlannedRequest>();
        let workers: Vec<_> = (0..WORKERS)
            .map(|_| {
                let (traffic, receiver) = (traffic.clone(), receiver.clone());
                thread::spawn(move || {
                    receiver
                        .iter()
                        .for_each(|planned| traffic.send_and_record(planned))
                })
            })
            .collect();
        let mut random = SeededRandom::new(seed);
        let started_at = Instant::now();
        let mut serial = 0u64;
        while started_at.elapsed() < Duration::from_secs(seconds) {
            let target = (started_at.elapsed().as_secs_f64() * rate as f64) as u64;
            while serial < target {
                serial += 1;
                if let Some(planned) = traffic.draw(&mut random, serial) {
                    let _ = sender.send(planned);
                }
            }
            let mut delayed = traffic.delayed.lock().expect("no holder panics");
            let (due_requests, remaining) = std::mem::take(&mut *delayed)
                .into_iter()
                .partition(|(when, _)| *when <= Instant::now());
            *delayed = remaining;
            drop(delayed);
            (due_requests as Vec<(Instant, PlannedRequest)>)
                .into_iter()
                .for_each(|(_, planned)| drop(sender.send(planned)));
            thread::sleep(Duration::from_millis(5));
        }
        drop(sender);
        workers.into_iter().for_each(|worker| drop(worker.join()));
        traffic.stop.store(true, Ordering::Release);
        let _ = watcher.join();
    }

    /// Polls which edges are ready. The platform directs clients only to those.
    fn watch_ready(&self) {
        while !self.stop.load(Ordering::Acquire) {
            let candidates = self.plan.edges.iter().filter(|(edge, _)| {
                let url = format!("http://{edge}/.otterslip/v1/ready");
                request_without_proxy("GET", &url)
                    .timeout(Duration::from_millis(300))
                    .send()
                    .is_ok_and(|response| response.is_success())
            });
            let ready: Vec<_> = candidates.cloned().collect();
            *self.ready.lock().expect("no holder panics") = ready;
            thread::sleep(Duration::from_millis(150));
        }
    }

    fn choose_edge(&self, random: u64, excluded_zone: Option<&str>) -> Option<SocketAddr> {
        let ready = self.ready.lock().expect("no holder panics");
        let candidates: Vec<_> = ready
            .iter()
            .filter(|(_, zone)| excluded_zone != Some(zone.as_str()))
            .collect();
        let candidates = if candidates.is_empty() {
            ready.iter().collect()
        } else {
            candidates
        };
        candidates
            .get(random as usize % candidates.len().max(1))
            .map(|(edge, _)| *edge)
    }

    fn draw(&self, random: &mut SeededRandom, serial: u64) -> Option<PlannedRequest> {
        let mut drawn = random.below(100);
        let mix = self.plan.mix.iter().find(|mix| {
            let is_hit = drawn < mix.percentage;
            drawn = drawn.saturating_sub(mix.percentage);
            is_hit
        })?;
        // A tenth of the objects gets most of the requests.
        let index = if random.chance(70) {
            random.below(mix.paths / 10 + 1)
        } else {
            random.below(mix.paths)
        };
        let operation = mix.keyed.then(|| format!("op-{}-{serial}", self.plan.seed));
        Some(PlannedRequest {
            mix: mix.clone(),
            path: format!("{}{index}", mix.path),
            operation,
            edge: self.choose_edge(random.below(1 << 20), None)?,
            attempts: 0,
        })
    }

    fn send_and_record(&self, planned: PlannedRequest) {
        let record = send_request(
            &planned.mix,
            &planned.path,
            planned.operation.as_deref(),
            planned.edge,
        );
        self.record.put(&record);
        let Some(operation) = &planned.operation else {
            return;
        };
        let hash = Sha256::digest(format!("{operation}{}", planned.attempts).as_bytes());
        let succeeded = record.status == 200;
        let repeats = if succeeded {
            u64::from(hash[0]) % 100 < RESEND_PERCENT && planned.attempts == 0
        } else {
            planned.attempts < 4
        };
        if repeats {
            let zone = self
                .plan
                .edges
                .iter()
                .find(|(edge, _)| *edge == planned.edge)
                .map(|(_, zone)| zone.as_str());
            // Succeeded keys are repeated up to 70 s later.
            let delay_ms = if succeeded {
                100 + u64::from(u16::from_be_bytes([hash[1], hash[3]])) * 70_000 / 65_536
            } else {
                1000
            };
            if let Some(edge) = self.choose_edge(u64::from(hash[2]), zone) {
                let planned = PlannedRequest {
                    edge,
                    attempts: planned.attempts + 1,
                    ..planned
                };
                self.delayed
                    .lock()
                    .expect("no holder panics")
                    .push((Instant::now() + Duration::from_millis(delay_ms), planned));
            }
        }
    }
}

/// Sends a request and checks that the response belongs to it.
pub fn send_request(
    mix: &crate::deployment::Mix,
    path: &str,
    operation: Option<&str>,
    edge: SocketAddr,
) -> ClientRecord {
    let caller = operation.map(|operation| format!("Bearer caller-of-{operation}"));
    let mut record = ClientRecord {
        start: wall(),
        edge: edge.to_string(),
        entry: mix.entry.clone(),
        rank: mix.rank,
        path: path.into(),
        operation: operation.map(Into::into),
        ..ClientRecord::default()
    };
    let mut request = request_without_proxy(&mix.method, &format!("http://{edge}{path}"))
        .connect_timeout(Duration::from_secs(2))
        .timeout(Duration::from_secs(12));
    if let (Some(operation), Some(caller)) = (operation, &caller) {
        request = request
            .header("Operation-Key", operation)
            .header("Authorization", caller);
    }
    let body = operation.unwrap_or("").to_string();
    let sent = request.text(&body).send();
    let response = sent.and_then(|response| {
        record.status = response.status().as_u16();
        record.retry_after = response
            .headers()
            .get("retry-after")
            .and_then(|text| text.to_str().ok())
            .map(Into::into);
        response.text_utf8()
    });
    record.end = wall();
    match response {
        Err(error) => {
            record.status = 0;
            record.code = error.to_string();
            let was_refused = matches!(error.kind(), attohttpc::ErrorKind::Io(cause) if cause.kind() == std::io::ErrorKind::ConnectionRefused);
            record.dropped = !was_refused;
        }
        Ok(text) => {
            let body: serde_json::Value = serde_json::from_str(&text).unwrap_or_default();
            let text_field = |name: &str| body[name].as_str().unwrap_or_default().to_string();
            (record.code, record.outcome) = (text_field("code"), text_field("outcome"));
            record.version = body["version"].as_u64();
            let is_own_operation = operation.is_none_or(|operation| {
                body["operation"] == operation
                    && body["sent"] == operation
                    && body["caller"].as_str() == caller.as_deref()
            });
            record.matches_request = text_field("target") == path
                && text_field("method") == mix.method
                && body["fill"]
                    .as_str()
                    .is_some_and(|fill| fill.len() == crate::origin::FILL_BYTES)
                && is_own_operation;
        }
    }
    record
}
