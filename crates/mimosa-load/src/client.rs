//! An HTTP/1.1 client connection of the load generator.

use std::net::SocketAddr;

use bytes::Bytes;
use http_body_util::BodyExt;
use http_body_util::Full;
use hyper::Request;
use hyper::Response;
use hyper::body::Incoming;
use hyper::client::conn::http1;
use hyper::client::conn::http1::SendRequest;
use hyper_util::rt::TokioIo;
use miette::IntoDiagnostic;
use miette::Result;
use miette::miette;
use serde_json::Value;
use tokio::net::TcpStream;

/// A POST request with a JSON body, and the server it is sent to.
#[derive(Clone, Debug)]
pub struct Target {
    /// Address to connect to: a stand-in server or the entry.
    pub address: SocketAddr,
    /// Path, with a leading slash.
    pub path: String,
    /// Value of the `authorization` header; `None` for a stand-in server, which needs no key.
    pub authorization: Option<String>,
    /// JSON text of the request body.
    pub body: Bytes,
}

impl Target {
    /// A target without an `authorization` header, with a JSON body.
    pub fn new(address: SocketAddr, path: impl Into<String>, body: &Value) -> Self {
        Self {
            address,
            path: path.into(),
            authorization: None,
            body: Bytes::from(body.to_string()),
        }
    }

    /// The same request body for another address and path, with a client key.
    #[must_use]
    pub fn via_entry(&self, address: SocketAddr, path: impl Into<String>, key: &str) -> Self {
        Self {
            address,
            path: path.into(),
            authorization: Some(format!("Bearer {key}")),
            body: self.body.clone(),
        }
    }
}

/// A connection that sends one request at a time.
#[derive(Debug)]
pub struct Connection {
    target: Target,
    sender: SendRequest<Full<Bytes>>,
}

impl Connection {
    /// Opens a TCP connection with `TCP_NODELAY`, so that no request is delayed in the kernel.
    ///
    /// # Errors
    ///
    /// If the connection is refused or its options cannot be set.
    pub async fn connect(target: &Target) -> Result<Self> {
        let stream = TcpStream::connect(target.address).await.into_diagnostic()?;
        stream.set_nodelay(true).into_diagnostic()?;
        let handshake = http1::handshake(TokioIo::new(stream)).await;
        let (sender, connection) = handshake.into_diagnostic()?;
        tokio::spawn(connection);
        Ok(Self {
            target: target.clone(),
            sender,
        })
    }

    /// Sends the request and reads the whole response. Returns its body.
    ///
    /// # Errors
    ///
    /// If the connection fails or the status is not 200.
    pub async fn call(&mut self) -> Result<Bytes> {
        let response = self.send().await?;
        let status = response.status();
        let body = response.into_body().collect().await.into_diagnostic()?;
        let body = body.to_bytes();
        if status != 200 {
            return Err(miette!(
                "response status {status}: {}",
                String::from_utf8_lossy(&body)
            ));
        }
        Ok(body)
    }

    /// Sends the request and returns when the response headers are received. The next request
    /// waits until the body is read.
    ///
    /// # Errors
    ///
    /// If the connection fails.
    pub async fn send(&mut self) -> Result<Response<Incoming>> {
        self.sender.ready().await.into_diagnostic()?;
        let mut req = Request::post(&self.target.path)
            .header("host", "load")
            .header("content-type", "application/json");
        if let Some(authorization) = &self.target.authorization {
            req = req.header("authorization", authorization);
        }
        let body = Full::new(self.target.body.clone());
        let req = req.body(body).into_diagnostic()?;
        self.sender.send_request(req).await.into_diagnostic()
    }
}
