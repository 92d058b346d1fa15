//! The monitor's side: registers the holds of other entries and cancels them when their owner has
//! failed.
//!
//! An owner has failed when it was silent for a lease, or returned in another incarnation. A
//! monitor may act only while it is a member itself ([`Event::MemberUntil`]): once its membership
//! has expired, others may be told that it is gone and its owners continue with another monitor, so
//! it must not cancel.

use std::collections::BTreeMap;
use std::collections::BTreeSet;

use mimosa_protocol::Incarnation;
use mimosa_protocol::InstanceId;
use mimosa_protocol::Timestamp;
use mimosa_protocol::data;

use crate::hold::Ack;
use crate::hold::Change;
use crate::hold::ChangeNumber;
use crate::hold::HoldId;
use crate::hold::HoldSettings;
use crate::hold::MonitorEpoch;
use crate::hold::Report;
use crate::hold::SessionNumber;
use crate::hold::Term;

/// Input of a monitor.
#[derive(Clone, Debug)]
pub enum Event {
    /// This instance is a member until a time; repeated to renew it.
    MemberUntil(Timestamp),
    /// A report of an owner arrived, perhaps an old or repeated copy.
    Report(Report),
    /// According to the membership, an incarnation of an owner has definitely ended.
    Gone(InstanceId, Incarnation),
    /// An endpoint confirmed that a hold no longer exists.
    Cancelled(HoldId),
    /// Time has passed; due once per heartbeat.
    Tick,
}

data! {
    /// Output of a monitor.
    pub enum Action {
        /// Send an acknowledgement to an owner.
        Ack(InstanceId, Ack),
        /// Cancel a hold at its endpoint. Repeated until it is confirmed.
        Cancel(HoldId),
    }
}

#[derive(Clone, Debug)]
struct OwnerState {
    incarnation: Incarnation,
    session: SessionNumber,
    applied: ChangeNumber,
    /// Holds by the change that added them.
    holds: BTreeMap<ChangeNumber, HoldId>,
    lease_until: Timestamp,
    /// Whether its holds are being cancelled: the session accepts no further changes.
    fenced: bool,
}

/// Registers the holds of other entries of the data centre and cancels those of failed owners.
#[derive(Clone, Debug)]
pub struct HoldMonitor {
    settings: HoldSettings,
    instance: InstanceId,
    epoch: MonitorEpoch,
    member_until: Timestamp,
    owners: BTreeMap<InstanceId, OwnerState>,
    /// When the cancellation of each hold began.
    cancellations: BTreeMap<HoldId, Timestamp>,
}

impl HoldMonitor {
    /// Creates a monitor without holds that is not a member yet.
    pub fn new(settings: HoldSettings, instance: InstanceId, incarnation: Incarnation) -> Self {
        Self {
            settings,
            instance,
            epoch: MonitorEpoch {
                incarnation,
                term: Term::ZERO,
            },
            member_until: Timestamp::ZERO,
            owners: BTreeMap::new(),
            cancellations: BTreeMap::new(),
        }
    }

    /// Handles an event and returns the actions to carry out.
    pub fn handle(&mut self, now: Timestamp, event: Event) -> Vec<Action> {
        self.check_membership(now);
        match event {
            Event::MemberUntil(until) => self.member_until = self.member_until.max(until),
            Event::Report(report) => return self.handle_report(now, report),
            Event::Gone(owner, incarnation) => return self.owner_gone(now, &owner, incarnation),
            Event::Cancelled(hold) => {
                self.cancellations.remove(&hold);
            }
            Event::Tick => return self.tick(now),
        }
        Vec::new()
    }

    /// Number of holds that are registered or being cancelled.
    pub fn len(&self) -> usize {
        let registered: usize = self.owners.values().map(|owner| owner.holds.len()).sum();
        registered + self.cancellations.len()
    }

    /// Whether no hold is registered or being cancelled.
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }

    /// Discards all owners once this instance is no longer a member. Cancellations that have begun
    /// continue: their owners considered those holds lost even earlier.
    fn check_membership(&mut self, now: Timestamp) {
        if now < self.member_until || self.owners.is_empty() {
            return;
        }
        self.owners.clear();
        self.epoch.term = self.epoch.term.next();
    }

    fn handle_report(&mut self, now: Timestamp, report: Report) -> Vec<Action> {
        if now >= self.member_until {
            return Vec::new();
        }
        if report.monitor_epoch != Some(self.epoch) {
            return vec![self.announce_epoch(report)];
        }
        let mut actions = self.end_older_session(now, &report);
        let lease = self.settings.lease + self.settings.lease_margin;
        let owner = self
            .owners
            .entry(report.owner.clone())
            .or_insert_with(|| OwnerState {
                incarnation: report.incarnation,
                session: report.session,
                applied: ChangeNumber::ZERO,
                holds: BTreeMap::new(),
                lease_until: now + lease,
                fenced: false,
            });
        let newest = (owner.incarnation, owner.session);
        if (report.incarnation, report.session) < newest {
            return actions;
        }
        if !owner.fenced {
            owner.lease_until = now + lease;
            owner.apply(&report);
        }
        let ack = Ack {
            monitor: self.instance.clone(),
            monitor_epoch: self.epoch,
            incarnation: report.incarnation,
            session: report.session,
            number: report.number,
            applied_through: owner.applied,
            fenced: owner.fenced,
        };
        actions.push(Action::Ack(report.owner, ack));
        actions
    }

    /// Tells an owner the epoch of this monitor. The report belongs to another epoch and may be an
    /// old copy, so that none of its changes count.
    fn announce_epoch(&self, report: Report) -> Action {
        let ack = Ack {
            monitor: self.instance.clone(),
            monitor_epoch: self.epoch,
            incarnation: report.incarnation,
            session: report.session,
            number: report.number,
            applied_through: ChangeNumber::ZERO,
            fenced: false,
        };
        Action::Ack(report.owner, ack)
    }

    /// Ends the previous incarnation or session of an owner when a newer one reports.
    fn end_older_session(&mut self, now: Timestamp, report: &Report) -> Vec<Action> {
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

    fn owner_gone(
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
                self.cancellations.insert(hold.clone(), now);
                Action::Cancel(hold)
            })
            .collect()
    }

    fn tick(&mut self, now: Timestamp) -> Vec<Action> {
        let timeout = self.settings.cancel_timeout;
        self.cancellations
            .retain(|_, since| now.since(*since) < timeout);
        let mut actions: Vec<Action> = self
            .cancellations
            .keys()
            .map(|hold| Action::Cancel(hold.clone()))
            .collect();
        let expired: Vec<InstanceId> = self
            .owners
            .iter()
            .filter(|(_, owner)| owner.lease_until <= now && !owner.fenced)
            .map(|(owner, _)| owner.clone())
            .collect();
        actions.extend(expired.iter().flat_map(|owner| self.cancel_all(now, owner)));
        self.owners
            .retain(|_, owner| !owner.fenced || now.since(owner.lease_until) < timeout);
        actions
    }
}

impl OwnerState {
    /// Applies the changes that follow the last one applied.
    fn apply(&mut self, report: &Report) {
        let next = self.applied.next();
        if report.first_change > next {
            return;
        }
        let known = (next.0 - report.first_change.0) as usize;
        for change in report.changes.iter().skip(known) {
            self.applied = self.applied.next();
            match change {
                Change::Add(hold) => self.holds.insert(self.applied, hold.clone()),
                Change::Remove(number) => self.holds.remove(number),
            };
        }
    }
}
