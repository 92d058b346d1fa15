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

use super::Placement;
use super::RequestQueue;
use super::accepts_work;
use super::local_scheduler::LocalScheduler;
use super::queue_state::QueueState;
use crate::peers::message::QueueKey;
use crate::peers::network::Network;

/// Maximum time between checks whether the scheduler needs to wake.
const MAX_SLEEP: Duration = Duration::from_secs(1);

/// The queue of one service in one data centre.
pub(crate) struct ServiceQueue {
    clock: Clock,
    network: Arc<Network>,
    state: Mutex<QueueState>,
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
        let own_id = network.own_id().clone();
        let queue = Arc::new_cyclic(|weak_self| Self {
            clock,
            network,
            state: Mutex::new(QueueState {
                key,
                own_id,
                weak_self: Weak::clone(weak_self),
                view: None,
                local_scheduler: None,
                remote_scheduler: None,
                fence: GrantFence::default(),
                waiting: HashMap::new(),
                running: HashMap::new(),
                outbox: Vec::new(),
            }),
            endpoints: ArcSwap::default(),
            wake: Notify::new(),
        });
        tokio::spawn(run_scheduler_timer(Arc::downgrade(&queue)));
        queue
    }

    /// Whether the queue's data centre is in service and has an active endpoint of the service.
    pub(crate) fn accepts_work(&self) -> bool {
        self.lock().view.as_ref().is_some_and(accepts_work)
    }

    /// Whether this entry schedules the queue or knows an entry to send events to.
    pub(crate) fn has_scheduler(&self) -> bool {
        let state = self.lock();
        state.local_scheduler.is_some() || state.remote_scheduler.is_some()
    }

    pub(crate) fn configure(&self, view: View) {
        let endpoints = view.endpoints.iter().cloned();
        let by_id = endpoints.map(|endpoint| (endpoint.id.clone(), endpoint));
        self.endpoints.store(Arc::new(by_id.collect()));
        self.update(|now, state| {
            state.view = Some(view.clone());
            if state.local_scheduler.is_some() {
                state.notify(now, Event::Configure(Box::new(view)));
            }
        });
    }

    /// Schedules the queue at this entry under an epoch, or renews the lease if it does already.
    /// `entries` are the members whose reports the scheduler waits for.
    pub(crate) fn schedule_here(&self, now: Timestamp, epoch: Epoch, entries: Vec<InstanceId>) {
        let mut state = self.lock();
        let known = state.local_scheduler.as_ref().map(LocalScheduler::epoch);
        if known == Some(epoch) {
            let local_scheduler = state.local_scheduler.as_mut().expect("its epoch is known");
            let decisions = local_scheduler.renew_lease(now);
            state.apply_decisions(now, decisions);
            self.unlock_and_send(state);
            return;
        }
        log::info!(
            "this entry schedules service {} from now on, under epoch {epoch}",
            state.key.service
        );
        state.remote_scheduler = None;
        state.fence.observe(epoch);
        state.announce(epoch, &entries);
        let mut local_scheduler = LocalScheduler::take_over(now, epoch, entries);
        let decisions = local_scheduler.renew_lease(now);
        state.local_scheduler = Some(local_scheduler);
        state.apply_decisions(now, decisions);
        let view = state.view.clone();
        if let Some(view) = view {
            state.notify(now, Event::Configure(Box::new(view)));
        }
        state.report(now);
        self.unlock_and_send(state);
        self.wake.notify_one();
    }

    /// Sets the entry that events are sent to, which schedules the queue or forwards them; `None`
    /// if no such entry is known.
    pub(crate) fn set_remote_scheduler(&self, scheduler: Option<&InstanceId>) {
        let state = self.lock();
        if state.local_scheduler.is_none() && state.remote_scheduler.as_ref() == scheduler {
            return;
        }
        drop(state);
        self.update(|now, state| {
            state.local_scheduler = None;
            state.remote_scheduler = scheduler.cloned();
            state.report(now);
        });
    }

    pub(crate) fn report(&self) {
        self.update(|now, state| state.report(now));
    }

    pub(crate) fn on_scheduler_request(&self, owner: InstanceId, forwarded: bool, event: Event) {
        self.update(|now, state| state.on_scheduler_request(now, owner, forwarded, event));
        self.wake.notify_one();
    }

    /// Records a remote scheduler's epoch and reports under it: the scheduler ignores reports under
    /// other epochs.
    pub(crate) fn on_scheduler_announcement(&self, epoch: Epoch) {
        self.update(|now, state| {
            if epoch > state.fence.epoch() {
                state.fence.observe(epoch);
                state.report(now);
            }
        });
    }

    pub(crate) fn on_decision(&self, action: Action) {
        self.update(|now, state| state.apply_decision(now, action));
    }

    fn lock(&self) -> MutexGuard<'_, QueueState> {
        self.state.lock().expect("no holder of this lock panics")
    }

    fn update(&self, change: impl FnOnce(Timestamp, &mut QueueState)) {
        let now = self.clock.now();
        let mut state = self.lock();
        change(now, &mut state);
        self.unlock_and_send(state);
    }

    /// Releases the lock and then sends the queued messages.
    fn unlock_and_send(&self, mut state: MutexGuard<'_, QueueState>) {
        let outbox = std::mem::take(&mut state.outbox);
        drop(state);
        for (to, message) in outbox {
            self.network.send(&to, message);
        }
    }

    fn next_sleep(&self) -> Duration {
        let state = self.lock();
        let wake_at = state
            .local_scheduler
            .as_ref()
            .and_then(LocalScheduler::next_wake);
        let sleep = wake_at.map(|at| at.since(self.clock.now()));
        sleep.unwrap_or(MAX_SLEEP).min(MAX_SLEEP)
    }
}

impl RequestQueue for ServiceQueue {
    fn submit(&self, submission: Submission) -> oneshot::Receiver<Placement> {
        let (tx, rx) = oneshot::channel();
        self.update(|now, state| state.submit(now, submission, tx));
        self.wake.notify_one();
        rx
    }

    fn notify(&self, event: Event) {
        self.update(|now, state| state.notify(now, event));
        self.wake.notify_one();
    }

    fn endpoint(&self, id: &EndpointId) -> Option<Endpoint> {
        self.endpoints.load().get(id).cloned()
    }

    fn endpoints(&self) -> Vec<Endpoint> {
        self.endpoints.load().values().cloned().collect()
    }

    fn probe_targets(&self) -> Vec<Endpoint> {
        let state = self.lock();
        if state.local_scheduler.is_some() {
            return self.endpoints();
        }
        let grants = state.running.values().map(|running| &running.report.grant);
        let mut used: Vec<_> = grants
            .flat_map(|grant| grant.prefill.iter().chain([&grant.decode]))
            .cloned()
            .collect();
        used.sort();
        used.dedup();
        used.iter().filter_map(|id| self.endpoint(id)).collect()
    }

    fn running_durations(&self, now: Timestamp) -> Vec<Duration> {
        let state = self.lock();
        let running = state.running.values();
        running
            .map(|running| now.since(running.started_at))
            .collect()
    }
}

/// Wakes the scheduler at the times that it asks for, as long as the queue is in use.
async fn run_scheduler_timer(queue: Weak<ServiceQueue>) {
    loop {
        let Some(strong) = queue.upgrade() else {
            return;
        };
        let sleep = strong.next_sleep();
        let woken = tokio::time::timeout(sleep, strong.wake.notified()).await;
        if woken.is_err() {
            strong.update(|now, state| {
                if state.local_scheduler.is_some() {
                    state.notify(now, Event::Tick);
                }
            });
        }
    }
}
