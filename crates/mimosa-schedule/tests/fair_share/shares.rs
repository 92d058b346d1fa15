//! Tests of the shares themselves.

use std::time::Duration;

use googletest::prelude::*;
use mimosa_protocol::AccountId;
use mimosa_protocol::Tokens;
use mimosa_schedule::fair_share::FairShares;
use mimosa_schedule::fair_share::LocalRequest;
use mimosa_schedule::fair_share::LocalShares;
use mimosa_schedule::fair_share::OverShare;
use mimosa_schedule::fair_share::ToldClients;
use mimosa_schedule::fair_share::Waiting;

use crate::replay::RATES;
use crate::replay::START;
use crate::replay::account;
use crate::replay::weights;

/// Cost of each request in token-seconds.
const COST: f64 = 1_000.0;

fn waiting(account: &Option<AccountId>) -> Waiting<'_> {
    Waiting {
        account,
        priority: 1,
        is_urgent: false,
        cost: COST,
        is_late: false,
        has_kv_cache: false,
        is_returning: false,
        target: START,
    }
}

/// Places `count` requests of accounts that always have some waiting. Returns how many each got.
fn serve(shares: &mut FairShares, accounts: &[Option<AccountId>], count: usize) -> Vec<usize> {
    let mut served = vec![0; accounts.len()];
    for _ in 0..count {
        let queue: Vec<_> = accounts.iter().map(waiting).collect();
        let ranks = shares.arrange(&queue);
        let first = (0..ranks.len()).min_by_key(|index| ranks[*index]).unwrap();
        served[first] += 1;
        shares.charge(1, &accounts[first], COST);
    }
    served
}

/// Guards against shares that do not follow the quota rates.
#[gtest]
fn accounts_that_always_wait_are_served_by_weight() {
    let mut shares = FairShares::new(weights());
    // Rates of 8, 40 and 80.
    let accounts = [0, 9, 11].map(|index| Some(account(index)));
    let served = serve(&mut shares, &accounts, 1_280);
    for (served, expected) in served.into_iter().zip([80, 400, 800]) {
        expect_that!(served, all![ge(expected - 4), le(expected + 4)]);
    }
}

/// Guards against credit for idling, with which an account could take all capacity for a while.
#[gtest]
fn an_account_that_was_idle_gets_only_a_small_head_start() {
    let mut shares = FairShares::new(weights());
    let all = [6, 7].map(|index| Some(account(index)));
    serve(&mut shares, &all[..1], 1_000);
    let served = serve(&mut shares, &all, 100);
    expect_that!(served[1], all![ge(50), le(53)]);
}

/// Guards against use of idle capacity that is held against an account for long, and against state
/// that grows with each account that was ever seen.
#[gtest]
fn past_use_decays() {
    let mut shares = FairShares::new(weights());
    let all = [6, 7].map(|index| Some(account(index)));
    serve(&mut shares, &all, 100);
    // The first account is 50 requests ahead.
    shares.charge(1, &all[0], 50.0 * COST);
    shares.decay(START);
    shares.decay(START + Duration::from_secs(20));
    let served = serve(&mut shares, &all, 40);
    expect_that!(served[0], ge(10));
    shares.arrange(&[]);
    shares.decay(START + Duration::from_secs(300));
    expect_that!(shares.accounts(), eq(0));
}

/// Guards against requests that missed their target and then wait for as long as other accounts send
/// new ones.
#[gtest]
fn late_requests_wait_only_until_their_account_is_far_behind() {
    let mut shares = FairShares::new(weights());
    let all = [6, 7].map(|index| Some(account(index)));
    let mut before_late = 0;
    for _ in 0..20 {
        let late = Waiting {
            is_late: true,
            ..waiting(&all[0])
        };
        let ranks = shares.arrange(&[late, waiting(&all[1])]);
        if ranks[0] < ranks[1] {
            break;
        }
        shares.charge(1, &all[1], COST);
        before_late += 1;
    }
    expect_that!(before_late, all![ge(4), le(6)]);
}

/// Guards against clients of one account that are all told to return at the same moment, and against
/// accounts that pay for the clients of another one.
#[gtest]
fn refused_clients_are_told_to_return_one_after_the_other_by_account() {
    let mut shares = FairShares::new(weights());
    let all = [6, 7].map(|index| Some(account(index)));
    let queue: Vec<_> = all.iter().map(waiting).collect();
    shares.arrange(&queue);
    let interval = Duration::from_millis(100);
    let expected = START + Duration::from_secs(2);
    let mut turn = |index: usize| shares.turn(START, &queue[index], expected, interval);
    let hot: Vec<Duration> = (0..3).map(|_| turn(0)).collect();
    let other = turn(1);
    let millis: Vec<u128> = hot.iter().map(Duration::as_millis).collect();
    // Each of the two accounts is served every second interval.
    expect_that!(millis, eq(&[2_000, 2_200, 2_400]));
    expect_that!(other, eq(Duration::from_secs(2)));
    let last = (0..1_000).map(|_| turn(0)).last().unwrap();
    expect_that!(last, eq(Duration::from_secs(10)));
}

/// Guards against state that grows with the number of refused clients, and against clients that get
/// ahead by returning early, long after their turn, or repeatedly.
#[gtest]
fn a_return_is_recognised_once_and_at_its_time() {
    let mut told = ToldClients::default();
    let due = START + Duration::from_secs(2);
    for fingerprint in 0..100_000 {
        told.record(START, fingerprint, due);
    }
    expect_that!(told.len(), le(8_192));
    let last = 99_999;
    expect_that!(told.take(START + Duration::from_secs(1), last), eq(false));
    expect_that!(told.take(due, last), eq(true));
    expect_that!(told.take(due, last), eq(false));
    expect_that!(told.take(due + Duration::from_secs(9), last - 1), eq(false));
}

/// Guards against an account that takes the whole part of a gateway while no leader responds.
#[gtest]
fn without_a_leader_accounts_share_the_part_of_the_gateway_by_weight() {
    let mut local = LocalShares::default();
    let weights = weights();
    // Rates of 20 and 40.
    let accounts = [8, 9].map(|index| Some(account(index)));
    expect_that!(RATES[9], eq(2 * RATES[8]));
    let request = |index: usize| LocalRequest {
        account: &accounts[index],
        memory: Tokens(1_000),
        part: Tokens(30_000),
    };
    let mut held = [0, 0];
    // The first account sends six requests for each of the second one.
    for round in 0..40 {
        let now = START + Duration::from_millis(10) * round;
        for index in [0, 0, 0, 0, 0, 0, 1] {
            let admitted = local.admit(now, &weights, &request(index));
            held[index] += u32::from(admitted.is_ok());
        }
    }
    // The first one got 24 before the part was in use; the other one gets its two thirds in any case.
    expect_that!(held[1], ge(20));
    // From then on, the first one has to stay within its third.
    for _ in 0..held[0] - 10 {
        local.release(&accounts[0], Tokens(1_000));
    }
    let now = START + Duration::from_millis(500);
    let admitted = local.admit(now, &weights, &request(0));
    expect_that!(admitted, eq(Err(OverShare)));
    // A part that is smaller than a request admits one request of each account.
    let small = LocalRequest {
        part: Tokens(10),
        account: &None,
        ..request(0)
    };
    expect_that!(local.admit(now, &weights, &small), ok(eq(())));
    expect_that!(local.admit(now, &weights, &small), eq(Err(OverShare)));
}
