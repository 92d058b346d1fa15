//! The owner's side: the holds of an entry, and its sessions with monitors.
//!
//! * A hold may be used at its endpoint only after a monitor acknowledged it
//!   ([`Action::Dispatch`]).
//! * A monitor cancels an owner's holds when it has heard nothing for a lease. The owner therefore
//!   considers all holds that a monitor may know lost ([`Action::Lost`]) and does not continue them
//!   when it got no answer for a lease, counted from when it sent the last answered report. Its
//!   lease expires before the monitor's: a request whose holds a monitor cancels is no longer
//!   running.
//! * A monitor that is gone according to the membership can no longer cancel. Its holds are
//!   registered with another monitor and continue.

use std::collections::BTreeMap;
use std::collections::BTreeSet;

use mimosa_protocol::Incarnation;
use mimosa_protocol::InstanceId;
use mimosa_protocol::RequestId;
use mimosa_protocol::Timestamp;
use mimosa_protocol::data;

use crate::hold::Ack;
use crate::hold::HoldId;
use crate::hold::HoldSettings;
use crate::hold::Report;
use crate::hold::SessionNumber;
use crate::owner::session::MonitorSession;

mod session;

/// Input of an owner.
#[derive(Clone, Debug)]
pub enum Event {
    /// A request is about to use an endpoint. It must wait for [`Action::Dispatch`].
    Place(HoldId),
    /// A hold ended: its work is done or the endpoint confirmed its cancellation.
    Release(HoldId),
    /// A request ended for its caller. Its holds remain until they are released.
    Ended(RequestId),
    /// The monitor from now on; `None` if the data centre has no other entry.
    MonitorAssigned(Option<InstanceId>),
    /// According to the membership, an instance is gone and no longer monitors anything.
    Gone(InstanceId),
    /// A monitor answered a report.
    Ack(Ack),
    /// Time has passed; due once per heartbeat and after changes.
    Tick,
}

data! {
    /// Output of an owner.
    pub enum Action {
        /// The hold is registered: it may be used at its endpoint.
        Dispatch(HoldId),
        /// Send a report to a monitor.
        Send(InstanceId, Report),
        /// A monitor may cancel the hold. If it was dispatched, the request ends here: nothing more
        /// of its response is relayed, and the owner cancels the hold as well and releases it when
        /// that is confirmed. Otherwise it did not run and is dropped.
        Lost {
            /// The hold that a monitor may cancel.
            hold: HoldId,
            /// Whether [`Action::Dispatch`] was returned for it, so that it may be in use.
            dispatched: bool,
        },
    }
}

/// The monitor that new holds are registered with.
#[derive(Clone, Debug, PartialEq, Eq)]
enum Assignment {
    /// Not known yet: new holds wait.
    Unknown,
    /// There is no other entry: holds are not registered.
    Unmonitored,
    /// This instance.
    Monitor(InstanceId),
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum HoldState {
    /// No monitor has acknowledged it.
    Waiting,
    /// It may be used.
    Dispatched,
    /// A monitor may cancel it; the owner cancels it too.
    Lost,
}

/// The holds of one entry, each registered with a monitor before it is used.
#[derive(Clone, Debug)]
pub struct HoldOwner {
    settings: HoldSettings,
    instance: InstanceId,
    incarnation: Incarnation,
    assignment: Assignment,
    sessions: BTreeMap<InstanceId, MonitorSession>,
    holds: BTreeMap<HoldId, HoldState>,
    last_session: SessionNumber,
    /// Requests that lost a hold and have not ended yet.
    lost_requests: BTreeSet<RequestId>,
}

impl HoldOwner {
    /// Creates an owner without holds and without a monitor.
    pub fn new(settings: HoldSettings, instance: InstanceId, incarnation: Incarnation) -> Self {
        Self {
            settings,
            instance,
            incarnation,
            assignment: Assignment::Unknown,
            sessions: BTreeMap::new(),
            holds: BTreeMap::new(),
            last_session: SessionNumber::ZERO,
            lost_requests: BTreeSet::new(),
        }
    }

    /// Handles an event and returns the actions to carry out.
    pub fn handle(&mut self, now: Timestamp, event: Event) -> Vec<Action> {
        let mut actions = self.expire_sessions(now);
        match event {
            Event::Place(hold) => actions.extend(self.place(now, hold)),
            Event::Release(hold) => self.release(&hold),
            Event::Ended(request) => {
                self.lost_requests.remove(&request);
            }
            Event::MonitorAssigned(monitor) => actions.extend(self.assign_monitor(now, monitor)),
            Event::Gone(instance) => self.monitor_gone(&instance),
            Event::Ack(ack) => actions.extend(self.handle_ack(&ack)),
            Event::Tick => actions.extend(self.send(now)),
        }
        actions
    }

    /// Whether a request may continue. Call it before each step that uses a hold: a process that
    /// was suspended learns here that its holds are lost, before any tick.
    pub fn may_continue(&self, now: Timestamp, request: RequestId) -> bool {
        if self.lost_requests.contains(&request) {
            return false;
        }
        let mut holds = self
            .holds
            .iter()
            .filter(|(hold, _)| hold.request == request);
        holds.all(|(hold, state)| {
            let expired = |session: &MonitorSession| {
                session.lease_until <= now && session.known.contains_key(hold)
            };
            *state != HoldState::Lost && !self.sessions.values().any(expired)
        })
    }

    /// Number of holds that are not released: waiting, dispatched or lost.
    pub fn len(&self) -> usize {
        self.holds.len()
    }

    /// Whether every hold was released.
    pub fn is_empty(&self) -> bool {
        self.holds.is_empty()
    }

    fn place(&mut self, now: Timestamp, hold: HoldId) -> Vec<Action> {
        if self.holds.contains_key(&hold) {
            return Vec::new();
        }
        self.holds.insert(hold.clone(), HoldState::Waiting);
        match self.assignment.clone() {
            Assignment::Unknown => Vec::new(),
            Assignment::Unmonitored => self.dispatch(hold).into_iter().collect(),
            Assignment::Monitor(monitor) => {
                self.session(now, monitor).add(hold);
                Vec::new()
            }
        }
    }

    fn release(&mut self, hold: &HoldId) {
        self.holds.remove(hold);
        for session in self.sessions.values_mut() {
            session.remove(hold);
        }
    }

    /// The session with a monitor; a new one registers all holds.
    fn session(&mut self, now: Timestamp, monitor: InstanceId) -> &mut MonitorSession {
        let settings = self.settings;
        let (holds, number) = (&self.holds, &mut self.last_session);
        self.sessions.entry(monitor).or_insert_with(|| {
            *number = number.next();
            let mut session = MonitorSession::new(now, *number, &settings);
            holds.keys().for_each(|hold| session.add(hold.clone()));
            session
        })
    }

    fn assign_monitor(&mut self, now: Timestamp, monitor: Option<InstanceId>) -> Vec<Action> {
        let assignment = monitor
            .clone()
            .map_or(Assignment::Unmonitored, Assignment::Monitor);
        if self.assignment == assignment {
            return Vec::new();
        }
        self.assignment = assignment;
        if let Some(monitor) = monitor {
            let holds: Vec<HoldId> = self.holds.keys().cloned().collect();
            let session = self.session(now, monitor);
            session.is_ending = false;
            holds.into_iter().for_each(|hold| session.add(hold));
            return Vec::new();
        }
        let holds: Vec<HoldId> = self.holds.keys().cloned().collect();
        holds
            .into_iter()
            .filter_map(|hold| self.dispatch(hold))
            .collect()
    }

    /// A monitor that is gone cancels nothing; holds wait until another one is assigned.
    fn monitor_gone(&mut self, instance: &InstanceId) {
        self.sessions.remove(instance);
        if self.assignment == Assignment::Monitor(instance.clone()) {
            self.assignment = Assignment::Unknown;
        }
    }

    fn handle_ack(&mut self, ack: &Ack) -> Vec<Action> {
        let Some(session) = self.sessions.get_mut(&ack.monitor) else {
            return Vec::new();
        };
        if ack.incarnation != self.incarnation || ack.session != session.number {
            return Vec::new();
        }
        if ack.fenced {
            return self.lose_session(&ack.monitor);
        }
        if session
            .monitor_epoch
            .is_some_and(|epoch| ack.monitor_epoch < epoch)
        {
            return Vec::new();
        }
        if session
            .monitor_epoch
            .is_some_and(|epoch| epoch != ack.monitor_epoch)
        {
            // The monitor discarded its state and cancels nothing: start a new session with it.
            self.sessions.remove(&ack.monitor);
            return Vec::new();
        }
        session.is_dirty |= session.monitor_epoch.is_none();
        session.monitor_epoch = Some(ack.monitor_epoch);
        let registered = session.acknowledge(ack, &self.settings);
        let actions = registered
            .into_iter()
            .filter_map(|hold| self.dispatch(hold))
            .collect();
        self.retire_sessions();
        actions
    }

    /// Marks a waiting hold as dispatched; `None` if it does not wait.
    fn dispatch(&mut self, hold: HoldId) -> Option<Action> {
        let state = self.holds.get_mut(&hold)?;
        let waited = *state == HoldState::Waiting;
        if waited {
            *state = HoldState::Dispatched;
        }
        waited.then_some(Action::Dispatch(hold))
    }

    /// Ends the sessions with previous monitors once the assigned one knows all holds.
    fn retire_sessions(&mut self) {
        let Assignment::Monitor(monitor) = &self.assignment else {
            return;
        };
        let ready = self
            .sessions
            .get(monitor)
            .is_some_and(|session| session.changes.is_empty() && session.monitor_epoch.is_some());
        if !ready {
            return;
        }
        for (instance, session) in &mut self.sessions {
            if instance != monitor && !session.is_ending {
                let known: Vec<HoldId> = session.known.keys().cloned().collect();
                known.iter().for_each(|hold| session.remove(hold));
                session.is_ending = true;
            }
        }
        self.sessions
            .retain(|instance, session| instance == monitor || !session.is_finished());
    }

    /// Gives up the holds that monitors may cancel by now.
    fn expire_sessions(&mut self, now: Timestamp) -> Vec<Action> {
        let expired: Vec<InstanceId> = self
            .sessions
            .iter()
            .filter(|(_, session)| session.lease_until <= now)
            .map(|(monitor, _)| monitor.clone())
            .collect();
        expired
            .iter()
            .flat_map(|monitor| self.lose_session(monitor))
            .collect()
    }

    fn lose_session(&mut self, monitor: &InstanceId) -> Vec<Action> {
        let Some(session) = self.sessions.remove(monitor) else {
            return Vec::new();
        };
        session
            .known
            .into_keys()
            .filter_map(|hold| self.lose_hold(hold))
            .collect()
    }

    fn lose_hold(&mut self, hold: HoldId) -> Option<Action> {
        let state = self.holds.get_mut(&hold)?;
        let before = std::mem::replace(state, HoldState::Lost);
        if before == HoldState::Lost {
            return None;
        }
        self.lost_requests.insert(hold.request);
        let dispatched = before == HoldState::Dispatched;
        if !dispatched {
            self.release(&hold);
        }
        Some(Action::Lost { hold, dispatched })
    }

    fn send(&mut self, now: Timestamp) -> Vec<Action> {
        if let Assignment::Monitor(monitor) = self.assignment.clone() {
            self.session(now, monitor);
        }
        let settings = self.settings;
        let (owner, incarnation) = (&self.instance, self.incarnation);
        self.sessions
            .iter_mut()
            .filter(|(_, session)| session.is_due(now, &settings))
            .map(|(monitor, session)| {
                let report = session.report(now, owner, incarnation);
                Action::Send(monitor.clone(), report)
            })
            .collect()
    }
}
