//! Quotas of accounts and their tolerance.

use std::time::Duration;

use googletest::prelude::*;
use mimosa_limit::quota::InitialLevel;
use mimosa_limit::quota::OverQuota;
use mimosa_limit::quota::QuotaLimits;
use mimosa_limit::quota::Quotas;
use mimosa_limit::quota::Tolerance;
use mimosa_protocol::AccountId;
use mimosa_protocol::Timestamp;
use mimosa_protocol::TokenRate;
use mimosa_protocol::Tokens;

fn account() -> AccountId {
    "orchid".parse().unwrap()
}

fn quotas(now: Timestamp, rate: u64) -> Quotas {
    let mut quotas = Quotas::default();
    configure(&mut quotas, now, rate);
    quotas
}

fn configure(quotas: &mut Quotas, now: Timestamp, rate: u64) {
    let limits = QuotaLimits {
        rate: TokenRate(rate),
        burst: Tokens(rate),
    };
    quotas.configure(now, [(account(), limits)], InitialLevel::AtMost(Tokens(0)));
}

/// An account sends about ten times its rate for a minute; every window of 8 s stays within the
/// bound.
#[gtest]
fn an_account_far_above_its_rate_exceeds_rate_and_burst_in_no_window() {
    let start = Timestamp::from_secs(10);
    let mut quotas = quotas(start, 1_000);
    let window = Duration::from_secs(8);
    let mut charged = Vec::new();
    for step in 0..60_000 {
        let now = start + Duration::from_millis(step);
        let cost = Tokens(if step % 100 == 0 { 800 } else { 2 });
        if quotas.charge(now, &account(), cost).is_ok() {
            charged.push((now, cost.0));
        }
    }
    let mut first = 0;
    let mut sum = 0;
    for (at, cost) in &charged {
        sum += cost;
        while charged[first].0 + window <= *at {
            sum -= charged[first].1;
            first += 1;
        }
        assert_that!(sum, le(8 * 1_000 + 1_000));
    }
    let total: u64 = charged.iter().map(|(_, cost)| cost).sum();
    expect_that!(total, gt(59_000));
}

/// The enforced limits use at least half of the slack and exceed the tolerance in no window.
#[gtest]
fn enforced_limits_use_the_tolerance_without_exceeding_it() {
    let tolerance = Tolerance {
        permille: 100,
        slack: Tokens(120_000),
    };
    let limits = QuotaLimits {
        rate: TokenRate(23_000),
        burst: Tokens(23_000),
    };
    let enforced = tolerance.apply(limits);
    let window = 8;
    let most = enforced.rate.0 * window + enforced.burst.0;
    let allowed = (limits.rate.0 * window + limits.burst.0) * 11 / 10 + 120_000;
    expect_that!(most, le(allowed));
    expect_that!(most, ge(allowed - 60_000));
}

#[gtest]
fn a_rejection_returns_the_time_until_the_cost_is_covered() {
    let start = Timestamp::from_secs(10);
    let mut quotas = quotas(start, 1_000);
    let wait = match quotas.charge(start, &account(), Tokens(500)) {
        Err(OverQuota::RetryAfter(wait)) => wait,
        other => panic!("{other:?}"),
    };
    expect_that!(wait, eq(Duration::from_millis(500)));
    expect_that!(
        quotas.charge(start + wait, &account(), Tokens(500)),
        ok(anything())
    );
    expect_that!(
        quotas.charge(start + wait, &account(), Tokens(1_001)),
        err(eq(OverQuota::Never))
    );
}

#[gtest]
fn a_lower_limit_applies_at_once() {
    let start = Timestamp::from_secs(10);
    let mut quotas = quotas(start, 1_000);
    let later = start + Duration::from_secs(5);
    configure(&mut quotas, later, 100);
    expect_that!(
        quotas.charge_up_to(later, &account(), Tokens(5_000)),
        le(Tokens(100))
    );
}

#[gtest]
fn a_refunded_cost_can_be_charged_again() {
    let start = Timestamp::from_secs(10);
    let mut quotas = quotas(start, 1_000);
    let later = start + Duration::from_secs(5);
    expect_that!(
        quotas.charge(later, &account(), Tokens(1_000)),
        ok(anything())
    );
    quotas.refund(later, later, &account(), Tokens(1_000));
    expect_that!(
        quotas.charge(later, &account(), Tokens(1_000)),
        ok(anything())
    );
}
