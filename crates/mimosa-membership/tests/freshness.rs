//! The key lease, and withdrawals accepted in partitions without a control quorum.

use std::time::Duration;

use googletest::prelude::*;
use mimosa_membership::freshness::Confirmation;
use mimosa_membership::freshness::Freshness;
use mimosa_membership::freshness::Settings;
use mimosa_membership::freshness::State;
use mimosa_membership::withdrawal::WithdrawOutcome;
use mimosa_membership::withdrawal::Withdrawals;
use mimosa_protocol::Change;
use mimosa_protocol::Configuration;
use mimosa_protocol::KeyId;
use mimosa_protocol::Revision;
use mimosa_protocol::Timestamp;
use mimosa_protocol::TokenRate;
use mimosa_protocol::Tokens;
use mimosa_protocol::change::Delta;
use mimosa_protocol::configuration::ClientAccount;
use mimosa_protocol::configuration::Key;
use mimosa_protocol::hash::Sha256Digest;

const LEASE: Duration = Duration::from_secs(4);

fn freshness() -> Freshness {
    Freshness::new(Settings { key_lease: LEASE })
}

fn secs(secs: u64) -> Timestamp {
    Timestamp::from_secs(secs)
}

fn account(serve_when_cut_off: bool) -> ClientAccount {
    ClientAccount {
        id: "pressed-flowers".parse().unwrap(),
        rate: TokenRate(1_000),
        burst: Tokens(1_000),
        weight: 1,
        services: Vec::new(),
        serve_when_cut_off,
    }
}

#[googletest::test]
fn keys_are_honoured_for_one_lease_after_the_question() {
    let mut freshness = freshness();
    expect_that!(freshness.state(secs(1)), eq(State::Stale { since: None }));
    expect_that!(
        freshness.honours_keys_of(secs(1), &account(false)),
        eq(false)
    );

    freshness.revision_applied(Revision(3));
    let until = secs(14);
    expect_that!(
        freshness.revision_confirmed(secs(10), Revision(3)),
        eq(Confirmation::Fresh { until })
    );
    // (now, fresh): the lease starts at the question at 10 s, even if the answer arrived at 13 s.
    for (now, fresh) in [(9, false), (10, true), (13, true), (14, false), (60, false)] {
        expect_that!(
            freshness.honours_keys_of(secs(now), &account(false)),
            eq(fresh)
        );
        expect_that!(
            freshness.honours_keys_of(secs(now), &account(true)),
            eq(true)
        );
    }
    expect_that!(
        freshness.state(secs(60)),
        eq(State::Stale { since: Some(until) })
    );
}

#[googletest::test]
fn an_answer_about_a_newer_revision_counts_once_that_is_in_force() {
    let mut freshness = freshness();
    freshness.revision_applied(Revision(3));
    freshness.revision_confirmed(secs(10), Revision(3));
    expect_that!(
        freshness.revision_confirmed(secs(13), Revision(4)),
        eq(Confirmation::Pending)
    );
    expect_that!(
        freshness.honours_keys_of(secs(15), &account(false)),
        eq(false)
    );
    freshness.revision_applied(Revision(4));
    expect_that!(
        freshness.honours_keys_of(secs(15), &account(false)),
        eq(true)
    );
    expect_that!(
        freshness.honours_keys_of(secs(17), &account(false)),
        eq(false)
    );
}

#[googletest::test]
fn an_answer_with_an_older_revision_confirms_nothing() {
    let mut freshness = freshness();
    freshness.revision_applied(Revision(3));
    expect_that!(
        freshness.revision_confirmed(secs(10), Revision(2)),
        eq(Confirmation::StaleSender)
    );
    expect_that!(
        freshness.honours_keys_of(secs(10), &account(false)),
        eq(false)
    );
}

fn configuration() -> Configuration {
    let mut configuration = Configuration::default();
    let changes = ["a", "b"].map(|id| Change::PutKey(key(id, None)));
    configuration.apply(&Delta {
        revision: Revision(1),
        changes: changes.into(),
    });
    configuration
}

fn key(id: &str, withdrawn: Option<Timestamp>) -> Key {
    Key {
        id: id.parse().unwrap(),
        account: "pressed-flowers".parse().unwrap(),
        digest: Sha256Digest::of(id.as_bytes()),
        withdrawn,
    }
}

#[googletest::test]
fn withdrawals_of_two_partitions_merge_and_are_removed_once_committed() {
    let [a, b, unknown]: [KeyId; 3] = ["a", "b", "c"].map(|id| id.parse().unwrap());
    let mut configuration = configuration();
    let (mut left, mut right) = (Withdrawals::default(), Withdrawals::default());
    for (key, answer) in [
        (&a, WithdrawOutcome::Applied),
        (&a, WithdrawOutcome::AlreadyWithdrawn),
        (&unknown, WithdrawOutcome::UnknownKey),
    ] {
        expect_that!(left.withdraw(secs(5), key, &configuration), eq(answer));
    }
    right.withdraw(secs(4), &a, &configuration);
    right.withdraw(secs(6), &b, &configuration);

    let copy = |of: &Withdrawals| {
        of.iter()
            .map(|(key, at)| (key.clone(), at))
            .collect::<Vec<_>>()
    };
    let (of_left, of_right) = (copy(&left), copy(&right));
    expect_that!(left.merge(of_right), eq(1));
    expect_that!(right.merge(of_left), eq(0));
    expect_that!(left, eq(&right));
    expect_that!(
        copy(&left),
        eq(&vec![(a.clone(), secs(4)), (b.clone(), secs(6))])
    );

    configuration.apply(&Delta {
        revision: Revision(2),
        changes: vec![Change::PutKey(key("a", Some(secs(4))))],
    });
    left.remove_committed(&configuration);
    expect_that!((left.contains(&a), left.contains(&b)), eq((false, true)));
    expect_that!(
        left.withdraw(secs(9), &a, &configuration),
        eq(WithdrawOutcome::AlreadyWithdrawn)
    );
}
