//! The record of a case: what was sent, answered and run.

use std::fs::File;
use std::io;
use std::io::Write;
use std::path::Path;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::PoisonError;
use std::time::Duration;
use std::time::Instant;

/// Writes lines with the time since the start of the case. Clones share the file.
#[derive(Clone)]
pub struct Record {
    started: Instant,
    file: Arc<Mutex<File>>,
}

impl Record {
    pub fn create(path: &Path) -> io::Result<Self> {
        Ok(Self {
            started: Instant::now(),
            file: Arc::new(Mutex::new(File::create(path)?)),
        })
    }

    /// Time since the start of the case.
    pub fn now(&self) -> Duration {
        self.started.elapsed()
    }

    pub fn note(&self, text: &str) {
        let at = self.now().as_secs_f64();
        let mut file = self.file.lock().unwrap_or_else(PoisonError::into_inner);
        if let Err(e) = writeln!(file, "{at:8.3} {text}") {
            eprintln!("cannot write the record: {e}");
        }
    }
}
