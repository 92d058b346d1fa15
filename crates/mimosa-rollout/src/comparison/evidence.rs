//! Sequential tests of one scope: evidence that the new version is bad.

use std::fmt;

use crate::comparison::counts::Counts;

/// Levels of slowness that are tested.
pub(super) const SLOW_LEVELS: usize = 3;
/// Evidence at which a test fails, in natural logarithms of the likelihood ratio. The error rates that
/// follow are in the design note.
const LIMITS: [f64; TESTS] = [8.0, 10.0, 8.0, 8.0, 8.0];
/// Most evidence from one interval of few responses. Two intervals are needed for failures. Slowness
/// needs four, because interference by other work on a machine lasts for some 600 ms.
const INTERVAL_LIMITS: [f64; TESTS] = [5.0, 3.0, 4.0, 4.0, 4.0];
/// Responses per interval above which the limit of an interval rises in proportion. Only a move to
/// the new version, or a change of leader, brings more.
const USUAL_RESPONSES: f64 = 10.0;
/// Number of tests: failures, refusals and the levels of slowness.
const TESTS: usize = 2 + SLOW_LEVELS;

/// What a test counts as bad.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum TestKind {
    /// Failed requests.
    Failures,
    /// Refusals for lack of capacity.
    Refusals,
    /// Responses that take at least twice as long as those of the old version.
    Slow,
}

/// How often the old version's responses are bad.
#[derive(Clone, Debug)]
pub(super) struct Rates {
    pub(super) failed: f64,
    pub(super) refused: f64,
    /// For each level; `None` while the old version has no durations.
    pub(super) slow: [Option<SlowRate>; SLOW_LEVELS],
}

/// From which bucket on a response counts as slow, and the share of the old version's.
#[derive(Clone, Copy, Debug)]
pub(super) struct SlowRate {
    pub(super) bucket: usize,
    pub(super) share: f64,
}

#[derive(Clone, Copy, Debug, Default)]
struct Test {
    /// Evidence before the interval.
    sum: f64,
    /// Evidence of the interval so far, and its responses.
    interval: f64,
    responses: u64,
    bad: u64,
    total: u64,
    expected: f64,
}

/// The tests of one scope.
#[derive(Clone, Debug, Default)]
pub(super) struct Evidence([Test; TESTS]);

impl Evidence {
    /// Adds the new version's counts of one route and data centre.
    pub(super) fn add(&mut self, counts: &Counts, rates: &Rates) {
        let [failures, refusals, slow @ ..] = &mut self.0;
        let served = counts.complete + counts.failed;
        failures.add(counts.failed, served, rates.failed, 0.15);
        refusals.add(counts.refused, counts.total(), rates.refused, 0.3);
        for (test, rate) in slow.iter_mut().zip(&rates.slow) {
            let Some(rate) = rate else { continue };
            let bad = counts.slower(rate.bucket);
            test.add(bad, counts.durations.total(), rate.share, 0.3);
        }
    }

    /// Adds up the interval. Returns the kind, bad responses, all responses and the expected share of
    /// the first test that fails.
    pub(super) fn finish_interval(
        &mut self,
        slow_factor: f64,
    ) -> Option<(TestKind, u64, u64, f64)> {
        let kinds = [TestKind::Failures, TestKind::Refusals];
        let kinds = kinds.into_iter().chain([TestKind::Slow; SLOW_LEVELS]);
        let mut failed = None;
        for (index, (test, kind)) in self.0.iter_mut().zip(kinds).enumerate() {
            test.finish_interval(INTERVAL_LIMITS[index]);
            if test.sum >= limit(index, slow_factor) && failed.is_none() {
                failed = Some((kind, test.bad, test.total, test.expected));
            }
        }
        failed
    }

    /// The strongest evidence relative to its limit.
    pub(super) fn level(&self, slow_factor: f64) -> f64 {
        let tests = self.0.iter().enumerate();
        let levels = tests.map(|(index, test)| test.sum / limit(index, slow_factor));
        levels.fold(0.0, f64::max)
    }
}

/// The limit of a test, with a factor for those of slowness.
fn limit(index: usize, slow_factor: f64) -> f64 {
    let is_slow = index >= TESTS - SLOW_LEVELS;
    LIMITS[index] * if is_slow { slow_factor } else { 1.0 }
}

impl Test {
    /// Adds responses. `usual` is the old version's rate, and a bad version has at least `least`.
    fn add(&mut self, bad: u64, total: u64, usual: f64, least: f64) {
        let usual = usual.min(0.9);
        let suspect = (2.5 * usual + 0.05).max(least).min(0.97);
        let good = total.saturating_sub(bad);
        self.interval += bad as f64 * (suspect / usual).ln();
        self.interval += good as f64 * ((1.0 - suspect) / (1.0 - usual)).ln();
        self.responses += total;
        self.bad += bad;
        self.total += total;
        self.expected = usual;
    }

    fn finish_interval(&mut self, limit: f64) {
        let scale = (self.responses as f64 / USUAL_RESPONSES).max(1.0);
        self.sum = (self.sum + self.interval.min(limit * scale)).max(0.0);
        self.interval = 0.0;
        self.responses = 0;
    }
}

impl fmt::Display for TestKind {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.pad(match self {
            Self::Failures => "failures",
            Self::Refusals => "refusals",
            Self::Slow => "slow",
        })
    }
}
