//! A gate that holds whole accounts by itself: for one entry alone, and as the baseline of a
//! static split when each entry is given a part of the rate.

use std::collections::BTreeMap;
use std::time::Duration;

use mimosa_protocol::AccountId;
use mimosa_protocol::Configuration;
use mimosa_protocol::RequestId;
use mimosa_protocol::Timestamp;
use mimosa_protocol::TokenRate;
use mimosa_protocol::Tokens;

use crate::amount::Amount;
use crate::bucket::Bucket;
use crate::limiter::Admission;
use crate::limiter::RateLimiter;
use crate::line::Line;

/// When to come back to an account that gains nothing.
pub(crate) const NEVER: Duration = Duration::from_secs(3_600);

/// Settings of a [`LocalRateLimiter`].
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct LocalSettings {
    /// Longest wait that is offered in place of a refusal.
    pub max_wait: Duration,
    /// This gate's part of each rate and burst: one in so many.
    pub parts: u64,
}

impl Default for LocalSettings {
    fn default() -> Self {
        Self {
            max_wait: Duration::from_secs(1),
            parts: 1,
        }
    }
}

#[derive(Clone, Debug)]
struct Account {
    bucket: Bucket,
    line: Line,
}

#[derive(Clone, Debug)]
struct Reserved {
    account: AccountId,
    cost: Tokens,
    at: Timestamp,
}

/// One token bucket for each account.
#[derive(Clone, Debug, Default)]
pub struct LocalRateLimiter {
    settings: LocalSettings,
    accounts: BTreeMap<AccountId, Account>,
    reserved: BTreeMap<RequestId, Reserved>,
}

impl LocalRateLimiter {
    /// A gate that knows no account yet.
    pub fn new(settings: LocalSettings) -> Self {
        Self {
            settings,
            ..Self::default()
        }
    }

    /// Follows a configuration: new accounts start with a full burst, changed ones keep their
    /// level up to the new burst.
    pub fn configure(&mut self, now: Timestamp, configuration: &Configuration) {
        self.accounts
            .retain(|id, _| configuration.accounts.contains_key(id));
        for (id, account) in &configuration.accounts {
            let rate = TokenRate(account.rate.0 / self.settings.parts);
            let burst = Tokens(account.burst.0 / self.settings.parts);
            match self.accounts.get_mut(id) {
                Some(known) => known.bucket.set_limits(now, rate, burst),
                None => {
                    let bucket = Bucket::full(now, rate, burst);
                    let line = Line::default();
                    self.accounts.insert(id.clone(), Account { bucket, line });
                }
            }
        }
    }

    /// What an account could start now.
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
        if self.reserved.contains_key(&request) {
            return Admission::Admitted;
        }
        let Some(known) = self.accounts.get_mut(account) else {
            return Admission::Rejected(NEVER);
        };
        let admission = known.ask(now, request, cost, self.settings.max_wait);
        if admission == Admission::Admitted {
            let reserved = Reserved {
                account: account.clone(),
                cost,
                at: now,
            };
            self.reserved.insert(request, reserved);
        }
        admission
    }

    fn settle(&mut self, now: Timestamp, request: RequestId, used: Tokens) {
        let Some(reserved) = self.reserved.remove(&request) else {
            self.accounts
                .values_mut()
                .filter(|account| !account.line.is_empty())
                .for_each(|account| account.line.leave(request));
            return;
        };
        if let Some(account) = self.accounts.get_mut(&reserved.account) {
            let unused = reserved.cost.saturating_sub(used);
            account.bucket.refund(now, reserved.at, unused.into());
        }
    }
}

impl Account {
    fn ask(
        &mut self,
        now: Timestamp,
        request: RequestId,
        cost: Tokens,
        max_wait: Duration,
    ) -> Admission {
        let place = self.line.place(now, request);
        self.bucket.advance(now);
        let cost = Amount::from(cost);
        let missing = place.ahead.plus(cost).minus(self.bucket.level());
        if missing <= Amount::ZERO {
            self.line.leave(request);
            self.bucket.charge(now, cost);
            return Admission::Admitted;
        }
        let wait = missing.time_at(self.bucket.rate()).unwrap_or(NEVER);
        let waited = now.since(place.since);
        if cost > self.bucket.burst().into() || wait + waited > max_wait {
            self.line.leave(request);
            return Admission::Rejected(wait);
        }
        self.line.join(now, request, cost, wait);
        Admission::Wait(wait)
    }
}
