//! Holds back actions until the writes that they depend on are synced.
//!
//! All actions of a replica pass through the outbox, each with a [`Barrier`]. The order of sending
//! and syncing is therefore not up to the driver: it does not receive a message that promises
//! something before it has reported the sync.

use std::collections::VecDeque;
use std::sync::Arc;

use crate::entry::Entry;
use crate::entry::HardState;
use crate::entry::Snapshot;
use crate::event::Action;
use crate::event::LogTail;
use crate::event::Persist;
use crate::id::LogIndex;
use crate::id::WriteId;

/// The write that must be synced before an action is released.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub(crate) enum Barrier {
    /// No write.
    None,
    /// The write of the current hard state.
    HardState,
    /// All writes so far.
    AllWrites,
}

/// Changes for the next write.
#[derive(Clone, Debug, Default, Hash)]
struct PendingWrite {
    hard_state: Option<HardState>,
    snapshot: Option<(Arc<Snapshot>, LogTail)>,
    truncate_from: Option<LogIndex>,
    entries: Vec<Entry>,
    drop_below: Option<LogIndex>,
}

/// A write that was emitted and is not confirmed yet.
#[derive(Clone, Debug, Hash)]
struct IssuedWrite {
    write_id: WriteId,
    /// Index of the last entry that is durable once the write is confirmed.
    last_index: LogIndex,
}

/// Queue of outgoing actions.
#[derive(Clone, Debug, Default, Hash)]
pub(crate) struct Outbox {
    /// Released actions, in order.
    ready: Vec<Action>,
    /// Actions with the write that they wait for. Those that wait for the same write keep their order.
    blocked: VecDeque<(WriteId, Action)>,
    pending: PendingWrite,
    /// The last emitted write.
    issued: WriteId,
    /// The last write reported as synced.
    persisted: WriteId,
    /// The last write that contained a hard state.
    hard_state_write: WriteId,
    unconfirmed: VecDeque<IssuedWrite>,
    /// Index of the last entry that is known to be synced.
    last_durable: LogIndex,
}

impl Outbox {
    pub(crate) fn new(last_durable: LogIndex) -> Self {
        Self {
            last_durable,
            ..Self::default()
        }
    }

    /// Index of the last entry that is known to be synced.
    pub(crate) const fn last_durable(&self) -> LogIndex {
        self.last_durable
    }

    /// Whether the current hard state is synced.
    pub(crate) fn is_hard_state_durable(&self) -> bool {
        self.pending.hard_state.is_none() && self.hard_state_write <= self.persisted
    }

    pub(crate) fn save_hard_state(&mut self, hard_state: HardState) {
        self.pending.hard_state = Some(hard_state);
    }

    pub(crate) fn save_entry(&mut self, entry: Entry) {
        self.pending.entries.push(entry);
    }

    /// Removes the entries from an index on, also from unconfirmed writes.
    pub(crate) fn truncate(&mut self, from: LogIndex) {
        self.pending.entries.retain(|entry| entry.index < from);
        let earlier = self.pending.truncate_from.unwrap_or(from);
        self.pending.truncate_from = Some(earlier.min(from));
        self.last_durable = self.last_durable.min(from.previous());
        for write in &mut self.unconfirmed {
            write.last_index = write.last_index.min(from.previous());
        }
    }

    /// Stores a snapshot; with [`LogTail::Discard`] it replaces the log.
    pub(crate) fn save_snapshot(&mut self, snapshot: Arc<Snapshot>, tail: LogTail) {
        if tail == LogTail::Discard {
            self.pending.entries.clear();
            self.pending.truncate_from = None;
            self.last_durable = LogIndex::ZERO;
            for write in &mut self.unconfirmed {
                write.last_index = LogIndex::ZERO;
            }
        }
        self.pending.snapshot = Some((snapshot, tail));
    }

    pub(crate) fn drop_below(&mut self, index: LogIndex) {
        self.pending.drop_below = Some(index);
    }

    /// Adds an action that is released once its barrier is synced.
    pub(crate) fn push(&mut self, barrier: Barrier, action: Action) {
        let write_id = match barrier {
            Barrier::None => WriteId::ZERO,
            Barrier::HardState if self.pending.hard_state.is_some() => self.issued.next(),
            Barrier::HardState => self.hard_state_write,
            Barrier::AllWrites if self.has_pending_write() => self.issued.next(),
            Barrier::AllWrites => self.issued,
        };
        if write_id <= self.persisted {
            self.ready.push(action);
        } else {
            self.blocked.push_back((write_id, action));
        }
    }

    fn has_pending_write(&self) -> bool {
        let pending = &self.pending;
        pending.hard_state.is_some()
            || pending.snapshot.is_some()
            || pending.truncate_from.is_some()
            || !pending.entries.is_empty()
            || pending.drop_below.is_some()
    }

    /// Emits the pending changes as one write. `last_index` is the last index of the log.
    pub(crate) fn flush(&mut self, last_index: LogIndex) {
        if !self.has_pending_write() {
            return;
        }
        self.issued = self.issued.next();
        let pending = std::mem::take(&mut self.pending);
        if pending.hard_state.is_some() {
            self.hard_state_write = self.issued;
        }
        self.unconfirmed.push_back(IssuedWrite {
            write_id: self.issued,
            last_index,
        });
        self.ready.push(Action::Persist(Persist {
            write_id: self.issued,
            hard_state: pending.hard_state,
            snapshot: pending.snapshot,
            truncate_from: pending.truncate_from,
            entries: pending.entries,
            drop_below: pending.drop_below,
        }));
    }

    /// Records that all writes up to one are synced, and releases the actions that waited for them.
    pub(crate) fn persisted(&mut self, write_id: WriteId) {
        let write_id = write_id.min(self.issued);
        let count = self
            .unconfirmed
            .partition_point(|write| write.write_id <= write_id);
        self.last_durable = self
            .unconfirmed
            .drain(..count)
            .map(|write| write.last_index)
            .fold(self.last_durable, LogIndex::max);
        self.persisted = self.persisted.max(write_id);
        let blocked = std::mem::take(&mut self.blocked);
        let (released, still_blocked): (VecDeque<_>, VecDeque<_>) = blocked
            .into_iter()
            .partition(|(waits_for, _)| *waits_for <= self.persisted);
        self.blocked = still_blocked;
        self.ready
            .extend(released.into_iter().map(|(_, action)| action));
    }

    /// Takes the released actions.
    pub(crate) fn take(&mut self) -> Vec<Action> {
        std::mem::take(&mut self.ready)
    }
}
