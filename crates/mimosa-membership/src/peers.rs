//! The state of the other entries: heartbeats, combined with the platform's list.
//!
//! A peer is in contact while its last message is younger than [`Settings::suspect_after`].
//!
//! Neither source alone decides. A peer is alive if it is in contact and, while the list is recent,
//! listed. It is gone if it is silent and has been missing from the list for longer than the list
//! may lag. It is draining if it is in contact and either reports so or is marked as leaving in
//! the list. Otherwise it is suspect.

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

/// Maximum number of peers known from messages, and of instances remembered as dropped from the
/// list.
const MAX_PEERS: usize = 256;

data! {
    /// The state of a peer, as seen by one entry.
    #[derive(Copy, Hash, PartialOrd, Ord)]
    pub enum PeerState {
        /// In contact and, while the list is recent, listed.
        Alive,
        /// Neither alive nor certainly gone: silent, or in contact but not listed.
        Suspect,
        /// Finishes its work and then stops.
        Draining,
        /// Silent and not listed any more.
        Gone,
    }

    /// An entry of this data centre in the platform's list.
    #[derive(Copy)]
    pub struct ListedInstance {
        /// The address that it receives heartbeats at.
        pub address: SocketAddr,
        /// Whether the platform is about to stop it.
        pub leaving: bool,
    }
}

/// The platform's list of the entries of this data centre.
pub type PlatformList = BTreeMap<InstanceId, ListedInstance>;

#[derive(Clone, Debug)]
struct Peer {
    incarnation: Incarnation,
    address: SocketAddr,
    first_contact: Timestamp,
    last_contact: Timestamp,
    sequence: u64,
    epoch: Epoch,
    votes: bool,
    report: Report,
}

/// The process that sent a message, compared with earlier messages of its instance.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum SenderStatus {
    /// The newest incarnation known so far.
    Current,
    /// An incarnation that a later one replaced.
    Superseded {
        /// The later incarnation, which sent a message before.
        by: Incarnation,
    },
    /// A second process under the same instance name and incarnation.
    Duplicate,
}

/// The peers of an entry: known from their messages, listed, or both.
#[derive(Clone, Debug, Default)]
pub struct Peers {
    known: BTreeMap<InstanceId, Peer>,
    list: PlatformList,
    list_at: Option<Timestamp>,
    first_list_at: Option<Timestamp>,
    dropped: BTreeMap<InstanceId, Timestamp>,
}

impl Peers {
    /// Replaces the platform's list. An empty list is ignored: a complete one contains at least
    /// this entry.
    pub fn update_list(&mut self, now: Timestamp, list: PlatformList) {
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

    /// Records that a message of a peer arrived, and classifies its sender. A new peer beyond the
    /// maximum number is not recorded.
    pub fn record_message(
        &mut self,
        now: Timestamp,
        from: &Identity,
        address: SocketAddr,
        settings: &Settings,
    ) -> SenderStatus {
        let Some(known) = self.known.get_mut(&from.instance) else {
            if self.known.len() < MAX_PEERS {
                let peer = Peer::new(now, from.incarnation, address);
                self.known.insert(from.instance.clone(), peer);
            }
            return SenderStatus::Current;
        };
        if from.incarnation < known.incarnation {
            return SenderStatus::Superseded {
                by: known.incarnation,
            };
        }
        if from.incarnation > known.incarnation {
            *known = Peer::new(now, from.incarnation, address);
            return SenderStatus::Current;
        }
        let silent = now.since(known.last_contact) >= settings.suspect_after;
        if address != known.address && !silent {
            return SenderStatus::Duplicate;
        }
        if silent {
            known.first_contact = now;
        }
        known.address = address;
        known.last_contact = now;
        SenderStatus::Current
    }

    /// Records the contents of a heartbeat from the current incarnation of a peer.
    pub fn record_heartbeat(&mut self, from: &InstanceId, heartbeat: &Heartbeat) {
        if let Some(peer) = self.known.get_mut(from) {
            peer.sequence = peer.sequence.max(heartbeat.sequence);
            peer.epoch = heartbeat.epoch;
            peer.votes = heartbeat.votes;
            peer.report = heartbeat.report;
        }
    }

    /// Another instance that is in contact from the same address.
    pub fn address_conflict(
        &self,
        now: Timestamp,
        instance: &InstanceId,
        address: SocketAddr,
        settings: &Settings,
    ) -> Option<&InstanceId> {
        self.known
            .iter()
            .filter(|(other, _)| *other != instance)
            .find(|(_, peer)| peer.address == address && peer.has_recent_contact(now, settings))
            .map(|(other, _)| other)
    }

    /// Resets the last contact of all peers to now, because this process was paused and received
    /// nothing.
    pub fn reset_silence(&mut self, now: Timestamp) {
        self.known
            .values_mut()
            .for_each(|peer| peer.last_contact = now);
    }

    /// Removes what is known from the messages of a peer. Its next message makes it a new peer.
    pub fn remove(&mut self, instance: &InstanceId) {
        self.known.remove(instance);
    }

    /// The addresses to send heartbeats to. The address that a peer sends from takes precedence
    /// over the listed one.
    pub fn addresses(&self) -> BTreeMap<InstanceId, SocketAddr> {
        let known = self.known.iter().map(|(id, peer)| (id, peer.address));
        let listed = self.list.iter().map(|(id, entry)| (id, entry.address));
        listed
            .chain(known)
            .map(|(id, address)| (id.clone(), address))
            .collect()
    }

    /// The newest heartbeat received from a peer; `None` before the first one.
    pub fn echo(&self, instance: &InstanceId) -> Option<Echo> {
        let peer = self.known.get(instance)?;
        (peer.sequence > 0).then_some(Echo {
            incarnation: peer.incarnation,
            sequence: peer.sequence,
        })
    }

    /// The last report of a peer, the default before its first heartbeat; `None` if no message
    /// of it arrived.
    pub fn report(&self, instance: &InstanceId) -> Option<&Report> {
        self.known.get(instance).map(|peer| &peer.report)
    }

    /// The newest incarnation known of a peer; `None` if no message of it arrived.
    pub fn incarnation(&self, instance: &InstanceId) -> Option<Incarnation> {
        self.known.get(instance).map(|peer| peer.incarnation)
    }

    /// All instances that sent a message or are listed; a list includes this entry itself.
    pub fn instances(&self) -> BTreeSet<InstanceId> {
        let known = self.known.keys();
        known.chain(self.list.keys()).cloned().collect()
    }

    /// The state of a peer now. It is never [`PeerState::Gone`] while the list is not recent.
    pub fn state(&self, now: Timestamp, instance: &InstanceId, settings: &Settings) -> PeerState {
        let listed = self.list.get(instance);
        let list_is_recent = self.list_is_recent(now, settings);
        let peer = self.known.get(instance);
        match peer.filter(|peer| peer.has_recent_contact(now, settings)) {
            Some(peer) if peer.report.draining => PeerState::Draining,
            Some(_) if listed.is_some_and(|entry| entry.leaving) => PeerState::Draining,
            Some(_) if list_is_recent && listed.is_none() => PeerState::Suspect,
            Some(_) => PeerState::Alive,
            None if self.is_gone(now, instance, settings) => PeerState::Gone,
            None => PeerState::Suspect,
        }
    }

    /// Whether a peer is alive and has been in contact for long enough to join a view.
    pub fn may_join(&self, now: Timestamp, instance: &InstanceId, settings: &Settings) -> bool {
        let peer = self.known.get(instance);
        let contact_is_stable =
            peer.is_some_and(|peer| now.since(peer.first_contact) >= settings.join_after);
        contact_is_stable && self.state(now, instance, settings) == PeerState::Alive
    }

    /// Whether a message of a peer arrived within [`Settings::suspect_after`].
    pub fn has_contact_with(
        &self,
        now: Timestamp,
        instance: &InstanceId,
        settings: &Settings,
    ) -> bool {
        let peer = self.known.get(instance);
        peer.is_some_and(|peer| peer.has_recent_contact(now, settings))
    }

    /// Whether any peer in contact votes in a view.
    pub fn has_contact_with_voter(&self, now: Timestamp, settings: &Settings) -> bool {
        let mut known = self.known.values();
        known.any(|peer| peer.has_recent_contact(now, settings) && peer.votes)
    }

    /// The highest epoch in the heartbeats of the peers; zero if there is none.
    pub fn newest_epoch(&self) -> Epoch {
        let epochs = self.known.values().map(|peer| peer.epoch);
        epochs.max().unwrap_or_default()
    }

    /// Whether the platform's list is younger than [`Settings::list_max_age`].
    pub fn list_is_recent(&self, now: Timestamp, settings: &Settings) -> bool {
        let at = self.list_at;
        at.is_some_and(|at| now.since(at) < settings.list_max_age)
    }

    /// The listed instances that are not leaving.
    pub fn listed_staying(&self) -> impl Iterator<Item = &InstanceId> {
        let staying = self.list.iter().filter(|(_, entry)| !entry.leaving);
        staying.map(|(instance, _)| instance)
    }

    /// Whether a recent list has dropped an instance that an earlier list contained.
    pub fn is_dropped(&self, now: Timestamp, instance: &InstanceId, settings: &Settings) -> bool {
        self.list_is_recent(now, settings) && self.dropped.contains_key(instance)
    }

    /// The members of a view whose incarnations count as terminated: a later one is known, or the
    /// member is gone and [`Settings::recover_by_platform_list`] is set.
    pub fn terminated_members(
        &self,
        now: Timestamp,
        view: &View,
        settings: &Settings,
    ) -> BTreeSet<InstanceId> {
        view.identities()
            .filter(|member| {
                let later = self.incarnation(&member.instance);
                later.is_some_and(|later| later > member.incarnation)
                    || (settings.recover_by_platform_list
                        && self.is_gone(now, &member.instance, settings))
            })
            .map(|member| member.instance)
            .collect()
    }

    fn is_gone(&self, now: Timestamp, instance: &InstanceId, settings: &Settings) -> bool {
        let peer = self.known.get(instance);
        let silent = peer.is_none_or(|peer| now.since(peer.last_contact) >= settings.gone_after);
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
            first_contact: now,
            last_contact: now,
            sequence: 0,
            epoch: Epoch::ZERO,
            votes: false,
            report: Report::default(),
        }
    }

    fn has_recent_contact(&self, now: Timestamp, settings: &Settings) -> bool {
        now.since(self.last_contact) < settings.suspect_after
    }
}
