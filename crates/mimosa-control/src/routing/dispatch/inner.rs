//! The state of a dispatcher that its lock protects.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::collections::HashMap;
use std::sync::Arc;
use std::time::Duration;

use log::info;
use log::warn;
use mimosa_hold::part_quarantine::PartQuarantine;
use mimosa_limit::quota::InitialLevel;
use mimosa_limit::quota::OverQuota;
use mimosa_limit::quota::QuotaLimits;
use mimosa_limit::quota::Quotas;
use mimosa_limit::quota::Tolerance;
use mimosa_protocol::AccountId;
use mimosa_protocol::DataCentreId;
use mimosa_protocol::EndpointId;
use mimosa_protocol::Features;
use mimosa_protocol::Incarnation;
use mimosa_protocol::InstanceId;
use mimosa_protocol::ServiceId;
use mimosa_protocol::Timestamp;
use mimosa_protocol::TokenRate;
use mimosa_protocol::Tokens;
use mimosa_protocol::configuration::EndpointRole;
use mimosa_protocol::configuration::EndpointState;
use mimosa_rollout::RolloutNumber;
use mimosa_rollout::RolloutPhase;
use mimosa_rollout::RolloutView;
use mimosa_rollout::exposure::PERMIT_LEASE;
use mimosa_route::RouteTable;
use mimosa_route::message::ControlMessage;
use mimosa_schedule::cold::Pacing;
use mimosa_schedule::fair_share::Weights;
use mimosa_schedule::fleet::Action;
use mimosa_schedule::fleet::Event;
use mimosa_schedule::fleet::FleetScheduler;
use mimosa_schedule::fleet::GatewayRequestId;
use mimosa_schedule::fleet::PlacementRefusal;
use mimosa_schedule::fleet::PlacementRequest;
use mimosa_schedule::fleet::RunEnd;
use mimosa_schedule::fleet::Settings;
use mimosa_schedule::fleet::View;
use mimosa_schedule::fleet::ViewEndpoint;
use tokio::sync::mpsc;
use tokio::time::Instant;

use crate::connection_order::ConnectionNumber;
use crate::routing::dispatch::request_index::RequestIndex;
use crate::routing::metrics::Metrics;
use crate::routing::published::PublishedList;
use crate::routing::rollouts::RolloutDriver;
use crate::routing::speeds::ServiceSpeeds;

/// Time in which gateways report their running requests to a new leader before it places new ones.
const TAKEOVER_DELAY: Duration = Duration::from_millis(200);

/// The locked state. A change of leadership clears the scheduling state, but not the connections of
/// gateways.
#[derive(Default)]
pub(super) struct Inner {
    pub(super) metrics: Metrics,
    pub(super) features: Features,
    pub(super) leads: bool,
    /// Term of the latest change of leadership.
    pub(super) term: u64,
    pub(super) lead_since: Timestamp,
    /// When the state of the schedulers was last logged.
    pub(super) last_summary_at: Timestamp,
    /// The first log index of this leader's term.
    pub(super) leads_from: u64,
    pub(super) fleets: HashMap<ServiceId, FleetScheduler>,
    /// The waiting and running requests.
    pub(super) requests: RequestIndex,
    pub(super) gateways: HashMap<InstanceId, GatewayConnection>,
    pub(super) disconnected: HashMap<InstanceId, Timestamp>,
    pub(super) table: RouteTable,
    pub(super) quotas: Quotas,
    /// Prompt parts and requests that may crash endpoints.
    pub(super) quarantine: PartQuarantine,
    /// Speeds of plain endpoints.
    pub(super) speeds: ServiceSpeeds,
    /// The overloaded accounts that were last published, with the admitted part in thousandths.
    pub(super) overloaded: BTreeMap<AccountId, u16>,
    /// When they were last published.
    pub(super) overloaded_at: Timestamp,
    /// How far accounts may exceed their quotas.
    pub(super) tolerance: Tolerance,
    /// Whether requests are queued by fair shares of the accounts.
    pub(super) has_fair_shares: bool,
    /// Weights of the accounts for fair shares; `None` if these are disabled.
    pub(super) weights: Option<Arc<Weights>>,
    /// The quota charge of each waiting or placed request.
    pub(super) charges: HashMap<GatewayRequestId, Charge>,
    pub(super) published: Arc<PublishedList>,
    pub(super) data_centres_out: BTreeSet<DataCentreId>,
    /// Endpoints with an ordered role change.
    pub(super) role_changes: HashMap<EndpointId, PendingRoleChange>,
    /// The log index of the routing state in `table` and `data_centres_out`.
    pub(super) routing_index: Option<u64>,
    /// The latest rollout of each service.
    pub(super) rollouts: HashMap<ServiceId, RolloutView>,
    /// The log index of the state in `rollouts`.
    pub(super) rollouts_index: Option<u64>,
}

/// A role change in progress.
pub(super) struct PendingRoleChange {
    pub(super) role: EndpointRole,
    pub(super) deadline: Timestamp,
}

/// The quota charge of a request.
pub(super) struct Charge {
    pub(super) account: AccountId,
    pub(super) cost: Tokens,
    pub(super) charged_at: Timestamp,
}

/// The current connection of a gateway.
pub(super) struct GatewayConnection {
    pub(super) connection: ConnectionNumber,
    /// The process that opened it.
    pub(super) incarnation: Incarnation,
    pub(super) outbox: mpsc::Sender<ControlMessage>,
}

impl Inner {
    pub(super) fn configure_fleets(&mut self, now: Timestamp) {
        if self.published.list.term == 0 {
            // This leader has not read the endpoint list yet.
            return;
        }
        let services = self.table.configuration().services.iter();
        let views: Vec<(ServiceId, View)> = services
            .filter_map(|service| {
                let engine = service.engine?;
                let view = View {
                    memory: engine.kv_capacity,
                    slots: engine.slots,
                    cold_pacing: Pacing::single_sender(service.cold_start.per_kilosecond),
                    max_pause: self.table.event_gap_target(&service.id),
                    endpoints: self.view_endpoints(now, &service.id),
                    rollout: self.rollouts.get(&service.id).cloned(),
                    weights: self.weights.clone(),
                };
                Some((service.id.clone(), view))
            })
            .collect();
        for (service, view) in views {
            self.handle(now, &service, Event::Configure(view));
        }
    }

    /// Returns endpoints to placement when the list shows their new role or the deadline has
    /// passed.
    pub(super) fn finish_role_changes(&mut self, now: Timestamp) {
        let before = self.role_changes.len();
        let listed = &self.published.list.endpoints;
        self.role_changes.retain(|id, change| {
            let listed_endpoint = listed.iter().find(|endpoint| endpoint.id == *id);
            now < change.deadline
                && listed_endpoint.is_some_and(|endpoint| endpoint.role != change.role)
        });
        if self.role_changes.len() != before {
            self.configure_fleets(now);
        }
    }

    /// Sets the weights of the accounts to their quota rates, if fair shares are enabled.
    pub(super) fn configure_weights(&mut self) {
        let accounts = self.table.configuration().accounts.iter();
        let rates = accounts.filter_map(|account| {
            let rate = TokenRate(account.quota?.rate.0);
            Some((account.id.clone(), rate))
        });
        self.weights = self.has_fair_shares.then(|| Arc::new(Weights::new(rates)));
    }

    pub(super) fn configure_quotas(&mut self, now: Timestamp, initial_level: InitialLevel) {
        let tolerance = self.tolerance;
        let accounts = self.table.configuration().accounts.iter();
        let limits = accounts.filter_map(|account| {
            let quota = account.quota?;
            let limits = QuotaLimits {
                rate: TokenRate(quota.rate.0),
                burst: quota.burst,
            };
            Some((account.id.clone(), tolerance.apply(limits)))
        });
        self.quotas.configure(now, limits, initial_level);
    }

    /// Charges a request to its account. If the quota does not suffice, rejects the request and
    /// returns false.
    pub(super) fn charge(&mut self, now: Timestamp, request: &PlacementRequest) -> bool {
        let Some(account) = &request.account else {
            return true;
        };
        let cost = request.prompt + request.max_output;
        let (reason, retry_after) = match self.quotas.charge(now, account, cost) {
            Ok(()) => {
                let charge = Charge {
                    account: account.clone(),
                    cost,
                    charged_at: now,
                };
                self.charges.insert(request.id.clone(), charge);
                return true;
            }
            Err(OverQuota::RetryAfter(wait)) => (PlacementRefusal::OverQuota, wait),
            Err(OverQuota::Never) => (PlacementRefusal::OverBurst, Duration::ZERO),
        };
        self.metrics.count_decision(reason.as_str());
        let message = ControlMessage::Rejected {
            number: request.id.number,
            reason,
            retry_after,
        };
        self.send(&request.id.gateway, message);
        false
    }

    pub(super) fn refund(&mut self, now: Timestamp, charge: &Charge) {
        let Charge {
            account,
            cost,
            charged_at,
        } = charge;
        self.quotas.refund(now, *charged_at, account, *cost);
    }

    pub(super) fn view_endpoints(&self, now: Timestamp, service: &ServiceId) -> Vec<ViewEndpoint> {
        let age = self.published.age(Instant::now());
        let listed = self.published.list.endpoints.iter();
        listed
            .filter(|endpoint| {
                endpoint.service == *service && endpoint.state == EndpointState::Active
            })
            .filter(|endpoint| !self.data_centres_out.contains(&endpoint.data_centre))
            .filter(|endpoint| !self.role_changes.contains_key(&endpoint.id))
            .map(|endpoint| ViewEndpoint {
                id: endpoint.id.clone(),
                data_centre: endpoint.data_centre.clone(),
                role: endpoint.role,
                cold_until: now + endpoint.cold_remaining.saturating_sub(age),
                version: endpoint.version.clone(),
            })
            .collect()
    }

    pub(super) fn handle(&mut self, now: Timestamp, service: &ServiceId, event: Event) {
        let wait_until = self.lead_since + TAKEOVER_DELAY;
        let settings = Settings {
            endpoint_speeds: self.features.endpoint_speeds,
            uneven_speeds: self.features.uneven_speeds,
            ..Settings::default()
        };
        let fleet = self
            .fleets
            .entry(service.clone())
            .or_insert_with(|| FleetScheduler::new(settings, wait_until));
        let actions = fleet.handle(now, event);
        self.execute(now, actions);
    }

    pub(super) fn handle_for_request(
        &mut self,
        now: Timestamp,
        id: &GatewayRequestId,
        event: Event,
    ) {
        if let Some(service) = self.requests.service(id).cloned() {
            self.handle(now, &service, event);
        }
    }

    pub(super) fn execute(&mut self, now: Timestamp, actions: Vec<Action>) {
        for action in actions {
            match action {
                Action::Place { id, placement } => {
                    self.metrics.count_decision("placed");
                    let number = id.number;
                    let message = ControlMessage::Placed { number, placement };
                    self.send(&id.gateway, message);
                }
                Action::Refuse {
                    id,
                    reason,
                    retry_after,
                } => {
                    self.metrics.count_decision(reason.as_str());
                    self.requests.remove(&id);
                    if let Some(charge) = self.charges.remove(&id) {
                        self.refund(now, &charge);
                    }
                    let message = ControlMessage::Rejected {
                        number: id.number,
                        reason,
                        retry_after,
                    };
                    self.send(&id.gateway, message);
                }
            }
        }
    }

    /// Supplies the schedulers of services under test with permits for the new version. Those that are
    /// left return to the account first, so that the account decides about them again.
    pub(super) fn grant_permits(&mut self, now: Timestamp, driver: &RolloutDriver) {
        /// Most permits of a scheduler at a time. Their lease and the interval of this call are short.
        const MAX_PERMITS: u32 = 16;
        let testing: Vec<(ServiceId, RolloutNumber)> = self
            .rollouts
            .values()
            .filter(|rollout| rollout.phase == RolloutPhase::Testing)
            .filter(|rollout| self.fleets.contains_key(&rollout.service))
            .map(|rollout| (rollout.service.clone(), rollout.number))
            .collect();
        for (service, number) in testing {
            let unused = self
                .fleets
                .get(&service)
                .map_or(0, FleetScheduler::unused_permits);
            for _ in 0..unused {
                driver.return_permit(&service, number);
            }
            let taken =
                (0..MAX_PERMITS).take_while(|_| driver.take_permit(&service) == Some(number));
            let permits = u32::try_from(taken.count()).unwrap_or_default();
            let event = Event::GrantPermits {
                rollout: number,
                permits,
                endpoints: driver.endpoints_in_test(&service),
                until: now + PERMIT_LEASE,
            };
            self.handle(now, &service, event);
        }
    }

    /// Ends requests that a gateway no longer runs; the report of their end was lost with a
    /// connection.
    pub(super) fn reconcile(&mut self, now: Timestamp, gateway: &InstanceId, numbers: &[u64]) {
        let ended: Vec<(GatewayRequestId, ServiceId)> =
            self.requests.of_gateway_except(gateway, numbers).collect();
        for (id, service) in ended {
            info!("gateway={gateway} number={} state=over", id.number);
            self.requests.remove(&id);
            self.charges.remove(&id);
            let end = RunEnd::Aborted;
            self.handle(now, &service, Event::Ended { id, end });
        }
    }

    /// Tells a gateway which of its active requests this leader does not know, so that those that wait are
    /// submitted again. The gateway ignores it for requests that run, or were decided in the meantime.
    pub(super) fn return_unknown(&self, gateway: &InstanceId, numbers: &[u64]) {
        for number in self.requests.unknown_of(gateway, numbers) {
            info!("gateway={gateway} number={number} state=unknown");
            self.send(gateway, ControlMessage::NotLeader { number });
        }
    }

    pub(super) fn remove_lost_gateways(&mut self, now: Timestamp) {
        let lost = self.disconnected.iter().filter(|(_, at)| now >= **at);
        let lost: Vec<InstanceId> = lost.map(|(gateway, _)| gateway.clone()).collect();
        for gateway in lost {
            info!("gateway={gateway} state=forgotten");
            self.disconnected.remove(&gateway);
            self.gateways.remove(&gateway);
            self.end_requests(now, &gateway);
        }
    }

    /// Ends all requests of a gateway whose process ended.
    pub(super) fn end_requests(&mut self, now: Timestamp, gateway: &InstanceId) {
        self.requests.remove_gateway(gateway);
        self.charges.retain(|id, _| id.gateway != *gateway);
        let services: Vec<ServiceId> = self.fleets.keys().cloned().collect();
        for service in &services {
            let gateway = gateway.clone();
            self.handle(now, service, Event::GatewayLost { gateway });
        }
    }

    /// Whether a connection is the newest of its gateway.
    pub(super) fn is_current(&self, gateway: &InstanceId, connection: ConnectionNumber) -> bool {
        let current = self.gateways.get(gateway);
        current.is_some_and(|current| current.connection == connection)
    }

    pub(super) fn send(&self, gateway: &InstanceId, message: ControlMessage) {
        let connection = self.gateways.get(gateway);
        let is_sent =
            connection.is_some_and(|connection| connection.outbox.try_send(message).is_ok());
        if !is_sent {
            warn!("gateway={gateway} message=dropped");
        }
    }
}
