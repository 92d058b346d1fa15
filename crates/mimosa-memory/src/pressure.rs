//! How full an account is, in levels with hysteresis, so that log lines on changes are few.

use std::fmt;

/// Part of the general part above which the pressure is high, in thousandths.
const HIGH_PERMILLE: u64 = 500;
/// Part below which the pressure is low again, in thousandths.
const LOW_PERMILLE: u64 = 250;

/// Pressure on an account.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Pressure {
    /// There is room.
    #[default]
    Low,
    /// More than half of the general part is held.
    High,
    /// Holders were evicted or refused since the last look.
    Full,
}

impl Pressure {
    /// The pressure after `self`. `has_rejected` says whether holders were evicted or refused since
    /// then.
    #[must_use]
    pub const fn next(self, held: u64, size: u64, has_rejected: bool) -> Self {
        let held = held.saturating_mul(1_000);
        if has_rejected {
            Self::Full
        } else if held < size.saturating_mul(LOW_PERMILLE) {
            Self::Low
        } else if held >= size.saturating_mul(HIGH_PERMILLE) || !matches!(self, Self::Low) {
            Self::High
        } else {
            Self::Low
        }
    }

    /// Name in log lines.
    pub const fn as_str(self) -> &'static str {
        match self {
            Self::Low => "low",
            Self::High => "high",
            Self::Full => "full",
        }
    }

    /// Value of the gauge.
    pub const fn as_number(self) -> i64 {
        match self {
            Self::Low => 0,
            Self::High => 1,
            Self::Full => 2,
        }
    }
}

impl fmt::Display for Pressure {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(self.as_str())
    }
}
