//! Health of a group's origins: proof of identity, outlier ejection and probes.
use super::{AdmissionController, TokenBucket};
use crate::prelude::*;

/// The controller's state of one origin.
pub(super) struct OriginState {
    pub(super) origin: Origin,
    pub(super) bucket: TokenBucket,
    /// The moving average of a call's duration, in seconds.
    pub(super) mean_duration: f64,
    /// The start of the call that last proved the origin's identity.
    proof: Option<Duration>,
    /// The time at which the probe in flight was sent.
    probe_sent_at: Option<Duration>,
    connection: ConnectionState,
    consecutive_failures: u32,
    ejected_until: Duration,
}

/// The state of the connection to an origin. While it stays open, the origin's process
/// has not changed.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum ConnectionState {
    Closed,
    Opening,
    Open,
}

/// Ejection time after a failure. It doubles with the second consecutive failure.
pub(super) const EJECTION: Duration = Duration::from_millis(500);
/// Ejection time of an origin that rejected a request without executing it, because it
/// is full or about to shut down.
const FULL_ORIGIN_EJECTION: Duration = Duration::from_millis(100);
/// Ejection time of an origin whose address now belongs to another instance.
const REPLACED_ORIGIN_EJECTION: Duration = Duration::from_secs(5);
/// Maximum ejection time, as a multiple of the first one.
const MAX_EJECTION_FACTOR: u32 = 2;
/// Assumed duration of a call before the first call, in seconds.
const INITIAL_DURATION_S: f64 = 0.02;
/// Weight of the last call in the moving average of durations.
const LATEST_DURATION_WEIGHT: f64 = 0.1;
/// Weight of all earlier calls in the moving average of durations.
const PREVIOUS_DURATIONS_WEIGHT: f64 = 0.9;
/// Lower bound of a recorded duration, in seconds.
const MIN_DURATION_S: f64 = 0.001;

impl OriginState {
    pub(super) fn new(now: Duration, origin: Origin, rate: f64) -> OriginState {
        OriginState {
            origin,
            bucket: TokenBucket::new(now, rate),
            mean_duration: INITIAL_DURATION_S,
            proof: None,
            probe_sent_at: None,
            connection: ConnectionState::Closed,
            consecutive_failures: 0,
            ejected_until: Duration::ZERO,
        }
    }

    /// Returns the maximum number of concurrent calls to the origin.
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

    /// Returns true if the origin is ejected because of failures.
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

    /// Returns true if a probe is due.
    fn needs_probe(&self, now: Duration) -> bool {
        let is_fresh = self
            .proof
            .is_some_and(|proof| now < proof + lease::ORIGIN_PROOF_REFRESH);
        let is_probing = self
            .probe_sent_at
            .is_some_and(|since| now < since + lease::ORIGIN_PROOF_VALIDITY);
        !is_fresh
            && !is_probing
            && !self.is_ejected(now)
            && self.bucket.has_token()
            && self.connection == ConnectionState::Open
    }
}

impl AdmissionController {
    /// Returns true if an origin may be called: its proof of identity is valid or none is
    /// needed.
    pub(super) fn is_proven(&self, now: Duration, state: &OriginState) -> bool {
        self.proof == Proof::Named
            || state
                .proof
                .is_some_and(|proof| now < proof + lease::ORIGIN_PROOF_VALIDITY)
    }

    /// Returns the origins that are not ejected.
    pub(super) fn usable_origins(&self, now: Duration) -> impl Iterator<Item = &OriginState> {
        self.origins
            .values()
            .filter(move |state| !state.is_ejected(now))
    }

    /// Updates the health of an origin from the result of a call.
    pub(super) fn update_origin_health(
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
            // Only a new list of origins makes the address usable again.
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

    /// Records that an origin proved its identity in a call that started at
    /// `started_at`. The proof is valid only with a connection that was open by then. A
    /// first proof comes from a probe, which is sent only over an open connection.
    fn record_proof(&mut self, started_at: Duration, address: SocketAddr) {
        if let Some(state) = self
            .origins
            .get_mut(&address)
            .filter(|state| state.connection == ConnectionState::Open)
        {
            state.proof = state.proof.max(Some(started_at));
            state.consecutive_failures = 0;
            state.ejected_until = Duration::ZERO;
        }
    }

    /// Ejects an origin, which must then prove its identity again.
    fn eject(&mut self, now: Duration, address: SocketAddr, span: Duration) {
        if let Some(state) = self.origins.get_mut(&address) {
            state.proof = None;
            state.consecutive_failures += 1;
            state.ejected_until = now + span * state.consecutive_failures.min(MAX_EJECTION_FACTOR);
        }
    }

    /// Returns the origins to which a connection must be opened now.
    pub fn connections_to_open(&mut self, now: Duration) -> Vec<SocketAddr> {
        // Origins that check the name in each call need no proof.
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

    /// Records that a connection has opened, or that it has ended and with it the proof.
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
        // A connection that ended after it was open may have been closed as idle.
        if was_opening {
            self.eject(now, address, EJECTION);
        }
    }

    /// Returns the origins to probe now. A probe takes a token like any call. Probes are
    /// sent before requests, because no request is sent without proof.
    pub fn start_probes(&mut self, now: Duration) -> Vec<Origin> {
        self.remove_expired(now);
        let mut probed = Vec::new();
        for state in self.origins.values_mut() {
            if state.needs_probe(now) {
                state.bucket.take(now);
                state.probe_sent_at = Some(now);
                probed.push(state.origin.clone());
            }
        }
        probed
    }

    /// Records the end of a probe. Returns true if the origin gained or lost its proof.
    pub fn probe_completed(&mut self, now: Duration, origin: &Origin, succeeded: bool) -> bool {
        let Some(state) = self
            .origins
            .get_mut(&origin.address)
            .filter(|state| state.origin == *origin)
        else {
            return false;
        };
        let was_proven = state.proof.is_some();
        let started_at = state.probe_sent_at.take().unwrap_or(now);
        if succeeded {
            self.record_proof(started_at, origin.address)
        } else {
            self.eject(now, origin.address, EJECTION)
        }
        self.dispatch(now);
        was_proven != succeeded
    }

    /// Returns the health of each origin, for operators.
    pub fn origin_health(&self, now: Duration) -> Vec<OriginHealth> {
        let health = |state: &OriginState| OriginHealth {
            address: state.origin.address,
            service: state.origin.service.clone(),
            instance: state.origin.instance.clone(),
            condition: self.condition(now, state),
            calls: self.calls.count_for(state.origin.address) as u32,
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
