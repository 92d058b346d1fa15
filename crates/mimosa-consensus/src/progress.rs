//! Replication progress of one member, as tracked by the leader.

use std::collections::VecDeque;
use std::hash::Hash;
use std::hash::Hasher;
use std::sync::Arc;

use mimosa_protocol::Timestamp;

use crate::entry::Snapshot;
use crate::id::LogIndex;
use crate::id::Round;

/// How entries are sent to a member.
#[derive(Clone, Debug, Hash)]
pub(crate) enum ReplicationMode {
    /// One append at a time, until a matching entry is found.
    Probe {
        /// Whether an append is unanswered.
        is_waiting: bool,
    },
    /// Several unanswered appends.
    Pipeline {
        /// The last index of each unanswered append.
        inflight: VecDeque<LogIndex>,
    },
    /// A snapshot, sent one chunk at a time.
    Snapshot {
        /// Kept until the transfer ends, even if a later one is taken.
        snapshot: Arc<Snapshot>,
        /// Byte offset of the unanswered chunk.
        offset: u64,
        /// Whether a heartbeat was sent since that chunk.
        is_stalled: bool,
    },
}

/// Replication progress of one member.
#[derive(Clone, Debug)]
pub(crate) struct Progress {
    /// Highest index up to which the member's entries match the leader's and are synced.
    pub(crate) matched: LogIndex,
    /// Index of the next entry to send.
    pub(crate) next: LogIndex,
    pub(crate) mode: ReplicationMode,
    /// The last round that the member answered.
    pub(crate) round: Round,
    /// Time of its last answer.
    pub(crate) last_contact: Timestamp,
}

/// Excludes the time; see [`crate::Replica::hash_state`].
impl Hash for Progress {
    fn hash<H: Hasher>(&self, hasher: &mut H) {
        (self.matched, self.next, &self.mode, self.round).hash(hasher);
    }
}

impl Progress {
    pub(crate) const fn new(last_index: LogIndex, now: Timestamp) -> Self {
        Self {
            matched: LogIndex::ZERO,
            next: last_index.next(),
            mode: ReplicationMode::Probe { is_waiting: false },
            round: Round::ZERO,
            last_contact: now,
        }
    }

    /// Whether flow control allows another append.
    pub(crate) fn can_send(&self, max_inflight: usize) -> bool {
        match &self.mode {
            ReplicationMode::Probe { is_waiting } => !is_waiting,
            ReplicationMode::Pipeline { inflight } => inflight.len() < max_inflight,
            ReplicationMode::Snapshot { .. } => false,
        }
    }

    /// Records an append that ends at `last`.
    pub(crate) fn record_sent(&mut self, last: LogIndex) {
        match &mut self.mode {
            ReplicationMode::Probe { is_waiting } => *is_waiting = true,
            ReplicationMode::Pipeline { inflight } => {
                inflight.push_back(last);
                self.next = last.next();
            }
            ReplicationMode::Snapshot { .. } => (),
        }
    }

    /// Records that all entries up to an index match and are synced.
    pub(crate) fn record_accepted(&mut self, index: LogIndex) {
        self.matched = self.matched.max(index);
        self.next = self.next.max(self.matched.next());
        match &mut self.mode {
            ReplicationMode::Pipeline { inflight } => {
                let count = inflight.partition_point(|last| *last <= index);
                inflight.drain(..count);
            }
            ReplicationMode::Snapshot { snapshot, .. } if self.matched < snapshot.meta.index => (),
            ReplicationMode::Probe { .. } | ReplicationMode::Snapshot { .. } => {
                self.next = self.matched.next();
                self.mode = ReplicationMode::Pipeline {
                    inflight: VecDeque::new(),
                };
            }
        }
    }

    /// Records that the entry before an append did not match. Ignores replies to earlier appends.
    pub(crate) fn record_rejected(&mut self, prev_index: LogIndex, retry_from: LogIndex) {
        let is_stale = prev_index <= self.matched || prev_index >= self.next;
        if is_stale || matches!(self.mode, ReplicationMode::Snapshot { .. }) {
            return;
        }
        self.next = retry_from.min(prev_index).max(self.matched.next());
        self.mode = ReplicationMode::Probe { is_waiting: false };
    }

    /// Allows another probe if the last one was not answered.
    pub(crate) fn allow_probe(&mut self) {
        if let ReplicationMode::Probe { is_waiting } = &mut self.mode {
            *is_waiting = false;
        }
    }
}
