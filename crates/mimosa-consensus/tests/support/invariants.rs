//! Invariants that must hold in every run, whatever the faults.

#![allow(dead_code, reason = "each test file uses its part")]

use std::collections::BTreeMap;
use std::collections::BTreeSet;

use mimosa_consensus::Entry;
use mimosa_consensus::LogIndex;
use mimosa_consensus::Membership;
use mimosa_consensus::Payload;
use mimosa_consensus::ProposalId;
use mimosa_consensus::ReadId;
use mimosa_consensus::ReplicaId;
use mimosa_consensus::Term;

/// Checks the actions of all replicas of a run against each other.
#[derive(Default)]
pub struct Invariants {
    pub violations: Vec<String>,
    leaders: BTreeMap<Term, ReplicaId>,
    pub committed: BTreeMap<LogIndex, Entry>,
    /// Digest of the state machine after each entry, from the first replica that applied it.
    digests: BTreeMap<LogIndex, u64>,
    membership: Option<(LogIndex, Membership)>,
    pub pending_proposals: BTreeMap<ProposalId, Vec<u8>>,
    proposed: BTreeMap<(LogIndex, Term), Vec<u8>>,
    pub acknowledged: BTreeSet<Vec<u8>>,
    reads: BTreeMap<ReadId, LogIndex>,
    pub reads_answered: usize,
}

impl Invariants {
    fn violation(&mut self, text: String) {
        self.violations.push(text);
    }

    pub fn record_leader(&mut self, id: &ReplicaId, term: Term) {
        let first = self.leaders.entry(term).or_insert_with(|| id.clone());
        if first != id {
            let text = format!("two leaders in term {term}: {first} and {id}");
            self.violation(text);
        }
    }

    /// Records a proposal that a leader has appended.
    pub fn record_proposal(&mut self, id: ProposalId, index: LogIndex, term: Term) {
        if let Some(bytes) = self.pending_proposals.remove(&id) {
            self.proposed.insert((index, term), bytes);
        }
    }

    /// Checks an applied entry and the digest of the state machine after it.
    pub fn check_applied(&mut self, id: &ReplicaId, entry: &Entry, digest: u64) {
        let first = self.committed.entry(entry.index).or_insert(entry.clone());
        if first != entry {
            let text = format!(
                "entry {} of {id} differs from the committed one",
                entry.index
            );
            self.violation(text);
        }
        self.check_digest(id, entry.index, digest);
        if let Payload::Membership(next) = &entry.payload {
            self.check_membership_change(entry.index, next);
        }
        if let Some(bytes) = self.proposed.get(&(entry.index, entry.term)) {
            self.acknowledged.insert(bytes.clone());
        }
    }

    pub fn check_digest(&mut self, id: &ReplicaId, index: LogIndex, digest: u64) {
        if *self.digests.entry(index).or_insert(digest) != digest {
            self.violation(format!(
                "the state of {id} at {index} differs from that of another replica"
            ));
        }
    }

    fn check_membership_change(&mut self, index: LogIndex, next: &Membership) {
        if let Some((at, last)) = &self.membership {
            let changed = last.voters.symmetric_difference(&next.voters).count();
            if index > *at && changed > 1 {
                self.violation(format!("{changed} voters changed in one step at {index}"));
            }
        }
        if self.membership.as_ref().is_none_or(|(at, _)| index > *at) {
            self.membership = Some((index, next.clone()));
        }
    }

    pub fn last_committed(&self) -> LogIndex {
        self.committed
            .keys()
            .last()
            .copied()
            .unwrap_or(LogIndex::ZERO)
    }

    pub fn record_read(&mut self, id: ReadId) {
        let needed = self.last_committed();
        self.reads.insert(id, needed);
    }

    pub fn check_read(&mut self, by: &ReplicaId, id: ReadId, applied: LogIndex) {
        let needed = self.reads.remove(&id).unwrap_or(LogIndex::ZERO);
        self.reads_answered += 1;
        if applied < needed {
            self.violation(format!(
                "{by} answered a read at {applied}, but {needed} was committed before the read"
            ));
        }
    }

    pub fn record_refused_read(&mut self, id: ReadId) {
        self.reads.remove(&id);
    }

    /// Acknowledged commands that are not among the committed entries.
    pub fn lost_commands(&self) -> Vec<String> {
        let held: BTreeSet<&[u8]> = self
            .committed
            .values()
            .filter_map(|entry| match &entry.payload {
                Payload::Command(bytes) => Some(bytes.as_slice()),
                _ => None,
            })
            .collect();
        self.acknowledged
            .iter()
            .filter(|bytes| !held.contains(bytes.as_slice()))
            .map(|bytes| String::from_utf8_lossy(bytes).into_owned())
            .collect()
    }
}
