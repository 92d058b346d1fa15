//! Names and numbers of a replicated log.

use std::fmt;

use mimosa_protocol::Incarnation;
use mimosa_protocol::InstanceId;
use mimosa_protocol::data;
use mimosa_protocol::quantity;

quantity! {
    /// Counts elections. At most one leader stands in each term.
    Term(u64);
    /// Place of an entry in the log; the first one is 1.
    LogIndex(u64);
    /// Names a read until it is answered. The driver chooses it.
    ReadId(u64);
    /// Names a proposal until it is answered. The driver chooses it.
    ProposalId(u64);
    /// Counts writes to the disk; see [`crate::Action::Persist`].
    WriteId(u64);
    /// Counts the rounds of messages by which a leader proves that it still leads.
    Round(u64);
    /// Names a read on its way to the leader, never the same one twice.
    Nonce(u64);
}

data! {
    /// One life of a replica's disk. An instance whose disk was lost comes back under a higher
    /// incarnation, and is another replica.
    #[derive(PartialOrd, Ord, Hash)]
    pub struct ReplicaId {
        /// The instance.
        pub instance: InstanceId,
        /// The life of its disk.
        pub incarnation: Incarnation,
    }
}

impl fmt::Display for ReplicaId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}@{}", self.instance, self.incarnation)
    }
}

impl LogIndex {
    /// The index before; stops at zero.
    #[must_use]
    pub const fn previous(self) -> Self {
        Self(self.0.saturating_sub(1))
    }
}
