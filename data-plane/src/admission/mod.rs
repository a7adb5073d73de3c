//! Admission control of one origin group.
mod arrivals;
mod calls_in_flight;
#[cfg(test)]
mod tests;
mod token_bucket;

use crate::prelude::*;
use arrivals::Arrivals;
use calls_in_flight::{CallInFlight, CallsInFlight};
pub use token_bucket::TokenBucket;

/// The admission controller of one origin group: hands out short-lived permits by rank.
/// Invariants:
/// - Tokens of an origin grow by its rate and never exceed `burst`; a new
///   holder starts with none, so what it gives adds to what the holder before
///   gave no more than one burst.
/// - A permit names an origin only while that origin's proof (a verified
///   answer of the listed service and instance) is younger than `PROOF` and a
///   connection opened before the proof still stands: the process that
///   listens there is the one that showed who it is.
/// - Within any five seconds an origin gets no more than 110 % of its rate,
///   however late within `PERMIT` a permit is used: `window` holds what it got.
/// - Within ten seconds, extra tries stay within a fifth of first tries plus
///   the allowance, of which a new holder has a part at once if it is large
///   and the rest after ten seconds: two changes of holder fit in. Extra
///   tries are counted a `PERMIT` longer and first ones a `PERMIT` shorter, so
///   that it holds at the origins, too.
/// - A lower rank takes no place that the higher ones will need while its call
///   runs: calls are not taken back.
pub struct AdmissionController {
    pub service: String,
    pub epoch: u64,
    allowance: usize,
    rate: f64,
    concurrency: u32,
    proof: Proof,
    /// What all origins together may get, if that is bounded.
    whole: Option<TokenBucket>,
    origins: BTreeMap<SocketAddr, OriginAt>,
    waits: Vec<Wait>,
    calls: CallsInFlight,
    firsts: VecDeque<Duration>,
    extras: VecDeque<Duration>,
    arrivals: Arrivals,
    /// While many wait, they are looked at again only from then on.
    next_pump: Duration,
    began: Duration,
    serial: u64,
    out: Vec<(SocketAddr, Message)>,
}

struct OriginAt {
    origin: Origin,
    room: TokenBucket,
    /// Smoothed time a call takes.
    took: f64,
    proof: Option<Duration>,
    probing: Option<Duration>,
    watch: Watch,
    /// Failed in a row, and left alone until.
    fails: u32,
    aside: Duration,
}

impl OriginAt {
    /// Calls it may have at a time.
    fn places(&self, concurrency: u32) -> u32 {
        if self.origin.capacity == 0 {
            concurrency
        } else {
            concurrency.min(self.origin.capacity)
        }
    }
}

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Watch {
    None,
    Asked,
    Open,
}

struct Wait {
    from: SocketAddr,
    id: u64,
    rank: u32,
    serial: u64,
    since: Duration,
    sent: Duration,
    until: Duration,
    extra: bool,
    call: Duration,
    /// Served by then, it is worth most.
    aim: Duration,
    zone: String,
    region: String,
    avoid: Vec<SocketAddr>,
}

/// From so many on, those who wait are looked at once in `PUMP_PAUSE`.
const MANY_WAIT: usize = 64;
const PUMP_PAUSE: Duration = Duration::from_millis(5);
const WINDOW: Duration = Duration::from_secs(10);
/// Of a whole rate the admission controller gives out this part. The edges have a tenth for when
/// the admission controller is silent, told afterwards and counted here: with a change of holder
/// 0.95 x 5 s + 0.25 s + a burst of 0.1 s + 0.1 x 5.5 s stays below 110 % of 5 s
/// while four of five edges cannot tell.
const ADMISSION_PART: f64 = 0.95;
const AT_ONCE_S: f64 = 0.25;
/// Arrivals are counted over this span to foresee who will not get through.
const FORESEE: Duration = Duration::from_secs(2);
/// A new holder first hears of calls under way.
const CALM: Duration = Duration::from_millis(300);
/// Where more calls than places do no harm, since they are turned away.
const SHORT_CALM: Duration = Duration::from_millis(50);
/// A call whose end nobody told is counted for this much longer than its limit.
const UNTOLD: Duration = Duration::from_secs(1);
const ASIDE: Duration = Duration::from_millis(500);
/// One that turned a request away is left alone this long.
const FULL: Duration = Duration::from_millis(100);
/// The origin of a call that was broken off sees that by then.
const CANCEL_SEEN: Duration = Duration::from_millis(30);
/// One whose address is another's now.
const GONE: Duration = Duration::from_secs(5);

impl AdmissionController {
    /// `allowance`: extra tries in ten seconds beside a fifth of the first ones.
    pub fn new(now: Duration, service: &str, epoch: u64, allowance: usize) -> AdmissionController {
        AdmissionController {
            service: service.into(),
            epoch,
            allowance,
            rate: 1.0,
            concurrency: 1,
            proof: Proof::Seal,
            whole: None,
            origins: BTreeMap::new(),
            waits: Vec::new(),
            calls: CallsInFlight::default(),
            firsts: VecDeque::new(),
            extras: VecDeque::new(),
            arrivals: Arrivals::new(FORESEE),
            next_pump: now,
            began: now,
            serial: 0,
            out: Vec::new(),
        }
    }

    pub fn take_out(&mut self) -> Vec<(SocketAddr, Message)> {
        std::mem::take(&mut self.out)
    }

    /// The group and the origins as now in force; leaving ones are not given.
    pub fn update(&mut self, now: Duration, group: &Group, origins: &[Origin]) {
        (self.rate, self.concurrency, self.proof) = (group.rate, group.concurrency, group.proof);
        match (&mut self.whole, group.total_rate) {
            (Some(room), Some(rate)) => room.rate = rate,
            // Some calls at once: what waited for a holder comes together.
            (whole, rate) => {
                *whole = rate.map(|rate| TokenBucket::with(now, rate, rate * AT_ONCE_S))
            }
        }
        // What is left of it is for edges that cannot reach the admission controller.
        if let Some(room) = self.whole.as_mut().filter(|_| group.proof == Proof::Named) {
            room.rate *= ADMISSION_PART;
        }
        self.origins
            .values_mut()
            .for_each(|at| at.room.rate = group.rate);
        let wanted: Vec<&Origin> = origins
            .iter()
            .filter(|origin| origin.service == self.service && !origin.draining)
            .collect();
        self.origins
            .retain(|_, known| wanted.contains(&&known.origin));
        for origin in wanted {
            self.origins
                .entry(origin.address)
                .or_insert_with(|| OriginAt {
                    origin: origin.clone(),
                    room: TokenBucket::new(now, group.rate),
                    took: 0.02,
                    proof: None,
                    probing: None,
                    watch: Watch::None,
                    fails: 0,
                    aside: Duration::ZERO,
                });
        }
    }

    /// Whether an origin has shown who it is, where it must before it is called.
    fn shown(&self, now: Duration, at: &OriginAt) -> bool {
        self.proof == Proof::Named
            || at
                .proof
                .is_some_and(|proof| now < proof + lease::ORIGIN_PROOF_VALIDITY)
    }

    fn under(&self, address: SocketAddr) -> usize {
        self.calls.at(address)
    }

    fn usable(&self, now: Duration) -> impl Iterator<Item = &OriginAt> {
        self.origins.values().filter(move |at| at.aside <= now)
    }

    /// What a call takes at this origin now: as the last ones did, or as those
    /// under way already show.
    fn takes(&self, now: Duration, at: &OriginAt) -> f64 {
        let age = self.calls.mean_age(now, at.origin.address);
        at.took.max(age.unwrap_or(0.0))
    }

    /// Seconds a call takes at a usual origin, at most a minute.
    fn usual(&self, now: Duration) -> f64 {
        let (count, sum) = self
            .usable(now)
            .fold((0, 0.0), |(count, sum), at| (count + 1, sum + at.took));
        (sum / f64::from(count.max(1))).min(60.0)
    }

    /// Calls a second all usable origins can take.
    fn capacity(&self, now: Duration) -> f64 {
        let sum = self
            .usable(now)
            .map(|at| {
                self.rate
                    .min(f64::from(at.places(self.concurrency)) / self.takes(now, at))
            })
            .sum();
        self.whole.as_ref().map_or(sum, |room| room.rate.min(sum))
    }

    /// Arrivals a second above a rank, as they were of late.
    fn higher(&self, rank: u32) -> f64 {
        self.arrivals.above(rank) as f64 / FORESEE.as_secs_f64()
    }

    /// Whether a call of this rank leaves the places that higher ranks will
    /// need before it ends. Where calls are short beside the time that errands
    /// have, a higher one just waits for the next place.
    fn leaves_room(&self, now: Duration, wait: &Wait) -> bool {
        let rank = wait.rank;
        let higher = self.higher(rank);
        if higher == 0.0 {
            return true;
        }
        let places: f64 = self
            .usable(now)
            .map(|at| f64::from(at.places(self.concurrency)))
            .sum();
        let speed: f64 = self
            .usable(now)
            .map(|at| f64::from(at.places(self.concurrency)) / self.takes(now, at))
            .sum();
        let takes = places / speed.max(0.001);
        if takes * SHORT <= wait.until.saturating_sub(wait.since).as_secs_f64() {
            return true;
        }
        // A place held by a higher call serves the next one for what is left
        // of that time after it ends.
        let again = |call: &CallInFlight| (call.age(now) / takes).min(1.0);
        let reused: f64 = self
            .calls
            .iter()
            .filter(|call| call.rank > rank)
            .map(again)
            .sum();
        let needed = (higher * takes).min(places) - reused;
        places - self.calls.len() as f64 - 1.0 >= needed.floor().max(0.0)
    }

    pub fn request_permit(&mut self, now: Duration, from: SocketAddr, request: PermitRequest) {
        let PermitRequest {
            id,
            rank,
            max_wait: wait,
            sent,
            is_retry: extra,
            call_timeout: call,
            latency_target: aim,
            zone,
            region,
            excluded_origins: avoid,
            ..
        } = request;
        if let Some(known) = self
            .waits
            .iter_mut()
            .find(|known| (known.from, known.id) == (from, id))
        {
            known.sent = sent;
            known.since = now;
            return self.out.push((from, PermitQueued { id }.into()));
        }
        self.arrivals.add(now, rank);
        self.serial += 1;
        let mine = (from, id);
        self.waits.push(Wait {
            from,
            id,
            rank,
            serial: self.serial,
            since: now,
            sent,
            until: now + wait,
            extra,
            call,
            aim: now + aim,
            zone,
            region,
            avoid,
        });
        self.pump_soon(now);
        if self.waits.iter().any(|wait| (wait.from, wait.id) == mine) {
            self.out.push((from, PermitQueued { id }.into()));
        }
    }

    /// Who asked does not wait for a permit any more; one that was given is told
    /// of as unused.
    pub fn withdraw(&mut self, now: Duration, from: SocketAddr, id: u64) {
        self.drop_waits(now, &|wait| (wait.from, wait.id) == (from, id));
    }

    /// None of these edges waits for a permit any more.
    pub fn forget_edges(&mut self, now: Duration, gone: &HashSet<SocketAddr>) {
        self.drop_waits(now, &|wait| gone.contains(&wait.from));
    }

    /// Who stood behind these may have its turn.
    fn drop_waits(&mut self, now: Duration, dropped: &dyn Fn(&Wait) -> bool) {
        let before = self.waits.len();
        self.waits.retain(|wait| !dropped(wait));
        if self.waits.len() < before {
            self.pump_soon(now);
        }
    }

    /// Looks at those who wait, but if they are many only so often: each look
    /// goes over all of them.
    fn pump_soon(&mut self, now: Duration) {
        if self.waits.len() < MANY_WAIT || now >= self.next_pump {
            self.pump(now);
        }
    }

    /// Gives what can be given and turns away at once who cannot get through.
    pub fn pump(&mut self, now: Duration) {
        self.next_pump = now + PUMP_PAUSE;
        self.forget_old(now);
        if now
            < self.began
                + if self.proof == Proof::Named {
                    SHORT_CALM
                } else {
                    CALM
                }
        {
            return;
        }
        // Who can still be served in its aim goes before who is late anyway.
        let takes = Duration::from_secs_f64(self.usual(now));
        self.waits.sort_by_key(|wait| {
            (
                std::cmp::Reverse(wait.rank),
                now + takes > wait.aim,
                wait.serial,
            )
        });
        let mut rest = Vec::new();
        // What one rank could not have, none at or below it can: they stand
        // in order.
        let mut full = false;
        let capacity = self.capacity(now);
        for wait in std::mem::take(&mut self.waits) {
            let may = self.may_try(now, &wait);
            let picked = if may && !full {
                self.pick(now, &wait)
            } else {
                None
            };
            full |= may && picked.is_none();
            if let Some(address) = picked {
                self.grant(now, address, &wait);
            } else if let Some((reason, back)) = self.turned_away(now, &wait, rest.len(), capacity)
            {
                self.out.push((
                    wait.from,
                    PermitRefused {
                        id: wait.id,
                        reason,
                        back,
                    }
                    .into(),
                ));
            } else {
                rest.push(wait);
            }
        }
        self.waits = rest;
    }

    fn forget_old(&mut self, now: Duration) {
        for (list, span) in [
            (&mut self.firsts, WINDOW - lease::PERMIT_VALIDITY),
            (&mut self.extras, WINDOW + lease::PERMIT_VALIDITY),
        ] {
            while list.front().is_some_and(|at| now >= *at + span) {
                list.pop_front();
            }
        }
        self.arrivals.forget_old(now);
        self.calls.forget_ended(now);
        self.origins
            .values_mut()
            .map(|at| &mut at.room)
            .chain(&mut self.whole)
            .for_each(|room| room.refill(now));
    }

    /// Whether the budget for extra tries has room for this one.
    fn may_try(&self, now: Duration, wait: &Wait) -> bool {
        // Holders may change twice in that time.
        let at_once = if self.allowance < 7 {
            0
        } else {
            self.allowance * 2 / 7
        };
        let earned = if now >= self.began + WINDOW {
            self.allowance - 2 * at_once
        } else {
            at_once
        };
        now < wait.until && (!wait.extra || self.extras.len() < self.firsts.len() / 5 + earned)
    }

    fn turned_away(
        &self,
        now: Duration,
        wait: &Wait,
        ahead: usize,
        capacity: f64,
    ) -> Option<(PermitRefusalReason, Duration)> {
        if now < wait.until && !self.may_try(now, wait) {
            return Some((
                PermitRefusalReason::RetryBudgetExhausted,
                Duration::from_secs(1),
            ));
        }
        let tried = |at: &OriginAt| at.fails > 0 && at.aside > now;
        if self.origins.values().all(tried)
            && (!self.origins.is_empty() || now >= self.began + PATIENCE)
        {
            let soonest = self
                .origins
                .values()
                .map(|at| at.aside.saturating_sub(now))
                .min();
            return Some((
                PermitRefusalReason::NoHealthyOrigin,
                soonest.unwrap_or(ASIDE),
            ));
        }
        // What is left for this rank once the higher ones have theirs.
        let higher = self.higher(wait.rank);
        let left = (capacity - higher).max(0.01);
        // With nothing left over, not even the first of its rank gets through.
        let first = if higher > 0.0 && left < capacity / 20.0 {
            1.0
        } else {
            0.0
        };
        let due =
            Duration::try_from_secs_f64((ahead as f64 + first) / left).unwrap_or(Duration::MAX);
        let late = !due.is_zero() && now.saturating_add(due) >= wait.until;
        (late || now >= wait.until).then(|| {
            (
                PermitRefusalReason::Overloaded,
                due.clamp(Duration::from_secs(1), Duration::from_secs(30)),
            )
        })
    }

    /// The origin that may be called and will answer first, as far as can be
    /// told: by the share of its places in use, what calls take there and the
    /// way. One that failed this request already is the last choice. Where an
    /// origin has many places the nearer goes first while half of them are free:
    /// its answers are large.
    fn pick(&self, now: Duration, wait: &Wait) -> Option<SocketAddr> {
        if !self.leaves_room(now, wait) || self.whole.as_ref().is_some_and(|room| !room.has()) {
            return None;
        }
        let usable = self.usable(now).filter(|at| {
            at.room.has()
                && self.shown(now, at)
                && self.under(at.origin.address) < at.places(self.concurrency) as usize
        });
        let score = |at: &OriginAt| {
            let (under, places) = (
                self.under(at.origin.address) as f64,
                f64::from(at.places(self.concurrency)),
            );
            let failed = wait.avoid.contains(&at.origin.address);
            let way = if at.origin.region != wait.region {
                2
            } else {
                u8::from(at.origin.zone != wait.zone)
            };
            let far = if places < MANY {
                0
            } else if 2.0 * under >= places {
                3
            } else {
                way
            };
            (
                failed,
                far,
                (under + 1.0) / places * at.took.max(0.001) + WAY_S[usize::from(way)],
            )
        };
        let best = usable.min_by(|a, b| {
            let (one, other) = (score(a), score(b));
            (one.0, one.1)
                .cmp(&(other.0, other.1))
                .then(one.2.total_cmp(&other.2))
                .then(b.room.tokens.total_cmp(&a.room.tokens))
        });
        best.map(|at| at.origin.address)
    }

    fn grant(&mut self, now: Duration, address: SocketAddr, wait: &Wait) {
        let at = self.origins.get_mut(&address).expect("picked");
        at.room.take(now);
        if let Some(room) = &mut self.whole {
            room.take(now);
        }
        self.serial += 1;
        self.calls.insert(
            (self.epoch, self.serial),
            CallInFlight {
                origin: address,
                rank: wait.rank,
                since: now,
                until: now + wait.call + UNTOLD,
                extra: wait.extra,
            },
        );
        if wait.extra {
            &mut self.extras
        } else {
            &mut self.firsts
        }
        .push_back(now);
        let permit = Permit {
            id: wait.id,
            service: self.service.clone(),
            epoch: self.epoch,
            serial: self.serial,
            origin: at.origin.clone(),
            sent: wait.sent,
            held: now - wait.since,
            takes: Duration::from_secs_f64(at.took.clamp(0.0, 60.0)),
        };
        self.out.push((wait.from, permit.into()));
    }

    /// Calls under way by permits of an earlier holder.
    pub fn underway(&mut self, now: Duration, told: CallsInProgress) {
        for (epoch, serial, origin, left) in told.calls {
            if epoch < self.epoch {
                self.calls.insert(
                    (epoch, serial),
                    CallInFlight {
                        origin,
                        rank: 0,
                        since: now,
                        until: now + left + UNTOLD,
                        extra: false,
                    },
                );
            }
        }
    }

    pub fn done(&mut self, now: Duration, done: CallDone) {
        if done.epoch == 0
            && let Some(room) = &mut self.whole
        {
            // An edge went alone.
            room.take(now);
        }
        let Some(call) = self.calls.remove((done.epoch, done.serial)) else {
            return;
        };
        match done.result {
            CallResult::Success => {
                if let Some(at) = self.origins.get_mut(&call.origin) {
                    at.took = at.took * 0.9 + done.took.as_secs_f64().max(0.001) * 0.1;
                }
                let since = now - done.took.min(now);
                if let Some(at) = self
                    .origins
                    .get_mut(&call.origin)
                    .filter(|_| self.proof == Proof::Named)
                {
                    at.fails = 0;
                }
                if self
                    .origins
                    .get(&call.origin)
                    .is_some_and(|at| at.proof.is_some())
                {
                    self.proven(since, call.origin);
                }
            }
            CallResult::Failure => self.failed(now, call.origin, ASIDE),
            CallResult::Unreachable => self.failed(now, call.origin, ASIDE),
            // Full, or about to leave: others first for a moment.
            CallResult::NotExecuted => self.failed(now, call.origin, FULL),
            // Its place is another's: only the list can bring it back.
            CallResult::WrongInstance => self.failed(now, call.origin, GONE),
            // Its place is another's once the origin has seen the end.
            CallResult::Cancelled => {
                let until = call.until.min(now + CANCEL_SEEN);
                self.calls
                    .insert((done.epoch, done.serial), CallInFlight { until, ..call });
            }
            CallResult::Unused => {
                // Not called: the token goes back, within the burst.
                let room = self.origins.get_mut(&call.origin).map(|at| &mut at.room);
                room.into_iter()
                    .chain(&mut self.whole)
                    .for_each(TokenBucket::give_back);
                if call.extra {
                    &mut self.extras
                } else {
                    &mut self.firsts
                }
                .pop_back();
            }
        }
        self.pump_soon(now);
    }

    /// The origin showed who it is, in a call that began at `since`. Counts
    /// only with a connection that stood by then; a first proof is a probe's,
    /// which is sent only once it does.
    pub fn proven(&mut self, since: Duration, address: SocketAddr) {
        if let Some(at) = self
            .origins
            .get_mut(&address)
            .filter(|at| at.watch == Watch::Open)
        {
            at.proof = at.proof.max(Some(since));
            at.fails = 0;
            at.aside = Duration::ZERO;
        }
    }

    /// Set aside, the second time for longer, and to be proven anew.
    pub fn failed(&mut self, now: Duration, address: SocketAddr, span: Duration) {
        if let Some(at) = self.origins.get_mut(&address) {
            at.proof = None;
            at.fails += 1;
            at.aside = now + span * at.fails.min(2);
        }
    }

    /// Origins to which a connection shall be opened now.
    pub fn watches(&mut self, now: Duration) -> Vec<SocketAddr> {
        // Who is named with each call need not be watched.
        let sealed = self.proof == Proof::Seal;
        let due = self
            .origins
            .values_mut()
            .filter(|at| sealed && at.watch == Watch::None && at.aside <= now);
        due.map(|at| {
            at.watch = Watch::Asked;
            at.origin.address
        })
        .collect()
    }

    /// The connection stands, or has ended and with it the proof.
    pub fn watched(&mut self, now: Duration, address: SocketAddr, open: bool) {
        let Some(at) = self.origins.get_mut(&address) else {
            return;
        };
        if open {
            at.watch = Watch::Open;
            return;
        }
        // One that ended while it stood may only have lost patience.
        if at.watch == Watch::Asked {
            self.failed(now, address, ASIDE);
        }
        let at = self.origins.get_mut(&address).expect("just seen");
        (at.watch, at.proof) = (Watch::None, None);
    }

    /// Origins to probe now. A probe is a call and costs a token; it goes
    /// before errands, since without proof there are none.
    pub fn probes(&mut self, now: Duration) -> Vec<Origin> {
        self.forget_old(now);
        let mut out = Vec::new();
        for at in self.origins.values_mut() {
            let fresh = at
                .proof
                .is_some_and(|proof| now < proof + lease::ORIGIN_PROOF_REFRESH);
            let busy = at
                .probing
                .is_some_and(|since| now < since + lease::ORIGIN_PROOF_VALIDITY);
            if !fresh && !busy && at.aside <= now && at.room.has() && at.watch == Watch::Open {
                at.room.take(now);
                at.probing = Some(now);
                out.push(at.origin.clone());
            }
        }
        out
    }

    /// A probe of `origin` ended. True if its standing changed.
    pub fn probed(&mut self, now: Duration, origin: &Origin, good: bool) -> bool {
        let Some(at) = self
            .origins
            .get_mut(&origin.address)
            .filter(|at| at.origin == *origin)
        else {
            return false;
        };
        let before = at.proof.is_some();
        let since = at.probing.take().unwrap_or(now);
        if good {
            self.proven(since, origin.address)
        } else {
            self.failed(now, origin.address, ASIDE)
        }
        self.pump(now);
        before != good
    }

    /// How each origin stands, for operators.
    pub fn found(&self, now: Duration) -> Vec<OriginHealth> {
        let condition = |at: &OriginAt| match at.proof {
            _ if at.aside > now => OriginCondition::Ejected,
            _ if self.shown(now, at) => OriginCondition::Proven,
            _ => OriginCondition::Unproven,
        };
        let one = |at: &OriginAt| OriginHealth {
            address: at.origin.address,
            service: at.origin.service.clone(),
            instance: at.origin.instance.clone(),
            condition: condition(at),
            calls: self.under(at.origin.address) as u32,
        };
        self.origins.values().map(one).collect()
    }
}

/// A call that often fits into a request's time is short.
const SHORT: f64 = 4.0;
/// An origin with so many places serves what is shared.
const MANY: f64 = 8.0;
/// What the way adds to a call within a zone, within a region and beyond, in s.
const WAY_S: [f64; 3] = [0.0, 0.002, 0.04];

/// How long a group without any origin is given for one to be listed.
const PATIENCE: Duration = Duration::from_secs(1);
