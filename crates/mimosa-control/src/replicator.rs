//! The border to the replicated log.

use std::pin::Pin;

use mimosa_state::CommandResult;
use mimosa_state::Operation;
use thiserror::Error;

pub mod memory;
pub mod replicated;

pub use crate::replicator::memory::MemoryReplicator;
pub use crate::replicator::replicated::ReplicatedLog;

/// A boxed future that may move between threads.
pub type BoxFuture<'a, T> = Pin<Box<dyn Future<Output = T> + Send + 'a>>;

/// Why a command did not come back with a result.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Error)]
pub enum ProposeError {
    /// The command is not in the log and will not be.
    #[error("no quorum of control instances took it: nothing changed")]
    NoQuorum,
    /// The command may be in the log. A resend of the same order finds out.
    #[error("no quorum confirmed it in time: it may still take effect")]
    Unclear,
}

/// This instance could not prove that its state is current.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Error)]
#[error("this control instance cannot prove that it is current")]
pub struct NotCurrent;

/// How this instance stands in the replicated log.
#[derive(Clone, Debug, Default, PartialEq, Eq, serde::Serialize)]
pub struct ReplicaStatus {
    /// Its role, as a word: `leader`, `follower`, `candidate`, `learner`, or `stopped` while its
    /// disk takes no writes.
    pub role: String,
    /// Whether this instance, in its present life, has a vote. After the loss of a disk the repair
    /// is done once this is true again.
    pub votes: bool,
    /// The leader as far as this instance knows.
    pub leader: Option<String>,
    /// The term.
    pub term: u64,
    /// The newest committed log index that this instance knows of.
    pub committed: u64,
    /// The first log index of this leader's term; 0 if it does not lead.
    pub leads_from: u64,
    /// The instances with a vote.
    pub voters: Vec<String>,
    /// The instances that are catching up.
    pub learners: Vec<String>,
    /// Why writes stopped, if they did.
    pub fault: Option<String>,
}

/// Commits commands and proves freshness.
pub trait Replicator: Send + Sync + 'static {
    /// Commits a command and applies it here.
    fn propose(&self, operation: Operation) -> BoxFuture<'_, Result<CommandResult, ProposeError>>;

    /// Waits until the applied state holds all that was committed when this was called.
    fn read_barrier(&self) -> BoxFuture<'_, Result<(), NotCurrent>>;

    /// How this instance stands.
    fn status(&self) -> ReplicaStatus;

    /// Hands the leadership on and stops.
    fn shutdown(&self) -> BoxFuture<'_, ()>;

    /// Stops without handing anything on.
    fn kill(&self) -> BoxFuture<'_, ()>;
}
