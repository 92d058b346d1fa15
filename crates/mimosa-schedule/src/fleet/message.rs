//! Input events and actions of the fleet scheduler.

use std::time::Duration;

use mimosa_protocol::AccountId;
use mimosa_protocol::DataCentreId;
use mimosa_protocol::EndpointId;
use mimosa_protocol::InstanceId;
use mimosa_protocol::RequestRate;
use mimosa_protocol::ServiceVersion;
use mimosa_protocol::Timestamp;
use mimosa_protocol::Tokens;
use mimosa_protocol::data;
use mimosa_rollout::RolloutNumber;

use super::settings::View;

data! {
    /// Id of a request: the gateway that serves it and a number assigned by the gateway.
    #[derive(Hash, PartialOrd, Ord)]
    pub struct GatewayRequestId {
        /// Gateway that serves the request.
        pub gateway: InstanceId,
        /// Number of the request, unique at its gateway.
        pub number: u64,
    }

    /// A request for which the scheduler selects endpoints.
    pub struct PlacementRequest {
        /// Unique id, which all later events of the request carry.
        pub id: GatewayRequestId,
        /// Account that is charged, if any.
        pub account: Option<AccountId>,
        /// Length of the prompt. A request whose prompt exceeds the memory of a decode endpoint is
        /// refused.
        pub prompt: Tokens,
        /// Maximum length of the output, which limits the memory forecast.
        pub max_output: Tokens,
        /// Output length estimated by the client; without it, the usual ratio to the maximum is
        /// assumed.
        pub expected_output: Option<Tokens>,
        /// Priority; 0 is the most urgent.
        pub priority: u8,
        /// Remaining time to the latency target of the first output.
        pub time_to_target: Duration,
        /// Remaining time until the client gives up waiting for the first output.
        pub time_to_timeout: Duration,
        /// Data centre of the gateway, whose prefill endpoints are preferred.
        pub data_centre: DataCentreId,
        /// Endpoints at which the request failed or found no capacity. Others are preferred.
        pub avoid: Vec<EndpointId>,
        /// Endpoints that take no requests of the gateway, and are never selected.
        pub exclude: Vec<EndpointId>,
        /// Endpoint that already holds the KV cache, if the prompt was processed before a failed
        /// decode.
        pub kv_cache_at: Option<EndpointId>,
        /// Version on which the stream began that the request resumes; `None` for a request that may
        /// run on any version.
        pub resumes: Option<StreamVersion>,
        /// Fingerprint of the content, equal if a client sends the request again; `None` if fair
        /// shares are disabled at the gateway.
        pub fingerprint: Option<u64>,
    }

    /// Version on which a stream began, and the only one on which it resumes during a rollout.
    pub struct StreamVersion(pub Option<ServiceVersion>);

    /// A running request, reported to a new scheduler.
    pub struct RunningRequest {
        /// Request as it was submitted.
        pub request: PlacementRequest,
        /// Endpoint that generates the output and holds its KV cache.
        pub decode: EndpointId,
        /// Time since the first output; zero before it.
        pub decoding_for: Duration,
    }

    /// Way in which a placed request ended.
    pub enum RunEnd {
        /// The output is complete, with its length.
        Complete(Tokens),
        /// The decode endpoint had no capacity and did not run the request.
        NoCapacity,
        /// An endpoint was unreachable or failed before the request ran.
        Unreachable(EndpointId),
        /// The connection to an endpoint was lost while the request ran.
        EndpointLost(EndpointId),
        /// The request failed for another reason, or the client disconnected.
        Aborted,
    }

    /// Endpoints selected for a request.
    pub struct Placement {
        /// Endpoint that processes the prompt; `None` if the decode endpoint does.
        pub prefill: Option<EndpointId>,
        /// Endpoint that generates the output.
        pub decode: EndpointId,
    }

    /// Reason why a request is not placed.
    #[derive(Copy)]
    pub enum PlacementRefusal {
        /// The service has no decode endpoint at present.
        NoEndpoint,
        /// The request would not start before the client gives up.
        TooLate,
        /// The request is larger than the memory of an endpoint.
        TooLarge,
        /// The quota of the account is exhausted for now.
        OverQuota,
        /// The request costs more than the maximum burst of the account, so it can never run.
        OverBurst,
    }
}

impl PlacementRefusal {
    /// Stable identifier of the reason, used as a metrics label.
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

/// An input event of the fleet scheduler.
#[derive(Clone, Debug)]
pub enum Event {
    /// The list of endpoints changed. The new view replaces the previous one.
    Configure(View),
    /// A new request, to be placed or refused.
    Submit(PlacementRequest),
    /// A request is already running, placed by an earlier scheduler or by its gateway.
    Adopt(RunningRequest),
    /// The prompt of a request was processed.
    Prefilled {
        /// Placed request; an unknown one is ignored.
        id: GatewayRequestId,
        /// Processing time at the prefill endpoint, from which its rate is estimated.
        took: Duration,
    },
    /// The first output of a request arrived at its gateway.
    Started {
        /// Placed request; an unknown one is ignored.
        id: GatewayRequestId,
    },
    /// A request ended, or its client disconnected while it was queued.
    Ended {
        /// Placed or queued request.
        id: GatewayRequestId,
        /// Result, which also shows whether an endpoint failed.
        end: RunEnd,
    },
    /// A gateway failed, and its connections to the endpoints are closed.
    GatewayLost {
        /// Gateway whose requests are removed.
        gateway: InstanceId,
    },
    /// An endpoint named the rate that it takes from all gateways together, or no longer names it.
    Limited {
        /// Endpoint whose requests are limited; an unknown one is ignored.
        endpoint: EndpointId,
        /// Highest rate of placements there; `None` if they are not limited.
        max_rate: Option<RequestRate>,
    },
    /// The leader permits this number of placements at endpoints of the rollout's new version. Replaces
    /// the permits that are left. The leader first takes those back with
    /// [`FleetScheduler::unused_permits`](super::FleetScheduler::unused_permits), and learns of used
    /// ones from [`FleetScheduler::used_permits`](super::FleetScheduler::used_permits).
    GrantPermits {
        /// Rollout for which they hold; permits for another one are ignored.
        rollout: RolloutNumber,
        /// Number of placements.
        permits: u32,
        /// Number of endpoints of each role on which to spend them, so that these see the same load as
        /// those of the old version.
        endpoints: u32,
        /// End of their lease.
        until: Timestamp,
    },
    /// An endpoint stated how long work takes there at this moment.
    Stated {
        /// Endpoint that stated it; an unknown one is ignored.
        endpoint: EndpointId,
        /// Duration of work in percent of the usual one.
        percent: u16,
    },
    /// Timer event, requested through `next_wake`.
    Tick,
}

impl Event {
    /// Whether a queued request that found no capacity before may find some after this event.
    pub(super) const fn may_free_capacity(&self) -> bool {
        match self {
            Self::Configure(_) | Self::Prefilled { .. } | Self::Ended { .. } => true,
            Self::GatewayLost { .. } => true,
            Self::Submit(_) | Self::Adopt(_) | Self::Started { .. } | Self::Tick => false,
            Self::GrantPermits { permits, .. } => *permits > 0,
            Self::Stated { .. } => false,
            Self::Limited { max_rate, .. } => max_rate.is_none(),
        }
    }
}

/// A decision of the fleet scheduler.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Action {
    /// Run the request immediately.
    Place {
        /// Request that was queued.
        id: GatewayRequestId,
        /// Endpoints at which capacity is reserved for it.
        placement: Placement,
    },
    /// Refuse the request, which has not run.
    Refuse {
        /// Request that was queued or has just been submitted.
        id: GatewayRequestId,
        /// Reason for the client and for the metrics.
        reason: PlacementRefusal,
        /// Time until capacity is expected; zero if the request is too large.
        retry_after: Duration,
    },
}
