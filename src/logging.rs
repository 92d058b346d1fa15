//! Structured logging as `name=value` lines on standard output.
//!
//! Lines go through a bounded queue to a writer thread, so that a slow reader of the output never
//! blocks the caller. If the queue fills up, lines are dropped, those about successes first; the
//! number of dropped lines is logged.

use std::io::Write;
use std::sync::Arc;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::AtomicUsize;
use std::sync::atomic::Ordering;
use std::sync::mpsc;
use std::sync::mpsc::Receiver;
use std::sync::mpsc::Sender;
use std::thread;
use std::time::Duration;
use std::time::SystemTime;

use log::Level;
use log::LevelFilter;
use miette::IntoDiagnostic;
use mimosa_config::LogLevel;
use mimosa_config::LogSettings;
use mimosa_metrics::DROPPED_LOG_LINES;
use mimosa_protocol::Timestamp;

/// Capacity of the queue: a few seconds of log lines of a busy instance.
const MAX_QUEUED_LINES: usize = 8_192;
/// Queue length from which lines about successes are dropped.
const SUCCESS_LINE_LIMIT: usize = MAX_QUEUED_LINES / 2;
/// Lines are collected for this long and written at once, to save system calls.
const BATCH_DELAY: Duration = Duration::from_millis(20);
/// Substrings that identify a line about a success.
const SUCCESS_MARKERS: [&str; 4] = [
    "outcome=complete",
    "outcome=started",
    "outcome=placed",
    "outcome=answered",
];

/// Starts the writer thread and installs the logger.
///
/// # Errors
///
/// If a logger is already installed or the writer thread cannot be started.
pub fn start(settings: &LogSettings) -> miette::Result<()> {
    let queue = Queue::start()?;
    let base = fern::Dispatch::new()
        .format(|out, message, record| {
            let since_epoch = SystemTime::now().duration_since(SystemTime::UNIX_EPOCH);
            let at = Timestamp::ZERO + since_epoch.unwrap_or_default();
            let level = record.level();
            let target = record.target();
            out.finish(format_args!(
                "ts={at} level={level} target={target} {message}"
            ));
        })
        .level(level_filter(settings.level));
    settings
        .targets
        .iter()
        .fold(base, |dispatch, (target, level)| {
            dispatch.level_for(target.clone(), level_filter(*level))
        })
        .chain(fern::Output::call(move |record| {
            queue.push(record.level(), record.args().to_string());
        }))
        .apply()
        .into_diagnostic()
}

/// Sending side of the queue to the writer thread.
struct Queue {
    lines: Sender<String>,
    /// Lines in the queue.
    queued: Arc<AtomicUsize>,
    /// Lines dropped since the writer last logged their number.
    dropped: Arc<AtomicU64>,
}

impl Queue {
    fn start() -> miette::Result<Self> {
        let (lines, rx) = mpsc::channel();
        let queued = Arc::new(AtomicUsize::new(0));
        let dropped = Arc::new(AtomicU64::new(0));
        let writer = Writer {
            lines: rx,
            queued: Arc::clone(&queued),
            dropped: Arc::clone(&dropped),
        };
        thread::Builder::new()
            .name("log".to_owned())
            .spawn(move || writer.run())
            .into_diagnostic()?;
        Ok(Self {
            lines,
            queued,
            dropped,
        })
    }

    /// Queues a line, or drops it if the queue is too long for its kind.
    fn push(&self, level: Level, line: String) {
        let queued = self.queued.load(Ordering::Relaxed);
        let is_success =
            level >= Level::Info && SUCCESS_MARKERS.iter().any(|marker| line.contains(marker));
        if queued >= MAX_QUEUED_LINES || (queued >= SUCCESS_LINE_LIMIT && is_success) {
            self.record_dropped();
            return;
        }
        self.queued.fetch_add(1, Ordering::Relaxed);
        if self.lines.send(line).is_err() {
            // The writer thread ends when standard output is closed.
            self.record_dropped();
        }
    }

    fn record_dropped(&self) {
        self.dropped.fetch_add(1, Ordering::Relaxed);
        DROPPED_LOG_LINES.inc();
    }
}

/// Receiving side of the queue; writes the lines to standard output.
struct Writer {
    lines: Receiver<String>,
    queued: Arc<AtomicUsize>,
    dropped: Arc<AtomicU64>,
}

impl Writer {
    fn run(self) {
        while let Ok(first) = self.lines.recv() {
            thread::sleep(BATCH_DELAY);
            let mut batch = first;
            let mut count = 1;
            for line in self.lines.try_iter() {
                batch.push('\n');
                batch.push_str(&line);
                count += 1;
            }
            self.queued.fetch_sub(count, Ordering::Relaxed);
            let dropped = self.dropped.swap(0, Ordering::Relaxed);
            if dropped > 0 {
                batch.push_str(&format!("\nlevel=WARN log_lines_left_out={dropped}"));
            }
            batch.push('\n');
            let mut out = std::io::stdout().lock();
            if out.write_all(batch.as_bytes()).is_err() || out.flush().is_err() {
                return;
            }
        }
    }
}

fn level_filter(level: LogLevel) -> LevelFilter {
    match level {
        LogLevel::Off => LevelFilter::Off,
        LogLevel::Error => LevelFilter::Error,
        LogLevel::Warn => LevelFilter::Warn,
        LogLevel::Info => LevelFilter::Info,
        LogLevel::Debug => LevelFilter::Debug,
        LogLevel::Trace => LevelFilter::Trace,
    }
}
