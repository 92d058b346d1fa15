//! The clock of a process. Other code takes the time as an argument instead of reading it.

use std::time::Instant;
use std::time::SystemTime;

use mimosa_protocol::Timestamp;

/// A monotonic clock that is initialised from the system time.
#[derive(Clone, Copy, Debug)]
pub struct Clock {
    started: Instant,
    base: Timestamp,
}

impl Clock {
    /// Starts a clock at the current system time.
    pub fn start() -> Self {
        let since_epoch = SystemTime::now()
            .duration_since(SystemTime::UNIX_EPOCH)
            .unwrap_or_default();
        Self {
            started: Instant::now(),
            base: Timestamp::ZERO + since_epoch,
        }
    }

    /// Returns the current time. It never goes back and does not follow adjustments of the system
    /// clock after [`Self::start`].
    pub fn now(&self) -> Timestamp {
        self.base + self.started.elapsed()
    }
}
