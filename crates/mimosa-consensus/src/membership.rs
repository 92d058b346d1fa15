//! Who belongs to the cluster, and who votes.

use std::collections::BTreeSet;
use std::fmt;

use mimosa_protocol::data;

use crate::id::ReplicaId;

/// Most replicas that a cluster takes, voters and learners together.
pub const MAX_REPLICAS: usize = 9;

data! {
    /// The members of a cluster.
    #[derive(Hash, Default)]
    pub struct Membership {
        /// They vote, and their copies count towards a commit.
        pub voters: BTreeSet<ReplicaId>,
        /// They receive the log and do not vote.
        pub learners: BTreeSet<ReplicaId>,
    }

    /// One step from a membership to the next. Each changes at most one voter, so that any quorum
    /// before it shares a replica with any quorum after it.
    #[derive(Hash)]
    pub enum MembershipChange {
        /// A replica joins as a learner, in place of earlier lives of its instance.
        AddLearner(ReplicaId),
        /// A learner that has caught up becomes a voter.
        Promote(ReplicaId),
        /// A voter or learner leaves.
        Remove(ReplicaId),
    }

    /// Why a change of members is refused.
    #[derive(Hash, Copy)]
    pub enum ChangeRefusal {
        /// Another change is not committed yet, or this leader has committed nothing of its term.
        Busy,
        /// It would leave no voter, or change nothing.
        Pointless,
        /// It would take more than [`MAX_REPLICAS`].
        TooMany,
        /// A later life of the instance is a member already.
        OldIncarnation,
        /// The learner has not caught up.
        Behind,
    }
}

impl Membership {
    /// Voters only.
    pub fn from_voters(voters: impl IntoIterator<Item = ReplicaId>) -> Self {
        Self {
            voters: voters.into_iter().collect(),
            learners: BTreeSet::new(),
        }
    }

    /// Voters and learners.
    pub fn all(&self) -> impl Iterator<Item = &ReplicaId> {
        self.voters.iter().chain(&self.learners)
    }

    /// Whether a replica is a voter or learner.
    pub fn contains(&self, id: &ReplicaId) -> bool {
        self.voters.contains(id) || self.learners.contains(id)
    }

    /// How many voters make a quorum.
    pub fn quorum(&self) -> usize {
        self.voters.len() / 2 + 1
    }

    /// Whether some replicas hold a quorum of the voters.
    pub fn is_quorum(&self, has: impl Fn(&ReplicaId) -> bool) -> bool {
        self.voters.iter().filter(|id| has(id)).count() >= self.quorum()
    }

    /// Whether a later life of the same instance is a member.
    pub fn has_later_life(&self, id: &ReplicaId) -> bool {
        self.all()
            .any(|each| each.instance == id.instance && each.incarnation > id.incarnation)
    }

    /// The membership after a change.
    pub fn after(&self, change: &MembershipChange) -> Result<Self, ChangeRefusal> {
        let mut next = self.clone();
        match change {
            MembershipChange::AddLearner(id) => next.add_learner(id)?,
            MembershipChange::Promote(id) => {
                if !next.learners.remove(id) {
                    return Err(ChangeRefusal::Pointless);
                }
                next.voters.insert(id.clone());
            }
            MembershipChange::Remove(id) => {
                if !next.voters.remove(id) && !next.learners.remove(id) {
                    return Err(ChangeRefusal::Pointless);
                }
            }
        }
        if next.voters.is_empty() {
            return Err(ChangeRefusal::Pointless);
        }
        if next.all().count() > MAX_REPLICAS {
            return Err(ChangeRefusal::TooMany);
        }
        Ok(next)
    }

    fn add_learner(&mut self, id: &ReplicaId) -> Result<(), ChangeRefusal> {
        if self.contains(id) {
            return Err(ChangeRefusal::Pointless);
        }
        if self.has_later_life(id) {
            return Err(ChangeRefusal::OldIncarnation);
        }
        self.voters.retain(|each| each.instance != id.instance);
        self.learners.retain(|each| each.instance != id.instance);
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
