//! The host of a node's state machine: drives it with sockets, disk, ticks and signals.
use crate::prelude::*;

/// Timeout for opening a watched connection.
const WATCH_CONNECT_TIMEOUT: Duration = Duration::from_secs(1);
/// Maximum time for sending the last messages before the process ends.
const FINAL_DRAIN_TIMEOUT: Duration = Duration::from_millis(200);
/// Maximum number of inputs handled before the queued messages are flushed together.
const MAX_INPUTS_PER_FLUSH: u32 = 32;

/// Reasons why a process could not start.
#[derive(Debug, thiserror::Error)]
pub enum HostError {
    /// A required setting is missing.
    #[error("{0} is not set")]
    MissingSetting(&'static str),
    /// The address is in use or does not belong to this machine.
    #[error("cannot listen on {address}")]
    Listen {
        /// The address.
        address: SocketAddr,
        /// The error of the operating system.
        source: std::io::Error,
    },
    /// The links to peers could not be opened.
    #[error("cannot open the links to peers")]
    Links(#[source] std::io::Error),
    /// The operating system provided no random bytes.
    #[error(transparent)]
    Randomness(#[from] RandomnessError),
    /// The frontend could not be opened.
    #[error("cannot open the frontend")]
    Frontend(#[from] FrontendError),
    /// The signal handler could not be installed.
    #[error("cannot receive signals")]
    Signals(#[source] std::io::Error),
}

/// Drives one state machine: performs its I/O on sockets, disk and clocks.
pub struct NodeHost {
    /// This process.
    pub local_peer: Peer,
    /// The program's name, under which plug-ins register.
    pub program: &'static str,
    /// The process's settings.
    pub startup: Startup,
    /// Time between two ticks.
    pub tick: Duration,
    /// Store of the node's records; `None` for a node without a disk.
    pub store: Option<Box<dyn Store>>,
    /// Frontend that serves clients and operators and calls origins.
    pub frontend: Box<dyn Frontend>,
    /// Channel for committed configurations; the host never blocks on it.
    pub history: Option<Sender<(u64, Arc<str>)>>,
}

/// State of a running host, owned by the thread of the state machine.
struct Running {
    host: NodeHost,
    mesh: SocketAddr,
    inputs: Receiver<Input>,
    input_sender: Sender<Input>,
    links: Links,
    port: Arc<Port>,
    store: Option<Sender<PendingWrite>>,
    /// Number of inputs handled since the last flush.
    unflushed: u32,
    open_work: Option<OpenWorkProbe>,
    refusal_reports: RefusalReports,
}

impl NodeHost {
    /// Runs the state machine until it has shut down.
    pub fn run(self, state_machine: Box<dyn StateMachine>) -> Result<(), HostError> {
        let mut running = self.start()?;
        running.drive(state_machine);
        running.links.drain(FINAL_DRAIN_TIMEOUT);
        log_end("shutdown complete", running.open_work.as_ref());
        Ok(())
    }

    /// Opens sockets, the frontend, the disk's writer and the signal handler.
    fn start(mut self) -> Result<Running, HostError> {
        let (input_sender, inputs) = flume::unbounded::<Input>();
        let mesh = self
            .startup
            .mesh
            .ok_or(HostError::MissingSetting("mesh address"))?;
        let listener = TcpListener::bind(mesh).map_err(|source| HostError::Listen {
            address: mesh,
            source,
        })?;
        let port = Arc::new(Port::new(input_sender.clone(), self.startup.clone())?);
        let links = Links::open(self.local_peer, listener, input_sender.clone(), None)
            .map_err(HostError::Links)?;
        self.frontend.open(&port)?;
        self.start_sources(&port);
        let store = self
            .store
            .take()
            .map(|store| store::spawn_writer(store, input_sender.clone()));
        let open_work = self.frontend.open_work_probe();
        watch_signals(
            &input_sender,
            self.startup.grace_period(),
            open_work.clone(),
        )
        .map_err(HostError::Signals)?;
        let text = format!(
            "{} {} mesh {mesh} http {:?}",
            self.program, self.local_peer, self.startup.http
        );
        log_event(Event::Started, &text);
        Ok(Running {
            host: self,
            mesh,
            inputs,
            input_sender,
            links,
            port,
            store,
            unflushed: 0,
            open_work,
            refusal_reports: RefusalReports::default(),
        })
    }

    /// Starts a thread for each background source registered for this program.
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
        // After the state machine has shut down, it still rejects late requests.
        while !(self.port.ending.load(Ordering::Acquire) && self.host.frontend.is_done()) {
            let Some(input) = self.next_input(&mut next_tick) else {
                continue;
            };
            let from_peer = matches!(&input, Input::MessageReceived { from, .. } if *from != self.host.local_peer);
            match input {
                Input::ShutdownRequested => self.host.frontend.prepare_shutdown(),
                Input::Tick => self.report_refusals(),
                _ => {}
            }
            for output in state_machine.handle(self.port.now(), input) {
                self.perform(output);
            }
            if from_peer {
                self.links.mark_processed();
            }
            self.flush_if_due();
        }
    }

    fn report_refusals(&mut self) {
        let counts = self.host.frontend.refusal_counts();
        if let Some(text) = self.refusal_reports.next(self.port.now(), counts) {
            log_event(Event::ClientsRefused, &text);
        }
    }

    /// Returns a tick if one is due, else the next input that arrives before the
    /// next tick.
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
            Output::Store { serial, record } => self.write(PendingWrite::Append { serial, record }),
            Output::StoreSnapshot { serial, record } => {
                self.write(PendingWrite::Snapshot { serial, record })
            }
            Output::ClientResponse { id, .. } | Output::OperatorResponse { id, .. } => {
                self.port.complete(id, output)
            }
            Output::Call { id, call } => self.host.frontend.call(id, call),
            Output::CancelCall { id } => self.host.frontend.cancel_call(id),
            Output::ExtendCall { id, limit } => self.host.frontend.extend_call(id, limit),
            Output::WatchConnection { address } => {
                let inputs = self.input_sender.clone();
                thread::spawn(move || watch_connection(address, &inputs));
            }
            Output::Log { event, text } => log_event(event, &text),
            Output::Publish(state) => self.publish(state),
            Output::ShutdownComplete => {
                // The state machine rejects requests that arrive from now on.
                self.host.frontend.finish();
                self.port.ending.store(true, Ordering::Release);
            }
        }
    }

    fn send(&self, to: SocketAddr, message: Message) {
        if to == self.mesh {
            let from = self.host.local_peer;
            let _ = self
                .input_sender
                .send(Input::MessageReceived { from, message });
        } else {
            self.links.send(to, &message);
        }
    }

    fn write(&self, write: PendingWrite) {
        if let Some(store) = &self.store {
            let _ = store.send(write);
        }
    }

    fn publish(&self, state: PublishedState) {
        match state {
            PublishedState::Fence { until, ready } => self.port.set_fence(until, ready),
            PublishedState::Assignments(names) => self.port.assignments.store(Arc::new(names)),
            PublishedState::LinkDelay(delay) => {
                if let Some(send_rate) = &self.port.send_rate {
                    send_rate.record_delay(Instant::now(), delay);
                }
            }
            PublishedState::CommittedConfiguration { version, text } => {
                if let Some(history) = &self.host.history {
                    let _ = history.try_send((version, text));
                }
            }
            PublishedState::Configuration(routes) => {
                self.host.frontend.apply_limits(&routes);
                self.port.routes.store(Arc::new(Some(routes)));
            }
        }
    }
}

/// Opens a connection to an origin, sends nothing, and reports when it opens and
/// closes. It closes when the origin's process ends or its idle timeout expires: in
/// both cases the origin must prove its identity again.
fn watch_connection(address: SocketAddr, inputs: &Sender<Input>) {
    let change = |open| Input::ConnectionChanged { address, open };
    if let Ok(mut stream) = TcpStream::connect_timeout(&address, WATCH_CONNECT_TIMEOUT) {
        let _ = inputs.send(change(true));
        while matches!(stream.read(&mut [0; 64]), Ok(size) if size > 0) {}
    }
    let _ = inputs.send(change(false));
}

/// Reports the first termination signal to the state machine, and exits the process
/// after the grace period in any case.
fn watch_signals(
    inputs: &Sender<Input>,
    grace_period: Duration,
    open_work: Option<OpenWorkProbe>,
) -> std::io::Result<()> {
    let mut signals = signal_hook::iterator::Signals::new([
        signal_hook::consts::SIGTERM,
        signal_hook::consts::SIGINT,
        signal_hook::consts::SIGHUP,
    ])?;
    let inputs = inputs.clone();
    thread::spawn(move || {
        // SIGHUP requests a reload of the settings. It is ignored, since the state
        // that depends on them is continuously updated by the peers.
        let terminates = |signal| signal != signal_hook::consts::SIGHUP;
        if signals.forever().any(terminates) {
            let text = format!("shutting down within {grace_period:?}");
            log_event(Event::ShutdownRequested, &text);
            let _ = inputs.send(Input::ShutdownRequested);
            thread::sleep(grace_period);
            log_end("grace period expired", open_work.as_ref());
            std::process::exit(1);
        }
    });
    Ok(())
}

/// Logs the end of the process and the work for clients that it leaves.
fn log_end(reason: &str, open_work: Option<&OpenWorkProbe>) {
    match open_work {
        Some(open_work) => log_event(Event::Ended, &format!("{reason}: {}", open_work())),
        None => log_event(Event::Ended, reason),
    }
}
