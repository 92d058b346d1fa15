//! How a request can end. Outcomes are values, not errors.

use std::fmt;
use std::time::Duration;

data! {
    /// What a caller may assume about a request that brought no whole answer.
    #[derive(Copy, Hash, PartialOrd, Ord)]
    #[serde(rename_all = "lowercase")]
    pub enum ExecutionStatus {
        /// Nothing of the request reached an endpoint, or the endpoint proved that it did nothing.
        No,
        /// The request ran and failed.
        Failed,
        /// Nobody can tell whether the request took effect.
        Unknown,
    }

    /// Why a request was refused or ended without a whole answer.
    #[derive(Copy, Hash, PartialOrd, Ord)]
    #[serde(rename_all = "snake_case")]
    pub enum RefusalReason {
        /// No key, or a key that is not in force.
        Unauthenticated,
        /// The account may not use the service.
        Forbidden,
        /// No such service or path.
        NotFound,
        /// The path does not take this method.
        WrongMethod,
        /// The request is malformed.
        Malformed,
        /// The body is larger than the settings allow.
        TooLarge,
        /// The caller sent too slowly.
        SlowSender,
        /// The account is over its rate and burst.
        OverRate,
        /// The request costs more than the account's whole burst: it can never be admitted.
        OverBurst,
        /// The latency target can no longer be met.
        TooLate,
        /// The queue is full.
        QueueFull,
        /// No endpoint can take the request.
        NoEndpoint,
        /// The instance is shutting down.
        Draining,
        /// The data centre is taken out.
        DataCentreOut,
        /// The request crashed endpoints and is quarantined.
        Quarantined,
        /// The same idempotency key came with another body.
        IdempotencyConflict,
        /// No quorum could record the intent.
        NoQuorum,
        /// The instance cannot confirm that its configuration is fresh.
        Stale,
        /// The endpoint failed.
        EndpointFailed,
        /// The endpoint did not end in time.
        Timeout,
        /// The caller left.
        Cancelled,
    }

    /// A request that ended without a whole answer.
    pub struct Refusal {
        /// Why.
        pub reason: RefusalReason,
        /// What the caller may assume.
        pub ran: ExecutionStatus,
        /// When a resend may succeed, where waiting helps.
        pub retry_after: Option<Duration>,
    }
}

impl RefusalReason {
    /// Every reason, for bounded metric labels.
    pub const ALL: [Self; 21] = [
        Self::Unauthenticated,
        Self::Forbidden,
        Self::NotFound,
        Self::WrongMethod,
        Self::Malformed,
        Self::TooLarge,
        Self::SlowSender,
        Self::OverRate,
        Self::OverBurst,
        Self::TooLate,
        Self::QueueFull,
        Self::NoEndpoint,
        Self::Draining,
        Self::DataCentreOut,
        Self::Quarantined,
        Self::IdempotencyConflict,
        Self::NoQuorum,
        Self::Stale,
        Self::EndpointFailed,
        Self::Timeout,
        Self::Cancelled,
    ];

    /// The reason as a stable word.
    pub const fn as_str(self) -> &'static str {
        match self {
            Self::Unauthenticated => "unauthenticated",
            Self::Forbidden => "forbidden",
            Self::NotFound => "not_found",
            Self::WrongMethod => "wrong_method",
            Self::Malformed => "malformed",
            Self::TooLarge => "too_large",
            Self::SlowSender => "slow_sender",
            Self::OverRate => "over_rate",
            Self::OverBurst => "over_burst",
            Self::TooLate => "too_late",
            Self::QueueFull => "queue_full",
            Self::NoEndpoint => "no_endpoint",
            Self::Draining => "draining",
            Self::DataCentreOut => "data_centre_out",
            Self::Quarantined => "quarantined",
            Self::IdempotencyConflict => "idempotency_conflict",
            Self::NoQuorum => "no_quorum",
            Self::Stale => "stale",
            Self::EndpointFailed => "endpoint_failed",
            Self::Timeout => "timeout",
            Self::Cancelled => "cancelled",
        }
    }
}

impl Refusal {
    /// A refusal of a request that did not run.
    pub const fn not_run(reason: RefusalReason) -> Self {
        Self {
            reason,
            ran: ExecutionStatus::No,
            retry_after: None,
        }
    }

    /// A request that ran and failed.
    pub const fn failed(reason: RefusalReason) -> Self {
        Self {
            reason,
            ran: ExecutionStatus::Failed,
            retry_after: None,
        }
    }

    /// A request of which nobody can tell whether it ran.
    pub const fn unknown(reason: RefusalReason) -> Self {
        Self {
            reason,
            ran: ExecutionStatus::Unknown,
            retry_after: None,
        }
    }

    /// The same refusal with a hint when to come back.
    #[must_use]
    pub const fn retry_after(self, time: Duration) -> Self {
        Self {
            retry_after: Some(time),
            ..self
        }
    }
}

impl fmt::Display for RefusalReason {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(self.as_str())
    }
}

impl fmt::Display for ExecutionStatus {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Self::No => "no",
            Self::Failed => "failed",
            Self::Unknown => "unknown",
        })
    }
}
