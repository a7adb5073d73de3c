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
    Weather { lost: u64, doubled: u64, late: u64 },
    Origin(usize, Mood),
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
    /// Two operators at once, at different control nodes.
    Race,
    ReadBack,
    /// The power of all nodes goes the moment this next comes true, and is
    /// back three seconds later.
    PowerCutOn(Moment),
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
