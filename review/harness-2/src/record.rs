//! The record of a case: what was sent, answered and run, with the time of each line.
use std::fs::File;
use std::io::Write;
use std::path::Path;
use std::sync::Mutex;
use std::time::{Duration, Instant};

/// Writes `record.txt` and echoes each line to standard output.
pub struct Record {
    file: Mutex<File>,
    started_at: Instant,
}

impl Record {
    /// Creates the record in the folder of a case.
    pub fn create(folder: &str) -> std::io::Result<Record> {
        Ok(Record {
            file: Mutex::new(File::create(Path::new(folder).join("record.txt"))?),
            started_at: Instant::now(),
        })
    }

    /// Time since the case started.
    pub fn elapsed(&self) -> Duration {
        self.started_at.elapsed()
    }

    /// Writes one line.
    pub fn line(&self, text: &str) {
        let line = format!("{:8.3} {text}\n", self.elapsed().as_secs_f64());
        print!("{line}");
        let mut file = self.file.lock().expect("no holder panics");
        let _ = file.write_all(line.as_bytes());
    }
}
