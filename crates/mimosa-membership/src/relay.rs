//! Distributes the configuration to every entry of a data centre.
//!
//! One entry, the relay, keeps the link to a control instance and forwards deltas. The other
//! entries poll it once per second; the relay answers with the deltas that they miss, and with the
//! proof that these lead to the newest revision. An entry whose relay is silent opens a control
//! link of its own until the relay answers again. A second relay only costs traffic, so the role
//! needs no lease.
//!
//! Revisions never decrease: an older delta or snapshot is not applied, and an entry that is
//! offered one switches to another control instance.
//!
//! Questions to a control instance carry a number, the probe. The control instance answers with the
//! last probe that it received before it proved itself current, so an answer is as fresh as that
//! probe.

mod message;
mod settings;

use std::collections::BTreeMap;
use std::collections::VecDeque;

use mimosa_protocol::Configuration;
use mimosa_protocol::DataCentreId;
use mimosa_protocol::InstanceId;
use mimosa_protocol::Revision;
use mimosa_protocol::Timestamp;
use mimosa_protocol::change::Delta;
use mimosa_protocol::message::ControlMessage;
use mimosa_protocol::message::EntryMessage;

pub use crate::relay::message::Action;
pub use crate::relay::message::ControlFault;
pub use crate::relay::message::Event;
pub use crate::relay::message::PeerMessage;
pub use crate::relay::settings::Settings;
use crate::view::Identity;

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum LinkState {
    Closed,
    Opening,
    Open,
}

#[derive(Clone, Debug)]
struct PendingProbe {
    probe: u64,
    asked: Timestamp,
    revision: Revision,
    followers: BTreeMap<InstanceId, u64>,
}

/// The state of one entry, which receives the configuration and, as the relay, forwards it.
#[derive(Clone, Debug)]
pub struct Follower {
    settings: Settings,
    identity: Identity,
    data_centre: DataCentreId,
    revision: Revision,
    digest: Option<u32>,
    relay: Option<InstanceId>,
    last_relay_contact: Option<Timestamp>,
    control: LinkState,
    /// The revision in the last hello; an older snapshot in return is stale.
    hello_revision: Revision,
    last_poll: Option<Timestamp>,
    poll_number: u64,
    last_probe: u64,
    pending_probes: VecDeque<PendingProbe>,
    pending_polls: VecDeque<(u64, Timestamp)>,
    waiting_followers: BTreeMap<InstanceId, u64>,
    followers: BTreeMap<InstanceId, Timestamp>,
    recent_deltas: VecDeque<Delta>,
}

/// Polls of the relay kept until they are answered.
const MAX_PENDING_POLLS: usize = 16;

impl Follower {
    /// Creates a follower without a configuration and without a relay.
    pub fn new(identity: Identity, data_centre: DataCentreId, settings: Settings) -> Self {
        Self {
            settings,
            identity,
            data_centre,
            revision: Revision::ZERO,
            digest: None,
            relay: None,
            last_relay_contact: None,
            control: LinkState::Closed,
            hello_revision: Revision::ZERO,
            last_poll: None,
            poll_number: 0,
            last_probe: 0,
            pending_probes: VecDeque::new(),
            pending_polls: VecDeque::new(),
            waiting_followers: BTreeMap::new(),
            followers: BTreeMap::new(),
            recent_deltas: VecDeque::new(),
        }
    }

    /// The newest revision that an action told the driver to put in force.
    pub fn revision(&self) -> Revision {
        self.revision
    }

    /// Processes an event and returns the actions to carry out, in order.
    pub fn handle(&mut self, now: Timestamp, event: Event) -> Vec<Action> {
        match event {
            Event::Tick => self.tick(now),
            Event::RelayChanged(relay) => self.set_relay(now, relay),
            Event::ControlConnected => self.send_hello(now),
            Event::ControlLost => self.reset_control_link(),
            Event::Control(message) => self.receive_control(now, message),
            Event::Peer { from, message } => self.receive_peer(now, from, message),
            Event::PeerRevision {
                from,
                revision,
                digest,
            } => self.compare_digest(from, revision, digest),
            Event::InForce { revision, digest } => {
                self.digest = (revision == self.revision).then_some(digest);
                Vec::new()
            }
        }
    }

    fn is_relay(&self) -> bool {
        self.relay.as_ref() == Some(&self.identity.instance)
    }

    fn set_relay(&mut self, now: Timestamp, relay: Option<InstanceId>) -> Vec<Action> {
        if relay != self.relay {
            self.relay = relay;
            self.last_relay_contact = Some(now);
            self.last_poll = None;
        }
        self.update_control_link(now)
    }

    fn tick(&mut self, now: Timestamp) -> Vec<Action> {
        let mut actions = self.update_control_link(now);
        let due = self
            .last_poll
            .is_none_or(|last| now.since(last) >= self.settings.poll_interval);
        if due {
            self.last_poll = Some(now);
            actions.extend(self.poll(now));
        }
        actions
    }

    /// Opens or closes the control link as needed, and switches away from a silent control
    /// instance.
    fn update_control_link(&mut self, now: Timestamp) -> Vec<Action> {
        let last_relay_contact = self.last_relay_contact;
        let silent =
            last_relay_contact.is_none_or(|at| now.since(at) >= self.settings.relay_silence);
        let wanted = self.is_relay() || self.relay.is_none() || silent;
        match (wanted, self.control) {
            (true, LinkState::Closed) => {
                self.control = LinkState::Opening;
                vec![Action::OpenControl]
            }
            (false, LinkState::Opening | LinkState::Open) => {
                self.reset_control_link();
                self.control = LinkState::Closed;
                vec![Action::CloseControl]
            }
            (true, LinkState::Open) if self.is_control_silent(now) => {
                self.switch_control(ControlFault::Silent)
            }
            _ => Vec::new(),
        }
    }

    fn is_control_silent(&self, now: Timestamp) -> bool {
        let oldest = self.pending_probes.front();
        oldest.is_some_and(|oldest| now.since(oldest.asked) >= self.settings.control_silence)
    }

    fn poll(&mut self, now: Timestamp) -> Vec<Action> {
        let mut actions = Vec::new();
        if let Some(relay) = self.relay.clone().filter(|_| !self.is_relay()) {
            self.poll_number += 1;
            self.pending_polls.push_back((self.poll_number, now));
            if self.pending_polls.len() > MAX_PENDING_POLLS {
                self.pending_polls.pop_front();
            }
            let message = PeerMessage::Poll {
                number: self.poll_number,
                revision: self.revision,
            };
            actions.push(Action::ToPeer { to: relay, message });
        }
        if self.control == LinkState::Open {
            actions.push(self.send_probe(now));
        }
        actions
    }

    /// Sends a probe to the control instance, for this entry and all waiting followers.
    fn send_probe(&mut self, now: Timestamp) -> Action {
        self.last_probe += 1;
        self.pending_probes.push_back(PendingProbe {
            probe: self.last_probe,
            asked: now,
            revision: self.revision,
            followers: std::mem::take(&mut self.waiting_followers),
        });
        Action::ToControl(EntryMessage::InForce {
            revision: self.revision,
            probe: self.last_probe,
        })
    }

    fn send_hello(&mut self, now: Timestamp) -> Vec<Action> {
        self.reset_control_link();
        self.control = LinkState::Open;
        self.hello_revision = self.revision;
        let hello = EntryMessage::Hello {
            instance: self.identity.instance.clone(),
            incarnation: self.identity.incarnation,
            data_centre: self.data_centre.clone(),
            revision: self.revision,
        };
        vec![Action::ToControl(hello), self.send_probe(now)]
    }

    /// Drops the pending probes, which will not be answered. The driver reconnects by itself.
    fn reset_control_link(&mut self) -> Vec<Action> {
        self.pending_probes.clear();
        if self.control == LinkState::Open {
            self.control = LinkState::Opening;
        }
        Vec::new()
    }

    fn switch_control(&mut self, fault: ControlFault) -> Vec<Action> {
        self.reset_control_link();
        vec![Action::SwitchControl(fault)]
    }

    fn receive_control(&mut self, now: Timestamp, message: ControlMessage) -> Vec<Action> {
        if self.control != LinkState::Open {
            return Vec::new();
        }
        match message {
            ControlMessage::Snapshot(configuration)
                if configuration.revision < self.hello_revision =>
            {
                self.switch_control(ControlFault::StaleRevision(configuration.revision))
            }
            ControlMessage::Snapshot(configuration) => self.replace(configuration),
            ControlMessage::Delta(delta) if delta.revision > self.revision.next() => {
                // Deltas are missing. The hello carries the revision in force here, so the control
                // instance sends what follows.
                self.send_hello(now)
            }
            ControlMessage::Delta(delta) => self.apply(now, delta),
            ControlMessage::Current { revision, probe } => self.receive_current(revision, probe),
            ControlMessage::Entries(_)
            | ControlMessage::LedgerBegun { .. }
            | ControlMessage::LedgerFinished { .. } => Vec::new(),
        }
    }

    /// Processes an answer to all pending probes up to this one.
    fn receive_current(&mut self, revision: Revision, probe: u64) -> Vec<Action> {
        let end = self
            .pending_probes
            .partition_point(|pending| pending.probe <= probe);
        let answered: Vec<PendingProbe> = self.pending_probes.drain(..end).collect();
        let Some(last) = answered.last() else {
            return Vec::new();
        };
        if revision < last.revision {
            return self.switch_control(ControlFault::StaleRevision(revision));
        }
        if revision < self.revision {
            // A delta overtook this answer; the answer to the next probe counts.
            return Vec::new();
        }
        let asked = last.asked;
        let followers: BTreeMap<InstanceId, u64> = answered
            .into_iter()
            .flat_map(|pending| pending.followers)
            .collect();
        let to_followers = followers.into_iter().map(|(to, number)| {
            let message = PeerMessage::Confirm { number, revision };
            Action::ToPeer { to, message }
        });
        [Action::Confirmed { asked, revision }]
            .into_iter()
            .chain(to_followers)
            .collect()
    }

    fn receive_peer(
        &mut self,
        now: Timestamp,
        from: InstanceId,
        message: PeerMessage,
    ) -> Vec<Action> {
        if self.relay.as_ref() == Some(&from) && !matches!(message, PeerMessage::Poll { .. }) {
            self.last_relay_contact = Some(now);
        }
        match message {
            PeerMessage::Poll { number, revision } => self.answer_poll(now, from, number, revision),
            PeerMessage::Confirm { number, revision } => self.confirmed_by_relay(number, revision),
            PeerMessage::Delta(delta) => self.apply(now, delta),
            PeerMessage::Snapshot(configuration) => self.replace(configuration),
        }
    }

    fn confirmed_by_relay(&mut self, number: u64, revision: Revision) -> Vec<Action> {
        let asked = self
            .pending_polls
            .iter()
            .find(|(known, _)| *known == number);
        let asked = asked.map(|(_, asked)| *asked);
        self.pending_polls.retain(|(known, _)| *known > number);
        asked
            .filter(|_| revision >= self.revision)
            .map(|asked| Action::Confirmed { asked, revision })
            .into_iter()
            .collect()
    }

    /// Answers the poll of a follower: sends the missing deltas or a snapshot now, and the
    /// confirmation once the control instance answers the next probe.
    fn answer_poll(
        &mut self,
        now: Timestamp,
        from: InstanceId,
        number: u64,
        revision: Revision,
    ) -> Vec<Action> {
        let silence = self.settings.follower_silence;
        self.followers.retain(|_, at| now.since(*at) < silence);
        self.followers.insert(from.clone(), now);
        self.waiting_followers.insert(from.clone(), number);
        if revision >= self.revision {
            return Vec::new();
        }
        let missing: Vec<&Delta> = self
            .recent_deltas
            .iter()
            .filter(|delta| delta.revision > revision)
            .collect();
        let is_complete = missing
            .first()
            .is_some_and(|first| first.revision == revision.next());
        if !is_complete {
            return vec![Action::SendSnapshot { to: from }];
        }
        missing
            .into_iter()
            .map(|delta| Action::ToPeer {
                to: from.clone(),
                message: PeerMessage::Delta(delta.clone()),
            })
            .collect()
    }

    /// Applies the next delta and, as the relay, forwards it. An older delta changes nothing; a
    /// delta after a gap makes this entry poll again at the next tick.
    fn apply(&mut self, now: Timestamp, delta: Delta) -> Vec<Action> {
        if delta.revision != self.revision.next() {
            let is_gap = delta.revision > self.revision;
            self.last_poll = self.last_poll.filter(|_| !is_gap);
            return Vec::new();
        }
        self.revision = delta.revision;
        self.digest = None;
        let silence = self.settings.follower_silence;
        let is_relay = self.is_relay();
        let followers = self
            .followers
            .iter()
            .filter(|(_, at)| is_relay && now.since(**at) < silence)
            .map(|(to, _)| Action::ToPeer {
                to: to.clone(),
                message: PeerMessage::Delta(delta.clone()),
            });
        let actions = [Action::Apply(delta.clone())]
            .into_iter()
            .chain(followers)
            .collect();
        self.recent_deltas.push_back(delta);
        if self.recent_deltas.len() > self.settings.max_recent_deltas {
            self.recent_deltas.pop_front();
        }
        actions
    }

    fn replace(&mut self, configuration: Box<Configuration>) -> Vec<Action> {
        if configuration.revision <= self.revision {
            return Vec::new();
        }
        self.revision = configuration.revision;
        self.digest = None;
        self.recent_deltas.clear();
        vec![Action::Replace(configuration)]
    }

    fn compare_digest(&self, from: InstanceId, revision: Revision, digest: u32) -> Vec<Action> {
        let differs = self.digest.is_some_and(|own| own != digest);
        (differs && revision == self.revision)
            .then_some(Action::Diverged { from, revision })
            .into_iter()
            .collect()
    }
}
