//! The leader's schedulers: one for each service of a model, over all its endpoints.

use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;
use std::time::Duration;

use log::info;
use log::warn;
use mimosa_limit::quota::InitialLevel;
use mimosa_limit::quota::Quotas;
use mimosa_limit::quota::Tolerance;
use mimosa_protocol::EndpointId;
use mimosa_protocol::InstanceId;
use mimosa_protocol::ServiceId;
use mimosa_protocol::Timestamp;
use mimosa_protocol::configuration::EndpointRole;
use mimosa_route::DocumentFormat;
use mimosa_route::RouteTable;
use mimosa_route::message::ControlMessage;
use mimosa_route::message::GatewayMessage;
use mimosa_schedule::balance::recommend_role;
use mimosa_schedule::fleet::Event;
use mimosa_schedule::fleet::FleetScheduler;
use mimosa_schedule::fleet::GatewayRequestId;
use mimosa_schedule::fleet::RunEnd;
use tokio::sync::Notify;
use tokio::sync::mpsc;
use tokio::sync::watch;
use tokio::time::Instant;
use tokio::time::timeout_at;

use crate::replicator::Replicator;
use crate::routing::balancer::RoleChange;
use crate::routing::metrics::Metrics;
use crate::routing::published::Published;
use crate::shared::Shared;

mod inner;
mod tickets;

use self::inner::Changing;
use self::inner::Connected;
use self::inner::Inner;

/// Time between two lines on the state of the schedulers.
const SUMMARY_PERIOD: Duration = Duration::from_secs(1);
/// Time between two looks at who leads.
const LOOK_PERIOD: Duration = Duration::from_millis(100);
/// Time after which what a gateway without a connection held counts as gone. A gateway that only
/// lost its connection is back sooner.
const GATEWAY_GRACE: Duration = Duration::from_secs(3);

/// The schedulers of the leader.
pub struct Dispatcher {
    replicator: Arc<dyn Replicator>,
    shared: Arc<Shared>,
    format: Arc<dyn DocumentFormat>,
    endpoints: watch::Receiver<Arc<Published>>,
    metrics: Metrics,
    started: std::time::Instant,
    changed: Notify,
    inner: Mutex<Inner>,
}

impl Dispatcher {
    /// A dispatcher that does not lead yet.
    pub fn new(
        replicator: Arc<dyn Replicator>,
        shared: Arc<Shared>,
        format: Arc<dyn DocumentFormat>,
        endpoints: watch::Receiver<Arc<Published>>,
        tolerance: Tolerance,
        metrics: Metrics,
    ) -> Self {
        Self {
            replicator,
            shared,
            format,
            endpoints,
            started: std::time::Instant::now(),
            changed: Notify::new(),
            inner: Mutex::new(Inner {
                metrics: metrics.clone(),
                tolerance,
                ..Inner::default()
            }),
            metrics,
        }
    }

    /// Wakes the schedulers when they ask for it, until the task is aborted.
    pub async fn run(self: Arc<Self>) {
        loop {
            self.look();
            let latest = Instant::now() + LOOK_PERIOD;
            // Messages of gateways change when the schedulers want to be woken.
            loop {
                let wake = self.next_wake().min(latest);
                let changed = self.changed.notified();
                if timeout_at(wake, changed).await.is_err() {
                    break;
                }
            }
        }
    }

    /// When a scheduler wants to be woken.
    fn next_wake(&self) -> Instant {
        let now = self.now();
        let inner = self.lock();
        let wakes = inner.fleets.values().filter_map(|each| each.next_wake(now));
        let wake = wakes.min().unwrap_or(now + LOOK_PERIOD);
        Instant::now() + wake.since(now)
    }

    /// Takes the connection of a gateway. Returns its number.
    pub fn connected(&self, gateway: &InstanceId, outbox: mpsc::Sender<ControlMessage>) -> u64 {
        let mut inner = self.lock();
        let old = inner.gateways.get(gateway);
        let connection = old.map_or(0, |old| old.connection) + 1;
        let connected = Connected { connection, outbox };
        inner.gateways.insert(gateway.clone(), connected);
        inner.lost.remove(gateway);
        connection
    }

    /// The connection of a gateway ended.
    pub fn disconnected(&self, gateway: &InstanceId, connection: u64) {
        let now = self.now();
        let mut inner = self.lock();
        let is_last = inner
            .gateways
            .get(gateway)
            .is_some_and(|known| known.connection == connection);
        if is_last {
            inner.lost.insert(gateway.clone(), now + GATEWAY_GRACE);
        }
    }

    /// A change of an endpoint's role that would serve more requests, if there is one.
    pub fn better_role(&self) -> Option<RoleChange> {
        let inner = self.lock();
        if !inner.changing.is_empty() {
            return None;
        }
        inner.fleets.iter().find_map(|(service, fleet)| {
            let role = recommend_role(fleet.pools(), fleet.demand()?)?;
            let from = match role {
                EndpointRole::Decode => EndpointRole::Prefill,
                _ => EndpointRole::Decode,
            };
            let id = fleet.least_loaded(from)?;
            let endpoint = inner
                .published
                .list
                .endpoints
                .iter()
                .find(|each| each.id == *id)?;
            let engine = inner.table.service(service)?.engine?;
            Some(RoleChange {
                endpoint: endpoint.clone(),
                role,
                time: engine.role_change_time,
            })
        })
    }

    /// An endpoint was ordered to take another role: it gets nothing until the list shows it, or
    /// for a while.
    pub fn role_changes(&self, endpoint: &EndpointId, role: EndpointRole, time: Duration) {
        let now = self.now();
        let mut inner = self.lock();
        let change = Changing {
            role,
            until: now + time,
        };
        inner.changing.insert(endpoint.clone(), change);
        inner.configure_fleets(now);
    }

    /// Lets the accounts go further, or less far, beyond their quotas.
    pub fn set_tolerance(&self, tolerance: Tolerance) {
        let now = self.now();
        let mut inner = self.lock();
        if inner.tolerance != tolerance {
            inner.tolerance = tolerance;
            inner.configure_quotas(now, InitialLevel::Full);
        }
    }

    /// How many gateways are connected.
    pub fn gateways(&self) -> u32 {
        u32::try_from(self.lock().gateways.len()).unwrap_or(u32::MAX)
    }

    /// Takes in what a gateway says.
    pub fn take_in(&self, gateway: &InstanceId, message: GatewayMessage) {
        if !self.lock().leads {
            // A gateway may know of this instance's lead before the next look at it.
            self.look();
        }
        let now = self.now();
        let mut inner = self.lock();
        if inner.leads {
            self.configure(now, &mut inner);
        }
        let ticket = |number| GatewayRequestId {
            gateway: gateway.clone(),
            number,
        };
        match message {
            GatewayMessage::RequestPlacement { ask, .. } if !inner.leads => {
                let number = ask.id.number;
                inner.send(gateway, ControlMessage::NotLeader { number });
            }
            GatewayMessage::RequestPlacement { ask, .. } if !inner.charge(now, &ask) => {}
            GatewayMessage::RequestPlacement { service, ask } => {
                let ticket = ask.id.clone();
                inner.tickets.insert(&ticket, service.clone());
                inner.handle(now, &service, Event::Submit(ask));
                if inner.tickets.service(&ticket).is_some() {
                    let number = ticket.number;
                    inner.send(gateway, ControlMessage::Queued { number });
                }
            }
            GatewayMessage::BorrowQuota { account, .. } if !inner.leads => {
                inner.send(gateway, ControlMessage::NotLeaderForQuota { account });
            }
            GatewayMessage::BorrowQuota { account, wanted } => {
                let lent = inner.quotas.charge_up_to(now, &account, wanted);
                self.metrics.lent(wanted, lent);
                inner.send(gateway, ControlMessage::QuotaLent { account, lent });
            }
            GatewayMessage::ReportActive { numbers } => inner.reconcile(now, gateway, &numbers),
            GatewayMessage::ReportRunning { service, held } => {
                inner.tickets.insert(&held.request.id, service.clone());
                inner.handle(now, &service, Event::Adopt(held));
            }
            GatewayMessage::Prefilled { number, took } => {
                let ticket = ticket(number);
                inner.tell(now, &ticket.clone(), Event::Prefilled { id: ticket, took });
            }
            GatewayMessage::Started { number } => {
                let ticket = ticket(number);
                inner.tell(now, &ticket.clone(), Event::Started { id: ticket });
            }
            GatewayMessage::Ended { number, end } => {
                let ticket = ticket(number);
                let has_not_run = matches!(end, RunEnd::NoCapacity | RunEnd::Unreachable(_));
                let event = Event::Ended {
                    id: ticket.clone(),
                    end,
                };
                inner.tell(now, &ticket, event);
                inner.tickets.remove(&ticket);
                match inner.charges.remove(&ticket) {
                    Some(charge) if has_not_run => inner.give_back(now, &charge),
                    _ => {}
                }
            }
            GatewayMessage::Hello { .. }
            | GatewayMessage::RequestDocument
            | GatewayMessage::RequestEndpoints { .. } => {}
        }
        drop(inner);
        self.changed.notify_one();
    }

    /// Looks at who leads, what is configured, and the time.
    fn look(&self) {
        let now = self.now();
        let status = self.replicator.status();
        let leads = status.role == "leader";
        self.metrics.replica(status.term, status.committed, leads);
        let mut inner = self.lock();
        self.metrics.gateways(inner.gateways.len());
        if leads != inner.leads {
            info!("scheduler={}", if leads { "started" } else { "stopped" });
            inner.leads = leads;
            inner.lead_since = now;
            inner.fleets.clear();
            inner.tickets.clear();
            inner.charges.clear();
            inner.changing.clear();
            inner.quotas = Quotas::default();
            inner.routing = None;
        }
        if !leads {
            return;
        }
        inner.leads_from = status.leads_from;
        self.configure(now, &mut inner);
        inner.forget_lost(now);
        inner.forget_changes(now);
        let services: Vec<ServiceId> = inner.fleets.keys().cloned().collect();
        for service in &services {
            inner.handle(now, service, Event::Tick);
        }
        if now.since(inner.summarised) >= SUMMARY_PERIOD {
            inner.summarised = now;
            let waiting = inner.fleets.values().map(FleetScheduler::waiting).sum();
            let running = inner.fleets.values().map(FleetScheduler::running).sum();
            self.metrics.requests("waiting", waiting);
            self.metrics.requests("running", running);
            for (service, fleet) in &inner.fleets {
                if fleet.waiting() + fleet.running() > 0 {
                    info!("service={service} {}", fleet.summary(now));
                }
            }
        }
    }

    fn configure(&self, now: Timestamp, inner: &mut Inner) {
        let published = Arc::clone(&self.endpoints.borrow());
        let changed = self.shared.read(|machine| machine.routing().last_changed());
        if inner.routing == Some(changed) && Arc::ptr_eq(&inner.published, &published) {
            return;
        }
        // The first configuration of a leader whose predecessor counted already.
        let takes_over = inner.routing.is_none() && changed > 0 && changed < inner.leads_from;
        if inner.routing != Some(changed) {
            let (document, out) = self.shared.read(|machine| {
                let routing = machine.routing();
                let document = routing
                    .document()
                    .map(|document| Arc::clone(&document.bytes));
                (document, routing.data_centres_out().clone())
            });
            match document.map(|document| self.format.read(&document)) {
                Some(Ok(cfg)) => inner.table = RouteTable::new(cfg),
                Some(Err(flaw)) => warn!("the adopted document cannot be read: {flaw}"),
                None => {}
            }
            inner.out = out;
            inner.routing = Some(changed);
            let new = match takes_over {
                true => inner.tolerance.level_after_takeover(),
                false => InitialLevel::Full,
            };
            inner.configure_quotas(now, new);
        }
        inner.published = published;
        inner.configure_fleets(now);
    }

    fn now(&self) -> Timestamp {
        // Only spans of time count here.
        Timestamp::from_secs(1_000) + self.started.elapsed()
    }

    fn lock(&self) -> MutexGuard<'_, Inner> {
        self.inner.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
