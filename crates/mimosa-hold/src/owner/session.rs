//! One session of an owner with one monitor.

use std::collections::BTreeMap;
use std::collections::VecDeque;

use mimosa_protocol::Incarnation;
use mimosa_protocol::InstanceId;
use mimosa_protocol::Timestamp;

use crate::hold::Ack;
use crate::hold::Change;
use crate::hold::ChangeNumber;
use crate::hold::HoldId;
use crate::hold::HoldSettings;
use crate::hold::MonitorEpoch;
use crate::hold::Report;
use crate::hold::ReportNumber;
use crate::hold::SessionNumber;

/// Changes sent in one report; a further report with the rest is due at once.
const MAX_CHANGES: usize = 256;

/// What a monitor may know of a hold.
#[derive(Clone, Copy, Debug)]
pub(super) struct KnownHold {
    /// The last change that added it.
    number: ChangeNumber,
    /// Whether its removal is reported.
    removed: bool,
}

#[derive(Clone, Debug)]
pub(super) struct MonitorSession {
    pub(super) monitor_epoch: Option<MonitorEpoch>,
    pub(super) number: SessionNumber,
    last_report: ReportNumber,
    sent: VecDeque<(ReportNumber, Timestamp)>,
    last_sent: Option<Timestamp>,
    pub(super) lease_until: Timestamp,
    first_change: ChangeNumber,
    /// Unacknowledged changes.
    pub(super) changes: VecDeque<Change>,
    /// Holds that the monitor may know, and may therefore cancel.
    pub(super) known: BTreeMap<HoldId, KnownHold>,
    /// Holds that the monitor may know, by the change that added them.
    added: BTreeMap<ChangeNumber, HoldId>,
    /// Whether the session ends once the monitor has removed all holds.
    pub(super) is_ending: bool,
    /// Whether a report is due before the next heartbeat.
    pub(super) is_dirty: bool,
}

impl MonitorSession {
    pub(super) fn new(now: Timestamp, number: SessionNumber, settings: &HoldSettings) -> Self {
        Self {
            monitor_epoch: None,
            number,
            last_report: ReportNumber::ZERO,
            sent: VecDeque::new(),
            last_sent: None,
            lease_until: now + settings.lease,
            first_change: ChangeNumber(1),
            changes: VecDeque::new(),
            known: BTreeMap::new(),
            added: BTreeMap::new(),
            is_ending: false,
            is_dirty: true,
        }
    }

    /// Registers a hold, unless the monitor knows it already and its removal is not reported.
    pub(super) fn add(&mut self, hold: HoldId) {
        if self.known.get(&hold).is_some_and(|known| !known.removed) {
            return;
        }
        let number = self.push(Change::Add(hold.clone()));
        self.added.insert(number, hold.clone());
        let removed = false;
        self.known.insert(hold, KnownHold { number, removed });
    }

    /// Reports the removal of a hold that the monitor may know.
    pub(super) fn remove(&mut self, hold: &HoldId) {
        let known = self.known.get_mut(hold).filter(|known| !known.removed);
        if let Some(known) = known {
            known.removed = true;
            let number = known.number;
            self.push(Change::Remove(number));
        }
    }

    fn push(&mut self, change: Change) -> ChangeNumber {
        let number = ChangeNumber(self.first_change.0 + self.changes.len() as u64);
        self.changes.push_back(change);
        self.is_dirty = true;
        number
    }

    pub(super) fn is_due(&self, now: Timestamp, settings: &HoldSettings) -> bool {
        let elapsed = |last| now.since(last) >= settings.heartbeat;
        self.is_dirty || self.last_sent.is_none_or(elapsed)
    }

    /// Applies an answer. Returns the holds that the monitor has newly registered.
    pub(super) fn acknowledge(&mut self, ack: &Ack, settings: &HoldSettings) -> Vec<HoldId> {
        if let Some((_, sent)) = self.sent.iter().find(|(number, _)| *number == ack.number) {
            self.lease_until = self.lease_until.max(*sent + settings.lease);
        }
        self.sent.retain(|(number, _)| *number > ack.number);
        let done = (ack.applied_through.0 + 1).saturating_sub(self.first_change.0);
        let done = self.changes.len().min(done as usize);
        self.is_dirty |= done > 0 && self.changes.len() > MAX_CHANGES;
        self.first_change = ChangeNumber(self.first_change.0 + done as u64);
        let done: Vec<Change> = self.changes.drain(..done).collect();
        done.into_iter()
            .filter_map(|change| match change {
                Change::Add(hold) => Some(hold),
                Change::Remove(number) => {
                    self.removal_applied(number);
                    None
                }
            })
            .collect()
    }

    /// The monitor removed the hold added by a change; it may know the hold from a later one.
    fn removal_applied(&mut self, number: ChangeNumber) {
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

    pub(super) fn is_finished(&self) -> bool {
        self.is_ending && self.changes.is_empty() && self.known.is_empty()
    }

    /// Creates the next report, with the first unacknowledged changes.
    pub(super) fn report(
        &mut self,
        now: Timestamp,
        owner: &InstanceId,
        incarnation: Incarnation,
    ) -> Report {
        self.last_report = self.last_report.next();
        self.sent.push_back((self.last_report, now));
        self.last_sent = Some(now);
        self.is_dirty = false;
        Report {
            owner: owner.clone(),
            incarnation,
            session: self.number,
            monitor_epoch: self.monitor_epoch,
            number: self.last_report,
            first_change: self.first_change,
            changes: self.changes.iter().take(MAX_CHANGES).cloned().collect(),
        }
    }
}
