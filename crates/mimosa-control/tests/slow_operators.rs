//! Operators that send the head or the body of a request without end.

use std::time::Duration;

use googletest::prelude::*;
use mimosa_control::admin;
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
    tokio::spawn(admin::serve(router, listener, stopped));
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
