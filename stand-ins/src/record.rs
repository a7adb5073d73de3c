//! The record of a run: what the checker reads.
use crate::prelude::*;

/// One call as an origin saw it.
#[derive(Debug, Clone, Default, Serialize, Deserialize)]
pub struct OriginRecord {
    pub at: f64,
    pub address: String,
    pub service: String,
    pub instance: String,
    pub path: String,
    pub request: String,
    pub operation: Option<String>,
    pub probe: bool,
}

/// One request as a caller saw it. `status` 0: no answer came.
#[derive(Debug, Clone, Default, Serialize, Deserialize)]
pub struct CallerRecord {
    pub start: f64,
    pub end: f64,
    pub edge: String,
    pub entry: String,
    pub rank: u32,
    pub path: String,
    pub operation: Option<String>,
    pub status: u16,
    pub code: String,
    pub outcome: String,
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
    pub at: f64,
    pub what: String,
    pub subject: String,
    pub number: u64,
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
    pub fn open(path: &Path) -> Result<Recorder> {
        let file = OpenOptions::new().create(true).append(true).open(path)?;
        Ok(Recorder {
            file: Mutex::new(std::io::BufWriter::new(file)),
        })
    }

    pub fn put(&self, record: &impl Serialize) {
        let mut line = serde_json::to_vec(record).unwrap_or_default();
        line.push(b'\n');
        let mut file = self.file.lock().expect("no holder panics");
        let _ = file.write_all(&line).and_then(|()| file.flush());
    }
}

pub fn read_records<T: for<'a> Deserialize<'a>>(path: &Path) -> Result<Vec<T>> {
    let text = fs::read_to_string(path).with_context(|| path.display().to_string())?;
    Ok(text
        .lines()
        .filter_map(|line| serde_json::from_str(line).ok())
        .collect())
}
