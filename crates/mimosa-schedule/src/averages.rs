//! Moving averages for the estimates of the queue.

use std::time::Duration;

use mimosa_protocol::Timestamp;
use mimosa_protocol::TokenRate;
use mimosa_protocol::Tokens;

/// Period over which tokens are counted.
const RATE_PERIOD: Duration = Duration::from_secs(1);
/// Maximum gap between samples after which the old rate is still included in the average.
const MAX_SAMPLE_GAP: Duration = Duration::from_secs(5);
/// Divisor of the moving average of the output ratio.
const OUTPUT_SMOOTHING: u64 = 64;
/// Divisor of the moving average of the holding time.
const HOLDING_SMOOTHING: u32 = 32;
const WHOLE_PERMILLE: u64 = 1_000;

/// Rate of granted tokens.
#[derive(Clone, Debug, Default)]
pub(crate) struct Throughput {
    since: Timestamp,
    tokens: u64,
    rate: u64,
}

impl Throughput {
    pub fn add(&mut self, now: Timestamp, tokens: Tokens) {
        let elapsed = now.since(self.since);
        if elapsed >= RATE_PERIOD {
            let micros = u64::try_from(elapsed.as_micros()).unwrap_or(u64::MAX);
            let latest = self.tokens.saturating_mul(1_000_000) / micros.max(1);
            let old = Some(self.rate).filter(|rate| *rate > 0 && elapsed < MAX_SAMPLE_GAP);
            self.rate = old.map_or(latest, |old| (old + latest) / 2);
            self.tokens = 0;
            self.since = now;
        }
        self.tokens += tokens.0;
    }

    /// Tokens per second; `None` before the first period has ended.
    pub fn rate(&self) -> Option<TokenRate> {
        Some(TokenRate(self.rate)).filter(|rate| rate.0 > 0)
    }
}

/// Mean duration of completed attempts.
#[derive(Clone, Debug, Default)]
pub(crate) struct HoldingTime {
    mean: Duration,
}

impl HoldingTime {
    /// Adds the duration of a completed attempt.
    pub fn record(&mut self, time: Duration) {
        let old = Some(self.mean).filter(|mean| !mean.is_zero());
        let old = old.unwrap_or(time);
        self.mean = (old * (HOLDING_SMOOTHING - 1) + time) / HOLDING_SMOOTHING;
    }

    /// Expected time until one of the running attempts ends.
    pub fn time_to_next_end(&self, running: usize) -> Duration {
        let running = u32::try_from(running).unwrap_or(u32::MAX);
        self.mean.checked_div(running).unwrap_or_default()
    }
}

/// Mean ratio of the generated output to the maximum output of a request.
#[derive(Clone, Debug)]
pub(crate) struct OutputRatio {
    permille: u64,
}

impl Default for OutputRatio {
    fn default() -> Self {
        Self {
            permille: WHOLE_PERMILLE,
        }
    }
}

impl OutputRatio {
    /// Expected output for a given maximum.
    pub fn expect(&self, max_output: Tokens) -> Tokens {
        Tokens(max_output.0.saturating_mul(self.permille) / WHOLE_PERMILLE)
    }

    /// Adds the output of a completed attempt.
    pub fn record(&mut self, output: Tokens, max_output: Tokens) {
        let ratio = output.0.saturating_mul(WHOLE_PERMILLE) / max_output.0.max(1);
        let ratio = ratio.min(4 * WHOLE_PERMILLE);
        self.permille = (self.permille * (OUTPUT_SMOOTHING - 1) + ratio) / OUTPUT_SMOOTHING;
    }
}
