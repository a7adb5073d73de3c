//! Shutdown of an edge whose network link is full: clients keep using their keep-alive
//! connections until the process is gone, and request large responses.
use stand_ins::narrow_link::{LinkProperties, NarrowLink};
use stand_ins::prelude::*;
use std::io::{BufRead, BufReader};

/// Rate of the link of the edge, in bytes per second.
const LINK_BYTES_PER_SECOND: f64 = 1_000_000.0;
/// The same rate in megabits per second, as the edge's settings state it.
const LINK_MBPS: f64 = 8.0;
/// Delay of the link in addition to its queue.
const LINK_DELAY: Duration = Duration::from_millis(2);
/// Size of a response, in bytes.
const RESPONSE_BYTES: usize = 100 * 1024;
/// Number of clients, each with one connection.
const CLIENTS: u64 = 120;
/// Time for which the clients fill the link before the shutdown.
const WARM_UP: Duration = Duration::from_secs(4);
/// Maximum time from SIGTERM to the end of the process.
const GRACE: Duration = Duration::from_secs(6);
/// Time in addition to the grace period after which the exit must have been observed.
const EXIT_MARGIN: Duration = Duration::from_millis(500);
/// Time after the transmission of a request for which its connection may end without a
/// response: the request and the close crossed on the link.
const LOSS_SLACK: Duration = Duration::from_millis(200);
/// Maximum time to wait for a condition or a response.
const MAX_WAIT: Duration = Duration::from_secs(60);
/// Pause of a client after a rejection.
const REJECTION_PAUSE: Duration = Duration::from_millis(50);

/// A fleet with one edge that has a narrow link, and its stand-in origins.
struct NarrowFleet {
    fleet: Fleet,
    stop: Arc<AtomicBool>,
}

/// What became of the requests of a client.
#[derive(Debug, Default)]
struct ClientReport {
    responses: usize,
    rejections: usize,
    /// Times from the transmission of a request to the end of its connection in the middle
    /// of the response.
    truncated: Vec<Duration>,
    /// Times from the transmission of a request to the end of its connection without a
    /// response.
    unanswered: Vec<Duration>,
}

/// How a request ended.
enum RequestEnd {
    Response { closes: bool },
    Rejection,
    Truncated,
    Unanswered,
}

impl NarrowFleet {
    fn start(name: &str) -> NarrowFleet {
        let folder = std::env::temp_dir().join(format!(
            "otterslip-{name}-{}-{}",
            std::process::id(),
            new_incarnation().unwrap()
        ));
        let mut deployment = Deployment::find("small").unwrap();
        deployment.edges = 1;
        let mut fleet = Fleet::plan(&deployment, &folder).unwrap();
        let settings = folder.join("edge.json");
        fs::write(&settings, json!({ "link_mbps": LINK_MBPS }).to_string()).unwrap();
        fleet.edges[0].command_line.extend([
            "--startup".into(),
            settings.display().to_string(),
            "--grace-ms".into(),
            GRACE.as_millis().to_string(),
        ]);
        let stop = Arc::new(AtomicBool::new(false));
        for node in &fleet.origins {
            let instance = node.name.trim_start_matches("origin-");
            let key = Deployment::signing_key(&node.zone);
            let mut origin = StandInOrigin::new(node.http, &node.zone, instance, key);
            origin.fill_bytes = RESPONSE_BYTES;
            Arc::new(origin).serve(stop.clone()).unwrap();
        }
        fleet.start_nodes().unwrap();
        fleet.wait_for_control(MAX_WAIT).unwrap();
        fleet.put_origins(&[]).unwrap();
        let (status, body) = fleet
            .request_as_operator("PUT", "configuration", &deployment.document(&[1]), None)
            .unwrap();
        assert_eq!(status, 200, "{body}");
        fleet.wait_for_edges(MAX_WAIT).unwrap();
        NarrowFleet { fleet, stop }
    }
}

impl Drop for NarrowFleet {
    fn drop(&mut self) {
        self.stop.store(true, Ordering::Release);
        self.fleet.stop_all();
        let _ = fs::remove_dir_all(&self.fleet.folder);
    }
}

impl ClientReport {
    /// Sends requests on keep-alive connections until the edge refuses connections or
    /// `stop` is set. `pause` is the time between a response and the next request.
    fn of_client(link: &NarrowLink, number: u64, pause: Duration, stop: &AtomicBool) -> Self {
        let mut report = ClientReport::default();
        let mut random = SeededRandom::new(number);
        while !stop.load(Ordering::Acquire) {
            let Ok(stream) = link.connect() else { break };
            report.use_connection(&stream, &mut random, pause, stop);
        }
        report
    }

    /// Sends requests until the connection ends.
    fn use_connection(
        &mut self,
        stream: &TcpStream,
        random: &mut SeededRandom,
        pause: Duration,
        stop: &AtomicBool,
    ) {
        stream.set_read_timeout(Some(MAX_WAIT)).unwrap();
        let mut input = BufReader::new(stream);
        while !stop.load(Ordering::Acquire) {
            let path = format!("/listing/{}", random.below(20));
            let request = format!("GET {path} HTTP/1.1\r\nHost: h\r\n\r\n");
            let sent = Instant::now();
            let mut output = stream;
            if output.write_all(request.as_bytes()).is_err() {
                return;
            }
            match read_response(&mut input) {
                RequestEnd::Response { closes: true } => {
                    self.responses += 1;
                    return;
                }
                RequestEnd::Response { closes: false } => self.responses += 1,
                RequestEnd::Rejection => {
                    self.rejections += 1;
                    thread::sleep(REJECTION_PAUSE);
                    return;
                }
                RequestEnd::Truncated => {
                    self.truncated.push(sent.elapsed());
                    return;
                }
                RequestEnd::Unanswered => {
                    self.unanswered.push(sent.elapsed());
                    return;
                }
            }
            thread::sleep(pause);
        }
    }

    fn add(&mut self, other: ClientReport) {
        self.responses += other.responses;
        self.rejections += other.rejections;
        self.truncated.extend(other.truncated);
        self.unanswered.extend(other.unanswered);
    }
}

fn read_response(input: &mut impl BufRead) -> RequestEnd {
    let mut status = String::new();
    if !matches!(input.read_line(&mut status), Ok(size) if size > 0) {
        return RequestEnd::Unanswered;
    }
    let (mut length, mut closes) = (0, false);
    loop {
        let mut line = String::new();
        match input.read_line(&mut line) {
            Ok(size) if size > 0 => {}
            _ => return RequestEnd::Truncated,
        }
        let line = line.trim_end().to_ascii_lowercase();
        if line.is_empty() {
            break;
        }
        if let Some(text) = line.strip_prefix("content-length: ") {
            length = text.parse().unwrap();
        }
        closes |= line == "connection: close";
    }
    let mut body = vec![0; length];
    if input.read_exact(&mut body).is_err() {
        RequestEnd::Truncated
    } else if status.starts_with("HTTP/1.1 200 ") {
        RequestEnd::Response { closes }
    } else {
        RequestEnd::Rejection
    }
}

/// Guards against responses that are cut off, and requests that get no response, when an
/// edge with a full link shuts down.
#[test]
fn shutdown_on_a_full_link_completes_all_responses() {
    let mut narrow = NarrowFleet::start("full-link");
    let edge = narrow.fleet.edges[0].http;
    let link = Arc::new(NarrowLink::new(
        edge,
        LinkProperties {
            bytes_per_second: LINK_BYTES_PER_SECOND,
            delay: LINK_DELAY,
        },
    ));
    let stop = Arc::new(AtomicBool::new(false));
    let clients: Vec<_> = (0..CLIENTS)
        .map(|number| {
            let (link, stop) = (link.clone(), stop.clone());
            let pause = Duration::from_millis(number % 50);
            thread::spawn(move || ClientReport::of_client(&link, number, pause, &stop))
        })
        .collect();
    thread::sleep(WARM_UP);
    let since = Instant::now();
    narrow.fleet.edges[0].signal("-TERM");
    let has_ended = narrow.fleet.edges[0].ended(GRACE + EXIT_MARGIN);
    assert!(has_ended, "the edge does not end");
    let ended_after = since.elapsed();
    stop.store(true, Ordering::Release);
    let mut report = ClientReport::default();
    for client in clients {
        report.add(client.join().unwrap());
    }
    let log = fs::read_to_string(narrow.fleet.folder.join("edge-0.log")).unwrap();
    println!("{}", log.lines().last().unwrap_or_default());
    println!("the edge ended {ended_after:?} after SIGTERM: {report:?}");
    assert!(report.responses > 0, "{report:?}");
    assert!(report.truncated.is_empty(), "{report:?}");
    report.unanswered.retain(|time| *time > LOSS_SLACK);
    assert!(report.unanswered.is_empty(), "{report:?}");
}
