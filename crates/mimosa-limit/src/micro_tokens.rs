//! Token amounts in millionths, which makes accrual exact: a rate in tokens per second is the same
//! number of millionths per microsecond.

use std::time::Duration;

use mimosa_protocol::TokenRate;
use mimosa_protocol::Tokens;
use mimosa_protocol::data;

const MICROS_PER_TOKEN: i64 = 1_000_000;

data! {
    /// Millionths of a token; negative after more was used than was available.
    #[derive(Copy, Default, Hash, PartialOrd, Ord)]
    #[serde(transparent)]
    pub struct MicroTokens(pub i64);
}

impl MicroTokens {
    /// No tokens.
    pub const ZERO: Self = Self(0);
    /// More than any bucket holds.
    pub const MAX: Self = Self(i64::MAX);

    /// The saturating sum.
    #[must_use]
    pub const fn plus(self, other: Self) -> Self {
        Self(self.0.saturating_add(other.0))
    }

    /// The saturating difference.
    #[must_use]
    pub const fn minus(self, other: Self) -> Self {
        Self(self.0.saturating_sub(other.0))
    }

    /// The amount, or zero if it is negative.
    #[must_use]
    pub fn or_zero(self) -> Self {
        self.max(Self::ZERO)
    }

    /// The amount that accrues at `rate` within `time`.
    pub fn accrued(rate: TokenRate, time: Duration) -> Self {
        let micros = i64::try_from(time.as_micros()).unwrap_or(i64::MAX);
        let rate = i64::try_from(rate.0).unwrap_or(i64::MAX);
        Self(rate.saturating_mul(micros))
    }

    /// The time in which the amount accrues at `rate`, rounded up to a microsecond; `None` if the
    /// rate is zero.
    pub fn time_to_accrue(self, rate: TokenRate) -> Option<Duration> {
        let amount = u64::try_from(self.0).unwrap_or(0);
        (rate.0 > 0).then(|| Duration::from_micros(amount.div_ceil(rate.0)))
    }

    /// Whole tokens, rounded up.
    pub fn tokens_ceil(self) -> Tokens {
        Self(self.0.saturating_add(MICROS_PER_TOKEN - 1)).tokens()
    }

    /// Whole tokens, rounded down; zero if the amount is negative.
    pub fn tokens(self) -> Tokens {
        Tokens(u64::try_from(self.0 / MICROS_PER_TOKEN).unwrap_or(0))
    }
}

impl From<Tokens> for MicroTokens {
    fn from(tokens: Tokens) -> Self {
        let tokens = i64::try_from(tokens.0).unwrap_or(i64::MAX);
        Self(tokens.saturating_mul(MICROS_PER_TOKEN))
    }
}
