//! A full memory account refuses requests as not run, and leaves room for small ones.

use std::time::Duration;

use googletest::prelude::*;
use mimosa_config::EntryLimits;
use mimosa_entry::ProcessLimits;
use mimosa_protocol::ByteSize;
use mimosa_standin::plain::Behaviour;
use tokio::time::sleep;

use crate::fixture::Fixture;
use crate::fixture::KEY;
use crate::fixture::Setup;
use crate::http::Answer;
use crate::http::Call;
use crate::http::send_raw;

/// Account of which three quarters, 192 KiB, are for bodies of any size.
const ACCOUNT_BYTES: u64 = 256 << 10;
/// Two of these bodies do not fit into the account.
const LARGE_BODY_BYTES: usize = 120 << 10;
const MAX_POLLS: u32 = 600;
const POLL_INTERVAL: Duration = Duration::from_millis(50);

async fn start(limits: EntryLimits) -> Fixture {
    let process = ProcessLimits {
        account: Some(ACCOUNT_BYTES),
        ..ProcessLimits::default()
    };
    Fixture::start(Setup {
        limits,
        process,
        ..Setup::default()
    })
    .await
}

fn large_call() -> Call {
    Call::post("/services/orders/charge", &"a".repeat(LARGE_BODY_BYTES))
}

fn has_no_room(answer: &Answer) -> bool {
    answer.status == 503 && answer.body.contains(r#""ran":"no","reason":"memory_full""#)
}

/// Whether a large body is counted in the account.
async fn holds_large_body(fixture: &Fixture) -> bool {
    let metrics = fixture.call(Call::get("/metrics")).await.body;
    let value = |line: &str| {
        line.strip_prefix("mimosa_memory_general_bytes ")?
            .parse()
            .ok()
    };
    let held: Option<usize> = metrics.lines().find_map(value);
    held.is_some_and(|held| held >= LARGE_BODY_BYTES)
}

fn total_runs(fixture: &Fixture) -> u64 {
    fixture.plains.iter().map(|plain| plain.runs()).sum()
}

/// Guards against bodies that are kept without a bound while their requests wait for endpoints, and against a
/// refusal that does not say whether the request ran.
#[googletest::test]
#[tokio::test]
async fn a_body_without_room_is_refused_as_not_run_and_a_small_one_is_served() {
    let fixture = start(EntryLimits::default()).await;
    let behave = |delay| {
        for plain in &fixture.plains {
            plain.set_behaviour(Behaviour {
                delay,
                ..Behaviour::default()
            });
        }
    };
    behave(Duration::from_secs(600));
    let address = fixture.entry.address();
    let waiting = tokio::spawn(large_call().send(address));
    while total_runs(&fixture) == 0 {
        sleep(POLL_INTERVAL).await;
    }
    behave(Duration::ZERO);
    let refused = fixture.call(large_call()).await;
    expect_that!(has_no_room(&refused), eq(true), "{refused:?}");
    expect_that!(refused.headers.contains_key("retry-after"), eq(true));
    expect_that!(total_runs(&fixture), eq(1));
    let small = fixture
        .call(Call::post("/services/orders/charge", "a"))
        .await;
    expect_that!(small.status, eq(200), "{small:?}");
    waiting.abort();
    for _ in 0..MAX_POLLS {
        if fixture.call(large_call()).await.status == 200 {
            return;
        }
        sleep(POLL_INTERVAL).await;
    }
    panic!("the memory of a request whose client left is not released");
}

/// Guards against clients that stop short of the end of their body and keep its memory.
#[googletest::test]
#[tokio::test]
async fn a_stalled_body_is_evicted_as_not_run_when_its_memory_is_needed() {
    let fixture = start(EntryLimits::default()).await;
    let head = format!(
        "POST /services/orders/charge HTTP/1.1\r\nhost: x\r\nauthorization: Bearer {KEY}\r\n\
         content-length: {LARGE_BODY_BYTES}\r\n\r\n"
    );
    let short = head + &"a".repeat(LARGE_BODY_BYTES - 1);
    let address = fixture.entry.address();
    let stalled = tokio::spawn(async move { send_raw(address, short.as_bytes(), false).await });
    while !holds_large_body(&fixture).await {
        sleep(POLL_INTERVAL).await;
    }
    for _ in 0..MAX_POLLS {
        if fixture.call(large_call()).await.status == 200 {
            break;
        }
        sleep(POLL_INTERVAL).await;
    }
    let stalled = stalled.await.expect("the client does not panic");
    expect_that!(stalled, starts_with("HTTP/1.1 408"));
    let not_run = r#""ran":"no","reason":"slow_sender""#;
    expect_that!(stalled, contains_substring(not_run));
    let whole = fixture.call(large_call()).await;
    expect_that!(whole.status, eq(200), "{whole:?}");
}

/// Guards against a body that is read although its declared length is over the limit.
#[googletest::test]
#[tokio::test]
async fn a_declared_length_over_the_limit_is_refused_before_the_body() {
    let fixture = start(EntryLimits {
        body: ByteSize(1_000),
        ..EntryLimits::default()
    })
    .await;
    let head = format!(
        "POST /services/orders/charge HTTP/1.1\r\nhost: x\r\nauthorization: Bearer {KEY}\r\n\
         content-length: 1001\r\n\r\n"
    );
    let answer = send_raw(fixture.entry.address(), head.as_bytes(), false).await;
    expect_that!(answer, starts_with("HTTP/1.1 413"));
    expect_that!(answer, contains_substring(r#""ran":"no""#));
}
