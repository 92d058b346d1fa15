//! Forecast of the memory use of a decode endpoint.

use std::time::Duration;

use mimosa_protocol::Timestamp;
use mimosa_protocol::Tokens;

/// Expected output of a request that exceeds its estimate, in thousandths of its current output.
/// The longer an output already is, the longer it is expected to continue.
const OVERRUN_PERMILLE: u64 = 1_250;

/// Memory load of a current or planned request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) struct MemoryLoad {
    pub(super) prompt: Tokens,
    /// Expected output length.
    pub(super) output: Tokens,
    /// Maximum output length.
    pub(super) max_output: Tokens,
    /// Expected or actual time of the first output.
    pub(super) decode_start: Timestamp,
}

impl MemoryLoad {
    /// Expected end of the request, not before `now`.
    pub(super) fn end(&self, now: Timestamp, token_time: Duration) -> Timestamp {
        let overrun = self.generated(now, token_time) * OVERRUN_PERMILLE / 1_000;
        let output = self.output.0.max(overrun).min(self.max_output.0);
        (self.decode_start + saturating_mul(token_time, output)).max(now)
    }

    /// Memory use in tokens at a time before the end of the request.
    fn memory_at(&self, at: Timestamp, token_time: Duration) -> u64 {
        self.prompt.0 + self.generated(at, token_time).min(self.max_output.0)
    }

    /// Number of output tokens generated until a given time.
    fn generated(&self, at: Timestamp, token_time: Duration) -> u64 {
        // Divisions of 64 bits: this runs many times in each decision.
        let token_nanos =
            token_time.as_secs() * 1_000_000_000 + u64::from(token_time.subsec_nanos());
        let elapsed = at.as_micros().saturating_sub(self.decode_start.as_micros());
        elapsed.saturating_mul(1_000) / token_nanos.max(1)
    }
}

/// Current memory use of the given requests in tokens.
pub(super) fn current_memory<'a>(
    now: Timestamp,
    loads: impl Iterator<Item = &'a MemoryLoad>,
    token_time: Duration,
) -> u64 {
    loads.map(|load| load.memory_at(now, token_time)).sum()
}

/// Forecast peak memory use with one more request, in tokens; `None` if it exceeds the limit.
pub(super) fn peak_within<'a>(
    now: Timestamp,
    loads: impl Iterator<Item = &'a MemoryLoad> + Clone,
    new: &'a MemoryLoad,
    token_time: Duration,
    limit: u64,
) -> Option<u64> {
    // Memory use does not shrink before a request ends. This check already excludes most endpoints.
    let in_use = current_memory(now, loads.clone(), token_time);
    let ends: Vec<(Timestamp, &MemoryLoad)> = loads
        .chain(std::iter::once(new))
        .map(|load| (load.end(now, token_time), load))
        .collect();
    let ends_before_start = ends.iter().any(|(end, _)| *end <= new.decode_start);
    if !ends_before_start && in_use + new.prompt.0 > limit {
        return None;
    }
    // Memory use only grows between two ends, so each peak is just before an end.
    let mut peak = 0;
    for (at, _) in &ends {
        let running = ends.iter().filter(|(end, _)| end >= at);
        let memory = running
            .map(|(_, load)| load.memory_at(*at, token_time))
            .sum();
        if memory > limit {
            return None;
        }
        peak = peak.max(memory);
    }
    Some(peak)
}

pub(super) fn saturating_mul(time: Duration, count: u64) -> Duration {
    let nanos = u64::try_from(time.as_nanos()).unwrap_or(u64::MAX);
    Duration::from_nanos(nanos.saturating_mul(count))
}
