//! Messages between gateways and control instances, sent as `postcard` frames over TCP.

use std::sync::Arc;
use std::time::Duration;

use mimosa_protocol::AccountId;
use mimosa_protocol::DataCentreId;
use mimosa_protocol::InstanceId;
use mimosa_protocol::ServiceId;
use mimosa_protocol::Tokens;
use mimosa_protocol::data;
use mimosa_schedule::fleet::Placement;
use mimosa_schedule::fleet::PlacementRefusal;
use mimosa_schedule::fleet::PlacementRequest;
use mimosa_schedule::fleet::RunEnd;
use mimosa_schedule::fleet::RunningRequest;

use crate::model::DocumentVersion;
use crate::sync::ListChange;
use crate::sync::ListDigest;
use crate::sync::ListParts;

data! {
    /// Messages from a gateway to a control instance.
    pub enum GatewayMessage {
        /// First message on a connection; identifies the gateway.
        Hello {
            /// Name of the gateway's cluster; a control instance of another cluster closes the
            /// connection.
            cluster: String,
            /// The gateway's instance identifier.
            instance: InstanceId,
            /// Data centre in which the gateway runs.
            data_centre: DataCentreId,
        },
        /// Requests the routing document.
        RequestDocument,
        /// Requests the contents of some buckets of the endpoint list.
        RequestEndpoints {
            /// Bucket indices, below [`crate::sync::BUCKET_COUNT`].
            buckets: Vec<u16>,
        },
        /// Asks the leader to choose endpoints for a request.
        RequestPlacement {
            /// Requested service.
            service: ServiceId,
            /// Size, deadline and constraints of the request.
            ask: PlacementRequest,
        },
        /// Borrows part of an account's quota from the leader, for requests that the gateway admits
        /// locally.
        BorrowQuota {
            /// Account that the quota belongs to.
            account: AccountId,
            /// Requested amount.
            wanted: Tokens,
        },
        /// Reports a request that is already running, so that a new leader accounts for it.
        ReportRunning {
            /// Service that the request uses.
            service: ServiceId,
            /// Placement and progress of the request.
            held: RunningRequest,
        },
        /// Lists all requests of the gateway that wait or run; the leader drops any others it still
        /// tracks for this gateway. Sent in reply to each heartbeat of the leader, because messages
        /// are lost when a connection breaks.
        ReportActive {
            /// Request numbers assigned by the gateway.
            numbers: Vec<u64>,
        },
        /// The prefill of a placed request completed.
        Prefilled {
            /// Request number assigned by the gateway.
            number: u64,
            /// Duration of the prefill call.
            took: Duration,
        },
        /// The first output of a placed request arrived.
        Started {
            /// Request number assigned by the gateway.
            number: u64,
        },
        /// A placed request ended, or its client disconnected while it was queued.
        Ended {
            /// Request number assigned by the gateway.
            number: u64,
            /// Outcome of the run.
            end: RunEnd,
        },
    }

    /// Messages from a control instance to a gateway.
    pub enum ControlMessage {
        /// Cluster state as this instance sees it; sent on each change and as a heartbeat.
        State(ControlState),
        /// The routing document; response to [`GatewayMessage::RequestDocument`].
        Document {
            /// Version of the document.
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
        /// The request was added to the leader's queue.
        Queued {
            /// Request number assigned by the gateway.
            number: u64,
        },
        /// The request may run at the given endpoints.
        Placed {
            /// Request number assigned by the gateway.
            number: u64,
            /// Endpoints for the prefill and the decode.
            placement: Placement,
        },
        /// The request will not be placed.
        Rejected {
            /// Request number assigned by the gateway.
            number: u64,
            /// Reason for the rejection.
            reason: PlacementRefusal,
            /// Estimated time until capacity is available.
            retry_after: Duration,
        },
        /// Response to [`GatewayMessage::BorrowQuota`].
        QuotaLent {
            /// Account that the quota belongs to.
            account: AccountId,
            /// Granted amount; may be less than requested.
            lent: Tokens,
        },
        /// The receiver of [`GatewayMessage::BorrowQuota`] is not the leader.
        NotLeaderForQuota {
            /// Account that the quota belongs to.
            account: AccountId,
        },
        /// The receiver of [`GatewayMessage::RequestPlacement`] is not the leader.
        NotLeader {
            /// Request number assigned by the gateway.
            number: u64,
        },
    }

    /// Cluster state as seen by one control instance.
    #[derive(Default)]
    pub struct ControlState {
        /// Data centre of the instance.
        pub data_centre: Option<DataCentreId>,
        /// Current consensus term of the instance.
        pub term: u64,
        /// Leader of that term, if known.
        pub leader: Option<InstanceId>,
        /// All control instances of the cluster, voters and learners.
        pub members: Vec<InstanceId>,
        /// Version of the adopted routing document.
        pub version: Option<DocumentVersion>,
        /// Number of gateways connected to this instance.
        pub gateways: u32,
        /// Data centres that receive no new work.
        pub data_centres_out: Vec<DataCentreId>,
        /// Log index of the last routing change; orders the states of different instances.
        pub routing_index: u64,
    }
}
