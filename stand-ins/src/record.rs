//! Records of a run, which the checker reads.
use crate::prelude::*;

/// Call as recorded by an origin.
#[derive(Debug, Clone, Default, Serialize, Deserialize)]
pub struct OriginRecord {
    /// Arrival time, in seconds.
    pub at: f64,
    /// Address of the origin.
    pub address: String,
    /// Service of the origin.
    pub service: String,
    /// Instance name of the origin.
    pub instance: String,
    /// Request target.
    pub path: String,
    /// Identifier of the request, the same in its retries.
    pub request: String,
    /// Operation key, if the request has one.
    pub operation: Option<String>,
    /// True for a health check.
    pub probe: bool,
}

/// Request as recorded by a client. Status 0 means that no response arrived.
#[derive(Debug, Clone, Default, Serialize, Deserialize)]
pub struct ClientRecord {
    /// Time at which the request was sent, in seconds.
    pub start: f64,
    /// Time at which the request ended, in seconds.
    pub end: f64,
    /// Address of the edge.
    pub edge: String,
    /// Entry that serves the request.
    pub entry: String,
    /// Rank of the entry.
    pub rank: u32,
    /// Request target.
    pub path: String,
    /// Operation key, if the request has one.
    pub operation: Option<String>,
    /// Status of the response.
    pub status: u16,
    /// Error code in the body, or the reason why there is no response.
    pub code: String,
    /// State of the operation according to the body, such as `not_run`.
    pub outcome: String,
    /// Value of the `Retry-After` header.
    pub retry_after: Option<String>,
    /// Version of the content in the body.
    pub version: Option<u64>,
    /// True if the body is the origin's response to this request.
    #[serde(rename = "fits")]
    pub matches_request: bool,
    /// True if there is no response although the request may have been read
    /// completely.
    pub dropped: bool,
}

/// Action or observation of the fleet runner.
#[derive(Debug, Clone, Default, Serialize, Deserialize)]
pub struct FleetRecord {
    /// Time, in seconds.
    pub at: f64,
    /// Kind of the record, such as `fault` or `purged`.
    #[serde(rename = "what")]
    pub kind: String,
    /// Subject of the record: a node, a prefix or a kind of fault.
    pub subject: String,
    /// Version or marker; 0 if there is none.
    pub number: u64,
    /// True if the observation is as required; for a fault, true if it was
    /// planned.
    #[serde(rename = "good")]
    pub as_expected: bool,
}

/// Returns the wall-clock time in seconds. All test tools run on one machine,
/// so they share the clock.
pub fn wall() -> f64 {
    SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .unwrap_or_default()
        .as_secs_f64()
}

/// Appends records to a file as JSON lines.
pub struct Recorder {
    file: Mutex<std::io::BufWriter<File>>,
}

impl Recorder {
    /// Opens a file for appending and creates it if necessary.
    pub fn open(path: &Path) -> Result<Recorder> {
        let file = OpenOptions::new().create(true).append(true).open(path)?;
        Ok(Recorder {
            file: Mutex::new(std::io::BufWriter::new(file)),
        })
    }

    /// Appends a record. A record that cannot be written is discarded.
    pub fn put(&self, record: &impl Serialize) {
        let mut line = serde_json::to_vec(record).unwrap_or_default();
        line.push(b'\n');
        let mut file = self.file.lock().expect("no holder panics");
        let _ = file.write_all(&line).and_then(|()| file.flush());
    }
}

/// Reads all records of a file and skips lines that do not parse.
pub fn read_records<T: for<'a> Deserialize<'a>>(path: &Path) -> Result<Vec<T>> {
    let text = fs::read_to_string(path).with_context(|| path.display().to_string())?;
    Ok(text
        .lines()
        .filter_map(|line| serde_json::from_str(line).ok())
        .collect())
}
