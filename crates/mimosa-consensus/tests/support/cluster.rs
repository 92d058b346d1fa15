//! A simulated cluster: replicas with a simulated network and disks in memory, on one thread and one
//! virtual clock. All randomness comes from a seed.

#![allow(dead_code, reason = "each test file uses its part")]

#[path = "contacts.rs"]
mod contacts;
#[path = "invariants.rs"]
pub mod invariants;
#[path = "lifecycle.rs"]
mod lifecycle;
#[path = "process.rs"]
mod process;
#[path = "trace.rs"]
pub mod trace;

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::ops::RangeInclusive;
use std::time::Duration;

use mimosa_consensus::Action;
use mimosa_consensus::Event;
use mimosa_consensus::MAX_REPLICAS;
use mimosa_consensus::Membership;
use mimosa_consensus::Message;
use mimosa_consensus::Persist;
use mimosa_consensus::ProposalId;
use mimosa_consensus::ReadId;
use mimosa_consensus::ReplicaId;
use mimosa_consensus::RoleName;
use mimosa_consensus::Settings;
use mimosa_protocol::Incarnation;
use mimosa_protocol::InstanceId;
use mimosa_protocol::Timestamp;
use mimosa_storage::LogStore;
use mimosa_storage::fault::FaultyDisk;
use mimosa_storage::fault::Random;
use mimosa_storage::replica as replica_store;

use self::contacts::Contacts;
use self::invariants::Invariants;
use self::process::Process;

/// Faults of the simulated network.
#[derive(Clone, Copy)]
pub struct Network {
    pub loss_permille: usize,
    pub duplicate_permille: usize,
    /// Maximum extra delay; messages may be reordered within it.
    pub max_delay: Duration,
}

pub const RELIABLE: Network = Network {
    loss_permille: 0,
    duplicate_permille: 0,
    max_delay: Duration::from_millis(1),
};

pub const UNRELIABLE: Network = Network {
    loss_permille: 80,
    duplicate_permille: 40,
    max_delay: Duration::from_millis(60),
};

pub const SYNC_TIME: Duration = Duration::from_millis(2);
/// Time at which all clocks agree.
const START: Timestamp = Timestamp::from_secs(1);

/// A scheduled event of an instance.
enum Job {
    Deliver(Message),
    /// Timer of the process with this generation.
    Wake(u64),
    /// Discovery of peers by the process with this generation.
    Discover(u64),
    /// Write and sync of the process with this generation.
    Write(u64, Persist),
}

/// An instance: its disk, and its process while it runs.
pub struct Node {
    pub disk: FaultyDisk,
    pub incarnation: u64,
    pub process: Option<Process>,
    /// Number of starts. Timers and writes of an earlier process are dropped.
    generation: u64,
    paused_until: Timestamp,
    /// End of the last write; writes complete in order.
    disk_busy_until: Timestamp,
    /// Maximum duration of a sync; the minimum is half of it.
    pub sync_time: Duration,
    /// A bug of the driver: failed syncs are treated as successful.
    pub ignores_sync_failures: bool,
    /// Speed of its clock in percent of the virtual time.
    pub clock_speed_percent: u64,
}

pub struct Cluster {
    pub now: Timestamp,
    pub random: Random,
    pub network: Network,
    pub settings: Settings,
    pub nodes: BTreeMap<InstanceId, Node>,
    pub invariants: Invariants,
    pub trace: Vec<String>,
    /// Directed links that drop all messages.
    pub blocked_links: BTreeSet<(InstanceId, InstanceId)>,
    /// A bug of the driver: an emptied disk keeps its old incarnation.
    pub reuses_incarnation: bool,
    pub message_counts: BTreeMap<&'static str, u64>,
    pub sent_bytes: u64,
    /// `None` if every instance knows and reaches every other from the start.
    contacts: Option<Contacts>,
    queue: BTreeMap<(Timestamp, u64), (InstanceId, Job)>,
    last_sequence: u64,
    next_id: u64,
    initial_members: Membership,
}

pub fn instance(number: usize) -> InstanceId {
    format!("control-{number}")
        .parse()
        .expect("the name is well-formed")
}

impl Cluster {
    /// Bootstraps and starts a cluster of voters.
    pub fn new(seed: u64, voters: usize, settings: Settings) -> Self {
        let settings = Settings {
            peers: (1..=MAX_REPLICAS).map(instance).collect(),
            ..settings
        };
        Self::start_voters(seed, 1..=voters, settings, None)
    }

    /// Bootstraps and starts a cluster of voters that are each other's seeds and discover all others.
    pub fn with_discovery(seed: u64, voters: RangeInclusive<usize>, settings: Settings) -> Self {
        Self::start_voters(seed, voters, settings, Some(Contacts::default()))
    }

    fn start_voters(
        seed: u64,
        voters: RangeInclusive<usize>,
        settings: Settings,
        contacts: Option<Contacts>,
    ) -> Self {
        let initial_members = Membership::from_voters(voters.clone().map(|number| ReplicaId {
            instance: instance(number),
            incarnation: Incarnation(1),
        }));
        let mut cluster = Self {
            now: START,
            random: Random(seed),
            network: RELIABLE,
            settings,
            nodes: BTreeMap::new(),
            invariants: Invariants::default(),
            trace: Vec::new(),
            blocked_links: BTreeSet::new(),
            reuses_incarnation: false,
            message_counts: BTreeMap::new(),
            sent_bytes: 0,
            contacts,
            queue: BTreeMap::new(),
            last_sequence: 0,
            next_id: 0,
            initial_members,
        };
        voters.clone().for_each(|number| cluster.add(number, seed));
        cluster.set_seeds(&voters.clone().map(instance).collect());
        for number in voters {
            cluster.bootstrap(number);
            cluster.start(&instance(number));
        }
        cluster
    }

    /// Processes all events within a period of virtual time.
    pub fn run(&mut self, time: Duration) {
        let end = self.now + time;
        self.run_until(time, |_| false);
        self.now = end;
    }

    /// Runs until a condition holds, for at most a period of virtual time. Returns whether it holds.
    pub fn run_until(&mut self, time: Duration, holds: impl Fn(&Self) -> bool) -> bool {
        let end = self.now + time;
        while let Some(first) = self
            .queue
            .first_entry()
            .filter(|first| first.key().0 <= end)
        {
            let ((at, _), (id, job)) = first.remove_entry();
            self.now = self.now.max(at);
            self.run_job(id, job);
            if holds(self) {
                return true;
            }
        }
        false
    }

    /// Current time on an instance's clock.
    fn clock(&self, id: &InstanceId) -> Timestamp {
        let percent =
            u32::try_from(self.nodes[id].clock_speed_percent).expect("the number is small");
        START + self.now.since(START) * percent / 100
    }

    fn random_time(&mut self, limit: Duration) -> Duration {
        let micros = usize::try_from(limit.as_micros()).expect("the duration is short");
        Duration::from_micros(self.random.below(micros) as u64)
    }

    fn run_job(&mut self, id: InstanceId, job: Job) {
        let Some(node) = self.nodes.get_mut(&id) else {
            return;
        };
        if self.now < node.paused_until {
            let until = node.paused_until;
            return self.schedule(until, id, job);
        }
        let generation = node.generation;
        let Some(process) = &mut node.process else {
            return;
        };
        let event = match job {
            Job::Deliver(message) => Event::Receive(message),
            Job::Wake(started) if started == generation => Event::Wake,
            Job::Discover(started) if started == generation => return self.discover(&id),
            Job::Write(started, persist) if started == generation => {
                let written = replica_store::write(&mut process.store, &persist);
                let is_synced = written.and_then(|()| process.store.sync()).is_ok();
                if !is_synced && !node.ignores_sync_failures {
                    node.process = None;
                    return;
                }
                let write_id = persist.write_id;
                Event::Persisted { write_id }
            }
            Job::Wake(_) | Job::Discover(_) | Job::Write(..) => return,
        };
        self.handle_event(&id, event);
    }

    /// Passes an event to a replica and carries out its actions. A paused process ignores it.
    pub fn handle_event(&mut self, id: &InstanceId, event: Event) {
        let now = self.clock(id);
        let node = self.nodes.get_mut(id).expect("the instance exists");
        if self.now < node.paused_until {
            return;
        }
        if let Some(process) = &mut node.process {
            let actions = process.replica.handle(now, event);
            self.carry_out(id, actions);
        }
    }

    fn carry_out(&mut self, id: &InstanceId, actions: Vec<Action>) {
        for action in actions {
            self.record_action(id, &action);
            let half = self.nodes[id].sync_time / 2;
            let synced_at = self.now + half + self.random_time(half);
            let node = self.nodes.get_mut(id).expect("the instance exists");
            let generation = node.generation;
            let Some(process) = &mut node.process else {
                return;
            };
            match action {
                Action::Send(message) => {
                    let violation = process.durability_violation(&message);
                    self.invariants.violations.extend(violation);
                    self.transmit(message);
                }
                Action::WakeAt(at) => {
                    let percent = u32::try_from(node.clock_speed_percent.max(1))
                        .expect("the number is small");
                    let elapsed = at.since(START) * 100 / percent;
                    let at = START + elapsed + Duration::from_micros(1);
                    self.schedule(at, id.clone(), Job::Wake(generation));
                }
                Action::Persist(persist) => {
                    let at = synced_at.max(node.disk_busy_until);
                    node.disk_busy_until = at;
                    self.schedule(at, id.clone(), Job::Write(generation, persist));
                }
                Action::Apply { entries } => {
                    let own = process.replica.id().clone();
                    for entry in entries {
                        process.apply(&entry);
                        self.invariants.check_applied(&own, &entry, process.digest);
                    }
                }
                Action::ApplySnapshot(snapshot) => {
                    let (index, digest) = Process::restore(&snapshot.bytes);
                    (process.applied, process.digest) = (index, digest);
                    let own = process.replica.id().clone();
                    self.invariants.check_digest(&own, index, digest);
                }
                Action::TakeSnapshot { index } => {
                    let bytes = process.state();
                    self.handle_event(id, Event::SnapshotTaken { index, bytes });
                }
                Action::Proposed { id, index, term } => {
                    self.invariants.record_proposal(id, index, term)
                }
                Action::ProposalRefused { .. } => (),
                Action::ReadReady { id: read, .. } => {
                    let own = process.replica.id().clone();
                    self.invariants.check_read(&own, read, process.applied);
                }
                Action::ReadRefused { id: read, .. } => self.invariants.record_refused_read(read),
                Action::RoleChanged { role, term, .. } => {
                    if role == RoleName::Leader {
                        self.invariants.record_leader(process.replica.id(), term);
                    }
                }
                Action::MessageRefused { .. } => (),
            }
        }
    }

    fn record_action(&mut self, id: &InstanceId, action: &Action) {
        if let Some(line) = trace::describe_action(action) {
            let at = self.now;
            self.trace.push(format!("{at} {id}: {line}"));
        }
    }

    /// Adds a step of the test to the trace.
    pub fn annotate(&mut self, text: &str) {
        let at = self.now;
        self.trace.push(format!("{at} -- {text}"));
    }

    fn transmit(&mut self, message: Message) {
        *self
            .message_counts
            .entry(trace::message_kind(&message.body))
            .or_default() += 1;
        let bytes = postcard::to_stdvec(&message).expect("messages can be encoded");
        self.sent_bytes += bytes.len() as u64;
        let pair = (message.from.instance.clone(), message.to.clone());
        let is_unknown = |contacts: &Contacts| !contacts.knows(&pair.0, &pair.1);
        if self.contacts.as_ref().is_some_and(is_unknown) {
            return;
        }
        if self.blocked_links.contains(&pair)
            || self.random.below(1_000) < self.network.loss_permille
        {
            return;
        }
        let copies = 1 + usize::from(self.random.below(1_000) < self.network.duplicate_permille);
        for _ in 0..copies {
            let delay = Duration::from_micros(200) + self.random_time(self.network.max_delay);
            let decoded = postcard::from_bytes(&bytes).expect("messages can be decoded");
            self.schedule(self.now + delay, message.to.clone(), Job::Deliver(decoded));
        }
    }

    fn schedule(&mut self, at: Timestamp, id: InstanceId, job: Job) {
        self.last_sequence += 1;
        self.queue.insert((at, self.last_sequence), (id, job));
    }

    /// Proposes a command to an instance.
    pub fn propose(&mut self, id: &InstanceId, text: impl Into<String>) {
        self.next_id += 1;
        let bytes = text.into().into_bytes();
        let proposal = ProposalId(self.next_id);
        self.invariants
            .pending_proposals
            .insert(proposal, bytes.clone());
        self.handle_event(
            id,
            Event::Propose {
                id: proposal,
                bytes,
            },
        );
    }

    /// Requests a linearizable read from an instance.
    pub fn read(&mut self, id: &InstanceId) {
        self.next_id += 1;
        let read = ReadId(self.next_id);
        self.invariants.record_read(read);
        self.handle_event(id, Event::Read { id: read });
    }

    /// The running leader with the highest term.
    pub fn leader(&self) -> Option<InstanceId> {
        self.running()
            .filter(|(_, process)| process.replica.role() == RoleName::Leader)
            .max_by_key(|(_, process)| process.replica.term())
            .map(|(id, _)| id.clone())
    }

    pub fn running(&self) -> impl Iterator<Item = (&InstanceId, &Process)> {
        self.nodes
            .iter()
            .filter_map(|(id, node)| node.process.as_ref().map(|process| (id, process)))
    }

    pub fn process(&self, id: &InstanceId) -> &Process {
        self.nodes[id].process.as_ref().expect("the process runs")
    }

    /// Runs until there is a leader.
    ///
    /// # Panics
    ///
    /// If none is elected within a minute of virtual time.
    pub fn run_to_leader(&mut self) -> InstanceId {
        for _ in 0..600 {
            if let Some(leader) = self.leader() {
                return leader;
            }
            self.run(Duration::from_millis(100));
        }
        panic!("no leader was elected within a minute");
    }

    /// Whether the current incarnations of all instances are committed voters.
    pub fn all_instances_vote(&self) -> bool {
        let Some(leader) = self.leader() else {
            return false;
        };
        let voters = &self.process(&leader).replica.committed_membership().voters;
        self.nodes.iter().all(|(id, node)| {
            voters.contains(&ReplicaId {
                instance: id.clone(),
                incarnation: Incarnation(node.incarnation),
            })
        })
    }
}
