//! Permits of the leader for placements at endpoints of a rollout's new version.

use std::time::Duration;

use mimosa_protocol::Timestamp;
use mimosa_rollout::RolloutNumber;

/// Time over which the permits of one grant are spread; the interval of the grants. Spent at once, they
/// would load the new endpoints more than the old ones and make a good version look slow.
const SPREAD_TIME: Duration = Duration::from_millis(250);

/// The permits of one rollout that are left, and those used so far.
#[derive(Debug, Default)]
pub(super) struct Permits {
    rollout: Option<RolloutNumber>,
    unused: u32,
    used: u64,
    /// Number of endpoints of each role on which they are spent.
    endpoints: usize,
    until: Timestamp,
    interval: Duration,
    /// When the next one may be used.
    next_at: Timestamp,
}

impl Permits {
    /// Starts without permits if the rollout is another one.
    pub(super) fn set_rollout(&mut self, rollout: Option<RolloutNumber>) {
        if self.rollout != rollout {
            *self = Self {
                rollout,
                ..Self::default()
            };
        }
    }

    /// Replaces the unused permits.
    pub(super) fn grant(
        &mut self,
        rollout: RolloutNumber,
        permits: u32,
        endpoints: u32,
        until: Timestamp,
    ) {
        if self.rollout == Some(rollout) {
            self.unused = permits;
            self.endpoints = usize::try_from(endpoints).unwrap_or(usize::MAX).max(1);
            self.until = until;
            self.interval = SPREAD_TIME / permits.max(1);
        }
    }

    /// Whether a placement may use one now.
    pub(super) fn is_available(&self, now: Timestamp) -> bool {
        self.unused > 0 && now < self.until && now >= self.next_at
    }

    /// Uses one, which must be available.
    pub(super) fn spend(&mut self, now: Timestamp) {
        self.unused -= 1;
        self.used += 1;
        self.next_at = now + self.interval;
    }

    pub(super) const fn endpoints(&self) -> usize {
        self.endpoints
    }

    pub(super) const fn unused(&self) -> u32 {
        self.unused
    }

    pub(super) const fn used(&self) -> u64 {
        self.used
    }
}
