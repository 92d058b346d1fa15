//! The membership state machine that each entry of a data centre runs.

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
    /// Input of the state machine.
    pub enum Event {
        /// Time passed. Must come at least once per heartbeat period.
        Tick,
        /// A datagram arrived.
        Received {
            /// The address that it came from; answers are sent there.
            from: SocketAddr,
            /// The decoded datagram.
            message: Message,
        },
        /// The platform's list of the entries of this data centre arrived, including this entry.
        PlatformList(PlatformList),
        /// The state that this entry reports to its peers changed.
        Report(Report),
    }

    /// Output of the state machine, for the driver to carry out.
    pub enum Action {
        /// Send a datagram.
        Send {
            /// The address to send to: where the peer sends from, or else its listed address.
            to: SocketAddr,
            /// The datagram. It may be lost: whatever still matters is sent again.
            message: Message,
        },
        /// The state of a peer changed.
        PeerState {
            /// The peer whose state changed.
            instance: InstanceId,
            /// The new state. A peer that is gone is removed.
            state: PeerState,
        },
        /// A new view was installed; roles may have moved.
        ViewInstalled(View),
        /// This process was paused, or its clock was set back. All its leases are invalid.
        ClockJump {
            /// Time since the previous event; zero if the clock was set back.
            gap: Duration,
        },
        /// A later incarnation of this instance runs; this process must stop.
        Superseded {
            /// The later incarnation.
            by: Incarnation,
        },
        /// Another process runs under the same instance name and incarnation.
        DuplicateInstance {
            /// The name that both processes run under.
            instance: InstanceId,
            /// The address that the other process sends from.
            address: SocketAddr,
        },
        /// Two instances send from the same address.
        DuplicateAddress {
            /// The address that both send from.
            address: SocketAddr,
            /// Both instances, the one known earlier first.
            instances: [InstanceId; 2],
        },
    }
}

/// The membership of one data centre, as seen by one entry.
#[derive(Clone, Debug)]
pub struct Membership {
    pub(crate) settings: Settings,
    pub(crate) identity: Identity,
    pub(crate) peers: Peers,
    pub(crate) leases: Leases,
    pub(crate) voter: Voter,
    pub(crate) first_view_voter: Voter,
    pub(crate) round: Option<Round>,
    pub(crate) highest_round: u64,
    pub(crate) view_change_since: Option<Timestamp>,
    pub(crate) started: Option<Timestamp>,
    pub(crate) report: Report,
    pub(crate) superseded: Option<Incarnation>,
    pub(crate) duplicate_detected_at: Option<Timestamp>,
    pub(crate) data_centre: DataCentreId,
    last_event: Option<Timestamp>,
    last_heartbeat: Option<Timestamp>,
    sequence: u64,
    peer_states: BTreeMap<InstanceId, PeerState>,
}

impl Membership {
    /// Creates the membership of an entry without a view and without peers.
    pub fn new(identity: Identity, data_centre: DataCentreId, settings: Settings) -> Self {
        Self {
            leases: Leases::new(identity.clone(), &settings),
            settings,
            identity,
            peers: Peers::default(),
            voter: Voter::default(),
            first_view_voter: Voter::default(),
            round: None,
            highest_round: 0,
            view_change_since: None,
            started: None,
            report: Report::default(),
            data_centre,
            last_event: None,
            last_heartbeat: None,
            sequence: 0,
            peer_states: BTreeMap::new(),
            superseded: None,
            duplicate_detected_at: None,
        }
    }

    /// Processes an event and returns the actions to carry out. Returns nothing once a
    /// later incarnation has superseded this one.
    pub fn handle(&mut self, now: Timestamp, event: Event) -> Vec<Action> {
        if self.superseded.is_some() {
            return Vec::new();
        }
        let mut actions = Vec::new();
        self.detect_clock_jump(now, &mut actions);
        match event {
            Event::Tick => self.tick(now, &mut actions),
            Event::Received { from, message } => self.receive(now, from, message, &mut actions),
            Event::PlatformList(list) => self.peers.update_list(now, list),
            Event::Report(report) => self.report = report,
        }
        actions
    }

    /// The newest view installed here; `None` before the first one.
    pub fn view(&self) -> Option<&View> {
        self.leases.view()
    }

    /// The holder of a role in the view installed here; `None` without a view or an eligible
    /// member.
    pub fn holder(&self, role: &Role) -> Option<&InstanceId> {
        self.view().and_then(|view| view.holder(role))
    }

    /// The epoch to act under, if this entry holds a role and a valid lease. Must be checked before
    /// each action of the role.
    ///
    /// # Errors
    ///
    /// [`NotActing`] with the reason if this entry must not act in the role.
    pub fn may_act(&self, now: Timestamp, role: &Role) -> Result<Epoch, NotActing> {
        let gap = self.last_event.map(|last| now.since(last));
        let went_back = self.last_event.is_some_and(|last| now < last);
        if went_back || gap.is_none_or(|gap| gap >= self.settings.lease) {
            return Err(NotActing::NoLease);
        }
        if self.superseded.is_some() || self.has_recent_duplicate(now) {
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

    /// Whether this entry is certainly a member: it cannot have been out of the view for longer
    /// than the lease.
    pub fn is_member(&self, now: Timestamp) -> bool {
        self.leases.is_member(now)
    }

    /// The last reported state of a peer; `None` if it is unknown or gone.
    pub fn peer_state(&self, instance: &InstanceId) -> Option<PeerState> {
        self.peer_states.get(instance).copied()
    }

    /// The last report that a peer sent about itself; `None` if it is unknown or gone.
    pub fn peer_report(&self, instance: &InstanceId) -> Option<&Report> {
        self.peers.report(instance)
    }

    /// The epoch of the newest view installed here; zero if there is none.
    pub(crate) fn epoch(&self) -> Epoch {
        self.view().map_or(Epoch::ZERO, |view| view.epoch)
    }

    /// Whether this incarnation votes in the newest view installed here.
    pub(crate) fn is_voter(&self) -> bool {
        self.view()
            .is_some_and(|view| view.contains(&self.identity))
    }

    /// Whether the platform dropped this entry from its list.
    pub(crate) fn is_unlisted(&self, now: Timestamp) -> bool {
        let instance = &self.identity.instance;
        self.peers.is_dropped(now, instance, &self.settings)
    }

    pub(crate) fn message(&self, body: Body) -> Message {
        Message {
            from: self.identity.clone(),
            data_centre: self.data_centre.clone(),
            body,
        }
    }

    pub(crate) fn send_to(&self, peers: BTreeSet<InstanceId>, body: Body) -> Vec<Action> {
        self.peers
            .addresses()
            .into_iter()
            .filter(|(instance, _)| *instance != self.identity.instance && peers.contains(instance))
            .map(|(_, to)| Action::Send {
                to,
                message: self.message(body.clone()),
            })
            .collect()
    }

    /// Installs a chosen view if it is newer than the installed one.
    pub(crate) fn install(&mut self, now: Timestamp, view: View) -> Vec<Action> {
        if !self.leases.install(now, view.clone()) {
            return Vec::new();
        }
        self.voter = Voter::new(view.epoch);
        self.first_view_voter = Voter::default();
        self.round = None;
        self.view_change_since = None;
        self.last_heartbeat = None;
        vec![Action::ViewInstalled(view)]
    }

    fn detect_clock_jump(&mut self, now: Timestamp, actions: &mut Vec<Action>) {
        self.started.get_or_insert(now);
        let last = self.last_event.replace(now);
        let went_back = last.is_some_and(|last| now < last);
        let gap = last.map_or(Duration::ZERO, |last| now.since(last));
        if !went_back && gap < self.settings.lease {
            return;
        }
        self.leases.invalidate(now);
        self.peers.reset_silence(now);
        self.round = None;
        self.view_change_since = None;
        self.last_heartbeat = None;
        actions.push(Action::ClockJump { gap });
    }

    fn tick(&mut self, now: Timestamp, actions: &mut Vec<Action>) {
        self.update_peer_states(now, actions);
        let period = self.settings.heartbeat;
        if self
            .last_heartbeat
            .is_none_or(|last| now.since(last) >= period)
        {
            self.last_heartbeat = Some(now);
            actions.extend(self.heartbeats(now));
        }
        actions.extend(self.advance_view(now));
    }

    fn heartbeats(&mut self, now: Timestamp) -> Vec<Action> {
        self.sequence += 1;
        let acknowledges = !self.voter.has_accepted();
        self.leases.heartbeat_sent(now, self.sequence, acknowledges);
        self.peers
            .addresses()
            .into_iter()
            .filter(|(instance, _)| *instance != self.identity.instance)
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

    fn update_peer_states(&mut self, now: Timestamp, actions: &mut Vec<Action>) {
        for instance in self.peers.instances() {
            if instance == self.identity.instance {
                continue;
            }
            let state = self.peers.state(now, &instance, &self.settings);
            if state == PeerState::Gone {
                self.peer_states.remove(&instance);
                self.peers.remove(&instance);
            } else if self.peer_states.insert(instance.clone(), state) == Some(state) {
                continue;
            }
            actions.push(Action::PeerState { instance, state });
        }
    }

    fn has_recent_duplicate(&self, now: Timestamp) -> bool {
        let detected_at = self.duplicate_detected_at;
        detected_at.is_some_and(|at| now.since(at) < self.settings.suspect_after)
    }
}
