//! Handover from an earlier scheduler to its successor.
//!
//! All endpoints stay closed until every expected entry has reported under the new epoch, which
//! takes one heartbeat. From then on the entries reject older grants, and all holds (the attempts
//! that entries keep at the endpoints) are known. If an entry does not report, a prefill endpoint
//! stays closed until the grants of the earlier scheduler are void. A decode or plain endpoint
//! additionally waits for a load report that was measured after that and shows the memory in use,
//! or until the leases of unreported holds have expired.

use std::collections::BTreeSet;
use std::time::Duration;

use mimosa_protocol::InstanceId;
use mimosa_protocol::Timestamp;

use crate::settings::Settings;

/// Initial state of a successor.
#[derive(Clone, Debug)]
pub struct SuccessorStart {
    /// Time at which the successor starts, on its own clock.
    pub now: Timestamp,
    /// Entries that may hold attempts of the earlier scheduler and have to report.
    pub expected: Vec<InstanceId>,
    /// Expiry of the earlier scheduler's lease.
    pub previous_lease_until: Timestamp,
    /// Maximum clock difference between two instances.
    pub clock_skew: Duration,
}

/// State of a handover that is not complete.
#[derive(Clone, Debug)]
pub(crate) struct Handover {
    unreported: BTreeSet<InstanceId>,
    grants_end: Timestamp,
    holds_end: Timestamp,
}

impl Handover {
    pub fn new(start: SuccessorStart, settings: &Settings) -> Self {
        let lease_until = start.previous_lease_until.max(start.now);
        let grants_end = lease_until + settings.grant_ttl + start.clock_skew;
        Self {
            unreported: start.expected.into_iter().collect(),
            grants_end,
            holds_end: grants_end + settings.recovery.hold_ttl,
        }
    }

    /// Records that an entry has reported under the new epoch.
    pub fn record_report(&mut self, instance: &InstanceId) {
        self.unreported.remove(instance);
    }

    /// Whether all holds of the earlier scheduler are known or released.
    pub fn is_complete(&self, now: Timestamp) -> bool {
        self.unreported.is_empty() || now >= self.holds_end
    }

    /// Time from which all grants of the earlier scheduler are void.
    pub fn grants_end(&self) -> Timestamp {
        self.grants_end
    }

    /// Time by which the leases of unreported holds have expired.
    pub fn holds_end(&self) -> Timestamp {
        self.holds_end
    }

    /// Time at which the handover ends without further reports.
    pub fn next_wake(&self) -> Timestamp {
        self.holds_end
    }
}
