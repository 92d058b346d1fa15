//! A plain HTTP service that says what reached it and counts its runs.

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
use crate::serve::Serving;

/// Header that names a non-idempotent call.
pub const IDEMPOTENCY_KEY: &str = "idempotency-key";

/// Where the service tells how many calls ran under each idempotency key.
pub const RUNS_PATH: &str = "/standin/runs";
/// Time for the first bytes of an answer to leave before its cut.
const CUT_PAUSE: Duration = Duration::from_millis(20);

/// A running plain service.
#[derive(Debug)]
pub struct Plain {
    serving: Serving,
    state: Arc<Shared>,
}

/// What the service answers.
#[derive(Debug, Serialize)]
struct Echo {
    method: String,
    path: String,
    body: String,
    run: u64,
}

/// What the service remembers.
#[derive(Debug, Default)]
struct Seen {
    runs: u64,
    runs_by_key: BTreeMap<String, u64>,
    headers: Vec<String>,
}

#[derive(Debug, Default)]
struct Shared {
    seen: Mutex<Seen>,
    behaviour: Mutex<Behaviour>,
}

/// How the service behaves.
#[derive(Clone, Debug, Default)]
pub struct Behaviour {
    /// How long a call takes.
    pub delay: Duration,
    /// Answer that many calls with status 503 after they ran.
    pub fail_next: u32,
    /// Close the connection without an answer after that many calls ran.
    pub drop_next: u32,
    /// Close the connection in the middle of the answer to that many calls.
    pub abort_next: u32,
    /// Give that many calls the answer of another request, under that request's name.
    pub misdeliver_next: u32,
}

impl Plain {
    /// Starts a plain service.
    ///
    /// # Errors
    ///
    /// If the address cannot be bound.
    pub async fn start(listen: SocketAddr) -> Result<Self> {
        let state = Arc::new(Shared::default());
        let router = Router::new()
            .route(RUNS_PATH, get(runs_by_key))
            .fallback(answer)
            .with_state(Arc::clone(&state));
        let serving = Serving::start(listen, router).await?;
        Ok(Self { serving, state })
    }

    /// Where it listens.
    pub fn address(&self) -> SocketAddr {
        self.serving.address()
    }

    /// Changes how it behaves from now on.
    pub fn set_behaviour(&self, behaviour: Behaviour) {
        *lock(&self.state.behaviour) = behaviour;
    }

    /// How many calls ran.
    pub fn runs(&self) -> u64 {
        lock(&self.state.seen).runs
    }

    /// How many calls ran under an idempotency key.
    pub fn runs_for_key(&self, key: &str) -> u64 {
        lock(&self.state.seen)
            .runs_by_key
            .get(key)
            .copied()
            .unwrap_or_default()
    }

    /// Every header line that arrived, as `name: value`.
    pub fn received_headers(&self) -> Vec<String> {
        lock(&self.state.seen).headers.clone()
    }
}

fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().expect("no holder of this lock panics")
}

async fn runs_by_key(State(state): State<Arc<Shared>>) -> Json<BTreeMap<String, u64>> {
    Json(lock(&state.seen).runs_by_key.clone())
}

async fn answer(
    State(state): State<Arc<Shared>>,
    method: Method,
    uri: Uri,
    headers: HeaderMap,
    body: Bytes,
) -> Response {
    let run = record(&state, &headers);
    let behaviour = take_behaviour(&state);
    if !behaviour.delay.is_zero() {
        tokio::time::sleep(behaviour.delay).await;
    }
    if behaviour.drop_next > 0 {
        return crate::engine::cut_connection();
    }
    if behaviour.abort_next > 0 {
        return cut_in_the_middle();
    }
    if behaviour.fail_next > 0 {
        return StatusCode::SERVICE_UNAVAILABLE.into_response();
    }
    if behaviour.misdeliver_next > 0 {
        return crate::engine::echo(OTHER_PROMPT.into_response(), OTHER_REQUEST);
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

/// A response whose body fails after its first bytes have left.
fn cut_in_the_middle() -> Response {
    let half = stream::once(async { Ok("half") });
    let cut = stream::once(async {
        tokio::time::sleep(CUT_PAUSE).await;
        Err(std::io::Error::other("cut"))
    });
    Response::new(Body::from_stream(half.chain(cut)))
}

fn record(state: &Shared, headers: &HeaderMap) -> u64 {
    let mut seen = lock(&state.seen);
    seen.runs += 1;
    if let Some(key) = headers.get(IDEMPOTENCY_KEY) {
        *seen
            .runs_by_key
            .entry(String::from_utf8_lossy(key.as_bytes()).into_owned())
            .or_default() += 1;
    }
    seen.headers.extend(crate::engine::header_lines(headers));
    seen.runs
}

fn take_behaviour(state: &Shared) -> Behaviour {
    let mut behaviour = lock(&state.behaviour);
    let now = behaviour.clone();
    behaviour.fail_next = behaviour.fail_next.saturating_sub(1);
    behaviour.drop_next = behaviour.drop_next.saturating_sub(1);
    behaviour.abort_next = behaviour.abort_next.saturating_sub(1);
    behaviour.misdeliver_next = behaviour.misdeliver_next.saturating_sub(1);
    now
}
