//! A search of all states that three replicas can reach within bounds: connections of any speed,
//! which may be cut with all that is on its way, timeouts at any moment, syncs as late as may be,
//! crashes between.

use std::collections::BTreeMap;
use std::collections::HashSet;
use std::collections::VecDeque;
use std::hash::DefaultHasher;
use std::hash::Hash;
use std::hash::Hasher;
use std::panic;
use std::panic::AssertUnwindSafe;

use mimosa_consensus::Action;
use mimosa_consensus::Entry;
use mimosa_consensus::Event;
use mimosa_consensus::LogIndex;
use mimosa_consensus::Membership;
use mimosa_consensus::Message;
use mimosa_consensus::Persist;
use mimosa_consensus::PersistentState;
use mimosa_consensus::ProposalId;
use mimosa_consensus::Replica;
use mimosa_consensus::ReplicaId;
use mimosa_consensus::RoleName;
use mimosa_consensus::Settings;
use mimosa_consensus::Term;
use mimosa_protocol::Incarnation;
use mimosa_protocol::Timestamp;

/// How often each thing may happen.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct Bounds {
    pub timeouts: u8,
    pub proposals: u8,
    pub crashes: u8,
    /// Cuts of a connection from one replica to another.
    pub cuts: u8,
    /// Whether a sync may take any time. Otherwise it is over at once.
    pub slow_syncs: bool,
}

/// What a search found.
#[derive(Debug)]
pub struct Outcome {
    pub states: usize,
    /// Whether no state within the bounds was left out.
    pub is_exhausted: bool,
    /// The first broken promise, and the steps that led to it.
    pub violation: Option<(String, Vec<String>)>,
    /// The highest index committed in any state.
    pub highest_commit: u64,
    /// The highest term with a leader in any state.
    pub highest_term: u64,
}

/// One replica with its disk.
#[derive(Clone)]
struct Node {
    replica: Replica,
    disk: PersistentState,
    writes: VecDeque<Persist>,
    clock: Timestamp,
    wake_at: Timestamp,
}

#[derive(Clone)]
struct World {
    nodes: Vec<Node>,
    /// Messages on their way, in order for each connection.
    links: BTreeMap<(usize, usize), VecDeque<Message>>,
    left: Bounds,
    leaders: BTreeMap<Term, ReplicaId>,
    committed: BTreeMap<LogIndex, Entry>,
    violation: Option<String>,
}

#[derive(Clone, Copy, Debug)]
enum Step {
    Deliver((usize, usize)),
    Cut((usize, usize)),
    Timeout(usize),
    Sync(usize),
    Crash(usize),
    Propose(usize),
}

/// Searches breadth first, up to a number of states.
pub fn search(settings: &Settings, bounds: Bounds, max_states: usize) -> Outcome {
    let first = World::new(settings, bounds);
    let mut seen = HashSet::from([first.digest()]);
    let mut parents: Vec<(usize, String)> = vec![(0, String::new())];
    let mut queue = VecDeque::from([(0, first)]);
    let mut outcome = Outcome {
        states: 1,
        is_exhausted: true,
        violation: None,
        highest_commit: 0,
        highest_term: 0,
    };
    while let Some((number, world)) = queue.pop_front() {
        for step in world.steps() {
            let mut next = world.clone();
            let taken = panic::catch_unwind(AssertUnwindSafe(|| next.take(step, settings)));
            if let Err(cause) = taken {
                let text = cause.downcast_ref::<String>().cloned();
                next.violation = Some(format!("stopped: {}", text.unwrap_or_default()));
            }
            if !seen.insert(next.digest()) {
                continue;
            }
            parents.push((number, world.describe(step)));
            outcome.note(&next);
            if let Some(violation) = next.violation.take() {
                let steps = trace(&parents, parents.len() - 1);
                outcome.violation = Some((violation, steps));
                outcome.is_exhausted = false;
                return outcome;
            }
            if outcome.states >= max_states {
                outcome.is_exhausted = false;
                return outcome;
            }
            queue.push_back((parents.len() - 1, next));
        }
    }
    outcome
}

fn trace(parents: &[(usize, String)], mut at: usize) -> Vec<String> {
    let mut steps = Vec::new();
    while at != 0 {
        let (parent, step) = &parents[at];
        steps.push(step.clone());
        at = *parent;
    }
    steps.reverse();
    steps
}

impl Outcome {
    fn note(&mut self, world: &World) {
        self.states += 1;
        let commit = world.committed.keys().last().map_or(0, |index| index.0);
        self.highest_commit = self.highest_commit.max(commit);
        let term = world.leaders.keys().last().map_or(0, |term| term.0);
        self.highest_term = self.highest_term.max(term);
    }
}

fn name(number: usize) -> ReplicaId {
    ReplicaId {
        instance: format!("r{number}").parse().expect("a well-formed name"),
        incarnation: Incarnation(1),
    }
}

impl World {
    fn new(settings: &Settings, bounds: Bounds) -> Self {
        let members = Membership::from_voters((0..3).map(name));
        let mut world = Self {
            nodes: Vec::new(),
            links: BTreeMap::new(),
            left: bounds,
            leaders: BTreeMap::new(),
            committed: BTreeMap::new(),
            violation: None,
        };
        for number in 0..3 {
            let disk = PersistentState::bootstrap(members.clone());
            let clock = Timestamp::ZERO;
            let (replica, actions) =
                Replica::start(clock, name(number), disk.clone(), settings.clone());
            world.nodes.push(Node {
                replica,
                disk,
                writes: VecDeque::new(),
                clock: clock + settings.election_timeout,
                wake_at: clock,
            });
            world.act(number, actions);
        }
        world
    }

    /// Every step that is possible now.
    fn steps(&self) -> Vec<Step> {
        let nodes = 0..self.nodes.len();
        let leads = |number: &usize| self.nodes[*number].replica.role() == RoleName::Leader;
        let writes = |number: &usize| !self.nodes[*number].writes.is_empty();
        let deliveries = self.links.keys().copied().map(Step::Deliver);
        let cuts = self.links.keys().copied().map(Step::Cut);
        let syncs = nodes.clone().filter(writes).map(Step::Sync);
        // The replicas are alike at the start: it does not matter which one begins.
        let is_start = self
            .nodes
            .iter()
            .all(|node| node.replica.term() == Term::ZERO);
        let timeouts = nodes
            .clone()
            .filter(|number| !is_start || *number == 0)
            .map(Step::Timeout);
        let crashes = nodes.clone().map(Step::Crash);
        let proposals = nodes.filter(leads).map(Step::Propose);
        deliveries
            .chain(syncs)
            .chain(timeouts.filter(|_| self.left.timeouts > 0))
            .chain(crashes.filter(|_| self.left.crashes > 0))
            .chain(cuts.filter(|_| self.left.cuts > 0))
            .chain(proposals.filter(|_| self.left.proposals > 0))
            .collect()
    }

    fn describe(&self, step: Step) -> String {
        match step {
            Step::Deliver(link) => {
                let message = &self.links[&link][0];
                format!("{} -> {}: {:?}", message.from, message.to, message.body)
            }
            Step::Cut((from, to)) => format!("r{from} -> r{to} is cut"),
            Step::Timeout(number) => format!("timeout of r{number}"),
            Step::Sync(number) => format!("sync of r{number}"),
            Step::Crash(number) => format!("crash of r{number}"),
            Step::Propose(number) => format!("proposal at r{number}"),
        }
    }

    fn take(&mut self, step: Step, settings: &Settings) {
        match step {
            Step::Deliver(link) => {
                let message = self.links.get_mut(&link).and_then(VecDeque::pop_front);
                self.links.retain(|_, messages| !messages.is_empty());
                self.tell(link.1, Event::Receive(message.expect("it is on its way")));
            }
            Step::Cut(link) => {
                self.left.cuts -= 1;
                self.links.remove(&link);
            }
            Step::Timeout(number) => {
                self.left.timeouts -= 1;
                let node = &mut self.nodes[number];
                node.clock = node.clock.max(node.wake_at);
                self.tell(number, Event::Wake);
            }
            Step::Sync(number) => self.sync(number),
            Step::Crash(number) => {
                self.left.crashes -= 1;
                self.restart(number, settings);
            }
            Step::Propose(number) => {
                self.left.proposals -= 1;
                let bytes = vec![self.left.proposals];
                let id = ProposalId(u64::from(self.left.proposals));
                self.tell(number, Event::Propose { id, bytes });
            }
        }
        self.check();
    }

    fn sync(&mut self, number: usize) {
        let node = &mut self.nodes[number];
        let Some(write) = node.writes.pop_front() else {
            return;
        };
        let write_id = write.write_id;
        if let Some(hard_state) = write.hard_state {
            node.disk.hard_state = hard_state;
        }
        if let Some(from) = write.truncate_from {
            node.disk.entries.retain(|entry| entry.index < from);
        }
        node.disk.entries.extend(write.entries);
        self.tell(number, Event::Persisted { write_id });
    }

    fn restart(&mut self, number: usize, settings: &Settings) {
        let node = &mut self.nodes[number];
        node.writes.clear();
        let (replica, actions) = Replica::start(
            node.clock,
            name(number),
            node.disk.clone(),
            settings.clone(),
        );
        node.replica = replica;
        node.clock = node.clock + settings.election_timeout;
        self.act(number, actions);
    }

    fn tell(&mut self, number: usize, event: Event) {
        let node = &mut self.nodes[number];
        let actions = node.replica.handle(node.clock, event);
        self.act(number, actions);
    }

    fn act(&mut self, number: usize, actions: Vec<Action>) {
        for action in actions {
            match action {
                Action::Send(message) => {
                    let to = (0..3).find(|to| name(*to).instance == message.to);
                    let link = (number, to.expect("a member"));
                    self.links.entry(link).or_default().push_back(message);
                }
                Action::Persist(persist) => self.nodes[number].writes.push_back(persist),
                Action::WakeAt(at) => self.nodes[number].wake_at = at,
                Action::RoleChanged {
                    role: RoleName::Leader,
                    term,
                    ..
                } => self.leads(number, term),
                _ => (),
            }
        }
        while !self.left.slow_syncs && !self.nodes[number].writes.is_empty() {
            self.sync(number);
        }
    }

    fn leads(&mut self, number: usize, term: Term) {
        let id = name(number);
        let first = self.leaders.entry(term).or_insert_with(|| id.clone());
        if *first != id {
            self.violation = Some(format!("two leaders in term {term}: {first} and {id}"));
        }
    }

    /// What is committed stays, and equal entries stand on equal logs.
    fn check(&mut self) {
        for node in &self.nodes {
            let replica = &node.replica;
            for index in (1..=replica.commit().0).map(LogIndex) {
                let Some(entry) = replica.entry(index) else {
                    continue;
                };
                let first = self.committed.entry(index).or_insert_with(|| entry.clone());
                if first != entry {
                    let text = format!("entry {index} of {} differs", replica.id());
                    self.violation = Some(text);
                }
            }
        }
        let pairs = [(0, 1), (0, 2), (1, 2)];
        if pairs.iter().any(|(a, b)| !self.logs_match(*a, *b)) {
            self.violation = Some("logs differ below an equal entry".to_owned());
        }
    }

    fn logs_match(&self, a: usize, b: usize) -> bool {
        let (a, b) = (&self.nodes[a].replica, &self.nodes[b].replica);
        let shared = (1..=a.last_index().min(b.last_index()).0).map(LogIndex);
        let is_same = |index: LogIndex| a.entry(index) == b.entry(index);
        let has_same_term = |index: LogIndex| {
            a.entry(index).map(|entry| entry.term) == b.entry(index).map(|entry| entry.term)
        };
        let last = shared.clone().rev().find(|index| has_same_term(*index));
        shared.filter(|index| Some(*index) <= last).all(is_same)
    }

    fn digest(&self) -> u64 {
        let mut hasher = DefaultHasher::new();
        for node in &self.nodes {
            node.replica.hash_state(&mut hasher);
            (&node.disk.hard_state, &node.disk.entries, &node.writes).hash(&mut hasher);
        }
        (&self.links, self.left, &self.leaders, &self.committed).hash(&mut hasher);
        hasher.finish()
    }
}
