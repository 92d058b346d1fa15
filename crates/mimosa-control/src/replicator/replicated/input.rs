//! Inputs of the replica thread.

use mimosa_consensus::LogIndex;
use mimosa_consensus::Message;
use mimosa_protocol::InstanceId;
use mimosa_state::CommandResult;
use mimosa_state::Operation;
use tokio::sync::oneshot;

/// Why a command has no result on this instance.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ProposeFailure {
    /// This instance does not lead; holds the presumed leader.
    NotLeader(Option<InstanceId>),
    /// The command is not in the log and never will be.
    NotCommitted,
    /// The command may be in the log.
    OutcomeUnknown,
}

/// An input of the replica thread.
pub enum Input {
    /// A message from another replica.
    Message(Message),
    /// Proposes a command.
    Propose {
        /// The command, still without a timestamp.
        operation: Operation,
        /// Receives the result once the command is applied on this instance.
        reply: oneshot::Sender<Result<CommandResult, ProposeFailure>>,
    },
    /// Asks for the log index up to which the state must be applied to be current.
    Read {
        /// Receives the log index, or the presumed leader if this instance does not lead.
        reply: oneshot::Sender<Result<LogIndex, Option<InstanceId>>>,
    },
    /// Waits until a log entry is applied on this instance.
    WaitApplied {
        /// The log index of the entry.
        index: LogIndex,
        /// Notified once it is applied.
        reply: oneshot::Sender<()>,
    },
    /// Adds discovered control instances as peers, which need not be members yet.
    AddPeers(Vec<InstanceId>),
    /// Transfers the leadership to another replica, if this one leads.
    TransferLeadership,
    /// Ends the thread without a final sync.
    Stop,
}
