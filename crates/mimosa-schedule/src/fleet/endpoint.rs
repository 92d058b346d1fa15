//! State of one endpoint in the fleet scheduler.

use std::collections::BTreeMap;
use std::time::Duration;

use mimosa_protocol::DataCentreId;
use mimosa_protocol::RequestRate;
use mimosa_protocol::ServiceVersion;
use mimosa_protocol::Timestamp;
use mimosa_protocol::configuration::EndpointRole;

use super::GatewayRequestId;
use super::forecast::MemoryLoad;
use crate::cold::ColdStart;
use crate::cold::Pacing;
use crate::rate_limit::RateLimit;
use crate::rate_limit::Senders;

/// Initial backoff after a failure; doubles with each further failure.
const INITIAL_BACKOFF: Duration = Duration::from_millis(300);
/// Maximum backoff, which is the longest time that a recovered endpoint stays without requests.
const MAX_BACKOFF: Duration = Duration::from_secs(3);

/// Time for which a limit holds after it was named. Every response names it while it is in force, so
/// without one the endpoint is not used, or it has no limit any more.
const LIMIT_TIME: Duration = Duration::from_secs(10);

/// An endpoint, the requests placed there and its backoff.
#[derive(Debug, Default)]
pub(super) struct FleetEndpoint {
    pub(super) role: Option<EndpointRole>,
    pub(super) data_centre: Option<DataCentreId>,
    /// Version of the service that it runs, if known.
    pub(super) version: Option<ServiceVersion>,
    /// Whether it is of a version that new requests of the service may use without a permit.
    pub(super) is_open: bool,
    pub(super) cold: ColdStart,
    /// End of the backoff after the endpoint reported that it had no capacity.
    pub(super) no_capacity_until: Timestamp,
    /// Requests placed for decoding here, with their memory load.
    pub(super) loads: BTreeMap<GatewayRequestId, MemoryLoad>,
    prefills: BTreeMap<GatewayRequestId, PendingPrefill>,
    /// End of the backoff after a failure.
    backoff_until: Timestamp,
    rate_limit: RateLimit,
    /// When the limit ends unless a response names it again.
    limit_until: Timestamp,
    consecutive_failures: u32,
}

/// A prompt that an endpoint processes or queues.
#[derive(Clone, Copy, Debug)]
struct PendingPrefill {
    /// Expected time at which the endpoint has processed the prompt; the response follows after the
    /// latency.
    processed_at: Timestamp,
    /// Whether no other prompt was pending when it was sent, so that its duration is its own.
    is_measurable: bool,
}

impl FleetEndpoint {
    pub(super) fn is_decode(&self) -> bool {
        self.role == Some(EndpointRole::Decode)
    }

    pub(super) fn is_prefill(&self) -> bool {
        self.role == Some(EndpointRole::Prefill)
    }

    /// Formats the state for the log: role, number of prefills, number of decodes, time until the
    /// prefills are done in ms, and remaining backoff in ms.
    pub(super) fn summary(&self, now: Timestamp) -> String {
        let blocked = self.backoff_until.max(self.no_capacity_until).since(now);
        let busy = self.free_at(now).since(now);
        format!(
            "{}/{}/{}/{}/{}",
            self.role.map_or("?".to_owned(), |role| format!("{role:?}")),
            self.prefills.len(),
            self.loads.len(),
            busy.as_millis(),
            blocked.as_millis()
        )
    }

    /// Whether a backoff is active.
    pub(super) fn is_blocked(&self, now: Timestamp) -> bool {
        now < self.backoff_until || now < self.no_capacity_until
    }

    /// Number of requests in prefill or placed for decoding here.
    pub(super) fn request_count(&self) -> usize {
        self.prefills.len() + self.loads.len()
    }

    pub(super) fn is_in(&self, data_centre: &DataCentreId) -> bool {
        self.data_centre.as_ref() == Some(data_centre)
    }

    /// Expected time at which the pending prompts are processed.
    pub(super) fn free_at(&self, now: Timestamp) -> Timestamp {
        self.last_processing_end().unwrap_or(now)
    }

    /// Time by which the response to the first pending prompt is late, `latency` after the prompt was
    /// expected to be processed.
    pub(super) fn overdue(&self, now: Timestamp, latency: Duration) -> Duration {
        let first = self.processing_ends().min();
        first.map_or(Duration::ZERO, |at| now.since(at + latency))
    }

    fn processing_ends(&self) -> impl Iterator<Item = Timestamp> {
        self.prefills.values().map(|each| each.processed_at)
    }

    /// Whether the endpoint is in no backoff after a failure, and its cold start and its rate limit allow
    /// a request.
    pub(super) fn accepts_work(&self, now: Timestamp, pacing: Pacing) -> bool {
        let exceeds_limit =
            self.is_limited(now) && !self.rate_limit.allows_request(now, Senders::SINGLE);
        self.cold.allows_request(now, pacing) && now >= self.backoff_until && !exceeds_limit
    }

    /// Limits the rate of requests until [`LIMIT_TIME`] after the last response that names a limit, or
    /// ends the limit.
    pub(super) fn limit(&mut self, now: Timestamp, max_rate: Option<RequestRate>) {
        if max_rate.is_none() || !self.is_limited(now) {
            self.rate_limit = RateLimit::default();
        }
        self.rate_limit
            .record_response(now, now, max_rate, Senders::SINGLE);
        self.limit_until = now + LIMIT_TIME;
    }

    /// Whether a rate limit is in force.
    pub(super) fn is_limited(&self, now: Timestamp) -> bool {
        now < self.limit_until && self.rate_limit.rate().is_some()
    }

    /// Start of the next slot of the limit and the time between two of them; `None` if it allows none.
    pub(super) fn next_slot(&self, now: Timestamp) -> Option<(Timestamp, Duration)> {
        self.rate_limit.next_slot(now, Senders::SINGLE)
    }

    /// Records that a request was placed here.
    pub(super) fn record_request(&mut self, now: Timestamp, pacing: Pacing) {
        self.cold.record_request(now, pacing);
        self.rate_limit.record_request(now, Senders::SINGLE);
    }

    /// Records a failure and starts a backoff, which doubles with each consecutive failure.
    pub(super) fn record_failure(&mut self, now: Timestamp) {
        // Failures of concurrent requests count as one.
        if now < self.backoff_until {
            return;
        }
        let backoff = INITIAL_BACKOFF * 2_u32.pow(self.consecutive_failures.min(8));
        self.backoff_until = now + backoff.min(MAX_BACKOFF);
        self.consecutive_failures += 1;
    }

    /// Records a successful response, which ends the backoff.
    pub(super) fn record_success(&mut self) {
        self.consecutive_failures = 0;
        self.backoff_until = Timestamp::ZERO;
    }

    /// Adds a prompt that takes `time`. Returns when it is expected to be processed.
    pub(super) fn start_prefill(
        &mut self,
        now: Timestamp,
        id: &GatewayRequestId,
        time: Duration,
    ) -> Timestamp {
        let prefill = PendingPrefill {
            processed_at: self.free_at(now).max(now) + time,
            is_measurable: self.prefills.is_empty(),
        };
        self.prefills.insert(id.clone(), prefill);
        prefill.processed_at
    }

    /// Removes a prompt whose response has arrived, `latency` after it was processed. Returns
    /// whether its duration does not include the time of other prompts.
    pub(super) fn finish_prefill(
        &mut self,
        now: Timestamp,
        id: &GatewayRequestId,
        latency: Duration,
    ) -> bool {
        let finished = self.prefills.remove(id);
        // An overdue next prompt is being processed now, so the expected ends are shifted.
        let next = self.processing_ends().min().map(|at| at + latency);
        if let Some(first) = next.filter(|first| *first < now) {
            let shift = now.since(first);
            for each in self.prefills.values_mut() {
                each.processed_at = each.processed_at + shift;
            }
        }
        finished.is_some_and(|prefill| prefill.is_measurable)
    }

    /// Expected time at which the last pending prompt is processed; `None` if none is pending.
    pub(super) fn last_processing_end(&self) -> Option<Timestamp> {
        self.processing_ends().max()
    }
}
