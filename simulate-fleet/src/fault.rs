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
    /// Nothing gets from the first to the second; the other way still does.
    Cut(Place, Place),
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

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Moment {
    Configured,
    Purged,
    /// A keyed errand was answered with success.
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
            Fault::Cut(..) => "cut",
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
            ][*mood as usize],
            Fault::Leave(_) => "origin-leave",
            Fault::Usurp(_) => "origin-usurp",
            Fault::Replace(_) => "origin-replace",
            Fault::Content => "content",
            Fault::Purge(_) => "purge",
            Fault::Configure => "configure",
            Fault::ConfigureInvalid => "configure-invalid",
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
            _ => self.name().into(),
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
                | Grow(_)
                | Race(_)
                | ReadBack
                | OpenLedger
                | Returned
        )
    }
}
