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
/// Minimum prompt length for a measurement of the prefill speed. For shorter prompts the network
/// latency dominates.
const MIN_MEASURED_PROMPT_TOKENS: u64 = 1_000;
/// Minimum number of measured prefills to separate their latency from their rate.
const MIN_MEASURED_PREFILLS: u32 = 8;
/// Number of measured prefills over which the model of their duration is averaged.
const MEASURED_PREFILLS: u32 = 32;

/// Estimates for the engines of one service.
#[derive(Debug)]
pub(super) struct EngineEstimates {
    prefill: PrefillModel,
    /// Time per output token.
    token_nanos: u64,
    /// Ratio of the output to the client's estimate.
    output_to_estimate_permille: u64,
    /// Ratio of the output to its maximum, used for requests without an estimate.
    output_to_max_permille: u64,
    average: AverageRequest,
}

/// Duration of a prefill as a linear function of the prompt length: a latency, during which the
/// engine already processes the next prompt, and a time per token, during which it does not. Both
/// come from an exponentially weighted linear regression.
#[derive(Debug)]
struct PrefillModel {
    /// Assumed prompt tokens per second before the first measurement.
    initial_rate: u64,
    count: u32,
    mean_tokens: f64,
    mean_micros: f64,
    variance_tokens: f64,
    covariance: f64,
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
            prefill: PrefillModel::new(prefill_rate),
            token_nanos: u64::try_from(token_time.as_nanos()).unwrap_or(u64::MAX),
            output_to_estimate_permille: WHOLE_PERMILLE,
            output_to_max_permille: WHOLE_PERMILLE,
            average: AverageRequest::default(),
        }
    }

    /// Prompt tokens that a prefill endpoint processes per second.
    pub(super) fn prefill_rate(&self) -> u64 {
        (1e6 / self.prefill.micros_per_token()) as u64
    }

    /// Time for which a prompt occupies a prefill endpoint.
    pub(super) fn prefill_time(&self, prompt: Tokens) -> Duration {
        Duration::from_micros((prompt.0 as f64 * self.prefill.micros_per_token()) as u64)
    }

    /// Time from the end of the processing of a prompt to the response, during which the endpoint
    /// processes the next one.
    pub(super) fn prefill_latency(&self) -> Duration {
        Duration::from_micros(self.prefill.latency_micros() as u64)
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

    /// Updates the prefill speed. `took` must not include the time of other prompts.
    pub(super) fn record_prefill(&mut self, prompt: Tokens, took: Duration) {
        if prompt.0 >= MIN_MEASURED_PROMPT_TOKENS {
            let micros = took.as_micros().max(1) as f64;
            self.prefill.record(prompt.0 as f64, micros);
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

impl PrefillModel {
    const fn new(initial_rate: u64) -> Self {
        Self {
            initial_rate,
            count: 0,
            mean_tokens: 0.0,
            mean_micros: 0.0,
            variance_tokens: 0.0,
            covariance: 0.0,
        }
    }

    fn record(&mut self, tokens: f64, micros: f64) {
        self.count = (self.count + 1).min(MEASURED_PREFILLS);
        let weight = 1.0 / f64::from(self.count);
        let tokens_off = tokens - self.mean_tokens;
        let micros_off = micros - self.mean_micros;
        self.mean_tokens += weight * tokens_off;
        self.mean_micros += weight * micros_off;
        let keep = 1.0 - weight;
        self.variance_tokens = keep * (self.variance_tokens + weight * tokens_off * tokens_off);
        self.covariance = keep * (self.covariance + weight * tokens_off * micros_off);
    }

    /// Time per token. Before enough prompts of different lengths were measured, it includes the
    /// latency.
    fn micros_per_token(&self) -> f64 {
        /// Minimum standard deviation of the prompt lengths, relative to their mean.
        const MIN_DEVIATION: f64 = 0.1;
        /// Bounds the effect of wrong measurements: the latency is at most this part of a prefill.
        const MAX_LATENCY_PART: f64 = 0.75;
        if self.count == 0 {
            return 1e6 / self.initial_rate.max(1) as f64;
        }
        let whole = self.mean_micros / self.mean_tokens;
        let deviation = MIN_DEVIATION * self.mean_tokens;
        if self.count < MIN_MEASURED_PREFILLS || self.variance_tokens < deviation * deviation {
            return whole;
        }
        let slope = self.covariance / self.variance_tokens;
        slope.clamp(whole * (1.0 - MAX_LATENCY_PART), whole)
    }

    fn latency_micros(&self) -> f64 {
        (self.mean_micros - self.micros_per_token() * self.mean_tokens).max(0.0)
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
