//! Answers of endpoints that break off without an error on the connection.

use googletest::prelude::*;
use mimosa_protocol::configuration::EndpointRole;
use mimosa_protocol::configuration::EndpointState;
use tokio::io::AsyncReadExt;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpStream;

use crate::fixture::Fixture;
use crate::fixture::KEY;
use crate::fixture::Setup;
use crate::http::Call;
use crate::http::read_all;
use crate::raw::RawEndpoint;

const EVENT_STREAM: &str = "text/event-stream";
const JSON: &str = "application/json";

async fn fixture_with(raw: &RawEndpoint, role: EndpointRole) -> Fixture {
    let fixture = Fixture::start(Setup::default()).await;
    raw.replace(&fixture, role).await;
    fixture
}

#[googletest::test]
#[tokio::test]
async fn an_unframed_completion_that_breaks_off_is_not_delivered_as_complete() {
    let raw = RawEndpoint::unframed(JSON, "{\"choices\":[{\"text\":\"ha").await;
    let fixture = fixture_with(&raw, EndpointRole::Decode).await;
    let answer = fixture.call(Call::chat("a letter")).await;
    expect_that!(answer.status, eq(502), "{}", answer.body);
}

#[googletest::test]
#[tokio::test]
async fn an_unframed_completion_that_is_whole_is_delivered() {
    let body = "{\"choices\":[{\"text\":\"half\"}]}";
    let raw = RawEndpoint::unframed(JSON, body).await;
    let fixture = fixture_with(&raw, EndpointRole::Decode).await;
    let answer = fixture.call(Call::chat("a letter")).await;
    expect_that!(answer.status, eq(200));
    expect_that!(answer.body, eq(body));
    expect_that!(answer.complete, eq(true));
}

#[googletest::test]
#[tokio::test]
async fn an_unframed_model_stream_that_ends_inside_an_event_delivers_only_whole_events() {
    let raw = RawEndpoint::unframed(EVENT_STREAM, "data: {\"a\":1}\n\ndata: {\"a\":").await;
    let fixture = fixture_with(&raw, EndpointRole::Decode).await;
    let answer = fixture.call(Call::streamed("a letter")).await;
    let rest = answer.body.strip_prefix("data: {\"a\":1}\n\n");
    expect_that!(
        rest,
        some(starts_with("data: {\"error\":")),
        "{}",
        answer.body
    );
    expect_that!(answer.body, not(contains_substring("[DONE]")));
}

#[googletest::test]
#[tokio::test]
async fn an_unframed_model_stream_with_its_closing_event_is_delivered() {
    let body = "data: {\"a\":1}\n\ndata: [DONE]\n\n";
    let raw = RawEndpoint::unframed(EVENT_STREAM, body).await;
    let fixture = fixture_with(&raw, EndpointRole::Decode).await;
    let answer = fixture.call(Call::streamed("a letter")).await;
    expect_that!(answer.body, eq(body));
    expect_that!(answer.complete, eq(true));
}

#[googletest::test]
#[tokio::test]
async fn an_unframed_plain_stream_that_ends_inside_an_event_is_not_delivered_as_complete() {
    let raw = RawEndpoint::unframed(EVENT_STREAM, "data: 1\n\ndata: ha").await;
    let fixture = fixture_with(&raw, EndpointRole::Plain).await;
    let answer = fixture.call(Call::get("/services/orders/watch")).await;
    expect_that!(answer.complete, eq(false), "{}", answer.body);
}

#[googletest::test]
#[tokio::test]
async fn an_unframed_plain_stream_that_ends_inside_an_event_is_not_recorded_as_answered() {
    let raw = RawEndpoint::unframed(EVENT_STREAM, "data: 1\n\ndata: ha").await;
    let fixture = fixture_with(&raw, EndpointRole::Plain).await;
    let call = Call::post("/services/orders/charge", "12").header("idempotency-key", "k-1");
    let answer = fixture.call(call).await;
    expect_that!(answer.status, eq(502), "{}", answer.body);
    expect_that!(answer.body, contains_substring(r#""ran":"unknown""#));
}

#[googletest::test]
#[tokio::test]
async fn unframed_plain_answers_that_end_whole_are_delivered() {
    for (content_type, body) in [
        (EVENT_STREAM, "data: 1\n\ndata: 2\n\n"),
        ("text/plain", "ha"),
    ] {
        let raw = RawEndpoint::unframed(content_type, body).await;
        let fixture = fixture_with(&raw, EndpointRole::Plain).await;
        let answer = fixture.call(Call::get("/services/orders/watch")).await;
        expect_that!(answer.body, eq(body));
        expect_that!(answer.complete, eq(true), "{content_type}");
    }
}

#[googletest::test]
#[tokio::test]
async fn an_unframed_plain_answer_whose_endpoint_ends_between_events_is_not_delivered_as_complete()
{
    for content_type in [EVENT_STREAM, "text/plain"] {
        let raw = RawEndpoint::unframed_ending(content_type, "data: 1\n\n").await;
        raw.end();
        let fixture = fixture_with(&raw, EndpointRole::Plain).await;
        let answer = fixture.call(Call::get("/services/orders/watch")).await;
        expect_that!(answer.complete, eq(false), "{content_type}");
    }
}

#[googletest::test]
#[tokio::test]
async fn an_unframed_plain_answer_whose_endpoint_ends_is_not_recorded_as_answered() {
    let raw = RawEndpoint::unframed_ending("text/plain", "char").await;
    raw.end();
    let fixture = fixture_with(&raw, EndpointRole::Plain).await;
    let call = Call::post("/services/orders/charge", "12").header("idempotency-key", "k-1");
    let answer = fixture.call(call).await;
    expect_that!(answer.status, eq(502), "{}", answer.body);
    expect_that!(answer.body, contains_substring(r#""ran":"unknown""#));
}

/// Endpoints that were told to stop may end right after their last answer.
#[googletest::test]
#[tokio::test]
async fn an_unframed_plain_answer_of_a_draining_endpoint_that_ends_is_delivered() {
    let raw = RawEndpoint::unframed_ending("text/plain", "three left").await;
    let fixture = fixture_with(&raw, EndpointRole::Plain).await;
    let call = Call::get("/services/orders/watch");
    let response = call.open(fixture.entry.address()).await;
    raw.put(&fixture, EndpointRole::Plain, EndpointState::Draining)
        .await;
    raw.end();
    let (body, complete) = read_all(response.into_body()).await;
    expect_that!(body, eq("three left"));
    expect_that!(complete, eq(true));
}

/// Responses to HTTP/1.0 requests have no chunks, so an orderly close would mark them as complete.
#[googletest::test]
#[tokio::test]
async fn a_broken_plain_answer_to_an_http_1_0_caller_ends_with_a_reset() {
    for (body, is_whole) in [("data: 1\n\ndata: ha", false), ("data: 1\n\n", true)] {
        let raw = RawEndpoint::unframed(EVENT_STREAM, body).await;
        let fixture = fixture_with(&raw, EndpointRole::Plain).await;
        let request = format!(
            "GET /services/orders/watch HTTP/1.0\r\nhost: x\r\nauthorization: Bearer {KEY}\r\n\r\n"
        );
        let mut stream = TcpStream::connect(fixture.entry.address()).await.unwrap();
        stream.write_all(request.as_bytes()).await.unwrap();
        let mut answer = Vec::new();
        let read = stream.read_to_end(&mut answer).await;
        let answer = String::from_utf8_lossy(&answer);
        expect_that!(read.is_ok(), eq(is_whole), "{answer}");
        expect_that!(answer.ends_with("data: 1\n\n"), eq(is_whole), "{answer}");
    }
}
