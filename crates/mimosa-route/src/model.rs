//! Configuration model of routes, services and client accounts.

use std::time::Duration;

use mimosa_protocol::AccountId;
use mimosa_protocol::ByteRate;
use mimosa_protocol::ByteSize;
use mimosa_protocol::ServiceId;
use mimosa_protocol::Tokens;
use mimosa_protocol::data;
use mimosa_protocol::quantity;

quantity! {
    /// Version number assigned by the external system that manages the configuration. The highest
    /// version is in effect.
    DocumentVersion(u64);
}

data! {
    /// A complete routing configuration, adopted as a unit.
    #[derive(Default)]
    pub struct RoutingConfiguration {
        /// Version under which the configuration was submitted.
        pub version: DocumentVersion,
        /// Routing rules; no two have the same host and path prefix.
        pub routes: Vec<Route>,
        /// Services, at least those that routes refer to.
        pub services: Vec<RoutedService>,
        /// Client accounts. If empty, requests need no API key.
        pub accounts: Vec<RoutedAccount>,
        /// Limits for the requests and connections of all clients.
        pub limits: ClientLimits,
    }

    /// Routing rule for requests of one host and path prefix.
    pub struct Route {
        /// Name in logs and error messages; need not be unique.
        pub name: String,
        /// Host name without a port; compared without regard to case.
        pub host: String,
        /// Path prefix; begins and ends with a slash.
        pub path_prefix: String,
        /// When a request may be sent to another endpoint.
        pub retry_policy: RetryPolicy,
        /// Upper bound for the total duration of a request; greater than zero.
        pub timeout: Duration,
        /// Target for the time to the response, or to the first event of a stream.
        pub latency_target: Duration,
        /// Target for the longest pause between two events of a stream.
        pub event_gap_target: Option<Duration>,
        /// Scheduling priority; 0 is the highest.
        pub priority: u8,
        /// Services that share the traffic of the route; their weights add up to more than 0.
        pub split: Vec<WeightedService>,
        /// Number of endpoints to which one request may be sent.
        pub max_attempts: u32,
        /// Whether requests are accepted without an API key.
        pub allows_anonymous: bool,
        /// Whether requests carry the parts of a prompt.
        pub carries_prompt: bool,
    }

    /// What may be retried once a request may have been executed.
    #[derive(Copy)]
    pub enum RetryPolicy {
        /// The whole request, on any endpoint.
        Idempotent,
        /// Nothing: the request has side effects.
        Never,
        /// Nothing; the response is an event stream.
        Stream,
        /// The event stream, from the event after the last one received.
        ResumableStream,
    }

    /// Share of a route's traffic that goes to one service.
    pub struct WeightedService {
        /// Receiving service; one of [`RoutingConfiguration::services`].
        pub service: ServiceId,
        /// Share of the requests, relative to the weights of the other services.
        pub weight: u32,
    }

    /// A service with its limits and engine properties.
    pub struct RoutedService {
        /// Name by which routes refer to the service; unique.
        pub id: ServiceId,
        /// HTTP path of the endpoints' health check.
        pub health_path: String,
        /// Connections that one endpoint accepts from all clients combined.
        pub max_connections: u32,
        /// Reduced capacity of endpoints after a start.
        pub cold_start: ColdStart,
        /// Inference engine properties; `None` for plain HTTP services.
        pub engine: Option<EngineSpec>,
    }

    /// Reduced request rate that an endpoint sustains after a start.
    #[derive(Copy, Default)]
    pub struct ColdStart {
        /// Time from the start of an endpoint until it is warm.
        pub duration: Duration,
        /// Requests per 1000 s that a cold endpoint sustains; 0 if endpoints need no warm-up.
        pub per_kilosecond: u64,
    }

    /// Properties of the inference engines of a service.
    #[derive(Copy)]
    pub struct EngineSpec {
        /// Number of requests that one engine runs concurrently.
        pub slots: u32,
        /// Capacity of one engine's KV cache, in tokens.
        pub kv_capacity: Tokens,
        /// Size of the KV cache entries of one token, for the time that a transfer takes.
        pub bytes_per_token: ByteSize,
        /// Bandwidth of an engine's link for KV cache transfers.
        pub link_rate: ByteRate,
        /// Time for which a prefill endpoint keeps the KV cache for the decode.
        pub kv_ttl: Duration,
        /// Time that an engine needs to change its role.
        pub role_change_time: Duration,
        /// Output tokens per event of a stream.
        pub tokens_per_event: Tokens,
    }

    /// A client account with its API keys and quota.
    pub struct RoutedAccount {
        /// Name of the account, as it is passed on to endpoints; unique.
        pub id: AccountId,
        /// API keys that identify the account; no other account has them.
        pub keys: Vec<String>,
        /// Scheduling priority that overrides the route's; 0 is the highest.
        pub priority: Option<u8>,
        /// Token quota; `None` means unlimited.
        pub quota: Option<AccountQuota>,
    }

    /// Token bucket quota of an account.
    #[derive(Copy)]
    pub struct AccountQuota {
        /// Tokens per second, summed over all instances.
        pub rate: Tokens,
        /// Bucket size: tokens that may be used in a burst above the rate.
        pub burst: Tokens,
        /// Tokens charged for a request that states no token count.
        pub default_cost: Tokens,
    }

    /// Size and time limits for client requests.
    #[derive(Copy)]
    pub struct ClientLimits {
        /// Maximum size of a request head; larger ones get status 431.
        pub max_head: ByteSize,
        /// Maximum size of a request body; larger ones get status 413.
        pub max_body: ByteSize,
        /// Time within which a request head must arrive after its first byte.
        pub head_timeout: Duration,
        /// Time for which a connection may stay idle between requests.
        pub idle_timeout: Duration,
    }
}

impl Default for ClientLimits {
    fn default() -> Self {
        Self {
            max_head: ByteSize(16 << 10),
            max_body: ByteSize(4 << 20),
            head_timeout: Duration::from_secs(3),
            idle_timeout: Duration::from_secs(15),
        }
    }
}

impl RetryPolicy {
    /// Whether a request may be executed again after it may have run on another endpoint.
    pub const fn allows_rerun(self) -> bool {
        matches!(self, Self::Idempotent)
    }

    /// Whether a stream may resume at another endpoint after the last received event.
    pub const fn allows_resume(self) -> bool {
        matches!(self, Self::ResumableStream)
    }

    /// Whether the response is an event stream.
    pub const fn is_stream(self) -> bool {
        matches!(self, Self::Stream | Self::ResumableStream)
    }
}
