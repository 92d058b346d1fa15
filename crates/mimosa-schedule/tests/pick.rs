//! Endpoint selection by one gateway without a scheduler.

use std::time::Duration;

use googletest::prelude::*;
use mimosa_protocol::Timestamp;
use mimosa_schedule::health::Health;
use mimosa_schedule::pick::Candidate;
use mimosa_schedule::pick::pick;

fn idle() -> Candidate {
    Candidate {
        concurrency: 6,
        latency: Some(Duration::from_millis(15)),
        ..Candidate::default()
    }
}

#[gtest]
fn equal_endpoints_get_equal_shares() {
    let candidates = [idle(); 4];
    let mut counts = [0; 4];
    for random in 0..400 {
        counts[pick(&candidates, random).unwrap()] += 1;
    }
    expect_that!(counts, eq([100; 4]));
}

#[gtest]
fn a_local_endpoint_is_preferred_until_it_is_busy() {
    let local = Candidate {
        is_local: true,
        ..idle()
    };
    let busy = Candidate {
        own_load: 3,
        ..local
    };
    expect_that!(pick(&[idle(), local], 0), some(eq(1)));
    expect_that!(pick(&[idle(), busy], 0), some(eq(0)));
}

#[gtest]
fn failing_and_last_resort_endpoints_are_ranked_last() {
    let failing = Candidate {
        failure_permille: 400,
        ..idle()
    };
    let last_resort = Candidate {
        last_resort: true,
        ..idle()
    };
    expect_that!(pick(&[failing, idle()], 0), some(eq(1)));
    expect_that!(pick(&[last_resort, failing], 0), some(eq(1)));
    expect_that!(pick(&[last_resort], 0), some(eq(0)));
    expect_that!(pick(&[], 0), none());
}

#[gtest]
fn a_recovered_endpoint_leaves_its_backoff_and_failure_rate() {
    let mut health = Health::default();
    let start = Timestamp::from_secs(100);
    for _ in 0..16 {
        health.record_failure(start);
    }
    health.record_unreachable(start);
    expect_that!(health.failure_permille(start), gt(700));
    expect_that!(
        health.is_backing_off(start + Duration::from_millis(100)),
        eq(true)
    );
    let later = start + Duration::from_secs(20);
    expect_that!(health.is_backing_off(later), eq(false));
    expect_that!(health.failure_permille(later), lt(50));
}

#[gtest]
fn an_endpoint_without_latency_is_tried() {
    let measured = Candidate {
        latency: Some(Duration::from_micros(300)),
        ..idle()
    };
    let new = Candidate {
        latency: None,
        is_local: true,
        ..idle()
    };
    expect_that!(pick(&[measured, new], 0), some(eq(1)));
}
