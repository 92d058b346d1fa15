//! One session of an owner with one guard.

use std::collections::BTreeMap;
use std::collections::VecDeque;

use mimosa_protocol::Incarnation;
use mimosa_protocol::InstanceId;
use mimosa_protocol::Timestamp;

use crate::hold::Ack;
use crate::hold::Change;
use crate::hold::ChangeNumber;
use crate::hold::GuardLife;
use crate::hold::HoldId;
use crate::hold::HoldSettings;
use crate::hold::Report;
use crate::hold::ReportNumber;
use crate::hold::Session;

/// Changes in one report.
const MAX_CHANGES: usize = 256;

/// What a guard may know of a hold.
#[derive(Clone, Copy, Debug)]
pub(super) struct Known {
    /// The change that added it last.
    number: ChangeNumber,
    /// Whether it is told to forget it.
    removed: bool,
}

/// One session of an owner with one guard.
#[derive(Clone, Debug)]
pub(super) struct Link {
    pub(super) life: Option<GuardLife>,
    pub(super) session: Session,
    number: ReportNumber,
    sent: VecDeque<(ReportNumber, Timestamp)>,
    last_sent: Option<Timestamp>,
    pub(super) until: Timestamp,
    first: ChangeNumber,
    pub(super) changes: VecDeque<Change>,
    /// Holds that the guard may know.
    pub(super) known: BTreeMap<HoldId, Known>,
    /// The holds of additions that the guard may know, by their numbers.
    added: BTreeMap<ChangeNumber, HoldId>,
    pub(super) ends: bool,
    pub(super) dirty: bool,
}

impl Link {
    pub(super) fn new(now: Timestamp, session: Session, settings: &HoldSettings) -> Self {
        Self {
            life: None,
            session,
            number: ReportNumber::ZERO,
            sent: VecDeque::new(),
            last_sent: None,
            until: now + settings.lease,
            first: ChangeNumber(1),
            changes: VecDeque::new(),
            known: BTreeMap::new(),
            added: BTreeMap::new(),
            ends: false,
            dirty: true,
        }
    }

    /// Tells the guard of a hold, unless it knows it already and is not told to forget it.
    pub(super) fn add(&mut self, hold: HoldId) {
        if self.known.get(&hold).is_some_and(|known| !known.removed) {
            return;
        }
        let number = self.push(Change::Add(hold.clone()));
        self.added.insert(number, hold.clone());
        let removed = false;
        self.known.insert(hold, Known { number, removed });
    }

    /// Tells the guard to forget a hold that it may know.
    pub(super) fn remove(&mut self, hold: &HoldId) {
        let known = self.known.get_mut(hold).filter(|known| !known.removed);
        if let Some(known) = known {
            known.removed = true;
            let number = known.number;
            self.push(Change::Remove(number));
        }
    }

    fn push(&mut self, change: Change) -> ChangeNumber {
        let number = ChangeNumber(self.first.0 + self.changes.len() as u64);
        self.changes.push_back(change);
        self.dirty = true;
        number
    }

    pub(super) fn is_due(&self, now: Timestamp, settings: &HoldSettings) -> bool {
        let waited = |last| now.since(last) >= settings.heartbeat;
        self.dirty || self.last_sent.is_none_or(waited)
    }

    /// Takes an answer in. Returns the holds that the guard now knows.
    pub(super) fn acknowledge(&mut self, ack: &Ack, settings: &HoldSettings) -> Vec<HoldId> {
        if let Some((_, sent)) = self.sent.iter().find(|(number, _)| *number == ack.number) {
            self.until = self.until.max(*sent + settings.lease);
        }
        self.sent.retain(|(number, _)| *number > ack.number);
        let done = (ack.through.0 + 1).saturating_sub(self.first.0);
        let done = self.changes.len().min(done as usize);
        self.dirty |= done > 0 && self.changes.len() > MAX_CHANGES;
        self.first = ChangeNumber(self.first.0 + done as u64);
        let done: Vec<Change> = self.changes.drain(..done).collect();
        done.into_iter()
            .filter_map(|change| match change {
                Change::Add(hold) => Some(hold),
                Change::Remove(number) => {
                    self.forget(number);
                    None
                }
            })
            .collect()
    }

    /// The guard forgot what a change added; it may know the hold from a later one.
    fn forget(&mut self, number: ChangeNumber) {
        let Some(hold) = self.added.remove(&number) else {
            return;
        };
        if self
            .known
            .get(&hold)
            .is_some_and(|known| known.number == number)
        {
            self.known.remove(&hold);
        }
    }

    pub(super) fn is_over(&self) -> bool {
        self.ends && self.changes.is_empty() && self.known.is_empty()
    }

    /// The next report: what the guard did not acknowledge.
    pub(super) fn report(
        &mut self,
        now: Timestamp,
        owner: &InstanceId,
        incarnation: Incarnation,
    ) -> Report {
        self.number = self.number.next();
        self.sent.push_back((self.number, now));
        self.last_sent = Some(now);
        self.dirty = false;
        Report {
            owner: owner.clone(),
            incarnation,
            session: self.session,
            life: self.life,
            number: self.number,
            first: self.first,
            changes: self.changes.iter().take(MAX_CHANGES).cloned().collect(),
        }
    }
}
