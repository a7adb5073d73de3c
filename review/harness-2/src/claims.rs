//! A machine stands still for a moment while a service is full: claims of operation keys that wait
//! there arrive after both tries of their clients have been refused.
use crate::fleet::{CONTINUE, Fleet, ProcessStart, Role, STOP, TERMINATE, first_change, rule};
use crate::http::Connection;
use crate::origin::Origin;
use crate::record::Record;
use crate::{Failure, Verdict};
use std::collections::BTreeMap;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::thread;
use std::time::{Duration, Instant};

/// Operation keys of one round, each of one client.
const KEYS: u64 = 30;
/// Time after which no further round begins; the first in which keys are stuck is the last.
const ROUNDS_UNTIL: Duration = Duration::from_secs(80);
/// Clients of edges 0 and 1 that poll the same service while it is full, the pause of each, and the
/// time for which they do so before the keyed requests come.
const POLLERS: u64 = 6;
const POLL_PAUSE: Duration = Duration::from_millis(10);
const FULL_BEFORE: Duration = Duration::from_millis(400);
/// Time over which the clients' first tries are spread, around the moment of the pause.
const SPREAD: Duration = Duration::from_millis(50);
/// Time from the first of them to the pause.
const BEFORE_PAUSE: Duration = Duration::from_millis(10);
/// For how long the machine stands still, in milliseconds, round by round.
const PAUSES_MS: [u64; 4] = [360, 330, 390, 345];
/// `catch_up_s` + `contact_window_s`, after which every machine is in touch again.
const CALM_AFTER: Duration = Duration::from_secs(7);
/// Further tries of each key once all is calm, and the time between them; the last is sent some
/// 20 s after the first one, well inside `key_window_s` (60).
const LATER_TRIES: usize = 3;
const BETWEEN_TRIES: Duration = Duration::from_secs(4);
const LEAD: Duration = Duration::from_secs(8);
const PATIENCE: Duration = Duration::from_secs(20);
const READ_TIMEOUT: Duration = Duration::from_secs(3);
const WORK: Duration = Duration::from_millis(20);
const MACHINES: [usize; 3] = [0, 1, 2];
/// The operators' list need not be in the order of addresses.
const SEEDS: [usize; 3] = [2, 1, 0];
const PAUSED: usize = 2;

/// Runs the case.
pub fn run(record: &Record, has_trouble: bool) -> Result<Verdict, Failure> {
    let fleet = Fleet::new(&MACHINES)?;
    let mut origins = Vec::new();
    for _ in 0..4 {
        origins.push(fleet.add_origin("core", WORK, 1_500)?);
    }
    for machine in MACHINES {
        for role in [Role::Control, Role::Edge] {
            fleet.start(&ProcessStart {
                machine,
                role,
                bootstrap: true,
                seeds: &SEEDS,
            })?;
        }
    }
    thread::sleep(LEAD);
    let keyed = rule("r1", "/k/", "keyed", "core", 1, "");
    let polled = rule("r2", "/i/", "idempotent", "core", 1, "");
    let change = first_change(&["core"], &format!("{keyed},{polled}"));
    fleet
        .change(record, &MACHINES, &change, PATIENCE)
        .ok_or("the first change was not acknowledged")?;
    if !fleet.await_ready(&MACHINES, PATIENCE) {
        return Err("the edges are not ready".into());
    }
    move_admission_control(record, &fleet)?;
    let case = Case {
        record,
        fleet: &fleet,
        origins: &origins,
        sent: AtomicU64::new(0),
    };
    for machine in MACHINES {
        let status = case.send(machine, &format!("warm-{machine}"));
        record.line(&format!(
            "edge {machine}: a first keyed request gets {status}"
        ));
    }
    let mut denied = 0;
    let mut round = 0;
    while denied == 0 && record.elapsed() < ROUNDS_UNTIL {
        round += 1;
        denied = case.play_round(round, has_trouble);
    }
    let sent = case.sent.load(Ordering::Relaxed);
    let allowed = 5 + sent / 500;
    record.line(&format!(
        "{sent} requests sent; {denied} got 409 for a key that no origin had run and no other request had; allowed {allowed}"
    ));
    Ok(if denied > allowed {
        Verdict::Broken
    } else {
        Verdict::Held
    })
}

/// If the service's admission control runs at the edge that is to stand still, that edge is stopped
/// in order and started again, after which another one has it. Else refusals would wait for it.
fn move_admission_control(record: &Record, fleet: &Fleet) -> Result<(), Failure> {
    let holder = fleet.holder("gate/core", &MACHINES);
    record.line(&format!(
        "admission control of the service runs at edge {holder:?}"
    ));
    if holder != Some(PAUSED) {
        return Ok(());
    }
    fleet.signal(PAUSED, Role::Edge, TERMINATE);
    let until = Instant::now() + PATIENCE;
    while fleet.ended(PAUSED, Role::Edge).is_none() && Instant::now() < until {
        thread::sleep(Duration::from_millis(50));
    }
    fleet.start(&ProcessStart {
        machine: PAUSED,
        role: Role::Edge,
        bootstrap: false,
        seeds: &SEEDS,
    })?;
    if !fleet.await_ready(&MACHINES, PATIENCE) {
        return Err("the edge that was stopped in order is not ready".into());
    }
    let holder = fleet.holder("gate/core", &MACHINES);
    record.line(&format!(
        "edge {PAUSED} was stopped in order and started again; now it runs at edge {holder:?}"
    ));
    thread::sleep(CALM_AFTER);
    Ok(())
}

struct Case<'a> {
    record: &'a Record,
    fleet: &'a Fleet,
    origins: &'a [Arc<Origin>],
    sent: AtomicU64,
}

impl Case<'_> {
    /// Plays one round. Returns the number of later tries that got 409 for a key not at work.
    fn play_round(&self, round: u64, has_trouble: bool) -> u64 {
        self.set_full(true);
        self.record.line(&format!(
            "round {round}: the service is full; {POLLERS} clients poll it, {KEYS} clients send a keyed request to edge 0, and after a refusal at once to edge 1"
        ));
        let is_over = AtomicBool::new(false);
        thread::scope(|scope| {
            for poller in 0..POLLERS {
                let is_over = &is_over;
                scope.spawn(move || {
                    while !is_over.load(Ordering::Acquire) {
                        self.poll(poller as usize % 2);
                        thread::sleep(POLL_PAUSE);
                    }
                });
            }
            thread::sleep(FULL_BEFORE);
            self.send_keys(round, has_trouble);
            is_over.store(true, Ordering::Release);
        });
        self.set_full(false);
        self.record
            .line("the service takes requests again; nothing is disturbed from now on");
        thread::sleep(CALM_AFTER);
        let mut denied = 0;
        for attempt in 0..LATER_TRIES {
            denied += self.try_again(round, attempt);
            if denied == 0 {
                break;
            }
            thread::sleep(BETWEEN_TRIES);
        }
        denied
    }

    /// Sends each key to edge 0 and after a refusal to edge 1, while the machine stands still.
    fn send_keys(&self, round: u64, has_trouble: bool) {
        thread::scope(|scope| {
            for number in 0..KEYS {
                scope.spawn(move || {
                    thread::sleep(SPREAD * number as u32 / KEYS as u32);
                    let key = key_of(round, number);
                    let first = self.send(0, &key);
                    let first_until = self.record.elapsed().as_secs_f64();
                    let second = matches!(first, 429 | 503).then(|| self.send(1, &key));
                    self.record.line(&format!(
                        "    {key}: edge 0 answers {first} at {first_until:.3}, edge 1 {second:?}"
                    ));
                });
            }
            thread::sleep(BEFORE_PAUSE);
            if has_trouble {
                let pause = PAUSES_MS[(round as usize - 1) % PAUSES_MS.len()];
                self.pause_machine(Duration::from_millis(pause));
            }
        });
    }

    fn set_full(&self, is_full: bool) {
        for origin in self.origins {
            origin.is_full.store(is_full, Ordering::Release);
        }
    }

    /// Both processes of the machine stand still.
    fn pause_machine(&self, pause: Duration) {
        for role in [Role::Control, Role::Edge] {
            self.fleet.signal(PAUSED, role, STOP);
        }
        self.record.line(&format!("machine {PAUSED} stands still"));
        thread::sleep(pause);
        for role in [Role::Control, Role::Edge] {
            self.fleet.signal(PAUSED, role, CONTINUE);
        }
        self.record
            .line(&format!("machine {PAUSED} goes on after {pause:?}"));
    }

    /// Sends each key once more, one after the other at an edge. Returns how many got 409 though
    /// their key was not at work.
    fn try_again(&self, round: u64, attempt: usize) -> u64 {
        let edge = [1, 0, 2][attempt % 3];
        let mut statuses: BTreeMap<u16, u64> = BTreeMap::new();
        let results: Vec<(String, u16)> = thread::scope(|scope| {
            let tries: Vec<_> = (0..KEYS)
                .map(|number| {
                    scope.spawn(move || {
                        let key = key_of(round, number);
                        let status = self.send(edge, &key);
                        (key, status)
                    })
                })
                .collect();
            tries
                .into_iter()
                .map(|one| one.join().expect("no client panics"))
                .collect()
        });
        let mut denied = Vec::new();
        for (key, status) in results {
            *statuses.entry(status).or_default() += 1;
            if status == 409 && self.runs_of(&key) == 0 {
                denied.push(key);
            }
        }
        let most = (0..KEYS)
            .map(|number| self.runs_of(&key_of(round, number)))
            .max();
        self.record.line(&format!(
            "later try {} of each key, at edge {edge}: statuses {statuses:?}; never run, yet 409: {}; most runs of one key: {}",
            attempt + 1,
            denied.len(),
            most.unwrap_or(0)
        ));
        for key in denied.iter().take(5) {
            self.record
                .line(&format!("    {key}: 409, run by no origin"));
        }
        denied.len() as u64
    }

    /// How often origins have run a key.
    fn runs_of(&self, key: &str) -> usize {
        let count = |origin: &Arc<Origin>| {
            let keys = origin.keys.lock().expect("no holder panics");
            keys.iter().filter(|known| *known == key).count()
        };
        self.origins.iter().map(count).sum()
    }

    /// Sends one try of a key. Returns the status, 0 without an answer.
    fn send(&self, edge: usize, key: &str) -> u16 {
        let id = self.next_id();
        let headers = [
            ("Host", "shop.example"),
            ("Request-Id", id.as_str()),
            ("Operation-Key", key),
            ("Deadline-Ms", "2000"),
        ];
        Connection::open(self.fleet.frontend(edge), READ_TIMEOUT)
            .and_then(|mut connection| connection.exchange("POST", "/k/1", &headers, b"{}"))
            .map_or(0, |answer| answer.status())
    }

    /// Sends a request without a key.
    fn poll(&self, edge: usize) {
        let id = self.next_id();
        let headers = [
            ("Host", "shop.example"),
            ("Request-Id", id.as_str()),
            ("Deadline-Ms", "2000"),
        ];
        let _ = Connection::open(self.fleet.frontend(edge), READ_TIMEOUT)
            .and_then(|mut connection| connection.exchange("GET", "/i/1", &headers, b""));
    }

    fn next_id(&self) -> String {
        format!("{:08x}", self.sent.fetch_add(1, Ordering::Relaxed))
    }
}

fn key_of(round: u64, number: u64) -> String {
    format!("key-{round}-{number}")
}
