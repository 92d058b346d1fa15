//! Requests that wait to be placed.

use mimosa_protocol::Timestamp;

use super::PlacementRequest;
use super::Settings;

/// A request that waits.
#[derive(Clone, Debug)]
pub(super) struct Waiting {
    pub(super) ask: PlacementRequest,
    /// When its first output is late.
    pub(super) target: Timestamp,
    /// When it is refused.
    pub(super) given_up_at: Timestamp,
    /// Whether it can no longer be in time.
    pub(super) is_late: bool,
}

impl Waiting {
    pub(super) fn new(now: Timestamp, ask: PlacementRequest, settings: &Settings) -> Self {
        if ask.kv_cache_at.is_some() {
            return Self {
                target: now + ask.time_to_target,
                given_up_at: now + ask.time_to_timeout,
                is_late: false,
                ask,
            };
        }
        let patience = ask.time_to_timeout * settings.late_permille / 1_000;
        Self {
            target: now + ask.time_to_target,
            given_up_at: now + patience.max(ask.time_to_target.min(ask.time_to_timeout)),
            is_late: false,
            ask,
        }
    }

    /// What can be in time goes first, then what holds a KV cache that soon lapses, then the more
    /// urgent, then the earlier target.
    pub(super) const fn order(&self) -> (bool, bool, u8, Timestamp) {
        let has_no_cache = self.ask.kv_cache_at.is_none();
        (self.is_late, has_no_cache, self.ask.priority, self.target)
    }
}
