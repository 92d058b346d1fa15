//! One replica: its state, and how an event turns into actions.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::sync::Arc;

use mimosa_protocol::Timestamp;

use crate::entry::Entry;
use crate::entry::HardState;
use crate::entry::Payload;
use crate::entry::Snapshot;
use crate::event::Action;
use crate::event::Event;
use crate::event::MessageRefusal;
use crate::event::RoleName;
use crate::forward::ForwardedRead;
use crate::id::LogIndex;
use crate::id::Nonce;
use crate::id::ReplicaId;
use crate::id::Term;
use crate::lead::Leader;
use crate::log::Log;
use crate::membership::Membership;
use crate::message::Body;
use crate::message::Message;
use crate::outbox::Gate;
use crate::outbox::Outbox;
use crate::random::Random;
use crate::settings::Flaw;
use crate::settings::Settings;
use crate::snapshot::IncomingSnapshot;

/// What a replica finds on its disk when it starts.
#[derive(Clone, Debug, Default)]
pub struct PersistentState {
    /// The hard state.
    pub hard_state: HardState,
    /// The snapshot; the empty one if there is none.
    pub snapshot: Snapshot,
    /// The entries after the snapshot, without a gap.
    pub entries: Vec<Entry>,
}

impl PersistentState {
    /// The first state of a cluster that starts with these members. It must be synced on each of
    /// them, as a snapshot, before they start.
    pub fn bootstrap(membership: Membership) -> Self {
        let mut durable = Self::default();
        durable.snapshot.meta.membership = membership;
        durable
    }
}

/// What a replica does in its term.
#[derive(Clone, Debug, Hash)]
pub(crate) enum Role {
    Follower,
    PreCandidate { granted: BTreeSet<ReplicaId> },
    Candidate { granted: BTreeSet<ReplicaId> },
    Leader(Box<Leader>),
}

/// One replica of the log, as a pure state machine.
#[derive(Clone, Debug)]
pub struct Replica {
    pub(crate) settings: Settings,
    pub(crate) id: ReplicaId,
    pub(crate) random: Random,
    pub(crate) now: Timestamp,
    pub(crate) hard_state: HardState,
    pub(crate) log: Log,
    pub(crate) snapshot: Arc<Snapshot>,
    pub(crate) commit: LogIndex,
    pub(crate) applied: LogIndex,
    pub(crate) role: Role,
    pub(crate) leader: Option<ReplicaId>,
    /// When a leader of this term was last heard; the start counts as well, since what was heard
    /// before it is forgotten.
    pub(crate) heard_leader_at: Timestamp,
    pub(crate) election_at: Timestamp,
    pub(crate) join_at: Timestamp,
    pub(crate) was_member: bool,
    pub(crate) incoming: Option<IncomingSnapshot>,
    pub(crate) is_snapshot_due: bool,
    /// Reads that the leader was asked to prove current.
    pub(crate) forwarded: BTreeMap<Nonce, ForwardedRead>,
    pub(crate) outbox: Outbox,
    wake_at: Option<Timestamp>,
    reported: (RoleName, Term, Option<ReplicaId>),
}

impl Replica {
    /// Starts a replica on what its disk holds. The actions come before those of any event.
    pub fn start(
        now: Timestamp,
        id: ReplicaId,
        durable: PersistentState,
        settings: Settings,
    ) -> (Self, Vec<Action>) {
        let mut hard_state = durable.hard_state;
        let base = durable.snapshot.meta.clone();
        let index = base.index;
        let log = Log::new(base, durable.entries);
        if log.last_term() > hard_state.term {
            hard_state = HardState {
                term: log.last_term(),
                vote: None,
            };
        }
        let mut replica = Self {
            random: Random(settings.seed),
            id,
            now,
            reported: (RoleName::Follower, hard_state.term, None),
            hard_state,
            outbox: Outbox::new(log.last_index()),
            log,
            snapshot: Arc::new(durable.snapshot),
            commit: index,
            applied: index,
            role: Role::Follower,
            leader: None,
            heard_leader_at: now,
            election_at: now,
            join_at: now,
            was_member: false,
            incoming: None,
            is_snapshot_due: false,
            forwarded: BTreeMap::new(),
            wake_at: None,
            settings,
        };
        replica.was_member = replica.log.base().membership.contains(&replica.id);
        replica.set_first_deadline();
        if index > LogIndex::ZERO {
            let snapshot = replica.snapshot.clone();
            replica
                .outbox
                .push(Gate::None, Action::ApplySnapshot(snapshot));
        }
        replica.settle();
        let actions = replica.outbox.take();
        (replica, actions)
    }

    /// A voter that stands alone needs to wait for nobody.
    fn set_first_deadline(&mut self) {
        let membership = self.log.membership();
        if membership.voters.len() > 1 || !membership.voters.contains(&self.id) {
            self.reset_election_deadline();
        }
    }

    /// Takes an event and says what has to be done, in order. `now` must not fall, and should come
    /// from a clock that operators cannot set.
    pub fn handle(&mut self, now: Timestamp, event: Event) -> Vec<Action> {
        self.now = self.now.max(now);
        self.tick();
        match event {
            Event::Wake => (),
            Event::Receive(message) => self.receive(message),
            Event::Persisted { write_id } => self.outbox.persisted(write_id),
            Event::Propose { id, bytes } => self.propose(id, Payload::Command(bytes)),
            Event::Read { id } => self.read(id),
            Event::ChangeMembership { id, change } => self.change_membership(id, &change),
            Event::SnapshotTaken { index, bytes } => self.snapshot_taken(index, bytes),
            Event::TransferLeadership => self.transfer_leadership(),
            Event::AddPeers(peers) => self.settings.peers.extend(peers),
        }
        self.settle();
        self.outbox.take()
    }

    fn tick(&mut self) {
        if matches!(self.role, Role::Leader(_)) {
            self.leader_tick();
        } else {
            self.election_tick();
            self.join_tick();
        }
        self.expire_forwarded();
    }

    fn receive(&mut self, message: Message) {
        if let Some(reason) = self.refusal(&message) {
            let from = message.from;
            self.outbox
                .push(Gate::None, Action::MessageRefused { from, reason });
            return;
        }
        let Message {
            from, term, body, ..
        } = message;
        if self.is_sticky_against(&body) {
            return;
        }
        let adopts = !matches!(body, Body::PreVote(_) | Body::Join);
        if adopts && term > self.hard_state.term {
            self.become_follower(term, None);
        }
        match body {
            Body::PreVote(candidacy) => self.on_pre_vote(&from, term, candidacy),
            Body::Join => self.on_join(from),
            Body::Append(append) => self.on_append(from, term, append),
            Body::SnapshotChunk(chunk) => self.on_snapshot_chunk(from, term, chunk),
            Body::Vote(candidacy) => self.on_vote(from, term, candidacy),
            Body::PreVoteReply { next_term, granted } => {
                self.on_pre_vote_reply(from, next_term, granted);
            }
            _ if term < self.hard_state.term => (),
            Body::VoteReply { granted } => self.on_vote_reply(from, granted),
            Body::AppendReply(reply) => self.on_append_reply(&from, reply),
            Body::SnapshotReply { index, next_offset } => {
                self.on_snapshot_reply(&from, index, next_offset);
            }
            Body::TimeoutNow => self.on_timeout_now(),
            Body::ReadIndex { nonce } => self.on_read_index(from, nonce),
            Body::ReadIndexReply { nonce, index } => self.on_read_index_reply(nonce, index),
        }
    }

    /// Whether a message belongs to another life of either side.
    fn refusal(&self, message: &Message) -> Option<MessageRefusal> {
        let is_ours = message.to == self.id.instance
            && message
                .to_incarnation
                .is_none_or(|incarnation| incarnation == self.id.incarnation);
        if self.settings.has(Flaw::TakeOldIncarnations) {
            None
        } else if !is_ours {
            Some(MessageRefusal::OtherIncarnation)
        } else if self.log.membership().has_later_life(&message.from) {
            Some(MessageRefusal::OldIncarnation)
        } else {
            None
        }
    }

    /// Draws the consequences of an event, and hands out what must be written.
    ///
    /// The write comes before the actions that a driver may answer at once by another event, so
    /// that the writes of that event never overtake it.
    fn settle(&mut self) {
        self.count_own_vote();
        self.lead_on();
        self.outbox.flush(self.log.last_index());
        self.apply();
        self.settle_reads();
        self.settle_forwarded();
        self.report_role();
        self.report_wake();
    }

    /// Applies what is committed here and synced here, so that a snapshot never outruns the log.
    fn apply(&mut self) {
        let to = self.commit.min(self.outbox.durable());
        if to <= self.applied {
            return;
        }
        let entries: Vec<Entry> = self.log.range(self.applied.next(), to).cloned().collect();
        self.applied = to;
        self.was_member |= self.log.membership_at(to).contains(&self.id);
        self.outbox.push(Gate::None, Action::Apply { entries });
        self.ask_for_snapshot();
        self.leave_if_removed();
    }

    /// Takes a higher term, or another role in the same one.
    pub(crate) fn become_follower(&mut self, term: Term, leader: Option<ReplicaId>) {
        if term > self.hard_state.term {
            self.save_hard_state(HardState { term, vote: None });
        }
        self.leader = leader;
        let old = std::mem::replace(&mut self.role, Role::Follower);
        if !matches!(old, Role::Follower) {
            self.reset_election_deadline();
        }
        if let Role::Leader(old) = old {
            self.refuse_reads(*old);
        }
    }

    pub(crate) fn save_hard_state(&mut self, hard_state: HardState) {
        self.hard_state = hard_state.clone();
        self.outbox.save_hard_state(hard_state);
    }

    pub(crate) fn send(&mut self, gate: Gate, to: &ReplicaId, body: Body) {
        let message = Message {
            from: self.id.clone(),
            to: to.instance.clone(),
            to_incarnation: Some(to.incarnation),
            term: self.hard_state.term,
            body,
        };
        self.outbox.push(gate, Action::Send(message));
    }

    pub(crate) fn is_voter(&self) -> bool {
        self.log.membership().voters.contains(&self.id)
    }

    fn report_role(&mut self) {
        let now = (self.role(), self.hard_state.term, self.leader.clone());
        if now == self.reported {
            return;
        }
        self.reported = now.clone();
        let (role, term, leader) = now;
        self.outbox
            .push(Gate::None, Action::RoleChanged { role, term, leader });
    }

    fn report_wake(&mut self) {
        let role_at = match &self.role {
            Role::Leader(leader) => Some(leader.wake_at()),
            _ => self.is_voter().then_some(self.election_at),
        };
        let is_leader = matches!(self.role, Role::Leader(_));
        let asks = !is_leader && self.wants_admission();
        let wake_at = [
            role_at,
            asks.then_some(self.join_at),
            self.forwarded_until(),
        ]
        .into_iter()
        .flatten()
        .min();
        if wake_at == self.wake_at {
            return;
        }
        self.wake_at = wake_at;
        if let Some(at) = wake_at {
            self.outbox.push(Gate::None, Action::WakeAt(at));
        }
    }
}
