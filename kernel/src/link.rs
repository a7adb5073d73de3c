use crate::prelude::*;

/// Sessions to peers over TCP, one thread each way. A link may lose what it
/// was given: the state machines say again what was not answered.
pub struct Links {
    me: Peer,
    out: Mutex<HashMap<SocketAddr, Sender<Arc<Vec<u8>>>>>,
}

/// Frames waiting for one peer; more are dropped.
const PENDING: usize = 4096;
const CONNECT: Duration = Duration::from_millis(500);
/// A peer that acknowledges nothing for this long is dropped and met anew:
/// left to itself, TCP would wait ever longer between tries, and a healed cut
/// would go unnoticed for many seconds.
const STALL: Duration = Duration::from_millis(1500);
/// An idle session to a machine that vanished ends after about this long.
const IDLE: Duration = Duration::from_secs(15);

impl Links {
    /// Listens for peers and hands what they say to `take`.
    pub fn open(me: Peer, listener: TcpListener, take: Sender<Input>) -> Arc<Links> {
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let take = take.clone();
                thread::spawn(move || Links::hear(stream, &take));
            }
        });
        Arc::new(Links {
            me,
            out: Mutex::default(),
        })
    }

    fn hear(stream: TcpStream, take: &Sender<Input>) {
        let alive = socket2::TcpKeepalive::new()
            .with_time(IDLE)
            .with_interval(IDLE / 3);
        let _ = socket2::SockRef::from(&stream).set_tcp_keepalive(&alive);
        let mut stream = std::io::BufReader::new(stream);
        loop {
            match frame::read(&mut stream) {
                Ok((from, message)) => {
                    if take.send(Input::Heard { from, message }).is_err() {
                        return;
                    }
                }
                Err(error) => {
                    let ended = error.downcast_ref::<std::io::Error>().is_some();
                    note(
                        if ended {
                            Event::LinkBroken
                        } else {
                            Event::FrameRefused
                        },
                        &error.to_string(),
                    );
                    return;
                }
            }
        }
    }

    pub fn tell(&self, to: SocketAddr, message: &Message) {
        let Ok(frame) = frame::write(self.me, message) else {
            return;
        };
        let mut out = self.out.lock().expect("no holder panics");
        let link = out.entry(to).or_insert_with(|| {
            let (give, take) = flume::bounded(PENDING);
            thread::spawn(move || Links::speak(to, &take));
            give
        });
        let _ = link.try_send(Arc::new(frame));
    }

    fn speak(to: SocketAddr, take: &Receiver<Arc<Vec<u8>>>) {
        let mut stream: Option<TcpStream> = None;
        let mut met = Instant::now() - CONNECT;
        while let Ok(frame) = take.recv() {
            if stream.is_none() {
                // Between tries to connect, what is given is dropped.
                if met.elapsed() < CONNECT / 5 {
                    continue;
                }
                met = Instant::now();
                stream = TcpStream::connect_timeout(&to, CONNECT).ok();
                if let Some(stream) = &stream {
                    let _ = stream.set_nodelay(true);
                    let _ = stream.set_write_timeout(Some(STALL));
                    let _ = socket2::SockRef::from(stream).set_tcp_user_timeout(Some(STALL));
                } else {
                    // What gathered meanwhile is old by now.
                    take.drain().for_each(drop);
                }
            }
            if let Some(open) = &mut stream
                && let Err(error) = open.write_all(&frame)
            {
                note(Event::LinkBroken, &format!("{to}: {error}"));
                stream = None;
            }
        }
    }
}
