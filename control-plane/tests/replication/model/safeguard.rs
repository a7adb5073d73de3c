//! Safeguards of replication that a model run can disable.

/// Rule of the replication protocol. A run of the model with one of them disabled must reach a violation; otherwise the
/// search proves nothing about it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Safeguard {
    /// A replica refuses appends below the epoch it promised.
    PromiseCheckedOnAppend,
    /// A replica refuses an append that does not follow on its current state.
    GapRefused,
    /// An append that arrives after a later one of its epoch changes nothing.
    OutdatedAppendIgnored,
    /// A leader serves only once a majority holds its adopted state under the leader's own epoch.
    StateRewrittenBeforeServing,
    /// A replica replies only once what it acknowledges is synced.
    ReplyAfterSync,
    /// A leader sends requests only once its own disk promised the epoch, so that
    /// no epoch is used again after a restart.
    OwnPromiseStoredFirst,
    /// A read is finished only once a round begun after it is confirmed.
    ReadConfirmedByRound,
    /// A blank disk is included in quorums only once it was recovered.
    BlankDiskExcluded,
    /// A blank disk sends requests in two rounds and uses the replies of the second.
    SecondRecoveryRound,
    /// Replies of a disk that was replaced are ignored.
    RetiredIncarnationsIgnored,
    /// Requests sent under an older membership table are refused.
    MembershipVersionFences,
    /// A joiner is included in quorums only once it was recovered by the new table's members.
    JoinerExcluded,
    /// A survivor that uses the table of a succession acknowledges nothing under the earlier one.
    SurvivorAbandonsEarlierTable,
}
