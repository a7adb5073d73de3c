//! The port: what threads beside the state machine's thread share with it.
use crate::prelude::*;

/// What is done with the output that completes a request.
type Continuation = Box<dyn FnOnce(Output) + Send>;

/// What HTTP threads share with the state machine's thread: they put inputs in
/// and read what it publishes; tables are replaced as a whole.
pub struct Port {
    /// Inputs for the state machine.
    pub inputs: Sender<Input>,
    started_at: Instant,
    next_id: AtomicU64,
    /// Requests that were handed in and are not completed, by id.
    pending: Mutex<HashMap<u64, Continuation>>,
    /// The configuration to route requests by, once there is one.
    pub routes: ArcSwap<Option<Arc<RouteTable>>>,
    /// When the lease ends, in nanoseconds since the start.
    fence: AtomicU64,
    ready: AtomicBool,
    /// The state machine has ended; what was read is still answered.
    pub ending: AtomicBool,
    /// The assignments held now, by name.
    pub assignments: ArcSwap<Vec<String>>,
    /// The process's settings.
    pub startup: Startup,
}

impl Port {
    /// Inputs for the state machine go to `give`. Not live until a fence is
    /// set. Fails if the system has no randomness.
    pub fn new(give: Sender<Input>, startup: Startup) -> Result<Port, RandomnessError> {
        Ok(Port {
            inputs: give,
            started_at: Instant::now(),
            // Not where an earlier run began: its late answers fit no call of ours.
            next_id: AtomicU64::new(new_incarnation()? >> 1),
            pending: Mutex::default(),
            routes: ArcSwap::from_pointee(None),
            fence: AtomicU64::new(0),
            ready: AtomicBool::new(false),
            ending: AtomicBool::new(false),
            assignments: ArcSwap::default(),
            startup,
        })
    }

    /// The lease lasts until then; `ready`: clients may come.
    pub fn set_fence(&self, until: Duration, ready: bool) {
        self.ready.store(ready, Ordering::Release);
        self.fence.store(until.as_nanos() as u64, Ordering::Release);
    }

    /// The time since the start, as the state machine counts it.
    pub fn now(&self) -> Duration {
        self.started_at.elapsed()
    }

    /// Hands `make(id)` to the state machine; `then` runs on its thread with the
    /// output that completes it, and must not block. Returns the id.
    pub fn begin(&self, make: &dyn Fn(u64) -> Input, then: Continuation) -> u64 {
        let id = self.next_id.fetch_add(1, Ordering::Relaxed);
        self.pending
            .lock()
            .expect("no thread panics with the lock")
            .insert(id, then);
        if self.inputs.send(make(id)).is_err() {
            self.forget(id);
        }
        id
    }

    /// Nobody waits for this request any more.
    pub fn forget(&self, id: u64) {
        self.pending
            .lock()
            .expect("no thread panics with the lock")
            .remove(&id);
    }

    /// Hands `make(id)` to the state machine and waits for the output that
    /// completes it; none after `limit`.
    pub fn request(&self, limit: Duration, make: &dyn Fn(u64) -> Input) -> Option<Output> {
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
        let then = self
            .pending
            .lock()
            .expect("no thread panics with the lock")
            .remove(&id);
        if let Some(then) = then {
            then(output);
        }
    }

    /// Whether this process owns an assignment now, as far as it knows.
    pub fn owns(&self, assignment: &str) -> bool {
        self.assignments
            .load()
            .iter()
            .any(|known| known == assignment)
    }

    /// True while the lease lasts; read anew right before a response is sent.
    pub fn live(&self) -> bool {
        self.now() < Duration::from_nanos(self.fence.load(Ordering::Acquire))
    }

    /// Whether clients may come.
    pub fn ready(&self) -> bool {
        self.live() && self.ready.load(Ordering::Acquire)
    }
}
