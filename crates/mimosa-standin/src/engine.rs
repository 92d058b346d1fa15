//! An engine with continuous batching reduced to what a router sees of it: prefill with KV export,
//! decode with KV import, streams, cancel, load reports, cache events, orders with fencing.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::time::Duration;

use axum::Router;
use axum::body::Body;
use axum::http::HeaderMap;
use axum::http::HeaderValue;
use axum::response::Response;
use axum::routing::get;
use axum::routing::post;
use futures_util::stream;
use mimosa_protocol::KvBlocks;
use mimosa_protocol::Result;
use mimosa_protocol::Tokens;

use crate::serve::Serving;

pub mod api;
mod completion;
pub mod output;
mod report;
mod state;

pub use self::state::KvAllocation;
use self::state::State;

/// Header that names the request.
pub(crate) const REQUEST_ID: &str = "x-request-id";
/// Name of a request that no caller of the stand-in has.
pub(crate) const OTHER_REQUEST: &str = "other-1";
/// Prompt of that request.
pub const OTHER_PROMPT: &str = "the prompt of another request";

/// How an engine behaves.
#[derive(Clone, Debug)]
pub struct EngineSettings {
    /// Name of the model that it serves.
    pub model: String,
    /// Output tokens of an answer, unless the request allows fewer.
    pub output: Tokens,
    /// Time to process a prompt.
    pub prefill_time: Duration,
    /// Time to import a KV cache.
    pub transfer_time: Duration,
    /// Time between two output tokens.
    pub token_gap: Duration,
    /// Blocks of KV memory.
    pub blocks: KvBlocks,
    /// Tokens of one block.
    pub tokens_per_block: Tokens,
    /// How long a prefill result waits for its import.
    pub prefill_life: Duration,
    /// A prompt that holds this text crashes the engine.
    pub crash_marker: Option<String>,
    /// Whether orders with an old fencing number are refused.
    pub checks_fencing: bool,
}

impl Default for EngineSettings {
    fn default() -> Self {
        Self {
            model: "verse".to_owned(),
            output: Tokens(8),
            prefill_time: Duration::ZERO,
            transfer_time: Duration::ZERO,
            token_gap: Duration::ZERO,
            blocks: KvBlocks(80),
            tokens_per_block: mimosa_protocol::size::TOKENS_PER_BLOCK,
            prefill_life: Duration::from_millis(800),
            crash_marker: None,
            checks_fencing: true,
        }
    }
}

/// A running engine.
#[derive(Debug)]
pub struct Engine {
    serving: Serving,
    shared: Arc<Shared>,
}

/// What handlers share.
#[derive(Debug)]
pub(crate) struct Shared {
    pub(crate) settings: EngineSettings,
    state: Mutex<State>,
}

impl Shared {
    pub(crate) fn state(&self) -> MutexGuard<'_, State> {
        self.state.lock().expect("no holder of this lock panics")
    }
}

impl Engine {
    /// Starts an engine.
    ///
    /// # Errors
    ///
    /// If the address cannot be bound.
    pub async fn start(listen: SocketAddr, settings: EngineSettings) -> Result<Self> {
        let shared = Arc::new(Shared {
            settings,
            state: Mutex::default(),
        });
        let router = Router::new()
            .route("/v1/chat/completions", post(completion::chat))
            .route("/v1/completions", post(completion::text))
            .route("/v1/kv/{handle}", get(completion::export))
            .route("/v1/cancel", post(report::cancel))
            .route("/v1/load", get(report::load))
            .route("/v1/cache_events", get(report::cache_events))
            .route("/v1/orders", post(report::order))
            .with_state(Arc::clone(&shared));
        let serving = Serving::start(listen, router).await?;
        Ok(Self { serving, shared })
    }

    /// Where it listens.
    pub fn address(&self) -> SocketAddr {
        self.serving.address()
    }

    /// Requests that hold memory now.
    pub fn kv_allocations(&self) -> Vec<KvAllocation> {
        self.shared.state().holds()
    }

    /// How many completions it started to run.
    pub fn runs(&self) -> u64 {
        self.shared.state().runs
    }

    /// Crashes now: everything that it holds is lost and every answer is cut.
    pub fn crash(&self) {
        self.shared.state().crash();
    }

    /// How often it crashed.
    pub fn crashes(&self) -> u64 {
        self.shared.state().incarnation
    }

    /// Every header line that arrived, as `name: value`.
    pub fn received_headers(&self) -> Vec<String> {
        self.shared.state().headers.clone()
    }

    /// Refuses the next requests as busy, before doing anything.
    pub fn refuse_next(&self, count: u32) {
        self.shared.state().refuse_next = count;
    }

    /// Ends the stream of the next requests after one token, without its closing event.
    pub fn truncate_next(&self, count: u32) {
        self.shared.state().truncate_next = count;
    }

    /// Gives the next requests the answer of another request, under that request's name.
    pub fn misdeliver_next(&self, count: u32) {
        self.shared.state().misdeliver_next = count;
    }

    /// Cuts the stream of the next requests after one token.
    pub fn abort_next(&self, count: u32) {
        self.shared.state().abort_next = count;
    }
}

/// Names the request that a response answers.
pub(crate) fn echo(mut response: Response, id: &str) -> Response {
    if let Ok(id) = HeaderValue::from_str(id) {
        response.headers_mut().insert(REQUEST_ID, id);
    }
    response
}

/// Header lines as `name: value`.
pub(crate) fn header_lines(headers: &HeaderMap) -> Vec<String> {
    headers
        .iter()
        .map(|(name, value)| format!("{name}: {}", String::from_utf8_lossy(value.as_bytes())))
        .collect()
}

/// A response whose body fails at once: the client sees a cut connection.
pub(crate) fn cut_connection() -> Response {
    let cut = stream::once(async { Err::<axum::body::Bytes, _>(std::io::Error::other("cut")) });
    Response::new(Body::from_stream(cut))
}
