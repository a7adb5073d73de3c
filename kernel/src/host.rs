use crate::prelude::*;

/// What HTTP threads share with the part's thread: they put inputs in and
/// read what it shows; the tables are swapped whole.
pub struct Port {
    pub give: Sender<Input>,
    began: Instant,
    serial: AtomicU64,
    waits: Mutex<HashMap<u64, Sender<Output>>>,
    pub image: ArcSwap<Option<Arc<EntryTable>>>,
    fence: AtomicU64,
    ready: AtomicBool,
    pub ending: AtomicBool,
    /// The data folder, on nodes that have one.
    pub data: Option<PathBuf>,
}

impl Port {
    pub fn now(&self) -> Duration {
        self.began.elapsed()
    }

    /// Hands `make(id)` to the part and waits for what comes of it.
    pub fn ask(&self, limit: Duration, make: &dyn Fn(u64) -> Input) -> Option<Output> {
        let id = self.serial.fetch_add(1, Ordering::Relaxed);
        let (give, take) = flume::bounded(1);
        self.waits.lock().expect("no holder panics").insert(id, give);
        let output = match self.give.send(make(id)) {
            Ok(()) => take.recv_timeout(limit).ok(),
            Err(_) => None,
        };
        self.waits.lock().expect("no holder panics").remove(&id);
        output
    }

    fn answer(&self, id: u64, output: Output) {
        if let Some(wait) = self.waits.lock().expect("no holder panics").remove(&id) {
            let _ = wait.send(output);
        }
    }

    /// True while the lease stands; read anew right before an answer is sent.
    pub fn live(&self) -> bool {
        self.now() < Duration::from_nanos(self.fence.load(Ordering::Acquire))
    }

    pub fn ready(&self) -> bool {
        self.live() && self.ready.load(Ordering::Acquire)
    }
}

/// Where a part's records go. The file counts only once synced.
pub trait Store: Send {
    fn append(&mut self, record: &[u8]) -> Result<()>;
    fn image(&mut self, record: &[u8]) -> Result<()>;
    fn sync(&mut self) -> Result<()>;
}

/// Makes calls for a part, in threads of its own.
pub type Caller = fn(&Call) -> CallBack;

/// Drives one part: sockets, disk, pulses and calls sit out here.
pub struct Host {
    pub me: Mate,
    pub program: &'static str,
    pub startup: Startup,
    pub pulse: Duration,
    pub store: Option<Box<dyn Store>>,
    pub caller: Option<Caller>,
    /// Where acknowledged configurations go; never waited for.
    pub history: Option<Sender<(u64, Arc<str>)>>,
}

const WATCH: Duration = Duration::from_secs(1);

enum Stored {
    Append(u64, Vec<u8>),
    Image(u64, Vec<u8>),
}

impl Host {
    pub fn run(mut self, mut part: Box<dyn Part>) -> Result<()> {
        let (give, take) = flume::unbounded::<Input>();
        let mesh = self.startup.mesh.context("mesh address")?;
        let listener = TcpListener::bind(mesh).with_context(|| format!("cannot listen on {mesh}"))?;
        let links = Links::open(self.me, listener, give.clone());
        let port = Arc::new(Port {
            give: give.clone(),
            began: Instant::now(),
            // Not where an earlier run began: its late answers fit no call of ours.
            serial: AtomicU64::new(new_life()? >> 1),
            waits: Mutex::default(),
            image: ArcSwap::from_pointee(None),
            fence: AtomicU64::new(0),
            ready: AtomicBool::new(false),
            ending: AtomicBool::new(false),
            data: self.startup.data.clone(),
        });
        let http = self.serve(&port)?;
        let store = self.store.take().map(|store| Host::keep(store, give.clone()));
        Host::watch_signal(&give, self.startup.grace())?;
        let pulse = self.pulse;
        note(Event::Started, &format!("{} {} mesh {mesh} http {:?}", self.program, self.me, self.startup.http));
        let mut next = port.now();
        // After the end, calls that were already read are still answered.
        while !http.is_finished() {
            let now = port.now();
            let input = if now >= next {
                next = now + pulse;
                Input::Pulse
            } else {
                match take.recv_timeout(next - now) {
                    Ok(input) => input,
                    Err(_) => continue,
                }
            };
            for output in part.step(port.now(), input) {
                match output {
                    Output::Tell { to, message } => {
                        if to == mesh {
                            let _ = give.send(Input::Heard { from: self.me, message });
                        } else {
                            links.tell(to, &message);
                        }
                    }
                    Output::Store { serial, record } => self.put(&store, Stored::Append(serial, record)),
                    Output::StoreImage { serial, record } => self.put(&store, Stored::Image(serial, record)),
                    Output::Answer { id, .. } | Output::OperatorAnswer { id, .. } => port.answer(id, output),
                    Output::Call { id, call } => {
                        let (give, caller, port) = (give.clone(), self.caller.context("no caller")?, port.clone());
                        thread::spawn(move || {
                            // The process may have stood still since the part
                            // decided: what it knew holds only while the lease does.
                            let result = if port.live() { caller(&call) } else { CallBack::Refused };
                            let _ = give.send(Input::Called { id, result });
                        });
                    }
                    Output::Watch { address } => {
                        let give = give.clone();
                        thread::spawn(move || Host::watch(address, &give));
                    }
                    Output::Note { event, text } => note(event, &text),
                    Output::Show(Shown::Fence { until, ready }) => {
                        port.ready.store(ready, Ordering::Release);
                        port.fence.store(until.as_nanos() as u64, Ordering::Release);
                    }
                    Output::Show(Shown::Duties(_)) => {}
                    Output::Show(Shown::Acknowledged { version, text }) => {
                        if let Some(history) = &self.history {
                            let _ = history.try_send((version, text));
                        }
                    }
                    Output::Show(Shown::Configuration(table)) => port.image.store(Arc::new(Some(table))),
                    Output::Ended => {
                        port.ending.store(true, Ordering::Release);
                    }
                }
            }
        }
        note(Event::Ended, "nothing is left to do");
        Ok(())
    }

    /// Says nothing on the connection; its end is the end of the process that
    /// took it, or of its patience: either way it must show again who it is.
    fn watch(address: SocketAddr, give: &Sender<Input>) {
        if let Ok(mut stream) = TcpStream::connect_timeout(&address, WATCH) {
            let _ = give.send(Input::Watched { address, open: true });
            while matches!(stream.read(&mut [0; 64]), Ok(size) if size > 0) {}
        }
        let _ = give.send(Input::Watched { address, open: false });
    }

    fn put(&self, store: &Option<Sender<Stored>>, what: Stored) {
        if let Some(store) = store {
            let _ = store.send(what);
        }
    }

    /// One sync serves all records that waited for the one before.
    fn keep(mut store: Box<dyn Store>, give: Sender<Input>) -> Sender<Stored> {
        let (put, take) = flume::unbounded::<Stored>();
        thread::spawn(move || {
            while let Ok(first) = take.recv() {
                let mut last = 0;
                let mut good = true;
                for record in std::iter::once(first).chain(take.drain()) {
                    let done = match record {
                        Stored::Append(serial, record) => (serial, store.append(&record)),
                        Stored::Image(serial, record) => (serial, store.image(&record)),
                    };
                    last = done.0;
                    good &= done.1.is_ok();
                }
                good &= store.sync().is_ok();
                let input = if good { Input::Stored { serial: last } } else { Input::StoreFailed };
                if give.send(input).is_err() || !good {
                    return;
                }
            }
        });
        put
    }

    fn serve(&self, port: &Arc<Port>) -> Result<thread::JoinHandle<()>> {
        let address = self.startup.http.context("http address")?;
        let plug_ins = PlugIn::of(self.program);
        let face = port.clone();
        let server = rouille::Server::new(address, move |request| {
            plug_ins
                .iter()
                .find_map(|one| (one.serve)(&face, request))
                .unwrap_or_else(|| refuse(&Refusal::not_run(404, "no_such_path", "nothing is served here")))
        })
        .map_err(|error| anyhow!("cannot listen on {address}: {error}"))?;
        let port = port.clone();
        Ok(thread::spawn(move || {
            while !port.ending.load(Ordering::Acquire) {
                server.poll_timeout(Duration::from_millis(50));
            }
            server.join();
        }))
    }

    /// The first warning goes to the part; after the grace time the process
    /// ends regardless.
    fn watch_signal(give: &Sender<Input>, grace: Duration) -> Result<()> {
        let mut signals = signal_hook::iterator::Signals::new([signal_hook::consts::SIGTERM, signal_hook::consts::SIGINT])?;
        let give = give.clone();
        thread::spawn(move || {
            if signals.forever().next().is_some() {
                note(Event::Warned, &format!("ending within {grace:?}"));
                let _ = give.send(Input::Warned);
                thread::sleep(grace);
                note(Event::Ended, "grace time is over");
                std::process::exit(1);
            }
        });
        Ok(())
    }
}

/// A number no other run has.
pub fn new_life() -> Result<u64> {
    let mut bytes = [0u8; 8];
    getrandom::fill(&mut bytes).map_err(|error| anyhow!("no randomness: {error}"))?;
    Ok(u64::from_be_bytes(bytes).max(1))
}
