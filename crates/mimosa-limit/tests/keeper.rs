//! A single keeper or limiter driven by hand: what it must never grant or use.

use std::collections::BTreeSet;
use std::sync::Arc;
use std::time::Duration;

use googletest::prelude::*;
use mimosa_limit::keeper::Action;
use mimosa_limit::keeper::Event;
use mimosa_limit::keeper::Keeper;
use mimosa_limit::leased::LeasedRateLimiter;
use mimosa_limit::limiter::Admission;
use mimosa_limit::limiter::RateLimiter;
use mimosa_limit::message::AccountReport;
use mimosa_limit::message::Answer;
use mimosa_limit::message::Holder;
use mimosa_limit::message::Partition;
use mimosa_limit::message::Refund;
use mimosa_limit::message::RefundNumber;
use mimosa_limit::message::Report;
use mimosa_limit::message::ReportNumber;
use mimosa_limit::message::SliceState;
use mimosa_limit::micro_tokens::MicroTokens;
use mimosa_limit::settings::Settings;
use mimosa_protocol::AccountId;
use mimosa_protocol::Epoch;
use mimosa_protocol::Incarnation;
use mimosa_protocol::RequestId;
use mimosa_protocol::Timestamp;
use mimosa_protocol::Tokens;

use crate::fleet::configuration;

#[allow(dead_code)]
#[path = "support/fleet.rs"]
mod fleet;

const RATE: u64 = 1_000;
const BURST: u64 = 1_000;

fn settings() -> Settings {
    Settings {
        slice_lease: Duration::from_millis(500),
        loan_lease: Duration::from_millis(1_500),
        lease_margin: Duration::from_millis(50),
        heartbeat: Duration::from_millis(50),
        ..Settings::default()
    }
}

fn account() -> AccountId {
    "wisla".parse().expect("a name")
}

fn keeper(epoch: u64, from: Timestamp, until: Timestamp) -> Keeper {
    let configuration = Arc::new(configuration(1, &account(), RATE, BURST));
    let partition = Partition::of(&account());
    let own = "dc-0".parse().expect("a name");
    let mut keeper = Keeper::new(from, settings(), partition, own, configuration);
    let epoch = Epoch(epoch);
    keeper.handle(from, Event::Role { epoch, until });
    keeper
}

fn ready_keeper(until: Timestamp) -> Keeper {
    keeper(1, Timestamp::ZERO, until)
}

fn report(entry: &str, number: u64, needed: u64) -> Report {
    Report {
        partition: Partition::of(&account()),
        holder: Holder::Entry(entry.parse().expect("a name")),
        incarnation: Incarnation(1),
        epoch: Epoch(1),
        number: ReportNumber(number),
        accounts: vec![AccountReport {
            account: account(),
            head_shortfall: Tokens(1),
            shortfall: Tokens(needed),
            prefetch: Tokens::ZERO,
            slices: Vec::new(),
        }],
        first_refund: RefundNumber::ZERO,
        refunds: Vec::new(),
    }
}

fn answer(keeper: &mut Keeper, now: Timestamp, report: Report) -> Option<Answer> {
    let actions = keeper.handle(now, Event::Report(report));
    actions.into_iter().find_map(|action| match action {
        Action::Answer(_, answer) => Some(answer),
        Action::Report(..) => None,
    })
}

/// Tokens in the slices of an answer.
fn granted(answer: &Answer) -> u64 {
    let slices = answer.accounts.iter().flat_map(|account| &account.slices);
    slices.map(|grant| grant.amount.tokens().0).sum()
}

fn ask(keeper: &mut Keeper, now: Timestamp, report: Report) -> Option<u64> {
    answer(keeper, now, report).map(|answer| granted(&answer))
}

const FAR_FUTURE: Timestamp = Timestamp::from_secs(1_000);

#[googletest::test]
fn a_slice_of_a_failed_entry_is_unavailable_until_its_lease_expires_and_counts_as_spent() {
    let mut keeper = ready_keeper(FAR_FUTURE);
    let at = Timestamp::from_millis;
    expect_that!(
        ask(&mut keeper, at(9_000), report("a", 1, 5_000)),
        some(eq(BURST))
    );
    expect_that!(
        ask(&mut keeper, at(9_400), report("b", 1, 5_000)),
        some(eq(0))
    );
    expect_that!(
        ask(&mut keeper, at(9_549), report("b", 2, 5_000)),
        some(eq(0))
    );
    expect_that!(
        ask(&mut keeper, at(9_550), report("b", 3, 5_000)),
        some(eq(0))
    );
    expect_that!(
        ask(&mut keeper, at(9_650), report("b", 4, 5_000)),
        some(eq(100))
    );
}

#[googletest::test]
fn a_new_keeper_grants_nothing_while_slices_of_the_old_one_may_be_in_use() {
    let at = Timestamp::from_millis;
    let mut first = ready_keeper(at(9_001));
    expect_that!(
        ask(&mut first, at(9_000), report("a", 1, 5_000)),
        some(eq(BURST))
    );
    expect_that!(ask(&mut first, at(9_001), report("b", 1, 5_000)), none());

    let mut second = keeper(2, at(9_001), FAR_FUTURE);
    let takeover_delay = settings().takeover_delay();
    expect_that!(
        ask(
            &mut second,
            at(9_000) + takeover_delay,
            report("b", 2, 5_000)
        ),
        none()
    );
    let ready = at(9_001) + takeover_delay;
    expect_that!(ask(&mut second, ready, report("b", 3, 5_000)), some(eq(0)));
    let later = ready + Duration::from_millis(100);
    expect_that!(
        ask(&mut second, later, report("b", 4, 5_000)),
        some(eq(100))
    );
}

#[googletest::test]
fn a_keeper_that_learns_of_a_newer_epoch_grants_nothing_more() {
    let mut keeper = ready_keeper(FAR_FUTURE);
    let newer = Report {
        epoch: Epoch(2),
        ..report("a", 1, 100)
    };
    let now = Timestamp::from_secs(9);
    expect_that!(ask(&mut keeper, now, newer), none());
    expect_that!(ask(&mut keeper, now, report("b", 1, 100)), none());
    keeper.handle(
        now,
        Event::Role {
            epoch: Epoch(1),
            until: FAR_FUTURE,
        },
    );
    let later = now + settings().takeover_delay();
    expect_that!(ask(&mut keeper, later, report("b", 2, 100)), none());
}

#[googletest::test]
fn repeated_reports_and_refunds_count_once() {
    let mut keeper = ready_keeper(FAR_FUTURE);
    let now = Timestamp::from_secs(9);
    let first = report("a", 1, 1_000);
    let answer = answer(&mut keeper, now, first.clone()).expect("an answer");
    expect_that!(ask(&mut keeper, now, first), none());

    let grant = &answer.accounts[0].slices[0];
    let refund = Refund {
        account: account(),
        origin: grant.origin.clone(),
        amount: MicroTokens::from(Tokens(300)),
    };
    let mut spent = report("a", 2, 0);
    spent.accounts[0].slices = vec![SliceState {
        number: grant.number,
        spent: grant.amount,
        closed: true,
    }];
    spent.refunds = vec![refund];
    let mut again = spent.clone();
    again.number = ReportNumber(3);
    expect_that!(ask(&mut keeper, now, spent.clone()), some(eq(0)));
    expect_that!(ask(&mut keeper, now, again), some(eq(0)));
    expect_that!(ask(&mut keeper, now, spent), none());
    expect_that!(ask(&mut keeper, now, report("b", 1, 5_000)), some(eq(300)));
}

#[googletest::test]
fn an_entry_uses_a_slice_once_and_not_after_its_lease_expired() {
    let at = Timestamp::from_millis;
    let mut keeper = ready_keeper(FAR_FUTURE);
    let instance = "a".parse().expect("a name");
    let mut limiter = LeasedRateLimiter::new(settings(), instance, Incarnation(1));
    let reserve = |limiter: &mut LeasedRateLimiter, at, request, cost| {
        limiter.reserve(at, RequestId(request), &account(), Tokens(cost))
    };
    let waits = Admission::Wait(settings().retry_interval);
    expect_that!(reserve(&mut limiter, at(9_000), 1, 800), eq(waits));
    let asked = limiter.reports(at(9_000)).remove(0);
    let again = limiter.reports(at(9_004)).remove(0);
    let first = answer(&mut keeper, at(9_001), asked).expect("an answer");
    let answer = answer(&mut keeper, at(9_005), again).expect("an answer");
    expect_that!(granted(&answer), eq(granted(&first)));
    expect_that!(limiter.accept(at(9_006), &first), eq(true));
    expect_that!(limiter.accept(at(9_006), &answer), eq(true));
    expect_that!(limiter.accept(at(9_006), &answer), eq(false));
    let mut late = limiter.clone();
    expect_that!(
        reserve(&mut limiter, at(9_499), 1, 800),
        eq(Admission::Admitted)
    );
    expect_that!(reserve(&mut limiter, at(9_499), 2, 800), eq(waits));
    expect_that!(reserve(&mut late, at(9_500), 1, 800), eq(waits));

    let mut old = answer;
    old.epoch = Epoch(1);
    let mut ahead = late.clone();
    ahead.follow(Partition::of(&account()), Epoch(2));
    old.number = ReportNumber(3);
    ahead.reports(at(9_600));
    expect_that!(ahead.accept(at(9_600), &old), eq(false));
}

#[googletest::test]
fn no_slice_is_allocated_from_a_loan_that_may_expire_before_it() {
    let configuration = Arc::new(configuration(2, &account(), RATE, BURST));
    let partition = Partition::of(&account());
    let confirmed = |keeper: &mut Keeper, other: &str| {
        let data_centre = other.parse().expect("a name");
        let revision = configuration.revision;
        keeper.handle(
            Timestamp::ZERO,
            Event::Confirmed {
                data_centre,
                revision,
            },
        );
        keeper.handle(
            Timestamp::ZERO,
            Event::Role {
                epoch: Epoch(1),
                until: FAR_FUTURE,
            },
        );
    };
    let keeper = |own: &str| {
        let own = own.parse().expect("a name");
        let settings = settings();
        Keeper::new(
            Timestamp::ZERO,
            settings,
            partition,
            own,
            configuration.clone(),
        )
    };
    let (mut lender, mut borrower) = (keeper("dc-0"), keeper("dc-1"));
    confirmed(&mut lender, "dc-1");
    confirmed(&mut borrower, "dc-0");
    let asks = |entry, number| {
        let mut report = report(entry, number, 600);
        report.accounts[0].head_shortfall = Tokens(600);
        report
    };
    let now = Timestamp::from_secs(9);
    let actions = borrower.handle(now, Event::Report(asks("b", 1)));
    let loan = actions.into_iter().find_map(|action| match action {
        Action::Report(_, report) => Some(report),
        Action::Answer(..) => None,
    });
    let lent = answer(&mut lender, now, loan.expect("a report")).expect("an answer");
    expect_that!(granted(&lent), eq(100));
    borrower.handle(now, Event::Answer(lent));
    let mut late = borrower.clone();
    let in_time = now + Duration::from_millis(900);
    expect_that!(ask(&mut borrower, in_time, asks("c", 1)), some(eq(600)));
    let too_late = now + Duration::from_millis(1_000);
    expect_that!(ask(&mut late, too_late, asks("c", 1)), some(eq(0)));
}

/// Sends a request every 2 ms at half of the rate and retries each one every millisecond until it
/// is admitted. Returns how many were not admitted at once after the first 500 ms.
fn delayed_requests_of_a_steady_account(
    limiter: &mut LeasedRateLimiter,
    keeper: &mut Keeper,
) -> usize {
    const START_MS: u64 = 4_000;
    const BUSY_MS: u64 = 500;
    let mut waiting = Vec::new();
    let mut late = BTreeSet::new();
    for millis in START_MS..START_MS + 2 * BUSY_MS {
        let now = Timestamp::from_millis(millis);
        if millis.is_multiple_of(2) {
            waiting.push(RequestId(u128::from(millis)));
        }
        waiting.retain(|id| {
            let admitted = limiter.reserve(now, *id, &account(), Tokens(1)) == Admission::Admitted;
            if admitted {
                limiter.settle(now, *id, Tokens(1));
            }
            !admitted
        });
        if millis >= START_MS + BUSY_MS {
            late.extend(waiting.iter().copied());
        }
        for report in limiter.reports(now) {
            if let Some(answer) = answer(keeper, now, report) {
                limiter.accept(now, &answer);
            }
        }
    }
    late.len()
}

#[googletest::test]
fn a_steadily_used_account_gets_tokens_ahead_of_its_requests() {
    let mut keeper = ready_keeper(FAR_FUTURE);
    let instance = "entry-1".parse().expect("a name");
    let mut limiter = LeasedRateLimiter::new(settings(), instance, Incarnation(1));
    expect_that!(
        delayed_requests_of_a_steady_account(&mut limiter, &mut keeper),
        eq(0)
    );
}
