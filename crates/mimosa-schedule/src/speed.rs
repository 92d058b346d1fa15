//! Speed of the endpoints of one service, learned from the durations of completed work.
//!
//! An endpoint is described by the duration of its work relative to the service's mean, and by the
//! number of requests at which that duration has doubled. Both come from sums that are added over
//! gateways and decay with time, so that an endpoint without recent evidence is assumed to be
//! average and is tried again. Only successful work is recorded: an endpoint that fails fast does
//! not appear fast.
//!
//! The time for which a request waited at an endpoint is left out: see [`WorkSums::record_call`].
//! Endpoints also state how long work takes at this moment. That figure is used relative to the
//! endpoint's own usual figure, only while it is fresh, and only as far as it has explained
//! durations: see [`SpeedTable::current_permille`].

use std::collections::BTreeMap;
use std::time::Duration;

use mimosa_protocol::EndpointId;
use mimosa_protocol::Timestamp;
use mimosa_protocol::data;

mod evidence;
pub mod select;

use self::evidence::Evidence;

const WHOLE_PERMILLE: u32 = 1_000;
/// Interval of the updates of the service's mean.
const MEAN_INTERVAL: Duration = Duration::from_millis(250);
/// Maximum relative duration of the work at an endpoint, in thousandths. Together with the minimum it
/// bounds the effect of wrong measurements.
const MAX_TIME_PERMILLE: u32 = 8_000;
const MIN_TIME_PERMILLE: u32 = 125;

data! {
    /// Sums over work that an endpoint completed in some interval. The unit of the work is the same
    /// for all endpoints of a service.
    #[derive(Copy, Default)]
    pub struct WorkSums {
        /// Number of pieces of work.
        pub count: u32,
        /// Requests that ran at the endpoint, summed over the pieces.
        pub load: u64,
        /// Squares of those numbers.
        pub load_squared: u64,
        /// Durations of the work.
        pub work: u64,
        /// Durations, each multiplied by the number of requests that ran.
        pub load_work: u64,
    }

    /// Sums of one endpoint, as a gateway reports them.
    pub struct EndpointWork {
        /// Endpoint that completed the work.
        pub endpoint: EndpointId,
        /// Sums since the previous report.
        pub sums: WorkSums,
    }

    /// What is known of the speed of an endpoint.
    #[derive(Copy)]
    pub struct SpeedEstimate {
        /// Duration of work at the idle endpoint in thousandths of the service's mean.
        pub time_permille: u32,
        /// Number of running requests at which the duration has doubled, in thousandths of a request;
        /// `None` if that is unknown or was not observed.
        pub concurrency_permille: Option<u32>,
    }

    /// Estimate of one endpoint, as the leader sends it to gateways.
    pub struct EndpointSpeed {
        /// Endpoint that the estimate describes.
        pub endpoint: EndpointId,
        /// Estimate over the reports of all gateways.
        pub estimate: SpeedEstimate,
    }
}

impl Default for SpeedEstimate {
    /// The estimate of an average endpoint, which holds without evidence.
    fn default() -> Self {
        Self {
            time_permille: WHOLE_PERMILLE,
            concurrency_permille: None,
        }
    }
}

impl WorkSums {
    /// The sums of a single piece of work that took `work` while `load` requests ran.
    pub fn one(load: u64, work: u64) -> Self {
        Self {
            count: 1,
            load,
            load_squared: load.saturating_mul(load),
            work,
            load_work: load.saturating_mul(work),
        }
    }

    /// Adds a call that took `took` and whose response reported `running` and `waiting` requests.
    /// By Little's law, the share of the running requests is the share of the time in which the call
    /// was processed and did not wait.
    pub fn record_call(&mut self, took: Duration, running: u32, waiting: u32) {
        // The call itself has ended and is not counted in the response.
        let running = u64::from(running.max(1));
        let micros = u64::try_from(took.as_micros()).unwrap_or(u64::MAX);
        let work = micros.saturating_mul(running) / (running + u64::from(waiting));
        self.add(&Self::one(running, work.max(1)));
    }

    /// Adds other sums.
    pub fn add(&mut self, other: &Self) {
        self.count = self.count.saturating_add(other.count);
        self.load = self.load.saturating_add(other.load);
        self.load_squared = self.load_squared.saturating_add(other.load_squared);
        self.work = self.work.saturating_add(other.work);
        self.load_work = self.load_work.saturating_add(other.load_work);
    }
}

impl SpeedEstimate {
    /// Whether the estimate differs so much from an earlier one that gateways must learn of it.
    pub fn differs_from(&self, earlier: &Self) -> bool {
        /// Difference, in thousandths, that changes the shares of endpoints less than their usual
        /// fluctuation.
        const MIN_CHANGE_PERMILLE: u32 = 100;
        let differs = |new: u32, old: u32| {
            u64::from(new.abs_diff(old)) * 1_000 > u64::from(old) * u64::from(MIN_CHANGE_PERMILLE)
        };
        let concurrency = match (self.concurrency_permille, earlier.concurrency_permille) {
            (Some(new), Some(old)) => differs(new, old),
            (new, old) => new != old,
        };
        concurrency || differs(self.time_permille, earlier.time_permille)
    }
}

/// Evidence on the speed of the endpoints of one service.
#[derive(Debug, Default)]
pub struct SpeedTable {
    endpoints: BTreeMap<EndpointId, Evidence>,
    mean: ServiceMean,
    mean_at: Timestamp,
}

/// Means over the endpoints of a service.
#[derive(Clone, Copy, Debug, Default)]
struct ServiceMean {
    /// Duration of work at an idle endpoint; 0 without evidence.
    idle_work: f64,
    /// Increase of the duration for each running request, relative to the duration at the usual load.
    slope: f64,
    /// Usual number of running requests.
    load: f64,
}

impl SpeedTable {
    /// Adds completed work of an endpoint.
    pub fn record(&mut self, now: Timestamp, endpoint: &EndpointId, sums: &WorkSums) {
        if sums.count == 0 {
            return;
        }
        let mean = self.mean;
        self.evidence(endpoint).add(now, sums, mean.idle_work);
        if now.since(self.mean_at) >= MEAN_INTERVAL || mean.idle_work == 0.0 {
            self.mean_at = now;
            self.mean = ServiceMean::of(now, self.endpoints.values());
        }
    }

    /// Records how long work takes at this moment according to the endpoint, in percent of the usual
    /// duration.
    pub fn record_percent(&mut self, now: Timestamp, endpoint: &EndpointId, percent: u16) {
        self.evidence(endpoint).set_percent(now, percent);
    }

    /// Time since the last evidence on an endpoint; `None` without any.
    pub fn age(&self, now: Timestamp, endpoint: &EndpointId) -> Option<Duration> {
        let evidence = self.endpoints.get(endpoint);
        evidence.map(|each| now.since(each.updated_at()))
    }

    /// Whether there is evidence on an endpoint.
    pub fn contains(&self, endpoint: &EndpointId) -> bool {
        self.endpoints.contains_key(endpoint)
    }

    /// Number of endpoints with evidence.
    pub fn len(&self) -> usize {
        self.endpoints.len()
    }

    /// Whether there is no evidence.
    pub fn is_empty(&self) -> bool {
        self.endpoints.is_empty()
    }

    /// Removes the endpoints for which `keeps` returns false.
    pub fn retain(&mut self, mut keeps: impl FnMut(&EndpointId) -> bool) {
        self.endpoints.retain(|id, _| keeps(id));
    }

    /// Removes the endpoints without evidence.
    pub fn expire(&mut self, now: Timestamp) {
        self.endpoints.retain(|_, each| !each.is_expired(now));
    }

    /// The estimate of an endpoint.
    pub fn estimate(&self, now: Timestamp, endpoint: &EndpointId) -> SpeedEstimate {
        let evidence = self.endpoints.get(endpoint);
        evidence.map_or_else(SpeedEstimate::default, |each| each.estimate(now, self.mean))
    }

    /// Estimates of all endpoints with evidence.
    pub fn estimates(&self, now: Timestamp) -> impl Iterator<Item = (&EndpointId, SpeedEstimate)> {
        let endpoints = self.endpoints.iter();
        endpoints.map(move |(id, each)| (id, each.estimate(now, self.mean)))
    }

    /// Duration of work at this moment, in thousandths of the usual duration at the endpoint, as far
    /// as the endpoint's own figure is known to explain durations.
    pub fn current_permille(&self, now: Timestamp, endpoint: &EndpointId) -> u32 {
        let evidence = self.endpoints.get(endpoint);
        evidence.map_or(WHOLE_PERMILLE, |each| each.current_permille(now))
    }

    /// Expected duration of work at an endpoint while `load` requests run there; `None` before the
    /// first work of the service.
    pub fn expected_work(&self, now: Timestamp, endpoint: &EndpointId, load: u64) -> Option<f64> {
        if self.mean.idle_work <= 0.0 {
            return None;
        }
        let estimate = self.estimate(now, endpoint);
        let concurrency = estimate.concurrency_permille;
        let concurrency = concurrency.or_else(|| self.mean.concurrency_permille());
        let slowdown = concurrency.map_or(0.0, |each| load as f64 * 1e3 / f64::from(each));
        let time = f64::from(estimate.time_permille) / f64::from(WHOLE_PERMILLE);
        Some(self.mean.idle_work * time * (1.0 + slowdown))
    }

    fn evidence(&mut self, endpoint: &EndpointId) -> &mut Evidence {
        if !self.endpoints.contains_key(endpoint) {
            self.endpoints.insert(endpoint.clone(), Evidence::default());
        }
        self.endpoints
            .get_mut(endpoint)
            .expect("the endpoint was added above")
    }
}

impl ServiceMean {
    /// Requests at which the duration has doubled, in thousandths.
    fn concurrency_permille(&self) -> Option<u32> {
        evidence::concurrency_permille(self.slope, self.load)
    }

    fn of<'a>(now: Timestamp, endpoints: impl Iterator<Item = &'a Evidence>) -> Self {
        /// Weight, in pieces of work, from which endpoints count the same, so that the mean does not
        /// follow the endpoint with the most requests.
        const FULL_WEIGHT: f64 = 8.0;
        let (mut weight, mut work, mut load) = (0.0, 0.0, 0.0);
        let (mut variance, mut covariance) = (0.0, 0.0);
        let evidence: Vec<_> = endpoints.map(|each| each.sums_at(now)).collect();
        for sums in &evidence {
            variance += sums.load_variance();
            covariance += sums.relative_covariance();
        }
        let slope = evidence::slope(variance, covariance, 0.0);
        for sums in &evidence {
            let own = sums.weight.min(FULL_WEIGHT);
            weight += own;
            work += own * sums.idle_work(slope);
            load += own * sums.mean_load();
        }
        let mean = |sum: f64| if weight > 0.0 { sum / weight } else { 0.0 };
        Self {
            idle_work: mean(work),
            slope,
            load: mean(load),
        }
    }
}
