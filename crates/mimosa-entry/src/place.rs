//! The request queues of the services. Each is scheduled at this entry or at another one.

use std::cmp::Reverse;
use std::collections::HashMap;
use std::sync::Arc;
use std::time::Duration;

use arc_swap::ArcSwap;
use mimosa_membership::Membership;
use mimosa_membership::Role;
use mimosa_protocol::Configuration;
use mimosa_protocol::DataCentreId;
use mimosa_protocol::EndpointId;
use mimosa_protocol::Epoch;
use mimosa_protocol::InstanceId;
use mimosa_protocol::Refusal;
use mimosa_protocol::ServiceId;
use mimosa_protocol::Timestamp;
use mimosa_protocol::configuration::DataCentreState;
use mimosa_protocol::configuration::Endpoint;
use mimosa_protocol::configuration::EndpointState;
use mimosa_protocol::hash::rendezvous_weight;
use mimosa_schedule::Action;
use mimosa_schedule::Event;
use mimosa_schedule::Submission;
use mimosa_schedule::event::View;
use mimosa_transport::clock::Clock;
use tokio::sync::oneshot;

use crate::peers::message::QueueKey;
use crate::peers::network::Network;

mod local_scheduler;
mod pending_grant;
mod queue;
mod queue_state;

pub(crate) use self::pending_grant::PendingGrant;
pub(crate) use self::queue::ServiceQueue;

/// The outcome of waiting in a queue.
#[derive(Debug)]
pub(crate) enum Placement {
    /// The request may run at the granted endpoints until it is aborted.
    Granted(PendingGrant),
    /// The request was refused and did not run.
    Refused(Refusal),
}

/// The queue of one service in one data centre.
pub(crate) trait RequestQueue: Send + Sync {
    /// Queues a request. The receiver yields once it is placed or refused.
    fn submit(&self, submission: Submission) -> oneshot::Receiver<Placement>;

    /// Sends an event about this entry's requests or an endpoint to the scheduler.
    fn notify(&self, event: Event);

    /// Returns an endpoint of the service in the queue's data centre; `None` if it is not
    /// configured.
    fn endpoint(&self, id: &EndpointId) -> Option<Endpoint>;

    /// Returns all endpoints of the service in the queue's data centre.
    fn endpoints(&self) -> Vec<Endpoint>;

    /// Endpoints that this entry should probe: all of them if it schedules the queue, otherwise
    /// those that run its requests.
    fn probe_targets(&self) -> Vec<Endpoint>;

    /// How long each of this entry's requests has been running.
    fn running_durations(&self, now: Timestamp) -> Vec<Duration>;
}

/// The queues of all services in all data centres.
pub(crate) struct RequestQueues {
    clock: Clock,
    data_centre: DataCentreId,
    network: Arc<Network>,
    queues: ArcSwap<HashMap<QueueKey, Arc<ServiceQueue>>>,
}

impl RequestQueues {
    pub(crate) fn new(clock: Clock, data_centre: DataCentreId, network: Arc<Network>) -> Self {
        Self {
            clock,
            data_centre,
            network,
            queues: ArcSwap::default(),
        }
    }

    /// The queues for a request in order of preference: the own data centre's first, then those of
    /// other reachable data centres. Data centres that are taken out or have no active endpoint for
    /// the service are left out.
    pub(crate) fn queues_for(&self, service: &ServiceId) -> Vec<Arc<dyn RequestQueue>> {
        let queues = self.queues.load();
        let mut candidates: Vec<_> = queues
            .iter()
            .filter(|(key, queue)| key.service == *service && queue.accepts_work())
            .filter(|(key, _)| self.is_reachable(&key.data_centre))
            .collect();
        candidates.sort_by_key(|(key, _)| {
            let other = key.data_centre != self.data_centre;
            let own_id = self.network.own_id().as_str();
            (
                other,
                Reverse(rendezvous_weight(own_id, key.data_centre.as_str())),
            )
        });
        let queues = candidates.into_iter().map(|(_, queue)| queue);
        queues
            .map(|queue| Arc::clone(queue) as Arc<dyn RequestQueue>)
            .collect()
    }

    fn is_reachable(&self, data_centre: &DataCentreId) -> bool {
        *data_centre == self.data_centre || self.network.relay_in(data_centre).is_some()
    }

    pub(crate) fn all(&self) -> Vec<Arc<dyn RequestQueue>> {
        let queues = self.queues.load();
        let queues = queues.values();
        queues
            .map(|queue| Arc::clone(queue) as Arc<dyn RequestQueue>)
            .collect()
    }

    /// Applies a configuration: updates the queues, starts new ones and removes those of services
    /// and data centres that no longer exist.
    pub(crate) fn configure(&self, configuration: &Configuration) {
        let old = self.queues.load_full();
        let mut queues = HashMap::new();
        for data_centre in configuration.data_centres.values() {
            for service in configuration.services.values() {
                let key = QueueKey {
                    data_centre: data_centre.id.clone(),
                    service: service.id.clone(),
                };
                let existing = old.get(&key).cloned();
                let queue = existing.unwrap_or_else(|| self.new_queue(&key));
                queue.configure(View {
                    service: service.clone(),
                    data_centre: data_centre.clone(),
                    endpoints: endpoints_of(configuration, &key),
                });
                queues.insert(key, queue);
            }
        }
        self.queues.store(Arc::new(queues));
    }

    fn new_queue(&self, key: &QueueKey) -> Arc<ServiceQueue> {
        ServiceQueue::start(self.clock, key.clone(), Arc::clone(&self.network))
    }

    /// Updates which entry schedules each queue. In this data centre it is the one that holds the
    /// role; for a queue of another data centre, events go to an entry there that forwards them.
    pub(crate) fn update_schedulers(&self, now: Timestamp, members: &Membership) {
        for (key, queue) in self.queues.load().iter() {
            if key.data_centre != self.data_centre {
                queue.set_remote_scheduler(self.network.relay_in(&key.data_centre).as_ref());
                continue;
            }
            let role = Role::Scheduler(key.service.clone());
            match members.may_act(now, &role) {
                Ok(epoch) => {
                    let view = members.view();
                    let entries = view.into_iter().flat_map(|view| view.members.keys());
                    queue.schedule_here(now, epoch, entries.cloned().collect());
                }
                Err(_) => {
                    let holder = members.holder(&role);
                    queue.set_remote_scheduler(
                        holder.filter(|holder| *holder != self.network.own_id()),
                    );
                }
            }
        }
    }

    /// Whether the scheduler of every queue of this data centre is known.
    pub(crate) fn is_ready(&self) -> bool {
        let queues = self.queues.load();
        let mut own = queues
            .iter()
            .filter(|(key, _)| key.data_centre == self.data_centre);
        own.all(|(_, queue)| queue.has_scheduler())
    }

    /// Reports this entry's requests to the scheduler of each queue, which corrects its state after
    /// lost messages.
    pub(crate) fn report(&self) {
        self.queues.load().values().for_each(|queue| queue.report());
    }

    /// Handles an event that another entry sent to the scheduler of a queue.
    pub(crate) fn on_scheduler_request(
        &self,
        key: &QueueKey,
        owner: InstanceId,
        forwarded: bool,
        event: Event,
    ) {
        if let Some(queue) = self.queues.load().get(key) {
            queue.on_scheduler_request(owner, forwarded, event);
        }
    }

    /// Handles the announcement of a scheduler's epoch.
    pub(crate) fn on_scheduler_announcement(&self, key: &QueueKey, epoch: Epoch) {
        if let Some(queue) = self.queues.load().get(key) {
            queue.on_scheduler_announcement(epoch);
        }
    }

    /// Handles a remote scheduler's decision on a request of this entry.
    pub(crate) fn on_decision(&self, key: &QueueKey, action: Action) {
        if let Some(queue) = self.queues.load().get(key) {
            queue.on_decision(action);
        }
    }
}

fn endpoints_of(configuration: &Configuration, key: &QueueKey) -> Vec<Endpoint> {
    let endpoints = configuration.endpoints.values();
    endpoints
        .filter(|endpoint| endpoint.service == key.service)
        .filter(|endpoint| endpoint.data_centre == key.data_centre)
        .cloned()
        .collect()
}

/// Whether the data centre is in service and has an active endpoint.
fn accepts_work(view: &View) -> bool {
    let mut endpoints = view.endpoints.iter();
    view.data_centre.state == DataCentreState::In
        && endpoints.any(|endpoint| endpoint.state == EndpointState::Active)
}
