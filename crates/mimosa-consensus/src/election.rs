//! Elections: pre-votes, votes, and the protection of a live leader.

use std::collections::BTreeSet;

use crate::entry::HardState;
use crate::id::ReplicaId;
use crate::id::Term;
use crate::message::Body;
use crate::message::VoteRequest;
use crate::outbox::Barrier;
use crate::replica::Replica;
use crate::replica::Role;
use crate::settings::InjectedBug;

impl Replica {
    pub(crate) fn reset_election_deadline(&mut self) {
        self.election_deadline = self.now + self.random.jittered(self.settings.election_timeout);
    }

    pub(crate) fn election_tick(&mut self) {
        if self.now < self.election_deadline || !self.is_voter() {
            return;
        }
        if self.settings.has_bug(InjectedBug::NoPreVote) {
            self.start_election(false);
        } else {
            self.start_pre_vote();
        }
    }

    fn start_pre_vote(&mut self) {
        self.leader = None;
        self.reset_election_deadline();
        self.role = Role::PreCandidate {
            votes: BTreeSet::from([self.id.clone()]),
        };
        self.send_to_voters(Body::PreVote(self.vote_request(false)));
        self.count_pre_votes();
    }

    /// Starts the next term with a vote for itself. The requests are sent once that is synced.
    pub(crate) fn start_election(&mut self, is_transfer: bool) {
        self.leader = None;
        self.reset_election_deadline();
        self.save_hard_state(HardState {
            term: self.hard_state.term.next(),
            vote: Some(self.id.clone()),
        });
        self.role = Role::Candidate {
            votes: BTreeSet::new(),
        };
        self.send_to_voters(Body::Vote(self.vote_request(is_transfer)));
    }

    fn send_to_voters(&mut self, body: Body) {
        let barrier = self.vote_barrier();
        let voters = self.log.membership().voters.clone();
        voters
            .iter()
            .filter(|id| **id != self.id)
            .cloned()
            .collect::<Vec<_>>()
            .iter()
            .for_each(|id| self.send(barrier, id, body.clone()));
    }

    fn vote_request(&self, is_transfer: bool) -> VoteRequest {
        VoteRequest {
            last_index: self.log.last_index(),
            last_term: self.log.last_term(),
            is_transfer,
        }
    }

    fn vote_barrier(&self) -> Barrier {
        if self.settings.has_bug(InjectedBug::VoteWithoutPersist) {
            Barrier::None
        } else {
            Barrier::HardState
        }
    }

    /// Whether this replica leads, or had contact with a leader within the election timeout. Leaders
    /// without a quorum step down. No vote is granted against a live leader; leases rely on this.
    fn has_live_leader(&self) -> bool {
        matches!(self.role, Role::Leader(_))
            || self.now.since(self.last_leader_contact) < self.settings.election_timeout
    }

    /// Whether a vote request is dropped, including its term, to protect a live leader.
    pub(crate) fn ignores_vote_request(&self, body: &Body) -> bool {
        let Body::Vote(request) = body else {
            return false;
        };
        !request.is_transfer
            && !self.settings.has_bug(InjectedBug::NoPreVote)
            && self.has_live_leader()
    }

    fn is_up_to_date(&self, request: VoteRequest) -> bool {
        let own = (self.log.last_term(), self.log.last_index());
        (request.last_term, request.last_index) >= own
            || self.settings.has_bug(InjectedBug::VoteForAnyLog)
    }

    pub(crate) fn on_pre_vote(&mut self, from: &ReplicaId, term: Term, request: VoteRequest) {
        let next_term = term.next();
        let granted = next_term > self.hard_state.term
            && self.is_up_to_date(request)
            && !self.has_live_leader();
        let barrier = self.vote_barrier();
        self.send(barrier, from, Body::PreVoteReply { next_term, granted });
    }

    pub(crate) fn on_pre_vote_reply(&mut self, from: ReplicaId, next_term: Term, granted: bool) {
        if !granted || next_term != self.hard_state.term.next() {
            return;
        }
        if let Role::PreCandidate { votes } = &mut self.role {
            votes.insert(from);
        }
        self.count_pre_votes();
    }

    fn count_pre_votes(&mut self) {
        let Role::PreCandidate { votes } = &self.role else {
            return;
        };
        if self.log.membership().is_quorum(|id| votes.contains(id)) {
            self.start_election(false);
        }
    }

    pub(crate) fn on_vote(&mut self, from: ReplicaId, term: Term, request: VoteRequest) {
        let granted = term == self.hard_state.term
            && self
                .hard_state
                .vote
                .as_ref()
                .is_none_or(|vote| *vote == from)
            && self.is_up_to_date(request);
        if granted && self.hard_state.vote.is_none() {
            self.save_hard_state(HardState {
                term,
                vote: Some(from.clone()),
            });
            self.reset_election_deadline();
        }
        let barrier = self.vote_barrier();
        self.send(barrier, &from, Body::VoteReply { granted });
    }

    pub(crate) fn on_vote_reply(&mut self, from: ReplicaId, granted: bool) {
        if let Role::Candidate { votes } = &mut self.role
            && granted
        {
            votes.insert(from);
            self.count_votes();
        }
    }

    /// Counts a candidate's own vote once it is synced.
    pub(crate) fn count_own_vote(&mut self) {
        let is_synced = self.outbox.is_hard_state_durable()
            || self.settings.has_bug(InjectedBug::VoteWithoutPersist);
        if let Role::Candidate { votes } = &mut self.role
            && is_synced
            && votes.insert(self.id.clone())
        {
            self.count_votes();
        }
    }

    fn count_votes(&mut self) {
        let Role::Candidate { votes } = &self.role else {
            return;
        };
        if self.log.membership().is_quorum(|id| votes.contains(id)) {
            self.become_leader();
        }
    }

    /// Starts an election at the leader's request. The leader has revoked its lease, so voters need
    /// not wait for the election timeout.
    pub(crate) fn on_timeout_now(&mut self) {
        if self.is_voter() && matches!(self.role, Role::Follower) {
            self.start_election(true);
        }
    }
}
