//! Agreement on the next view: single-decree Paxos among the members of the current view, the base.
//!
//! Voters keep their promises in memory only. A restarted process has another
//! [`crate::view::Identity`] and does not vote for its earlier incarnation, so no voter that counts
//! can have lost a promise.

use std::collections::BTreeMap;
use std::collections::BTreeSet;

use mimosa_protocol::Epoch;
use mimosa_protocol::InstanceId;
use mimosa_protocol::Timestamp;

use crate::message::Ballot;
use crate::message::Promise;
use crate::message::Proposal;
use crate::view::View;

/// The acceptor: the vote of one member on the view after the base.
#[derive(Clone, Debug, Default)]
pub struct Voter {
    base: Epoch,
    promised: Option<Ballot>,
    accepted: Option<Proposal>,
}

impl Voter {
    /// Creates the voter of a newly installed view with this epoch, without a promise.
    pub fn new(base: Epoch) -> Self {
        Self {
            base,
            ..Self::default()
        }
    }

    /// Whether this voter accepted a next view; it then acknowledges no lease of the base.
    pub fn has_accepted(&self) -> bool {
        self.accepted.is_some()
    }

    /// Promises to reject lower ballots; `None` if the ballot is itself below an earlier promise,
    /// or the base is another one.
    pub fn prepare(&mut self, base: Epoch, ballot: &Ballot) -> Option<Promise> {
        if base != self.base || self.promised.as_ref() > Some(ballot) {
            return None;
        }
        self.promised = Some(ballot.clone());
        Some(Promise {
            base,
            ballot: ballot.clone(),
            accepted: self.accepted.clone(),
        })
    }

    /// Accepts a proposal unless a higher ballot was promised or the base is another one. Returns
    /// whether it was accepted.
    pub fn accept(&mut self, base: Epoch, proposal: Proposal) -> bool {
        if base != self.base || self.promised.as_ref() > Some(&proposal.ballot) {
            return false;
        }
        self.promised = Some(proposal.ballot.clone());
        self.accepted = Some(proposal);
        true
    }
}

/// The proposer: a round that this entry leads.
#[derive(Clone, Debug)]
pub struct Round {
    base: View,
    ballot: Ballot,
    started: Timestamp,
    terminated: BTreeSet<InstanceId>,
    target: View,
    promises: BTreeMap<InstanceId, Option<Proposal>>,
    proposal: Option<Proposal>,
    accepts: BTreeSet<InstanceId>,
}

impl Round {
    /// Starts a round that proposes `target` as the view after `base`. The votes of the members in
    /// `terminated` do not count.
    pub fn new(
        started: Timestamp,
        ballot: Ballot,
        base: View,
        terminated: BTreeSet<InstanceId>,
        target: View,
    ) -> Self {
        Self {
            base,
            ballot,
            started,
            terminated,
            target,
            promises: BTreeMap::new(),
            proposal: None,
            accepts: BTreeSet::new(),
        }
    }

    /// The view whose members vote.
    pub fn base(&self) -> &View {
        &self.base
    }

    /// The ballot of the round; answers to another ballot are ignored.
    pub fn ballot(&self) -> &Ballot {
        &self.ballot
    }

    /// When the round started, from which its time limit counts.
    pub fn started(&self) -> Timestamp {
        self.started
    }

    /// Counts a promise. Returns the proposal to send when a quorum is reached, and only then.
    pub fn promised(&mut self, from: &InstanceId, promise: Promise) -> Option<Proposal> {
        if !self.is_current(promise.base, &promise.ballot) || self.proposal.is_some() {
            return None;
        }
        self.promises.insert(from.clone(), promise.accepted);
        if !self.is_quorum(self.promises.keys()) {
            return None;
        }
        let earlier = self.promises.values().flatten();
        let view = earlier
            .max_by_key(|proposal| &proposal.ballot)
            .map_or_else(|| self.target.clone(), |proposal| proposal.view.clone());
        self.proposal = Some(Proposal {
            ballot: self.ballot.clone(),
            view,
        });
        self.proposal.clone()
    }

    /// Counts an acceptance. Returns the chosen view once a quorum is reached.
    pub fn accepted(&mut self, from: &InstanceId, base: Epoch, ballot: &Ballot) -> Option<View> {
        if !self.is_current(base, ballot) {
            return None;
        }
        let view = self.proposal.as_ref().map(|proposal| &proposal.view)?;
        self.accepts.insert(from.clone());
        self.is_quorum(&self.accepts).then(|| view.clone())
    }

    fn is_current(&self, base: Epoch, ballot: &Ballot) -> bool {
        base == self.base.epoch && *ballot == self.ballot
    }

    fn is_quorum<'a>(&self, voters: impl IntoIterator<Item = &'a InstanceId>) -> bool {
        self.base.is_quorum_without(voters, &self.terminated)
    }
}
