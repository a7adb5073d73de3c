//! A simulated process with its disk and clock.
use crate::prelude::*;

/// Simulated disk that keeps only synced records on a power loss.
#[derive(Debug, Default)]
pub struct Disk {
    /// Records that survive a power loss.
    pub synced: Vec<Vec<u8>>,
    /// Records waiting for a sync: serial, snapshot flag, bytes.
    pub pending: VecDeque<(u64, bool, Vec<u8>)>,
    /// True if the disk rejects writes.
    pub full: bool,
    /// End of the running sync.
    pub busy_until: Duration,
    /// End of a stall; no sync completes earlier.
    pub stalled_until: Duration,
    /// End of the period in which syncs are slow.
    pub slow_until: Duration,
}

impl Disk {
    /// Marks records up to this serial as synced; a snapshot replaces all earlier records.
    pub fn sync(&mut self, serial: u64) {
        while self.pending.front().is_some_and(|(at, _, _)| *at <= serial) {
            let (_, is_snapshot, record) = self.pending.pop_front().expect("queue is not empty");
            if is_snapshot {
                self.synced.clear();
            }
            self.synced.push(record);
        }
    }

    /// Renews a removed member's replica for its rejoin, as the control node program does at
    /// startup.
    fn renew_if_removed(&mut self, replica: Replica, incarnation: u64) -> Replica {
        if !replica.removed {
            return replica;
        }
        let renewed = replica.for_rejoin(incarnation);
        let snapshot = Record::Snapshot(Box::new(renewed.clone()));
        self.synced = vec![snapshot.bytes()];
        renewed
    }

    /// Discards all records that were not synced.
    pub fn lose_power(&mut self) {
        self.pending.clear();
        self.busy_until = Duration::ZERO;
    }

    /// Total bytes of the synced records.
    pub fn bytes(&self) -> usize {
        self.synced.iter().map(Vec::len).sum()
    }
}

/// Simulated process: a state machine with its clock, disk and published state.
pub struct SimNode {
    /// Identifier of the node in schedules.
    pub node_id: NodeId,
    /// Address and incarnation.
    pub peer: Peer,
    /// Zone of the node.
    pub zone: String,
    /// State machine; none while the process is down.
    pub state_machine: Option<Box<dyn StateMachine>>,
    /// Number of the current run. Events of an earlier run are not delivered to a later one.
    pub run: u64,
    /// Virtual time at which this run began.
    pub run_started_at: Duration,
    /// Reading of the node's clock at the start of the run.
    pub clock_offset: Duration,
    /// Clock drift in parts per million; positive if the clock runs fast.
    pub clock_drift_ppm: i64,
    /// End of a pause of the process.
    pub paused_until: Duration,
    /// End of the period in which steps are slow.
    pub slow_until: Duration,
    /// End of the running step.
    pub busy_until: Duration,
    /// Disk, which survives restarts of the process.
    pub disk: Disk,
    /// End of the lease, on the node's clock.
    pub lease_end: Duration,
    /// True if the node reports that it is ready.
    pub ready: bool,
    /// Last published route table.
    pub route_table: Option<Arc<RouteTable>>,
    /// Version of the route table with which the node was last live in this run.
    pub active_table_version: u64,
    /// True once the shutdown is complete.
    pub shutdown_finished: bool,
    /// True if the node shuts down and is not started again.
    pub retiring: bool,
    /// Last published assignments.
    pub assignments: Vec<String>,
    /// Founding mode in the node's settings.
    pub founding: Founding,
}

/// Founding mode of a node: permission to found the membership table.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Founding {
    /// The node may not found a table and requests the existing one.
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
    /// Creates a node that is not started yet.
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

    /// Reading of the node's monotonic clock, which has a new offset in each run and the node's
    /// drift.
    pub fn clock(&self, now: Duration) -> Duration {
        let nanos = now.saturating_sub(self.run_started_at).as_nanos() as u64;
        self.clock_offset
            + Duration::from_nanos(
                (i128::from(nanos) * i128::from(1_000_000 + self.clock_drift_ppm) / 1_000_000)
                    as u64,
            )
    }

    /// Returns true if the node runs and holds its lease.
    pub fn live(&self, now: Duration) -> bool {
        self.state_machine.is_some() && self.clock(now) < self.lease_end
    }

    /// Starts a new run from the records on disk.
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
                let replica =
                    Replica::replay(&self.disk.synced).expect("synced records are readable");
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
                self.peer = state_machine.local_peer();
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

    /// Ends the process. Unlike with a pause, messages that arrive afterwards are lost.
    pub fn kill(&mut self) {
        self.state_machine = None;
        self.run += 1;
        self.paused_until = Duration::ZERO;
        self.slow_until = Duration::ZERO;
        self.busy_until = Duration::ZERO;
        self.disk.lose_power();
    }
}
