//! The queue of one service in one data centre, as this entry uses it.

use std::collections::HashMap;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::Weak;
use std::time::Duration;

use arc_swap::ArcSwap;
use mimosa_protocol::EndpointId;
use mimosa_protocol::Epoch;
use mimosa_protocol::InstanceId;
use mimosa_protocol::Timestamp;
use mimosa_protocol::configuration::Endpoint;
use mimosa_schedule::Action;
use mimosa_schedule::Event;
use mimosa_schedule::Submission;
use mimosa_schedule::event::View;
use mimosa_schedule::fence::GrantFence;
use mimosa_transport::clock::Clock;
use tokio::sync::Notify;
use tokio::sync::oneshot;

use super::Placed;
use super::Placer;
use super::desk::Desk;
use super::inner::Inner;
use super::takes_work;
use crate::peers::message::QueueKey;
use crate::peers::network::Network;

/// Longest pause between two looks at the clock.
const MAX_PAUSE: Duration = Duration::from_secs(1);

/// The queue of one service in one data centre.
pub(crate) struct ServiceQueue {
    clock: Clock,
    network: Arc<Network>,
    inner: Mutex<Inner>,
    endpoints: ArcSwap<HashMap<EndpointId, Endpoint>>,
    wake: Notify,
}

impl std::fmt::Debug for ServiceQueue {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.write_str("ServiceQueue")
    }
}

impl ServiceQueue {
    /// Starts the queue and the task that wakes its scheduler.
    pub(crate) fn start(clock: Clock, key: QueueKey, network: Arc<Network>) -> Arc<Self> {
        let me = network.me().clone();
        let queue = Arc::new_cyclic(|own| Self {
            clock,
            network,
            inner: Mutex::new(Inner {
                key,
                me,
                own: Weak::clone(own),
                view: None,
                desk: None,
                scheduler: None,
                fence: GrantFence::default(),
                waiting: HashMap::new(),
                running: HashMap::new(),
                outbox: Vec::new(),
            }),
            endpoints: ArcSwap::default(),
            wake: Notify::new(),
        });
        tokio::spawn(tick(Arc::downgrade(&queue)));
        queue
    }

    /// Whether new work may go there.
    pub(crate) fn takes_work(&self) -> bool {
        self.lock().view.as_ref().is_some_and(takes_work)
    }

    /// Whether it is known who schedules it.
    pub(crate) fn has_scheduler(&self) -> bool {
        let inner = self.lock();
        inner.desk.is_some() || inner.scheduler.is_some()
    }

    pub(crate) fn configure(&self, view: View) {
        let endpoints = view.endpoints.iter().cloned();
        let by_id = endpoints.map(|endpoint| (endpoint.id.clone(), endpoint));
        self.endpoints.store(Arc::new(by_id.collect()));
        self.with(|now, inner| {
            inner.view = Some(view.clone());
            if inner.desk.is_some() {
                inner.tell(now, Event::Configure(Box::new(view)));
            }
        });
    }

    /// This entry schedules the queue, under an epoch.
    pub(crate) fn schedule_here(&self, now: Timestamp, epoch: Epoch, entries: Vec<InstanceId>) {
        let mut inner = self.lock();
        let known = inner.desk.as_ref().map(Desk::epoch);
        if known == Some(epoch) {
            let desk = inner.desk.as_mut().expect("its epoch is known");
            let decisions = desk.prolong(now);
            inner.carry_out_all(now, decisions);
            self.flush(inner);
            return;
        }
        log::info!(
            "{:?} is scheduled here under epoch {epoch}",
            inner.key.service
        );
        inner.scheduler = None;
        inner.fence.observe(epoch);
        inner.announce(epoch, &entries);
        let mut desk = Desk::open(now, epoch, entries);
        let decisions = desk.prolong(now);
        inner.desk = Some(desk);
        inner.carry_out_all(now, decisions);
        let view = inner.view.clone();
        if let Some(view) = view {
            inner.tell(now, Event::Configure(Box::new(view)));
        }
        inner.report(now);
        self.flush(inner);
        self.wake.notify_one();
    }

    /// Another entry schedules the queue, or knows who does.
    pub(crate) fn ask_at(&self, scheduler: Option<&InstanceId>) {
        let inner = self.lock();
        if inner.desk.is_none() && inner.scheduler.as_ref() == scheduler {
            return;
        }
        drop(inner);
        self.with(|now, inner| {
            inner.desk = None;
            inner.scheduler = scheduler.cloned();
            inner.report(now);
        });
    }

    pub(crate) fn report(&self) {
        self.with(|now, inner| inner.report(now));
    }

    pub(crate) fn asked(&self, owner: InstanceId, forwarded: bool, event: Event) {
        self.with(|now, inner| inner.asked(now, owner, forwarded, event));
        self.wake.notify_one();
    }

    /// The scheduler elsewhere has this epoch: reports count there only if they name it.
    pub(crate) fn scheduling(&self, epoch: Epoch) {
        self.with(|now, inner| {
            if epoch > inner.fence.epoch() {
                inner.fence.observe(epoch);
                inner.report(now);
            }
        });
    }

    pub(crate) fn decided(&self, action: Action) {
        self.with(|now, inner| inner.carry_out(now, action));
    }

    fn lock(&self) -> MutexGuard<'_, Inner> {
        self.inner.lock().expect("no holder of this lock panics")
    }

    fn with(&self, change: impl FnOnce(Timestamp, &mut Inner)) {
        let now = self.clock.now();
        let mut inner = self.lock();
        change(now, &mut inner);
        self.flush(inner);
    }

    /// Sends what was decided, once the lock is free.
    fn flush(&self, mut inner: MutexGuard<'_, Inner>) {
        let outbox = std::mem::take(&mut inner.outbox);
        drop(inner);
        for (to, message) in outbox {
            self.network.send(&to, message);
        }
    }

    fn next_pause(&self) -> Duration {
        let inner = self.lock();
        let wanted = inner.desk.as_ref().and_then(Desk::next_wake);
        let pause = wanted.map(|at| at.since(self.clock.now()));
        pause.unwrap_or(MAX_PAUSE).min(MAX_PAUSE)
    }
}

impl Placer for ServiceQueue {
    fn submit(&self, submission: Submission) -> oneshot::Receiver<Placed> {
        let (tx, rx) = oneshot::channel();
        self.with(|now, inner| inner.submit(now, submission, tx));
        self.wake.notify_one();
        rx
    }

    fn tell(&self, event: Event) {
        self.with(|now, inner| inner.tell(now, event));
        self.wake.notify_one();
    }

    fn endpoint(&self, id: &EndpointId) -> Option<Endpoint> {
        self.endpoints.load().get(id).cloned()
    }

    fn endpoints(&self) -> Vec<Endpoint> {
        self.endpoints.load().values().cloned().collect()
    }

    fn watched(&self) -> Vec<Endpoint> {
        let inner = self.lock();
        if inner.desk.is_some() {
            return self.endpoints();
        }
        let grants = inner.running.values().map(|running| &running.held.grant);
        let mut used: Vec<_> = grants
            .flat_map(|grant| grant.prefill.iter().chain([&grant.decode]))
            .cloned()
            .collect();
        used.sort();
        used.dedup();
        used.iter().filter_map(|id| self.endpoint(id)).collect()
    }

    fn ages(&self, now: Timestamp) -> Vec<Duration> {
        let inner = self.lock();
        let running = inner.running.values();
        running.map(|running| now.since(running.since)).collect()
    }
}

/// Wakes the scheduler when it asked for it, as long as the queue is in use.
async fn tick(queue: Weak<ServiceQueue>) {
    loop {
        let Some(strong) = queue.upgrade() else {
            return;
        };
        let pause = strong.next_pause();
        let woken = tokio::time::timeout(pause, strong.wake.notified()).await;
        if woken.is_err() {
            strong.with(|now, inner| {
                if inner.desk.is_some() {
                    inner.tell(now, Event::Tick);
                }
            });
        }
    }
}
