//! The holder's side: slices received from one keeper, the amounts spent from them, and refunds
//! that the keeper has not acknowledged.

use std::collections::BTreeMap;
use std::collections::VecDeque;
use std::time::Duration;

use mimosa_protocol::AccountId;
use mimosa_protocol::Epoch;
use mimosa_protocol::Incarnation;
use mimosa_protocol::Timestamp;

use crate::message::AccountReport;
use crate::message::Answer;
use crate::message::Grant;
use crate::message::Holder;
use crate::message::Origin;
use crate::message::Partition;
use crate::message::Refund;
use crate::message::RefundNumber;
use crate::message::Report;
use crate::message::ReportNumber;
use crate::message::SliceNumber;
use crate::message::SliceState;
use crate::micro_tokens::MicroTokens;

/// Unacknowledged refunds kept. Further ones are dropped: their tokens stay charged.
const MAX_REFUNDS: usize = 4_096;

/// A slice held from a keeper.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Slice {
    number: SliceNumber,
    remaining: MicroTokens,
    /// Withdrawn, but neither spent nor restored yet.
    withdrawn: MicroTokens,
    spent: MicroTokens,
    expires_at: Timestamp,
    origin: Origin,
    /// The first report that says that the slice is closed.
    closed: Option<ReportNumber>,
    /// The last report that mentioned the slice, and the spent amount that it gave.
    last_reported: Option<(ReportNumber, MicroTokens)>,
    /// The spent amount that the keeper acknowledged.
    acknowledged: MicroTokens,
}

/// An amount withdrawn from a slice.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct SlicePart {
    /// The slice, in the keeper epoch of [`HeldSlices::epoch`].
    pub number: SliceNumber,
    /// The share that the slice was allocated from; a refund of the amount names it.
    pub origin: Origin,
    /// The amount withdrawn, to be spent or restored in full.
    pub amount: MicroTokens,
}

/// The slices of one partition held from one keeper.
#[derive(Clone, Debug)]
pub struct HeldSlices {
    partition: Partition,
    holder: Holder,
    incarnation: Incarnation,
    lease: Duration,
    epoch: Epoch,
    last_report: ReportNumber,
    last_answered: ReportNumber,
    sent: VecDeque<(ReportNumber, Timestamp)>,
    slices: BTreeMap<AccountId, Vec<Slice>>,
    first_refund: RefundNumber,
    refunds: VecDeque<Refund>,
}

impl Slice {
    fn is_usable(&self, now: Timestamp, min_lease_left: Duration) -> bool {
        self.closed.is_none() && self.expires_at > now + min_lease_left
    }

    fn is_unacknowledged(&self) -> bool {
        self.closed.is_some() || self.spent != self.acknowledged
    }

    /// The state for the next report, which is recorded as sent.
    fn report(&mut self, number: ReportNumber) -> SliceState {
        self.last_reported = Some((number, self.spent));
        self.state()
    }

    fn acknowledge(&mut self, number: ReportNumber) {
        if let Some((reported, spent)) = self.last_reported
            && reported <= number
        {
            self.acknowledged = spent;
        }
    }

    fn state(&self) -> SliceState {
        SliceState {
            number: self.number,
            spent: self.spent,
            closed: self.closed.is_some(),
        }
    }
}

impl HeldSlices {
    /// Creates a holder's state without slices. A slice expires one `lease` after the report that
    /// requested it was sent.
    pub fn new(
        partition: Partition,
        holder: Holder,
        incarnation: Incarnation,
        lease: Duration,
    ) -> Self {
        Self {
            partition,
            holder,
            incarnation,
            lease,
            epoch: Epoch::ZERO,
            last_report: ReportNumber::ZERO,
            last_answered: ReportNumber::ZERO,
            sent: VecDeque::new(),
            slices: BTreeMap::new(),
            first_refund: RefundNumber::ZERO,
            refunds: VecDeque::new(),
        }
    }

    /// The newest known epoch of the keeper; zero if none is known yet.
    pub const fn epoch(&self) -> Epoch {
        self.epoch
    }

    /// Follows a new keeper. Slices and refunds of the old keeper are dropped, as the new one
    /// cannot know which of the refunds were counted.
    pub fn follow(&mut self, epoch: Epoch) {
        if epoch <= self.epoch {
            return;
        }
        self.epoch = epoch;
        self.slices.clear();
        self.first_refund = RefundNumber(self.first_refund.0 + self.refunds.len() as u64);
        self.refunds.clear();
    }

    /// Accounts with slices, also closed ones that the keeper has not acknowledged.
    pub fn accounts(&self) -> impl Iterator<Item = &AccountId> {
        self.slices.keys()
    }

    /// Whether there are slices of an account, also closed ones.
    pub fn holds(&self, account: &AccountId) -> bool {
        self.slices.contains_key(account)
    }

    /// Whether some refund is unacknowledged, so that the next report has to carry it.
    pub fn has_refunds(&self) -> bool {
        !self.refunds.is_empty()
    }

    /// Whether there are neither slices nor unacknowledged refunds.
    pub fn is_idle(&self) -> bool {
        self.slices.is_empty() && self.refunds.is_empty()
    }

    /// The amount left in slices whose lease lasts longer than `min_lease_left`.
    pub fn available(
        &self,
        now: Timestamp,
        account: &AccountId,
        min_lease_left: Duration,
    ) -> MicroTokens {
        self.slices
            .get(account)
            .map_or(MicroTokens::ZERO, |slices| {
                slices
                    .iter()
                    .filter(|slice| slice.is_usable(now, min_lease_left))
                    .fold(MicroTokens::ZERO, |sum, slice| sum.plus(slice.remaining))
            })
    }

    /// Withdraws up to an amount, oldest slices first. Each part is spent or restored later.
    pub fn withdraw(
        &mut self,
        now: Timestamp,
        account: &AccountId,
        amount: MicroTokens,
        min_lease_left: Duration,
    ) -> Vec<SlicePart> {
        let mut missing = amount;
        let mut parts = Vec::new();
        let slices = self.slices.get_mut(account);
        for slice in slices.into_iter().flatten() {
            let taken = slice.remaining.min(missing);
            if taken <= MicroTokens::ZERO || !slice.is_usable(now, min_lease_left) {
                continue;
            }
            slice.remaining = slice.remaining.minus(taken);
            slice.withdrawn = slice.withdrawn.plus(taken);
            missing = missing.minus(taken);
            parts.push(SlicePart {
                number: slice.number,
                origin: slice.origin.clone(),
                amount: taken,
            });
        }
        parts
    }

    /// Counts a withdrawn amount as spent; ignored if the slice was dropped.
    pub fn spend(&mut self, account: &AccountId, number: SliceNumber, amount: MicroTokens) {
        if let Some(slice) = self.slice(account, number) {
            slice.withdrawn = slice.withdrawn.minus(amount);
            slice.spent = slice.spent.plus(amount);
        }
    }

    /// Puts a withdrawn amount back into its slice; ignored if the slice was dropped.
    pub fn restore(&mut self, account: &AccountId, number: SliceNumber, amount: MicroTokens) {
        if let Some(slice) = self.slice(account, number) {
            slice.withdrawn = slice.withdrawn.minus(amount);
            slice.remaining = slice.remaining.plus(amount);
        }
    }

    fn slice(&mut self, account: &AccountId, number: SliceNumber) -> Option<&mut Slice> {
        let slices = self.slices.get_mut(account)?;
        slices.iter_mut().find(|slice| slice.number == number)
    }

    /// Queues a refund for the next report.
    pub fn refund(&mut self, refund: Refund) {
        if refund.amount > MicroTokens::ZERO && self.refunds.len() < MAX_REFUNDS {
            self.refunds.push_back(refund);
        }
    }

    /// Closes slices that are used up or whose lease lasts no longer than `min_lease_left`, and all
    /// of them if the account is idle. Slices with a withdrawn amount stay open.
    pub fn close(
        &mut self,
        now: Timestamp,
        account: &AccountId,
        min_lease_left: Duration,
        idle: bool,
    ) {
        let number = self.last_report.next();
        let slices = self.slices.get_mut(account);
        for slice in slices.into_iter().flatten() {
            let done = idle
                || slice.remaining == MicroTokens::ZERO
                || !slice.is_usable(now, min_lease_left);
            if done && slice.withdrawn == MicroTokens::ZERO && slice.closed.is_none() {
                slice.closed = Some(number);
            }
        }
    }

    /// Drops slices whose lease has expired; their keeper counts what remained as spent.
    pub fn expire(&mut self, now: Timestamp) {
        self.slices.retain(|_, slices| {
            slices.retain(|slice| slice.expires_at > now);
            !slices.is_empty()
        });
    }

    /// Whether the keeper has not acknowledged the state of some slice of an account.
    pub fn has_unacknowledged(&self, account: &AccountId) -> bool {
        let slices = self.slices.get(account);
        slices.into_iter().flatten().any(Slice::is_unacknowledged)
    }

    /// Whether a closed slice has a remaining amount, which is lost if the keeper does not learn of
    /// it before the lease expires.
    pub fn has_remainder_to_return(&self) -> bool {
        self.slices
            .values()
            .flatten()
            .any(|slice| slice.closed.is_some() && slice.remaining > MicroTokens::ZERO)
    }

    /// The states of an account's slices for the next report.
    pub fn report_slices(&mut self, account: &AccountId) -> Vec<SliceState> {
        let number = self.last_report.next();
        let slices = self.slices.get_mut(account);
        slices
            .into_iter()
            .flatten()
            .map(|slice| slice.report(number))
            .collect()
    }

    /// Creates the next report, with all unacknowledged refunds.
    pub fn report(&mut self, now: Timestamp, accounts: Vec<AccountReport>) -> Report {
        self.last_report = self.last_report.next();
        self.sent.retain(|(_, sent)| now.since(*sent) < self.lease);
        self.sent.push_back((self.last_report, now));
        Report {
            partition: self.partition,
            holder: self.holder.clone(),
            incarnation: self.incarnation,
            epoch: self.epoch,
            number: self.last_report,
            accounts,
            first_refund: self.first_refund,
            refunds: self.refunds.iter().cloned().collect(),
        }
    }

    /// Applies an answer. Returns whether it was new and from the current keeper.
    pub fn accept(&mut self, now: Timestamp, answer: &Answer) -> bool {
        let stale = answer.number <= self.last_answered || answer.number > self.last_report;
        if answer.incarnation != self.incarnation || answer.epoch < self.epoch || stale {
            return false;
        }
        self.follow(answer.epoch);
        self.last_answered = answer.number;
        self.acknowledge(answer);
        for account in &answer.accounts {
            for grant in &account.slices {
                self.add_grant(now, &account.account, grant);
            }
        }
        true
    }

    fn acknowledge(&mut self, answer: &Answer) {
        let acknowledged = answer.next_refund.0.saturating_sub(self.first_refund.0);
        let acknowledged = self.refunds.len().min(acknowledged as usize);
        self.refunds.drain(..acknowledged);
        self.first_refund = RefundNumber(self.first_refund.0 + acknowledged as u64);
        self.slices.retain(|_, slices| {
            slices
                .iter_mut()
                .for_each(|slice| slice.acknowledge(answer.number));
            slices.retain(|slice| slice.closed.is_none_or(|number| number > answer.number));
            !slices.is_empty()
        });
    }

    fn add_grant(&mut self, now: Timestamp, account: &AccountId, grant: &Grant) {
        let sent = self.sent.iter().find(|(number, _)| *number == grant.report);
        let Some(expires_at) = sent.map(|(_, sent)| *sent + self.lease) else {
            return;
        };
        let known = self.slice(account, grant.number).is_some();
        if known || expires_at <= now {
            return;
        }
        self.slices.entry(account.clone()).or_default().push(Slice {
            number: grant.number,
            remaining: grant.amount,
            withdrawn: MicroTokens::ZERO,
            spent: MicroTokens::ZERO,
            expires_at,
            origin: grant.origin.clone(),
            closed: None,
            last_reported: None,
            acknowledged: MicroTokens::ZERO,
        });
    }
}
