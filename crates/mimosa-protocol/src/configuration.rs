//! The model that operators change and that every entry follows.

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
    /// An organisation's client account.
    pub struct ClientAccount {
        /// Its name.
        pub id: AccountId,
        /// Tokens a second across all instances together.
        pub rate: TokenRate,
        /// Tokens that may run ahead of the rate.
        pub burst: Tokens,
        /// Share of a contended service, relative to the other accounts'.
        pub weight: u32,
        /// Services that it may use; empty means all.
        pub services: Vec<ServiceId>,
        /// Whether keys go on working in a data centre that is cut off. A withdrawal made elsewhere
        /// is then late there.
        pub serve_when_cut_off: bool,
    }

    /// A caller's key. Only its digest is kept.
    pub struct Key {
        /// Its public name.
        pub id: KeyId,
        /// The account that it speaks for.
        pub account: AccountId,
        /// The digest of the secret.
        pub digest: Sha256Digest,
        /// When it was withdrawn.
        pub withdrawn: Option<Timestamp>,
    }

    /// A model with prefill and decode pools, or a plain service.
    pub struct Service {
        /// Its name, as callers give it in `model` or in the path.
        pub id: ServiceId,
        /// What kind of service it is.
        pub kind: ServiceKind,
        /// Whether callers need no key.
        pub open: bool,
        /// Time to the first token that callers were promised.
        pub first_token_target: Duration,
        /// Time between tokens that callers were promised.
        pub token_gap_target: Duration,
        /// How long a request may wait in the queue at most.
        pub max_queue_time: Duration,
    }

    /// The kinds of service.
    #[derive(Copy)]
    #[serde(rename_all = "snake_case")]
    pub enum ServiceKind {
        /// A language model behind prefill and decode pools.
        Model,
        /// A plain HTTP service.
        Plain,
    }

    /// A data centre.
    pub struct DataCentre {
        /// Its name.
        pub id: DataCentreId,
        /// Whether it takes new work.
        pub state: DataCentreState,
        /// Rate of the links that carry KV transfers, for each endpoint.
        pub link_rate: ByteRate,
    }

    /// Whether a data centre takes new work.
    #[derive(Copy)]
    #[serde(rename_all = "snake_case")]
    pub enum DataCentreState {
        /// It takes work.
        In,
        /// It was taken out: requests in hand finish, new ones go elsewhere.
        Out,
    }

    /// A back end that serves one service.
    pub struct Endpoint {
        /// Its name.
        pub id: EndpointId,
        /// The service that it serves.
        pub service: ServiceId,
        /// Where it stands.
        pub data_centre: DataCentreId,
        /// Where it listens.
        pub address: SocketAddr,
        /// What it does.
        pub role: EndpointRole,
        /// Whether it takes new work.
        pub state: EndpointState,
        /// What it can bear.
        pub capacity: Capacity,
        /// Whether it refuses an order with an old fencing number.
        pub checks_fencing: bool,
    }

    /// What an endpoint does.
    #[derive(Copy, Hash, PartialOrd, Ord)]
    #[serde(rename_all = "snake_case")]
    pub enum EndpointRole {
        /// It turns prompts into KV cache.
        Prefill,
        /// It generates tokens from KV cache.
        Decode,
        /// It answers plain HTTP requests.
        Plain,
    }

    /// Whether an endpoint takes new work.
    #[derive(Copy)]
    #[serde(rename_all = "snake_case")]
    pub enum EndpointState {
        /// It takes work.
        Active,
        /// It finishes what it has and takes nothing new.
        Draining,
    }

    /// What an endpoint can bear.
    #[derive(Copy)]
    #[serde(default)]
    pub struct Capacity {
        /// Blocks of KV memory for decoding; not used by other roles.
        pub blocks: KvBlocks,
        /// Tokens that one block holds.
        pub tokens_per_block: Tokens,
        /// Requests at once.
        pub concurrency: u32,
        /// Prompt tokens a second that a prefill endpoint turns into KV cache.
        pub prefill_rate: TokenRate,
        /// Time between two output tokens of a stream.
        pub token_gap: Duration,
        /// Size of the KV cache of one token.
        pub bytes_per_token: ByteSize,
        /// How long a prefill result lives at the prefill endpoint.
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

/// Everything that operators configure, at one revision.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Configuration {
    /// How many changes led here.
    pub revision: Revision,
    /// Client accounts.
    pub accounts: BTreeMap<AccountId, ClientAccount>,
    /// Keys, withdrawn ones included.
    pub keys: BTreeMap<KeyId, Key>,
    /// Services.
    pub services: BTreeMap<ServiceId, Service>,
    /// Data centres.
    pub data_centres: BTreeMap<DataCentreId, DataCentre>,
    /// Endpoints.
    pub endpoints: BTreeMap<EndpointId, Endpoint>,
}
