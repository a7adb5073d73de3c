//! What all cases share.
use crate::fleet::{self, Fleet};
use crate::http::{self, Response};
use crate::platform::Platform;
use crate::record::Record;
use std::io;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::process::ExitCode;
use std::time::Duration;

/// Why a case ended: by the rule, or because it could not run.
pub enum Verdict {
    Held,
    Broken,
    NotRun(String),
}

impl From<io::Error> for Verdict {
    fn from(error: io::Error) -> Verdict {
        Verdict::NotRun(error.to_string())
    }
}

/// The machines of a case.
#[derive(Clone, Copy)]
pub struct Shape {
    pub machines: usize,
    /// Machines that may be added.
    pub spare: usize,
    /// `fault_tolerance`, machines.
    pub tolerated: usize,
}

pub struct Case {
    pub trouble: bool,
    pub record: Record,
    pub net: (u8, u8),
    pub fleet: Fleet,
    pub platform: Platform,
}

/// The longest that a case may run.
const LIMIT: Duration = Duration::from_secs(115);

/// Plays a case in a temporary folder, which is removed afterwards.
pub fn play(folder: &Path, shape: Shape, run: fn(&mut Case) -> Verdict) -> ExitCode {
    let trouble = std::env::var("TROUBLE").map_or(true, |value| value != "0");
    let record = match Record::create(&folder.join("record.txt")) {
        Ok(record) => record,
        Err(error) => {
            eprintln!("record.txt: {error}");
            return ExitCode::from(2);
        }
    };
    let temporary = std::env::temp_dir().join(format!("review-case-{}", std::process::id()));
    let verdict = start(&temporary, trouble, shape, &record, run);
    if std::env::var("KEEP").is_err() {
        let _ = std::fs::remove_dir_all(&temporary);
    }
    let (text, code) = match verdict {
        Verdict::Held => ("the rule held".to_string(), 0),
        Verdict::Broken => ("the rule was broken".to_string(), 1),
        Verdict::NotRun(why) => (format!("the case could not run: {why}"), 2),
    };
    record.say(&text);
    println!("{text}");
    ExitCode::from(code)
}

fn start(
    temporary: &PathBuf,
    trouble: bool,
    shape: Shape,
    record: &Record,
    run: fn(&mut Case) -> Verdict,
) -> Verdict {
    match prepare(temporary, trouble, shape, record) {
        Ok(mut case) => {
            let verdict = run(&mut case);
            if record.now() > LIMIT {
                return Verdict::NotRun("it took too long".into());
            }
            verdict
        }
        Err(error) => error.into(),
    }
}

fn prepare(temporary: &PathBuf, trouble: bool, shape: Shape, record: &Record) -> io::Result<Case> {
    std::fs::create_dir_all(temporary)?;
    let Shape {
        machines,
        spare,
        tolerated,
    } = shape;
    let (net, base) = fleet::choose_net(machines + spare)?;
    // Also for those that are not started at first.
    let addresses =
        (0..machines + spare).map(|machine| fleet::stand_in_address(net, 2 + machine as u8));
    let platform = Platform::start(addresses.collect::<io::Result<_>>()?)?;
    let addresses = platform.addresses.clone();
    let root = std::env::current_dir()?;
    let mut fleet = Fleet::new(&root, temporary, net, base, machines, addresses, record)?;
    fleet.tolerated = tolerated;
    record.say(format!("TROUBLE={}", u8::from(trouble)));
    Ok(Case {
        trouble,
        record: record.clone(),
        net,
        fleet,
        platform,
    })
}

impl Case {
    /// A client.
    pub fn asker(&self) -> Asker {
        Asker {
            record: self.record.clone(),
        }
    }

    /// A request of a client; the answer is recorded.
    pub fn ask(
        &self,
        edge: SocketAddr,
        id: &str,
        method: &str,
        target: &str,
        extra: &[(&str, &str)],
    ) -> io::Result<Response> {
        self.asker().ask(edge, id, method, target, extra)
    }
}

#[derive(Clone)]
pub struct Asker {
    record: Record,
}

impl Asker {
    pub fn ask(
        &self,
        edge: SocketAddr,
        id: &str,
        method: &str,
        target: &str,
        extra: &[(&str, &str)],
    ) -> io::Result<Response> {
        let mut headers = vec![("Host", HOST), ("Request-Id", id), ("Deadline-Ms", "2000")];
        headers.extend(extra);
        let answer = http::call(edge, method, target, &headers, &[], Duration::from_secs(3));
        let key = extra.first().map_or("", |(_, value)| value);
        self.record.say(match &answer {
            Ok(answer) => format!(
                "client: {method} {target} {key} id {id} at {edge}: {} stamp {} {}",
                answer.status,
                answer.header("Origin-Signature").unwrap_or("-"),
                answer.text()
            ),
            Err(error) => format!("client: {method} {target} {key} id {id} at {edge}: {error}"),
        });
        answer
    }
}

pub const HOST: &str = "ficu95.example";
