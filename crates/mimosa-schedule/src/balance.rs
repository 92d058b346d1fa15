//! Balance between the prefill pool and the decode pool of a model.
//!
//! The pool with the lower capacity limits the throughput, while the other pool is partly idle.
//! This module recommends moving an endpoint between the pools if that increases the throughput.

use std::time::Duration;

use mimosa_protocol::configuration::EndpointRole;

/// Resources used by an average request.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Demand {
    /// Processing time at a prefill endpoint.
    pub prefill: Duration,
    /// Time at a decode endpoint, scaled by the share of its memory that the request uses.
    pub decode: Duration,
}

/// Number of active endpoints in each pool.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct PoolSizes {
    /// Endpoints that process prompts.
    pub prefill: u32,
    /// Endpoints that generate outputs.
    pub decode: u32,
}

/// Maximum utilisation of a prefill endpoint, in thousandths, at which requests still start in
/// time. The rest is needed for queueing and bursts.
const MAX_PREFILL_UTILISATION_PERMILLE: u64 = 850;
/// Minimum increase of the throughput, in thousandths, for a role change. The endpoint is out of
/// service during the change, which a smaller gain does not make up for.
const MIN_GAIN_PERMILLE: u64 = 100;
/// Minimum size that a pool keeps when it gives up an endpoint, because any endpoint may fail.
const MIN_POOL_SIZE: u32 = 2;

/// Returns the role to which an endpoint of the other role should change, or `None` if no change
/// increases the throughput enough.
pub fn recommend_role(pools: PoolSizes, demand: Demand) -> Option<EndpointRole> {
    let current = throughput(pools, demand)?;
    let changes = [
        (EndpointRole::Decode, pools.prefill, pools.decode),
        (EndpointRole::Prefill, pools.decode, pools.prefill),
    ];
    changes
        .into_iter()
        .filter(|(_, from, _)| *from > MIN_POOL_SIZE)
        .filter_map(|(role, from, to)| {
            let after = match role {
                EndpointRole::Decode => PoolSizes {
                    prefill: from - 1,
                    decode: to + 1,
                },
                _ => PoolSizes {
                    prefill: to + 1,
                    decode: from - 1,
                },
            };
            Some((throughput(after, demand)?, role))
        })
        .filter(|(after, _)| after * 1_000 >= current * (1_000 + MIN_GAIN_PERMILLE))
        .max_by_key(|(after, _)| *after)
        .map(|(_, role)| role)
}

/// Throughput of the pools in requests per 1,000 s; `None` while the demand is unknown.
fn throughput(pools: PoolSizes, demand: Demand) -> Option<u64> {
    let rate = |endpoints: u32, time: Duration| {
        let nanos = u64::try_from(time.as_nanos()).ok()?;
        (u64::from(endpoints) * 1_000_000_000_000).checked_div(nanos)
    };
    let prefill = rate(pools.prefill, demand.prefill)? * MAX_PREFILL_UTILISATION_PERMILLE / 1_000;
    let decode = rate(pools.decode, demand.decode)?;
    Some(prefill.min(decode))
}
