//! The border to the headers and bodies that callers and endpoints use.

use std::time::Duration;

use bytes::Bytes;
use hyper::HeaderMap;
use hyper::Method;
use hyper::StatusCode;
use mimosa_protocol::AccountId;
use mimosa_protocol::EndpointId;
use mimosa_protocol::Tokens;

/// What a request's head tells about it.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct RequestMetadata {
    /// The caller's name for this try; empty if it gave none.
    pub attempt_id: String,
    /// How long the caller waits.
    pub client_timeout: Option<Duration>,
    /// The key that the caller shows.
    pub api_key: Option<String>,
    /// Prompt size.
    pub prompt_tokens: Option<Tokens>,
    /// Most output tokens.
    pub max_output_tokens: Option<Tokens>,
    /// The caller's estimate of the output tokens.
    pub expected_output_tokens: Option<Tokens>,
}

/// One call to an endpoint.
#[derive(Clone, Debug)]
pub struct OutgoingCall<'a> {
    /// Whom it runs for.
    pub account: Option<&'a AccountId>,
    /// How long the endpoint may work.
    pub time_left: Duration,
    /// The endpoint that is meant: another one at the same address must not run it.
    pub endpoint: &'a EndpointId,
    /// Which part of the work is asked for.
    pub step: Step,
}

/// Which part of a request's work an endpoint is asked for.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Step {
    /// All of it.
    Full,
    /// Only the prefill.
    Prefill,
    /// The decode, from a KV cache that another endpoint holds.
    Decode(KvSource),
}

/// A KV cache that waits at an endpoint.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct KvSource {
    /// The endpoint's address, `ip:port`.
    pub address: String,
    /// Its name for the KV cache.
    pub handle: String,
}

/// What the head of an endpoint's answer means.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ResponseClass {
    /// The endpoint's answer to this request.
    Verified,
    /// The endpoint did not run the request: it is full, leaving, or somebody else.
    NotRun,
    /// It is no answer to this request, or not the endpoint's own bytes.
    Unverified,
}

/// How busy an endpoint says it is.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ReportedLoad {
    /// Requests running.
    pub running: u32,
    /// Requests waiting.
    pub waiting: u32,
}

/// How callers and endpoints write what the gateway has to know.
pub trait Dialect: Send + Sync + 'static {
    /// Reads a caller's head.
    fn read_request(&self, headers: &HeaderMap) -> RequestMetadata;

    /// Rewrites a caller's headers for an endpoint: drops what a caller may not set, and adds the
    /// call's own.
    fn rewrite_headers(&self, headers: &mut HeaderMap, call: &OutgoingCall<'_>);

    /// What the head of an answer to a call means.
    fn classify(
        &self,
        attempt: &str,
        step: &Step,
        status: StatusCode,
        headers: &HeaderMap,
    ) -> ResponseClass;

    /// How busy the endpoint says it is.
    fn reported_load(&self, headers: &HeaderMap) -> Option<ReportedLoad>;

    /// The id of the last event of a stream that a caller has already.
    fn last_event_id(&self, headers: &HeaderMap) -> Option<String>;

    /// Asks for a stream to go on behind an event.
    fn set_last_event_id(&self, headers: &mut HeaderMap, id: &str);

    /// Reads the answer to a prefill: the name of the KV cache.
    fn parse_prefill_handle(&self, body: &[u8]) -> Option<String>;

    /// The call that frees a KV cache.
    fn release_request(&self, handle: &str) -> (Method, String);

    /// Whether a path asks for readiness.
    fn is_readiness_path(&self, path: &str) -> bool;

    /// The body of an answer of the gateway's own.
    fn problem_body(&self, status: StatusCode, reason: &str) -> Bytes;
}
