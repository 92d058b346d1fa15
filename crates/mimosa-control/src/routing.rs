//! Routing on a control instance: its orders, the gateways that follow it, and the list of endpoints.

use std::sync::Arc;
use std::time::Duration;

use axum::Router;
use log::info;
use log::warn;
use mimosa_protocol::DataCentreId;
use mimosa_protocol::FencingToken;
use mimosa_protocol::InstanceId;
use mimosa_protocol::configuration::EndpointRole;
use mimosa_route::DocumentFormat;
use mimosa_route::DocumentVersion;
use mimosa_route::InvalidConfiguration;
use mimosa_route::ListedEndpoint;
use mimosa_state::CommandResult;
use mimosa_state::Operation;
use mimosa_state::routing::AdoptedDocument;

use crate::replicator::BoxFuture;
use crate::replicator::ProposeError;
use crate::replicator::Replicator;
use crate::shared::Shared;

pub mod balancer;
pub mod dispatch;
pub mod gateway_port;
pub mod listing;
pub mod metrics;
pub mod published;

/// What an outside system brings: how it writes documents, lists endpoints and gives orders.
#[derive(Clone)]
pub struct Integration {
    /// Reads routing documents.
    pub format: Arc<dyn DocumentFormat>,
    /// Lists the endpoints.
    pub source: Arc<dyn EndpointSource>,
    /// The operators' HTTP.
    pub operators: Arc<dyn OperatorInterface>,
    /// Gives orders to engines.
    pub engines: Arc<dyn EngineControl>,
    /// Time between two reads of the list.
    pub list_interval: Duration,
}

/// Lists the endpoints of all services.
pub trait EndpointSource: Send + Sync + 'static {
    /// Reads the whole list.
    fn list(&self) -> BoxFuture<'_, Result<Vec<ListedEndpoint>, ListError>>;
}

/// Why the list could not be read.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum ListError {
    /// The source asks for fewer calls.
    #[error("the list's source asks for fewer calls")]
    RateLimited,
    /// The call failed.
    #[error("{0}")]
    Failed(String),
}

/// Gives orders to engines.
pub trait EngineControl: Send + Sync + 'static {
    /// How many orders an engine has accepted since its start, if none is in progress.
    fn accepted_orders(&self, endpoint: &ListedEndpoint)
    -> BoxFuture<'_, Result<u64, EngineError>>;

    /// Orders an engine to take another role.
    fn change_role(
        &self,
        endpoint: &ListedEndpoint,
        role: EndpointRole,
        stamp: OrderFencing,
    ) -> BoxFuture<'_, Result<(), EngineError>>;
}

/// Who gives an order, and what it builds on.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct OrderFencing {
    /// The control instance.
    pub holder: InstanceId,
    /// Rises with each holder.
    pub token: FencingToken,
    /// Orders that the engine must have accepted before.
    pub expected_accepted: u64,
}

/// Why an order was not accepted, or may not have been.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum EngineError {
    /// The engine refused it.
    #[error("the engine refused the order: {0}")]
    Refused(String),
    /// There was no answer: it may take effect, also much later.
    #[error("no clear answer: {0}")]
    OutcomeUnknown(String),
}

/// The HTTP by which operators give routing orders.
pub trait OperatorInterface: Send + Sync + 'static {
    /// Its routes, on top of the orders.
    fn router(&self, orders: RoutingOrders) -> Router;
}

/// The orders that change routing. They are confirmed at once.
#[derive(Clone)]
pub struct RoutingOrders {
    /// Reads documents.
    pub format: Arc<dyn DocumentFormat>,
    /// The replicated log.
    pub replicator: Arc<dyn Replicator>,
    /// The applied state.
    pub shared: Arc<Shared>,
}

/// Why an order did not take effect for certain.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum OrderError {
    /// The document is invalid; nothing changed.
    #[error("{0}")]
    Invalid(#[from] InvalidConfiguration),
    /// No quorum confirmed it.
    #[error("{0}")]
    Unconfirmed(#[from] ProposeError),
    /// This instance cannot prove that its state is current.
    #[error("this control instance cannot prove that it is current")]
    NotCurrent,
}

impl RoutingOrders {
    /// Adopts a document if it is newer than the one in force. An older one changes nothing and is
    /// no error. Returns the version of the document.
    ///
    /// # Errors
    ///
    /// If the document is invalid or no quorum confirmed it.
    pub async fn adopt(&self, bytes: &[u8]) -> Result<DocumentVersion, OrderError> {
        let cfg = self.format.read(bytes).inspect_err(|flaw| {
            info!("order=adopt outcome=refused reason=\"{flaw}\"");
        })?;
        let version = cfg.version;
        let document = AdoptedDocument {
            version,
            bytes: bytes.into(),
        };
        let changed = self.propose(Operation::AdoptRouting(document)).await?;
        info!("order=adopt version={version} outcome=confirmed changed={changed}");
        Ok(version)
    }

    /// Takes a data centre out of routing, or returns it.
    ///
    /// # Errors
    ///
    /// If no quorum confirmed it.
    pub async fn set_data_centre_out(
        &self,
        data_centre: DataCentreId,
        out: bool,
    ) -> Result<(), OrderError> {
        let operation = Operation::SetDataCentreOut {
            data_centre: data_centre.clone(),
            out,
        };
        let changed = self.propose(operation).await?;
        info!(
            "order=set_out data_centre={data_centre} out={out} outcome=confirmed changed={changed}"
        );
        Ok(())
    }

    /// The document in force, as it was sent; `None` before the first one.
    ///
    /// # Errors
    ///
    /// If this instance cannot prove that it is current.
    pub async fn document(&self) -> Result<Option<Arc<[u8]>>, OrderError> {
        let barrier = self.replicator.read_barrier().await;
        barrier.map_err(|_| OrderError::NotCurrent)?;
        let document = self.shared.read(|machine| {
            let document = machine.routing().document();
            document.map(|document| Arc::clone(&document.bytes))
        });
        Ok(document)
    }

    async fn propose(&self, operation: Operation) -> Result<bool, OrderError> {
        let result = self.replicator.propose(operation).await;
        match result {
            Ok(CommandResult::RoutingChanged { changed }) => Ok(changed),
            Ok(other) => {
                warn!("an order of routing was answered by {other:?}");
                Err(ProposeError::Unclear.into())
            }
            Err(e) => {
                warn!("outcome=unconfirmed reason=\"{e}\"");
                Err(e.into())
            }
        }
    }
}
