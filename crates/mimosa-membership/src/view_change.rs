//! View changes: when an entry proposes the next view, and how it votes.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::net::SocketAddr;

use mimosa_protocol::Epoch;
use mimosa_protocol::Incarnation;
use mimosa_protocol::InstanceId;
use mimosa_protocol::Timestamp;

use crate::agreement::Round;
use crate::agreement::Voter;
use crate::membership::Action;
use crate::membership::Membership;
use crate::message::Accept;
use crate::message::Ballot;
use crate::message::Body;
use crate::message::Prepare;
use crate::message::Proposal;
use crate::peers::PeerState;
use crate::view::Identity;
use crate::view::MAX_MEMBERS;
use crate::view::Member;
use crate::view::View;

impl Membership {
    /// Starts a round if the view has to change. Members start rounds at times staggered by their
    /// rank, so that they do not compete; a round without a result is repeated.
    pub(crate) fn advance_view(&mut self, now: Timestamp) -> Vec<Action> {
        let Some((base, target)) = self.target_view(now) else {
            self.view_change_since = None;
            self.round = None;
            return Vec::new();
        };
        let since = *self.view_change_since.get_or_insert(now);
        let rank = self.proposer_rank(now, &base);
        let pause = self.settings.round_timeout * (rank + 1);
        let last = self.round.as_ref().map_or(since, Round::started);
        let is_immediate = self.round.is_none() && rank == 0;
        if !is_immediate && now.since(last) < pause {
            return Vec::new();
        }
        self.start_round(now, base, target)
    }

    /// Processes a message of the agreement protocol.
    pub(crate) fn receive_agreement(
        &mut self,
        now: Timestamp,
        from: SocketAddr,
        sender: &Identity,
        body: Body,
    ) -> Vec<Action> {
        let reply = match body {
            Body::Prepare(prepare) => self.vote_prepare(now, &prepare),
            Body::Accept(accept) => self.vote_accept(accept),
            Body::Promise(promise) => {
                let round = self.round_with_voter(sender);
                let proposal = round.and_then(|round| round.promised(&sender.instance, promise));
                return proposal.map_or_else(Vec::new, |proposal| self.propose(now, proposal));
            }
            Body::Accepted { base, ballot } => {
                let round = self.round_with_voter(sender);
                let view = round.and_then(|round| round.accepted(&sender.instance, base, &ballot));
                return view.map_or_else(Vec::new, |view| self.install_chosen(now, view));
            }
            _ => None,
        };
        reply
            .map(|body| Action::Send {
                to: from,
                message: self.message(body),
            })
            .into_iter()
            .collect()
    }

    /// The current view and the view to propose, if they differ and this entry may propose.
    fn target_view(&self, now: Timestamp) -> Option<(View, View)> {
        match self.view() {
            Some(view) if view.contains(&self.identity) => {
                let members = self.next_members(now, view);
                let target = View {
                    epoch: view.epoch.next(),
                    members,
                };
                // A round whose proposal was accepted but not installed must be finished.
                let is_unfinished = self.voter.has_accepted();
                (is_unfinished || target.members != view.members).then(|| (view.clone(), target))
            }
            _ => self.first_view(now),
        }
    }

    fn next_members(&self, now: Timestamp, view: &View) -> BTreeMap<InstanceId, Member> {
        let stay = view.identities().filter(|member| {
            *member != self.identity
                && self.peers.incarnation(&member.instance) == Some(member.incarnation)
                && self.is_live(now, &member.instance)
        });
        let join = self
            .peers
            .instances()
            .into_iter()
            .filter(|instance| self.peers.may_join(now, instance, &self.settings))
            .filter_map(|instance| {
                let incarnation = self.peers.incarnation(&instance)?;
                Some(Identity {
                    instance,
                    incarnation,
                })
            })
            .filter(|identity| !view.contains(identity));
        [self.identity.clone()]
            .into_iter()
            .chain(stay)
            .chain(join)
            .map(|member| self.as_member(now, member))
            .take(MAX_MEMBERS)
            .collect()
    }

    fn is_live(&self, now: Timestamp, instance: &InstanceId) -> bool {
        matches!(
            self.peers.state(now, instance, &self.settings),
            PeerState::Alive | PeerState::Draining
        )
    }

    fn as_member(&self, now: Timestamp, who: Identity) -> (InstanceId, Member) {
        let eligible = if who == self.identity {
            !self.report.draining && !self.is_unlisted(now)
        } else {
            self.peers.state(now, &who.instance, &self.settings) == PeerState::Alive
        };
        let member = Member {
            incarnation: who.incarnation,
            eligible,
        };
        (who.instance, member)
    }

    /// The first view of a data centre, or the first after all voters of a view ended. Requires
    /// that every listed entry is in contact and none of them votes in a view: an entry without
    /// contact might belong to a view that still exists.
    fn first_view(&self, now: Timestamp) -> Option<(View, View)> {
        let settings = &self.settings;
        let waited = now.since(self.started?) >= settings.join_after;
        let listed: BTreeSet<&InstanceId> = self.peers.listed_staying().collect();
        let knows_all = self.has_contact_with_all_listed(now)
            && !self.peers.has_contact_with_voter(now, settings);
        let usable = self.peers.list_is_recent(now, settings);
        if !waited || !usable || !knows_all || !listed.contains(&self.identity.instance) {
            return None;
        }
        let members: BTreeMap<InstanceId, Member> = listed
            .into_iter()
            .filter_map(|instance| {
                let incarnation = self.incarnation_of(instance)?;
                let instance = instance.clone();
                Some(Identity {
                    instance,
                    incarnation,
                })
            })
            .map(|who| self.as_member(now, who))
            .take(MAX_MEMBERS)
            .collect();
        let base = View {
            epoch: Epoch::ZERO,
            members: members.clone(),
        };
        let epoch = self.clock_epoch(now);
        Some((base, View { epoch, members }))
    }

    /// An epoch above those of all earlier views, including views that no running entry knows any
    /// more. The clock in milliseconds serves, because views change far less often than once a
    /// millisecond.
    fn clock_epoch(&self, now: Timestamp) -> Epoch {
        let known = self.epoch().max(self.peers.newest_epoch());
        Epoch(now.as_micros() / 1_000).max(known.next())
    }

    fn has_contact_with_all_listed(&self, now: Timestamp) -> bool {
        let mut staying = self.peers.listed_staying();
        staying.all(|instance| {
            *instance == self.identity.instance
                || self.peers.has_contact_with(now, instance, &self.settings)
        })
    }

    /// The voters whose votes do not count because their incarnations terminated. Before that, a
    /// quorum with them may have chosen a view that others hold. Every listed entry must therefore
    /// be in contact, none may know a newer view, and the view change must have been pending for a
    /// while.
    fn terminated_members(&self, now: Timestamp, base: &View) -> BTreeSet<InstanceId> {
        let since = self.view_change_since.map(|since| now.since(since));
        let waited = since.is_some_and(|since| since >= self.settings.suspect_after);
        let is_newest = self.peers.newest_epoch() <= base.epoch;
        if waited && is_newest && self.has_contact_with_all_listed(now) {
            self.peers.terminated_members(now, base, &self.settings)
        } else {
            BTreeSet::new()
        }
    }

    fn incarnation_of(&self, instance: &InstanceId) -> Option<Incarnation> {
        if *instance == self.identity.instance {
            return Some(self.identity.incarnation);
        }
        self.peers.incarnation(instance)
    }

    /// The number of live members that take precedence over this one as proposer.
    fn proposer_rank(&self, now: Timestamp, base: &View) -> u32 {
        let before = base
            .members
            .keys()
            .take_while(|instance| **instance != self.identity.instance)
            .filter(|instance| self.is_live(now, instance));
        u32::try_from(before.count()).unwrap_or(u32::MAX)
    }

    fn start_round(&mut self, now: Timestamp, base: View, mut target: View) -> Vec<Action> {
        self.highest_round += 1;
        let ballot = Ballot {
            round: self.highest_round,
            proposer: self.identity.instance.clone(),
        };
        let forms_first = base.epoch == Epoch::ZERO;
        let counted = base.members.keys().filter(|_| forms_first);
        let prepare = Prepare {
            base: base.epoch,
            ballot: ballot.clone(),
            counted: counted.cloned().collect(),
        };
        let terminated = self.terminated_members(now, &base);
        if !terminated.is_empty() {
            target.epoch = self.clock_epoch(now);
        }
        let members = base.members.keys().cloned().collect();
        self.round = Some(Round::new(now, ballot, base, terminated, target));
        let mut actions = self.send_to(members, Body::Prepare(prepare.clone()));
        actions.extend(self.vote_in_own_round(now, Body::Prepare(prepare)));
        actions
    }

    fn propose(&mut self, now: Timestamp, proposal: Proposal) -> Vec<Action> {
        let Some(round) = &self.round else {
            return Vec::new();
        };
        let members = round.base().members.keys().cloned().collect();
        let base = round.base().epoch;
        let accept = Accept { base, proposal };
        let mut actions = self.send_to(members, Body::Accept(accept.clone()));
        actions.extend(self.vote_in_own_round(now, Body::Accept(accept)));
        actions
    }

    fn install_chosen(&mut self, now: Timestamp, view: View) -> Vec<Action> {
        let everyone = self.peers.instances();
        let mut actions = self.send_to(everyone, Body::Install(view.clone()));
        actions.extend(self.install(now, view));
        actions
    }

    /// Casts the vote of this entry in a round that it leads, without a datagram.
    fn vote_in_own_round(&mut self, now: Timestamp, body: Body) -> Vec<Action> {
        let identity = self.identity.clone();
        let answer = match body {
            Body::Prepare(prepare) => self.vote_prepare(now, &prepare),
            Body::Accept(accept) => self.vote_accept(accept),
            _ => None,
        };
        // The address is unused: no answer to the proposer's own vote is sent.
        let unused = SocketAddr::from(([0, 0, 0, 0], 0));
        answer.map_or_else(Vec::new, |body| {
            self.receive_agreement(now, unused, &identity, body)
        })
    }

    fn vote_prepare(&mut self, now: Timestamp, prepare: &Prepare) -> Option<Body> {
        self.highest_round = self.highest_round.max(prepare.ballot.round);
        if !self.may_vote(now, prepare) {
            return None;
        }
        let voter = self.voter_for(prepare.base);
        let promise = voter.prepare(prepare.base, &prepare.ballot)?;
        Some(Body::Promise(promise))
    }

    fn vote_accept(&mut self, accept: Accept) -> Option<Body> {
        let base = accept.base;
        let ballot = accept.proposal.ballot.clone();
        let is_settled = accept.proposal.view.epoch <= self.epoch();
        if base == Epoch::ZERO && (self.is_voter() || is_settled) {
            return None;
        }
        self.voter_for(base)
            .accept(base, accept.proposal)
            .then_some(Body::Accepted { base, ballot })
    }

    /// The voter for views after `base`. First views have a voter of their own, because entries
    /// that know different lost views must still agree on a first view.
    fn voter_for(&mut self, base: Epoch) -> &mut Voter {
        if base == Epoch::ZERO {
            &mut self.first_view_voter
        } else {
            &mut self.voter
        }
    }

    /// Whether this entry votes on the proposal. It votes on a first view only if that counts every
    /// listed entry that is not leaving.
    fn may_vote(&self, now: Timestamp, prepare: &Prepare) -> bool {
        if prepare.base != Epoch::ZERO {
            return true;
        }
        let waited = self.started.map(|started| now.since(started));
        let waited = waited.is_some_and(|waited| waited >= self.settings.join_after);
        let has_view = self.is_voter() || self.peers.has_contact_with_voter(now, &self.settings);
        let mut staying = self.peers.listed_staying();
        waited && !has_view && staying.all(|instance| prepare.counted.contains(instance))
    }

    /// The round that this entry leads, if the sender's incarnation votes in it.
    fn round_with_voter(&mut self, sender: &Identity) -> Option<&mut Round> {
        let round = self.round.as_mut();
        round.filter(|round| round.base().contains(sender))
    }
}
