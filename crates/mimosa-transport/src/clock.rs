//! The clock of the process: the one place where time is read.

use std::time::Instant;
use std::time::SystemTime;

use mimosa_protocol::Timestamp;

/// A clock that starts at the time of day and never goes back.
#[derive(Clone, Copy, Debug)]
pub struct Clock {
    started: Instant,
    base: Timestamp,
}

impl Clock {
    /// Starts the clock.
    pub fn start() -> Self {
        let since_epoch = SystemTime::now()
            .duration_since(SystemTime::UNIX_EPOCH)
            .unwrap_or_default();
        Self {
            started: Instant::now(),
            base: Timestamp::ZERO + since_epoch,
        }
    }

    /// The present time.
    pub fn now(&self) -> Timestamp {
        self.base + self.started.elapsed()
    }
}
