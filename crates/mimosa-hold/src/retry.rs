//! Decides what follows a failed attempt, and limits the retries of a service.

use std::time::Duration;

use mimosa_protocol::ExecutionStatus;
use mimosa_protocol::Timestamp;
use mimosa_protocol::data;

/// The budget counts in thousandths of a retry.
const MILLI_PER_RETRY: u64 = 1_000;

/// Settings of a [`RetryBudget`].
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct RetrySettings {
    /// Thousandths of a retry that each success deposits.
    pub deposit_permille: u64,
    /// Retries that the budget holds at most; a new budget starts with them.
    pub max_balance: u64,
    /// Time in which one retry is deposited without any success.
    pub refill_interval: Duration,
    /// Attempts per request, including the first.
    pub max_attempts: u32,
}

impl Default for RetrySettings {
    fn default() -> Self {
        Self {
            deposit_permille: 100,
            max_balance: 10,
            refill_interval: Duration::from_secs(10),
            max_attempts: 3,
        }
    }
}

/// The retry budget of one service at one entry. Successes deposit retries, so that a pool with few
/// successes gets little load beyond first attempts and no retry storm while it recovers.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RetryBudget {
    settings: RetrySettings,
    balance_milli: u64,
    refilled_at: Timestamp,
}

impl RetryBudget {
    /// Creates a budget with the maximum balance.
    pub fn new(now: Timestamp, settings: RetrySettings) -> Self {
        Self {
            settings,
            balance_milli: settings.max_balance * MILLI_PER_RETRY,
            refilled_at: now,
        }
    }

    /// Changes the settings; a balance above the new maximum is cut.
    pub fn set_settings(&mut self, settings: RetrySettings) {
        self.settings = settings;
        self.balance_milli = self
            .balance_milli
            .min(settings.max_balance * MILLI_PER_RETRY);
    }

    /// The settings of this budget, which include the attempts allowed per request.
    pub const fn settings(&self) -> RetrySettings {
        self.settings
    }

    /// Deposits a fraction of a retry for a request that an endpoint answered.
    pub fn deposit(&mut self) {
        self.add(self.settings.deposit_permille);
    }

    /// Withdraws one retry if the balance covers it. Returns whether it did.
    pub fn try_withdraw(&mut self, now: Timestamp) -> bool {
        let enough = self.covers_retry(now);
        if enough {
            self.balance_milli -= MILLI_PER_RETRY;
        }
        enough
    }

    /// Whether the balance covers a retry.
    pub fn covers_retry(&mut self, now: Timestamp) -> bool {
        self.refill(now);
        self.balance_milli >= MILLI_PER_RETRY
    }

    fn add(&mut self, amount_milli: u64) {
        self.balance_milli =
            (self.balance_milli + amount_milli).min(self.settings.max_balance * MILLI_PER_RETRY);
    }

    fn refill(&mut self, now: Timestamp) {
        let interval = self.settings.refill_interval.as_micros().max(1) as u64;
        let count = now.since(self.refilled_at).as_micros() as u64 / interval;
        self.refilled_at =
            self.refilled_at + self.settings.refill_interval * count.min(1_000) as u32;
        if count > 1_000 {
            self.refilled_at = now;
        }
        self.add(
            count
                .saturating_mul(MILLI_PER_RETRY)
                .min(self.settings.max_balance * MILLI_PER_RETRY),
        );
    }
}

data! {
    /// How far an attempt got.
    #[derive(Copy, PartialOrd, Ord)]
    pub enum Progress {
        /// No byte of the request was sent to the endpoint.
        NotSent,
        /// Some of the request may have reached the endpoint.
        Sent,
        /// Part of the response was delivered to the caller.
        Relayed,
    }

    /// What is known for certain about an attempt at the endpoint.
    #[derive(Copy)]
    pub enum Evidence {
        /// The endpoint did not run the request.
        NotRun,
        /// The endpoint ran the request, which failed.
        Failed,
        /// Nothing is known.
        Nothing,
    }

    /// An attempt without a complete response.
    #[derive(Copy)]
    pub struct FailedAttempt {
        /// Whether the request may run more than once.
        pub idempotent: bool,
        /// How far the attempt got, as seen by the entry.
        pub progress: Progress,
        /// What is known for certain about its run at the endpoint.
        pub evidence: Evidence,
        /// Whether the same run can be resumed where the delivered response stopped.
        pub resumable: bool,
        /// Attempts so far, including this one.
        pub attempts: u32,
        /// Whether there is time for another attempt and an endpoint to run it.
        pub can_continue: bool,
    }

    /// What follows a failed attempt.
    #[derive(Copy)]
    pub enum Decision {
        /// Retry, on another endpoint if there is one.
        Retry,
        /// Resume the same run.
        Resume,
        /// Refuse the request and tell the caller whether it ran.
        Refuse(ExecutionStatus),
        /// End the response and mark it as incomplete.
        Incomplete,
    }
}

impl FailedAttempt {
    /// Whether the request ran, as the caller is told if this was the last attempt. A later attempt
    /// that did not start never turns a request that ran and failed into one that did not run.
    pub fn execution_status(&self, earlier: ExecutionStatus) -> ExecutionStatus {
        execution_status(self.progress, self.evidence).max(earlier)
    }
}

/// Whether an attempt that ended without a complete response ran, from how far it got and what its
/// endpoint proved. The cause of the end does not matter: an attempt that this instance aborts may
/// have run like one whose connection broke.
pub const fn execution_status(progress: Progress, evidence: Evidence) -> ExecutionStatus {
    match (progress, evidence) {
        (Progress::NotSent, _) | (Progress::Sent, Evidence::NotRun) => ExecutionStatus::No,
        (_, Evidence::Failed) => ExecutionStatus::Failed,
        (Progress::Sent | Progress::Relayed, _) => ExecutionStatus::Unknown,
    }
}

/// Decides what follows a failed attempt. `earlier` tells whether the request ran in the attempts
/// before; a retry is withdrawn from the budget.
pub fn decide(
    now: Timestamp,
    failure: &FailedAttempt,
    earlier: ExecutionStatus,
    budget: &mut RetryBudget,
) -> Decision {
    if failure.progress == Progress::Relayed {
        return if failure.resumable && failure.can_continue {
            Decision::Resume
        } else {
            Decision::Incomplete
        };
    }
    let ran = failure.execution_status(earlier);
    let may_run_again = ran == ExecutionStatus::No || failure.idempotent;
    let has_attempt_left =
        failure.can_continue && failure.attempts < budget.settings().max_attempts;
    if may_run_again && has_attempt_left && budget.try_withdraw(now) {
        return Decision::Retry;
    }
    Decision::Refuse(ran)
}
