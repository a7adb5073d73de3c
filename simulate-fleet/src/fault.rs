//! Faults and planned changes that a schedule can contain.
use crate::prelude::*;

/// A node of the simulated fleet.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum NodeId {
    /// A control node, by its index.
    Control(usize),
    /// An edge, by its index.
    Edge(usize),
}

/// A fault injected into the fleet, or a change made by its operators or the platform.
#[derive(Debug, Clone, PartialEq)]
pub enum Fault {
    /// Kills the process immediately.
    Kill(NodeId),
    /// Starts the process if it is down.
    Start(NodeId),
    /// Pauses the process for the given duration; its clock keeps running.
    Pause(NodeId, Duration),
    /// Sends SIGTERM and restarts the node after its shutdown.
    Restart(NodeId),
    /// Sends SIGTERM; the node does not return after its shutdown or after the grace
    /// period.
    Retire(NodeId),
    /// Kills the process and erases its disk.
    Wipe(NodeId),
    /// Makes the disk reject writes until the node is started again.
    DiskFull(NodeId),
    /// Slows down every step of the process for the given duration.
    Slow(NodeId, Duration),
    /// Blocks disk syncs until the given duration has passed.
    StallDisk(NodeId, Duration),
    /// Makes each disk sync take 50 to 300 ms for the given duration.
    SlowDisk(NodeId, Duration),
    /// Drops messages from the first node to the second; the reverse direction still
    /// works.
    DropLink(NodeId, NodeId),
    /// Partitions a node from the given scope for the given duration, without closing
    /// connections.
    Partition(NodeId, PartitionScope, Duration),
    /// Resets the connections between two nodes: messages in transit are lost.
    Reset(NodeId, NodeId),
    /// Rotates the seed list of nodes that start from now on, which also changes its
    /// members. Nodes that may found the membership table keep the original list.
    ReorderSeeds,
    /// Drops most responses to operators for the given duration; the operator then
    /// resends the same command to another node.
    LoseOperatorResponses(Duration),
    /// Drops all messages to and from this node until `Heal`.
    Isolate(NodeId),
    /// Restores all dropped links.
    Heal,
    /// Sets the percentages of messages that are lost, duplicated or delayed.
    LossyNetwork {
        /// Percentage of lost messages.
        lost: u64,
        /// Percentage of messages that arrive twice.
        doubled: u64,
        /// Percentage of delayed messages.
        late: u64,
    },
    /// Sets the behavior of one origin, by its index.
    Origin(usize, OriginBehavior),
    /// Sets the behavior of all origins of one service, by its index in the deployment.
    Service(usize, OriginBehavior),
    /// Marks an origin as draining in the platform's list.
    DrainOrigin(usize),
    /// Lets an unlisted origin of another service listen at this origin's address.
    ReuseAddress(usize),
    /// Replaces an origin by a new instance, in the process and in the platform's list.
    Replace(usize),
    /// Increments the version of all content.
    Content,
    /// Purges this URL prefix as an operator.
    Purge(String),
    /// Puts a valid configuration document as an operator.
    Configure,
    /// Puts an invalid configuration document as an operator.
    ConfigureInvalid,
    /// Puts one named configuration item under its next revision.
    PutItem,
    /// Puts a configuration with this many additional entries; the next `Configure`
    /// removes them.
    Grow(usize),
    /// Makes this many operators put a configuration concurrently, at different control
    /// nodes.
    Race(usize),
    /// Reads the last acknowledged configuration document as an operator.
    ReadBack,
    /// Injects the loss at the next occurrence of the trigger.
    LossOnTrigger(Trigger, Loss),
    /// Kills every process and erases every disk; all nodes start again 3 s later.
    LoseAll,
    /// Opens the ledger as an operator, who confirms that no earlier fleet existed.
    OpenLedger,
    /// Marks that all machines are back: the fleet must serve again within 15 s.
    Returned,
}

/// Nodes and directions that a network partition affects.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum PartitionScope {
    /// Messages to and from every other node.
    Everybody,
    /// Messages to and from the control nodes.
    ControlNodes,
    /// Messages from control nodes to the node.
    FromControlNodes,
    /// Messages from the node to control nodes.
    ToControlNodes,
}

impl PartitionScope {
    /// All scopes.
    pub const ALL: [PartitionScope; 4] = [
        PartitionScope::Everybody,
        PartitionScope::ControlNodes,
        PartitionScope::FromControlNodes,
        PartitionScope::ToControlNodes,
    ];

    /// Name of the value in scripts.
    pub fn name(self) -> &'static str {
        match self {
            PartitionScope::Everybody => "everybody",
            PartitionScope::ControlNodes => "control-nodes",
            PartitionScope::FromControlNodes => "from-control-nodes",
            PartitionScope::ToControlNodes => "to-control-nodes",
        }
    }
}

/// Event that triggers a loss.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Trigger {
    /// A configuration was acknowledged.
    Configured,
    /// A purge was acknowledged.
    Purged,
    /// A keyed request succeeded.
    Booked,
}

/// Loss injected by a [`Trigger`].
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Loss {
    /// Power loss of all nodes for 3 s.
    Power,
    /// Loss of a slot's disk, replaced by an empty one after 3 s.
    Disk(usize),
    /// Loss of the disks of consecutive slots (first slot, count), replaced by empty ones
    /// after 3 s, and power loss of all other nodes.
    Disks(usize, usize),
    /// Lack of space on a slot's disk until its node is started again.
    DiskSpace(usize),
}

impl Trigger {
    /// All triggers.
    pub const ALL: [Trigger; 3] = [Trigger::Configured, Trigger::Purged, Trigger::Booked];

    /// Name of the value in scripts.
    pub fn name(self) -> &'static str {
        ["configured", "purged", "booked"][self as usize]
    }
}

impl Fault {
    /// Name of the fault in scripts and tables.
    pub fn name(&self) -> &'static str {
        match self {
            Fault::Kill(_) => "kill",
            Fault::Start(_) => "start",
            Fault::Pause(..) => "pause",
            Fault::Restart(_) => "restart",
            Fault::Retire(_) => "retire",
            Fault::Wipe(_) => "wipe",
            Fault::DiskFull(_) => "disk-full",
            Fault::Slow(..) => "slow",
            Fault::StallDisk(..) => "disk-stall",
            Fault::SlowDisk(..) => "disk-slow",
            Fault::DropLink(..) => "cut",
            Fault::Partition(..) => "cut-off",
            Fault::Reset(..) => "reset",
            Fault::ReorderSeeds => "turn-seeds",
            Fault::LoseOperatorResponses(_) => "lose-answers",
            Fault::Isolate(_) => "isolate",
            Fault::Heal => "heal",
            Fault::LossyNetwork { .. } => "weather",
            Fault::Origin(_, behavior) => behavior.name(),
            Fault::Service(_, behavior) => [
                "service-good",
                "service-down",
                "service-mute",
                "service-slow",
                "service-very-slow",
                "service-wrong",
                "service-grey",
            ][*behavior as usize],
            Fault::DrainOrigin(_) => "origin-leave",
            Fault::ReuseAddress(_) => "origin-usurp",
            Fault::Replace(_) => "origin-replace",
            Fault::Content => "content",
            Fault::Purge(_) => "purge",
            Fault::Configure => "configure",
            Fault::ConfigureInvalid => "configure-invalid",
            Fault::PutItem => "put-item",
            Fault::Grow(_) => "grow",
            Fault::Race(_) => "race",
            Fault::ReadBack => "read-back",
            Fault::LossOnTrigger(_, Loss::Power) => "power-on",
            Fault::LossOnTrigger(_, Loss::Disk(_)) => "disk-lost-on",
            Fault::LossOnTrigger(_, Loss::Disks(..)) => "disks-lost-on",
            Fault::LossOnTrigger(_, Loss::DiskSpace(_)) => "disk-full-on",
            Fault::LoseAll => "lose-all",
            Fault::OpenLedger => "open-ledger",
            Fault::Returned => "returned",
        }
    }

    /// Label of the fault in the table of fault coverage.
    pub fn kind(&self) -> String {
        match self {
            Fault::Kill(node_id)
            | Fault::Pause(node_id, _)
            | Fault::Slow(node_id, _)
            | Fault::Restart(node_id)
            | Fault::Retire(node_id)
            | Fault::Isolate(node_id) => {
                let role = if matches!(node_id, NodeId::Control(_)) {
                    "control"
                } else {
                    "edge"
                };
                format!("{} {role}", self.name())
            }
            Fault::Partition(_, scope, _) => format!("cut-off {}", scope.name()),
            _ => self.name().into(),
        }
    }

    /// Duration of a fault of nodes, disks or links that ends without a repair; none for all
    /// others.
    pub fn span(&self) -> Option<Duration> {
        match self {
            Fault::Pause(_, span)
            | Fault::Slow(_, span)
            | Fault::StallDisk(_, span)
            | Fault::SlowDisk(_, span)
            | Fault::Partition(_, _, span) => Some(*span),
            _ => None,
        }
    }

    /// Returns true if this ends an earlier fault. Shrinking keeps repairs until the other
    /// faults are reduced.
    pub fn is_repair(&self) -> bool {
        let good = OriginBehavior::Good;
        matches!(
            self,
            Fault::Start(_)
                | Fault::Heal
                | Fault::LossyNetwork {
                    lost: 0,
                    doubled: 0,
                    late: 0
                }
                | Fault::OpenLedger
                | Fault::Returned
        ) || matches!(self, Fault::Origin(_, behavior) | Fault::Service(_, behavior) if *behavior == good)
    }

    /// Returns true for a planned action of operators or the platform, as opposed to a
    /// fault or a repair.
    pub fn is_planned(&self) -> bool {
        use Fault::*;
        matches!(
            self,
            Restart(_)
                | Retire(_)
                | DrainOrigin(_)
                | Content
                | Purge(_)
                | Configure
                | ConfigureInvalid
                | PutItem
                | ReorderSeeds
                | Grow(_)
                | Race(_)
                | ReadBack
                | OpenLedger
                | Returned
        )
    }
}
