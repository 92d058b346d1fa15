//! Peer discovery: a process sends only to instances that it knows by name, from its seeds, its log,
//! and the instances that connected to it or answered it.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::time::Duration;

use mimosa_consensus::Event;
use mimosa_protocol::InstanceId;

use super::Cluster;
use super::Job;

/// Interval at which a process compares its connections with its log.
const DISCOVERY_INTERVAL: Duration = Duration::from_millis(500);

#[derive(Default)]
pub struct Contacts {
    /// Seeds in the settings of each instance, which a process reads when it starts.
    pub seeds: BTreeMap<InstanceId, BTreeSet<InstanceId>>,
    /// Instances that each running process connects to.
    known: BTreeMap<InstanceId, BTreeSet<InstanceId>>,
}

impl Contacts {
    /// Starts a process, which knows its seeds.
    pub(super) fn start(&mut self, id: &InstanceId) -> BTreeSet<InstanceId> {
        let seeds = self.seeds.get(id).cloned().unwrap_or_default();
        self.known.insert(id.clone(), seeds.clone());
        seeds
    }

    pub(super) fn knows(&self, from: &InstanceId, to: &InstanceId) -> bool {
        self.known.get(from).is_some_and(|known| known.contains(to))
    }

    /// Adds names to those that a process knows; returns the new ones.
    fn add(
        &mut self,
        id: &InstanceId,
        names: impl IntoIterator<Item = InstanceId>,
    ) -> Vec<InstanceId> {
        let known = self.known.entry(id.clone()).or_default();
        names
            .into_iter()
            .filter(|name| name != id && known.insert(name.clone()))
            .collect()
    }
}

impl Cluster {
    /// Connects a process to all instances that it knows, and asks them for others if it needs them.
    pub(super) fn discover(&mut self, id: &InstanceId) {
        let Some(process) = &self.nodes[id].process else {
            return;
        };
        let named = process.replica.named_instances();
        let seeks_members = process.replica.seeks_members();
        self.connect(id, named);
        for peer in self.connected_peers(id) {
            self.connect(&peer, [id.clone()]);
            if seeks_members {
                let named = self.process(&peer).replica.named_instances();
                let connected = self.connected_peers(&peer);
                self.connect(id, named.into_iter().chain(connected));
            }
        }
        let generation = self.nodes[id].generation;
        let at = self.now + DISCOVERY_INTERVAL;
        self.schedule(at, id.clone(), Job::Discover(generation));
    }

    fn connect(&mut self, id: &InstanceId, names: impl IntoIterator<Item = InstanceId>) {
        let Some(contacts) = &mut self.contacts else {
            return;
        };
        let added = contacts.add(id, names);
        if !added.is_empty() {
            self.handle_event(id, Event::AddPeers(added));
        }
    }

    /// The running instances that a process knows and has a connection to.
    fn connected_peers(&self, id: &InstanceId) -> Vec<InstanceId> {
        let known = self.contacts.iter().flat_map(|each| each.known.get(id));
        known
            .flatten()
            .filter(|peer| self.is_in_touch(id, peer))
            .cloned()
            .collect()
    }

    /// Whether both instances run and no link between them is blocked.
    pub fn is_in_touch(&self, one: &InstanceId, other: &InstanceId) -> bool {
        let runs = |id| {
            self.nodes
                .get(id)
                .is_some_and(|node| node.process.is_some())
        };
        let is_blocked = |from: &InstanceId, to: &InstanceId| {
            self.blocked_links.contains(&(from.clone(), to.clone()))
        };
        runs(one) && runs(other) && !is_blocked(one, other) && !is_blocked(other, one)
    }

    /// Sets the seeds in the settings of all instances.
    pub fn set_seeds(&mut self, seeds: &BTreeSet<InstanceId>) {
        let names: Vec<InstanceId> = self.nodes.keys().cloned().collect();
        if let Some(contacts) = &mut self.contacts {
            contacts.seeds = names
                .into_iter()
                .map(|name| (name, seeds.clone()))
                .collect();
        }
    }
}
