//! Snapshots: taken locally, sent in chunks, and installed in place of a log that is too far behind.

use std::sync::Arc;

use mimosa_protocol::ByteSize;

use crate::entry::Snapshot;
use crate::entry::SnapshotMeta;
use crate::event::Action;
use crate::event::LogTail;
use crate::id::LogIndex;
use crate::id::ReplicaId;
use crate::id::Term;
use crate::log::Log;
use crate::message::AppendOutcome;
use crate::message::Body;
use crate::message::SnapshotChunk;
use crate::outbox::Barrier;
use crate::progress::ReplicationMode;
use crate::replica::Replica;
use crate::replica::Role;
use crate::settings::MAX_LOG_SNAPSHOT_INTERVALS;

/// A snapshot that is being received: the chunks up to now, from one leader in one term.
#[derive(Clone, Debug, Hash)]
pub(crate) struct IncomingSnapshot {
    from: ReplicaId,
    term: Term,
    meta: SnapshotMeta,
    bytes: Vec<u8>,
}

impl Replica {
    /// Stores a snapshot and compacts the log. Ignores one that is not newer than the last.
    pub(crate) fn snapshot_taken(&mut self, index: LogIndex, bytes: Vec<u8>) {
        self.is_snapshot_requested = false;
        let is_new = index > self.snapshot.meta.index && index <= self.applied;
        let Some(term) = self.log.term_at(index).filter(|_| is_new) else {
            return;
        };
        let meta = SnapshotMeta {
            index,
            term,
            membership: self.log.membership_at(index).clone(),
        };
        self.snapshot = Arc::new(Snapshot { meta, bytes });
        self.outbox
            .save_snapshot(self.snapshot.clone(), LogTail::Keep);
        self.outbox.drop_below(index.next());
        self.log.compact(self.compaction_index(index));
    }

    /// Requests a snapshot when enough entries were applied since the last one.
    pub(crate) fn request_snapshot_if_due(&mut self) {
        let (last, index) = (self.snapshot.meta.index, self.applied);
        let has_many_entries = index.0 - last.0 >= self.settings.snapshot_after;
        let has_many_bytes =
            self.log.size_between(last, index) >= self.settings.snapshot_after_size;
        if (has_many_entries || has_many_bytes) && !self.is_snapshot_requested {
            self.is_snapshot_requested = true;
            self.outbox
                .push(Barrier::None, Action::TakeSnapshot { index });
        }
    }

    /// Whether late snapshots have let the log grow so long that proposals must be refused.
    pub(crate) fn is_log_full(&self) -> bool {
        let (first, last) = (self.log.base().index, self.log.last_index());
        let cfg = &self.settings;
        let max_entries = cfg.retained_entries + MAX_LOG_SNAPSHOT_INTERVALS * cfg.snapshot_after;
        let max_size = cfg.retained_size.0 + MAX_LOG_SNAPSHOT_INTERVALS * cfg.snapshot_after_size.0;
        last.0 - first.0 >= max_entries || self.log.size_between(first, last).0 >= max_size
    }

    /// The index up to which to compact. Retains entries for followers that are slightly behind, and
    /// more while a snapshot is being sent.
    fn compaction_index(&self, index: LogIndex) -> LogIndex {
        let cfg = &self.settings;
        let keep = |entries: u64, size: ByteSize| {
            LogIndex(index.0.saturating_sub(entries)).max(self.log.index_for_size(index, size))
        };
        let retained = keep(cfg.retained_entries, cfg.retained_size);
        let floor = keep(
            cfg.retained_entries + 2 * cfg.snapshot_after,
            ByteSize(cfg.retained_size.0 + 2 * cfg.snapshot_after_size.0),
        );
        let Role::Leader(leader) = &self.role else {
            return retained;
        };
        leader
            .progress
            .values()
            .filter_map(|progress| match &progress.mode {
                ReplicationMode::Snapshot { snapshot, .. } => Some(snapshot.meta.index),
                _ => None,
            })
            .min()
            .map_or(retained, |needed| retained.min(needed.max(floor)))
    }

    /// Starts sending the snapshot to a member whose next entry is compacted.
    pub(crate) fn start_snapshot(&mut self, to: &ReplicaId) {
        let snapshot = self.snapshot.clone();
        if let Some(progress) = self
            .leader_mut()
            .and_then(|leader| leader.progress.get_mut(to))
        {
            progress.mode = ReplicationMode::Snapshot {
                snapshot,
                offset: 0,
                is_stalled: false,
            };
        }
        self.send_chunk(to);
    }

    /// Resends a chunk that was not answered since the last heartbeat.
    pub(crate) fn resend_snapshot(&mut self, to: &ReplicaId) {
        let progress = self
            .leader_mut()
            .and_then(|leader| leader.progress.get_mut(to));
        let Some(ReplicationMode::Snapshot { is_stalled, .. }) =
            progress.map(|progress| &mut progress.mode)
        else {
            return;
        };
        if std::mem::replace(is_stalled, true) {
            self.send_chunk(to);
        }
    }

    fn send_chunk(&mut self, to: &ReplicaId) {
        let size = usize::try_from(self.settings.snapshot_chunk.0.max(1)).unwrap_or(usize::MAX);
        let Some(leader) = self.leader_mut() else {
            return;
        };
        let round = leader.round;
        let Some(ReplicationMode::Snapshot {
            snapshot, offset, ..
        }) = leader.progress.get(to).map(|progress| &progress.mode)
        else {
            return;
        };
        let start = usize::try_from(*offset)
            .unwrap_or(usize::MAX)
            .min(snapshot.bytes.len());
        let end = start.saturating_add(size).min(snapshot.bytes.len());
        let chunk = SnapshotChunk {
            meta: snapshot.meta.clone(),
            offset: *offset,
            bytes: snapshot.bytes[start..end].to_vec(),
            is_last: end == snapshot.bytes.len(),
            round,
        };
        self.send(Barrier::HardState, to, Body::SnapshotChunk(chunk));
    }

    pub(crate) fn on_snapshot_reply(
        &mut self,
        from: &ReplicaId,
        index: LogIndex,
        next_offset: u64,
    ) {
        let now = self.now;
        let Some(progress) = self
            .leader_mut()
            .and_then(|leader| leader.progress.get_mut(from))
        else {
            return;
        };
        progress.last_contact = now;
        if let ReplicationMode::Snapshot {
            snapshot,
            offset,
            is_stalled,
        } = &mut progress.mode
            && snapshot.meta.index == index
            && *offset != next_offset
        {
            *offset = next_offset;
            *is_stalled = false;
            self.send_chunk(from);
        }
    }

    pub(crate) fn on_snapshot_chunk(&mut self, from: ReplicaId, term: Term, chunk: SnapshotChunk) {
        if !self.accept_leader(&from, term) {
            if term < self.hard_state.term {
                self.reject_stale_leader(&from, LogIndex::ZERO);
            }
            return;
        }
        let index = chunk.meta.index;
        let is_already_covered = self.log.term_at(index) == Some(chunk.meta.term);
        if is_already_covered || index <= self.commit {
            self.commit = self.commit.max(index);
            let outcome = AppendOutcome::Accepted(index);
            return self.reply(Barrier::AllWrites, &from, chunk.round, outcome);
        }
        let round = chunk.round;
        let Some(snapshot) = self.accept_chunk(&from, term, chunk) else {
            let next_offset = self
                .incoming
                .as_ref()
                .map_or(0, |incoming| incoming.bytes.len() as u64);
            let body = Body::SnapshotReply { index, next_offset };
            return self.send(Barrier::HardState, &from, body);
        };
        self.install_snapshot(snapshot);
        let outcome = AppendOutcome::Accepted(index);
        self.reply(Barrier::AllWrites, &from, round, outcome);
    }

    /// Adds a chunk. Returns the snapshot once it is complete.
    fn accept_chunk(
        &mut self,
        from: &ReplicaId,
        term: Term,
        chunk: SnapshotChunk,
    ) -> Option<Snapshot> {
        let is_same = self.incoming.as_ref().is_some_and(|incoming| {
            incoming.from == *from && incoming.term == term && incoming.meta == chunk.meta
        });
        if !is_same {
            self.incoming = Some(IncomingSnapshot {
                from: from.clone(),
                term,
                meta: chunk.meta,
                bytes: Vec::new(),
            });
        }
        let incoming = self.incoming.as_mut()?;
        if incoming.bytes.len() as u64 != chunk.offset {
            return None;
        }
        incoming.bytes.extend_from_slice(&chunk.bytes);
        if !chunk.is_last {
            return None;
        }
        self.incoming.take().map(|incoming| Snapshot {
            meta: incoming.meta,
            bytes: incoming.bytes,
        })
    }

    /// Replaces the whole log with a snapshot. The state machine follows once the snapshot is synced.
    fn install_snapshot(&mut self, snapshot: Snapshot) {
        let snapshot = Arc::new(snapshot);
        let meta = &snapshot.meta;
        self.log = Log::new(meta.clone(), []);
        self.commit = meta.index;
        self.applied = meta.index;
        self.has_been_member |= meta.membership.contains(&self.id);
        self.is_snapshot_requested = false;
        self.outbox
            .save_snapshot(snapshot.clone(), LogTail::Discard);
        self.outbox
            .push(Barrier::AllWrites, Action::ApplySnapshot(snapshot.clone()));
        self.snapshot = snapshot;
    }
}
