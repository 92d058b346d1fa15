//! A driver that runs replicas as threads of one process, with messages over channels and files on
//! disk.

use std::collections::BTreeMap;
use std::iter;
use std::path::Path;
use std::sync::mpsc::Receiver;
use std::sync::mpsc::Sender;
use std::sync::mpsc::channel;
use std::thread;
use std::thread::JoinHandle;
use std::time::Duration;
use std::time::Instant;

use mimosa_consensus::Action;
use mimosa_consensus::Entry;
use mimosa_consensus::Event;
use mimosa_consensus::Membership;
use mimosa_consensus::Replica;
use mimosa_consensus::ReplicaId;
use mimosa_consensus::RoleName;
use mimosa_consensus::Settings;
use mimosa_consensus::WriteId;
use mimosa_protocol::Incarnation;
use mimosa_protocol::InstanceId;
use mimosa_protocol::Timestamp;
use mimosa_storage::FileStore;
use mimosa_storage::LogStore;
use mimosa_storage::replica as replica_store;

/// Notification from a replica to the main thread.
pub enum Notice {
    /// The replica with this number became the leader.
    Leads(usize),
    /// The leader applied entries.
    Applied(Vec<Entry>),
}

/// Input to a replica's thread.
pub enum Input {
    Event(Event),
    /// Ends the thread. Events queued after it are dropped.
    Stop,
}

/// A running cluster.
pub struct Cluster {
    inboxes: Vec<Sender<Input>>,
    pub notices: Receiver<Notice>,
    threads: Vec<JoinHandle<mimosa_protocol::Result<()>>>,
}

/// The state of a replica's thread.
struct Driver {
    number: usize,
    store: FileStore,
    replica: Replica,
    start: Instant,
    wake_at: Timestamp,
    peers: BTreeMap<InstanceId, Sender<Input>>,
    notices: Sender<Notice>,
    /// The last write that is not synced.
    unsynced: Option<WriteId>,
}

fn replica_id(number: usize) -> ReplicaId {
    ReplicaId {
        instance: format!("r{number}")
            .parse()
            .expect("the name is well-formed"),
        incarnation: Incarnation(1),
    }
}

/// Opens a replica's store inside a folder.
pub fn open(folder: &Path, number: usize) -> mimosa_protocol::Result<FileStore> {
    let settings = mimosa_storage::Settings {
        instance: replica_id(number).instance,
        new_incarnation: Incarnation(1),
        ..mimosa_storage::Settings::default()
    };
    FileStore::open(folder.join(format!("r{number}")), settings)
}

pub fn settings(number: usize) -> Settings {
    Settings {
        seed: number as u64,
        election_timeout: Duration::from_millis(300),
        heartbeat_interval: Duration::from_millis(50),
        ..Settings::default()
    }
}

impl Cluster {
    /// Starts replicas, each with its own folder.
    pub fn start(folder: &Path, voters: usize) -> mimosa_protocol::Result<Self> {
        let members = Membership::from_voters((0..voters).map(replica_id));
        let (inboxes, receivers): (Vec<_>, Vec<_>) = (0..voters).map(|_| channel()).unzip();
        let peers: BTreeMap<InstanceId, Sender<Input>> = inboxes
            .iter()
            .enumerate()
            .map(|(number, inbox)| (replica_id(number).instance, inbox.clone()))
            .collect();
        let (tx, notices) = channel();
        let mut threads = Vec::new();
        for (number, receiver) in receivers.into_iter().enumerate() {
            let mut store = open(folder, number)?;
            replica_store::bootstrap(&mut store, members.clone())?;
            let driver = Driver::new(number, store, peers.clone(), tx.clone())?;
            threads.push(thread::spawn(move || driver.run(&receiver)));
        }
        Ok(Self {
            inboxes,
            notices,
            threads,
        })
    }

    /// Waits until a replica leads; returns its number.
    pub fn leader(&self) -> usize {
        self.notices
            .iter()
            .find_map(|notice| match notice {
                Notice::Leads(number) => Some(number),
                Notice::Applied(_) => None,
            })
            .expect("the replicas are running")
    }

    /// Queues an event for a replica. Ignored once its thread has ended.
    pub fn queue_event(&self, number: usize, event: Event) {
        let _ = self.inboxes[number].send(Input::Event(event));
    }

    /// Stops all replicas and returns the first error of one.
    pub fn stop(self) -> mimosa_protocol::Result<()> {
        for inbox in &self.inboxes {
            let _ = inbox.send(Input::Stop);
        }
        self.threads
            .into_iter()
            .try_for_each(|thread| thread.join().expect("the replica thread does not panic"))
    }
}

impl Driver {
    fn new(
        number: usize,
        store: FileStore,
        peers: BTreeMap<InstanceId, Sender<Input>>,
        notices: Sender<Notice>,
    ) -> mimosa_protocol::Result<Self> {
        let durable = replica_store::load(&store)?;
        let id = replica_store::replica_id(&store);
        let (replica, actions) = Replica::start(Timestamp::ZERO, id, durable, settings(number));
        let mut driver = Self {
            number,
            store,
            replica,
            start: Instant::now(),
            wake_at: Timestamp::ZERO,
            peers,
            notices,
            unsynced: None,
        };
        driver.carry_out(actions)?;
        Ok(driver)
    }

    fn now(&self) -> Timestamp {
        Timestamp::ZERO + self.start.elapsed()
    }

    /// Handles all queued events, then syncs once.
    fn run(mut self, receiver: &Receiver<Input>) -> mimosa_protocol::Result<()> {
        loop {
            let wait = self.wake_at.since(self.now());
            let first = receiver
                .recv_timeout(wait)
                .unwrap_or(Input::Event(Event::Wake));
            for input in iter::once(first).chain(receiver.try_iter()) {
                match input {
                    Input::Event(event) => self.handle(event)?,
                    Input::Stop => return Ok(()),
                }
            }
            if let Some(write_id) = self.unsynced.take() {
                self.store.sync()?;
                self.handle(Event::Persisted { write_id })?;
            }
        }
    }

    fn handle(&mut self, event: Event) -> mimosa_protocol::Result<()> {
        let now = self.now();
        let actions = self.replica.handle(now, event);
        self.carry_out(actions)
    }

    fn carry_out(&mut self, actions: Vec<Action>) -> mimosa_protocol::Result<()> {
        for action in actions {
            match action {
                Action::Send(message) => {
                    if let Some(inbox) = self.peers.get(&message.to) {
                        let _ = inbox.send(Input::Event(Event::Receive(message)));
                    }
                }
                Action::Persist(persist) => {
                    replica_store::write(&mut self.store, &persist)?;
                    self.unsynced = Some(persist.write_id);
                }
                Action::WakeAt(at) => self.wake_at = at,
                Action::Apply { entries } if self.replica.role() == RoleName::Leader => {
                    let _ = self.notices.send(Notice::Applied(entries));
                }
                Action::TakeSnapshot { index } => {
                    let bytes = vec![7; 65_536];
                    self.handle(Event::SnapshotTaken { index, bytes })?;
                }
                Action::RoleChanged {
                    role: RoleName::Leader,
                    ..
                } => {
                    let _ = self.notices.send(Notice::Leads(self.number));
                }
                _ => (),
            }
        }
        Ok(())
    }
}
