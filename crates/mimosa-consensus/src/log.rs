//! The log in memory.

use std::collections::VecDeque;

use mimosa_protocol::ByteSize;

use crate::entry::Entry;
use crate::entry::Payload;
use crate::entry::SnapshotMeta;
use crate::id::LogIndex;
use crate::id::Term;
use crate::membership::Membership;

/// The entries that are not compacted, and the memberships among them.
#[derive(Clone, Debug, Hash)]
pub(crate) struct Log {
    /// Position and membership of the entry before the first retained one.
    base: SnapshotMeta,
    entries: VecDeque<Entry>,
    /// Cumulative size up to each retained entry, including the entries compacted since the start.
    cumulative_sizes: VecDeque<ByteSize>,
    /// Size of the entries compacted since the start.
    base_size: ByteSize,
    /// Memberships in retained entries, in ascending order of index.
    memberships: Vec<(LogIndex, Membership)>,
}

impl Log {
    pub(crate) fn new(base: SnapshotMeta, entries: impl IntoIterator<Item = Entry>) -> Self {
        let mut log = Self {
            base,
            entries: VecDeque::new(),
            cumulative_sizes: VecDeque::new(),
            base_size: ByteSize::ZERO,
            memberships: Vec::new(),
        };
        entries.into_iter().for_each(|entry| log.push(entry));
        log
    }

    pub(crate) const fn base(&self) -> &SnapshotMeta {
        &self.base
    }

    pub(crate) fn last_index(&self) -> LogIndex {
        LogIndex(self.base.index.0 + self.entries.len() as u64)
    }

    pub(crate) fn last_term(&self) -> Term {
        self.entries.back().map_or(self.base.term, |last| last.term)
    }

    /// The term of an entry that is retained or the base.
    pub(crate) fn term_at(&self, index: LogIndex) -> Option<Term> {
        if index == self.base.index {
            return Some(self.base.term);
        }
        self.get(index).map(|entry| entry.term)
    }

    pub(crate) fn get(&self, index: LogIndex) -> Option<&Entry> {
        let at = index.0.checked_sub(self.base.index.0 + 1)?;
        self.entries.get(usize::try_from(at).ok()?)
    }

    /// The entries from one index up to and including another.
    pub(crate) fn range(&self, from: LogIndex, to: LogIndex) -> impl Iterator<Item = &Entry> {
        let skip = from.0.saturating_sub(self.base.index.0 + 1);
        self.entries
            .iter()
            .skip(usize::try_from(skip).unwrap_or(usize::MAX))
            .take_while(move |entry| entry.index <= to)
    }

    pub(crate) fn push(&mut self, entry: Entry) {
        assert_eq!(
            entry.index,
            self.last_index().next(),
            "log entries must be contiguous"
        );
        if let Payload::Membership(membership) = &entry.payload {
            self.memberships.push((entry.index, membership.clone()));
        }
        let size = self.size_up_to(self.last_index()) + entry.size();
        self.cumulative_sizes.push_back(size);
        self.entries.push_back(entry);
    }

    /// Size of the entries after one index, up to and including another.
    pub(crate) fn size_between(&self, after: LogIndex, to: LogIndex) -> ByteSize {
        self.size_up_to(to).saturating_sub(self.size_up_to(after))
    }

    /// The lowest index such that the entries after it, up to `to`, fit into `limit`.
    pub(crate) fn index_for_size(&self, to: LogIndex, limit: ByteSize) -> LogIndex {
        let excess = self.size_up_to(to).saturating_sub(limit);
        let count = self.cumulative_sizes.partition_point(|size| *size < excess);
        let fits_all = excess <= self.base_size;
        LogIndex(self.base.index.0 + if fits_all { 0 } else { count as u64 + 1 })
    }

    fn size_up_to(&self, index: LogIndex) -> ByteSize {
        let at = index.0.checked_sub(self.base.index.0 + 1);
        at.and_then(|at| usize::try_from(at).ok())
            .and_then(|at| self.cumulative_sizes.get(at))
            .copied()
            .unwrap_or(self.base_size)
    }

    /// Removes the entries from an index on.
    pub(crate) fn truncate(&mut self, from: LogIndex) {
        let keep = from.0.saturating_sub(self.base.index.0 + 1);
        let keep = usize::try_from(keep).unwrap_or(usize::MAX);
        self.entries.truncate(keep);
        self.cumulative_sizes.truncate(keep);
        self.memberships.retain(|(index, _)| *index < from);
    }

    /// Discards the entries up to an index, which becomes the base.
    pub(crate) fn compact(&mut self, to: LogIndex) {
        let Some(term) = self.term_at(to) else {
            return;
        };
        let membership = self.membership_at(to).clone();
        let count = usize::try_from(to.0 - self.base.index.0).unwrap_or(usize::MAX);
        self.base_size = self.size_up_to(to);
        self.entries.drain(..count);
        self.cumulative_sizes.drain(..count);
        self.memberships.retain(|(index, _)| *index > to);
        self.base = SnapshotMeta {
            index: to,
            term,
            membership,
        };
    }

    /// The latest membership, committed or not: it takes effect once it is in the log.
    pub(crate) fn membership(&self) -> &Membership {
        self.memberships
            .last()
            .map_or(&self.base.membership, |(_, membership)| membership)
    }

    /// The membership in effect at an index.
    pub(crate) fn membership_at(&self, index: LogIndex) -> &Membership {
        self.memberships
            .iter()
            .rev()
            .find(|(at, _)| *at <= index)
            .map_or(&self.base.membership, |(_, membership)| membership)
    }

    /// Index of the entry with the latest membership.
    pub(crate) fn membership_index(&self) -> LogIndex {
        self.memberships
            .last()
            .map_or(self.base.index, |(index, _)| *index)
    }

    /// Index of the first retained entry that has the same term as the given one.
    pub(crate) fn first_index_of_term(&self, index: LogIndex) -> LogIndex {
        let Some(term) = self.term_at(index) else {
            return index;
        };
        let count = self
            .entries
            .iter()
            .rev()
            .skip_while(|entry| entry.index > index)
            .take_while(|entry| entry.term == term)
            .count() as u64;
        LogIndex((index.0 + 1).saturating_sub(count))
    }
}
