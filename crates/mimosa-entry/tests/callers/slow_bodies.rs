//! Endpoints that take longer for a response than the limit on their silence, but are never silent as long.

use std::net::Ipv4Addr;
use std::net::SocketAddr;
use std::time::Duration;

use googletest::prelude::*;
use mimosa_config::EntryLimits;
use mimosa_protocol::Change;
use mimosa_protocol::configuration::EndpointRole;
use tokio::io::AsyncReadExt;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpListener;
use tokio::net::TcpStream;
use tokio::time::sleep;

use crate::fixture::Fixture;
use crate::fixture::KEY;
use crate::fixture::Setup;
use crate::fixture::endpoint;

const SILENCE: Duration = Duration::from_millis(500);
const PART_GAP: Duration = Duration::from_millis(100);
const PARTS: usize = 10;

/// A JSON document that is sent in parts, which takes twice the limit.
fn document() -> String {
    format!(r#"{{"choices":[{{"text":"{}"}}]}}"#, "x".repeat(1_000))
}

async fn serve(mut stream: TcpStream) {
    let mut buf = vec![0; 16 << 10];
    while let Ok(count) = stream.read(&mut buf).await
        && count > 0
    {
        let document = document();
        let head = format!(
            "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nContent-Length: {}\r\n\r\n",
            document.len()
        );
        stream.write_all(head.as_bytes()).await.ok();
        for part in document.as_bytes().chunks(document.len() / PARTS) {
            stream.write_all(part).await.ok();
            sleep(PART_GAP).await;
        }
    }
}

async fn start_endpoint() -> SocketAddr {
    let listener = TcpListener::bind((Ipv4Addr::LOCALHOST, 0)).await.unwrap();
    let address = listener.local_addr().unwrap();
    tokio::spawn(async move {
        while let Ok((stream, _)) = listener.accept().await {
            tokio::spawn(serve(stream));
        }
    });
    address
}

/// Sends a request and returns all bytes of the answer.
async fn send(address: SocketAddr, head: &str, body: &str) -> String {
    let mut stream = TcpStream::connect(address).await.unwrap();
    let request = format!(
        "POST {head}\r\nHost: a\r\nAuthorization: Bearer {KEY}\r\nConnection: close\r\n\
         Content-Length: {}\r\n\r\n{body}",
        body.len()
    );
    stream.write_all(request.as_bytes()).await.unwrap();
    let mut answer = Vec::new();
    stream.read_to_end(&mut answer).await.unwrap();
    String::from_utf8_lossy(&answer).into_owned()
}

/// Guards against a lost answer: the limit on the silence of an endpoint ended whole answers that took longer,
/// although they arrived without a pause.
#[googletest::test]
#[tokio::test]
async fn a_collected_answer_may_take_longer_than_the_limit_on_silence() {
    let limits = EntryLimits {
        endpoint_silence: SILENCE,
        ..EntryLimits::default()
    };
    let fixture = Fixture::start(Setup {
        limits,
        ..Setup::default()
    })
    .await;
    let address = start_endpoint().await;
    for (id, service, role) in [
        ("plain-1", "orders", EndpointRole::Plain),
        ("plain-2", "orders", EndpointRole::Plain),
        ("decode-1", "verse", EndpointRole::Decode),
        ("decode-2", "verse", EndpointRole::Decode),
    ] {
        let endpoint = endpoint(id, service, address, role);
        fixture.change(Change::PutEndpoint(endpoint)).await;
    }
    let completion =
        r#"{"model": "verse", "max_tokens": 3, "messages": [{"role": "user", "content": "a"}]}"#;
    for (head, body) in [
        (
            "/services/orders/charge HTTP/1.1\r\nIdempotency-Key: k-1",
            "x",
        ),
        ("/v1/chat/completions HTTP/1.1", completion),
    ] {
        let answer = send(fixture.entry.address(), head, body).await;
        expect_that!(answer, starts_with("HTTP/1.1 200"), "{head}");
        expect_that!(answer, contains_substring(document()), "{head}");
    }
}
