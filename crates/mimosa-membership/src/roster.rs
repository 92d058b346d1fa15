//! The membership of one data centre, as one entry runs it.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::time::Duration;

use mimosa_protocol::DataCentreId;
use mimosa_protocol::Epoch;
use mimosa_protocol::Incarnation;
use mimosa_protocol::InstanceId;
use mimosa_protocol::Timestamp;
use mimosa_protocol::data;

use crate::agreement::Round;
use crate::agreement::Voter;
use crate::lease::Leases;
use crate::lease::NotActing;
use crate::message::Body;
use crate::message::Heartbeat;
use crate::message::Message;
use crate::message::Report;
use crate::peers::PeerState;
use crate::peers::Peers;
use crate::peers::PlatformList;
use crate::role::Role;
use crate::settings::Settings;
use crate::view::Identity;
use crate::view::View;

data! {
    /// What an entry is told.
    pub enum Event {
        /// Time passed; wanted at least once a heartbeat.
        Tick,
        /// A datagram arrived.
        Received {
            /// Its sender's address.
            from: SocketAddr,
            /// The message.
            message: Message,
        },
        /// The platform's list arrived, with the entries of this data centre, this one included.
        PlatformList(PlatformList),
        /// What this entry reports about itself changed.
        Report(Report),
    }

    /// What the driver is to do or to know.
    pub enum Action {
        /// Send a datagram.
        Send {
            /// The receiver.
            to: SocketAddr,
            /// The message.
            message: Message,
        },
        /// A peer's standing changed.
        PeerState {
            /// The peer.
            instance: InstanceId,
            /// Its standing now.
            state: PeerState,
        },
        /// A new view holds: roles may have moved.
        ViewInstalled(View),
        /// This process did not run, or its clock was set back: all its leases are void.
        ClockJump {
            /// For how long at least; zero for a clock that was set back.
            gap: Duration,
        },
        /// A later life of this instance runs: stop this process.
        Superseded {
            /// The later life.
            by: Incarnation,
        },
        /// A second process runs under the same name and life.
        DuplicateInstance {
            /// The name.
            instance: InstanceId,
            /// Where the second one speaks from.
            address: SocketAddr,
        },
        /// Two instances speak from one address.
        DuplicateAddress {
            /// The address.
            address: SocketAddr,
            /// The instances.
            instances: [InstanceId; 2],
        },
    }
}

/// The membership of one data centre, as one entry runs it.
#[derive(Clone, Debug)]
pub struct Membership {
    pub(crate) settings: Settings,
    pub(crate) me: Identity,
    pub(crate) peers: Peers,
    pub(crate) leases: Leases,
    pub(crate) voter: Voter,
    pub(crate) first_voter: Voter,
    pub(crate) round: Option<Round>,
    pub(crate) highest_round: u64,
    pub(crate) unsettled: Option<Timestamp>,
    pub(crate) started: Option<Timestamp>,
    pub(crate) report: Report,
    pub(crate) superseded: Option<Incarnation>,
    pub(crate) twin_heard: Option<Timestamp>,
    pub(crate) data_centre: DataCentreId,
    handled: Option<Timestamp>,
    beat: Option<Timestamp>,
    sequence: u64,
    standings: BTreeMap<InstanceId, PeerState>,
}

impl Membership {
    /// An entry that knows nobody yet.
    pub fn new(me: Identity, data_centre: DataCentreId, settings: Settings) -> Self {
        Self {
            leases: Leases::new(me.clone(), &settings),
            settings,
            me,
            peers: Peers::default(),
            voter: Voter::default(),
            first_voter: Voter::default(),
            round: None,
            highest_round: 0,
            unsettled: None,
            started: None,
            report: Report::default(),
            data_centre,
            handled: None,
            beat: None,
            sequence: 0,
            standings: BTreeMap::new(),
            superseded: None,
            twin_heard: None,
        }
    }

    /// Decides on one event.
    pub fn handle(&mut self, now: Timestamp, event: Event) -> Vec<Action> {
        if self.superseded.is_some() {
            return Vec::new();
        }
        let mut actions = Vec::new();
        self.notice_gap(now, &mut actions);
        match event {
            Event::Tick => self.tick(now, &mut actions),
            Event::Received { from, message } => self.receive(now, from, message, &mut actions),
            Event::PlatformList(list) => self.peers.listed(now, list),
            Event::Report(report) => self.report = report,
        }
        actions
    }

    /// The view in force here.
    pub fn view(&self) -> Option<&View> {
        self.leases.view()
    }

    /// The entry that holds a role, as far as this one knows.
    pub fn holder(&self, role: &Role) -> Option<&InstanceId> {
        self.view().and_then(|view| view.holder(role))
    }

    /// The epoch under which this entry may act in a role now. Ask before each action.
    ///
    /// # Errors
    ///
    /// [`NotActing`] says why it may not.
    pub fn may_act(&self, now: Timestamp, role: &Role) -> Result<Epoch, NotActing> {
        let gap = self.handled.map(|handled| now.since(handled));
        let went_back = self.handled.is_some_and(|handled| now < handled);
        if went_back || gap.is_none_or(|gap| gap >= self.settings.lease) {
            return Err(NotActing::NoLease);
        }
        if self.superseded.is_some() || self.hears_twin(now) {
            return Err(NotActing::Duplicated);
        }
        if self.report.draining {
            return Err(NotActing::Draining);
        }
        if self.is_unlisted(now) {
            return Err(NotActing::Unlisted);
        }
        self.leases.may_act(now, role)
    }

    /// Whether this entry is a member for certain: nobody can have taken it out of the view for
    /// longer than the lease.
    pub fn is_member(&self, now: Timestamp) -> bool {
        self.leases.is_member(now)
    }

    /// What is thought of a peer.
    pub fn standing(&self, instance: &InstanceId) -> Option<PeerState> {
        self.standings.get(instance).copied()
    }

    /// What a peer last reported about itself.
    pub fn report_of(&self, instance: &InstanceId) -> Option<&Report> {
        self.peers.report(instance)
    }

    /// The newest view that this entry knows; zero if none.
    pub(crate) fn epoch(&self) -> Epoch {
        self.view().map_or(Epoch::ZERO, |view| view.epoch)
    }

    /// Whether this life votes in the newest view that it knows.
    pub(crate) fn is_voter(&self) -> bool {
        self.view().is_some_and(|view| view.contains(&self.me))
    }

    /// Whether the platform has dropped this entry from its list.
    pub(crate) fn is_unlisted(&self, now: Timestamp) -> bool {
        let me = &self.me.instance;
        self.peers.is_dropped(now, me, &self.settings)
    }

    pub(crate) fn message(&self, body: Body) -> Message {
        Message {
            from: self.me.clone(),
            data_centre: self.data_centre.clone(),
            body,
        }
    }

    pub(crate) fn send_to(&self, peers: BTreeSet<InstanceId>, body: Body) -> Vec<Action> {
        self.peers
            .addresses()
            .into_iter()
            .filter(|(instance, _)| *instance != self.me.instance && peers.contains(instance))
            .map(|(_, to)| Action::Send {
                to,
                message: self.message(body.clone()),
            })
            .collect()
    }

    /// Takes a view that was chosen.
    pub(crate) fn install(&mut self, now: Timestamp, view: View) -> Vec<Action> {
        if !self.leases.install(now, view.clone()) {
            return Vec::new();
        }
        self.voter = Voter::new(view.epoch);
        self.first_voter = Voter::default();
        self.round = None;
        self.unsettled = None;
        self.beat = None;
        vec![Action::ViewInstalled(view)]
    }

    fn notice_gap(&mut self, now: Timestamp, actions: &mut Vec<Action>) {
        self.started.get_or_insert(now);
        let handled = self.handled.replace(now);
        let went_back = handled.is_some_and(|handled| now < handled);
        let gap = handled.map_or(Duration::ZERO, |handled| now.since(handled));
        if !went_back && gap < self.settings.lease {
            return;
        }
        self.leases.void(now);
        self.peers.forgive(now);
        self.round = None;
        self.unsettled = None;
        self.beat = None;
        actions.push(Action::ClockJump { gap });
    }

    fn tick(&mut self, now: Timestamp, actions: &mut Vec<Action>) {
        self.judge_peers(now, actions);
        let period = self.settings.heartbeat;
        if self.beat.is_none_or(|beat| now.since(beat) >= period) {
            self.beat = Some(now);
            actions.extend(self.heartbeats(now));
        }
        actions.extend(self.advance_view(now));
    }

    fn heartbeats(&mut self, now: Timestamp) -> Vec<Action> {
        self.sequence += 1;
        let acknowledges = !self.voter.has_accepted();
        self.leases.sent(now, self.sequence, acknowledges);
        self.peers
            .addresses()
            .into_iter()
            .filter(|(instance, _)| *instance != self.me.instance)
            .map(|(instance, to)| Action::Send {
                to,
                message: self.message(Body::Heartbeat(Heartbeat {
                    sequence: self.sequence,
                    echo: self.peers.echo(&instance),
                    acknowledges,
                    epoch: self.epoch(),
                    votes: self.is_voter(),
                    report: self.report,
                })),
            })
            .collect()
    }

    fn judge_peers(&mut self, now: Timestamp, actions: &mut Vec<Action>) {
        for instance in self.peers.instances() {
            if instance == self.me.instance {
                continue;
            }
            let state = self.peers.standing(now, &instance, &self.settings);
            if state == PeerState::Gone {
                self.standings.remove(&instance);
                self.peers.forget(&instance);
            } else if self.standings.insert(instance.clone(), state) == Some(state) {
                continue;
            }
            actions.push(Action::PeerState { instance, state });
        }
    }

    fn hears_twin(&self, now: Timestamp) -> bool {
        let heard = self.twin_heard;
        heard.is_some_and(|heard| now.since(heard) < self.settings.suspect_after)
    }
}
