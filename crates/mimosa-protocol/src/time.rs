//! Timestamps. Decision code takes the current time as an argument and never reads a clock itself.

use std::fmt;
use std::ops::Add;
use std::time::Duration;

use serde::Deserialize;
use serde::Serialize;

/// A time in microseconds since the Unix epoch, or since the start of a simulation in tests.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
#[serde(transparent)]
pub struct Timestamp(pub u64);

impl Timestamp {
    /// The epoch, which is also the default.
    pub const ZERO: Self = Self(0);

    /// The time `millis` milliseconds after the epoch.
    pub const fn from_millis(millis: u64) -> Self {
        Self(millis * 1_000)
    }

    /// The time `secs` seconds after the epoch.
    pub const fn from_secs(secs: u64) -> Self {
        Self(secs * 1_000_000)
    }

    /// Microseconds since the epoch.
    pub const fn as_micros(self) -> u64 {
        self.0
    }

    /// Time elapsed since `earlier`; zero if `earlier` is in the future.
    pub const fn since(self, earlier: Self) -> Duration {
        Duration::from_micros(self.0.saturating_sub(earlier.0))
    }

    /// Subtracts a duration; the result is at least the epoch.
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
