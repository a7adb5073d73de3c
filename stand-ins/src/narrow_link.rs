//! Relay that stands in for the narrow network link of one machine.
//!
//! All connections to the machine share two queues, one for each direction. Everything
//! passes through its queue in order, at the rate of the link: bytes, closes and
//! resets. A connection has few bytes in flight, as on a link with small windows.
use crate::prelude::*;
use std::net::Shutdown;

/// Maximum number of bytes in one segment.
const SEGMENT_BYTES: usize = 8 * 1024;
/// Maximum number of segments of one connection that wait in a queue.
const WINDOW_SEGMENTS: usize = 4;
/// Size requested for the receive buffers of the relay, in bytes, so that unsent bytes
/// stay with the sender.
const RECEIVE_BUFFER_BYTES: usize = 16 * 1024;
/// Number of bytes on the link that a close or a reset occupies.
const CONTROL_BYTES: usize = 40;

/// Properties of a link. Both directions have the same ones.
#[derive(Debug, Clone, Copy)]
pub struct LinkProperties {
    /// Rate in bytes per second.
    pub bytes_per_second: f64,
    /// Delay in addition to the time in the queue.
    pub delay: Duration,
}

/// The link of one machine. Clients connect to the machine with [`NarrowLink::connect`],
/// and the machine connects to others through [`NarrowLink::address_of`].
pub struct NarrowLink {
    machine: SocketAddr,
    to_machine: flume::Sender<Segment>,
    from_machine: flume::Sender<Segment>,
}

/// What a segment does at its destination.
enum SegmentContent {
    Bytes(Vec<u8>),
    Close,
    Reset,
}

/// Part of a connection in a queue of the link.
struct Segment {
    content: SegmentContent,
    destination: Arc<TcpStream>,
    /// One message is received for each segment that has left the queue.
    window: flume::Receiver<()>,
}

impl NarrowLink {
    /// Creates the link of the machine with this address.
    pub fn new(machine: SocketAddr, properties: LinkProperties) -> NarrowLink {
        NarrowLink {
            machine,
            to_machine: start_queue(properties),
            from_machine: start_queue(properties),
        }
    }

    /// Opens a connection to the machine through the link. Fails at once if the machine
    /// refuses it.
    pub fn connect(&self) -> Result<TcpStream> {
        let machine_end = TcpStream::connect(self.machine)?;
        let listener = TcpListener::bind("127.0.0.1:0")?;
        let client = TcpStream::connect(listener.local_addr()?)?;
        let (client_end, _) = listener.accept()?;
        for stream in [&machine_end, &client_end, &client] {
            stream.set_nodelay(true)?;
        }
        for stream in [&machine_end, &client_end] {
            socket2::SockRef::from(stream).set_recv_buffer_size(RECEIVE_BUFFER_BYTES)?;
        }
        self.forward(machine_end, client_end);
        Ok(client)
    }

    /// Returns the address at which the machine reaches `peer` through the link.
    pub fn address_of(self: &Arc<Self>, peer: SocketAddr) -> Result<SocketAddr> {
        let listener = TcpListener::bind("127.0.0.1:0")?;
        let address = listener.local_addr()?;
        socket2::SockRef::from(&listener).set_recv_buffer_size(RECEIVE_BUFFER_BYTES)?;
        let link = self.clone();
        thread::spawn(move || {
            for machine_end in listener.incoming().map_while(std::io::Result::ok) {
                if let Ok(peer_end) = TcpStream::connect(peer) {
                    link.forward(machine_end, peer_end);
                }
            }
        });
        Ok(address)
    }

    fn forward(&self, machine_end: TcpStream, other_end: TcpStream) {
        let (machine_end, other_end) = (Arc::new(machine_end), Arc::new(other_end));
        start_reader(machine_end.clone(), other_end.clone(), &self.from_machine);
        start_reader(other_end, machine_end, &self.to_machine);
    }
}

/// Starts the thread that delivers the segments of one direction in order.
fn start_queue(properties: LinkProperties) -> flume::Sender<Segment> {
    let (sender, segments) = flume::unbounded::<Segment>();
    let (transmitted, arriving) = flume::unbounded::<(Instant, Segment)>();
    thread::spawn(move || transmit(properties, &segments, &transmitted));
    thread::spawn(move || {
        for (arrival, segment) in arriving.iter() {
            thread::sleep(arrival.saturating_duration_since(Instant::now()));
            deliver(&segment);
        }
    });
    sender
}

/// Takes segments from the queue at the rate of the link.
fn transmit(
    properties: LinkProperties,
    segments: &flume::Receiver<Segment>,
    transmitted: &flume::Sender<(Instant, Segment)>,
) {
    let mut free_at = Instant::now();
    for segment in segments.iter() {
        let bytes = match &segment.content {
            SegmentContent::Bytes(bytes) => bytes.len(),
            SegmentContent::Close | SegmentContent::Reset => CONTROL_BYTES,
        };
        let time = Duration::from_secs_f64(bytes as f64 / properties.bytes_per_second);
        free_at = free_at.max(Instant::now()) + time;
        thread::sleep(free_at.saturating_duration_since(Instant::now()));
        let _ = segment.window.try_recv();
        if transmitted
            .send((free_at + properties.delay, segment))
            .is_err()
        {
            return;
        }
    }
}

fn deliver(segment: &Segment) {
    let mut destination = &*segment.destination;
    match &segment.content {
        SegmentContent::Bytes(bytes) => {
            let _ = destination.write_all(bytes);
        }
        SegmentContent::Close => {
            let _ = destination.shutdown(Shutdown::Write);
        }
        SegmentContent::Reset => {
            let socket = socket2::SockRef::from(destination);
            let _ = socket.set_linger(Some(Duration::ZERO));
            let _ = destination.shutdown(Shutdown::Both);
        }
    }
}

/// Starts the thread that queues what it reads from one end of a connection.
fn start_reader(
    source: Arc<TcpStream>,
    destination: Arc<TcpStream>,
    queue: &flume::Sender<Segment>,
) {
    let queue = queue.clone();
    thread::spawn(move || {
        let (waiting, window) = flume::bounded(WINDOW_SEGMENTS);
        let mut buffer = [0; SEGMENT_BYTES];
        loop {
            let content = match (&*source).read(&mut buffer) {
                Ok(0) => SegmentContent::Close,
                Ok(size) => SegmentContent::Bytes(buffer[..size].to_vec()),
                Err(_) => SegmentContent::Reset,
            };
            let is_last = !matches!(content, SegmentContent::Bytes(_));
            let segment = Segment {
                content,
                destination: destination.clone(),
                window: window.clone(),
            };
            if waiting.send(()).is_err() || queue.send(segment).is_err() || is_last {
                return;
            }
        }
    });
}
