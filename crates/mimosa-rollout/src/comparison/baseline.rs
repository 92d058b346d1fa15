//! How often the old version's responses are bad: over the whole rollout and at present.

use std::collections::BTreeMap;
use std::collections::VecDeque;
use std::time::Duration;

use mimosa_protocol::DataCentreId;
use mimosa_protocol::Timestamp;

use crate::comparison::counts::ByPlace;
use crate::comparison::counts::Counts;
use crate::comparison::evidence::Rates;
use crate::comparison::evidence::SLOW_LEVELS;
use crate::comparison::evidence::SlowRate;
use crate::message::DurationHistogram;

/// Window of the present rate. A fault that affects both versions shows in both within it.
const WINDOW: Duration = Duration::from_secs(2);
/// Responses that the long-term rate counts as in a smaller sample.
const PRIOR_WEIGHT: f64 = 20.0;
/// Responses after which a data centre counts as one that serves the old version.
const MIN_DATA_CENTRE_RESPONSES: u64 = 20;
/// Buckets above a quantile of the old version at which a response counts as slow: a factor of 2,
/// because endpoints of one version differ in speed by up to that much.
const SLOW_BUCKETS: usize = 2;
/// Parts of the old version's responses that are slower than the quantiles in use. A version that is
/// slower throughout shows at the first one, one with some slow responses at the last one.
const QUANTILES: [f64; SLOW_LEVELS] = [0.5, 0.2, 0.05];
/// Share of failures, refusals and slow responses below which versions count as equally good.
const FAILURE_FLOOR: f64 = 0.02;
const REFUSAL_FLOOR: f64 = 0.05;
const SLOW_FLOOR: f64 = 0.05;

#[derive(Clone, Debug, Default)]
struct History {
    total: Counts,
    /// The intervals within [`WINDOW`], oldest first.
    recent: VecDeque<(Timestamp, Counts)>,
}

/// The old version's responses, by route, by data centre and together.
#[derive(Clone, Debug, Default)]
pub(super) struct Baseline {
    all: History,
    routes: BTreeMap<String, History>,
    data_centres: BTreeMap<DataCentreId, History>,
    is_frozen: bool,
}

impl Baseline {
    /// Adds one interval.
    pub(super) fn add(&mut self, now: Timestamp, interval: &ByPlace) {
        if self.is_frozen {
            return;
        }
        self.all.start_interval(now);
        for history in self.routes.values_mut() {
            history.start_interval(now);
        }
        for history in self.data_centres.values_mut() {
            history.start_interval(now);
        }
        for ((route, data_centre), counts) in interval {
            let route = self.routes.entry(route.clone()).or_default();
            let data_centre = self.data_centres.entry(data_centre.clone()).or_default();
            for history in [&mut self.all, route, data_centre] {
                history.add(now, counts);
            }
        }
    }

    pub(super) const fn freeze(&mut self) {
        self.is_frozen = true;
    }

    pub(super) const fn is_frozen(&self) -> bool {
        self.is_frozen
    }

    /// Whether outcomes in a data centre can be compared. They cannot if the old version was served
    /// there and no longer is: the data centre is cut off or taken out.
    pub(super) fn is_comparable(&self, data_centre: &DataCentreId) -> bool {
        let Some(history) = self.data_centres.get(data_centre) else {
            return true;
        };
        let served = history.total.total() >= MIN_DATA_CENTRE_RESPONSES;
        self.is_frozen || !served || history.recent_total().total() > 0
    }

    /// The rates of bad responses that the old version has on a route and in a data centre: the
    /// highest of the long-term and present ones, because only more than that speaks against the new
    /// version.
    pub(super) fn rates(&self, route: &str, data_centre: &DataCentreId) -> Rates {
        let route = self.routes.get(route);
        let data_centre = self.data_centres.get(data_centre);
        let histories = [Some(&self.all), route, data_centre];
        let histories: Vec<&History> = histories.into_iter().flatten().collect();
        let highest = |floor: f64, part: &dyn Fn(&Counts) -> (u64, u64)| {
            let rates = histories.iter().map(|history| history.highest(floor, part));
            rates.fold(floor, f64::max)
        };
        let durations = route.filter(|route| route.total.durations.total() > 0);
        let durations = &durations.unwrap_or(&self.all).total.durations;
        Rates {
            failed: highest(FAILURE_FLOOR, &|c| (c.failed, c.total())),
            refused: highest(REFUSAL_FLOOR, &|c| (c.refused, c.total())),
            slow: QUANTILES.map(|quantile| {
                let bucket = bucket_above(durations, quantile)? + SLOW_BUCKETS;
                let slower = |c: &Counts| (c.slower(bucket), c.durations.total());
                // Routes differ in their usual durations, so those of others say nothing.
                let own = route.map_or(&self.all, |route| route);
                let in_data_centre = data_centre.map_or(0.0, |history| {
                    history.recent_rate(&slower).unwrap_or_default()
                });
                let share = own.highest(SLOW_FLOOR, &slower);
                let share = share.max(in_data_centre).max(SLOW_FLOOR);
                Some(SlowRate { bucket, share })
            }),
        }
    }

    pub(super) fn usual_duration(&self) -> Option<Duration> {
        let bucket = bucket_above(&self.all.total.durations, 0.01)?;
        Some(DurationHistogram::lower_bound(bucket))
    }
}

impl History {
    fn start_interval(&mut self, now: Timestamp) {
        while let Some((at, _)) = self.recent.front()
            && now.since(*at) >= WINDOW
        {
            self.recent.pop_front();
        }
    }

    fn add(&mut self, now: Timestamp, counts: &Counts) {
        self.total.add(counts);
        match self.recent.back_mut() {
            Some((at, sum)) if *at == now => sum.add(counts),
            _ => self.recent.push_back((now, counts.clone())),
        }
    }

    fn recent_total(&self) -> Counts {
        let mut sum = Counts::default();
        self.recent.iter().for_each(|(_, counts)| sum.add(counts));
        sum
    }

    fn recent_rate(&self, part: &dyn Fn(&Counts) -> (u64, u64)) -> Option<f64> {
        let (bad, total) = part(&self.recent_total());
        (total > 0).then(|| bad as f64 / total as f64)
    }

    /// The highest of the rates over the whole time, the window and its last interval.
    fn highest(&self, floor: f64, part: &dyn Fn(&Counts) -> (u64, u64)) -> f64 {
        let smoothed = |counts: &Counts, prior: f64| {
            let (bad, total) = part(counts);
            (bad as f64 + PRIOR_WEIGHT * prior) / (total as f64 + PRIOR_WEIGHT)
        };
        let long_term = smoothed(&self.total, floor);
        let window = smoothed(&self.recent_total(), long_term);
        let last = self.recent.back();
        let last = last.map_or(0.0, |(_, counts)| smoothed(counts, long_term));
        long_term.max(window).max(last)
    }
}

/// The first bucket of which at most `part` of the durations are in later ones or itself; `None`
/// without durations.
fn bucket_above(durations: &DurationHistogram, part: f64) -> Option<usize> {
    let total = durations.total();
    if total == 0 {
        return None;
    }
    let allowed = total as f64 * part;
    let mut slower = total;
    let mut bucket = 0;
    while slower as f64 > allowed {
        slower -= u64::from(*durations.counts.get(bucket)?);
        bucket += 1;
    }
    Some(bucket)
}
