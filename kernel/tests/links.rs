//! Tests of the links' event loop over loopback, with well-behaved and faulty peers.
use kernel::frame::{CHUNK_BYTES, FrameDecoder};
use kernel::prelude::*;
use stand_ins::narrow_link::{LinkProperties, NarrowLink};
use std::sync::atomic::AtomicU16;

/// Timeout for anything that a test waits for.
const WAIT_TIMEOUT: Duration = Duration::from_secs(10);

struct Node {
    local_peer: Peer,
    links: Links,
    inputs: Receiver<Input>,
}

/// Binds a listener on an IP address that no other listener uses. Connections originate
/// from another address, so a connection to a port without a listener cannot connect to
/// itself.
fn listen() -> TcpListener {
    static NEXT: AtomicU16 = AtomicU16::new(2);
    let [high, low] = NEXT.fetch_add(1, Ordering::SeqCst).to_be_bytes();
    TcpListener::bind((std::net::Ipv4Addr::new(127, 2, high, low), 0)).unwrap()
}

fn peer_at(listener: &TcpListener) -> Peer {
    Peer::new(listener.local_addr().unwrap(), new_incarnation().unwrap())
}

impl Node {
    fn start() -> Node {
        Node::start_with(QueueLimits::default())
    }

    fn start_with(limits: QueueLimits) -> Node {
        Node::start_paced(limits, None)
    }

    fn start_paced(limits: QueueLimits, send_rate: Option<Arc<SendRate>>) -> Node {
        let listener = listen();
        let local_peer = peer_at(&listener);
        let (sender, inputs) = flume::unbounded();
        let links = Links::open_with(local_peer, listener, sender, limits, send_rate).unwrap();
        Node {
            local_peer,
            links,
            inputs,
        }
    }

    fn send(&self, to: SocketAddr, message: impl Into<Message>) {
        self.links.send(to, &message.into());
        self.links.flush();
    }

    fn receive(&self) -> (Peer, Message) {
        let input = self
            .inputs
            .recv_timeout(WAIT_TIMEOUT)
            .expect("a message arrives");
        self.links.mark_processed();
        match input {
            Input::MessageReceived { from, message } => (from, message),
            other => panic!("{other:?}"),
        }
    }

    /// Sends a message repeatedly until it is received, since a link may lose messages.
    fn send_until_received(&self, to: &Node, id: u64) {
        let deadline = Instant::now() + WAIT_TIMEOUT;
        while Instant::now() < deadline {
            self.send(to.local_peer.address, PermitQueued { id });
            if to.inputs.recv_timeout(Duration::from_millis(50)).is_ok() {
                to.links.mark_processed();
                return;
            }
        }
        panic!("message {id} is not received");
    }
}

fn urgent(id: u64) -> Message {
    PermitQueued { id }.into()
}

/// A bulk message of slightly more than `bytes` bytes.
fn bulk(id: u64, bytes: usize) -> Message {
    CachePut {
        key: [0; 32],
        token: FillToken {
            serial: id,
            epoch: 0,
            purge_version: 0,
        },
        reply: Reply {
            body: Arc::new(vec![7; bytes]),
            ..Reply::default()
        },
    }
    .into()
}

fn wait_until(condition: &str, is_met: impl Fn() -> bool) {
    let deadline = Instant::now() + WAIT_TIMEOUT;
    while !is_met() {
        assert!(Instant::now() < deadline, "timed out until {condition}");
        thread::sleep(Duration::from_millis(5));
    }
}

/// Reads messages from a stream until `enough` returns true for them.
fn read_messages(stream: &mut TcpStream, enough: impl Fn(&[Message]) -> bool) -> Vec<Message> {
    stream.set_read_timeout(Some(WAIT_TIMEOUT)).unwrap();
    let mut decoder = FrameDecoder::default();
    let mut found = Vec::new();
    let mut scratch = [0; 4096];
    while !enough(&found) {
        let size = stream.read(&mut scratch).unwrap();
        assert!(size > 0, "the session stays open");
        let decode = &mut |body: &[u8]| found.push(frame::decode(body).unwrap().1);
        decoder.feed(&scratch[..size], decode).unwrap();
    }
    found
}

#[test]
fn frames_read_byte_by_byte_arrive_in_order() {
    let node = Node::start();
    let from = peer_at(&listen());
    let mut stream = TcpStream::connect(node.local_peer.address).unwrap();
    stream.set_nodelay(true).unwrap();
    for id in 0..3 {
        for byte in frame::write(from, &urgent(id)).unwrap() {
            stream.write_all(&[byte]).unwrap();
        }
    }
    for id in 0..3 {
        assert_eq!(node.receive(), (from, urgent(id)));
    }
}

#[test]
fn reset_within_a_frame_ends_that_session_only() {
    let node = Node::start();
    let (one, other) = (peer_at(&listen()), peer_at(&listen()));
    let mut broken = TcpStream::connect(node.local_peer.address).unwrap();
    let mut whole = TcpStream::connect(node.local_peer.address).unwrap();
    whole
        .write_all(&frame::write(other, &urgent(1)).unwrap())
        .unwrap();
    assert_eq!(node.receive(), (other, urgent(1)));
    let frame = frame::write(one, &urgent(2)).unwrap();
    broken.write_all(&frame[..frame.len() - 3]).unwrap();
    wait_until("both sessions are open", || {
        node.links.counters().inbound.get() == 2
    });
    let socket = socket2::SockRef::from(&broken);
    socket.set_linger(Some(Duration::ZERO)).unwrap();
    drop(broken);
    wait_until("one session is left", || {
        node.links.counters().inbound.get() == 1
    });
    whole
        .write_all(&frame::write(other, &urgent(3)).unwrap())
        .unwrap();
    assert_eq!(node.receive(), (other, urgent(3)));
    // The peer of the reset session reconnects, and its incomplete frame is discarded.
    let mut again = TcpStream::connect(node.local_peer.address).unwrap();
    again.write_all(&frame).unwrap();
    assert_eq!(node.receive(), (one, urgent(2)));
}

#[test]
fn foreign_bytes_end_that_session_only() {
    let node = Node::start();
    let from = peer_at(&listen());
    let mut good = TcpStream::connect(node.local_peer.address).unwrap();
    good.write_all(&frame::write(from, &urgent(1)).unwrap())
        .unwrap();
    assert_eq!(node.receive(), (from, urgent(1)));
    let mut flipped = frame::write(peer_at(&listen()), &urgent(2)).unwrap();
    *flipped.last_mut().unwrap() ^= 1;
    for (index, bytes) in [b"GET / HTTP/1.1\r\n\r\n".to_vec(), flipped]
        .into_iter()
        .enumerate()
    {
        let mut foreign = TcpStream::connect(node.local_peer.address).unwrap();
        foreign.write_all(&bytes).unwrap();
        foreign.set_read_timeout(Some(WAIT_TIMEOUT)).unwrap();
        // Since bytes are unread, the operating system may close with a reset.
        assert!(matches!(foreign.read(&mut [0; 8]), Ok(0) | Err(_)));
        wait_until("the invalid frame is counted", || {
            node.links.counters().rejected_frames.get() == index + 1
        });
    }
    good.write_all(&frame::write(from, &urgent(3)).unwrap())
        .unwrap();
    assert_eq!(node.receive(), (from, urgent(3)));
}

#[test]
fn undecodable_message_is_counted_and_session_continues() {
    let node = Node::start();
    let from = peer_at(&listen());
    let mut body = bincode::serialize(&(from, urgent(1))).unwrap();
    let kind = body.len() - 12;
    body[kind..kind + 4].copy_from_slice(&u32::MAX.to_le_bytes());
    let word = (body.len() as u32).to_be_bytes();
    let mut hasher = crc32fast::Hasher::new();
    hasher.update(&word);
    hasher.update(&body);
    let checksum = hasher.finalize().to_be_bytes();
    let unknown = [&word[..], &checksum, &body].concat();
    let mut stream = TcpStream::connect(node.local_peer.address).unwrap();
    for bytes in [
        unknown.clone(),
        frame::write(from, &urgent(2)).unwrap(),
        unknown,
        frame::write(from, &urgent(3)).unwrap(),
    ] {
        stream.write_all(&bytes).unwrap();
    }
    assert_eq!(node.receive(), (from, urgent(2)));
    assert_eq!(node.receive(), (from, urgent(3)));
    assert_eq!(node.links.counters().undecodable.get(), 2);
    assert_eq!(node.links.counters().rejected_frames.get(), 0);
}

#[test]
fn later_session_of_an_address_replaces_the_earlier() {
    let node = Node::start();
    let from = peer_at(&listen());
    let mut early = TcpStream::connect(node.local_peer.address).unwrap();
    early
        .write_all(&frame::write(from, &urgent(1)).unwrap())
        .unwrap();
    assert_eq!(node.receive(), (from, urgent(1)));
    let mut late = TcpStream::connect(node.local_peer.address).unwrap();
    late.write_all(&frame::write(from, &urgent(2)).unwrap())
        .unwrap();
    assert_eq!(node.receive(), (from, urgent(2)));
    early.set_read_timeout(Some(WAIT_TIMEOUT)).unwrap();
    assert!(
        matches!(early.read(&mut [0; 8]), Ok(0)),
        "the earlier session is closed"
    );
    wait_until("one session is left", || {
        node.links.counters().inbound.get() == 1
    });
}

#[test]
fn session_with_a_second_sender_is_closed() {
    let node = Node::start();
    let (one, other) = (peer_at(&listen()), peer_at(&listen()));
    let mut stream = TcpStream::connect(node.local_peer.address).unwrap();
    for (from, id) in [(one, 1), (other, 2)] {
        let _ = stream.write_all(&frame::write(from, &urgent(id)).unwrap());
    }
    assert_eq!(node.receive(), (one, urgent(1)));
    wait_until("the second sender is rejected", || {
        node.links.counters().rejected_frames.get() == 1
    });
    assert!(node.inputs.is_empty());
}

#[test]
fn simultaneous_connects_deliver_all_messages_in_order() {
    const COUNT: u64 = 2_000;
    let (one, other) = (Node::start(), Node::start());
    for id in 0..COUNT {
        one.send(other.local_peer.address, PermitQueued { id });
        other.send(one.local_peer.address, PermitQueued { id });
    }
    for id in 0..COUNT {
        assert_eq!(one.receive(), (other.local_peer, urgent(id)));
        assert_eq!(other.receive(), (one.local_peer, urgent(id)));
    }
    assert_eq!(one.links.counters().inbound.get(), 1);
    assert_eq!(one.links.counters().outbound.get(), 1);
}

#[test]
fn unread_peer_queue_is_bounded_and_urgent_goes_first() {
    const LARGE_BYTES: usize = 100_000;
    let limits = QueueLimits {
        peer_bulk: 1_000_000,
        ..QueueLimits::default()
    };
    let node = Node::start_with(limits);
    let listener = listen();
    let to = listener.local_addr().unwrap();
    let socket = socket2::SockRef::from(&listener);
    socket.set_recv_buffer_size(64 * 1024).unwrap();
    node.send(to, urgent(0));
    let (mut stream, _) = listener.accept().unwrap();
    for id in 0..40 {
        node.send(to, bulk(id, LARGE_BYTES));
    }
    let dropped = node.links.counters().dropped_bulk.get();
    assert!(dropped >= 20, "{dropped} of 40 messages of 100 kB dropped");
    assert!(node.links.queued_bytes() <= 1_000_000 + LARGE_BYTES + 200);
    wait_until("the socket buffers are full", || {
        let before = node.links.queued_bytes();
        thread::sleep(Duration::from_millis(100));
        node.links.queued_bytes() == before
    });
    node.send(to, urgent(1));
    node.send(to, urgent(2));
    assert_eq!(node.links.counters().dropped_urgent.get(), 0);
    // The peer reads again before the stall timeout would close the session.
    let last = urgent(2);
    let found = read_messages(&mut stream, |found| found.contains(&last));
    let bulk_before = found
        .iter()
        .filter(|message| matches!(message, Message::CachePut(_)));
    let waiting = 40 - dropped;
    let before = bulk_before.count();
    assert!(
        before < waiting,
        "{before} of {waiting} bulk messages sent first"
    );
    let urgent_messages: Vec<&Message> = found
        .iter()
        .filter(|message| !matches!(message, Message::CachePut(_)))
        .collect();
    assert_eq!(urgent_messages, [&urgent(0), &urgent(1), &urgent(2)]);
}

#[test]
fn process_queue_is_bounded_and_urgent_still_fits() {
    let limits = QueueLimits {
        process_bulk: 1_000_000,
        process_urgent: 100_000,
        ..QueueLimits::default()
    };
    let node = Node::start_with(limits);
    // The operating system accepts the connections; nothing reads from them.
    let peers: Vec<TcpListener> = (0..20).map(|_| listen()).collect();
    for listener in &peers {
        let socket = socket2::SockRef::from(listener);
        socket.set_recv_buffer_size(16 * 1024).unwrap();
        for id in 0..10 {
            node.links
                .send(listener.local_addr().unwrap(), &bulk(id, 100_000));
        }
    }
    assert!(node.links.queued_bytes() <= 1_000_000 + 100_200);
    assert!(node.links.counters().dropped_bulk.get() >= 180);
    for listener in &peers {
        node.links.send(listener.local_addr().unwrap(), &urgent(1));
    }
    assert_eq!(node.links.counters().dropped_urgent.get(), 0);
}

/// Regression: one bulk message larger than all limits (the snapshots of a control
/// node's partitions) used the queue space of urgent messages to every peer: no
/// heartbeat and no renewal was sent before it.
#[test]
fn oversized_bulk_message_leaves_room_for_urgent_messages() {
    let node = Node::start();
    let slow = listen();
    let socket = socket2::SockRef::from(&slow);
    socket.set_recv_buffer_size(16 * 1024).unwrap();
    let huge_bytes = 20 * 1024 * 1024;
    node.links
        .send(slow.local_addr().unwrap(), &bulk(0, huge_bytes));
    assert!(node.links.queued_bytes() >= huge_bytes);
    let other = Node::start();
    for id in 0..100 {
        node.links.send(slow.local_addr().unwrap(), &urgent(id));
        node.send(other.local_peer.address, urgent(id));
    }
    assert_eq!(node.links.counters().dropped_urgent.get(), 0);
    assert_eq!(other.receive(), (node.local_peer, urgent(0)));
}

#[test]
fn returned_peer_is_reconnected_with_backoff() {
    let node = Node::start();
    let listener = listen();
    let local_peer = peer_at(&listener);
    let (sender, inputs) = flume::unbounded();
    let first = Links::open(local_peer, listener, sender, None).unwrap();
    let mut other = Node {
        local_peer,
        links: first,
        inputs,
    };
    node.send_until_received(&other, 1);
    drop(other.links);
    wait_until("the session is closed", || {
        node.send(local_peer.address, PermitQueued { id: 2 });
        node.links.counters().outbound.get() == 0
    });
    for _ in 0..100 {
        node.send(local_peer.address, PermitQueued { id: 3 });
        thread::sleep(Duration::from_millis(2));
    }
    assert!(node.links.queued_bytes() < 100_000);
    let listener = TcpListener::bind(local_peer.address).unwrap();
    let (sender, inputs) = flume::unbounded();
    let restarted = Peer::new(local_peer.address, new_incarnation().unwrap());
    other = Node {
        local_peer: restarted,
        links: Links::open(restarted, listener, sender, None).unwrap(),
        inputs,
    };
    let started_at = Instant::now();
    node.send_until_received(&other, 4);
    assert!(started_at.elapsed() < Duration::from_secs(3));
}

#[test]
fn connect_attempts_to_absent_peer_are_spaced() {
    let node = Node::start();
    let listener = listen();
    let to = listener.local_addr().unwrap();
    // The listener closes each session immediately.
    let count = thread::spawn(move || {
        let deadline = Instant::now() + Duration::from_secs(1);
        listener.set_nonblocking(true).unwrap();
        let mut sessions = 0;
        while Instant::now() < deadline {
            match listener.accept() {
                Ok((stream, _)) => {
                    sessions += 1;
                    drop(stream);
                }
                Err(_) => thread::sleep(Duration::from_millis(1)),
            }
        }
        sessions
    });
    while !count.is_finished() {
        node.send(to, urgent(1));
        thread::sleep(Duration::from_millis(1));
    }
    let sessions = count.join().unwrap();
    assert!(
        (2..=12).contains(&sessions),
        "{sessions} sessions in a second"
    );
}

#[test]
fn unprocessed_backlog_is_bounded_and_complete() {
    const COUNT: u64 = 100;
    const LARGE_BYTES: usize = 200_000;
    let limits = QueueLimits {
        peer_bulk: 64 * 1024 * 1024,
        process_bulk: 64 * 1024 * 1024,
        ..QueueLimits::default()
    };
    let (one, other) = (Node::start_with(limits), Node::start());
    for id in 0..COUNT {
        one.send(other.local_peer.address, bulk(id, LARGE_BYTES));
    }
    wait_until("reading has paused", || {
        other.links.backlog_bytes() >= 4 * 1024 * 1024
    });
    thread::sleep(Duration::from_millis(100));
    // The limit, the reads of one turn, and a message that was partially read before.
    let max_backlog = 4 * 1024 * 1024 + 4 * 64 * 1024 + LARGE_BYTES + 1_000;
    assert!(other.links.backlog_bytes() <= max_backlog);
    for id in 0..COUNT {
        let (_, message) = other.receive();
        assert!(matches!(message, Message::CachePut(put) if put.token.serial == id));
    }
}

#[test]
fn urgent_messages_interleave_with_chunked_bulk() {
    const CHUNKS: usize = 200;
    let node = Node::start();
    let listener = listen();
    let to = listener.local_addr().unwrap();
    let socket = socket2::SockRef::from(&listener);
    socket.set_recv_buffer_size(32 * 1024).unwrap();
    node.send(to, bulk(0, CHUNKS * CHUNK_BYTES));
    let (mut stream, _) = listener.accept().unwrap();
    thread::sleep(Duration::from_millis(100));
    node.send(to, urgent(1));
    let found = read_messages(&mut stream, |found| found.len() == 2);
    assert_eq!(found[0], urgent(1), "it did not wait for the complete bulk");
}

/// Guards against requests that reach origins long after their clients have left: cached
/// responses sent to many peers at once must not fill the queue of the machine's link,
/// in which calls and lease renewals would wait.
#[test]
fn bulk_to_many_peers_does_not_delay_a_call_on_the_same_link() {
    const PEERS: u64 = 30;
    const RESPONSE_BYTES: usize = 120 * 1024;
    const LINK_BYTES_PER_SECOND: f64 = 1_000_000.0;
    const MAX_DELAY: Duration = Duration::from_millis(250);
    let send_rate = SendRate::new(LINK_BYTES_PER_SECOND, Instant::now()).map(Arc::new);
    let node = Node::start_paced(QueueLimits::default(), send_rate);
    let properties = LinkProperties {
        bytes_per_second: LINK_BYTES_PER_SECOND,
        delay: Duration::ZERO,
    };
    let link = Arc::new(NarrowLink::new(node.local_peer.address, properties));
    let peers: Vec<Node> = (0..PEERS).map(|_| Node::start()).collect();
    for (id, peer) in (0..PEERS).zip(&peers) {
        let address = link.address_of(peer.local_peer.address).unwrap();
        node.send(address, bulk(id, RESPONSE_BYTES));
    }
    thread::sleep(Duration::from_millis(500));
    let origin = listen();
    let address = link.address_of(origin.local_addr().unwrap()).unwrap();
    let since = Instant::now();
    let mut call = TcpStream::connect(address).unwrap();
    call.write_all(b"GET / HTTP/1.1\r\n\r\n").unwrap();
    origin.accept().unwrap().0.read_exact(&mut [0; 18]).unwrap();
    let delay = since.elapsed();
    assert!(delay < MAX_DELAY, "the call arrives after {delay:?}");
    for peer in &peers {
        peer.receive();
    }
}
