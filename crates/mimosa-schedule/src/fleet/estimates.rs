//! Speed of the engines and accuracy of output estimates, learned from completed requests.

use std::time::Duration;

use mimosa_protocol::Timestamp;
use mimosa_protocol::Tokens;

use super::PlacementRequest;
use super::forecast::MemoryLoad;
use super::forecast::saturating_mul;
use crate::balance::Demand;

/// Divisor of the moving averages.
const SMOOTHING_DIVISOR: u64 = 16;
/// Minimum number of completed requests for the averages of prompt and output length.
const MIN_COMPLETED: u64 = 20;
const WHOLE_PERMILLE: u64 = 1_000;
/// Minimum prompt length for a measurement of the prefill rate. For shorter prompts the network
/// latency dominates.
const MIN_MEASURED_PROMPT_TOKENS: u64 = 1_000;

/// Estimates for the engines of one service.
#[derive(Debug)]
pub(super) struct EngineEstimates {
    /// Prompt tokens per second.
    prefill_rate: u64,
    /// Time per output token.
    token_nanos: u64,
    /// Ratio of the output to the client's estimate.
    output_to_estimate_permille: u64,
    /// Ratio of the output to its maximum, used for requests without an estimate.
    output_to_max_permille: u64,
    average: AverageRequest,
}

/// Average prompt and output length, and the number of completed requests.
#[derive(Debug, Default)]
struct AverageRequest {
    prompt: u64,
    output: u64,
    count: u64,
}

impl EngineEstimates {
    pub(super) fn new(prefill_rate: u64, token_time: Duration) -> Self {
        Self {
            prefill_rate,
            token_nanos: u64::try_from(token_time.as_nanos()).unwrap_or(u64::MAX),
            output_to_estimate_permille: WHOLE_PERMILLE,
            output_to_max_permille: WHOLE_PERMILLE,
            average: AverageRequest::default(),
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

    /// Memory load of a request whose first output is expected at `decode_start`.
    pub(super) fn memory_load(
        &self,
        request: &PlacementRequest,
        decode_start: Timestamp,
    ) -> MemoryLoad {
        MemoryLoad {
            prompt: request.prompt,
            output: self.expected_output(request),
            max_output: request.max_output,
            decode_start,
        }
    }

    fn expected_output(&self, request: &PlacementRequest) -> Tokens {
        let estimate = match request.expected_output {
            Some(estimate) => estimate.0 * self.output_to_estimate_permille / WHOLE_PERMILLE,
            None => request.max_output.0 * self.output_to_max_permille / WHOLE_PERMILLE,
        };
        Tokens(estimate.clamp(1, request.max_output.0.max(1)))
    }

    /// Resources used by an average request at engines with the given memory.
    pub(super) fn demand(&self, memory: Tokens) -> Option<Demand> {
        let AverageRequest {
            prompt,
            output,
            count,
        } = self.average;
        if count < MIN_COMPLETED || memory == Tokens::ZERO {
            return None;
        }
        let decode_time = saturating_mul(self.token_time(), output);
        // On average, half of the output is in memory during decoding.
        let tokens = prompt + output / 2;
        let nanos = u64::try_from(decode_time.as_nanos()).unwrap_or(u64::MAX);
        let decode = nanos / 1_000 * tokens / memory.0;
        Some(Demand {
            prefill: self.prefill_time(Tokens(prompt)),
            decode: Duration::from_micros(decode),
        })
    }

    /// Updates the prefill rate. `took` must be the time of this prompt alone.
    pub(super) fn record_prefill(&mut self, prompt: Tokens, took: Duration) {
        let micros = u64::try_from(took.as_micros()).unwrap_or(u64::MAX).max(1);
        if prompt.0 >= MIN_MEASURED_PROMPT_TOKENS {
            let rate = prompt.0.saturating_mul(1_000_000) / micros;
            self.prefill_rate = moving_average(self.prefill_rate, rate);
        }
    }

    /// Updates the averages from a complete output and its decode time.
    pub(super) fn record_completion(
        &mut self,
        request: &PlacementRequest,
        output: Tokens,
        took: Duration,
    ) {
        if output.0 == 0 {
            return;
        }
        self.average.add(request.prompt, output);
        let nanos = u64::try_from(took.as_nanos()).unwrap_or(u64::MAX) / output.0;
        self.token_nanos = moving_average(self.token_nanos, nanos);
        if let Some(estimate) = request.expected_output.filter(|estimate| estimate.0 > 0) {
            let ratio = output.0.saturating_mul(WHOLE_PERMILLE) / estimate.0;
            // Limits the effect of a single wrong estimate on the average.
            self.output_to_estimate_permille = moving_average(
                self.output_to_estimate_permille,
                ratio.min(4 * WHOLE_PERMILLE),
            );
        }
        let ratio = output
            .0
            .saturating_mul(WHOLE_PERMILLE)
            .checked_div(request.max_output.0);
        if let Some(ratio) = ratio {
            self.output_to_max_permille =
                moving_average(self.output_to_max_permille, ratio.min(WHOLE_PERMILLE));
        }
    }
}

impl AverageRequest {
    fn add(&mut self, prompt: Tokens, output: Tokens) {
        self.count += 1;
        if self.count == 1 {
            (self.prompt, self.output) = (prompt.0, output.0);
        }
        self.prompt = moving_average(self.prompt, prompt.0);
        self.output = moving_average(self.output, output.0);
    }
}

fn moving_average(old: u64, sample: u64) -> u64 {
    old - old / SMOOTHING_DIVISOR + sample / SMOOTHING_DIVISOR
}
