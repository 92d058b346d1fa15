//! Tests of the bound of request bodies at an endpoint.

use googletest::prelude::*;
use mimosa_protocol::ByteSize;
use mimosa_schedule::body_bound::allows_body;
use mimosa_schedule::rate_limit::Senders;

const BOUND: ByteSize = ByteSize(64 << 20);
const LARGEST: ByteSize = ByteSize(4 << 20);

/// Guards against an endpoint that must hold as many of the largest bodies as all gateways can send.
#[gtest]
fn the_bound_is_divided_among_the_senders() {
    for count in [1, 8, 16] {
        let senders = Senders { count, number: 0 };
        let mut held = ByteSize(0);
        while allows_body(BOUND, senders, held, LARGEST) {
            held = ByteSize(held.0 + LARGEST.0);
        }
        expect_that!(held.0 * u64::from(count), eq(BOUND.0));
    }
}

/// Guards against permitted bodies that no gateway may send, because its share is smaller.
#[gtest]
fn one_body_may_always_be_sent() {
    let senders = Senders {
        count: 380,
        number: 0,
    };
    expect_that!(allows_body(BOUND, senders, ByteSize(0), LARGEST), eq(true));
    expect_that!(allows_body(BOUND, senders, LARGEST, ByteSize(1)), eq(false));
}
