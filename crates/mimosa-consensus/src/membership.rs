//! Cluster membership and quorums.

use std::collections::BTreeSet;
use std::fmt;

use mimosa_protocol::data;

use crate::id::ReplicaId;

/// Maximum number of replicas in a cluster, voters and learners together.
pub const MAX_REPLICAS: usize = 9;

data! {
    /// Members of a cluster.
    #[derive(Hash, Default)]
    pub struct Membership {
        /// Replicas that vote and count towards a commit.
        pub voters: BTreeSet<ReplicaId>,
        /// Replicas that receive the log but do not vote.
        pub learners: BTreeSet<ReplicaId>,
    }

    /// A single membership change. It changes at most one voter, so that any quorum before it
    /// overlaps with any quorum after it.
    #[derive(Hash)]
    pub enum MembershipChange {
        /// Adds a learner, in place of any earlier incarnation of its instance.
        AddLearner(ReplicaId),
        /// Makes a voter of a learner that has caught up.
        Promote(ReplicaId),
        /// Removes a voter or learner.
        Remove(ReplicaId),
    }

    /// Reason for refusing a membership change.
    #[derive(Hash, Copy)]
    pub enum ChangeRefusal {
        /// Another change is uncommitted, or the leader has not committed an entry of its term.
        Busy,
        /// It would leave no voter, or has no effect.
        Invalid,
        /// It would exceed [`MAX_REPLICAS`].
        TooMany,
        /// A newer incarnation of the instance is already a member.
        OldIncarnation,
        /// The learner has not caught up.
        Behind,
    }
}

impl Membership {
    /// A membership with the given voters and no learners.
    pub fn from_voters(voters: impl IntoIterator<Item = ReplicaId>) -> Self {
        Self {
            voters: voters.into_iter().collect(),
            learners: BTreeSet::new(),
        }
    }

    /// Iterates over the voters, then the learners, each in ascending order of their ids.
    pub fn all(&self) -> impl Iterator<Item = &ReplicaId> {
        self.voters.iter().chain(&self.learners)
    }

    /// Whether a replica is a voter or learner.
    pub fn contains(&self, id: &ReplicaId) -> bool {
        self.voters.contains(id) || self.learners.contains(id)
    }

    /// The number of voters that form a quorum: more than half of them.
    pub fn quorum(&self) -> usize {
        self.voters.len() / 2 + 1
    }

    /// Whether the voters for which `has` holds form a quorum.
    pub fn is_quorum(&self, has: impl Fn(&ReplicaId) -> bool) -> bool {
        self.voters.iter().filter(|id| has(id)).count() >= self.quorum()
    }

    /// Whether a newer incarnation of the same instance is a member.
    pub fn has_newer_incarnation(&self, id: &ReplicaId) -> bool {
        self.all()
            .any(|member| member.instance == id.instance && member.incarnation > id.incarnation)
    }

    /// The membership after a change.
    ///
    /// # Errors
    ///
    /// [`ChangeRefusal::Invalid`], [`ChangeRefusal::TooMany`] or [`ChangeRefusal::OldIncarnation`] if
    /// this membership does not allow the change. Whether a learner has caught up is not checked here.
    pub fn after(&self, change: &MembershipChange) -> Result<Self, ChangeRefusal> {
        let mut next = self.clone();
        match change {
            MembershipChange::AddLearner(id) => next.add_learner(id)?,
            MembershipChange::Promote(id) => {
                if !next.learners.remove(id) {
                    return Err(ChangeRefusal::Invalid);
                }
                next.voters.insert(id.clone());
            }
            MembershipChange::Remove(id) => {
                if !next.voters.remove(id) && !next.learners.remove(id) {
                    return Err(ChangeRefusal::Invalid);
                }
            }
        }
        if next.voters.is_empty() {
            return Err(ChangeRefusal::Invalid);
        }
        if next.all().count() > MAX_REPLICAS {
            return Err(ChangeRefusal::TooMany);
        }
        Ok(next)
    }

    fn add_learner(&mut self, id: &ReplicaId) -> Result<(), ChangeRefusal> {
        if self.contains(id) {
            return Err(ChangeRefusal::Invalid);
        }
        if self.has_newer_incarnation(id) {
            return Err(ChangeRefusal::OldIncarnation);
        }
        self.voters.retain(|member| member.instance != id.instance);
        self.learners
            .retain(|member| member.instance != id.instance);
        self.learners.insert(id.clone());
        Ok(())
    }
}

impl fmt::Display for Membership {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let join = |ids: &BTreeSet<ReplicaId>| {
            ids.iter()
                .map(ToString::to_string)
                .collect::<Vec<_>>()
                .join(" ")
        };
        write!(f, "voters [{}]", join(&self.voters))?;
        if !self.learners.is_empty() {
            write!(f, " learners [{}]", join(&self.learners))?;
        }
        Ok(())
    }
}
