//! Input events and output actions of a replica.

use std::sync::Arc;

use mimosa_protocol::InstanceId;
use mimosa_protocol::Timestamp;
use mimosa_protocol::data;

use crate::entry::Entry;
use crate::entry::HardState;
use crate::entry::Snapshot;
use crate::id::LogIndex;
use crate::id::ProposalId;
use crate::id::ReadId;
use crate::id::ReplicaId;
use crate::id::Term;
use crate::id::WriteId;
use crate::membership::ChangeRefusal;
use crate::membership::MembershipChange;
use crate::message::Message;

data! {
    /// Input to [`crate::Replica::handle`].
    #[derive(Hash)]
    pub enum Event {
        /// The time of [`Action::WakeAt`] has come. Harmless at any other time.
        Wake,
        /// A message arrived from another replica, possibly late, repeated or out of order.
        Receive(Message),
        /// All [`Action::Persist`] writes up to a write ID are synced.
        Persisted {
            /// The highest synced write.
            write_id: WriteId,
        },
        /// Proposes a command. Only a leader accepts it.
        Propose {
            /// Returned in [`Action::Proposed`] or [`Action::ProposalRefused`].
            id: ProposalId,
            /// The encoded command; its format is the driver's.
            bytes: Vec<u8>,
        },
        /// Requests a linearizable read.
        Read {
            /// Returned in [`Action::ReadReady`] or [`Action::ReadRefused`].
            id: ReadId,
        },
        /// Proposes a membership change. Only a leader accepts it.
        ChangeMembership {
            /// Returned in [`Action::Proposed`] or [`Action::ProposalRefused`].
            id: ProposalId,
            /// A change of at most one voter.
            change: MembershipChange,
        },
        /// Answers [`Action::TakeSnapshot`].
        SnapshotTaken {
            /// Index of the last entry applied to the state machine.
            index: LogIndex,
            /// The state machine with exactly the entries up to `index`, encoded.
            bytes: Vec<u8>,
        },
        /// Transfers the leadership to another voter, before a shutdown.
        TransferLeadership,
        /// Adds to [`crate::Settings::peers`].
        AddPeers(Vec<InstanceId>),
    }

    /// Work for the driver, to be carried out in the order returned.
    #[derive(Hash)]
    pub enum Action {
        /// Send a message. Delivery is not required.
        Send(Message),
        /// Write and sync, then pass [`Event::Persisted`]. The replica holds back dependent actions
        /// until then. If the write fails, stop the replica.
        Persist(Persist),
        /// Apply committed entries to the state machine.
        Apply {
            /// Contiguous, starting after the last applied entry.
            entries: Vec<Entry>,
        },
        /// Replace the state machine with a snapshot.
        ApplySnapshot(Arc<Snapshot>),
        /// Encode the state machine as applied and pass [`Event::SnapshotTaken`].
        TakeSnapshot {
            /// Index of the last applied entry.
            index: LogIndex,
        },
        /// A proposal was appended to the log. It is committed once an entry with this index and
        /// term is applied, and permanently lost once one with this index and another term is.
        Proposed {
            /// As given with the proposal.
            id: ProposalId,
            /// Position of its entry.
            index: LogIndex,
            /// Term of its entry.
            term: Term,
        },
        /// A proposal was not appended to the log.
        ProposalRefused {
            /// As given with the proposal.
            id: ProposalId,
            /// Tells whether another replica or a retry may succeed.
            reason: ProposalRefusal,
            /// The presumed leader.
            leader: Option<ReplicaId>,
        },
        /// The state machine as applied now satisfies this read.
        ReadReady {
            /// As given with the read.
            id: ReadId,
            /// The read index: the entry that had to be applied before the answer.
            index: LogIndex,
        },
        /// This replica cannot prove that its state is current.
        ReadRefused {
            /// As given with the read.
            id: ReadId,
            /// The presumed leader.
            leader: Option<ReplicaId>,
        },
        /// The role, the term or the known leader has changed.
        RoleChanged {
            /// The role from now on.
            role: RoleName,
            /// The highest term seen, to which the role belongs.
            term: Term,
            /// The leader of the term, if known.
            leader: Option<ReplicaId>,
        },
        /// An incoming message was dropped.
        MessageRefused {
            /// The replica that sent it.
            from: ReplicaId,
            /// Cause, for the log.
            reason: MessageRefusal,
        },
        /// Pass [`Event::Wake`] at this time. Replaces an earlier request.
        WakeAt(Timestamp),
    }

    /// A write to the disk, applied in the order of the fields.
    #[derive(Hash)]
    pub struct Persist {
        /// Returned in [`Event::Persisted`].
        pub write_id: WriteId,
        /// Replaces the stored hard state.
        pub hard_state: Option<HardState>,
        /// Replaces the stored snapshot; the tail says whether later entries are kept.
        pub snapshot: Option<(Arc<Snapshot>, LogTail)>,
        /// Remove the entries from this index on.
        pub truncate_from: Option<LogIndex>,
        /// Append these entries.
        pub entries: Vec<Entry>,
        /// Entries below this index may be deleted.
        pub drop_below: Option<LogIndex>,
    }

    /// Treatment of the stored entries after a new snapshot.
    #[derive(Hash, Copy)]
    pub enum LogTail {
        /// Keep the entries after the snapshot.
        Keep,
        /// Remove all entries; the log continues after the snapshot.
        Discard,
    }

    /// Reason for refusing a proposal.
    #[derive(Hash, Copy)]
    pub enum ProposalRefusal {
        /// This replica is not the leader.
        NotLeader,
        /// A leadership transfer is in progress.
        Transferring,
        /// Too many entries are uncommitted or not yet covered by a snapshot.
        Busy,
        /// The membership change is not allowed.
        Membership(ChangeRefusal),
    }

    /// Reason for dropping an incoming message.
    #[derive(Hash, Copy)]
    pub enum MessageRefusal {
        /// It is addressed to another instance or incarnation.
        OtherIncarnation,
        /// A newer incarnation of the sender is a member.
        OldIncarnation,
        /// The sender is not among [`crate::Settings::peers`].
        NotAdmitted,
        /// The sender asks to join as an instance of which another incarnation still responds.
        InstanceInUse,
    }

    /// Role of a replica in its term.
    #[derive(Hash, Copy)]
    pub enum RoleName {
        /// Follows a leader, or waits for one.
        Follower,
        /// Asks voters whether it could win an election.
        PreCandidate,
        /// Requests votes for its term.
        Candidate,
        /// Appends and replicates entries.
        Leader,
    }
}
