//! Requests to endpoints that have just started.

use std::time::Duration;

use googletest::prelude::*;
use mimosa_protocol::Timestamp;
use mimosa_schedule::cold::ColdStart;
use mimosa_schedule::cold::Pacing;

const START: Timestamp = Timestamp::from_secs(100);
const LOOK: Duration = Duration::from_millis(1);
const COLD_TIME: Duration = Duration::from_secs(5);

/// Requests in each second that an endpoint gets from senders that each have one ready at any time.
fn busiest_second(per_second: u64, senders: u32) -> usize {
    let mut endpoint = ColdStart::default();
    endpoint.set_until(START, START + COLD_TIME);
    // Numbers that lie evenly, as random ones do on average.
    let turn = |number| {
        let phase = u64::from(number) * 1_000 / u64::from(senders);
        Pacing::for_sender(per_second * 1_000, senders, phase)
    };
    let mut all: Vec<_> = (0..senders)
        .map(|number| (endpoint, turn(number)))
        .collect();
    let mut arrivals: Vec<Timestamp> = Vec::new();
    let mut now = START;
    while now < START + COLD_TIME {
        for (seen, turn) in &mut all {
            if seen.allows_request(now, *turn) {
                seen.record_request(now, *turn);
                arrivals.push(now);
            }
        }
        now = now + LOOK;
    }
    let second = Duration::from_secs(1);
    let within = |from: &Timestamp| {
        let inside = |at: &&Timestamp| **at >= *from && at.since(*from) < second;
        arrivals.iter().filter(inside).count()
    };
    arrivals.iter().map(within).max().unwrap_or_default()
}

/// Services differ in what their cold endpoints bear, systems in how many gateways they have.
#[gtest]
fn a_cold_endpoint_gets_what_it_bears_from_all_senders_together() {
    for per_second in [1, 2, 5, 39, 44, 500] {
        for senders in [1, 8, 86] {
            let busiest = busiest_second(per_second, senders);
            // One more for the rounding of two windows.
            let bears = usize::try_from(per_second).unwrap() + 1;
            expect_that!(
                busiest,
                le(bears),
                "{per_second} a second, {senders} senders"
            );
        }
    }
}

#[gtest]
fn a_cold_endpoint_that_bears_much_is_still_spared() {
    expect_that!(busiest_second(500, 1), le(10));
    // Where nothing is known of what it bears.
    let unknown = Pacing::single_sender(0);
    expect_that!(unknown.interval, eq(Duration::from_millis(100)));
}

#[gtest]
fn a_warm_endpoint_takes_everything() {
    let mut endpoint = ColdStart::default();
    let turn = Pacing::single_sender(1_000);
    endpoint.record_request(START, turn);
    expect_that!(endpoint.allows_request(START, turn), eq(true));
    // It turned cold a moment after its last request.
    endpoint.set_until(START + LOOK, START + COLD_TIME);
    expect_that!(endpoint.allows_request(START + LOOK, turn), eq(false));
}
