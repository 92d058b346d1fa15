//! Reply channels of pending proposals and reads.

use std::collections::BTreeMap;

use mimosa_consensus::LogIndex;
use mimosa_consensus::ProposalId;
use mimosa_consensus::ReadId;
use mimosa_consensus::Term;
use mimosa_protocol::InstanceId;
use mimosa_state::CommandResult;
use tokio::sync::oneshot;

use crate::replicator::replicated::input::ProposeFailure;

/// Reply channel of a proposed command.
pub type ResultReply = oneshot::Sender<Result<CommandResult, ProposeFailure>>;
/// Reply channel of a read: the log index, or the presumed leader.
pub type ReadReply = oneshot::Sender<Result<LogIndex, Option<InstanceId>>>;

/// All pending reply channels of a replica.
#[derive(Default)]
pub struct Waiters {
    last_id: u64,
    proposals: BTreeMap<ProposalId, ResultReply>,
    entries: BTreeMap<LogIndex, (Term, ResultReply)>,
    reads: BTreeMap<ReadId, ReadReply>,
    applied: BTreeMap<(LogIndex, u64), oneshot::Sender<()>>,
}

impl Waiters {
    /// Registers a command that is passed to the replica, under a new ID.
    pub fn add_proposal(&mut self, reply: ResultReply) -> ProposalId {
        let id = ProposalId(self.next_id());
        self.proposals.insert(id, reply);
        id
    }

    /// Records that a command was appended to the log. A command that waited at this index before
    /// has an unknown outcome.
    pub fn proposal_appended(&mut self, id: ProposalId, index: LogIndex, term: Term) {
        let Some(reply) = self.proposals.remove(&id) else {
            return;
        };
        if let Some((_, superseded)) = self.entries.insert(index, (term, reply)) {
            superseded.send(Err(ProposeFailure::OutcomeUnknown)).ok();
        }
    }

    /// Answers a command that was not appended to the log.
    pub fn reject_proposal(&mut self, id: ProposalId, failure: ProposeFailure) {
        if let Some(reply) = self.proposals.remove(&id) {
            reply.send(Err(failure)).ok();
        }
    }

    /// Answers the command at an applied log entry. A command appended there in another term was
    /// overwritten and never commits.
    pub fn complete_entry(&mut self, index: LogIndex, term: Term, result: Option<CommandResult>) {
        let Some((expected_term, reply)) = self.entries.remove(&index) else {
            return;
        };
        let answer = match result {
            Some(result) if expected_term == term => Ok(result),
            _ => Err(ProposeFailure::NotCommitted),
        };
        reply.send(answer).ok();
    }

    /// Answers the commands up to `index`, which a snapshot covers: their outcome is unknown.
    pub fn snapshot_installed(&mut self, index: LogIndex) {
        let later = self.entries.split_off(&index.next());
        let covered = std::mem::replace(&mut self.entries, later);
        covered.into_values().for_each(|(_, reply)| {
            reply.send(Err(ProposeFailure::OutcomeUnknown)).ok();
        });
    }

    /// Registers a read that is passed to the replica, under a new ID.
    pub fn add_read(&mut self, reply: ReadReply) -> ReadId {
        let id = ReadId(self.next_id());
        self.reads.insert(id, reply);
        id
    }

    /// Answers a read with its log index or the presumed leader. Ignored if nobody waits.
    pub fn complete_read(&mut self, id: ReadId, answer: Result<LogIndex, Option<InstanceId>>) {
        if let Some(reply) = self.reads.remove(&id) {
            reply.send(answer).ok();
        }
    }

    /// Registers a waiter for the application of a log entry.
    pub fn add_apply_waiter(&mut self, index: LogIndex, reply: oneshot::Sender<()>) {
        let id = self.next_id();
        self.applied.insert((index, id), reply);
    }

    /// Notifies the waiters for entries up to `index`.
    pub fn notify_applied(&mut self, index: LogIndex) {
        let later = self.applied.split_off(&(index.next(), 0));
        let ready = std::mem::replace(&mut self.applied, later);
        ready.into_values().for_each(|reply| {
            reply.send(()).ok();
        });
    }

    /// Drops channels whose receiver is gone.
    pub fn remove_closed(&mut self) {
        self.proposals.retain(|_, reply| !reply.is_closed());
        self.entries.retain(|_, (_, reply)| !reply.is_closed());
        self.reads.retain(|_, reply| !reply.is_closed());
        self.applied.retain(|_, reply| !reply.is_closed());
    }

    fn next_id(&mut self) -> u64 {
        self.last_id += 1;
        self.last_id
    }
}
