//! Recent failures and latency of an endpoint as observed by one gateway.

use std::time::Duration;

use mimosa_protocol::Timestamp;

/// Divisor of the moving averages: about the last 8 results count.
const SMOOTHING_DIVISOR: u64 = 8;
/// Half-life of the failure rate, so that a recovered endpoint is used again.
const HALF_LIFE: Duration = Duration::from_secs(4);
/// Initial backoff after an endpoint was unreachable; doubles with each further time.
const INITIAL_BACKOFF: Duration = Duration::from_millis(500);
/// Maximum backoff, which is the longest time that a recovered endpoint stays without requests.
const MAX_BACKOFF: Duration = Duration::from_secs(4);
const WHOLE_PERMILLE: u64 = 1_000;

/// Recent failures and latency of an endpoint.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Health {
    failure_permille: u64,
    decayed_at: Timestamp,
    latency: Option<Duration>,
    consecutive_unreachable: u32,
    backoff_until: Timestamp,
}

impl Health {
    /// Records a successful response and its latency.
    pub fn record_answer(&mut self, now: Timestamp, took: Duration) {
        self.record(now, 0);
        self.consecutive_unreachable = 0;
        self.backoff_until = Timestamp::ZERO;
        let old = self.latency.unwrap_or(took);
        let smoothing = SMOOTHING_DIVISOR as u32;
        self.latency = Some(old - old / smoothing + took / smoothing);
    }

    /// Records an error response or a missing response.
    pub fn record_failure(&mut self, now: Timestamp) {
        self.record(now, WHOLE_PERMILLE);
    }

    /// Records that the endpoint was unreachable or disconnected during a request, and starts a
    /// backoff.
    pub fn record_unreachable(&mut self, now: Timestamp) {
        self.record(now, WHOLE_PERMILLE);
        let backoff = INITIAL_BACKOFF * 2_u32.pow(self.consecutive_unreachable.min(8));
        self.consecutive_unreachable += 1;
        self.backoff_until = now + backoff.min(MAX_BACKOFF);
    }

    /// Whether other endpoints should be preferred because this one was unreachable.
    pub fn is_backing_off(&self, now: Timestamp) -> bool {
        now < self.backoff_until
    }

    /// Moving average of the failure rate, in thousandths.
    pub fn failure_permille(&self, now: Timestamp) -> u64 {
        let halvings = now.since(self.decayed_at).as_millis() / HALF_LIFE.as_millis();
        self.failure_permille >> halvings.min(63)
    }

    /// Moving average of the latency; `None` before the first response.
    pub const fn latency(&self) -> Option<Duration> {
        self.latency
    }

    fn record(&mut self, now: Timestamp, sample: u64) {
        let old = self.failure_permille(now);
        self.failure_permille = old - old / SMOOTHING_DIVISOR + sample / SMOOTHING_DIVISOR;
        self.decayed_at = now;
    }
}
