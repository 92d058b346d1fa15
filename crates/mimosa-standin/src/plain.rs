//! A plain HTTP service that echoes each call and counts the calls that ran.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::time::Duration;

use axum::Json;
use axum::Router;
use axum::body::Body;
use axum::body::Bytes;
use axum::extract::State;
use axum::http::HeaderMap;
use axum::http::Method;
use axum::http::StatusCode;
use axum::http::Uri;
use axum::response::IntoResponse;
use axum::response::Response;
use axum::routing::get;
use futures_util::StreamExt;
use futures_util::stream;
use mimosa_protocol::Result;
use serde::Serialize;

use crate::engine::OTHER_PROMPT;
use crate::engine::OTHER_REQUEST;
use crate::serve::Server;

/// Header with the idempotency key of a call.
pub const IDEMPOTENCY_KEY: &str = "idempotency-key";

/// Path that returns the number of runs per idempotency key, as a JSON object.
pub const RUNS_PATH: &str = "/standin/runs";
/// Gives the first bytes of a response time to be sent before the connection is aborted.
const ABORT_DELAY: Duration = Duration::from_millis(20);

/// A running plain service. Dropping it closes every connection.
#[derive(Debug)]
pub struct Plain {
    server: Server,
    shared: Arc<Shared>,
}

/// JSON body of a response: the call, and its number among all calls.
#[derive(Debug, Serialize)]
struct Echo {
    method: String,
    path: String,
    body: String,
    run: u64,
}

/// Counts and headers of the calls received so far.
#[derive(Debug, Default)]
struct CallLog {
    runs: u64,
    runs_by_key: BTreeMap<String, u64>,
    received_headers: Vec<String>,
}

/// State shared by the request handlers.
#[derive(Debug, Default)]
struct Shared {
    call_log: Mutex<CallLog>,
    behaviour: Mutex<Behaviour>,
}

/// Delay and injected faults of a plain service.
///
/// Each call lowers every fault count by one. If several are set, the call gets the first of: drop,
/// abort, fail, misdeliver.
#[derive(Clone, Debug, Default)]
pub struct Behaviour {
    /// Time from the arrival of a call to its response.
    pub delay: Duration,
    /// Number of calls to answer with status 503 after they ran.
    pub fail_next: u32,
    /// Number of calls whose connection is closed without a response after they ran.
    pub drop_next: u32,
    /// Number of calls whose connection is closed in the middle of the response.
    pub abort_next: u32,
    /// Number of calls that get the response of another request, under its request id.
    pub misdeliver_next: u32,
}

impl Plain {
    /// Starts a plain service that listens on `listen`. Port 0 selects a free port.
    ///
    /// # Errors
    ///
    /// [`Error::Network`](mimosa_protocol::Error::Network) if the address cannot be bound.
    pub async fn start(listen: SocketAddr) -> Result<Self> {
        let shared = Arc::new(Shared::default());
        let router = Router::new()
            .route(RUNS_PATH, get(runs_by_key))
            .fallback(handle_call)
            .with_state(Arc::clone(&shared));
        let server = Server::start(listen, router).await?;
        Ok(Self { server, shared })
    }

    /// The bound address, with the selected port if port 0 was requested.
    pub fn address(&self) -> SocketAddr {
        self.server.address()
    }

    /// Replaces the delay and the injected faults.
    pub fn set_behaviour(&self, behaviour: Behaviour) {
        *lock(&self.shared.behaviour) = behaviour;
    }

    /// Number of calls that ran, those with an injected fault included.
    pub fn runs(&self) -> u64 {
        lock(&self.shared.call_log).runs
    }

    /// Number of calls that ran under an idempotency key.
    pub fn runs_for_key(&self, key: &str) -> u64 {
        lock(&self.shared.call_log)
            .runs_by_key
            .get(key)
            .copied()
            .unwrap_or_default()
    }

    /// The headers of all calls in the order of arrival, as `name: value`.
    pub fn received_headers(&self) -> Vec<String> {
        lock(&self.shared.call_log).received_headers.clone()
    }
}

fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().expect("the lock is not poisoned")
}

async fn runs_by_key(State(shared): State<Arc<Shared>>) -> Json<BTreeMap<String, u64>> {
    Json(lock(&shared.call_log).runs_by_key.clone())
}

async fn handle_call(
    State(shared): State<Arc<Shared>>,
    method: Method,
    uri: Uri,
    headers: HeaderMap,
    body: Bytes,
) -> Response {
    let run = record_call(&shared, &headers);
    let behaviour = consume_behaviour(&shared);
    if !behaviour.delay.is_zero() {
        tokio::time::sleep(behaviour.delay).await;
    }
    if behaviour.drop_next > 0 {
        return crate::engine::abort_connection();
    }
    if behaviour.abort_next > 0 {
        return abort_mid_body();
    }
    if behaviour.fail_next > 0 {
        return StatusCode::SERVICE_UNAVAILABLE.into_response();
    }
    if behaviour.misdeliver_next > 0 {
        return crate::engine::with_request_id(OTHER_PROMPT.into_response(), OTHER_REQUEST);
    }
    let path = uri
        .path_and_query()
        .map_or("/", |path| path.as_str())
        .to_owned();
    let body = String::from_utf8_lossy(&body).into_owned();
    Json(Echo {
        method: method.to_string(),
        path,
        body,
        run,
    })
    .into_response()
}

/// A response whose body fails after its first bytes were sent.
fn abort_mid_body() -> Response {
    let head = stream::once(async { Ok("half") });
    let abort = stream::once(async {
        tokio::time::sleep(ABORT_DELAY).await;
        Err(std::io::Error::other("aborted"))
    });
    Response::new(Body::from_stream(head.chain(abort)))
}

/// Counts a call and returns its number, counted from 1.
fn record_call(shared: &Shared, headers: &HeaderMap) -> u64 {
    let mut call_log = lock(&shared.call_log);
    call_log.runs += 1;
    if let Some(key) = headers.get(IDEMPOTENCY_KEY) {
        *call_log
            .runs_by_key
            .entry(String::from_utf8_lossy(key.as_bytes()).into_owned())
            .or_default() += 1;
    }
    call_log
        .received_headers
        .extend(crate::engine::header_lines(headers));
    call_log.runs
}

/// The behaviour for one call. Lowers the fault counts for the next.
fn consume_behaviour(shared: &Shared) -> Behaviour {
    let mut behaviour = lock(&shared.behaviour);
    let current = behaviour.clone();
    behaviour.fail_next = behaviour.fail_next.saturating_sub(1);
    behaviour.drop_next = behaviour.drop_next.saturating_sub(1);
    behaviour.abort_next = behaviour.abort_next.saturating_sub(1);
    behaviour.misdeliver_next = behaviour.misdeliver_next.saturating_sub(1);
    current
}
