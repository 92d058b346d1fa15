//! How a request can fail. Outcomes are values, not errors.

use std::fmt;
use std::time::Duration;

data! {
    /// Whether a request without a complete answer was executed.
    #[derive(Copy, Hash, PartialOrd, Ord)]
    #[serde(rename_all = "lowercase")]
    pub enum ExecutionStatus {
        /// The request did not reach an endpoint, or the endpoint stated that it did not run it.
        No,
        /// The request was executed and failed.
        Failed,
        /// The request may or may not have taken effect.
        Unknown,
    }

    /// Why a request was refused or ended without a complete answer.
    #[derive(Copy, Hash, PartialOrd, Ord)]
    #[serde(rename_all = "snake_case")]
    pub enum RefusalReason {
        /// The request has no API key, or an invalid one.
        Unauthenticated,
        /// The account is not allowed to use the service.
        Forbidden,
        /// The service or path does not exist.
        NotFound,
        /// The path does not support the method.
        WrongMethod,
        /// The request is malformed.
        Malformed,
        /// The body exceeds the configured limit.
        TooLarge,
        /// The client sent the request too slowly.
        SlowSender,
        /// The account exceeds its rate limit and burst.
        OverRate,
        /// The request costs more than the burst of the account, so that it can never be admitted.
        OverBurst,
        /// The latency target can no longer be met.
        TooLate,
        /// The queue is full.
        QueueFull,
        /// No endpoint can serve the request.
        NoEndpoint,
        /// The instance is shutting down.
        Draining,
        /// The data centre is taken out of service.
        DataCentreOut,
        /// The request crashed endpoints and is quarantined.
        Quarantined,
        /// The idempotency key was used before with another request.
        IdempotencyConflict,
        /// The start of a non-idempotent call could not be recorded: no quorum was available, the
        /// ledger is full, or the idempotency key is too long.
        NoQuorum,
        /// The instance cannot confirm that its configuration is up to date.
        Stale,
        /// The endpoint failed.
        EndpointFailed,
        /// The endpoint did not answer in time.
        Timeout,
        /// The client cancelled the request or disconnected.
        Cancelled,
        /// The instance has no memory for the request at present.
        MemoryFull,
    }

    /// The end of a request without a complete answer.
    pub struct Refusal {
        /// The cause, whose name goes into the answer and the metrics.
        pub reason: RefusalReason,
        /// Whether the request was executed.
        pub ran: ExecutionStatus,
        /// Time after which a retry may succeed; `None` if waiting does not help.
        pub retry_after: Option<Duration>,
    }
}

impl RefusalReason {
    /// All reasons, for metric labels.
    pub const ALL: [Self; 22] = [
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
        Self::MemoryFull,
    ];

    /// Stable name of the reason, as used in answers and metrics.
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
            Self::MemoryFull => "memory_full",
        }
    }
}

impl Refusal {
    /// A refusal of a request that was not executed.
    pub const fn not_run(reason: RefusalReason) -> Self {
        Self {
            reason,
            ran: ExecutionStatus::No,
            retry_after: None,
        }
    }

    /// The failure of a request that was executed.
    pub const fn failed(reason: RefusalReason) -> Self {
        Self {
            reason,
            ran: ExecutionStatus::Failed,
            retry_after: None,
        }
    }

    /// The failure of a request that may or may not have been executed.
    pub const fn unknown(reason: RefusalReason) -> Self {
        Self {
            reason,
            ran: ExecutionStatus::Unknown,
            retry_after: None,
        }
    }

    /// Sets the time after which a retry may succeed.
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
