//! The quotas of many accounts, each a bucket, held by whoever counts for all.
//!
//! It answers accounts of very different size, one of which sends several times its rate: what is
//! inside the rate goes through at once, what is beyond is refused at once with the time at which
//! there is room again.

use std::collections::BTreeMap;
use std::time::Duration;

use mimosa_protocol::AccountId;
use mimosa_protocol::Timestamp;
use mimosa_protocol::TokenRate;
use mimosa_protocol::Tokens;

use crate::amount::Amount;
use crate::bucket::Bucket;

/// The rate and burst of an account.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct QuotaLimits {
    /// Tokens a second.
    pub rate: TokenRate,
    /// Tokens that may run ahead of the rate.
    pub burst: Tokens,
}

/// How far the use of an account may go beyond its quota.
///
/// Whoever refuses inside a quota hurts a caller, and what is counted in two places never agrees to
/// the token. What is tolerated is therefore used, but for a half of the slack: it covers what
/// gateways admit by themselves while no leader answers.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Tolerance {
    /// Thousandths of the quota.
    pub permille: u64,
    /// Tokens, once in each window.
    pub slack: Tokens,
}

impl Tolerance {
    /// The level of the buckets of whoever takes over the counting.
    pub fn level_after_takeover(self) -> InitialLevel {
        InitialLevel::AtMost(Tokens(self.slack.0 / 4))
    }

    /// The limits by which a quota is held.
    pub fn apply(self, limits: QuotaLimits) -> QuotaLimits {
        let more = |value: u64| value + value * self.permille / 1_000;
        QuotaLimits {
            rate: TokenRate(more(limits.rate.0)),
            burst: Tokens(more(limits.burst.0) + self.slack.0 / 2),
        }
    }
}

/// The level of an account's new bucket.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum InitialLevel {
    /// The whole burst: nobody counted for the account before.
    Full,
    /// At most so much: whoever counted before may have given out a whole burst just now.
    AtMost(Tokens),
}

impl InitialLevel {
    fn of(self, burst: Tokens) -> Amount {
        match self {
            Self::Full => burst.into(),
            Self::AtMost(level) => level.min(burst).into(),
        }
    }
}

/// Why a cost was not taken.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum OverQuota {
    /// There will be room after a while.
    RetryAfter(Duration),
    /// The cost is larger than the whole burst: there will never be room.
    Never,
}

/// The buckets of all accounts that have a quota.
#[derive(Debug, Default)]
pub struct Quotas {
    buckets: BTreeMap<AccountId, Bucket>,
}

impl Quotas {
    /// Adopts the limits of all accounts, and the level of those that were not known before.
    pub fn configure(
        &mut self,
        now: Timestamp,
        accounts: impl IntoIterator<Item = (AccountId, QuotaLimits)>,
        new: InitialLevel,
    ) {
        let mut old = std::mem::take(&mut self.buckets);
        for (account, limits) in accounts {
            let QuotaLimits { rate, burst } = limits;
            let bucket = match old.remove(&account) {
                Some(mut bucket) => {
                    bucket.set_limits(now, rate, burst);
                    bucket
                }
                None => Bucket::new(now, rate, burst, new.of(burst)),
            };
            self.buckets.insert(account, bucket);
        }
    }

    /// Takes the cost of a request. An account without a quota has no limit.
    ///
    /// # Errors
    ///
    /// If the account has less left.
    pub fn charge(
        &mut self,
        now: Timestamp,
        account: &AccountId,
        cost: Tokens,
    ) -> Result<(), OverQuota> {
        let Some(bucket) = self.buckets.get_mut(account) else {
            return Ok(());
        };
        if bucket.try_charge(now, cost.into()) {
            return Ok(());
        }
        if cost > bucket.burst() {
            return Err(OverQuota::Never);
        }
        let missing = Amount::from(cost).minus(bucket.level());
        let wait = missing.time_at(bucket.rate());
        Err(wait.map_or(OverQuota::Never, OverQuota::RetryAfter))
    }

    /// Takes the cost of a request if anything at all is left; the rest is owed. For a small part of
    /// a quota, which no single request may fit into.
    ///
    /// # Errors
    ///
    /// If nothing is left.
    pub fn charge_allowing_debt(
        &mut self,
        now: Timestamp,
        account: &AccountId,
        cost: Tokens,
    ) -> Result<(), OverQuota> {
        let Some(bucket) = self.buckets.get_mut(account) else {
            return Ok(());
        };
        bucket.advance(now);
        if bucket.level() > Amount::ZERO {
            bucket.charge(now, cost.into());
            return Ok(());
        }
        let owed = Amount::ZERO.minus(bucket.level()).plus(Amount(1));
        let wait = owed.time_at(bucket.rate());
        Err(wait.map_or(OverQuota::Never, OverQuota::RetryAfter))
    }

    /// Gives back what was taken a moment ago and not used.
    pub fn refund(&mut self, now: Timestamp, taken: Timestamp, account: &AccountId, cost: Tokens) {
        if let Some(bucket) = self.buckets.get_mut(account) {
            bucket.refund(now, taken, cost.into());
        }
    }

    /// Takes up to an amount for requests that a gateway will admit by itself. Returns how much; an
    /// account without a quota gets it all.
    pub fn charge_up_to(&mut self, now: Timestamp, account: &AccountId, wanted: Tokens) -> Tokens {
        let Some(bucket) = self.buckets.get_mut(account) else {
            return wanted;
        };
        bucket.advance(now);
        let lent = wanted.min(bucket.level().or_zero().tokens());
        bucket.charge(now, lent.into());
        lent
    }
}
