//! Membership changes and leadership transfer.

use std::collections::BTreeSet;
use std::time::Duration;

use mimosa_protocol::Timestamp;

use crate::entry::Payload;
use crate::event::Action;
use crate::event::MessageRefusal;
use crate::event::ProposalRefusal;
use crate::id::ProposalId;
use crate::id::ReplicaId;
use crate::membership::ChangeRefusal;
use crate::membership::Membership;
use crate::membership::MembershipChange;
use crate::message::Body;
use crate::message::Message;
use crate::outbox::Barrier;
use crate::replica::Replica;
use crate::replica::Role;
use crate::settings::InjectedBug;
use crate::settings::VoterPolicy;

/// A leadership transfer in progress.
#[derive(Clone, Debug, Hash)]
pub(crate) struct Transfer {
    to: ReplicaId,
    /// Time at which the transfer is given up.
    deadline: Timestamp,
    is_timeout_now_sent: bool,
}

impl Replica {
    pub(crate) fn change_membership(&mut self, id: ProposalId, change: &MembershipChange) {
        let refusal = match &self.role {
            Role::Leader(leader) if leader.transfer.is_some() => ProposalRefusal::Transferring,
            Role::Leader(_) => match self.next_membership(change) {
                Ok(next) => return self.accept_proposal(id, Payload::Membership(next)),
                Err(reason) => ProposalRefusal::Membership(reason),
            },
            _ => ProposalRefusal::NotLeader,
        };
        self.refuse_proposal(id, refusal);
    }

    /// The membership after a change. The change is safe only if the previous change and an entry of
    /// this leader's term are committed.
    fn next_membership(&self, change: &MembershipChange) -> Result<Membership, ChangeRefusal> {
        let Role::Leader(leader) = &self.role else {
            return Err(ChangeRefusal::Busy);
        };
        let is_committed =
            self.commit >= self.log.membership_index() && self.commit >= leader.first_entry;
        if !is_committed
            && !self
                .settings
                .has_bug(InjectedBug::ConcurrentMembershipChanges)
        {
            return Err(ChangeRefusal::Busy);
        }
        let next = self.log.membership().after(change)?;
        match change {
            MembershipChange::Promote(id) if !self.has_caught_up(id) => Err(ChangeRefusal::Behind),
            _ => Ok(next),
        }
    }

    /// Whether a learner has synced all committed entries and had contact within the election timeout.
    fn has_caught_up(&self, id: &ReplicaId) -> bool {
        let Role::Leader(leader) = &self.role else {
            return false;
        };
        let timeout = self.settings.election_timeout;
        leader.progress.get(id).is_some_and(|progress| {
            (progress.matched >= self.commit || self.settings.has_bug(InjectedBug::PromoteEarly))
                && self.now.since(progress.last_contact) < timeout
        })
    }

    /// Promotes learners that asked for it and have caught up.
    pub(crate) fn promote_learners(&mut self) {
        match self.settings.voter_policy {
            Some(policy) => self.maintain_voters(policy),
            None => self.promote_next_learner(),
        }
    }

    /// Maintains the number of voters. A learner is promoted before the inactive voter that it replaces
    /// is removed, so that no step lowers the number of failures tolerated.
    fn maintain_voters(&mut self, policy: VoterPolicy) {
        let members = self.log.membership();
        let (voters, learners) = (members.voters.len(), members.learners.len());
        let inactive = self.inactive_members(policy.replace_voter_after, &members.voters);
        let active = voters - inactive.len();
        if active < policy.voters && voters <= policy.voters && learners > 0 {
            return self.promote_next_learner();
        }
        let to_remove = match inactive.first() {
            Some(voter) if voters > policy.voters => Some(voter.clone()),
            _ => {
                let learners =
                    self.inactive_members(policy.remove_learner_after, &members.learners);
                learners.first().cloned()
            }
        };
        if let Some(id) = to_remove
            && let Ok(next) = self.next_membership(&MembershipChange::Remove(id))
        {
            self.add_entry(Payload::Membership(next));
        }
    }

    /// The members without contact for at least `time`, the longest inactive first.
    fn inactive_members(&self, time: Duration, members: &BTreeSet<ReplicaId>) -> Vec<ReplicaId> {
        let Role::Leader(leader) = &self.role else {
            return Vec::new();
        };
        let last_contact = |id: &ReplicaId| {
            leader
                .progress
                .get(id)
                .map(|progress| progress.last_contact)
        };
        let mut inactive: Vec<_> = members
            .iter()
            .filter(|id| **id != self.id)
            .filter_map(|id| Some((last_contact(id)?, id.clone())))
            .filter(|(at, _)| self.now.since(*at) >= time)
            .collect();
        inactive.sort();
        inactive.into_iter().map(|(_, id)| id).collect()
    }

    fn promote_next_learner(&mut self) {
        let Role::Leader(leader) = &self.role else {
            return;
        };
        let next = leader.promotion_requests.iter().find_map(|id| {
            self.next_membership(&MembershipChange::Promote(id.clone()))
                .ok()
        });
        if let Some(next) = next {
            self.add_entry(Payload::Membership(next));
        }
    }

    /// Whether this replica has to ask for admission: it has never been a member, or is not a voter
    /// and may become one.
    pub(crate) fn needs_admission(&self) -> bool {
        let members = self.log.membership();
        if !self.settings.join {
            return false;
        }
        // A voter that was replaced while it was unreachable does not know it, but has no leader.
        if self.settings.voter_policy.is_some() && self.leader().is_none() {
            return true;
        }
        !members.voters.contains(&self.id)
            && (members.learners.contains(&self.id)
                || !self.has_been_member
                || self.settings.voter_policy.is_some())
    }

    pub(crate) fn join_tick(&mut self) {
        if self.now < self.next_join_at || !self.needs_admission() {
            return;
        }
        self.next_join_at = self.now + self.settings.election_timeout;
        let own = self.id.instance.clone();
        for to in self.settings.peers.iter().filter(|peer| **peer != own) {
            let message = Message {
                from: self.id.clone(),
                to: to.clone(),
                to_incarnation: None,
                term: self.hard_state.term,
                body: Body::Join,
            };
            self.outbox.push(Barrier::HardState, Action::Send(message));
        }
    }

    pub(crate) fn on_join(&mut self, from: ReplicaId) {
        let refusal = if !self.settings.peers.contains(&from.instance) {
            Some(MessageRefusal::NotAdmitted)
        } else if self.is_instance_in_use(&from) {
            Some(MessageRefusal::InstanceInUse)
        } else {
            None
        };
        if let Some(reason) = refusal {
            let action = Action::MessageRefused { from, reason };
            return self.outbox.push(Barrier::None, action);
        }
        let change = MembershipChange::AddLearner(from.clone());
        if let Ok(next) = self.next_membership(&change) {
            self.add_entry(Payload::Membership(next));
        }
        let is_learner = self.log.membership().learners.contains(&from);
        if let Some(leader) = self.leader_mut().filter(|_| is_learner) {
            leader.promotion_requests.insert(from);
        }
    }

    /// Whether another incarnation of an instance still answers this leader, or is the leader itself.
    /// Two processes then run as the same instance, and the joining one must not displace the other.
    fn is_instance_in_use(&self, joining: &ReplicaId) -> bool {
        let Role::Leader(leader) = &self.role else {
            return false;
        };
        let timeout = self.settings.election_timeout;
        let is_other = |id: &ReplicaId| id.instance == joining.instance && id != joining;
        let answers = leader
            .progress
            .iter()
            .any(|(id, progress)| is_other(id) && self.now.since(progress.last_contact) < timeout);
        answers || is_other(&self.id)
    }

    /// Steps down a leader that a committed change has removed.
    pub(crate) fn step_down_if_removed(&mut self) {
        let members = self.log.membership();
        let is_committed = self.commit >= self.log.membership_index();
        let is_leader = matches!(self.role, Role::Leader(_));
        if is_leader && is_committed && !members.voters.contains(&self.id) {
            self.become_follower(self.hard_state.term, None);
        }
    }

    /// Starts a transfer to the voter with the latest contact, and among equals the longest log.
    pub(crate) fn transfer_leadership(&mut self) {
        let deadline = self.now + self.settings.election_timeout;
        let voters = self.log.membership().voters.clone();
        let Some(leader) = self.leader_mut() else {
            return;
        };
        let to = leader
            .progress
            .iter()
            .filter(|(id, _)| voters.contains(id))
            .max_by_key(|(_, progress)| (progress.last_contact, progress.matched))
            .map(|(id, _)| id.clone());
        leader.is_lease_revoked = true;
        leader.transfer = to.map(|to| Transfer {
            to,
            deadline,
            is_timeout_now_sent: false,
        });
    }

    /// Tells the next leader to start an election once it has all entries.
    pub(crate) fn complete_transfer(&mut self) {
        let last = self.log.last_index();
        let Some(leader) = self.leader_mut() else {
            return;
        };
        let Some(transfer) = leader
            .transfer
            .as_mut()
            .filter(|transfer| !transfer.is_timeout_now_sent)
        else {
            return;
        };
        let has_all_entries = leader
            .progress
            .get(&transfer.to)
            .is_some_and(|progress| progress.matched == last);
        if has_all_entries {
            transfer.is_timeout_now_sent = true;
            let to = transfer.to.clone();
            self.send(Barrier::HardState, &to, Body::TimeoutNow);
        }
    }

    pub(crate) fn expire_transfer(&mut self) {
        let now = self.now;
        if let Some(leader) = self.leader_mut() {
            leader.transfer.take_if(|transfer| transfer.deadline <= now);
        }
    }
}
