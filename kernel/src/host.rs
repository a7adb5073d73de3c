//! The host of a node's state machine: sockets, disk, ticks and signals.
use crate::prelude::*;

/// How long a watched connection may take to open.
const WATCH_CONNECT_TIMEOUT: Duration = Duration::from_secs(1);
/// The last messages have this long to leave before the process ends.
const FINAL_DRAIN_TIMEOUT: Duration = Duration::from_millis(200);
/// While more inputs wait, messages leave after so many of them at the latest,
/// together.
const MAX_INPUTS_PER_FLUSH: u32 = 32;

/// Why a process could not start.
#[derive(Debug, thiserror::Error)]
pub enum HostError {
    /// A setting is missing that this program needs.
    #[error("{0} is not set")]
    MissingSetting(&'static str),
    /// An address is taken or is not this machine's.
    #[error("cannot listen on {address}")]
    Listen {
        /// The address.
        address: SocketAddr,
        /// What the system said.
        source: std::io::Error,
    },
    /// The links between processes could not be set up.
    #[error("cannot open the links to peers")]
    Links(#[source] std::io::Error),
    /// The system has no randomness.
    #[error(transparent)]
    Randomness(#[from] RandomnessError),
    /// The frontend could not be opened.
    #[error("cannot open the frontend")]
    Frontend(#[from] FrontendError),
    /// Signals cannot be received.
    #[error("cannot receive signals")]
    Signals(#[source] std::io::Error),
}

/// Drives one state machine: sockets, disk, ticks and calls are out here.
pub struct NodeHost {
    /// This process.
    pub me: Peer,
    /// The program's name, by which plug-ins register.
    pub program: &'static str,
    /// The process's settings.
    pub startup: Startup,
    /// The span between two ticks.
    pub tick: Duration,
    /// Where records go; none for a node without a disk.
    pub store: Option<Box<dyn Store>>,
    /// Where clients, operators and origins are met.
    pub frontend: Box<dyn Frontend>,
    /// Where committed configurations go; never waited for.
    pub history: Option<Sender<(u64, Arc<str>)>>,
}

/// What the thread of the state machine works with while it runs.
struct Running {
    host: NodeHost,
    mesh: SocketAddr,
    inputs: Receiver<Input>,
    give: Sender<Input>,
    links: Links,
    port: Arc<Port>,
    store: Option<Sender<PendingWrite>>,
    /// Inputs handled since messages last left.
    unflushed: u32,
}

impl NodeHost {
    /// Runs the state machine until it has shut down.
    pub fn run(self, state_machine: Box<dyn StateMachine>) -> Result<(), HostError> {
        let mut running = self.start()?;
        running.drive(state_machine);
        running.links.drain(FINAL_DRAIN_TIMEOUT);
        log_event(Event::Ended, "nothing is left to do");
        Ok(())
    }

    /// Opens sockets, the frontend, the disk's writer and the signal handler.
    fn start(mut self) -> Result<Running, HostError> {
        let (give, inputs) = flume::unbounded::<Input>();
        let mesh = self
            .startup
            .mesh
            .ok_or(HostError::MissingSetting("mesh address"))?;
        let listener = TcpListener::bind(mesh).map_err(|source| HostError::Listen {
            address: mesh,
            source,
        })?;
        let links = Links::open(self.me, listener, give.clone()).map_err(HostError::Links)?;
        let port = Arc::new(Port::new(give.clone(), self.startup.clone())?);
        self.frontend.open(&port)?;
        self.start_sources(&port);
        let store = self
            .store
            .take()
            .map(|store| store::spawn_writer(store, give.clone()));
        watch_signals(&give, self.startup.grace()).map_err(HostError::Signals)?;
        let text = format!(
            "{} {} mesh {mesh} http {:?}",
            self.program, self.me, self.startup.http
        );
        log_event(Event::Started, &text);
        Ok(Running {
            host: self,
            mesh,
            inputs,
            give,
            links,
            port,
            store,
            unflushed: 0,
        })
    }

    /// Starts what registered itself to run beside this program.
    fn start_sources(&self, port: &Arc<Port>) {
        let registered = inventory::iter::<SourcePlugIn>();
        for source in registered.filter(|source| source.program == self.program) {
            let port = port.clone();
            thread::spawn(move || (source.run)(&port));
        }
    }
}

impl Running {
    fn drive(&mut self, mut state_machine: Box<dyn StateMachine>) {
        let mut next_tick = self.port.now();
        // After the end, requests that still come are answered: by rejections.
        while !(self.port.ending.load(Ordering::Acquire) && self.host.frontend.is_done()) {
            let Some(input) = self.next_input(&mut next_tick) else {
                continue;
            };
            let from_peer =
                matches!(&input, Input::MessageReceived { from, .. } if *from != self.host.me);
            if matches!(input, Input::ShutdownRequested) {
                self.host.frontend.prepare_shutdown();
            }
            for output in state_machine.handle(self.port.now(), input) {
                self.perform(output);
            }
            if from_peer {
                self.links.processed();
            }
            self.flush_if_due();
        }
    }

    /// A tick if one is due, else the next input that arrives before it.
    fn next_input(&self, next_tick: &mut Duration) -> Option<Input> {
        let now = self.port.now();
        if now >= *next_tick {
            *next_tick = now + self.host.tick;
            return Some(Input::Tick);
        }
        self.inputs.recv_timeout(*next_tick - now).ok()
    }

    fn flush_if_due(&mut self) {
        self.unflushed += 1;
        if self.inputs.is_empty() || self.unflushed >= MAX_INPUTS_PER_FLUSH {
            self.links.flush();
            self.unflushed = 0;
        }
    }

    fn perform(&mut self, output: Output) {
        match output {
            Output::Send { to, message } => self.send(to, message),
            Output::Store { serial, record } => self.put(PendingWrite::Append { serial, record }),
            Output::StoreSnapshot { serial, record } => {
                self.put(PendingWrite::Snapshot { serial, record })
            }
            Output::ClientResponse { id, .. } | Output::OperatorResponse { id, .. } => {
                self.port.complete(id, output)
            }
            Output::Call { id, call } => self.host.frontend.call(id, call),
            Output::CancelCall { id } => self.host.frontend.cancel_call(id),
            Output::ExtendCall { id, limit } => self.host.frontend.extend_call(id, limit),
            Output::WatchConnection { address } => {
                let give = self.give.clone();
                thread::spawn(move || watch_connection(address, &give));
            }
            Output::Log { event, text } => log_event(event, &text),
            Output::Publish(state) => self.publish(state),
            Output::ShutdownComplete => {
                // The state machine rejects what still comes.
                self.host.frontend.finish();
                self.port.ending.store(true, Ordering::Release);
            }
        }
    }

    fn send(&self, to: SocketAddr, message: Message) {
        if to == self.mesh {
            let from = self.host.me;
            let _ = self.give.send(Input::MessageReceived { from, message });
        } else {
            self.links.send(to, &message);
        }
    }

    fn put(&self, write: PendingWrite) {
        if let Some(store) = &self.store {
            let _ = store.send(write);
        }
    }

    fn publish(&self, state: PublishedState) {
        match state {
            PublishedState::Fence { until, ready } => self.port.set_fence(until, ready),
            PublishedState::Assignments(names) => self.port.assignments.store(Arc::new(names)),
            PublishedState::LinkDelay(delay) => self.host.frontend.link_delay(delay),
            PublishedState::CommittedConfiguration { version, text } => {
                if let Some(history) = &self.host.history {
                    let _ = history.try_send((version, text));
                }
            }
            PublishedState::Configuration(routes) => self.port.routes.store(Arc::new(Some(routes))),
        }
    }
}

/// Sends nothing on the connection; its end is the end of the process that
/// accepted it, or of its idle limit: either way it must prove its identity
/// again.
fn watch_connection(address: SocketAddr, give: &Sender<Input>) {
    let change = |open| Input::ConnectionChanged { address, open };
    if let Ok(mut stream) = TcpStream::connect_timeout(&address, WATCH_CONNECT_TIMEOUT) {
        let _ = give.send(change(true));
        while matches!(stream.read(&mut [0; 64]), Ok(size) if size > 0) {}
    }
    let _ = give.send(change(false));
}

/// The first signal goes to the state machine; after the grace time the process
/// ends regardless.
fn watch_signals(give: &Sender<Input>, grace: Duration) -> std::io::Result<()> {
    let mut signals = signal_hook::iterator::Signals::new([
        signal_hook::consts::SIGTERM,
        signal_hook::consts::SIGINT,
        signal_hook::consts::SIGHUP,
    ])?;
    let give = give.clone();
    thread::spawn(move || {
        // SIGHUP asks to read the settings anew: what depends on them is learned
        // from the peers all the time.
        let ends = |signal| signal != signal_hook::consts::SIGHUP;
        if signals.forever().any(ends) {
            let text = format!("ending within {grace:?}");
            log_event(Event::ShutdownRequested, &text);
            let _ = give.send(Input::ShutdownRequested);
            thread::sleep(grace);
            log_event(Event::Ended, "grace time is over");
            std::process::exit(1);
        }
    });
    Ok(())
}
