//! Voter replacement: a leader keeps the configured number of voters; further instances stay learners
//! and replace voters that became unreachable.

#[path = "support/cluster.rs"]
mod cluster;

use std::time::Duration;

use googletest::prelude::*;

use mimosa_consensus::Settings;
use mimosa_consensus::VoterPolicy;
use mimosa_protocol::InstanceId;

use crate::cluster::Cluster;
use crate::cluster::instance;

const SECOND: Duration = Duration::from_secs(1);

fn settings() -> Settings {
    Settings {
        voter_policy: Some(VoterPolicy {
            voters: 3,
            replace_voter_after: 2 * SECOND,
            remove_learner_after: 30 * SECOND,
        }),
        ..Settings::default()
    }
}

/// A cluster of three initial voters and a fourth instance that joined.
fn cluster_of_four(seed: u64) -> Cluster {
    let mut cluster = Cluster::new(seed, 3, settings());
    cluster.run_to_leader();
    cluster.add(4, seed);
    cluster.start(&instance(4));
    cluster.run(5 * SECOND);
    cluster
}

fn voters(cluster: &Cluster) -> Vec<InstanceId> {
    let leader = cluster.leader().expect("there is a leader");
    let members = cluster.process(&leader).replica.committed_membership();
    members
        .voters
        .iter()
        .map(|id| id.instance.clone())
        .collect()
}

#[googletest::test]
fn an_instance_beyond_the_target_stays_a_learner() {
    let cluster = cluster_of_four(1);
    let names = [instance(1), instance(2), instance(3)];
    expect_that!(voters(&cluster), container_eq(names));
    expect_that!(cluster.invariants.violations, is_empty());
}

#[googletest::test]
fn a_learner_replaces_a_crashed_voter() {
    for seed in 0..20 {
        let mut cluster = cluster_of_four(seed);
        let leader = cluster.leader().unwrap();
        let lost = (1..=3).map(instance).find(|id| *id != leader).unwrap();
        cluster.crash(&lost);
        cluster.run(6 * SECOND);
        expect_false!(voters(&cluster).contains(&lost), "seed {seed}");
        expect_that!(voters(&cluster), len(eq(3)), "seed {seed}");
        // The cluster then tolerates a second loss.
        let leader = cluster.leader().unwrap();
        cluster.crash(&leader);
        cluster.run(5 * SECOND);
        let next = cluster.leader().unwrap();
        cluster.propose(&next, "after two losses");
        cluster.run(SECOND);
        expect_that!(cluster.invariants.acknowledged, len(eq(1)), "seed {seed}");
        expect_that!(cluster.invariants.violations, is_empty());
    }
}

#[googletest::test]
fn a_replaced_voter_becomes_a_member_again_when_it_reconnects() {
    for seed in 0..20 {
        let mut cluster = cluster_of_four(seed);
        let leader = cluster.leader().unwrap();
        cluster.isolate(std::slice::from_ref(&leader));
        cluster.run(8 * SECOND);
        cluster.heal();
        cluster.run(8 * SECOND);
        let new_leader = cluster.leader().expect("there is a leader");
        let members = cluster.process(&new_leader).replica.committed_membership();
        expect_true!(
            members.all().any(|id| id.instance == leader),
            "seed {seed}: {members}"
        );
        expect_that!(members.voters.len(), eq(3), "seed {seed}: {members}");
        expect_that!(cluster.invariants.violations, is_empty());
    }
}

#[googletest::test]
fn a_partition_into_halves_leaves_a_quorum_on_one_side() {
    let mut cluster = cluster_of_four(3);
    cluster.isolate(&[instance(1), instance(4)]);
    cluster.run(8 * SECOND);
    let leader = cluster.leader().expect("one side has a leader");
    cluster.propose(&leader, "during the partition");
    cluster.run(SECOND);
    expect_that!(cluster.invariants.acknowledged, len(eq(1)));
    expect_that!(cluster.invariants.violations, is_empty());
}
