//! The record of a run: one line per event, with the seconds since the start.

use std::fs::File;
use std::io::Write;
use std::path::Path;
use std::sync::Arc;
use std::sync::Mutex;
use std::time::Duration;
use std::time::Instant;

/// Clock and record of a run, shared by all stand-ins.
#[derive(Clone)]
pub struct Record(Arc<Inner>);

struct Inner {
    started: Instant,
    file: Mutex<File>,
}

impl Record {
    pub fn create(path: &Path) -> std::io::Result<Self> {
        Ok(Self(Arc::new(Inner {
            started: Instant::now(),
            file: Mutex::new(File::create(path)?),
        })))
    }

    /// Time since the start of the run.
    pub fn now(&self) -> Duration {
        self.0.started.elapsed()
    }

    pub fn line(&self, text: &str) {
        let line = format!("{:9.3} {text}\n", self.now().as_secs_f64());
        let mut file = self.0.file.lock().expect("no holder panics");
        file.write_all(line.as_bytes()).ok();
    }
}
