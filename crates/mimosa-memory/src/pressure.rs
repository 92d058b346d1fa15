//! How full an account is, in levels with hysteresis, so that log lines on changes are few.

use std::fmt;
use std::time::Duration;

use mimosa_protocol::Timestamp;

use crate::account::Usage;

/// Time after a rejection in which the pressure stays full, so that a flood in waves causes few changes.
const REJECTION_MEMORY: Duration = Duration::from_secs(10);
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
    /// Holders were evicted or refused, or connections closed for others, in the last 10 s.
    Full,
}

impl Pressure {
    /// The pressure after `self`. `has_rejected` says whether there was a rejection recently.
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

/// Follows the pressure of a process, and counts rejections between changes.
#[derive(Clone, Copy, Debug, Default)]
pub struct PressureTracker {
    pressure: Pressure,
    last_rejection: Option<Timestamp>,
    rejections: u64,
    /// Counters at the last change.
    usage: Usage,
    closed: u64,
}

/// A change of pressure, with the rejections since the one before.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct PressureChange {
    /// Pressure before.
    pub from: Pressure,
    /// Pressure now.
    pub to: Pressure,
    /// Holders evicted to make room.
    pub evicted: u64,
    /// Holders closed because their client made no progress.
    pub stalled: u64,
    /// Requests for bytes refused.
    pub refused: u64,
    /// Connections closed to admit others, or not admitted.
    pub closed: u64,
}

impl PressureTracker {
    /// The pressure at the last update.
    pub const fn pressure(&self) -> Pressure {
        self.pressure
    }

    /// Evaluates the pressure. `size` is that of the general part, `closed` counts the connections that
    /// were closed for others so far.
    pub fn update(
        &mut self,
        now: Timestamp,
        usage: &Usage,
        size: u64,
        closed: u64,
    ) -> Option<PressureChange> {
        let rejections = usage.evicted + usage.refused + closed;
        if rejections > self.rejections {
            self.last_rejection = Some(now);
        }
        self.rejections = rejections;
        let is_recent = |last| now.since(last) < REJECTION_MEMORY;
        let has_rejected = self.last_rejection.is_some_and(is_recent);
        let next = self.pressure.next(usage.general, size, has_rejected);
        if next == self.pressure {
            return None;
        }
        let change = PressureChange {
            from: self.pressure,
            to: next,
            evicted: usage.evicted - self.usage.evicted,
            stalled: usage.stalled - self.usage.stalled,
            refused: usage.refused - self.usage.refused,
            closed: closed - self.closed,
        };
        self.pressure = next;
        self.usage = *usage;
        self.closed = closed;
        Some(change)
    }
}
