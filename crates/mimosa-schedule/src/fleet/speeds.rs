//! Speeds of the endpoints of a model, as the fleet scheduler uses them.
//!
//! They are used with [`Settings::endpoint_speeds`](super::Settings::endpoint_speeds), and with
//! [`Settings::uneven_speeds`](super::Settings::uneven_speeds) once endpoints are found to differ.
//! Otherwise all endpoints of a role are assumed to be equally fast.

use std::cmp::Reverse;
use std::collections::BTreeMap;
use std::time::Duration;

use mimosa_protocol::EndpointId;
use mimosa_protocol::Timestamp;
use mimosa_protocol::Tokens;

use super::FleetScheduler;
use super::endpoint::FleetEndpoint;
use crate::balance::Demand;
use crate::speed::SpeedTable;
use crate::speed::WorkSums;

const WHOLE_PERMILLE: u32 = 1_000;
/// Least share of the memory that counts as free in the cost of an endpoint.
const MIN_ROOM: f64 = 0.02;
/// Time without a request after which an endpoint is tried again. It is short enough to notice within
/// seconds that an endpoint has become faster, and at 35 endpoints tries one request in 10 of 70 a second
/// at most.
const TRIAL_INTERVAL: Duration = Duration::from_secs(5);
/// Divisor of the cost of an endpoint that is to be tried again.
const TRIAL_DIVISOR: u32 = 2;

/// Speeds of prefill and decode, which are separate kinds of work.
#[derive(Debug, Default)]
pub(super) struct EndpointSpeeds {
    /// Durations of prefills in thousandths of those that the service's average endpoint needs.
    prefill: SpeedTable,
    /// Times per output token in nanoseconds, by the number of running requests.
    decode: SpeedTable,
    /// When each endpoint last got a request.
    placed_at: BTreeMap<EndpointId, Timestamp>,
    /// Usual delay of the reports that a prompt was processed. It is that of the messages between the
    /// scheduler and distant gateways.
    usual_delay: Duration,
    /// Whether placements use the speeds. Stays true, so that placements do not alternate between two
    /// policies.
    is_in_use: bool,
}

impl EndpointSpeeds {
    /// Speeds that are used at once, or when endpoints are found to differ; `None` if neither is set.
    pub(super) fn new(is_in_use: bool, learns: bool) -> Option<Self> {
        (is_in_use || learns).then(|| Self {
            is_in_use,
            ..Self::default()
        })
    }

    /// Whether a quarter of the prefill endpoints or more needs much longer than another quarter. Single
    /// endpoints are also slow for seconds after their start, which is no reason to place otherwise.
    fn are_uneven(&self, now: Timestamp) -> bool {
        /// Endpoints below which quarters say nothing.
        const MIN_ENDPOINTS: usize = 4;
        /// Ratio of the quartiles. Endpoints that differ by less cost no request its latency target:
        /// prompts of 5,000 tokens take a tenth of it.
        const MIN_RATIO_PERMILLE: u64 = 1_400;
        let times = self.prefill.estimates(now);
        let mut times: Vec<u64> = times
            .map(|(_, each)| u64::from(each.time_permille))
            .collect();
        times.sort_unstable();
        if times.len() < MIN_ENDPOINTS {
            return false;
        }
        let (low, high) = (times[times.len() / 4], times[times.len() * 3 / 4]);
        high * u64::from(WHOLE_PERMILLE) >= low * MIN_RATIO_PERMILLE
    }

    /// Records the duration of a prefill that did not wait for another one.
    pub(super) fn record_prefill(
        &mut self,
        now: Timestamp,
        endpoint: &EndpointId,
        expected: Duration,
        took: Duration,
    ) {
        let permille = took.as_micros() * u128::from(WHOLE_PERMILLE) / expected.as_micros().max(1);
        let permille = u64::try_from(permille).unwrap_or(u64::MAX);
        // Bounds the effect of a single wrong measurement.
        let sums = WorkSums::one(1, permille.clamp(100, 10_000));
        self.prefill.record(now, endpoint, &sums);
        self.is_in_use = self.is_in_use || self.are_uneven(now);
    }

    /// Records the duration of a complete output, at whose end `running` requests ran.
    pub(super) fn record_decode(
        &mut self,
        now: Timestamp,
        endpoint: &EndpointId,
        running: usize,
        output: Tokens,
        took: Duration,
    ) {
        /// Output below which the latency of the network dominates.
        const MIN_OUTPUT_TOKENS: u64 = 16;
        if output.0 < MIN_OUTPUT_TOKENS {
            return;
        }
        let nanos = took.as_nanos() / u128::from(output.0);
        let nanos = u64::try_from(nanos).unwrap_or(u64::MAX);
        self.decode
            .record(now, endpoint, &WorkSums::one(running as u64, nanos.max(1)));
    }

    /// Removes the endpoints for which `keeps` returns false.
    pub(super) fn retain(&mut self, keeps: impl Fn(&EndpointId) -> bool) {
        self.prefill.retain(&keeps);
        self.decode.retain(&keeps);
        self.placed_at.retain(|id, _| keeps(id));
    }

    /// Records by how much the report of a prefill was later than expected. The usual delay is kept at the
    /// quantile of the delays that excludes the prefills in an episode, of which there are 15%.
    pub(super) fn record_delay(&mut self, delay: Duration) {
        const STEP: Duration = Duration::from_millis(2);
        const QUANTILE_PERMILLE: u32 = 800;
        /// Longer delays are not those of messages.
        const MAX_DELAY: Duration = Duration::from_millis(100);
        let up = STEP * QUANTILE_PERMILLE / WHOLE_PERMILLE;
        self.usual_delay = match delay > self.usual_delay {
            true => (self.usual_delay + up).min(MAX_DELAY),
            false => self.usual_delay.saturating_sub(STEP - up),
        };
    }

    /// Records that an endpoint got a request.
    pub(super) fn record_placement(&mut self, now: Timestamp, endpoint: &EndpointId) {
        self.placed_at.insert(endpoint.clone(), now);
    }

    /// Divisor of the cost of an endpoint, which is lower if it got no request for a while: nothing else
    /// tells that it has become faster.
    fn trial_divisor(&self, now: Timestamp, endpoint: &EndpointId) -> u32 {
        let placed_at = self.placed_at.get(endpoint);
        let is_due = placed_at.is_none_or(|at| now.since(*at) >= TRIAL_INTERVAL);
        if is_due { TRIAL_DIVISOR } else { 1 }
    }

    /// Duration of a prefill at an endpoint relative to the service's average.
    fn prefill_ratio(&self, now: Timestamp, endpoint: &EndpointId) -> f64 {
        let permille = self.prefill.expected_work(now, endpoint, 0);
        permille.map_or(1.0, |permille| permille / f64::from(WHOLE_PERMILLE))
    }
}

impl FleetScheduler {
    /// The speeds, if placements use them.
    fn speeds_in_use(&self) -> Option<&EndpointSpeeds> {
        self.speeds.as_ref().filter(|speeds| speeds.is_in_use)
    }

    /// Records how long work takes at an endpoint at this moment, as the endpoint states.
    pub(super) fn on_stated(&mut self, now: Timestamp, endpoint: &EndpointId, percent: u16) {
        if let Some(speeds) = &mut self.speeds
            && let Some(known) = self.endpoints.get(endpoint)
            && known.is_prefill()
        {
            speeds.prefill.record_percent(now, endpoint, percent);
        }
    }

    /// Lists the slowest endpoints of each role for the log, as `id:time`; the time in thousandths of the
    /// mean. Empty without speeds.
    pub(super) fn speeds_summary(&self, now: Timestamp) -> String {
        let Some(speeds) = self.speeds_in_use() else {
            return String::new();
        };
        let prefill = slowest(now, &speeds.prefill);
        let decode = slowest(now, &speeds.decode);
        format!(" slow_prefill=[{prefill}] slow_decode=[{decode}]")
    }

    /// Time for which a prompt occupies a prefill endpoint.
    pub(super) fn prefill_time_at(
        &self,
        now: Timestamp,
        endpoint: &EndpointId,
        prompt: Tokens,
    ) -> Duration {
        let time = self.estimates.prefill_time(prompt);
        match self.speeds_in_use() {
            Some(speeds) => {
                let current = speeds.prefill.current_permille(now, endpoint);
                time.mul_f64(speeds.prefill_ratio(now, endpoint)) * current / WHOLE_PERMILLE
            }
            None => time,
        }
    }

    /// Time per output token at a decode endpoint while `running` requests run there.
    pub(super) fn token_time_at(
        &self,
        now: Timestamp,
        endpoint: &EndpointId,
        running: usize,
    ) -> Duration {
        let speeds = self.speeds_in_use();
        let nanos =
            speeds.and_then(|speeds| speeds.decode.expected_work(now, endpoint, running as u64));
        nanos.map_or(self.estimates.token_time(), |nanos| {
            Duration::from_nanos((nanos as u64).max(1))
        })
    }

    /// Cost of decode memory at an endpoint: the tokens in use, multiplied by the time for which a
    /// request holds them there relative to the service's average. The cost rises steeply near the
    /// memory limit, so that fast endpoints keep some of the room for outputs that become longer than
    /// estimated.
    pub(super) fn decode_cost(
        &self,
        now: Timestamp,
        endpoint: &EndpointId,
        token_time: Duration,
        tokens: u64,
    ) -> u64 {
        let Some(speeds) = self.speeds_in_use() else {
            return tokens;
        };
        let own = token_time.as_secs_f64();
        let average = self
            .estimates
            .token_time()
            .as_secs_f64()
            .max(f64::MIN_POSITIVE);
        let fill = tokens as f64 / self.view.memory.0.max(1) as f64;
        let room = (1.0 - fill).max(MIN_ROOM);
        let divisor = f64::from(speeds.trial_divisor(now, endpoint));
        (tokens as f64 * own / average / room / divisor) as u64
    }

    /// Expected time at which a prefill endpoint has processed its prompts. A prompt that takes longer
    /// than expected, beyond the usual delay of reports, is assumed to take as long again: the endpoint is slow at this moment, and the
    /// next prompt is better sent to another one.
    pub(super) fn prefill_free_at(&self, now: Timestamp, endpoint: &FleetEndpoint) -> Timestamp {
        /// Delay of a response that says nothing about the endpoint.
        const MIN_OVERDUE: Duration = Duration::from_millis(10);
        let free_at = endpoint.free_at(now);
        let Some(speeds) = self.speeds_in_use() else {
            return free_at;
        };
        let overdue = endpoint.overdue(now, self.estimates.prefill_latency());
        let overdue = overdue.saturating_sub(speeds.usual_delay);
        if overdue < MIN_OVERDUE {
            return free_at;
        }
        free_at.max(now) + overdue
    }

    /// Expected end of a prefill for the comparison of endpoints. Without speeds, an endpoint whose
    /// prompts are overdue is preferred to one that has none.
    pub(super) fn prefill_rank(
        &self,
        now: Timestamp,
        endpoint: &EndpointId,
        free_at: Timestamp,
        prompt: Tokens,
    ) -> Timestamp {
        match self.speeds_in_use() {
            Some(speeds) => {
                let time = self.prefill_time_at(now, endpoint, prompt);
                free_at.max(now) + time / speeds.trial_divisor(now, endpoint)
            }
            None => free_at,
        }
    }

    /// Demand with the times at endpoints of the mean rate of their pool. The estimates of the service
    /// follow the endpoints that get the most requests.
    pub(super) fn demand_at_endpoints(&self, now: Timestamp, demand: Demand) -> Demand {
        let Some(speeds) = self.speeds_in_use() else {
            return demand;
        };
        let pool = |is: fn(&FleetEndpoint) -> bool| {
            let endpoints = self.endpoints.iter();
            endpoints.filter(move |(_, each)| is(each))
        };
        let prefill = harmonic_mean(
            pool(FleetEndpoint::is_prefill).map(|(id, _)| speeds.prefill_ratio(now, id)),
        );
        let average = self.estimates.token_time().as_secs_f64();
        let decode = harmonic_mean(pool(FleetEndpoint::is_decode).map(|(id, each)| {
            let running = each.loads.len().max(1);
            self.token_time_at(now, id, running).as_secs_f64() / average
        }));
        Demand {
            prefill: demand.prefill.mul_f64(prefill),
            decode: demand.decode.mul_f64(decode),
        }
    }
}

/// Harmonic mean of relative durations, the inverse of the mean rate; 1 without any.
fn harmonic_mean(durations: impl Iterator<Item = f64>) -> f64 {
    let (mut count, mut rate) = (0.0, 0.0);
    for duration in durations.filter(|each| each.is_finite() && *each > 0.0) {
        count += 1.0;
        rate += 1.0 / duration;
    }
    if rate > 0.0 { count / rate } else { 1.0 }
}

/// Formats the slowest endpoints of a table.
fn slowest(now: Timestamp, table: &SpeedTable) -> String {
    /// Maximum number of endpoints in a list.
    const MAX_LISTED: usize = 8;
    let mut estimates: Vec<_> = table.estimates(now).collect();
    estimates.sort_by_key(|(_, each)| Reverse(each.time_permille));
    let listed = estimates.iter().take(MAX_LISTED);
    let listed: Vec<String> = listed
        .map(|(id, each)| format!("{id}:{}", each.time_permille))
        .collect();
    listed.join(" ")
}
