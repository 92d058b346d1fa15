//! Answers to reports: the slices granted to holders.

use std::time::Duration;

use mimosa_protocol::AccountId;
use mimosa_protocol::Timestamp;
use mimosa_protocol::Tokens;

use crate::account::Allocation;
use crate::account::Source;
use crate::account::UnmetDemand;
use crate::keeper::Action;
use crate::keeper::HolderState;
use crate::keeper::Keeper;
use crate::local::NO_REFILL_RETRY;
use crate::message::AccountAnswer;
use crate::message::AccountReport;
use crate::message::Answer;
use crate::message::Grant;
use crate::message::Holder;
use crate::message::RefundNumber;
use crate::message::Report;
use crate::micro_tokens::MicroTokens;
use crate::share::Limits;

/// One holder may prefetch the spare amount divided by this.
const PREFETCH_DIVISOR: i64 = 4;
/// A prefetch smaller than the requested amount divided by this is not granted.
const MIN_PREFETCH_DIVISOR: i64 = 4;
/// Heartbeats in which loans from other data centres may arrive.
const LOAN_WAIT_HEARTBEATS: u32 = 2;
/// While entries of the own data centre hold slices, the unallocated amount divided by this may be
/// lent.
const LENDING_DIVISOR: i64 = 2;

impl Keeper {
    /// Answers a report, unless it is old, repeated, or not for this keeper.
    pub(super) fn answer(&mut self, now: Timestamp, report: &Report) -> Option<Action> {
        let role = self.role?;
        if report.partition != self.partition || !self.is_ready(now) {
            return None;
        }
        if report.epoch > role.epoch {
            self.highest_epoch = report.epoch;
            self.role = None;
            return None;
        }
        if !self.is_new(now, report) {
            return None;
        }
        let same_epoch = report.epoch == role.epoch;
        let accounts = report
            .accounts
            .iter()
            .map(|reported| self.answer_account(now, report, reported, same_epoch))
            .filter(|answer| !answer.slices.is_empty() || !answer.retry_after.is_zero())
            .collect();
        let next_refund = self.apply_refunds(now, report);
        let answer = Answer {
            partition: self.partition,
            data_centre: self.own_data_centre.clone(),
            epoch: role.epoch,
            number: report.number,
            incarnation: report.incarnation,
            next_refund,
            accounts,
        };
        Some(Action::Answer(report.holder.clone(), answer))
    }

    fn is_new(&mut self, now: Timestamp, report: &Report) -> bool {
        let holder = self.holders.entry(report.holder.clone()).or_default();
        if report.incarnation < holder.incarnation {
            return false;
        }
        if report.incarnation > holder.incarnation {
            *holder = HolderState {
                incarnation: report.incarnation,
                ..HolderState::default()
            };
        }
        let new = report.number > holder.last_report;
        holder.last_report = report.number.max(holder.last_report);
        holder.last_heard = now;
        new
    }

    /// Applies the refunds that are new, and returns the number of the next one expected.
    fn apply_refunds(&mut self, now: Timestamp, report: &Report) -> RefundNumber {
        let holder = self.holders.entry(report.holder.clone()).or_default();
        let next = holder.next_refund.max(report.first_refund);
        let skip = next.0 - report.first_refund.0;
        let count = (report.refunds.len() as u64).saturating_sub(skip);
        holder.next_refund = RefundNumber(next.0 + count);
        let next = holder.next_refund;
        report
            .refunds
            .iter()
            .skip(skip as usize)
            .for_each(|refund| self.refund(now, refund));
        next
    }

    fn answer_account(
        &mut self,
        now: Timestamp,
        report: &Report,
        reported: &AccountReport,
        same_epoch: bool,
    ) -> AccountAnswer {
        self.ensure_account(now, &reported.account);
        self.expire_slices(now, &reported.account);
        if same_epoch {
            self.apply_slice_states(now, report, reported);
        }
        let unmet = self.allocate_demand(now, report, reported);
        let limits = self.shares.account_limits(&reported.account);
        AccountAnswer {
            account: reported.account.clone(),
            slices: self.unreported_grants(report, reported, same_epoch),
            retry_after: self.retry_after(now, &unmet, limits),
            burst: limits.burst,
        }
    }

    fn expire_slices(&mut self, now: Timestamp, account: &AccountId) {
        let state = self.accounts.get_mut(account);
        let parts = state.map_or_else(Vec::new, |state| {
            state.bucket.advance(now);
            state.expire(now)
        });
        parts.iter().for_each(|part| self.spend_loan(account, part));
    }

    fn apply_slice_states(&mut self, now: Timestamp, report: &Report, reported: &AccountReport) {
        for slice in &reported.slices {
            let Some(state) = self.accounts.get_mut(&reported.account) else {
                return;
            };
            let allocation = state.allocations.get(&slice.number);
            if allocation.is_none_or(|allocation| !allocation.is_held_by(report)) {
                continue;
            }
            let spent = state.spend(now, slice.number, slice.spent);
            let released = slice.closed.then(|| state.release(slice.number));
            if let Some(part) = spent {
                self.spend_loan(&reported.account, &part);
            }
            if let Some(part) = released.flatten() {
                self.restore_loan(&reported.account, &part);
            }
        }
    }

    /// Allocates slices for a holder's demand and returns what remains unmet. Nothing is allocated
    /// to an entry if the available amount does not cover its first waiting request, so that others
    /// can use it.
    fn allocate_demand(
        &mut self,
        now: Timestamp,
        report: &Report,
        reported: &AccountReport,
    ) -> UnmetDemand {
        let mut unmet = self.demand_of(now, report, reported);
        let (own, loans) = self.available_for(now, &report.holder, &reported.account);
        let half = self.half_burst(&reported.account);
        if matches!(report.holder, Holder::DataCentre(_)) {
            let spare = own.minus(unmet.shortfall).minus(half).or_zero();
            let lent = unmet.shortfall.min(own).plus(unmet.prefetch.min(spare));
            self.allocate(now, report, &reported.account, Source::Own, lent);
            unmet.fill(lent);
        } else if own.plus(loans) >= unmet.head_shortfall {
            let spare = own.plus(loans).minus(unmet.shortfall).or_zero();
            let prefetch = prefetch_amount(unmet.prefetch, MicroTokens(spare.0 / PREFETCH_DIVISOR));
            let all = unmet.shortfall.plus(prefetch).min(own.plus(loans));
            let from_loans = if own < half {
                all.min(loans)
            } else {
                all.minus(own).or_zero()
            };
            self.allocate_from_loans(now, report, &reported.account, from_loans);
            self.allocate(
                now,
                report,
                &reported.account,
                Source::Own,
                all.minus(from_loans),
            );
            unmet.fill(all);
        }
        if let Some(state) = self.accounts.get_mut(&reported.account) {
            state.set_unmet(&report.holder, unmet);
        }
        self.borrow_now |= unmet.shortfall > MicroTokens::ZERO && unmet.since == now;
        unmet
    }

    /// Half of the share's burst. Below this level an account in use here draws on loans first, so
    /// that the shares of other data centres do not stay full, where they accrue nothing.
    pub(super) fn half_burst(&self, account: &AccountId) -> MicroTokens {
        MicroTokens(MicroTokens::from(self.shares.share_of(account).burst).0 / 2)
    }

    fn demand_of(&self, now: Timestamp, report: &Report, reported: &AccountReport) -> UnmetDemand {
        let known = self
            .accounts
            .get(&reported.account)
            .and_then(|state| state.unmet.get(&report.holder));
        UnmetDemand {
            head_shortfall: reported.head_shortfall.into(),
            shortfall: reported.shortfall.into(),
            prefetch: reported.prefetch.into(),
            since: known.map_or(now, |unmet| unmet.since),
            updated_at: now,
        }
    }

    /// The amounts that a holder may get from the own share and from loans. Entries that have
    /// waited longer go first, and other data centres get only what no entry lacks.
    fn available_for(
        &self,
        now: Timestamp,
        holder: &Holder,
        account: &AccountId,
    ) -> (MicroTokens, MicroTokens) {
        let Some(state) = self.accounts.get(account) else {
            return (MicroTokens::ZERO, MicroTokens::ZERO);
        };
        let max_age = self.settings.heartbeat * 2;
        if matches!(holder, Holder::Entry(_)) {
            let loans = self.available_loans(now, account);
            let before = state.head_shortfall_before(holder, now, max_age);
            let all = state.unallocated().plus(loans).minus(before).or_zero();
            let own = all.min(state.unallocated());
            return (own, all.minus(own));
        }
        if state.unmet_by_entries(now, max_age) > MicroTokens::ZERO {
            return (MicroTokens::ZERO, MicroTokens::ZERO);
        }
        let divisor = if state.has_entry_slices() {
            LENDING_DIVISOR
        } else {
            1
        };
        (
            MicroTokens(state.unallocated().0 / divisor),
            MicroTokens::ZERO,
        )
    }

    /// The amount of held loans that slices can be allocated from.
    pub(super) fn available_loans(&self, now: Timestamp, account: &AccountId) -> MicroTokens {
        let min_lease_left = self.min_loan_lease_left();
        self.loans.values().fold(MicroTokens::ZERO, |sum, loans| {
            sum.plus(loans.available(now, account, min_lease_left))
        })
    }

    fn allocate(
        &mut self,
        now: Timestamp,
        report: &Report,
        account: &AccountId,
        source: Source,
        amount: MicroTokens,
    ) {
        let Some(role) = self.role.filter(|_| amount > MicroTokens::ZERO) else {
            return;
        };
        let lease = match report.holder {
            Holder::Entry(_) => self.settings.slice_lease,
            Holder::DataCentre(_) => self.settings.loan_lease,
        };
        let allocation = Allocation {
            holder: report.holder.clone(),
            incarnation: report.incarnation,
            report: report.number,
            amount,
            spent: MicroTokens::ZERO,
            expires_at: now + lease + self.settings.lease_margin,
            origin: self.origin(now, role.epoch, &source),
            source,
        };
        self.last_slice = self.last_slice.next();
        if let Some(state) = self.accounts.get_mut(account) {
            state.add(self.last_slice, allocation);
        }
    }

    fn allocate_from_loans(
        &mut self,
        now: Timestamp,
        report: &Report,
        account: &AccountId,
        amount: MicroTokens,
    ) {
        let min_lease_left = self.min_loan_lease_left();
        let mut missing = amount;
        let mut parts = Vec::new();
        for loans in self.loans.values_mut() {
            let withdrawn = loans.withdraw(now, account, missing, min_lease_left);
            missing = withdrawn
                .iter()
                .fold(missing, |missing, part| missing.minus(part.amount));
            parts.extend(withdrawn);
        }
        for part in parts {
            let amount = part.amount;
            self.allocate(now, report, account, Source::Loan(part), amount);
        }
    }

    /// The lease that a loan must have left, as it must outlive the slices allocated from it.
    pub(super) fn min_loan_lease_left(&self) -> Duration {
        self.settings.slice_lease + self.settings.lease_margin
    }

    /// Grants that the report did not mention: new ones, and those whose answer was lost.
    fn unreported_grants(
        &self,
        report: &Report,
        reported: &AccountReport,
        same_epoch: bool,
    ) -> Vec<Grant> {
        let is_reported =
            |number| same_epoch && reported.slices.iter().any(|slice| slice.number == number);
        let allocations = self
            .accounts
            .get(&reported.account)
            .map(|state| &state.allocations);
        allocations
            .into_iter()
            .flatten()
            .filter(|(number, allocation)| allocation.is_held_by(report) && !is_reported(**number))
            .map(|(number, allocation)| allocation.grant(*number))
            .collect()
    }

    /// Estimates when the unmet demand can be served; soon while loans may still arrive.
    fn retry_after(&self, now: Timestamp, unmet: &UnmetDemand, limits: Limits) -> Duration {
        if unmet.shortfall <= MicroTokens::ZERO {
            return Duration::ZERO;
        }
        if limits.burst == Tokens::ZERO {
            return NO_REFILL_RETRY;
        }
        if now.since(unmet.since) < self.settings.heartbeat * LOAN_WAIT_HEARTBEATS {
            return self.settings.heartbeat;
        }
        unmet
            .shortfall
            .time_to_accrue(limits.rate)
            .unwrap_or(NO_REFILL_RETRY)
    }
}

/// The prefetch to grant; zero rather than many small slices.
fn prefetch_amount(requested: MicroTokens, spare: MicroTokens) -> MicroTokens {
    if spare.0 < requested.0 / MIN_PREFETCH_DIVISOR {
        MicroTokens::ZERO
    } else {
        requested.min(spare)
    }
}
