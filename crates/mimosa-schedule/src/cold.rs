//! Spaces the requests to an endpoint that has just started, so that it gets no more than it bears.
//!
//! It answers the load of endpoints that come back together: each bears some requests a second until
//! it is warm, all senders together, and crashes well above that.

use std::time::Duration;

use mimosa_protocol::Timestamp;

/// Shortest time between two requests to a cold endpoint: its first ones take several times as long
/// as usual, and what it is sent meanwhile waits for them.
const MIN_INTERVAL: Duration = Duration::from_millis(100);
/// Milliseconds in which an endpoint bears what its configuration says of a thousand seconds.
const KILOSECOND_MILLIS: u64 = 1_000_000;

/// When one sender may send to a cold endpoint.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Pacing {
    /// Time between two of its requests.
    pub interval: Duration,
    /// Thousandths of the interval that it waits before the first one, so that senders which hear
    /// of a cold endpoint at the same moment do not send to it at the same moment.
    pub phase_permille: u16,
}

impl Pacing {
    /// The turn of the only sender to an endpoint that bears so many requests in a thousand seconds;
    /// 0 if that is not known.
    pub fn single_sender(per_kilosecond: u64) -> Self {
        Self::for_sender(per_kilosecond, 1, 0)
    }

    /// The turn of one of several senders; the number is another one for each.
    pub fn for_sender(per_kilosecond: u64, senders: u32, number: u64) -> Self {
        let millis = KILOSECOND_MILLIS * u64::from(senders.max(1));
        let millis = millis.checked_div(per_kilosecond).unwrap_or_default();
        Self {
            interval: Duration::from_millis(millis).max(MIN_INTERVAL),
            phase_permille: u16::try_from(number % 1_000).unwrap_or_default(),
        }
    }

    fn phase(self) -> Duration {
        self.interval * u32::from(self.phase_permille) / 1_000
    }
}

/// One endpoint, as one sender sees it.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct ColdStart {
    since: Timestamp,
    until: Timestamp,
    next: Timestamp,
}

impl ColdStart {
    /// The endpoint is cold until a moment, or turned cold once more.
    pub fn set_until(&mut self, now: Timestamp, until: Timestamp) {
        if !self.is_cold(now) {
            self.since = now;
        }
        self.until = until;
    }

    /// Until when it is cold.
    pub const fn until(&self) -> Timestamp {
        self.until
    }

    /// Whether it is cold.
    pub fn is_cold(&self, now: Timestamp) -> bool {
        now < self.until
    }

    /// Whether it bears one more request now.
    pub fn allows_request(&self, now: Timestamp, turn: Pacing) -> bool {
        let first = self.since + turn.phase();
        !self.is_cold(now) || now >= first.max(self.next)
    }

    /// A request is sent to it.
    pub fn record_request(&mut self, now: Timestamp, turn: Pacing) {
        self.next = now + turn.interval;
    }
}
