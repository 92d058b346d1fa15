//! The configuration of routes, services and client accounts.

use std::time::Duration;

use mimosa_protocol::AccountId;
use mimosa_protocol::ByteRate;
use mimosa_protocol::ByteSize;
use mimosa_protocol::ServiceId;
use mimosa_protocol::Tokens;
use mimosa_protocol::data;
use mimosa_protocol::quantity;

quantity! {
    /// Counts the configurations of an outside system. The highest one is in force.
    DocumentVersion(u64);
}

data! {
    /// Everything that is adopted under one version.
    #[derive(Default)]
    pub struct RoutingConfiguration {
        /// Its version.
        pub version: DocumentVersion,
        /// The routes.
        pub routes: Vec<Route>,
        /// The services that routes may name.
        pub services: Vec<RoutedService>,
        /// The client accounts. Without any, no request needs a key.
        pub accounts: Vec<RoutedAccount>,
        /// What callers may send.
        pub limits: ClientLimits,
    }

    /// Where the requests of one host and path prefix go.
    pub struct Route {
        /// Its name.
        pub name: String,
        /// The host, without a port.
        pub host: String,
        /// The start of the path; begins and ends with a slash.
        pub path_prefix: String,
        /// What may be repeated.
        pub retry_policy: RetryPolicy,
        /// Longest time for a request.
        pub timeout: Duration,
        /// Time to the answer, or to the first event of a stream, that is promised.
        pub latency_target: Duration,
        /// Longest pause between two events of a stream that is promised.
        pub event_gap_target: Option<Duration>,
        /// Rank; 0 is the most urgent.
        pub priority: u8,
        /// The services that it is split over.
        pub split: Vec<WeightedService>,
        /// Endpoints to which one request may be sent.
        pub max_attempts: u32,
        /// Whether callers need no key.
        pub allows_anonymous: bool,
        /// Whether its requests carry the parts of a prompt.
        pub carries_prompt: bool,
    }

    /// What may be repeated after a request may have run.
    #[derive(Copy)]
    pub enum RetryPolicy {
        /// Anything.
        Idempotent,
        /// Nothing.
        Never,
        /// Nothing; the answer is a stream of events.
        Stream,
        /// The stream, from the event after the last one that arrived.
        ResumableStream,
    }

    /// A part of a split route.
    pub struct WeightedService {
        /// The service.
        pub service: ServiceId,
        /// Its share of the requests, relative to the other parts.
        pub weight: u32,
    }

    /// A service.
    pub struct RoutedService {
        /// Its name.
        pub id: ServiceId,
        /// Path of the health check.
        pub health_path: String,
        /// Connections that one endpoint accepts from all callers together.
        pub max_connections: u32,
        /// How endpoints start.
        pub cold_start: ColdStart,
        /// What is known of its engines; nothing for plain services.
        pub engine: Option<EngineSpec>,
    }

    /// What an endpoint bears just after its start.
    #[derive(Copy, Default)]
    pub struct ColdStart {
        /// How long an endpoint stays cold.
        pub duration: Duration,
        /// Requests in a thousand seconds that a cold endpoint bears; 0 if it is never cold.
        pub per_kilosecond: u64,
    }

    /// What is known of the engines of a service.
    #[derive(Copy)]
    pub struct EngineSpec {
        /// Requests at once.
        pub slots: u32,
        /// KV memory.
        pub kv_capacity: Tokens,
        /// Size of the KV cache of one token.
        pub bytes_per_token: ByteSize,
        /// Rate of the link for KV transfers.
        pub link_rate: ByteRate,
        /// How long the result of a prefill is kept for its decode.
        pub kv_ttl: Duration,
        /// Time that an engine takes to change its role.
        pub role_change_time: Duration,
        /// Output tokens in one event of a stream.
        pub tokens_per_event: Tokens,
    }

    /// A client account.
    pub struct RoutedAccount {
        /// Its name.
        pub id: AccountId,
        /// The secrets that its callers show.
        pub keys: Vec<String>,
        /// Rank that goes before the route's; 0 is the most urgent.
        pub priority: Option<u8>,
        /// Its quota, if it has one.
        pub quota: Option<AccountQuota>,
    }

    /// Tokens that an account may use.
    #[derive(Copy)]
    pub struct AccountQuota {
        /// Tokens a second, all instances together.
        pub rate: Tokens,
        /// Tokens that may run ahead of the rate.
        pub burst: Tokens,
        /// Tokens that a request without a token count stands for.
        pub default_cost: Tokens,
    }

    /// What callers may send.
    #[derive(Copy)]
    pub struct ClientLimits {
        /// Size of a request's head.
        pub max_head: ByteSize,
        /// Size of a request's body.
        pub max_body: ByteSize,
        /// Time to send a head.
        pub head_timeout: Duration,
        /// Time that a connection may stay idle.
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
    /// Whether a request may run on another endpoint after it may have run on one.
    pub const fn allows_second_run(self) -> bool {
        matches!(self, Self::Idempotent)
    }

    /// Whether a stream may go on at another endpoint, behind the last event that arrived.
    pub const fn may_resume(self) -> bool {
        matches!(self, Self::ResumableStream)
    }

    /// Whether the answer is a stream of events.
    pub const fn is_stream(self) -> bool {
        matches!(self, Self::Stream | Self::ResumableStream)
    }
}
