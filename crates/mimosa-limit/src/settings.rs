//! Timing of rate limits. All instances must agree on the leases.

use std::time::Duration;

/// Settings of keepers and entries.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Settings {
    /// Lease of a slice at an entry, from the report that requested it.
    pub slice_lease: Duration,
    /// Lease of a loan in another data centre, from the report that requested it.
    pub loan_lease: Duration,
    /// Time that a keeper adds to a lease before it treats the lease as expired, for clocks that
    /// run at different speeds.
    pub lease_margin: Duration,
    /// Time between reports while an account is active.
    pub heartbeat: Duration,
    /// How long a report may be delayed that only carries spent amounts and refunds, for which
    /// nobody waits.
    pub max_report_delay: Duration,
    /// Shortest time between reports while a request waits.
    pub min_report_interval: Duration,
    /// Time without requests after which an entry returns its slices.
    pub idle_timeout: Duration,
    /// Longest time that an entry lets a request wait before it rejects it.
    pub max_wait: Duration,
    /// Longest wait while no keeper answers, for example during a change of the role: it is then
    /// unknown whether the request is within the rate.
    pub keeper_timeout: Duration,
    /// Time after which a waiting request should ask again.
    pub retry_interval: Duration,
    /// Data centres asked for a loan at the same time.
    pub loan_fanout: usize,
}

impl Default for Settings {
    fn default() -> Self {
        Self {
            slice_lease: Duration::from_secs(1),
            loan_lease: Duration::from_secs(2),
            lease_margin: Duration::from_millis(50),
            heartbeat: Duration::from_millis(100),
            max_report_delay: Duration::from_millis(500),
            min_report_interval: Duration::from_millis(2),
            idle_timeout: Duration::from_millis(400),
            max_wait: Duration::from_secs(1),
            keeper_timeout: Duration::from_secs(6),
            retry_interval: Duration::from_millis(5),
            loan_fanout: 4,
        }
    }
}

impl Settings {
    /// How long a new keeper waits until no slice or loan of its predecessor can be used any more.
    pub fn takeover_delay(&self) -> Duration {
        self.loan_lease.max(self.slice_lease) + self.lease_margin
    }
}
