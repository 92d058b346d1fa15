//! Tests of weighted fair shares between accounts in the fleet scheduler.

#[path = "fair_share/queue.rs"]
mod queue;
#[path = "fair_share/replay.rs"]
mod replay;
#[path = "fair_share/score.rs"]
mod score;
#[path = "fair_share/shares.rs"]
mod shares;

use std::time::Duration;

use googletest::prelude::*;

use crate::replay::Day;
use crate::replay::Replay;
use crate::score::Outcome;

/// A hot account, a burst and a lost data centre, all together.
fn hard_day() -> Day {
    Day {
        length: Duration::from_secs(60),
        usual_rate: 53.0,
        hot: 10..50,
        hot_factor: 6.0,
        burst: 20..40,
        lost: 25..35,
        takeover: None,
        has_shares: true,
    }
}

/// The same in a fifth of the time.
fn short_hard_day() -> Day {
    Day {
        length: Duration::from_secs(12),
        hot: 2..10,
        burst: 4..10,
        lost: 6..8,
        ..hard_day()
    }
}

fn replay(seed: u64, day: Day) -> Outcome {
    let outcome = Replay::new(seed, day).run();
    println!(
        "seed={seed} worst={:.3} requests={} in_time={} late={} refusals={} parts={:.2?}",
        outcome.worst(),
        outcome.requests,
        outcome.in_time,
        outcome.late,
        outcome.refusals,
        outcome.parts(),
    );
    outcome
}

/// Guards against an account that crowds out the others. Without fair shares, the account served worst
/// gets 0.74 to 0.80 of its share in these replays.
#[gtest]
fn the_account_served_worst_gets_95_percent_of_its_fair_share() {
    for seed in 1..=2 {
        let outcome = replay(seed, hard_day());
        expect_that!(outcome.worst(), ge(0.95), "{outcome:?}");
    }
}

/// Guards against a new leader that does not know what the accounts hold and wait for.
#[gtest]
fn fair_shares_hold_when_another_leader_takes_over_in_the_burst() {
    let day = Day {
        takeover: Some(30),
        ..hard_day()
    };
    let outcome = replay(1, day);
    expect_that!(outcome.worst(), ge(0.95), "{outcome:?}");
}

/// Guards against work that is refused although there is capacity for it.
#[gtest]
fn an_account_may_use_all_capacity_that_no_other_waits_for() {
    let day = Day {
        length: Duration::from_secs(15),
        burst: 0..0,
        lost: 0..0,
        ..hard_day()
    };
    let outcome = replay(1, day);
    expect_that!(outcome.refusals, eq(0), "{outcome:?}");
    expect_that!(outcome.late, eq(0), "{outcome:?}");
}

/// Guards against changes for deployments that do not ask for fair shares: all decisions and their
/// times are those of the program before fair shares existed (commit 2ac5274).
#[gtest]
fn without_fair_shares_decisions_are_as_before() {
    let day = Day {
        has_shares: false,
        ..short_hard_day()
    };
    let outcome = replay(1, day);
    expect_that!(outcome.decisions, eq(0xb9b4_7425_743d_f091), "{outcome:?}");
}
