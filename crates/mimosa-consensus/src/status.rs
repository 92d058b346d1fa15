//! What a driver, an operator or a test may ask a replica.

use std::hash::Hash;
use std::hash::Hasher;

use crate::entry::Entry;
use crate::event::RoleName;
use crate::id::LogIndex;
use crate::id::ReplicaId;
use crate::id::Term;
use crate::membership::Membership;
use crate::replica::Replica;
use crate::replica::Role;

impl Replica {
    /// The first entry of a leader's own term; `None` if this replica does not lead.
    pub const fn leadership_start(&self) -> Option<LogIndex> {
        match &self.role {
            Role::Leader(leader) => Some(leader.first_entry),
            _ => None,
        }
    }

    /// Hashes all that its future depends on but the settings and the times, for a search of
    /// states in which a timeout may come at any moment.
    #[doc(hidden)]
    pub fn hash_state(&self, hasher: &mut impl Hasher) {
        self.hard_state.hash(hasher);
        self.log.hash(hasher);
        self.snapshot.hash(hasher);
        (self.commit, self.applied, &self.role, &self.leader).hash(hasher);
        (self.was_member, &self.incoming, self.is_snapshot_due).hash(hasher);
        self.forwarded.hash(hasher);
        self.outbox.hash(hasher);
    }

    /// Its name.
    pub const fn id(&self) -> &ReplicaId {
        &self.id
    }

    /// Its role.
    pub const fn role(&self) -> RoleName {
        match self.role {
            Role::Follower => RoleName::Follower,
            Role::PreCandidate { .. } => RoleName::PreCandidate,
            Role::Candidate { .. } => RoleName::Candidate,
            Role::Leader(_) => RoleName::Leader,
        }
    }

    /// Its term.
    pub const fn term(&self) -> Term {
        self.hard_state.term
    }

    /// The leader, if known.
    pub const fn leader(&self) -> Option<&ReplicaId> {
        self.leader.as_ref()
    }

    /// The last entry known to be committed.
    pub const fn commit(&self) -> LogIndex {
        self.commit
    }

    /// The last entry handed out for applying, by itself or within a snapshot. A snapshot that is
    /// not synced yet was not handed out.
    pub fn applied(&self) -> LogIndex {
        self.applied.min(self.outbox.durable())
    }

    /// The last entry of the log.
    pub fn last_index(&self) -> LogIndex {
        self.log.last_index()
    }

    /// The first entry kept in memory.
    pub fn first_index(&self) -> LogIndex {
        self.log.base().index.next()
    }

    /// An entry kept in memory.
    pub fn entry(&self, index: LogIndex) -> Option<&Entry> {
        self.log.get(index)
    }

    /// The latest members in the log, committed or not.
    pub fn membership(&self) -> &Membership {
        self.log.membership()
    }

    /// The latest members that are committed.
    pub fn committed_membership(&self) -> &Membership {
        self.log.membership_at(self.commit)
    }

    /// On a leader, the last entry that each other member has synced.
    pub fn copies(&self) -> impl Iterator<Item = (&ReplicaId, LogIndex)> {
        let leader = match &self.role {
            Role::Leader(leader) => Some(leader),
            _ => None,
        };
        leader
            .into_iter()
            .flat_map(|leader| leader.progress.iter())
            .map(|(id, progress)| (id, progress.matched))
    }
}
