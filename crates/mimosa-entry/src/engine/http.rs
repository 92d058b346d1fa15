//! HTTP client of engines and plain services.

use std::io::ErrorKind;
use std::net::SocketAddr;
use std::time::Duration;

use axum::body::Body;
use axum::http::HeaderMap;
use axum::http::HeaderValue;
use axum::http::Method;
use axum::http::Request;
use axum::http::Response;
use axum::http::StatusCode;
use axum::http::header::CONTENT_TYPE;
use axum::http::header::HOST;
use axum::http::header::TRANSFER_ENCODING;
use bytes::Bytes;
use http_body_util::BodyExt;
use http_body_util::Limited;
use hyper::body::Incoming;
use hyper_util::client::legacy::Client;
use hyper_util::client::legacy::Error as ClientError;
use hyper_util::client::legacy::connect::HttpConnector;
use hyper_util::rt::TokioExecutor;
use hyper_util::rt::TokioTimer;
use mimosa_protocol::Incarnation;
use mimosa_protocol::KvBlocks;
use mimosa_protocol::Tokens;
use mimosa_transport::status;
use serde::Deserialize;
use serde::Serialize;
use tokio::net::TcpStream;

use super::AttemptId;
use super::BoxFuture;
use super::EngineClient;
use super::EngineFailure;
use super::EngineLoad;
use super::EngineResponse;
use super::KvSource;
use super::PlainRequest;
use super::event_stream::EventStreamBody;
use crate::model_request::ModelRequest;

/// Header that carries the attempt's id. An endpoint that echoes it in the response allows
/// [`check_request_id`] to detect responses to other requests.
const REQUEST_ID: &str = "x-request-id";
/// Timeout for connecting to an endpoint.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(2);
/// Time after which an idle connection is closed.
const IDLE_TIMEOUT: Duration = Duration::from_secs(30);
/// Timeout for the headers, and again for the body, of a small response: to a cancellation, a load
/// report or an error.
const SMALL_RESPONSE_TIMEOUT: Duration = Duration::from_secs(2);
/// Maximum size of the read buffer of a connection, and of a response head, where memory is limited. The entry holds it for each response
/// that its client reads slowly.
const MAX_BUFFER_BYTES: usize = 32 << 10;
/// Maximum size of such a response, and of that to a prefill.
const MAX_SMALL_RESPONSE_BYTES: usize = 64 << 10;

/// HTTP/1.1 client with pooled connections. It never repeats a request by itself.
pub(crate) struct HttpEngineClient {
    client: Client<HttpConnector, Body>,
    response_timeout: Duration,
}

#[derive(Deserialize)]
struct PrefillResponse {
    kv_transfer_params: PrefillTransferParams,
    usage: Option<Usage>,
}

#[derive(Deserialize)]
struct PrefillTransferParams {
    remote_handle: String,
}

#[derive(Deserialize)]
struct Usage {
    prompt_tokens: u64,
}

#[derive(Serialize)]
struct CancelRequest {
    request: String,
}

#[derive(Deserialize)]
struct LoadResponse {
    incarnation: u64,
    running: u32,
    waiting: u32,
    used_blocks: u64,
}

#[derive(Deserialize)]
struct ErrorResponse {
    ran: String,
}

impl HttpEngineClient {
    /// `response_timeout` limits the wait for response headers, and for the body of a prefill.
    /// `is_memory_limited` bounds the buffers of the connections.
    pub(crate) fn new(response_timeout: Duration, is_memory_limited: bool) -> Self {
        let mut connector = HttpConnector::new();
        connector.set_nodelay(true);
        connector.set_connect_timeout(Some(CONNECT_TIMEOUT));
        let mut builder = Client::builder(TokioExecutor::new());
        builder
            .pool_idle_timeout(IDLE_TIMEOUT)
            .pool_timer(TokioTimer::new())
            .retry_canceled_requests(false);
        if is_memory_limited {
            builder.http1_max_buf_size(MAX_BUFFER_BYTES);
        }
        let client = builder.build(connector);
        Self {
            client,
            response_timeout,
        }
    }

    async fn send(
        &self,
        req: Request<Body>,
        timeout: Duration,
    ) -> Result<Response<Incoming>, EngineFailure> {
        match tokio::time::timeout(timeout, self.client.request(req)).await {
            Err(_) => Err(EngineFailure::TIMED_OUT),
            Ok(Err(e)) => Err(failure_of_error(&e)),
            Ok(Ok(resp)) if !status::is_final(resp.status()) => Err(EngineFailure::WRONG_RESPONSE),
            Ok(Ok(resp)) => Ok(resp),
        }
    }

    async fn post_completion(
        &self,
        to: SocketAddr,
        attempt: AttemptId,
        path: &str,
        body: Vec<u8>,
    ) -> Result<Response<Incoming>, EngineFailure> {
        let req = Request::post(format!("http://{to}{path}"))
            .header(CONTENT_TYPE, "application/json")
            .header(REQUEST_ID, attempt.to_string())
            .body(Body::from(body))
            .expect("an address and a fixed path make a request");
        let resp = self.send(req, self.response_timeout).await?;
        check_request_id(resp.headers(), attempt)?;
        if resp.status() == StatusCode::OK {
            return Ok(resp);
        }
        Err(self.failure_of_response(resp).await)
    }

    /// Interprets a response with a status other than 200. Only an explicit `"ran": "no"` proves
    /// that the request was not executed.
    async fn failure_of_response(&self, resp: Response<Incoming>) -> EngineFailure {
        let Ok(body) = read_small(resp.into_body(), SMALL_RESPONSE_TIMEOUT).await else {
            return EngineFailure::DISCONNECTED;
        };
        match serde_json::from_slice::<ErrorResponse>(&body) {
            Ok(error) if error.ran == "no" => EngineFailure::DECLINED,
            _ => EngineFailure::FAILED,
        }
    }

    async fn request_json<T: for<'de> Deserialize<'de>>(
        &self,
        req: Request<Body>,
    ) -> Result<T, EngineFailure> {
        let resp = self.send(req, SMALL_RESPONSE_TIMEOUT).await?;
        let body = read_small(resp.into_body(), SMALL_RESPONSE_TIMEOUT).await?;
        serde_json::from_slice(&body).map_err(|_| EngineFailure::WRONG_RESPONSE)
    }
}

/// Reads a response of at most [`MAX_SMALL_RESPONSE_BYTES`]. The connection of a larger one is closed.
async fn read_small(body: Incoming, timeout: Duration) -> Result<Bytes, EngineFailure> {
    let body = Limited::new(body, MAX_SMALL_RESPONSE_BYTES).collect();
    let body = tokio::time::timeout(timeout, body).await;
    let body = body.map_err(|_| EngineFailure::TIMED_OUT)?;
    Ok(body.map_err(|_| EngineFailure::DISCONNECTED)?.to_bytes())
}

/// A request whose connection was never established was not sent, so it did not run.
fn failure_of_error(e: &ClientError) -> EngineFailure {
    if e.is_connect() {
        EngineFailure::UNREACHABLE
    } else {
        EngineFailure::DISCONNECTED
    }
}

/// A response that echoes another attempt's id belongs to another request.
fn check_request_id(headers: &HeaderMap, attempt: AttemptId) -> Result<(), EngineFailure> {
    let returned_id = headers.get(REQUEST_ID);
    match returned_id {
        Some(returned_id) if returned_id.as_bytes() != attempt.to_string().as_bytes() => {
            Err(EngineFailure::WRONG_RESPONSE)
        }
        _ => Ok(()),
    }
}

fn into_engine_response(resp: Response<Incoming>) -> EngineResponse {
    let (parts, body) = resp.into_parts();
    let content_type = parts.headers.get(CONTENT_TYPE);
    let is_event_stream =
        content_type.is_some_and(|value| value.as_bytes().starts_with(b"text/event-stream"));
    let ends_with_connection = !parts.headers.contains_key(TRANSFER_ENCODING)
        && hyper::body::Body::size_hint(&body).exact().is_none();
    let body = match is_event_stream && parts.status.is_success() {
        true => Body::new(EventStreamBody::new(body)),
        false => Body::new(body),
    };
    EngineResponse {
        status: parts.status,
        headers: parts.headers,
        body,
        ends_with_connection,
    }
}

impl EngineClient for HttpEngineClient {
    fn prefill<'a>(
        &'a self,
        to: SocketAddr,
        attempt: AttemptId,
        request: &'a ModelRequest,
    ) -> BoxFuture<'a, Result<KvSource, EngineFailure>> {
        Box::pin(async move {
            let body = request.prefill_body();
            let resp = self
                .post_completion(to, attempt, request.kind.path(), body)
                .await?;
            let body = read_small(resp.into_body(), self.response_timeout).await?;
            let prefilled: PrefillResponse =
                serde_json::from_slice(&body).map_err(|_| EngineFailure::WRONG_RESPONSE)?;
            Ok(KvSource {
                address: to,
                handle: prefilled.kv_transfer_params.remote_handle,
                prompt_tokens: prefilled.usage.map(|usage| Tokens(usage.prompt_tokens)),
            })
        })
    }

    fn decode<'a>(
        &'a self,
        to: SocketAddr,
        attempt: AttemptId,
        request: &'a ModelRequest,
        kv: Option<KvSource>,
    ) -> BoxFuture<'a, Result<EngineResponse, EngineFailure>> {
        Box::pin(async move {
            let remote = kv
                .as_ref()
                .map(|kv| (kv.address.to_string(), kv.handle.as_str()));
            let body = request.decode_body(remote);
            let resp = self
                .post_completion(to, attempt, request.kind.path(), body)
                .await?;
            Ok(into_engine_response(resp))
        })
    }

    fn plain(
        &self,
        to: SocketAddr,
        request: PlainRequest,
    ) -> BoxFuture<'_, Result<EngineResponse, EngineFailure>> {
        Box::pin(async move {
            let mut req = Request::new(Body::from(request.body));
            *req.method_mut() = request.method;
            *req.uri_mut() = format!("http://{to}{}", request.path)
                .parse()
                .map_err(|_| EngineFailure::DECLINED)?;
            *req.headers_mut() = request.headers;
            req.headers_mut().remove(HOST);
            let attempt_id = HeaderValue::from_str(&request.attempt.to_string())
                .expect("an attempt id is plain ASCII");
            req.headers_mut().insert(REQUEST_ID, attempt_id);
            let resp = self.send(req, self.response_timeout).await?;
            check_request_id(resp.headers(), request.attempt)?;
            Ok(into_engine_response(resp))
        })
    }

    fn refuses_connections(&self, to: SocketAddr) -> BoxFuture<'_, bool> {
        Box::pin(async move {
            let connected = tokio::time::timeout(CONNECT_TIMEOUT, TcpStream::connect(to)).await;
            matches!(connected, Ok(Err(e)) if e.kind() == ErrorKind::ConnectionRefused)
        })
    }

    fn cancel(&self, to: SocketAddr, attempt: AttemptId) -> BoxFuture<'_, bool> {
        Box::pin(async move {
            let cancel = CancelRequest {
                request: attempt.to_string(),
            };
            let body = serde_json::to_vec(&cancel).expect("plain data is valid JSON");
            let req = Request::post(format!("http://{to}/v1/cancel"))
                .header(CONTENT_TYPE, "application/json")
                .body(Body::from(body))
                .expect("an address and a fixed path make a request");
            match self.request_json::<serde_json::Value>(req).await {
                Ok(_) => true,
                Err(e) => {
                    log::debug!("cannot cancel attempt {attempt} at {to}: {}", e.reason);
                    false
                }
            }
        })
    }

    fn load(&self, to: SocketAddr) -> BoxFuture<'_, Result<EngineLoad, EngineFailure>> {
        Box::pin(async move {
            let mut req = Request::new(Body::empty());
            *req.method_mut() = Method::GET;
            *req.uri_mut() = format!("http://{to}/v1/load")
                .parse()
                .expect("an address and a fixed path make a URI");
            let load: LoadResponse = self.request_json(req).await?;
            Ok(EngineLoad {
                incarnation: Incarnation(load.incarnation),
                running: load.running,
                waiting: load.waiting,
                used_blocks: KvBlocks(load.used_blocks),
            })
        })
    }
}
