//! Holds on endpoints: resources that a request occupies there, such as KV cache memory.
//!
//! Drives the hold owner, which registers this entry's holds with a monitor, and the hold monitor,
//! which cancels the holds of other entries that have failed.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::collections::HashMap;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::time::Duration;

use mimosa_hold::attempt::AttemptNumber;
use mimosa_hold::hold::Ack;
use mimosa_hold::hold::HoldId;
use mimosa_hold::hold::HoldSettings;
use mimosa_hold::hold::Report;
use mimosa_hold::monitor;
use mimosa_hold::monitor::HoldMonitor;
use mimosa_hold::owner;
use mimosa_hold::owner::HoldOwner;
use mimosa_membership::Role;
use mimosa_membership::Settings;
use mimosa_protocol::EndpointId;
use mimosa_protocol::Incarnation;
use mimosa_protocol::InstanceId;
use mimosa_protocol::RequestId;
use mimosa_protocol::Timestamp;
use tokio::sync::Notify;
use tokio::sync::oneshot;

use crate::engine::AttemptId;
use crate::peers::beat::ROLE_VALIDITY;
use crate::peers::message::PeerMessage;
use crate::shared::Shared;

/// This entry's hold owner and hold monitor.
pub(crate) struct Holds {
    /// Time after an entry left the view until it can no longer act as a monitor.
    monitor_expiry: Duration,
    inner: Mutex<Inner>,
}

struct Inner {
    owner: HoldOwner,
    monitor: HoldMonitor,
    /// Holds that no monitor has acknowledged yet.
    pending: HashMap<HoldId, oneshot::Sender<()>>,
    /// Signals that abort the attempts of this entry when their holds are lost.
    aborts: HashMap<RequestId, Arc<Notify>>,
    /// Entries in the latest view.
    members: BTreeSet<InstanceId>,
    /// Entries that left the view, and when they can no longer act as monitors.
    departed: BTreeMap<InstanceId, Timestamp>,
}

impl Holds {
    pub(crate) fn new(own_id: InstanceId, incarnation: Incarnation, membership: &Settings) -> Self {
        let settings = HoldSettings {
            lease: hold_lease(membership),
            ..HoldSettings::default()
        };
        Self {
            monitor_expiry: membership.lease + membership.guard_time(),
            inner: Mutex::new(Inner {
                owner: HoldOwner::new(settings, own_id.clone(), incarnation),
                monitor: HoldMonitor::new(settings, own_id, incarnation),
                pending: HashMap::new(),
                aborts: HashMap::new(),
                members: BTreeSet::new(),
                departed: BTreeMap::new(),
            }),
        }
    }

    fn lock(&self) -> MutexGuard<'_, Inner> {
        self.inner.lock().expect("no holder of this lock panics")
    }

    /// Registers an attempt's holds and waits for the monitor's acknowledgement. Returns whether
    /// the endpoints may be used; `false` if a hold was lost or released first.
    pub(crate) async fn register(
        &self,
        shared: &Shared,
        attempt: AttemptId,
        endpoints: impl IntoIterator<Item = EndpointId>,
        abort: &Arc<Notify>,
    ) -> bool {
        let registrations: Vec<_> = endpoints
            .into_iter()
            .map(|endpoint| self.register_one(shared, hold_id(attempt, endpoint), abort))
            .collect();
        for rx in registrations {
            if rx.await.is_err() {
                return false;
            }
        }
        true
    }

    fn register_one(
        &self,
        shared: &Shared,
        hold: HoldId,
        abort: &Arc<Notify>,
    ) -> oneshot::Receiver<()> {
        let (tx, rx) = oneshot::channel();
        let mut inner = self.lock();
        inner.pending.insert(hold.clone(), tx);
        inner.aborts.insert(hold.request, Arc::clone(abort));
        let now = shared.now();
        let mut actions = inner.owner.handle(now, owner::Event::Place(hold));
        actions.extend(inner.owner.handle(now, owner::Event::Tick));
        let reports = inner.apply_owner_actions(actions);
        drop(inner);
        send_reports(shared, reports);
        rx
    }

    /// Releases the holds of an attempt whose endpoints hold nothing for it any more.
    pub(crate) fn release(
        &self,
        shared: &Shared,
        attempt: AttemptId,
        endpoints: impl IntoIterator<Item = EndpointId>,
    ) {
        let now = shared.now();
        let mut inner = self.lock();
        for endpoint in endpoints {
            let hold = hold_id(attempt, endpoint);
            inner.pending.remove(&hold);
            inner.owner.handle(now, owner::Event::Release(hold));
        }
        inner.aborts.remove(&attempt.request);
        let ended = owner::Event::Ended(attempt.request);
        inner.owner.handle(now, ended);
    }

    /// Applies the current membership, renews leases and cancels expired holds of other entries.
    pub(crate) fn tick(&self, shared: &Shared) {
        let now = shared.now();
        let own_id = shared.network.own_id();
        let members = shared.members();
        let has_view = members.view().is_some();
        let holder = members.holder(&Role::HoldMonitor(own_id.clone())).cloned();
        let is_member = members.is_member(now);
        let in_view = members
            .view()
            .map(|view| view.members.keys().cloned().collect());
        drop(members);
        let mut inner = self.lock();
        let mut actions = inner.update_view(now, in_view, self.monitor_expiry);
        if has_view {
            actions.extend(
                inner
                    .owner
                    .handle(now, owner::Event::MonitorAssigned(holder)),
            );
        }
        actions.extend(inner.owner.handle(now, owner::Event::Tick));
        if is_member {
            inner
                .monitor
                .handle(now, monitor::Event::MemberUntil(now + ROLE_VALIDITY));
        }
        let cancellations = inner.monitor.handle(now, monitor::Event::Tick);
        let reports = inner.apply_owner_actions(actions);
        drop(inner);
        send_reports(shared, reports);
        self.apply_monitor_actions(shared, cancellations);
    }

    pub(crate) fn on_report(&self, shared: &Shared, report: Report) {
        let actions = self
            .lock()
            .monitor
            .handle(shared.now(), monitor::Event::Report(report));
        self.apply_monitor_actions(shared, actions);
    }

    pub(crate) fn on_ack(&self, shared: &Shared, ack: Ack) {
        let mut inner = self.lock();
        let actions = inner.owner.handle(shared.now(), owner::Event::Ack(ack));
        let reports = inner.apply_owner_actions(actions);
        drop(inner);
        send_reports(shared, reports);
    }

    fn apply_monitor_actions(&self, shared: &Shared, actions: Vec<monitor::Action>) {
        for action in actions {
            match action {
                monitor::Action::Ack(owner, ack) => {
                    shared.network.send(&owner, PeerMessage::HoldAck(ack));
                }
                monitor::Action::Cancel(hold) => cancel_hold(shared, hold),
            }
        }
    }
}

impl Inner {
    /// Records entries that left the view, and reports them as gone to the owner once their lease
    /// has expired and they can no longer monitor.
    fn update_view(
        &mut self,
        now: Timestamp,
        in_view: Option<BTreeSet<InstanceId>>,
        monitor_expiry: Duration,
    ) -> Vec<owner::Action> {
        if let Some(in_view) = in_view {
            let departed = self.members.difference(&in_view);
            self.departed
                .extend(departed.map(|peer| (peer.clone(), now + monitor_expiry)));
            self.departed.retain(|peer, _| !in_view.contains(peer));
            self.members = in_view;
        }
        let (expired, departed) = std::mem::take(&mut self.departed)
            .into_iter()
            .partition::<BTreeMap<_, _>, _>(|(_, at)| *at <= now);
        self.departed = departed;
        expired
            .into_keys()
            .flat_map(|peer| self.owner.handle(now, owner::Event::Gone(peer)))
            .collect()
    }

    fn apply_owner_actions(&mut self, actions: Vec<owner::Action>) -> Vec<(InstanceId, Report)> {
        let mut reports = Vec::new();
        for action in actions {
            match action {
                owner::Action::Dispatch(hold) => {
                    if let Some(tx) = self.pending.remove(&hold) {
                        let _ = tx.send(());
                    }
                }
                owner::Action::Send(to, report) => reports.push((to, report)),
                owner::Action::Lost { hold, .. } => {
                    self.pending.remove(&hold);
                    if let Some(abort) = self.aborts.get(&hold.request) {
                        abort.notify_one();
                    }
                }
            }
        }
        reports
    }
}

/// The lease of a hold. It outlasts a change of monitor: suspicion, a new view (two heartbeats) and
/// the expiry of the previous monitor's membership, plus half of their sum as a margin.
fn hold_lease(membership: &Settings) -> Duration {
    let view = membership.heartbeat * 2;
    let monitor_expiry = membership.lease + membership.guard_time();
    (membership.suspect_after + view + monitor_expiry) * 3 / 2
}

fn hold_id(attempt: AttemptId, endpoint: EndpointId) -> HoldId {
    HoldId {
        request: attempt.request,
        attempt: AttemptNumber(attempt.number),
        endpoint,
    }
}

fn send_reports(shared: &Shared, reports: Vec<(InstanceId, Report)>) {
    for (to, report) in reports {
        shared.network.send(&to, PeerMessage::HoldReport(report));
    }
}

/// Cancels a hold whose owner has failed. The monitor repeats the cancellation for some time if the
/// endpoint does not confirm it; an endpoint that is no longer configured counts as confirmed.
fn cancel_hold(shared: &Shared, hold: HoldId) {
    let Some(shared) = shared.weak_self.upgrade() else {
        return;
    };
    let attempt = AttemptId {
        request: hold.request,
        number: hold.attempt.0,
    };
    let current = shared.configuration.load();
    let endpoint = current.configuration.endpoints.get(&hold.endpoint);
    let address = endpoint.map(|endpoint| endpoint.address);
    log::warn!(
        "request={} endpoint={} cancelling the hold of a failed entry",
        hold.request,
        hold.endpoint
    );
    tokio::spawn(async move {
        let cancelled = match address {
            Some(address) => shared.engine_client.cancel(address, attempt).await,
            None => true,
        };
        if cancelled {
            let event = monitor::Event::Cancelled(hold);
            shared.holds.lock().monitor.handle(shared.now(), event);
        }
    });
}
