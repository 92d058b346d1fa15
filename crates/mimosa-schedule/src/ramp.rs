//! Ramp-up of a cold endpoint: a concurrency limit that doubles as requests succeed.
//!
//! A limit is proven once as many requests succeeded as it allows beyond the previous limit. It is
//! then doubled, but not before a minimum interval has passed.

use std::time::Duration;

use mimosa_protocol::Timestamp;

use crate::settings::RampSettings;

/// Concurrency limit of an endpoint during its ramp-up, and its backoff after failures.
#[derive(Clone, Debug, Default)]
pub(crate) struct Ramp {
    /// Maximum number of concurrent requests; `None` once the endpoint is warm.
    permits: Option<u32>,
    /// Concurrency that the endpoint has handled before.
    proven: u32,
    /// Successes since the last change of the limit.
    successes: u32,
    /// Concurrency of the warm endpoint, at which the ramp-up ends.
    concurrency: u32,
    last_change: Timestamp,
    /// Failures since the last completed request.
    failures: u32,
    not_before: Timestamp,
}

impl Ramp {
    pub fn cold(now: Timestamp, settings: &RampSettings) -> Self {
        Self {
            permits: Some(settings.initial_permits.max(1)),
            last_change: now,
            ..Self::default()
        }
    }

    /// Ramp-up of an endpoint that already runs this many requests.
    pub fn with_min_permits(now: Timestamp, requests: u32, settings: &RampSettings) -> Self {
        let mut ramp = Self::cold(now, settings);
        ramp.permits = ramp.permits.max(Some(requests));
        ramp
    }

    /// Maximum number of concurrent requests.
    pub fn permits(&self) -> u32 {
        self.permits.unwrap_or(u32::MAX)
    }

    pub fn is_cold(&self) -> bool {
        self.permits.is_some()
    }

    /// End of the backoff, before which the endpoint gets no new requests.
    pub fn not_before(&self) -> Timestamp {
        self.not_before
    }

    /// Resets the failure count after a completed request.
    pub fn reset_failures(&mut self) {
        self.failures = 0;
    }

    /// Records a success and doubles the permits if it is due.
    pub fn record_success(&mut self, now: Timestamp, concurrency: u32, settings: &RampSettings) {
        self.concurrency = concurrency;
        self.successes = self.successes.saturating_add(1);
        self.double_if_due(now, settings);
    }

    /// Time of the next doubling if it requires no further success.
    pub fn next_doubling(&self, settings: &RampSettings) -> Option<Timestamp> {
        let permits = self.permits?;
        let earned = self.successes >= permits.saturating_sub(self.proven).max(1);
        earned.then(|| self.last_change + settings.doubling_interval)
    }

    /// Doubles the permits if it is due.
    pub fn double_if_due(&mut self, now: Timestamp, settings: &RampSettings) {
        if self.next_doubling(settings).is_none_or(|at| now < at) {
            return;
        }
        self.proven = self.permits.unwrap_or_default();
        let doubled = self.permits.map(|permits| permits.saturating_mul(2));
        self.permits = doubled.filter(|permits| *permits < self.concurrency);
        self.successes = 0;
        self.last_change = now;
    }

    /// Records a failure or refusal. Halves the permits and starts a backoff, for a warm endpoint only
    /// after several failures.
    pub fn record_failure(&mut self, now: Timestamp, settings: &RampSettings) {
        self.failures = self.failures.saturating_add(1);
        if self.permits.is_none() && self.failures < settings.failures_to_cold {
            return;
        }
        let halved = self.permits.map(|permits| permits / 2);
        let initial = settings.initial_permits.max(1);
        self.proven = 0;
        self.permits = halved.map(|permits| permits.max(1)).or(Some(initial));
        self.successes = 0;
        self.last_change = now;
        self.not_before = now + self.current_backoff(settings);
    }

    /// Restarts the ramp-up of a warm endpoint.
    pub fn restart(&mut self, now: Timestamp, settings: &RampSettings) {
        if self.permits.is_none() {
            *self = Self::cold(now, settings);
        }
    }

    fn current_backoff(&self, settings: &RampSettings) -> Duration {
        let doublings = self.failures.saturating_sub(1).min(16);
        settings
            .backoff
            .saturating_mul(1 << doublings)
            .min(settings.max_backoff)
    }
}
