//! Fair shares between accounts and the order of requests within an account.

use std::collections::BTreeMap;
use std::time::Duration;

use googletest::prelude::*;
use mimosa_protocol::RefusalReason;
use mimosa_protocol::Timestamp;
use mimosa_protocol::Tokens;
use mimosa_schedule::Action;
use mimosa_schedule::AttemptEnd;
use mimosa_schedule::Event;
use mimosa_schedule::Settings;
use mimosa_schedule::Submission;
use mimosa_schedule::settings::QueueSettings;
use proptest::collection::vec;
use proptest::test_runner::Config;
use proptest::test_runner::RngAlgorithm;
use proptest::test_runner::TestRng;
use proptest::test_runner::TestRunner;

use crate::fixture::Session;
use crate::fixture::model;
use crate::fixture::started;
use crate::fixture::submission;
use crate::fixture::warm_settings;

const ROUND_MILLIS: u64 = 100;

/// Settings without shedding, so that only fair queueing has an effect.
fn without_shedding() -> Settings {
    Settings {
        queue: QueueSettings {
            shed_late: false,
            shed_early: false,
            ..QueueSettings::default()
        },
        ..warm_settings()
    }
}

/// A session in which the oldest attempt ends in each round.
struct Rounds {
    session: Session,
    next: u128,
    accounts: BTreeMap<u128, &'static str>,
    running: Vec<u128>,
    grants: Vec<&'static str>,
}

impl Rounds {
    fn new(settings: Settings) -> Self {
        let mut view = model(1, 1);
        view.service.max_queue_time = Duration::from_secs(100_000);
        for endpoint in &mut view.endpoints {
            endpoint.capacity.prefill_rate.0 = 1_000_000;
        }
        Self {
            session: Session::new(settings, view),
            next: 0,
            accounts: BTreeMap::new(),
            running: Vec::new(),
            grants: Vec::new(),
        }
    }

    fn submit(&mut self, account: &'static str, change: impl FnOnce(&mut Submission)) {
        self.next += 1;
        let mut submission = submission(self.next, account, self.session.now);
        change(&mut submission);
        self.accounts.insert(self.next, account);
        let actions = self.session.send(Event::Submit(submission));
        self.record_grants(&actions);
    }

    fn round(&mut self) {
        let actions = self.session.wait(ROUND_MILLIS);
        self.record_grants(&actions);
        if !self.running.is_empty() {
            let oldest = self.running.remove(0);
            self.session.run_to_first_token(oldest);
            self.session.progress(oldest, 500);
            let actions = self.session.end(oldest, AttemptEnd::Complete);
            self.record_grants(&actions);
        }
    }

    fn record_grants(&mut self, actions: &[Action]) {
        for request in started(actions) {
            self.running.push(request);
            self.grants.push(self.accounts[&request]);
        }
    }

    fn granted_since(&self, from: usize, account: &str) -> usize {
        let later = self.grants[from..].iter();
        later.filter(|each| **each == account).count()
    }
}

/// An account that always has queued requests.
#[derive(Clone, Copy, Debug)]
struct Backlogged {
    name: &'static str,
    weight: u32,
    prompt: u64,
}

impl Backlogged {
    fn cost(&self) -> u64 {
        self.prompt + 500
    }
}

/// Rounds after which every account has queued requests.
const BACKLOGGED_AFTER: usize = 10;

/// Tokens served to each account, divided by its weight.
fn served_by_weight(accounts: &[Backlogged], count: usize) -> Vec<u64> {
    let mut rounds = Rounds::new(without_shedding());
    let mut waiting: BTreeMap<&str, u32> = BTreeMap::new();
    let mut served: BTreeMap<&str, u64> = BTreeMap::new();
    for i in 0..count {
        if i == BACKLOGGED_AFTER {
            served.clear();
        }
        for account in accounts {
            while waiting.get(account.name).is_none_or(|count| *count < 10) {
                rounds.submit(account.name, |each| {
                    each.weight = account.weight;
                    each.prompt = Tokens(account.prompt);
                });
                *waiting.entry(account.name).or_default() += 1;
            }
        }
        for name in std::mem::take(&mut rounds.grants) {
            *waiting.entry(name).or_default() -= 1;
            let account = accounts.iter().find(|each| each.name == name);
            *served.entry(name).or_default() += account.expect("the account is known").cost();
        }
        rounds.round();
    }
    let by_weight = |each: &Backlogged| served[each.name] / u64::from(each.weight);
    accounts.iter().map(by_weight).collect()
}

/// Checks that shares differ by at most one request of each of two accounts.
fn assert_fair(accounts: &[Backlogged], count: usize) {
    let served = served_by_weight(accounts, count);
    let least = served.iter().min().expect("there is an account");
    let most = served.iter().max().expect("there is an account");
    let largest = accounts
        .iter()
        .map(|each| each.cost().div_ceil(u64::from(each.weight)));
    let bound = 2 * largest.max().expect("there is an account");
    assert!(most - least <= bound, "{served:?} of {accounts:?}");
    assert!(*least > 0, "{served:?} of {accounts:?}");
}

#[googletest::test]
fn backlogged_accounts_are_served_by_weight() {
    let account = |name, weight, prompt| Backlogged {
        name,
        weight,
        prompt,
    };
    let accounts = [
        account("a", 1, 1_000),
        account("b", 2, 3_000),
        account("c", 4, 500),
    ];
    assert_fair(&accounts, 1_500);
}

#[googletest::test]
fn shares_hold_for_random_weights_and_sizes() {
    let config = Config {
        cases: 20,
        failure_persistence: None,
        ..Config::default()
    };
    let rng = TestRng::deterministic_rng(RngAlgorithm::ChaCha);
    let mut runner = TestRunner::new_with_rng(config, rng);
    let accounts = vec((1..6_u32, 1..7_500_u64), 2..5);
    let checked = runner.run(&accounts, |drawn| {
        let names = ["a", "b", "c", "d"];
        let account = |(name, (weight, prompt))| Backlogged {
            name,
            weight,
            prompt,
        };
        let accounts: Vec<Backlogged> = names.into_iter().zip(drawn).map(account).collect();
        assert_fair(&accounts, 300);
        Ok(())
    });
    if let Err(error) = checked {
        panic!("{error}");
    }
}

#[googletest::test]
fn an_idle_account_gains_no_credit() {
    let mut rounds = Rounds::new(without_shedding());
    rounds.submit("idle", |_| {});
    for _ in 0..300 {
        rounds.submit("busy", |_| {});
        rounds.round();
    }
    (0..20).for_each(|_| rounds.submit("busy", |_| {}));
    (0..40).for_each(|_| rounds.submit("idle", |_| {}));
    let from = rounds.grants.len();
    (0..20).for_each(|_| rounds.round());
    expect_that!(rounds.granted_since(from, "busy"), ge(9));
}

#[googletest::test]
fn after_a_short_pause_a_small_account_is_served_first() {
    let mut rounds = Rounds::new(without_shedding());
    for i in 0..100 {
        rounds.submit("busy", |_| {});
        rounds.submit("other", |_| {});
        if i % 20 == 0 {
            rounds.submit("small", |_| {});
        }
        rounds.round();
    }
    (0..3).for_each(|_| rounds.submit("small", |_| {}));
    let from = rounds.grants.len();
    (0..3).for_each(|_| rounds.round());
    expect_that!(rounds.granted_since(from, "small"), eq(3));
}

#[googletest::test]
fn the_lag_that_an_account_can_catch_up_is_limited() {
    let mut rounds = Rounds::new(without_shedding());
    for i in 0..400 {
        rounds.submit("busy", |_| {});
        if i % 40 == 0 {
            rounds.submit("small", |_| {});
        }
        rounds.round();
    }
    (0..40).for_each(|_| rounds.submit("busy", |_| {}));
    (0..80).for_each(|_| rounds.submit("small", |_| {}));
    let from = rounds.grants.len();
    (0..40).for_each(|_| rounds.round());
    // The maximum lag of 50,000 tokens covers 11 requests; the other 29 are shared evenly.
    expect_that!(rounds.granted_since(from, "busy"), ge(13));
}

#[googletest::test]
fn on_overflow_only_requests_of_the_flooding_account_are_refused() {
    let mut settings = without_shedding();
    settings.queue.max_queued = 20;
    let mut rounds = Rounds::new(settings);
    for i in 0..200 {
        rounds.submit("flood", |_| {});
        if i % 50 == 0 {
            rounds.submit("small", |_| {});
        }
    }
    let full = RefusalReason::QueueFull.as_str();
    let record = rounds.session.record.clone();
    let refused: Vec<u128> = record
        .lines()
        .filter(|line| line.contains(full))
        .filter_map(|line| line.trim().strip_prefix("-> refuse "))
        .filter_map(|line| line.split(':').next()?.parse().ok())
        .collect();
    expect_that!(refused.len(), gt(150));
    let accounts = refused.iter().map(|request| rounds.accounts[request]);
    expect_that!(accounts.collect::<Vec<_>>(), each(eq(&"flood")));
}

#[googletest::test]
fn within_an_account_the_most_urgent_request_is_started_first() {
    let mut rounds = Rounds::new(Settings {
        queue: QueueSettings {
            shed_early: false,
            ..QueueSettings::default()
        },
        ..warm_settings()
    });
    rounds.session.now = Timestamp::from_secs(10);
    for _ in 0..4 {
        rounds.submit("a", |_| {});
    }
    let older = rounds.session.now.minus(Duration::from_millis(500));
    rounds.submit("a", |_| {});
    rounds.submit("a", |each| each.arrived = older);
    let actions = rounds.session.end(1, AttemptEnd::Complete);
    expect_that!(started(&actions), elements_are![eq(&6)]);
}
