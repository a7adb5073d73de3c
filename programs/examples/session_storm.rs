//! Measures what the sessions of many edges cost one control process.
//!
//! Starts a real control plane of three slots and plays many edges from this
//! process over loopback: each renews five times a second with every slot and
//! takes the updates it is sent. Then all control nodes are killed and started
//! again on the same disks, so that all edges come back at once. After each
//! stage the memory, threads and descriptors of the control process that has
//! most are printed, as the kernel tells them.
//!
//! `session_storm CONTROL-NODE EDGES RINGS [SLOW-MS]`: `SLOW-MS` is how long each
//! edge waits before each read of at most 16 KB, as over a narrow link.
use anyhow::{Result, bail};
use kernel::frame::FrameDecoder;
use kernel::prelude::*;
use std::process::{Child, Command};
use std::sync::atomic::AtomicUsize;

const RENEW: Duration = Duration::from_millis(200);
const CONNECT: Duration = Duration::from_millis(500);
const SETTLED: Duration = Duration::from_secs(8);
const STORM: Duration = Duration::from_secs(12);
const SLOTS: usize = 3;
/// Not where the edges connect from: a connection to a port that nobody listens
/// on could else meet itself.
const CONTROL_ADDRESS: &str = "127.0.0.2:0";
/// Where the kernel's line on a process has its time in user and system mode,
/// counted in ticks.
const USER_TICKS: usize = 13;
const SYSTEM_TICKS: usize = 14;
const TICK: Duration = Duration::from_millis(10);
/// The edges' threads are many and do little.
const STACK: usize = 128 * 1024;
/// A narrow link takes this much at a time.
const PIECE: usize = 16 * 1024;

/// What an edge knows of the control state, and what it was sent.
struct EdgeState {
    began: Instant,
    generation: AtomicU64,
    vector: Mutex<Vec<u64>>,
    renewal_tokens: Mutex<HashMap<SocketAddr, RenewalToken>>,
    last_reply: AtomicU64,
}

impl EdgeState {
    fn renewal(&self, control: SocketAddr, ring: String) -> RenewRequest {
        let renewal_tokens = self.renewal_tokens.lock().expect("no holder panics");
        let heard = renewal_tokens.get(&control).copied();
        drop(renewal_tokens);
        RenewRequest {
            sent: self.began.elapsed(),
            last_token: heard,
            generation: self.generation.load(Ordering::Relaxed),
            recall_complete: true,
            version_vector: self.vector.lock().expect("no holder panics").clone(),
            zone: "zone".into(),
            ring,
            weight: 1,
            draining: false,
            usage: Usage::default(),
            origin_health: vec![],
        }
    }

    fn take(&self, control: SocketAddr, reply: &RenewReply) {
        let mut vector = self.vector.lock().expect("no holder panics");
        if self.generation.swap(reply.generation, Ordering::Relaxed) != reply.generation {
            vector.fill(0);
        }
        for updates in reply.updates.iter() {
            let known = &mut vector[usize::from(updates.partition)];
            *known = (*known).max(updates.version);
        }
        let mut renewal_tokens = self.renewal_tokens.lock().expect("no holder panics");
        renewal_tokens.insert(control, reply.renewal_token);
        let now = self.began.elapsed().as_millis() as u64;
        self.last_reply.store(now, Ordering::Relaxed);
    }
}

/// Reads slowly: at most `PIECE` bytes after each wait.
struct SlowStream {
    stream: TcpStream,
    wait: Duration,
    received: Arc<AtomicUsize>,
}

impl Read for SlowStream {
    fn read(&mut self, buffer: &mut [u8]) -> std::io::Result<usize> {
        if !self.wait.is_zero() {
            thread::sleep(self.wait);
        }
        let most = buffer.len().min(PIECE);
        let size = self.stream.read(&mut buffer[..most])?;
        self.received.fetch_add(size, Ordering::Relaxed);
        Ok(size)
    }
}

fn spawn(run: impl FnOnce() + Send + 'static) {
    let thread = thread::Builder::new().stack_size(STACK);
    thread.spawn(run).expect("a thread starts");
}

fn start_edge(
    slots: Vec<SocketAddr>,
    ring: String,
    wait: Duration,
    received: Arc<AtomicUsize>,
) -> Result<Arc<EdgeState>> {
    let listener = TcpListener::bind("127.0.0.1:0")?;
    let me = Peer::new(listener.local_addr()?, new_incarnation()?);
    let state = Arc::new(EdgeState {
        began: Instant::now(),
        generation: AtomicU64::new(0),
        vector: Mutex::new(vec![0; PUBLISHED_PARTITIONS.into()]),
        renewal_tokens: Mutex::default(),
        last_reply: AtomicU64::new(0),
    });
    let heard = state.clone();
    spawn(move || {
        for stream in listener.incoming().flatten() {
            let state = heard.clone();
            let stream = SlowStream {
                stream,
                wait,
                received: received.clone(),
            };
            spawn(move || hear_control(&state, stream));
        }
    });
    let told = state.clone();
    spawn(move || renew_for_good(me, &slots, &ring, &told));
    Ok(state)
}

fn hear_control(state: &EdgeState, mut stream: SlowStream) {
    let mut decoder = FrameDecoder::default();
    let mut scratch = [0; PIECE];
    while let Ok(size) = stream.read(&mut scratch) {
        let fed = decoder.feed(&scratch[..size], &mut |body| {
            if let Ok((from, Message::RenewReply(reply))) = frame::decode(body) {
                state.take(from.address, &reply);
            }
        });
        if size == 0 || fed.is_err() {
            return;
        }
    }
}

fn renew_for_good(me: Peer, slots: &[SocketAddr], ring: &str, state: &EdgeState) {
    let mut streams: HashMap<SocketAddr, TcpStream> = HashMap::new();
    loop {
        for slot in slots {
            if !streams.contains_key(slot)
                && let Ok(stream) = TcpStream::connect_timeout(slot, CONNECT)
            {
                streams.insert(*slot, stream);
            }
            let renewal = state.renewal(*slot, ring.into()).into();
            let bytes = frame::write(me, &renewal).expect("messages serialize");
            let told = streams.get_mut(slot).map(|open| open.write_all(&bytes));
            if let Some(Err(_)) = told {
                streams.remove(slot);
            }
        }
        thread::sleep(RENEW);
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

fn end_control(control: Vec<Child>) -> Result<()> {
    for mut child in control {
        child.kill()?;
        child.wait()?;
    }
    Ok(())
}

/// One number of a line `name: number` in the kernel's page on a process.
fn status(page: &str, name: &str) -> u64 {
    let line = page.lines().find_map(|line| line.strip_prefix(name));
    line.and_then(|rest| rest.split_whitespace().next()?.parse().ok())
        .unwrap_or(0)
}

#[derive(Default)]
struct Footprint {
    resident: u64,
    peak: u64,
    threads: u64,
    descriptors: u64,
    processor: Duration,
}

impl Footprint {
    fn of(process: u32) -> Footprint {
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
        Footprint {
            resident: status(&page, "VmRSS:"),
            peak: status(&page, "VmHWM:"),
            threads: status(&page, "Threads:"),
            descriptors: std::fs::read_dir(format!("{folder}/fd"))
                .map_or(0, |list| list.count() as u64),
            processor: TICK * (ticks(USER_TICKS) + ticks(SYSTEM_TICKS)),
        }
    }

    fn most(self, other: Footprint) -> Footprint {
        Footprint {
            resident: self.resident.max(other.resident),
            peak: self.peak.max(other.peak),
            threads: self.threads.max(other.threads),
            descriptors: self.descriptors.max(other.descriptors),
            processor: self.processor.max(other.processor),
        }
    }
}

fn report(stage: &str, control: &[Child], edges: &[Arc<EdgeState>], received: &AtomicUsize) {
    let most = control
        .iter()
        .map(|child| Footprint::of(child.id()))
        .fold(Footprint::default(), Footprint::most);
    let fresh = |edge: &&Arc<EdgeState>| {
        let last = Duration::from_millis(edge.last_reply.load(Ordering::Relaxed));
        !last.is_zero() && edge.began.elapsed() < last + lease::EDGE_LEASE
    };
    println!(
        "{stage}: rss {} kB, peak {} kB, {} threads, {} descriptors, {} ms of processor, \
         {} of {} edges answered of late, {} kB received by them",
        most.resident,
        most.peak,
        most.threads,
        most.descriptors,
        most.processor.as_millis(),
        edges.iter().filter(fresh).count(),
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
    let wait = rest.first().map_or(Ok(0), |text| text.parse())?;
    let wait = Duration::from_millis(wait);
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
        .map(|at: usize| {
            let ring = format!("r{}", at % rings);
            start_edge(slots.clone(), ring, wait, received.clone())
        })
        .collect::<Result<Vec<_>>>()?;
    let control = start_control(program, &slots, &folder)?;
    thread::sleep(SETTLED);
    report("founded", &control, &edges, &received);
    end_control(control)?;
    thread::sleep(Duration::from_secs(1));
    // What each edge knew is void: all ask for everything at once.
    for edge in &edges {
        edge.vector.lock().expect("no holder panics").fill(0);
    }
    received.store(0, Ordering::Relaxed);
    let control = start_control(program, &slots, &folder)?;
    let began = Instant::now();
    for second in [1, 2, 3, 5, 8, STORM.as_secs()] {
        thread::sleep(Duration::from_secs(second).saturating_sub(began.elapsed()));
        report(
            &format!("{second} s after the return"),
            &control,
            &edges,
            &received,
        );
    }
    end_control(control)?;
    let _ = std::fs::remove_dir_all(&folder);
    Ok(())
}
