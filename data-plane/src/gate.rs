use crate::prelude::*;

/// The gate of one origin group: hands out short-lived permits by rank.
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
pub struct Gate {
    pub service: String,
    pub epoch: u64,
    allowance: usize,
    rate: f64,
    concurrency: u32,
    proof: Proof,
    /// What all origins together may get, if that is bounded.
    whole: Option<Room>,
    origins: BTreeMap<SocketAddr, OriginAt>,
    waits: Vec<Wait>,
    calls: HashMap<(u64, u64), Under>,
    firsts: VecDeque<Duration>,
    extras: VecDeque<Duration>,
    arrivals: VecDeque<(Duration, u32)>,
    began: Duration,
    serial: u64,
    out: Vec<(SocketAddr, Message)>,
}

struct OriginAt {
    origin: Origin,
    room: Room,
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

struct Under {
    origin: SocketAddr,
    rank: u32,
    since: Duration,
    until: Duration,
    extra: bool,
}

impl Under {
    /// Seconds since it was given.
    fn age(&self, now: Duration) -> f64 {
        now.saturating_sub(self.since).as_secs_f64()
    }
}

const WINDOW: Duration = Duration::from_secs(10);
/// Of a whole rate the gate gives out this part. The edges have a tenth for when
/// the gate is silent, told afterwards and counted here: with a change of holder
/// 0.95 x 5 s + 0.25 s + a burst of 0.1 s + 0.1 x 5.5 s stays below 110 % of 5 s
/// while four of five edges cannot tell.
const GATE_PART: f64 = 0.95;
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
/// One that turned an errand away is left alone this long.
const FULL: Duration = Duration::from_millis(100);
/// One whose address is another's now.
const GONE: Duration = Duration::from_secs(5);

impl Gate {
    /// `allowance`: extra tries in ten seconds beside a fifth of the first ones.
    pub fn new(now: Duration, service: &str, epoch: u64, allowance: usize) -> Gate {
        Gate {
            service: service.into(),
            epoch,
            allowance,
            rate: 1.0,
            concurrency: 1,
            proof: Proof::Seal,
            whole: None,
            origins: BTreeMap::new(),
            waits: Vec::new(),
            calls: HashMap::new(),
            firsts: VecDeque::new(),
            extras: VecDeque::new(),
            arrivals: VecDeque::new(),
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
            (whole, rate) => *whole = rate.map(|rate| Room::with(now, rate, rate * AT_ONCE_S)),
        }
        // What is left of it is for edges that cannot reach the gate.
        if let Some(room) = self.whole.as_mut().filter(|_| group.proof == Proof::Named) {
            room.rate *= GATE_PART;
        }
        self.origins
            .values_mut()
            .for_each(|at| at.room.rate = group.rate);
        let wanted: Vec<&Origin> = origins
            .iter()
            .filter(|origin| origin.service == self.service && !origin.leaving)
            .collect();
        self.origins
            .retain(|_, known| wanted.contains(&&known.origin));
        for origin in wanted {
            self.origins
                .entry(origin.address)
                .or_insert_with(|| OriginAt {
                    origin: origin.clone(),
                    room: Room::new(now, group.rate),
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
        self.proof == Proof::Named || at.proof.is_some_and(|proof| now < proof + lease::PROOF)
    }

    fn under(&self, address: SocketAddr) -> usize {
        self.calls
            .values()
            .filter(|call| call.origin == address)
            .count()
    }

    fn usable(&self, now: Duration) -> impl Iterator<Item = &OriginAt> {
        self.origins.values().filter(move |at| at.aside <= now)
    }

    /// What a call takes at this origin now: as the last ones did, or as those
    /// under way already show.
    fn takes(&self, now: Duration, at: &OriginAt) -> f64 {
        let ages: Vec<f64> = self
            .calls
            .values()
            .filter(|call| call.origin == at.origin.address)
            .map(|call| call.age(now))
            .collect();
        at.took
            .max(ages.iter().sum::<f64>() / ages.len().max(1) as f64)
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
        self.arrivals
            .iter()
            .filter(|(_, known)| *known > rank)
            .count() as f64
            / FORESEE.as_secs_f64()
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
        let again = |call: &Under| (call.age(now) / takes).min(1.0);
        let reused: f64 = self
            .calls
            .values()
            .filter(|call| call.rank > rank)
            .map(again)
            .sum();
        let needed = (higher * takes).min(places) - reused;
        places - self.calls.len() as f64 - 1.0 >= needed.floor().max(0.0)
    }

    pub fn knock(&mut self, now: Duration, from: SocketAddr, knock: PermitRequest) {
        let PermitRequest {
            id,
            rank,
            wait,
            sent,
            extra,
            call,
            aim,
            zone,
            region,
            avoid,
            ..
        } = knock;
        if let Some(known) = self
            .waits
            .iter_mut()
            .find(|known| (known.from, known.id) == (from, id))
        {
            known.sent = sent;
            known.since = now;
            return self.out.push((from, PermitQueued { id }.into()));
        }
        self.arrivals.push_back((now, rank));
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
        self.pump(now);
        if self.waits.iter().any(|wait| (wait.from, wait.id) == mine) {
            self.out.push((from, PermitQueued { id }.into()));
        }
    }

    /// Gives what can be given and turns away at once who cannot get through.
    pub fn pump(&mut self, now: Duration) {
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
            (&mut self.firsts, WINDOW - lease::PERMIT),
            (&mut self.extras, WINDOW + lease::PERMIT),
        ] {
            while list.front().is_some_and(|at| now >= *at + span) {
                list.pop_front();
            }
        }
        while self
            .arrivals
            .front()
            .is_some_and(|(at, _)| now >= *at + FORESEE)
        {
            self.arrivals.pop_front();
        }
        self.calls.retain(|_, call| now < call.until);
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
    ) -> Option<(AwayReason, Duration)> {
        if now < wait.until && !self.may_try(now, wait) {
            return Some((AwayReason::Budget, Duration::from_secs(1)));
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
            return Some((AwayReason::NoOrigin, soonest.unwrap_or(ASIDE)));
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
                AwayReason::Busy,
                due.clamp(Duration::from_secs(1), Duration::from_secs(30)),
            )
        })
    }

    /// The origin that may be called and will answer first, as far as can be
    /// told: by the share of its places in use, what calls take there and the
    /// way. One that failed this errand already is the last choice. Where an
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
            Under {
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
                    Under {
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
        let Some(call) = self.calls.remove(&(done.epoch, done.serial)) else {
            return;
        };
        match done.result {
            CallResult::Good => {
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
            CallResult::Bad => self.failed(now, call.origin, ASIDE),
            CallResult::Refused => self.failed(now, call.origin, ASIDE),
            // Full, or about to leave: others first for a moment.
            CallResult::NotRun => self.failed(now, call.origin, FULL),
            // Its place is another's: only the list can bring it back.
            CallResult::Stranger => self.failed(now, call.origin, GONE),
            CallResult::Unused => {
                // Not called: the token goes back, within the burst.
                let room = self.origins.get_mut(&call.origin).map(|at| &mut at.room);
                room.into_iter()
                    .chain(&mut self.whole)
                    .for_each(Room::give_back);
                if call.extra {
                    &mut self.extras
                } else {
                    &mut self.firsts
                }
                .pop_back();
            }
        }
        self.pump(now);
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
                .is_some_and(|proof| now < proof + lease::PROOF_RENEW);
            let busy = at.probing.is_some_and(|since| now < since + lease::PROOF);
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
    pub fn found(&self, now: Duration) -> Vec<OriginFound> {
        let condition = |at: &OriginAt| match at.proof {
            _ if at.aside > now => OriginCondition::Aside,
            _ if self.shown(now, at) => OriginCondition::Proven,
            _ => OriginCondition::Unproven,
        };
        let one = |at: &OriginAt| OriginFound {
            address: at.origin.address,
            service: at.origin.service.clone(),
            instance: at.origin.instance.clone(),
            condition: condition(at),
            calls: self.under(at.origin.address) as u32,
        };
        self.origins.values().map(one).collect()
    }
}

/// A call that often fits into an errand's time is short.
const SHORT: f64 = 4.0;
/// An origin with so many places serves what is shared.
const MANY: f64 = 8.0;
/// What the way adds to a call within a zone, within a region and beyond, in s.
const WAY_S: [f64; 3] = [0.0, 0.002, 0.04];

/// How long a group without any origin is given for one to be listed.
const PATIENCE: Duration = Duration::from_secs(1);

#[cfg(test)]
mod tests {
    use crate::prelude::*;

    fn at(ms: u64) -> Duration {
        Duration::from_millis(ms)
    }

    fn origin(port: u16) -> Origin {
        Origin {
            address: SocketAddr::from(([127, 0, 0, 1], port)),
            service: "s".into(),
            instance: format!("i{port}"),
            leaving: false,
            zone: String::new(),
            region: String::new(),
            capacity: 0,
            cold_ms: 0,
        }
    }

    fn group(rate: f64, concurrency: u32) -> Group {
        Group {
            service: "s".into(),
            rate,
            concurrency,
            key: String::new(),
            proof: Proof::Seal,
            total_rate: None,
            sessions: None,
            probe: None,
            keeps_keys: false,
        }
    }

    fn knock(id: u64, rank: u32, wait: u64, extra: bool) -> PermitRequest {
        PermitRequest {
            service: "s".into(),
            id,
            rank,
            wait: at(wait),
            sent: at(0),
            extra,
            call: at(2000),
            aim: at(wait),
            zone: String::new(),
            region: String::new(),
            avoid: vec![],
        }
    }

    /// All but that somebody stands in line.
    fn said(gate: &mut Gate) -> Vec<(SocketAddr, Message)> {
        gate.take_out()
            .into_iter()
            .filter(|(_, message)| !matches!(message, Message::PermitQueued(_)))
            .collect()
    }

    #[test]
    fn who_waits_is_told_so_each_time_it_asks() {
        let mut gate = Gate::new(at(0), "s", 1, 3);
        gate.update(at(0), &group(100.0, 9), &[origin(1)]);
        for ms in [400, 600] {
            gate.knock(at(ms), origin(9).address, knock(1, 1, 5000, false));
            assert!(
                matches!(gate.take_out().as_slice(), [(to, Message::PermitQueued(PermitQueued { id: 1 }))] if *to == origin(9).address),
                "nothing is proven yet"
            );
        }
        gate.watched(at(650), origin(1).address, true);
        let probe = gate.probes(at(700)).remove(0);
        gate.probed(at(710), &probe, true);
        assert!(matches!(
            gate.take_out().as_slice(),
            [(_, Message::Permit(_))]
        ));
    }

    /// Many errands of two seconds, calls of a quarter: the higher ones just
    /// wait for the next place, and none stays empty for them.
    #[test]
    fn where_calls_are_short_no_place_is_kept_and_who_can_be_in_its_aim_goes_first() {
        let mut ends = vec![];
        let mut run = Run::new(0, 1, 1000.0, 4);
        for id in 0..3000u64 {
            // 4 a second of the high rank, 14 of the low one, where 16 fit.
            if id % 25 == 0 || id % 7 == 1 {
                let aim = if id % 2 == 0 { at(100) } else { at(800) };
                run.gate.knock(
                    at(run.now),
                    origin(9).address,
                    PermitRequest {
                        aim,
                        ..knock(id, u32::from(id % 25 == 0) * 8 + 1, 2000, false)
                    },
                );
            }
            run.step(250, &mut ends);
        }
        let given = run.given.iter().filter(|(when, _)| *when > 5000).count();
        assert!(given >= 24 * 16, "{given} in 25 s on four places of 250 ms");
        let high: Vec<u64> = run
            .given
            .iter()
            .filter(|(_, id)| id % 25 == 0)
            .map(|(when, id)| when - id * 10)
            .collect();
        assert!(
            high.len() >= 118 && high.iter().all(|wait| *wait <= 300),
            "{} of 120",
            high.len()
        );
    }

    #[test]
    fn all_origins_of_a_service_share_its_whole_rate_and_what_edges_send_alone_counts() {
        let named = Group {
            proof: Proof::Named,
            total_rate: Some(100.0),
            ..group(9999.0, 99)
        };
        let mut gate = Gate::new(at(0), "s", 1, 3);
        gate.update(at(0), &named, &[origin(1), origin(2)]);
        let mut calls = vec![];
        for id in 0..2000u64 {
            let now = at(id * 5);
            gate.knock(now, origin(9).address, knock(id, 1, 60_000, false));
            if id % 20 == 0 {
                calls.push(id * 5);
                gate.done(
                    now,
                    CallDone {
                        service: "s".into(),
                        epoch: 0,
                        serial: 0,
                        result: CallResult::Good,
                        took: at(5),
                    },
                );
            }
            for (_, message) in said(&mut gate) {
                if let Message::Permit(permit) = message {
                    calls.push(id * 5);
                    gate.done(
                        now,
                        CallDone {
                            service: "s".into(),
                            epoch: 1,
                            serial: permit.serial,
                            result: CallResult::Good,
                            took: at(5),
                        },
                    );
                }
            }
        }
        let most = most_in(&calls, 5000);
        assert!((470..=530).contains(&most), "{most} in 5 s at 100/s in all");
    }

    struct Run {
        gate: Gate,
        now: u64,
        given: Vec<(u64, u64)>,
        away: Vec<(u64, u64, AwayReason)>,
        calls: Vec<u64>,
    }

    impl Run {
        fn new(began: u64, epoch: u64, rate: f64, concurrency: u32) -> Run {
            let mut gate = Gate::new(at(began), "s", epoch, 3);
            gate.update(at(began), &group(rate, concurrency), &[origin(1)]);
            gate.watched(at(began), origin(1).address, true);
            Run {
                gate,
                now: began,
                given: vec![],
                away: vec![],
                calls: vec![],
            }
        }

        /// One step of 10 ms; every permit is used at once and ends after `took`.
        fn step(&mut self, took: u64, ends: &mut Vec<(u64, CallDone)>) {
            self.now += 10;
            for probe in self.gate.probes(at(self.now)) {
                self.calls.push(self.now);
                self.gate.probed(at(self.now), &probe, true);
            }
            let (due, later) = std::mem::take(ends)
                .into_iter()
                .partition(|(when, _)| *when <= self.now);
            *ends = later;
            for (_, done) in due as Vec<(u64, CallDone)> {
                self.gate.done(at(self.now), done);
            }
            self.gate.pump(at(self.now));
            for (_, message) in self.gate.take_out() {
                match message {
                    Message::Permit(permit) => {
                        self.given.push((self.now, permit.id));
                        self.calls.push(self.now);
                        let done = CallDone {
                            service: "s".into(),
                            epoch: permit.epoch,
                            serial: permit.serial,
                            result: CallResult::Good,
                            took: at(took),
                        };
                        ends.push((self.now + took, done));
                    }
                    Message::PermitRefused(away) => {
                        self.away.push((self.now, away.id, away.reason))
                    }
                    Message::PermitQueued(_) => {}
                    other => panic!("{other:?}"),
                }
            }
        }
    }

    fn most_in(calls: &[u64], span: u64) -> usize {
        calls
            .iter()
            .map(|from| {
                calls
                    .iter()
                    .filter(|call| **call >= *from && **call < from + span)
                    .count()
            })
            .max()
            .unwrap_or(0)
    }

    #[test]
    fn any_five_seconds_stay_within_the_rate_also_over_a_change_of_holder() {
        let mut ends = vec![];
        let mut first = Run::new(0, 1, 20.0, 50);
        for id in 0..2000 {
            first.gate.knock(
                at(first.now),
                origin(9).address,
                knock(id, 1, 60_000, false),
            );
            first.step(5, &mut ends);
        }
        let mut next = Run::new(first.now + 100, 3, 20.0, 50);
        for id in 0..2000 {
            next.gate
                .knock(at(next.now), origin(9).address, knock(id, 1, 60_000, false));
            next.step(5, &mut ends);
        }
        let calls = [first.calls, next.calls].concat();
        let most = most_in(&calls, 5000);
        assert!(
            (95..=104).contains(&most),
            "{most} calls in 5 s at 20/s, probes included"
        );
    }

    #[test]
    fn a_higher_rank_keeps_its_share_and_the_lower_is_told_at_once() {
        let mut ends = vec![];
        let mut run = Run::new(0, 1, 20.0, 50);
        // 33 a second are asked where 20 may be called, half of high rank.
        for id in 0..6000u64 {
            if id % 3 == 0 {
                run.gate.knock(
                    at(run.now),
                    origin(9).address,
                    knock(id, if id % 6 == 0 { 9 } else { 1 }, 2000, false),
                );
            }
            run.step(5, &mut ends);
        }
        let share = |high: bool| {
            let mine = |id: &u64| id.is_multiple_of(6) == high && *id > 500;
            let asked = (0..6000u64).filter(|id| id % 3 == 0 && mine(id)).count();
            run.given.iter().filter(|(_, id)| mine(id)).count() as f64 / asked as f64
        };
        assert!(share(true) > 0.97, "high {}", share(true));
        assert!(
            share(false) < 0.3 && share(false) > 0.1,
            "low {}",
            share(false)
        );
        // Those turned away in the steady state hear it well before their deadline.
        let waited = run
            .away
            .iter()
            .filter(|(_, id, _)| *id > 1000)
            .map(|(when, id, _)| when - id * 10);
        assert!(waited.clone().count() > 50);
        assert!(waited.max().unwrap() < 1500);
    }

    #[test]
    fn slow_origins_are_bounded_by_concurrency_and_rank_still_goes_first() {
        let mut ends = vec![];
        let mut run = Run::new(0, 1, 1000.0, 2);
        for id in 0..3000u64 {
            run.gate.knock(
                at(run.now),
                origin(9).address,
                knock(id, if id % 50 == 0 { 9 } else { 1 }, 2000, false),
            );
            run.step(400, &mut ends);
            assert!(run.gate.calls.len() <= 2);
        }
        let high = run.given.iter().filter(|(_, id)| id % 50 == 0).count();
        assert!(
            high >= 55,
            "{high} of 60 of the high rank, with two calls of 400 ms at a time"
        );
    }

    /// The origins are suddenly so slow that a call holds its place for
    /// seconds: those the lower rank took before the higher came are gone for
    /// that long, so it may not take them all.
    #[test]
    fn slow_origins_are_not_filled_by_the_lower_rank_while_the_higher_keeps_coming() {
        let mut ends = vec![];
        let mut run = Run::new(0, 1, 1000.0, 8);
        for id in 0..4000u64 {
            // 3 a second of the high rank, 30 of the low one.
            let high = id % 33 == 0;
            if high || id % 3 == 1 {
                run.gate.knock(
                    at(run.now),
                    origin(9).address,
                    knock(id, if high { 9 } else { 1 }, 1500, false),
                );
            }
            run.step(if id < 500 { 10 } else { 2000 }, &mut ends);
        }
        let asked = (0..3800u64).filter(|id| id % 33 == 0).count();
        let given: Vec<u64> = run
            .given
            .iter()
            .filter(|(_, id)| id % 33 == 0)
            .map(|(when, id)| when - id * 10)
            .collect();
        assert!(
            given.len() >= asked * 95 / 100,
            "{} of {asked} of the high rank",
            given.len()
        );
        let late = run
            .away
            .iter()
            .filter(|(when, id, _)| *id > 600 && when - id * 10 > 1000)
            .count();
        assert!(
            late * 10 <= run.away.len(),
            "{late} of {} heard late",
            run.away.len()
        );
    }

    #[test]
    fn a_rate_of_one_a_second_is_kept_in_any_five_seconds_too() {
        for (rate, bound) in [(1.0, 5), (0.2, 1), (7.0, 38)] {
            let mut ends = vec![];
            let mut run = Run::new(0, 1, rate, 50);
            for id in 0..6000 {
                run.gate
                    .knock(at(run.now), origin(9).address, knock(id, 1, 60_000, false));
                run.step(5, &mut ends);
            }
            // Each may be used up to a `PERMIT` late.
            assert!(
                most_in(&run.calls, 5200) <= bound,
                "{} in 5 s at {rate}/s",
                most_in(&run.calls, 5200)
            );
            assert!(run.calls.len() > 10);
        }
    }

    #[test]
    fn extra_tries_stay_within_a_fifth_and_the_allowance_is_earned_first() {
        let mut run = Run::new(0, 1, 1000.0, 500);
        let mut ends = vec![];
        for id in 0..1000u64 {
            run.gate.knock(
                at(run.now),
                origin(9).address,
                knock(id, 1, 2000, id % 2 == 0),
            );
            run.step(5, &mut ends);
            let gate = &run.gate;
            let earned = if run.now >= 10_000 { 3 } else { 0 };
            assert!(gate.extras.len() <= gate.firsts.len() / 5 + earned);
        }
        assert!(
            run.away
                .iter()
                .any(|(_, _, reason)| *reason == AwayReason::Budget)
        );
        assert!(run.gate.extras.len() > 50);
    }

    #[test]
    fn an_origin_is_called_only_once_it_has_shown_who_it_is_and_not_while_aside() {
        let mut gate = Gate::new(at(0), "s", 1, 3);
        gate.update(at(0), &group(100.0, 9), &[origin(1), origin(2)]);
        assert_eq!(gate.watches(at(1)).len(), 2);
        assert!(gate.probes(at(350)).is_empty(), "no connection stands yet");
        gate.watched(at(2), origin(1).address, true);
        gate.watched(at(2), origin(2).address, true);
        gate.knock(at(400), origin(9).address, knock(1, 1, 5000, false));
        assert!(said(&mut gate).is_empty(), "nothing is proven");
        let probes = gate.probes(at(500));
        assert_eq!(probes.len(), 2);
        gate.probed(at(510), &probes[0], false);
        assert!(said(&mut gate).is_empty());
        gate.probed(at(520), &probes[1], true);
        let out = said(&mut gate);
        let [(_, Message::Permit(permit))] = out.as_slice() else {
            panic!("{out:?}")
        };
        assert_eq!(permit.origin, probes[1]);
        // The connection ends: the next process there must show itself first.
        gate.watched(at(600), origin(2).address, false);
        gate.knock(at(610), origin(9).address, knock(3, 1, 100, false));
        assert!(said(&mut gate).is_empty());
        gate.watched(at(620), origin(2).address, true);
        let probe = gate.probes(at(650)).remove(0);
        gate.probed(at(660), &probe, true);
        assert!(matches!(
            said(&mut gate).as_slice(),
            [(_, Message::Permit(_))]
        ));
        // The proof ages; without a newer one no more permits.
        gate.knock(at(2700), origin(9).address, knock(2, 1, 5000, false));
        assert!(said(&mut gate).is_empty());
        // Listed under another instance it must be proven again.
        let other = Origin {
            instance: "new".into(),
            ..origin(2)
        };
        gate.update(at(2700), &group(100.0, 9), std::slice::from_ref(&other));
        assert!(
            !gate.probed(at(2800), &probes[1], true),
            "the old instance's probe counts for nothing"
        );
        assert!(said(&mut gate).is_empty());
    }

    #[test]
    fn all_origins_failing_is_told_at_once_and_a_leaving_one_gets_no_permit() {
        let mut gate = Gate::new(at(0), "s", 1, 3);
        gate.update(at(0), &group(100.0, 9), &[origin(1)]);
        gate.watched(at(0), origin(1).address, true);
        let probe = gate.probes(at(400)).remove(0);
        gate.probed(at(400), &probe, false);
        gate.knock(at(410), origin(9).address, knock(1, 1, 5000, false));
        assert!(matches!(
            said(&mut gate).as_slice(),
            [(
                _,
                Message::PermitRefused(PermitRefused {
                    reason: AwayReason::NoOrigin,
                    ..
                })
            )]
        ));
        let probe = gate.probes(at(1000)).remove(0);
        gate.probed(at(1000), &probe, true);
        gate.update(
            at(1001),
            &group(100.0, 9),
            &[Origin {
                leaving: true,
                ..origin(1)
            }],
        );
        gate.knock(at(1002), origin(9).address, knock(2, 1, 5000, false));
        assert!(
            !said(&mut gate)
                .iter()
                .any(|(_, message)| matches!(message, Message::Permit(_)))
        );
    }

    #[test]
    fn a_new_holder_counts_calls_that_began_under_the_one_before() {
        let mut run = Run::new(0, 5, 1000.0, 2);
        run.gate.underway(
            at(10),
            CallsInProgress {
                service: "s".into(),
                calls: vec![
                    (3, 1, origin(1).address, at(900)),
                    (3, 2, origin(1).address, at(900)),
                ],
            },
        );
        let mut ends = vec![];
        run.gate
            .knock(at(10), origin(9).address, knock(1, 1, 5000, false));
        for _ in 0..60 {
            run.step(5, &mut ends);
        }
        assert!(run.given.is_empty());
        run.gate.done(
            at(run.now),
            CallDone {
                service: "s".into(),
                epoch: 3,
                serial: 2,
                result: CallResult::Good,
                took: at(600),
            },
        );
        run.step(5, &mut ends);
        assert_eq!(run.given.len(), 1);
    }
}
