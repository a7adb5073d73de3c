//! Measures the resources that the sessions of many edges use in one control process.
//!
//! Starts a real control plane of three slots and simulates many edges in this process over
//! loopback. Each edge renews its session with every slot five times per second and applies
//! the updates that it receives. Then all control nodes are killed and restarted on the same
//! disks, so that all edges reconnect at once. After each stage the program prints memory,
//! threads and file descriptors as reported by the operating system, each as the maximum
//! over the control processes.
//!
//! Usage: `session_storm CONTROL-NODE EDGES RINGS [SLOW-MS]`. `SLOW-MS` is the delay of each
//! edge before each read of at most 16 KB, which simulates a narrow link.
use anyhow::{Result, bail};
use kernel::frame::FrameDecoder;
use kernel::prelude::*;
use std::process::{Child, Command};
use std::sync::atomic::AtomicUsize;

/// Interval between the session renewals of one edge.
const RENEW_INTERVAL: Duration = Duration::from_millis(200);
/// Timeout of a connection attempt.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(500);
/// Time from the first start to the first report.
const FIRST_REPORT_DELAY: Duration = Duration::from_secs(8);
/// Time from the restart to the last report.
const STORM_TIME: Duration = Duration::from_secs(12);
/// Number of control nodes.
const SLOTS: usize = 3;
/// Listen address of the control nodes. It differs from the edges' source address:
/// otherwise a connection to a port without a listener could connect to itself.
const CONTROL_ADDRESS: &str = "127.0.0.2:0";
/// Index of the user-mode time, in ticks, in `/proc/PID/stat`.
const USER_TICKS_FIELD: usize = 13;
/// Index of the system-mode time, in ticks, in `/proc/PID/stat`.
const SYSTEM_TICKS_FIELD: usize = 14;
/// Duration of a tick.
const TICK: Duration = Duration::from_millis(10);
/// Stack size of the edge threads in bytes; small, because there are many of them.
const STACK_BYTES: usize = 128 * 1024;
/// Maximum number of bytes per read, to simulate a narrow link.
const MAX_READ_BYTES: usize = 16 * 1024;

/// State of a simulated edge: the versions it knows and the renewal tokens it has received.
struct EdgeState {
    started: Instant,
    generation: AtomicU64,
    version_vector: Mutex<Vec<u64>>,
    renewal_tokens: Mutex<HashMap<SocketAddr, RenewalToken>>,
    /// Time of the last renewal reply in milliseconds since `started`.
    last_reply_ms: AtomicU64,
}

impl EdgeState {
    fn renewal(&self, control: SocketAddr, ring: String) -> RenewRequest {
        let renewal_tokens = self.renewal_tokens.lock().expect("no holder panics");
        let last_token = renewal_tokens.get(&control).copied();
        drop(renewal_tokens);
        RenewRequest {
            sent: self.started.elapsed(),
            last_token,
            generation: self.generation.load(Ordering::Relaxed),
            recall_complete: true,
            version_vector: self
                .version_vector
                .lock()
                .expect("no holder panics")
                .clone(),
            zone: "zone".into(),
            ring,
            weight: 1,
            draining: false,
            usage: Usage::default(),
            origin_health: vec![],
        }
    }

    fn apply_reply(&self, control: SocketAddr, reply: &RenewReply) {
        let mut vector = self.version_vector.lock().expect("no holder panics");
        if self.generation.swap(reply.generation, Ordering::Relaxed) != reply.generation {
            vector.fill(0);
        }
        for updates in reply.updates.iter() {
            let known = &mut vector[usize::from(updates.partition)];
            *known = (*known).max(updates.version);
        }
        let mut renewal_tokens = self.renewal_tokens.lock().expect("no holder panics");
        renewal_tokens.insert(control, reply.renewal_token);
        let now = self.started.elapsed().as_millis() as u64;
        self.last_reply_ms.store(now, Ordering::Relaxed);
    }
}

/// A stream that reads at most `MAX_READ_BYTES` bytes after each delay.
struct SlowStream {
    stream: TcpStream,
    delay: Duration,
    received: Arc<AtomicUsize>,
}

impl Read for SlowStream {
    fn read(&mut self, buffer: &mut [u8]) -> std::io::Result<usize> {
        if !self.delay.is_zero() {
            thread::sleep(self.delay);
        }
        let limit = buffer.len().min(MAX_READ_BYTES);
        let size = self.stream.read(&mut buffer[..limit])?;
        self.received.fetch_add(size, Ordering::Relaxed);
        Ok(size)
    }
}

fn spawn(run: impl FnOnce() + Send + 'static) {
    let thread = thread::Builder::new().stack_size(STACK_BYTES);
    thread.spawn(run).expect("a thread starts");
}

fn start_edge(
    slots: Vec<SocketAddr>,
    ring: String,
    delay: Duration,
    received: Arc<AtomicUsize>,
) -> Result<Arc<EdgeState>> {
    let listener = TcpListener::bind("127.0.0.1:0")?;
    let local_peer = Peer::new(listener.local_addr()?, new_incarnation()?);
    let state = Arc::new(EdgeState {
        started: Instant::now(),
        generation: AtomicU64::new(0),
        version_vector: Mutex::new(vec![0; PUBLISHED_PARTITIONS.into()]),
        renewal_tokens: Mutex::default(),
        last_reply_ms: AtomicU64::new(0),
    });
    let receiving_state = state.clone();
    spawn(move || {
        for stream in listener.incoming().flatten() {
            let state = receiving_state.clone();
            let stream = SlowStream {
                stream,
                delay,
                received: received.clone(),
            };
            spawn(move || receive_replies(&state, stream));
        }
    });
    let renewing_state = state.clone();
    spawn(move || renew_forever(local_peer, &slots, &ring, &renewing_state));
    Ok(state)
}

fn receive_replies(state: &EdgeState, mut stream: SlowStream) {
    let mut decoder = FrameDecoder::default();
    let mut scratch = [0; MAX_READ_BYTES];
    while let Ok(size) = stream.read(&mut scratch) {
        let fed = decoder.feed(&scratch[..size], &mut |body| {
            if let Ok((from, Message::RenewReply(reply))) = frame::decode(body) {
                state.apply_reply(from.address, &reply);
            }
        });
        if size == 0 || fed.is_err() {
            return;
        }
    }
}

fn renew_forever(local_peer: Peer, slots: &[SocketAddr], ring: &str, state: &EdgeState) {
    let mut streams: HashMap<SocketAddr, TcpStream> = HashMap::new();
    loop {
        for slot in slots {
            if !streams.contains_key(slot)
                && let Ok(stream) = TcpStream::connect_timeout(slot, CONNECT_TIMEOUT)
            {
                streams.insert(*slot, stream);
            }
            let renewal = state.renewal(*slot, ring.into()).into();
            let bytes = frame::write(local_peer, &renewal).expect("messages serialize");
            let written = streams.get_mut(slot).map(|open| open.write_all(&bytes));
            if let Some(Err(_)) = written {
                streams.remove(slot);
            }
        }
        thread::sleep(RENEW_INTERVAL);
    }
}

fn start_control(program: &str, slots: &[SocketAddr], folder: &Path) -> Result<Vec<Child>> {
    let seeds: Vec<String> = slots.iter().map(SocketAddr::to_string).collect();
    let start = |slot: &String| {
        let mut command = Command::new(program);
        command.args(["--mesh", slot, "--seeds", &seeds.join(",")]);
        command.args(["--http", "127.0.0.1:0", "--zone", "zone", "--log", "error"]);
        command.arg("--data").arg(folder.join(slot));
        Ok(command.spawn()?)
    };
    seeds.iter().map(start).collect()
}

fn stop_control(control: Vec<Child>) -> Result<()> {
    for mut child in control {
        child.kill()?;
        child.wait()?;
    }
    Ok(())
}

/// Returns the number of the line `name: number` in `/proc/PID/status`, or 0.
fn status_field(page: &str, name: &str) -> u64 {
    let line = page.lines().find_map(|line| line.strip_prefix(name));
    line.and_then(|rest| rest.split_whitespace().next()?.parse().ok())
        .unwrap_or(0)
}

/// Resource usage of a process.
#[derive(Default)]
struct ResourceUsage {
    /// Resident memory in kB.
    resident_kb: u64,
    /// Peak resident memory in kB.
    peak_kb: u64,
    threads: u64,
    descriptors: u64,
    /// Processor time in user and system mode.
    processor: Duration,
}

impl ResourceUsage {
    fn of(process: u32) -> ResourceUsage {
        let folder = format!("/proc/{process}");
        let page = std::fs::read_to_string(format!("{folder}/status")).unwrap_or_default();
        let stat = std::fs::read_to_string(format!("{folder}/stat")).unwrap_or_default();
        let words: Vec<&str> = stat.split_whitespace().collect();
        let ticks = |at: usize| {
            words
                .get(at)
                .and_then(|word| word.parse().ok())
                .unwrap_or(0)
        };
        ResourceUsage {
            resident_kb: status_field(&page, "VmRSS:"),
            peak_kb: status_field(&page, "VmHWM:"),
            threads: status_field(&page, "Threads:"),
            descriptors: std::fs::read_dir(format!("{folder}/fd"))
                .map_or(0, |list| list.count() as u64),
            processor: TICK * (ticks(USER_TICKS_FIELD) + ticks(SYSTEM_TICKS_FIELD)),
        }
    }

    fn max(self, other: ResourceUsage) -> ResourceUsage {
        ResourceUsage {
            resident_kb: self.resident_kb.max(other.resident_kb),
            peak_kb: self.peak_kb.max(other.peak_kb),
            threads: self.threads.max(other.threads),
            descriptors: self.descriptors.max(other.descriptors),
            processor: self.processor.max(other.processor),
        }
    }
}

fn report(stage: &str, control: &[Child], edges: &[Arc<EdgeState>], received: &AtomicUsize) {
    let maximum = control
        .iter()
        .map(|child| ResourceUsage::of(child.id()))
        .fold(ResourceUsage::default(), ResourceUsage::max);
    let is_fresh = |edge: &&Arc<EdgeState>| {
        let last = Duration::from_millis(edge.last_reply_ms.load(Ordering::Relaxed));
        !last.is_zero() && edge.started.elapsed() < last + lease::EDGE_LEASE
    };
    println!(
        "{stage}: rss {} kB, peak {} kB, {} threads, {} descriptors, {} ms of processor time, \
         {} of {} edges with a recent reply, {} kB received by the edges",
        maximum.resident_kb,
        maximum.peak_kb,
        maximum.threads,
        maximum.descriptors,
        maximum.processor.as_millis(),
        edges.iter().filter(is_fresh).count(),
        edges.len(),
        received.load(Ordering::Relaxed) / 1000,
    );
}

fn main() -> Result<()> {
    let args: Vec<String> = std::env::args().collect();
    let [_, program, edges, rings, rest @ ..] = &args[..] else {
        bail!("session_storm CONTROL-NODE EDGES RINGS [SLOW-MS]");
    };
    let rings: usize = rings.parse()?;
    let delay_ms = rest.first().map_or(Ok(0), |text| text.parse())?;
    let delay = Duration::from_millis(delay_ms);
    let listeners = (0..SLOTS)
        .map(|_| TcpListener::bind(CONTROL_ADDRESS))
        .collect::<std::io::Result<Vec<_>>>()?;
    let slots = listeners
        .iter()
        .map(TcpListener::local_addr)
        .collect::<std::io::Result<Vec<_>>>()?;
    drop(listeners);
    let folder = std::env::temp_dir().join(format!("session-storm-{}", std::process::id()));
    let received = Arc::new(AtomicUsize::new(0));
    let edges = (0..edges.parse()?)
        .map(|index: usize| {
            let ring = format!("r{}", index % rings);
            start_edge(slots.clone(), ring, delay, received.clone())
        })
        .collect::<Result<Vec<_>>>()?;
    let control = start_control(program, &slots, &folder)?;
    thread::sleep(FIRST_REPORT_DELAY);
    report("after the first start", &control, &edges, &received);
    stop_control(control)?;
    thread::sleep(Duration::from_secs(1));
    // Resets the known versions, so that all edges request all rows at once.
    for edge in &edges {
        edge.version_vector
            .lock()
            .expect("no holder panics")
            .fill(0);
    }
    received.store(0, Ordering::Relaxed);
    let control = start_control(program, &slots, &folder)?;
    let restarted = Instant::now();
    for second in [1, 2, 3, 5, 8, STORM_TIME.as_secs()] {
        thread::sleep(Duration::from_secs(second).saturating_sub(restarted.elapsed()));
        report(
            &format!("{second} s after the restart"),
            &control,
            &edges,
            &received,
        );
    }
    stop_control(control)?;
    let _ = std::fs::remove_dir_all(&folder);
    Ok(())
}
