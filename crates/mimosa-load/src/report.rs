//! Prints the tables that `docs/MEASURES.md` quotes.

use std::time::Duration;

use crate::load::PhaseResult;
use crate::streams::OpenStreams;
use crate::streams::STREAM_COUNTS;

/// Results for one kind of request, sent directly to the stand-in and through the entry.
#[derive(Clone, Debug)]
pub struct Comparison {
    /// Heading of the table.
    pub name: &'static str,
    /// Direct, one request at a time.
    pub direct_single: PhaseResult,
    /// Through the entry, one request at a time.
    pub entry_single: PhaseResult,
    /// Direct, closed loop with the highest throughput.
    pub direct_max: PhaseResult,
    /// Through the entry, closed loop with the highest throughput.
    pub entry_max: PhaseResult,
    /// Direct, open loop at half of the maximum throughput through the entry.
    pub direct_half_load: PhaseResult,
    /// Through the entry, open loop at half of its maximum throughput.
    pub entry_half_load: PhaseResult,
}

impl Comparison {
    /// Prints the table of this kind of request and the derived figures.
    pub fn print(&self) {
        println!("\n## {}\n", self.name);
        println!(
            "| load | path | connections | answered | failed | requests/s | p50 (µs) | p99 (µs) | \
             entry cores | stand-in cores | load cores |"
        );
        println!("|---|---|---|---|---|---|---|---|---|---|---|");
        print_row("alone, closed loop", "direct", &self.direct_single);
        print_row("alone, closed loop", "entry", &self.entry_single);
        print_row("highest, closed loop", "direct", &self.direct_max);
        print_row("highest, closed loop", "entry", &self.entry_max);
        print_row("half, open loop", "direct", &self.direct_half_load);
        print_row("half, open loop", "entry", &self.entry_half_load);
        println!();
        self.print_overhead();
        let peak = &self.entry_max;
        println!(
            "- rate: {:.0} requests/s through the entry, {:.2} of direct",
            peak.rate(),
            peak.rate() / self.direct_max.rate().max(f64::EPSILON),
        );
        println!(
            "- per core of entry: {:.0} requests/s at the highest rate, {:.0} at half",
            peak.rate_per_core(peak.entry_cpu),
            self.entry_half_load
                .rate_per_core(self.entry_half_load.entry_cpu),
        );
    }

    fn print_overhead(&self) {
        for (name, quantile) in [("p50", 0.5), ("p99", 0.99)] {
            let direct = as_micros(self.direct_half_load.quantile(quantile));
            let via_entry = as_micros(self.entry_half_load.quantile(quantile));
            println!(
                "- {name} added at half load: {:.0} µs, {:.1} times direct",
                via_entry - direct,
                via_entry / direct.max(f64::EPSILON),
            );
        }
    }
}

/// Prints the memory per open stream: direct, through the entry, and the difference.
pub fn print_streams(direct: &OpenStreams, via_entry: &OpenStreams) {
    println!("\n## Open streams\n");
    println!("| streams | direct (B each) | entry (B each) | of the entry alone (B each) |");
    println!("|---|---|---|---|");
    let growth = direct
        .memory_growth_bytes
        .iter()
        .zip(&via_entry.memory_growth_bytes);
    for (count, (direct, via_entry)) in STREAM_COUNTS.into_iter().zip(growth) {
        let each = |bytes: u64| bytes as f64 / count as f64;
        println!(
            "| {count} | {:.0} | {:.0} | {:.0} |",
            each(*direct),
            each(*via_entry),
            each(*via_entry) - each(*direct),
        );
    }
}

fn print_row(load: &str, path: &str, result: &PhaseResult) {
    let cores = |cpu_time: Duration| {
        cpu_time.as_secs_f64() / result.elapsed.as_secs_f64().max(f64::EPSILON)
    };
    println!(
        "| {load} | {path} | {} | {} | {} | {:.0} | {:.0} | {:.0} | {:.2} | {:.2} | {:.2} |",
        result.connections,
        result.latencies.len(),
        result.failed,
        result.rate(),
        as_micros(result.quantile(0.5)),
        as_micros(result.quantile(0.99)),
        cores(result.entry_cpu),
        cores(result.stand_in_cpu),
        cores(result.load_cpu),
    );
    if let Some(first_error) = &result.first_error {
        println!("\nFirst failure ({load}, {path}): {first_error}\n");
    }
}

fn as_micros(time: Duration) -> f64 {
    time.as_secs_f64() * 1e6
}
