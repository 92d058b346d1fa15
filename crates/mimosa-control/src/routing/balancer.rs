//! Moves engines between prefill and decode, one at a time.
//!
//! Only a leader gives orders, and only after everybody else's lease on them has ended. Each order
//! carries the term as its fencing number, so that none of an earlier leader counts after one of a
//! later leader at an engine that checks it.

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

/// Time between two looks at whether a change helps.
const LOOK_PERIOD: Duration = Duration::from_millis(500);
/// Time between two orders: the effect of one is seen before the next.
const ORDER_PAUSE: Duration = Duration::from_secs(12);
/// Time for which a change must have been helpful before it is ordered.
const STEADY_TIME: Duration = Duration::from_secs(3);
/// Time that a change may take beyond what the configuration says, until the list shows it.
const LIST_DELAY: Duration = Duration::from_secs(3);

/// What the balancer needs.
pub struct Balancer {
    /// This instance.
    pub own: InstanceId,
    /// The replicated log.
    pub replicator: Arc<dyn Replicator>,
    /// The schedulers.
    pub dispatcher: Arc<Dispatcher>,
    /// What is counted.
    pub metrics: Metrics,
    /// Where orders go.
    pub engines: Arc<dyn EngineControl>,
    /// How long an earlier leader may still give orders.
    pub lease: Duration,
}

/// A change that would serve more requests.
pub struct RoleChange {
    /// The endpoint.
    pub endpoint: ListedEndpoint,
    /// Its new role.
    pub role: EndpointRole,
    /// How long the endpoint is away for it.
    pub time: Duration,
}

impl Balancer {
    /// Looks for changes while this instance leads, until the task is aborted.
    pub async fn run(self) {
        let mut leads_since: Option<(u64, Instant)> = None;
        let mut ordered: Option<Instant> = None;
        let mut wanted: Option<(EndpointRole, Instant)> = None;
        loop {
            sleep(LOOK_PERIOD).await;
            let status = self.replicator.status();
            if status.role != "leader" {
                self.metrics.may_order(false);
                leads_since = None;
                continue;
            }
            let (term, since) = *leads_since.get_or_insert((status.term, Instant::now()));
            if term != status.term {
                leads_since = None;
                continue;
            }
            let holds_lease = since.elapsed() > self.lease * 2;
            self.metrics.may_order(holds_lease);
            let is_time = ordered.is_none_or(|at| at.elapsed() >= ORDER_PAUSE);
            if !holds_lease || !is_time {
                continue;
            }
            let Some(change) = self.dispatcher.better_role() else {
                wanted = None;
                continue;
            };
            // A change that helps for a moment only, while endpoints come and go, is not made.
            let (role, first) = *wanted.get_or_insert((change.role, Instant::now()));
            if role != change.role {
                wanted = None;
            } else if first.elapsed() >= STEADY_TIME {
                wanted = None;
                ordered = Some(Instant::now());
                self.order(change, term).await;
            }
        }
    }

    async fn order(&self, change: RoleChange, term: u64) {
        let RoleChange {
            endpoint,
            role,
            time,
        } = change;
        let accepted = match self.engines.accepted_orders(&endpoint).await {
            Ok(accepted) => accepted,
            Err(e) => return warn!("endpoint={} order=role outcome=\"{e}\"", endpoint.id),
        };
        // Nobody else may lead by now.
        if self.replicator.read_barrier().await.is_err() {
            return warn!(
                "endpoint={} order=role outcome=\"leadership not confirmed\"",
                endpoint.id
            );
        }
        let stamp = OrderFencing {
            holder: self.own.clone(),
            token: FencingToken(term),
            expected_accepted: accepted,
        };
        self.dispatcher
            .role_changes(&endpoint.id, role, time + LIST_DELAY);
        let outcome = self.engines.change_role(&endpoint, role, stamp).await;
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
