//! Plain services: idempotent calls may be repeated, others run at most once.

use std::time::Duration;

use googletest::prelude::*;
use mimosa_protocol::message::LedgerAnswer;
use mimosa_protocol::message::LedgerEnd;
use mimosa_protocol::message::RecordedAnswer;
use mimosa_standin::plain::Behaviour;

use crate::fixture::Fixture;
use crate::fixture::Setup;
use crate::http::Call;

/// Longer than any test waits.
const FOREVER: Duration = Duration::from_secs(3_600);
/// Looks for something that is about to happen.
const LOOKS: u32 = 1_000;
const LOOK_PAUSE: Duration = Duration::from_millis(10);

/// Calls that are enough to reach each of two endpoints.
const CALLS: u64 = 4;

#[googletest::test]
#[tokio::test]
async fn a_path_may_be_left_out_or_end_in_a_slash() {
    let fixture = Fixture::start(Setup::default()).await;
    for path in ["/services/orders", "/services/orders/"] {
        let answer = fixture.call(Call::get(path)).await;
        expect_that!(answer.body, contains_substring(r#""path":"/""#), "{path}");
    }
}

fn runs(fixture: &Fixture) -> u64 {
    fixture.plains.iter().map(mimosa_standin::Plain::runs).sum()
}

fn runs_of(fixture: &Fixture, key: &str) -> u64 {
    fixture
        .plains
        .iter()
        .map(|plain| plain.runs_for_key(key))
        .sum()
}

fn ends(fixture: &Fixture) -> Vec<LedgerEnd> {
    let finished = fixture.control.finished().into_iter();
    finished.map(|finish| finish.end).collect()
}

fn drop_next(fixture: &Fixture) {
    for plain in &fixture.plains {
        plain.set_behaviour(Behaviour {
            drop_next: 1,
            ..Behaviour::default()
        });
    }
}

#[googletest::test]
#[tokio::test]
async fn a_lost_answer_repeats_a_get_but_never_a_post() {
    let fixture = Fixture::start(Setup::default()).await;
    for plain in &fixture.plains {
        plain.set_behaviour(Behaviour {
            drop_next: 1,
            ..Behaviour::default()
        });
        for _ in 0..CALLS {
            let answer = fixture.call(Call::get("/services/orders/stock")).await;
            expect_that!(answer.status, eq(200));
        }
        plain.set_behaviour(Behaviour::default());
    }
    expect_that!(
        runs(&fixture),
        gt(2 * CALLS),
        "an answer was lost and the call repeated"
    );
    let before = runs(&fixture);
    drop_next(&fixture);
    let answer = fixture
        .call(Call::post("/services/orders/charge", "12"))
        .await;
    expect_that!(answer.status, eq(502));
    expect_that!(answer.body, contains_substring(r#""ran":"unknown""#));
    expect_that!(runs(&fixture), eq(before + 1));
}

#[googletest::test]
#[tokio::test]
async fn a_named_call_follows_the_ledger() {
    let fixture = Fixture::start(Setup::default()).await;
    let charge = || Call::post("/services/orders/charge", "12").header("idempotency-key", "k-1");
    expect_that!(fixture.call(charge()).await.status, eq(200));
    expect_that!(runs(&fixture), eq(1));
    let recorded = RecordedAnswer {
        status: 201,
        content_type: None,
        body: b"paid".to_vec(),
    };
    let cases = [
        (LedgerAnswer::Recorded(recorded), 201, "paid"),
        (LedgerAnswer::Unknown, 502, r#""ran":"unknown""#),
        (LedgerAnswer::Conflict, 409, r#""ran":"no""#),
        (LedgerAnswer::NoQuorum, 503, r#""ran":"no""#),
    ];
    for (answer, status, text) in cases {
        fixture.control.answers(answer);
        let answer = fixture.call(charge()).await;
        expect_that!(answer.status, eq(status));
        expect_that!(answer.body, contains_substring(text));
    }
    expect_that!(runs(&fixture), eq(1));
    wait_for("the end of the refused call", || ends(&fixture).len() > 1).await;
    expect_that!(
        ends(&fixture),
        elements_are![
            matches_pattern!(LedgerEnd::Answered(_)),
            eq(&LedgerEnd::NotRun)
        ],
        "the ledger may have kept an intent that no quorum confirmed"
    );
}

#[googletest::test]
#[tokio::test]
async fn an_unclear_end_is_recorded_as_unknown() {
    let fixture = Fixture::start(Setup::default()).await;
    let lost = Behaviour {
        drop_next: 1,
        ..Behaviour::default()
    };
    let cut = Behaviour {
        abort_next: 1,
        ..Behaviour::default()
    };
    for (key, behaviour) in [("lost", lost), ("cut", cut)] {
        for plain in &fixture.plains {
            plain.set_behaviour(behaviour.clone());
        }
        let before = ends(&fixture).len();
        let charge = Call::post("/services/orders/charge", "12").header("idempotency-key", key);
        let answer = fixture.call(charge).await;
        expect_that!(answer.status, eq(502), "{key}");
        expect_that!(
            answer.body,
            contains_substring(r#""ran":"unknown""#),
            "{key}"
        );
        wait_for("the record of the end", || ends(&fixture).len() > before).await;
        expect_that!(
            ends(&fixture)[before..],
            elements_are![eq(&LedgerEnd::Unknown)],
            "{key}"
        );
        expect_that!(runs_of(&fixture, key), eq(1), "{key}");
    }
}

async fn wait_for(what: &str, happened: impl Fn() -> bool) {
    for _ in 0..LOOKS {
        if happened() {
            return;
        }
        tokio::time::sleep(LOOK_PAUSE).await;
    }
    panic!("{what} did not happen");
}

/// Starts a named call, waits until it runs, and leaves.
async fn leave_a_running_call(fixture: &Fixture, key: &str) {
    for plain in &fixture.plains {
        plain.set_behaviour(Behaviour {
            delay: FOREVER,
            ..Behaviour::default()
        });
    }
    let charge = Call::post("/services/orders/charge", "12").header("idempotency-key", key);
    let leaving = tokio::spawn(charge.send(fixture.entry.address()));
    wait_for("the run", || runs_of(fixture, key) == 1).await;
    expect_that!(fixture.control.finished(), is_empty());
    leaving.abort();
    wait_for("the record of the end", || {
        !fixture.control.finished().is_empty()
    })
    .await;
}

#[googletest::test]
#[tokio::test]
async fn a_caller_that_leaves_a_running_call_leaves_its_end_as_unknown() {
    let fixture = Fixture::start(Setup::default()).await;
    leave_a_running_call(&fixture, "k-3").await;
    expect_that!(ends(&fixture), elements_are![eq(&LedgerEnd::Unknown)]);
    expect_that!(runs_of(&fixture, "k-3"), eq(1));
}

#[googletest::test]
#[tokio::test]
async fn an_answer_that_is_cut_in_the_middle_does_not_look_whole() {
    let fixture = Fixture::start(Setup::default()).await;
    for plain in &fixture.plains {
        plain.set_behaviour(Behaviour {
            abort_next: 1,
            ..Behaviour::default()
        });
    }
    let answer = fixture.call(Call::get("/services/orders/stock")).await;
    expect_that!(answer.whole, eq(false), "{}", answer.body);
    expect_that!(answer.body, eq("half"), "no second run is spliced in");
}

#[googletest::test]
#[tokio::test]
async fn a_plain_service_gets_nothing_but_the_calls_of_callers() {
    let fixture = Fixture::start(Setup::default()).await;
    leave_a_running_call(&fixture, "k-4").await;
    for plain in &fixture.plains {
        plain.set_behaviour(Behaviour::default());
    }
    for _ in 0..CALLS {
        fixture.call(Call::get("/services/orders/stock")).await;
    }
    expect_that!(runs(&fixture), eq(1 + CALLS));
}
