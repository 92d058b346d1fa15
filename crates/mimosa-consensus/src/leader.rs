//! The leader role: proposals, heartbeats and the commit index.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::collections::VecDeque;
use std::hash::Hash;
use std::hash::Hasher;
use std::time::Duration;

use mimosa_protocol::Timestamp;

use crate::entry::Entry;
use crate::entry::Payload;
use crate::event::Action;
use crate::event::ProposalRefusal;
use crate::id::LogIndex;
use crate::id::ProposalId;
use crate::id::ReplicaId;
use crate::id::Round;
use crate::membership::Membership;
use crate::message::AppendOutcome;
use crate::message::AppendReply;
use crate::outbox::Barrier;
use crate::progress::Progress;
use crate::read::PendingRead;
use crate::reconfiguration::Transfer;
use crate::replica::Replica;
use crate::replica::Role;
use crate::settings::InjectedBug;

/// State of a leader.
#[derive(Clone, Debug)]
pub(crate) struct Leader {
    pub(crate) progress: BTreeMap<ReplicaId, Progress>,
    /// The blank entry of its term, which must be committed before it answers reads.
    pub(crate) first_entry: LogIndex,
    /// The last round that was started.
    pub(crate) round: Round,
    /// Start times of the rounds on which a lease may still rely.
    pub(crate) round_starts: VecDeque<(Round, Timestamp)>,
    /// The last round that was started for reads.
    pub(crate) last_read_round: Round,
    pub(crate) reads: VecDeque<PendingRead>,
    pub(crate) next_heartbeat_at: Timestamp,
    /// Learners that asked to be promoted.
    pub(crate) promotion_requests: BTreeSet<ReplicaId>,
    pub(crate) transfer: Option<Transfer>,
    /// Set when a leadership transfer starts, as the next leader may be elected within the lease.
    pub(crate) is_lease_revoked: bool,
}

/// Excludes the times; see [`Replica::hash_state`].
impl Hash for Leader {
    fn hash<H: Hasher>(&self, hasher: &mut H) {
        (&self.progress, self.first_entry, self.round).hash(hasher);
        (self.last_read_round, &self.reads, &self.promotion_requests).hash(hasher);
        (&self.transfer, self.is_lease_revoked).hash(hasher);
    }
}

impl Leader {
    fn new(first_entry: LogIndex, now: Timestamp) -> Self {
        Self {
            progress: BTreeMap::new(),
            first_entry,
            round: Round::ZERO,
            round_starts: VecDeque::new(),
            last_read_round: Round::ZERO,
            reads: VecDeque::new(),
            next_heartbeat_at: now,
            promotion_requests: BTreeSet::new(),
            transfer: None,
            is_lease_revoked: false,
        }
    }

    pub(crate) fn wake_at(&self) -> Timestamp {
        self.next_heartbeat_at
    }

    /// Adds and removes replication progress after a membership change.
    fn track_members(
        &mut self,
        own: &ReplicaId,
        members: &Membership,
        last: LogIndex,
        now: Timestamp,
    ) {
        self.progress.retain(|id, _| members.contains(id));
        self.promotion_requests
            .retain(|id| members.learners.contains(id));
        members.all().filter(|id| *id != own).for_each(|id| {
            self.progress
                .entry(id.clone())
                .or_insert_with(|| Progress::new(last, now));
        });
    }

    /// The highest value that a quorum of voters has reached; `own` is the leader's ID and value.
    pub(crate) fn quorum_value<T: Ord + Copy>(
        &self,
        members: &Membership,
        own: (&ReplicaId, T),
        value_of: impl Fn(&Progress) -> T,
    ) -> Option<T> {
        let mut values: Vec<T> = members
            .voters
            .iter()
            .filter_map(|id| {
                if id == own.0 {
                    Some(own.1)
                } else {
                    self.progress.get(id).map(&value_of)
                }
            })
            .collect();
        values.sort_unstable();
        values
            .len()
            .checked_sub(members.quorum())
            .map(|at| values[at])
    }

    fn has_active_quorum(
        &self,
        members: &Membership,
        own: &ReplicaId,
        now: Timestamp,
        timeout: Duration,
    ) -> bool {
        members.is_quorum(|id| {
            id == own
                || self
                    .progress
                    .get(id)
                    .is_some_and(|progress| now.since(progress.last_contact) < timeout)
        })
    }
}

impl Replica {
    pub(crate) fn become_leader(&mut self) {
        self.leader = Some(self.id.clone());
        let first_entry = self.log.last_index().next();
        self.role = Role::Leader(Box::new(Leader::new(first_entry, self.now)));
        self.update_tracked_members();
        self.add_entry(Payload::Blank);
        self.leader_tick();
    }

    pub(crate) const fn leader_mut(&mut self) -> Option<&mut Leader> {
        match &mut self.role {
            Role::Leader(leader) => Some(leader),
            _ => None,
        }
    }

    /// Appends an entry with the current term.
    pub(crate) fn add_entry(&mut self, payload: Payload) -> LogIndex {
        let index = self.log.last_index().next();
        let is_membership = matches!(payload, Payload::Membership(_));
        self.append_to_log(Entry {
            index,
            term: self.hard_state.term,
            payload,
        });
        if is_membership {
            self.update_tracked_members();
        }
        index
    }

    fn update_tracked_members(&mut self) {
        let last = self.log.last_index();
        if let Role::Leader(leader) = &mut self.role {
            leader.track_members(&self.id, self.log.membership(), last, self.now);
        }
    }

    pub(crate) fn propose(&mut self, id: ProposalId, payload: Payload) {
        let refusal = match &self.role {
            Role::Leader(leader) if leader.transfer.is_some() => ProposalRefusal::Transferring,
            Role::Leader(_) if self.is_backlogged() => ProposalRefusal::Busy,
            Role::Leader(_) => return self.accept_proposal(id, payload),
            _ => ProposalRefusal::NotLeader,
        };
        self.refuse_proposal(id, refusal);
    }

    /// Whether too many entries are uncommitted or not yet covered by a snapshot.
    fn is_backlogged(&self) -> bool {
        let last = self.log.last_index();
        let size = self.log.size_between(self.commit, last);
        last.0 - self.commit.0 >= self.settings.max_uncommitted
            || size >= self.settings.max_uncommitted_size
            || self.is_log_full()
    }

    pub(crate) fn accept_proposal(&mut self, id: ProposalId, payload: Payload) {
        let index = self.add_entry(payload);
        let term = self.hard_state.term;
        self.outbox
            .push(Barrier::None, Action::Proposed { id, index, term });
    }

    pub(crate) fn refuse_proposal(&mut self, id: ProposalId, reason: ProposalRefusal) {
        let leader = self.leader.clone();
        let action = Action::ProposalRefused { id, reason, leader };
        self.outbox.push(Barrier::None, action);
    }

    /// Sends heartbeats when they are due; steps down if no quorum had contact within the election
    /// timeout.
    pub(crate) fn leader_tick(&mut self) {
        let (now, interval) = (self.now, self.settings.heartbeat_interval);
        let timeout = self.settings.election_timeout;
        let Role::Leader(leader) = &mut self.role else {
            return;
        };
        if now < leader.next_heartbeat_at {
            return;
        }
        if !leader.has_active_quorum(self.log.membership(), &self.id, now, timeout) {
            return self.become_follower(self.hard_state.term, None);
        }
        leader.next_heartbeat_at = now + interval;
        leader.progress.values_mut().for_each(Progress::allow_probe);
        self.expire_transfer();
        self.prune_round_starts();
        self.start_round(true);
    }

    pub(crate) fn on_append_reply(&mut self, from: &ReplicaId, reply: AppendReply) {
        let now = self.now;
        let Some(progress) = self
            .leader_mut()
            .and_then(|leader| leader.progress.get_mut(from))
        else {
            return;
        };
        progress.last_contact = now;
        progress.round = progress.round.max(reply.round);
        match reply.outcome {
            AppendOutcome::Accepted(index) => progress.record_accepted(index),
            AppendOutcome::Rejected {
                prev_index,
                retry_from,
            } => progress.record_rejected(prev_index, retry_from),
        }
    }

    /// Advances the commit index, promotes learners, sends entries and continues a leadership
    /// transfer, as far as the last event allows.
    pub(crate) fn advance_leader(&mut self) {
        if !matches!(self.role, Role::Leader(_)) {
            return;
        }
        self.advance_commit();
        self.promote_learners();
        self.replicate();
        self.complete_transfer();
    }

    /// Commits the entries that a quorum has synced, if the last of them has the current term.
    fn advance_commit(&mut self) {
        let synced = self.outbox.last_durable();
        let Role::Leader(leader) = &self.role else {
            return;
        };
        let own = (&self.id, synced);
        let members = self.log.membership();
        let reached = leader
            .quorum_value(members, own, |progress| progress.matched)
            .unwrap_or(LogIndex::ZERO);
        let is_own_term = self.log.term_at(reached) == Some(self.hard_state.term)
            || self.settings.has_bug(InjectedBug::CommitOldTerm);
        if is_own_term && reached > self.commit {
            self.commit = reached;
        }
    }
}
