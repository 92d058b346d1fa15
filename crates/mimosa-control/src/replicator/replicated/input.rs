//! What the driving thread is told.

use mimosa_consensus::LogIndex;
use mimosa_consensus::Message;
use mimosa_protocol::InstanceId;
use mimosa_state::CommandResult;
use mimosa_state::Operation;
use tokio::sync::oneshot;

/// Why a command has no result.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ProposeFailure {
    /// This instance does not lead; that one may.
    NotLeader(Option<InstanceId>),
    /// The command is certainly not in the log.
    NotTaken,
    /// The command may be in the log.
    Unclear,
}

/// One input.
pub enum Input {
    /// A message of another replica.
    Message(Message),
    /// A command.
    Propose {
        /// The command without its time.
        operation: Operation,
        /// Where its result goes.
        reply: oneshot::Sender<Result<CommandResult, ProposeFailure>>,
    },
    /// Asks for the entry up to which the state must be applied to be current.
    Read {
        /// Where the answer goes; on refusal, who may lead.
        reply: oneshot::Sender<Result<LogIndex, Option<InstanceId>>>,
    },
    /// Waits for an entry to be applied here.
    WaitApplied {
        /// The entry.
        index: LogIndex,
        /// Where the news go.
        reply: oneshot::Sender<()>,
    },
    /// Other control instances that were discovered.
    MorePeers(Vec<InstanceId>),
    /// Hands the leadership on.
    Transfer,
    /// Ends the thread.
    Stop,
}
