//! How fast the engines are and how good the estimates, learned from what was seen.

use std::time::Duration;

use mimosa_protocol::Timestamp;
use mimosa_protocol::Tokens;

use super::PlacementRequest;
use super::forecast::Load;
use super::forecast::times;
use crate::balance::Demand;

/// Weight of one result in the averages, as a divisor.
const SMOOTHING: u64 = 16;
/// Requests that must have been seen before a usual one is known.
const LEAST_SEEN: u64 = 20;
/// All of something, in thousandths.
const WHOLE: u64 = 1_000;
/// Shortest prompt, in tokens, whose prefill tells a rate: with less, the way there counts for more.
const MIN_MEASURED: u64 = 1_000;

/// What was learned of the engines of one service.
#[derive(Debug)]
pub(super) struct Pace {
    /// Prompt tokens a second.
    prefill_rate: u64,
    /// Nanoseconds for one output token.
    token_nanos: u64,
    /// Output against its estimate, in thousandths.
    output_permille: u64,
    /// Output against the most allowed, in thousandths, where callers give no estimate.
    max_permille: u64,
    /// Prompt and output of a usual request, and how many were seen.
    usual: Usual,
}

/// A usual request.
#[derive(Debug, Default)]
struct Usual {
    prompt: u64,
    output: u64,
    seen: u64,
}

impl Pace {
    pub(super) fn new(prefill_rate: u64, token_time: Duration) -> Self {
        Self {
            prefill_rate,
            token_nanos: u64::try_from(token_time.as_nanos()).unwrap_or(u64::MAX),
            output_permille: WHOLE,
            max_permille: WHOLE,
            usual: Usual::default(),
        }
    }

    pub(super) const fn prefill_rate(&self) -> u64 {
        self.prefill_rate
    }

    pub(super) fn prefill_time(&self, prompt: Tokens) -> Duration {
        let micros = prompt.0.saturating_mul(1_000_000) / self.prefill_rate.max(1);
        Duration::from_micros(micros)
    }

    pub(super) const fn token_time(&self) -> Duration {
        Duration::from_nanos(self.token_nanos)
    }

    /// The memory of a request whose first output comes at a moment.
    pub(super) fn load(&self, ask: &PlacementRequest, from: Timestamp) -> Load {
        Load {
            prompt: ask.prompt,
            output: self.expected_output(ask),
            max_output: ask.max_output,
            from,
        }
    }

    fn expected_output(&self, ask: &PlacementRequest) -> Tokens {
        let estimate = match ask.expected_output {
            Some(estimate) => estimate.0 * self.output_permille / WHOLE,
            None => ask.max_output.0 * self.max_permille / WHOLE,
        };
        Tokens(estimate.clamp(1, ask.max_output.0.max(1)))
    }

    /// What a usual request needs of engines with so much memory.
    pub(super) fn demand(&self, memory: Tokens) -> Option<Demand> {
        let Usual {
            prompt,
            output,
            seen,
        } = self.usual;
        if seen < LEAST_SEEN || memory == Tokens::ZERO {
            return None;
        }
        let held = times(self.token_time(), output);
        // Half of the output is there on average while it is made.
        let tokens = prompt + output / 2;
        let nanos = u64::try_from(held.as_nanos()).unwrap_or(u64::MAX);
        let decode = nanos / 1_000 * tokens / memory.0;
        Some(Demand {
            prefill: self.prefill_time(Tokens(prompt)),
            decode: Duration::from_micros(decode),
        })
    }

    pub(super) fn prefilled(&mut self, prompt: Tokens, took: Duration) {
        let micros = u64::try_from(took.as_micros()).unwrap_or(u64::MAX).max(1);
        if prompt.0 >= MIN_MEASURED {
            let rate = prompt.0.saturating_mul(1_000_000) / micros;
            self.prefill_rate = smooth(self.prefill_rate, rate);
        }
    }

    pub(super) fn completed(&mut self, ask: &PlacementRequest, output: Tokens, took: Duration) {
        if output.0 == 0 {
            return;
        }
        self.usual.add(ask.prompt, output);
        let nanos = u64::try_from(took.as_nanos()).unwrap_or(u64::MAX) / output.0;
        self.token_nanos = smooth(self.token_nanos, nanos);
        if let Some(estimate) = ask.expected_output.filter(|estimate| estimate.0 > 0) {
            let ratio = output.0.saturating_mul(WHOLE) / estimate.0;
            // One wild estimate must not move the average.
            self.output_permille = smooth(self.output_permille, ratio.min(4 * WHOLE));
        }
        let ratio = output.0.saturating_mul(WHOLE).checked_div(ask.max_output.0);
        if let Some(ratio) = ratio {
            self.max_permille = smooth(self.max_permille, ratio.min(WHOLE));
        }
    }
}

impl Usual {
    fn add(&mut self, prompt: Tokens, output: Tokens) {
        self.seen += 1;
        if self.seen == 1 {
            (self.prompt, self.output) = (prompt.0, output.0);
        }
        self.prompt = smooth(self.prompt, prompt.0);
        self.output = smooth(self.output, output.0);
    }
}

fn smooth(old: u64, new: u64) -> u64 {
    old - old / SMOOTHING + new / SMOOTHING
}
