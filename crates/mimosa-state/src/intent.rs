//! Configuration changes that an operator can request. In JSON an intent is an object whose only
//! field is its kind: `{"set_rate": {"account": "wisla", "rate": 4000, "burst": 20000}}`.

use std::net::SocketAddr;

use mimosa_protocol::AccountId;
use mimosa_protocol::ByteRate;
use mimosa_protocol::ByteSize;
use mimosa_protocol::DataCentreId;
use mimosa_protocol::EndpointId;
use mimosa_protocol::KeyId;
use mimosa_protocol::KvBlocks;
use mimosa_protocol::ServiceId;
use mimosa_protocol::ServiceVersion;
use mimosa_protocol::TokenRate;
use mimosa_protocol::Tokens;
use mimosa_protocol::configuration::EndpointRole;
use mimosa_protocol::configuration::ServiceKind;
use mimosa_protocol::data;

mod convert;

data! {
    /// A configuration change that an operator requests.
    #[serde(rename_all = "snake_case")]
    pub enum Intent {
        /// Creates or replaces a client account.
        PutAccount(AccountSpec),
        /// Removes a client account and its keys.
        RemoveAccount(ByAccount),
        /// Changes the rate and burst of a client account.
        SetRate(RateSpec),
        /// Creates an API key.
        CreateKey(KeySpec),
        /// Withdraws an API key permanently.
        WithdrawKey(ByKey),
        /// Creates or replaces a service.
        PutService(ServiceSpec),
        /// Removes a service and its endpoints.
        RemoveService(ByService),
        /// Creates a data centre or changes the rate of its links.
        PutDataCentre(DataCentreSpec),
        /// Takes a data centre out of service: it gets no new requests.
        TakeOutDataCentre(ByDataCentre),
        /// Returns a data centre to service.
        ReturnDataCentre(ByDataCentre),
        /// Creates or replaces an endpoint.
        PutEndpoint(EndpointSpec),
        /// Drains an endpoint: it gets no new requests.
        DrainEndpoint(ByEndpoint),
        /// Returns a draining endpoint to service.
        ReturnEndpoint(ByEndpoint),
        /// Removes an endpoint.
        RemoveEndpoint(ByEndpoint),
        /// Changes the role of an endpoint.
        SetRole(RoleSpec),
        /// Orders an engine to load a model.
        LoadModel(ModelSpec),
        /// Moves a service that gateways serve to another version.
        StartRollout(RolloutSpec),
        /// Rolls back the running rollout of a service.
        CancelRollout(ByService),
    }

    /// Identifies a client account.
    #[serde(deny_unknown_fields)]
    pub struct ByAccount {
        /// Name of an existing account.
        pub account: AccountId,
    }

    /// Identifies an API key.
    #[serde(deny_unknown_fields)]
    pub struct ByKey {
        /// Public name of an existing key.
        pub key: KeyId,
    }

    /// Identifies a service.
    #[serde(deny_unknown_fields)]
    pub struct ByService {
        /// Name of an existing service.
        pub service: ServiceId,
    }

    /// Identifies a data centre.
    #[serde(deny_unknown_fields)]
    pub struct ByDataCentre {
        /// Name of an existing data centre.
        pub data_centre: DataCentreId,
    }

    /// Identifies an endpoint.
    #[serde(deny_unknown_fields)]
    pub struct ByEndpoint {
        /// Name of an existing endpoint.
        pub endpoint: EndpointId,
    }

    /// The full definition of a client account.
    #[serde(deny_unknown_fields)]
    pub struct AccountSpec {
        /// Name of the account; an account of this name is replaced.
        pub account: AccountId,
        /// Sustained rate, in tokens per second; at least 1.
        pub rate: TokenRate,
        /// Bucket size: tokens that may be used ahead of the rate; at least 1.
        pub burst: Tokens,
        /// Relative share of a contended service; at least 1, which is the default.
        #[serde(default = "one")]
        pub weight: u32,
        /// Existing services that the account may use; empty allows all.
        #[serde(default)]
        pub services: Vec<ServiceId>,
        /// Whether its keys stay valid in a data centre that is cut off from the control instances.
        #[serde(default)]
        pub serve_when_cut_off: bool,
    }

    /// The rate limit of a client account.
    #[serde(deny_unknown_fields)]
    pub struct RateSpec {
        /// Name of an existing account.
        pub account: AccountId,
        /// Sustained rate, in tokens per second; at least 1.
        pub rate: TokenRate,
        /// Bucket size: tokens that may be used ahead of the rate; at least 1.
        pub burst: Tokens,
    }

    /// A new API key.
    #[serde(deny_unknown_fields)]
    pub struct KeySpec {
        /// The public name of the key, which no key in force or withdrawn may have.
        pub key: KeyId,
        /// The existing account that requests with this key are attributed to.
        pub account: AccountId,
        /// SHA-256 of the secret in 64 hexadecimal digits; if absent, the control instance
        /// generates the secret.
        #[serde(default)]
        pub digest: Option<String>,
    }

    /// The full definition of a service.
    #[serde(deny_unknown_fields)]
    pub struct ServiceSpec {
        /// Name of the service; a service of this name is replaced.
        pub service: ServiceId,
        /// Whether a model or a plain HTTP service; fixed while the service has endpoints.
        pub kind: ServiceKind,
        /// Whether requests are accepted without an API key.
        #[serde(default)]
        pub open: bool,
        /// Target for the time to first token, in milliseconds; at least 1, defaults to 1,300.
        #[serde(default = "first_token_target_ms")]
        pub first_token_target_ms: u64,
        /// Target for the time between output tokens, in milliseconds; at least 1, defaults to 44.
        #[serde(default = "token_gap_target_ms")]
        pub token_gap_target_ms: u64,
        /// Longest time in the queue, in milliseconds; at least 1, defaults to 10,000.
        #[serde(default = "max_queue_time_ms")]
        pub max_queue_time_ms: u64,
    }

    /// The settings of a data centre.
    #[serde(deny_unknown_fields)]
    pub struct DataCentreSpec {
        /// Name of the data centre; an existing one of this name stays in or out of service.
        pub data_centre: DataCentreId,
        /// Bandwidth for KV cache transfers in bytes per second, per endpoint; at least 1, defaults
        /// to 10 GB/s.
        #[serde(default = "link_rate")]
        pub link_rate: ByteRate,
    }

    /// The full definition of an endpoint.
    #[serde(deny_unknown_fields)]
    pub struct EndpointSpec {
        /// Name of the endpoint; an endpoint of this name is replaced and stays active or draining.
        pub endpoint: EndpointId,
        /// The existing service that it belongs to.
        pub service: ServiceId,
        /// The existing data centre that it runs in.
        pub data_centre: DataCentreId,
        /// The address that it listens on; unique among the endpoints.
        pub address: SocketAddr,
        /// The pool that it belongs to; must fit the kind of the service.
        pub role: EndpointRole,
        /// Capacity; each field has a default.
        #[serde(default)]
        pub capacity: CapacitySpec,
        /// Whether the endpoint rejects an order with an outdated fencing token.
        #[serde(default)]
        pub checks_fencing: bool,
    }

    /// The capacity of an endpoint. [`mimosa_protocol::configuration::Capacity`] has the meaning
    /// and the defaults.
    #[derive(Copy)]
    #[serde(default, deny_unknown_fields)]
    pub struct CapacitySpec {
        /// Number of KV cache blocks for decoding; unused for other roles.
        pub blocks: KvBlocks,
        /// Size of a KV cache block, in tokens; at least 1.
        pub tokens_per_block: Tokens,
        /// Maximum number of concurrent requests; at least 1.
        pub concurrency: u32,
        /// Prefill throughput, in prompt tokens per second.
        pub prefill_rate: TokenRate,
        /// Time between two output tokens of a stream, in microseconds.
        pub token_gap_us: u64,
        /// Size of the KV cache of one token, in bytes.
        pub bytes_per_token: ByteSize,
        /// How long a prefill result stays available, in milliseconds.
        pub prefill_life_ms: u64,
    }

    /// A role for an endpoint.
    #[serde(deny_unknown_fields)]
    pub struct RoleSpec {
        /// Name of an existing endpoint.
        pub endpoint: EndpointId,
        /// The new role; must fit the kind of the service.
        pub role: EndpointRole,
    }

    /// A model for an engine to load.
    #[serde(deny_unknown_fields)]
    pub struct ModelSpec {
        /// Name of an existing endpoint, which must not have the role `plain`.
        pub endpoint: EndpointId,
        /// The name of the model in the weight store: 1 to 128 printable ASCII characters.
        pub model: String,
        /// The version of the model in the weight store: 1 to 128 printable ASCII characters.
        pub version: String,
    }

    /// A move of a service to another version.
    #[serde(deny_unknown_fields)]
    pub struct RolloutSpec {
        /// Name of a service of the adopted routing document.
        pub service: ServiceId,
        /// The new version.
        pub to: ServiceVersion,
        /// Time from the confirm to the end, in milliseconds: 1 to 86,400,000.
        pub duration_ms: u64,
    }
}

impl Intent {
    /// The kind, spelled as in JSON.
    pub const fn kind(&self) -> &'static str {
        match self {
            Self::PutAccount(_) => "put_account",
            Self::RemoveAccount(_) => "remove_account",
            Self::SetRate(_) => "set_rate",
            Self::CreateKey(_) => "create_key",
            Self::WithdrawKey(_) => "withdraw_key",
            Self::PutService(_) => "put_service",
            Self::RemoveService(_) => "remove_service",
            Self::PutDataCentre(_) => "put_data_centre",
            Self::TakeOutDataCentre(_) => "take_out_data_centre",
            Self::ReturnDataCentre(_) => "return_data_centre",
            Self::PutEndpoint(_) => "put_endpoint",
            Self::DrainEndpoint(_) => "drain_endpoint",
            Self::ReturnEndpoint(_) => "return_endpoint",
            Self::RemoveEndpoint(_) => "remove_endpoint",
            Self::SetRole(_) => "set_role",
            Self::LoadModel(_) => "load_model",
            Self::StartRollout(_) => "start_rollout",
            Self::CancelRollout(_) => "cancel_rollout",
        }
    }
}

const fn one() -> u32 {
    1
}

const fn first_token_target_ms() -> u64 {
    1_300
}

const fn token_gap_target_ms() -> u64 {
    44
}

const fn max_queue_time_ms() -> u64 {
    10_000
}

const fn link_rate() -> ByteRate {
    ByteRate(10_000_000_000)
}
