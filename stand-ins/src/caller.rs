//! A client: sends requests to edges and records what came of them.
use crate::prelude::*;

/// What the callers shall do, as a file for `stand-in-caller`.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct CallerPlan {
    /// HTTP address and zone of each edge.
    pub edges: Vec<(SocketAddr, String)>,
    /// Requests a second, all clients together.
    pub rate: u64,
    /// How long new requests begin, in seconds.
    pub seconds: u64,
    /// Of everything that is drawn.
    pub seed: u64,
    /// What is requested.
    pub mix: Vec<crate::deployment::Mix>,
}

#[derive(Debug, Clone)]
struct Task {
    mix: crate::deployment::Mix,
    path: String,
    operation: Option<String>,
    edge: SocketAddr,
    tries: u32,
}

const WORKERS: usize = 96;
/// Keys that come again from elsewhere although they were answered.
const REPEATS: u64 = 15;

/// Callers of all kinds, at a set rate, through the edges that are ready.
pub struct Traffic {
    plan: CallerPlan,
    ready: Mutex<Vec<(SocketAddr, String)>>,
    record: Recorder,
    later: Mutex<Vec<(Instant, Task)>>,
    stop: AtomicBool,
}

impl Traffic {
    /// Plays the plan and records each request; returns once all have ended.
    pub fn run(plan: CallerPlan, record: Recorder) {
        let (edges, seconds, rate, seed) = (plan.edges.clone(), plan.seconds, plan.rate, plan.seed);
        let traffic = Arc::new(Traffic {
            plan,
            ready: Mutex::new(edges),
            record,
            later: Mutex::default(),
            stop: AtomicBool::new(false),
        });
        let watch = traffic.clone();
        let watcher = thread::spawn(move || watch.watch_ready());
        let (give, take) = flume::unbounded::<Task>();
        let workers: Vec<_> = (0..WORKERS)
            .map(|_| {
                let (traffic, take) = (traffic.clone(), take.clone());
                thread::spawn(move || take.iter().for_each(|task| traffic.work(task)))
            })
            .collect();
        let mut random = SeededRandom::new(seed);
        let began = Instant::now();
        let mut serial = 0u64;
        while began.elapsed() < Duration::from_secs(seconds) {
            let due = (began.elapsed().as_secs_f64() * rate as f64) as u64;
            while serial < due {
                serial += 1;
                if let Some(task) = traffic.draw(&mut random, serial) {
                    let _ = give.send(task);
                }
            }
            let mut later = traffic.later.lock().expect("no holder panics");
            let (now, rest) = std::mem::take(&mut *later)
                .into_iter()
                .partition(|(when, _)| *when <= Instant::now());
            *later = rest;
            drop(later);
            (now as Vec<(Instant, Task)>)
                .into_iter()
                .for_each(|(_, task)| drop(give.send(task)));
            thread::sleep(Duration::from_millis(5));
        }
        drop(give);
        workers.into_iter().for_each(|worker| drop(worker.join()));
        traffic.stop.store(true, Ordering::Release);
        let _ = watcher.join();
    }

    /// The platform hands clients only to nodes that say they are ready.
    fn watch_ready(&self) {
        while !self.stop.load(Ordering::Acquire) {
            let candidates = self.plan.edges.iter().filter(|(edge, _)| {
                let url = format!("http://{edge}/.otterslip/v1/ready");
                direct("GET", &url)
                    .timeout(Duration::from_millis(300))
                    .send()
                    .is_ok_and(|answer| answer.is_success())
            });
            let ready: Vec<_> = candidates.cloned().collect();
            *self.ready.lock().expect("no holder panics") = ready;
            thread::sleep(Duration::from_millis(150));
        }
    }

    fn pick(&self, random: u64, not_zone: Option<&str>) -> Option<SocketAddr> {
        let ready = self.ready.lock().expect("no holder panics");
        let list: Vec<_> = ready
            .iter()
            .filter(|(_, zone)| not_zone != Some(zone.as_str()))
            .collect();
        let list = if list.is_empty() {
            ready.iter().collect()
        } else {
            list
        };
        list.get(random as usize % list.len().max(1))
            .map(|(edge, _)| *edge)
    }

    fn draw(&self, random: &mut SeededRandom, serial: u64) -> Option<Task> {
        let mut roll = random.below(100);
        let mix = self.plan.mix.iter().find(|mix| {
            let hit = roll < mix.share;
            roll = roll.saturating_sub(mix.share);
            hit
        })?;
        // A few objects are asked for most of the time.
        let at = if random.chance(70) {
            random.below(mix.paths / 10 + 1)
        } else {
            random.below(mix.paths)
        };
        let operation = mix.keyed.then(|| format!("op-{}-{serial}", self.plan.seed));
        Some(Task {
            mix: mix.clone(),
            path: format!("{}{at}", mix.path),
            operation,
            edge: self.pick(random.below(1 << 20), None)?,
            tries: 0,
        })
    }

    fn work(&self, task: Task) {
        let record = call_edge(&task.mix, &task.path, task.operation.as_deref(), task.edge);
        self.record.put(&record);
        let Some(operation) = &task.operation else {
            return;
        };
        let hash = Sha256::digest(format!("{operation}{}", task.tries).as_bytes());
        let good = record.status == 200;
        let again = if good {
            u64::from(hash[0]) % 100 < REPEATS && task.tries == 0
        } else {
            task.tries < 4
        };
        if again {
            let zone = self
                .plan
                .edges
                .iter()
                .find(|(edge, _)| *edge == task.edge)
                .map(|(_, zone)| zone.as_str());
            // What was answered comes again up to 70 s later.
            let wait = if good {
                100 + u64::from(u16::from_be_bytes([hash[1], hash[3]])) * 70_000 / 65_536
            } else {
                1000
            };
            if let Some(edge) = self.pick(u64::from(hash[2]), zone) {
                let task = Task {
                    edge,
                    tries: task.tries + 1,
                    ..task
                };
                self.later
                    .lock()
                    .expect("no holder panics")
                    .push((Instant::now() + Duration::from_millis(wait), task));
            }
        }
    }
}

/// One request, and whether what came back is the answer to it.
pub fn call_edge(
    mix: &crate::deployment::Mix,
    path: &str,
    operation: Option<&str>,
    edge: SocketAddr,
) -> CallerRecord {
    let caller = operation.map(|operation| format!("Bearer caller-of-{operation}"));
    let mut record = CallerRecord {
        start: wall(),
        edge: edge.to_string(),
        entry: mix.entry.clone(),
        rank: mix.rank,
        path: path.into(),
        operation: operation.map(Into::into),
        ..CallerRecord::default()
    };
    let mut request = direct(&mix.method, &format!("http://{edge}{path}"))
        .connect_timeout(Duration::from_secs(2))
        .timeout(Duration::from_secs(12));
    if let (Some(operation), Some(caller)) = (operation, &caller) {
        request = request
            .header("Operation-Key", operation)
            .header("Authorization", caller);
    }
    let body = operation.unwrap_or("").to_string();
    let sent = request.text(&body).send();
    let answer = sent.and_then(|answer| {
        record.status = answer.status().as_u16();
        record.retry_after = answer
            .headers()
            .get("retry-after")
            .and_then(|text| text.to_str().ok())
            .map(Into::into);
        answer.text_utf8()
    });
    record.end = wall();
    match answer {
        Err(error) => {
            record.status = 0;
            record.code = error.to_string();
            let refused = matches!(error.kind(), attohttpc::ErrorKind::Io(cause) if cause.kind() == std::io::ErrorKind::ConnectionRefused);
            record.dropped = !refused;
        }
        Ok(text) => {
            let body: serde_json::Value = serde_json::from_str(&text).unwrap_or_default();
            let word = |name: &str| body[name].as_str().unwrap_or_default().to_string();
            (record.code, record.outcome) = (word("code"), word("outcome"));
            record.version = body["version"].as_u64();
            let own = operation.is_none_or(|operation| {
                body["operation"] == operation
                    && body["sent"] == operation
                    && body["caller"].as_str() == caller.as_deref()
            });
            record.fits = word("target") == path
                && word("method") == mix.method
                && body["fill"]
                    .as_str()
                    .is_some_and(|fill| fill.len() == crate::origin::FILL_BYTES)
                && own;
        }
    }
    record
}
