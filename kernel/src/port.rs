//! The port: state shared between the state machine's thread and other threads.
use crate::prelude::*;

/// Callback for the output that completes a request.
type Continuation = Box<dyn FnOnce(Output) + Send>;

/// Number of bytes in a megabit.
const BYTES_PER_MEGABIT: f64 = 125_000.0;

/// State that HTTP threads share with the state machine's thread: they send inputs
/// and read published state; tables are replaced as a whole.
pub struct Port {
    /// Channel for inputs of the state machine.
    pub inputs: Sender<Input>,
    started_at: Instant,
    next_id: AtomicU64,
    /// Callbacks of the requests that are not completed yet, by id.
    pending: Mutex<HashMap<u64, Continuation>>,
    /// The configuration by which requests are routed, once there is one.
    pub routes: ArcSwap<Option<Arc<RouteTable>>>,
    /// End of the lease, in nanoseconds since the start.
    fence: AtomicU64,
    ready: AtomicBool,
    /// True once the state machine has shut down; requests that were read are still
    /// answered.
    pub ending: AtomicBool,
    /// The assignments owned at present, by name.
    pub assignments: ArcSwap<Vec<String>>,
    /// Rate of the machine's link, which all large transfers share; `None` if its
    /// bandwidth is not known.
    pub send_rate: Option<Arc<SendRate>>,
    /// The process's settings.
    pub startup: Startup,
}

impl Port {
    /// Creates a port that sends inputs to `inputs`. The port is not live until
    /// `set_fence` is called. Fails if the operating system provides no random bytes.
    pub fn new(inputs: Sender<Input>, startup: Startup) -> Result<Port, RandomnessError> {
        let bandwidth = startup.link_mbps.map(|mbps| mbps * BYTES_PER_MEGABIT);
        let send_rate = bandwidth.and_then(|bandwidth| SendRate::new(bandwidth, Instant::now()));
        Ok(Port {
            inputs,
            started_at: Instant::now(),
            // Random, so that late replies to an earlier process match no request of this one.
            next_id: AtomicU64::new(new_incarnation()? >> 1),
            pending: Mutex::default(),
            routes: ArcSwap::from_pointee(None),
            fence: AtomicU64::new(0),
            ready: AtomicBool::new(false),
            ending: AtomicBool::new(false),
            assignments: ArcSwap::default(),
            send_rate: send_rate.map(Arc::new),
            startup,
        })
    }

    /// Sets the end of the lease; `ready` is true if the process is ready for clients.
    pub fn set_fence(&self, until: Duration, ready: bool) {
        self.ready.store(ready, Ordering::Release);
        self.fence.store(until.as_nanos() as u64, Ordering::Release);
    }

    /// Returns the time since the start, which is the state machine's clock.
    pub fn now(&self) -> Duration {
        self.started_at.elapsed()
    }

    /// Sends the input `make(id)` to the state machine and returns the id. `then` is
    /// called on the state machine's thread with the output that completes the
    /// request, and must not block.
    pub fn start_request(&self, make: &dyn Fn(u64) -> Input, then: Continuation) -> u64 {
        let id = self.next_id.fetch_add(1, Ordering::Relaxed);
        self.pending
            .lock()
            .expect("no thread panics with the lock")
            .insert(id, then);
        if self.inputs.send(make(id)).is_err() {
            self.discard_callback(id);
        }
        id
    }

    /// Removes the callback of a request that no caller waits for any longer.
    pub fn discard_callback(&self, id: u64) {
        self.pending
            .lock()
            .expect("no thread panics with the lock")
            .remove(&id);
    }

    /// Sends the input `make(id)` to the state machine and waits for the output that
    /// completes it; returns `None` after `limit`.
    pub fn request(&self, limit: Duration, make: &dyn Fn(u64) -> Input) -> Option<Output> {
        let (sender, receiver) = flume::bounded(1);
        let id = self.start_request(
            make,
            Box::new(move |output| {
                let _ = sender.send(output);
            }),
        );
        let output = receiver.recv_timeout(limit).ok();
        self.discard_callback(id);
        output
    }

    /// Calls the callback registered under this id, if any, with an output.
    pub fn complete(&self, id: u64, output: Output) {
        let then = self
            .pending
            .lock()
            .expect("no thread panics with the lock")
            .remove(&id);
        if let Some(then) = then {
            then(output);
        }
    }

    /// Returns true if this process owns an assignment, according to the latest
    /// published state.
    pub fn owns(&self, assignment: &str) -> bool {
        self.assignments
            .load()
            .iter()
            .any(|owned| owned == assignment)
    }

    /// Returns true while the lease is valid; checked again immediately before a
    /// response is sent.
    pub fn live(&self) -> bool {
        self.now() < Duration::from_nanos(self.fence.load(Ordering::Acquire))
    }

    /// Returns true if the process is live and ready for clients.
    pub fn ready(&self) -> bool {
        self.live() && self.ready.load(Ordering::Acquire)
    }
}
