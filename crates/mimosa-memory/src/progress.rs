//! Progress of a holder, recorded without a lock.

use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;
use std::time::Duration;

use mimosa_protocol::Timestamp;

/// Bytes that count as progress. A client that sends or reads 1 KB/s with pauses of 2 s exceeds this
/// in any 3 s; one that sends single bytes to keep its connection open does not.
pub const PROGRESS_BYTES: u64 = 512;
/// Value of [`Progress::last`] while the holder does not wait for its client.
const NOT_WAITING: u64 = u64::MAX;

/// When a holder last made progress, or that it does not wait for its client.
#[derive(Debug)]
pub struct Progress {
    last: AtomicU64,
    bytes: AtomicU64,
    /// Time without progress that does not count as a stall.
    grace: Duration,
    /// The same while there is room; at least `grace`.
    grace_with_room: Duration,
}

impl Progress {
    /// Starts with progress at `now`.
    pub const fn new(now: Timestamp) -> Self {
        Self::with_grace(now, Duration::ZERO)
    }

    /// Starts with progress at `now`. Only time without progress beyond `grace` counts as a stall, for
    /// progress that is observed late.
    pub const fn with_grace(now: Timestamp, grace: Duration) -> Self {
        Self {
            grace,
            ..Self::with_grace_while_room(now, grace)
        }
    }

    /// The same, but the grace holds only while nobody needs the room of the holder.
    pub const fn with_grace_while_room(now: Timestamp, grace: Duration) -> Self {
        Self {
            last: AtomicU64::new(now.as_micros()),
            bytes: AtomicU64::new(0),
            grace: Duration::ZERO,
            grace_with_room: grace,
        }
    }

    /// Records bytes that the client sent or read. Returns whether they complete a step of progress.
    pub fn record(&self, now: Timestamp, bytes: u64) -> bool {
        let bytes = self.bytes.fetch_add(bytes, Ordering::Relaxed) + bytes;
        let is_step = bytes >= PROGRESS_BYTES;
        if is_step {
            self.restart(now);
        }
        is_step
    }

    /// Starts to wait for the client at `now`.
    pub fn restart(&self, now: Timestamp) {
        self.bytes.store(0, Ordering::Relaxed);
        self.last.store(now.as_micros(), Ordering::Relaxed);
    }

    /// Stops waiting for the client: from now on the holder waits for something else, such as an
    /// endpoint, and is not evicted.
    pub fn stop_waiting(&self) {
        self.last.store(NOT_WAITING, Ordering::Relaxed);
    }

    /// Time without progress of the client; zero while the holder does not wait for it.
    pub fn stalled_for(&self, now: Timestamp) -> Duration {
        self.idle_for(now).saturating_sub(self.grace)
    }

    /// The same where nobody needs the room of the holder.
    pub fn stalled_with_room_for(&self, now: Timestamp) -> Duration {
        self.idle_for(now).saturating_sub(self.grace_with_room)
    }

    fn idle_for(&self, now: Timestamp) -> Duration {
        // NOT_WAITING lies in the future.
        now.since(Timestamp(self.last.load(Ordering::Relaxed)))
    }
}
