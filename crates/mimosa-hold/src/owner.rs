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
use crate::hold::Session;
use crate::owner::link::MonitorLink;

mod link;

/// Input of an owner.
#[derive(Clone, Debug)]
pub enum Event {
    /// A request is about to use an endpoint.
    Place(HoldId),
    /// A hold ended: its work is done or the endpoint confirmed its cancellation.
    Release(HoldId),
    /// A request ended for its caller. Its holds remain until they are released.
    Ended(RequestId),
    /// The monitor from now on; `None` if the data centre has no other entry.
    MonitorAssigned(Option<InstanceId>),
    /// According to the membership, an instance is gone and no longer monitors anything.
    Gone(InstanceId),
    /// A monitor's answer.
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
            /// The hold.
            hold: HoldId,
            /// Whether it was dispatched.
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

/// Manages the holds of one entry.
#[derive(Clone, Debug)]
pub struct HoldOwner {
    settings: HoldSettings,
    own: InstanceId,
    incarnation: Incarnation,
    assignment: Assignment,
    links: BTreeMap<InstanceId, MonitorLink>,
    holds: BTreeMap<HoldId, HoldState>,
    last_session: Session,
    /// Requests that lost a hold and have not ended yet.
    lost: BTreeSet<RequestId>,
}

impl HoldOwner {
    /// Creates an owner without holds and without a monitor.
    pub fn new(settings: HoldSettings, own: InstanceId, incarnation: Incarnation) -> Self {
        Self {
            settings,
            own,
            incarnation,
            assignment: Assignment::Unknown,
            links: BTreeMap::new(),
            holds: BTreeMap::new(),
            last_session: Session::ZERO,
            lost: BTreeSet::new(),
        }
    }

    /// Handles an event and returns the actions to carry out.
    pub fn handle(&mut self, now: Timestamp, event: Event) -> Vec<Action> {
        let mut actions = self.expire_links(now);
        match event {
            Event::Place(hold) => actions.extend(self.place(now, hold)),
            Event::Release(hold) => self.release(&hold),
            Event::Ended(request) => {
                self.lost.remove(&request);
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
        if self.lost.contains(&request) {
            return false;
        }
        let mut own = self
            .holds
            .iter()
            .filter(|(hold, _)| hold.request == request);
        own.all(|(hold, state)| {
            let expired =
                |link: &MonitorLink| link.lease_until <= now && link.known.contains_key(hold);
            *state != HoldState::Lost && !self.links.values().any(expired)
        })
    }

    /// Number of holds.
    pub fn len(&self) -> usize {
        self.holds.len()
    }

    /// Whether there are no holds.
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
                self.link(now, monitor).add(hold);
                Vec::new()
            }
        }
    }

    fn release(&mut self, hold: &HoldId) {
        self.holds.remove(hold);
        for link in self.links.values_mut() {
            link.remove(hold);
        }
    }

    /// The link to a monitor; a new one registers all holds.
    fn link(&mut self, now: Timestamp, monitor: InstanceId) -> &mut MonitorLink {
        let settings = self.settings;
        let (holds, session) = (&self.holds, &mut self.last_session);
        self.links.entry(monitor).or_insert_with(|| {
            *session = session.next();
            let mut link = MonitorLink::new(now, *session, &settings);
            holds.keys().for_each(|hold| link.add(hold.clone()));
            link
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
            let link = self.link(now, monitor);
            link.is_ending = false;
            holds.into_iter().for_each(|hold| link.add(hold));
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
        self.links.remove(instance);
        if self.assignment == Assignment::Monitor(instance.clone()) {
            self.assignment = Assignment::Unknown;
        }
    }

    fn handle_ack(&mut self, ack: &Ack) -> Vec<Action> {
        let Some(link) = self.links.get_mut(&ack.monitor) else {
            return Vec::new();
        };
        if ack.incarnation != self.incarnation || ack.session != link.session {
            return Vec::new();
        }
        if ack.fenced {
            return self.lose_link(&ack.monitor);
        }
        if link
            .monitor_epoch
            .is_some_and(|epoch| ack.monitor_epoch < epoch)
        {
            return Vec::new();
        }
        if link
            .monitor_epoch
            .is_some_and(|epoch| epoch != ack.monitor_epoch)
        {
            // The monitor discarded its state and cancels nothing: start a new session with it.
            self.links.remove(&ack.monitor);
            return Vec::new();
        }
        link.is_dirty |= link.monitor_epoch.is_none();
        link.monitor_epoch = Some(ack.monitor_epoch);
        let registered = link.acknowledge(ack, &self.settings);
        let actions = registered
            .into_iter()
            .filter_map(|hold| self.dispatch(hold))
            .collect();
        self.retire_links();
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
    fn retire_links(&mut self) {
        let Assignment::Monitor(monitor) = &self.assignment else {
            return;
        };
        let ready = self
            .links
            .get(monitor)
            .is_some_and(|link| link.changes.is_empty() && link.monitor_epoch.is_some());
        if !ready {
            return;
        }
        for (instance, link) in &mut self.links {
            if instance != monitor && !link.is_ending {
                let known: Vec<HoldId> = link.known.keys().cloned().collect();
                known.iter().for_each(|hold| link.remove(hold));
                link.is_ending = true;
            }
        }
        self.links
            .retain(|instance, link| instance == monitor || !link.is_finished());
    }

    /// Gives up the holds that monitors may cancel by now.
    fn expire_links(&mut self, now: Timestamp) -> Vec<Action> {
        let expired: Vec<InstanceId> = self
            .links
            .iter()
            .filter(|(_, link)| link.lease_until <= now)
            .map(|(monitor, _)| monitor.clone())
            .collect();
        expired
            .iter()
            .flat_map(|monitor| self.lose_link(monitor))
            .collect()
    }

    fn lose_link(&mut self, monitor: &InstanceId) -> Vec<Action> {
        let Some(link) = self.links.remove(monitor) else {
            return Vec::new();
        };
        link.known
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
        self.lost.insert(hold.request);
        let dispatched = before == HoldState::Dispatched;
        if !dispatched {
            self.release(&hold);
        }
        Some(Action::Lost { hold, dispatched })
    }

    fn send(&mut self, now: Timestamp) -> Vec<Action> {
        if let Assignment::Monitor(monitor) = self.assignment.clone() {
            self.link(now, monitor);
        }
        let settings = self.settings;
        let (owner, incarnation) = (&self.own, self.incarnation);
        self.links
            .iter_mut()
            .filter(|(_, link)| link.is_due(now, &settings))
            .map(|(monitor, link)| {
                let report = link.report(now, owner, incarnation);
                Action::Send(monitor.clone(), report)
            })
            .collect()
    }
}
