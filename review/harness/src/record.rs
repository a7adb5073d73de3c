//! What was sent, answered and run, with the time since the start of the case.
use std::fs::File;
use std::io::Write;
use std::path::Path;
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

#[derive(Clone)]
pub struct Record {
    start: Instant,
    file: Arc<Mutex<File>>,
}

impl Record {
    pub fn create(path: &Path) -> std::io::Result<Record> {
        Ok(Record {
            start: Instant::now(),
            file: Arc::new(Mutex::new(File::create(path)?)),
        })
    }

    /// Since the start.
    pub fn now(&self) -> Duration {
        self.start.elapsed()
    }

    pub fn say(&self, text: impl AsRef<str>) {
        let line = format!("{:8.3} s  {}\n", self.now().as_secs_f64(), text.as_ref());
        let mut file = self.file.lock().unwrap();
        let _ = file.write_all(line.as_bytes());
    }
}
