//! A bounded model checker: searches all states that three replicas can reach, with messages of any
//! delay on ordered links, links that are cut and lose all messages in transit, timeouts at any
//! moment, syncs of any duration, and crashes.

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

/// How often each kind of step may occur.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct Bounds {
    pub timeouts: u8,
    pub proposals: u8,
    pub crashes: u8,
    /// Cuts of a link from one replica to another. A cut loses all messages in transit on it.
    pub cuts: u8,
    /// Whether a sync may take any time. Otherwise it completes immediately.
    pub slow_syncs: bool,
}

/// Result of a search.
#[derive(Debug)]
pub struct Outcome {
    pub states: usize,
    /// Whether all states within the bounds were visited.
    pub is_exhausted: bool,
    /// The first violated invariant, and the steps that led to it.
    pub violation: Option<(String, Vec<String>)>,
    /// The highest index committed in any state.
    pub highest_commit: u64,
    /// The highest term with a leader in any state.
    pub highest_term: u64,
}

/// A replica with its disk.
#[derive(Clone)]
struct Node {
    replica: Replica,
    disk: PersistentState,
    /// Writes that are not synced, in order.
    writes: VecDeque<Persist>,
    clock: Timestamp,
    wake_at: Timestamp,
}

/// All replicas and the messages between them, with what the invariants compare.
#[derive(Clone)]
struct SystemState {
    nodes: Vec<Node>,
    /// Messages in transit on each link, in order.
    links: BTreeMap<(usize, usize), VecDeque<Message>>,
    /// How often each kind of step may still occur.
    remaining: Bounds,
    leaders: BTreeMap<Term, ReplicaId>,
    committed: BTreeMap<LogIndex, Entry>,
    violation: Option<String>,
}

/// A step of the search; replicas are given by their number, links by sender and receiver.
#[derive(Clone, Copy, Debug)]
enum Step {
    Deliver((usize, usize)),
    Cut((usize, usize)),
    Timeout(usize),
    Sync(usize),
    Crash(usize),
    Propose(usize),
}

/// Searches breadth first, visiting at most `max_states` states.
pub fn search(settings: &Settings, bounds: Bounds, max_states: usize) -> Outcome {
    let first = SystemState::new(settings, bounds);
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
    while let Some((number, state)) = queue.pop_front() {
        for step in state.steps() {
            let mut next = state.clone();
            let applied = panic::catch_unwind(AssertUnwindSafe(|| next.apply(step, settings)));
            if let Err(cause) = applied {
                let text = cause.downcast_ref::<String>().cloned();
                next.violation = Some(format!("stopped: {}", text.unwrap_or_default()));
            }
            if !seen.insert(next.digest()) {
                continue;
            }
            parents.push((number, state.describe(step)));
            outcome.record(&next);
            if let Some(violation) = next.violation.take() {
                let steps = steps_to(&parents, parents.len() - 1);
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

fn steps_to(parents: &[(usize, String)], mut at: usize) -> Vec<String> {
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
    fn record(&mut self, state: &SystemState) {
        self.states += 1;
        let commit = state.committed.keys().last().map_or(0, |index| index.0);
        self.highest_commit = self.highest_commit.max(commit);
        let term = state.leaders.keys().last().map_or(0, |term| term.0);
        self.highest_term = self.highest_term.max(term);
    }
}

fn replica_id(number: usize) -> ReplicaId {
    ReplicaId {
        instance: format!("r{number}")
            .parse()
            .expect("the name is well-formed"),
        incarnation: Incarnation(1),
    }
}

impl SystemState {
    fn new(settings: &Settings, bounds: Bounds) -> Self {
        let members = Membership::from_voters((0..3).map(replica_id));
        let mut state = Self {
            nodes: Vec::new(),
            links: BTreeMap::new(),
            remaining: bounds,
            leaders: BTreeMap::new(),
            committed: BTreeMap::new(),
            violation: None,
        };
        for number in 0..3 {
            let disk = PersistentState::bootstrap(members.clone());
            let clock = Timestamp::ZERO;
            let (replica, actions) =
                Replica::start(clock, replica_id(number), disk.clone(), settings.clone());
            state.nodes.push(Node {
                replica,
                disk,
                writes: VecDeque::new(),
                clock: clock + settings.election_timeout,
                wake_at: clock,
            });
            state.carry_out(number, actions);
        }
        state
    }

    /// All steps that are possible in this state.
    fn steps(&self) -> Vec<Step> {
        let nodes = 0..self.nodes.len();
        let leads = |number: &usize| self.nodes[*number].replica.role() == RoleName::Leader;
        let writes = |number: &usize| !self.nodes[*number].writes.is_empty();
        let deliveries = self.links.keys().copied().map(Step::Deliver);
        let cuts = self.links.keys().copied().map(Step::Cut);
        let syncs = nodes.clone().filter(writes).map(Step::Sync);
        // The replicas are identical at the start, so only the first timeout of one is tried.
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
            .chain(timeouts.filter(|_| self.remaining.timeouts > 0))
            .chain(crashes.filter(|_| self.remaining.crashes > 0))
            .chain(cuts.filter(|_| self.remaining.cuts > 0))
            .chain(proposals.filter(|_| self.remaining.proposals > 0))
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

    fn apply(&mut self, step: Step, settings: &Settings) {
        match step {
            Step::Deliver(link) => {
                let message = self.links.get_mut(&link).and_then(VecDeque::pop_front);
                self.links.retain(|_, messages| !messages.is_empty());
                self.handle_event(
                    link.1,
                    Event::Receive(message.expect("the link has a message")),
                );
            }
            Step::Cut(link) => {
                self.remaining.cuts -= 1;
                self.links.remove(&link);
            }
            Step::Timeout(number) => {
                self.remaining.timeouts -= 1;
                let node = &mut self.nodes[number];
                node.clock = node.clock.max(node.wake_at);
                self.handle_event(number, Event::Wake);
            }
            Step::Sync(number) => self.sync(number),
            Step::Crash(number) => {
                self.remaining.crashes -= 1;
                self.restart(number, settings);
            }
            Step::Propose(number) => {
                self.remaining.proposals -= 1;
                let bytes = vec![self.remaining.proposals];
                let id = ProposalId(u64::from(self.remaining.proposals));
                self.handle_event(number, Event::Propose { id, bytes });
            }
        }
        self.check_invariants();
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
        self.handle_event(number, Event::Persisted { write_id });
    }

    fn restart(&mut self, number: usize, settings: &Settings) {
        let node = &mut self.nodes[number];
        node.writes.clear();
        let (replica, actions) = Replica::start(
            node.clock,
            replica_id(number),
            node.disk.clone(),
            settings.clone(),
        );
        node.replica = replica;
        node.clock = node.clock + settings.election_timeout;
        self.carry_out(number, actions);
    }

    fn handle_event(&mut self, number: usize, event: Event) {
        let node = &mut self.nodes[number];
        let actions = node.replica.handle(node.clock, event);
        self.carry_out(number, actions);
    }

    fn carry_out(&mut self, number: usize, actions: Vec<Action>) {
        for action in actions {
            match action {
                Action::Send(message) => {
                    let to = (0..3).find(|to| replica_id(*to).instance == message.to);
                    let link = (number, to.expect("the receiver is a member"));
                    self.links.entry(link).or_default().push_back(message);
                }
                Action::Persist(persist) => self.nodes[number].writes.push_back(persist),
                Action::WakeAt(at) => self.nodes[number].wake_at = at,
                Action::RoleChanged {
                    role: RoleName::Leader,
                    term,
                    ..
                } => self.record_leader(number, term),
                _ => (),
            }
        }
        while !self.remaining.slow_syncs && !self.nodes[number].writes.is_empty() {
            self.sync(number);
        }
    }

    fn record_leader(&mut self, number: usize, term: Term) {
        let id = replica_id(number);
        let first = self.leaders.entry(term).or_insert_with(|| id.clone());
        if *first != id {
            self.violation = Some(format!("two leaders in term {term}: {first} and {id}"));
        }
    }

    /// Checks that committed entries never change, and that logs that share an entry with the same
    /// index and term are identical up to it.
    fn check_invariants(&mut self) {
        for node in &self.nodes {
            let replica = &node.replica;
            for index in (1..=replica.commit().0).map(LogIndex) {
                let Some(entry) = replica.entry(index) else {
                    continue;
                };
                let first = self.committed.entry(index).or_insert_with(|| entry.clone());
                if first != entry {
                    let text = format!(
                        "entry {index} of {} differs from the committed one",
                        replica.id()
                    );
                    self.violation = Some(text);
                }
            }
        }
        let pairs = [(0, 1), (0, 2), (1, 2)];
        if pairs.iter().any(|(a, b)| !self.logs_match(*a, *b)) {
            self.violation =
                Some("logs differ before an entry with the same index and term".to_owned());
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
        (&self.links, self.remaining, &self.leaders, &self.committed).hash(&mut hasher);
        hasher.finish()
    }
}
