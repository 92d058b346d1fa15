//! Peer discovery: instances know their seeds and what their log names, and find each other from
//! there, whoever votes now and whichever seeds are gone.

#[path = "support/cluster.rs"]
mod cluster;

use std::collections::BTreeSet;
use std::time::Duration;

use googletest::prelude::*;

use mimosa_consensus::InjectedBug;
use mimosa_consensus::LogIndex;
use mimosa_consensus::Membership;
use mimosa_consensus::Payload;
use mimosa_consensus::Replica;
use mimosa_consensus::Settings;
use mimosa_consensus::VoterPolicy;
use mimosa_protocol::InstanceId;

use crate::cluster::Cluster;
use crate::cluster::instance;

const SECOND: Duration = Duration::from_secs(1);
/// Time in which a core that is whole again must be led: the shortest recovery time that users ask for.
const RECOVERY_TIME: Duration = Duration::from_secs(12);
const VOTERS: usize = 5;
const INSTANCES: usize = 8;
const SEEDS: usize = 3;
/// Time after which a member that is silent is replaced, with a margin.
const REPLACEMENT_TIME: Duration = Duration::from_secs(4);

fn settings(snapshot_after: u64) -> Settings {
    Settings {
        snapshot_after,
        retained_entries: 2,
        voter_policy: Some(VoterPolicy {
            voters: VOTERS,
            replace_voter_after: Duration::from_millis(1_500),
            remove_learner_after: 10 * SECOND,
        }),
        ..Settings::default()
    }
}

/// Instances of which the last ones are the seeds and the initial voters: a leader prefers the first names
/// for a vote, so that the seeds lose theirs with time.
struct Core {
    cluster: Cluster,
    seeds: BTreeSet<InstanceId>,
    /// Number of the next instance with a new name.
    next_number: usize,
    /// The newest committed membership, and its place in the log.
    committed: (LogIndex, Membership),
}

impl Core {
    fn start(seed: u64, settings: Settings) -> Self {
        let last_others = INSTANCES - SEEDS;
        let seed_numbers = last_others + 1..=INSTANCES;
        let seeds: BTreeSet<_> = seed_numbers.clone().map(instance).collect();
        let mut cluster = Cluster::with_discovery(seed, seed_numbers, settings);
        for number in 1..=last_others {
            cluster.add(number, seed);
        }
        cluster.set_seeds(&seeds);
        for number in 1..=last_others {
            cluster.start(&instance(number));
        }
        let mut core = Self {
            cluster,
            seeds,
            next_number: INSTANCES + 1,
            committed: (LogIndex::ZERO, Membership::default()),
        };
        core.run(15 * SECOND);
        core
    }

    fn run(&mut self, time: Duration) {
        self.cluster.run(time);
        self.record_committed();
    }

    fn record_committed(&mut self) {
        let running = self.cluster.running();
        let memberships =
            running.map(|(_, process)| membership_at(&process.replica, process.replica.commit()));
        let newest = memberships.max_by_key(|(index, _)| *index);
        if let Some(newest) = newest.filter(|(index, _)| *index >= self.committed.0) {
            self.committed = newest;
        }
    }

    fn names(&self) -> Vec<InstanceId> {
        self.cluster.nodes.keys().cloned().collect()
    }

    fn running_names(&self) -> Vec<InstanceId> {
        self.cluster.running().map(|(id, _)| id.clone()).collect()
    }

    fn pick(&mut self, names: &[InstanceId]) -> InstanceId {
        names[self.cluster.random.below(names.len())].clone()
    }

    /// Whether a majority of the voters is up and in touch, by each membership that may be in force: the
    /// newest committed one and all later ones in the logs of running instances.
    fn has_majority(&self) -> bool {
        self.has_majority_of(&self.running_names())
    }

    fn has_majority_of(&self, names: &[InstanceId]) -> bool {
        let processes = || {
            let running = self.cluster.running();
            running.filter(|(id, _)| names.contains(id))
        };
        let replicas: BTreeSet<_> = processes()
            .map(|(_, process)| process.replica.id().clone())
            .collect();
        let in_logs = processes()
            .map(|(_, process)| membership_at(&process.replica, process.replica.last_index()));
        let possible = in_logs.filter(|(index, _)| *index > self.committed.0);
        std::iter::once(self.committed.clone())
            .chain(possible)
            .all(|(_, membership)| membership.is_quorum(|id| replicas.contains(id)))
    }

    fn crash_all(&mut self) {
        for id in self.running_names() {
            self.cluster.crash(&id);
        }
    }

    /// Starts instances in random order until a majority of the voters runs, half of the times no seed
    /// if the others are enough.
    fn start_majority(&mut self) {
        let avoids_seeds = self.cluster.random.below(2) == 0;
        while !self.has_majority() {
            let running = self.running_names();
            let mut down = self.names();
            down.retain(|id| !running.contains(id));
            assert_that!(down, not(is_empty()), "no majority although all run");
            let no_seeds: Vec<_> = down
                .iter()
                .filter(|id| !avoids_seeds || !self.seeds.contains(*id))
                .cloned()
                .collect();
            let down = if no_seeds.is_empty() { down } else { no_seeds };
            let next = self.pick(&down);
            self.cluster.start(&next);
        }
    }

    fn start_all(&mut self) {
        for id in self.names() {
            self.cluster.start(&id);
        }
    }

    /// Instances whose disk may be lost while a majority stays.
    fn replaceable(&self) -> Vec<InstanceId> {
        let running = self.running_names();
        let has_majority_without = |id: &&InstanceId| {
            let others: Vec<_> = running.iter().filter(|each| each != id).cloned().collect();
            self.has_majority_of(&others)
        };
        running
            .iter()
            .filter(has_majority_without)
            .cloned()
            .collect()
    }

    /// Names random running instances as the seeds of all.
    fn exchange_seeds(&mut self) {
        let mut running = self.running_names();
        let mut seeds = BTreeSet::new();
        while seeds.len() < SEEDS && !running.is_empty() {
            let at = self.cluster.random.below(running.len());
            seeds.insert(running.swap_remove(at));
        }
        self.cluster.set_seeds(&seeds);
        self.seeds = seeds;
    }

    fn propose(&mut self, count: usize) {
        for number in 0..count {
            if let Some(leader) = self.cluster.leader() {
                self.cluster.propose(&leader, format!("command {number}"));
            }
            self.run(Duration::from_millis(50));
        }
    }

    /// One random disruption.
    fn disrupt(&mut self) {
        match self.cluster.random.below(9) {
            0 => {
                let names = self.running_names();
                let lost = self.pick(&names);
                self.cluster.crash(&lost);
                self.run(REPLACEMENT_TIME);
                self.cluster.start(&lost);
            }
            1 => {
                // Moves the votes away from the seeds.
                for seed in self.seeds.clone() {
                    if self.cluster.nodes.contains_key(&seed) {
                        self.cluster.crash(&seed);
                        self.run(REPLACEMENT_TIME);
                        self.cluster.start(&seed);
                        self.run(REPLACEMENT_TIME);
                    }
                }
            }
            2 => {
                let count = self.cluster.random.below(30);
                self.propose(count);
            }
            3 => {
                let names = self.replaceable();
                if !names.is_empty() {
                    let lost = self.pick(&names);
                    self.cluster.lose_disk(&lost);
                    self.run(REPLACEMENT_TIME);
                    self.cluster.start(&lost);
                }
            }
            4 => self.replace_any(),
            5 => self.exchange_seeds(),
            6 => {
                self.crash_all();
                self.start_all();
            }
            7 => {
                self.crash_all();
                self.start_majority();
            }
            _ => {
                let names = self.running_names();
                let count = 1 + self.cluster.random.below(2);
                let group: BTreeSet<_> = (0..count).map(|_| self.pick(&names)).collect();
                self.cluster.isolate(&group.into_iter().collect::<Vec<_>>());
                self.run(REPLACEMENT_TIME);
                self.cluster.heal();
            }
        }
    }

    /// Removes a random instance for good and adds one with a new name. Often the settings still name the
    /// old one as a seed.
    fn replace_any(&mut self) {
        let names = self.replaceable();
        if names.is_empty() {
            return;
        }
        let removed = self.pick(&names);
        self.replace(&removed);
        if self.cluster.random.below(2) == 0 {
            self.exchange_seeds();
        }
    }

    fn replace(&mut self, removed: &InstanceId) {
        self.cluster.lose_disk(removed);
        self.cluster.nodes.remove(removed);
        let number = self.next_number;
        self.next_number += 1;
        self.cluster.add(number, number as u64);
        let seeds = self.seeds.clone();
        self.cluster.set_seeds(&seeds);
        self.cluster.start(&instance(number));
    }

    /// The members that the leader has committed.
    fn members(&self) -> Membership {
        let leader = self.cluster.leader().expect("an instance leads");
        let replica = &self.cluster.process(&leader).replica;
        replica.committed_membership().clone()
    }

    /// Returns whether an instance leads, within the recovery time, and commits a command.
    fn recovers(&mut self) -> bool {
        let is_led = self.cluster.run_until(RECOVERY_TIME, |cluster| {
            cluster.leader().is_some_and(|leader| {
                let replica = &cluster.process(&leader).replica;
                let start = replica.leadership_start();
                start.is_some_and(|start| replica.commit() >= start)
            })
        });
        self.record_committed();
        is_led
    }
}

/// The membership in force at a place in the log, and the place of its entry.
fn membership_at(replica: &Replica, to: LogIndex) -> (LogIndex, Membership) {
    let mut index = to;
    while let Some(entry) = replica.entry(index) {
        if let Payload::Membership(membership) = &entry.payload {
            return (index, membership.clone());
        }
        index = LogIndex(index.0 - 1);
    }
    // Nothing above the base changed it.
    let base = match to == replica.commit() {
        true => replica.committed_membership().clone(),
        false => replica.membership().clone(),
    };
    (LogIndex(replica.first_index().0 - 1), base)
}

/// Plays a random session. Returns what went wrong.
fn play(seed: u64, bugs: &[InjectedBug]) -> std::result::Result<(), String> {
    let snapshot_after = [4, 16, 1_000][seed as usize % 3];
    let mut core = Core::start(
        seed,
        Settings {
            injected_bugs: bugs.to_vec(),
            ..settings(snapshot_after)
        },
    );
    for step in 0..12 {
        core.disrupt();
        if core.has_majority() && !core.recovers() {
            return Err(format!(
                "seed {seed}, step {step}: no instance leads {RECOVERY_TIME:?} after a majority of \
                 {} was up and in touch; running: {:?}, seeds: {:?}",
                core.committed.1,
                core.running_names(),
                core.seeds
            ));
        }
        core.start_all();
        core.run(SECOND);
    }
    core.exchange_seeds();
    core.crash_all();
    core.start_all();
    core.run(30 * SECOND);
    if core.cluster.leader().is_none() {
        return Err(format!("seed {seed}: no leader at the end"));
    }
    let members = core.members();
    let missing: Vec<_> = core
        .names()
        .into_iter()
        .filter(|name| !members.all().any(|id| id.instance == *name))
        .collect();
    match (
        missing.is_empty(),
        core.cluster.invariants.violations.as_slice(),
    ) {
        (true, []) => Ok(()),
        (true, violations) => Err(format!("seed {seed}: {violations:?}")),
        (false, _) => Err(format!(
            "seed {seed}: {missing:?} stayed outside of {members}"
        )),
    }
}

fn failures(seeds: std::ops::Range<u64>, bugs: &[InjectedBug]) -> Vec<String> {
    seeds.filter_map(|seed| play(seed, bugs).err()).collect()
}

/// A core whose seeds were down in turn, so that none of them votes any more; all are down now.
fn core_whose_votes_moved(seed: u64, bugs: &[InjectedBug]) -> Core {
    let mut core = Core::start(
        seed,
        Settings {
            injected_bugs: bugs.to_vec(),
            ..settings(1_000)
        },
    );
    for lost in core.seeds.clone() {
        core.cluster.crash(&lost);
        core.run(REPLACEMENT_TIME);
        core.cluster.start(&lost);
        core.run(REPLACEMENT_TIME);
    }
    let voters = core.committed.1.voters.iter();
    let voting_seeds = voters.filter(|id| core.seeds.contains(&id.instance));
    assert_that!(voting_seeds.count(), eq(0), "seed {seed}: the votes moved");
    core.crash_all();
    core
}

/// Guards against a core that stays without a leader after a restart of all, as its voters know only
/// seeds that have no vote any more.
#[googletest::test]
fn voters_that_are_no_seeds_elect_a_leader_after_a_restart_of_all() {
    for seed in 0..5 {
        let mut core = core_whose_votes_moved(seed, &[]);
        core.start_all();
        expect_true!(core.recovers(), "seed {seed}");
    }
}

#[googletest::test]
fn voters_elect_a_leader_after_a_restart_while_all_seeds_are_down() {
    for (bugs, is_led) in [
        (&[][..], true),
        (&[InjectedBug::ForgetUncommittedMembers], false),
    ] {
        for seed in 0..5 {
            let mut core = core_whose_votes_moved(seed, bugs);
            for id in core.names() {
                if !core.seeds.contains(&id) {
                    core.cluster.start(&id);
                }
            }
            expect_that!(core.recovers(), eq(is_led), "seed {seed}, bugs {bugs:?}");
        }
    }
}

/// Guards against an instance that stays outside, as all that its log names are gone and it does not ask
/// its seeds for the members.
#[googletest::test]
fn an_instance_whose_log_names_only_lost_instances_rejoins_through_its_seeds() {
    for seed in 0..5 {
        let mut core = Core::start(seed, settings(4));
        let original = core.names();
        let voters = core.committed.1.voters.iter();
        let absent = voters.map(|id| id.instance.clone()).next().unwrap();
        core.cluster.crash(&absent);
        core.run(15 * SECOND);
        for old in original.iter().filter(|id| **id != absent) {
            core.replace(old);
            core.run(15 * SECOND);
        }
        core.exchange_seeds();
        core.crash_all();
        core.start_all();
        core.run(30 * SECOND);
        let members = core.members();
        expect_true!(
            members.all().any(|id| id.instance == absent),
            "seed {seed}: {absent} is not in {members}"
        );
    }
}

#[googletest::test]
fn a_core_is_led_whenever_a_majority_of_its_voters_is_up_and_in_touch() {
    expect_that!(failures(0..40, &[]), is_empty());
}

#[googletest::test]
fn voters_that_connect_only_to_committed_members_are_detected() {
    let bugs = [InjectedBug::ForgetUncommittedMembers];
    expect_that!(failures(0..10, &bugs), not(is_empty()));
}
