//! What an entry knows about the others: heartbeats heard, joined with the platform's list.
//!
//! Neither source alone declares life. An entry counts as alive if it is heard and, while the list is
//! recent, listed; as gone if it is silent and the list has dropped it for longer than its lag; as
//! draining if it says so or the list names it as leaving; and as suspect otherwise.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::net::SocketAddr;

use mimosa_protocol::Epoch;
use mimosa_protocol::Incarnation;
use mimosa_protocol::InstanceId;
use mimosa_protocol::Timestamp;
use mimosa_protocol::data;

use crate::message::Echo;
use crate::message::Heartbeat;
use crate::message::Report;
use crate::settings::Settings;
use crate::view::Identity;
use crate::view::View;

/// Peers remembered, listed or not.
const MAX_PEERS: usize = 256;

data! {
    /// What is thought of an entry.
    #[derive(Copy, Hash, PartialOrd, Ord)]
    pub enum PeerState {
        /// It is heard and listed.
        Alive,
        /// Only one source speaks for it.
        Suspect,
        /// It finishes its work and leaves.
        Draining,
        /// It is silent and no longer listed.
        Gone,
    }

    /// An entry of this data centre on the platform's list.
    #[derive(Copy)]
    pub struct ListedInstance {
        /// Where it receives heartbeats.
        pub address: SocketAddr,
        /// Whether the platform is taking it away.
        pub leaving: bool,
    }
}

/// The platform's list of the entries of this data centre.
pub type PlatformList = BTreeMap<InstanceId, ListedInstance>;

#[derive(Clone, Debug)]
struct Peer {
    incarnation: Incarnation,
    address: SocketAddr,
    first_heard: Timestamp,
    last_heard: Timestamp,
    sequence: u64,
    epoch: Epoch,
    votes: bool,
    report: Report,
}

/// How a message from a peer is to be taken.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Origin {
    /// From the peer's present life.
    Present,
    /// From a life that a later one replaced.
    Replaced {
        /// The later life.
        by: Incarnation,
    },
    /// From a second process under the same name and life.
    Twin,
}

/// The other entries of the data centre.
#[derive(Clone, Debug, Default)]
pub struct Peers {
    heard: BTreeMap<InstanceId, Peer>,
    list: PlatformList,
    list_at: Option<Timestamp>,
    first_list_at: Option<Timestamp>,
    dropped: BTreeMap<InstanceId, Timestamp>,
}

impl Peers {
    /// Takes the platform's list. An empty one says nothing: this entry itself must be on it.
    pub fn listed(&mut self, now: Timestamp, list: PlatformList) {
        if list.is_empty() {
            return;
        }
        self.first_list_at.get_or_insert(now);
        let old = std::mem::replace(&mut self.list, list);
        for instance in old.into_keys() {
            self.dropped.entry(instance).or_insert(now);
        }
        self.dropped
            .retain(|instance, _| !self.list.contains_key(instance));
        while self.dropped.len() > MAX_PEERS {
            self.dropped.pop_first();
        }
        self.list_at = Some(now);
    }

    /// Notes that a peer spoke, and says how to take it.
    pub fn hear(
        &mut self,
        now: Timestamp,
        from: &Identity,
        address: SocketAddr,
        settings: &Settings,
    ) -> Origin {
        let Some(known) = self.heard.get_mut(&from.instance) else {
            if self.heard.len() < MAX_PEERS {
                let peer = Peer::new(now, from.incarnation, address);
                self.heard.insert(from.instance.clone(), peer);
            }
            return Origin::Present;
        };
        if from.incarnation < known.incarnation {
            return Origin::Replaced {
                by: known.incarnation,
            };
        }
        if from.incarnation > known.incarnation {
            *known = Peer::new(now, from.incarnation, address);
            return Origin::Present;
        }
        let silent = now.since(known.last_heard) >= settings.suspect_after;
        if address != known.address && !silent {
            return Origin::Twin;
        }
        if silent {
            known.first_heard = now;
        }
        known.address = address;
        known.last_heard = now;
        Origin::Present
    }

    /// Takes the contents of a heartbeat from a peer's present life.
    pub fn note(&mut self, from: &InstanceId, heartbeat: &Heartbeat) {
        if let Some(peer) = self.heard.get_mut(from) {
            peer.sequence = peer.sequence.max(heartbeat.sequence);
            peer.epoch = heartbeat.epoch;
            peer.votes = heartbeat.votes;
            peer.report = heartbeat.report;
        }
    }

    /// Another instance that was just heard at the same address.
    pub fn other_at(
        &self,
        now: Timestamp,
        instance: &InstanceId,
        address: SocketAddr,
        settings: &Settings,
    ) -> Option<&InstanceId> {
        self.heard
            .iter()
            .filter(|(other, _)| *other != instance)
            .find(|(_, peer)| peer.address == address && peer.is_heard(now, settings))
            .map(|(other, _)| other)
    }

    /// Counts everybody as just heard, after this process did not listen for a while.
    pub fn forgive(&mut self, now: Timestamp) {
        self.heard
            .values_mut()
            .for_each(|peer| peer.last_heard = now);
    }

    /// Forgets a peer that is gone.
    pub fn forget(&mut self, instance: &InstanceId) {
        self.heard.remove(instance);
    }

    /// The addresses to send heartbeats to.
    pub fn addresses(&self) -> BTreeMap<InstanceId, SocketAddr> {
        let heard = self.heard.iter().map(|(id, peer)| (id, peer.address));
        let listed = self.list.iter().map(|(id, entry)| (id, entry.address));
        listed
            .chain(heard)
            .map(|(id, address)| (id.clone(), address))
            .collect()
    }

    /// Names the newest heartbeat of a peer.
    pub fn echo(&self, instance: &InstanceId) -> Option<Echo> {
        let peer = self.heard.get(instance)?;
        (peer.sequence > 0).then_some(Echo {
            incarnation: peer.incarnation,
            sequence: peer.sequence,
        })
    }

    /// What a peer last reported.
    pub fn report(&self, instance: &InstanceId) -> Option<&Report> {
        self.heard.get(instance).map(|peer| &peer.report)
    }

    /// The present life of a peer.
    pub fn incarnation(&self, instance: &InstanceId) -> Option<Incarnation> {
        self.heard.get(instance).map(|peer| peer.incarnation)
    }

    /// Every other entry that is heard or listed.
    pub fn instances(&self) -> BTreeSet<InstanceId> {
        let heard = self.heard.keys();
        heard.chain(self.list.keys()).cloned().collect()
    }

    /// What is thought of a peer.
    pub fn standing(
        &self,
        now: Timestamp,
        instance: &InstanceId,
        settings: &Settings,
    ) -> PeerState {
        let listed = self.list.get(instance);
        let list_is_recent = self.list_is_recent(now, settings);
        let peer = self.heard.get(instance);
        match peer.filter(|peer| peer.is_heard(now, settings)) {
            Some(peer) if peer.report.draining => PeerState::Draining,
            Some(_) if listed.is_some_and(|entry| entry.leaving) => PeerState::Draining,
            Some(_) if list_is_recent && listed.is_none() => PeerState::Suspect,
            Some(_) => PeerState::Alive,
            None if self.is_gone(now, instance, settings) => PeerState::Gone,
            None => PeerState::Suspect,
        }
    }

    /// Whether a peer is alive for long enough to join a view.
    pub fn may_join(&self, now: Timestamp, instance: &InstanceId, settings: &Settings) -> bool {
        let peer = self.heard.get(instance);
        let steady = peer.is_some_and(|peer| now.since(peer.first_heard) >= settings.join_after);
        steady && self.standing(now, instance, settings) == PeerState::Alive
    }

    /// Whether a peer is heard.
    pub fn is_heard(&self, now: Timestamp, instance: &InstanceId, settings: &Settings) -> bool {
        let peer = self.heard.get(instance);
        peer.is_some_and(|peer| peer.is_heard(now, settings))
    }

    /// Whether any peer that is heard votes in a view.
    pub fn is_any_voter_heard(&self, now: Timestamp, settings: &Settings) -> bool {
        let mut heard = self.heard.values();
        heard.any(|peer| peer.is_heard(now, settings) && peer.votes)
    }

    /// The newest view that any peer told of.
    pub fn newest_epoch(&self) -> Epoch {
        let epochs = self.heard.values().map(|peer| peer.epoch);
        epochs.max().unwrap_or_default()
    }

    /// Whether the platform's list can be used.
    pub fn list_is_recent(&self, now: Timestamp, settings: &Settings) -> bool {
        let at = self.list_at;
        at.is_some_and(|at| now.since(at) < settings.list_max_age)
    }

    /// The listed entries that stay.
    pub fn staying(&self) -> impl Iterator<Item = &InstanceId> {
        let staying = self.list.iter().filter(|(_, entry)| !entry.leaving);
        staying.map(|(instance, _)| instance)
    }

    /// Whether the platform once listed an instance and has dropped it.
    pub fn is_dropped(&self, now: Timestamp, instance: &InstanceId, settings: &Settings) -> bool {
        self.list_is_recent(now, settings) && self.dropped.contains_key(instance)
    }

    /// The members of a view whose lives are known to have ended.
    pub fn dead(&self, now: Timestamp, view: &View, settings: &Settings) -> BTreeSet<InstanceId> {
        view.identities()
            .filter(|member| {
                let later = self.incarnation(&member.instance);
                later.is_some_and(|life| life > member.incarnation)
                    || (settings.recover_by_platform_list
                        && self.is_gone(now, &member.instance, settings))
            })
            .map(|member| member.instance)
            .collect()
    }

    fn is_gone(&self, now: Timestamp, instance: &InstanceId, settings: &Settings) -> bool {
        let peer = self.heard.get(instance);
        let silent = peer.is_none_or(|peer| now.since(peer.last_heard) >= settings.gone_after);
        let absent = self.absent_since(instance);
        let absent = absent.is_some_and(|at| now.since(at) >= settings.list_lag);
        silent && absent && self.list_is_recent(now, settings)
    }

    fn absent_since(&self, instance: &InstanceId) -> Option<Timestamp> {
        if self.list.contains_key(instance) {
            return None;
        }
        self.dropped.get(instance).copied().or(self.first_list_at)
    }
}

impl Peer {
    fn new(now: Timestamp, incarnation: Incarnation, address: SocketAddr) -> Self {
        Self {
            incarnation,
            address,
            first_heard: now,
            last_heard: now,
            sequence: 0,
            epoch: Epoch::ZERO,
            votes: false,
            report: Report::default(),
        }
    }

    fn is_heard(&self, now: Timestamp, settings: &Settings) -> bool {
        now.since(self.last_heard) < settings.suspect_after
    }
}
