//! Quotas of many accounts, each a token bucket, counted in a single place.
//!
//! Accounts differ greatly in size, and some send several times their rate. A request within the
//! rate is admitted at once; one beyond it is rejected at once with the time after which the bucket
//! covers it.

use std::collections::BTreeMap;
use std::time::Duration;

use mimosa_protocol::AccountId;
use mimosa_protocol::Timestamp;
use mimosa_protocol::TokenRate;
use mimosa_protocol::Tokens;

use crate::bucket::TokenBucket;
use crate::leaderless::AbsenceReport;
use crate::micro_tokens::MicroTokens;

/// The rate and burst of an account.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct QuotaLimits {
    /// Tokens per second.
    pub rate: TokenRate,
    /// Tokens that may be used at once ahead of the rate.
    pub burst: Tokens,
}

/// How far the use of an account may exceed its quota.
///
/// A rejection within the quota harms a caller, and counts kept in two places never agree to the
/// token. The limits therefore include the tolerance, except for half of the slack: that half is
/// the level at which a new leader starts.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Tolerance {
    /// Tolerated excess in thousandths of the quota.
    pub permille: u64,
    /// Tolerated excess in tokens, once per window.
    pub slack: Tokens,
}

impl Tolerance {
    /// The level at which the buckets of a new leader start when it takes over the counting.
    pub fn level_after_takeover(self) -> InitialLevel {
        InitialLevel::AtMost(Tokens(self.slack.0 / 2))
    }

    /// The limits to enforce for a quota.
    pub fn apply(self, limits: QuotaLimits) -> QuotaLimits {
        let increased = |value: u64| value + value * self.permille / 1_000;
        QuotaLimits {
            rate: TokenRate(increased(limits.rate.0)),
            burst: Tokens(increased(limits.burst.0) + self.slack.0 / 2),
        }
    }
}

/// The level at which the bucket of an account starts.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum InitialLevel {
    /// The whole burst: the account was not counted before.
    Full,
    /// At most this level: the predecessor may have granted a whole burst just before.
    AtMost(Tokens),
}

impl InitialLevel {
    fn cap_at(self, burst: Tokens) -> MicroTokens {
        match self {
            Self::Full => burst.into(),
            Self::AtMost(level) => level.min(burst).into(),
        }
    }
}

/// Why a cost was not charged.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum OverQuota {
    /// The bucket covers the cost after this time.
    RetryAfter(Duration),
    /// The bucket never covers the cost: it exceeds the burst, or the rate is zero.
    Never,
}

/// Period over which the demand of an account is averaged.
const DEMAND_PERIOD: Duration = Duration::from_secs(1);
/// Part of the rate, in thousandths, that gateways admit of an overloaded account while no leader
/// answers. The rest covers the fluctuation of its demand.
const COVERED_PERMILLE: u64 = 800;

/// Part of the requests of an account, in thousandths, that gateways admit while no leader answers.
/// All gateways together then admit about the rate of the account, however many they are and
/// however its requests are spread over them.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct AdmittedPart {
    /// An account whose demand exceeds its rate.
    pub account: AccountId,
    /// Admitted part, below 1,000.
    pub permille: u16,
}

/// Recent demand of an account, admitted or not.
#[derive(Debug, Default)]
struct Demand {
    /// Tokens requested in about [`DEMAND_PERIOD`], as a decaying sum.
    recent: u64,
    updated_at: Timestamp,
}

impl Demand {
    fn record(&mut self, now: Timestamp, cost: Tokens) {
        self.recent = self.at(now).saturating_add(cost.0);
        self.updated_at = now;
    }

    fn at(&self, now: Timestamp) -> u64 {
        let left = DEMAND_PERIOD.saturating_sub(now.since(self.updated_at));
        let whole = DEMAND_PERIOD.as_micros();
        let recent = u128::from(self.recent) * left.as_micros() / whole;
        u64::try_from(recent).unwrap_or(u64::MAX)
    }
}

/// The token buckets of all accounts that have a quota.
#[derive(Debug, Default)]
pub struct Quotas {
    buckets: BTreeMap<AccountId, TokenBucket>,
    demand: BTreeMap<AccountId, Demand>,
    /// Time before this leader for which the buckets were credited.
    accrued_absence: Duration,
}

impl Quotas {
    /// Sets the limits of all accounts. Known accounts keep their level, new ones start at
    /// `initial`, and accounts that are not listed are removed.
    pub fn configure(
        &mut self,
        now: Timestamp,
        accounts: impl IntoIterator<Item = (AccountId, QuotaLimits)>,
        initial: InitialLevel,
    ) {
        let mut known = std::mem::take(&mut self.buckets);
        for (account, limits) in accounts {
            let QuotaLimits { rate, burst } = limits;
            let bucket = match known.remove(&account) {
                Some(mut bucket) => {
                    bucket.set_limits(now, rate, burst);
                    bucket
                }
                None => TokenBucket::new(now, rate, burst, initial.cap_at(burst)),
            };
            self.buckets.insert(account, bucket);
        }
        let buckets = &self.buckets;
        self.demand
            .retain(|account, _| buckets.contains_key(account));
    }

    /// The accounts whose demand exceeds their rate, with the part of it that the rate covers; at
    /// most `limit` of them, those with the smallest part first.
    pub fn overloaded(&self, now: Timestamp, limit: usize) -> Vec<AdmittedPart> {
        let parts = self.demand.iter().filter_map(|(account, demand)| {
            let rate = self.buckets.get(account)?.rate().0;
            let demanded = demand.at(now) / DEMAND_PERIOD.as_secs();
            let permille = rate
                .saturating_mul(COVERED_PERMILLE)
                .checked_div(demanded)?;
            let permille = u16::try_from(permille).ok()?;
            (demanded > rate).then(|| AdmittedPart {
                account: account.clone(),
                permille,
            })
        });
        let mut parts: Vec<AdmittedPart> = parts.collect();
        parts.sort_by_key(|part| part.permille);
        parts.truncate(limit);
        parts
    }

    /// Charges the cost of a request. An account without a quota has no limit.
    ///
    /// # Errors
    ///
    /// If the bucket does not cover the cost.
    pub fn charge(
        &mut self,
        now: Timestamp,
        account: &AccountId,
        cost: Tokens,
    ) -> Result<(), OverQuota> {
        let Some(bucket) = self.buckets.get_mut(account) else {
            return Ok(());
        };
        let demand = self.demand.entry(account.clone()).or_default();
        demand.record(now, cost);
        if bucket.try_charge(now, cost.into()) {
            return Ok(());
        }
        if cost > bucket.burst() {
            return Err(OverQuota::Never);
        }
        let missing = MicroTokens::from(cost).minus(bucket.level());
        let wait = missing.time_to_accrue(bucket.rate());
        Err(wait.map_or(OverQuota::Never, OverQuota::RetryAfter))
    }

    /// Charges the cost of a request if the level is positive; it may become negative. For a small
    /// part of a quota, whose burst may be less than the cost of a single request.
    ///
    /// # Errors
    ///
    /// If the level is zero or negative.
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
        if bucket.level() > MicroTokens::ZERO {
            bucket.charge(now, cost.into());
            return Ok(());
        }
        let debt = MicroTokens::ZERO.minus(bucket.level()).plus(MicroTokens(1));
        let wait = debt.time_to_accrue(bucket.rate());
        Err(wait.map_or(OverQuota::Never, OverQuota::RetryAfter))
    }

    /// Charges what a gateway admitted while no leader answered; a level may become negative, so
    /// that an account does not exceed its quota by it. `led_for` is the time since this leader took
    /// over. The buckets gain once what accrued before that, however many gateways report it.
    pub fn charge_absence(&mut self, now: Timestamp, led_for: Duration, report: &AbsenceReport) {
        let without_leader = report.absence.saturating_sub(led_for);
        let missing = without_leader.saturating_sub(self.accrued_absence);
        self.accrued_absence += missing;
        for bucket in self.buckets.values_mut() {
            bucket.accrue(now, missing);
        }
        for (account, used) in &report.used {
            if let Some(bucket) = self.buckets.get_mut(account) {
                bucket.charge(now, (*used).into());
            }
        }
    }

    /// Refunds an unused cost that was charged at `charged_at`.
    pub fn refund(
        &mut self,
        now: Timestamp,
        charged_at: Timestamp,
        account: &AccountId,
        cost: Tokens,
    ) {
        if let Some(bucket) = self.buckets.get_mut(account) {
            bucket.refund(now, charged_at, cost.into());
        }
    }

    /// Charges up to `requested` for requests that a gateway will admit by itself. Returns the
    /// amount charged; for an account without a quota that is all of it.
    pub fn charge_up_to(
        &mut self,
        now: Timestamp,
        account: &AccountId,
        requested: Tokens,
    ) -> Tokens {
        let Some(bucket) = self.buckets.get_mut(account) else {
            return requested;
        };
        bucket.advance(now);
        let charged = requested.min(bucket.level().or_zero().tokens());
        bucket.charge(now, charged.into());
        let demand = self.demand.entry(account.clone()).or_default();
        demand.record(now, requested);
        charged
    }
}
