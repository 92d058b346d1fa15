//! Cumulative counts of all gateways, and what was added to them in one interval.

use std::collections::BTreeMap;
use std::collections::HashMap;

use mimosa_protocol::DataCentreId;
use mimosa_protocol::Incarnation;
use mimosa_protocol::InstanceId;

use crate::message::DURATION_BUCKETS;
use crate::message::DurationHistogram;
use crate::message::OutcomeCounts;

/// Outcomes of requests.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Counts {
    /// Complete responses.
    pub complete: u64,
    /// Failures.
    pub failed: u64,
    /// Refusals for lack of capacity.
    pub refused: u64,
    /// Durations of complete responses, by bucket.
    pub durations: DurationHistogram,
}

impl Counts {
    /// All outcomes.
    pub const fn total(&self) -> u64 {
        self.complete + self.failed + self.refused
    }

    pub(super) fn add(&mut self, other: &Self) {
        self.complete += other.complete;
        self.failed += other.failed;
        self.refused += other.refused;
        let counts = &mut self.durations.counts;
        if counts.len() < other.durations.counts.len() {
            counts.resize(other.durations.counts.len(), 0);
        }
        for (sum, count) in counts.iter_mut().zip(&other.durations.counts) {
            *sum = sum.saturating_add(*count);
        }
    }

    /// Number of durations in buckets from `bucket` on.
    pub(super) fn slower(&self, bucket: usize) -> u64 {
        let counts = self.durations.counts.iter().skip(bucket);
        counts.map(|count| u64::from(*count)).sum()
    }
}

type CellKey = (bool, String, DataCentreId);
/// Counts by route and data centre.
pub(super) type ByPlace = BTreeMap<(String, DataCentreId), Counts>;

/// The counts that were added in one interval.
#[derive(Clone, Debug, Default)]
pub(super) struct Interval {
    pub(super) old: ByPlace,
    pub(super) new: ByPlace,
}

/// The last cumulative counts of each gateway.
#[derive(Clone, Debug, Default)]
pub(super) struct Cells {
    gateways: HashMap<InstanceId, (Incarnation, HashMap<CellKey, Counts>)>,
    interval: Interval,
    old: Counts,
    new: Counts,
}

impl Cells {
    /// Adds what the cumulative counts of a report exceed the known ones by. Counts of a late report
    /// are lower and add nothing. The caller has rejected reports of earlier processes.
    pub(super) fn record(
        &mut self,
        gateway: &InstanceId,
        incarnation: Incarnation,
        outcomes: &[OutcomeCounts],
    ) {
        let known = self.gateways.entry(gateway.clone()).or_default();
        if known.0 != incarnation {
            *known = (incarnation, HashMap::new());
        }
        for reported in outcomes {
            let place = (reported.route.clone(), reported.data_centre.clone());
            let key = (reported.is_new, place.0.clone(), place.1.clone());
            let cell = known.1.entry(key).or_default();
            let added = advance(cell, reported);
            let (by_place, total) = match reported.is_new {
                true => (&mut self.interval.new, &mut self.new),
                false => (&mut self.interval.old, &mut self.old),
            };
            total.add(&added);
            by_place.entry(place).or_default().add(&added);
        }
    }

    /// The counts added since the last call.
    pub(super) fn take_interval(&mut self) -> Interval {
        std::mem::take(&mut self.interval)
    }

    pub(super) fn total(&self, is_new: bool) -> Counts {
        match is_new {
            true => self.new.clone(),
            false => self.old.clone(),
        }
    }
}

/// Raises a cell to the reported counts and returns the difference.
fn advance(cell: &mut Counts, reported: &OutcomeCounts) -> Counts {
    let mut added = Counts {
        complete: rise(&mut cell.complete, reported.complete),
        failed: rise(&mut cell.failed, reported.failed),
        refused: rise(&mut cell.refused, reported.refused),
        durations: DurationHistogram::default(),
    };
    let counts = &reported.durations.counts;
    let length = counts.len().min(DURATION_BUCKETS);
    if cell.durations.counts.len() < length {
        cell.durations.counts.resize(length, 0);
    }
    let known = cell.durations.counts.iter_mut();
    added.durations.counts = known
        .zip(counts)
        .map(|(known, reported)| {
            let added = reported.saturating_sub(*known);
            *known += added;
            added
        })
        .collect();
    added
}

fn rise(known: &mut u64, reported: u64) -> u64 {
    let added = reported.saturating_sub(*known);
    *known += added;
    added
}
