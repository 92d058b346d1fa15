//! The system clock. State machines and schedulers get the time as an argument instead.

use std::time::SystemTime;
use std::time::UNIX_EPOCH;

use mimosa_protocol::Timestamp;

/// Time since 1970; zero if the system clock is set earlier.
pub fn now() -> Timestamp {
    let elapsed = SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .unwrap_or_default();
    Timestamp::ZERO + elapsed
}
