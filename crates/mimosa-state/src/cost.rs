//! The impact of a plan: capacity before and after, requests that have to finish, keys that stop
//! working, and instances that would learn of the change late.

use std::collections::BTreeMap;

use mimosa_protocol::Change;
use mimosa_protocol::Configuration;
use mimosa_protocol::InstanceId;
use mimosa_protocol::KvBlocks;
use mimosa_protocol::ServiceId;
use mimosa_protocol::configuration::DataCentreState;
use mimosa_protocol::configuration::Endpoint;
use mimosa_protocol::configuration::EndpointRole;
use mimosa_protocol::configuration::EndpointState;
use mimosa_protocol::data;

data! {
    /// The impact of a plan.
    #[derive(Default)]
    pub struct Cost {
        /// The pools whose capacity changes.
        pub pools: Vec<PoolCapacity>,
        /// Upper bound on the requests that run on endpoints which stop getting new requests: the
        /// sum of the concurrency limits of these endpoints.
        pub requests_to_finish_at_most: u64,
        /// Number of keys that stop working.
        pub keys_stopped: u64,
        /// Entries that were disconnected when the plan was made. They learn of the change once
        /// they reconnect.
        pub unreachable: Vec<InstanceId>,
    }

    /// The capacity of one pool before and after a plan.
    pub struct PoolCapacity {
        /// The service that the pool serves.
        pub service: ServiceId,
        /// The role of all endpoints of the pool.
        pub role: EndpointRole,
        /// Number of endpoints that accept new requests before.
        pub endpoints_before: u64,
        /// Number of endpoints that accept new requests after.
        pub endpoints_after: u64,
        /// Sum of the concurrency limits of these endpoints before.
        pub concurrency_before: u64,
        /// Sum of the concurrency limits of these endpoints after.
        pub concurrency_after: u64,
        /// KV cache blocks for decoding before; zero for other roles.
        pub blocks_before: KvBlocks,
        /// KV cache blocks for decoding after; zero for other roles.
        pub blocks_after: KvBlocks,
    }
}

/// The capacity of a pool.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Pool {
    /// Number of endpoints that accept new requests.
    pub endpoints: u64,
    /// Sum of the concurrency limits of these endpoints, in requests.
    pub concurrency: u64,
    /// KV cache blocks for decoding; zero for other roles.
    pub blocks: KvBlocks,
}

/// The pools with at least one endpoint that accepts new requests, by service and role.
pub type Pools = BTreeMap<(ServiceId, EndpointRole), Pool>;

/// A copy of a configuration with only the parts that determine capacity.
pub fn capacity_subset(configuration: &Configuration) -> Configuration {
    Configuration {
        revision: configuration.revision,
        services: configuration.services.clone(),
        data_centres: configuration.data_centres.clone(),
        endpoints: configuration.endpoints.clone(),
        ..Configuration::default()
    }
}

/// Whether an endpoint accepts new requests: it is active and its data centre is in service.
pub fn accepts_requests(configuration: &Configuration, endpoint: &Endpoint) -> bool {
    let data_centre_in = configuration
        .data_centres
        .get(&endpoint.data_centre)
        .is_some_and(|data_centre| data_centre.state == DataCentreState::In);
    data_centre_in && endpoint.state == EndpointState::Active
}

/// Sums up the capacity of each pool of a configuration.
pub fn pools(configuration: &Configuration) -> Pools {
    let mut pools = Pools::new();
    configuration
        .endpoints
        .values()
        .filter(|endpoint| accepts_requests(configuration, endpoint))
        .for_each(|endpoint| {
            let pool = pools
                .entry((endpoint.service.clone(), endpoint.role))
                .or_default();
            pool.endpoints += 1;
            pool.concurrency += u64::from(endpoint.capacity.concurrency);
            if endpoint.role == EndpointRole::Decode {
                pool.blocks += endpoint.capacity.blocks;
            }
        });
    pools
}

/// The impact of changing one configuration into another, without the stopped keys, which
/// [`count_stopped_keys`] counts.
pub fn estimate(
    before: &Configuration,
    after: &Configuration,
    unreachable: Vec<InstanceId>,
) -> Cost {
    Cost {
        pools: changed_pools(&pools(before), &pools(after)),
        requests_to_finish_at_most: requests_to_finish(before, after),
        keys_stopped: 0,
        unreachable,
    }
}

/// Counts the keys that stop working through a list of changes.
pub fn count_stopped_keys(before: &Configuration, changes: &[Change]) -> u64 {
    let stops = |change: &Change| match change {
        Change::PutKey(key) => u64::from(key.withdrawn.is_some()),
        Change::RemoveAccount(id) => before
            .keys
            .values()
            .filter(|key| key.account == *id && key.withdrawn.is_none())
            .count() as u64,
        _ => 0,
    };
    changes.iter().map(stops).sum()
}

fn changed_pools(before: &Pools, after: &Pools) -> Vec<PoolCapacity> {
    let mut ids: Vec<_> = before.keys().chain(after.keys()).collect();
    ids.sort();
    ids.dedup();
    ids.into_iter()
        .map(|id| {
            let old = before.get(id).copied().unwrap_or_default();
            let new = after.get(id).copied().unwrap_or_default();
            (id, old, new)
        })
        .filter(|(_, old, new)| old != new)
        .map(|((service, role), old, new)| PoolCapacity {
            service: service.clone(),
            role: *role,
            endpoints_before: old.endpoints,
            endpoints_after: new.endpoints,
            concurrency_before: old.concurrency,
            concurrency_after: new.concurrency,
            blocks_before: old.blocks,
            blocks_after: new.blocks,
        })
        .collect()
}

fn requests_to_finish(before: &Configuration, after: &Configuration) -> u64 {
    let stays_in_pool = |endpoint: &&Endpoint| {
        after
            .endpoints
            .get(&endpoint.id)
            .is_some_and(|new| accepts_requests(after, new) && new.role == endpoint.role)
    };
    before
        .endpoints
        .values()
        .filter(|endpoint| accepts_requests(before, endpoint))
        .filter(|endpoint| !stays_in_pool(endpoint))
        .map(|endpoint| u64::from(endpoint.capacity.concurrency))
        .sum()
}
