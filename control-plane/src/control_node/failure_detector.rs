//! Failure detection: distinguishes lost members from members that seem silent because this node itself was paused.

use crate::prelude::*;

/// Time without a message after which a slot may be assigned to an empty node that requests one. A process that is only
/// restarted returns sooner, and a member that was wrongly replaced rejoins as an empty node.
const MEMBER_LOSS_TIMEOUT: Duration = Duration::from_secs(2);

/// Tracks pauses of this node. After a pause, the last message from every member is old, which is no evidence that the
/// members failed.
#[derive(Debug, Default)]
pub(super) struct FailureDetector {
    last_tick_at: Option<Duration>,
    unpaused_since: Duration,
}

impl FailureDetector {
    /// Records a tick; a late one shows that this node was paused.
    pub(super) fn tick(&mut self, now: Duration) {
        if !self.is_unpaused(now) {
            self.unpaused_since = now;
        }
        self.last_tick_at = Some(now);
    }

    /// Returns the time of the last tick, which is close to the current time.
    pub(super) fn last_tick(&self) -> Duration {
        self.last_tick_at.unwrap_or_default()
    }

    /// Returns true if the last tick is recent, so that this node was not paused.
    fn is_unpaused(&self, now: Duration) -> bool {
        self.last_tick_at
            .is_some_and(|last_tick| now < last_tick + lease::CONTROL_PEER_TIMEOUT)
    }

    /// Returns true if a member with its last contact at this time is lost.
    pub(super) fn is_lost(&self, now: Duration, last_contact: Duration) -> bool {
        self.is_unresponsive(now, last_contact, MEMBER_LOSS_TIMEOUT)
    }

    /// Returns true if a member with its last contact at this time has been unresponsive for this timeout.
    pub(super) fn is_unresponsive(
        &self,
        now: Duration,
        last_contact: Duration,
        timeout: Duration,
    ) -> bool {
        let unresponsive_since = last_contact.max(self.unpaused_since);
        self.is_unpaused(now) && now >= unresponsive_since + timeout
    }
}
