//! Latency monitoring of one endpoint: detection of slowness and a limit of concurrent streams.

use std::time::Duration;

use mimosa_protocol::Timestamp;

use crate::settings::RampSettings;

/// Divisor of the moving average of recent samples.
const RECENT_SMOOTHING: u64 = 4;
/// Divisor of the long-term moving average.
const HISTORY_SMOOTHING: u64 = 32;
/// Value of a sample that equals the expected time.
const EXPECTED_PERMILLE: u64 = 1_000;

/// Compares recent latency with the long-term average. Samples are in thousandths of the expected
/// time.
#[derive(Clone, Debug)]
pub(crate) struct LatencyMonitor {
    recent: u64,
    history: u64,
    samples: u32,
}

impl Default for LatencyMonitor {
    fn default() -> Self {
        Self {
            recent: EXPECTED_PERMILLE,
            history: EXPECTED_PERMILLE,
            samples: 0,
        }
    }
}

impl LatencyMonitor {
    /// Adds a sample. Returns whether the endpoint has become slow.
    pub fn sample(&mut self, took: Duration, expected: Duration, cfg: &RampSettings) -> bool {
        let expected = expected.as_micros().max(1);
        let permille = took.as_micros().saturating_mul(1_000) / expected;
        let permille = u64::try_from(permille).unwrap_or(u64::MAX).min(100_000);
        self.samples = self.samples.saturating_add(1);
        self.recent = moving_average(self.recent, permille, RECENT_SMOOTHING);
        let slow = self.samples > cfg.min_samples && self.is_slow(cfg);
        if slow {
            self.history = self.recent;
            self.samples = 0;
        } else if permille <= self.slow_threshold(cfg) {
            self.history = moving_average(self.history, permille, HISTORY_SMOOTHING);
        }
        slow
    }

    /// Scales an expected time by the recent latency.
    pub fn scale(&self, expected: Duration) -> Duration {
        let micros = expected.as_micros() * u128::from(self.recent) / 1_000;
        Duration::from_micros(u64::try_from(micros).unwrap_or(u64::MAX))
    }

    fn is_slow(&self, cfg: &RampSettings) -> bool {
        self.recent > self.slow_threshold(cfg)
    }

    fn slow_threshold(&self, cfg: &RampSettings) -> u64 {
        self.history.max(EXPECTED_PERMILLE / 2) * cfg.slow_permille / 1_000
    }
}

fn moving_average(old: u64, sample: u64, smoothing: u64) -> u64 {
    (old * (smoothing - 1) + sample) / smoothing
}

/// Limit of concurrent streams at which a decode endpoint keeps its token gap target. The limit is
/// lowered by an eighth if the target is missed and raised by 1 if it is met with a margin of a
/// tenth.
#[derive(Clone, Debug, Default)]
pub(crate) struct StreamLimit {
    limit: Option<u32>,
    last_change: Timestamp,
}

impl StreamLimit {
    /// Maximum number of concurrent streams.
    pub fn limit(&self) -> u32 {
        self.limit.unwrap_or(u32::MAX)
    }

    /// Adds a measured token gap with the number of streams at the time of the measurement.
    pub fn report(&mut self, measured: Timestamp, streams: u32, gap: Duration, target: Duration) {
        if measured <= self.last_change {
            return;
        }
        if gap > target && streams <= self.limit() {
            self.limit = Some((streams * 7 / 8).max(1));
            self.last_change = measured;
        } else if gap < target * 9 / 10 && streams >= self.limit() {
            self.limit = self.limit.and_then(|limit| limit.checked_add(1));
            self.last_change = measured;
        }
    }
}
