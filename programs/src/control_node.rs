use crate::prelude::*;

/// Runs a control node until it has handed over.
pub fn run_control_node(startup: Startup) -> Result<()> {
    let folder = startup.data.clone().context("data folder")?.join("log");
    let (log, records) = open(&folder)?;
    let (replica, blank) = match Replica::replay(&records)? {
        Some(replica) => (replica, false),
        None => (Replica::blank(new_life()?), true),
    };
    let mesh = startup.mesh.context("mesh address")?;
    let part = ControlPart::new(
        mesh,
        startup.seeds.clone(),
        replica,
        blank,
        startup.gather_span().map(|span| bootstrap(&startup, span)),
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

fn bootstrap(startup: &Startup, span: Duration) -> Bootstrap {
    if startup.refounding {
        Bootstrap::refounding(span)
    } else {
        Bootstrap::new(startup.founding, span)
    }
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
