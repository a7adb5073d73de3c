//! The health of a group's origins: proof of identity, outlier ejection, probes.
use super::{AdmissionController, TokenBucket};
use crate::prelude::*;

/// What the controller knows of one origin.
pub(super) struct OriginState {
    pub(super) origin: Origin,
    pub(super) bucket: TokenBucket,
    /// The moving average of a call's duration, in seconds.
    pub(super) mean_duration: f64,
    /// When the call began that last proved the origin's identity.
    proof: Option<Duration>,
    /// When the probe in flight was sent.
    probing_since: Option<Duration>,
    connection: ConnectionState,
    consecutive_failures: u32,
    ejected_until: Duration,
}

/// The connection that shows that the origin's process has not changed.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum ConnectionState {
    Closed,
    Opening,
    Open,
}

/// How long an origin is ejected after a failure, the second time for twice as long.
pub(super) const EJECTION: Duration = Duration::from_millis(500);
/// The same for an origin that rejected a request unexecuted: it is full, or
/// about to shut down.
const FULL_ORIGIN_EJECTION: Duration = Duration::from_millis(100);
/// The same for an origin whose address another instance has now.
const REPLACED_ORIGIN_EJECTION: Duration = Duration::from_secs(5);
/// The longest ejection, in multiples of the first one.
const MAX_EJECTION_FACTOR: u32 = 2;
/// The assumed duration of a call before the first one was made, in seconds.
const INITIAL_DURATION_S: f64 = 0.02;
/// The weights of the last call, and of those before, in the moving average of durations.
const LATEST_DURATION_WEIGHT: f64 = 0.1;
const PREVIOUS_DURATIONS_WEIGHT: f64 = 0.9;
/// The shortest duration that is recorded, in seconds.
const MIN_DURATION_S: f64 = 0.001;

impl OriginState {
    pub(super) fn new(now: Duration, origin: Origin, rate: f64) -> OriginState {
        OriginState {
            origin,
            bucket: TokenBucket::new(now, rate),
            mean_duration: INITIAL_DURATION_S,
            proof: None,
            probing_since: None,
            connection: ConnectionState::Closed,
            consecutive_failures: 0,
            ejected_until: Duration::ZERO,
        }
    }

    /// Concurrent calls it may have.
    pub(super) fn slots(&self, concurrency: u32) -> u32 {
        if self.origin.capacity == 0 {
            concurrency
        } else {
            concurrency.min(self.origin.capacity)
        }
    }

    pub(super) fn is_ejected(&self, now: Duration) -> bool {
        self.ejected_until > now
    }

    /// Ejected for failures, not just listed anew.
    pub(super) fn has_failed(&self, now: Duration) -> bool {
        self.consecutive_failures > 0 && self.is_ejected(now)
    }

    pub(super) fn remaining_ejection(&self, now: Duration) -> Duration {
        self.ejected_until.saturating_sub(now)
    }

    fn record_duration(&mut self, took: Duration) {
        let latest = took.as_secs_f64().max(MIN_DURATION_S);
        self.mean_duration =
            self.mean_duration * PREVIOUS_DURATIONS_WEIGHT + latest * LATEST_DURATION_WEIGHT;
    }

    /// Whether a probe is to be sent now.
    fn needs_probe(&self, now: Duration) -> bool {
        let is_fresh = self
            .proof
            .is_some_and(|proof| now < proof + lease::ORIGIN_PROOF_REFRESH);
        let is_probing = self
            .probing_since
            .is_some_and(|since| now < since + lease::ORIGIN_PROOF_VALIDITY);
        !is_fresh
            && !is_probing
            && !self.is_ejected(now)
            && self.bucket.has_token()
            && self.connection == ConnectionState::Open
    }
}

impl AdmissionController {
    /// Whether an origin has proved its identity, where it must before it is called.
    pub(super) fn is_proven(&self, now: Duration, state: &OriginState) -> bool {
        self.proof == Proof::Named
            || state
                .proof
                .is_some_and(|proof| now < proof + lease::ORIGIN_PROOF_VALIDITY)
    }

    /// Origins that are not ejected.
    pub(super) fn usable_origins(&self, now: Duration) -> impl Iterator<Item = &OriginState> {
        self.origins
            .values()
            .filter(move |state| !state.is_ejected(now))
    }

    /// What the end of a call shows of its origin.
    pub(super) fn judge_origin(
        &mut self,
        now: Duration,
        address: SocketAddr,
        result: CallResult,
        took: Duration,
    ) {
        match result {
            CallResult::Success => self.call_succeeded(now, address, took),
            CallResult::Failure | CallResult::Unreachable => self.eject(now, address, EJECTION),
            CallResult::NotExecuted => self.eject(now, address, FULL_ORIGIN_EJECTION),
            // Only the list of origins can bring it back.
            CallResult::WrongInstance => self.eject(now, address, REPLACED_ORIGIN_EJECTION),
            CallResult::Cancelled | CallResult::Unused => {}
        }
    }

    fn call_succeeded(&mut self, now: Duration, address: SocketAddr, took: Duration) {
        let Some(state) = self.origins.get_mut(&address) else {
            return;
        };
        state.record_duration(took);
        if self.proof == Proof::Named {
            state.consecutive_failures = 0;
        }
        if state.proof.is_some() {
            self.record_proof(now - took.min(now), address);
        }
    }

    /// The origin proved its identity in a call that began at `since`. It counts
    /// only with a connection that was open by then; a first proof is a probe's,
    /// which is sent only once one is.
    fn record_proof(&mut self, since: Duration, address: SocketAddr) {
        if let Some(state) = self
            .origins
            .get_mut(&address)
            .filter(|state| state.connection == ConnectionState::Open)
        {
            state.proof = state.proof.max(Some(since));
            state.consecutive_failures = 0;
            state.ejected_until = Duration::ZERO;
        }
    }

    /// Ejects an origin; it must prove its identity anew.
    fn eject(&mut self, now: Duration, address: SocketAddr, span: Duration) {
        if let Some(state) = self.origins.get_mut(&address) {
            state.proof = None;
            state.consecutive_failures += 1;
            state.ejected_until = now + span * state.consecutive_failures.min(MAX_EJECTION_FACTOR);
        }
    }

    /// Origins to which a connection shall be opened now.
    pub fn connections_to_open(&mut self, now: Duration) -> Vec<SocketAddr> {
        // Origins that are named with each call need no proof.
        let needs_proof = self.proof == Proof::Seal;
        let due = self.origins.values_mut().filter(|state| {
            needs_proof && state.connection == ConnectionState::Closed && !state.is_ejected(now)
        });
        due.map(|state| {
            state.connection = ConnectionState::Opening;
            state.origin.address
        })
        .collect()
    }

    /// The connection is open, or has ended and with it the proof.
    pub fn connection_changed(&mut self, now: Duration, address: SocketAddr, open: bool) {
        let Some(state) = self.origins.get_mut(&address) else {
            return;
        };
        if open {
            state.connection = ConnectionState::Open;
            return;
        }
        let was_opening = state.connection == ConnectionState::Opening;
        state.connection = ConnectionState::Closed;
        state.proof = None;
        // One that ended after it was open may only have been idle for too long.
        if was_opening {
            self.eject(now, address, EJECTION);
        }
    }

    /// Origins to probe now. A probe is a call and costs a token; it goes before
    /// requests, since without proof none is sent.
    pub fn start_probes(&mut self, now: Duration) -> Vec<Origin> {
        self.forget_old(now);
        let mut probed = Vec::new();
        for state in self.origins.values_mut() {
            if state.needs_probe(now) {
                state.bucket.take(now);
                state.probing_since = Some(now);
                probed.push(state.origin.clone());
            }
        }
        probed
    }

    /// A probe of `origin` ended. True if it gained or lost its proof.
    pub fn probe_completed(&mut self, now: Duration, origin: &Origin, succeeded: bool) -> bool {
        let Some(state) = self
            .origins
            .get_mut(&origin.address)
            .filter(|state| state.origin == *origin)
        else {
            return false;
        };
        let was_proven = state.proof.is_some();
        let since = state.probing_since.take().unwrap_or(now);
        if succeeded {
            self.record_proof(since, origin.address)
        } else {
            self.eject(now, origin.address, EJECTION)
        }
        self.dispatch(now);
        was_proven != succeeded
    }

    /// The health of each origin, for operators.
    pub fn origin_health(&self, now: Duration) -> Vec<OriginHealth> {
        let health = |state: &OriginState| OriginHealth {
            address: state.origin.address,
            service: state.origin.service.clone(),
            instance: state.origin.instance.clone(),
            condition: self.condition(now, state),
            calls: self.calls.at(state.origin.address) as u32,
        };
        self.origins.values().map(health).collect()
    }

    fn condition(&self, now: Duration, state: &OriginState) -> OriginCondition {
        if state.is_ejected(now) {
            OriginCondition::Ejected
        } else if self.is_proven(now, state) {
            OriginCondition::Proven
        } else {
            OriginCondition::Unproven
        }
    }
}
