//! A call of the operator that is invalid, because one of its routes names a service that is not
//! known, while that route's revision is below the one in force. The call also drops a route.
use crate::fleet::{Fleet, ProcessStart, Role, first_change, rule};
use crate::http::Connection;
use crate::record::Record;
use crate::{Failure, Verdict};
use std::thread;
use std::time::Duration;

/// Time after which the first change is sent: the traffic's lead is 8 s.
const LEAD: Duration = Duration::from_secs(8);
/// `config_apply_s` and a little.
const APPLIED: Duration = Duration::from_secs(3);
const PATIENCE: Duration = Duration::from_secs(20);
const MACHINES: [usize; 3] = [0, 1, 2];
/// Requests on the route `r2` that each edge gets; the rule allows five and one in 500 to be denied.
const REQUESTS_PER_EDGE: usize = 20;
const ALLOWED_DENIALS: usize = 5;

/// Runs the case.
pub fn run(record: &Record, has_trouble: bool) -> Result<Verdict, Failure> {
    let fleet = Fleet::new(&MACHINES)?;
    fleet.add_origin("store", Duration::from_millis(20), 1000)?;
    for machine in MACHINES {
        for role in [Role::Control, Role::Edge] {
            fleet.start(&ProcessStart {
                machine,
                role,
                bootstrap: true,
                seeds: &MACHINES,
            })?;
        }
    }
    thread::sleep(LEAD);
    let r1 = rule("r1", "/a/", "idempotent", "store", 9, "");
    let r2 = rule("r2", "/b/", "idempotent", "store", 9, "");
    let valid = first_change(&["store"], &format!("{r1},{r2}"));
    fleet
        .change(record, &MACHINES, &valid, PATIENCE)
        .ok_or("the first change was not acknowledged")?;
    record
        .line("in force: r1 and r2, revision 9, service store; no other change is ever valid here");
    // The same call with a revision of r1 above the one in force, for comparison.
    let newer = send_invalid(record, &fleet, 11)?;
    let older = if has_trouble {
        send_invalid(record, &fleet, 5)?
    } else {
        400
    };
    thread::sleep(APPLIED);
    let mut denied = 0;
    for machine in MACHINES {
        let denied_here = count_denied(&fleet, machine)?;
        record.line(&format!(
            "clients: edge {machine} answers 404 to {denied_here} of {REQUESTS_PER_EDGE} requests on r2"
        ));
        denied += denied_here;
    }
    let shown = fleet.operate(2, "GET", "/config", "")?;
    let is_shown = String::from_utf8_lossy(&shown.body).contains("\"r2\"");
    record.line(&format!("operator: r2 is read back: {is_shown}"));
    let is_acknowledged = newer == 200 || older == 200;
    let is_broken = is_acknowledged || denied > ALLOWED_DENIALS || !is_shown;
    Ok(if is_broken {
        Verdict::Broken
    } else {
        Verdict::Held
    })
}

/// Sends a call that sets r1 under this revision to a service that no configuration ever had, and
/// drops r2. Returns the status.
fn send_invalid(record: &Record, fleet: &Fleet, revision: u32) -> Result<u16, Failure> {
    let unknown = rule("r1", "/a/", "idempotent", "nowhere", revision, "");
    let call = format!(
        "{{\"upsert\":{{\"domains\":[{{\"hostname\":\"shop.example\",\"path_rules\":[{unknown}]}}]}},\
         \"remove\":{{\"route_rules\":[{{\"name\":\"r2\",\"revision\":12}}]}}}}"
    );
    record.line(&format!("operator sends: {call}"));
    let answer = fleet.operate(1, "PATCH", "/config", &call)?;
    let body = String::from_utf8_lossy(&answer.body).into_owned();
    record.line(&format!("operator: status {} {body}", answer.status()));
    Ok(answer.status())
}

fn count_denied(fleet: &Fleet, machine: usize) -> Result<usize, Failure> {
    let mut denied = 0;
    for number in 0..REQUESTS_PER_EDGE {
        let id = format!("b{machine}-{number}");
        let headers = [
            ("Host", "shop.example"),
            ("Request-Id", id.as_str()),
            ("Deadline-Ms", "2000"),
        ];
        let mut connection = Connection::open(fleet.frontend(machine), PATIENCE)?;
        let answer = connection.exchange("GET", "/b/1", &headers, b"")?;
        denied += usize::from(answer.status() == 404);
    }
    Ok(denied)
}
