//! The time at which a response's fetch started, which may lie before this process did.
use crate::prelude::*;

/// The start of a fetch, for responses of any age. Times of a process count from its own
/// start, so the start of an older fetch cannot be represented as such a time.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct FetchStart {
    /// A time of this process.
    reference: Duration,
    /// Age of the response at that time.
    age_then: Duration,
}

impl FetchStart {
    /// Returns the start of a fetch by this process.
    pub fn at(started_at: Duration) -> FetchStart {
        FetchStart {
            reference: started_at,
            age_then: Duration::ZERO,
        }
    }

    /// Returns the start of the fetch of a response that has this age now.
    pub fn of_age(now: Duration, age: Duration) -> FetchStart {
        FetchStart {
            reference: now,
            age_then: age,
        }
    }

    /// Returns the age of the response.
    pub fn age(self, now: Duration) -> Duration {
        now.saturating_sub(self.reference) + self.age_then
    }

    /// Returns the end of a lifetime that counts from the start of the fetch. An end before
    /// the start of this process is returned as zero.
    pub fn end_of(self, lifetime: Duration) -> Duration {
        (self.reference + lifetime).saturating_sub(self.age_then)
    }

    /// Returns true if this fetch started after the other one.
    pub fn is_after(self, other: FetchStart) -> bool {
        self.reference + other.age_then > other.reference + self.age_then
    }
}
