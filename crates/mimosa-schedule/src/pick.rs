//! Endpoint selection from the local knowledge of one gateway.
//!
//! Used for plain services, and for models while no scheduler is reachable. Typical load is many
//! small requests, of which each gateway sees only a part.

use std::time::Duration;

/// An endpoint that may be selected for a request.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Candidate {
    /// Outstanding work of this gateway at the endpoint, in requests or prompt tokens.
    pub own_load: u64,
    /// Outstanding load of all clients as reported by the endpoint, in the unit of `own_load`;
    /// `None` without a recent report.
    pub reported_load: Option<u64>,
    /// Work that the endpoint processes concurrently without slowing down, in the unit of
    /// `own_load`.
    pub concurrency: u64,
    /// Average latency; `None` before the first response.
    pub latency: Option<Duration>,
    /// Recent failure rate, in thousandths.
    pub failure_permille: u64,
    /// Whether to use the endpoint only if there is no other, such as after it was unreachable.
    pub last_resort: bool,
    /// Whether the endpoint is in the data centre of this gateway.
    pub is_local: bool,
}

/// Cost of an endpoint at a failure rate of 100%, in multiples added to its normal cost.
const FAILURE_WEIGHT: u64 = 8;
/// Extra cost of an endpoint in another data centre, in thousandths of its cost. Traffic between
/// data centres is not free, so a local endpoint is preferred over an otherwise equal remote one.
const REMOTE_PERMILLE: u64 = 150;
const WHOLE_PERMILLE: u64 = 1_000;

/// Returns the index of the endpoint with the lowest cost, or `None` without candidates. `random`
/// decides between equal endpoints. Endpoints marked as last resort are ranked behind all others.
pub fn pick(candidates: &[Candidate], random: u64) -> Option<usize> {
    // An endpoint without a latency sample is assumed to be the fastest; otherwise it is never
    // tried.
    let fastest = candidates.iter().filter_map(|each| each.latency).min();
    let fastest = fastest.unwrap_or(Duration::from_millis(1));
    let offset = usize::try_from(random % candidates.len().max(1) as u64).ok()?;
    (0..candidates.len())
        .map(|index| (index + offset) % candidates.len())
        .min_by_key(|index| {
            let each = &candidates[*index];
            (each.last_resort, cost(each, fastest))
        })
}

/// Expected latency of one more request in microseconds, increased for failures and distance.
fn cost(candidate: &Candidate, fastest: Duration) -> u64 {
    let concurrency = candidate.concurrency.max(1);
    let load = candidate.own_load.max(candidate.reported_load.unwrap_or(0));
    let load_permille = WHOLE_PERMILLE + load * WHOLE_PERMILLE / concurrency;
    let latency = candidate.latency.unwrap_or(fastest);
    let latency = u64::try_from(latency.as_micros())
        .unwrap_or(u64::MAX)
        .max(1);
    let failure_permille = WHOLE_PERMILLE + candidate.failure_permille * FAILURE_WEIGHT;
    let remote_permille = WHOLE_PERMILLE
        + if candidate.is_local {
            0
        } else {
            REMOTE_PERMILLE
        };
    [load_permille, failure_permille, remote_permille]
        .iter()
        .fold(latency, |cost, permille| {
            cost.saturating_mul(*permille) / WHOLE_PERMILLE
        })
}
