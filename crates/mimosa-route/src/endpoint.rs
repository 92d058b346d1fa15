//! Endpoints as reported by an external discovery list.

use std::net::SocketAddr;
use std::time::Duration;

use mimosa_protocol::DataCentreId;
use mimosa_protocol::EndpointId;
use mimosa_protocol::ServiceId;
use mimosa_protocol::ServiceVersion;
use mimosa_protocol::configuration::EndpointRole;
use mimosa_protocol::configuration::EndpointState;
use mimosa_protocol::data;

data! {
    /// One process lifetime of an endpoint, as listed by the discovery source.
    pub struct ListedEndpoint {
        /// Identifier; usually a new one after each restart.
        pub id: EndpointId,
        /// Service that the endpoint provides.
        pub service: ServiceId,
        /// Address at which the endpoint accepts HTTP requests.
        pub address: SocketAddr,
        /// Data centre in which the endpoint runs.
        pub data_centre: DataCentreId,
        /// Role: prefill, decode or plain HTTP.
        pub role: EndpointRole,
        /// Whether the endpoint accepts new work.
        pub state: EndpointState,
        /// Number of requests that the endpoint runs concurrently.
        pub slots: u32,
        /// Remaining warm-up time at the moment of the read.
        pub cold_remaining: Duration,
        /// Start time in milliseconds since the Unix epoch; distinguishes restarts under the same
        /// identifier.
        pub started_at_ms: u64,
        /// Software version of the endpoint; `None` if the source names none that is valid.
        pub version: Option<ServiceVersion>,
    }

    /// Endpoint list as last read by one control instance.
    #[derive(Default)]
    pub struct EndpointList {
        /// Consensus term in which the reader was leader; a list of a lower term is outdated.
        pub term: u64,
        /// Sequence number of the list within the term; incremented on each change.
        pub sequence: u64,
        /// Endpoints in no particular order.
        pub endpoints: Vec<ListedEndpoint>,
    }
}
