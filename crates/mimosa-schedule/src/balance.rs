//! How many endpoints of a model should prefill and how many should decode.
//!
//! It answers a load for which one of the two pools is too small while the other one idles: the
//! smaller of the two decides how many requests are served.

use std::time::Duration;

use mimosa_protocol::configuration::EndpointRole;

/// What one request needs.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Demand {
    /// Time of one prefill endpoint.
    pub prefill: Duration,
    /// Time of one whole decode endpoint: its share of the memory, times how long it is held.
    pub decode: Duration,
}

/// Endpoints that take work.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Pools {
    /// Those that prefill.
    pub prefill: u32,
    /// Those that decode.
    pub decode: u32,
}

/// Part of the time, in thousandths, that a prefill endpoint can be busy while requests still start
/// in time: the rest is the wait behind others, and bursts.
const PREFILL_BUSY_PERMILLE: u64 = 850;
/// Gain, in thousandths of the requests served, from which a change is worth the time that an
/// endpoint is away for it.
const LEAST_GAIN_PERMILLE: u64 = 100;
/// Endpoints that a pool keeps, where there are enough for both: one may be lost at any time.
const LEAST: u32 = 2;

/// The role that one endpoint of the other role should take, if that serves clearly more requests.
pub fn recommend_role(pools: Pools, demand: Demand) -> Option<EndpointRole> {
    let now = capacity(pools, demand)?;
    let moves = [
        (EndpointRole::Decode, pools.prefill, pools.decode),
        (EndpointRole::Prefill, pools.decode, pools.prefill),
    ];
    moves
        .into_iter()
        .filter(|(_, from, _)| *from > LEAST)
        .filter_map(|(role, from, to)| {
            let after = match role {
                EndpointRole::Decode => Pools {
                    prefill: from - 1,
                    decode: to + 1,
                },
                _ => Pools {
                    prefill: to + 1,
                    decode: from - 1,
                },
            };
            Some((capacity(after, demand)?, role))
        })
        .filter(|(after, _)| after * 1_000 >= now * (1_000 + LEAST_GAIN_PERMILLE))
        .max_by_key(|(after, _)| *after)
        .map(|(_, role)| role)
}

/// Requests in a thousand seconds that the pools bear; nothing while the demand is not known.
fn capacity(pools: Pools, demand: Demand) -> Option<u64> {
    let rate = |endpoints: u32, time: Duration| {
        let nanos = u64::try_from(time.as_nanos()).ok()?;
        (u64::from(endpoints) * 1_000_000_000_000).checked_div(nanos)
    };
    let prefill = rate(pools.prefill, demand.prefill)? * PREFILL_BUSY_PERMILLE / 1_000;
    let decode = rate(pools.decode, demand.decode)?;
    Some(prefill.min(decode))
}
