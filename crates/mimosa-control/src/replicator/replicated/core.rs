//! The thread that drives the replica: it feeds events in and carries the actions out.
//!
//! All inputs that wait are taken in before one sync covers what they had written.

use std::collections::BTreeSet;
use std::collections::VecDeque;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;
use std::sync::mpsc;
use std::sync::mpsc::RecvTimeoutError;
use std::thread;
use std::thread::JoinHandle;
use std::time::Duration;
use std::time::Instant;

use log::error;
use log::info;
use log::warn;
use mimosa_consensus::Action;
use mimosa_consensus::Entry;
use mimosa_consensus::Event;
use mimosa_consensus::LogIndex;
use mimosa_consensus::Payload;
use mimosa_consensus::Persist;
use mimosa_consensus::ProposalRefusal;
use mimosa_consensus::Replica;
use mimosa_consensus::ReplicaId;
use mimosa_consensus::RoleName;
use mimosa_consensus::Snapshot;
use mimosa_consensus::WriteId;
use mimosa_protocol::Error;
use mimosa_protocol::InstanceId;
use mimosa_protocol::Result;
use mimosa_protocol::Timestamp;
use mimosa_state::Command;
use mimosa_state::Operation;
use mimosa_state::StateMachine;
use mimosa_storage::LogStore;
use mimosa_storage::RecordIndex;
use prometheus::Histogram;

use crate::clock;
use crate::peer::PeerMessage;
use crate::peer::outbound::Outbound;
use crate::replicator::ReplicaStatus;
use crate::replicator::replicated::disk;
use crate::replicator::replicated::disk::Opened;
use crate::replicator::replicated::disk::Opener;
use crate::replicator::replicated::input::Input;
use crate::replicator::replicated::input::ProposeFailure;
use crate::replicator::replicated::waiters::ResultReply;
use crate::replicator::replicated::waiters::Waiters;
use crate::shared::Shared;

/// Inputs taken in before a sync.
const MAX_BATCH: usize = 1_024;
/// How long the thread sleeps at most.
const MAX_SLEEP: Duration = Duration::from_secs(1);
/// Time before the disk is opened again after a write failed, and how long it grows to when that
/// fails: a full disk has room again when somebody made it.
const FIRST_REOPEN_PAUSE: Duration = Duration::from_millis(250);
const MAX_REOPEN_PAUSE: Duration = Duration::from_secs(2);
/// How long a leader tries to hand its leadership on at a shutdown.
const TRANSFER_TIME: Duration = Duration::from_millis(300);

/// How the replica stands, as its thread last told.
#[derive(Clone, Debug, Default)]
pub struct SharedStatus(Arc<Mutex<ReplicaStatus>>);

impl SharedStatus {
    /// The status.
    pub fn get(&self) -> ReplicaStatus {
        self.lock().clone()
    }

    fn set(&self, status: ReplicaStatus) {
        *self.lock() = status;
    }

    fn lock(&self) -> MutexGuard<'_, ReplicaStatus> {
        self.0.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// The other threads' hold on the driving thread.
pub struct CoreHandle {
    inputs: mpsc::Sender<Input>,
    status: SharedStatus,
    thread: Mutex<Option<JoinHandle<()>>>,
}

/// The driving thread's state.
struct Core {
    replica: Replica,
    /// None while the disk takes no writes.
    store: Option<Box<dyn LogStore>>,
    sync_time: Histogram,
    opener: Opener,
    settings: mimosa_consensus::Settings,
    /// Instances that were found besides those of the settings.
    found: BTreeSet<InstanceId>,
    /// The last record that is known to be on the disk.
    synced: RecordIndex,
    reopen: Option<Reopen>,
    shared: Arc<Shared>,
    outbound: Arc<Outbound>,
    waiters: Waiters,
    status: SharedStatus,
    started: Instant,
    wake_at: Option<Timestamp>,
    unsynced: Option<WriteId>,
    /// Answers to actions, for after the actions that came with them.
    follow_ups: VecDeque<Event>,
    applied: LogIndex,
    /// Why writes stopped.
    fault: Option<String>,
}

/// When the disk is opened again.
struct Reopen {
    at: Timestamp,
    pause: Duration,
}

impl CoreHandle {
    /// Starts the thread on an open disk.
    ///
    /// # Errors
    ///
    /// If the disk cannot be written or the thread cannot be started.
    pub fn start(
        opened: Opened,
        opener: Opener,
        settings: mimosa_consensus::Settings,
        shared: Arc<Shared>,
        outbound: Arc<Outbound>,
        sync_time: Histogram,
    ) -> Result<Self> {
        let (inputs, rx) = mpsc::channel();
        let status = SharedStatus::default();
        let Opened { store, id, durable } = opened;
        let (replica, actions) = Replica::start(Timestamp::ZERO, id, durable, settings.clone());
        let mut core = Core {
            replica,
            synced: store.last_index(),
            store: Some(store),
            sync_time,
            opener,
            settings,
            found: BTreeSet::new(),
            reopen: None,
            shared,
            outbound,
            waiters: Waiters::default(),
            status: status.clone(),
            started: Instant::now(),
            wake_at: None,
            unsynced: None,
            follow_ups: VecDeque::new(),
            applied: LogIndex::ZERO,
            fault: None,
        };
        core.carry_out(actions);
        core.sync();
        core.report();
        let thread = thread::Builder::new()
            .name("replica".to_owned())
            .spawn(move || core.run(&rx))
            .map_err(|source| Error::File {
                action: "start a thread for",
                path: "the replicated log".into(),
                source,
            })?;
        Ok(Self {
            inputs,
            status,
            thread: Mutex::new(Some(thread)),
        })
    }

    /// Hands in an input. Returns whether the thread still runs.
    pub fn send(&self, input: Input) -> bool {
        self.inputs.send(input).is_ok()
    }

    /// A sender for other tasks.
    pub fn sender(&self) -> mpsc::Sender<Input> {
        self.inputs.clone()
    }

    /// How the replica stands.
    pub fn status(&self) -> ReplicaStatus {
        self.status.get()
    }

    /// The status for other tasks.
    pub fn shared_status(&self) -> SharedStatus {
        self.status.clone()
    }

    /// Hands the leadership on if it is held, then ends the thread and waits for it.
    pub async fn stop(&self) {
        if self.status().voters.len() > 1 && self.status().role == "leader" {
            self.send(Input::Transfer);
            tokio::time::sleep(TRANSFER_TIME).await;
        }
        self.kill().await;
    }

    /// Ends the thread and waits for it.
    pub async fn kill(&self) {
        self.send(Input::Stop);
        let thread = self
            .thread
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
            .take();
        if let Some(thread) = thread {
            tokio::task::spawn_blocking(move || thread.join().ok())
                .await
                .ok();
        }
    }
}

impl Core {
    fn run(mut self, rx: &mpsc::Receiver<Input>) {
        loop {
            let first = match rx.recv_timeout(self.sleep_time()) {
                Ok(input) => Some(input),
                Err(RecvTimeoutError::Timeout) => None,
                Err(RecvTimeoutError::Disconnected) => return,
            };
            let inputs = first.into_iter().chain(rx.try_iter().take(MAX_BATCH));
            for input in inputs {
                if matches!(input, Input::Stop) {
                    return;
                }
                self.take_in(input);
            }
            self.reopen_if_due();
            self.handle(Event::Wake);
            self.sync();
            self.waiters.forget_the_gone();
            self.report();
        }
    }

    fn now(&self) -> Timestamp {
        Timestamp::ZERO + self.started.elapsed()
    }

    fn sleep_time(&self) -> Duration {
        let wake_at = match &self.reopen {
            Some(reopen) => Some(reopen.at),
            None => self.wake_at,
        };
        let until_wake = wake_at.map(|at| at.since(self.now()));
        until_wake.unwrap_or(MAX_SLEEP).min(MAX_SLEEP)
    }

    fn take_in(&mut self, input: Input) {
        match input {
            Input::Message(message) => self.handle(Event::Receive(message)),
            Input::Propose { operation, reply } => self.propose(operation, reply),
            Input::Read { reply } if self.fault.is_some() => {
                reply.send(Err(None)).ok();
            }
            Input::Read { reply } => {
                let id = self.waiters.read(reply);
                self.handle(Event::Read { id });
            }
            Input::WaitApplied { index, reply } => {
                self.waiters.until_applied(index, reply);
                self.waiters.applied_up_to(self.applied);
            }
            Input::MorePeers(peers) => {
                self.found.extend(peers.iter().cloned());
                self.handle(Event::AddPeers(peers));
            }
            Input::Transfer => self.handle(Event::TransferLeadership),
            Input::Stop => {}
        }
    }

    fn propose(&mut self, operation: Operation, reply: ResultReply) {
        if self.fault.is_some() {
            reply.send(Err(ProposeFailure::NotTaken)).ok();
            return;
        }
        let at = clock::now();
        let bytes = Command { at, operation }.encode();
        let id = self.waiters.proposal(reply);
        self.handle(Event::Propose { id, bytes });
    }

    fn handle(&mut self, event: Event) {
        if self.fault.is_some() {
            return;
        }
        let actions = self.replica.handle(self.now(), event);
        self.carry_out(actions);
        // Only now, as the order of the actions counts.
        if let Some(event) = self.follow_ups.pop_front() {
            self.handle(event);
        }
    }

    /// Makes durable what was written, and tells the replica, until nothing new was written.
    fn sync(&mut self) {
        while let Some(write_id) = self.unsynced.take() {
            let Some(store) = &mut self.store else {
                return;
            };
            let timer = self.sync_time.start_timer();
            let synced = store.sync();
            timer.observe_duration();
            if let Err(e) = synced {
                return self.fail(&e);
            }
            self.synced = store.last_index();
            self.handle(Event::Persisted { write_id });
        }
    }

    fn carry_out(&mut self, actions: Vec<Action>) {
        for action in actions {
            self.carry_out_one(action);
        }
    }

    fn carry_out_one(&mut self, action: Action) {
        match action {
            Action::Send(message) => {
                let to = message.to.clone();
                self.outbound.send(&to, PeerMessage::Consensus(message));
            }
            Action::Persist(persist) => self.persist(&persist),
            Action::Apply { entries } => entries.into_iter().for_each(|entry| self.apply(entry)),
            Action::ApplySnapshot(snapshot) => self.apply_snapshot(&snapshot),
            Action::TakeSnapshot { index } => {
                let taken = self.take_snapshot(index);
                self.follow_ups.push_back(taken);
            }
            Action::Proposed { id, index, term } => self.waiters.proposed(id, index, term),
            Action::ProposalRefused { id, reason, leader } => {
                self.waiters.proposal_refused(id, failure(&reason, leader));
            }
            Action::ReadReady { id, index } => self.waiters.read_answered(id, Ok(index)),
            Action::ReadRefused { id, leader } => {
                let leader = leader.map(|leader| leader.instance);
                self.waiters.read_answered(id, Err(leader));
            }
            Action::RoleChanged { role, term, leader } => {
                let leader = leader.map_or_else(|| "none".to_owned(), |leader| leader.to_string());
                info!("role {}, term {term}, leader {leader}", role_word(role));
            }
            Action::MessageRefused { from, reason } => {
                warn!("a message of {from} was refused: {reason:?}");
            }
            Action::WakeAt(at) => self.wake_at = Some(at),
        }
    }

    /// Encodes the applied state. After the disk was opened again the state may be ahead of the
    /// replica: then there is no snapshot yet, and it asks once more.
    fn take_snapshot(&self, index: LogIndex) -> Event {
        let is_at = index == self.applied;
        Event::SnapshotTaken {
            index: if is_at { index } else { LogIndex::ZERO },
            bytes: if is_at {
                self.shared.read(StateMachine::encode)
            } else {
                Vec::new()
            },
        }
    }

    fn persist(&mut self, persist: &Persist) {
        let Some(store) = &mut self.store else {
            return;
        };
        if let Some(from) = persist.truncate_from {
            // What replaces the removed records is not on the disk yet.
            self.synced = self.synced.min(RecordIndex(from.0.saturating_sub(1)));
        }
        match disk::write(store.as_mut(), persist) {
            Ok(()) => self.unsynced = self.unsynced.max(Some(persist.write_id)),
            Err(e) => self.fail(&e),
        }
    }

    fn apply(&mut self, entry: Entry) {
        if entry.index <= self.applied {
            // Applied before the disk was opened again.
            return;
        }
        let result = match entry.payload {
            Payload::Command(bytes) => match Command::decode(&bytes) {
                Ok(command) => Some(self.shared.apply(entry.index.get(), command)),
                Err(e) => {
                    self.fault = Some(format!("log entry {} cannot be read: {e}", entry.index));
                    return;
                }
            },
            Payload::Blank | Payload::Membership(_) => None,
        };
        self.applied = entry.index;
        self.waiters.entry_applied(entry.index, entry.term, result);
        self.waiters.applied_up_to(entry.index);
    }

    fn apply_snapshot(&mut self, snapshot: &Snapshot) {
        if snapshot.meta.index <= self.applied && self.applied > LogIndex::ZERO {
            // Applied before the disk was opened again.
            return;
        }
        match StateMachine::decode(&snapshot.bytes) {
            Ok(machine) => self.shared.replace(machine),
            Err(e) => {
                self.fault = Some(format!("the snapshot cannot be read: {e}"));
                return;
            }
        }
        self.applied = snapshot.meta.index;
        self.waiters.replaced_up_to(self.applied);
        self.waiters.applied_up_to(self.applied);
    }

    fn fail(&mut self, e: &Error) {
        let fault = disk::describe(e);
        error!("dependency=disk state=lost reason=\"{fault}\"");
        self.fault = Some(fault);
        self.unsynced = None;
        self.follow_ups.clear();
        self.waiters = Waiters::default();
        // Its lock must be free when the disk is opened again.
        self.store = None;
        self.reopen = Some(Reopen {
            at: self.now() + FIRST_REOPEN_PAUSE,
            pause: FIRST_REOPEN_PAUSE,
        });
    }

    /// Opens the disk again after a write failed, and starts the replica anew on what stands there,
    /// as a restart of the process would.
    fn reopen_if_due(&mut self) {
        let now = self.now();
        let Some(reopen) = self.reopen.as_mut().filter(|reopen| now >= reopen.at) else {
            return;
        };
        match self.opener.reopen(self.synced) {
            Ok(Opened { store, id, durable }) => {
                self.reopen = None;
                self.fault = None;
                self.wake_at = None;
                self.synced = store.last_index();
                self.store = Some(store);
                info!("dependency=disk state=regained last_record={}", self.synced);
                let (replica, actions) = Replica::start(now, id, durable, self.settings.clone());
                self.replica = replica;
                self.carry_out(actions);
                let found = self.found.iter().cloned().collect();
                self.handle(Event::AddPeers(found));
            }
            Err(e) => {
                reopen.pause = (reopen.pause * 2).min(MAX_REOPEN_PAUSE);
                reopen.at = now + reopen.pause;
                let fault = disk::describe(&e);
                warn!("dependency=disk state=lost reason=\"{fault}\"");
                self.fault = Some(fault);
            }
        }
    }

    fn report(&self) {
        if self.store.is_none() {
            return self.status.set(ReplicaStatus {
                role: "stopped".to_owned(),
                votes: false,
                leader: None,
                leads_from: 0,
                fault: self.fault.clone(),
                ..self.status.get()
            });
        }
        let members = self.replica.committed_membership();
        let names =
            |ids: &BTreeSet<ReplicaId>| ids.iter().map(|id| id.instance.to_string()).collect();
        let is_learner = members.learners.contains(self.replica.id());
        let status = ReplicaStatus {
            role: match self.replica.role() {
                RoleName::Follower if is_learner => "learner".to_owned(),
                role => role_word(role).to_owned(),
            },
            votes: members.voters.contains(self.replica.id()),
            leader: self.replica.leader().map(|id| id.instance.to_string()),
            term: self.replica.term().get(),
            committed: self.replica.commit().get(),
            leads_from: self.replica.leadership_start().map_or(0, LogIndex::get),
            voters: names(&members.voters),
            learners: names(&members.learners),
            fault: self.fault.clone(),
        };
        self.status.set(status);
    }
}

fn failure(reason: &ProposalRefusal, leader: Option<ReplicaId>) -> ProposeFailure {
    match reason {
        ProposalRefusal::NotLeader => {
            ProposeFailure::NotLeader(leader.map(|leader| leader.instance))
        }
        ProposalRefusal::Transferring | ProposalRefusal::Busy | ProposalRefusal::Membership(_) => {
            ProposeFailure::NotTaken
        }
    }
}

const fn role_word(role: RoleName) -> &'static str {
    match role {
        RoleName::Follower => "follower",
        RoleName::PreCandidate | RoleName::Candidate => "candidate",
        RoleName::Leader => "leader",
    }
}
