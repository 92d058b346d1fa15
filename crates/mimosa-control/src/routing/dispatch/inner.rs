//! What a dispatcher knows, behind its lock.

use std::collections::BTreeSet;
use std::collections::HashMap;
use std::sync::Arc;
use std::time::Duration;

use log::info;
use log::warn;
use mimosa_limit::quota::InitialLevel;
use mimosa_limit::quota::OverQuota;
use mimosa_limit::quota::QuotaLimits;
use mimosa_limit::quota::Quotas;
use mimosa_limit::quota::Tolerance;
use mimosa_protocol::AccountId;
use mimosa_protocol::DataCentreId;
use mimosa_protocol::EndpointId;
use mimosa_protocol::InstanceId;
use mimosa_protocol::ServiceId;
use mimosa_protocol::Timestamp;
use mimosa_protocol::TokenRate;
use mimosa_protocol::Tokens;
use mimosa_protocol::configuration::EndpointRole;
use mimosa_protocol::configuration::EndpointState;
use mimosa_route::RouteTable;
use mimosa_route::message::ControlMessage;
use mimosa_schedule::cold::Pacing;
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

use crate::routing::dispatch::tickets::Tickets;
use crate::routing::metrics::Metrics;
use crate::routing::published::Published;

/// Time in which gateways tell a new leader what they hold, before it places anything.
const HANDOVER_TIME: Duration = Duration::from_millis(200);

/// What a dispatcher knows; all but the gateways' connections is forgotten with the lead.
#[derive(Default)]
pub(super) struct Inner {
    pub(super) metrics: Metrics,
    pub(super) leads: bool,
    pub(super) lead_since: Timestamp,
    /// When the state of the schedulers was last logged.
    pub(super) summarised: Timestamp,
    /// The first log index of this term.
    pub(super) leads_from: u64,
    pub(super) fleets: HashMap<ServiceId, FleetScheduler>,
    /// The requests that wait or run.
    pub(super) tickets: Tickets,
    pub(super) gateways: HashMap<InstanceId, Connected>,
    pub(super) lost: HashMap<InstanceId, Timestamp>,
    pub(super) table: RouteTable,
    pub(super) quotas: Quotas,
    /// How far accounts may go beyond their quotas.
    pub(super) tolerance: Tolerance,
    /// What each placed or waiting request was charged, and when.
    pub(super) charges: HashMap<GatewayRequestId, Charge>,
    pub(super) published: Arc<Published>,
    pub(super) out: BTreeSet<DataCentreId>,
    /// Endpoints that were ordered to take another role.
    pub(super) changing: HashMap<EndpointId, Changing>,
    /// The log index of the routing state that `table` and `out` come from.
    pub(super) routing: Option<u64>,
}

/// A change of role that is under way.
pub(super) struct Changing {
    pub(super) role: EndpointRole,
    pub(super) until: Timestamp,
}

/// What a request was charged.
pub(super) struct Charge {
    pub(super) account: AccountId,
    pub(super) cost: Tokens,
    pub(super) at: Timestamp,
}

/// A gateway's connection.
pub(super) struct Connected {
    pub(super) connection: u64,
    pub(super) outbox: mpsc::Sender<ControlMessage>,
}

impl Inner {
    pub(super) fn configure_fleets(&mut self, now: Timestamp) {
        if self.published.list.term == 0 {
            // This leader has not read the list yet.
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
                    endpoints: self.view_endpoints(now, &service.id),
                };
                Some((service.id.clone(), view))
            })
            .collect();
        for (service, view) in views {
            self.handle(now, &service, Event::Configure(view));
        }
    }

    /// Endpoints whose new role the list shows, or that took too long, take work again.
    pub(super) fn forget_changes(&mut self, now: Timestamp) {
        let before = self.changing.len();
        let listed = &self.published.list.endpoints;
        self.changing.retain(|id, change| {
            let shown = listed.iter().find(|each| each.id == *id);
            now < change.until && shown.is_some_and(|each| each.role != change.role)
        });
        if self.changing.len() != before {
            self.configure_fleets(now);
        }
    }

    pub(super) fn configure_quotas(&mut self, now: Timestamp, new: InitialLevel) {
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
        self.quotas.configure(now, limits, new);
    }

    /// Charges a request to its account. Returns whether the account had enough left.
    pub(super) fn charge(&mut self, now: Timestamp, ask: &PlacementRequest) -> bool {
        let Some(account) = &ask.account else {
            return true;
        };
        let cost = ask.prompt + ask.max_output;
        let (why, retry_after) = match self.quotas.charge(now, account, cost) {
            Ok(()) => {
                let charge = Charge {
                    account: account.clone(),
                    cost,
                    at: now,
                };
                self.charges.insert(ask.id.clone(), charge);
                return true;
            }
            Err(OverQuota::RetryAfter(wait)) => (PlacementRefusal::OverQuota, wait),
            Err(OverQuota::Never) => (PlacementRefusal::OverBurst, Duration::ZERO),
        };
        self.metrics.decided(why.as_str());
        let message = ControlMessage::Rejected {
            number: ask.id.number,
            reason: why,
            retry_after,
        };
        self.send(&ask.id.gateway, message);
        false
    }

    pub(super) fn give_back(&mut self, now: Timestamp, charge: &Charge) {
        let Charge { account, cost, at } = charge;
        self.quotas.refund(now, *at, account, *cost);
    }

    pub(super) fn view_endpoints(&self, now: Timestamp, service: &ServiceId) -> Vec<ViewEndpoint> {
        let age = self.published.age(Instant::now());
        let listed = self.published.list.endpoints.iter();
        listed
            .filter(|each| each.service == *service && each.state == EndpointState::Active)
            .filter(|each| !self.out.contains(&each.data_centre))
            .filter(|each| !self.changing.contains_key(&each.id))
            .map(|each| ViewEndpoint {
                id: each.id.clone(),
                data_centre: each.data_centre.clone(),
                role: each.role,
                cold_until: now + each.cold_remaining.saturating_sub(age),
            })
            .collect()
    }

    pub(super) fn handle(&mut self, now: Timestamp, service: &ServiceId, event: Event) {
        let silent_until = self.lead_since + HANDOVER_TIME;
        let fleet = self
            .fleets
            .entry(service.clone())
            .or_insert_with(|| FleetScheduler::new(Settings::default(), silent_until));
        let actions = fleet.handle(now, event);
        self.carry_out(now, actions);
    }

    pub(super) fn tell(&mut self, now: Timestamp, ticket: &GatewayRequestId, event: Event) {
        if let Some(service) = self.tickets.service(ticket).cloned() {
            self.handle(now, &service, event);
        }
    }

    pub(super) fn carry_out(&mut self, now: Timestamp, actions: Vec<Action>) {
        for action in actions {
            match action {
                Action::Place {
                    id: ticket,
                    placement,
                } => {
                    self.metrics.decided("placed");
                    let number = ticket.number;
                    let message = ControlMessage::Placed { number, placement };
                    self.send(&ticket.gateway, message);
                }
                Action::Refuse {
                    id: ticket,
                    reason: why,
                    retry_after,
                } => {
                    self.metrics.decided(why.as_str());
                    self.tickets.remove(&ticket);
                    if let Some(charge) = self.charges.remove(&ticket) {
                        self.give_back(now, &charge);
                    }
                    let message = ControlMessage::Rejected {
                        number: ticket.number,
                        reason: why,
                        retry_after,
                    };
                    self.send(&ticket.gateway, message);
                }
            }
        }
    }

    /// Ends what a gateway no longer holds: it told so on a connection that broke.
    pub(super) fn reconcile(&mut self, now: Timestamp, gateway: &InstanceId, numbers: &[u64]) {
        let over: Vec<(GatewayRequestId, ServiceId)> = self.tickets.of(gateway, numbers).collect();
        for (ticket, service) in over {
            info!("gateway={gateway} number={} state=over", ticket.number);
            self.tickets.remove(&ticket);
            self.charges.remove(&ticket);
            let end = RunEnd::Aborted;
            self.handle(now, &service, Event::Ended { id: ticket, end });
        }
    }

    pub(super) fn forget_lost(&mut self, now: Timestamp) {
        let lost = self.lost.iter().filter(|(_, at)| now >= **at);
        let lost: Vec<InstanceId> = lost.map(|(gateway, _)| gateway.clone()).collect();
        for gateway in lost {
            info!("gateway={gateway} state=forgotten");
            self.lost.remove(&gateway);
            self.gateways.remove(&gateway);
            self.tickets.forget(&gateway);
            self.charges.retain(|ticket, _| ticket.gateway != gateway);
            let services: Vec<ServiceId> = self.fleets.keys().cloned().collect();
            for service in &services {
                let gateway = gateway.clone();
                self.handle(now, service, Event::GatewayLost { gateway });
            }
        }
    }

    pub(super) fn send(&self, gateway: &InstanceId, message: ControlMessage) {
        let known = self.gateways.get(gateway);
        let is_sent = known.is_some_and(|known| known.outbox.try_send(message).is_ok());
        if !is_sent {
            warn!("gateway={gateway} message=dropped");
        }
    }
}
