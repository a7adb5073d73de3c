//! The record of a run: what the checker reads.
use crate::prelude::*;

/// One call as an origin saw it.
#[derive(Debug, Clone, Default, Serialize, Deserialize)]
pub struct OriginRecord {
    /// When the call came, in seconds.
    pub at: f64,
    /// Of the origin.
    pub address: String,
    /// Of the origin.
    pub service: String,
    /// Of the origin.
    pub instance: String,
    /// The request target.
    pub path: String,
    /// Names the request; the same in its retries.
    pub request: String,
    /// The operation key, if it has one.
    pub operation: Option<String>,
    /// Whether it is a health check.
    pub probe: bool,
}

/// One request as a caller saw it. `status` 0: no answer came.
#[derive(Debug, Clone, Default, Serialize, Deserialize)]
pub struct CallerRecord {
    /// When it was sent, in seconds.
    pub start: f64,
    /// When it ended, in seconds.
    pub end: f64,
    /// Address of the edge.
    pub edge: String,
    /// The entry that serves it.
    pub entry: String,
    /// Of the entry.
    pub rank: u32,
    /// The request target.
    pub path: String,
    /// The operation key, if it has one.
    pub operation: Option<String>,
    /// Of the response.
    pub status: u16,
    /// The error code in the body, or why there is no response.
    pub code: String,
    /// What the body says of the operation, such as `not_run`.
    pub outcome: String,
    /// The `Retry-After` header.
    pub retry_after: Option<String>,
    /// Version of the content in the body.
    pub version: Option<u64>,
    /// The body is the origin's answer to this very request.
    pub fits: bool,
    /// No answer, and the request may have been read in full.
    pub dropped: bool,
}

/// Something the runner did or saw.
#[derive(Debug, Clone, Default, Serialize, Deserialize)]
pub struct FleetRecord {
    /// When, in seconds.
    pub at: f64,
    /// The kind of the record, such as `fault` or `purged`.
    pub what: String,
    /// What it is about: a node, a prefix, a kind of fault.
    pub subject: String,
    /// A version or a marker, 0 if it has none.
    pub number: u64,
    /// Whether it is as it should be; of a fault: whether it was planned.
    pub good: bool,
}

/// Seconds; one machine, so one clock serves all test tools.
pub fn wall() -> f64 {
    SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .unwrap_or_default()
        .as_secs_f64()
}

/// Appends lines of JSON to a file.
pub struct Recorder {
    file: Mutex<std::io::BufWriter<File>>,
}

impl Recorder {
    /// Opens a file, which is made if there is none.
    pub fn open(path: &Path) -> Result<Recorder> {
        let file = OpenOptions::new().create(true).append(true).open(path)?;
        Ok(Recorder {
            file: Mutex::new(std::io::BufWriter::new(file)),
        })
    }

    /// Appends a record; one that cannot be written is lost.
    pub fn put(&self, record: &impl Serialize) {
        let mut line = serde_json::to_vec(record).unwrap_or_default();
        line.push(b'\n');
        let mut file = self.file.lock().expect("no holder panics");
        let _ = file.write_all(&line).and_then(|()| file.flush());
    }
}

/// All records of a file; lines that do not parse are passed over.
pub fn read_records<T: for<'a> Deserialize<'a>>(path: &Path) -> Result<Vec<T>> {
    let text = fs::read_to_string(path).with_context(|| path.display().to_string())?;
    Ok(text
        .lines()
        .filter_map(|line| serde_json::from_str(line).ok())
        .collect())
}
