//! Replication of entries by the leader: batched and pipelined.

use mimosa_protocol::ByteSize;

use crate::entry::Entry;
use crate::id::LogIndex;
use crate::id::ReplicaId;
use crate::id::Term;
use crate::message::Append;
use crate::message::Body;
use crate::outbox::Barrier;
use crate::progress::ReplicationMode;
use crate::replica::Replica;
use crate::replica::Role;

impl Replica {
    /// Sends the missing entries to every member, as far as flow control allows.
    pub(crate) fn replicate(&mut self) {
        for id in self.tracked_members() {
            while self.send_entries(&id) {}
        }
    }

    pub(crate) fn tracked_members(&self) -> Vec<ReplicaId> {
        match &self.role {
            Role::Leader(leader) => leader.progress.keys().cloned().collect(),
            _ => Vec::new(),
        }
    }

    /// Sends one append. Returns whether another one may follow.
    fn send_entries(&mut self, to: &ReplicaId) -> bool {
        let max_inflight = self.settings.max_inflight;
        let last = self.log.last_index();
        let Some(progress) = self
            .leader_mut()
            .and_then(|leader| leader.progress.get_mut(to))
        else {
            return false;
        };
        let next = progress.next;
        if next > last || !progress.can_send(max_inflight) {
            return false;
        }
        let Some(prev_term) = self.log.term_at(next.previous()) else {
            self.start_snapshot(to);
            return false;
        };
        let entries = self.batch(next);
        let sent = entries.last().map_or(last, |entry| entry.index);
        if let Some(progress) = self
            .leader_mut()
            .and_then(|leader| leader.progress.get_mut(to))
        {
            progress.record_sent(sent);
        }
        self.send_append(to, (next.previous(), prev_term), entries);
        true
    }

    fn batch(&self, from: LogIndex) -> Vec<Entry> {
        let limit = self.settings.batch_size;
        let mut size = ByteSize::ZERO;
        self.log
            .range(from, self.log.last_index())
            .take_while(|entry| {
                let is_first = size == ByteSize::ZERO;
                size += entry.size();
                is_first || size <= limit
            })
            .cloned()
            .collect()
    }

    fn send_append(&mut self, to: &ReplicaId, prev: (LogIndex, Term), entries: Vec<Entry>) {
        let Some(round) = self.leader_mut().map(|leader| leader.round) else {
            return;
        };
        let append = Append {
            prev_index: prev.0,
            prev_term: prev.1,
            entries,
            commit: self.commit,
            round,
        };
        self.send(Barrier::HardState, to, Body::Append(append));
    }

    /// Starts a round: a heartbeat to every voter, or to every member, that must be answered.
    pub(crate) fn start_round(&mut self, with_learners: bool) {
        let now = self.now;
        let has_lease = self.settings.lease.is_some();
        let Some(leader) = self.leader_mut() else {
            return;
        };
        leader.round = leader.round.next();
        if has_lease {
            leader.round_starts.push_back((leader.round, now));
        }
        for id in self.tracked_members() {
            if with_learners || self.log.membership().voters.contains(&id) {
                self.send_heartbeat(&id);
            }
        }
    }

    fn send_heartbeat(&mut self, to: &ReplicaId) {
        let Some(progress) = self.leader_mut().and_then(|leader| leader.progress.get(to)) else {
            return;
        };
        let is_snapshot = matches!(progress.mode, ReplicationMode::Snapshot { .. });
        let prev = progress.next.previous();
        if let Some(term) = self.log.term_at(prev).filter(|_| !is_snapshot) {
            return self.send_append(to, (prev, term), Vec::new());
        }
        self.send_append(to, (LogIndex::ZERO, Term::ZERO), Vec::new());
        if is_snapshot {
            self.resend_snapshot(to);
        } else {
            self.start_snapshot(to);
        }
    }
}
