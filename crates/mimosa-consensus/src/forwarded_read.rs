//! Reads at a replica that does not lead: the leader provides a read index, and the read is
//! answered once that index is applied locally.

use std::collections::BTreeMap;

use mimosa_protocol::Timestamp;

use crate::event::Action;
use crate::id::LogIndex;
use crate::id::Nonce;
use crate::id::ReadId;
use crate::id::ReplicaId;
use crate::message::Body;
use crate::outbox::Barrier;
use crate::read::ReadOrigin;
use crate::replica::Replica;

/// A read that was forwarded to the leader.
#[derive(Clone, Copy, Debug, Hash)]
pub(crate) struct ForwardedRead {
    id: ReadId,
    /// Time at which the read is refused.
    deadline: Timestamp,
    /// The read index; `None` until the leader answers.
    index: Option<LogIndex>,
}

impl Replica {
    /// Asks the leader for a read index; refuses the read if no leader is known.
    pub(crate) fn forward_read(&mut self, id: ReadId) {
        let Some(leader) = self.leader.clone() else {
            return self.refuse_read(id);
        };
        let nonce = Nonce(self.random.next_u64());
        let read = ForwardedRead {
            id,
            deadline: self.now + self.settings.election_timeout,
            index: None,
        };
        self.forwarded_reads.insert(nonce, read);
        self.send(Barrier::HardState, &leader, Body::ReadIndex { nonce });
    }

    /// Adds a follower's read; refuses it if this replica does not lead.
    pub(crate) fn on_read_index(&mut self, from: ReplicaId, nonce: Nonce) {
        if self.leader_mut().is_some() {
            self.add_read(ReadOrigin::Replica { from, nonce });
        } else {
            self.send(
                Barrier::HardState,
                &from,
                Body::ReadIndexReply { nonce, index: None },
            );
        }
    }

    pub(crate) fn on_read_index_reply(&mut self, nonce: Nonce, index: Option<LogIndex>) {
        let Some(read) = self.forwarded_reads.get_mut(&nonce) else {
            return;
        };
        read.index = index;
        if index.is_none() {
            let id = read.id;
            self.forwarded_reads.remove(&nonce);
            self.refuse_read(id);
        }
    }

    /// Answers the reads whose index is applied.
    pub(crate) fn answer_forwarded_reads(&mut self) {
        let applied = self.applied();
        let is_ready = |read: &ForwardedRead| read.index.is_some_and(|index| index <= applied);
        let ready = remove_matching(&mut self.forwarded_reads, is_ready);
        for ForwardedRead { id, index, .. } in ready {
            let index = index.unwrap_or(applied);
            self.outbox
                .push(Barrier::None, Action::ReadReady { id, index });
        }
    }

    pub(crate) fn expire_forwarded_reads(&mut self) {
        let now = self.now;
        remove_matching(&mut self.forwarded_reads, |read| read.deadline <= now)
            .iter()
            .for_each(|read| self.refuse_read(read.id));
    }

    /// The earliest deadline of a forwarded read.
    pub(crate) fn forwarded_read_deadline(&self) -> Option<Timestamp> {
        self.forwarded_reads
            .values()
            .map(|read| read.deadline)
            .min()
    }
}

/// Removes and returns the reads for which `matches` holds.
fn remove_matching(
    reads: &mut BTreeMap<Nonce, ForwardedRead>,
    matches: impl Fn(&ForwardedRead) -> bool,
) -> Vec<ForwardedRead> {
    let (taken, kept) = std::mem::take(reads)
        .into_iter()
        .partition(|(_, read)| matches(read));
    *reads = kept;
    let taken: BTreeMap<Nonce, ForwardedRead> = taken;
    taken.into_values().collect()
}
