//! Input events of a scheduling policy.

use std::time::Duration;

use mimosa_protocol::AccountId;
use mimosa_protocol::EndpointId;
use mimosa_protocol::Epoch;
use mimosa_protocol::Incarnation;
use mimosa_protocol::InstanceId;
use mimosa_protocol::KvBlocks;
use mimosa_protocol::RequestId;
use mimosa_protocol::Timestamp;
use mimosa_protocol::Tokens;
use mimosa_protocol::configuration::DataCentre;
use mimosa_protocol::configuration::Endpoint;
use mimosa_protocol::configuration::Service;
use mimosa_protocol::data;

use crate::Grant;

data! {
    /// An input event of a policy. The driver passes it in with the time of its arrival.
    pub enum Event {
        /// The configuration of the service changed. The new view replaces the previous one.
        Configure(Box<View>),
        /// A request joins the queue.
        Submit(Submission),
        /// The client disconnected: the request is removed from the queue or its attempt is
        /// aborted.
        Cancel {
            /// Queued or running request; others are ignored.
            request: RequestId,
        },
        /// The prefill endpoint finished processing the prompt.
        Prefilled {
            /// Running request; others are ignored.
            request: RequestId,
        },
        /// The KV cache arrived at the decode endpoint. Implies [`Event::Prefilled`], which may have
        /// been lost.
        Transferred {
            /// Running request; others are ignored.
            request: RequestId,
        },
        /// The decode endpoint produced output. Implies [`Event::Transferred`], which may have been
        /// lost.
        Progress {
            /// Running request; others are ignored.
            request: RequestId,
            /// Output tokens since the start of the attempt.
            output: Tokens,
        },
        /// The attempt ended and its memory at the endpoints is free.
        Ended {
            /// Running request; others are ignored.
            request: RequestId,
            /// Result, which also shows whether an endpoint failed.
            end: AttemptEnd,
        },
        /// Load of an endpoint, measured at an earlier time.
        Load(LoadReport),
        /// Prompt prefixes that an endpoint cached or evicted. Reports may be late or lost, so they
        /// are used as a hint only.
        Cache(CacheReport),
        /// An endpoint is unreachable or restarted with a new incarnation. Its attempts are lost.
        EndpointDown {
            /// Endpoint that gets no new work until it is up again.
            endpoint: EndpointId,
        },
        /// An endpoint became reachable. It is treated as cold.
        EndpointUp {
            /// Endpoint that answered.
            endpoint: EndpointId,
            /// Its current incarnation. An event with a lower one than known is ignored.
            incarnation: Incarnation,
        },
        /// Requests and attempts that an entry holds. Sent with each heartbeat and to a new
        /// scheduler.
        Report(Box<EntryReport>),
        /// Renewal of the scheduler's lease. Without a valid lease it grants nothing.
        Lease {
            /// Expiry of the lease; an earlier one than known is ignored.
            until: Timestamp,
        },
        /// Timer event, requested through [`Policy::next_wake`](crate::Policy::next_wake).
        Tick,
    }

    /// Configuration of one service in one data centre.
    pub struct View {
        /// Service with its latency targets.
        pub service: Service,
        /// Data centre with its state and link rate.
        pub data_centre: DataCentre,
        /// Endpoints of the service in this data centre.
        pub endpoints: Vec<Endpoint>,
    }

    /// A request to be queued and placed.
    pub struct Submission {
        /// Unique id; repeated submissions of a known id are ignored.
        pub request: RequestId,
        /// Account to which the prompt and output tokens are charged.
        pub account: AccountId,
        /// Weight of the account in fair queueing; 0 counts as 1.
        pub weight: u32,
        /// Length of the prompt, including a prefix that may be cached.
        pub prompt: Tokens,
        /// Output length for which memory is reserved. The actual output may be longer.
        pub max_output: Tokens,
        /// Hash chain of the leading prompt blocks, used for prefix cache affinity.
        pub prefix: Vec<u64>,
        /// Arrival time of the request; latency targets count from here.
        pub arrived: Timestamp,
        /// Whether the request may be retried at another endpoint after a failure.
        pub idempotent: bool,
        /// Endpoints at which earlier attempts failed.
        pub avoid: Vec<EndpointId>,
    }

    /// Result of an attempt.
    #[derive(Copy)]
    pub enum AttemptEnd {
        /// The response was generated completely.
        Complete,
        /// The endpoint was busy and rejected the request before doing any work.
        Refused,
        /// The endpoint failed during the attempt.
        Failed,
        /// The attempt was aborted, or the entry no longer held the request.
        Cancelled,
    }

    /// Load of an endpoint at one time.
    pub struct LoadReport {
        /// Endpoint that the report describes; a report of an unknown one is ignored.
        pub endpoint: EndpointId,
        /// Incarnation of the endpoint; reports of earlier ones are ignored.
        pub incarnation: Incarnation,
        /// Time of the measurement. A report that is not newer than the last one is ignored.
        pub measured_at: Timestamp,
        /// Number of requests that the engine processes, including those of other schedulers.
        pub running: u32,
        /// Number of requests in the engine's own queue.
        pub waiting: u32,
        /// KV cache blocks that the engine has allocated.
        pub used_blocks: KvBlocks,
        /// Recent time between output tokens of one stream; `None` if the endpoint does not decode.
        pub token_gap: Option<Duration>,
    }

    /// Changes in the prefix cache of an endpoint.
    pub struct CacheReport {
        /// Endpoint whose cache changed.
        pub endpoint: EndpointId,
        /// Number of the report, increasing by 1. A larger step means that reports were lost. It
        /// restarts at 0 or 1 with the endpoint.
        pub sequence: u64,
        /// Prefix hashes added to the cache.
        pub stored: Vec<u64>,
        /// Prefix hashes evicted from the cache.
        pub evicted: Vec<u64>,
    }

    /// All requests and attempts of one service that an entry holds.
    pub struct EntryReport {
        /// Entry that holds the requests.
        pub instance: InstanceId,
        /// Highest scheduler epoch known to the entry. It rejects grants of lower epochs.
        pub epoch: Epoch,
        /// Requests without a grant.
        pub queued: Vec<Submission>,
        /// Started attempts that have not ended. A missing one is treated as ended after
        /// [`missing_grace`](crate::settings::RecoverySettings::missing_grace).
        pub attempts: Vec<AttemptReport>,
    }

    /// State of a running attempt as known to its entry.
    pub struct AttemptReport {
        /// Request as it was submitted.
        pub submission: Submission,
        /// Grant under which the attempt was started. Later growth of the reservation is not
        /// included.
        pub grant: Grant,
        /// Whether the prompt has been processed.
        pub prefilled: bool,
        /// Whether the KV cache has arrived at the decode endpoint.
        pub transferred: bool,
        /// Output tokens since the start of the attempt.
        pub output: Tokens,
    }
}
