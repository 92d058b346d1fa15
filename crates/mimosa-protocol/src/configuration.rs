//! The configuration that operators change and that every entry replicates.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;

use serde::Deserialize;
use serde::Serialize;

use crate::hash::Sha256Digest;
use crate::id::AccountId;
use crate::id::DataCentreId;
use crate::id::EndpointId;
use crate::id::KeyId;
use crate::id::Revision;
use crate::id::ServiceId;
use crate::size::ByteRate;
use crate::size::ByteSize;
use crate::size::KvBlocks;
use crate::size::TOKENS_PER_BLOCK;
use crate::size::TokenRate;
use crate::size::Tokens;
use crate::time::Timestamp;

data! {
    /// The account of one organisation, to which requests are attributed.
    pub struct ClientAccount {
        /// Name, unique among the accounts.
        pub id: AccountId,
        /// Rate limit in tokens per second, across all instances.
        pub rate: TokenRate,
        /// Burst size of the rate limit, in tokens.
        pub burst: Tokens,
        /// Weight for sharing a contended service, relative to the weights of other accounts.
        pub weight: u32,
        /// Services that the account may use; empty allows all.
        pub services: Vec<ServiceId>,
        /// Whether keys of the account stay valid in a data centre that is partitioned from the
        /// control instances. A withdrawal made elsewhere then takes effect there only after the
        /// partition.
        pub serve_when_cut_off: bool,
    }

    /// An API key. Only the digest of the secret is stored.
    pub struct Key {
        /// Public name of the key. A withdrawn key keeps its name, so that no other key can take it.
        pub id: KeyId,
        /// The account that requests with this key are attributed to.
        pub account: AccountId,
        /// SHA-256 digest of the secret.
        pub digest: Sha256Digest,
        /// When the key was withdrawn; `None` while it is valid.
        pub withdrawn: Option<Timestamp>,
    }

    /// A model with prefill and decode pools, or a plain HTTP service.
    pub struct Service {
        /// Name, unique among the services; clients give it in the `model` field or in the path.
        pub id: ServiceId,
        /// Whether the service is a model or a plain HTTP service.
        pub kind: ServiceKind,
        /// Whether requests are accepted without an API key.
        pub open: bool,
        /// Target for the time to first token.
        pub first_token_target: Duration,
        /// Target for the time between two output tokens.
        pub token_gap_target: Duration,
        /// Longest time that a request may wait in the queue.
        pub max_queue_time: Duration,
    }

    /// The kind of a service.
    #[derive(Copy)]
    #[serde(rename_all = "snake_case")]
    pub enum ServiceKind {
        /// A language model with prefill and decode pools.
        Model,
        /// A plain HTTP service.
        Plain,
    }

    /// A data centre that holds endpoints and instances.
    pub struct DataCentre {
        /// Name, unique among the data centres.
        pub id: DataCentreId,
        /// Whether endpoints in the data centre accept new requests.
        pub state: DataCentreState,
        /// Bandwidth for KV cache transfers in bytes per second, per endpoint.
        pub link_rate: ByteRate,
    }

    /// Whether a data centre accepts new requests.
    #[derive(Copy)]
    #[serde(rename_all = "snake_case")]
    pub enum DataCentreState {
        /// Accepts new requests.
        In,
        /// Taken out of service: running requests finish, new ones go to other data centres.
        Out,
    }

    /// A back end of one service.
    pub struct Endpoint {
        /// Name, unique among the endpoints of all services.
        pub id: EndpointId,
        /// The service that the endpoint belongs to.
        pub service: ServiceId,
        /// The data centre that the endpoint runs in.
        pub data_centre: DataCentreId,
        /// Address on which the endpoint accepts requests; no other endpoint has the same.
        pub address: SocketAddr,
        /// Role of the endpoint, which must fit the kind of its service.
        pub role: EndpointRole,
        /// Whether the endpoint accepts new requests.
        pub state: EndpointState,
        /// Limits and speed of the endpoint.
        pub capacity: Capacity,
        /// Whether the endpoint rejects an order with an outdated fencing token.
        pub checks_fencing: bool,
    }

    /// The role of an endpoint in its service.
    #[derive(Copy, Hash, PartialOrd, Ord)]
    #[serde(rename_all = "snake_case")]
    pub enum EndpointRole {
        /// Computes the KV cache of prompts.
        Prefill,
        /// Generates output tokens from a KV cache.
        Decode,
        /// Serves plain HTTP requests.
        Plain,
    }

    /// Whether an endpoint accepts new requests.
    #[derive(Copy)]
    #[serde(rename_all = "snake_case")]
    pub enum EndpointState {
        /// Accepts new requests.
        Active,
        /// Finishes its running requests and accepts no new ones.
        Draining,
    }

    /// Limits and speed of an endpoint.
    #[derive(Copy)]
    #[serde(default)]
    pub struct Capacity {
        /// Size of the KV cache memory for decoding, in blocks; unused for other roles.
        pub blocks: KvBlocks,
        /// Size of a KV block in tokens.
        pub tokens_per_block: Tokens,
        /// Maximum number of concurrent requests.
        pub concurrency: u32,
        /// Prefill speed in prompt tokens per second.
        pub prefill_rate: TokenRate,
        /// Time between two output tokens of one stream.
        pub token_gap: Duration,
        /// Size of the KV cache of one token, in bytes.
        pub bytes_per_token: ByteSize,
        /// How long a prefill endpoint keeps the KV cache of a prefilled prompt.
        pub prefill_life: Duration,
    }
}

impl Default for Capacity {
    fn default() -> Self {
        Self {
            blocks: KvBlocks(80),
            tokens_per_block: TOKENS_PER_BLOCK,
            concurrency: 20,
            prefill_rate: TokenRate(20_000),
            token_gap: Duration::from_millis(20),
            bytes_per_token: ByteSize(100_000),
            prefill_life: Duration::from_millis(800),
        }
    }
}

/// All settings that operators change at run time, at one revision.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Configuration {
    /// Number of deltas applied since the empty configuration.
    pub revision: Revision,
    /// Client accounts by name.
    pub accounts: BTreeMap<AccountId, ClientAccount>,
    /// API keys by name, including withdrawn ones.
    pub keys: BTreeMap<KeyId, Key>,
    /// Services by name.
    pub services: BTreeMap<ServiceId, Service>,
    /// Data centres by name.
    pub data_centres: BTreeMap<DataCentreId, DataCentre>,
    /// Endpoints by name.
    pub endpoints: BTreeMap<EndpointId, Endpoint>,
}
