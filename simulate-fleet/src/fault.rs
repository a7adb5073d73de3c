//! The kinds of faults that a schedule may have.
use crate::prelude::*;

/// A node of the simulated fleet.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum Place {
    Control(usize),
    Edge(usize),
}

/// Something that is done to the fleet, or asked of it by its operators.
#[derive(Debug, Clone, PartialEq)]
pub enum Fault {
    Kill(Place),
    Start(Place),
    /// The process stands still; its time goes on.
    Pause(Place, Duration),
    /// SIGTERM; the node is started again once it has ended.
    Restart(Place),
    /// SIGTERM; the node is gone for good once it has ended, or its time is over.
    Retire(Place),
    /// Killed, and its disk is gone.
    Wipe(Place),
    /// The disk refuses writes from now on.
    DiskFull(Place),
    /// All that the process does takes longer.
    Slow(Place, Duration),
    /// No sync of its disk ends before the span is over.
    StallDisk(Place, Duration),
    /// Each sync of its disk takes a good part of a second.
    SlowDisk(Place, Duration),
    /// Nothing gets from the first to the second; the other way still does.
    Cut(Place, Place),
    /// A node is cut off for a span, in silence.
    CutOff(Place, CutScope, Duration),
    /// The connections between two nodes are reset: what is under way is lost.
    Reset(Place, Place),
    /// Nodes that start from now on are told the seeds in another order, and
    /// others among them, as far as they found no table.
    TurnSeeds,
    /// Many answers to operators are lost for a span; the same order is then
    /// sent again to another node.
    LoseAnswers(Duration),
    /// Nothing gets to or from this node.
    Isolate(Place),
    /// All cuts end.
    Heal,
    /// Of a hundred messages so many are lost, doubled, or late.
    Weather {
        lost: u64,
        doubled: u64,
        late: u64,
    },
    Origin(usize, Mood),
    /// All origins of one service, by its place in the deployment.
    Service(usize, Mood),
    /// The platform marks it leaving; its process ends after a while.
    Leave(usize),
    /// Another service's origin now listens at this address, unlisted.
    Usurp(usize),
    /// The origin is listed and runs under a new instance name.
    Replace(usize),
    Content,
    Purge(String),
    Configure,
    ConfigureInvalid,
    /// One named item of the configuration is set under its next revision.
    PutItem,
    /// A change that brings so many entries more; the next one drops them.
    Grow(usize),
    /// So many operators at once, at different control nodes.
    Race(usize),
    ReadBack,
    /// The moment this next comes true, something is lost.
    Trap(Moment, Loss),
    /// Every process and every disk is gone, and back three seconds later.
    LoseAll,
    /// The operators say that no fleet was there before this one.
    OpenLedger,
    /// All machines are back: from now, service must be within 15 s.
    Returned,
}

/// What a node that is cut off does not reach, or is not reached by.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum CutScope {
    /// Every other node, both ways.
    Everybody,
    /// The control nodes, both ways.
    ControlNodes,
    /// It hears no control node.
    FromControlNodes,
    /// No control node hears it.
    ToControlNodes,
}

impl CutScope {
    pub const ALL: [CutScope; 4] = [
        CutScope::Everybody,
        CutScope::ControlNodes,
        CutScope::FromControlNodes,
        CutScope::ToControlNodes,
    ];

    /// Its name in scripts.
    pub fn name(self) -> &'static str {
        match self {
            CutScope::Everybody => "everybody",
            CutScope::ControlNodes => "control-nodes",
            CutScope::FromControlNodes => "from-control-nodes",
            CutScope::ToControlNodes => "to-control-nodes",
        }
    }
}

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Moment {
    Configured,
    Purged,
    /// A keyed request was answered with success.
    Booked,
}

/// What goes in a `Moment`.
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
    Room(usize),
}

impl Moment {
    pub const ALL: [Moment; 3] = [Moment::Configured, Moment::Purged, Moment::Booked];

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
            Fault::Cut(..) => "cut",
            Fault::CutOff(..) => "cut-off",
            Fault::Reset(..) => "reset",
            Fault::TurnSeeds => "turn-seeds",
            Fault::LoseAnswers(_) => "lose-answers",
            Fault::Isolate(_) => "isolate",
            Fault::Heal => "heal",
            Fault::Weather { .. } => "weather",
            Fault::Origin(_, mood) => mood.name(),
            Fault::Service(_, mood) => [
                "service-good",
                "service-down",
                "service-mute",
                "service-slow",
                "service-very-slow",
                "service-wrong",
                "service-grey",
            ][*mood as usize],
            Fault::Leave(_) => "origin-leave",
            Fault::Usurp(_) => "origin-usurp",
            Fault::Replace(_) => "origin-replace",
            Fault::Content => "content",
            Fault::Purge(_) => "purge",
            Fault::Configure => "configure",
            Fault::ConfigureInvalid => "configure-invalid",
            Fault::PutItem => "put-item",
            Fault::Grow(_) => "grow",
            Fault::Race(_) => "race",
            Fault::ReadBack => "read-back",
            Fault::Trap(_, Loss::Power) => "power-on",
            Fault::Trap(_, Loss::Disk(_)) => "disk-lost-on",
            Fault::Trap(_, Loss::Disks(..)) => "disks-lost-on",
            Fault::Trap(_, Loss::Room(_)) => "disk-full-on",
            Fault::LoseAll => "lose-all",
            Fault::OpenLedger => "open-ledger",
            Fault::Returned => "returned",
        }
    }

    /// How it is told apart in the table of what fell where.
    pub fn kind(&self) -> String {
        match self {
            Fault::Kill(place)
            | Fault::Pause(place, _)
            | Fault::Slow(place, _)
            | Fault::Restart(place)
            | Fault::Retire(place)
            | Fault::Isolate(place) => {
                let what = if matches!(place, Place::Control(_)) {
                    "control"
                } else {
                    "edge"
                };
                format!("{} {what}", self.name())
            }
            Fault::CutOff(_, scope, _) => format!("cut-off {}", scope.name()),
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
            | Fault::CutOff(_, _, span) => Some(*span),
            _ => None,
        }
    }

    /// Ends something that was broken before; a shortened schedule keeps it.
    pub fn mends(&self) -> bool {
        let good = Mood::Good;
        matches!(
            self,
            Fault::Start(_)
                | Fault::Heal
                | Fault::Weather {
                    lost: 0,
                    doubled: 0,
                    late: 0
                }
                | Fault::OpenLedger
                | Fault::Returned
        ) || matches!(self, Fault::Origin(_, mood) | Fault::Service(_, mood) if *mood == good)
    }

    /// What operators and the platform do by intent; the rest breaks or mends.
    pub fn planned(&self) -> bool {
        use Fault::*;
        matches!(
            self,
            Restart(_)
                | Retire(_)
                | Leave(_)
                | Content
                | Purge(_)
                | Configure
                | ConfigureInvalid
                | PutItem
                | TurnSeeds
                | Grow(_)
                | Race(_)
                | ReadBack
                | OpenLedger
                | Returned
        )
    }
}
