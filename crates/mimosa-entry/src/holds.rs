//! Drives the mirror of this entry's holds, and the guard of other entries' holds.

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
use crate::peers::beat::ROLE_STEP;
use crate::peers::message::PeerMessage;
use crate::shared::Shared;

/// The mirror of this entry's holds, and the guard of other entries' holds.
pub(crate) struct Holds {
    off_duty: Duration,
    inner: Mutex<Inner>,
}

struct Inner {
    mirror: HoldOwner,
    guard: HoldMonitor,
    waiting: HashMap<HoldId, oneshot::Sender<()>>,
    aborts: HashMap<RequestId, Arc<Notify>>,
    members: BTreeSet<InstanceId>,
    /// Entries that left the view, and when they can no longer act as guards.
    left: BTreeMap<InstanceId, Timestamp>,
}

impl Holds {
    pub(crate) fn new(me: InstanceId, life: Incarnation, membership: &Settings) -> Self {
        let settings = HoldSettings {
            lease: hold_lease(membership),
            ..HoldSettings::default()
        };
        Self {
            off_duty: membership.lease + membership.guard_time(),
            inner: Mutex::new(Inner {
                mirror: HoldOwner::new(settings, me.clone(), life),
                guard: HoldMonitor::new(settings, me, life),
                waiting: HashMap::new(),
                aborts: HashMap::new(),
                members: BTreeSet::new(),
                left: BTreeMap::new(),
            }),
        }
    }

    fn lock(&self) -> MutexGuard<'_, Inner> {
        self.inner.lock().expect("no holder of this lock panics")
    }

    /// Waits until holds are mirrored and may be used. Returns whether they may.
    pub(crate) async fn place(
        &self,
        shared: &Shared,
        attempt: AttemptId,
        endpoints: impl IntoIterator<Item = EndpointId>,
        abort: &Arc<Notify>,
    ) -> bool {
        let placed: Vec<_> = endpoints
            .into_iter()
            .map(|endpoint| self.place_one(shared, hold_id(attempt, endpoint), abort))
            .collect();
        for rx in placed {
            if rx.await.is_err() {
                return false;
            }
        }
        true
    }

    fn place_one(
        &self,
        shared: &Shared,
        hold: HoldId,
        abort: &Arc<Notify>,
    ) -> oneshot::Receiver<()> {
        let (tx, rx) = oneshot::channel();
        let mut inner = self.lock();
        inner.waiting.insert(hold.clone(), tx);
        inner.aborts.insert(hold.request, Arc::clone(abort));
        let now = shared.now();
        let mut actions = inner.mirror.handle(now, owner::Event::Place(hold));
        actions.extend(inner.mirror.handle(now, owner::Event::Tick));
        let letters = inner.carry_out(actions);
        drop(inner);
        send(shared, letters);
        rx
    }

    /// The endpoints hold nothing of an attempt any more.
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
            inner.waiting.remove(&hold);
            inner.mirror.handle(now, owner::Event::Release(hold));
        }
        inner.aborts.remove(&attempt.request);
        let ended = owner::Event::Ended(attempt.request);
        inner.mirror.handle(now, ended);
    }

    /// Looks at the membership, renews leases and cancels what is due.
    pub(crate) fn tick(&self, shared: &Shared) {
        let now = shared.now();
        let me = shared.network.me();
        let members = shared.members();
        let has_view = members.view().is_some();
        let holder = members.holder(&Role::HoldMonitor(me.clone())).cloned();
        let on_duty = members.is_member(now);
        let in_view = members
            .view()
            .map(|view| view.members.keys().cloned().collect());
        drop(members);
        let mut inner = self.lock();
        let mut actions = inner.follow_view(now, in_view, self.off_duty);
        if has_view {
            actions.extend(
                inner
                    .mirror
                    .handle(now, owner::Event::MonitorAssigned(holder)),
            );
        }
        actions.extend(inner.mirror.handle(now, owner::Event::Tick));
        if on_duty {
            inner
                .guard
                .handle(now, monitor::Event::MemberUntil(now + ROLE_STEP));
        }
        let due = inner.guard.handle(now, monitor::Event::Tick);
        let letters = inner.carry_out(actions);
        drop(inner);
        send(shared, letters);
        self.guard_all(shared, due);
    }

    pub(crate) fn take_report(&self, shared: &Shared, report: Report) {
        let actions = self
            .lock()
            .guard
            .handle(shared.now(), monitor::Event::Report(report));
        self.guard_all(shared, actions);
    }

    pub(crate) fn take_ack(&self, shared: &Shared, ack: Ack) {
        let mut inner = self.lock();
        let actions = inner.mirror.handle(shared.now(), owner::Event::Ack(ack));
        let letters = inner.carry_out(actions);
        drop(inner);
        send(shared, letters);
    }

    fn guard_all(&self, shared: &Shared, actions: Vec<monitor::Action>) {
        for action in actions {
            match action {
                monitor::Action::Ack(owner, ack) => {
                    shared.network.send(&owner, PeerMessage::HoldAck(ack));
                }
                monitor::Action::Cancel(hold) => cancel(shared, hold),
            }
        }
    }
}

impl Inner {
    /// Notes who left the view. Once its lease is over it guards nothing any more.
    fn follow_view(
        &mut self,
        now: Timestamp,
        in_view: Option<BTreeSet<InstanceId>>,
        off_duty: Duration,
    ) -> Vec<owner::Action> {
        if let Some(in_view) = in_view {
            let left = self.members.difference(&in_view);
            self.left
                .extend(left.map(|peer| (peer.clone(), now + off_duty)));
            self.left.retain(|peer, _| !in_view.contains(peer));
            self.members = in_view;
        }
        let (due, left) = std::mem::take(&mut self.left)
            .into_iter()
            .partition::<BTreeMap<_, _>, _>(|(_, at)| *at <= now);
        self.left = left;
        due.into_keys()
            .flat_map(|peer| self.mirror.handle(now, owner::Event::Gone(peer)))
            .collect()
    }

    fn carry_out(&mut self, actions: Vec<owner::Action>) -> Vec<(InstanceId, Report)> {
        let mut letters = Vec::new();
        for action in actions {
            match action {
                owner::Action::Dispatch(hold) => {
                    if let Some(tx) = self.waiting.remove(&hold) {
                        let _ = tx.send(());
                    }
                }
                owner::Action::Send(to, report) => letters.push((to, report)),
                owner::Action::Lost { hold, .. } => {
                    self.waiting.remove(&hold);
                    if let Some(abort) = self.aborts.get(&hold.request) {
                        abort.notify_one();
                    }
                }
            }
        }
        letters
    }
}

/// The lease of a hold outlasts the change to another guard: suspicion, a new view, and the end of
/// the earlier guard's membership.
fn hold_lease(membership: &Settings) -> Duration {
    let view = membership.heartbeat * 2;
    let off_duty = membership.lease + membership.guard_time();
    (membership.suspect_after + view + off_duty) * 3 / 2
}

fn hold_id(attempt: AttemptId, endpoint: EndpointId) -> HoldId {
    HoldId {
        request: attempt.request,
        attempt: AttemptNumber(attempt.number),
        endpoint,
    }
}

fn send(shared: &Shared, letters: Vec<(InstanceId, Report)>) {
    for (to, report) in letters {
        shared.network.send(&to, PeerMessage::HoldReport(report));
    }
}

/// Cancels a hold of an owner that is gone.
fn cancel(shared: &Shared, hold: HoldId) {
    let Some(shared) = shared.own.upgrade() else {
        return;
    };
    let attempt = AttemptId {
        request: hold.request,
        number: hold.attempt.0,
    };
    let table = shared.table.load();
    let endpoint = table.configuration.endpoints.get(&hold.endpoint);
    let address = endpoint.map(|endpoint| endpoint.address);
    log::warn!(
        "request={} endpoint={} its entry is gone: cancelled",
        hold.request,
        hold.endpoint
    );
    tokio::spawn(async move {
        let cancelled = match address {
            Some(address) => shared.engine.cancel(address, attempt).await,
            None => true,
        };
        if cancelled {
            let event = monitor::Event::Cancelled(hold);
            shared.holds.lock().guard.handle(shared.now(), event);
        }
    });
}
