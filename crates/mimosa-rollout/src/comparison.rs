//! Compares the responses of two versions while both serve requests.
//!
//! Each test is a cumulative sum of log-likelihood ratios, restarted at 0: evidence that the share of
//! bad responses is that of a bad version rather than the one of the old version at the same time.
//! It detects versions that turn bad later as fast as those that are bad from the start. Tests run
//! over all routes together and over each route, for failures, refusals and three levels of slowness.

use std::collections::BTreeMap;
use std::fmt;
use std::time::Duration;

use mimosa_protocol::Incarnation;
use mimosa_protocol::InstanceId;
use mimosa_protocol::Timestamp;

use crate::message::OutcomeCounts;

mod baseline;
mod counts;
mod evidence;

use self::baseline::Baseline;
use self::counts::Cells;
pub use self::counts::Counts;
use self::evidence::Evidence;
pub use self::evidence::TestKind;

/// Interval at which evidence is added up. Bursts of bad responses within one interval have one cause,
/// such as the loss of one machine, so their evidence is limited.
pub const EVALUATION_INTERVAL: Duration = Duration::from_millis(500);
/// Interval during a move, when there are many responses and little time.
const MOVE_INTERVAL: Duration = Duration::from_millis(200);
/// Duration for which the limits of all tests are set.
const SHORT_ROLLOUT: Duration = Duration::from_secs(12);
/// Routes with tests of their own; those beyond count in the tests over all routes only.
const MAX_ROUTES: usize = 64;

/// Why a version is bad: the test that it failed.
#[derive(Clone, Debug, PartialEq)]
pub struct Finding {
    /// What was tested.
    pub kind: TestKind,
    /// The route; `None` for all routes together.
    pub route: Option<String>,
    /// Bad responses of the new version under this test, and all responses that it covers.
    pub bad: u64,
    /// All responses of the new version that the test covers.
    pub total: u64,
    /// Expected part of bad responses, from the old version.
    pub expected: f64,
}

/// The comparison of one rollout.
#[derive(Clone, Debug)]
pub struct Comparison {
    /// Factor of the limits of slowness.
    slow_factor: f64,
    cells: Cells,
    baseline: Baseline,
    /// By route, with `None` for all routes together.
    evidence: BTreeMap<Option<String>, Evidence>,
    last_evaluated: Option<Timestamp>,
    finding: Option<Finding>,
}

impl Comparison {
    /// Starts the comparison of a rollout of this duration. Machines that differ or are disturbed give
    /// evidence of slowness again and again, so the limits rise with the duration, as do the responses
    /// that a test may use.
    pub fn new(duration: Duration) -> Self {
        let ratio = duration.as_secs_f64() / SHORT_ROLLOUT.as_secs_f64();
        Self {
            slow_factor: 1.0 + ratio.max(1.0).log2() / 2.0,
            cells: Cells::default(),
            baseline: Baseline::default(),
            evidence: BTreeMap::new(),
            last_evaluated: None,
            finding: None,
        }
    }

    /// Takes in the cumulative counts of a report.
    pub fn record(
        &mut self,
        gateway: &InstanceId,
        incarnation: Incarnation,
        outcomes: &[OutcomeCounts],
    ) {
        self.cells.record(gateway, incarnation, outcomes);
    }

    /// Evaluates the counts since the last evaluation, at most once per [`EVALUATION_INTERVAL`].
    pub fn evaluate(&mut self, now: Timestamp) {
        let is_due = self
            .last_evaluated
            .is_none_or(|last| now.since(last) >= self.interval());
        if !is_due {
            return;
        }
        self.last_evaluated = Some(now);
        let interval = self.cells.take_interval();
        self.baseline.add(now, &interval.old);
        for ((route, data_centre), counts) in &interval.new {
            if !self.baseline.is_comparable(data_centre) {
                continue;
            }
            let own = Some(route.clone());
            let has_own = self.evidence.contains_key(&own) || self.evidence.len() <= MAX_ROUTES;
            for scope in [None, own] {
                if scope.is_some() && !has_own {
                    continue;
                }
                let evidence = self.evidence.entry(scope).or_default();
                evidence.add(counts, &self.baseline.rates(route, data_centre));
            }
        }
        for (route, evidence) in &mut self.evidence {
            let failed = evidence.finish_interval(self.slow_factor);
            if let Some((kind, bad, total, expected)) = failed
                && self.finding.is_none()
            {
                self.finding = Some(Finding {
                    kind,
                    route: route.clone(),
                    bad,
                    total,
                    expected,
                });
            }
        }
    }

    /// Keeps the old version's responses until now as the baseline, because the old version gets no
    /// more requests and its last responses are the slowest ones.
    pub fn start_move(&mut self, now: Timestamp) {
        self.last_evaluated = None;
        self.evaluate(now);
        self.freeze_baseline();
    }

    /// Takes no further responses of the old version into the baseline.
    pub const fn freeze_baseline(&mut self) {
        self.baseline.freeze();
    }

    const fn interval(&self) -> Duration {
        match self.baseline.is_frozen() {
            true => MOVE_INTERVAL,
            false => EVALUATION_INTERVAL,
        }
    }

    /// The first test that the new version failed; `None` while it passes all.
    pub const fn finding(&self) -> Option<&Finding> {
        self.finding.as_ref()
    }

    /// The strongest evidence against the new version, relative to what fails a test.
    pub fn suspicion(&self) -> f64 {
        let levels = self.evidence.values();
        let levels = levels.map(|evidence| evidence.level(self.slow_factor));
        levels.fold(0.0, f64::max)
    }

    /// All outcomes of the new version.
    pub fn new_counts(&self) -> Counts {
        self.cells.total(true)
    }

    /// All outcomes of the other versions.
    pub fn old_counts(&self) -> Counts {
        self.cells.total(false)
    }

    /// The duration that all but 1% of the old version's responses stay below; `None` before any.
    pub fn usual_duration(&self) -> Option<Duration> {
        self.baseline.usual_duration()
    }
}

impl fmt::Display for Finding {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let route = self.route.as_deref().unwrap_or("all");
        write!(
            f,
            "{} route={route} bad={} of={} expected_percent={:.1}",
            self.kind,
            self.bad,
            self.total,
            self.expected * 100.0
        )
    }
}
