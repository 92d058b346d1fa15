//! The token bucket and the rate limiter of a single entry.

use std::time::Duration;

use googletest::prelude::*;
use mimosa_limit::bucket::TokenBucket;
use mimosa_limit::limiter::Admission;
use mimosa_limit::limiter::RateLimiter;
use mimosa_limit::local::LocalRateLimiter;
use mimosa_limit::local::LocalSettings;
use mimosa_limit::micro_tokens::MicroTokens;
use mimosa_protocol::AccountId;
use mimosa_protocol::Configuration;
use mimosa_protocol::RequestId;
use mimosa_protocol::Timestamp;
use mimosa_protocol::TokenRate;
use mimosa_protocol::Tokens;
use mimosa_protocol::configuration::ClientAccount;
use proptest::collection::vec;
use proptest::prelude::*;
use proptest::test_runner::Config;
use proptest::test_runner::RngAlgorithm;
use proptest::test_runner::TestRng;
use proptest::test_runner::TestRunner;

fn account(rate: u64, burst: u64) -> (AccountId, Configuration) {
    let id: AccountId = "orchids".parse().expect("a name");
    let account = ClientAccount {
        id: id.clone(),
        rate: TokenRate(rate),
        burst: Tokens(burst),
        weight: 1,
        services: Vec::new(),
        serve_when_cut_off: false,
    };
    let accounts = [(id.clone(), account)].into();
    let configuration = Configuration {
        accounts,
        ..Configuration::default()
    };
    (id, configuration)
}

#[googletest::test]
fn a_request_waits_in_order_and_is_rejected_beyond_the_longest_wait() {
    let (id, configuration) = account(1_000, 1_000);
    let mut limiter = LocalRateLimiter::new(LocalSettings::default());
    limiter.configure(Timestamp::ZERO, &configuration);
    let at = Timestamp::from_millis;
    let cases = [
        (0, 1, 1_000, Admission::Admitted),
        (0, 1, 1_000, Admission::Admitted),
        (0, 2, 400, Admission::Wait(Duration::from_millis(400))),
        (100, 3, 100, Admission::Wait(Duration::from_millis(400))),
        (
            100,
            4,
            900,
            Admission::Rejected(Duration::from_millis(1_300)),
        ),
        (
            100,
            5,
            1_001,
            Admission::Rejected(Duration::from_millis(1_401)),
        ),
        (400, 2, 400, Admission::Admitted),
        (500, 3, 100, Admission::Admitted),
    ];
    for (millis, request, cost, expected) in cases {
        let admission = limiter.reserve(at(millis), RequestId(request), &id, Tokens(cost));
        expect_that!(admission, eq(expected), "request {request} at {millis} ms");
    }
}

#[googletest::test]
fn a_refund_counts_once_and_never_exceeds_a_full_burst() {
    let (id, configuration) = account(100, 1_000);
    let mut limiter = LocalRateLimiter::new(LocalSettings::default());
    limiter.configure(Timestamp::ZERO, &configuration);
    let now = Timestamp::from_secs;
    limiter.reserve(now(0), RequestId(1), &id, Tokens(1_000));
    limiter.settle(now(1), RequestId(1), Tokens(600));
    expect_that!(limiter.level(now(1), &id), eq(Tokens(500)));
    limiter.settle(now(1), RequestId(1), Tokens(600));
    expect_that!(limiter.level(now(1), &id), eq(Tokens(500)));

    limiter.reserve(now(1), RequestId(2), &id, Tokens(500));
    limiter.reserve(now(11), RequestId(3), &id, Tokens(1_000));
    limiter.settle(now(11), RequestId(2), Tokens(0));
    expect_that!(limiter.level(now(11), &id), eq(Tokens(0)));
}

#[derive(Clone, Debug)]
struct Arrival {
    gap: u64,
    cost: u64,
    used: u64,
    duration: u64,
}

#[googletest::test]
fn charges_after_refunds_stay_within_the_bound_of_every_window() {
    let arrival = (0..400_u64, 1..600_u64, 0..600_u64, 0..3_000_u64);
    let arrival = arrival.prop_map(|(gap, cost, used, duration)| Arrival {
        gap,
        cost,
        used: used.min(cost),
        duration,
    });
    let rng = TestRng::deterministic_rng(RngAlgorithm::ChaCha);
    let mut runner = TestRunner::new_with_rng(Config::with_cases(400), rng);
    let verdict = runner.run(&vec(arrival, 1..120), |arrivals| {
        let (rate, burst) = (1_000, 1_000);
        let mut bucket = TokenBucket::full(Timestamp::ZERO, TokenRate(rate), Tokens(burst));
        let mut settlements: Vec<(u64, u64, u64)> = Vec::new();
        let mut counted: Vec<(u64, u64)> = Vec::new();
        let mut now = 0;
        for arrival in arrivals {
            now += arrival.gap;
            settlements.sort();
            let due = settlements
                .iter()
                .take_while(|settlement| settlement.0 <= now)
                .count();
            for (at, since, unused) in settlements.drain(..due) {
                let at = Timestamp::from_millis(at);
                let unused = MicroTokens::from(Tokens(unused));
                bucket.refund(at, Timestamp::from_millis(since), unused);
            }
            let cost = MicroTokens::from(Tokens(arrival.cost));
            if bucket.try_charge(Timestamp::from_millis(now), cost) {
                settlements.push((now + arrival.duration, now, arrival.cost - arrival.used));
                counted.push((now, arrival.used));
            }
        }
        for (i, first) in counted.iter().enumerate() {
            let mut sum = 0;
            for last in &counted[i..] {
                sum += last.1;
                let bound = burst + rate * (last.0 - first.0) / 1_000;
                prop_assert!(
                    sum <= bound,
                    "{sum} > {bound} from {} to {}",
                    first.0,
                    last.0
                );
            }
        }
        Ok(())
    });
    expect_that!(verdict, ok(anything()));
}
