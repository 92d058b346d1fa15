//! Endpoints that close their connection in the middle of the head of an answer.

use std::sync::Arc;
use std::sync::atomic::AtomicUsize;
use std::sync::atomic::Ordering;

use googletest::prelude::*;
use tokio::io::AsyncReadExt;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpListener;
use tokio::net::TcpStream;

use crate::caller::Call;
use crate::system::System;

const LOAD: &str = r#"{"incarnation":1,"running":0,"waiting":0,"used_blocks":0}"#;
const HEADS: [&str; 3] = [
    "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nContent-Length: 2\r\n\r\n",
    "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nTransfer-Encoding: chunked\r\n\r\n",
    "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n\r\n",
];

/// What an endpoint answers to all calls but those for its load.
#[derive(Default)]
struct Answer {
    head: AtomicUsize,
    bytes: AtomicUsize,
    calls: AtomicUsize,
}

async fn start(answer: Arc<Answer>) -> String {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap().to_string();
    tokio::spawn(async move {
        while let Ok((stream, _)) = listener.accept().await {
            tokio::spawn(serve(stream, Arc::clone(&answer)));
        }
    });
    address
}

async fn serve(mut stream: TcpStream, answer: Arc<Answer>) {
    let mut request = Vec::new();
    let mut buf = [0; 4096];
    while let Ok(length) = stream.read(&mut buf).await
        && length > 0
    {
        request.extend_from_slice(&buf[..length]);
        if !request.windows(4).any(|each| each == b"\r\n\r\n") {
            continue;
        }
        let reply = if request.starts_with(b"GET /v1/load") {
            format!(
                "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nContent-Length: {}\r\n\r\n{LOAD}",
                LOAD.len()
            )
        } else {
            answer.calls.fetch_add(1, Ordering::Relaxed);
            let head = HEADS[answer.head.load(Ordering::Relaxed)];
            head[..answer.bytes.load(Ordering::Relaxed)].to_owned()
        };
        if stream.write_all(reply.as_bytes()).await.is_err() || !reply.ends_with(LOAD) {
            return;
        }
        request.clear();
    }
}

/// Number of different places at which one run cuts a head: before it, in its status line, after that, in
/// a header, and before its last byte. An entry sends little to an endpoint that broke a connection, so
/// that each byte would take minutes.
const CUTS: usize = 5;

/// Cuts the head of the answer of the endpoint of a role at several bytes.
async fn expect_no_success(role: &str, call: impl Fn(usize) -> Call) {
    let answer = Arc::new(Answer::default());
    let mut system = System::start(&[("a", "north")]).await;
    system.replace_endpoint(role, start(Arc::clone(&answer)).await);
    system.set_up_client_and_services().await;
    let mut number = 0;
    for (head, text) in HEADS.iter().enumerate() {
        answer.head.store(head, Ordering::Relaxed);
        for bytes in [0, 9, 17, 30, text.len() - 1] {
            number += 1;
            answer.bytes.store(bytes, Ordering::Relaxed);
            let response = system.send("a", &call(number)).await;
            // A prefill alone runs nothing, so another attempt may bring the whole answer.
            let is_whole = role == "prefill" && response.status == 200;
            match is_whole {
                true => {
                    let document = serde_json::from_str::<serde_json::Value>(&response.body);
                    expect_that!(document, ok(anything()), "{head} {bytes}");
                }
                false => expect_that!(response.status, ge(500), "{role} {head} {bytes}"),
            }
        }
    }
    assert_eq!(number, HEADS.len() * CUTS);
    expect_that!(answer.calls.load(Ordering::Relaxed), ge(number), "{role}");
}

#[googletest::test]
#[tokio::test(flavor = "multi_thread")]
async fn a_head_cut_by_a_plain_endpoint_is_no_success_at_entries() {
    expect_no_success("plain", |number| {
        Call::post("/services/orders/charge", &format!("amount={number}"))
    })
    .await;
}

#[googletest::test]
#[tokio::test(flavor = "multi_thread")]
async fn a_head_cut_by_a_decode_engine_is_no_success_at_entries() {
    expect_no_success("decode", completion).await;
}

#[googletest::test]
#[tokio::test(flavor = "multi_thread")]
async fn a_head_cut_by_a_prefill_engine_is_no_prefill_at_entries() {
    expect_no_success("prefill", completion).await;
}

fn completion(number: usize) -> Call {
    let body = format!(
        r#"{{"model": "verse", "max_tokens": 2, "messages": [{{"role": "user", "content": "{number}"}}]}}"#
    );
    Call::post("/v1/chat/completions", &body)
}
