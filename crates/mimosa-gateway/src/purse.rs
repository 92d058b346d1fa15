//! The parts of accounts' quotas that this gateway may use by itself.
//!
//! Small requests are admitted from a part that was borrowed from the leader ahead of demand. While
//! no leader answers, each gateway counts against its even share.

use std::collections::HashMap;
use std::collections::HashSet;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;
use std::time::Duration;

use mimosa_limit::quota::InitialLevel;
use mimosa_limit::quota::OverQuota;
use mimosa_limit::quota::QuotaLimits;
use mimosa_limit::quota::Quotas;
use mimosa_protocol::AccountId;
use mimosa_protocol::Timestamp;
use mimosa_protocol::TokenRate;
use mimosa_protocol::Tokens;
use mimosa_route::DocumentVersion;
use mimosa_route::RouteTable;
use tokio::sync::Notify;

/// Time of usual use that is borrowed ahead.
const AHEAD: Duration = Duration::from_secs(1);
/// Requests that are borrowed for at least.
const LEAST_REQUESTS: u64 = 5;
/// Time after which borrowed tokens are not used any more: a lower quota must hold soon.
const LIFE: Duration = Duration::from_secs(3);

/// Part of a second's rate that a gateway saves up for a time without a leader, as a divisor. More
/// would come on top of what the leader gave out just before.
const ALONE_BURST: u64 = 4;

/// What this gateway may use.
#[derive(Default)]
pub(crate) struct Purse {
    inner: Mutex<Inner>,
    /// Wakes requests that wait for an answer of the leader.
    pub(crate) lent: Notify,
}

#[derive(Default)]
struct Inner {
    held: HashMap<AccountId, Held>,
    asked: HashSet<AccountId>,
    not_lending: HashSet<AccountId>,
    /// Used while no leader answers.
    alone: Quotas,
    /// The document and the number of gateways that `alone` comes from.
    configured: Option<(DocumentVersion, u32)>,
}

#[derive(Default)]
struct Held {
    left: Tokens,
    until: Timestamp,
    /// Tokens used lately, as an average over about a second.
    used: u64,
    counted: Timestamp,
    /// Whether the last answer was less than what was asked for, and when.
    short: Option<Timestamp>,
}

/// What a request of an account gets.
#[derive(Debug, PartialEq, Eq)]
pub(crate) enum Drawn {
    /// It is paid.
    Paid,
    /// The leader must be asked first.
    Empty,
    /// The leader said a moment ago that the account has no more.
    Refused,
}

impl Purse {
    /// Pays for a request from what is held. Also returns how much to borrow, if it is time to.
    pub(crate) fn draw(
        &self,
        now: Timestamp,
        account: &AccountId,
        cost: Tokens,
    ) -> (Drawn, Option<Tokens>) {
        /// How long a short answer stands before the leader is asked again.
        const SHORT_LIFE: Duration = Duration::from_millis(100);
        let mut inner = self.lock();
        let held = inner.held.entry(account.clone()).or_default();
        held.count(now, cost);
        if now >= held.until {
            held.left = Tokens::ZERO;
        }
        let wanted = held.wanted(cost);
        let drawn = if held.left >= cost {
            held.left = held.left.saturating_sub(cost);
            Drawn::Paid
        } else if held.short.is_some_and(|at| now.since(at) < SHORT_LIFE) {
            return (Drawn::Refused, None);
        } else {
            Drawn::Empty
        };
        let is_low = held.left.0 < wanted.0 / 2;
        let borrow = is_low && inner.asked.insert(account.clone());
        (drawn, borrow.then_some(wanted))
    }

    /// The leader lent something.
    pub(crate) fn lent(&self, now: Timestamp, account: &AccountId, lent: Tokens) {
        let mut inner = self.lock();
        inner.asked.remove(account);
        let held = inner.held.entry(account.clone()).or_default();
        held.left += lent;
        held.until = now + LIFE;
        held.short = (lent == Tokens::ZERO).then_some(now);
        drop(inner);
        self.lent.notify_waiters();
    }

    /// The one that was asked does not lead: requests go on without it.
    pub(crate) fn refused(&self, account: &AccountId) {
        let mut inner = self.lock();
        inner.asked.remove(account);
        inner.not_lending.insert(account.clone());
        drop(inner);
        self.lent.notify_waiters();
    }

    /// Whether the last answer for an account was that the one asked does not lead.
    pub(crate) fn take_not_lending(&self, account: &AccountId) -> bool {
        self.lock().not_lending.remove(account)
    }

    /// The leader did not answer: it may be asked again.
    pub(crate) fn unanswered(&self, account: &AccountId) {
        self.lock().asked.remove(account);
    }

    /// Counts a request against this gateway's even share.
    pub(crate) fn draw_alone(
        &self,
        now: Timestamp,
        account: &AccountId,
        cost: Tokens,
    ) -> Result<(), OverQuota> {
        self.lock().alone.charge_allowing_debt(now, account, cost)
    }

    /// Adopts the quotas, of which this gateway's even share is one of so many.
    pub(crate) fn configure(&self, now: Timestamp, table: &RouteTable, gateways: u32) {
        let mut inner = self.lock();
        let version = table.configuration().version;
        if inner.configured == Some((version, gateways)) {
            return;
        }
        inner.configured = Some((version, gateways));
        let gateways = u64::from(gateways.max(1));
        let accounts = table.configuration().accounts.iter();
        let limits = accounts.filter_map(|account| {
            let quota = account.quota?;
            let limits = QuotaLimits {
                rate: TokenRate(quota.rate.0 / gateways),
                burst: Tokens(quota.rate.0 / gateways / ALONE_BURST),
            };
            Some((account.id.clone(), limits))
        });
        inner.alone.configure(now, limits, InitialLevel::Full);
    }

    fn lock(&self) -> MutexGuard<'_, Inner> {
        self.inner.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl Held {
    fn count(&mut self, now: Timestamp, cost: Tokens) {
        let passed = now.since(self.counted).min(AHEAD);
        let left = AHEAD.saturating_sub(passed).as_micros() as u64;
        self.used = self.used * left / AHEAD.as_micros() as u64 + cost.0;
        self.counted = now;
    }

    fn wanted(&self, cost: Tokens) -> Tokens {
        Tokens(self.used.max(cost.0 * LEAST_REQUESTS))
    }
}
