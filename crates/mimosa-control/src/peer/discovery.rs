//! Discovers the other control instances, starting from the seeds.

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

const MEMBER_CHECK_INTERVAL: Duration = Duration::from_millis(500);

/// The discovery task of an instance.
pub struct PeerDiscovery {
    /// The name of this instance, to which it opens no connection.
    pub instance: InstanceId,
    /// The seeds and the peer port.
    pub discovery: Discovery,
    /// Receives a queue for each discovered instance.
    pub outbound: Arc<Outbound>,
    /// Sends inputs to the replica thread.
    pub inputs: mpsc::Sender<Input>,
    /// The status of this replica, which names the members of the cluster.
    pub status: SharedStatus,
    /// Receives the names of instances to connect to.
    pub discovered_rx: tokio::sync::mpsc::UnboundedReceiver<InstanceId>,
}

impl PeerDiscovery {
    /// Connects to the seeds, the members and all discovered instances, until the task is aborted.
    pub async fn run(mut self) {
        let mut links = JoinSet::new();
        let seeds: Vec<_> = self.discovery.seeds.iter().cloned().collect();
        for seed in seeds {
            self.connect(seed, &mut links);
        }
        let mut member_checks = interval(MEMBER_CHECK_INTERVAL);
        loop {
            tokio::select! {
                Some(instance) = self.discovered_rx.recv() => self.connect(instance, &mut links),
                _ = member_checks.tick() => self.check_members(&mut links),
                Some(_) = links.join_next() => {}
            }
        }
    }

    fn check_members(&self, links: &mut JoinSet<()>) {
        let status = self.status.get();
        for instance in status.named {
            self.connect(instance, links);
        }
        if status.seeks_members {
            self.outbound.send_all(&PeerMessage::QueryMembers);
        }
    }

    fn connect(&self, instance: InstanceId, links: &mut JoinSet<()>) {
        if instance == self.instance {
            return;
        }
        let Some(address) = self.discovery.address(&instance) else {
            warn!("cannot connect to control instance '{instance}': its name is no IP address");
            return;
        };
        if let Some(link) = self.outbound.add(instance.clone(), address) {
            info!("control_instance={instance} state=found");
            links.spawn(link.run());
            self.inputs.send(Input::AddPeers(vec![instance])).ok();
        }
    }
}
