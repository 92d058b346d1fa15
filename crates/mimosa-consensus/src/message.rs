//! Messages between replicas.

use mimosa_protocol::Incarnation;
use mimosa_protocol::InstanceId;
use mimosa_protocol::data;

use crate::entry::Entry;
use crate::entry::SnapshotMeta;
use crate::id::LogIndex;
use crate::id::Nonce;
use crate::id::ReplicaId;
use crate::id::Round;
use crate::id::Term;

data! {
    /// A message. It may be lost, delayed, duplicated and reordered.
    #[derive(Hash)]
    pub struct Message {
        /// The sending replica, with the incarnation of its disk.
        pub from: ReplicaId,
        /// The instance to which the driver sends it.
        pub to: InstanceId,
        /// The receiving incarnation; `None` if the sender cannot know it.
        pub to_incarnation: Option<Incarnation>,
        /// The sender's current term.
        pub term: Term,
        /// The request or reply.
        pub body: Body,
    }

    /// A request to another replica, or the reply to one.
    #[derive(Hash)]
    pub enum Body {
        /// Asks whether the sender could win an election in the next term. Changes no state.
        PreVote(VoteRequest),
        /// Answers [`Body::PreVote`].
        PreVoteReply {
            /// The term of the election that was asked about.
            next_term: Term,
            /// Whether the sender would vote for the receiver.
            granted: bool,
        },
        /// Requests a vote in the message's term.
        Vote(VoteRequest),
        /// Answers [`Body::Vote`].
        VoteReply {
            /// Whether the sender voted for the receiver, and has synced this vote.
            granted: bool,
        },
        /// Replicates entries; a heartbeat if there are none.
        Append(Append),
        /// Answers [`Body::Append`], and the last chunk of a snapshot.
        AppendReply(AppendReply),
        /// Sends part of a snapshot to a member whose next entry is compacted.
        SnapshotChunk(SnapshotChunk),
        /// Answers [`Body::SnapshotChunk`].
        SnapshotReply {
            /// Index of the snapshot.
            index: LogIndex,
            /// Byte offset of the next chunk expected.
            next_offset: u64,
        },
        /// Asks the leader for a read index.
        ReadIndex {
            /// Returned in the reply.
            nonce: Nonce,
        },
        /// Answers [`Body::ReadIndex`].
        ReadIndexReply {
            /// As given in the request.
            nonce: Nonce,
            /// The read index; `None` if the receiver cannot prove that it leads.
            index: Option<LogIndex>,
        },
        /// Tells a follower to start an election immediately.
        TimeoutNow,
        /// Asks the leader to add the sender as a learner, and to promote it once it has caught
        /// up.
        Join,
    }

    /// State of a candidate's log, by which voters decide.
    #[derive(Hash, Copy)]
    pub struct VoteRequest {
        /// Index of the candidate's last entry.
        pub last_index: LogIndex,
        /// Term of that entry.
        pub last_term: Term,
        /// Whether the leader itself requested this election.
        pub is_transfer: bool,
    }

    /// Entries that follow one that the receiver must already hold.
    #[derive(Hash)]
    pub struct Append {
        /// Index of the entry before `entries`.
        pub prev_index: LogIndex,
        /// Term of that entry.
        pub prev_term: Term,
        /// Contiguous from `prev_index + 1`; empty in a heartbeat.
        pub entries: Vec<Entry>,
        /// The leader's commit index.
        pub commit: LogIndex,
        /// The leader's current round, returned in the reply.
        pub round: Round,
    }

    /// Reply to an append, or to the last chunk of a snapshot.
    #[derive(Hash, Copy)]
    pub struct AppendReply {
        /// Round of the append or chunk; zero in a reply to a leader of an earlier term.
        pub round: Round,
        /// The part of the log that matches, or where to retry.
        pub outcome: AppendOutcome,
    }

    /// Whether the receiver's log matches the leader's.
    #[derive(Hash, Copy)]
    pub enum AppendOutcome {
        /// All entries up to this index match the leader's and are synced.
        Accepted(LogIndex),
        /// The entry before the appended ones is missing or has another term.
        Rejected {
            /// Index of that entry.
            prev_index: LogIndex,
            /// Index from which the leader should retry.
            retry_from: LogIndex,
        },
    }

    /// Consecutive bytes of an encoded snapshot.
    #[derive(Hash)]
    pub struct SnapshotChunk {
        /// Identifies the snapshot.
        pub meta: SnapshotMeta,
        /// Byte offset of this chunk.
        pub offset: u64,
        /// Bytes from `offset` on.
        pub bytes: Vec<u8>,
        /// Whether this chunk ends the snapshot.
        pub is_last: bool,
        /// The leader's current round.
        pub round: Round,
    }
}
