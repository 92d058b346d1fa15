//! The memory of a decode endpoint over time.

use std::time::Duration;

use mimosa_protocol::Timestamp;
use mimosa_protocol::Tokens;

/// How much longer a run gets, in thousandths, once it is longer than estimated: the longer it
/// already is, the longer it goes on.
const OVERRUN_PERMILLE: u64 = 1_250;

/// A request that decodes, or will.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) struct Load {
    pub(super) prompt: Tokens,
    /// Expected output.
    pub(super) output: Tokens,
    /// Most output.
    pub(super) max_output: Tokens,
    /// When the first output comes or came.
    pub(super) from: Timestamp,
}

impl Load {
    /// When it is expected to end, seen from now.
    pub(super) fn end(&self, now: Timestamp, token_time: Duration) -> Timestamp {
        let overrun = self.made(now, token_time) * OVERRUN_PERMILLE / 1_000;
        let output = self.output.0.max(overrun).min(self.max_output.0);
        (self.from + times(token_time, output)).max(now)
    }

    /// Its memory at a moment, if it has not ended by then.
    fn memory_at(&self, at: Timestamp, token_time: Duration) -> u64 {
        self.prompt.0 + self.made(at, token_time).min(self.max_output.0)
    }

    /// Output tokens by a moment.
    fn made(&self, at: Timestamp, token_time: Duration) -> u64 {
        let nanos = u64::try_from(token_time.as_nanos())
            .unwrap_or(u64::MAX)
            .max(1);
        u64::try_from(at.since(self.from).as_nanos()).unwrap_or(u64::MAX) / nanos
    }
}

/// The memory that is in use now.
pub(super) fn present<'a>(
    now: Timestamp,
    loads: impl Iterator<Item = &'a Load>,
    token_time: Duration,
) -> u64 {
    loads.map(|load| load.memory_at(now, token_time)).sum()
}

/// Whether an endpoint's memory, as far as a limit, bears one more request; its highest use then.
pub(super) fn peak_within<'a>(
    now: Timestamp,
    loads: impl Iterator<Item = &'a Load> + Clone,
    new: &'a Load,
    token_time: Duration,
    limit: u64,
) -> Option<u64> {
    // What is there now does not shrink before something ends: most endpoints drop out here.
    let present = present(now, loads.clone(), token_time);
    let ends: Vec<(Timestamp, &Load)> = loads
        .chain(std::iter::once(new))
        .map(|load| (load.end(now, token_time), load))
        .collect();
    let ends_before_start = ends.iter().any(|(end, _)| *end <= new.from);
    if !ends_before_start && present + new.prompt.0 > limit {
        return None;
    }
    // Memory only grows between two ends: the peaks stand just before them.
    let mut highest = 0;
    for (at, _) in &ends {
        let held = ends.iter().filter(|(end, _)| end >= at);
        let memory = held.map(|(_, load)| load.memory_at(*at, token_time)).sum();
        if memory > limit {
            return None;
        }
        highest = highest.max(memory);
    }
    Some(highest)
}

pub(super) fn times(time: Duration, count: u64) -> Duration {
    let nanos = u64::try_from(time.as_nanos()).unwrap_or(u64::MAX);
    Duration::from_nanos(nanos.saturating_mul(count))
}
