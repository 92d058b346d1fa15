//! Abstraction of the HTTP headers and bodies that clients and endpoints use.

use std::fmt;
use std::time::Duration;

use bytes::Bytes;
use hyper::HeaderMap;
use hyper::Method;
use hyper::StatusCode;
use mimosa_protocol::AccountId;
use mimosa_protocol::EndpointId;
use mimosa_protocol::RequestRate;
use mimosa_protocol::Tokens;

/// Metadata from the headers of a client request.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct RequestMetadata {
    /// Identifier that the client assigned to this attempt; empty if it sent none.
    pub attempt_id: String,
    /// Time for which the client waits for a response; the route's timeout applies if it is
    /// shorter.
    pub client_timeout: Option<Duration>,
    /// API key that identifies the client's account.
    pub api_key: Option<String>,
    /// Number of prompt tokens, as stated by the client.
    pub prompt_tokens: Option<Tokens>,
    /// Maximum number of output tokens, as stated by the client.
    pub max_output_tokens: Option<Tokens>,
    /// The client's estimate of the number of output tokens; may be far off.
    pub expected_output_tokens: Option<Tokens>,
    /// Parts of the prompt that other requests may contain as well, in order.
    pub shared_parts: Vec<PromptPartId>,
    /// Last part of the prompt, which belongs to this request or to its session.
    pub own_part: Option<PromptPartId>,
}

/// Identifier that clients give to a part of a prompt; equal for the same content.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct PromptPartId(pub String);

impl fmt::Display for PromptPartId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.pad(&self.0)
    }
}

impl RequestMetadata {
    /// The shared parts for log lines, separated by commas; `none` without any.
    pub(crate) fn shared_parts_text(&self) -> String {
        match self.shared_parts.as_slice() {
            [] => "none".to_owned(),
            parts => parts
                .iter()
                .map(|part| part.0.as_str())
                .collect::<Vec<_>>()
                .join(","),
        }
    }
}

/// Parameters of one call to an endpoint.
#[derive(Clone, Debug)]
pub struct OutgoingCall<'a> {
    /// Account on whose behalf the call is made; `None` for anonymous requests.
    pub account: Option<&'a AccountId>,
    /// Time until the deadline of the request.
    pub time_left: Duration,
    /// Intended endpoint. A different endpoint at the same address must not execute the call.
    pub endpoint: &'a EndpointId,
    /// Part of the request's work that the endpoint performs.
    pub step: Step,
}

/// Division of a request's work between endpoints.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Step {
    /// The complete request.
    Full,
    /// The prefill only; the endpoint keeps the KV cache until a decode fetches it, it is released,
    /// or its time to live ends.
    Prefill,
    /// The decode, which fetches the KV cache from the endpoint that ran the prefill.
    Decode(KvSource),
}

/// Location of a KV cache at a prefill endpoint.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct KvSource {
    /// Address of the endpoint as `ip:port`.
    pub address: String,
    /// Handle that the endpoint assigned to the KV cache.
    pub handle: String,
}

/// A call whose response has arrived.
#[derive(Clone, Copy, Debug)]
pub struct SentCall<'a> {
    /// The client's attempt identifier, which endpoints echo.
    pub attempt: &'a str,
    /// Part of the request's work that was requested.
    pub step: &'a Step,
    /// Whether it was the first call on its connection, so that the response cannot belong to an
    /// earlier one.
    pub is_first: bool,
}

/// Classification of a response by its status and headers.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ResponseClass {
    /// The intended endpoint's response to this request.
    Verified,
    /// The request was not executed: the endpoint is full, shutting down, or not the intended one.
    NotRun,
    /// The response belongs to another request, or is not the endpoint's unmodified response.
    Unverified,
}

/// Load that an endpoint reports about itself.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ReportedLoad {
    /// Number of running requests, from all gateways.
    pub running: u32,
    /// Number of requests queued at the endpoint, from all gateways.
    pub waiting: u32,
}

/// What an endpoint asks of all its senders in a response.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct SenderAdvice {
    /// Highest rate at which all senders together may send requests, until a response names none.
    pub max_rate: Option<RequestRate>,
    /// Whether the endpoint is about to stop and wants no further requests.
    pub is_leaving: bool,
    /// Time for which the endpoint, which declined the request, wants none of this sender.
    pub pause: Option<Duration>,
}

/// Reads and writes the header and body conventions of clients and endpoints.
pub trait Dialect: Send + Sync + 'static {
    /// Extracts the metadata of a client request. Missing and malformed values are left empty.
    fn read_request(&self, headers: &HeaderMap) -> RequestMetadata;

    /// Rewrites client headers for an endpoint: removes headers that clients may not set and adds
    /// those of the call.
    fn rewrite_headers(&self, headers: &mut HeaderMap, call: &OutgoingCall<'_>);

    /// Classifies the response to a call.
    fn classify(
        &self,
        call: &SentCall<'_>,
        status: StatusCode,
        headers: &HeaderMap,
    ) -> ResponseClass;

    /// The load that the endpoint reports in a response; `None` if it reports none.
    fn reported_load(&self, headers: &HeaderMap) -> Option<ReportedLoad>;

    /// How long work takes at the endpoint at this moment, in percent of the usual time, as the
    /// endpoint states in a response; `None` if it does not.
    fn stated_percent(&self, headers: &HeaderMap) -> Option<u16>;

    /// What the endpoint asks of its senders in a response.
    fn advice(&self, status: StatusCode, headers: &HeaderMap) -> SenderAdvice;

    /// Identifier of the last stream event that the client already has; `None` if the stream starts
    /// from the beginning.
    fn last_event_id(&self, headers: &HeaderMap) -> Option<String>;

    /// Sets the header that requests the stream from the event after `id`.
    fn set_last_event_id(&self, headers: &mut HeaderMap, id: &str);

    /// Extracts the KV cache handle from the response to a prefill; `None` if it contains none.
    fn parse_prefill_handle(&self, body: &[u8]) -> Option<String>;

    /// Method and path of the call that releases a KV cache.
    fn release_request(&self, handle: &str) -> (Method, String);

    /// Whether a path is the one that readiness probes request.
    fn is_readiness_path(&self, path: &str) -> bool;

    /// Body of an error response generated by the gateway, sent as `application/problem+json`.
    fn problem_body(&self, status: StatusCode, reason: &str) -> Bytes;
}
