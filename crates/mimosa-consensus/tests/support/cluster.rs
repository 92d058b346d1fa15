//! Drives replicas over a seeded network and seeded disks in memory, on one thread and one clock.

#![allow(dead_code, reason = "each test file uses its part")]

#[path = "checks.rs"]
pub mod checks;
#[path = "faults.rs"]
mod faults;
#[path = "process.rs"]
mod process;
#[path = "trace.rs"]
pub mod trace;

use std::collections::BTreeMap;
use std::collections::BTreeSet;
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
use mimosa_storage::replica as glue;

use self::checks::Checks;
use self::process::Process;

/// How the network treats a message. Chances are in a thousand.
#[derive(Clone, Copy)]
pub struct Network {
    pub loss: usize,
    pub repeat: usize,
    /// Longest delay; messages overtake each other within it.
    pub delay: Duration,
}

pub const CALM: Network = Network {
    loss: 0,
    repeat: 0,
    delay: Duration::from_millis(1),
};

pub const ROUGH: Network = Network {
    loss: 80,
    repeat: 40,
    delay: Duration::from_millis(60),
};

pub const SYNC_TIME: Duration = Duration::from_millis(2);
/// When all clocks show the same.
const START: Timestamp = Timestamp::from_secs(1);

enum Job {
    Deliver(Message),
    Wake(u64),
    Write(u64, Persist),
}

/// One instance: its disk, and the process if it runs.
pub struct Node {
    pub disk: FaultyDisk,
    pub incarnation: u64,
    pub process: Option<Process>,
    /// Counts starts, so that what was meant for an earlier process is dropped.
    life: u64,
    frozen_until: Timestamp,
    /// Writes end in their order.
    disk_busy_until: Timestamp,
    /// Longest time that a sync takes; the shortest is half of it.
    pub sync_time: Duration,
    /// Whether it takes a failed sync for a good one: a flaw of the driver.
    pub ignores_failures: bool,
    /// How fast its clock runs, in hundredths of the true time.
    pub clock_percent: u64,
}

pub struct Cluster {
    pub now: Timestamp,
    pub random: Random,
    pub network: Network,
    pub settings: Settings,
    pub nodes: BTreeMap<InstanceId, Node>,
    pub checks: Checks,
    pub trace: Vec<String>,
    /// Pairs that cannot reach each other.
    pub cut: BTreeSet<(InstanceId, InstanceId)>,
    /// A flaw of the driver: an emptied disk comes back under its old name.
    pub forgets_incarnation: bool,
    pub sent: BTreeMap<&'static str, u64>,
    pub sent_bytes: u64,
    queue: BTreeMap<(Timestamp, u64), (InstanceId, Job)>,
    order: u64,
    next_id: u64,
    founders: Membership,
}

pub fn instance(number: usize) -> InstanceId {
    format!("control-{number}")
        .parse()
        .expect("a well-formed name")
}

impl Cluster {
    /// Founds a cluster of some voters.
    pub fn new(seed: u64, voters: usize, settings: Settings) -> Self {
        let settings = Settings {
            peers: (1..=MAX_REPLICAS).map(instance).collect(),
            ..settings
        };
        let founders = Membership::from_voters((1..=voters).map(|number| ReplicaId {
            instance: instance(number),
            incarnation: Incarnation(1),
        }));
        let mut cluster = Self {
            now: START,
            random: Random(seed),
            network: CALM,
            settings,
            nodes: BTreeMap::new(),
            checks: Checks::default(),
            trace: Vec::new(),
            cut: BTreeSet::new(),
            forgets_incarnation: false,
            sent: BTreeMap::new(),
            sent_bytes: 0,
            queue: BTreeMap::new(),
            order: 0,
            next_id: 0,
            founders,
        };
        (1..=voters).for_each(|number| cluster.add(number, seed));
        for number in 1..=voters {
            cluster.found(number);
            cluster.start(&instance(number));
        }
        cluster
    }

    /// Runs all that happens within some time.
    pub fn run(&mut self, time: Duration) {
        let end = self.now + time;
        self.run_until(time, |_| false);
        self.now = end;
    }

    /// Runs until something holds, for some time at most. Returns whether it holds.
    pub fn run_until(&mut self, time: Duration, holds: impl Fn(&Self) -> bool) -> bool {
        let end = self.now + time;
        while let Some(first) = self
            .queue
            .first_entry()
            .filter(|first| first.key().0 <= end)
        {
            let ((at, _), (id, job)) = first.remove_entry();
            self.now = self.now.max(at);
            self.work(id, job);
            if holds(self) {
                return true;
            }
        }
        false
    }

    /// The time that an instance's clock shows.
    fn clock(&self, id: &InstanceId) -> Timestamp {
        let percent = u32::try_from(self.nodes[id].clock_percent).expect("a small number");
        START + self.now.since(START) * percent / 100
    }

    fn random_time(&mut self, limit: Duration) -> Duration {
        let micros = usize::try_from(limit.as_micros()).expect("a short time");
        Duration::from_micros(self.random.below(micros) as u64)
    }

    fn work(&mut self, id: InstanceId, job: Job) {
        let Some(node) = self.nodes.get_mut(&id) else {
            return;
        };
        if self.now < node.frozen_until {
            let until = node.frozen_until;
            return self.push(until, id, job);
        }
        let life = node.life;
        let Some(process) = &mut node.process else {
            return;
        };
        let event = match job {
            Job::Deliver(message) => Event::Receive(message),
            Job::Wake(of) if of == life => Event::Wake,
            Job::Write(of, persist) if of == life => {
                let written = glue::write(&mut process.store, &persist);
                let is_synced = written.and_then(|()| process.store.sync()).is_ok();
                if !is_synced && !node.ignores_failures {
                    node.process = None;
                    return;
                }
                let write_id = persist.write_id;
                Event::Persisted { write_id }
            }
            Job::Wake(_) | Job::Write(..) => return,
        };
        self.tell(&id, event);
    }

    /// Hands an event to a replica and does what it asks for. A frozen process takes none.
    pub fn tell(&mut self, id: &InstanceId, event: Event) {
        let now = self.clock(id);
        let node = self.nodes.get_mut(id).expect("a known instance");
        if self.now < node.frozen_until {
            return;
        }
        if let Some(process) = &mut node.process {
            let actions = process.replica.handle(now, event);
            self.act(id, actions);
        }
    }

    fn act(&mut self, id: &InstanceId, actions: Vec<Action>) {
        for action in actions {
            self.note(id, &action);
            let half = self.nodes[id].sync_time / 2;
            let synced_at = self.now + half + self.random_time(half);
            let node = self.nodes.get_mut(id).expect("a known instance");
            let life = node.life;
            let Some(process) = &mut node.process else {
                return;
            };
            match action {
                Action::Send(message) => {
                    let broken = process.broken_promise(&message);
                    self.checks.violations.extend(broken);
                    self.post(message);
                }
                Action::WakeAt(at) => {
                    let percent = u32::try_from(node.clock_percent.max(1)).expect("a small number");
                    let shown = at.since(START) * 100 / percent;
                    let at = START + shown + Duration::from_micros(1);
                    self.push(at, id.clone(), Job::Wake(life));
                }
                Action::Persist(persist) => {
                    let at = synced_at.max(node.disk_busy_until);
                    node.disk_busy_until = at;
                    self.push(at, id.clone(), Job::Write(life, persist));
                }
                Action::Apply { entries } => {
                    let own = process.replica.id().clone();
                    for entry in entries {
                        process.apply(&entry);
                        self.checks.applied(&own, &entry, process.digest);
                    }
                }
                Action::ApplySnapshot(snapshot) => {
                    let (index, digest) = Process::restore(&snapshot.bytes);
                    (process.applied, process.digest) = (index, digest);
                    let own = process.replica.id().clone();
                    self.checks.has_digest(&own, index, digest);
                }
                Action::TakeSnapshot { index } => {
                    let bytes = process.state();
                    self.tell(id, Event::SnapshotTaken { index, bytes });
                }
                Action::Proposed { id, index, term } => self.checks.proposes(id, index, term),
                Action::ProposalRefused { .. } => (),
                Action::ReadReady { id: read, .. } => {
                    let own = process.replica.id().clone();
                    self.checks.answers(&own, read, process.applied);
                }
                Action::ReadRefused { id: read, .. } => self.checks.gave_up(read),
                Action::RoleChanged { role, term, .. } => {
                    if role == RoleName::Leader {
                        self.checks.leads(process.replica.id(), term);
                    }
                }
                Action::MessageRefused { .. } => (),
            }
        }
    }

    fn note(&mut self, id: &InstanceId, action: &Action) {
        if let Some(line) = trace::line(action) {
            let at = self.now;
            self.trace.push(format!("{at} {id}: {line}"));
        }
    }

    /// Notes what the test does itself.
    pub fn say(&mut self, text: &str) {
        let at = self.now;
        self.trace.push(format!("{at} -- {text}"));
    }

    fn post(&mut self, message: Message) {
        *self.sent.entry(trace::kind(&message.body)).or_default() += 1;
        let bytes = postcard::to_stdvec(&message).expect("messages can be encoded");
        self.sent_bytes += bytes.len() as u64;
        let pair = (message.from.instance.clone(), message.to.clone());
        if self.cut.contains(&pair) || self.random.below(1_000) < self.network.loss {
            return;
        }
        let copies = 1 + usize::from(self.random.below(1_000) < self.network.repeat);
        for _ in 0..copies {
            let delay = Duration::from_micros(200) + self.random_time(self.network.delay);
            let decoded = postcard::from_bytes(&bytes).expect("messages can be decoded");
            self.push(self.now + delay, message.to.clone(), Job::Deliver(decoded));
        }
    }

    fn push(&mut self, at: Timestamp, id: InstanceId, job: Job) {
        self.order += 1;
        self.queue.insert((at, self.order), (id, job));
    }

    /// Proposes a command at an instance.
    pub fn propose(&mut self, id: &InstanceId, text: impl Into<String>) {
        self.next_id += 1;
        let bytes = text.into().into_bytes();
        let proposal = ProposalId(self.next_id);
        self.checks.asked.insert(proposal, bytes.clone());
        self.tell(
            id,
            Event::Propose {
                id: proposal,
                bytes,
            },
        );
    }

    /// Asks an instance for a current state.
    pub fn read(&mut self, id: &InstanceId) {
        self.next_id += 1;
        let read = ReadId(self.next_id);
        self.checks.asks(read);
        self.tell(id, Event::Read { id: read });
    }

    /// The running leader of the highest term.
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
        self.nodes[id].process.as_ref().expect("it runs")
    }

    /// Runs until there is a leader; gives up after a minute.
    pub fn run_to_leader(&mut self) -> InstanceId {
        for _ in 0..600 {
            if let Some(leader) = self.leader() {
                return leader;
            }
            self.run(Duration::from_millis(100));
        }
        panic!("no leader within a minute");
    }

    /// Whether the current lives of all instances are committed voters.
    pub fn is_whole(&self) -> bool {
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
