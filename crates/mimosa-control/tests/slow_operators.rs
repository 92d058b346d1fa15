//! Operators that send the head or the body of a request without end, or more than there is memory for.

use std::time::Duration;

use googletest::prelude::*;
use mimosa_control::ProcessLimits;
use mimosa_control::admin;
use mimosa_control::memory::ControlMemory;
use tokio::io::AsyncReadExt;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpListener;
use tokio::net::TcpStream;
use tokio::sync::watch;
use tokio::time::sleep;
use tokio::time::timeout;

/// Longer than the limits of the operator API.
const MAX_TIME: Duration = Duration::from_secs(60);

/// Sends a text, then one byte a second until the connection is closed. Returns what was answered.
async fn send_without_end(text: &str) -> String {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    let (_stop, stopped) = watch::channel(false);
    let upload = |body: String| async move { body };
    let router = axum::Router::new().route("/", axum::routing::put(upload));
    let memory = ControlMemory::new(ProcessLimits::default());
    let max_body = admin::MAX_BODY_BYTES;
    tokio::spawn(admin::serve(router, listener, memory, max_body, stopped));
    let (mut rx, mut tx) = TcpStream::connect(address).await.unwrap().into_split();
    tx.write_all(text.as_bytes()).await.unwrap();
    tokio::spawn(async move {
        while tx.write_all(b"x").await.is_ok() {
            sleep(Duration::from_secs(1)).await;
        }
    });
    let mut answer = Vec::new();
    let read = timeout(MAX_TIME, rx.read_to_end(&mut answer)).await;
    assert_that!(read.is_ok(), eq(true), "the connection is closed");
    String::from_utf8_lossy(&answer).into_owned()
}

// Guards against connections that slow senders keep for good.
#[tokio::test(start_paused = true)]
async fn a_head_without_end_closes_the_connection() {
    let answer = send_without_end("GET / HTTP/1.1\r\nHost: control\r\nX-Fill: ").await;
    assert_that!(answer, not(contains_substring("200 OK")));
}

#[tokio::test(start_paused = true)]
async fn a_body_without_end_gets_408() {
    let head = "PUT / HTTP/1.1\r\nHost: control\r\nContent-Length: 1000\r\n\r\n";
    let answer = send_without_end(head).await;
    assert_that!(answer, contains_substring("408"));
}

// Guards against bodies of concurrent requests that exceed the memory of the process together.
#[googletest::test]
#[tokio::test]
async fn a_body_without_room_gets_503_and_a_small_one_is_taken() {
    let limits = ProcessLimits {
        account: Some(256 << 10),
        ..ProcessLimits::default()
    };
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    let (_stop, stopped) = watch::channel(false);
    let upload = |body: axum::body::Bytes| async move { format!("{} bytes", body.len()) };
    let router = axum::Router::new().route("/", axum::routing::put(upload));
    let memory = ControlMemory::new(limits);
    tokio::spawn(admin::serve(router, listener, memory, 1 << 20, stopped));
    let put = async |length: usize| {
        let (mut rx, mut tx) = TcpStream::connect(address).await.unwrap().into_split();
        let head = format!(
            "PUT / HTTP/1.1\r\nHost: control\r\nConnection: close\r\nContent-Length: {length}\r\n\r\n"
        );
        let text = head + &"a".repeat(length);
        // Fails if the connection is closed before the whole body was sent.
        tokio::spawn(async move { tx.write_all(text.as_bytes()).await.ok() });
        let mut answer = Vec::new();
        rx.read_to_end(&mut answer).await.ok();
        String::from_utf8_lossy(&answer).into_owned()
    };
    let large = put(250 << 10).await;
    expect_that!(large, starts_with("HTTP/1.1 503"));
    expect_that!(large, contains_substring("retry-after: 1"));
    expect_that!(large, contains_substring(r#""ran":"no""#));
    expect_that!(put(100).await, contains_substring("100 bytes"));
    expect_that!(put(100 << 10).await, contains_substring("102400 bytes"));
    expect_that!(put(2 << 20).await, starts_with("HTTP/1.1 413"));
}
