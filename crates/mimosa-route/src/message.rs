//! What gateways and control instances say to each other, over TCP with `postcard` frames.

use std::sync::Arc;

use mimosa_protocol::DataCentreId;
use mimosa_protocol::InstanceId;
use mimosa_protocol::data;

use crate::endpoint::EndpointList;
use crate::model::DocumentVersion;

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
        /// Answers [`ControlMessage::State`]: the connection is alive in both directions.
        Alive,
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
        /// The endpoints.
        Endpoints(Arc<EndpointList>),
    }

    /// What a control instance knows.
    #[derive(Default)]
    pub struct ControlState {
        /// Its term.
        pub term: u64,
        /// Who leads in that term.
        pub leader: Option<InstanceId>,
        /// All control instances.
        pub members: Vec<InstanceId>,
        /// The version of the routing document.
        pub version: Option<DocumentVersion>,
        /// The data centres that get no new work.
        pub out: Vec<DataCentreId>,
        /// Orders the states of different instances: a higher number is newer.
        pub changed: u64,
    }
}
