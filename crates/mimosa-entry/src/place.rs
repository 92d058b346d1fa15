//! The queues of the services: asked here or at the entry that schedules them.

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

mod claim;
mod desk;
mod inner;
mod queue;

pub(crate) use self::claim::Claim;
pub(crate) use self::queue::ServiceQueue;

/// What the queue answers.
#[derive(Debug)]
pub(crate) enum Placed {
    /// Run it there, and stop when told so.
    Granted(Claim),
    /// It did not run.
    Refused(Refusal),
}

/// The queue of one service in one data centre.
pub(crate) trait Placer: Send + Sync {
    /// Joins the queue; the answer comes when the request is placed or refused.
    fn submit(&self, submission: Submission) -> oneshot::Receiver<Placed>;

    /// Tells the scheduler what happened to a request of this entry.
    fn tell(&self, event: Event);

    /// An endpoint of the service.
    fn endpoint(&self, id: &EndpointId) -> Option<Endpoint>;

    /// All endpoints of the service.
    fn endpoints(&self) -> Vec<Endpoint>;

    /// Endpoints whose life this entry should watch: all if it schedules them, or else those that
    /// it has work at.
    fn watched(&self) -> Vec<Endpoint>;

    /// For how long each request in hand has been running.
    fn ages(&self, now: Timestamp) -> Vec<Duration>;
}

/// The queues of all services in all data centres that this entry asks.
pub(crate) struct Placers {
    clock: Clock,
    data_centre: DataCentreId,
    network: Arc<Network>,
    queues: ArcSwap<HashMap<QueueKey, Arc<ServiceQueue>>>,
}

impl Placers {
    pub(crate) fn new(clock: Clock, data_centre: DataCentreId, network: Arc<Network>) -> Self {
        Self {
            clock,
            data_centre,
            network,
            queues: ArcSwap::default(),
        }
    }

    /// The queues for a request, best first: the one of this data centre and then those of others.
    /// A data centre that is taken out or has no endpoint for the service is none of them.
    pub(crate) fn of(&self, service: &ServiceId) -> Vec<Arc<dyn Placer>> {
        let queues = self.queues.load();
        let mut open: Vec<_> = queues
            .iter()
            .filter(|(key, queue)| key.service == *service && queue.takes_work())
            .filter(|(key, _)| self.reaches(&key.data_centre))
            .collect();
        open.sort_by_key(|(key, _)| {
            let other = key.data_centre != self.data_centre;
            let me = self.network.me().as_str();
            (
                other,
                Reverse(rendezvous_weight(me, key.data_centre.as_str())),
            )
        });
        let queues = open.into_iter().map(|(_, queue)| queue);
        queues
            .map(|queue| Arc::clone(queue) as Arc<dyn Placer>)
            .collect()
    }

    fn reaches(&self, data_centre: &DataCentreId) -> bool {
        *data_centre == self.data_centre || self.network.door_of(data_centre).is_some()
    }

    pub(crate) fn all(&self) -> Vec<Arc<dyn Placer>> {
        let queues = self.queues.load();
        let queues = queues.values();
        queues
            .map(|queue| Arc::clone(queue) as Arc<dyn Placer>)
            .collect()
    }

    /// Follows a configuration.
    pub(crate) fn configure(&self, configuration: &Configuration) {
        let old = self.queues.load_full();
        let mut queues = HashMap::new();
        for data_centre in configuration.data_centres.values() {
            for service in configuration.services.values() {
                let key = QueueKey {
                    data_centre: data_centre.id.clone(),
                    service: service.id.clone(),
                };
                let kept = old.get(&key).cloned();
                let queue = kept.unwrap_or_else(|| self.new_queue(&key));
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

    /// Follows the roles of this data centre, and the doors of the others.
    pub(crate) fn follow(&self, now: Timestamp, members: &Membership) {
        for (key, queue) in self.queues.load().iter() {
            if key.data_centre != self.data_centre {
                queue.ask_at(self.network.door_of(&key.data_centre).as_ref());
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
                    queue.ask_at(holder.filter(|holder| *holder != self.network.me()));
                }
            }
        }
    }

    /// Whether each queue of this data centre knows its scheduler.
    pub(crate) fn is_ready(&self) -> bool {
        let queues = self.queues.load();
        let mut own = queues
            .iter()
            .filter(|(key, _)| key.data_centre == self.data_centre);
        own.all(|(_, queue)| queue.has_scheduler())
    }

    /// Reports what is in hand to each scheduler.
    pub(crate) fn report(&self) {
        self.queues.load().values().for_each(|queue| queue.report());
    }

    /// Another entry asks the scheduler of a queue.
    pub(crate) fn asked(&self, key: &QueueKey, owner: InstanceId, forwarded: bool, event: Event) {
        if let Some(queue) = self.queues.load().get(key) {
            queue.asked(owner, forwarded, event);
        }
    }

    /// A scheduler elsewhere named its epoch.
    pub(crate) fn scheduling(&self, key: &QueueKey, epoch: Epoch) {
        if let Some(queue) = self.queues.load().get(key) {
            queue.scheduling(epoch);
        }
    }

    /// A scheduler elsewhere decided on a request of this entry.
    pub(crate) fn decided(&self, key: &QueueKey, action: Action) {
        if let Some(queue) = self.queues.load().get(key) {
            queue.decided(action);
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

/// Whether new work may go there.
fn takes_work(view: &View) -> bool {
    let mut endpoints = view.endpoints.iter();
    view.data_centre.state == DataCentreState::In
        && endpoints.any(|endpoint| endpoint.state == EndpointState::Active)
}
