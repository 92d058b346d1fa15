//! Routing by host and path.
//!
//! A [`RoutingConfiguration`] is replaced as a whole under a version number that an external system
//! assigns. [`validation::validate`] checks it, and a [`RouteTable`] built from it resolves the
//! route and the client account of a request without locking. A [`DocumentFormat`] parses it from
//! the document that operators submit.

pub mod endpoint;
pub mod fetch;
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

/// Format of the routing documents that operators submit.
pub trait DocumentFormat: Send + Sync + 'static {
    /// Parses and validates a document.
    ///
    /// # Errors
    ///
    /// The first reason found why the configuration is invalid.
    fn read(&self, document: &[u8]) -> Result<RoutingConfiguration, InvalidConfiguration>;
}
