//! An endpoint that answers every request with the same bytes and closes the connection.

use std::net::Ipv4Addr;
use std::net::SocketAddr;

use mimosa_protocol::Change;
use mimosa_protocol::configuration::EndpointRole;
use tokio::io::AsyncReadExt;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpListener;
use tokio::net::TcpStream;
use tokio::task::JoinHandle;

use crate::fixture::Fixture;
use crate::fixture::endpoint;

/// Response to load reports and cancellations.
const SMALL_RESPONSE: &str = "HTTP/1.1 200 OK\r\nContent-Length: 61\r\n\r\n\
                              {\"incarnation\":1,\"running\":0,\"waiting\":0,\"used_blocks\":0    }\n";

/// The endpoint; dropping it stops it.
pub struct RawEndpoint {
    address: SocketAddr,
    task: JoinHandle<()>,
}

impl RawEndpoint {
    /// Starts an endpoint whose answer has neither a length nor chunks.
    pub async fn unframed(content_type: &str, body: &str) -> Self {
        Self::start(format!(
            "HTTP/1.1 200 OK\r\nContent-Type: {content_type}\r\n\r\n{body}"
        ))
        .await
    }

    async fn start(response: String) -> Self {
        let listener = TcpListener::bind((Ipv4Addr::LOCALHOST, 0))
            .await
            .expect("a free port");
        let address = listener.local_addr().expect("a bound socket");
        let task = tokio::spawn(async move {
            while let Ok((stream, _)) = listener.accept().await {
                tokio::spawn(respond(stream, response.clone()));
            }
        });
        Self { address, task }
    }

    /// Takes the place of both endpoints of a pool of the fixture.
    pub async fn replace(&self, fixture: &Fixture, role: EndpointRole) {
        let (service, ids) = match role {
            EndpointRole::Decode => ("verse", ["decode-1", "decode-2"]),
            _ => ("orders", ["plain-1", "plain-2"]),
        };
        for id in ids {
            let endpoint = endpoint(id, service, self.address, role);
            fixture.change(Change::PutEndpoint(endpoint)).await;
        }
    }
}

impl Drop for RawEndpoint {
    fn drop(&mut self) {
        self.task.abort();
    }
}

async fn respond(mut stream: TcpStream, response: String) {
    let mut request = Vec::new();
    while !request.windows(4).any(|window| window == b"\r\n\r\n") {
        let mut buf = [0; 4096];
        match stream.read(&mut buf).await {
            Ok(count) if count > 0 => request.extend(&buf[..count]),
            _ => return,
        }
    }
    let request = String::from_utf8_lossy(&request);
    let is_small = request.contains("/v1/load") || request.contains("/v1/cancel");
    let response = if is_small { SMALL_RESPONSE } else { &response };
    if stream.write_all(response.as_bytes()).await.is_ok() {
        let _ = stream.shutdown().await;
        // Unread bytes of the request would reset the connection.
        let _ = stream.read_to_end(&mut Vec::new()).await;
    }
}
