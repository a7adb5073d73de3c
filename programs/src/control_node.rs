//! Starts a control node: opens its log, and recovers or begins its replica.
use crate::prelude::*;

/// Runs a control node until it has handed over.
pub fn run_control_node(startup: Startup) -> Result<()> {
    let folder = startup.data.clone().context("data folder")?.join("log");
    let mut loaded = open(&folder)?;
    let (replica, blank) = match read_back(&folder, &loaded.records) {
        Some(replica) if replica.removed => (start_over(&mut loaded.log, &replica)?, true),
        Some(replica) => (replica, false),
        None => (Replica::blank(new_incarnation()?), true),
    };
    let mesh = startup.mesh.context("mesh address")?;
    let control = ControlNode::new(
        mesh,
        startup.seeds.clone(),
        replica,
        blank,
        startup.gather_span().map(|span| bootstrap(&startup, span)),
        new_incarnation()?,
    )
    .with_log(loaded.log_bytes, loaded.snapshot_bytes)
    .with_operation_retention(startup.operation_retention())
    .with_tolerated_losses(startup.tolerated_losses.unwrap_or(0) as usize);
    let history = Some(History::spawn_writer(
        startup.data.clone().context("data folder")?,
    ));
    let host = NodeHost {
        me: control.me(),
        program: "control-node",
        startup,
        tick: lease::CONTROL_TICK,
        store: Some(Box::new(loaded.log)),
        frontend: Box::new(OperatorServer::new("control-node")),
        history,
    };
    Ok(host.run(Box::new(control))?)
}

fn bootstrap(startup: &Startup, span: Duration) -> Bootstrap {
    if startup.refounding {
        Bootstrap::refounding(span)
    } else {
        Bootstrap::new(startup.founding, span)
    }
}

/// The slot of this disk went to another node while it was away, so what it holds
/// counts for nothing: it continues as an empty one, which may get a slot.
fn start_over(log: &mut SegmentLog, removed: &Replica) -> Result<Replica> {
    let renewed = removed.for_rejoin(new_incarnation()?);
    let image = Record::Snapshot(Box::new(renewed.clone()));
    log.write_snapshot(&image.bytes())?;
    log.sync()?;
    Ok(renewed)
}

/// A log of ours that is damaged before its tail is set aside: this disk then
/// counts as blank and is refilled by the others. Whatever else does not read
/// is left as it is, and the process ends.
fn open(folder: &Path) -> Result<Loaded> {
    let loaded = match SegmentLog::open(folder) {
        Ok(loaded) => loaded,
        Err(error) if error.is_recoverable_from_peers() => {
            let aside = SegmentLog::quarantine(folder)?;
            log_event(
                Event::LogCorrupt,
                &format!("{error}; set aside as {}", aside.display()),
            );
            SegmentLog::open(folder)?
        }
        Err(error) => exit_with_unreadable_log(&error.to_string()),
    };
    if loaded.truncated_bytes > 0 {
        log_event(
            Event::LogTailCut,
            &format!("{} bytes", loaded.truncated_bytes),
        );
    }
    Ok(loaded)
}

/// The replica of this log, if there is one. Records that are whole and do not
/// read were written by another version.
fn read_back(folder: &Path, records: &[Vec<u8>]) -> Option<Replica> {
    Replica::replay(records).unwrap_or_else(|error| {
        exit_with_unreadable_log(&format!("{}: {:#}", folder.display(), anyhow!(error)))
    })
}

fn exit_with_unreadable_log(reason: &str) -> ! {
    log_event(Event::LogRefused, reason);
    eprintln!("control-node: {reason}");
    std::process::exit(2)
}
