//! Members come and go, one step at a time; leadership is handed on.

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
use crate::outbox::Gate;
use crate::replica::Replica;
use crate::replica::Role;
use crate::settings::Flaw;
use crate::settings::VoterPolicy;

/// Leadership on its way to another voter.
#[derive(Clone, Debug, Hash)]
pub(crate) struct Transfer {
    to: ReplicaId,
    /// When it is given up.
    until: Timestamp,
    is_offered: bool,
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

    /// The membership after a change, if it is safe now: the change before it is committed, and so
    /// is an entry of this leader's own term.
    fn next_membership(&self, change: &MembershipChange) -> Result<Membership, ChangeRefusal> {
        let Role::Leader(leader) = &self.role else {
            return Err(ChangeRefusal::Busy);
        };
        let is_settled =
            self.commit >= self.log.membership_index() && self.commit >= leader.first_entry;
        if !is_settled && !self.settings.has(Flaw::ManyMembershipChanges) {
            return Err(ChangeRefusal::Busy);
        }
        let next = self.log.membership().after(change)?;
        match change {
            MembershipChange::Promote(id) if !self.has_caught_up(id) => Err(ChangeRefusal::Behind),
            _ => Ok(next),
        }
    }

    /// Whether a learner has synced all that is committed, and is there.
    fn has_caught_up(&self, id: &ReplicaId) -> bool {
        let Role::Leader(leader) = &self.role else {
            return false;
        };
        let timeout = self.settings.election_timeout;
        leader.progress.get(id).is_some_and(|progress| {
            (progress.matched >= self.commit || self.settings.has(Flaw::PromoteEarly))
                && self.now.since(progress.heard_at) < timeout
        })
    }

    /// Promotes learners that asked to vote and have caught up.
    pub(crate) fn promote_learners(&mut self) {
        match self.settings.voter_policy {
            Some(policy) => self.maintain_voters(policy),
            None => self.promote_one(),
        }
    }

    /// Keeps the number of voters: a learner takes the seat of a voter that went silent, and only
    /// then the silent one is removed, so that no step lowers how many may be lost.
    fn maintain_voters(&mut self, policy: VoterPolicy) {
        let members = self.log.membership();
        let (voters, learners) = (members.voters.len(), members.learners.len());
        let silent = self.longest_silent(policy.replace_voter_after, &members.voters);
        let present = voters - silent.len();
        if present < policy.voters && voters <= policy.voters && learners > 0 {
            return self.promote_one();
        }
        let gone = match silent.first() {
            Some(voter) if voters > policy.voters => Some(voter.clone()),
            _ => {
                let learners = self.longest_silent(policy.remove_learner_after, &members.learners);
                learners.first().cloned()
            }
        };
        if let Some(gone) = gone
            && let Ok(next) = self.next_membership(&MembershipChange::Remove(gone))
        {
            self.add_entry(Payload::Membership(next));
        }
    }

    /// The members that this leader has not heard for a while, the longest silent first.
    fn longest_silent(&self, time: Duration, members: &BTreeSet<ReplicaId>) -> Vec<ReplicaId> {
        let Role::Leader(leader) = &self.role else {
            return Vec::new();
        };
        let heard_at = |id: &ReplicaId| leader.progress.get(id).map(|each| each.heard_at);
        let mut silent: Vec<_> = members
            .iter()
            .filter(|id| **id != self.id)
            .filter_map(|id| Some((heard_at(id)?, id.clone())))
            .filter(|(at, _)| self.now.since(*at) >= time)
            .collect();
        silent.sort();
        silent.into_iter().map(|(_, id)| id).collect()
    }

    fn promote_one(&mut self) {
        let Role::Leader(leader) = &self.role else {
            return;
        };
        let next = leader.wants_vote.iter().find_map(|id| {
            self.next_membership(&MembershipChange::Promote(id.clone()))
                .ok()
        });
        if let Some(next) = next {
            self.add_entry(Payload::Membership(next));
        }
    }

    /// Whether this replica has to ask for admission: it never was a member, or waits to vote.
    pub(crate) fn wants_admission(&self) -> bool {
        let members = self.log.membership();
        if !self.settings.join {
            return false;
        }
        // A voter whose seat was taken while it was away does not know it: nobody leads it.
        if self.settings.voter_policy.is_some() && self.leader().is_none() {
            return true;
        }
        !members.voters.contains(&self.id)
            && (members.learners.contains(&self.id)
                || !self.was_member
                || self.settings.voter_policy.is_some())
    }

    pub(crate) fn join_tick(&mut self) {
        if self.now < self.join_at || !self.wants_admission() {
            return;
        }
        self.join_at = self.now + self.settings.election_timeout;
        let own = self.id.instance.clone();
        for to in self.settings.peers.iter().filter(|peer| **peer != own) {
            let message = Message {
                from: self.id.clone(),
                to: to.clone(),
                to_incarnation: None,
                term: self.hard_state.term,
                body: Body::Join,
            };
            self.outbox.push(Gate::HardState, Action::Send(message));
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
            return self.outbox.push(Gate::None, action);
        }
        let change = MembershipChange::AddLearner(from.clone());
        if let Ok(next) = self.next_membership(&change) {
            self.add_entry(Payload::Membership(next));
        }
        let is_learner = self.log.membership().learners.contains(&from);
        if let Some(leader) = self.leading().filter(|_| is_learner) {
            leader.wants_vote.insert(from);
        }
    }

    /// Whether another life of an instance still answers this leader, or is this leader itself: two
    /// processes then run under one name, and the newcomer must not put the other out.
    fn is_instance_in_use(&self, newcomer: &ReplicaId) -> bool {
        let Role::Leader(leader) = &self.role else {
            return false;
        };
        let timeout = self.settings.election_timeout;
        let is_other = |id: &ReplicaId| id.instance == newcomer.instance && id != newcomer;
        let answers = leader
            .progress
            .iter()
            .any(|(id, progress)| is_other(id) && self.now.since(progress.heard_at) < timeout);
        answers || is_other(&self.id)
    }

    /// A leader that a committed change removed leads no longer.
    pub(crate) fn leave_if_removed(&mut self) {
        let members = self.log.membership();
        let is_settled = self.commit >= self.log.membership_index();
        let is_leader = matches!(self.role, Role::Leader(_));
        if is_leader && is_settled && !members.voters.contains(&self.id) {
            self.become_follower(self.hard_state.term, None);
        }
    }

    /// Starts to hand the leadership to the voter that has most.
    pub(crate) fn transfer_leadership(&mut self) {
        let until = self.now + self.settings.election_timeout;
        let voters = self.log.membership().voters.clone();
        let Some(leader) = self.leading() else {
            return;
        };
        let to = leader
            .progress
            .iter()
            .filter(|(id, _)| voters.contains(id))
            .max_by_key(|(_, progress)| (progress.heard_at, progress.matched))
            .map(|(id, _)| id.clone());
        leader.is_lease_void = true;
        leader.transfer = to.map(|to| Transfer {
            to,
            until,
            is_offered: false,
        });
    }

    /// Tells the next leader to stand for election, once it has everything.
    pub(crate) fn offer_leadership(&mut self) {
        let last = self.log.last_index();
        let Some(leader) = self.leading() else {
            return;
        };
        let Some(transfer) = leader.transfer.as_mut().filter(|each| !each.is_offered) else {
            return;
        };
        let has_all = leader
            .progress
            .get(&transfer.to)
            .is_some_and(|progress| progress.matched == last);
        if has_all {
            transfer.is_offered = true;
            let to = transfer.to.clone();
            self.send(Gate::HardState, &to, Body::TimeoutNow);
        }
    }

    pub(crate) fn expire_transfer(&mut self) {
        let now = self.now;
        if let Some(leader) = self.leading() {
            leader.transfer.take_if(|transfer| transfer.until <= now);
        }
    }
}
