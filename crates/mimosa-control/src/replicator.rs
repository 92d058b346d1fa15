//! The interface to the replicated log.

use std::collections::BTreeSet;
use std::pin::Pin;

use mimosa_consensus::LogIndex;
use mimosa_protocol::InstanceId;
use mimosa_state::CommandResult;
use mimosa_state::Operation;
use thiserror::Error;

pub mod memory;
pub mod replicated;

pub use crate::replicator::memory::MemoryReplicator;
pub use crate::replicator::replicated::ReplicatedLog;

/// A boxed, `Send` future.
pub type BoxFuture<'a, T> = Pin<Box<dyn Future<Output = T> + Send + 'a>>;

/// Why a proposed command has no result.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Error)]
pub enum ProposeError {
    /// The command is not in the log and never will be.
    #[error("no quorum of control instances took it: nothing changed")]
    NoQuorum,
    /// The command may be in the log. Resending the same order returns its outcome.
    #[error("no quorum confirmed it in time: it may still take effect")]
    OutcomeUnknown,
}

/// This instance could not prove that its state is current.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Error)]
#[error("this control instance cannot prove that it is current")]
pub struct NotCurrent;

/// The status of this instance's replica.
#[derive(Clone, Debug, Default, PartialEq, Eq, serde::Serialize)]
pub struct ReplicaStatus {
    /// `leader`, `follower`, `candidate`, `learner`, or `stopped` while writes to its disk fail.
    pub role: String,
    /// Whether this instance is a voter in its current incarnation. After the loss of a disk, the
    /// repair is complete when this is true again.
    pub votes: bool,
    /// The leader known to this instance, by name; `None` if none is known.
    pub leader: Option<String>,
    /// The election term that this instance is in; never decreases.
    pub term: u64,
    /// The highest log index known to be committed.
    pub committed: u64,
    /// The first log index of this term if this instance leads, else 0.
    pub leads_from: u64,
    /// The voting instances, by name.
    pub voters: Vec<String>,
    /// The non-voting instances, which catch up on the log.
    pub learners: Vec<String>,
    /// The instances that this replica connects to: those of the committed membership and of the latest one
    /// in its log.
    #[serde(skip)]
    pub named: BTreeSet<InstanceId>,
    /// Whether this replica asks other instances for the members.
    #[serde(skip)]
    pub seeks_members: bool,
    /// Why this replica stopped, if it did.
    pub fault: Option<String>,
}

/// Commits commands and proves that the applied state is current.
pub trait Replicator: Send + Sync + 'static {
    /// Commits a command and returns its result once it is applied.
    fn propose(&self, operation: Operation) -> BoxFuture<'_, Result<CommandResult, ProposeError>>;

    /// Waits until the applied state includes everything committed before this call. Returns the log
    /// index up to which that is proven; everything committed after the call has a higher one.
    fn read_barrier(&self) -> BoxFuture<'_, Result<LogIndex, NotCurrent>>;

    /// The status that the replica last published; not proven to be current.
    fn status(&self) -> ReplicaStatus;

    /// Transfers the leadership if this instance leads, then stops.
    fn shutdown(&self) -> BoxFuture<'_, ()>;

    /// Stops without transferring the leadership.
    fn kill(&self) -> BoxFuture<'_, ()>;
}
