//! Plan of a simulated run: deployment, seed, duration and fault schedule.
use crate::prelude::*;

/// Plan of a simulated run.
#[derive(Debug, Clone)]
pub struct WorldPlan {
    /// Nodes, origins and traffic of the fleet.
    pub deployment: Deployment,
    /// Seed of all random numbers.
    pub seed: u64,
    /// Virtual duration of the run.
    pub span: Duration,
    /// Faults and their times since the start.
    pub faults: Vec<(Duration, Fault)>,
    /// Name of a message type that is always dropped, to measure its effect; empty for none.
    pub dropped_message: &'static str,
    /// Maximum clock drift, in parts per million.
    pub drift: u64,
    /// Number of control nodes that hold a slot.
    pub control_nodes: usize,
    /// True if the first seed founds the membership table by gathering the control nodes, with
    /// up to three of them as seeds; false if the seeds form the table.
    pub gather: bool,
    /// True if the last control node starts after the founding, so that the table grows.
    pub late_control_node: bool,
    /// Crash of the first seed during the founding; it restarts 1 s later.
    pub founder_crash: FounderCrash,
    /// Item commands of operators.
    pub commands: Vec<ItemCommand>,
    /// Number of empty spare control nodes, started only by a fault.
    pub spares: usize,
    /// True if some clients disconnect before their response.
    pub clients_disconnect: bool,
}

/// Moment at which the first seed crashes while it founds the membership table.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum FounderCrash {
    /// The first seed does not crash.
    Never,
    /// Crash before the table is synced to disk.
    BeforeSync,
    /// Crash after the sync and before any other node is notified.
    BeforeReplies,
    /// Crash after the other nodes were notified.
    AfterReplies,
}

impl WorldPlan {
    /// Creates a plan with three control nodes and a clock drift of up to 0.1 %, a hundred times
    /// the usual value.
    pub fn new(
        deployment: Deployment,
        seed: u64,
        span: Duration,
        faults: Vec<(Duration, Fault)>,
    ) -> WorldPlan {
        WorldPlan {
            deployment,
            seed,
            span,
            faults,
            dropped_message: "",
            drift: 1000,
            control_nodes: 3,
            gather: false,
            late_control_node: false,
            founder_crash: FounderCrash::Never,
            commands: Vec::new(),
            spares: 1,
            clients_disconnect: false,
        }
    }
}

impl WorldPlan {
    /// Sets the number of control nodes. With any number but three, the membership table is
    /// founded by gathering; the run's seed decides whether the last control node starts late
    /// and when the first seed crashes.
    pub fn with_control_nodes(self, control_nodes: usize) -> WorldPlan {
        if control_nodes == 3 {
            return self;
        }
        let late_control_node = self.seed.is_multiple_of(3);
        let founder_crash = [
            FounderCrash::Never,
            FounderCrash::BeforeSync,
            FounderCrash::BeforeReplies,
            FounderCrash::AfterReplies,
        ][(self.seed % 7 % 4) as usize];
        WorldPlan {
            control_nodes,
            gather: true,
            late_control_node,
            founder_crash,
            ..self
        }
    }
}
