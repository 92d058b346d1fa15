//! Rate limit for requests to cold endpoints.

use std::time::Duration;

use googletest::prelude::*;
use mimosa_protocol::Timestamp;
use mimosa_schedule::cold::ColdStart;
use mimosa_schedule::cold::Pacing;

const START: Timestamp = Timestamp::from_secs(100);
const TICK: Duration = Duration::from_millis(1);
const COLD_TIME: Duration = Duration::from_secs(5);

/// Maximum number of requests within one second that an endpoint gets from senders that always have
/// a request to send.
fn max_requests_per_second(per_second: u64, senders: u32) -> usize {
    let mut endpoint = ColdStart::default();
    endpoint.set_until(START, START + COLD_TIME);
    // Evenly spaced numbers, like random ones on average.
    let pacing = |number| {
        let phase = u64::from(number) * 1_000 / u64::from(senders);
        Pacing::for_sender(per_second * 1_000, senders, phase)
    };
    let mut all_senders: Vec<_> = (0..senders)
        .map(|number| (endpoint, pacing(number)))
        .collect();
    let mut arrivals: Vec<Timestamp> = Vec::new();
    let mut now = START;
    while now < START + COLD_TIME {
        for (state, pacing) in &mut all_senders {
            if state.allows_request(now, *pacing) {
                state.record_request(now, *pacing);
                arrivals.push(now);
            }
        }
        now = now + TICK;
    }
    let second = Duration::from_secs(1);
    let within = |from: &Timestamp| {
        let inside = |at: &&Timestamp| **at >= *from && at.since(*from) < second;
        arrivals.iter().filter(inside).count()
    };
    arrivals.iter().map(within).max().unwrap_or_default()
}

/// Guards against overload of a cold endpoint for different request rates and numbers of gateways.
#[gtest]
fn all_senders_together_stay_within_the_rate_of_a_cold_endpoint() {
    for per_second in [1, 2, 5, 39, 44, 500] {
        for senders in [1, 8, 86] {
            let max_requests = max_requests_per_second(per_second, senders);
            // One more for rounding at the edges of the one-second window.
            let limit = usize::try_from(per_second).unwrap() + 1;
            expect_that!(
                max_requests,
                le(limit),
                "{per_second} a second, {senders} senders"
            );
        }
    }
}

#[gtest]
fn the_interval_has_a_minimum_at_high_and_unknown_rates() {
    expect_that!(max_requests_per_second(500, 1), le(10));
    // The rate is unknown.
    let unknown = Pacing::single_sender(0);
    expect_that!(unknown.interval, eq(Duration::from_millis(100)));
}

#[gtest]
fn a_warm_endpoint_is_not_limited_until_it_becomes_cold() {
    let mut endpoint = ColdStart::default();
    let pacing = Pacing::single_sender(1_000);
    endpoint.record_request(START, pacing);
    expect_that!(endpoint.allows_request(START, pacing), eq(true));
    // The endpoint becomes cold shortly after its last request.
    endpoint.set_until(START + TICK, START + COLD_TIME);
    expect_that!(endpoint.allows_request(START + TICK, pacing), eq(false));
}
