//! Linearizable reads.
//!
//! A leader records its commit index as the read index, confirms with a round that it still leads,
//! and answers once the read index is applied. With a lease, a recent round is sufficient.

use crate::event::Action;
use crate::id::LogIndex;
use crate::id::Nonce;
use crate::id::ReadId;
use crate::id::ReplicaId;
use crate::id::Round;
use crate::leader::Leader;
use crate::message::Body;
use crate::outbox::Barrier;
use crate::replica::Replica;
use crate::replica::Role;
use crate::settings::InjectedBug;

/// Origin of a read.
#[derive(Clone, Debug, Hash)]
pub(crate) enum ReadOrigin {
    /// The local driver.
    Driver(ReadId),
    /// A follower that forwarded the read.
    Replica {
        from: ReplicaId,
        /// Identifies the read on the follower.
        nonce: Nonce,
    },
}

/// A read that waits for its round or for its index.
#[derive(Clone, Debug, Hash)]
pub(crate) struct PendingRead {
    origin: ReadOrigin,
    /// The read index, which must be applied before the answer.
    index: LogIndex,
    /// The round that a quorum must have answered. At least that of the read before it, as reads are
    /// answered in order.
    round: Round,
}

impl Replica {
    pub(crate) fn read(&mut self, id: ReadId) {
        if self.leader_mut().is_some() {
            self.add_read(ReadOrigin::Driver(id));
        } else {
            self.forward_read(id);
        }
    }

    pub(crate) fn add_read(&mut self, origin: ReadOrigin) {
        let needs_round =
            !self.has_lease() && !self.settings.has_bug(InjectedBug::ReadWithoutRound);
        let commit = self.commit;
        let Some(leader) = self.leader_mut() else {
            return;
        };
        let round = if needs_round {
            leader.round.next()
        } else {
            leader.reads.back().map_or(Round::ZERO, |last| last.round)
        };
        leader.reads.push_back(PendingRead {
            origin,
            index: commit.max(leader.first_entry),
            round,
        });
    }

    /// Answers the reads whose round a quorum has answered and whose index is applied. Starts a
    /// round for the others, one at a time.
    pub(crate) fn answer_ready_reads(&mut self) {
        let Some(answered) = self.answered_round() else {
            return;
        };
        let applied = self.applied();
        let Some(leader) = self.leader_mut() else {
            return;
        };
        let count = leader
            .reads
            .partition_point(|read| read.round <= answered && read.index <= applied);
        let ready: Vec<PendingRead> = leader.reads.drain(..count).collect();
        let is_round_needed = leader
            .reads
            .back()
            .is_some_and(|last| last.round > leader.round);
        let is_round_free = leader.last_read_round <= answered;
        if is_round_needed && is_round_free {
            leader.last_read_round = leader.round.next();
            self.start_round(false);
        }
        for PendingRead { origin, index, .. } in ready {
            self.answer_read(origin, index);
        }
        if is_round_needed && is_round_free {
            self.answer_ready_reads();
        }
    }

    /// The last round that a quorum has answered.
    fn answered_round(&self) -> Option<Round> {
        let Role::Leader(leader) = &self.role else {
            return None;
        };
        let own = (&self.id, leader.round);
        leader.quorum_value(self.log.membership(), own, |progress| progress.round)
    }

    /// Whether a quorum answered a round that started within the lease. The replicas that answered
    /// grant no vote against this leader before their election timeout.
    fn has_lease(&mut self) -> bool {
        let (now, answered) = (self.now, self.answered_round());
        let Some(lease) = self.settings.lease else {
            return false;
        };
        self.prune_round_starts();
        self.leader_mut()
            .filter(|leader| !leader.is_lease_revoked)
            .and_then(|leader| leader.round_starts.front())
            .is_some_and(|(round, start)| Some(*round) <= answered && now.since(*start) < lease)
    }

    /// Discards the start times of rounds before the last one that a quorum answered.
    pub(crate) fn prune_round_starts(&mut self) {
        let Some(answered) = self.answered_round() else {
            return;
        };
        if let Some(leader) = self.leader_mut() {
            let count = leader
                .round_starts
                .partition_point(|(round, _)| *round <= answered);
            leader.round_starts.drain(..count.saturating_sub(1));
        }
    }

    fn answer_read(&mut self, origin: ReadOrigin, index: LogIndex) {
        match origin {
            ReadOrigin::Driver(id) => self
                .outbox
                .push(Barrier::None, Action::ReadReady { id, index }),
            ReadOrigin::Replica { from, nonce } => {
                let index = Some(index);
                self.send(
                    Barrier::HardState,
                    &from,
                    Body::ReadIndexReply { nonce, index },
                );
            }
        }
    }

    pub(crate) fn refuse_read(&mut self, id: ReadId) {
        let leader = self.leader.clone();
        self.outbox
            .push(Barrier::None, Action::ReadRefused { id, leader });
    }

    /// Refuses the local reads of a former leader. Reads from followers time out there.
    pub(crate) fn refuse_reads(&mut self, old: Leader) {
        for read in old.reads {
            if let ReadOrigin::Driver(id) = read.origin {
                self.refuse_read(id);
            }
        }
    }
}
