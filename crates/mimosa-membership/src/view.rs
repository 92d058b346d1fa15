//! Views: the set of entries that vote and hold roles in a data centre, as agreed by these entries.

use std::collections::BTreeMap;
use std::collections::BTreeSet;

use mimosa_protocol::Epoch;
use mimosa_protocol::Incarnation;
use mimosa_protocol::InstanceId;
use mimosa_protocol::data;

/// Maximum number of members, so that a view fits into one datagram.
pub const MAX_MEMBERS: usize = 40;

data! {
    /// One incarnation of an instance.
    #[derive(Hash, PartialOrd, Ord)]
    pub struct Identity {
        /// The name that the process runs under, the same after a restart.
        pub instance: InstanceId,
        /// Its incarnation. A restart loses all promises, so the restarted process is another
        /// voter.
        pub incarnation: Incarnation,
    }

    /// A member of a view.
    #[derive(Copy)]
    pub struct Member {
        /// The incarnation that votes.
        pub incarnation: Incarnation,
        /// Whether the member may hold roles; a draining entry only votes.
        pub eligible: bool,
    }

    /// The entries of a data centre that vote and hold roles in one epoch.
    #[derive(Default)]
    pub struct View {
        /// Rises from view to view of the data centre; zero if there was none yet.
        pub epoch: Epoch,
        /// The members by instance; at most [`MAX_MEMBERS`].
        pub members: BTreeMap<InstanceId, Member>,
    }
}

impl View {
    /// Whether this incarnation of the instance is a member.
    pub fn contains(&self, who: &Identity) -> bool {
        let member = self.members.get(&who.instance);
        member.is_some_and(|member| member.incarnation == who.incarnation)
    }

    /// The incarnations that vote, in the order of their instances.
    pub fn identities(&self) -> impl Iterator<Item = Identity> {
        self.members.iter().map(|(instance, member)| Identity {
            instance: instance.clone(),
            incarnation: member.incarnation,
        })
    }

    /// Whether these members have the majority of votes. If the number of members is even, the
    /// first one has two votes, so that one half of an even split has a quorum.
    pub fn is_quorum<'a>(&self, voters: impl IntoIterator<Item = &'a InstanceId>) -> bool {
        self.is_quorum_without(voters, &BTreeSet::new())
    }

    /// Like [`Self::is_quorum`], without the votes of the members in `terminated`, whose
    /// incarnations count as terminated.
    pub fn is_quorum_without<'a>(
        &self,
        voters: impl IntoIterator<Item = &'a InstanceId>,
        terminated: &BTreeSet<InstanceId>,
    ) -> bool {
        let votes: usize = voters
            .into_iter()
            .filter(|voter| !terminated.contains(*voter))
            .map(|voter| self.vote_weight(voter))
            .sum();
        let total: usize = self
            .members
            .keys()
            .filter(|member| !terminated.contains(*member))
            .map(|member| self.vote_weight(member))
            .sum();
        2 * votes > total
    }

    fn vote_weight(&self, instance: &InstanceId) -> usize {
        if !self.members.contains_key(instance) {
            return 0;
        }
        let is_even = self.members.len().is_multiple_of(2);
        let is_first = self.members.keys().next() == Some(instance);
        1 + usize::from(is_even && is_first)
    }
}
