//! The follower role: accepts entries from the leader.

use crate::entry::Entry;
use crate::id::LogIndex;
use crate::id::ReplicaId;
use crate::id::Round;
use crate::id::Term;
use crate::message::Append;
use crate::message::AppendOutcome;
use crate::message::AppendReply;
use crate::message::Body;
use crate::outbox::Barrier;
use crate::replica::Replica;
use crate::replica::Role;
use crate::settings::InjectedBug;

impl Replica {
    /// Follows the sender if its term is current. Returns whether it does.
    pub(crate) fn accept_leader(&mut self, from: &ReplicaId, term: Term) -> bool {
        if term < self.hard_state.term || matches!(self.role, Role::Leader(_)) {
            return false;
        }
        self.become_follower(term, Some(from.clone()));
        self.last_leader_contact = self.now;
        self.reset_election_deadline();
        true
    }

    pub(crate) fn on_append(&mut self, from: ReplicaId, term: Term, append: Append) {
        let round = append.round;
        if !self.accept_leader(&from, term) {
            if term < self.hard_state.term {
                self.reject_stale_leader(&from, append.prev_index);
            }
            return;
        }
        let is_heartbeat = append.entries.is_empty();
        let outcome = self.accept_entries(append);
        let (barrier, outcome) = match outcome {
            AppendOutcome::Accepted(index) if is_heartbeat => {
                let synced = index.min(self.outbox.last_durable());
                (Barrier::HardState, AppendOutcome::Accepted(synced))
            }
            AppendOutcome::Accepted(_) if self.settings.has_bug(InjectedBug::AckBeforeSync) => {
                (Barrier::None, outcome)
            }
            AppendOutcome::Accepted(_) => (Barrier::AllWrites, outcome),
            AppendOutcome::Rejected { .. } => (Barrier::HardState, outcome),
        };
        self.reply(barrier, &from, round, outcome);
    }

    pub(crate) fn reply(
        &mut self,
        barrier: Barrier,
        to: &ReplicaId,
        round: Round,
        outcome: AppendOutcome,
    ) {
        let reply = AppendReply { round, outcome };
        self.send(barrier, to, Body::AppendReply(reply));
    }

    /// Rejects an append of an earlier term, which tells the sender the current one.
    pub(crate) fn reject_stale_leader(&mut self, to: &ReplicaId, prev_index: LogIndex) {
        let outcome = AppendOutcome::Rejected {
            prev_index,
            retry_from: prev_index,
        };
        self.reply(Barrier::HardState, to, Round::ZERO, outcome);
    }

    fn accept_entries(&mut self, append: Append) -> AppendOutcome {
        let last = LogIndex(append.prev_index.0 + append.entries.len() as u64);
        let base = self.log.base().index;
        let is_consistent = append.prev_index < base
            || self.log.term_at(append.prev_index) == Some(append.prev_term);
        if !is_consistent {
            return AppendOutcome::Rejected {
                prev_index: append.prev_index,
                retry_from: self.retry_from(append.prev_index),
            };
        }
        append
            .entries
            .into_iter()
            .filter(|entry| entry.index > base)
            .for_each(|entry| self.accept_entry(entry));
        self.commit = self.commit.max(append.commit.min(last));
        AppendOutcome::Accepted(last)
    }

    fn accept_entry(&mut self, entry: Entry) {
        match self.log.term_at(entry.index) {
            Some(term) if term == entry.term => return,
            Some(_) => self.truncate(entry.index),
            None => (),
        }
        self.append_to_log(entry);
    }

    fn truncate(&mut self, from: LogIndex) {
        assert!(
            from > self.commit,
            "{} was told to drop entry {from}, which is committed",
            self.id
        );
        self.log.truncate(from);
        self.outbox.truncate(from);
    }

    pub(crate) fn append_to_log(&mut self, entry: Entry) {
        self.log.push(entry.clone());
        self.outbox.save_entry(entry);
    }

    /// Index from which the leader should retry. Skips a whole conflicting term at a time, as none of
    /// its entries is committed where the logs differ.
    fn retry_from(&self, prev_index: LogIndex) -> LogIndex {
        let last = self.log.last_index();
        if prev_index > last {
            last.next()
        } else {
            self.log
                .first_index_of_term(prev_index)
                .max(self.commit.next())
        }
    }
}
