//! A fake inference engine with the HTTP interface that a router uses: prefill with KV export,
//! decode with KV import, streaming, cancellation, load reports, cache events, fenced orders.

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

use crate::serve::Server;

pub mod api;
mod completion;
pub mod output;
mod report;
mod state;

pub use self::state::KvAllocation;
use self::state::State;

/// Header with the request id.
pub(crate) const REQUEST_ID: &str = "x-request-id";
/// Request id of a misdelivered response; no caller of the stand-in uses it.
pub(crate) const OTHER_REQUEST: &str = "other-1";
/// Prompt of the request that a misdelivered response belongs to.
pub const OTHER_PROMPT: &str = "the prompt of another request";

/// Configuration of a stand-in engine.
#[derive(Clone, Debug)]
pub struct EngineSettings {
    /// Model name in the responses. A request for another model is served too.
    pub model: String,
    /// Output tokens of a completion, unless the request sets a lower limit.
    pub output: Tokens,
    /// Duration of a prefill, whatever the length of its prompt.
    pub prefill_time: Duration,
    /// Duration of a KV cache import.
    pub transfer_time: Duration,
    /// Interval between two output tokens; zero generates them without a delay.
    pub token_gap: Duration,
    /// KV cache capacity, in blocks. A request that does not fit is rejected as busy.
    pub blocks: KvBlocks,
    /// Tokens that fit in one block.
    pub tokens_per_block: Tokens,
    /// How long a prefill result is kept for its import before it is released.
    pub prefill_life: Duration,
    /// A prompt that contains this text crashes the engine.
    pub crash_marker: Option<String>,
    /// Whether orders with an outdated fencing token are rejected.
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

/// A running stand-in engine. Dropping it closes every connection.
#[derive(Debug)]
pub struct Engine {
    server: Server,
    shared: Arc<Shared>,
}

/// State shared by the request handlers.
#[derive(Debug)]
pub(crate) struct Shared {
    pub(crate) settings: EngineSettings,
    state: Mutex<State>,
}

impl Shared {
    pub(crate) fn state(&self) -> MutexGuard<'_, State> {
        self.state.lock().expect("the lock is not poisoned")
    }
}

impl Engine {
    /// Starts an engine that listens on `listen`. Port 0 selects a free port.
    ///
    /// # Errors
    ///
    /// [`Error::Network`](mimosa_protocol::Error::Network) if the address cannot be bound.
    pub async fn start(listen: SocketAddr, settings: EngineSettings) -> Result<Self> {
        let shared = Arc::new(Shared {
            settings,
            state: Mutex::default(),
        });
        let router = Router::new()
            .route("/v1/chat/completions", post(completion::chat_completion))
            .route("/v1/completions", post(completion::text_completion))
            .route("/v1/kv/{handle}", get(completion::export_kv))
            .route("/v1/cancel", post(report::cancel))
            .route("/v1/load", get(report::load))
            .route("/v1/cache_events", get(report::cache_events))
            .route("/v1/orders", post(report::order))
            .with_state(Arc::clone(&shared));
        let server = Server::start(listen, router).await?;
        Ok(Self { server, shared })
    }

    /// The bound address, with the selected port if port 0 was requested.
    pub fn address(&self) -> SocketAddr {
        self.server.address()
    }

    /// KV cache allocations of running completions, and of prefill results that are not imported
    /// yet.
    pub fn kv_allocations(&self) -> Vec<KvAllocation> {
        self.shared.state().allocations()
    }

    /// Number of completions that started to run, prefills included. Crashes do not reset it.
    pub fn runs(&self) -> u64 {
        self.shared.state().runs
    }

    /// Simulates a crash and restart: all allocations are lost and every response in progress is
    /// aborted. The engine keeps its address.
    pub fn crash(&self) {
        self.shared.state().crash();
    }

    /// Number of crashes so far, which load reports give as the incarnation.
    pub fn crashes(&self) -> u64 {
        self.shared.state().incarnation
    }

    /// The headers of all completion requests in the order of arrival, as `name: value`.
    pub fn received_headers(&self) -> Vec<String> {
        self.shared.state().received_headers.clone()
    }

    /// Rejects the next `count` completion requests with status 503, before running them.
    pub fn refuse_next(&self, count: u32) {
        self.shared.state().refuse_next = count;
    }

    /// Ends the streams of the next `count` decode requests after one token, without the `[DONE]`
    /// event. Responses that are not streamed are counted, but stay complete.
    pub fn truncate_next(&self, count: u32) {
        self.shared.state().truncate_next = count;
    }

    /// Answers the next `count` completion requests with the response of another request, under
    /// its request id.
    pub fn misdeliver_next(&self, count: u32) {
        self.shared.state().misdeliver_next = count;
    }

    /// Aborts the connections of the next `count` decode requests: streams after one token, other
    /// responses before their body.
    pub fn abort_next(&self, count: u32) {
        self.shared.state().abort_next = count;
    }
}

/// Adds the request id header to a response.
pub(crate) fn with_request_id(mut response: Response, id: &str) -> Response {
    if let Ok(id) = HeaderValue::from_str(id) {
        response.headers_mut().insert(REQUEST_ID, id);
    }
    response
}

/// Formats headers as `name: value` lines.
pub(crate) fn header_lines(headers: &HeaderMap) -> Vec<String> {
    headers
        .iter()
        .map(|(name, value)| format!("{name}: {}", String::from_utf8_lossy(value.as_bytes())))
        .collect()
}

/// A response whose body fails at once, so that the client sees an aborted connection.
pub(crate) fn abort_connection() -> Response {
    let body =
        stream::once(async { Err::<axum::body::Bytes, _>(std::io::Error::other("aborted")) });
    Response::new(Body::from_stream(body))
}
