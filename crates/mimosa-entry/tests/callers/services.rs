//! Plain services: idempotent requests may be retried, others run at most once.

use std::time::Duration;

use googletest::prelude::*;
use mimosa_protocol::message::LedgerAnswer;
use mimosa_protocol::message::LedgerEnd;
use mimosa_protocol::message::RecordedAnswer;
use mimosa_standin::plain::Behaviour;

use crate::fixture::Fixture;
use crate::fixture::Setup;
use crate::http::Call;

/// Longer than any test runs.
const FOREVER: Duration = Duration::from_secs(3_600);
/// Maximum number of polls for an expected event: 10 s.
const MAX_POLLS: u32 = 1_000;
const POLL_INTERVAL: Duration = Duration::from_millis(10);

/// Number of consecutive requests that is enough for each of two endpoints to receive one.
const CALLS: u64 = 4;

#[googletest::test]
#[tokio::test]
async fn a_service_name_without_a_path_is_forwarded_as_the_root_path() {
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
async fn after_a_lost_response_a_get_is_retried_but_a_post_is_not() {
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
        "a response was lost and the request retried"
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
async fn a_request_with_an_idempotency_key_is_answered_as_the_ledger_decides() {
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
        fixture.control.set_ledger_answer(answer);
        let answer = fixture.call(charge()).await;
        expect_that!(answer.status, eq(status));
        expect_that!(answer.body, contains_substring(text));
    }
    expect_that!(runs(&fixture), eq(1));
    wait_for("the record of the refused request's end", || {
        ends(&fixture).len() > 1
    })
    .await;
    expect_that!(
        ends(&fixture),
        elements_are![
            matches_pattern!(LedgerEnd::Answered(_)),
            eq(&LedgerEnd::NotRun)
        ],
        "without a quorum the intent may still have been recorded, so its end is recorded"
    );
}

#[googletest::test]
#[tokio::test]
async fn a_lost_or_incomplete_response_is_recorded_as_unknown() {
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
    for _ in 0..MAX_POLLS {
        if happened() {
            return;
        }
        tokio::time::sleep(POLL_INTERVAL).await;
    }
    panic!("{what} did not happen");
}

/// Starts a request with an idempotency key, waits until it runs, and disconnects.
async fn disconnect_from_running_request(fixture: &Fixture, key: &str) {
    for plain in &fixture.plains {
        plain.set_behaviour(Behaviour {
            delay: FOREVER,
            ..Behaviour::default()
        });
    }
    let charge = Call::post("/services/orders/charge", "12").header("idempotency-key", key);
    let request = tokio::spawn(charge.send(fixture.entry.address()));
    wait_for("the run", || runs_of(fixture, key) == 1).await;
    expect_that!(fixture.control.finished(), is_empty());
    request.abort();
    wait_for("the record of the end", || {
        !fixture.control.finished().is_empty()
    })
    .await;
}

#[googletest::test]
#[tokio::test]
async fn a_running_request_whose_caller_disconnects_is_recorded_as_unknown() {
    let fixture = Fixture::start(Setup::default()).await;
    disconnect_from_running_request(&fixture, "k-3").await;
    expect_that!(ends(&fixture), elements_are![eq(&LedgerEnd::Unknown)]);
    expect_that!(runs_of(&fixture, "k-3"), eq(1));
}

#[googletest::test]
#[tokio::test]
async fn a_response_that_breaks_off_reaches_the_caller_as_incomplete() {
    let fixture = Fixture::start(Setup::default()).await;
    for plain in &fixture.plains {
        plain.set_behaviour(Behaviour {
            abort_next: 1,
            ..Behaviour::default()
        });
    }
    let answer = fixture.call(Call::get("/services/orders/stock")).await;
    expect_that!(answer.complete, eq(false), "{}", answer.body);
    expect_that!(answer.body, eq("half"), "no second run is spliced in");
}

#[googletest::test]
#[tokio::test]
async fn probes_and_cancellations_send_no_request_to_a_plain_service() {
    let fixture = Fixture::start(Setup::default()).await;
    disconnect_from_running_request(&fixture, "k-4").await;
    for plain in &fixture.plains {
        plain.set_behaviour(Behaviour::default());
    }
    for _ in 0..CALLS {
        fixture.call(Call::get("/services/orders/stock")).await;
    }
    expect_that!(runs(&fixture), eq(1 + CALLS));
}
