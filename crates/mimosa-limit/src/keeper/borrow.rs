//! Loans from other data centres, requested when the own share does not suffice.

use std::collections::BTreeMap;
use std::collections::BTreeSet;

use mimosa_protocol::AccountId;
use mimosa_protocol::DataCentreId;
use mimosa_protocol::Incarnation;
use mimosa_protocol::Timestamp;
use mimosa_protocol::Tokens;

use crate::held::HeldSlices;
use crate::keeper::Action;
use crate::keeper::Keeper;
use crate::message::AccountAnswer;
use crate::message::AccountReport;
use crate::message::Answer;
use crate::message::Holder;

/// The tokens to borrow for one account.
#[derive(Clone, Copy, Debug, Default)]
struct LoanDemand {
    shortfall: Tokens,
    prefetch: Tokens,
}

impl LoanDemand {
    fn is_zero(self) -> bool {
        self.shortfall == Tokens::ZERO && self.prefetch == Tokens::ZERO
    }

    /// The part requested from one of several lenders.
    fn part(self, lenders: u64) -> Self {
        Self {
            shortfall: Tokens(self.shortfall.0.div_ceil(lenders)),
            prefetch: Tokens(self.prefetch.0 / lenders),
        }
    }
}

impl Keeper {
    /// Reports on the loans held and requests further ones for unmet demand.
    pub(super) fn borrow(&mut self, now: Timestamp) -> Vec<Action> {
        let demand = self.loan_demand(now);
        self.close_loans(now, &demand);
        let lenders = self.select_lenders(!demand.is_empty());
        let lender_count = lenders.len().max(1) as u64;
        self.open_loans(&lenders);
        let mut actions = Vec::new();
        for (data_centre, loans) in &mut self.loans {
            let is_lender = lenders.contains(data_centre);
            if loans.is_idle() && !is_lender {
                continue;
            }
            let ids: BTreeSet<AccountId> = loans
                .accounts()
                .chain(demand.keys().filter(|_| is_lender))
                .cloned()
                .collect();
            let accounts: Vec<AccountReport> = ids
                .into_iter()
                .filter_map(|account| {
                    let demand = demand.get(&account).filter(|_| is_lender);
                    let demand = demand.copied().unwrap_or_default();
                    report_account(loans, account, demand.part(lender_count))
                })
                .collect();
            if accounts.is_empty() && !loans.has_refunds() {
                continue;
            }
            let report = loans.report(now, accounts);
            actions.push(Action::Report(data_centre.clone(), report));
        }
        actions
    }

    /// Applies an answer with loans, and requests more at once if the lender granted all that was
    /// requested and there is still unmet demand.
    pub(super) fn handle_answer(&mut self, now: Timestamp, answer: &Answer) -> Vec<Action> {
        if answer.partition != self.partition || !self.is_ready(now) {
            return Vec::new();
        }
        let loans = self.loans.get_mut(&answer.data_centre);
        let new = loans.is_some_and(|loans| loans.accept(now, answer));
        let demand = self.loan_demand(now);
        let lends_more = |answered: &AccountAnswer| {
            answered.retry_after.is_zero()
                && !answered.slices.is_empty()
                && demand.contains_key(&answered.account)
        };
        if new && answer.accounts.iter().any(lends_more) {
            self.borrow(now)
        } else {
            Vec::new()
        }
    }

    /// The demand of entries beyond the unallocated part of the own share and of held loans, and
    /// the prefetch that keeps accounts with slices here from using up the own share alone.
    fn loan_demand(&self, now: Timestamp) -> BTreeMap<AccountId, LoanDemand> {
        let max_age = self.settings.heartbeat * 2;
        self.accounts
            .iter()
            .filter(|(_, state)| state.has_entry_slices() || !state.unmet.is_empty())
            .filter_map(|(account, state)| {
                let available = state.unallocated().plus(self.available_loans(now, account));
                let shortfall = state
                    .unmet_by_entries(now, max_age)
                    .minus(available)
                    .or_zero();
                let half = self.half_burst(account);
                let low = state.unallocated() < half;
                let prefetch = half.minus(available).minus(shortfall).or_zero();
                let demand = LoanDemand {
                    shortfall: shortfall.tokens_ceil(),
                    prefetch: if low { prefetch.tokens() } else { Tokens::ZERO },
                };
                (!demand.is_zero()).then(|| (account.clone(), demand))
            })
            .collect()
    }

    /// Returns loans that no account needs, and those whose lease is too short to allocate slices
    /// from.
    fn close_loans(&mut self, now: Timestamp, demand: &BTreeMap<AccountId, LoanDemand>) {
        let min_lease_left = self.min_loan_lease_left();
        for loans in self.loans.values_mut() {
            loans.expire(now);
            let accounts: Vec<AccountId> = loans.accounts().cloned().collect();
            for account in accounts {
                let wanted = demand.contains_key(&account)
                    || self
                        .accounts
                        .get(&account)
                        .is_some_and(|state| state.has_entry_slices() || !state.unmet.is_empty());
                loans.close(now, &account, min_lease_left, !wanted);
            }
        }
    }

    /// Selects the data centres to borrow from, in round-robin order.
    fn select_lenders(&mut self, has_demand: bool) -> Vec<DataCentreId> {
        let others: Vec<DataCentreId> = self
            .shares
            .data_centres()
            .iter()
            .filter(|id| **id != self.own_data_centre)
            .cloned()
            .collect();
        if others.is_empty() || !has_demand {
            return Vec::new();
        }
        let count = self.settings.loan_fanout.min(others.len());
        let start = self.next_lender;
        self.next_lender = (start + count) % others.len();
        (0..count)
            .map(|i| others[(start + i) % others.len()].clone())
            .collect()
    }

    fn open_loans(&mut self, lenders: &[DataCentreId]) {
        let Some(role) = self.role else {
            return;
        };
        for lender in lenders.iter().filter(|id| **id != self.own_data_centre) {
            let holder = Holder::DataCentre(self.own_data_centre.clone());
            let incarnation = Incarnation(role.epoch.0);
            let lease = self.settings.loan_lease;
            let partition = self.partition;
            self.loans
                .entry(lender.clone())
                .or_insert_with(|| HeldSlices::new(partition, holder, incarnation, lease));
        }
    }
}

/// The report on one account, unless there is neither demand nor unacknowledged state.
fn report_account(
    loans: &mut HeldSlices,
    account: AccountId,
    demand: LoanDemand,
) -> Option<AccountReport> {
    if demand.is_zero() && !loans.has_unacknowledged(&account) {
        return None;
    }
    Some(AccountReport {
        slices: loans.report_slices(&account),
        account,
        head_shortfall: Tokens::ZERO,
        shortfall: demand.shortfall,
        prefetch: demand.prefetch,
    })
}
