//! Recognition of clients that return when they were told to.

use std::collections::BTreeSet;
use std::collections::HashMap;
use std::time::Duration;

use mimosa_protocol::Timestamp;

/// Maximum number of refused requests to remember, 40 bytes each.
const MAX_TOLD: usize = 8_192;
/// How much earlier than told a client may return. `Retry-After` has two decimals, and clocks of
/// clients differ by little over some seconds.
const EARLY_TOLERANCE: Duration = Duration::from_millis(50);
/// How much later than told a client may return. Covers the random delay that many clients add.
const LATE_TOLERANCE: Duration = Duration::from_secs(3);

/// Refused requests and the times at which their clients were told to return. A request is
/// recognised by its fingerprint, which is equal if it is sent again.
#[derive(Debug, Default)]
pub struct ToldClients {
    due: HashMap<u64, Timestamp>,
    /// The same entries by time, to remove the oldest ones.
    by_time: BTreeSet<(Timestamp, u64)>,
}

impl ToldClients {
    /// Remembers that the client of a request was told to return at a time.
    pub fn record(&mut self, now: Timestamp, fingerprint: u64, due: Timestamp) {
        self.remove(fingerprint);
        self.due.insert(fingerprint, due);
        self.by_time.insert((due, fingerprint));
        while let Some((oldest, fingerprint)) = self.by_time.first().copied() {
            if oldest + LATE_TOLERANCE >= now && self.due.len() <= MAX_TOLD {
                break;
            }
            self.remove(fingerprint);
        }
    }

    /// Whether the client of a request returned when it was told to. Each refusal is recognised once.
    /// A client that returns earlier is not recognised, and may return again at the right time.
    pub fn take(&mut self, now: Timestamp, fingerprint: u64) -> bool {
        let Some(due) = self.due.get(&fingerprint).copied() else {
            return false;
        };
        if now + EARLY_TOLERANCE < due {
            return false;
        }
        self.remove(fingerprint);
        now <= due + LATE_TOLERANCE
    }

    /// Number of remembered requests.
    pub fn len(&self) -> usize {
        self.due.len()
    }

    /// Whether no request is remembered.
    pub fn is_empty(&self) -> bool {
        self.due.is_empty()
    }

    fn remove(&mut self, fingerprint: u64) {
        if let Some(due) = self.due.remove(&fingerprint) {
            self.by_time.remove(&(due, fingerprint));
        }
    }
}
