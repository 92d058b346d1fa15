//! Recommended role changes between the prefill pool and the decode pool.

use std::time::Duration;

use googletest::prelude::*;
use mimosa_protocol::configuration::EndpointRole;
use mimosa_schedule::balance::Demand;
use mimosa_schedule::balance::PoolSizes;
use mimosa_schedule::balance::recommend_role;

/// Demand of prompts of 5,200 tokens and outputs of 4,800 tokens, on the engines of the fleet
/// tests.
const LONG_OUTPUTS: Demand = Demand {
    prefill: Duration::from_millis(95),
    decode: Duration::from_millis(240),
};

#[gtest]
fn with_a_decode_bottleneck_a_prefill_endpoint_changes_to_decode() {
    let pools = PoolSizes {
        prefill: 4,
        decode: 5,
    };
    expect_that!(
        recommend_role(pools, LONG_OUTPUTS),
        some(eq(EndpointRole::Decode))
    );
    let after = PoolSizes {
        prefill: 3,
        decode: 6,
    };
    expect_that!(recommend_role(after, LONG_OUTPUTS), none());
}

#[gtest]
fn with_a_prefill_bottleneck_a_decode_endpoint_changes_to_prefill() {
    let long_prompts = Demand {
        prefill: Duration::from_millis(500),
        ..LONG_OUTPUTS
    };
    let pools = PoolSizes {
        prefill: 3,
        decode: 8,
    };
    expect_that!(
        recommend_role(pools, long_prompts),
        some(eq(EndpointRole::Prefill))
    );
}

#[gtest]
fn pools_of_two_and_unknown_demand_lead_to_no_change() {
    let small = PoolSizes {
        prefill: 2,
        decode: 2,
    };
    expect_that!(recommend_role(small, LONG_OUTPUTS), none());
    let pools = PoolSizes {
        prefill: 4,
        decode: 5,
    };
    expect_that!(recommend_role(pools, Demand::default()), none());
}
