//! The kinds of faults that a schedule may have.
use crate::prelude::*;

/// A node of the simulated fleet.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum NodeId {
    /// A control node, by its index.
    Control(usize),
    /// An edge, by its index.
    Edge(usize),
}

/// Something that is done to the fleet, or asked of it by its operators.
#[derive(Debug, Clone, PartialEq)]
pub enum Fault {
    /// The process ends at once.
    Kill(NodeId),
    /// The process starts if it is down.
    Start(NodeId),
    /// The process stands still; its time goes on.
    Pause(NodeId, Duration),
    /// SIGTERM; the node is started again once it has ended.
    Restart(NodeId),
    /// SIGTERM; the node is gone for good once it has ended, or its time is over.
    Retire(NodeId),
    /// Killed, and its disk is gone.
    Wipe(NodeId),
    /// The disk refuses writes from now on.
    DiskFull(NodeId),
    /// All that the process does takes longer.
    Slow(NodeId, Duration),
    /// No sync of its disk ends before the span is over.
    StallDisk(NodeId, Duration),
    /// Each sync of its disk takes a good part of a second.
    SlowDisk(NodeId, Duration),
    /// Nothing gets from the first to the second; the other way still does.
    DropLink(NodeId, NodeId),
    /// A node is cut off for a span, in silence.
    Partition(NodeId, PartitionScope, Duration),
    /// The connections between two nodes are reset: what is under way is lost.
    Reset(NodeId, NodeId),
    /// Nodes that start from now on are told the seeds in another order, and
    /// others among them, as far as they found no table.
    ReorderSeeds,
    /// Many answers to operators are lost for a span; the same order is then
    /// sent again to another node.
    LoseOperatorResponses(Duration),
    /// Nothing gets to or from this node.
    Isolate(NodeId),
    /// All cuts end.
    Heal,
    /// Of a hundred messages so many are lost, doubled, or late.
    LossyNetwork {
        /// Share of lost messages.
        lost: u64,
        /// Share of messages that arrive twice.
        doubled: u64,
        /// Share of late messages.
        late: u64,
    },
    /// One origin behaves so from now on.
    Origin(usize, OriginBehavior),
    /// All origins of one service, by its place in the deployment.
    Service(usize, OriginBehavior),
    /// The platform marks it leaving; its process ends after a while.
    DrainOrigin(usize),
    /// Another service's origin now listens at this address, unlisted.
    ReuseAddress(usize),
    /// The origin is listed and runs under a new instance name.
    Replace(usize),
    /// All content gets a new version.
    Content,
    /// An operator purges this prefix.
    Purge(String),
    /// An operator puts a valid document.
    Configure,
    /// An operator puts an invalid document.
    ConfigureInvalid,
    /// One named item of the configuration is set under its next revision.
    PutItem,
    /// A change that brings so many entries more; the next one drops them.
    Grow(usize),
    /// So many operators at once, at different control nodes.
    Race(usize),
    /// An operator reads the document that was acknowledged last.
    ReadBack,
    /// The moment this next comes true, something is lost.
    LossOnTrigger(Trigger, Loss),
    /// Every process and every disk is gone, and back three seconds later.
    LoseAll,
    /// The operators say that no fleet was there before this one.
    OpenLedger,
    /// All machines are back: from now, service must be within 15 s.
    Returned,
}

/// What a node that is cut off does not reach, or is not reached by.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum PartitionScope {
    /// Every other node, both ways.
    Everybody,
    /// The control nodes, both ways.
    ControlNodes,
    /// It hears no control node.
    FromControlNodes,
    /// No control node hears it.
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

    /// Its name in scripts.
    pub fn name(self) -> &'static str {
        match self {
            PartitionScope::Everybody => "everybody",
            PartitionScope::ControlNodes => "control-nodes",
            PartitionScope::FromControlNodes => "from-control-nodes",
            PartitionScope::ToControlNodes => "to-control-nodes",
        }
    }
}

/// The moment of a loss.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Trigger {
    /// A configuration was acknowledged.
    Configured,
    /// A purge was acknowledged.
    Purged,
    /// A keyed request was answered with success.
    Booked,
}

/// What goes in a `Trigger`.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Loss {
    /// The power of all nodes, for three seconds.
    Power,
    /// The disk of a slot, replaced by an empty one after three seconds.
    Disk(usize),
    /// The disks of so many slots from this one on, replaced by empty ones after
    /// three seconds; and the power of all other nodes.
    Disks(usize, usize),
    /// The room on the disk of a slot, until it is started again.
    DiskSpace(usize),
}

impl Trigger {
    /// All triggers.
    pub const ALL: [Trigger; 3] = [Trigger::Configured, Trigger::Purged, Trigger::Booked];

    /// Its name in scripts.
    pub fn name(self) -> &'static str {
        ["configured", "purged", "booked"][self as usize]
    }
}

impl Fault {
    /// Its name in scripts and tables.
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

    /// How it is told apart in the table of what fell where.
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

    /// How long it lasts, if it ends by itself.
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

    /// Ends something that was broken before; a shortened schedule keeps it.
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

    /// What operators and the platform do by intent; the rest breaks or mends.
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
