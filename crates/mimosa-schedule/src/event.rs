//! What a policy is told.

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
    /// One event.
    pub enum Event {
        /// The configuration of the service changed; replaces what was known.
        Configure(Box<View>),
        /// A request joins the queue.
        Submit(Submission),
        /// The caller left: drop the request wherever it is.
        Cancel {
            /// The request.
            request: RequestId,
        },
        /// The prefill endpoint finished the prompt.
        Prefilled {
            /// The request.
            request: RequestId,
        },
        /// The decode endpoint holds the KV cache.
        Transferred {
            /// The request.
            request: RequestId,
        },
        /// The decode endpoint produced output.
        Progress {
            /// The request.
            request: RequestId,
            /// Output tokens so far.
            output: Tokens,
        },
        /// The attempt ended and its memory is free.
        Ended {
            /// The request.
            request: RequestId,
            /// How.
            end: AttemptEnd,
        },
        /// An endpoint reported its load, as of a moment in the past.
        Load(LoadReport),
        /// An endpoint reported cached or evicted prompt prefixes. A hint, late and with gaps.
        Cache(CacheReport),
        /// An endpoint cannot be reached or came back with a new incarnation: what ran there is gone.
        EndpointDown {
            /// The endpoint.
            endpoint: EndpointId,
        },
        /// An endpoint answers (again): it starts cold.
        EndpointUp {
            /// The endpoint.
            endpoint: EndpointId,
            /// Its life.
            incarnation: Incarnation,
        },
        /// What an entry holds, from its own memory; sent on each heartbeat and to a new scheduler.
        Report(Box<EntryReport>),
        /// The scheduler's lease lasts until then; it grants nothing afterwards.
        Lease {
            /// The end of the lease.
            until: Timestamp,
        },
        /// Time passed.
        Tick,
    }

    /// The part of the configuration that concerns one service in one data centre.
    pub struct View {
        /// The service.
        pub service: Service,
        /// The data centre.
        pub data_centre: DataCentre,
        /// Its endpoints there.
        pub endpoints: Vec<Endpoint>,
    }

    /// A request that wants to be placed.
    pub struct Submission {
        /// The request.
        pub request: RequestId,
        /// Whom it runs for.
        pub account: AccountId,
        /// The account's weight.
        pub weight: u32,
        /// Prompt size.
        pub prompt: Tokens,
        /// Output size that memory is reserved for.
        pub max_output: Tokens,
        /// Hash chain of the prompt's leading blocks, for affinity.
        pub prefix: Vec<u64>,
        /// When the caller sent it.
        pub arrived: Timestamp,
        /// Whether it may run on another endpoint after a failure.
        pub idempotent: bool,
        /// Endpoints that failed it before.
        pub avoid: Vec<EndpointId>,
    }

    /// How an attempt ended.
    #[derive(Copy)]
    pub enum AttemptEnd {
        /// The whole answer was produced.
        Complete,
        /// The endpoint refused before doing anything (busy).
        Refused,
        /// The endpoint failed.
        Failed,
        /// The attempt was cancelled.
        Cancelled,
    }

    /// What an endpoint said about its load.
    pub struct LoadReport {
        /// The endpoint.
        pub endpoint: EndpointId,
        /// Its life.
        pub incarnation: Incarnation,
        /// When it measured.
        pub measured_at: Timestamp,
        /// Requests running.
        pub running: u32,
        /// Requests waiting inside the engine.
        pub waiting: u32,
        /// Blocks in use.
        pub used_blocks: KvBlocks,
        /// Recent time between tokens, if it decodes.
        pub token_gap: Option<Duration>,
    }

    /// What an endpoint said about its prefix cache.
    pub struct CacheReport {
        /// The endpoint.
        pub endpoint: EndpointId,
        /// Counts reports; a jump shows a gap.
        pub sequence: u64,
        /// Prefix hashes stored.
        pub stored: Vec<u64>,
        /// Prefix hashes evicted.
        pub evicted: Vec<u64>,
    }

    /// Everything of one service that an entry has in hand.
    pub struct EntryReport {
        /// The entry.
        pub instance: InstanceId,
        /// The epoch below which the entry refuses grants.
        pub epoch: Epoch,
        /// Requests that wait for a grant.
        pub queued: Vec<Submission>,
        /// Attempts that were started.
        pub attempts: Vec<AttemptReport>,
    }

    /// An attempt as its entry knows it.
    pub struct AttemptReport {
        /// The request.
        pub submission: Submission,
        /// The grant, with the blocks that the attempt holds by now.
        pub grant: Grant,
        /// Whether the prompt is processed.
        pub prefilled: bool,
        /// Whether the decode endpoint holds the KV cache.
        pub transferred: bool,
        /// Output tokens so far.
        pub output: Tokens,
    }
}
