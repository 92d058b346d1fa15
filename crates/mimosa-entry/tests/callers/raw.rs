//! An endpoint that answers every request with the same bytes and closes the connection.

use std::net::Ipv4Addr;
use std::net::SocketAddr;
use std::sync::Arc;

use mimosa_protocol::Change;
use mimosa_protocol::configuration::Endpoint;
use mimosa_protocol::configuration::EndpointRole;
use mimosa_protocol::configuration::EndpointState;
use tokio::io::AsyncReadExt;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpListener;
use tokio::net::TcpStream;
use tokio::sync::Notify;
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
    end: Arc<Notify>,
}

impl RawEndpoint {
    /// Starts an endpoint whose answer has neither a length nor chunks.
    pub async fn unframed(content_type: &str, body: &str) -> Self {
        Self::start(unframed_response(content_type, body)).await
    }

    /// Starts an endpoint like that of [`Self::unframed`] that does not end its first answer until
    /// [`Self::end`], when its process ends.
    pub async fn unframed_ending(content_type: &str, body: &str) -> Self {
        let response = unframed_response(content_type, body);
        let (listener, address) = listen().await;
        let end = Arc::new(Notify::new());
        let ended = Arc::clone(&end);
        let task = tokio::spawn(async move {
            while let Ok((mut stream, _)) = listener.accept().await {
                match read_request(&mut stream).await {
                    Some(request) if is_small(&request) => {
                        write_and_close(stream, SMALL_RESPONSE).await;
                    }
                    Some(_) => {
                        let _ = stream.write_all(response.as_bytes()).await;
                        ended.notified().await;
                        drop(listener);
                        return close(stream).await;
                    }
                    None => {}
                }
            }
        });
        Self { address, task, end }
    }

    /// Ends the process of [`Self::unframed_ending`], in or after its first answer.
    pub fn end(&self) {
        self.end.notify_one();
    }

    /// Starts an endpoint that ends with the first request to a path that contains this text.
    pub async fn ending_on(path: &'static str) -> Self {
        let (listener, address) = listen().await;
        let task = tokio::spawn(async move {
            while let Ok((mut stream, _)) = listener.accept().await {
                match read_request(&mut stream).await {
                    Some(request) if request.contains(path) => {
                        drop(listener);
                        return drop(stream);
                    }
                    Some(_) => write_and_close(stream, SMALL_RESPONSE).await,
                    None => {}
                }
            }
        });
        Self {
            address,
            task,
            end: Arc::default(),
        }
    }

    /// Whether the process of the endpoint has ended.
    pub fn has_ended(&self) -> bool {
        self.task.is_finished()
    }

    async fn start(response: String) -> Self {
        let (listener, address) = listen().await;
        let task = tokio::spawn(async move {
            while let Ok((stream, _)) = listener.accept().await {
                tokio::spawn(respond(stream, response.clone()));
            }
        });
        Self {
            address,
            task,
            end: Arc::default(),
        }
    }

    /// Takes the place of both endpoints of a pool of the fixture.
    pub async fn replace(&self, fixture: &Fixture, role: EndpointRole) {
        self.put(fixture, role, EndpointState::Active).await;
    }

    /// Changes the state of both endpoints that this one took the place of.
    pub async fn put(&self, fixture: &Fixture, role: EndpointRole, state: EndpointState) {
        let (service, ids) = match role {
            EndpointRole::Decode => ("verse", ["decode-1", "decode-2"]),
            _ => ("orders", ["plain-1", "plain-2"]),
        };
        for id in ids {
            let endpoint = Endpoint {
                state,
                ..endpoint(id, service, self.address, role)
            };
            fixture.change(Change::PutEndpoint(endpoint)).await;
        }
    }
}

impl Drop for RawEndpoint {
    fn drop(&mut self) {
        self.task.abort();
    }
}

fn unframed_response(content_type: &str, body: &str) -> String {
    format!("HTTP/1.1 200 OK\r\nContent-Type: {content_type}\r\n\r\n{body}")
}

async fn listen() -> (TcpListener, SocketAddr) {
    let listener = TcpListener::bind((Ipv4Addr::LOCALHOST, 0))
        .await
        .expect("a free port");
    let address = listener.local_addr().expect("a bound socket");
    (listener, address)
}

async fn respond(mut stream: TcpStream, response: String) {
    let Some(request) = read_request(&mut stream).await else {
        return;
    };
    let response = match is_small(&request) {
        true => SMALL_RESPONSE,
        false => &response,
    };
    write_and_close(stream, response).await;
}

/// Reads a request up to the end of its head; `None` if the connection ends before.
async fn read_request(stream: &mut TcpStream) -> Option<String> {
    let mut request = Vec::new();
    while !request.windows(4).any(|window| window == b"\r\n\r\n") {
        let mut buf = [0; 4096];
        match stream.read(&mut buf).await {
            Ok(count) if count > 0 => request.extend(&buf[..count]),
            _ => return None,
        }
    }
    Some(String::from_utf8_lossy(&request).into_owned())
}

fn is_small(request: &str) -> bool {
    request.contains("/v1/load") || request.contains("/v1/cancel")
}

async fn write_and_close(mut stream: TcpStream, response: &str) {
    if stream.write_all(response.as_bytes()).await.is_ok() {
        close(stream).await;
    }
}

async fn close(mut stream: TcpStream) {
    let _ = stream.shutdown().await;
    // Unread bytes of the request would reset the connection.
    let _ = stream.read_to_end(&mut Vec::new()).await;
}
