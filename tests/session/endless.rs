//! Answers of endpoints that go on without end.

use std::sync::Arc;
use std::sync::atomic::AtomicUsize;
use std::sync::atomic::Ordering;
use std::time::Duration;
use std::time::Instant;

use googletest::prelude::*;
use tokio::io::AsyncReadExt;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpListener;
use tokio::net::TcpStream;

use crate::caller::Call;
use crate::system::System;

const CHAT: &str = "/v1/chat/completions";
const REQUEST: &str =
    r#"{"model": "verse", "max_tokens": 2, "messages": [{"role": "user", "content": "short"}]}"#;
const LOAD: &str = r#"{"incarnation":1,"running":0,"waiting":0,"used_blocks":0}"#;
/// What an entry may read of an answer, with what the kernel buffers. Without a limit in bytes an entry
/// reads hundreds of megabytes before its limits in time.
const MAX_BYTES: usize = 32 << 20;
/// Longer than the limits in time of an entry for a small answer.
const MAX_TIME: Duration = Duration::from_secs(20);

/// An endpoint that reports its load and answers all other calls without end.
struct EndlessEndpoint {
    address: String,
    written: Arc<AtomicUsize>,
}

impl EndlessEndpoint {
    /// `start` is what precedes the bytes without end.
    async fn start(start: &'static str) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
        let address = listener.local_addr().unwrap().to_string();
        let written = Arc::new(AtomicUsize::new(0));
        let counter = Arc::clone(&written);
        tokio::spawn(async move {
            while let Ok((stream, _)) = listener.accept().await {
                tokio::spawn(serve(stream, start, Arc::clone(&counter)));
            }
        });
        Self { address, written }
    }
}

async fn serve(mut stream: TcpStream, start: &'static str, written: Arc<AtomicUsize>) {
    let mut request = Vec::new();
    loop {
        let mut buf = [0; 4096];
        match stream.read(&mut buf).await {
            Ok(length) if length > 0 => request.extend_from_slice(&buf[..length]),
            _ => return,
        }
        let text = String::from_utf8_lossy(&request);
        if !text.contains("\r\n\r\n") {
            continue;
        }
        if text.starts_with("GET /v1/load") {
            let answer = format!(
                "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nContent-Length: {}\r\n\r\n{LOAD}",
                LOAD.len()
            );
            request.clear();
            if stream.write_all(answer.as_bytes()).await.is_err() {
                return;
            }
            continue;
        }
        break;
    }
    let chunk = format!("{:x}\r\n{}\r\n", 16 << 10, " ".repeat(16 << 10));
    if stream.write_all(start.as_bytes()).await.is_err() {
        return;
    }
    while stream.write_all(chunk.as_bytes()).await.is_ok() {
        written.fetch_add(chunk.len(), Ordering::Relaxed);
    }
}

const JSON: &str = "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\n\
                    Transfer-Encoding: chunked\r\n\r\n";
const ERROR: &str = "HTTP/1.1 500 Failed\r\nContent-Type: application/json\r\n\
                     Transfer-Encoding: chunked\r\n\r\n";

/// Sends a request whose endpoint of this role answers without end. It fails, and the entry stops
/// reading.
async fn expect_bounded(role: &str, start: &'static str, call: Call) {
    let endpoint = EndlessEndpoint::start(start).await;
    let mut system = System::start(&[("a", "north")]).await;
    system.replace_endpoint(role, endpoint.address.clone());
    system.set_up_client_and_services().await;
    let started = Instant::now();
    let response = system.send("a", &call).await;
    expect_that!(started.elapsed(), lt(MAX_TIME), "{role}");
    expect_that!(response.status, ge(500), "{role}: {}", response.body);
    tokio::time::sleep(Duration::from_millis(200)).await;
    let written = endpoint.written.load(Ordering::Relaxed);
    expect_that!(written, all!(gt(0), lt(MAX_BYTES)), "{role}");
    tokio::time::sleep(Duration::from_millis(300)).await;
    expect_that!(
        endpoint.written.load(Ordering::Relaxed),
        eq(written),
        "{role}: the connection is closed"
    );
}

// Guards against LOST: entries kept these answers with a limit in time only.
#[googletest::test]
#[tokio::test(flavor = "multi_thread")]
async fn an_endless_answer_of_a_prefill_engine_is_not_read_on() {
    expect_bounded("prefill", JSON, Call::post(CHAT, REQUEST)).await;
}

#[googletest::test]
#[tokio::test(flavor = "multi_thread")]
async fn an_endless_error_of_a_decode_engine_is_not_read_on() {
    expect_bounded("decode", ERROR, Call::post(CHAT, REQUEST)).await;
}

#[googletest::test]
#[tokio::test(flavor = "multi_thread")]
async fn an_endless_completion_is_not_read_on() {
    expect_bounded("decode", JSON, Call::post(CHAT, REQUEST)).await;
}

#[googletest::test]
#[tokio::test(flavor = "multi_thread")]
async fn an_endless_answer_of_a_plain_endpoint_to_a_recorded_call_is_not_read_on() {
    let call = Call::post("/services/orders/charge", "amount=12");
    expect_bounded("plain", JSON, call.header("idempotency-key", "order-17")).await;
}
