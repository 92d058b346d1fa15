//! Identifiers and counters of the replicated log.

use std::fmt;

use mimosa_protocol::Incarnation;
use mimosa_protocol::InstanceId;
use mimosa_protocol::data;
use mimosa_protocol::quantity;

quantity! {
    /// Election term. Each term has at most one leader.
    Term(u64);
    /// Position of an entry in the log; the first one is 1.
    LogIndex(u64);
    /// Identifies a read until it is answered. The driver chooses it.
    ReadId(u64);
    /// Identifies a proposal until it is answered. The driver chooses it.
    ProposalId(u64);
    /// Sequence number of a write to the disk; see [`crate::Action::Persist`].
    WriteId(u64);
    /// Number of a leader's heartbeat round. Replies to a round prove that the leader still leads.
    Round(u64);
    /// Identifies a read that was forwarded to the leader. Random, so that it does not repeat.
    Nonce(u64);
}

data! {
    /// A replica: an instance together with the incarnation of its disk. An instance that lost its
    /// disk returns under a higher incarnation, as a different replica.
    #[derive(PartialOrd, Ord, Hash)]
    pub struct ReplicaId {
        /// Stays the same when the disk is replaced.
        pub instance: InstanceId,
        /// Rises each time the instance starts with an empty disk.
        pub incarnation: Incarnation,
    }
}

impl fmt::Display for ReplicaId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}@{}", self.instance, self.incarnation)
    }
}

impl LogIndex {
    /// The index before this one, or zero for zero.
    #[must_use]
    pub const fn previous(self) -> Self {
        Self(self.0.saturating_sub(1))
    }
}
