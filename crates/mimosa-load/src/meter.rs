//! CPU time and memory of this process, read from `/proc`.

use std::fs;
use std::time::Duration;

const PAGE_BYTES: u64 = 4_096;

/// A component of the measured system. Its threads are named after it, so that CPU time can be
/// attributed to it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Component {
    /// Load generator: the connections and the scheduler of the open loop.
    Load,
    /// Stand-in servers, which answer direct requests and those through the entry.
    StandIn,
    /// Entry under test.
    Entry,
    /// Control instance from which the entry gets its configuration.
    Control,
}

impl Component {
    /// Name of the component's threads, within the 15 bytes that Linux keeps.
    pub const fn name(self) -> &'static str {
        match self {
            Self::Load => "load",
            Self::StandIn => "standin",
            Self::Entry => "entry",
            Self::Control => "control",
        }
    }

    /// User and kernel CPU time of the component's running threads since their start. Threads that
    /// ended are not counted.
    pub fn cpu_time(self) -> Duration {
        let threads = fs::read_dir("/proc/self/task").into_iter().flatten();
        threads
            .flatten()
            .map(|thread| thread.path())
            .filter(|thread| read(thread.join("comm")).trim() == self.name())
            .map(|thread| parse_nanos(&read(thread.join("schedstat"))))
            .map(Duration::from_nanos)
            .sum()
    }
}

/// Resident set size of this process, in bytes; 0 if `/proc` cannot be read.
pub fn resident_bytes() -> u64 {
    let pages = read("/proc/self/statm");
    let pages = pages.split_whitespace().nth(1);
    pages
        .and_then(|pages| pages.parse::<u64>().ok())
        .unwrap_or(0)
        * PAGE_BYTES
}

/// A line with the processor model, the number of cores and the load average.
pub fn machine_summary() -> String {
    let info = read("/proc/cpuinfo");
    let model = info
        .lines()
        .find(|line| line.starts_with("model name"))
        .and_then(|line| line.split(':').nth(1))
        .map_or("unknown processor", str::trim);
    let cores = info.lines().filter(|line| line.starts_with("processor"));
    let load_average = read("/proc/loadavg");
    let load_average = load_average.split_whitespace().next().unwrap_or("unknown");
    format!(
        "Machine: {model}, {} cores, load average {load_average} over the last minute.",
        cores.count()
    )
}

fn parse_nanos(schedstat: &str) -> u64 {
    let nanos = schedstat.split_whitespace().next();
    nanos.and_then(|nanos| nanos.parse().ok()).unwrap_or(0)
}

fn read(path: impl AsRef<std::path::Path>) -> String {
    fs::read_to_string(path).unwrap_or_default()
}
