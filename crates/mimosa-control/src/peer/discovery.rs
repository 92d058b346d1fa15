//! Finds the other control instances from a few seeds.

use std::sync::Arc;
use std::sync::mpsc;
use std::time::Duration;

use log::info;
use log::warn;
use mimosa_protocol::InstanceId;
use tokio::task::JoinSet;
use tokio::time::interval;

use crate::peer::PeerMessage;
use crate::peer::outbound::Outbound;
use crate::replicator::replicated::core::SharedStatus;
use crate::replicator::replicated::input::Input;
use crate::settings::Discovery;

/// Time between two looks at the members.
const LOOK_PERIOD: Duration = Duration::from_millis(500);

/// What the search needs.
pub struct Search {
    /// This instance.
    pub own: InstanceId,
    /// How the others are found.
    pub discovery: Discovery,
    /// Connections to the others.
    pub outbound: Arc<Outbound>,
    /// The driving thread.
    pub core: mpsc::Sender<Input>,
    /// How this instance stands.
    pub status: SharedStatus,
    /// Names heard of.
    pub heard: tokio::sync::mpsc::UnboundedReceiver<InstanceId>,
}

impl Search {
    /// Connects to every instance that it hears of, until the task is aborted.
    pub async fn run(mut self) {
        let mut links = JoinSet::new();
        let seeds: Vec<_> = self.discovery.seeds.iter().cloned().collect();
        for seed in seeds {
            self.found(seed, &mut links);
        }
        let mut looks = interval(LOOK_PERIOD);
        loop {
            tokio::select! {
                Some(instance) = self.heard.recv() => self.found(instance, &mut links),
                _ = looks.tick() => self.look(&mut links),
                Some(_) = links.join_next() => {}
            }
        }
    }

    fn look(&self, links: &mut JoinSet<()>) {
        let status = self.status.get();
        for name in status.voters.iter().chain(&status.learners) {
            if let Ok(instance) = name.parse() {
                self.found(instance, links);
            }
        }
        if !status.votes {
            self.outbound.send_all(&PeerMessage::AskMembers);
        }
    }

    fn found(&self, instance: InstanceId, links: &mut JoinSet<()>) {
        if instance == self.own {
            return;
        }
        let Some(address) = self.discovery.address(&instance) else {
            warn!("control instance '{instance}' is not named by its IP address");
            return;
        };
        if let Some(link) = self.outbound.add(instance.clone(), address) {
            info!("control_instance={instance} state=found");
            links.spawn(link.run());
            self.core.send(Input::MorePeers(vec![instance])).ok();
        }
    }
}
