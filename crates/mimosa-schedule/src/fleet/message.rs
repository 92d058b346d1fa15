//! What a fleet is told and what it decides.

use std::time::Duration;

use mimosa_protocol::AccountId;
use mimosa_protocol::DataCentreId;
use mimosa_protocol::EndpointId;
use mimosa_protocol::InstanceId;
use mimosa_protocol::Tokens;
use mimosa_protocol::data;

use super::settings::View;

data! {
    /// Names a request: the gateway that serves it and the gateway's own number.
    #[derive(Hash, PartialOrd, Ord)]
    pub struct GatewayRequestId {
        /// The gateway.
        pub gateway: InstanceId,
        /// Its number for the request.
        pub number: u64,
    }

    /// A request that wants to be placed.
    pub struct PlacementRequest {
        /// Names it.
        pub id: GatewayRequestId,
        /// Whom it runs for.
        pub account: Option<AccountId>,
        /// Prompt size.
        pub prompt: Tokens,
        /// Most output.
        pub max_output: Tokens,
        /// The caller's estimate of the output.
        pub expected_output: Option<Tokens>,
        /// Rank; 0 is the most urgent.
        pub priority: u8,
        /// Time until the first output is late.
        pub time_to_target: Duration,
        /// Time until the caller gives up without a first output.
        pub time_to_timeout: Duration,
        /// Where the gateway stands.
        pub data_centre: DataCentreId,
        /// Endpoints where it failed or found no room: others are better.
        pub avoid: Vec<EndpointId>,
        /// The endpoint that holds the KV cache already, after the decode failed elsewhere.
        pub kv_cache_at: Option<EndpointId>,
    }

    /// A request that runs already, told to a new scheduler.
    pub struct RunningRequest {
        /// The request as it was asked for.
        pub request: PlacementRequest,
        /// Where it decodes.
        pub decode: EndpointId,
        /// How long it has decoded.
        pub decoding_for: Duration,
    }

    /// How a run ended.
    pub enum RunEnd {
        /// Complete, with so much output.
        Complete(Tokens),
        /// The decode endpoint had no room and did not run it.
        NoCapacity,
        /// An endpoint could not be reached or failed before the run started.
        Unreachable(EndpointId),
        /// The endpoint went away while it ran.
        EndpointLost(EndpointId),
        /// It failed, or its caller left.
        Aborted,
    }

    /// Where a request runs.
    pub struct Placement {
        /// Where the prompt is processed; nothing if the decode endpoint does it.
        pub prefill: Option<EndpointId>,
        /// Where the output is generated.
        pub decode: EndpointId,
    }

    /// Why a request is not placed.
    #[derive(Copy)]
    pub enum PlacementRefusal {
        /// No endpoint takes work.
        NoEndpoint,
        /// It would not start while its caller waits.
        TooLate,
        /// It is larger than any endpoint's memory.
        TooLarge,
        /// Its account has used up its quota for now.
        OverQuota,
        /// It costs more than the whole burst of its account.
        OverBurst,
    }
}

impl PlacementRefusal {
    /// The reason as a stable word.
    pub const fn as_str(self) -> &'static str {
        match self {
            Self::NoEndpoint => "no_endpoint",
            Self::TooLate => "too_late",
            Self::TooLarge => "too_large",
            Self::OverQuota => "over_quota",
            Self::OverBurst => "over_burst",
        }
    }
}

/// What a fleet is told.
#[derive(Clone, Debug)]
pub enum Event {
    /// The endpoints changed.
    Configure(View),
    /// A request wants to be placed.
    Submit(PlacementRequest),
    /// A request was placed by an earlier scheduler.
    Adopt(RunningRequest),
    /// The prompt of a request was processed, in so much time.
    Prefilled {
        /// The request.
        id: GatewayRequestId,
        /// How long the prefill endpoint took.
        took: Duration,
    },
    /// The first output of a request arrived.
    Started {
        /// The request.
        id: GatewayRequestId,
    },
    /// The run of a request ended, or its caller left the queue.
    Ended {
        /// The request.
        id: GatewayRequestId,
        /// How.
        end: RunEnd,
    },
    /// A gateway is gone, and with it its connections to the endpoints.
    GatewayLost {
        /// The gateway.
        gateway: InstanceId,
    },
    /// Time passed.
    Tick,
}

/// What a fleet decides.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Action {
    /// Run the request there, now.
    Place {
        /// The request.
        id: GatewayRequestId,
        /// Where.
        placement: Placement,
    },
    /// End the request: it did not run.
    Refuse {
        /// The request.
        id: GatewayRequestId,
        /// Why.
        reason: PlacementRefusal,
        /// When room is expected.
        retry_after: Duration,
    },
}
