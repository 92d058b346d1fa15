//! A scheduler that follows another one.
//!
//! Its endpoints stay closed until every expected entry reported under the new epoch, which takes
//! one heartbeat: each of them then refuses older grants and all holds are known. If an entry does
//! not report, an endpoint stays closed until the earlier scheduler's permits are void and a load
//! report measured after that shows the memory in use, or until unseen holds ended with their leases.

use std::collections::BTreeSet;
use std::time::Duration;

use mimosa_protocol::InstanceId;
use mimosa_protocol::Timestamp;

use crate::settings::Settings;

/// What a successor knows at its start.
#[derive(Clone, Debug)]
pub struct SuccessorStart {
    /// The present time.
    pub now: Timestamp,
    /// Entries that may hold attempts of the earlier scheduler.
    pub expected: Vec<InstanceId>,
    /// The end of the earlier scheduler's lease.
    pub previous_lease_until: Timestamp,
    /// How far the clocks of two instances may differ.
    pub clock_skew: Duration,
}

/// The time in which a successor does not know everything.
#[derive(Clone, Debug)]
pub(crate) struct Succession {
    missing: BTreeSet<InstanceId>,
    permits_until: Timestamp,
    holds_until: Timestamp,
}

impl Succession {
    /// The first state.
    pub fn new(start: SuccessorStart, settings: &Settings) -> Self {
        let lease_until = start.previous_lease_until.max(start.now);
        let permits_until = lease_until + settings.grant_life + start.clock_skew;
        Self {
            missing: start.expected.into_iter().collect(),
            permits_until,
            holds_until: permits_until + settings.recovery.hold_life,
        }
    }

    /// An entry reported under the new epoch.
    pub fn reported(&mut self, instance: &InstanceId) {
        self.missing.remove(instance);
    }

    /// Whether nothing is unknown any more.
    pub fn is_over(&self, now: Timestamp) -> bool {
        self.missing.is_empty() || now >= self.holds_until
    }

    /// The earlier scheduler's permits are void from then on.
    pub fn permits_until(&self) -> Timestamp {
        self.permits_until
    }

    /// Unseen holds are released by their leases by then.
    pub fn holds_until(&self) -> Timestamp {
        self.holds_until
    }

    /// When time brings the next change.
    pub fn next_wake(&self) -> Timestamp {
        self.holds_until
    }
}
