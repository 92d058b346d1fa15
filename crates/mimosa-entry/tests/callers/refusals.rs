//! Invalid requests and exceeded limits end in a problem document that states whether the request
//! ran.

use std::time::Duration;

use googletest::prelude::*;
use mimosa_config::EntryLimits;
use mimosa_protocol::ByteSize;
use mimosa_protocol::TokenRate;
use mimosa_protocol::Tokens;

use crate::fixture::Fixture;
use crate::fixture::KEY;
use crate::fixture::Setup;
use crate::http::Answer;
use crate::http::Call;
use crate::http::send_raw;

fn problem(answer: &Answer) -> String {
    let kind = answer
        .headers
        .get("content-type")
        .and_then(|value| value.to_str().ok());
    assert_eq!(kind, Some("application/problem+json"), "{answer:?}");
    let problem: serde_json::Value =
        serde_json::from_str(&answer.body).expect("a problem document is JSON");
    format!(
        "{} {} ran={}",
        answer.status, problem["reason"], problem["ran"]
    )
    .replace('"', "")
}

#[googletest::test]
#[tokio::test]
async fn invalid_requests_are_refused_as_not_run() {
    let limits = EntryLimits {
        body: ByteSize(1_000),
        ..EntryLimits::default()
    };
    let fixture = Fixture::start(Setup {
        limits,
        ..Setup::default()
    })
    .await;
    let chat = "/v1/chat/completions";
    let cases = [
        (Call::post(chat, "{"), "400 malformed ran=no"),
        (Call::post(chat, "[]"), "400 malformed ran=no"),
        (
            Call::post(chat, r#"{"model": "verse"}"#),
            "400 malformed ran=no",
        ),
        (
            Call::post(chat, r#"{"model": "poem", "messages": []}"#),
            "404 not_found ran=no",
        ),
        (
            Call::post(chat, r#"{"model": "orders", "messages": []}"#),
            "404 not_found ran=no",
        ),
        (
            Call::post(chat, r#"{"model": "N o", "messages": []}"#),
            "404 not_found ran=no",
        ),
        (Call::chat(&"x".repeat(2_000)), "413 too_large ran=no"),
        (Call::get("/v1/chat/completions"), "405 wrong_method ran=no"),
        (Call::get("/services/verse/"), "404 not_found ran=no"),
        (Call::get("/services/verse/v1/load"), "404 not_found ran=no"),
        (Call::get("/services/unknown/x"), "404 not_found ran=no"),
        (Call::get("/"), "404 not_found ran=no"),
        (
            Call::chat("a").header("authorization", "Bearer msk-other"),
            "401 unauthenticated ran=no",
        ),
        (
            Call::chat("a").header("authorization", "Basic abc"),
            "401 unauthenticated ran=no",
        ),
        (Call::chat("a").without_key(), "401 unauthenticated ran=no"),
        (
            Call::get("/services/catalogue/cards").header("authorization", "Basic abc"),
            "401 unauthenticated ran=no",
        ),
        (
            Call::get("/services/catalogue/cards").header("authorization", "Bearer msk-other"),
            "401 unauthenticated ran=no",
        ),
        (
            Call::post("/services/orders/pay", "1").header("idempotency-key", ""),
            "400 malformed ran=no",
        ),
    ];
    for (call, wanted) in cases {
        expect_that!(problem(&fixture.call(call).await), eq(wanted));
    }
    expect_that!(fixture.prefill.runs(), eq(0));
    expect_that!(fixture.plains[0].runs() + fixture.plains[1].runs(), eq(0));
}

#[googletest::test]
#[tokio::test]
async fn slow_and_half_closed_senders_get_a_refusal() {
    let limits = EntryLimits {
        body_time: Duration::from_millis(100),
        head_time: Duration::from_millis(100),
        ..EntryLimits::default()
    };
    let fixture = Fixture::start(Setup {
        limits,
        ..Setup::default()
    })
    .await;
    let address = fixture.entry.address();
    let head = format!(
        "POST /v1/chat/completions HTTP/1.1\r\nhost: x\r\nauthorization: Bearer {KEY}\r\n\
         content-length: 100\r\nconnection: close\r\n\r\n\
         {{\"model\": \"verse\", \"messages\": []}}"
    );
    let slow = send_raw(address, head.as_bytes(), false).await;
    expect_that!(slow, starts_with("HTTP/1.1 408"));
    expect_that!(
        slow,
        contains_substring(r#""ran":"no","reason":"slow_sender""#)
    );
    let half_closed = send_raw(address, head.as_bytes(), true).await;
    expect_that!(half_closed, starts_with("HTTP/1.1 400"));
    expect_that!(
        half_closed,
        contains_substring(r#""ran":"no","reason":"malformed""#)
    );
    let slow_head = send_raw(address, b"POST /v1/chat", false).await;
    expect_that!(slow_head, not(starts_with("HTTP/1.1 200")));
    expect_that!(fixture.prefill.runs(), eq(0));
}

#[googletest::test]
#[tokio::test]
async fn an_account_over_its_rate_is_refused_with_retry_after() {
    let rate = Some((TokenRate(2_000), Tokens(1_100)));
    let fixture = Fixture::start(Setup {
        rate,
        ..Setup::default()
    })
    .await;
    let costly = Call::post(
        "/v1/completions",
        r#"{"model": "verse", "prompt": "a", "max_tokens": 1090}"#,
    );
    expect_that!(fixture.call(costly.clone()).await.status, eq(200));
    expect_that!(
        fixture.call(costly.clone()).await.status,
        eq(200),
        "the request waits for the rate and is served"
    );
    let too_large = Call::post(
        "/v1/completions",
        r#"{"model": "verse", "prompt": "a", "max_tokens": 2000}"#,
    );
    // The cost exceeds the burst, so waiting cannot help.
    let refused = fixture.call(too_large).await;
    expect_that!(problem(&refused), eq("413 over_burst ran=no"));
    expect_that!(refused.headers.contains_key("retry-after"), eq(false));
    // Twenty requests at once cost more than ten seconds of the rate.
    let calls = (0..20).map(|_| fixture.call(costly.clone()));
    let answers = futures_util::future::join_all(calls).await;
    let refused: Vec<_> = answers.iter().filter(|each| each.status != 200).collect();
    expect_that!(refused, not(is_empty()));
    for each in refused {
        expect_that!(problem(each), eq("429 over_rate ran=no"));
        expect_that!(each.headers.contains_key("retry-after"), eq(true));
    }
}

#[googletest::test]
#[tokio::test]
async fn a_wrong_method_is_refused_with_the_allowed_methods() {
    let fixture = Fixture::start(Setup::default()).await;
    let answer = fixture.call(Call::get("/v1/chat/completions")).await;
    expect_that!(answer.status, eq(405));
    let allowed = answer
        .headers
        .get("allow")
        .map(|value| value.to_str().unwrap());
    expect_that!(allowed, some(eq("POST")));
}
