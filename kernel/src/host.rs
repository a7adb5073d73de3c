use crate::prelude::*;

/// What is done with the part's answer.
type Then = Box<dyn FnOnce(Output) + Send>;

/// What HTTP threads share with the part's thread: they put inputs in and
/// read what it shows; the tables are swapped whole.
pub struct Port {
    pub give: Sender<Input>,
    began: Instant,
    serial: AtomicU64,
    waits: Mutex<HashMap<u64, Then>>,
    pub image: ArcSwap<Option<Arc<RouteTable>>>,
    fence: AtomicU64,
    ready: AtomicBool,
    pub ending: AtomicBool,
    /// The assignments held now, by name.
    pub assignments: ArcSwap<Vec<String>>,
    pub startup: Startup,
}

impl Port {
    /// Inputs for the part go to `give`. Not live until a fence is set.
    pub fn new(give: Sender<Input>, startup: Startup) -> Result<Port> {
        Ok(Port {
            give,
            began: Instant::now(),
            // Not where an earlier run began: its late answers fit no call of ours.
            serial: AtomicU64::new(new_incarnation()? >> 1),
            waits: Mutex::default(),
            image: ArcSwap::from_pointee(None),
            fence: AtomicU64::new(0),
            ready: AtomicBool::new(false),
            ending: AtomicBool::new(false),
            assignments: ArcSwap::default(),
            startup,
        })
    }

    /// The lease stands until then; `ready`: callers may come.
    pub fn set_fence(&self, until: Duration, ready: bool) {
        self.ready.store(ready, Ordering::Release);
        self.fence.store(until.as_nanos() as u64, Ordering::Release);
    }

    pub fn now(&self) -> Duration {
        self.began.elapsed()
    }

    /// Hands `make(id)` to the part; `then` runs on the part's thread with what
    /// comes of it, and must not wait.
    pub fn begin(&self, make: &dyn Fn(u64) -> Input, then: Then) -> u64 {
        let id = self.serial.fetch_add(1, Ordering::Relaxed);
        self.waits
            .lock()
            .expect("no holder panics")
            .insert(id, then);
        if self.give.send(make(id)).is_err() {
            self.forget(id);
        }
        id
    }

    /// Nobody waits for this answer any more.
    pub fn forget(&self, id: u64) {
        self.waits.lock().expect("no holder panics").remove(&id);
    }

    /// Hands `make(id)` to the part and waits for what comes of it.
    pub fn ask(&self, limit: Duration, make: &dyn Fn(u64) -> Input) -> Option<Output> {
        let (give, take) = flume::bounded(1);
        let id = self.begin(
            make,
            Box::new(move |output| {
                let _ = give.send(output);
            }),
        );
        let output = take.recv_timeout(limit).ok();
        self.forget(id);
        output
    }

    /// Hands an output to whoever waits for it under this id, if anyone does.
    pub fn complete(&self, id: u64, output: Output) {
        let then = self.waits.lock().expect("no holder panics").remove(&id);
        if let Some(then) = then {
            then(output);
        }
    }

    /// Whether this process holds an assignment now, as far as it knows.
    pub fn holds(&self, assignment: &str) -> bool {
        self.assignments
            .load()
            .iter()
            .any(|known| known == assignment)
    }

    /// True while the lease stands; read anew right before an answer is sent.
    pub fn live(&self) -> bool {
        self.now() < Duration::from_nanos(self.fence.load(Ordering::Acquire))
    }

    pub fn ready(&self) -> bool {
        self.live() && self.ready.load(Ordering::Acquire)
    }
}

/// Drives one part: sockets, disk, ticks and calls sit out here.
pub struct NodeHost {
    pub me: Peer,
    pub program: &'static str,
    pub startup: Startup,
    pub tick: Duration,
    pub store: Option<Box<dyn Store>>,
    pub frontend: Box<dyn Frontend>,
    /// Where acknowledged configurations go; never waited for.
    pub history: Option<Sender<(u64, Arc<str>)>>,
}

const WATCH: Duration = Duration::from_secs(1);
/// The last messages have this long to leave before the process ends.
const LAST_WORDS: Duration = Duration::from_millis(200);
/// While more inputs wait, what is told leaves after so many of them at the
/// latest, together.
const FLUSH_STEPS: u32 = 32;

impl NodeHost {
    pub fn run(mut self, mut part: Box<dyn StateMachine>) -> Result<()> {
        let (give, take) = flume::unbounded::<Input>();
        let mesh = self.startup.mesh.context("mesh address")?;
        let listener =
            TcpListener::bind(mesh).with_context(|| format!("cannot listen on {mesh}"))?;
        let links = Links::open(self.me, listener, give.clone())?;
        let port = Arc::new(Port::new(give.clone(), self.startup.clone())?);
        self.frontend.open(&port)?;
        for source in
            inventory::iter::<SourcePlugIn>().filter(|source| source.program == self.program)
        {
            let port = port.clone();
            thread::spawn(move || (source.run)(&port));
        }
        let store = self
            .store
            .take()
            .map(|store| store::spawn_writer(store, give.clone()));
        NodeHost::watch_signal(&give, self.startup.grace())?;
        let tick = self.tick;
        log_event(
            Event::Started,
            &format!(
                "{} {} mesh {mesh} http {:?}",
                self.program, self.me, self.startup.http
            ),
        );
        let mut next = port.now();
        let mut unflushed = 0;
        // After the end, calls that were already read are still answered.
        while !(port.ending.load(Ordering::Acquire) && self.frontend.done()) {
            let now = port.now();
            let input = if now >= next {
                next = now + tick;
                Input::Tick
            } else {
                match take.recv_timeout(next - now) {
                    Ok(input) => input,
                    Err(_) => continue,
                }
            };
            let from_peer =
                matches!(&input, Input::MessageReceived { from, .. } if *from != self.me);
            if matches!(input, Input::ShutdownRequested) {
                self.frontend.warn();
            }
            for output in part.handle(port.now(), input) {
                match output {
                    Output::Send { to, message } => {
                        if to == mesh {
                            let _ = give.send(Input::MessageReceived {
                                from: self.me,
                                message,
                            });
                        } else {
                            links.tell(to, &message);
                        }
                    }
                    Output::Store { serial, record } => {
                        self.put(&store, PendingWrite::Append { serial, record })
                    }
                    Output::StoreSnapshot { serial, record } => {
                        self.put(&store, PendingWrite::Snapshot { serial, record })
                    }
                    Output::ClientResponse { id, .. } | Output::OperatorResponse { id, .. } => {
                        port.complete(id, output)
                    }
                    Output::Call { id, call } => self.frontend.call(id, call),
                    Output::CancelCall { id } => self.frontend.cancel_call(id),
                    Output::ExtendCall { id, limit } => self.frontend.extend_call(id, limit),
                    Output::WatchConnection { address } => {
                        let give = give.clone();
                        thread::spawn(move || NodeHost::watch(address, &give));
                    }
                    Output::Log { event, text } => log_event(event, &text),
                    Output::Publish(PublishedState::Fence { until, ready }) => {
                        port.set_fence(until, ready);
                    }
                    Output::Publish(PublishedState::Assignments(list)) => {
                        port.assignments.store(Arc::new(list))
                    }
                    Output::Publish(PublishedState::LinkDelay(delay)) => {
                        self.frontend.link_delay(delay)
                    }
                    Output::Publish(PublishedState::CommittedConfiguration { version, text }) => {
                        if let Some(history) = &self.history {
                            let _ = history.try_send((version, text));
                        }
                    }
                    Output::Publish(PublishedState::Configuration(table)) => {
                        port.image.store(Arc::new(Some(table)))
                    }
                    Output::ShutdownComplete => {
                        // What is read from here on, nobody would answer.
                        self.frontend.stop();
                        port.ending.store(true, Ordering::Release);
                    }
                }
            }
            if from_peer {
                links.processed();
            }
            unflushed += 1;
            if take.is_empty() || unflushed >= FLUSH_STEPS {
                links.flush();
                unflushed = 0;
            }
        }
        links.drain(LAST_WORDS);
        log_event(Event::Ended, "nothing is left to do");
        Ok(())
    }

    /// Says nothing on the connection; its end is the end of the process that
    /// took it, or of its patience: either way it must show again who it is.
    fn watch(address: SocketAddr, give: &Sender<Input>) {
        if let Ok(mut stream) = TcpStream::connect_timeout(&address, WATCH) {
            let _ = give.send(Input::ConnectionChanged {
                address,
                open: true,
            });
            while matches!(stream.read(&mut [0; 64]), Ok(size) if size > 0) {}
        }
        let _ = give.send(Input::ConnectionChanged {
            address,
            open: false,
        });
    }

    fn put(&self, store: &Option<Sender<PendingWrite>>, what: PendingWrite) {
        if let Some(store) = store {
            let _ = store.send(what);
        }
    }

    /// The first warning goes to the part; after the grace time the process
    /// ends regardless.
    fn watch_signal(give: &Sender<Input>, grace: Duration) -> Result<()> {
        let mut signals = signal_hook::iterator::Signals::new([
            signal_hook::consts::SIGTERM,
            signal_hook::consts::SIGINT,
            signal_hook::consts::SIGHUP,
        ])?;
        let give = give.clone();
        thread::spawn(move || {
            // A hang-up asks to read the startup anew: what hangs on it is
            // learned from the peers all the time.
            if signals
                .forever()
                .any(|signal| signal != signal_hook::consts::SIGHUP)
            {
                log_event(
                    Event::ShutdownRequested,
                    &format!("ending within {grace:?}"),
                );
                let _ = give.send(Input::ShutdownRequested);
                thread::sleep(grace);
                log_event(Event::Ended, "grace time is over");
                std::process::exit(1);
            }
        });
        Ok(())
    }
}

/// A number no other run has.
pub fn new_incarnation() -> Result<u64> {
    let mut bytes = [0u8; 8];
    getrandom::fill(&mut bytes).map_err(|error| anyhow!("no randomness: {error}"))?;
    Ok(u64::from_be_bytes(bytes).max(1))
}
