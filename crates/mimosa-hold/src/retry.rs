//! What follows a failed attempt, and how many retries a service may have.

use std::time::Duration;

use mimosa_protocol::ExecutionStatus;
use mimosa_protocol::Timestamp;
use mimosa_protocol::data;

/// Thousandths of a retry.
const WHOLE: u64 = 1_000;

/// Settings of a [`RetryBudget`].
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct RetrySettings {
    /// Thousandths of a retry that each success earns.
    pub per_success: u64,
    /// Retries that may be saved up; a new budget starts with them.
    pub saved: u64,
    /// Time in which one retry is earned without any success.
    pub trickle: Duration,
    /// Attempts of one request, the first included.
    pub max_attempts: u32,
}

impl Default for RetrySettings {
    fn default() -> Self {
        Self {
            per_success: 100,
            saved: 10,
            trickle: Duration::from_secs(10),
            max_attempts: 3,
        }
    }
}

/// The retries of one service at one entry. Successes earn them, so a pool that answers little
/// gets little more than its first attempts, and is not stormed while it recovers.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RetryBudget {
    settings: RetrySettings,
    balance: u64,
    trickled: Timestamp,
}

impl RetryBudget {
    /// A budget with all its savings.
    pub fn new(now: Timestamp, settings: RetrySettings) -> Self {
        Self {
            settings,
            balance: settings.saved * WHOLE,
            trickled: now,
        }
    }

    /// Changes the settings; savings beyond the new ones are lost.
    pub fn set_settings(&mut self, settings: RetrySettings) {
        self.settings = settings;
        self.balance = self.balance.min(settings.saved * WHOLE);
    }

    /// The settings.
    pub const fn settings(&self) -> RetrySettings {
        self.settings
    }

    /// Counts a request that an endpoint answered.
    pub fn succeeded(&mut self) {
        self.earn(self.settings.per_success);
    }

    /// Takes one retry if there is one.
    pub fn take(&mut self, now: Timestamp) -> bool {
        self.trickle(now);
        let enough = self.balance >= WHOLE;
        if enough {
            self.balance -= WHOLE;
        }
        enough
    }

    fn earn(&mut self, part: u64) {
        self.balance = (self.balance + part).min(self.settings.saved * WHOLE);
    }

    fn trickle(&mut self, now: Timestamp) {
        let span = self.settings.trickle.as_micros().max(1) as u64;
        let count = now.since(self.trickled).as_micros() as u64 / span;
        self.trickled = self.trickled + self.settings.trickle * count.min(1_000) as u32;
        if count > 1_000 {
            self.trickled = now;
        }
        self.earn(count.saturating_mul(WHOLE).min(self.settings.saved * WHOLE));
    }
}

data! {
    /// How far an attempt got.
    #[derive(Copy, PartialOrd, Ord)]
    pub enum Progress {
        /// No byte of the request left for the endpoint.
        NotSent,
        /// Some of the request may have reached the endpoint.
        Sent,
        /// Part of the answer went to the caller.
        Relayed,
    }

    /// What the endpoint proved about an attempt.
    #[derive(Copy)]
    pub enum Evidence {
        /// It did nothing.
        NotRun,
        /// It ran the request, and that failed.
        Failed,
        /// Nothing.
        Nothing,
    }

    /// An attempt that brought no whole answer.
    #[derive(Copy)]
    pub struct Failure {
        /// Whether the request may run more than once.
        pub idempotent: bool,
        /// How far it got.
        pub progress: Progress,
        /// What the endpoint proved.
        pub evidence: Evidence,
        /// Whether the same run can be resumed where the caller's answer stopped.
        pub resumable: bool,
        /// Attempts so far, this one included.
        pub attempts: u32,
        /// Whether there is time for another attempt, and an endpoint to take it.
        pub possible: bool,
    }

    /// What follows a failed attempt.
    #[derive(Copy)]
    pub enum Decision {
        /// Try again, on another endpoint if there is one.
        Retry,
        /// Go on with the same run.
        Resume,
        /// Refuse; this is what the caller may assume.
        Refuse(ExecutionStatus),
        /// End the answer marked as incomplete.
        Incomplete,
    }
}

impl Failure {
    /// What the caller may assume if this was the last attempt. A request that ran before and
    /// failed is never called "not run" by a later attempt that did not start.
    pub fn ran(&self, earlier: ExecutionStatus) -> ExecutionStatus {
        let this = match (self.progress, self.evidence) {
            (Progress::NotSent, _) | (Progress::Sent, Evidence::NotRun) => ExecutionStatus::No,
            (_, Evidence::Failed) => ExecutionStatus::Failed,
            _ => ExecutionStatus::Unknown,
        };
        this.max(earlier)
    }
}

/// Decides what follows a failed attempt. `earlier` is what may be assumed about the attempts
/// before it; a retry is taken from the budget.
pub fn decide(
    now: Timestamp,
    failure: &Failure,
    earlier: ExecutionStatus,
    budget: &mut RetryBudget,
) -> Decision {
    if failure.progress == Progress::Relayed {
        return if failure.resumable && failure.possible {
            Decision::Resume
        } else {
            Decision::Incomplete
        };
    }
    let ran = failure.ran(earlier);
    let allowed = ran == ExecutionStatus::No || failure.idempotent;
    let left = failure.possible && failure.attempts < budget.settings().max_attempts;
    if allowed && left && budget.take(now) {
        return Decision::Retry;
    }
    Decision::Refuse(ran)
}
