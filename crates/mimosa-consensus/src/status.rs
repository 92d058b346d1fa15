//! Read access to the state of a replica.

use std::collections::BTreeSet;
use std::hash::Hash;
use std::hash::Hasher;

use mimosa_protocol::InstanceId;

use crate::entry::Entry;
use crate::event::RoleName;
use crate::id::LogIndex;
use crate::id::ReplicaId;
use crate::id::Term;
use crate::membership::Membership;
use crate::replica::Replica;
use crate::replica::Role;
use crate::settings::InjectedBug;

impl Replica {
    /// Index of the first entry of a leader's own term; `None` if this replica does not lead.
    pub const fn leadership_start(&self) -> Option<LogIndex> {
        match &self.role {
            Role::Leader(leader) => Some(leader.first_entry),
            _ => None,
        }
    }

    /// Hashes all state that determines the future behaviour, except the settings and the times, for
    /// a model checker in which a timeout may occur at any moment.
    #[doc(hidden)]
    pub fn hash_state(&self, hasher: &mut impl Hasher) {
        self.hard_state.hash(hasher);
        self.log.hash(hasher);
        self.snapshot.hash(hasher);
        (self.commit, self.applied, &self.role, &self.leader).hash(hasher);
        (
            self.has_been_member,
            &self.incoming,
            self.is_snapshot_requested,
        )
            .hash(hasher);
        self.forwarded_reads.hash(hasher);
        self.outbox.hash(hasher);
    }

    /// Identity of this replica, which stays the same while it runs.
    pub const fn id(&self) -> &ReplicaId {
        &self.id
    }

    /// Role in the current term. A leader that loses its quorum keeps the role for up to an election
    /// timeout and a heartbeat interval.
    pub const fn role(&self) -> RoleName {
        match self.role {
            Role::Follower => RoleName::Follower,
            Role::PreCandidate { .. } => RoleName::PreCandidate,
            Role::Candidate { .. } => RoleName::Candidate,
            Role::Leader(_) => RoleName::Leader,
        }
    }

    /// The highest term seen, which may not be synced yet.
    pub const fn term(&self) -> Term {
        self.hard_state.term
    }

    /// The leader of the current term, if known.
    pub const fn leader(&self) -> Option<&ReplicaId> {
        self.leader.as_ref()
    }

    /// Index of the last entry known to be committed.
    pub const fn commit(&self) -> LogIndex {
        self.commit
    }

    /// Index of the last entry that was passed to the driver, in [`crate::Action::Apply`] or as part
    /// of a snapshot. A snapshot is passed on only after it is synced.
    pub fn applied(&self) -> LogIndex {
        self.applied.min(self.outbox.last_durable())
    }

    /// Index of the last entry of the log, whether committed and synced or not; zero if there was
    /// never one.
    pub fn last_index(&self) -> LogIndex {
        self.log.last_index()
    }

    /// Index of the first entry that is not compacted, even if the log does not reach it yet.
    pub fn first_index(&self) -> LogIndex {
        self.log.base().index.next()
    }

    /// The entry at an index; `None` if it is compacted or beyond the end of the log.
    pub fn entry(&self, index: LogIndex) -> Option<&Entry> {
        self.log.get(index)
    }

    /// The latest membership in the log, committed or not.
    pub fn membership(&self) -> &Membership {
        self.log.membership()
    }

    /// The latest committed membership.
    pub fn committed_membership(&self) -> &Membership {
        self.log.membership_at(self.commit)
    }

    /// The instances that the latest membership names, committed or not, and those of the latest one known
    /// to be committed. A replica that starts knows no commit but that of its snapshot, whose membership
    /// may name none of the present voters.
    pub fn named_instances(&self) -> BTreeSet<InstanceId> {
        let committed = self.committed_membership().all();
        let latest = match self.settings.has_bug(InjectedBug::ForgetUncommittedMembers) {
            true => None,
            false => Some(self.membership().all()),
        };
        committed
            .chain(latest.into_iter().flatten())
            .map(|id| id.instance.clone())
            .collect()
    }

    /// Whether this replica needs to ask other instances for the members: it knows no leader, which would
    /// send to it, or has no vote.
    pub fn seeks_members(&self) -> bool {
        self.leader.is_none() || !self.committed_membership().voters.contains(&self.id)
    }

    /// On a leader, the highest index up to which the log of each other member matches and is synced.
    /// Empty on other replicas.
    pub fn matched_indexes(&self) -> impl Iterator<Item = (&ReplicaId, LogIndex)> {
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
