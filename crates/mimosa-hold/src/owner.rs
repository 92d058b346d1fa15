//! The owner's side: what it holds, and the guards that know of it.
//!
//! * A hold may be used at its endpoint only after a guard acknowledged it ([`Action::Dispatch`]).
//! * A guard cancels an owner's holds when it heard nothing for a lease. So an owner that got no
//!   answer for a lease, counted from the sending of the last report that was answered, takes the
//!   holds that this guard may know as lost ([`Action::Lost`]) and does not continue them. Its
//!   lease ends before the guard's: a request that a guard cancels is no longer live.
//! * When membership says that a guard is gone it can no longer cancel; the holds are mirrored to
//!   another, and go on.

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
use crate::owner::link::Link;

mod link;

/// What happens to an owner.
#[derive(Clone, Debug)]
pub enum Event {
    /// A request is about to use an endpoint.
    Place(HoldId),
    /// A hold ended: its work is done or the endpoint confirmed its cancellation.
    Release(HoldId),
    /// A request ended towards its caller. Its holds stay until they are released.
    Ended(RequestId),
    /// This instance guards from now on; `None` if there is no other entry in the data centre.
    MonitorAssigned(Option<InstanceId>),
    /// Membership says that an instance is gone: it guards nothing any more.
    Gone(InstanceId),
    /// A guard's answer.
    Ack(Ack),
    /// Time went on; due once in a heartbeat, and after changes.
    Tick,
}

data! {
    /// What an owner wants to be done.
    pub enum Action {
        /// The hold is mirrored: it may be used at its endpoint.
        Dispatch(HoldId),
        /// Send a report.
        Send(InstanceId, Report),
        /// A guard may cancel the hold. If it was dispatched the request ends here, nothing more
        /// of its answer is relayed, and the owner cancels the hold as well and releases it when
        /// that is confirmed. If not, it did not run and is forgotten.
        Lost {
            /// The hold.
            hold: HoldId,
            /// Whether it was dispatched.
            dispatched: bool,
        },
    }
}

/// Who guards from now on.
#[derive(Clone, Debug, PartialEq, Eq)]
enum Choice {
    /// Not known yet: new holds wait.
    Unknown,
    /// There is no other entry: holds are not mirrored.
    Nobody,
    /// This instance.
    Guard(InstanceId),
}

/// How far a hold is.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Stage {
    /// No guard acknowledged it.
    Waiting,
    /// It may be used.
    Dispatched,
    /// A guard may cancel it; the owner cancels it too.
    Lost,
}

/// The holds of one entry.
#[derive(Clone, Debug)]
pub struct HoldOwner {
    settings: HoldSettings,
    own: InstanceId,
    incarnation: Incarnation,
    guard: Choice,
    links: BTreeMap<InstanceId, Link>,
    holds: BTreeMap<HoldId, Stage>,
    session: Session,
    /// Requests that lost a hold and did not end yet.
    lost: BTreeSet<RequestId>,
}

impl HoldOwner {
    /// An owner without holds and without a guard.
    pub fn new(settings: HoldSettings, own: InstanceId, incarnation: Incarnation) -> Self {
        Self {
            settings,
            own,
            incarnation,
            guard: Choice::Unknown,
            links: BTreeMap::new(),
            holds: BTreeMap::new(),
            session: Session::ZERO,
            lost: BTreeSet::new(),
        }
    }

    /// Takes an event in.
    pub fn handle(&mut self, now: Timestamp, event: Event) -> Vec<Action> {
        let mut actions = self.lose(now);
        match event {
            Event::Place(hold) => actions.extend(self.place(now, hold)),
            Event::Release(hold) => self.release(&hold),
            Event::Ended(request) => {
                self.lost.remove(&request);
            }
            Event::MonitorAssigned(guard) => actions.extend(self.set_guard(now, guard)),
            Event::Gone(instance) => self.gone(&instance),
            Event::Ack(ack) => actions.extend(self.take_ack(&ack)),
            Event::Tick => actions.extend(self.send(now)),
        }
        actions
    }

    /// Whether a request may go on. Ask before each step that uses a hold: a process that was
    /// frozen learns here that its holds are lost, before any tick.
    pub fn may_continue(&self, now: Timestamp, request: RequestId) -> bool {
        if self.lost.contains(&request) {
            return false;
        }
        let mut own = self
            .holds
            .iter()
            .filter(|(hold, _)| hold.request == request);
        own.all(|(hold, stage)| {
            let over = |link: &Link| link.until <= now && link.known.contains_key(hold);
            *stage != Stage::Lost && !self.links.values().any(over)
        })
    }

    /// Holds in hand.
    pub fn len(&self) -> usize {
        self.holds.len()
    }

    /// Whether nothing is held.
    pub fn is_empty(&self) -> bool {
        self.holds.is_empty()
    }

    fn place(&mut self, now: Timestamp, hold: HoldId) -> Vec<Action> {
        if self.holds.contains_key(&hold) {
            return Vec::new();
        }
        self.holds.insert(hold.clone(), Stage::Waiting);
        match self.guard.clone() {
            Choice::Unknown => Vec::new(),
            Choice::Nobody => self.dispatch(hold).into_iter().collect(),
            Choice::Guard(guard) => {
                self.link(now, guard).add(hold);
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

    /// The link to a guard; a new one tells it all holds.
    fn link(&mut self, now: Timestamp, guard: InstanceId) -> &mut Link {
        let settings = self.settings;
        let (holds, session) = (&self.holds, &mut self.session);
        self.links.entry(guard).or_insert_with(|| {
            *session = session.next();
            let mut link = Link::new(now, *session, &settings);
            holds.keys().for_each(|hold| link.add(hold.clone()));
            link
        })
    }

    fn set_guard(&mut self, now: Timestamp, guard: Option<InstanceId>) -> Vec<Action> {
        let choice = guard.clone().map_or(Choice::Nobody, Choice::Guard);
        if self.guard == choice {
            return Vec::new();
        }
        self.guard = choice;
        if let Some(guard) = guard {
            let holds: Vec<HoldId> = self.holds.keys().cloned().collect();
            let link = self.link(now, guard);
            link.ends = false;
            holds.into_iter().for_each(|hold| link.add(hold));
            return Vec::new();
        }
        let holds: Vec<HoldId> = self.holds.keys().cloned().collect();
        holds
            .into_iter()
            .filter_map(|hold| self.dispatch(hold))
            .collect()
    }

    /// A guard that is gone cancels nothing; holds wait until another is chosen.
    fn gone(&mut self, instance: &InstanceId) {
        self.links.remove(instance);
        if self.guard == Choice::Guard(instance.clone()) {
            self.guard = Choice::Unknown;
        }
    }

    fn take_ack(&mut self, ack: &Ack) -> Vec<Action> {
        let Some(link) = self.links.get_mut(&ack.guard) else {
            return Vec::new();
        };
        if ack.incarnation != self.incarnation || ack.session != link.session {
            return Vec::new();
        }
        if ack.fenced {
            return self.lose_link(&ack.guard);
        }
        if link.life.is_some_and(|life| ack.life < life) {
            return Vec::new();
        }
        if link.life.is_some_and(|life| life != ack.life) {
            // It forgot everything and cancels nothing: start again with it.
            self.links.remove(&ack.guard);
            return Vec::new();
        }
        link.dirty |= link.life.is_none();
        link.life = Some(ack.life);
        let known = link.acknowledge(ack, &self.settings);
        let actions = known
            .into_iter()
            .filter_map(|hold| self.dispatch(hold))
            .collect();
        self.retire_links();
        actions
    }

    fn dispatch(&mut self, hold: HoldId) -> Option<Action> {
        let stage = self.holds.get_mut(&hold)?;
        let waited = *stage == Stage::Waiting;
        if waited {
            *stage = Stage::Dispatched;
        }
        waited.then_some(Action::Dispatch(hold))
    }

    /// Ends sessions with former guards once the guard of now knows everything.
    fn retire_links(&mut self) {
        let Choice::Guard(guard) = &self.guard else {
            return;
        };
        let ready = self
            .links
            .get(guard)
            .is_some_and(|link| link.changes.is_empty() && link.life.is_some());
        if !ready {
            return;
        }
        for (instance, link) in &mut self.links {
            if instance != guard && !link.ends {
                let known: Vec<HoldId> = link.known.keys().cloned().collect();
                known.iter().for_each(|hold| link.remove(hold));
                link.ends = true;
            }
        }
        self.links
            .retain(|instance, link| instance == guard || !link.is_over());
    }

    /// Gives up what guards may cancel by now.
    fn lose(&mut self, now: Timestamp) -> Vec<Action> {
        let over: Vec<InstanceId> = self
            .links
            .iter()
            .filter(|(_, link)| link.until <= now)
            .map(|(guard, _)| guard.clone())
            .collect();
        over.iter()
            .flat_map(|guard| self.lose_link(guard))
            .collect()
    }

    fn lose_link(&mut self, guard: &InstanceId) -> Vec<Action> {
        let Some(link) = self.links.remove(guard) else {
            return Vec::new();
        };
        link.known
            .into_keys()
            .filter_map(|hold| self.lose_hold(hold))
            .collect()
    }

    fn lose_hold(&mut self, hold: HoldId) -> Option<Action> {
        let stage = self.holds.get_mut(&hold)?;
        let before = std::mem::replace(stage, Stage::Lost);
        if before == Stage::Lost {
            return None;
        }
        self.lost.insert(hold.request);
        let dispatched = before == Stage::Dispatched;
        if !dispatched {
            self.release(&hold);
        }
        Some(Action::Lost { hold, dispatched })
    }

    fn send(&mut self, now: Timestamp) -> Vec<Action> {
        if let Choice::Guard(guard) = self.guard.clone() {
            self.link(now, guard);
        }
        let settings = self.settings;
        let (owner, incarnation) = (&self.own, self.incarnation);
        self.links
            .iter_mut()
            .filter(|(_, link)| link.is_due(now, &settings))
            .map(|(guard, link)| {
                let report = link.report(now, owner, incarnation);
                Action::Send(guard.clone(), report)
            })
            .collect()
    }
}
