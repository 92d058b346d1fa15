//! The time of day as an argument. Deciding code never reads a clock itself.

use std::fmt;
use std::ops::Add;
use std::time::Duration;

use serde::Deserialize;
use serde::Serialize;

/// A moment in microseconds since the Unix epoch, or since the start of a test.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
#[serde(transparent)]
pub struct Timestamp(pub u64);

impl Timestamp {
    /// The start of time.
    pub const ZERO: Self = Self(0);

    /// A moment some milliseconds after the start.
    pub const fn from_millis(millis: u64) -> Self {
        Self(millis * 1_000)
    }

    /// A moment some seconds after the start.
    pub const fn from_secs(secs: u64) -> Self {
        Self(secs * 1_000_000)
    }

    /// Microseconds since the start.
    pub const fn as_micros(self) -> u64 {
        self.0
    }

    /// Time since an earlier moment; zero if that moment is later.
    pub const fn since(self, earlier: Self) -> Duration {
        Duration::from_micros(self.0.saturating_sub(earlier.0))
    }

    /// The moment a while before; stops at the start.
    #[must_use]
    pub fn minus(self, time: Duration) -> Self {
        Self(self.0.saturating_sub(micros(time)))
    }
}

impl Add<Duration> for Timestamp {
    type Output = Self;

    fn add(self, time: Duration) -> Self {
        Self(self.0.saturating_add(micros(time)))
    }
}

impl fmt::Display for Timestamp {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}.{:06}", self.0 / 1_000_000, self.0 % 1_000_000)
    }
}

fn micros(time: Duration) -> u64 {
    u64::try_from(time.as_micros()).unwrap_or(u64::MAX)
}
