//! The replica thread: passes events to the replica state machine and executes its actions.
//!
//! Handles all waiting inputs before one sync to disk covers their writes (group commit).

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
use crate::replicator::replicated::disk::OpenedReplica;
use crate::replicator::replicated::disk::StoreOpener;
use crate::replicator::replicated::input::Input;
use crate::replicator::replicated::input::ProposeFailure;
use crate::replicator::replicated::waiters::ResultReply;
use crate::replicator::replicated::waiters::Waiters;
use crate::shared::SharedState;

/// Upper bound on the further inputs handled before a sync.
const MAX_BATCH_INPUTS: usize = 1_024;
const MAX_SLEEP: Duration = Duration::from_secs(1);
/// Delay before the store is reopened after a failed write. It doubles with each failure up to
/// [`MAX_REOPEN_DELAY`], as a full disk stays full until space is freed.
const INITIAL_REOPEN_DELAY: Duration = Duration::from_millis(250);
const MAX_REOPEN_DELAY: Duration = Duration::from_secs(2);
/// Time given to a leadership transfer at shutdown.
const TRANSFER_WAIT: Duration = Duration::from_millis(300);

/// The replica status last published by the replica thread.
#[derive(Clone, Debug, Default)]
pub struct SharedStatus(Arc<Mutex<ReplicaStatus>>);

impl SharedStatus {
    /// A copy of the status after the last batch of inputs.
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

/// Handle of the replica thread.
pub struct ReplicaHandle {
    inputs: mpsc::Sender<Input>,
    status: SharedStatus,
    thread: Mutex<Option<JoinHandle<()>>>,
}

/// State of the replica thread.
struct ReplicaDriver {
    replica: Replica,
    /// `None` after a failed write, until the store is reopened.
    store: Option<Box<dyn LogStore>>,
    sync_time: Histogram,
    opener: StoreOpener,
    settings: mimosa_consensus::Settings,
    /// Discovered instances, in addition to those of the settings.
    discovered_peers: BTreeSet<InstanceId>,
    /// The last record known to be synced to disk.
    synced_index: RecordIndex,
    reopen: Option<Reopen>,
    shared: Arc<SharedState>,
    outbound: Arc<Outbound>,
    waiters: Waiters,
    status: SharedStatus,
    started: Instant,
    wake_at: Option<Timestamp>,
    unsynced_write: Option<WriteId>,
    /// Events produced while executing actions; handled after the remaining actions of the batch.
    pending_events: VecDeque<Event>,
    applied: LogIndex,
    /// Why the replica stopped.
    fault: Option<String>,
}

/// The next attempt to reopen the store.
struct Reopen {
    due_at: Timestamp,
    delay: Duration,
}

impl ReplicaHandle {
    /// Starts the thread on an open store.
    ///
    /// # Errors
    ///
    /// If the disk cannot be written or the thread cannot be started.
    pub fn start(
        opened: OpenedReplica,
        opener: StoreOpener,
        settings: mimosa_consensus::Settings,
        shared: Arc<SharedState>,
        outbound: Arc<Outbound>,
        sync_time: Histogram,
    ) -> Result<Self> {
        let (inputs, rx) = mpsc::channel();
        let status = SharedStatus::default();
        let OpenedReplica {
            store,
            id,
            persistent_state,
        } = opened;
        let (replica, actions) =
            Replica::start(Timestamp::ZERO, id, persistent_state, settings.clone());
        let mut driver = ReplicaDriver {
            replica,
            synced_index: store.last_index(),
            store: Some(store),
            sync_time,
            opener,
            settings,
            discovered_peers: BTreeSet::new(),
            reopen: None,
            shared,
            outbound,
            waiters: Waiters::default(),
            status: status.clone(),
            started: Instant::now(),
            wake_at: None,
            unsynced_write: None,
            pending_events: VecDeque::new(),
            applied: LogIndex::ZERO,
            fault: None,
        };
        driver.execute(actions);
        driver.sync();
        driver.publish_status();
        let thread = thread::Builder::new()
            .name("replica".to_owned())
            .spawn(move || driver.run(&rx))
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

    /// Sends an input to the thread. Returns false if the thread has ended.
    pub fn send(&self, input: Input) -> bool {
        self.inputs.send(input).is_ok()
    }

    /// A sender of inputs to the thread. Sending fails once the thread has ended.
    pub fn sender(&self) -> mpsc::Sender<Input> {
        self.inputs.clone()
    }

    /// A copy of the latest replica status.
    pub fn status(&self) -> ReplicaStatus {
        self.status.get()
    }

    /// The status shared with the thread, which updates it after each batch of inputs.
    pub fn shared_status(&self) -> SharedStatus {
        self.status.clone()
    }

    /// Transfers the leadership if this replica leads, then ends the thread and waits for it.
    pub async fn stop(&self) {
        if self.status().voters.len() > 1 && self.status().role == "leader" {
            self.send(Input::TransferLeadership);
            tokio::time::sleep(TRANSFER_WAIT).await;
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

impl ReplicaDriver {
    fn run(mut self, rx: &mpsc::Receiver<Input>) {
        loop {
            let first = match rx.recv_timeout(self.sleep_time()) {
                Ok(input) => Some(input),
                Err(RecvTimeoutError::Timeout) => None,
                Err(RecvTimeoutError::Disconnected) => return,
            };
            let inputs = first
                .into_iter()
                .chain(rx.try_iter().take(MAX_BATCH_INPUTS));
            for input in inputs {
                if matches!(input, Input::Stop) {
                    return;
                }
                self.handle_input(input);
            }
            self.reopen_if_due();
            self.handle(Event::Wake);
            self.sync();
            self.waiters.remove_closed();
            self.publish_status();
        }
    }

    fn now(&self) -> Timestamp {
        Timestamp::ZERO + self.started.elapsed()
    }

    fn sleep_time(&self) -> Duration {
        let wake_at = match &self.reopen {
            Some(reopen) => Some(reopen.due_at),
            None => self.wake_at,
        };
        let until_wake = wake_at.map(|at| at.since(self.now()));
        until_wake.unwrap_or(MAX_SLEEP).min(MAX_SLEEP)
    }

    fn handle_input(&mut self, input: Input) {
        match input {
            Input::Message(message) => self.handle(Event::Receive(message)),
            Input::Propose { operation, reply } => self.propose(operation, reply),
            Input::Read { reply } if self.fault.is_some() => {
                reply.send(Err(None)).ok();
            }
            Input::Read { reply } => {
                let id = self.waiters.add_read(reply);
                self.handle(Event::Read { id });
            }
            Input::WaitApplied { index, reply } => {
                self.waiters.add_apply_waiter(index, reply);
                self.waiters.notify_applied(self.applied);
            }
            Input::AddPeers(peers) => {
                self.discovered_peers.extend(peers.iter().cloned());
                self.handle(Event::AddPeers(peers));
            }
            Input::TransferLeadership => self.handle(Event::TransferLeadership),
            Input::Stop => {}
        }
    }

    fn propose(&mut self, operation: Operation, reply: ResultReply) {
        if self.fault.is_some() {
            reply.send(Err(ProposeFailure::NotCommitted)).ok();
            return;
        }
        let at = clock::now();
        let bytes = Command { at, operation }.encode();
        let id = self.waiters.add_proposal(reply);
        self.handle(Event::Propose { id, bytes });
    }

    fn handle(&mut self, event: Event) {
        if self.fault.is_some() {
            return;
        }
        let actions = self.replica.handle(self.now(), event);
        self.execute(actions);
        // After all actions, as their order matters.
        if let Some(event) = self.pending_events.pop_front() {
            self.handle(event);
        }
    }

    /// Syncs the store and reports it to the replica, until the replica writes nothing more.
    fn sync(&mut self) {
        while let Some(write_id) = self.unsynced_write.take() {
            let Some(store) = &mut self.store else {
                return;
            };
            let timer = self.sync_time.start_timer();
            let synced = store.sync();
            timer.observe_duration();
            if let Err(e) = synced {
                return self.stop_writes(&e);
            }
            self.synced_index = store.last_index();
            self.handle(Event::Persisted { write_id });
        }
    }

    fn execute(&mut self, actions: Vec<Action>) {
        for action in actions {
            self.execute_action(action);
        }
    }

    fn execute_action(&mut self, action: Action) {
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
                self.pending_events.push_back(taken);
            }
            Action::Proposed { id, index, term } => self.waiters.proposal_appended(id, index, term),
            Action::ProposalRefused { id, reason, leader } => {
                self.waiters
                    .reject_proposal(id, propose_failure(&reason, leader));
            }
            Action::ReadReady { id, index } => self.waiters.complete_read(id, Ok(index)),
            Action::ReadRefused { id, leader } => {
                let leader = leader.map(|leader| leader.instance);
                self.waiters.complete_read(id, Err(leader));
            }
            Action::RoleChanged { role, term, leader } => {
                let leader = leader.map_or_else(|| "none".to_owned(), |leader| leader.to_string());
                info!("role {}, term {term}, leader {leader}", role_name(role));
            }
            Action::MessageRefused { from, reason } => {
                warn!("refused a message from {from}: {reason:?}");
            }
            Action::WakeAt(at) => self.wake_at = Some(at),
        }
    }

    /// Encodes the applied state. After the store was reopened, the state can be ahead of the
    /// replica; the event then carries no snapshot and the replica asks again later.
    fn take_snapshot(&self, index: LogIndex) -> Event {
        let is_applied = index == self.applied;
        Event::SnapshotTaken {
            index: if is_applied { index } else { LogIndex::ZERO },
            bytes: if is_applied {
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
            // The records that replace the truncated ones are not synced yet.
            self.synced_index = self.synced_index.min(RecordIndex(from.0.saturating_sub(1)));
        }
        match disk::write(store.as_mut(), persist) {
            Ok(()) => self.unsynced_write = self.unsynced_write.max(Some(persist.write_id)),
            Err(e) => self.stop_writes(&e),
        }
    }

    fn apply(&mut self, entry: Entry) {
        if entry.index <= self.applied {
            // Already applied before the store was reopened.
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
        self.waiters.complete_entry(entry.index, entry.term, result);
        self.waiters.notify_applied(entry.index);
    }

    fn apply_snapshot(&mut self, snapshot: &Snapshot) {
        if snapshot.meta.index <= self.applied && self.applied > LogIndex::ZERO {
            // Already applied before the store was reopened.
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
        self.waiters.snapshot_installed(self.applied);
        self.waiters.notify_applied(self.applied);
    }

    fn stop_writes(&mut self, e: &Error) {
        let fault = disk::error_chain(e);
        error!("dependency=disk state=lost reason=\"{fault}\"");
        self.fault = Some(fault);
        self.unsynced_write = None;
        self.pending_events.clear();
        self.waiters = Waiters::default();
        // Releases the lock of the store, which a reopen needs.
        self.store = None;
        self.reopen = Some(Reopen {
            due_at: self.now() + INITIAL_REOPEN_DELAY,
            delay: INITIAL_REOPEN_DELAY,
        });
    }

    /// Reopens the store after a failed write and restarts the replica from its contents, like a
    /// restart of the process.
    fn reopen_if_due(&mut self) {
        let now = self.now();
        let Some(reopen) = self.reopen.as_mut().filter(|reopen| now >= reopen.due_at) else {
            return;
        };
        match self.opener.reopen(self.synced_index) {
            Ok(OpenedReplica {
                store,
                id,
                persistent_state,
            }) => {
                self.reopen = None;
                self.fault = None;
                self.wake_at = None;
                self.synced_index = store.last_index();
                self.store = Some(store);
                info!(
                    "dependency=disk state=regained last_record={}",
                    self.synced_index
                );
                let (replica, actions) =
                    Replica::start(now, id, persistent_state, self.settings.clone());
                self.replica = replica;
                self.execute(actions);
                let discovered_peers = self.discovered_peers.iter().cloned().collect();
                self.handle(Event::AddPeers(discovered_peers));
            }
            Err(e) => {
                reopen.delay = (reopen.delay * 2).min(MAX_REOPEN_DELAY);
                reopen.due_at = now + reopen.delay;
                let fault = disk::error_chain(&e);
                warn!("dependency=disk state=lost reason=\"{fault}\"");
                self.fault = Some(fault);
            }
        }
    }

    fn publish_status(&self) {
        if self.store.is_none() {
            return self.status.set(ReplicaStatus {
                role: "stopped".to_owned(),
                votes: false,
                leader: None,
                leads_from: 0,
                seeks_members: true,
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
                role => role_name(role).to_owned(),
            },
            votes: members.voters.contains(self.replica.id()),
            leader: self.replica.leader().map(|id| id.instance.to_string()),
            term: self.replica.term().get(),
            committed: self.replica.commit().get(),
            leads_from: self.replica.leadership_start().map_or(0, LogIndex::get),
            voters: names(&members.voters),
            learners: names(&members.learners),
            named: self.replica.named_instances(),
            seeks_members: self.replica.seeks_members(),
            fault: self.fault.clone(),
        };
        self.status.set(status);
    }
}

fn propose_failure(reason: &ProposalRefusal, leader: Option<ReplicaId>) -> ProposeFailure {
    match reason {
        ProposalRefusal::NotLeader => {
            ProposeFailure::NotLeader(leader.map(|leader| leader.instance))
        }
        ProposalRefusal::Transferring | ProposalRefusal::Busy | ProposalRefusal::Membership(_) => {
            ProposeFailure::NotCommitted
        }
    }
}

const fn role_name(role: RoleName) -> &'static str {
    match role {
        RoleName::Follower => "follower",
        RoleName::PreCandidate | RoleName::Candidate => "candidate",
        RoleName::Leader => "leader",
    }
}
