//! Startup of a control node: opens its log, and recovers or creates its replica.
use crate::prelude::*;

/// Runs a control node until it has handed over its partitions and shut down.
pub fn run_control_node(startup: Startup) -> Result<()> {
    let folder = startup.data.clone().context("data folder")?.join("log");
    let mut loaded = open_log(&folder)?;
    let (replica, blank) = match replay_log(&folder, &loaded.records) {
        Some(replica) if replica.removed => (rejoin_as_blank(&mut loaded.log, &replica)?, true),
        Some(replica) => (replica, false),
        None => (Replica::blank(new_incarnation()?), true),
    };
    let mesh = startup.mesh.context("mesh address")?;
    let control = ControlNode::new(
        mesh,
        startup.seeds.clone(),
        replica,
        blank,
        startup
            .gather_duration()
            .map(|gather_duration| bootstrap(&startup, gather_duration)),
        new_incarnation()?,
    )
    .with_log(loaded.log_bytes, loaded.snapshot_bytes)
    .with_operation_retention(startup.operation_retention())
    .with_tolerated_losses(startup.tolerated_losses.unwrap_or(0) as usize);
    let history = Some(History::spawn_writer(
        startup.data.clone().context("data folder")?,
    ));
    let host = NodeHost {
        local_peer: control.local_peer(),
        program: "control-node",
        startup,
        tick: lease::CONTROL_TICK,
        store: Some(Box::new(loaded.log)),
        frontend: Box::new(OperatorServer::new("control-node")),
        history,
    };
    Ok(host.run(Box::new(control))?)
}

fn bootstrap(startup: &Startup, gather_duration: Duration) -> Bootstrap {
    if startup.refounding {
        Bootstrap::refounding(gather_duration)
    } else {
        Bootstrap::new(startup.founding, gather_duration)
    }
}

/// Replaces the replica on a disk whose slot was assigned to another node while this one was
/// away. Its content is no longer valid, so the node rejoins with an empty replica that may
/// be assigned a slot.
fn rejoin_as_blank(log: &mut SegmentLog, removed: &Replica) -> Result<Replica> {
    let replica = removed.for_rejoin(new_incarnation()?);
    let snapshot = Record::Snapshot(Box::new(replica.clone()));
    log.write_snapshot(&snapshot.bytes())?;
    log.sync()?;
    Ok(replica)
}

/// Opens the log. A log that is corrupt before its tail is quarantined: the disk then counts
/// as blank and is refilled from the other replicas. On any other read error the log is left
/// unchanged and the process exits.
fn open_log(folder: &Path) -> Result<Loaded> {
    let loaded = match SegmentLog::open(folder) {
        Ok(loaded) => loaded,
        Err(error) if error.is_recoverable_from_peers() => {
            let quarantined = SegmentLog::quarantine(folder)?;
            log_event(
                Event::LogCorrupt,
                &format!("{error}; quarantined as {}", quarantined.display()),
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

/// Replays the log and returns its replica, if there is one. Complete records that cannot be
/// decoded were written by another version of the software; the process exits.
fn replay_log(folder: &Path, records: &[Vec<u8>]) -> Option<Replica> {
    Replica::replay(records).unwrap_or_else(|error| {
        exit_with_unreadable_log(&format!("{}: {:#}", folder.display(), anyhow!(error)))
    })
}

fn exit_with_unreadable_log(reason: &str) -> ! {
    log_event(Event::LogRefused, reason);
    eprintln!("control-node: {reason}");
    std::process::exit(2)
}
