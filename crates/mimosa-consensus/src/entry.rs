//! Log entries, snapshots and the persistent election state.

use mimosa_protocol::ByteSize;
use mimosa_protocol::data;

use crate::id::LogIndex;
use crate::id::ReplicaId;
use crate::id::Term;
use crate::membership::Membership;

/// Approximate size of an entry without its command.
const ENTRY_OVERHEAD: ByteSize = ByteSize(32);

data! {
    /// An entry of the log. Its index and term identify its content permanently.
    #[derive(Hash)]
    pub struct Entry {
        /// Position in the log, from 1.
        pub index: LogIndex,
        /// Term of the leader that created the entry.
        pub term: Term,
        /// Kind and content of the entry.
        pub payload: Payload,
    }

    /// What an entry changes when it is appended or applied.
    #[derive(Hash)]
    pub enum Payload {
        /// No operation: a new leader's first entry, which commits the entries of earlier terms.
        Blank,
        /// An encoded command of the replicated state machine; its format is the driver's.
        Command(Vec<u8>),
        /// The membership that is in effect from this entry on.
        Membership(Membership),
    }

    /// Election state that must survive a restart.
    #[derive(Hash, Default)]
    pub struct HardState {
        /// The highest term seen.
        pub term: Term,
        /// The candidate that received this replica's vote in that term.
        pub vote: Option<ReplicaId>,
    }

    /// Position and membership at the end of a snapshot.
    #[derive(Hash, Default)]
    pub struct SnapshotMeta {
        /// Index of the last entry that the snapshot covers.
        pub index: LogIndex,
        /// Term of that entry.
        pub term: Term,
        /// Membership as of that entry.
        pub membership: Membership,
    }

    /// The state machine after all entries up to an index.
    #[derive(Hash, Default)]
    pub struct Snapshot {
        /// The entries that the snapshot replaces.
        pub meta: SnapshotMeta,
        /// The encoded state machine; its format is the driver's.
        pub bytes: Vec<u8>,
    }
}

impl Entry {
    /// Approximate size in memory, on disk and in a message.
    pub fn size(&self) -> ByteSize {
        let content = match &self.payload {
            Payload::Command(bytes) => ByteSize(bytes.len() as u64),
            Payload::Blank | Payload::Membership(_) => ByteSize::ZERO,
        };
        content + ENTRY_OVERHEAD
    }
}
