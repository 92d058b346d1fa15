//! The schedulers of the leader: one for each model service, covering all its endpoints.

use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;
use std::time::Duration;

use log::info;
use log::warn;
use mimosa_hold::part_quarantine::PartQuarantine;
use mimosa_hold::part_quarantine::Suspects;
use mimosa_limit::leaderless::AbsenceReport;
use mimosa_limit::quota::InitialLevel;
use mimosa_limit::quota::Quotas;
use mimosa_limit::quota::Tolerance;
use mimosa_protocol::AccountId;
use mimosa_protocol::EndpointId;
use mimosa_protocol::Features;
use mimosa_protocol::Incarnation;
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
use mimosa_schedule::speed::EndpointSpeed;
use tokio::sync::Notify;
use tokio::sync::mpsc;
use tokio::sync::watch;
use tokio::time::Instant;
use tokio::time::timeout_at;

use crate::connection_order::ConnectionNumber;
use crate::replicator::Replicator;
use crate::routing::balancer::RoleChange;
use crate::routing::metrics::Metrics;
use crate::routing::published::PublishedList;
use crate::routing::rollouts::RolloutDriver;
use crate::shared::SharedState;

mod inner;
mod request_index;

use self::inner::GatewayConnection;
use self::inner::Inner;
use self::inner::PendingRoleChange;

/// Interval of the log lines with the state of the schedulers.
const SUMMARY_INTERVAL: Duration = Duration::from_secs(1);
/// Interval of the checks of leadership and configuration.
const REFRESH_INTERVAL: Duration = Duration::from_millis(100);
/// Time after which the requests of a disconnected gateway are dropped. A gateway that only lost
/// its connection reconnects sooner.
const GATEWAY_RECONNECT_TIMEOUT: Duration = Duration::from_secs(3);

/// How the leader treats accounts.
#[derive(Clone, Copy, Debug, Default)]
pub struct SchedulingPolicy {
    /// How far accounts may exceed their quotas.
    pub tolerance: Tolerance,
    /// Whether requests are queued by fair shares of the accounts.
    pub has_fair_shares: bool,
}

/// The schedulers of the leader.
pub struct Dispatcher {
    replicator: Arc<dyn Replicator>,
    shared: Arc<SharedState>,
    format: Arc<dyn DocumentFormat>,
    endpoints: watch::Receiver<Arc<PublishedList>>,
    rollouts: Arc<RolloutDriver>,
    metrics: Metrics,
    started: std::time::Instant,
    wake_changed: Notify,
    overloaded: watch::Sender<Vec<(AccountId, u16)>>,
    /// Number of changes of the suspects.
    suspect_changes: watch::Sender<u64>,
    /// Number of updates of the speeds of plain endpoints.
    speed_changes: watch::Sender<u64>,
    inner: Mutex<Inner>,
}

/// What a dispatcher reads and calls.
pub struct Components {
    /// The replicated log, whose status tells whether this instance leads.
    pub replicator: Arc<dyn Replicator>,
    /// The applied state.
    pub shared: Arc<SharedState>,
    /// Parses routing documents.
    pub format: Arc<dyn DocumentFormat>,
    /// The latest endpoint list that this instance read as leader.
    pub endpoints: watch::Receiver<Arc<PublishedList>>,
    /// Handles the reports about rollouts.
    pub rollouts: Arc<RolloutDriver>,
    /// Metrics of this instance.
    pub metrics: Metrics,
}

impl Dispatcher {
    /// Creates a dispatcher that does not lead yet.
    pub fn new(components: Components, policy: SchedulingPolicy) -> Self {
        let Components {
            replicator,
            shared,
            format,
            endpoints,
            rollouts,
            metrics,
        } = components;
        Self {
            replicator,
            shared,
            format,
            endpoints,
            rollouts,
            started: std::time::Instant::now(),
            wake_changed: Notify::new(),
            overloaded: watch::Sender::default(),
            suspect_changes: watch::Sender::default(),
            speed_changes: watch::Sender::default(),
            inner: Mutex::new(Inner {
                metrics: metrics.clone(),
                tolerance: policy.tolerance,
                has_fair_shares: policy.has_fair_shares,
                ..Inner::default()
            }),
            metrics,
        }
    }

    /// Enables features. Takes effect for schedulers that are created afterwards.
    #[must_use]
    pub fn with_features(self, features: Features) -> Self {
        self.lock().features = features;
        self
    }

    /// Runs the schedulers at the times they request, until the task is aborted.
    pub async fn run(self: Arc<Self>) {
        loop {
            self.refresh();
            let next_refresh = Instant::now() + REFRESH_INTERVAL;
            // Messages of gateways change the next wake time.
            loop {
                let wake = self.next_wake().min(next_refresh);
                let changed = self.wake_changed.notified();
                if timeout_at(wake, changed).await.is_err() {
                    break;
                }
            }
        }
    }

    /// The earliest time at which a scheduler wants to run.
    fn next_wake(&self) -> Instant {
        let now = self.now();
        let inner = self.lock();
        let wakes = inner
            .fleets
            .values()
            .filter_map(|fleet| fleet.next_wake(now));
        let wake = wakes.min().unwrap_or(now + REFRESH_INTERVAL);
        Instant::now() + wake.since(now)
    }

    /// Registers the connection of a gateway, replacing an earlier one. If it is of another process,
    /// the requests of the earlier one ended with it. Returns false if the connection was itself
    /// replaced.
    pub fn register_gateway(
        &self,
        gateway: &InstanceId,
        incarnation: Incarnation,
        connection: ConnectionNumber,
        outbox: mpsc::Sender<ControlMessage>,
    ) -> bool {
        let now = self.now();
        let mut inner = self.lock();
        let previous = inner.gateways.get(gateway);
        if previous.is_some_and(|previous| previous.connection > connection) {
            return false;
        }
        if previous.is_some_and(|previous| previous.incarnation != incarnation) {
            info!("gateway={gateway} state=restarted");
            inner.end_requests(now, gateway);
        }
        let gateway_connection = GatewayConnection {
            connection,
            incarnation,
            outbox,
        };
        inner.gateways.insert(gateway.clone(), gateway_connection);
        inner.disconnected.remove(gateway);
        true
    }

    /// Records that a connection ended; ignored if the gateway has a newer one.
    pub fn gateway_disconnected(&self, gateway: &InstanceId, connection: ConnectionNumber) {
        let now = self.now();
        let mut inner = self.lock();
        if inner.is_current(gateway, connection) {
            inner
                .disconnected
                .insert(gateway.clone(), now + GATEWAY_RECONNECT_TIMEOUT);
        }
    }

    /// A role change that would increase the served requests; `None` while another one is pending.
    pub fn recommend_role_change(&self) -> Option<RoleChange> {
        let now = self.now();
        let inner = self.lock();
        if !inner.role_changes.is_empty() {
            return None;
        }
        inner.fleets.iter().find_map(|(service, fleet)| {
            let role = recommend_role(fleet.pools(), fleet.demand(now)?)?;
            let current_role = match role {
                EndpointRole::Decode => EndpointRole::Prefill,
                _ => EndpointRole::Decode,
            };
            let id = fleet.least_loaded(current_role)?;
            let endpoint = inner
                .published
                .list
                .endpoints
                .iter()
                .find(|endpoint| endpoint.id == *id)?;
            let engine = inner.table.service(service)?.engine?;
            Some(RoleChange {
                endpoint: endpoint.clone(),
                role,
                duration: engine.role_change_time,
            })
        })
    }

    /// Excludes an endpoint with an ordered role change from placement until the endpoint list
    /// shows the new role, at most for `timeout`.
    pub fn start_role_change(&self, endpoint: &EndpointId, role: EndpointRole, timeout: Duration) {
        let now = self.now();
        let mut inner = self.lock();
        let change = PendingRoleChange {
            role,
            deadline: now + timeout,
        };
        inner.role_changes.insert(endpoint.clone(), change);
        inner.configure_fleets(now);
    }

    /// Sets how far accounts may exceed their quotas. Takes effect at once.
    pub fn set_tolerance(&self, tolerance: Tolerance) {
        let now = self.now();
        let mut inner = self.lock();
        if inner.tolerance != tolerance {
            inner.tolerance = tolerance;
            inner.configure_quotas(now, InitialLevel::Full);
        }
    }

    /// The accounts whose demand exceeds their rate, with the part of it, in thousandths, that the
    /// rate covers. Does not change while this instance does not lead or does not know the demand.
    pub fn overloaded_accounts(&self) -> watch::Receiver<Vec<(AccountId, u16)>> {
        self.overloaded.subscribe()
    }

    /// Changes when [`Self::suspects`] does.
    pub fn suspect_changes(&self) -> watch::Receiver<u64> {
        self.suspect_changes.subscribe()
    }

    /// The prompt parts and requests that may crash endpoints; none while this instance does not
    /// lead.
    pub fn suspects(&self) -> Suspects {
        self.lock().quarantine.suspects(self.now())
    }

    /// Changes when [`Self::speeds_after`] does.
    pub fn speed_changes(&self) -> watch::Receiver<u64> {
        self.speed_changes.subscribe()
    }

    /// The speeds of plain endpoints that changed after the change with a number, and the number of the
    /// last of them; none while this instance does not lead.
    pub fn speeds_after(&self, number: u64) -> (u64, Vec<EndpointSpeed>) {
        self.lock().speeds.changes_after(number)
    }

    /// The number of gateways that are connected or within their reconnect time.
    pub fn gateways(&self) -> u32 {
        u32::try_from(self.lock().gateways.len()).unwrap_or(u32::MAX)
    }

    /// Handles a message of a gateway. While this instance does not lead, it answers requests for
    /// placement and quota with [`ControlMessage::NotLeader`] and
    /// [`ControlMessage::NotLeaderForQuota`]. Returns false, and does nothing, if the connection was
    /// replaced by a newer one of the gateway.
    pub fn handle_message(
        &self,
        gateway: &InstanceId,
        connection: ConnectionNumber,
        message: GatewayMessage,
    ) -> bool {
        if !self.lock().leads {
            // The gateway may know of this instance's leadership before the next refresh.
            self.refresh();
        }
        let now = self.now();
        let mut inner = self.lock();
        if !inner.is_current(gateway, connection) {
            return false;
        }
        if inner.leads {
            self.configure(now, &mut inner);
        }
        let request_id = |number| GatewayRequestId {
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
                let id = ask.id.clone();
                inner.requests.insert(&id, service.clone());
                inner.handle(now, &service, Event::Submit(ask));
                if inner.requests.service(&id).is_some() {
                    let number = id.number;
                    inner.send(gateway, ControlMessage::Queued { number });
                }
            }
            GatewayMessage::BorrowQuota { account, .. } if !inner.leads => {
                inner.send(gateway, ControlMessage::NotLeaderForQuota { account });
            }
            GatewayMessage::BorrowQuota { account, requested } => {
                let granted = inner.quotas.charge_up_to(now, &account, requested);
                self.metrics.record_quota_loan(requested, granted);
                inner.send(gateway, ControlMessage::QuotaGranted { account, granted });
            }
            GatewayMessage::ReportQuotaUse { .. } if !inner.leads => {}
            GatewayMessage::ReportQuotaUse { absence, used } => {
                let led_for = now.since(inner.lead_since);
                let report = AbsenceReport { absence, used };
                inner.quotas.charge_absence(now, led_for, &report);
            }
            GatewayMessage::ReportActive { numbers } => {
                inner.reconcile(now, gateway, &numbers);
                if inner.leads {
                    inner.return_unknown(gateway, &numbers);
                }
            }
            GatewayMessage::ReportRunning { service, held } => {
                inner.requests.insert(&held.request.id, service.clone());
                inner.handle(now, &service, Event::Adopt(held));
            }
            GatewayMessage::Prefilled { number, took } => {
                let id = request_id(number);
                inner.handle_for_request(now, &id.clone(), Event::Prefilled { id, took });
            }
            GatewayMessage::Started { number } => {
                let id = request_id(number);
                inner.handle_for_request(now, &id.clone(), Event::Started { id });
            }
            GatewayMessage::ReportLostRun { .. }
            | GatewayMessage::ReportSoundRun { .. }
            | GatewayMessage::ReportSoundParts(_)
            | GatewayMessage::ReportSuspects(_)
            | GatewayMessage::ReportRateLimit { .. }
            | GatewayMessage::ReportWork { .. }
            | GatewayMessage::ReportStatedTime { .. }
                if !inner.leads => {}
            GatewayMessage::ReportWork { .. } if !inner.features.load_probes => {}
            GatewayMessage::ReportWork { service, work } => {
                inner.speeds.record(now, &service, &work);
            }
            GatewayMessage::ReportStatedTime {
                service,
                endpoint,
                percent,
            } => inner.handle(now, &service, Event::Stated { endpoint, percent }),
            GatewayMessage::ReportRateLimit {
                service,
                endpoint,
                max_rate,
            } => inner.handle(now, &service, Event::Limited { endpoint, max_rate }),
            GatewayMessage::ReportLostRun {
                service,
                process,
                ran_for,
                age,
                parts,
            } => {
                info!(
                    "service={service} endpoint={} gateway={gateway} state=lost_run ran_ms={} \
                     age_ms={}",
                    process.endpoint,
                    ran_for.as_millis(),
                    age.as_millis()
                );
                let lost_at = now.minus(age);
                let quarantine = &mut inner.quarantine;
                let changed = quarantine.record_lost(lost_at, &service, &parts, &process, ran_for);
                self.publish_suspects(&inner, changed);
            }
            GatewayMessage::ReportSoundRun { service, parts } => {
                let cleared = inner.quarantine.clear(now, &parts);
                let changed = inner.quarantine.count_sound_run(&service);
                self.publish_suspects(&inner, cleared || changed);
            }
            GatewayMessage::ReportSoundParts(parts) => {
                let parts = parts.into_iter();
                let parts = parts.map(|(part, age)| (part, now.minus(age)));
                let changed = inner.quarantine.clear_suspects(parts);
                self.publish_suspects(&inner, changed);
            }
            GatewayMessage::ReportSuspects(suspects) => {
                let changed = inner.quarantine.merge(now, &suspects);
                self.publish_suspects(&inner, changed);
            }
            GatewayMessage::Ended { number, end } => {
                let id = request_id(number);
                if matches!(end, RunEnd::Complete(_))
                    && let Some(service) = inner.requests.service(&id).cloned()
                {
                    let changed = inner.quarantine.count_sound_run(&service);
                    self.publish_suspects(&inner, changed);
                }
                let did_not_run = matches!(end, RunEnd::NoCapacity | RunEnd::Unreachable(_));
                let event = Event::Ended {
                    id: id.clone(),
                    end,
                };
                inner.handle_for_request(now, &id, event);
                inner.requests.remove(&id);
                match inner.charges.remove(&id) {
                    Some(charge) if did_not_run => inner.refund(now, &charge),
                    _ => {}
                }
            }
            GatewayMessage::ReportRollout(report) => {
                let connected = inner.gateways.get(gateway);
                let incarnation = connected.map(|connected| connected.incarnation);
                // Permits that cannot be sent count as used, because nothing confirms them.
                if inner.leads
                    && let Some(incarnation) = incarnation
                    && let Some(grant) = self.rollouts.on_report(gateway, incarnation, &report)
                {
                    inner.send(gateway, ControlMessage::GrantPermits(grant));
                }
            }
            GatewayMessage::Hello { .. }
            | GatewayMessage::RequestDocument
            | GatewayMessage::RequestEndpoints { .. } => {}
        }
        drop(inner);
        self.wake_changed.notify_one();
        true
    }

    /// Updates leadership and configuration, and runs timed work of the schedulers.
    fn refresh(&self) {
        let now = self.now();
        let status = self.replicator.status();
        let leads = status.role == "leader";
        self.metrics
            .set_replica(status.term, status.committed, leads);
        let mut inner = self.lock();
        self.metrics.set_gateways(inner.gateways.len());
        // Another instance may have led between two terms of this one.
        let is_new_term = leads && inner.term != status.term;
        if leads != inner.leads || is_new_term {
            info!(
                "scheduler={} term={}",
                if leads { "started" } else { "stopped" },
                status.term
            );
            inner.leads = leads;
            inner.term = status.term;
            inner.lead_since = now;
            inner.fleets.clear();
            inner.requests.clear();
            inner.charges.clear();
            inner.role_changes.clear();
            inner.quotas = Quotas::default();
            inner.quarantine = PartQuarantine::default();
            self.metrics.set_quarantined(0);
            inner.overloaded.clear();
            inner.speeds.clear();
            inner.routing_index = None;
            inner.rollouts_index = None;
        }
        if !leads {
            return;
        }
        inner.leads_from = status.leads_from;
        self.configure(now, &mut inner);
        inner.grant_permits(now, &self.rollouts);
        inner.remove_lost_gateways(now);
        inner.finish_role_changes(now);
        let services: Vec<ServiceId> = inner.fleets.keys().cloned().collect();
        for service in &services {
            inner.handle(now, service, Event::Tick);
        }
        self.publish_overloaded(now, &mut inner);
        if now.since(inner.last_summary_at) >= SUMMARY_INTERVAL {
            inner.last_summary_at = now;
            inner.quarantine.expire(now);
            self.metrics.set_quarantined(inner.quarantine.quarantined());
            let waiting = inner.fleets.values().map(FleetScheduler::waiting).sum();
            let running = inner.fleets.values().map(FleetScheduler::running).sum();
            self.metrics.set_requests("waiting", waiting);
            self.metrics.set_requests("running", running);
            self.publish_speeds(now, &mut inner);
            let accounts = inner.fleets.values().map(FleetScheduler::waiting_accounts);
            let returned = inner.fleets.values().map(FleetScheduler::returned);
            self.metrics.set_shares(accounts.sum(), returned.sum());
            for (service, fleet) in &inner.fleets {
                if fleet.waiting() + fleet.running() > 0 {
                    info!("service={service} {}", fleet.summary(now));
                }
                if let Some(shares) = fleet.share_summary() {
                    info!("service={service} {shares}");
                }
            }
        }
    }

    /// Updates the speeds of plain endpoints that gateways know.
    fn publish_speeds(&self, now: Timestamp, inner: &mut Inner) {
        if !inner.features.load_probes {
            return;
        }
        let published = Arc::clone(&inner.published);
        let endpoints = published.list.endpoints.iter();
        let listed = endpoints.map(|endpoint| (&endpoint.id, &endpoint.service));
        if inner.speeds.update(now, listed) {
            self.speed_changes.send_modify(|changes| *changes += 1);
        }
        self.metrics
            .set_slow_endpoints(inner.speeds.slow_endpoints(now));
        for (service, speeds) in inner.speeds.summaries(now) {
            info!("service={service} {speeds}");
        }
    }

    fn publish_suspects(&self, inner: &Inner, is_changed: bool) {
        if is_changed {
            let quarantined = inner.quarantine.quarantined();
            info!(
                "suspects={} quarantined={quarantined}",
                inner.quarantine.len()
            );
            self.metrics.set_quarantined(quarantined);
            self.suspect_changes.send_modify(|changes| *changes += 1);
        }
    }

    /// Publishes the overloaded accounts when their parts have decreased much, and once per second.
    fn publish_overloaded(&self, now: Timestamp, inner: &mut Inner) {
        /// Bounds the message; there are seldom more than a few such accounts.
        const MAX_ACCOUNTS: usize = 64;
        /// Decrease of a part, in thousandths, that is published at once.
        const MAX_CHANGE: u16 = 100;
        /// Time in which a new leader learns the demand.
        const DEMAND_KNOWN_AFTER: Duration = Duration::from_secs(2);
        if now.since(inner.lead_since) < DEMAND_KNOWN_AFTER {
            return;
        }
        let parts = inner.quotas.overloaded(now, MAX_ACCOUNTS).into_iter();
        let parts: Vec<(AccountId, u16)> =
            parts.map(|part| (part.account, part.permille)).collect();
        let is_lower = |(account, part): &(AccountId, u16)| {
            let published = inner.overloaded.get(account).copied().unwrap_or(1_000);
            published.saturating_sub(*part) > MAX_CHANGE
        };
        if !parts.iter().any(is_lower) && now.since(inner.overloaded_at) < SUMMARY_INTERVAL {
            return;
        }
        inner.overloaded_at = now;
        inner.overloaded = parts.iter().cloned().collect();
        self.overloaded.send_if_modified(|sent| {
            let is_changed = *sent != parts;
            *sent = parts;
            is_changed
        });
    }

    fn configure(&self, now: Timestamp, inner: &mut Inner) {
        let published = Arc::clone(&self.endpoints.borrow());
        let (routing_index, rollouts_index) = self.shared.read(|machine| {
            let routing_index = machine.routing().last_changed();
            (routing_index, machine.rollouts().last_changed())
        });
        let is_changed = inner.routing_index != Some(routing_index)
            || inner.rollouts_index != Some(rollouts_index);
        if !is_changed && Arc::ptr_eq(&inner.published, &published) {
            return;
        }
        if inner.rollouts_index != Some(rollouts_index) {
            inner.rollouts = self.shared.read(|machine| {
                let rollouts = machine.rollouts().iter();
                let views = rollouts.map(|(service, rollout)| rollout.view(service));
                views.map(|view| (view.service.clone(), view)).collect()
            });
            inner.rollouts_index = Some(rollouts_index);
        }
        // A predecessor has already charged quotas: of the accounts of its documents, of which the first one
        // that this leader sees may be a successor.
        let is_first = inner.routing_index.is_none();
        let is_takeover = routing_index < inner.leads_from
            || (is_first && self.shared.had_document_before(inner.leads_from));
        if inner.routing_index != Some(routing_index) {
            let (document, data_centres_out) = self.shared.read(|machine| {
                let routing = machine.routing();
                let document = routing
                    .document()
                    .map(|document| Arc::clone(&document.bytes));
                (document, routing.data_centres_out().clone())
            });
            match document.map(|document| self.format.read(&document)) {
                Some(Ok(cfg)) => inner.table = RouteTable::new(cfg),
                Some(Err(e)) => {
                    warn!("cannot read the adopted document, keeping the previous routes: {e}");
                }
                None => {}
            }
            inner.data_centres_out = data_centres_out;
            inner.routing_index = Some(routing_index);
            let initial_level = match is_takeover {
                true => inner.tolerance.level_after_takeover(),
                false => InitialLevel::Full,
            };
            inner.configure_quotas(now, initial_level);
            inner.configure_weights();
        }
        inner.published = published;
        inner.configure_fleets(now);
    }

    fn now(&self) -> Timestamp {
        // Arbitrary origin: only differences matter.
        Timestamp::from_secs(1_000) + self.started.elapsed()
    }

    fn lock(&self) -> MutexGuard<'_, Inner> {
        self.inner.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
