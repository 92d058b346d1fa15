//! The replicated log: traffic of the leader while idle and per command, without disk and network
//! latency.

use std::collections::VecDeque;
use std::time::Duration;

use mimosa_consensus::Action;
use mimosa_consensus::Event;
use mimosa_consensus::Membership;
use mimosa_consensus::Message;
use mimosa_consensus::PersistentState;
use mimosa_consensus::ProposalId;
use mimosa_consensus::Replica;
use mimosa_consensus::ReplicaId;
use mimosa_consensus::RoleName;
use mimosa_consensus::Settings;
use mimosa_protocol::Incarnation;
use mimosa_protocol::Timestamp;

use crate::measure::encoded_bytes;
use crate::meter;
use crate::table::Measure;

const REPLICAS: [usize; 4] = [3, 5, 7, 9];
const COMMAND_BYTES: [usize; 4] = [100, 400, 1_600, 6_400];
const COMMANDS_PER_ITERATION: usize = 500;
const IDLE_DURATION: Duration = Duration::from_secs(20);
const CLOCK_STEP: Duration = Duration::from_millis(10);

pub(crate) fn measures() -> Vec<Measure> {
    let idle_cost = REPLICAS.map(|replicas| {
        let mut cluster = Cluster::new(replicas);
        cluster.advance(IDLE_DURATION);
        let secs = IDLE_DURATION.as_secs_f64();
        (
            replicas,
            cluster.leader_bytes / secs,
            cluster.messages / secs,
        )
    });
    let by_replicas = REPLICAS.map(|replicas| (replicas, command_cost(replicas, 300)));
    let by_size = COMMAND_BYTES.map(|bytes| (bytes, command_cost(3, bytes)));
    vec![
        Measure::new(
            "log, idle, sent by the leader (B/s)",
            "replicas",
            idle_cost.map(|cost| (cost.0, cost.1)),
        ),
        Measure::new(
            "log, idle, all messages (1/s)",
            "replicas",
            idle_cost.map(|cost| (cost.0, cost.2)),
        ),
        Measure::new(
            "log, command of 300 B, sent by the leader (B)",
            "replicas",
            by_replicas.map(|(size, cost)| (size, cost.leader_bytes)),
        ),
        Measure::new(
            "log, command of 300 B, all replicas (CPU µs)",
            "replicas",
            by_replicas.map(|(size, cost)| (size, cost.cpu_micros)),
        ),
        Measure::new(
            "log, command, sent by the leader of 3 (B)",
            "bytes of the command",
            by_size.map(|(size, cost)| (size, cost.leader_bytes)),
        ),
    ]
}

/// Bytes sent by the leader and CPU time of all replicas, per command.
#[derive(Clone, Copy)]
struct Cost {
    leader_bytes: f64,
    cpu_micros: f64,
}

/// Cost per command, for commands that are proposed one at a time.
fn command_cost(replicas: usize, bytes: usize) -> Cost {
    let mut cluster = Cluster::new(replicas);
    let mut proposed = 0;
    let cpu_micros = meter::micros_per_iteration(|| {
        for _ in 0..COMMANDS_PER_ITERATION {
            cluster.propose(proposed, bytes);
            proposed += 1;
        }
        COMMANDS_PER_ITERATION
    });
    let leader_bytes = cluster.leader_bytes / proposed as f64;
    // Followers learn the last commit index from the next heartbeat.
    cluster.advance(Duration::from_millis(200));
    assert_eq!(
        cluster.applied as u64,
        proposed * replicas as u64,
        "every command is applied everywhere"
    );
    Cost {
        leader_bytes,
        cpu_micros,
    }
}

/// Replicas with a simulated clock. Messages are delivered in order, without latency.
struct Cluster {
    now: Timestamp,
    ids: Vec<ReplicaId>,
    replicas: Vec<Replica>,
    wake_times: Vec<Option<Timestamp>>,
    in_flight: VecDeque<Message>,
    leader_bytes: f64,
    messages: f64,
    applied: usize,
}

impl Cluster {
    /// A cluster with an elected leader and reset counters.
    fn new(size: usize) -> Self {
        let ids: Vec<ReplicaId> = (0..size)
            .map(|index| ReplicaId {
                instance: format!("control-{index}").parse().expect("a valid name"),
                incarnation: Incarnation(1),
            })
            .collect();
        let membership = Membership::from_voters(ids.iter().cloned());
        let now = Timestamp::from_secs(1);
        let mut cluster = Self {
            now,
            replicas: Vec::new(),
            wake_times: vec![None; size],
            in_flight: VecDeque::new(),
            leader_bytes: 0.0,
            messages: 0.0,
            applied: 0,
            ids: ids.clone(),
        };
        let mut started = Vec::new();
        for (index, id) in ids.into_iter().enumerate() {
            let settings = Settings {
                seed: index as u64,
                ..Settings::default()
            };
            let durable = PersistentState::bootstrap(membership.clone());
            let (replica, actions) = Replica::start(now, id, durable, settings);
            cluster.replicas.push(replica);
            started.push(actions);
        }
        for (index, actions) in started.into_iter().enumerate() {
            cluster.execute(index, actions);
        }
        while cluster.leader().is_none() {
            cluster.advance(Duration::from_millis(100));
        }
        cluster.advance(Duration::from_secs(1));
        cluster.leader_bytes = 0.0;
        cluster.messages = 0.0;
        cluster.applied = 0;
        cluster
    }

    fn leader(&self) -> Option<usize> {
        let mut all = self.replicas.iter();
        all.position(|replica| replica.role() == RoleName::Leader)
    }

    fn advance(&mut self, time: Duration) {
        let end = self.now + time;
        while self.now < end {
            self.now = self.now + CLOCK_STEP;
            for index in 0..self.replicas.len() {
                if self.wake_times[index].is_some_and(|at| at <= self.now) {
                    self.wake_times[index] = None;
                    self.handle_event(index, Event::Wake);
                }
            }
            self.deliver();
        }
    }

    fn propose(&mut self, number: u64, bytes: usize) {
        let leader = self.leader().expect("there is a leader");
        let event = Event::Propose {
            id: ProposalId(number),
            bytes: vec![b'x'; bytes],
        };
        self.handle_event(leader, event);
        self.deliver();
    }

    fn deliver(&mut self) {
        while let Some(message) = self.in_flight.pop_front() {
            let to = self.ids.iter().position(|id| id.instance == message.to);
            let to = to.expect("messages go to replicas");
            self.handle_event(to, Event::Receive(message));
        }
    }

    fn handle_event(&mut self, index: usize, event: Event) {
        let actions = self.replicas[index].handle(self.now, event);
        self.execute(index, actions);
    }

    fn execute(&mut self, replica: usize, actions: Vec<Action>) {
        for action in actions {
            match action {
                Action::Send(message) => {
                    self.messages += 1.0;
                    if self.replicas[replica].role() == RoleName::Leader {
                        self.leader_bytes += encoded_bytes(&message);
                    }
                    self.in_flight.push_back(message);
                }
                Action::Persist(persist) => {
                    let write_id = persist.write_id;
                    self.handle_event(replica, Event::Persisted { write_id });
                }
                Action::Apply { entries } => self.applied += entries.len(),
                Action::TakeSnapshot { index } => {
                    let bytes = Vec::new();
                    self.handle_event(replica, Event::SnapshotTaken { index, bytes });
                }
                Action::WakeAt(at) => self.wake_times[replica] = Some(at),
                _ => {}
            }
        }
    }
}
