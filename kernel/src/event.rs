//! The numbered events of the log.
#[cfg(test)]
mod tests;

/// Declares the numbered events of the log. docs/events.md lists them all, and a test
/// compares the two.
macro_rules! events {
    ($($name:ident = $number:literal, $level:ident;)*) => {
        /// A numbered event of the log.
        #[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
        pub enum Event {
            $(
                #[doc = concat!("Event E", stringify!($number), " in docs/events.md, level ", stringify!($level), ".")]
                $name = $number,
            )*
        }
        impl Event {
            /// All events.
            pub const ALL: &[Event] = &[$(Event::$name),*];
            /// Returns the level at which the event is logged.
            pub fn level(self) -> log::Level {
                match self { $(Event::$name => log::Level::$level),* }
            }
        }
    };
}

events! {
    Started = 100, Info;
    ShutdownRequested = 101, Info;
    Ended = 102, Info;
    LinkBroken = 110, Debug;
    FrameRefused = 111, Warn;
    MessageRefused = 112, Warn;
    QueueFull = 113, Warn;
    PartitionAcquired = 200, Info;
    PartitionLost = 201, Warn;
    DiskBlank = 210, Warn;
    DiskRecovered = 211, Info;
    DiskFailed = 212, Error;
    LogTailCut = 213, Warn;
    LogCorrupt = 214, Error;
    MemberReplaced = 215, Info;
    MemberRemoved = 216, Error;
    GenerationFounded = 217, Info;
    MajorityLost = 218, Error;
    RowsRecalled = 219, Warn;
    SessionOpened = 220, Info;
    SessionLapsed = 221, Warn;
    SessionClosed = 222, Info;
    DiskRestored = 223, Info;
    LogRefused = 224, Error;
    LostMembersSucceeded = 225, Warn;
    AssignmentRevoked = 230, Info;
    AssignmentGranted = 231, Info;
    ConfigurationPut = 240, Info;
    OriginsPut = 241, Info;
    HistoryFailed = 242, Warn;
    OriginsOutdated = 244, Info;
    OperationAbandoned = 250, Warn;
    LedgerOpened = 251, Info;
    Live = 300, Info;
    Fenced = 301, Warn;
    ConfigurationTaken = 302, Info;
    AssignmentAcquired = 310, Info;
    AssignmentDropped = 311, Info;
    PutDropped = 320, Info;
    OriginProven = 330, Info;
    OriginEjected = 331, Warn;
    ResponseRejected = 340, Warn;
    ClientDisconnected = 341, Debug;
    AbandonedWork = 342, Error;
    ClientsRefused = 343, Warn;
}

/// Writes one event to the log.
pub fn log_event(event: Event, text: &str) {
    log::log!(event.level(), "E{:03} {:?} {text}", event as u32, event);
}
