//! Account quotas that this gateway may use without asking the leader for each request.
//!
//! Requests to plain services are charged to quota borrowed from the leader ahead of demand.
//! While no leader responds, [`mimosa_limit::leaderless`] decides.

use std::collections::HashMap;
use std::collections::HashSet;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;
use std::time::Duration;

use mimosa_limit::leaderless::AbsenceReport;
use mimosa_limit::leaderless::LeaderlessAdmission;
use mimosa_limit::quota::OverQuota;
use mimosa_limit::quota::QuotaLimits;
use mimosa_protocol::AccountId;
use mimosa_protocol::Timestamp;
use mimosa_protocol::TokenRate;
use mimosa_protocol::Tokens;
use mimosa_route::DocumentVersion;
use mimosa_route::RouteTable;
use tokio::sync::Notify;

/// Period of average use that is borrowed ahead.
const BORROW_AHEAD: Duration = Duration::from_secs(1);
/// Number of requests like the current one that a loan covers at least.
const MIN_BORROWED_REQUESTS: u64 = 5;
/// Expiry of borrowed tokens; short, so that a lowered quota takes effect soon.
const BORROWED_TTL: Duration = Duration::from_secs(3);

/// Quota that this gateway may use locally.
#[derive(Default)]
pub(crate) struct LocalQuota {
    inner: Mutex<Inner>,
    /// Wakes requests that wait for the leader's response.
    pub(crate) response: Notify,
}

#[derive(Default)]
struct Inner {
    borrowed: HashMap<AccountId, BorrowedQuota>,
    borrow_pending: HashSet<AccountId>,
    not_leader: HashSet<AccountId>,
    /// Admission while no leader responds.
    leaderless: LeaderlessAdmission,
    /// Document version and number of gateways from which `leaderless` was configured.
    configured: Option<(DocumentVersion, u32)>,
}

#[derive(Default)]
struct BorrowedQuota {
    remaining: Tokens,
    expires_at: Timestamp,
    /// Recent use in tokens per second, as a decaying average over one second.
    recent_use: u64,
    updated_at: Timestamp,
    /// When the leader last granted nothing; cleared by the next grant.
    exhausted_at: Option<Timestamp>,
}

/// Result of charging a request.
#[derive(Debug, PartialEq, Eq)]
pub(crate) enum ChargeResult {
    /// The request was charged.
    Charged,
    /// The borrowed quota does not suffice; more must be borrowed first.
    Insufficient,
    /// The leader recently granted nothing, as the quota of the account is used up.
    Exhausted,
}

impl LocalQuota {
    /// Charges a request to the borrowed quota. Also returns the amount to borrow if the rest is
    /// low.
    pub(crate) fn charge(
        &self,
        now: Timestamp,
        account: &AccountId,
        cost: Tokens,
    ) -> (ChargeResult, Option<Tokens>) {
        /// Time after an empty grant before the leader is asked again.
        const EXHAUSTED_TTL: Duration = Duration::from_millis(100);
        let mut inner = self.lock();
        let borrowed = inner.borrowed.entry(account.clone()).or_default();
        borrowed.record_use(now, cost);
        if now >= borrowed.expires_at {
            borrowed.remaining = Tokens::ZERO;
        }
        let requested = borrowed.amount_to_borrow(cost);
        let result = if borrowed.remaining >= cost {
            borrowed.remaining = borrowed.remaining.saturating_sub(cost);
            ChargeResult::Charged
        } else if borrowed
            .exhausted_at
            .is_some_and(|at| now.since(at) < EXHAUSTED_TTL)
        {
            return (ChargeResult::Exhausted, None);
        } else {
            ChargeResult::Insufficient
        };
        let is_low = borrowed.remaining.0 < requested.0 / 2;
        let borrow = is_low && inner.borrow_pending.insert(account.clone());
        (result, borrow.then_some(requested))
    }

    /// Adds quota that the leader granted, and wakes the requests that wait for it.
    pub(crate) fn on_granted(&self, now: Timestamp, account: &AccountId, granted: Tokens) {
        let mut inner = self.lock();
        inner.borrow_pending.remove(account);
        let borrowed = inner.borrowed.entry(account.clone()).or_default();
        borrowed.remaining += granted;
        borrowed.expires_at = now + BORROWED_TTL;
        borrowed.exhausted_at = (granted == Tokens::ZERO).then_some(now);
        drop(inner);
        self.response.notify_waiters();
    }

    /// Handles the response that the receiver is not the leader; waiting requests use the fallback.
    pub(crate) fn on_not_leader(&self, account: &AccountId) {
        let mut inner = self.lock();
        inner.borrow_pending.remove(account);
        inner.not_leader.insert(account.clone());
        drop(inner);
        self.response.notify_waiters();
    }

    /// Whether the last response for an account was that the receiver is not the leader.
    pub(crate) fn take_not_leader(&self, account: &AccountId) -> bool {
        self.lock().not_leader.remove(account)
    }

    /// Handles a missing response, so that the leader can be asked again.
    pub(crate) fn on_no_response(&self, account: &AccountId) {
        self.lock().borrow_pending.remove(account);
    }

    /// Decides on a request while no leader responds, from a random number; see
    /// [`LeaderlessAdmission::charge`].
    pub(crate) fn charge_without_leader(
        &self,
        now: Timestamp,
        account: &AccountId,
        cost: Tokens,
        random: u64,
    ) -> Result<(), OverQuota> {
        self.lock().leaderless.charge(now, account, cost, random)
    }

    /// Replaces the accounts whose demand exceeds their rate.
    pub(crate) fn set_overloaded(&self, accounts: Vec<(AccountId, u16)>) {
        self.lock().leaderless.set_overloaded(accounts);
    }

    /// Records a heartbeat of the leader of a term. Returns what is to be reported to it; see
    /// [`LeaderlessAdmission::on_leader_heard`].
    pub(crate) fn on_leader_heard(&self, now: Timestamp, term: u64) -> Option<AbsenceReport> {
        self.lock().leaderless.on_leader_heard(now, term)
    }

    /// Divides the account quotas evenly by the number of gateways.
    pub(crate) fn configure(&self, now: Timestamp, table: &RouteTable, gateways: u32) {
        let mut inner = self.lock();
        let version = table.configuration().version;
        if inner.configured == Some((version, gateways)) {
            return;
        }
        inner.configured = Some((version, gateways));
        let accounts = table.configuration().accounts.iter();
        let limits = accounts.filter_map(|account| {
            let quota = account.quota?;
            let limits = QuotaLimits {
                rate: TokenRate(quota.rate.0),
                burst: quota.burst,
            };
            Some((account.id.clone(), limits))
        });
        inner.leaderless.configure(now, limits, gateways);
    }

    fn lock(&self) -> MutexGuard<'_, Inner> {
        self.inner.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl BorrowedQuota {
    fn record_use(&mut self, now: Timestamp, cost: Tokens) {
        let elapsed = now.since(self.updated_at).min(BORROW_AHEAD);
        let weight = BORROW_AHEAD.saturating_sub(elapsed).as_micros() as u64;
        self.recent_use = self.recent_use * weight / BORROW_AHEAD.as_micros() as u64 + cost.0;
        self.updated_at = now;
    }

    fn amount_to_borrow(&self, cost: Tokens) -> Tokens {
        Tokens(self.recent_use.max(cost.0 * MIN_BORROWED_REQUESTS))
    }
}
