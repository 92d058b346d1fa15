//! The memory of a decode endpoint over time.

use std::time::Duration;

use mimosa_protocol::Timestamp;
use mimosa_protocol::Tokens;

/// Time that a run is expected to go on after it got longer than estimated.
const OVERRUN: Duration = Duration::from_millis(300);

/// A request that decodes, or will.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) struct Load {
    pub(super) prompt: Tokens,
    /// Expected output.
    pub(super) output: Tokens,
    /// When the first output comes or came.
    pub(super) from: Timestamp,
}

impl Load {
    /// When it is expected to end.
    pub(super) fn end(&self, token_time: Duration) -> Timestamp {
        self.from + times(token_time, self.output.0)
    }

    /// Its memory at a moment, if it has not ended by then.
    fn memory_at(&self, at: Timestamp, token_time: Duration) -> u64 {
        let nanos = u64::try_from(token_time.as_nanos())
            .unwrap_or(u64::MAX)
            .max(1);
        let spent = u64::try_from(at.since(self.from).as_nanos()).unwrap_or(u64::MAX);
        self.prompt.0 + spent / nanos
    }
}

/// The most memory that an endpoint will need from now on if one more request comes.
pub(super) fn peak<'a>(
    now: Timestamp,
    loads: impl Iterator<Item = &'a Load> + Clone,
    new: &'a Load,
    token_time: Duration,
) -> u64 {
    let end = |load: &Load| load.end(token_time).max(now + OVERRUN);
    let all = || loads.clone().chain(std::iter::once(new));
    // Memory only grows between two ends: the peaks stand just before them.
    all()
        .map(|one| {
            let at = end(one);
            let held = all().filter(|load| end(load) >= at);
            held.map(|load| load.memory_at(at, token_time)).sum()
        })
        .max()
        .unwrap_or(0)
}

pub(super) fn times(time: Duration, count: u64) -> Duration {
    let nanos = u64::try_from(time.as_nanos()).unwrap_or(u64::MAX);
    Duration::from_nanos(nanos.saturating_mul(count))
}
