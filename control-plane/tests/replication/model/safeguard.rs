//! The safeguards of replication that a model run can leave out.

/// One rule of the replication protocol. A run of the model with one of them
/// left out must reach a violation; otherwise the search proves nothing of it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Safeguard {
    /// A replica refuses appends below the epoch it promised.
    PromiseCheckedOnAppend,
    /// A replica refuses an append that does not follow on what it holds.
    GapRefused,
    /// An append that comes after a later one of its epoch changes nothing.
    OutdatedAppendIgnored,
    /// A leader answers only once a majority holds its adopted state under its
    /// own epoch.
    StateRewrittenBeforeAnswering,
    /// A replica replies only once what it says is synced.
    ReplyAfterSync,
    /// A leader asks others only once its own disk promised the epoch, so that
    /// no epoch is used again after a restart.
    OwnPromiseFirst,
    /// A read is answered only once a round begun after it is confirmed.
    ReadConfirmedByRound,
    /// A blank disk counts only once it was refilled.
    BlankDiskTakesNoPart,
    /// A blank disk asks the others twice and takes the second answers.
    SecondRecoveryRound,
    /// Replies of a disk that was replaced count for nothing.
    RetiredIncarnationsNotCounted,
    /// Requests by an older membership table are refused.
    MembershipVersionFences,
    /// A newcomer counts only once it was refilled by the new table's members.
    LearnerDoesNotCount,
}
