//! Moves engines between the prefill and decode pools, one at a time.
//!
//! Only the leader sends orders, and only after the order leases of all earlier leaders have
//! expired. Each order carries the term as its fencing token: an engine that checks it rejects
//! orders of an earlier leader after one of a later leader.

use std::sync::Arc;
use std::time::Duration;

use log::info;
use log::warn;
use mimosa_protocol::FencingToken;
use mimosa_protocol::InstanceId;
use mimosa_protocol::configuration::EndpointRole;
use mimosa_route::ListedEndpoint;
use tokio::time::Instant;
use tokio::time::sleep;

use crate::replicator::Replicator;
use crate::routing::EngineControl;
use crate::routing::OrderFencing;
use crate::routing::dispatch::Dispatcher;
use crate::routing::metrics::Metrics;

const CHECK_INTERVAL: Duration = Duration::from_millis(500);
/// Long enough for the effect of an order to show before the next one.
const MIN_ORDER_INTERVAL: Duration = Duration::from_secs(12);
/// How long a change must be recommended before it is ordered.
const MIN_BENEFIT_TIME: Duration = Duration::from_secs(3);
/// Added to the configured duration of a role change, until the endpoint list shows the new role.
const LIST_UPDATE_ALLOWANCE: Duration = Duration::from_secs(3);

/// The task that balances the roles of engines.
pub struct Balancer {
    /// The name of this instance, sent to engines as the holder of the order.
    pub instance: InstanceId,
    /// The replicated log, which tells and confirms whether this instance leads.
    pub replicator: Arc<dyn Replicator>,
    /// The schedulers, which recommend role changes.
    pub dispatcher: Arc<Dispatcher>,
    /// Receives whether this instance may send orders.
    pub metrics: Metrics,
    /// Sends the orders and counts those that an engine has accepted.
    pub engines: Arc<dyn EngineControl>,
    /// How long a previous leader may still send orders.
    pub order_lease: Duration,
}

/// A role change that would increase the served requests.
pub struct RoleChange {
    /// The endpoint, which has the other role of its service.
    pub endpoint: ListedEndpoint,
    /// The role to change to: prefill or decode.
    pub role: EndpointRole,
    /// How long the endpoint is unavailable during the change.
    pub duration: Duration,
}

impl Balancer {
    /// Checks for role changes while this instance leads, until the task is aborted.
    pub async fn run(self) {
        let mut leading: Option<(u64, Instant)> = None;
        let mut last_order: Option<Instant> = None;
        let mut candidate: Option<(EndpointRole, Instant)> = None;
        loop {
            sleep(CHECK_INTERVAL).await;
            let status = self.replicator.status();
            if status.role != "leader" {
                self.metrics.set_may_order(false);
                leading = None;
                continue;
            }
            let (term, since) = *leading.get_or_insert((status.term, Instant::now()));
            if term != status.term {
                leading = None;
                continue;
            }
            let may_order = since.elapsed() > self.order_lease * 2;
            self.metrics.set_may_order(may_order);
            let is_order_due = last_order.is_none_or(|at| at.elapsed() >= MIN_ORDER_INTERVAL);
            if !may_order || !is_order_due {
                continue;
            }
            let Some(change) = self.dispatcher.recommend_role_change() else {
                candidate = None;
                continue;
            };
            // Skips changes that help only briefly while endpoints come and go.
            let (role, since_first) = *candidate.get_or_insert((change.role, Instant::now()));
            if role != change.role {
                candidate = None;
            } else if since_first.elapsed() >= MIN_BENEFIT_TIME {
                candidate = None;
                last_order = Some(Instant::now());
                self.order_role_change(change, term).await;
            }
        }
    }

    async fn order_role_change(&self, change: RoleChange, term: u64) {
        let RoleChange {
            endpoint,
            role,
            duration,
        } = change;
        let accepted = match self.engines.accepted_orders(&endpoint).await {
            Ok(accepted) => accepted,
            Err(e) => return warn!("endpoint={} order=role outcome=\"{e}\"", endpoint.id),
        };
        // Confirms that no other instance has become leader meanwhile.
        if self.replicator.read_barrier().await.is_err() {
            return warn!(
                "endpoint={} order=role outcome=\"leadership not confirmed\"",
                endpoint.id
            );
        }
        let fencing = OrderFencing {
            holder: self.instance.clone(),
            token: FencingToken(term),
            expected_accepted: accepted,
        };
        self.dispatcher
            .start_role_change(&endpoint.id, role, duration + LIST_UPDATE_ALLOWANCE);
        let outcome = self.engines.change_role(&endpoint, role, fencing).await;
        match outcome {
            Ok(()) => info!(
                "endpoint={} order=role role={role:?} term={term} outcome=accepted",
                endpoint.id
            ),
            Err(e) => warn!(
                "endpoint={} order=role role={role:?} term={term} outcome=\"{e}\"",
                endpoint.id
            ),
        }
    }
}
