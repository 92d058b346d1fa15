//! Runs with random faults from a seed, followed by recovery and a check of the invariants.

#![allow(dead_code, reason = "each test file uses its part")]

use std::time::Duration;

use mimosa_consensus::Event;
use mimosa_consensus::Settings;
use mimosa_protocol::InstanceId;

use crate::cluster::Cluster;
use crate::cluster::RELIABLE;
use crate::cluster::SYNC_TIME;
use crate::cluster::UNRELIABLE;
use crate::cluster::instance;

/// Parameters of a run with random faults.
#[derive(Clone)]
pub struct RandomFaults {
    pub voters: usize,
    pub steps: usize,
    pub settings: Settings,
    /// Whether disks are lost: one at a time, each only after the previous one is restored.
    pub loses_disks: bool,
    /// Whether an emptied disk keeps its old incarnation.
    pub reuses_incarnation: bool,
    /// Maximum deviation of the clock speeds, in percent.
    pub drift_percent: u64,
}

impl Default for RandomFaults {
    fn default() -> Self {
        Self {
            voters: 3,
            steps: 60,
            settings: Settings {
                snapshot_after: 12,
                retained_entries: 4,
                max_inflight: 3,
                snapshot_chunk: mimosa_protocol::ByteSize(40),
                ..Settings::default()
            },
            loses_disks: true,
            reuses_incarnation: false,
            drift_percent: 60,
        }
    }
}

impl RandomFaults {
    /// Runs one seed; returns the failures.
    pub fn run(&self, seed: u64) -> Vec<String> {
        let mut cluster = Cluster::new(seed, self.voters, self.settings.clone());
        cluster.reuses_incarnation = self.reuses_incarnation;
        cluster.run_to_leader();
        cluster.network = UNRELIABLE;
        self.set_clocks(&mut cluster);
        for step in 0..self.steps {
            self.inject_fault(&mut cluster, step);
            let time = 50 + cluster.random.below(700) as u64;
            cluster.run(Duration::from_millis(time));
        }
        end_faults(&mut cluster);
        find_failures(&cluster)
    }

    fn set_clocks(&self, cluster: &mut Cluster) {
        let span = usize::try_from(2 * self.drift_percent + 1).expect("the number is small");
        let Cluster { nodes, random, .. } = cluster;
        for node in nodes.values_mut() {
            node.sync_time = Duration::from_millis(80);
            node.clock_speed_percent = 100 - self.drift_percent + random.below(span) as u64;
        }
    }

    fn inject_fault(&self, cluster: &mut Cluster, step: usize) {
        let target = instance(1 + cluster.random.below(self.voters));
        match cluster.random.below(15) {
            0 => cluster.crash(&target),
            10 => crash_all(cluster),
            1..=3 => cluster
                .nodes
                .keys()
                .cloned()
                .collect::<Vec<_>>()
                .iter()
                .for_each(|id| {
                    cluster.start(id);
                }),
            4 => cluster.isolate(std::slice::from_ref(&target)),
            5 => cluster.heal(),
            6 => cluster.pause(&target, Duration::from_millis(2_500)),
            7 if self.loses_disks && cluster.all_instances_vote() => cluster.lose_disk(&target),
            8 => cluster.handle_event(&target, Event::TransferLeadership),
            9 => disrupt_leader(cluster),
            _ => (),
        }
        send_requests(cluster, step);
    }
}

/// Isolates the leader, or crashes it between a write and its sync.
fn disrupt_leader(cluster: &mut Cluster) {
    let Some(leader) = cluster.leader() else {
        return;
    };
    if cluster.random.below(2) == 0 {
        cluster.isolate(&[leader]);
    } else {
        cluster.propose(&leader, "before sync");
        cluster.run(Duration::from_millis(1));
        cluster.crash(&leader);
    }
}

/// Crashes all instances at once, as a power failure does. At most one of them stays down.
fn crash_all(cluster: &mut Cluster) {
    let ids: Vec<InstanceId> = cluster.nodes.keys().cloned().collect();
    let down = cluster.random.below(ids.len() + 1);
    ids.iter().for_each(|id| cluster.crash(id));
    ids.iter()
        .enumerate()
        .filter(|(number, _)| *number != down)
        .for_each(|(_, id)| cluster.start(id));
}

/// Sends proposals and a read to every instance.
fn send_requests(cluster: &mut Cluster, step: usize) {
    let ids: Vec<InstanceId> = cluster.nodes.keys().cloned().collect();
    for id in ids {
        for number in 0..1 + cluster.random.below(3) {
            cluster.propose(&id, format!("{id} {step} {number}"));
        }
        cluster.read(&id);
    }
}

/// Ends all faults, and lets the cluster recover and commit a last command.
pub fn end_faults(cluster: &mut Cluster) {
    cluster.heal();
    cluster.network = RELIABLE;
    cluster
        .nodes
        .values_mut()
        .for_each(|node| node.sync_time = SYNC_TIME);
    let ids: Vec<InstanceId> = cluster.nodes.keys().cloned().collect();
    ids.iter().for_each(|id| cluster.start(id));
    cluster.run(Duration::from_secs(30));
    if let Some(leader) = cluster.leader() {
        cluster.propose(&leader, "last");
        cluster.read(&leader);
    }
    cluster.run(Duration::from_secs(5));
}

/// Violated invariants, replicas that did not catch up, lost commands and missing voters.
pub fn find_failures(cluster: &Cluster) -> Vec<String> {
    let mut failures = cluster.invariants.violations.clone();
    let last = cluster.invariants.last_committed();
    let behind = cluster
        .running()
        .filter(|(_, process)| process.applied != last)
        .map(|(id, process)| format!("{id} applied entries up to {} of {last}", process.applied));
    failures.extend(behind);
    failures.extend(
        cluster
            .invariants
            .lost_commands()
            .iter()
            .map(|text| format!("acknowledged command '{text}' is lost")),
    );
    if !cluster.all_instances_vote() {
        failures.push("not all instances are voters again".to_owned());
    }
    failures
}
