//! An edge is stopped in order while the operator shortens the time for which answers are cached.
use crate::fleet::{Fleet, ProcessStart, Role, TERMINATE, first_change, rule, rules_change};
use crate::load::{Load, Request, Unanswered};
use crate::origin::Origin;
use crate::record::Record;
use crate::{Failure, Verdict};
use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::thread;
use std::time::{Duration, Instant};

/// `cache_ttl_s` before and after the change.
const LONG_TTL: &str = "20.0";
const SHORT_TTL: &str = "1.0";
const OBJECTS: u64 = 150;
const OBJECT_BYTES: usize = 120_000;
/// Clients of each edge that read objects, and the pause of each between two requests.
const READERS: u64 = 18;
const READ_PAUSE: Duration = Duration::from_millis(12);
/// Clients of each edge that send keyed requests, and the pause of each between two.
const WRITERS: u64 = 8;
const WRITE_PAUSE: Duration = Duration::from_millis(50);
/// Work of an origin on an object, and on a keyed request.
const READ_WORK: Duration = Duration::from_millis(20);
const WRITE_WORK: Duration = Duration::from_millis(260);
const WRITE_ANSWER_BYTES: usize = 1_500;
const LEAD: Duration = Duration::from_secs(8);
const PATIENCE: Duration = Duration::from_secs(6);
/// Time for which the caches fill under the long time to live.
const WARM_TIME: Duration = Duration::from_millis(2500);
/// The change is sent this long after the operators' list of duties shows that those of the
/// stopped edge have no holder; the next holder is named some 100 ms after that.
const CHANGE_AFTER_REVOCATION: Duration = Duration::from_millis(60);
/// Interval between two looks at that list, and the longest wait for it.
const LOOK_INTERVAL: Duration = Duration::from_millis(5);
const LONGEST_LOOK: Duration = Duration::from_millis(600);
/// `config_apply_s` + 1 s, for which a change counts as planned work after its acknowledgement.
const PLANNED_AFTER_ACK: Duration = Duration::from_millis(3500);
/// `grace_period_s` and a little, for which an edge may take to end.
const END_LIMIT: Duration = Duration::from_millis(6500);
/// Time after which no further round begins.
const ROUNDS_UNTIL: Duration = Duration::from_secs(98);

/// Runs the case.
pub fn run(record: &Record, has_trouble: bool) -> Result<Verdict, Failure> {
    let machines = [0, 1, 2];
    let fleet = Fleet::new(&machines)?;
    let mut origins = Vec::new();
    for _ in 0..4 {
        origins.push(fleet.add_origin("store", READ_WORK, OBJECT_BYTES)?);
        origins.push(fleet.add_origin("core", WRITE_WORK, WRITE_ANSWER_BYTES)?);
    }
    for machine in machines {
        for role in [Role::Control, Role::Edge] {
            fleet.start(&ProcessStart {
                machine,
                role,
                bootstrap: true,
                seeds: &machines,
            })?;
        }
    }
    thread::sleep(LEAD);
    let keyed = rule("r2", "/k/", "keyed", "core", 1, "");
    let routes = format!("{},{keyed}", route(1, LONG_TTL));
    let first = first_change(&["store", "core"], &routes);
    fleet
        .change(record, &machines, &first, PATIENCE)
        .ok_or("the first change was not acknowledged")?;
    if !fleet.await_ready(&machines, PATIENCE) {
        return Err("the edges are not ready".into());
    }
    let load = Load::default();
    let reads = Request {
        method: "GET",
        prefix: "/a/",
        paths: OBJECTS,
        is_keyed: false,
        pause: READ_PAUSE,
    };
    let writes = Request {
        method: "POST",
        prefix: "/k/",
        paths: OBJECTS,
        is_keyed: true,
        pause: WRITE_PAUSE,
    };
    let verdict = thread::scope(|scope| {
        for machine in machines {
            for client in 0..READERS + WRITERS {
                let request = if client < READERS { &reads } else { &writes };
                let (load, fleet) = (&load, &fleet);
                scope.spawn(move || load.run_client(fleet, machine, client, request));
            }
        }
        let case = Case {
            record,
            fleet: &fleet,
            load: &load,
            origins: &origins,
        };
        let verdict = case.play_rounds(has_trouble);
        load.stop.store(true, Ordering::Relaxed);
        verdict
    });
    record.line(&load.summary());
    verdict
}

fn route(revision: u32, ttl: &str) -> String {
    let extra = format!(",\"cache_ttl_s\":{ttl}");
    rule("r1", "/a/", "cacheable", "store", revision, &extra)
}

struct Case<'a> {
    record: &'a Record,
    fleet: &'a Fleet,
    load: &'a Load,
    origins: &'a [Arc<Origin>],
}

impl Case<'_> {
    fn play_rounds(&self, has_trouble: bool) -> Result<Verdict, Failure> {
        let mut revision = 1;
        let mut round = 0;
        while self.record.elapsed() < ROUNDS_UNTIL {
            round += 1;
            thread::sleep(WARM_TIME);
            if !has_trouble {
                if let Some(edge) = self.ended_edge(None) {
                    return Err(format!("edge {edge} ended without any trouble").into());
                }
                continue;
            }
            let stopped = round % 3;
            if self.play_round(round, stopped, &mut revision)? {
                return Ok(Verdict::Broken);
            }
        }
        Ok(Verdict::Held)
    }

    /// Plays one round. Returns true if the rule was broken.
    fn play_round(
        &self,
        round: usize,
        stopped: usize,
        revision: &mut u32,
    ) -> Result<bool, Failure> {
        self.record.line(&format!(
            "round {round}: SIGTERM to edge {stopped}, then cache_ttl_s from {LONG_TTL} to {SHORT_TTL}; {}",
            self.load.summary()
        ));
        let terminated_at = Instant::now();
        self.fleet.signal(stopped, Role::Edge, TERMINATE);
        self.await_revocation();
        thread::sleep(CHANGE_AFTER_REVOCATION);
        let changed_at = Instant::now();
        self.change(revision, SHORT_TTL);
        let acknowledged_at = Instant::now();
        while self.fleet.ended(stopped, Role::Edge).is_none() && terminated_at.elapsed() < END_LIMIT
        {
            thread::sleep(Duration::from_millis(20));
        }
        let planned = changed_at..acknowledged_at + PLANNED_AFTER_ACK;
        if let Some(edge) = self.ended_edge(Some(stopped)) {
            if self.judge(edge, planned) {
                return Ok(true);
            }
            self.restart(edge)?;
        }
        self.restart(stopped)?;
        self.change(revision, LONG_TTL);
        self.fleet.await_ready(&[0, 1, 2], PATIENCE);
        Ok(false)
    }

    /// Waits until the list of duties shows some without a holder.
    fn await_revocation(&self) {
        let until = Instant::now() + LONGEST_LOOK;
        while Instant::now() < until {
            let duties = self.fleet.operate(0, "GET", "/.otterslip/v1/duties", "");
            if duties
                .is_ok_and(|list| String::from_utf8_lossy(&list.body).contains("\"holder\":null"))
            {
                return;
            }
            thread::sleep(LOOK_INTERVAL);
        }
    }

    fn restart(&self, machine: usize) -> Result<(), Failure> {
        self.fleet.start(&ProcessStart {
            machine,
            role: Role::Edge,
            bootstrap: false,
            seeds: &[0, 1, 2],
        })
    }

    fn change(&self, revision: &mut u32, ttl: &str) {
        *revision += 1;
        let change = rules_change(&route(*revision, ttl));
        self.fleet
            .change(self.record, &[0, 1, 2], &change, PATIENCE);
    }

    /// An edge that ended though it got no signal.
    fn ended_edge(&self, stopped: Option<usize>) -> Option<usize> {
        (0..3).find(|edge| Some(*edge) != stopped && self.fleet.ended(*edge, Role::Edge).is_some())
    }

    /// LOST: requests that an edge without any trouble had passed on to an origin, and whose
    /// connection ended with no answer during planned work; over three times as many as at
    /// other times.
    fn judge(&self, edge: usize, planned: std::ops::Range<Instant>) -> bool {
        let status = self.fleet.ended(edge, Role::Edge).unwrap_or_default();
        self.record.line(&format!(
            "edge {edge} got no signal and ended by itself: {status}"
        ));
        for line in self.fleet.log_lines(edge, Role::Edge, "", 6) {
            self.record.line(&format!("    log of edge {edge}: {line}"));
        }
        let ran = |id: &str| {
            let ran_at =
                |origin: &&Arc<Origin>| origin.runs.lock().expect("no holder panics").contains(id);
            self.origins.iter().any(|origin| ran_at(&origin))
        };
        let unanswered = self.load.unanswered.lock().expect("no holder panics");
        let passed_on: Vec<&Unanswered> = unanswered
            .iter()
            .filter(|request| request.machine == edge && ran(&request.id))
            .collect();
        let during = passed_on
            .iter()
            .filter(|request| planned.contains(&request.ended_at))
            .count();
        let otherwise = passed_on.len() - during;
        self.record.line(&format!(
            "edge {edge}: {during} requests that an origin had run got no answer during the planned work, {otherwise} at other times"
        ));
        for request in passed_on.iter().take(10) {
            let held = request.ended_at - request.sent_at;
            self.record.line(&format!(
                "    request {}: {:?} {held:.3?} after it was sent",
                request.id, request.end
            ));
        }
        let cut = unanswered
            .iter()
            .filter(|request| request.machine == edge)
            .count();
        self.record.line(&format!(
            "edge {edge}: {cut} requests in all were read and got no answer"
        ));
        during > 0 && during > 3 * otherwise
    }
}
