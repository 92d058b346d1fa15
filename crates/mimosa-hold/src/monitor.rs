//! The guard's side: holds of other entries, cancelled when their owner is gone.
//!
//! An owner is gone when it was silent for a lease, or came back in another life. The guard may
//! act only while it is a member itself ([`Event::MemberUntil`]): once others may be told that it is
//! gone, it must not cancel, as its owners go on with another guard.

use std::collections::BTreeMap;
use std::collections::BTreeSet;

use mimosa_protocol::Incarnation;
use mimosa_protocol::InstanceId;
use mimosa_protocol::Timestamp;
use mimosa_protocol::data;

use crate::hold::Ack;
use crate::hold::Change;
use crate::hold::ChangeNumber;
use crate::hold::GuardLife;
use crate::hold::HoldId;
use crate::hold::HoldSettings;
use crate::hold::Report;
use crate::hold::Session;
use crate::hold::Term;

/// What happens to a guard.
#[derive(Clone, Debug)]
pub enum Event {
    /// It is a member until a moment; sent again to prolong it.
    MemberUntil(Timestamp),
    /// An owner's report.
    Report(Report),
    /// Membership says that a life of an owner ended, for certain.
    Gone(InstanceId, Incarnation),
    /// An endpoint confirmed that it holds nothing of this.
    Cancelled(HoldId),
    /// Time went on; due once in a heartbeat.
    Tick,
}

data! {
    /// What a guard wants to be done.
    pub enum Action {
        /// Answer an owner.
        Ack(InstanceId, Ack),
        /// Cancel a hold at its endpoint. Repeated until it is confirmed.
        Cancel(HoldId),
    }
}

#[derive(Clone, Debug)]
struct Owner {
    incarnation: Incarnation,
    session: Session,
    applied: ChangeNumber,
    /// By the change that added it.
    holds: BTreeMap<ChangeNumber, HoldId>,
    until: Timestamp,
    /// Whether its holds are being cancelled: nothing more is taken in this session.
    fenced: bool,
}

/// The holds that one entry guards.
#[derive(Clone, Debug)]
pub struct HoldMonitor {
    settings: HoldSettings,
    own: InstanceId,
    life: GuardLife,
    duty: Timestamp,
    owners: BTreeMap<InstanceId, Owner>,
    /// Since when each hold is being cancelled.
    cancels: BTreeMap<HoldId, Timestamp>,
}

impl HoldMonitor {
    /// A guard that knows no holds and has no duty yet.
    pub fn new(settings: HoldSettings, own: InstanceId, incarnation: Incarnation) -> Self {
        Self {
            settings,
            own,
            life: GuardLife {
                incarnation,
                term: Term::ZERO,
            },
            duty: Timestamp::ZERO,
            owners: BTreeMap::new(),
            cancels: BTreeMap::new(),
        }
    }

    /// Takes an event in.
    pub fn handle(&mut self, now: Timestamp, event: Event) -> Vec<Action> {
        self.check_duty(now);
        match event {
            Event::MemberUntil(until) => self.duty = self.duty.max(until),
            Event::Report(report) => return self.take_report(now, report),
            Event::Gone(owner, incarnation) => return self.gone(now, &owner, incarnation),
            Event::Cancelled(hold) => {
                self.cancels.remove(&hold);
            }
            Event::Tick => return self.tick(now),
        }
        Vec::new()
    }

    /// Holds that it guards or cancels.
    pub fn len(&self) -> usize {
        let guarded: usize = self.owners.values().map(|owner| owner.holds.len()).sum();
        guarded + self.cancels.len()
    }

    /// Whether it has nothing to guard or cancel.
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }

    /// Forgets its owners once it is no longer a member. Cancels that began before go on: their
    /// owners took those holds as lost even earlier.
    fn check_duty(&mut self, now: Timestamp) {
        if now < self.duty || self.owners.is_empty() {
            return;
        }
        self.owners.clear();
        self.life.term = self.life.term.next();
    }

    fn take_report(&mut self, now: Timestamp, report: Report) -> Vec<Action> {
        if now >= self.duty {
            return Vec::new();
        }
        if report.life != Some(self.life) {
            return vec![self.introduce(report)];
        }
        let mut actions = self.end_older(now, &report);
        let lease = self.settings.lease + self.settings.lease_margin;
        let owner = self
            .owners
            .entry(report.owner.clone())
            .or_insert_with(|| Owner {
                incarnation: report.incarnation,
                session: report.session,
                applied: ChangeNumber::ZERO,
                holds: BTreeMap::new(),
                until: now + lease,
                fenced: false,
            });
        let newest = (owner.incarnation, owner.session);
        if (report.incarnation, report.session) < newest {
            return actions;
        }
        if !owner.fenced {
            owner.until = now + lease;
            owner.apply(&report);
        }
        let ack = Ack {
            guard: self.own.clone(),
            life: self.life,
            incarnation: report.incarnation,
            session: report.session,
            number: report.number,
            through: owner.applied,
            fenced: owner.fenced,
        };
        actions.push(Action::Ack(report.owner, ack));
        actions
    }

    /// Names itself to an owner. A report to another life of this guard may be an old copy, so
    /// nothing of it counts.
    fn introduce(&self, report: Report) -> Action {
        let ack = Ack {
            guard: self.own.clone(),
            life: self.life,
            incarnation: report.incarnation,
            session: report.session,
            number: report.number,
            through: ChangeNumber::ZERO,
            fenced: false,
        };
        Action::Ack(report.owner, ack)
    }

    /// A newer life or session of an owner ends the one before.
    fn end_older(&mut self, now: Timestamp, report: &Report) -> Vec<Action> {
        let newer = self.owners.get(&report.owner).is_some_and(|owner| {
            (owner.incarnation, owner.session) < (report.incarnation, report.session)
        });
        if !newer {
            return Vec::new();
        }
        let actions = self.cancel_all(now, &report.owner);
        self.owners.remove(&report.owner);
        actions
    }

    fn gone(
        &mut self,
        now: Timestamp,
        owner: &InstanceId,
        incarnation: Incarnation,
    ) -> Vec<Action> {
        let known = self
            .owners
            .get(owner)
            .is_some_and(|known| known.incarnation <= incarnation);
        if known {
            self.cancel_all(now, owner)
        } else {
            Vec::new()
        }
    }

    fn cancel_all(&mut self, now: Timestamp, owner: &InstanceId) -> Vec<Action> {
        let Some(owner) = self.owners.get_mut(owner) else {
            return Vec::new();
        };
        owner.fenced = true;
        let holds = std::mem::take(&mut owner.holds);
        let holds: BTreeSet<HoldId> = holds.into_values().collect();
        holds
            .into_iter()
            .map(|hold| {
                self.cancels.insert(hold.clone(), now);
                Action::Cancel(hold)
            })
            .collect()
    }

    fn tick(&mut self, now: Timestamp) -> Vec<Action> {
        let patience = self.settings.cancel_patience;
        self.cancels.retain(|_, since| now.since(*since) < patience);
        let mut actions: Vec<Action> = self
            .cancels
            .keys()
            .map(|hold| Action::Cancel(hold.clone()))
            .collect();
        let silent: Vec<InstanceId> = self
            .owners
            .iter()
            .filter(|(_, owner)| owner.until <= now && !owner.fenced)
            .map(|(owner, _)| owner.clone())
            .collect();
        actions.extend(silent.iter().flat_map(|owner| self.cancel_all(now, owner)));
        self.owners
            .retain(|_, owner| !owner.fenced || now.since(owner.until) < patience);
        actions
    }
}

impl Owner {
    /// Applies the changes that follow those applied so far.
    fn apply(&mut self, report: &Report) {
        let next = self.applied.next();
        if report.first > next {
            return;
        }
        let known = (next.0 - report.first.0) as usize;
        for change in report.changes.iter().skip(known) {
            self.applied = self.applied.next();
            match change {
                Change::Add(hold) => self.holds.insert(self.applied, hold.clone()),
                Change::Remove(number) => self.holds.remove(number),
            };
        }
    }
}
