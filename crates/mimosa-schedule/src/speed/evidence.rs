//! Evidence on the speed of one endpoint.

use std::time::Duration;

use mimosa_protocol::Timestamp;

use super::MAX_TIME_PERMILLE;
use super::MIN_TIME_PERMILLE;
use super::ServiceMean;
use super::SpeedEstimate;
use super::WHOLE_PERMILLE;
use super::WorkSums;

/// Half-life of the evidence: several episodes of 600 ms in which an endpoint is slower, so that the
/// mean of the episodes is learned and not the latest one, and short enough to follow a lasting change
/// within seconds.
const HALF_LIFE: Duration = Duration::from_secs(5);
/// Weight of the service's mean, in pieces of work, against the evidence of the endpoint itself.
const PRIOR_WEIGHT: f64 = 4.0;
/// Variance of the load, summed over the work, from which the endpoint's own increase of the duration
/// counts as much as that of the service.
const PRIOR_VARIANCE: f64 = 16.0;
/// Weight below which evidence is dropped.
const MIN_WEIGHT: f64 = 0.01;
/// Age at which an endpoint's own figure says nothing any more. Endpoints are slower for some 600 ms
/// at a time, so that half of the episodes of which a figure tells have ended after 300 ms.
const PERCENT_LIFETIME: Duration = Duration::from_millis(600);
/// Time over which the endpoint's own figures are averaged; several episodes.
const PERCENT_AVERAGING: Duration = Duration::from_secs(10);
/// Divisor of the moving averages of the errors with and without the endpoint's own figure.
const ERROR_SMOOTHING: f64 = 32.0;

/// Decaying sums over completed work, and the endpoint's own figure.
#[derive(Clone, Debug, Default)]
pub(super) struct Evidence {
    sums: Sums,
    at: Timestamp,
    /// Latest figure of the endpoint in percent, and its time.
    percent: Option<(Timestamp, f64)>,
    /// Moving average of the figures.
    usual_percent: f64,
    /// Mean relative errors of the durations predicted with and without the figure.
    error_with: f64,
    error_without: f64,
}

/// Decayed sums over completed work.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct Sums {
    pub(super) weight: f64,
    load: f64,
    load_squared: f64,
    work: f64,
    load_work: f64,
}

impl Evidence {
    pub(super) fn add(&mut self, now: Timestamp, sums: &WorkSums, service_work: f64) {
        self.check_percent(now, sums, service_work);
        let old = self.sums_at(now);
        self.sums = Sums {
            weight: old.weight + f64::from(sums.count),
            load: old.load + sums.load as f64,
            load_squared: old.load_squared + sums.load_squared as f64,
            work: old.work + sums.work as f64,
            load_work: old.load_work + sums.load_work as f64,
        };
        self.at = now;
    }

    /// Compares the predictions of a duration with and without the endpoint's own figure.
    fn check_percent(&mut self, now: Timestamp, sums: &WorkSums, service_work: f64) {
        let Some((at, percent)) = self.percent else {
            return;
        };
        let expected = self.sums.mean_work().unwrap_or(service_work);
        if now.since(at) > PERCENT_LIFETIME || expected <= 0.0 || self.usual_percent <= 0.0 {
            return;
        }
        let actual = sums.work as f64 / f64::from(sums.count);
        let error = |expected: f64| (actual / expected).ln().abs().min(2.0);
        let error_with = error(expected * percent / self.usual_percent);
        self.error_with += (error_with - self.error_with) / ERROR_SMOOTHING;
        self.error_without += (error(expected) - self.error_without) / ERROR_SMOOTHING;
    }

    pub(super) fn set_percent(&mut self, now: Timestamp, percent: u16) {
        let percent = f64::from(percent.max(1));
        match self.percent {
            // The previous figure held until now: figures may be recorded only when they change.
            Some((at, previous)) => {
                let share = now.since(at).as_secs_f64() / PERCENT_AVERAGING.as_secs_f64();
                self.usual_percent += (previous - self.usual_percent) * share.min(1.0);
            }
            None => self.usual_percent = percent,
        }
        self.percent = Some((now, percent));
    }

    /// The sums, decayed to a time.
    pub(super) fn sums_at(&self, now: Timestamp) -> Sums {
        let halvings = now.since(self.at).as_secs_f64() / HALF_LIFE.as_secs_f64();
        let keep = (-halvings).exp2();
        Sums {
            weight: self.sums.weight * keep,
            load: self.sums.load * keep,
            load_squared: self.sums.load_squared * keep,
            work: self.sums.work * keep,
            load_work: self.sums.load_work * keep,
        }
    }

    pub(super) const fn updated_at(&self) -> Timestamp {
        self.at
    }

    pub(super) fn is_expired(&self, now: Timestamp) -> bool {
        self.sums_at(now).weight < MIN_WEIGHT
    }

    pub(super) fn estimate(&self, now: Timestamp, service: ServiceMean) -> SpeedEstimate {
        let sums = self.sums_at(now);
        if sums.weight < MIN_WEIGHT || service.idle_work <= 0.0 {
            return SpeedEstimate::default();
        }
        let slope = slope(
            sums.load_variance() + PRIOR_VARIANCE,
            sums.relative_covariance(),
            service.slope * PRIOR_VARIANCE,
        );
        let own = sums.idle_work(slope) / service.idle_work;
        let time = (own * sums.weight + PRIOR_WEIGHT) / (sums.weight + PRIOR_WEIGHT);
        let time_permille = (time * f64::from(WHOLE_PERMILLE)) as u32;
        SpeedEstimate {
            time_permille: time_permille.clamp(MIN_TIME_PERMILLE, MAX_TIME_PERMILLE),
            concurrency_permille: concurrency_permille(slope, sums.mean_load()),
        }
    }

    pub(super) fn current_permille(&self, now: Timestamp) -> u32 {
        let Some((at, percent)) = self.percent else {
            return WHOLE_PERMILLE;
        };
        let age = now.since(at);
        if age >= PERCENT_LIFETIME || self.error_with > self.error_without {
            return WHOLE_PERMILLE;
        }
        // The share of the episodes that have not ended.
        let weight = 1.0 - age.as_secs_f64() / PERCENT_LIFETIME.as_secs_f64();
        let ratio = 1.0 + weight * (percent / self.usual_percent - 1.0);
        let permille = (ratio * f64::from(WHOLE_PERMILLE)) as u32;
        permille.clamp(MIN_TIME_PERMILLE, MAX_TIME_PERMILLE)
    }
}

impl Sums {
    fn mean_work(&self) -> Option<f64> {
        (self.weight >= MIN_WEIGHT).then(|| self.work / self.weight)
    }

    pub(super) fn mean_load(&self) -> f64 {
        self.load / self.weight.max(MIN_WEIGHT)
    }

    /// Variance of the load, multiplied by the weight.
    pub(super) fn load_variance(&self) -> f64 {
        if self.weight < MIN_WEIGHT {
            return 0.0;
        }
        (self.load_squared - self.load * self.load / self.weight).max(0.0)
    }

    /// Covariance of the load and the duration relative to its mean, multiplied by the weight.
    pub(super) fn relative_covariance(&self) -> f64 {
        match self.mean_work() {
            Some(mean) if mean > 0.0 => (self.load_work - self.load * mean) / mean,
            _ => 0.0,
        }
    }

    /// Duration of work at the idle endpoint, if it increases with each request by `slope` relative to
    /// the mean duration.
    pub(super) fn idle_work(&self, slope: f64) -> f64 {
        /// Least share of the mean duration that the load does not explain.
        const MIN_SHARE: f64 = 0.25;
        let share = (1.0 - slope * self.mean_load()).max(MIN_SHARE);
        self.mean_work().unwrap_or(0.0) * share
    }
}

/// Relative increase of the duration with each request; not negative.
pub(super) fn slope(variance: f64, covariance: f64, prior: f64) -> f64 {
    /// Variance, summed over the work, below which nothing is known.
    const MIN_VARIANCE: f64 = 1.0;
    if variance < MIN_VARIANCE {
        return 0.0;
    }
    ((covariance + prior) / variance).max(0.0)
}

/// Load at which the duration is twice that of the idle endpoint, in thousandths.
pub(super) fn concurrency_permille(slope: f64, mean_load: f64) -> Option<u32> {
    /// Increase below which the endpoint does not slow down noticeably.
    const MIN_SLOPE: f64 = 0.005;
    let permille = || (1.0 / slope - mean_load).max(1.0) * 1e3;
    (slope >= MIN_SLOPE).then(|| permille() as u32)
}
