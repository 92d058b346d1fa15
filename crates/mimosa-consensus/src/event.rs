//! What a driver tells a replica, and what it has to do in turn.

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
    /// What happened.
    #[derive(Hash)]
    pub enum Event {
        /// The time of [`Action::WakeAt`] came. Harmless at any other time.
        Wake,
        /// A message arrived.
        Receive(Message),
        /// All of [`Action::Persist`] up to this write ID are synced.
        Persisted {
            /// The highest write ID that is synced.
            write_id: WriteId,
        },
        /// A command for the log.
        Propose {
            /// Names the proposal in the answer.
            id: ProposalId,
            /// The command.
            bytes: Vec<u8>,
        },
        /// Asks for a state that is current.
        Read {
            /// Names the read in the answer.
            id: ReadId,
        },
        /// A change of members.
        ChangeMembership {
            /// Names the proposal in the answer.
            id: ProposalId,
            /// The change.
            change: MembershipChange,
        },
        /// Answers [`Action::TakeSnapshot`].
        SnapshotTaken {
            /// The last entry applied to the state.
            index: LogIndex,
            /// The state machine's bytes.
            bytes: Vec<u8>,
        },
        /// Hands the leadership on, before a shutdown.
        TransferLeadership,
        /// More instances that a leader admits and that this replica asks for admission.
        AddPeers(Vec<InstanceId>),
    }

    /// What the driver has to do, in this order.
    #[derive(Hash)]
    pub enum Action {
        /// Send a message. It may be lost.
        Send(Message),
        /// Write and sync, then tell [`Event::Persisted`]. What depends on it is held back inside
        /// the replica until then. If it fails, stop the replica.
        Persist(Persist),
        /// Apply committed entries to the state machine.
        Apply {
            /// They follow the last applied one without a gap.
            entries: Vec<Entry>,
        },
        /// Replace the state machine by a snapshot.
        ApplySnapshot(Arc<Snapshot>),
        /// Answer [`Event::SnapshotTaken`] with the state as applied.
        TakeSnapshot {
            /// The last entry applied.
            index: LogIndex,
        },
        /// A proposal stands in the log. It is committed when an entry with this index and this
        /// term is applied, and lost for good when one with this index and another term is.
        Proposed {
            /// The proposal.
            id: ProposalId,
            /// Its index.
            index: LogIndex,
            /// Its term.
            term: Term,
        },
        /// A proposal was not put into the log.
        ProposalRefused {
            /// The proposal.
            id: ProposalId,
            /// Why.
            reason: ProposalRefusal,
            /// Who may lead.
            leader: Option<ReplicaId>,
        },
        /// The state as applied now is current for this read.
        ReadReady {
            /// The read.
            id: ReadId,
            /// The entry up to which the state had to be applied.
            index: LogIndex,
        },
        /// This replica cannot prove that its state is current.
        ReadRefused {
            /// The read.
            id: ReadId,
            /// Who may lead.
            leader: Option<ReplicaId>,
        },
        /// The replica took another role, or learned of another leader.
        RoleChanged {
            /// Its role now.
            role: RoleName,
            /// Its term.
            term: Term,
            /// The leader, if known.
            leader: Option<ReplicaId>,
        },
        /// A message was dropped.
        MessageRefused {
            /// Who sent it.
            from: ReplicaId,
            /// Why.
            reason: MessageRefusal,
        },
        /// Tell [`Event::Wake`] at this time. Replaces an earlier one.
        WakeAt(Timestamp),
    }

    /// What must be synced, in the order of the fields.
    #[derive(Hash)]
    pub struct Persist {
        /// Names it in the answer.
        pub write_id: WriteId,
        /// The new hard state.
        pub hard_state: Option<HardState>,
        /// A new snapshot, and what becomes of the log after it.
        pub snapshot: Option<(Arc<Snapshot>, LogTail)>,
        /// Remove the entries from here on first.
        pub truncate_from: Option<LogIndex>,
        /// Then append these.
        pub entries: Vec<Entry>,
        /// Then entries below this one may go from the disk.
        pub drop_below: Option<LogIndex>,
    }

    /// What becomes of the log after a new snapshot.
    #[derive(Hash, Copy)]
    pub enum LogTail {
        /// The entries after it stay.
        Keep,
        /// The log goes on empty.
        Discard,
    }

    /// Why a proposal was refused.
    #[derive(Hash, Copy)]
    pub enum ProposalRefusal {
        /// This replica does not lead.
        NotLeader,
        /// It hands its leadership on.
        Transferring,
        /// Too many entries wait to be committed, or to be covered by a snapshot.
        Busy,
        /// The change of members is not allowed.
        Membership(ChangeRefusal),
    }

    /// Why a message was dropped.
    #[derive(Hash, Copy)]
    pub enum MessageRefusal {
        /// It was meant for another life of this replica.
        OtherIncarnation,
        /// A later life of its sender is a member.
        OldIncarnation,
        /// Its sender may not join.
        NotAdmitted,
        /// Its sender wants to join under the name of an instance that still answers.
        InstanceInUse,
    }

    /// The role of a replica.
    #[derive(Hash, Copy)]
    pub enum RoleName {
        /// It follows, or waits for a leader.
        Follower,
        /// It asks whether it could win an election.
        PreCandidate,
        /// It stands for election.
        Candidate,
        /// It leads.
        Leader,
    }
}
