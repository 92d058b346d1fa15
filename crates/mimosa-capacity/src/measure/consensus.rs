//! The replicated log: what a leader sends while idle and for each command. No disk, no delay.

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
const COMMANDS: usize = 500;
const IDLE: Duration = Duration::from_secs(20);
const STEP: Duration = Duration::from_millis(10);

pub(crate) fn measures() -> Vec<Measure> {
    let idle = REPLICAS.map(|replicas| {
        let mut cluster = Cluster::new(replicas);
        cluster.run(IDLE);
        let secs = IDLE.as_secs_f64();
        (
            replicas,
            cluster.leader_bytes / secs,
            cluster.messages / secs,
        )
    });
    let busy = REPLICAS.map(|replicas| (replicas, commands(replicas, 300)));
    let sizes = COMMAND_BYTES.map(|bytes| (bytes, commands(3, bytes)));
    vec![
        Measure::new(
            "log, idle, sent by the leader (B/s)",
            "replicas",
            idle.map(|of| (of.0, of.1)),
        ),
        Measure::new(
            "log, idle, all messages (1/s)",
            "replicas",
            idle.map(|of| (of.0, of.2)),
        ),
        Measure::new(
            "log, command of 300 B, sent by the leader (B)",
            "replicas",
            busy.map(|(size, of)| (size, of.leader_bytes)),
        ),
        Measure::new(
            "log, command of 300 B, all replicas (CPU µs)",
            "replicas",
            busy.map(|(size, of)| (size, of.micros)),
        ),
        Measure::new(
            "log, command, sent by the leader of 3 (B)",
            "bytes of the command",
            sizes.map(|(size, of)| (size, of.leader_bytes)),
        ),
    ]
}

#[derive(Clone, Copy)]
struct Cost {
    leader_bytes: f64,
    micros: f64,
}

/// The cost of one of many commands that come one by one.
fn commands(replicas: usize, bytes: usize) -> Cost {
    let mut cluster = Cluster::new(replicas);
    let mut proposed = 0;
    let micros = meter::micros_each(|| {
        for _ in 0..COMMANDS {
            cluster.propose(proposed, bytes);
            proposed += 1;
        }
        COMMANDS
    });
    let leader_bytes = cluster.leader_bytes / proposed as f64;
    // Followers learn of the last commit with the next heartbeat.
    cluster.run(Duration::from_millis(200));
    assert_eq!(
        cluster.applied as u64,
        proposed * replicas as u64,
        "every command is applied everywhere"
    );
    Cost {
        leader_bytes,
        micros,
    }
}

struct Cluster {
    now: Timestamp,
    ids: Vec<ReplicaId>,
    replicas: Vec<Replica>,
    wakes: Vec<Option<Timestamp>>,
    under_way: VecDeque<Message>,
    leader_bytes: f64,
    messages: f64,
    applied: usize,
}

impl Cluster {
    /// A cluster with a leader, its counters at zero.
    fn new(size: usize) -> Self {
        let ids: Vec<ReplicaId> = (0..size)
            .map(|index| ReplicaId {
                instance: format!("control-{index}").parse().expect("a name"),
                incarnation: Incarnation(1),
            })
            .collect();
        let membership = Membership::from_voters(ids.iter().cloned());
        let now = Timestamp::from_secs(1);
        let mut cluster = Self {
            now,
            replicas: Vec::new(),
            wakes: vec![None; size],
            under_way: VecDeque::new(),
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
            cluster.act(index, actions);
        }
        while cluster.leader().is_none() {
            cluster.run(Duration::from_millis(100));
        }
        cluster.run(Duration::from_secs(1));
        cluster.leader_bytes = 0.0;
        cluster.messages = 0.0;
        cluster.applied = 0;
        cluster
    }

    fn leader(&self) -> Option<usize> {
        let mut all = self.replicas.iter();
        all.position(|replica| replica.role() == RoleName::Leader)
    }

    fn run(&mut self, time: Duration) {
        let end = self.now + time;
        while self.now < end {
            self.now = self.now + STEP;
            for index in 0..self.replicas.len() {
                if self.wakes[index].is_some_and(|at| at <= self.now) {
                    self.wakes[index] = None;
                    self.feed(index, Event::Wake);
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
        self.feed(leader, event);
        self.deliver();
    }

    fn deliver(&mut self) {
        while let Some(message) = self.under_way.pop_front() {
            let to = self.ids.iter().position(|id| id.instance == message.to);
            let to = to.expect("messages go to replicas");
            self.feed(to, Event::Receive(message));
        }
    }

    fn feed(&mut self, index: usize, event: Event) {
        let actions = self.replicas[index].handle(self.now, event);
        self.act(index, actions);
    }

    fn act(&mut self, replica: usize, actions: Vec<Action>) {
        for action in actions {
            match action {
                Action::Send(message) => {
                    self.messages += 1.0;
                    if self.replicas[replica].role() == RoleName::Leader {
                        self.leader_bytes += encoded_bytes(&message);
                    }
                    self.under_way.push_back(message);
                }
                Action::Persist(persist) => {
                    let write_id = persist.write_id;
                    self.feed(replica, Event::Persisted { write_id });
                }
                Action::Apply { entries } => self.applied += entries.len(),
                Action::TakeSnapshot { index } => {
                    let bytes = Vec::new();
                    self.feed(replica, Event::SnapshotTaken { index, bytes });
                }
                Action::WakeAt(at) => self.wakes[replica] = Some(at),
                _ => {}
            }
        }
    }
}
