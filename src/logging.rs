//! Logs as lines of `name=value` on standard output.
//!
//! A bounded queue and a thread of its own stand between the processes' work and the output: a
//! reader that is slow, or more lines than it takes, cost lines and never time. Lines that tell of
//! success are left out first; how many were is said in a line of its own.

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

/// Lines that wait for the writer at most: some seconds of a busy instance.
const MAX_QUEUED: usize = 8_192;
/// Lines from which on those that tell of success are left out.
const NEARLY_FULL: usize = MAX_QUEUED / 2;
/// How long lines are gathered for one write: each write costs a system call.
const GATHER: Duration = Duration::from_millis(20);
/// Marks of a line that tells of success.
const SUCCESSES: [&str; 4] = [
    "outcome=complete",
    "outcome=started",
    "outcome=placed",
    "outcome=answered",
];

/// Starts to log.
///
/// # Errors
///
/// If logging was started before, or the writer's thread cannot be started.
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
        .level(filter(settings.level));
    settings
        .targets
        .iter()
        .fold(base, |dispatch, (target, level)| {
            dispatch.level_for(target.clone(), filter(*level))
        })
        .chain(fern::Output::call(move |record| {
            queue.add(record.level(), record.args().to_string());
        }))
        .apply()
        .into_diagnostic()
}

/// Lines on their way to the writer.
struct Queue {
    lines: Sender<String>,
    waiting: Arc<AtomicUsize>,
    left_out: Arc<AtomicU64>,
}

impl Queue {
    fn start() -> miette::Result<Self> {
        let (lines, rx) = mpsc::channel();
        let waiting = Arc::new(AtomicUsize::new(0));
        let left_out = Arc::new(AtomicU64::new(0));
        let writer = Writer {
            lines: rx,
            waiting: Arc::clone(&waiting),
            left_out: Arc::clone(&left_out),
        };
        thread::Builder::new()
            .name("log".to_owned())
            .spawn(move || writer.run())
            .into_diagnostic()?;
        Ok(Self {
            lines,
            waiting,
            left_out,
        })
    }

    fn add(&self, level: Level, line: String) {
        let waiting = self.waiting.load(Ordering::Relaxed);
        let is_success = level >= Level::Info && SUCCESSES.iter().any(|mark| line.contains(mark));
        if waiting >= MAX_QUEUED || (waiting >= NEARLY_FULL && is_success) {
            self.leave_out();
            return;
        }
        self.waiting.fetch_add(1, Ordering::Relaxed);
        if self.lines.send(line).is_err() {
            // The writer is gone with its output; there is nobody to tell.
            self.leave_out();
        }
    }

    fn leave_out(&self) {
        self.left_out.fetch_add(1, Ordering::Relaxed);
        DROPPED_LOG_LINES.inc();
    }
}

/// Writes lines to the standard output.
struct Writer {
    lines: Receiver<String>,
    waiting: Arc<AtomicUsize>,
    left_out: Arc<AtomicU64>,
}

impl Writer {
    fn run(self) {
        while let Ok(first) = self.lines.recv() {
            thread::sleep(GATHER);
            let mut text = first;
            let mut count = 1;
            for line in self.lines.try_iter() {
                text.push('\n');
                text.push_str(&line);
                count += 1;
            }
            self.waiting.fetch_sub(count, Ordering::Relaxed);
            let left_out = self.left_out.swap(0, Ordering::Relaxed);
            if left_out > 0 {
                text.push_str(&format!("\nlevel=WARN log_lines_left_out={left_out}"));
            }
            text.push('\n');
            let mut out = std::io::stdout().lock();
            if out.write_all(text.as_bytes()).is_err() || out.flush().is_err() {
                return;
            }
        }
    }
}

fn filter(level: LogLevel) -> LevelFilter {
    match level {
        LogLevel::Off => LevelFilter::Off,
        LogLevel::Error => LevelFilter::Error,
        LogLevel::Warn => LevelFilter::Warn,
        LogLevel::Info => LevelFilter::Info,
        LogLevel::Debug => LevelFilter::Debug,
        LogLevel::Trace => LevelFilter::Trace,
    }
}
