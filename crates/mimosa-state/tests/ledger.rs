//! A non-idempotent call runs at most once within its retention.

mod sample;

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

use crate::sample::Sample;

fn answer(bytes: usize) -> RecordedAnswer {
    RecordedAnswer {
        status: 201,
        content_type: Some("application/json".to_owned()),
        body: vec![b'x'; bytes],
    }
}

#[googletest::test]
fn a_resend_never_runs_again() {
    let mut sample = Sample::default();
    expect_that!(sample.begin(1, "payout", "a"), eq(&LedgerAnswer::Run));
    // Another request with the same name while the first one runs.
    expect_that!(sample.begin(2, "payout", "a"), eq(&LedgerAnswer::Unknown));
    expect_that!(sample.begin(3, "payout", "b"), eq(&LedgerAnswer::Conflict));
    // The first one did not hear its answer and has not run yet.
    expect_that!(sample.begin(1, "payout", "a"), eq(&LedgerAnswer::Run));
    // An end told by a request that never had the permit changes nothing.
    sample.finish(2, "payout", LedgerEnd::NotRun);
    expect_that!(sample.begin(4, "payout", "a"), eq(&LedgerAnswer::Unknown));
    sample.finish(1, "payout", LedgerEnd::Answered(answer(3)));
    let recorded = LedgerAnswer::Recorded(answer(3));
    expect_that!(sample.begin(1, "payout", "a"), eq(&recorded));
    expect_that!(sample.begin(5, "payout", "a"), eq(&recorded));
    expect_that!(sample.begin(6, "payout", "b"), eq(&LedgerAnswer::Conflict));
    // A second end, late, does not replace the first one.
    sample.finish(1, "payout", LedgerEnd::NotRun);
    expect_that!(sample.begin(7, "payout", "a"), eq(&recorded));
}

#[googletest::test]
fn a_call_that_did_not_run_frees_its_name() {
    let mut sample = Sample::default();
    sample.begin(1, "payout", "a");
    sample.finish(1, "payout", LedgerEnd::NotRun);
    expect_that!(sample.begin(2, "payout", "b"), eq(&LedgerAnswer::Run));
    sample.finish(2, "payout", LedgerEnd::Unknown);
    expect_that!(sample.begin(3, "payout", "b"), eq(&LedgerAnswer::Unknown));
}

#[googletest::test]
fn names_and_answers_are_bounded() {
    let mut sample = Sample::default();
    let long = "k".repeat(MAX_KEY_BYTES + 1);
    expect_that!(sample.begin(1, &long, "a"), eq(&LedgerAnswer::NoQuorum));
    sample.begin(2, "large", "a");
    sample.finish(
        2,
        "large",
        LedgerEnd::Answered(answer(MAX_ANSWER_BYTES + 1)),
    );
    expect_that!(sample.begin(3, "large", "a"), eq(&LedgerAnswer::Unknown));
    expect_that!(sample.machine.ledger().len(), eq(1));
}

#[googletest::test]
fn one_account_cannot_fill_the_ledger() {
    let mut sample = Sample::default();
    for request in 0..MAX_CALLS_PER_ACCOUNT as u128 {
        let answer = sample.begin(request, &request.to_string(), "a");
        assert_that!(answer, eq(&LedgerAnswer::Run));
    }
    expect_that!(
        sample.begin(1 << 64, "one more", "a"),
        eq(&LedgerAnswer::NoQuorum)
    );
    sample.account = "kembang-tekan";
    expect_that!(
        sample.begin(1 << 64, "another's", "a"),
        eq(&LedgerAnswer::Run)
    );
    // Names that expired, or did not run, make room.
    sample.account = "wisla";
    sample.finish(7, "7", LedgerEnd::NotRun);
    expect_that!(
        sample.begin(2 << 64, "one more", "a"),
        eq(&LedgerAnswer::Run)
    );
    sample.now = sample.now + RETENTION;
    expect_that!(sample.begin(3 << 64, "new", "a"), eq(&LedgerAnswer::Run));
    expect_that!(sample.machine.ledger().len(), eq(1));
}

#[googletest::test]
fn a_name_is_kept_for_the_whole_retention_and_no_longer() {
    let mut sample = Sample::default();
    sample.begin(1, "payout", "a");
    sample.finish(1, "payout", LedgerEnd::Answered(answer(3)));
    sample.now = sample.now + (RETENTION - Duration::from_micros(1));
    expect_that!(
        sample.begin(2, "payout", "a"),
        eq(&LedgerAnswer::Recorded(answer(3)))
    );
    sample.now = sample.now + Duration::from_micros(1);
    expect_that!(sample.begin(3, "payout", "a"), eq(&LedgerAnswer::Run));
}

#[googletest::test]
fn a_slow_clock_shortens_no_retention() {
    let mut sample = Sample {
        now: Timestamp::from_secs(3_600),
        ..Sample::default()
    };
    sample.begin(1, "first", "a");
    sample.machine = StateMachine::decode(&sample.machine.encode()).unwrap();
    sample.now = Timestamp::ZERO;
    sample.begin(2, "second", "a");
    sample.now = Timestamp::ZERO + RETENTION;
    expect_that!(sample.begin(3, "second", "a"), eq(&LedgerAnswer::Unknown));
}
