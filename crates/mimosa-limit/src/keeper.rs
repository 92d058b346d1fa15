//! The rate keeper of a partition in one data centre: it allocates slices of the data centre's
//! share to entries, lends unused tokens to other data centres and borrows from them.
//!
//! The keeper is elected elsewhere. The role comes with an epoch and a lease; leases of different
//! epochs must not overlap. A new keeper grants nothing until every slice and loan of its
//! predecessor has expired, and then starts from an empty bucket.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

use mimosa_protocol::AccountId;
use mimosa_protocol::Configuration;
use mimosa_protocol::DataCentreId;
use mimosa_protocol::Epoch;
use mimosa_protocol::Incarnation;
use mimosa_protocol::Revision;
use mimosa_protocol::Timestamp;
use mimosa_protocol::TokenRate;

use crate::account::AccountState;
use crate::account::Source;
use crate::bucket::TokenBucket;
use crate::held::HeldSlices;
use crate::held::SlicePart;
use crate::message::Answer;
use crate::message::Holder;
use crate::message::Origin;
use crate::message::Partition;
use crate::message::Refund;
use crate::message::RefundNumber;
use crate::message::Report;
use crate::message::ReportNumber;
use crate::message::SliceNumber;
use crate::micro_tokens::MicroTokens;
use crate::settings::Settings;
use crate::share::Shares;
use crate::share::changed_accounts;

mod borrow;
mod grant;

/// How long a removed account is remembered, so that it does not return with a full burst.
const TOMBSTONE_LIFETIME: Duration = Duration::from_secs(3_600);

/// Input of a keeper.
#[derive(Clone, Debug)]
pub enum Event {
    /// This instance holds the keeper role until a time; repeated to renew it.
    Role {
        /// The epoch of the role. An epoch below the highest known one is ignored.
        epoch: Epoch,
        /// When the role's lease ends, by the clock of this instance.
        until: Timestamp,
    },
    /// The configuration changed. A revision that is not newer is ignored.
    Configured {
        /// The complete new configuration.
        configuration: Arc<Configuration>,
        /// The accounts added, changed or removed since the revision before.
        changed: Arc<[AccountId]>,
    },
    /// Another data centre no longer uses any revision older than this one; see
    /// [`Shares::confirm`].
    Confirmed {
        /// The data centre that confirms.
        data_centre: DataCentreId,
        /// The oldest revision that it may still use.
        revision: Revision,
    },
    /// A report arrived from an entry, or from the keeper of another data centre.
    Report(Report),
    /// The answer of another data centre's keeper to a report.
    Answer(Answer),
    /// Time has passed; due once per heartbeat.
    Tick,
}

/// Output of a keeper.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Action {
    /// Send an answer to a holder.
    Answer(Holder, Answer),
    /// Send a report to the keeper of the same partition in another data centre.
    Report(DataCentreId, Report),
}

#[derive(Clone, Debug, Default)]
struct HolderState {
    incarnation: Incarnation,
    last_report: ReportNumber,
    next_refund: RefundNumber,
    last_heard: Timestamp,
}

#[derive(Clone, Copy, Debug)]
struct Role {
    epoch: Epoch,
    until: Timestamp,
    /// When nothing granted by the predecessor can be in use any more.
    ready_at: Timestamp,
}

/// The keeper of one partition. It also exists while another instance has the role.
#[derive(Clone, Debug)]
pub struct Keeper {
    settings: Settings,
    partition: Partition,
    own_data_centre: DataCentreId,
    shares: Shares,
    role: Option<Role>,
    /// The highest known epoch; a role with a lower one is ignored.
    highest_epoch: Epoch,
    accounts: BTreeMap<AccountId, AccountState>,
    tombstones: BTreeMap<AccountId, Timestamp>,
    holders: BTreeMap<Holder, HolderState>,
    /// Loans held from other data centres.
    loans: BTreeMap<DataCentreId, HeldSlices>,
    last_slice: SliceNumber,
    next_lender: usize,
    /// Whether an account has begun to lack tokens, so that loans are requested at once.
    borrow_now: bool,
}

impl Keeper {
    /// Creates a keeper without the role, which grants nothing.
    pub fn new(
        now: Timestamp,
        settings: Settings,
        partition: Partition,
        own_data_centre: DataCentreId,
        configuration: Arc<Configuration>,
    ) -> Self {
        Self {
            settings,
            partition,
            shares: Shares::new(now, own_data_centre.clone(), configuration),
            own_data_centre,
            role: None,
            highest_epoch: Epoch::ZERO,
            accounts: BTreeMap::new(),
            tombstones: BTreeMap::new(),
            holders: BTreeMap::new(),
            loans: BTreeMap::new(),
            last_slice: SliceNumber::ZERO,
            next_lender: 0,
            borrow_now: false,
        }
    }

    /// Handles an event and returns the actions to carry out.
    pub fn handle(&mut self, now: Timestamp, event: Event) -> Vec<Action> {
        match event {
            Event::Role { epoch, until } => self.assume_role(now, epoch, until),
            Event::Configured {
                configuration,
                changed,
            } => self.configure(now, configuration, &changed),
            Event::Confirmed {
                data_centre,
                revision,
            } => self.confirm(now, data_centre, revision),
            Event::Report(report) => return self.handle_report(now, &report),
            Event::Answer(answer) => return self.handle_answer(now, &answer),
            Event::Tick => return self.tick(now),
        }
        Vec::new()
    }

    /// The newest revision whose shares have been in use here for so long that everything granted
    /// under an older one has expired.
    pub fn settled(&self, now: Timestamp) -> Revision {
        self.shares.settled(now, self.settings.takeover_delay())
    }

    /// Number of accounts with state; all others have a full bucket and no slices.
    pub fn active_accounts(&self) -> usize {
        self.accounts.len()
    }

    /// Whether the keeper may grant slices now.
    pub fn is_ready(&self, now: Timestamp) -> bool {
        self.role
            .is_some_and(|role| role.ready_at <= now && now < role.until)
    }

    fn assume_role(&mut self, now: Timestamp, epoch: Epoch, until: Timestamp) {
        if epoch < self.highest_epoch {
            return;
        }
        self.highest_epoch = epoch;
        if let Some(role) = self.role.as_mut().filter(|role| role.epoch == epoch) {
            role.until = until.max(role.until);
            return;
        }
        self.role = Some(Role {
            epoch,
            until,
            ready_at: now + self.settings.takeover_delay(),
        });
        self.accounts.clear();
        self.holders.clear();
        self.loans.clear();
        self.last_slice = SliceNumber::ZERO;
    }

    fn configure(
        &mut self,
        now: Timestamp,
        configuration: Arc<Configuration>,
        changed: &[AccountId],
    ) {
        let old = self.shares.clone();
        if !self.shares.apply(now, configuration) {
            return;
        }
        if old.data_centres() != self.shares.data_centres() {
            self.preserve_levels(now, &old);
        }
        let missed_revisions =
            self.shares.configuration().revision > old.configuration().revision.next();
        if missed_revisions {
            let all = changed_accounts(old.configuration(), self.shares.configuration());
            self.apply_account_changes(now, &old, &all);
        } else {
            self.apply_account_changes(now, &old, changed);
        }
        self.set_limits(now);
    }

    fn apply_account_changes(&mut self, now: Timestamp, old: &Shares, changed: &[AccountId]) {
        let partition = self.partition;
        changed
            .iter()
            .filter(|account| Partition::of(account) == partition)
            .for_each(|account| self.apply_account_change(now, old, account));
    }

    /// An account whose limits change keeps its level; a new one starts with a full burst.
    fn apply_account_change(&mut self, now: Timestamp, old: &Shares, account: &AccountId) {
        let existed = old.configuration().accounts.contains_key(account);
        let exists = self.shares.configuration().accounts.contains_key(account);
        if existed && !exists {
            self.tombstones.insert(account.clone(), now);
        }
        if existed || self.tombstones.contains_key(account) {
            self.ensure_account_under(now, old, account);
            return;
        }
        let share = self.shares.share_of(account);
        let bucket = TokenBucket::full(now, share.rate, share.burst);
        self.accounts
            .entry(account.clone())
            .or_insert_with(|| AccountState::new(bucket));
    }

    /// All accounts keep their levels when the shares change with the list of data centres.
    fn preserve_levels(&mut self, now: Timestamp, old: &Shares) {
        let partition = self.partition;
        let accounts = &old.configuration().accounts;
        accounts
            .keys()
            .filter(|account| Partition::of(account) == partition)
            .for_each(|account| self.ensure_account_under(now, old, account));
    }

    fn confirm(&mut self, now: Timestamp, data_centre: DataCentreId, revision: Revision) {
        let old = self.shares.clone();
        if self.shares.confirm(data_centre, revision) {
            self.preserve_levels(now, &old);
            self.set_limits(now);
        }
    }

    fn set_limits(&mut self, now: Timestamp) {
        for (account, state) in &mut self.accounts {
            let share = self.shares.share_of(account);
            state.bucket.set_limits(now, share.rate, share.burst);
        }
    }

    /// The amount that an account without state has accrued since this keeper became ready.
    fn accrued_since_ready(&self, now: Timestamp, rate: TokenRate) -> MicroTokens {
        let ready_at = self.role.map_or(now, |role| role.ready_at);
        MicroTokens::accrued(rate, now.since(ready_at))
    }

    /// Creates the state of an account under the given shares if it has none.
    fn ensure_account_under(&mut self, now: Timestamp, shares: &Shares, account: &AccountId) {
        if self.accounts.contains_key(account) {
            return;
        }
        let share = shares.share_of(account);
        let level = self.accrued_since_ready(now, share.rate);
        let bucket = TokenBucket::new(now, share.rate, share.burst, level);
        self.accounts
            .insert(account.clone(), AccountState::new(bucket));
    }

    fn ensure_account(&mut self, now: Timestamp, account: &AccountId) {
        let shares = self.shares.clone();
        self.ensure_account_under(now, &shares, account);
    }

    /// Answers a report, and requests loans at once when an account begins to lack tokens.
    fn handle_report(&mut self, now: Timestamp, report: &Report) -> Vec<Action> {
        let mut actions: Vec<Action> = self.answer(now, report).into_iter().collect();
        if std::mem::take(&mut self.borrow_now) {
            actions.extend(self.borrow(now));
        }
        actions
    }

    fn tick(&mut self, now: Timestamp) -> Vec<Action> {
        if !self.is_ready(now) {
            return Vec::new();
        }
        self.expire(now);
        self.borrow(now)
    }

    fn expire(&mut self, now: Timestamp) {
        let max_age = self.settings.heartbeat * 4;
        let mut spent = Vec::new();
        for (account, state) in &mut self.accounts {
            let parts = state.expire(now);
            spent.extend(parts.into_iter().map(|part| (account.clone(), part)));
            state
                .unmet
                .retain(|_, unmet| now.since(unmet.updated_at) <= max_age);
            state.bucket.advance(now);
        }
        for (account, part) in spent {
            self.spend_loan(&account, &part);
        }
        self.tombstones
            .retain(|_, removed| now.since(*removed) < TOMBSTONE_LIFETIME);
        self.drop_idle(now);
    }

    /// Drops the state of accounts that would be created again with the same full bucket.
    fn drop_idle(&mut self, now: Timestamp) {
        let mut accounts = std::mem::take(&mut self.accounts);
        accounts.retain(|account, state| {
            let share = self.shares.share_of(account);
            let refills_fully = self.accrued_since_ready(now, share.rate) >= share.burst.into();
            let idle = state.is_idle() && state.unmet.is_empty();
            !(idle && refills_fully) || self.tombstones.contains_key(account)
        });
        self.accounts = accounts;
        let takeover_delay = self.settings.takeover_delay();
        self.holders
            .retain(|_, holder| now.since(holder.last_heard) <= takeover_delay * 4);
    }

    fn spend_loan(&mut self, account: &AccountId, part: &SlicePart) {
        if let Some(loans) = self.loans.get_mut(&part.origin.data_centre) {
            loans.spend(account, part.number, part.amount);
        }
    }

    fn restore_loan(&mut self, account: &AccountId, part: &SlicePart) {
        if let Some(loans) = self.loans.get_mut(&part.origin.data_centre) {
            loans.restore(account, part.number, part.amount);
        }
    }

    fn refund(&mut self, now: Timestamp, refund: &Refund) {
        let epoch = self.role.map_or(Epoch::ZERO, |role| role.epoch);
        if refund.origin.data_centre != self.own_data_centre {
            if let Some(loans) = self.loans.get_mut(&refund.origin.data_centre) {
                loans.refund(refund.clone());
            }
        } else if refund.origin.epoch == epoch
            && let Some(state) = self.accounts.get_mut(&refund.account)
        {
            state.bucket.refund(now, refund.origin.since, refund.amount);
        }
    }

    fn origin(&self, now: Timestamp, epoch: Epoch, source: &Source) -> Origin {
        match source {
            Source::Loan(part) => part.origin.clone(),
            Source::Own => Origin {
                data_centre: self.own_data_centre.clone(),
                epoch,
                since: now,
            },
        }
    }
}
