//! What gateways and control instances say to each other, over TCP with `postcard` frames.

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
    /// From a gateway to a control instance.
    pub enum GatewayMessage {
        /// Opens a connection.
        Hello {
            /// The system that the gateway belongs to.
            cluster: String,
            /// The gateway.
            instance: InstanceId,
            /// Where it stands.
            data_centre: DataCentreId,
        },
        /// Asks for the routing document.
        WantDocument,
        /// Asks for buckets of the list of endpoints.
        WantEndpoints {
            /// The buckets.
            buckets: Vec<u16>,
        },
        /// Asks the leader to place a request.
        Ask {
            /// The service that it wants.
            service: ServiceId,
            /// The request.
            ask: PlacementRequest,
        },
        /// Asks the leader for a part of an account's quota, for requests that the gateway admits by
        /// itself.
        Borrow {
            /// The account.
            account: AccountId,
            /// How much.
            wanted: Tokens,
        },
        /// Tells a new leader of a request that runs already.
        Held {
            /// Its service.
            service: ServiceId,
            /// The request.
            held: RunningRequest,
        },
        /// All requests of the gateway that wait or run; what else the leader knows of is over. Sent
        /// in answer to each heartbeat of the leader, as messages are lost with their connection.
        Holding {
            /// The gateway's numbers for them.
            numbers: Vec<u64>,
        },
        /// The prompt of a placed request was processed.
        Prefilled {
            /// The gateway's number for the request.
            number: u64,
            /// How long the prefill endpoint took.
            took: Duration,
        },
        /// The first output of a placed request arrived.
        Started {
            /// The gateway's number for the request.
            number: u64,
        },
        /// A placed request ended, or its caller left the queue.
        Ended {
            /// The gateway's number for the request.
            number: u64,
            /// How.
            end: RunEnd,
        },
    }

    /// From a control instance to a gateway.
    pub enum ControlMessage {
        /// What this instance knows; sent on each change and as a heartbeat.
        State(ControlState),
        /// The routing document, asked for by [`GatewayMessage::WantDocument`].
        Document {
            /// Its version.
            version: DocumentVersion,
            /// The document as the operator sent it.
            bytes: Arc<[u8]>,
        },
        /// Which list of endpoints the leader has: its first word on them on a connection.
        EndpointDigest(ListDigest),
        /// What changed in the list.
        EndpointChange(ListChange),
        /// A part of the list, asked for by [`GatewayMessage::WantEndpoints`].
        EndpointParts(ListParts),
        /// A request waits in the leader's queue.
        Queued {
            /// The gateway's number for the request.
            number: u64,
        },
        /// A request may run.
        Placed {
            /// The gateway's number for the request.
            number: u64,
            /// Where.
            placement: Placement,
        },
        /// A request may not run.
        Unplaced {
            /// The gateway's number for the request.
            number: u64,
            /// Why.
            why: PlacementRefusal,
            /// When room is expected.
            retry_after: Duration,
        },
        /// Answers [`GatewayMessage::Borrow`].
        Lent {
            /// The account.
            account: AccountId,
            /// How much; may be less than wanted.
            lent: Tokens,
        },
        /// The receiver of [`GatewayMessage::Borrow`] does not lead.
        NotLending {
            /// The account.
            account: AccountId,
        },
        /// The receiver of an ask does not lead.
        NotLeading {
            /// The gateway's number for the request.
            number: u64,
        },
    }

    /// What a control instance knows.
    #[derive(Default)]
    pub struct ControlState {
        /// Where it stands.
        pub data_centre: Option<DataCentreId>,
        /// Its term.
        pub term: u64,
        /// Who leads in that term.
        pub leader: Option<InstanceId>,
        /// All control instances.
        pub members: Vec<InstanceId>,
        /// The version of the routing document.
        pub version: Option<DocumentVersion>,
        /// Gateways that are connected to this instance.
        pub gateways: u32,
        /// The data centres that get no new work.
        pub out: Vec<DataCentreId>,
        /// Orders the states of different instances: a higher number is newer.
        pub changed: u64,
    }
}
