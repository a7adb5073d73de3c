//! Which silent members are lost, and not merely unheard because this node was paused.

use crate::prelude::*;

/// A slot without a message for this long may go to an empty node that requests one. A process that is only
/// restarted is back before, and one that was wrongly replaced comes back as an empty node.
const MEMBER_LOSS_TIMEOUT: Duration = Duration::from_secs(2);

/// Since when this node hears the others without a pause of its own: one that was frozen has heard nobody for long,
/// and that is no fault of theirs.
#[derive(Debug, Default)]
pub(super) struct ContactWatch {
    last_tick_at: Option<Duration>,
    unpaused_since: Duration,
}

impl ContactWatch {
    pub(super) fn tick(&mut self, now: Duration) {
        if !self.is_unpaused(now) {
            self.unpaused_since = now;
        }
        self.last_tick_at = Some(now);
    }

    /// About the present time.
    pub(super) fn last_tick(&self) -> Duration {
        self.last_tick_at.unwrap_or_default()
    }

    /// Whether the last tick was as recent as it should be.
    fn is_unpaused(&self, now: Duration) -> bool {
        self.last_tick_at
            .is_some_and(|last_tick| now < last_tick + lease::CONTROL_PEER_TIMEOUT)
    }

    /// Whether a member with its last contact at this time has timed out.
    pub(super) fn is_lost(&self, now: Duration, last_contact: Duration) -> bool {
        self.is_silent(now, last_contact, MEMBER_LOSS_TIMEOUT)
    }

    /// The same after a timeout of the caller's.
    pub(super) fn is_silent(
        &self,
        now: Duration,
        last_contact: Duration,
        timeout: Duration,
    ) -> bool {
        let silent_since = last_contact.max(self.unpaused_since);
        self.is_unpaused(now) && now >= silent_since + timeout
    }
}
