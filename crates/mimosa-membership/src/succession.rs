//! When an entry proposes the next view, and how it takes part in choosing it.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::net::SocketAddr;

use mimosa_protocol::Epoch;
use mimosa_protocol::Incarnation;
use mimosa_protocol::InstanceId;
use mimosa_protocol::Timestamp;

use crate::agreement::Round;
use crate::agreement::Voter;
use crate::message::Accept;
use crate::message::Ballot;
use crate::message::Body;
use crate::message::Prepare;
use crate::message::Proposal;
use crate::peers::PeerState;
use crate::roster::Action;
use crate::roster::Membership;
use crate::view::Identity;
use crate::view::MAX_MEMBERS;
use crate::view::Member;
use crate::view::View;

impl Membership {
    /// Starts or repeats a round if this entry wants another view and it is its turn.
    pub(crate) fn advance_view(&mut self, now: Timestamp) -> Vec<Action> {
        let Some((base, wanted)) = self.wanted(now) else {
            self.unsettled = None;
            self.round = None;
            return Vec::new();
        };
        let since = *self.unsettled.get_or_insert(now);
        let turn = self.turn(now, &base);
        let pause = self.settings.round_timeout * (turn + 1);
        let last = self.round.as_ref().map_or(since, Round::started);
        let first = self.round.is_none() && turn == 0;
        if !first && now.since(last) < pause {
            return Vec::new();
        }
        self.start_round(now, base, wanted)
    }

    /// Takes part in a round.
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
                let round = self.round_with(sender);
                let proposal = round.and_then(|round| round.promised(&sender.instance, promise));
                return proposal.map_or_else(Vec::new, |proposal| self.propose(now, proposal));
            }
            Body::Accepted { base, ballot } => {
                let round = self.round_with(sender);
                let view = round.and_then(|round| round.accepted(&sender.instance, base, &ballot));
                return view.map_or_else(Vec::new, |view| self.choose(now, view));
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

    /// The view to leave and the view to reach, if they differ and this entry may say so.
    fn wanted(&self, now: Timestamp) -> Option<(View, View)> {
        match self.view() {
            Some(view) if view.contains(&self.me) => {
                let members = self.members_after(now, view);
                let wanted = View {
                    epoch: view.epoch.next(),
                    members,
                };
                // A view that was accepted and not installed must be brought to an end.
                let is_open = self.voter.has_accepted();
                (is_open || wanted.members != view.members).then(|| (view.clone(), wanted))
            }
            _ => self.first_view(now),
        }
    }

    fn members_after(&self, now: Timestamp, view: &View) -> BTreeMap<InstanceId, Member> {
        let stay = view.identities().filter(|member| {
            *member != self.me
                && self.peers.incarnation(&member.instance) == Some(member.incarnation)
                && self.is_heard(now, &member.instance)
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
        [self.me.clone()]
            .into_iter()
            .chain(stay)
            .chain(join)
            .map(|member| self.as_member(now, member))
            .take(MAX_MEMBERS)
            .collect()
    }

    fn is_heard(&self, now: Timestamp, instance: &InstanceId) -> bool {
        matches!(
            self.peers.standing(now, instance, &self.settings),
            PeerState::Alive | PeerState::Draining
        )
    }

    fn as_member(&self, now: Timestamp, who: Identity) -> (InstanceId, Member) {
        let eligible = if who == self.me {
            !self.report.draining && !self.is_unlisted(now)
        } else {
            self.peers.standing(now, &who.instance, &self.settings) == PeerState::Alive
        };
        let member = Member {
            incarnation: who.incarnation,
            eligible,
        };
        (who.instance, member)
    }

    /// The first view of a data centre, or the first after all voters of a view ended: once every
    /// listed entry is heard and none votes in a view. All of them are needed, so that a view which
    /// others still hold is not missed.
    fn first_view(&self, now: Timestamp) -> Option<(View, View)> {
        let settings = &self.settings;
        let waited = now.since(self.started?) >= settings.join_after;
        let listed: BTreeSet<&InstanceId> = self.peers.staying().collect();
        let knows_all = self.hears_all(now) && !self.peers.is_any_voter_heard(now, settings);
        let usable = self.peers.list_is_recent(now, settings);
        if !waited || !usable || !knows_all || !listed.contains(&self.me.instance) {
            return None;
        }
        let members: BTreeMap<InstanceId, Member> = listed
            .into_iter()
            .filter_map(|instance| {
                let incarnation = self.life_of(instance)?;
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
        let epoch = self.epoch_by_clock(now);
        Some((base, View { epoch, members }))
    }

    /// An epoch above those of views that were chosen and forgotten with all who knew them: views
    /// change far less often than once a millisecond.
    fn epoch_by_clock(&self, now: Timestamp) -> Epoch {
        let known = self.epoch().max(self.peers.newest_epoch());
        Epoch(now.as_micros() / 1_000).max(known.next())
    }

    fn hears_all(&self, now: Timestamp) -> bool {
        let mut staying = self.peers.staying();
        staying.all(|instance| {
            *instance == self.me.instance || self.peers.is_heard(now, instance, &self.settings)
        })
    }

    /// The voters not to be counted. A quorum of the dead may have chosen a view that others hold, so
    /// every listed entry must be heard for a while, and none may know a newer view.
    fn dead(&self, now: Timestamp, base: &View) -> BTreeSet<InstanceId> {
        let since = self.unsettled.map(|since| now.since(since));
        let waited = since.is_some_and(|since| since >= self.settings.suspect_after);
        let is_newest = self.peers.newest_epoch() <= base.epoch;
        if waited && is_newest && self.hears_all(now) {
            self.peers.dead(now, base, &self.settings)
        } else {
            BTreeSet::new()
        }
    }

    fn life_of(&self, instance: &InstanceId) -> Option<Incarnation> {
        if *instance == self.me.instance {
            return Some(self.me.incarnation);
        }
        self.peers.incarnation(instance)
    }

    /// How many members go before this one in leading a round.
    fn turn(&self, now: Timestamp, base: &View) -> u32 {
        let before = base
            .members
            .keys()
            .take_while(|instance| **instance != self.me.instance)
            .filter(|instance| self.is_heard(now, instance));
        u32::try_from(before.count()).unwrap_or(u32::MAX)
    }

    fn start_round(&mut self, now: Timestamp, base: View, mut wanted: View) -> Vec<Action> {
        self.highest_round += 1;
        let ballot = Ballot {
            round: self.highest_round,
            proposer: self.me.instance.clone(),
        };
        let forms_first = base.epoch == Epoch::ZERO;
        let counted = base.members.keys().filter(|_| forms_first);
        let prepare = Prepare {
            base: base.epoch,
            ballot: ballot.clone(),
            counted: counted.cloned().collect(),
        };
        let dead = self.dead(now, &base);
        if !dead.is_empty() {
            wanted.epoch = self.epoch_by_clock(now);
        }
        let members = base.members.keys().cloned().collect();
        self.round = Some(Round::new(now, ballot, base, dead, wanted));
        let mut actions = self.send_to(members, Body::Prepare(prepare.clone()));
        actions.extend(self.take_own_vote(now, Body::Prepare(prepare)));
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
        actions.extend(self.take_own_vote(now, Body::Accept(accept)));
        actions
    }

    fn choose(&mut self, now: Timestamp, view: View) -> Vec<Action> {
        let everybody = self.peers.instances();
        let mut actions = self.send_to(everybody, Body::Install(view.clone()));
        actions.extend(self.install(now, view));
        actions
    }

    /// This entry's own vote in a round that it leads, without a datagram.
    fn take_own_vote(&mut self, now: Timestamp, body: Body) -> Vec<Action> {
        let me = self.me.clone();
        let answer = match body {
            Body::Prepare(prepare) => self.vote_prepare(now, &prepare),
            Body::Accept(accept) => self.vote_accept(accept),
            _ => None,
        };
        // The address is not used: answers to a leader's own vote never leave the process.
        let nowhere = SocketAddr::from(([0, 0, 0, 0], 0));
        answer.map_or_else(Vec::new, |body| {
            self.receive_agreement(now, nowhere, &me, body)
        })
    }

    fn vote_prepare(&mut self, now: Timestamp, prepare: &Prepare) -> Option<Body> {
        self.highest_round = self.highest_round.max(prepare.ballot.round);
        if !self.may_vote(now, prepare) {
            return None;
        }
        let voter = self.voter_after(prepare.base);
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
        self.voter_after(base)
            .accept(base, accept.proposal)
            .then_some(Body::Accepted { base, ballot })
    }

    /// First views are agreed on apart: entries that know different lost views must still agree.
    fn voter_after(&mut self, base: Epoch) -> &mut Voter {
        if base == Epoch::ZERO {
            &mut self.first_voter
        } else {
            &mut self.voter
        }
    }

    /// A first view must count everybody that this voter knows to be staying.
    fn may_vote(&self, now: Timestamp, prepare: &Prepare) -> bool {
        if prepare.base != Epoch::ZERO {
            return true;
        }
        let waited = self.started.map(|started| now.since(started));
        let waited = waited.is_some_and(|waited| waited >= self.settings.join_after);
        let elsewhere = self.is_voter() || self.peers.is_any_voter_heard(now, &self.settings);
        let mut staying = self.peers.staying();
        waited && !elsewhere && staying.all(|instance| prepare.counted.contains(instance))
    }

    /// The round that this entry leads, if the sender's life votes in it.
    fn round_with(&mut self, sender: &Identity) -> Option<&mut Round> {
        let round = self.round.as_mut();
        round.filter(|round| round.base().contains(sender))
    }
}
