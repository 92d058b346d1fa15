//! How many endpoints should prefill and how many should decode.

use std::time::Duration;

use googletest::prelude::*;
use mimosa_protocol::configuration::EndpointRole;
use mimosa_schedule::balance::Demand;
use mimosa_schedule::balance::Pools;
use mimosa_schedule::balance::recommend_role;

/// Prompts of 5,200 tokens and outputs of 4,800, on engines as in the fleet's tests.
const LETTERS: Demand = Demand {
    prefill: Duration::from_millis(95),
    decode: Duration::from_millis(240),
};

#[gtest]
fn an_idle_prefill_endpoint_goes_to_a_full_decode_pool() {
    let pools = Pools {
        prefill: 4,
        decode: 5,
    };
    expect_that!(
        recommend_role(pools, LETTERS),
        some(eq(EndpointRole::Decode))
    );
    let after = Pools {
        prefill: 3,
        decode: 6,
    };
    expect_that!(recommend_role(after, LETTERS), none());
}

#[gtest]
fn an_idle_decode_endpoint_goes_to_a_busy_prefill_pool() {
    let long_prompts = Demand {
        prefill: Duration::from_millis(500),
        ..LETTERS
    };
    let pools = Pools {
        prefill: 3,
        decode: 8,
    };
    expect_that!(
        recommend_role(pools, long_prompts),
        some(eq(EndpointRole::Prefill))
    );
}

#[gtest]
fn a_pool_keeps_two_and_nothing_moves_without_need() {
    let small = Pools {
        prefill: 2,
        decode: 2,
    };
    expect_that!(recommend_role(small, LETTERS), none());
    let pools = Pools {
        prefill: 4,
        decode: 5,
    };
    expect_that!(recommend_role(pools, Demand::default()), none());
}
