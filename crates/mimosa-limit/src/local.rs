//! A rate limiter that exchanges no messages: for a single entry, or as the baseline in which each
//! entry gets a fixed fraction of every rate and burst.

use std::collections::BTreeMap;
use std::time::Duration;

use mimosa_protocol::AccountId;
use mimosa_protocol::Configuration;
use mimosa_protocol::RequestId;
use mimosa_protocol::Timestamp;
use mimosa_protocol::TokenRate;
use mimosa_protocol::Tokens;

use crate::bucket::TokenBucket;
use crate::limiter::Admission;
use crate::limiter::RateLimiter;
use crate::micro_tokens::MicroTokens;
use crate::wait_queue::WaitQueue;

/// The retry time reported for an account whose bucket never refills.
pub(crate) const NO_REFILL_RETRY: Duration = Duration::from_secs(3_600);

/// Settings of a [`LocalRateLimiter`].
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct LocalSettings {
    /// Longest time that a request may wait before it is rejected.
    pub max_wait: Duration,
    /// Number of limiters that split each account evenly: the divisor of its rate and burst. Must
    /// not be zero.
    pub limiter_count: u64,
}

impl Default for LocalSettings {
    fn default() -> Self {
        Self {
            max_wait: Duration::from_secs(1),
            limiter_count: 1,
        }
    }
}

#[derive(Clone, Debug)]
struct Account {
    bucket: TokenBucket,
    queue: WaitQueue,
}

#[derive(Clone, Debug)]
struct Reservation {
    account: AccountId,
    cost: Tokens,
    reserved_at: Timestamp,
}

/// A rate limiter with one token bucket per account.
#[derive(Clone, Debug, Default)]
pub struct LocalRateLimiter {
    settings: LocalSettings,
    accounts: BTreeMap<AccountId, Account>,
    reservations: BTreeMap<RequestId, Reservation>,
}

impl LocalRateLimiter {
    /// Creates a limiter without accounts, which rejects every request until [`Self::configure`].
    pub fn new(settings: LocalSettings) -> Self {
        Self {
            settings,
            ..Self::default()
        }
    }

    /// Applies a configuration: new accounts start with a full burst, changed ones keep their
    /// level up to the new burst.
    pub fn configure(&mut self, now: Timestamp, configuration: &Configuration) {
        self.accounts
            .retain(|id, _| configuration.accounts.contains_key(id));
        for (id, account) in &configuration.accounts {
            let rate = TokenRate(account.rate.0 / self.settings.limiter_count);
            let burst = Tokens(account.burst.0 / self.settings.limiter_count);
            match self.accounts.get_mut(id) {
                Some(known) => known.bucket.set_limits(now, rate, burst),
                None => {
                    let bucket = TokenBucket::full(now, rate, burst);
                    let queue = WaitQueue::default();
                    self.accounts.insert(id.clone(), Account { bucket, queue });
                }
            }
        }
    }

    /// The tokens that an account could reserve now; zero for an unknown account.
    pub fn level(&mut self, now: Timestamp, account: &AccountId) -> Tokens {
        self.accounts
            .get_mut(account)
            .map_or(Tokens::ZERO, |account| {
                account.bucket.advance(now);
                account.bucket.level().tokens()
            })
    }
}

impl RateLimiter for LocalRateLimiter {
    fn reserve(
        &mut self,
        now: Timestamp,
        request: RequestId,
        account: &AccountId,
        cost: Tokens,
    ) -> Admission {
        if self.reservations.contains_key(&request) {
            return Admission::Admitted;
        }
        let Some(known) = self.accounts.get_mut(account) else {
            return Admission::Rejected(NO_REFILL_RETRY);
        };
        let admission = known.reserve(now, request, cost, self.settings.max_wait);
        if admission == Admission::Admitted {
            let reservation = Reservation {
                account: account.clone(),
                cost,
                reserved_at: now,
            };
            self.reservations.insert(request, reservation);
        }
        admission
    }

    fn settle(&mut self, now: Timestamp, request: RequestId, used: Tokens) {
        let Some(reservation) = self.reservations.remove(&request) else {
            self.accounts
                .values_mut()
                .filter(|account| !account.queue.is_empty())
                .for_each(|account| account.queue.remove(request));
            return;
        };
        if let Some(account) = self.accounts.get_mut(&reservation.account) {
            let unused = reservation.cost.saturating_sub(used);
            account
                .bucket
                .refund(now, reservation.reserved_at, unused.into());
        }
    }
}

impl Account {
    fn reserve(
        &mut self,
        now: Timestamp,
        request: RequestId,
        cost: Tokens,
        max_wait: Duration,
    ) -> Admission {
        let position = self.queue.position(now, request);
        self.bucket.advance(now);
        let cost = MicroTokens::from(cost);
        let missing = position.cost_ahead.plus(cost).minus(self.bucket.level());
        if missing <= MicroTokens::ZERO {
            self.queue.remove(request);
            self.bucket.charge(now, cost);
            return Admission::Admitted;
        }
        let wait = missing
            .time_to_accrue(self.bucket.rate())
            .unwrap_or(NO_REFILL_RETRY);
        let waited = now.since(position.enqueued_at);
        if cost > self.bucket.burst().into() || wait + waited > max_wait {
            self.queue.remove(request);
            return Admission::Rejected(wait);
        }
        self.queue.enqueue(now, request, cost, wait);
        Admission::Wait(wait)
    }
}
