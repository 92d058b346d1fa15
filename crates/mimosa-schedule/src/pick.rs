//! Chooses an endpoint from what one gateway knows, without asking anybody.
//!
//! It answers the load of plain services and of models while no scheduler is reached: many small
//! requests, each gateway seeing a part of them.

use std::time::Duration;

/// An endpoint that could take a request.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Candidate {
    /// Work of this gateway that it has in hand: requests, or prompt tokens.
    pub own_load: u64,
    /// Work of all callers that it told of, as long as that is recent.
    pub reported_load: Option<u64>,
    /// Work that it does at once without getting slower.
    pub concurrency: u64,
    /// Usual time of an answer.
    pub latency: Option<Duration>,
    /// Recent part of failures, in thousandths.
    pub failure_permille: u64,
    /// Whether it could not be reached lately.
    pub last_resort: bool,
    /// Whether it stands in this gateway's data centre.
    pub is_local: bool,
}

/// How much a failing endpoint's cost grows, in multiples at a failure part of one whole.
const FAILURE_WEIGHT: u64 = 8;
/// What the way to another data centre costs, in thousandths of the whole cost. It decides between
/// endpoints that are otherwise alike: bytes between data centres are not free.
const FAR_PERMILLE: u64 = 150;
/// All of something, in thousandths.
const WHOLE: u64 = 1_000;

/// The place of the endpoint with the lowest cost; a random number decides between equal ones.
/// Paused endpoints come last.
pub fn pick(candidates: &[Candidate], random: u64) -> Option<usize> {
    // An endpoint that has not answered yet counts as the fastest, or it would never be tried.
    let fastest = candidates.iter().filter_map(|each| each.latency).min();
    let fastest = fastest.unwrap_or(Duration::from_millis(1));
    let shift = usize::try_from(random % candidates.len().max(1) as u64).ok()?;
    (0..candidates.len())
        .map(|place| (place + shift) % candidates.len())
        .min_by_key(|place| {
            let each = &candidates[*place];
            (each.last_resort, cost(each, fastest))
        })
}

/// Expected time of one more request, in microseconds, with what failures and distance add.
fn cost(candidate: &Candidate, fastest: Duration) -> u64 {
    let width = candidate.concurrency.max(1);
    let work = candidate.own_load.max(candidate.reported_load.unwrap_or(0));
    let load_permille = WHOLE + work * WHOLE / width;
    let latency = candidate.latency.unwrap_or(fastest);
    let latency = u64::try_from(latency.as_micros())
        .unwrap_or(u64::MAX)
        .max(1);
    let failure_permille = WHOLE + candidate.failure_permille * FAILURE_WEIGHT;
    let far_permille = WHOLE + if candidate.is_local { 0 } else { FAR_PERMILLE };
    [load_permille, failure_permille, far_permille]
        .iter()
        .fold(latency, |cost, permille| {
            cost.saturating_mul(*permille) / WHOLE
        })
}
