//! The record of a test: what was sent, answered and run, with the time since the start.

use std::fs::File;
use std::io::Write;
use std::path::Path;
use std::sync::Arc;
use std::sync::Mutex;
use std::time::Duration;
use std::time::Instant;

/// A file that several threads write to, one line at a time.
#[derive(Clone)]
pub struct Record {
    /// `None` in a process whose output its parent records.
    file: Option<Arc<Mutex<File>>>,
    lines: Arc<Mutex<Vec<(Duration, String)>>>,
    started: Instant,
}

impl Record {
    /// Creates or replaces the file.
    pub fn create(path: &Path) -> std::io::Result<Self> {
        Ok(Self {
            file: Some(Arc::new(Mutex::new(File::create(path)?))),
            lines: Arc::default(),
            started: Instant::now(),
        })
    }

    /// Writes plain lines to standard output, which the parent of this process records.
    pub fn to_parent() -> Self {
        Self {
            file: None,
            lines: Arc::default(),
            started: Instant::now(),
        }
    }

    /// Time since the start of the test.
    pub fn now(&self) -> Duration {
        self.started.elapsed()
    }

    /// Time of the first line with a text.
    pub fn find(&self, text: &str) -> Option<Duration> {
        let lines = self.lines.lock().unwrap();
        let found = lines.iter().find(|(_, line)| line == text);
        found.map(|(at, _)| *at)
    }

    /// Writes a line to the record and to standard output.
    pub fn line(&self, text: &str) {
        let Some(file) = &self.file else {
            return println!("{text}");
        };
        let now = self.now();
        self.lines.lock().unwrap().push((now, text.to_owned()));
        let at = now.as_secs_f64();
        let mut file = file.lock().unwrap();
        writeln!(file, "{at:8.3} s  {text}").ok();
        println!("{at:8.3} s  {text}");
    }
}
