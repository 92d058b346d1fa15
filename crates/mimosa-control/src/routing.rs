//! Routing on a control instance: routing orders of operators, the gateway port and the endpoint
//! list.

use std::sync::Arc;
use std::time::Duration;

use axum::Router;
use log::info;
use log::warn;
use mimosa_consensus::LogIndex;
use mimosa_protocol::DataCentreId;
use mimosa_protocol::FencingToken;
use mimosa_protocol::InstanceId;
use mimosa_protocol::ServiceId;
use mimosa_protocol::ServiceVersion;
use mimosa_protocol::configuration::EndpointRole;
use mimosa_route::DocumentFormat;
use mimosa_route::DocumentVersion;
use mimosa_route::InvalidConfiguration;
use mimosa_route::ListedEndpoint;
use mimosa_state::CommandResult;
use mimosa_state::Operation;
use mimosa_state::StateMachine;
use mimosa_state::rollouts::MAX_DURATION;
use mimosa_state::rollouts::Rollout;
use mimosa_state::rollouts::RolloutOrdered;
use mimosa_state::rollouts::RolloutRefusal;
use mimosa_state::routing::AdoptedDocument;
use mimosa_transport::reserved_buffer::ProcessMemory;
use tokio::time::Instant;
use tokio::time::timeout_at;

use crate::replicator::BoxFuture;
use crate::replicator::ProposeError;
use crate::replicator::Replicator;
use crate::shared::SharedState;

pub mod balancer;
pub mod dispatch;
pub mod gateway_port;
pub mod listing;
pub mod metrics;
pub mod published;
pub mod rollouts;
pub mod speeds;

/// Maximum size of a routing document; fits some hundred thousand routes.
pub const MAX_DOCUMENT_BYTES: usize = 32 << 20;

/// Time limit for learning which changes precede an order. Operators send an order again, to another
/// instance, after 1 s without an answer, and may revoke it once that is confirmed; an order that is
/// placed in the log earlier precedes such changes.
const RECEIPT_TIMEOUT: Duration = Duration::from_millis(800);

/// The integration of a platform: its document format, endpoint list, operator API and engine API.
#[derive(Clone)]
pub struct Integration {
    /// Parses routing documents.
    pub format: Arc<dyn DocumentFormat>,
    /// Lists the endpoints of all services.
    pub source: Arc<dyn EndpointSource>,
    /// Builds the operator HTTP API.
    pub operators: Arc<dyn OperatorInterface>,
    /// Sends orders to engines.
    pub engines: Arc<dyn EngineControl>,
    /// Interval of the reads of the endpoint list.
    pub list_interval: Duration,
}

/// A source of the endpoints of all services.
pub trait EndpointSource: Send + Sync + 'static {
    /// Reads the complete list, with its pages in the memory account while they arrive. The caller drops the future
    /// after its time limit.
    fn list<'a>(
        &'a self,
        memory: &'a ProcessMemory,
    ) -> BoxFuture<'a, Result<Vec<ListedEndpoint>, ListError>>;
}

/// Why the endpoint list could not be read.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum ListError {
    /// The source limits the rate of calls.
    #[error("the list's source asks for fewer calls")]
    RateLimited,
    /// The call failed, with its cause.
    #[error("{0}")]
    Failed(String),
}

/// Sends orders to engines.
pub trait EngineControl: Send + Sync + 'static {
    /// The number of orders that an engine has accepted since its start. An error while an order is
    /// in progress.
    fn accepted_orders(&self, endpoint: &ListedEndpoint)
    -> BoxFuture<'_, Result<u64, EngineError>>;

    /// Orders an engine to change its role; returns once the engine has accepted the order.
    fn change_role(
        &self,
        endpoint: &ListedEndpoint,
        role: EndpointRole,
        fencing: OrderFencing,
    ) -> BoxFuture<'_, Result<(), EngineError>>;
}

/// Fencing data of an order: its sender, and the number of earlier orders it expects.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct OrderFencing {
    /// The control instance that sends the order.
    pub holder: InstanceId,
    /// Increases with each change of the holder.
    pub token: FencingToken,
    /// Number of orders that the engine must have accepted since its start for this one to be
    /// valid.
    pub expected_accepted: u64,
}

/// Why an order was not accepted, or its outcome is unknown.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum EngineError {
    /// The engine refused the order, with its reason.
    #[error("the engine refused the order: {0}")]
    Refused(String),
    /// No answer arrived; the order can still take effect, even much later.
    #[error("no clear answer: {0}")]
    OutcomeUnknown(String),
}

/// The HTTP API for routing orders of operators.
pub trait OperatorInterface: Send + Sync + 'static {
    /// Builds the routes, which call `orders`.
    fn router(&self, orders: RoutingOrders) -> Router;
}

/// The orders that change routing. They take effect without a separate confirm.
#[derive(Clone)]
pub struct RoutingOrders {
    /// Parses routing documents, so that an invalid one is refused before it is proposed.
    pub format: Arc<dyn DocumentFormat>,
    /// The replicated log, to which the orders are proposed.
    pub replicator: Arc<dyn Replicator>,
    /// The applied state, from which the document in force is read.
    pub shared: Arc<SharedState>,
}

/// Why an order did not take effect, or its outcome is unknown.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum OrderError {
    /// The document is invalid; nothing changed.
    #[error("{0}")]
    Invalid(#[from] InvalidConfiguration),
    /// No quorum confirmed the order; the cause tells whether it can still take effect.
    #[error("{0}")]
    Unconfirmed(#[from] ProposeError),
    /// A later order precedes this one in the log; nothing changed.
    #[error("a later order for the data centre was confirmed first, so this one changed nothing")]
    Superseded,
    /// The adopted routing document has no such service.
    #[error("there is no service '{0}'")]
    UnknownService(ServiceId),
    /// Another rollout of the service is running.
    #[error("{0}")]
    RolloutRefused(RolloutRefusal),
    /// The duration of a rollout is out of range.
    #[error("a rollout takes more than 0 s and at most {} s", MAX_DURATION.as_secs())]
    BadDuration,
    /// This instance cannot prove that its state is current.
    #[error("this control instance cannot prove that it is current")]
    NotCurrent,
}

impl RoutingOrders {
    /// Adopts a routing document if it is newer than the one in force; an older one changes nothing
    /// and is not an error. Returns the version of the given document.
    ///
    /// # Errors
    ///
    /// If the document is invalid or no quorum confirmed the order.
    pub async fn adopt(&self, bytes: &[u8]) -> Result<DocumentVersion, OrderError> {
        let cfg = self.format.read(bytes).inspect_err(|e| {
            info!("order=adopt outcome=refused reason=\"{e}\"");
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

    /// Takes a data centre out of routing (`out` is true) or returns it, unless the opposite was
    /// ordered after the receipt of this order and reached the log before it.
    ///
    /// # Errors
    ///
    /// If no quorum confirmed the order, if a later order preceded it in the log, or if its receipt
    /// could not be placed in the log within [`RECEIPT_TIMEOUT`].
    pub async fn set_data_centre_out(
        &self,
        data_centre: DataCentreId,
        out: bool,
    ) -> Result<(), OrderError> {
        let as_of = self.receipt_index().await?;
        let operation = Operation::OrderDataCentreOut {
            data_centre: data_centre.clone(),
            out,
            as_of: as_of.get(),
        };
        let changed = self.propose(operation).await.inspect_err(|e| {
            info!(
                "order=set_out data_centre={data_centre} out={out} as_of={as_of} outcome=\"{e}\""
            );
        })?;
        info!(
            "order=set_out data_centre={data_centre} out={out} as_of={as_of} outcome=confirmed \
             changed={changed}"
        );
        Ok(())
    }

    /// The log index that separates the changes before the receipt of an order from those after it.
    async fn receipt_index(&self) -> Result<LogIndex, OrderError> {
        let deadline = Instant::now() + RECEIPT_TIMEOUT;
        let index = timeout_at(deadline, self.replicator.read_barrier()).await;
        // After a freeze of this process the index may be known although the deadline has passed.
        match index {
            Ok(Ok(index)) if Instant::now() <= deadline => Ok(index),
            _ => Err(OrderError::NotCurrent),
        }
    }

    /// Starts a rollout of a service, or acknowledges the repetition of its order.
    ///
    /// # Errors
    ///
    /// If the duration is out of range, the service is unknown, another rollout of it is running, or no
    /// quorum confirmed the order.
    pub async fn start_rollout(
        &self,
        service: ServiceId,
        to: ServiceVersion,
        duration: Duration,
    ) -> Result<RolloutOrdered, OrderError> {
        if duration.is_zero() || duration > MAX_DURATION {
            return Err(OrderError::BadDuration);
        }
        self.receipt_index().await?;
        if !self.is_known(&service)? {
            return Err(OrderError::UnknownService(service));
        }
        let operation = Operation::StartRollout {
            service: service.clone(),
            to: to.clone(),
            duration,
        };
        let result = self.replicator.propose(operation).await;
        let ordered = match result {
            Ok(CommandResult::RolloutStarted(ordered)) => {
                ordered.map_err(OrderError::RolloutRefused)
            }
            Ok(other) => {
                warn!("unexpected result of an order for a rollout: {other:?}");
                Err(ProposeError::OutcomeUnknown.into())
            }
            Err(e) => Err(e.into()),
        };
        let duration_ms = duration.as_millis();
        match &ordered {
            Ok(ordered) => info!(
                "order=rollout service={service} to={to} duration_ms={duration_ms} \
                 outcome=confirmed rollout={} started={}",
                ordered.number, ordered.started
            ),
            Err(e) => info!(
                "order=rollout service={service} to={to} duration_ms={duration_ms} outcome=\"{e}\""
            ),
        }
        ordered
    }

    /// The latest rollout of a service; `None` if it never had one.
    ///
    /// # Errors
    ///
    /// If this instance cannot prove that it is current.
    pub async fn rollout(&self, service: &ServiceId) -> Result<Option<Rollout>, OrderError> {
        let barrier = self.replicator.read_barrier().await;
        barrier.map_err(|_| OrderError::NotCurrent)?;
        let rollout = |machine: &StateMachine| machine.rollouts().get(service).cloned();
        Ok(self.shared.read(rollout))
    }

    /// Whether the adopted document has a service.
    fn is_known(&self, service: &ServiceId) -> Result<bool, OrderError> {
        let document = self.shared.read(|machine| {
            let document = machine.routing().document();
            document.map(|document| Arc::clone(&document.bytes))
        });
        let Some(document) = document else {
            return Ok(false);
        };
        let cfg = self.format.read(&document).map_err(|e| {
            warn!("cannot read the adopted document: {e}");
            OrderError::NotCurrent
        })?;
        Ok(cfg.services.iter().any(|known| known.id == *service))
    }

    /// The bytes of the document in force; `None` before the first one.
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
            Ok(CommandResult::RoutingSuperseded) => Err(OrderError::Superseded),
            Ok(other) => {
                warn!("unexpected result of a routing order: {other:?}");
                Err(ProposeError::OutcomeUnknown.into())
            }
            Err(e) => {
                warn!("outcome=unconfirmed reason=\"{e}\"");
                Err(e.into())
            }
        }
    }
}
