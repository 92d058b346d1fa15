//! State of a replica, and the handling of events.

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
use crate::forwarded_read::ForwardedRead;
use crate::id::LogIndex;
use crate::id::Nonce;
use crate::id::ReplicaId;
use crate::id::Term;
use crate::leader::Leader;
use crate::log::Log;
use crate::membership::Membership;
use crate::message::Body;
use crate::message::Message;
use crate::outbox::Barrier;
use crate::outbox::Outbox;
use crate::random::SplitMix64;
use crate::settings::InjectedBug;
use crate::settings::Settings;
use crate::snapshot::IncomingSnapshot;

/// State that a replica loads from its disk at the start.
#[derive(Clone, Debug, Default)]
pub struct PersistentState {
    /// The last synced hard state.
    pub hard_state: HardState,
    /// The last snapshot; the default one if there is none.
    pub snapshot: Snapshot,
    /// The entries after the snapshot, contiguous.
    pub entries: Vec<Entry>,
}

impl PersistentState {
    /// The initial state of a cluster with these members. It must be synced as a snapshot on each of
    /// them before they start.
    pub fn bootstrap(membership: Membership) -> Self {
        let mut state = Self::default();
        state.snapshot.meta.membership = membership;
        state
    }
}

/// Role of a replica, with the state that belongs to it.
#[derive(Clone, Debug, Hash)]
pub(crate) enum Role {
    Follower,
    PreCandidate { votes: BTreeSet<ReplicaId> },
    Candidate { votes: BTreeSet<ReplicaId> },
    Leader(Box<Leader>),
}

/// A replica of the log, as a pure state machine.
#[derive(Clone, Debug)]
pub struct Replica {
    pub(crate) settings: Settings,
    pub(crate) id: ReplicaId,
    pub(crate) random: SplitMix64,
    pub(crate) now: Timestamp,
    pub(crate) hard_state: HardState,
    pub(crate) log: Log,
    pub(crate) snapshot: Arc<Snapshot>,
    /// Index of the last entry known to be committed.
    pub(crate) commit: LogIndex,
    /// Index up to which entries or a snapshot were passed to the outbox to be applied.
    pub(crate) applied: LogIndex,
    pub(crate) role: Role,
    pub(crate) leader: Option<ReplicaId>,
    /// Time of the last message from a leader of this term. Set to the start time at the start, as a
    /// restarted replica does not know of earlier contact.
    pub(crate) last_leader_contact: Timestamp,
    pub(crate) election_deadline: Timestamp,
    pub(crate) next_join_at: Timestamp,
    /// Whether a committed membership has contained this incarnation.
    pub(crate) has_been_member: bool,
    pub(crate) incoming: Option<IncomingSnapshot>,
    /// Whether [`Action::TakeSnapshot`] is unanswered.
    pub(crate) is_snapshot_requested: bool,
    /// Reads that wait for the leader's read index, or for it to be applied.
    pub(crate) forwarded_reads: BTreeMap<Nonce, ForwardedRead>,
    pub(crate) outbox: Outbox,
    wake_at: Option<Timestamp>,
    reported_role: (RoleName, Term, Option<ReplicaId>),
}

impl Replica {
    /// Starts a replica from its persistent state. The actions must be carried out before those of
    /// any event.
    ///
    /// # Panics
    ///
    /// If the entries are not contiguous or do not follow the snapshot.
    pub fn start(
        now: Timestamp,
        id: ReplicaId,
        state: PersistentState,
        settings: Settings,
    ) -> (Self, Vec<Action>) {
        let mut hard_state = state.hard_state;
        let base = state.snapshot.meta.clone();
        let index = base.index;
        let log = Log::new(base, state.entries);
        if log.last_term() > hard_state.term {
            hard_state = HardState {
                term: log.last_term(),
                vote: None,
            };
        }
        let mut replica = Self {
            random: SplitMix64(settings.seed),
            id,
            now,
            reported_role: (RoleName::Follower, hard_state.term, None),
            hard_state,
            outbox: Outbox::new(log.last_index()),
            log,
            snapshot: Arc::new(state.snapshot),
            commit: index,
            applied: index,
            role: Role::Follower,
            leader: None,
            last_leader_contact: now,
            election_deadline: now,
            next_join_at: now,
            has_been_member: false,
            incoming: None,
            is_snapshot_requested: false,
            forwarded_reads: BTreeMap::new(),
            wake_at: None,
            settings,
        };
        replica.has_been_member = replica.log.base().membership.contains(&replica.id);
        replica.set_initial_election_deadline();
        if index > LogIndex::ZERO {
            let snapshot = replica.snapshot.clone();
            replica
                .outbox
                .push(Barrier::None, Action::ApplySnapshot(snapshot));
        }
        replica.advance();
        let actions = replica.outbox.take();
        (replica, actions)
    }

    /// The sole voter of a cluster starts its election immediately.
    fn set_initial_election_deadline(&mut self) {
        let membership = self.log.membership();
        if membership.voters.len() > 1 || !membership.voters.contains(&self.id) {
            self.reset_election_deadline();
        }
    }

    /// Handles an event and returns the resulting actions in order. `now` should come from a
    /// monotonic clock that operators cannot set; a time before the last one counts as the last one.
    ///
    /// # Panics
    ///
    /// If a leader's message would replace a committed entry, which only a fault of a disk or of the
    /// protocol can cause.
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
        self.advance();
        self.outbox.take()
    }

    fn tick(&mut self) {
        if matches!(self.role, Role::Leader(_)) {
            self.leader_tick();
        } else {
            self.election_tick();
            self.join_tick();
        }
        self.expire_forwarded_reads();
    }

    fn receive(&mut self, message: Message) {
        if let Some(reason) = self.message_refusal(&message) {
            let from = message.from;
            self.outbox
                .push(Barrier::None, Action::MessageRefused { from, reason });
            return;
        }
        let Message {
            from, term, body, ..
        } = message;
        if self.ignores_vote_request(&body) {
            return;
        }
        let updates_term = !matches!(body, Body::PreVote(_) | Body::Join);
        if updates_term && term > self.hard_state.term {
            self.become_follower(term, None);
        }
        match body {
            Body::PreVote(request) => self.on_pre_vote(&from, term, request),
            Body::Join => self.on_join(from),
            Body::Append(append) => self.on_append(from, term, append),
            Body::SnapshotChunk(chunk) => self.on_snapshot_chunk(from, term, chunk),
            Body::Vote(request) => self.on_vote(from, term, request),
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

    /// Refuses messages to another instance or incarnation, and messages from an earlier incarnation
    /// of a member.
    fn message_refusal(&self, message: &Message) -> Option<MessageRefusal> {
        let is_for_this_replica = message.to == self.id.instance
            && message
                .to_incarnation
                .is_none_or(|incarnation| incarnation == self.id.incarnation);
        if self.settings.has_bug(InjectedBug::AcceptOldIncarnations) {
            None
        } else if !is_for_this_replica {
            Some(MessageRefusal::OtherIncarnation)
        } else if self.log.membership().has_newer_incarnation(&message.from) {
            Some(MessageRefusal::OldIncarnation)
        } else {
            None
        }
    }

    /// Advances elections, replication, commits and reads after an event, and emits the write.
    ///
    /// The write is emitted before the actions that a driver may answer immediately with another
    /// event, so that the writes of that event cannot overtake it.
    fn advance(&mut self) {
        self.count_own_vote();
        self.advance_leader();
        self.outbox.flush(self.log.last_index());
        self.apply();
        self.answer_ready_reads();
        self.answer_forwarded_reads();
        self.report_role();
        self.report_wake_at();
    }

    /// Applies entries that are both committed and synced locally, so that a snapshot never covers
    /// entries that the local log may lose.
    fn apply(&mut self) {
        let to = self.commit.min(self.outbox.last_durable());
        if to <= self.applied {
            return;
        }
        let entries: Vec<Entry> = self.log.range(self.applied.next(), to).cloned().collect();
        self.applied = to;
        self.has_been_member |= self.log.membership_at(to).contains(&self.id);
        self.outbox.push(Barrier::None, Action::Apply { entries });
        self.request_snapshot_if_due();
        self.step_down_if_removed();
    }

    /// Becomes a follower in the given term, which is the current one or a higher one.
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

    pub(crate) fn send(&mut self, barrier: Barrier, to: &ReplicaId, body: Body) {
        let message = Message {
            from: self.id.clone(),
            to: to.instance.clone(),
            to_incarnation: Some(to.incarnation),
            term: self.hard_state.term,
            body,
        };
        self.outbox.push(barrier, Action::Send(message));
    }

    pub(crate) fn is_voter(&self) -> bool {
        self.log.membership().voters.contains(&self.id)
    }

    fn report_role(&mut self) {
        let current = (self.role(), self.hard_state.term, self.leader.clone());
        if current == self.reported_role {
            return;
        }
        self.reported_role = current.clone();
        let (role, term, leader) = current;
        self.outbox
            .push(Barrier::None, Action::RoleChanged { role, term, leader });
    }

    fn report_wake_at(&mut self) {
        let role_deadline = match &self.role {
            Role::Leader(leader) => Some(leader.wake_at()),
            _ => self.is_voter().then_some(self.election_deadline),
        };
        let is_leader = matches!(self.role, Role::Leader(_));
        let requests_admission = !is_leader && self.needs_admission();
        let wake_at = [
            role_deadline,
            requests_admission.then_some(self.next_join_at),
            self.forwarded_read_deadline(),
        ]
        .into_iter()
        .flatten()
        .min();
        if wake_at == self.wake_at {
            return;
        }
        self.wake_at = wake_at;
        if let Some(at) = wake_at {
            self.outbox.push(Barrier::None, Action::WakeAt(at));
        }
    }
}
