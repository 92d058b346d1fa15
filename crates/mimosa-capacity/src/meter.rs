//! Memory of this process and CPU time of this thread, read from `/proc`.

use std::fs;
use std::time::Duration;

const PAGE_BYTES: u64 = 4_096;

/// Resident set size of this process, in bytes; 0 if `/proc` cannot be read.
pub fn resident_bytes() -> u64 {
    let pages = read("/proc/self/statm");
    let pages = pages.split_whitespace().nth(1);
    pages
        .and_then(|pages| pages.parse::<u64>().ok())
        .unwrap_or(0)
        * PAGE_BYTES
}

/// User and kernel CPU time of this thread since its start.
pub fn cpu_time() -> Duration {
    let times = read("/proc/thread-self/schedstat");
    let nanos = times.split_whitespace().next();
    Duration::from_nanos(nanos.and_then(|nanos| nanos.parse().ok()).unwrap_or(0))
}

/// Minimum CPU time of a measurement: the kernel may count in steps of 4 ms, which is 1% of it.
pub const MIN_CPU_TIME: Duration = Duration::from_millis(400);

/// CPU time per iteration, in microseconds. `work` returns the number of iterations that it did,
/// and is repeated until [`MIN_CPU_TIME`] has passed.
pub fn micros_per_iteration(mut work: impl FnMut() -> usize) -> f64 {
    let before = cpu_time();
    let mut iterations = 0;
    loop {
        iterations += work();
        let elapsed = cpu_time() - before;
        if elapsed >= MIN_CPU_TIME {
            return elapsed.as_secs_f64() * 1e6 / iterations.max(1) as f64;
        }
    }
}

/// Builds a value and returns the growth of the resident set, in bytes, with the value. Memory that
/// was freed earlier is reused first and not counted, so measure before large values are dropped.
pub fn measure_memory_growth<T>(build: impl FnOnce() -> T) -> (f64, T) {
    let before = resident_bytes();
    let value = build();
    let growth = resident_bytes().saturating_sub(before);
    (growth as f64, value)
}

/// A line with the processor model and the number of cores.
pub fn machine_summary() -> String {
    let info = read("/proc/cpuinfo");
    let named = |name: &str| {
        let line = info.lines().find(|line| line.starts_with(name))?;
        line.split(':').nth(1).map(str::trim)
    };
    let model = named("model name").unwrap_or("unknown processor");
    let cores = info.lines().filter(|line| line.starts_with("processor"));
    format!("Machine: {model}, {} cores.", cores.count())
}

/// A line with the peak resident set size of this process.
pub fn peak_memory() -> String {
    let status = read("/proc/self/status");
    let line = status.lines().find(|line| line.starts_with("VmHWM"));
    let peak = line.and_then(|line| line.split(':').nth(1)).map(str::trim);
    format!("Peak memory of this run: {}.", peak.unwrap_or("unknown"))
}

fn read(path: &str) -> String {
    fs::read_to_string(path).unwrap_or_default()
}
