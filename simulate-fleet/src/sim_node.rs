//! A simulated process with its disk and clock.
use crate::prelude::*;

/// A disk that keeps only what was synced when the power goes.
#[derive(Debug, Default)]
pub struct Disk {
    /// Records that outlast a loss of power.
    pub synced: Vec<Vec<u8>>,
    /// Records still to be synced: serial, whether it is a snapshot, bytes.
    pub pending: VecDeque<(u64, bool, Vec<u8>)>,
    /// Whether it refuses writes.
    pub full: bool,
    /// When the sync now running is done.
    pub busy_until: Duration,
    /// No sync ends before.
    pub stalled_until: Duration,
    /// Until then each sync takes long.
    pub slow_until: Duration,
}

impl Disk {
    /// Records up to this serial are synced.
    pub fn sync(&mut self, serial: u64) {
        while self.pending.front().is_some_and(|(at, _, _)| *at <= serial) {
            let (_, image, record) = self.pending.pop_front().expect("just seen");
            if image {
                self.synced.clear();
            }
            self.synced.push(record);
        }
    }

    /// As a control node's program does at its start.
    fn renew_if_removed(&mut self, replica: Replica, incarnation: u64) -> Replica {
        if !replica.removed {
            return replica;
        }
        let renewed = replica.for_rejoin(incarnation);
        let image = Record::Snapshot(Box::new(renewed.clone()));
        self.synced = vec![image.bytes()];
        renewed
    }

    /// What was not synced is lost.
    pub fn lose_power(&mut self) {
        self.pending.clear();
        self.busy_until = Duration::ZERO;
    }

    /// Bytes of the synced records.
    pub fn bytes(&self) -> usize {
        self.synced.iter().map(Vec::len).sum()
    }
}

/// A process in the simulation: a part and what its host would hold.
pub struct SimNode {
    /// Names it in schedules.
    pub place: NodeId,
    /// Its address and incarnation.
    pub peer: Peer,
    /// Where it runs.
    pub zone: String,
    /// Its state machine; none while the process is down.
    pub part: Option<Box<dyn StateMachine>>,
    /// Counts starts: what an earlier run began does not reach a later one.
    pub run: u64,
    /// When this run began.
    pub began: Duration,
    /// What its clock shows at a start, and by how many millionths it runs
    /// too fast.
    pub offset: Duration,
    /// In millionths.
    pub drift: i64,
    /// Until then the process stands still.
    pub paused: Duration,
    /// Until then each step takes long.
    pub slow_until: Duration,
    /// When the step now running is done.
    pub busy_until: Duration,
    /// Outlasts the process.
    pub disk: Disk,
    /// End of its lease, on its own clock.
    pub fence: Duration,
    /// Whether it says that it is ready.
    pub ready: bool,
    /// The route table it published last.
    pub image: Option<Arc<RouteTable>>,
    /// Version of the table it was last seen live with, in this run.
    pub in_force: u64,
    /// Whether its shutdown is complete.
    pub ending: bool,
    /// It was told to end and is not started again.
    pub retiring: bool,
    /// The assignments it published last.
    pub assignments: Vec<String>,
    /// What its settings say of the fleet's founding.
    pub founding: Founding,
}

/// Whether a node's settings let it found the table of slots.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Founding {
    /// A fleet is there: the node asks for its table.
    Never,
    /// The whole fleet starts for the first time.
    FirstStart,
    /// Operators start the whole fleet again after everything was lost.
    AfterTotalLoss,
}

impl Founding {
    fn bootstrap(self, span: Duration) -> Bootstrap {
        match self {
            Founding::Never => Bootstrap::new(false, span),
            Founding::FirstStart => Bootstrap::new(true, span),
            Founding::AfterTotalLoss => Bootstrap::refounding(span),
        }
    }
}

impl SimNode {
    /// A node that was never started.
    pub fn new(place: NodeId, address: SocketAddr, zone: &str) -> SimNode {
        SimNode {
            place,
            peer: Peer::new(address, 0),
            zone: zone.into(),
            part: None,
            run: 0,
            began: Duration::ZERO,
            offset: Duration::ZERO,
            drift: 0,
            paused: Duration::ZERO,
            slow_until: Duration::ZERO,
            busy_until: Duration::ZERO,
            disk: Disk::default(),
            fence: Duration::ZERO,
            ready: false,
            image: None,
            in_force: 0,
            ending: false,
            retiring: false,
            assignments: Vec::new(),
            founding: Founding::Never,
        }
    }

    /// Its own clock: monotonic, begun anew with each run, at any value, and
    /// as exact as its drift.
    pub fn clock(&self, now: Duration) -> Duration {
        let nanos = now.saturating_sub(self.began).as_nanos() as u64;
        self.offset
            + Duration::from_nanos(
                (i128::from(nanos) * i128::from(1_000_000 + self.drift) / 1_000_000) as u64,
            )
    }

    /// Whether it runs and holds its lease.
    pub fn live(&self, now: Duration) -> bool {
        self.part.is_some() && self.clock(now) < self.fence
    }

    /// Starts a run on what its disk holds.
    pub fn start(
        &mut self,
        now: Duration,
        seeds: &[SocketAddr],
        gather: Option<Duration>,
        incarnation: u64,
    ) {
        self.run += 1;
        self.assignments.clear();
        self.in_force = 0;
        self.began = now;
        self.retiring = false;
        (self.fence, self.ready, self.image, self.ending) = (Duration::ZERO, false, None, false);
        self.part = Some(match self.place {
            NodeId::Control(_) => {
                let known = Replica::replay(&self.disk.synced).expect("synced records read back");
                let known = known.map(|replica| self.disk.renew_if_removed(replica, incarnation));
                let blank = known
                    .as_ref()
                    .is_none_or(|replica| replica.incarnation == incarnation);
                let gather = gather.map(|span| self.founding.bootstrap(span));
                let part = ControlNode::new(
                    self.peer.address,
                    seeds.to_vec(),
                    known.unwrap_or_else(|| Replica::blank(incarnation)),
                    blank,
                    gather,
                    incarnation,
                );
                self.peer = part.me();
                Box::new(part)
            }
            NodeId::Edge(_) => {
                self.peer.incarnation = incarnation;
                Box::new(EdgeNode::new(
                    self.peer,
                    Locality {
                        zone: self.zone.clone(),
                        ..Locality::default()
                    },
                    seeds.to_vec(),
                    gather.is_some(),
                    64 << 20,
                ))
            }
        });
    }

    /// What is sent to it from now on is lost, not held as by a paused process.
    pub fn kill(&mut self) {
        self.part = None;
        self.run += 1;
        self.paused = Duration::ZERO;
        self.slow_until = Duration::ZERO;
        self.busy_until = Duration::ZERO;
        self.disk.lose_power();
    }
}
