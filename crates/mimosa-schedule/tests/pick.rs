//! Choices of one gateway without a scheduler.

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
fn equal_endpoints_share_the_work() {
    let candidates = [idle(); 4];
    let mut counts = [0; 4];
    for random in 0..400 {
        counts[pick(&candidates, random).unwrap()] += 1;
    }
    expect_that!(counts, eq([100; 4]));
}

#[gtest]
fn a_near_endpoint_is_taken_until_it_is_busy() {
    let near = Candidate {
        is_local: true,
        ..idle()
    };
    let busy = Candidate {
        own_load: 3,
        ..near
    };
    expect_that!(pick(&[idle(), near], 0), some(eq(1)));
    expect_that!(pick(&[idle(), busy], 0), some(eq(0)));
}

#[gtest]
fn failures_and_pauses_turn_work_away() {
    let failing = Candidate {
        failure_permille: 400,
        ..idle()
    };
    let paused = Candidate {
        last_resort: true,
        ..idle()
    };
    expect_that!(pick(&[failing, idle()], 0), some(eq(1)));
    expect_that!(pick(&[paused, failing], 0), some(eq(1)));
    expect_that!(pick(&[paused], 0), some(eq(0)));
    expect_that!(pick(&[], 0), none());
}

#[gtest]
fn an_endpoint_that_got_better_is_used_again() {
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
fn an_endpoint_that_never_answered_is_tried() {
    let known = Candidate {
        latency: Some(Duration::from_micros(300)),
        ..idle()
    };
    let new = Candidate {
        latency: None,
        is_local: true,
        ..idle()
    };
    expect_that!(pick(&[known, new], 0), some(eq(1)));
}
