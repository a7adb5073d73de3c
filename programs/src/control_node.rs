use crate::prelude::*;

/// Runs a control node until it has handed over.
pub fn run_control_node(startup: Startup) -> Result<()> {
    let folder = startup.data.clone().context("data folder")?.join("log");
    let (mut log, records) = open(&folder)?;
    let (replica, blank) = match Replica::replay(&records)? {
        Some(replica) if replica.removed => (start_over(&mut log, &replica)?, true),
        Some(replica) => (replica, false),
        None => (Replica::blank(new_life()?), true),
    };
    let mesh = startup.mesh.context("mesh address")?;
    let part = ControlPart::new(
        mesh,
        startup.seeds.clone(),
        replica,
        blank,
        startup
            .gather_span()
            .map(|span| Bootstrap::new(startup.founding, span)),
        new_life()?,
    );
    let history = Some(History::keep(startup.data.clone().context("data folder")?));
    let host = Host {
        me: part.me(),
        program: "control-node",
        startup,
        tick: lease::CONTROL_TICK,
        store: Some(Box::new(log)),
        face: Box::new(OperatorServer::new("control-node")),
        history,
    };
    host.run(Box::new(part))
}

/// The slot of this disk went to another node while it was away, so what it holds
/// counts for nothing: it goes on as an empty one, which may be given a slot.
fn start_over(log: &mut SegmentLog, removed: &Replica) -> Result<Replica> {
    let renewed = removed.renewed(new_life()?);
    let image = Record::Image(Box::new(renewed.clone()));
    log.image(&image.bytes())?;
    log.sync()?;
    Ok(renewed)
}

/// A log that is corrupt before its tail is set aside: this disk then counts
/// as blank and is refilled by the others.
fn open(folder: &Path) -> Result<(SegmentLog, Vec<Vec<u8>>)> {
    let loaded = match SegmentLog::open(folder) {
        Ok(loaded) => loaded,
        Err(error) => {
            let aside = SegmentLog::set_aside(folder)?;
            note(
                Event::LogCorrupt,
                &format!("{error:#}; set aside as {}", aside.display()),
            );
            SegmentLog::open(folder)?
        }
    };
    if loaded.cut > 0 {
        note(Event::LogTailCut, &format!("{} bytes", loaded.cut));
    }
    Ok((loaded.log, loaded.records))
}
