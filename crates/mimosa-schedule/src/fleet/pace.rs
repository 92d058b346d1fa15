//! How fast the engines are and how good the estimates, learned from what was seen.

use std::time::Duration;

use mimosa_protocol::Tokens;

use super::Ask;

/// Weight of one result in the averages, as a divisor.
const SMOOTHING: u64 = 16;
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
}

impl Pace {
    pub(super) fn new(prefill_rate: u64, token_time: Duration) -> Self {
        Self {
            prefill_rate,
            token_nanos: u64::try_from(token_time.as_nanos()).unwrap_or(u64::MAX),
            output_permille: WHOLE,
            max_permille: WHOLE,
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

    pub(super) fn expected_output(&self, ask: &Ask) -> Tokens {
        let estimate = match ask.expected_output {
            Some(estimate) => estimate.0 * self.output_permille / WHOLE,
            None => ask.max_output.0 * self.max_permille / WHOLE,
        };
        Tokens(estimate.clamp(1, ask.max_output.0.max(1)))
    }

    pub(super) fn prefilled(&mut self, prompt: Tokens, took: Duration) {
        let micros = u64::try_from(took.as_micros()).unwrap_or(u64::MAX).max(1);
        if prompt.0 >= MIN_MEASURED {
            let rate = prompt.0.saturating_mul(1_000_000) / micros;
            self.prefill_rate = smooth(self.prefill_rate, rate);
        }
    }

    pub(super) fn completed(&mut self, ask: &Ask, output: Tokens, took: Duration) {
        if output.0 == 0 {
            return;
        }
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

fn smooth(old: u64, new: u64) -> u64 {
    old - old / SMOOTHING + new / SMOOTHING
}
