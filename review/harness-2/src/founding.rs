//! The first seed is lost for good while the system starts for the first time.
use crate::fleet::{Fleet, ProcessStart, Role, first_change, rule};
use crate::http::Connection;
use crate::record::Record;
use crate::{Failure, Verdict};
use std::thread;
use std::time::Duration;

/// Time after the start at which the first seed is lost.
const LOSS_AFTER: Duration = Duration::from_millis(600);
/// Time after the loss at which an empty machine takes its place.
const REPLACED_AFTER: Duration = Duration::from_secs(2);
/// `contact_window_s`, after which the core is settled, then `catch_up_s` of the new machine.
const CALM_AFTER: Duration = Duration::from_secs(7);
/// `ack_timeout_s`.
const ACK_TIMEOUT: Duration = Duration::from_secs(4);
/// For how long the operator goes on: `recovery_s` and three times as much again.
const OPERATOR_PATIENCE: Duration = Duration::from_secs(60);

/// Runs the case.
pub fn run(record: &Record, has_trouble: bool) -> Result<Verdict, Failure> {
    let founders = [0, 1, 2];
    let fleet = Fleet::new(&[0, 1, 2, 3])?;
    fleet.add_origin("store", Duration::from_millis(20), 1000)?;
    for machine in founders {
        for role in [Role::Control, Role::Edge] {
            fleet.start(&ProcessStart {
                machine,
                role,
                bootstrap: true,
                seeds: &founders,
            })?;
        }
    }
    record.line(
        "machines 0, 1 and 2 started for the first time, each with control and edge; seeds 0, 1, 2",
    );
    thread::sleep(LOSS_AFTER);
    let machines = if has_trouble {
        fleet.kill(0, Role::Control);
        fleet.kill(0, Role::Edge);
        record.line("machine 0 is lost for good");
        thread::sleep(REPLACED_AFTER);
        let seeds = [1, 2];
        for role in [Role::Control, Role::Edge] {
            fleet.start(&ProcessStart {
                machine: 3,
                role,
                bootstrap: false,
                seeds: &seeds,
            })?;
        }
        record.line("machine 3 takes its place: another address, an empty disk, bootstrap = false, seeds 1, 2");
        vec![1, 2, 3]
    } else {
        founders.to_vec()
    };
    thread::sleep(CALM_AFTER);
    record.line(
        "more than half of the core runs and is connected; nothing else is disturbed from now on",
    );
    let route = rule("r1", "/a/", "idempotent", "store", 1, "");
    let change = first_change(&["store"], &route);
    let acknowledged = fleet.change(record, &machines, &change, OPERATOR_PATIENCE);
    let mut served = 0;
    for machine in &machines {
        let headers = [
            ("Host", "shop.example"),
            ("Request-Id", "a1"),
            ("Deadline-Ms", "2000"),
        ];
        let answer = Connection::open(fleet.frontend(*machine), Duration::from_secs(3))
            .and_then(|mut connection| connection.exchange("GET", "/a/1", &headers, b""));
        let status = answer.map_or(0, |answer| answer.status());
        record.line(&format!(
            "client: edge {machine} answers {status}; ready: {}",
            fleet.is_ready(*machine)
        ));
        served += u32::from(status == 200);
    }
    let is_in_time = acknowledged.is_some_and(|took| took <= ACK_TIMEOUT);
    record.line(&format!(
        "acknowledged within {ACK_TIMEOUT:?}: {is_in_time}; edges that served: {served}"
    ));
    Ok(if is_in_time && served > 0 {
        Verdict::Held
    } else {
        Verdict::Broken
    })
}
