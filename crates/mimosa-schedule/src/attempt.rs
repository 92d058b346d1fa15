//! State and reservations of a running attempt.

use std::time::Duration;

use mimosa_protocol::InstanceId;
use mimosa_protocol::Timestamp;
use mimosa_protocol::Tokens;

use crate::Grant;
use crate::Submission;
use crate::pool::Slot;

/// A granted attempt whose end has not been reported.
#[derive(Clone, Debug)]
pub(crate) struct Attempt {
    pub submission: Submission,
    /// The grant, with the current number of reserved blocks.
    pub grant: Grant,
    pub granted_at: Timestamp,
    /// Pending prefill; `None` once the prompt has been processed.
    pub prompt: Option<PendingPrompt>,
    /// Pending KV cache transfer; `None` after its end, or if one endpoint does both prefill and
    /// decode.
    pub transfer: Option<PendingTransfer>,
    pub decode: Slot,
    /// Tokens charged to the account at the grant.
    pub charged: Tokens,
    pub output: Tokens,
    /// Time of the last progress report or of the end of the transfer.
    pub output_at: Timestamp,
    pub aborted: bool,
    /// Entry that reported the attempt last.
    pub owner: Option<InstanceId>,
    /// Time since which the reports of its entry no longer contain the attempt.
    pub missing_since: Option<Timestamp>,
}

/// A prompt at a prefill endpoint that has not been processed completely.
#[derive(Clone, Copy, Debug)]
pub(crate) struct PendingPrompt {
    pub slot: Slot,
    /// Expected processing time.
    pub time: Duration,
    /// Prompt tokens expected to be in the prefix cache.
    pub cached: Tokens,
}

/// A transfer of a KV cache that has not finished.
#[derive(Clone, Copy, Debug)]
pub(crate) struct PendingTransfer {
    /// Prefill endpoint that sends the KV cache.
    pub from: Slot,
    /// Expected transfer time.
    pub time: Duration,
}

impl Attempt {
    /// Tokens in the KV cache of the attempt.
    pub fn held_tokens(&self) -> Tokens {
        self.submission.prompt + self.output
    }

    /// Whether the attempt can be stopped and repeated without a visible effect for the client.
    pub fn can_be_preempted(&self) -> bool {
        self.submission.idempotent && self.output == Tokens::ZERO && !self.aborted
    }
}
