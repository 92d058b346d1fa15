//! A non-idempotent call runs at most once per key within the retention.

mod fixture;

use std::time::Duration;

use googletest::prelude::*;
use mimosa_protocol::Timestamp;
use mimosa_protocol::message::LedgerAnswer;
use mimosa_protocol::message::LedgerEnd;
use mimosa_protocol::message::RecordedAnswer;
use mimosa_state::StateMachine;
use mimosa_state::ledger::MAX_ANSWER_BYTES;
use mimosa_state::ledger::MAX_CALLS_PER_ACCOUNT;
use mimosa_state::ledger::MAX_KEY_BYTES;
use mimosa_state::ledger::RETENTION;

use crate::fixture::Fixture;

fn answer(bytes: usize) -> RecordedAnswer {
    RecordedAnswer {
        status: 201,
        content_type: Some("application/json".to_owned()),
        body: vec![b'x'; bytes],
    }
}

#[googletest::test]
fn a_resent_call_gets_the_recorded_answer_and_never_runs_again() {
    let mut fixture = Fixture::default();
    expect_that!(fixture.begin(1, "payout", "a"), eq(&LedgerAnswer::Run));
    // Another request with the same key while the first one runs.
    expect_that!(fixture.begin(2, "payout", "a"), eq(&LedgerAnswer::Unknown));
    expect_that!(fixture.begin(3, "payout", "b"), eq(&LedgerAnswer::Conflict));
    // The first request resends `begin` because its reply was lost; it has not run yet.
    expect_that!(fixture.begin(1, "payout", "a"), eq(&LedgerAnswer::Run));
    // An outcome from a request that was not permitted to run changes nothing.
    fixture.finish(2, "payout", LedgerEnd::NotRun);
    expect_that!(fixture.begin(4, "payout", "a"), eq(&LedgerAnswer::Unknown));
    fixture.finish(1, "payout", LedgerEnd::Answered(answer(3)));
    let recorded = LedgerAnswer::Recorded(answer(3));
    expect_that!(fixture.begin(1, "payout", "a"), eq(&recorded));
    expect_that!(fixture.begin(5, "payout", "a"), eq(&recorded));
    expect_that!(fixture.begin(6, "payout", "b"), eq(&LedgerAnswer::Conflict));
    // A late second outcome does not replace the first one.
    fixture.finish(1, "payout", LedgerEnd::NotRun);
    expect_that!(fixture.begin(7, "payout", "a"), eq(&recorded));
}

#[googletest::test]
fn a_call_that_did_not_run_frees_its_key() {
    let mut fixture = Fixture::default();
    fixture.begin(1, "payout", "a");
    fixture.finish(1, "payout", LedgerEnd::NotRun);
    expect_that!(fixture.begin(2, "payout", "b"), eq(&LedgerAnswer::Run));
    fixture.finish(2, "payout", LedgerEnd::Unknown);
    expect_that!(fixture.begin(3, "payout", "b"), eq(&LedgerAnswer::Unknown));
}

#[googletest::test]
fn keys_and_answers_above_the_size_limits_are_not_kept() {
    let mut fixture = Fixture::default();
    let long = "k".repeat(MAX_KEY_BYTES + 1);
    expect_that!(fixture.begin(1, &long, "a"), eq(&LedgerAnswer::NoQuorum));
    fixture.begin(2, "large", "a");
    fixture.finish(
        2,
        "large",
        LedgerEnd::Answered(answer(MAX_ANSWER_BYTES + 1)),
    );
    expect_that!(fixture.begin(3, "large", "a"), eq(&LedgerAnswer::Unknown));
    expect_that!(fixture.machine.ledger().len(), eq(1));
}

#[googletest::test]
fn one_account_cannot_fill_the_ledger() {
    let mut fixture = Fixture::default();
    for request in 0..MAX_CALLS_PER_ACCOUNT as u128 {
        let answer = fixture.begin(request, &request.to_string(), "a");
        assert_that!(answer, eq(&LedgerAnswer::Run));
    }
    expect_that!(
        fixture.begin(1 << 64, "one more", "a"),
        eq(&LedgerAnswer::NoQuorum)
    );
    fixture.account = "kembang-tekan";
    expect_that!(
        fixture.begin(1 << 64, "another's", "a"),
        eq(&LedgerAnswer::Run)
    );
    // Calls that did not run, and calls past the retention, make room.
    fixture.account = "wisla";
    fixture.finish(7, "7", LedgerEnd::NotRun);
    expect_that!(
        fixture.begin(2 << 64, "one more", "a"),
        eq(&LedgerAnswer::Run)
    );
    fixture.now = fixture.now + RETENTION;
    expect_that!(fixture.begin(3 << 64, "new", "a"), eq(&LedgerAnswer::Run));
    expect_that!(fixture.machine.ledger().len(), eq(1));
}

#[googletest::test]
fn a_key_is_kept_for_the_whole_retention_and_no_longer() {
    let mut fixture = Fixture::default();
    fixture.begin(1, "payout", "a");
    fixture.finish(1, "payout", LedgerEnd::Answered(answer(3)));
    fixture.now = fixture.now + (RETENTION - Duration::from_micros(1));
    expect_that!(
        fixture.begin(2, "payout", "a"),
        eq(&LedgerAnswer::Recorded(answer(3)))
    );
    fixture.now = fixture.now + Duration::from_micros(1);
    expect_that!(fixture.begin(3, "payout", "a"), eq(&LedgerAnswer::Run));
}

#[googletest::test]
fn a_clock_that_steps_back_does_not_shorten_the_retention() {
    let mut fixture = Fixture {
        now: Timestamp::from_secs(3_600),
        ..Fixture::default()
    };
    fixture.begin(1, "first", "a");
    fixture.machine = StateMachine::decode(&fixture.machine.encode()).unwrap();
    fixture.now = Timestamp::ZERO;
    fixture.begin(2, "second", "a");
    fixture.now = Timestamp::ZERO + RETENTION;
    expect_that!(fixture.begin(3, "second", "a"), eq(&LedgerAnswer::Unknown));
}
