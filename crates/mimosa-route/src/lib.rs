//! Routes by host and path.
//!
//! A [`RoutingConfiguration`] is adopted whole under a version that an outside system counts. It is
//! checked by [`validation::validate`], and turned into a [`RouteTable`] that finds the route and the client
//! account of a request without a lock. A [`DocumentFormat`] reads it from the document in which
//! operators send it.

pub mod endpoint;
pub mod message;
pub mod model;
pub mod sync;
pub mod table;
pub mod validation;

pub use crate::endpoint::EndpointList;
pub use crate::endpoint::ListedEndpoint;
pub use crate::model::AccountQuota;
pub use crate::model::ClientLimits;
pub use crate::model::ColdStart;
pub use crate::model::DocumentVersion;
pub use crate::model::EngineSpec;
pub use crate::model::RetryPolicy;
pub use crate::model::Route;
pub use crate::model::RoutedAccount;
pub use crate::model::RoutedService;
pub use crate::model::RoutingConfiguration;
pub use crate::model::WeightedService;
pub use crate::table::RouteTable;
pub use crate::validation::InvalidConfiguration;

/// Reads a routing configuration from the document in which operators send it.
pub trait DocumentFormat: Send + Sync + 'static {
    /// Reads and checks a document.
    ///
    /// # Errors
    ///
    /// The first flaw that makes it invalid.
    fn read(&self, document: &[u8]) -> Result<RoutingConfiguration, InvalidConfiguration>;
}
