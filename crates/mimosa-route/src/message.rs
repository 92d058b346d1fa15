//! Messages between gateways and control instances, sent as `postcard` frames over TCP.

use std::sync::Arc;
use std::time::Duration;

use mimosa_hold::part_quarantine::RequestParts;
use mimosa_hold::part_quarantine::Suspects;
use mimosa_hold::quarantine::CrashId;
use mimosa_hold::quarantine::Fingerprint;
use mimosa_protocol::AccountId;
use mimosa_protocol::DataCentreId;
use mimosa_protocol::EndpointId;
use mimosa_protocol::Incarnation;
use mimosa_protocol::InstanceId;
use mimosa_protocol::RequestRate;
use mimosa_protocol::ServiceId;
use mimosa_protocol::Tokens;
use mimosa_protocol::data;
use mimosa_rollout::PermitGrant;
use mimosa_rollout::RolloutReport;
use mimosa_rollout::RolloutView;
use mimosa_schedule::fleet::Placement;
use mimosa_schedule::fleet::PlacementRefusal;
use mimosa_schedule::fleet::PlacementRequest;
use mimosa_schedule::fleet::RunEnd;
use mimosa_schedule::fleet::RunningRequest;
use mimosa_schedule::speed::EndpointSpeed;
use mimosa_schedule::speed::EndpointWork;

use crate::model::DocumentVersion;
use crate::sync::ListChange;
use crate::sync::ListDigest;
use crate::sync::ListParts;

/// Maximum number of endpoints in a message about speeds, which bounds it to some 2 KB.
pub const MAX_SPEEDS: usize = 64;

data! {
    /// Messages from a gateway to a control instance.
    pub enum GatewayMessage {
        /// First message on a connection; identifies the gateway.
        Hello {
            /// Name of the gateway's cluster; a control instance of another cluster closes the
            /// connection.
            cluster: String,
            /// Identifier under which the leader tracks the gateway's requests.
            instance: InstanceId,
            /// Data centre in which the gateway runs.
            data_centre: DataCentreId,
            /// Random number of the gateway's process. The requests of an earlier process ended with
            /// it, and their numbers are used again.
            incarnation: Incarnation,
        },
        /// Requests the adopted routing document; sent when [`ControlState::version`] is newer than
        /// the gateway's.
        RequestDocument,
        /// Requests the contents of some buckets of the endpoint list.
        RequestEndpoints {
            /// Bucket indices, below [`crate::sync::BUCKET_COUNT`].
            buckets: Vec<u16>,
        },
        /// Asks the leader to choose endpoints for a request.
        RequestPlacement {
            /// Service whose endpoints may be chosen.
            service: ServiceId,
            /// Size, deadline and constraints of the request.
            ask: PlacementRequest,
        },
        /// Borrows part of an account's quota from the leader, for requests that the gateway admits
        /// locally.
        BorrowQuota {
            /// Account whose quota is borrowed.
            account: AccountId,
            /// Requested amount; the leader may grant less, down to zero.
            requested: Tokens,
        },
        /// Reports a request that is already running, so that a new leader accounts for it.
        ReportRunning {
            /// Service whose endpoints run the request.
            service: ServiceId,
            /// Placement and progress of the request.
            held: RunningRequest,
        },
        /// Lists all requests of the gateway that wait or run; the leader drops any others it still
        /// tracks for this gateway. Sent in reply to each heartbeat of the leader, because messages
        /// are lost when a connection breaks.
        ReportActive {
            /// Request numbers assigned by the gateway, in no particular order.
            numbers: Vec<u64>,
        },
        /// The prefill of a placed request completed.
        Prefilled {
            /// Request number, unique within one process lifetime of the gateway.
            number: u64,
            /// Duration of the prefill call, as measured by the gateway.
            took: Duration,
        },
        /// The first output of a placed request arrived.
        Started {
            /// Request number, unique within one process lifetime of the gateway.
            number: u64,
        },
        /// Reports what the gateway admitted while no leader answered; sent with the first heartbeat
        /// of a leader afterwards.
        ReportQuotaUse {
            /// Time for which no leader granted quota to the gateway, at least.
            absence: Duration,
            /// Cost of the admitted requests of each account.
            used: Vec<(AccountId, Tokens)>,
        },
        /// A placed request ended, or its client disconnected while it was queued.
        Ended {
            /// Request number, unique within one process lifetime of the gateway.
            number: u64,
            /// Outcome of the run; [`RunEnd::Aborted`] if the request was only queued.
            end: RunEnd,
        },
        /// A run was lost with its endpoint at the start of its answer. Sent again to a new leader.
        ReportLostRun {
            /// Service of the run.
            service: ServiceId,
            /// Process that ran it.
            process: CrashId,
            /// Time from sending the request to the endpoint until the loss.
            ran_for: Duration,
            /// Time since the loss; relative, because clocks differ.
            age: Duration,
            /// Parts of the request, which may be the cause of a crash.
            parts: RequestParts,
        },
        /// A run got beyond the start of its answer, so its parts do not crash endpoints. Sent for
        /// suspects, and for runs that were lost later.
        ReportSoundRun {
            /// Service of the run.
            service: ServiceId,
            /// Parts of the request.
            parts: RequestParts,
        },
        /// Parts of requests that became suspects after the gateway saw a sound run with them, and the
        /// time since it.
        ReportSoundParts(Vec<(Fingerprint, Duration)>),
        /// The suspects that the gateway knows; sent to a new leader.
        ReportSuspects(Suspects),
        /// An endpoint of a model named a rate limit, or no longer names it. Sent for each response that
        /// names one, so that each leader knows it.
        ReportRateLimit {
            /// Service of the endpoint.
            service: ServiceId,
            /// Endpoint whose requests are limited.
            endpoint: EndpointId,
            /// Highest rate that it takes from all gateways together; `None` if it has no limit any more.
            max_rate: Option<RequestRate>,
        },
        /// Requests, permits and outcomes of a running rollout; at most every 250 ms for each.
        ReportRollout(RolloutReport),
        /// Work that plain endpoints completed for the gateway since the previous report. Sent in reply
        /// to a heartbeat of the leader, if there was any.
        ReportWork {
            /// Service of the endpoints.
            service: ServiceId,
            /// Sums of the endpoints, at most [`MAX_SPEEDS`].
            work: Vec<EndpointWork>,
        },
        /// A prefill endpoint stated a new figure of how long work takes there at this moment.
        ReportStatedTime {
            /// Service of the endpoint.
            service: ServiceId,
            /// Endpoint that stated it.
            endpoint: EndpointId,
            /// Duration of work in percent of the usual one.
            percent: u16,
        },
    }

    /// Messages from a control instance to a gateway.
    pub enum ControlMessage {
        /// Cluster state as this instance sees it; sent on each change and as a heartbeat.
        State(ControlState),
        /// The routing document; response to [`GatewayMessage::RequestDocument`].
        Document {
            /// Version under which the document was submitted.
            version: DocumentVersion,
            /// The document exactly as the operator sent it.
            bytes: Arc<[u8]>,
        },
        /// Digest of the leader's endpoint list; the first message about endpoints on a connection.
        EndpointDigest(ListDigest),
        /// Difference between two consecutive endpoint lists.
        EndpointChange(ListChange),
        /// Buckets of the endpoint list; response to [`GatewayMessage::RequestEndpoints`].
        EndpointParts(ListParts),
        /// The request was added to the leader's queue; [`Self::Placed`] or
        /// [`Self::Rejected`] follows.
        Queued {
            /// Request number, unique within one process lifetime of the gateway.
            number: u64,
        },
        /// The request may run at the given endpoints.
        Placed {
            /// Request number, unique within one process lifetime of the gateway.
            number: u64,
            /// Endpoints for the prefill and the decode.
            placement: Placement,
        },
        /// The request will not be placed.
        Rejected {
            /// Request number, unique within one process lifetime of the gateway.
            number: u64,
            /// Why no endpoint was chosen.
            reason: PlacementRefusal,
            /// Estimated time until capacity is available; becomes the client's `Retry-After`.
            retry_after: Duration,
        },
        /// Response to [`GatewayMessage::BorrowQuota`].
        QuotaGranted {
            /// Account whose quota is borrowed.
            account: AccountId,
            /// Granted amount; less than requested if the quota does not cover it, down to zero.
            granted: Tokens,
        },
        /// The receiver of [`GatewayMessage::BorrowQuota`] is not the leader.
        NotLeaderForQuota {
            /// Account whose quota is borrowed.
            account: AccountId,
        },
        /// The accounts whose demand exceeds their rate, and the part of their requests, in
        /// thousandths, that the gateway admits while no leader answers. Replaces the previous list.
        OverloadedAccounts(Vec<(AccountId, u16)>),
        /// The receiver of [`GatewayMessage::RequestPlacement`] is not the leader, or the leader does not
        /// know an active request of the gateway.
        NotLeader {
            /// Request number, unique within one process lifetime of the gateway.
            number: u64,
        },
        /// Prompt parts and requests that may crash endpoints, and which of them are quarantined.
        /// Merged with those that the gateway knows.
        Suspects(Suspects),
        /// Permits for requests to the new version of a service; the leader's answer to
        /// [`GatewayMessage::ReportRollout`].
        GrantPermits(PermitGrant),
        /// Speeds of plain endpoints that have changed, over the reports of all gateways; at most
        /// [`MAX_SPEEDS`], and at most once a second.
        EndpointSpeeds(Vec<EndpointSpeed>),
    }

    /// Cluster state as seen by one control instance.
    #[derive(Default)]
    pub struct ControlState {
        /// Data centre of the instance; gateways prefer instances in their own.
        pub data_centre: Option<DataCentreId>,
        /// Consensus term that the instance is in; a state of a lower term is outdated.
        pub term: u64,
        /// Leader of that term; `None` if the instance knows of none.
        pub leader: Option<InstanceId>,
        /// All control instances of the cluster, voters and learners.
        pub members: Vec<InstanceId>,
        /// Version of the adopted routing document; `None` before the first one.
        pub version: Option<DocumentVersion>,
        /// Number of gateways that are connected to this instance or may still reconnect; each
        /// gateway uses an equal share of the limits that apply to all.
        pub gateways: u32,
        /// Data centres that receive no new work.
        pub data_centres_out: Vec<DataCentreId>,
        /// Log index of the last routing change; orders the states of different instances.
        pub routing_index: u64,
        /// The latest rollout of each service that had one.
        pub rollouts: Vec<RolloutView>,
    }
}
