//! How the configuration reaches every entry of a data centre.
//!
//! One entry, the relay, holds the link to a control instance and hands deltas on; the others ask it
//! once a second and get what they miss together with the proof that it is the newest. An entry whose
//! relay is silent opens a link of its own until the relay answers again. Two relays at once cost
//! traffic and nothing else, so the role needs no lease.
//!
//! Revisions only rise: an older delta or snapshot is never applied, and a control instance that
//! offers one is left for another.
//!
//! Questions to a control instance carry a number, the probe. It answers with the last probe that it
//! received before it proved itself current, so an answer is as fresh as that question.

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
enum Control {
    Closed,
    Opening,
    Open,
}

#[derive(Clone, Debug)]
struct Question {
    probe: u64,
    asked: Timestamp,
    revision: Revision,
    followers: BTreeMap<InstanceId, u64>,
}

/// One entry's part in the spread of the configuration.
#[derive(Clone, Debug)]
pub struct Follower {
    settings: Settings,
    me: Identity,
    data_centre: DataCentreId,
    revision: Revision,
    digest: Option<u32>,
    relay: Option<InstanceId>,
    relay_heard: Option<Timestamp>,
    control: Control,
    greeted_with: Revision,
    asked: Option<Timestamp>,
    number: u64,
    probe: u64,
    questions: VecDeque<Question>,
    own_asks: VecDeque<(u64, Timestamp)>,
    waiting: BTreeMap<InstanceId, u64>,
    followers: BTreeMap<InstanceId, Timestamp>,
    kept: VecDeque<Delta>,
}

/// Questions to the relay remembered until their answer.
const MAX_OWN_ASKS: usize = 16;

impl Follower {
    /// An entry without a configuration.
    pub fn new(me: Identity, data_centre: DataCentreId, settings: Settings) -> Self {
        Self {
            settings,
            me,
            data_centre,
            revision: Revision::ZERO,
            digest: None,
            relay: None,
            relay_heard: None,
            control: Control::Closed,
            greeted_with: Revision::ZERO,
            asked: None,
            number: 0,
            probe: 0,
            questions: VecDeque::new(),
            own_asks: VecDeque::new(),
            waiting: BTreeMap::new(),
            followers: BTreeMap::new(),
            kept: VecDeque::new(),
        }
    }

    /// The newest revision handed to the driver.
    pub fn revision(&self) -> Revision {
        self.revision
    }

    /// Decides on one event.
    pub fn handle(&mut self, now: Timestamp, event: Event) -> Vec<Action> {
        match event {
            Event::Tick => self.tick(now),
            Event::RelayChanged(relay) => self.follow(now, relay),
            Event::ControlConnected => self.greet(now),
            Event::ControlLost => self.lose_control(),
            Event::Control(message) => self.receive_control(now, message),
            Event::Peer { from, message } => self.receive_peer(now, from, message),
            Event::Heard {
                from,
                revision,
                digest,
            } => self.compare(from, revision, digest),
            Event::InForce { revision, digest } => {
                self.digest = (revision == self.revision).then_some(digest);
                Vec::new()
            }
        }
    }

    fn is_relay(&self) -> bool {
        self.relay.as_ref() == Some(&self.me.instance)
    }

    fn follow(&mut self, now: Timestamp, relay: Option<InstanceId>) -> Vec<Action> {
        if relay != self.relay {
            self.relay = relay;
            self.relay_heard = Some(now);
            self.asked = None;
        }
        self.tend_control(now)
    }

    fn tick(&mut self, now: Timestamp) -> Vec<Action> {
        let mut actions = self.tend_control(now);
        let due = self
            .asked
            .is_none_or(|asked| now.since(asked) >= self.settings.ask_every);
        if due {
            self.asked = Some(now);
            actions.extend(self.ask(now));
        }
        actions
    }

    /// Opens or closes the control link as this entry's part demands, and leaves a silent instance.
    fn tend_control(&mut self, now: Timestamp) -> Vec<Action> {
        let relay_heard = self.relay_heard;
        let silent = relay_heard.is_none_or(|at| now.since(at) >= self.settings.relay_silence);
        let wanted = self.is_relay() || self.relay.is_none() || silent;
        match (wanted, self.control) {
            (true, Control::Closed) => {
                self.control = Control::Opening;
                vec![Action::OpenControl]
            }
            (false, Control::Opening | Control::Open) => {
                self.lose_control();
                self.control = Control::Closed;
                vec![Action::CloseControl]
            }
            (true, Control::Open) if self.is_control_silent(now) => {
                self.leave_control(ControlFault::Silent)
            }
            _ => Vec::new(),
        }
    }

    fn is_control_silent(&self, now: Timestamp) -> bool {
        let oldest = self.questions.front();
        oldest.is_some_and(|oldest| now.since(oldest.asked) >= self.settings.control_silence)
    }

    fn ask(&mut self, now: Timestamp) -> Vec<Action> {
        let mut actions = Vec::new();
        if let Some(relay) = self.relay.clone().filter(|_| !self.is_relay()) {
            self.number += 1;
            self.own_asks.push_back((self.number, now));
            if self.own_asks.len() > MAX_OWN_ASKS {
                self.own_asks.pop_front();
            }
            let message = PeerMessage::Ask {
                number: self.number,
                revision: self.revision,
            };
            actions.push(Action::ToPeer { to: relay, message });
        }
        if self.control == Control::Open {
            actions.push(self.question(now));
        }
        actions
    }

    /// Asks the control instance, for this entry and all followers that wait.
    fn question(&mut self, now: Timestamp) -> Action {
        self.probe += 1;
        self.questions.push_back(Question {
            probe: self.probe,
            asked: now,
            revision: self.revision,
            followers: std::mem::take(&mut self.waiting),
        });
        Action::ToControl(EntryMessage::InForce {
            revision: self.revision,
            probe: self.probe,
        })
    }

    fn greet(&mut self, now: Timestamp) -> Vec<Action> {
        self.lose_control();
        self.control = Control::Open;
        self.greeted_with = self.revision;
        let hello = EntryMessage::Hello {
            instance: self.me.instance.clone(),
            incarnation: self.me.incarnation,
            data_centre: self.data_centre.clone(),
            revision: self.revision,
        };
        vec![Action::ToControl(hello), self.question(now)]
    }

    /// The answers to open questions will not come. The driver reconnects by itself.
    fn lose_control(&mut self) -> Vec<Action> {
        self.questions.clear();
        if self.control == Control::Open {
            self.control = Control::Opening;
        }
        Vec::new()
    }

    fn leave_control(&mut self, fault: ControlFault) -> Vec<Action> {
        self.lose_control();
        vec![Action::ChangeControl(fault)]
    }

    fn receive_control(&mut self, now: Timestamp, message: ControlMessage) -> Vec<Action> {
        if self.control != Control::Open {
            return Vec::new();
        }
        match message {
            ControlMessage::Snapshot(configuration)
                if configuration.revision < self.greeted_with =>
            {
                self.leave_control(ControlFault::OldRevision(configuration.revision))
            }
            ControlMessage::Snapshot(configuration) => self.replace(configuration),
            ControlMessage::Delta(delta) if delta.revision > self.revision.next() => {
                // A gap: the greeting names what is missing.
                self.greet(now)
            }
            ControlMessage::Delta(delta) => self.apply(now, delta),
            ControlMessage::Current { revision, probe } => self.confirm(revision, probe),
            ControlMessage::Entries(_)
            | ControlMessage::LedgerBegun { .. }
            | ControlMessage::LedgerFinished { .. } => Vec::new(),
        }
    }

    /// Takes an answer to all questions up to a probe.
    fn confirm(&mut self, revision: Revision, probe: u64) -> Vec<Action> {
        let open = self.questions.partition_point(|each| each.probe <= probe);
        let answered: Vec<Question> = self.questions.drain(..open).collect();
        let Some(last) = answered.last() else {
            return Vec::new();
        };
        if revision < last.revision {
            return self.leave_control(ControlFault::OldRevision(revision));
        }
        if revision < self.revision {
            // A change overtook the answer; the next answer counts.
            return Vec::new();
        }
        let asked = last.asked;
        let followers: BTreeMap<InstanceId, u64> = answered
            .into_iter()
            .flat_map(|question| question.followers)
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
        if self.relay.as_ref() == Some(&from) && !matches!(message, PeerMessage::Ask { .. }) {
            self.relay_heard = Some(now);
        }
        match message {
            PeerMessage::Ask { number, revision } => self.serve(now, from, number, revision),
            PeerMessage::Confirm { number, revision } => self.confirmed_by_relay(number, revision),
            PeerMessage::Delta(delta) => self.apply(now, delta),
            PeerMessage::Snapshot(configuration) => self.replace(configuration),
        }
    }

    fn confirmed_by_relay(&mut self, number: u64, revision: Revision) -> Vec<Action> {
        let asked = self.own_asks.iter().find(|(known, _)| *known == number);
        let asked = asked.map(|(_, asked)| *asked);
        self.own_asks.retain(|(known, _)| *known > number);
        asked
            .filter(|_| revision >= self.revision)
            .map(|asked| Action::Confirmed { asked, revision })
            .into_iter()
            .collect()
    }

    /// Answers a follower: what it misses now, the confirmation with the next answer from control.
    fn serve(
        &mut self,
        now: Timestamp,
        from: InstanceId,
        number: u64,
        revision: Revision,
    ) -> Vec<Action> {
        let silence = self.settings.follower_silence;
        self.followers.retain(|_, at| now.since(*at) < silence);
        self.followers.insert(from.clone(), now);
        self.waiting.insert(from.clone(), number);
        if revision >= self.revision {
            return Vec::new();
        }
        let missing: Vec<&Delta> = self
            .kept
            .iter()
            .filter(|delta| delta.revision > revision)
            .collect();
        let is_whole = missing
            .first()
            .is_some_and(|first| first.revision == revision.next());
        if !is_whole {
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

    /// Applies the next delta and hands it on. One from the past changes nothing; one beyond a gap
    /// makes this entry ask again at the next tick.
    fn apply(&mut self, now: Timestamp, delta: Delta) -> Vec<Action> {
        if delta.revision != self.revision.next() {
            let is_gap = delta.revision > self.revision;
            self.asked = self.asked.filter(|_| !is_gap);
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
        self.kept.push_back(delta);
        if self.kept.len() > self.settings.kept_deltas {
            self.kept.pop_front();
        }
        actions
    }

    fn replace(&mut self, configuration: Box<Configuration>) -> Vec<Action> {
        if configuration.revision <= self.revision {
            return Vec::new();
        }
        self.revision = configuration.revision;
        self.digest = None;
        self.kept.clear();
        vec![Action::Replace(configuration)]
    }

    fn compare(&self, from: InstanceId, revision: Revision, digest: u32) -> Vec<Action> {
        let differs = self.digest.is_some_and(|own| own != digest);
        (differs && revision == self.revision)
            .then_some(Action::Diverged { from, revision })
            .into_iter()
            .collect()
    }
}
