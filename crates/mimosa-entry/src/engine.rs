//! What an entry asks of engines and plain services.

use std::net::SocketAddr;
use std::pin::Pin;

use axum::body::Body;
use axum::http::HeaderMap;
use axum::http::Method;
use axum::http::StatusCode;
use bytes::Bytes;
use mimosa_protocol::ExecutionStatus;
use mimosa_protocol::Incarnation;
use mimosa_protocol::KvBlocks;
use mimosa_protocol::RefusalReason;
use mimosa_protocol::RequestId;
use mimosa_protocol::Tokens;

use crate::call::ModelCall;

pub(crate) mod http;

/// A future that a trait object returns.
pub(crate) type BoxFuture<'a, T> = Pin<Box<dyn Future<Output = T> + Send + 'a>>;

/// One run of a request at an endpoint. Endpoints see this name, never the caller's.
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

/// Where a KV cache waits.
#[derive(Clone, Debug)]
pub(crate) struct KvSource {
    pub(crate) address: SocketAddr,
    pub(crate) handle: String,
    pub(crate) prompt: Option<Tokens>,
}

/// An answer whose head has arrived.
#[derive(Debug)]
pub(crate) struct Answer {
    pub(crate) status: StatusCode,
    pub(crate) headers: HeaderMap,
    pub(crate) body: Body,
}

/// Why an endpoint gave no answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct EngineFailure {
    pub(crate) reason: RefusalReason,
    /// What the endpoint did of the request.
    pub(crate) ran: ExecutionStatus,
    /// Whether the endpoint itself seems to be gone.
    pub(crate) lost: bool,
}

impl EngineFailure {
    /// The endpoint said that it did nothing.
    pub(crate) const BUSY: Self = Self {
        reason: RefusalReason::NoEndpoint,
        ran: ExecutionStatus::No,
        lost: false,
    };
    /// No connection came about, so that no byte of the request left.
    pub(crate) const UNREACHABLE: Self = Self {
        reason: RefusalReason::NoEndpoint,
        ran: ExecutionStatus::No,
        lost: true,
    };
    /// The connection was cut after the request had left.
    pub(crate) const CUT: Self = Self {
        reason: RefusalReason::EndpointFailed,
        ran: ExecutionStatus::Unknown,
        lost: true,
    };
    /// The endpoint stayed silent for too long.
    pub(crate) const SILENT: Self = Self {
        reason: RefusalReason::Timeout,
        ran: ExecutionStatus::Unknown,
        lost: false,
    };
    /// The endpoint answered with something that is no answer to this request.
    pub(crate) const CROSSED: Self = Self {
        reason: RefusalReason::EndpointFailed,
        ran: ExecutionStatus::Unknown,
        lost: false,
    };
    /// The endpoint said that it failed.
    pub(crate) const FAILED: Self = Self {
        reason: RefusalReason::EndpointFailed,
        ran: ExecutionStatus::Failed,
        lost: false,
    };
}

/// A load report.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct EngineLoad {
    pub(crate) incarnation: Incarnation,
    pub(crate) running: u32,
    pub(crate) waiting: u32,
    pub(crate) used: KvBlocks,
}

/// A call to a plain service.
#[derive(Clone, Debug)]
pub(crate) struct PlainCall {
    pub(crate) attempt: AttemptId,
    pub(crate) method: Method,
    pub(crate) path: String,
    pub(crate) headers: HeaderMap,
    pub(crate) body: Bytes,
}

/// Engines and plain services.
pub(crate) trait Engine: Send + Sync {
    /// Turns a prompt into a KV cache that waits for its import.
    fn prefill<'a>(
        &'a self,
        to: SocketAddr,
        attempt: AttemptId,
        call: &'a ModelCall,
    ) -> BoxFuture<'a, Result<KvSource, EngineFailure>>;

    /// Imports a KV cache, if there is one, and generates the output.
    fn decode<'a>(
        &'a self,
        to: SocketAddr,
        attempt: AttemptId,
        call: &'a ModelCall,
        kv: Option<KvSource>,
    ) -> BoxFuture<'a, Result<Answer, EngineFailure>>;

    /// Calls a plain service.
    fn plain(
        &self,
        to: SocketAddr,
        call: PlainCall,
    ) -> BoxFuture<'_, Result<Answer, EngineFailure>>;

    /// Frees whatever an attempt holds. Returns whether the endpoint confirmed it.
    fn cancel(&self, to: SocketAddr, attempt: AttemptId) -> BoxFuture<'_, bool>;

    /// Asks for a load report.
    fn load(&self, to: SocketAddr) -> BoxFuture<'_, Result<EngineLoad, EngineFailure>>;
}
