//! The leader's schedulers: one for each service of a model, over all its endpoints.

use std::collections::BTreeSet;
use std::collections::HashMap;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;
use std::time::Duration;

use log::info;
use log::warn;
use mimosa_limit::quota::NewLevel;
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
use mimosa_route::DocumentFormat;
use mimosa_route::EndpointList;
use mimosa_route::RouteTable;
use mimosa_route::message::ControlMessage;
use mimosa_route::message::GatewayMessage;
use mimosa_schedule::balance::better_role;
use mimosa_schedule::fleet::Action;
use mimosa_schedule::fleet::Ask;
use mimosa_schedule::fleet::Event;
use mimosa_schedule::fleet::Fleet;
use mimosa_schedule::fleet::RunEnd;
use mimosa_schedule::fleet::Settings;
use mimosa_schedule::fleet::Ticket;
use mimosa_schedule::fleet::Unplaced;
use mimosa_schedule::fleet::View;
use mimosa_schedule::fleet::ViewEndpoint;
use tokio::sync::Notify;
use tokio::sync::mpsc;
use tokio::sync::watch;
use tokio::time::Instant;
use tokio::time::sleep_until;
use tokio::time::timeout;

use crate::replicator::Replicator;
use crate::routing::balancer::RoleChange;
use crate::routing::metrics::Metrics;
use crate::shared::Shared;

/// Time in which gateways tell a new leader what they hold, before it places anything.
const HANDOVER_TIME: Duration = Duration::from_millis(200);
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
    endpoints: watch::Receiver<Arc<EndpointList>>,
    tolerance: Tolerance,
    metrics: Metrics,
    started: std::time::Instant,
    changed: Notify,
    inner: Mutex<Inner>,
}

#[derive(Default)]
struct Inner {
    metrics: Metrics,
    leads: bool,
    lead_since: Timestamp,
    /// When the state of the schedulers was last logged.
    summarised: Timestamp,
    /// The first log index of this term.
    leads_from: u64,
    fleets: HashMap<ServiceId, Fleet>,
    services: HashMap<Ticket, ServiceId>,
    gateways: HashMap<InstanceId, Connected>,
    lost: HashMap<InstanceId, Timestamp>,
    table: RouteTable,
    quotas: Quotas,
    /// What each placed or waiting request was charged, and when.
    charges: HashMap<Ticket, Charge>,
    list: Arc<EndpointList>,
    out: BTreeSet<DataCentreId>,
    /// Endpoints that were ordered to take another role.
    changing: HashMap<EndpointId, Changing>,
    /// The log index of the routing state that `table` and `out` come from.
    routing: Option<u64>,
}

/// A change of role that is under way.
struct Changing {
    role: EndpointRole,
    until: Timestamp,
}

/// What a request was charged.
struct Charge {
    account: AccountId,
    cost: Tokens,
    at: Timestamp,
}

/// A gateway's connection.
struct Connected {
    connection: u64,
    outbox: mpsc::Sender<ControlMessage>,
}

impl Dispatcher {
    /// A dispatcher that does not lead yet.
    pub fn new(
        replicator: Arc<dyn Replicator>,
        shared: Arc<Shared>,
        format: Arc<dyn DocumentFormat>,
        endpoints: watch::Receiver<Arc<EndpointList>>,
        tolerance: Tolerance,
        metrics: Metrics,
    ) -> Self {
        Self {
            replicator,
            shared,
            format,
            endpoints,
            tolerance,
            started: std::time::Instant::now(),
            changed: Notify::new(),
            inner: Mutex::new(Inner {
                metrics: metrics.clone(),
                ..Inner::default()
            }),
            metrics,
        }
    }

    /// Wakes the schedulers when they ask for it, until the task is aborted.
    pub async fn run(self: Arc<Self>) {
        loop {
            let wake = self.look();
            let until = Instant::now() + wake.since(self.now());
            let changed = self.changed.notified();
            // Whichever comes first: the next look is due either way.
            timeout(LOOK_PERIOD, async {
                tokio::select! {
                    () = sleep_until(until) => {}
                    () = changed => {}
                }
            })
            .await
            .ok();
        }
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
            let role = better_role(fleet.pools(), fleet.demand()?)?;
            let from = match role {
                EndpointRole::Decode => EndpointRole::Prefill,
                _ => EndpointRole::Decode,
            };
            let id = fleet.idlest(from)?;
            let endpoint = inner.list.endpoints.iter().find(|each| each.id == *id)?;
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
        let ticket = |number| Ticket {
            gateway: gateway.clone(),
            number,
        };
        match message {
            GatewayMessage::Ask { ask, .. } if !inner.leads => {
                let number = ask.ticket.number;
                inner.send(gateway, ControlMessage::NotLeading { number });
            }
            GatewayMessage::Ask { ask, .. } if !inner.charge(now, &ask) => {}
            GatewayMessage::Ask { service, ask } => {
                let ticket = ask.ticket.clone();
                inner.services.insert(ticket.clone(), service.clone());
                inner.handle(now, &service, Event::Ask(ask));
                if inner.services.contains_key(&ticket) {
                    let number = ticket.number;
                    inner.send(gateway, ControlMessage::Queued { number });
                }
            }
            GatewayMessage::Borrow { account, .. } if !inner.leads => {
                inner.send(gateway, ControlMessage::NotLending { account });
            }
            GatewayMessage::Borrow { account, wanted } => {
                let lent = inner.quotas.lend(now, &account, wanted);
                inner.send(gateway, ControlMessage::Lent { account, lent });
            }
            GatewayMessage::Holding { numbers } => inner.reconcile(now, gateway, &numbers),
            GatewayMessage::Held { service, held } => {
                inner
                    .services
                    .insert(held.ask.ticket.clone(), service.clone());
                inner.handle(now, &service, Event::Held(held));
            }
            GatewayMessage::Prefilled { number, took } => {
                let ticket = ticket(number);
                inner.tell(now, &ticket.clone(), Event::Prefilled { ticket, took });
            }
            GatewayMessage::Started { number } => {
                let ticket = ticket(number);
                inner.tell(now, &ticket.clone(), Event::Started { ticket });
            }
            GatewayMessage::Ended { number, end } => {
                let ticket = ticket(number);
                let has_not_run = matches!(end, RunEnd::NoRoom | RunEnd::Unreachable(_));
                let event = Event::Ended {
                    ticket: ticket.clone(),
                    end,
                };
                inner.tell(now, &ticket, event);
                inner.services.remove(&ticket);
                match inner.charges.remove(&ticket) {
                    Some(charge) if has_not_run => inner.give_back(now, &charge),
                    _ => {}
                }
            }
            GatewayMessage::Hello { .. } | GatewayMessage::WantDocument => {}
        }
        drop(inner);
        self.changed.notify_one();
    }

    /// Looks at who leads, what is configured, and the time. Returns when to look again.
    fn look(&self) -> Timestamp {
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
            inner.services.clear();
            inner.charges.clear();
            inner.changing.clear();
            inner.quotas = Quotas::default();
            inner.routing = None;
        }
        if !leads {
            return now + LOOK_PERIOD;
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
            let waiting = inner.fleets.values().map(Fleet::waiting).sum();
            let running = inner.fleets.values().map(Fleet::running).sum();
            self.metrics.requests("waiting", waiting);
            self.metrics.requests("running", running);
            for (service, fleet) in &inner.fleets {
                if fleet.waiting() + fleet.running() > 0 {
                    info!("service={service} {}", fleet.summary(now));
                }
            }
        }
        let wakes = inner.fleets.values().filter_map(|each| each.next_wake(now));
        wakes.min().unwrap_or(now + LOOK_PERIOD)
    }

    fn configure(&self, now: Timestamp, inner: &mut Inner) {
        let list = Arc::clone(&self.endpoints.borrow());
        let changed = self.shared.read(|machine| machine.routing().changed());
        if inner.routing == Some(changed) && Arc::ptr_eq(&inner.list, &list) {
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
                (document, routing.out().clone())
            });
            match document.map(|document| self.format.read(&document)) {
                Some(Ok(cfg)) => inner.table = RouteTable::new(cfg),
                Some(Err(flaw)) => warn!("the adopted document cannot be read: {flaw}"),
                None => {}
            }
            inner.out = out;
            inner.routing = Some(changed);
        }
        inner.list = list;
        let new = match takes_over {
            true => self.tolerance.successor_level(),
            false => NewLevel::Full,
        };
        inner.configure_quotas(now, self.tolerance, new);
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

impl Inner {
    fn configure_fleets(&mut self, now: Timestamp) {
        if self.list.term == 0 {
            // This leader has not read the list yet.
            return;
        }
        let silent_until = self.lead_since + HANDOVER_TIME;
        let services = self.table.configuration().services.iter();
        let views: Vec<(ServiceId, View)> = services
            .filter_map(|service| {
                let engine = service.engine?;
                let view = View {
                    memory: engine.memory,
                    slots: engine.slots,
                    endpoints: self.view_endpoints(now, &service.id),
                };
                Some((service.id.clone(), view))
            })
            .collect();
        for (service, view) in views {
            let fleet = self
                .fleets
                .entry(service.clone())
                .or_insert_with(|| Fleet::new(Settings::default(), silent_until));
            let actions = fleet.handle(now, Event::Configure(view));
            self.carry_out(now, actions);
        }
    }

    /// Endpoints whose new role the list shows, or that took too long, take work again.
    fn forget_changes(&mut self, now: Timestamp) {
        let before = self.changing.len();
        let listed = &self.list.endpoints;
        self.changing.retain(|id, change| {
            let shown = listed.iter().find(|each| each.id == *id);
            now < change.until && shown.is_some_and(|each| each.role != change.role)
        });
        if self.changing.len() != before {
            self.configure_fleets(now);
        }
    }

    fn configure_quotas(&mut self, now: Timestamp, tolerance: Tolerance, new: NewLevel) {
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
    fn charge(&mut self, now: Timestamp, ask: &Ask) -> bool {
        let Some(account) = &ask.account else {
            return true;
        };
        let cost = ask.prompt + ask.max_output;
        let (why, retry_after) = match self.quotas.take(now, account, cost) {
            Ok(()) => {
                let charge = Charge {
                    account: account.clone(),
                    cost,
                    at: now,
                };
                self.charges.insert(ask.ticket.clone(), charge);
                return true;
            }
            Err(OverQuota::Until(wait)) => (Unplaced::OverQuota, wait),
            Err(OverQuota::Never) => (Unplaced::OverBurst, Duration::ZERO),
        };
        self.metrics.decided(why.word());
        let message = ControlMessage::Unplaced {
            number: ask.ticket.number,
            why,
            retry_after,
        };
        self.send(&ask.ticket.gateway, message);
        false
    }

    fn give_back(&mut self, now: Timestamp, charge: &Charge) {
        let Charge { account, cost, at } = charge;
        self.quotas.give_back(now, *at, account, *cost);
    }

    fn view_endpoints(&self, now: Timestamp, service: &ServiceId) -> Vec<ViewEndpoint> {
        let listed = self.list.endpoints.iter();
        listed
            .filter(|each| each.service == *service && each.state == EndpointState::Active)
            .filter(|each| !self.out.contains(&each.data_centre))
            .filter(|each| !self.changing.contains_key(&each.id))
            .map(|each| ViewEndpoint {
                id: each.id.clone(),
                data_centre: each.data_centre.clone(),
                role: each.role,
                cold_until: now + each.cold_left,
            })
            .collect()
    }

    fn handle(&mut self, now: Timestamp, service: &ServiceId, event: Event) {
        let silent_until = self.lead_since + HANDOVER_TIME;
        let fleet = self
            .fleets
            .entry(service.clone())
            .or_insert_with(|| Fleet::new(Settings::default(), silent_until));
        let actions = fleet.handle(now, event);
        self.carry_out(now, actions);
    }

    fn tell(&mut self, now: Timestamp, ticket: &Ticket, event: Event) {
        if let Some(service) = self.services.get(ticket).cloned() {
            self.handle(now, &service, event);
        }
    }

    fn carry_out(&mut self, now: Timestamp, actions: Vec<Action>) {
        for action in actions {
            match action {
                Action::Place { ticket, placement } => {
                    self.metrics.decided("placed");
                    let number = ticket.number;
                    let message = ControlMessage::Placed { number, placement };
                    self.send(&ticket.gateway, message);
                }
                Action::Refuse {
                    ticket,
                    why,
                    retry_after,
                } => {
                    self.metrics.decided(why.word());
                    self.services.remove(&ticket);
                    if let Some(charge) = self.charges.remove(&ticket) {
                        self.give_back(now, &charge);
                    }
                    let message = ControlMessage::Unplaced {
                        number: ticket.number,
                        why,
                        retry_after,
                    };
                    self.send(&ticket.gateway, message);
                }
            }
        }
    }

    /// Ends what a gateway no longer holds: it told so on a connection that broke.
    fn reconcile(&mut self, now: Timestamp, gateway: &InstanceId, numbers: &[u64]) {
        let known = self.services.iter();
        let over: Vec<(Ticket, ServiceId)> = known
            .filter(|(ticket, _)| ticket.gateway == *gateway)
            .filter(|(ticket, _)| !numbers.contains(&ticket.number))
            .map(|(ticket, service)| (ticket.clone(), service.clone()))
            .collect();
        for (ticket, service) in over {
            info!("gateway={gateway} number={} state=over", ticket.number);
            self.services.remove(&ticket);
            self.charges.remove(&ticket);
            let end = RunEnd::Broken;
            self.handle(now, &service, Event::Ended { ticket, end });
        }
    }

    fn forget_lost(&mut self, now: Timestamp) {
        let lost = self.lost.iter().filter(|(_, at)| now >= **at);
        let lost: Vec<InstanceId> = lost.map(|(gateway, _)| gateway.clone()).collect();
        for gateway in lost {
            info!("gateway={gateway} state=forgotten");
            self.lost.remove(&gateway);
            self.gateways.remove(&gateway);
            self.services.retain(|ticket, _| ticket.gateway != gateway);
            self.charges.retain(|ticket, _| ticket.gateway != gateway);
            let services: Vec<ServiceId> = self.fleets.keys().cloned().collect();
            for service in &services {
                let gateway = gateway.clone();
                self.handle(now, service, Event::GatewayLost { gateway });
            }
        }
    }

    fn send(&self, gateway: &InstanceId, message: ControlMessage) {
        let sent = self
            .gateways
            .get(gateway)
            .map(|known| known.outbox.try_send(message));
        if !matches!(sent, Some(Ok(()))) {
            warn!("gateway={gateway} message=dropped");
        }
    }
}
