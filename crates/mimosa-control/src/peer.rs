//! What control instances say to each other, over TCP with `postcard` frames.
//!
//! Each instance opens one connection to each other one and only writes to it; answers come back
//! on the other side's own connection, but for signs that the connection still carries anything. A
//! message may be lost with its connection.

use mimosa_consensus::LogIndex;
use mimosa_consensus::Message;
use mimosa_protocol::InstanceId;
use mimosa_protocol::data;
use mimosa_state::CommandResult;
use mimosa_state::Operation;

use crate::entry_registry::EntryReport;

pub mod discovery;
pub mod founding;
pub mod gossip;
pub mod inbound;
pub mod outbound;

data! {
    /// One message.
    pub enum PeerMessage {
        /// Opens a connection.
        Hello {
            /// The system that the sender belongs to.
            cluster: String,
            /// The sender.
            instance: InstanceId,
        },
        /// A message of the replicated log.
        Consensus(Message),
        /// Passes a command on to the leader.
        Propose {
            /// Names the call in the answer.
            call: u64,
            /// The command.
            operation: Operation,
        },
        /// Answers [`PeerMessage::Propose`].
        Proposed {
            /// The call.
            call: u64,
            /// What became of the command.
            answer: ProposeAnswer,
        },
        /// Asks the leader for the entry up to which a state must be applied to be current.
        Read {
            /// Names the call in the answer.
            call: u64,
        },
        /// Answers [`PeerMessage::Read`].
        ReadAt {
            /// The call.
            call: u64,
            /// The entry; none if the receiver could not prove that it leads.
            index: Option<LogIndex>,
        },
        /// Asks whether the receiver belongs to a system. Answered on the same connection.
        AskFounded,
        /// Answers [`PeerMessage::AskFounded`].
        Founded(bool),
        /// Asks for the control instances that the receiver knows.
        AskMembers,
        /// Answers [`PeerMessage::AskMembers`].
        Members(Vec<InstanceId>),
        /// Asks for a sign that this connection still carries anything.
        Ping,
        /// Answers [`PeerMessage::Ping`] on the same connection.
        Pong,
        /// What the sender hears from its entries.
        InForce(Vec<(InstanceId, EntryReport)>),
    }

    /// What became of a command that was passed on.
    pub enum ProposeAnswer {
        /// It took effect.
        Done(Box<CommandResult>),
        /// It is not in the log and will not be.
        NotTaken,
        /// It may be in the log.
        Unclear,
    }
}
