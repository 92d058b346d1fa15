//! The protocol between control instances: `postcard` frames over TCP.
//!
//! Each instance opens one connection to every other instance and sends on it. Replies arrive on
//! the connection that the other instance opened, except [`PeerMessage::Bootstrapped`] and
//! [`PeerMessage::Pong`], which use the connection of their request. A message can be lost with its
//! connection.

use mimosa_consensus::LogIndex;
use mimosa_consensus::Message;
use mimosa_protocol::InstanceId;
use mimosa_protocol::data;
use mimosa_state::CommandResult;
use mimosa_state::Operation;

use crate::entry_registry::EntryReport;

pub mod bootstrap;
pub mod discovery;
pub mod gossip;
pub mod inbound;
pub mod outbound;

data! {
    /// A message between control instances.
    pub enum PeerMessage {
        /// First message of a connection. The receiver closes the connection if the cluster differs
        /// or, without peer discovery, the sender is not configured.
        Hello {
            /// The name of the sender's cluster.
            cluster: String,
            /// The name of the sender, to which replies are sent.
            instance: InstanceId,
        },
        /// A message of the replicated log.
        Consensus(Message),
        /// Forwards a command to the leader.
        Propose {
            /// Identifies the call in the reply.
            call_id: u64,
            /// The command, to which the leader adds its time.
            operation: Operation,
        },
        /// Reply to [`PeerMessage::Propose`].
        Proposed {
            /// The `call_id` of the request.
            call_id: u64,
            /// The outcome of the command, with its result if it was applied.
            answer: ProposeOutcome,
        },
        /// Asks the leader for the log index up to which a state must be applied to be current.
        RequestReadIndex {
            /// Identifies the call in the reply.
            call_id: u64,
        },
        /// Reply to [`PeerMessage::RequestReadIndex`].
        ReadIndex {
            /// The `call_id` of the request.
            call_id: u64,
            /// The log index; `None` if the sender of this reply could not prove that it leads.
            index: Option<LogIndex>,
        },
        /// Asks whether the receiver belongs to a bootstrapped cluster. Answered on the same
        /// connection.
        QueryBootstrapped,
        /// Reply to [`PeerMessage::QueryBootstrapped`]: whether the sender knows of any voter.
        Bootstrapped(bool),
        /// Asks for the control instances that the receiver knows.
        QueryMembers,
        /// Reply to [`PeerMessage::QueryMembers`]: the voters and learners, and the instances that the
        /// sender is connected to.
        Members(Vec<InstanceId>),
        /// Checks that this connection is alive; sent periodically.
        Ping,
        /// Reply to [`PeerMessage::Ping`], on the same connection.
        Pong,
        /// Reports that the sender received from its entries.
        EntryReports(Vec<(InstanceId, EntryReport)>),
    }

    /// The outcome of a forwarded command.
    pub enum ProposeOutcome {
        /// The command was committed and applied.
        Applied(Box<CommandResult>),
        /// The command is not in the log and never will be.
        NotCommitted,
        /// The command may be in the log.
        OutcomeUnknown,
    }
}
