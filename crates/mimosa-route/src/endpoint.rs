//! Endpoints as a list outside the system tells of them.

use std::net::SocketAddr;
use std::time::Duration;

use mimosa_protocol::DataCentreId;
use mimosa_protocol::EndpointId;
use mimosa_protocol::ServiceId;
use mimosa_protocol::configuration::EndpointRole;
use mimosa_protocol::configuration::EndpointState;
use mimosa_protocol::data;

data! {
    /// One life of an endpoint.
    pub struct ListedEndpoint {
        /// Its name; mostly a new one for each life.
        pub id: EndpointId,
        /// The service that it serves.
        pub service: ServiceId,
        /// Where it listens.
        pub address: SocketAddr,
        /// Where it stands.
        pub data_centre: DataCentreId,
        /// What it does.
        pub role: EndpointRole,
        /// Whether it takes new work.
        pub state: EndpointState,
        /// Requests at once.
        pub slots: u32,
        /// How much longer it is cold.
        pub cold_remaining: Duration,
        /// When it started, in milliseconds since the Unix epoch; tells two lives under one name
        /// apart.
        pub started_at_ms: u64,
    }

    /// The endpoints as one control instance last read them.
    #[derive(Default)]
    pub struct EndpointList {
        /// The term in which the reader led; a list of a lower term is older.
        pub term: u64,
        /// Counts the changed lists of a term.
        pub sequence: u64,
        /// The endpoints.
        pub endpoints: Vec<ListedEndpoint>,
    }
}
