//! The state of the other entries: heartbeats, combined with the platform's list.
//!
//! Neither source alone decides. A peer is alive if it is heard and, while the list is recent,
//! listed. It is gone if it is silent and has been missing from the list for longer than the list
//! may lag. It is draining if it reports so or the list marks it as leaving. Otherwise it is
//! suspect.

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

/// Maximum number of peers heard, and of instances remembered as dropped from the list.
const MAX_PEERS: usize = 256;

data! {
    /// The state of a peer, as seen by one entry.
    #[derive(Copy, Hash, PartialOrd, Ord)]
    pub enum PeerState {
        /// Heard and, while the list is recent, listed.
        Alive,
        /// Neither alive nor certainly gone: silent, or heard but not listed.
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
    first_heard: Timestamp,
    last_heard: Timestamp,
    sequence: u64,
    epoch: Epoch,
    votes: bool,
    report: Report,
}

/// The process that sent a message, compared with what was heard of its instance before.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum SenderStatus {
    /// The newest incarnation heard so far.
    Current,
    /// An incarnation that a later one replaced.
    Superseded {
        /// The later incarnation, which was heard before.
        by: Incarnation,
    },
    /// A second process under the same instance name and incarnation.
    Duplicate,
}

/// The peers of an entry: heard, listed, or both.
#[derive(Clone, Debug, Default)]
pub struct Peers {
    heard: BTreeMap<InstanceId, Peer>,
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
        let Some(known) = self.heard.get_mut(&from.instance) else {
            if self.heard.len() < MAX_PEERS {
                let peer = Peer::new(now, from.incarnation, address);
                self.heard.insert(from.instance.clone(), peer);
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
        let silent = now.since(known.last_heard) >= settings.suspect_after;
        if address != known.address && !silent {
            return SenderStatus::Duplicate;
        }
        if silent {
            known.first_heard = now;
        }
        known.address = address;
        known.last_heard = now;
        SenderStatus::Current
    }

    /// Records the contents of a heartbeat from the current incarnation of a peer.
    pub fn record_heartbeat(&mut self, from: &InstanceId, heartbeat: &Heartbeat) {
        if let Some(peer) = self.heard.get_mut(from) {
            peer.sequence = peer.sequence.max(heartbeat.sequence);
            peer.epoch = heartbeat.epoch;
            peer.votes = heartbeat.votes;
            peer.report = heartbeat.report;
        }
    }

    /// Another instance that is heard from the same address.
    pub fn address_conflict(
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

    /// Counts all peers as heard just now, because this process was paused and received nothing.
    pub fn reset_silence(&mut self, now: Timestamp) {
        self.heard
            .values_mut()
            .for_each(|peer| peer.last_heard = now);
    }

    /// Removes what was heard from a peer. It counts as new when it is heard again.
    pub fn remove(&mut self, instance: &InstanceId) {
        self.heard.remove(instance);
    }

    /// The addresses to send heartbeats to. The address that a peer was heard from takes precedence
    /// over the listed one.
    pub fn addresses(&self) -> BTreeMap<InstanceId, SocketAddr> {
        let heard = self.heard.iter().map(|(id, peer)| (id, peer.address));
        let listed = self.list.iter().map(|(id, entry)| (id, entry.address));
        listed
            .chain(heard)
            .map(|(id, address)| (id.clone(), address))
            .collect()
    }

    /// The newest heartbeat heard from a peer; `None` before the first one.
    pub fn echo(&self, instance: &InstanceId) -> Option<Echo> {
        let peer = self.heard.get(instance)?;
        (peer.sequence > 0).then_some(Echo {
            incarnation: peer.incarnation,
            sequence: peer.sequence,
        })
    }

    /// The last report of a peer, the default before its first heartbeat; `None` if it was never
    /// heard.
    pub fn report(&self, instance: &InstanceId) -> Option<&Report> {
        self.heard.get(instance).map(|peer| &peer.report)
    }

    /// The newest incarnation heard of a peer; `None` if it was never heard.
    pub fn incarnation(&self, instance: &InstanceId) -> Option<Incarnation> {
        self.heard.get(instance).map(|peer| peer.incarnation)
    }

    /// All instances that are heard or listed; a list includes this entry itself.
    pub fn instances(&self) -> BTreeSet<InstanceId> {
        let heard = self.heard.keys();
        heard.chain(self.list.keys()).cloned().collect()
    }

    /// The state of a peer now. It is never [`PeerState::Gone`] while the list is not recent.
    pub fn state(&self, now: Timestamp, instance: &InstanceId, settings: &Settings) -> PeerState {
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

    /// Whether a peer is alive and has been heard for long enough to join a view.
    pub fn may_join(&self, now: Timestamp, instance: &InstanceId, settings: &Settings) -> bool {
        let peer = self.heard.get(instance);
        let heard_long_enough =
            peer.is_some_and(|peer| now.since(peer.first_heard) >= settings.join_after);
        heard_long_enough && self.state(now, instance, settings) == PeerState::Alive
    }

    /// Whether a message of a peer arrived within [`Settings::suspect_after`].
    pub fn is_heard(&self, now: Timestamp, instance: &InstanceId, settings: &Settings) -> bool {
        let peer = self.heard.get(instance);
        peer.is_some_and(|peer| peer.is_heard(now, settings))
    }

    /// Whether a peer is heard that votes in a view.
    pub fn is_any_voter_heard(&self, now: Timestamp, settings: &Settings) -> bool {
        let mut heard = self.heard.values();
        heard.any(|peer| peer.is_heard(now, settings) && peer.votes)
    }

    /// The highest epoch in the heartbeats of the peers; zero if there is none.
    pub fn newest_epoch(&self) -> Epoch {
        let epochs = self.heard.values().map(|peer| peer.epoch);
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

    /// The members of a view whose incarnations are known to have ended: a later one is heard, or
    /// the member is gone and [`Settings::recover_by_platform_list`] is set.
    pub fn dead(&self, now: Timestamp, view: &View, settings: &Settings) -> BTreeSet<InstanceId> {
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
