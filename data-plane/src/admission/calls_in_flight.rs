//! Calls that were permitted and have not ended, as far as is known.
use crate::prelude::*;

/// Calls by the epoch and serial of their permits. Invariant: `tallies` counts
/// the calls of each origin, so that a look at one origin goes over none of
/// the others' calls.
#[derive(Default)]
pub struct CallsInFlight {
    calls: HashMap<(u64, u64), CallInFlight>,
    tallies: HashMap<SocketAddr, Tally>,
}

pub struct CallInFlight {
    pub origin: SocketAddr,
    pub rank: u32,
    pub since: Duration,
    pub until: Duration,
    pub extra: bool,
}

#[derive(Default)]
struct Tally {
    count: usize,
    /// Sum of the times since when, in seconds.
    since_s: f64,
}

impl CallInFlight {
    /// Seconds since it was given.
    pub fn age(&self, now: Duration) -> f64 {
        now.saturating_sub(self.since).as_secs_f64()
    }
}

impl CallsInFlight {
    pub fn insert(&mut self, permit: (u64, u64), call: CallInFlight) {
        self.remove(permit);
        let tally = self.tallies.entry(call.origin).or_default();
        tally.count += 1;
        tally.since_s += call.since.as_secs_f64();
        self.calls.insert(permit, call);
    }

    pub fn remove(&mut self, permit: (u64, u64)) -> Option<CallInFlight> {
        let call = self.calls.remove(&permit)?;
        CallsInFlight::uncount(&mut self.tallies, &call);
        Some(call)
    }

    /// Drops calls whose end is past.
    pub fn forget_ended(&mut self, now: Duration) {
        let tallies = &mut self.tallies;
        self.calls.retain(|_, call| {
            let stands = now < call.until;
            if !stands {
                CallsInFlight::uncount(tallies, call);
            }
            stands
        });
    }

    fn uncount(tallies: &mut HashMap<SocketAddr, Tally>, call: &CallInFlight) {
        let tally = tallies.get_mut(&call.origin).expect("it was counted");
        tally.count -= 1;
        tally.since_s -= call.since.as_secs_f64();
        if tally.count == 0 {
            tallies.remove(&call.origin);
        }
    }

    pub fn len(&self) -> usize {
        self.calls.len()
    }

    pub fn iter(&self) -> impl Iterator<Item = &CallInFlight> {
        self.calls.values()
    }

    /// Calls at this origin.
    pub fn at(&self, origin: SocketAddr) -> usize {
        self.tallies.get(&origin).map_or(0, |tally| tally.count)
    }

    /// Seconds that the calls at this origin have taken so far, on average.
    pub fn mean_age(&self, now: Duration, origin: SocketAddr) -> Option<f64> {
        let tally = self.tallies.get(&origin)?;
        Some((now.as_secs_f64() - tally.since_s / tally.count as f64).max(0.0))
    }
}
