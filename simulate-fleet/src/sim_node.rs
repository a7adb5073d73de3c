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
            let (_, is_snapshot, record) = self.pending.pop_front().expect("just seen");
            if is_snapshot {
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
        let snapshot = Record::Snapshot(Box::new(renewed.clone()));
        self.synced = vec![snapshot.bytes()];
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
    pub node_id: NodeId,
    /// Its address and incarnation.
    pub peer: Peer,
    /// Where it runs.
    pub zone: String,
    /// Its state machine; none while the process is down.
    pub state_machine: Option<Box<dyn StateMachine>>,
    /// Counts starts: what an earlier run began does not reach a later one.
    pub run: u64,
    /// When this run began.
    pub run_started_at: Duration,
    /// What its clock shows at a start, and by how many millionths it runs
    /// too fast.
    pub clock_offset: Duration,
    /// In millionths.
    pub clock_drift_ppm: i64,
    /// Until then the process stands still.
    pub paused_until: Duration,
    /// Until then each step takes long.
    pub slow_until: Duration,
    /// When the step now running is done.
    pub busy_until: Duration,
    /// Outlasts the process.
    pub disk: Disk,
    /// End of its lease, on its own clock.
    pub lease_end: Duration,
    /// Whether it says that it is ready.
    pub ready: bool,
    /// The route table it published last.
    pub route_table: Option<Arc<RouteTable>>,
    /// Version of the table it was last seen live with, in this run.
    pub active_table_version: u64,
    /// Whether its shutdown is complete.
    pub shutdown_finished: bool,
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
    pub fn new(node_id: NodeId, address: SocketAddr, zone: &str) -> SimNode {
        SimNode {
            node_id,
            peer: Peer::new(address, 0),
            zone: zone.into(),
            state_machine: None,
            run: 0,
            run_started_at: Duration::ZERO,
            clock_offset: Duration::ZERO,
            clock_drift_ppm: 0,
            paused_until: Duration::ZERO,
            slow_until: Duration::ZERO,
            busy_until: Duration::ZERO,
            disk: Disk::default(),
            lease_end: Duration::ZERO,
            ready: false,
            route_table: None,
            active_table_version: 0,
            shutdown_finished: false,
            retiring: false,
            assignments: Vec::new(),
            founding: Founding::Never,
        }
    }

    /// Its own clock: monotonic, begun anew with each run, at any value, and
    /// as exact as its drift.
    pub fn clock(&self, now: Duration) -> Duration {
        let nanos = now.saturating_sub(self.run_started_at).as_nanos() as u64;
        self.clock_offset
            + Duration::from_nanos(
                (i128::from(nanos) * i128::from(1_000_000 + self.clock_drift_ppm) / 1_000_000)
                    as u64,
            )
    }

    /// Whether it runs and holds its lease.
    pub fn live(&self, now: Duration) -> bool {
        self.state_machine.is_some() && self.clock(now) < self.lease_end
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
        self.active_table_version = 0;
        self.run_started_at = now;
        self.retiring = false;
        (
            self.lease_end,
            self.ready,
            self.route_table,
            self.shutdown_finished,
        ) = (Duration::ZERO, false, None, false);
        self.state_machine = Some(match self.node_id {
            NodeId::Control(_) => {
                let replica = Replica::replay(&self.disk.synced).expect("synced records read back");
                let replica =
                    replica.map(|replica| self.disk.renew_if_removed(replica, incarnation));
                let blank = replica
                    .as_ref()
                    .is_none_or(|replica| replica.incarnation == incarnation);
                let gather = gather.map(|span| self.founding.bootstrap(span));
                let state_machine = ControlNode::new(
                    self.peer.address,
                    seeds.to_vec(),
                    replica.unwrap_or_else(|| Replica::blank(incarnation)),
                    blank,
                    gather,
                    incarnation,
                );
                self.peer = state_machine.me();
                Box::new(state_machine)
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
        self.state_machine = None;
        self.run += 1;
        self.paused_until = Duration::ZERO;
        self.slow_until = Duration::ZERO;
        self.busy_until = Duration::ZERO;
        self.disk.lose_power();
    }
}
