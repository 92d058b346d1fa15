//! Holds back what depends on the disk until the disk has it.
//!
//! Everything that leaves a replica passes through here, and each action names what it waits for.
//! The order is therefore not up to the driver: an answer that promises something is not in its
//! hands before it reported the sync.

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

/// What an action waits for.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub(crate) enum Gate {
    /// Nothing.
    None,
    /// The hard state as it is now.
    HardState,
    /// All that is known now.
    Everything,
}

/// Writes that were not handed out yet.
#[derive(Clone, Debug, Default, Hash)]
struct Unsaved {
    hard_state: Option<HardState>,
    snapshot: Option<(Arc<Snapshot>, LogTail)>,
    truncate_from: Option<LogIndex>,
    entries: Vec<Entry>,
    drop_below: Option<LogIndex>,
}

/// A write that was handed out and not confirmed yet.
#[derive(Clone, Debug, Hash)]
struct Inflight {
    write_id: WriteId,
    /// The last entry that is durable when it is confirmed.
    last_index: LogIndex,
}

/// Actions on their way out.
#[derive(Clone, Debug, Default, Hash)]
pub(crate) struct Outbox {
    ready: Vec<Action>,
    /// Actions that wait for a write ID, which never falls along the queue of one write ID.
    held: VecDeque<(WriteId, Action)>,
    unsaved: Unsaved,
    issued: WriteId,
    persisted: WriteId,
    /// The last write ID that held a hard state.
    hard_state_write: WriteId,
    inflight: VecDeque<Inflight>,
    durable: LogIndex,
}

impl Outbox {
    pub(crate) fn new(durable: LogIndex) -> Self {
        Self {
            durable,
            ..Self::default()
        }
    }

    /// The last entry that is known to be synced.
    pub(crate) const fn durable(&self) -> LogIndex {
        self.durable
    }

    /// Whether the hard state as it is now is synced.
    pub(crate) fn is_hard_state_durable(&self) -> bool {
        self.unsaved.hard_state.is_none() && self.hard_state_write <= self.persisted
    }

    pub(crate) fn save_hard_state(&mut self, hard_state: HardState) {
        self.unsaved.hard_state = Some(hard_state);
    }

    pub(crate) fn save_entry(&mut self, entry: Entry) {
        self.unsaved.entries.push(entry);
    }

    /// Removes entries from an index on, also from writes not confirmed yet.
    pub(crate) fn truncate(&mut self, from: LogIndex) {
        self.unsaved.entries.retain(|entry| entry.index < from);
        let earlier = self.unsaved.truncate_from.unwrap_or(from);
        self.unsaved.truncate_from = Some(earlier.min(from));
        self.durable = self.durable.min(from.previous());
        for write in &mut self.inflight {
            write.last_index = write.last_index.min(from.previous());
        }
    }

    /// Replaces the log by a snapshot, or puts one beside it.
    pub(crate) fn save_snapshot(&mut self, snapshot: Arc<Snapshot>, tail: LogTail) {
        if tail == LogTail::Discard {
            self.unsaved.entries.clear();
            self.unsaved.truncate_from = None;
            self.durable = LogIndex::ZERO;
            for write in &mut self.inflight {
                write.last_index = LogIndex::ZERO;
            }
        }
        self.unsaved.snapshot = Some((snapshot, tail));
    }

    pub(crate) fn drop_below(&mut self, index: LogIndex) {
        self.unsaved.drop_below = Some(index);
    }

    /// Adds an action behind a gate.
    pub(crate) fn push(&mut self, gate: Gate, action: Action) {
        let write_id = match gate {
            Gate::None => WriteId::ZERO,
            Gate::HardState if self.unsaved.hard_state.is_some() => self.issued.next(),
            Gate::HardState => self.hard_state_write,
            Gate::Everything if self.has_unsaved() => self.issued.next(),
            Gate::Everything => self.issued,
        };
        if write_id <= self.persisted {
            self.ready.push(action);
        } else {
            self.held.push_back((write_id, action));
        }
    }

    fn has_unsaved(&self) -> bool {
        let unsaved = &self.unsaved;
        unsaved.hard_state.is_some()
            || unsaved.snapshot.is_some()
            || unsaved.truncate_from.is_some()
            || !unsaved.entries.is_empty()
            || unsaved.drop_below.is_some()
    }

    /// Hands out what must be written, as one write. `last_index` is the log's end.
    pub(crate) fn flush(&mut self, last_index: LogIndex) {
        if !self.has_unsaved() {
            return;
        }
        self.issued = self.issued.next();
        let unsaved = std::mem::take(&mut self.unsaved);
        if unsaved.hard_state.is_some() {
            self.hard_state_write = self.issued;
        }
        self.inflight.push_back(Inflight {
            write_id: self.issued,
            last_index,
        });
        self.ready.push(Action::Persist(Persist {
            write_id: self.issued,
            hard_state: unsaved.hard_state,
            snapshot: unsaved.snapshot,
            truncate_from: unsaved.truncate_from,
            entries: unsaved.entries,
            drop_below: unsaved.drop_below,
        }));
    }

    /// Notes that a write is synced, and lets go what waited for it.
    pub(crate) fn persisted(&mut self, write_id: WriteId) {
        let write_id = write_id.min(self.issued);
        let count = self
            .inflight
            .partition_point(|write| write.write_id <= write_id);
        self.durable = self
            .inflight
            .drain(..count)
            .map(|write| write.last_index)
            .fold(self.durable, LogIndex::max);
        self.persisted = self.persisted.max(write_id);
        let held = std::mem::take(&mut self.held);
        let (free, kept): (VecDeque<_>, VecDeque<_>) = held
            .into_iter()
            .partition(|(waits_for, _)| *waits_for <= self.persisted);
        self.held = kept;
        self.ready
            .extend(free.into_iter().map(|(_, action)| action));
    }

    /// Takes what may go out now.
    pub(crate) fn take(&mut self) -> Vec<Action> {
        std::mem::take(&mut self.ready)
    }
}
