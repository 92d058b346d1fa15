//! An HTTP client that sends requests as callers do.

use std::net::SocketAddr;

use axum::body::Body;
use axum::http::HeaderMap;
use axum::http::Method;
use axum::http::Request;
use axum::http::Response;
use http_body_util::BodyExt;
use hyper::body::Incoming;
use hyper_util::client::legacy::Client;
use hyper_util::rt::TokioExecutor;
use tokio::io::AsyncReadExt;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpStream;

use crate::fixture::KEY;

/// A request with the key of the fixture's account.
#[derive(Clone)]
pub struct Call {
    method: Method,
    path: String,
    body: String,
    headers: Vec<(&'static str, String)>,
}

/// A collected response.
#[derive(Debug)]
pub struct Answer {
    pub status: u16,
    pub headers: HeaderMap,
    pub body: String,
    /// Whether the body ended without an error.
    pub complete: bool,
}

impl Call {
    pub fn get(path: &str) -> Self {
        Self::new(Method::GET, path, "")
    }

    pub fn post(path: &str, body: &str) -> Self {
        Self::new(Method::POST, path, body)
    }

    /// A chat completion that is not streamed.
    pub fn chat(content: &str) -> Self {
        Self::post("/v1/chat/completions", &chat_body(content, false))
    }

    /// A chat completion with several messages.
    pub fn chat_with(contents: &[&str]) -> Self {
        let messages: Vec<String> = contents
            .iter()
            .map(|content| format!(r#"{{"role": "user", "content": "{content}"}}"#))
            .collect();
        let messages = messages.join(", ");
        let body = format!(r#"{{"model": "verse", "messages": [{messages}]}}"#);
        Self::post("/v1/chat/completions", &body)
    }

    /// A streamed chat completion.
    pub fn streamed(content: &str) -> Self {
        Self::post("/v1/chat/completions", &chat_body(content, true))
    }

    fn new(method: Method, path: &str, body: &str) -> Self {
        let key = ("authorization", format!("Bearer {KEY}"));
        Self {
            method,
            path: path.to_owned(),
            body: body.to_owned(),
            headers: vec![key],
        }
    }

    pub fn header(mut self, name: &'static str, value: &str) -> Self {
        self.headers.retain(|(known, _)| *known != name);
        self.headers.push((name, value.to_owned()));
        self
    }

    pub fn without_key(mut self) -> Self {
        self.headers.clear();
        self
    }

    /// Sends the request and collects the response, up to an error if there is one.
    pub async fn send(self, address: SocketAddr) -> Answer {
        let (parts, body) = self.open(address).await.into_parts();
        let (body, complete) = read_all(body).await;
        Answer {
            status: parts.status.as_u16(),
            headers: parts.headers,
            body,
            complete,
        }
    }

    /// Sends the request and returns when the response headers have arrived.
    pub async fn open(self, address: SocketAddr) -> Response<Incoming> {
        let client: Client<_, Body> = Client::builder(TokioExecutor::new()).build_http();
        let req = Request::builder().method(self.method);
        let req = req.uri(format!("http://{address}{}", self.path));
        let req = self
            .headers
            .iter()
            .fold(req, |req, (name, value)| req.header(*name, value));
        let req = req.body(Body::from(self.body)).expect("a valid request");
        client.request(req).await.expect("the entry responds")
    }
}

fn chat_body(content: &str, stream: bool) -> String {
    format!(
        r#"{{"model": "verse", "stream": {stream}, "messages": [{{"role": "user", "content": "{content}"}}]}}"#
    )
}

/// Collects a body, up to an error if there is one. Returns it, and whether it ended without one.
pub async fn read_all(mut body: Incoming) -> (String, bool) {
    let mut text = Vec::new();
    loop {
        match body.frame().await {
            None => return (String::from_utf8_lossy(&text).into_owned(), true),
            Some(Err(_)) => return (String::from_utf8_lossy(&text).into_owned(), false),
            Some(Ok(frame)) => text.extend(frame.into_data().unwrap_or_default()),
        }
    }
}

/// Sends a GET request on an open connection and returns the status line of the response.
pub async fn get_on(stream: &mut TcpStream, path: &str) -> String {
    let req = format!("GET {path} HTTP/1.1\r\nhost: x\r\nauthorization: Bearer {KEY}\r\n\r\n");
    stream
        .write_all(req.as_bytes())
        .await
        .expect("the connection is open");
    let mut answer = String::new();
    while !answer.ends_with('}') {
        let mut buf = [0; 1024];
        let count = stream.read(&mut buf).await.expect("the entry responds");
        assert_ne!(count, 0, "the connection stays open: {answer}");
        answer.push_str(&String::from_utf8_lossy(&buf[..count]));
    }
    answer.lines().next().unwrap_or_default().to_owned()
}

/// Sends raw bytes, closes the sending side if `close` is set, and reads until the entry closes the
/// connection.
pub async fn send_raw(address: SocketAddr, bytes: &[u8], close: bool) -> String {
    let mut stream = TcpStream::connect(address)
        .await
        .expect("the entry listens");
    stream.write_all(bytes).await.expect("the entry reads");
    if close {
        stream.shutdown().await.expect("the connection is open");
    }
    let mut answer = Vec::new();
    let _ = stream.read_to_end(&mut answer).await;
    String::from_utf8_lossy(&answer).into_owned()
}
