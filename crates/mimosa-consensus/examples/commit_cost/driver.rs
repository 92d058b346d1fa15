//! Replicas as threads of one process: messages over channels, files on disk.

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
use mimosa_storage::replica as glue;

/// What the program hears from the replicas.
pub enum Notice {
    /// This replica leads.
    Leads(usize),
    /// The leader applied entries.
    Applied(Vec<Entry>),
}

/// What a replica's thread is told.
pub enum Input {
    Event(Event),
    Stop,
}

/// A running cluster.
pub struct Cluster {
    inboxes: Vec<Sender<Input>>,
    pub notices: Receiver<Notice>,
    threads: Vec<JoinHandle<mimosa_protocol::Result<()>>>,
}

struct Driver {
    number: usize,
    store: FileStore,
    replica: Replica,
    start: Instant,
    wake_at: Timestamp,
    peers: BTreeMap<InstanceId, Sender<Input>>,
    notices: Sender<Notice>,
    unsynced: Option<WriteId>,
}

fn name(number: usize) -> ReplicaId {
    ReplicaId {
        instance: format!("r{number}").parse().expect("a well-formed name"),
        incarnation: Incarnation(1),
    }
}

/// Opens a folder as the given replica.
pub fn open(folder: &Path, number: usize) -> mimosa_protocol::Result<FileStore> {
    let settings = mimosa_storage::Settings {
        instance: name(number).instance,
        new_incarnation: Incarnation(1),
        ..mimosa_storage::Settings::default()
    };
    FileStore::open(folder.join(format!("r{number}")), settings)
}

/// The settings of a replica of these runs.
pub fn settings(number: usize) -> Settings {
    Settings {
        seed: number as u64,
        election_timeout: Duration::from_millis(300),
        heartbeat_interval: Duration::from_millis(50),
        ..Settings::default()
    }
}

impl Cluster {
    /// Starts some replicas, each on its own folder.
    pub fn start(folder: &Path, voters: usize) -> mimosa_protocol::Result<Self> {
        let members = Membership::from_voters((0..voters).map(name));
        let (inboxes, outlets): (Vec<_>, Vec<_>) = (0..voters).map(|_| channel()).unzip();
        let peers: BTreeMap<InstanceId, Sender<Input>> = inboxes
            .iter()
            .enumerate()
            .map(|(number, inbox)| (name(number).instance, inbox.clone()))
            .collect();
        let (tx, notices) = channel();
        let mut threads = Vec::new();
        for (number, outlet) in outlets.into_iter().enumerate() {
            let mut store = open(folder, number)?;
            glue::found(&mut store, members.clone())?;
            let driver = Driver::new(number, store, peers.clone(), tx.clone())?;
            threads.push(thread::spawn(move || driver.run(&outlet)));
        }
        Ok(Self {
            inboxes,
            notices,
            threads,
        })
    }

    /// Waits for a leader.
    pub fn leader(&self) -> usize {
        self.notices
            .iter()
            .find_map(|notice| match notice {
                Notice::Leads(number) => Some(number),
                Notice::Applied(_) => None,
            })
            .expect("the replicas run")
    }

    /// Tells a replica something.
    pub fn tell(&self, number: usize, event: Event) {
        let _ = self.inboxes[number].send(Input::Event(event));
    }

    /// Ends all replicas.
    pub fn stop(self) -> mimosa_protocol::Result<()> {
        for inbox in &self.inboxes {
            let _ = inbox.send(Input::Stop);
        }
        self.threads
            .into_iter()
            .try_for_each(|thread| thread.join().expect("no replica panics"))
    }
}

impl Driver {
    fn new(
        number: usize,
        store: FileStore,
        peers: BTreeMap<InstanceId, Sender<Input>>,
        notices: Sender<Notice>,
    ) -> mimosa_protocol::Result<Self> {
        let durable = glue::load(&store)?;
        let id = glue::replica_id(&store);
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
        driver.act(actions)?;
        Ok(driver)
    }

    fn now(&self) -> Timestamp {
        Timestamp::ZERO + self.start.elapsed()
    }

    /// Takes all events that wait, then syncs once.
    fn run(mut self, outlet: &Receiver<Input>) -> mimosa_protocol::Result<()> {
        loop {
            let wait = self.wake_at.since(self.now());
            let first = outlet
                .recv_timeout(wait)
                .unwrap_or(Input::Event(Event::Wake));
            for input in iter::once(first).chain(outlet.try_iter()) {
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
        self.act(actions)
    }

    fn act(&mut self, actions: Vec<Action>) -> mimosa_protocol::Result<()> {
        for action in actions {
            match action {
                Action::Send(message) => {
                    if let Some(inbox) = self.peers.get(&message.to) {
                        let _ = inbox.send(Input::Event(Event::Receive(message)));
                    }
                }
                Action::Persist(persist) => {
                    glue::write(&mut self.store, &persist)?;
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
