//! Selection of an endpoint by its speed, from the knowledge of one gateway.
//!
//! Two endpoints are drawn by the load that they handle well, and the one with the lower expected
//! duration is selected. Many gateways decide by the same estimates, which are more than a second
//! old, so the draw keeps them from all selecting the same endpoint.

use super::SpeedEstimate;
use super::WHOLE_PERMILLE;
use crate::pick::Candidate;

/// An endpoint that may be selected, with what is known of its speed.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct RatedCandidate {
    /// Load, failures and place of the endpoint.
    pub candidate: Candidate,
    /// Speed of the endpoint.
    pub estimate: SpeedEstimate,
    /// Duration of work at this moment in thousandths of the usual duration at the endpoint.
    pub current_permille: u32,
}

/// Cost of an endpoint at a failure rate of 100%, in multiples added to its normal cost.
const FAILURE_WEIGHT: f64 = 8.0;
/// Weight of an endpoint in another data centre relative to a local one, because traffic between data
/// centres is not free. It is high enough that a remote one is compared often while a local one is
/// overloaded.
const REMOTE_WEIGHT: f64 = 0.25;
/// Cost of an endpoint in another data centre relative to a local one.
const REMOTE_COST: f64 = 1.15;
/// Least weight relative to the highest one. An endpoint that appears slow or failing still gets some
/// requests, so that a change for the better is noticed.
const MIN_WEIGHT: f64 = 0.02;

/// Two endpoints drawn for a request, by their indices. `second` is `None` if there is only one.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct DrawnEndpoints {
    /// Endpoint that is selected unless the other one is known to be better.
    pub first: usize,
    /// The other endpoint.
    pub second: Option<usize>,
}

/// Draws two endpoints by the load that they handle well; `None` without candidates. Endpoints marked
/// as last resort are drawn only if there is no other. `random` is uniformly distributed.
pub fn draw(candidates: &[RatedCandidate], random: u64) -> Option<DrawnEndpoints> {
    let has_regular = candidates.iter().any(|each| !each.candidate.last_resort);
    let usable: Vec<usize> = (0..candidates.len())
        .filter(|index| !has_regular || !candidates[*index].candidate.last_resort)
        .collect();
    let weights: Vec<f64> = usable.iter().map(|at| weight(&candidates[*at])).collect();
    let least = weights.iter().copied().fold(0.0, f64::max) * MIN_WEIGHT;
    let mut weights: Vec<f64> = weights.into_iter().map(|each| each.max(least)).collect();
    let (high, low) = ((random >> 32) as u32, random as u32);
    let first = draw_index(&weights, high)?;
    weights[first] = 0.0;
    Some(DrawnEndpoints {
        first: usable[first],
        second: draw_index(&weights, low).map(|second| usable[second]),
    })
}

/// Selects one of the drawn endpoints. Without recent knowledge of the load of both, that is the first
/// one, because estimates alone are too old to tell which is better at this moment. A remote one is
/// then left for a local one unless it is expected to be better by more than the distance costs.
pub fn select(candidates: &[RatedCandidate], drawn: DrawnEndpoints) -> usize {
    let first = &candidates[drawn.first];
    let Some(second) = drawn.second else {
        return drawn.first;
    };
    let is_known = |each: &RatedCandidate| each.candidate.reported_load.is_some();
    let other = &candidates[second];
    let is_nearer = other.candidate.is_local && !first.candidate.is_local;
    let is_comparable = is_known(first) && is_known(other) || is_nearer;
    if is_comparable && cost(other) < cost(first) {
        second
    } else {
        drawn.first
    }
}

/// Draws an index by weight; `None` if all weights are 0.
fn draw_index(weights: &[f64], random: u32) -> Option<usize> {
    let sum: f64 = weights.iter().sum();
    if sum <= 0.0 {
        return None;
    }
    let mut left = f64::from(random) / (f64::from(u32::MAX) + 1.0) * sum;
    let mut last = None;
    for (index, weight) in weights.iter().enumerate().filter(|(_, each)| **each > 0.0) {
        last = Some(index);
        if left < *weight {
            break;
        }
        left -= weight;
    }
    last
}

/// Rate of requests that the endpoint handles well. The weight does not depend on the load: weights that
/// followed loads of the second before oscillated.
fn weight(each: &RatedCandidate) -> f64 {
    let rate = concurrency(each) / f64::from(each.estimate.time_permille.max(1));
    let place = match each.candidate.is_local {
        true => 1.0,
        false => REMOTE_WEIGHT,
    };
    rate * place / failure_factor(each)
}

/// Expected duration of one more request, relative to the service's mean, increased for failures and
/// distance.
fn cost(each: &RatedCandidate) -> f64 {
    let Candidate {
        own_load,
        reported_load,
        is_local,
        ..
    } = each.candidate;
    let load = own_load.max(reported_load.unwrap_or(0)) as f64;
    let place = if is_local { 1.0 } else { REMOTE_COST };
    f64::from(each.estimate.time_permille)
        * f64::from(each.current_permille)
        * (1.0 + (load + 1.0) / concurrency(each))
        * place
        * failure_factor(each)
}

/// Requests at which the duration of work has doubled, at most as many as run concurrently.
fn concurrency(each: &RatedCandidate) -> f64 {
    let slots = each.candidate.concurrency.max(1) as f64;
    let learned = each.estimate.concurrency_permille;
    learned.map_or(slots, |permille| {
        (f64::from(permille) / 1e3).clamp(1.0, slots)
    })
}

fn failure_factor(each: &RatedCandidate) -> f64 {
    1.0 + each.candidate.failure_permille as f64 / f64::from(WHOLE_PERMILLE) * FAILURE_WEIGHT
}
