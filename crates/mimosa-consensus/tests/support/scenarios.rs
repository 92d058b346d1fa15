//! Scenarios of faults in which an injected bug violates a safety property. Each returns the failures
//! found; without the bug there must be none.

use std::time::Duration;

use mimosa_consensus::Body;
use mimosa_consensus::Event;
use mimosa_consensus::InjectedBug;
use mimosa_consensus::LogIndex;
use mimosa_consensus::MembershipChange;
use mimosa_consensus::Message;
use mimosa_consensus::ProposalId;
use mimosa_consensus::ReplicaId;
use mimosa_consensus::Settings;
use mimosa_consensus::Term;
use mimosa_consensus::VoteRequest;
use mimosa_protocol::ByteSize;
use mimosa_protocol::Incarnation;
use mimosa_protocol::InstanceId;

use crate::cluster::Cluster;
use crate::cluster::SYNC_TIME;
use crate::cluster::instance;
use crate::random_faults::end_faults;
use crate::random_faults::find_failures;

const SECOND: Duration = Duration::from_secs(1);
const HOUR: Duration = Duration::from_secs(3_600);

fn settings(bug: Option<InjectedBug>) -> Settings {
    Settings {
        injected_bugs: bug.into_iter().collect(),
        ..Settings::default()
    }
}

/// A cluster that has committed a command, its leader, and the other instances.
fn start_cluster(
    seed: u64,
    voters: usize,
    settings: Settings,
) -> (Cluster, InstanceId, Vec<InstanceId>) {
    let mut cluster = Cluster::new(seed, voters, settings);
    let leader = cluster.run_to_leader();
    cluster.propose(&leader, "first");
    cluster.run(SECOND);
    let others = cluster
        .nodes
        .keys()
        .filter(|id| **id != leader)
        .cloned()
        .collect();
    (cluster, leader, others)
}

fn finish(mut cluster: Cluster) -> Vec<String> {
    end_faults(&mut cluster);
    find_failures(&cluster)
}

fn set_sync_time(cluster: &mut Cluster, id: &InstanceId, time: Duration) {
    let node = cluster.nodes.get_mut(id).expect("the instance exists");
    node.sync_time = time;
}

/// A voter's disk hangs; the voter crashes after a vote request, restarts and receives another one.
pub fn crash_before_the_vote_is_synced(seed: u64, bug: Option<InjectedBug>) -> Vec<String> {
    let (mut cluster, old, others) = start_cluster(seed, 3, settings(bug));
    cluster.isolate(std::slice::from_ref(&old));
    let slow = &others[0];
    set_sync_time(&mut cluster, slow, HOUR);
    cluster.run_until(10 * SECOND, |cluster| {
        cluster.leader().is_some_and(|leader| leader != old)
    });
    cluster.run(Duration::from_millis(20));
    cluster.heal();
    cluster.isolate(&others[1..]);
    cluster.crash(slow);
    set_sync_time(&mut cluster, slow, SYNC_TIME);
    cluster.start(slow);
    cluster.run(20 * SECOND);
    finish(cluster)
}

/// A follower's disk hangs while an entry arrives; the follower and the leader crash.
pub fn crash_before_entries_are_synced(seed: u64, bug: Option<InjectedBug>) -> Vec<String> {
    let (mut cluster, leader, others) = start_cluster(seed, 3, settings(bug));
    let (slow, isolated) = (&others[0], &others[1]);
    cluster.isolate(std::slice::from_ref(isolated));
    set_sync_time(&mut cluster, slow, HOUR);
    cluster.propose(&leader, "second");
    cluster.run(Duration::from_millis(100));
    cluster.crash(&leader);
    cluster.crash(slow);
    set_sync_time(&mut cluster, slow, SYNC_TIME);
    cluster.heal();
    cluster.start(slow);
    cluster.run(20 * SECOND);
    finish(cluster)
}

/// An entry of an earlier term reaches a quorum under a later leader, which crashes before an entry
/// of its own term does. Then a replica is elected whose entry at that index has a term in between.
pub fn entry_of_an_earlier_term_reaches_a_quorum(
    seed: u64,
    bug: Option<InjectedBug>,
) -> Vec<String> {
    let settings = Settings {
        batch_size: ByteSize(1),
        max_inflight: 1,
        ..settings(bug)
    };
    let (mut cluster, first, others) = start_cluster(seed, 5, settings);
    let index = cluster.process(&first).replica.last_index().next();
    let [follower, third, fourth, fifth] = [0, 1, 2, 3].map(|number| others[number].clone());
    cluster.isolate(&[first.clone(), follower.clone()]);
    cluster.propose(&first, "old");
    cluster.run(Duration::from_millis(50));
    cluster.crash(&first);
    cluster.crash(&follower);

    // One of the three others appends an entry at the same index, which reaches no other replica.
    cluster.run_until(10 * SECOND, |cluster| cluster.leader().is_some());
    cluster.drop_messages();
    let second = cluster.leader().unwrap_or(fifth);
    let rest: Vec<InstanceId> = [third, fourth]
        .into_iter()
        .chain([others[3].clone()])
        .filter(|id| *id != second)
        .collect();
    cluster.heal();
    cluster.isolate(std::slice::from_ref(&second));
    cluster.run(Duration::from_millis(10));
    cluster.crash(&second);

    // The old entry reaches a third replica, but no later entry does.
    cluster.crash(&rest[1]);
    cluster.heal();
    cluster.start(&first);
    cluster.start(&follower);
    cluster.run_until(20 * SECOND, |cluster| {
        cluster.leader().is_some_and(|leader| {
            let indexes: Vec<_> = cluster.process(&leader).replica.matched_indexes().collect();
            indexes
                .iter()
                .any(|(id, matched)| id.instance == rest[0] && *matched == index)
        })
    });
    cluster.drop_messages();
    cluster.crash(&first);
    cluster.crash(&follower);

    cluster.start(&second);
    cluster.start(&rest[1]);
    cluster.run(20 * SECOND);
    finish(cluster)
}

/// A leader whose clock stands still is isolated, and receives a read after the others have elected
/// a new leader.
pub fn isolated_leader_receives_a_read(seed: u64, bug: Option<InjectedBug>) -> Vec<String> {
    let (mut cluster, old, _) = start_cluster(seed, 3, settings(bug));
    let node = cluster.nodes.get_mut(&old).expect("the instance exists");
    node.clock_speed_percent = 0;
    cluster.isolate(std::slice::from_ref(&old));
    cluster.run(10 * SECOND);
    if let Some(leader) = cluster.leader() {
        cluster.propose(&leader, "second");
    }
    cluster.run(SECOND);
    cluster.read(&old);
    let node = cluster.nodes.get_mut(&old).expect("the instance exists");
    node.clock_speed_percent = 100;
    finish(cluster)
}

/// An isolated leader is asked to remove the other members, one after the other.
pub fn isolated_leader_removes_the_other_members(
    seed: u64,
    bug: Option<InjectedBug>,
) -> Vec<String> {
    let (mut cluster, leader, others) = start_cluster(seed, 3, settings(bug));
    cluster.isolate(std::slice::from_ref(&leader));
    for (number, other) in others.iter().enumerate() {
        let change = MembershipChange::Remove(ReplicaId {
            instance: other.clone(),
            incarnation: Incarnation(1),
        });
        let id = ProposalId(1_000 + number as u64);
        cluster.handle_event(&leader, Event::ChangeMembership { id, change });
    }
    cluster.run(10 * SECOND);
    finish(cluster)
}

/// A new instance receives a snapshot in small chunks over a slow network.
pub fn learner_receives_a_snapshot_slowly(seed: u64, bug: Option<InjectedBug>) -> Vec<String> {
    let settings = Settings {
        snapshot_after: 10,
        retained_entries: 1,
        snapshot_chunk: ByteSize(1),
        ..settings(bug)
    };
    let (mut cluster, leader, _) = start_cluster(seed, 3, settings);
    for number in 0..30 {
        cluster.propose(&leader, format!("change {number}"));
        cluster.run(Duration::from_millis(10));
    }
    cluster.network.max_delay = Duration::from_millis(200);
    cluster.add(4, seed);
    cluster.start(&instance(4));
    let mut failures = Vec::new();
    for _ in 0..200 {
        cluster.run(Duration::from_millis(100));
        let applied = cluster.process(&instance(4)).replica.applied();
        if cluster.all_instances_vote() && applied == LogIndex::ZERO {
            failures.push("a replica without any entry is a voter".to_owned());
            break;
        }
    }
    failures.extend(finish(cluster));
    failures
}

/// A vote request from, and one to, the incarnation of a lost disk arrive after the new incarnation
/// has joined.
pub fn old_incarnation_sends_a_vote_request(seed: u64, bug: Option<InjectedBug>) -> Vec<String> {
    let (mut cluster, leader, others) = start_cluster(seed, 3, settings(bug));
    cluster.lose_disk(&others[0]);
    cluster.start(&others[0]);
    cluster.run(20 * SECOND);
    let before = cluster.process(&leader).replica.term();
    let message = |to: &InstanceId, to_incarnation, from: &InstanceId| Message {
        from: ReplicaId {
            instance: from.clone(),
            incarnation: Incarnation(1),
        },
        to: to.clone(),
        to_incarnation: Some(Incarnation(to_incarnation)),
        term: Term(before.0 + 5),
        body: Body::Vote(VoteRequest {
            last_index: LogIndex(1_000),
            last_term: before,
            is_transfer: true,
        }),
    };
    let from_old = message(&leader, 1, &others[0]);
    let to_old = message(&others[0], 1, &others[1]);
    cluster.handle_event(&leader, Event::Receive(from_old));
    cluster.handle_event(&others[0].clone(), Event::Receive(to_old));
    cluster.run(5 * SECOND);
    let after = cluster
        .leader()
        .map(|id| cluster.process(&id).replica.term());
    let mut failures = finish(cluster);
    if after != Some(before) {
        failures.push(format!("the term changed from {before} to {after:?}"));
    }
    failures
}

/// A follower is isolated for much longer than the election timeout and reconnects.
pub fn follower_rejoins_after_a_partition(seed: u64, bug: Option<InjectedBug>) -> Vec<String> {
    let (mut cluster, leader, others) = start_cluster(seed, 3, settings(bug));
    let before = cluster.process(&leader).replica.term();
    cluster.isolate(&others[..1]);
    cluster.run(20 * SECOND);
    cluster.heal();
    cluster.run(5 * SECOND);
    let after = cluster.process(&leader).replica.term();
    let mut failures = finish(cluster);
    if after != before {
        failures.push(format!("the term changed from {before} to {after}"));
    }
    failures
}

/// A command is committed without the third replica. One of the two replicas that hold it loses its
/// disk and, as soon as that one votes again, the other does too.
pub fn two_disks_are_lost_in_succession(seed: u64, reuses_incarnation: bool) -> Vec<String> {
    let (mut cluster, leader, others) = start_cluster(seed, 3, settings(None));
    cluster.reuses_incarnation = reuses_incarnation;
    cluster.isolate(&others[1..]);
    cluster.propose(&leader, "second");
    cluster.run(SECOND);
    cluster.heal();
    cluster.lose_disk(&others[0]);
    cluster.start(&others[0]);
    cluster.run_until(60 * SECOND, Cluster::all_instances_vote);
    cluster.lose_disk(&leader);
    cluster.start(&leader);
    cluster.run(30 * SECOND);
    finish(cluster)
}

/// All replicas crash and restart after hundreds of commands. The bug is a disk that ignores syncs.
pub fn all_replicas_restart(seed: u64, ignores_syncs: bool) -> Vec<String> {
    let settings = Settings {
        snapshot_after: 100,
        ..settings(None)
    };
    let (mut cluster, leader, others) = start_cluster(seed, 3, settings);
    for node in cluster.nodes.values_mut() {
        node.disk.ignore_syncs(ignores_syncs);
    }
    for number in 0..450 {
        cluster.propose(&leader, format!("change {number}"));
        cluster.run(Duration::from_millis(5));
    }
    let ids: Vec<InstanceId> = others.into_iter().chain([leader]).collect();
    ids.iter().for_each(|id| cluster.crash(id));
    ids.iter().for_each(|id| cluster.start(id));
    cluster.run(20 * SECOND);
    let mut failures = Vec::new();
    if cluster.invariants.acknowledged.len() < 450 {
        failures.push(format!(
            "only {} commands were acknowledged",
            cluster.invariants.acknowledged.len()
        ));
    }
    let last_applied = ids.iter().map(|id| cluster.process(id).applied).max();
    if last_applied < Some(LogIndex(450)) {
        failures.push(format!(
            "the replicas restarted with entries up to {last_applied:?}"
        ));
    }
    failures.extend(finish(cluster));
    failures
}

/// A sync fails on the only replica, which is then restarted.
pub fn sync_fails_on_the_only_replica(seed: u64, ignores_sync_failures: bool) -> Vec<String> {
    let (mut cluster, only, _) = start_cluster(seed, 1, settings(None));
    let node = cluster.nodes.get_mut(&only).expect("the instance exists");
    node.ignores_sync_failures = ignores_sync_failures;
    node.disk.fail_sync_after(seed % 3);
    for number in 0..10 {
        cluster.propose(&only, format!("change {number}"));
        cluster.run(Duration::from_millis(20));
    }
    cluster.crash(&only);
    cluster.start(&only);
    finish(cluster)
}
