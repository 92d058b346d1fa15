//! Settings of [`Scheduler`](crate::Scheduler).

use std::time::Duration;

use mimosa_protocol::Epoch;
use mimosa_protocol::KvBlocks;
use mimosa_protocol::Tokens;
use mimosa_protocol::size::TOKENS_PER_BLOCK;

/// Settings of a [`Scheduler`](crate::Scheduler), which do not change while it exists.
#[derive(Clone, Debug, PartialEq)]
pub struct Settings {
    /// Epoch of all grants of this scheduler, higher than that of any earlier scheduler of the
    /// service.
    pub epoch: Epoch,
    /// Time in which an entry must start a granted attempt; the grant is void afterwards.
    pub grant_ttl: Duration,
    /// Queueing, shedding and fair shares.
    pub queue: QueueSettings,
    /// Choice of endpoints and memory reservations.
    pub placement: PlacementSettings,
    /// Ramp-up of cold endpoints.
    pub ramp: RampSettings,
    /// Retries and reconciliation after lost messages.
    pub recovery: RecoverySettings,
}

/// Queueing, shedding and fair shares between accounts.
#[derive(Clone, Debug, PartialEq)]
pub struct QueueSettings {
    /// Maximum number of queued requests over all accounts.
    pub max_queued: usize,
    /// Safety margin before a latency target, for errors of the estimate.
    pub start_margin: Duration,
    /// Whether to refuse queued requests that can no longer meet their first-token target.
    /// Otherwise they wait up to the maximum queue time of the service.
    pub shed_late: bool,
    /// Whether to refuse a request on submission if it is not expected to start in time.
    pub shed_early: bool,
    /// Maximum expected wait of a new request, in thousandths of the time until its latest start. A
    /// lower value refuses earlier: this helps if refused requests can go to another data centre,
    /// and loses requests if they cannot.
    pub wait_permille: u32,
    /// Maximum number of tokens by which a paused account may lag behind the others and still catch
    /// up.
    pub max_lag: Tokens,
    /// Idle time after which the lag of an account is dropped, so that idling gains no credit.
    pub max_idle_time: Duration,
    /// Number of accounts to try in one decision, starting with the one that is due.
    pub lookahead: usize,
}

/// Choice of endpoints and memory reservations.
#[derive(Clone, Debug, PartialEq)]
pub struct PlacementSettings {
    /// How long before a prefill endpoint becomes idle the next prompt may be sent to it.
    pub prefill_lookahead: Duration,
    /// Remaining tokens at which a reservation is grown by another block.
    pub growth_margin: Tokens,
    /// Blocks of each decode endpoint that are kept free for growing reservations.
    pub growth_reserve: KvBlocks,
    /// Prompt tokens covered by one hash of a prefix chain.
    pub prefix_tokens: Tokens,
    /// Maximum number of prefix hashes to track for each endpoint.
    pub max_prefixes: usize,
    /// Maximum number of endpoints to compare for one request.
    pub max_candidates: usize,
}

/// Ramp-up of cold endpoints.
#[derive(Clone, Debug, PartialEq)]
pub struct RampSettings {
    /// Concurrent requests that a cold endpoint is given initially.
    pub initial_permits: u32,
    /// Minimum time between two doublings of the permits.
    pub doubling_interval: Duration,
    /// Consecutive failures after which a warm endpoint is treated as cold.
    pub failures_to_cold: u32,
    /// Backoff after the first failure of a cold endpoint; doubles with each further failure.
    pub backoff: Duration,
    /// Upper limit of the backoff.
    pub max_backoff: Duration,
    /// Ratio of recent latency to the endpoint's own history, in thousandths, above which it is
    /// treated as cold.
    pub slow_permille: u64,
    /// Number of latency samples required before slowness is detected.
    pub min_samples: u32,
}

/// Retries and reconciliation after lost messages.
#[derive(Clone, Debug, PartialEq)]
pub struct RecoverySettings {
    /// Interval at which an abort is repeated until the end of the attempt is reported.
    pub abort_retry_interval: Duration,
    /// Time for which an attempt must be missing from the entries' reports before it counts as
    /// ended. Entries must report more often than this.
    pub missing_grace: Duration,
    /// Lease of the attempts that an entry holds: after this time without a report, it has released
    /// them.
    pub hold_ttl: Duration,
}

impl Default for Settings {
    fn default() -> Self {
        Self {
            epoch: Epoch(1),
            grant_ttl: Duration::from_millis(250),
            queue: QueueSettings::default(),
            placement: PlacementSettings::default(),
            ramp: RampSettings::default(),
            recovery: RecoverySettings::default(),
        }
    }
}

impl Default for QueueSettings {
    fn default() -> Self {
        Self {
            max_queued: 4_096,
            start_margin: Duration::from_millis(30),
            shed_late: true,
            shed_early: true,
            wait_permille: 1_000,
            max_lag: Tokens(50_000),
            max_idle_time: Duration::from_secs(10),
            lookahead: 8,
        }
    }
}

impl Default for PlacementSettings {
    fn default() -> Self {
        Self {
            prefill_lookahead: Duration::from_millis(20),
            growth_margin: Tokens(128),
            growth_reserve: KvBlocks(1),
            prefix_tokens: TOKENS_PER_BLOCK,
            max_prefixes: 4_096,
            max_candidates: 4,
        }
    }
}

impl Default for RampSettings {
    fn default() -> Self {
        Self {
            initial_permits: 2,
            doubling_interval: Duration::from_millis(500),
            failures_to_cold: 3,
            backoff: Duration::from_millis(250),
            max_backoff: Duration::from_secs(15),
            slow_permille: 2_000,
            min_samples: 8,
        }
    }
}

impl Default for RecoverySettings {
    fn default() -> Self {
        Self {
            abort_retry_interval: Duration::from_secs(1),
            missing_grace: Duration::from_secs(2),
            hold_ttl: Duration::from_secs(30),
        }
    }
}
