//! The interface to engines and plain services.

use std::net::SocketAddr;
use std::pin::Pin;

use axum::body::Body;
use axum::http::HeaderMap;
use axum::http::Method;
use axum::http::StatusCode;
use bytes::Bytes;
use mimosa_hold::retry::Evidence;
use mimosa_hold::retry::Progress;
use mimosa_hold::retry::execution_status;
use mimosa_protocol::ExecutionStatus;
use mimosa_protocol::Incarnation;
use mimosa_protocol::KvBlocks;
use mimosa_protocol::RefusalReason;
use mimosa_protocol::RequestId;
use mimosa_protocol::Tokens;

use crate::model_request::ModelRequest;

mod event_stream;
pub(crate) mod http;

/// A boxed future, for methods of trait objects.
pub(crate) type BoxFuture<'a, T> = Pin<Box<dyn Future<Output = T> + Send + 'a>>;

/// Identifies one attempt of a request. Endpoints see this id, never the one that the caller sent.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) struct AttemptId {
    pub(crate) request: RequestId,
    pub(crate) number: u32,
}

impl std::fmt::Display for AttemptId {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        write!(f, "{}-{}", self.request, self.number)
    }
}

/// Where a KV cache can be imported from.
#[derive(Clone, Debug)]
pub(crate) struct KvSource {
    /// Address of the prefill engine that exports it.
    pub(crate) address: SocketAddr,
    /// Identifies the cache at the prefill engine.
    pub(crate) handle: String,
    /// Size of the prompt, if the engine reported it.
    pub(crate) prompt_tokens: Option<Tokens>,
}

/// A response whose headers have arrived.
#[derive(Debug)]
pub(crate) struct EngineResponse {
    pub(crate) status: StatusCode,
    pub(crate) headers: HeaderMap,
    pub(crate) body: Body,
    /// Whether the body has neither a length nor chunks and ends with its connection.
    pub(crate) ends_with_connection: bool,
}

/// Why an endpoint gave no usable response.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct EngineFailure {
    pub(crate) reason: RefusalReason,
    /// Whether the endpoint executed the request.
    pub(crate) ran: ExecutionStatus,
    /// Whether the endpoint itself seems to be down.
    pub(crate) endpoint_down: bool,
}

impl EngineFailure {
    /// The endpoint declined the request and did not execute it.
    pub(crate) const DECLINED: Self = Self {
        reason: RefusalReason::NoEndpoint,
        ran: ExecutionStatus::No,
        endpoint_down: false,
    };
    /// No connection could be established, so no byte of the request was sent.
    pub(crate) const UNREACHABLE: Self = Self {
        reason: RefusalReason::NoEndpoint,
        ran: ExecutionStatus::No,
        endpoint_down: true,
    };
    /// The connection was lost after the request had been sent.
    pub(crate) const DISCONNECTED: Self = Self {
        reason: RefusalReason::EndpointFailed,
        ran: ExecutionStatus::Unknown,
        endpoint_down: true,
    };
    /// The endpoint did not respond in time.
    pub(crate) const TIMED_OUT: Self = Self {
        reason: RefusalReason::Timeout,
        ran: ExecutionStatus::Unknown,
        endpoint_down: false,
    };
    /// The response does not belong to this request or cannot be parsed.
    pub(crate) const WRONG_RESPONSE: Self = Self {
        reason: RefusalReason::EndpointFailed,
        ran: ExecutionStatus::Unknown,
        endpoint_down: false,
    };
    /// The endpoint reported an error.
    pub(crate) const FAILED: Self = Self {
        reason: RefusalReason::EndpointFailed,
        ran: ExecutionStatus::Failed,
        endpoint_down: false,
    };

    /// This entry aborted the attempt, which had got this far.
    pub(crate) const fn aborted(progress: Progress) -> Self {
        Self {
            reason: RefusalReason::EndpointFailed,
            ran: execution_status(progress, Evidence::Nothing),
            endpoint_down: false,
        }
    }
}

/// An engine's load report.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct EngineLoad {
    /// Differs after each restart of the engine.
    pub(crate) incarnation: Incarnation,
    /// Number of requests being processed.
    pub(crate) running: u32,
    /// Number of requests queued at the engine.
    pub(crate) waiting: u32,
    /// KV cache blocks in use.
    pub(crate) used_blocks: KvBlocks,
}

/// A request to a plain service.
#[derive(Clone, Debug)]
pub(crate) struct PlainRequest {
    pub(crate) attempt: AttemptId,
    pub(crate) method: Method,
    /// Path and query, starting with a slash.
    pub(crate) path: String,
    pub(crate) headers: HeaderMap,
    pub(crate) body: Bytes,
}

/// Client of engines and plain services.
pub(crate) trait EngineClient: Send + Sync {
    /// Computes the KV cache of a prompt, which the engine keeps for import by a decode engine.
    fn prefill<'a>(
        &'a self,
        to: SocketAddr,
        attempt: AttemptId,
        request: &'a ModelRequest,
    ) -> BoxFuture<'a, Result<KvSource, EngineFailure>>;

    /// Generates the output, importing the KV cache if one is given.
    fn decode<'a>(
        &'a self,
        to: SocketAddr,
        attempt: AttemptId,
        request: &'a ModelRequest,
        kv: Option<KvSource>,
    ) -> BoxFuture<'a, Result<EngineResponse, EngineFailure>>;

    /// Sends a request to a plain service. Returns any response, whatever its status.
    fn plain(
        &self,
        to: SocketAddr,
        request: PlainRequest,
    ) -> BoxFuture<'_, Result<EngineResponse, EngineFailure>>;

    /// Whether no process listens at an address.
    fn refuses_connections(&self, to: SocketAddr) -> BoxFuture<'_, bool>;

    /// Cancels an attempt and frees its memory. Returns whether the endpoint confirmed it.
    fn cancel(&self, to: SocketAddr, attempt: AttemptId) -> BoxFuture<'_, bool>;

    /// Requests a load report from an engine.
    fn load(&self, to: SocketAddr) -> BoxFuture<'_, Result<EngineLoad, EngineFailure>>;
}
