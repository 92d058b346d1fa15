//! Rate limit for requests to endpoints that have just started.
//!
//! Until it is warm, an endpoint handles only a few requests per second from all senders together,
//! and it crashes at rates well above that. This matters most if many endpoints restart at the same
//! time.

use std::time::Duration;

use mimosa_protocol::Timestamp;

/// Minimum interval between two requests to a cold endpoint. Its first requests take several times
/// as long as usual, and requests sent in the meantime queue up behind them.
const MIN_INTERVAL: Duration = Duration::from_millis(100);
/// Length of a kilosecond in ms. The request rate of a cold endpoint is configured per kilosecond.
const KILOSECOND_MILLIS: u64 = 1_000_000;

/// Rate limit of one sender to a cold endpoint.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Pacing {
    /// Minimum time between two requests of this sender.
    pub interval: Duration,
    /// Delay before the first request, in thousandths of the interval. It differs between senders,
    /// so that they do not all send at the moment at which they learn of a cold endpoint.
    pub phase_permille: u16,
}

impl Pacing {
    /// Pacing for a single sender to an endpoint that handles `requests_per_kilosecond` requests in
    /// 1,000 s; 0 if the rate is unknown.
    pub fn single_sender(requests_per_kilosecond: u64) -> Self {
        Self::for_sender(requests_per_kilosecond, 1, 0)
    }

    /// Pacing for one of several senders that share the rate. `number` must differ between senders.
    pub fn for_sender(requests_per_kilosecond: u64, senders: u32, number: u64) -> Self {
        let millis = KILOSECOND_MILLIS * u64::from(senders.max(1));
        let millis = millis
            .checked_div(requests_per_kilosecond)
            .unwrap_or_default();
        Self {
            interval: Duration::from_millis(millis).max(MIN_INTERVAL),
            phase_permille: u16::try_from(number % 1_000).unwrap_or_default(),
        }
    }

    fn phase(self) -> Duration {
        self.interval * u32::from(self.phase_permille) / 1_000
    }
}

/// State of the cold start of an endpoint at one sender.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct ColdStart {
    since: Timestamp,
    until: Timestamp,
    next_request: Timestamp,
}

impl ColdStart {
    /// Sets the time at which the endpoint is warm. Starts a new cold start if it was warm before.
    pub fn set_until(&mut self, now: Timestamp, until: Timestamp) {
        if !self.is_cold(now) {
            self.since = now;
        }
        self.until = until;
    }

    /// Time from which the endpoint is warm; [`Timestamp::ZERO`] if it was never cold.
    pub const fn until(&self) -> Timestamp {
        self.until
    }

    /// Whether the cold start has not ended, so that the request rate is limited.
    pub fn is_cold(&self, now: Timestamp) -> bool {
        now < self.until
    }

    /// Whether a request may be sent now: always to a warm endpoint, and at the intervals of
    /// `pacing` to a cold one.
    pub fn allows_request(&self, now: Timestamp, pacing: Pacing) -> bool {
        let first = self.since + pacing.phase();
        !self.is_cold(now) || now >= first.max(self.next_request)
    }

    /// Records a sent request. The next one to a cold endpoint may follow after the interval of
    /// `pacing`.
    pub fn record_request(&mut self, now: Timestamp, pacing: Pacing) {
        self.next_request = now + pacing.interval;
    }
}
