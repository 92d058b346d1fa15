//! Timing of the membership protocol.

use std::time::Duration;

/// Timing of the membership protocol. All entries of a data centre must use the same values.
#[derive(Clone, Copy, Debug)]
pub struct Settings {
    /// Time between two heartbeats to a peer.
    pub heartbeat: Duration,
    /// How long a role holder may act after it sent a heartbeat that a quorum acknowledged.
    pub lease: Duration,
    /// How long a successor waits beyond the lease; at least a tenth of the lease applies. Covers
    /// the difference in clock rates.
    pub guard: Duration,
    /// Silence after which a peer is suspected and its roles move.
    pub suspect_after: Duration,
    /// Silence after which a peer that the platform does not list is gone.
    pub gone_after: Duration,
    /// How long a new peer must be in contact before it joins the view.
    pub join_after: Duration,
    /// Maximum delay with which the platform's list reflects a change.
    pub list_lag: Duration,
    /// Age after which the platform's list is ignored.
    pub list_max_age: Duration,
    /// Time limit for one agreement round.
    pub round_timeout: Duration,
    /// Whether members that are silent and dropped by the platform count as terminated once a
    /// quorum of the view is lost. If `false`, such a data centre waits until a quorum is back.
    pub recover_by_platform_list: bool,
}

impl Settings {
    /// How long a successor waits beyond the lease: the guard, but at least a tenth of the lease.
    pub fn guard_time(&self) -> Duration {
        self.guard.max(self.lease / 10)
    }
}

impl Default for Settings {
    fn default() -> Self {
        Self {
            heartbeat: Duration::from_millis(500),
            lease: Duration::from_millis(1_500),
            guard: Duration::from_millis(150),
            suspect_after: Duration::from_millis(2_000),
            gone_after: Duration::from_secs(10),
            join_after: Duration::from_secs(2),
            list_lag: Duration::from_secs(10),
            list_max_age: Duration::from_secs(30),
            round_timeout: Duration::from_millis(500),
            recover_by_platform_list: true,
        }
    }
}
