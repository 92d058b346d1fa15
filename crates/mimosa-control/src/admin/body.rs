//! Reads the bodies of operators' requests, limited in size, time and memory.

use std::sync::Arc;
use std::time::Duration;

use axum::body::Body;
use axum::extract::Request;
use axum::extract::State;
use axum::http::StatusCode;
use axum::http::header::RETRY_AFTER;
use axum::middleware::Next;
use axum::response::IntoResponse;
use axum::response::Response;
use http_body_util::BodyExt;
use http_body_util::Limited;
use hyper::body::Body as _;
use mimosa_memory::Refused;
use mimosa_transport::reserved_buffer::ProcessMemory;
use mimosa_transport::reserved_buffer::ReservedBuffer;
use mimosa_transport::reserved_buffer::WhenFull;
use tokio::sync::Semaphore;
use tokio::time::timeout;

use super::problem::Problem;

/// Time for the body of a request.
const BODY_TIMEOUT: Duration = Duration::from_secs(30);
/// Size from which requests are handled one at a time: the parsed form of a document takes several times its
/// bytes, which the account does not count.
const LARGE_BYTES: usize = 1 << 20;
/// Seconds after which an operator refused for lack of memory may try again. Stalled bodies are evicted within 3 s.
const RETRY_AFTER_SECS: &str = "1";

/// Limits of the bodies.
#[derive(Clone)]
pub struct BodyLimits {
    memory: ProcessMemory,
    max_bytes: usize,
    large: Arc<Semaphore>,
}

/// Why a body was not read.
enum BodyError {
    TooLarge,
    TooSlow,
    NoMemory,
    Interrupted,
}

impl BodyLimits {
    /// `max_bytes` is the largest body that any handler takes.
    pub fn new(memory: ProcessMemory, max_bytes: usize) -> Self {
        Self {
            memory,
            max_bytes,
            large: Arc::new(Semaphore::new(1)),
        }
    }

    async fn read(&self, mut body: Body) -> Result<ReservedBuffer, BodyError> {
        let declared = body.size_hint().exact();
        if declared.is_some_and(|declared| declared > self.max_bytes as u64) {
            return Err(BodyError::TooLarge);
        }
        let declared = declared.map(|declared| declared as usize);
        let mut buffer = self
            .memory
            .buffer(None, declared, self.max_bytes, WhenFull::Refuse);
        let evicted = buffer.reservation().signal().clone();
        let reading = async {
            while let Some(frame) = body.frame().await {
                let frame = frame.map_err(|_| BodyError::Interrupted)?;
                let Some(data) = frame.data_ref() else {
                    continue;
                };
                if buffer.len() + data.len() > self.max_bytes {
                    return Err(BodyError::TooLarge);
                }
                let pushed = buffer.push(data).await;
                pushed.map_err(|Refused| match evicted.is_set() {
                    true => BodyError::TooSlow,
                    false => BodyError::NoMemory,
                })?;
            }
            Ok(())
        };
        let read = tokio::select! {
            biased;
            read = timeout(BODY_TIMEOUT, reading) => read.unwrap_or(Err(BodyError::TooSlow)),
            () = evicted.wait() => Err(BodyError::TooSlow),
        };
        read.map(|()| {
            buffer.reservation().progress().stop_waiting();
            buffer
        })
    }
}

/// Reads the body before the request is handled. A body that is too slow is answered 408, one without room 503; the
/// request changed nothing then.
pub async fn read(State(limits): State<BodyLimits>, request: Request, next: Next) -> Response {
    let (head, body) = request.into_parts();
    if body.is_end_stream() {
        return next.run(Request::from_parts(head, body)).await;
    }
    let body = match limits.read(body).await {
        Ok(body) => body,
        Err(BodyError::TooSlow) => return StatusCode::REQUEST_TIMEOUT.into_response(),
        Err(BodyError::Interrupted) => return StatusCode::BAD_REQUEST.into_response(),
        Err(BodyError::NoMemory) => return no_memory(),
        Err(BodyError::TooLarge) => {
            // The handler refuses it in the form of its API.
            let body = Body::new(Limited::new(Body::from(" "), 0));
            return next.run(Request::from_parts(head, body)).await;
        }
    };
    let is_large = body.len() >= LARGE_BYTES;
    let request = Request::from_parts(head, Body::from(body.into_bytes()));
    let _permit = match is_large {
        true => limits.large.acquire().await.ok(),
        false => None,
    };
    next.run(request).await
}

fn no_memory() -> Response {
    let status = StatusCode::SERVICE_UNAVAILABLE;
    let detail = "this instance has no memory for the request at present";
    let problem = Problem::not_run(status, "memory_full", detail);
    ([(RETRY_AFTER, RETRY_AFTER_SECS)], problem).into_response()
}
