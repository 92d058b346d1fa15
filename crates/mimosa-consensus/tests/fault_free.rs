//! Operation without faults: elections, writes, reads, joins, removals and leadership transfer.

#[path = "support/cluster.rs"]
mod cluster;

use std::time::Duration;

use googletest::prelude::*;

use mimosa_consensus::Body;
use mimosa_consensus::Event;
use mimosa_consensus::LogIndex;
use mimosa_consensus::MembershipChange;
use mimosa_consensus::Message;
use mimosa_consensus::ProposalId;
use mimosa_consensus::ReplicaId;
use mimosa_consensus::Settings;
use mimosa_consensus::Term;
use mimosa_protocol::Incarnation;

use crate::cluster::Cluster;
use crate::cluster::instance;

const SECOND: Duration = Duration::from_secs(1);

#[googletest::test]
fn clusters_of_one_to_nine_voters_commit_and_answer_reads() {
    for voters in [1, 2, 3, 5, 9] {
        let mut cluster = Cluster::new(7, voters, Settings::default());
        let leader = cluster.run_to_leader();
        for number in 0..50 {
            cluster.propose(&leader, format!("change {number}"));
        }
        cluster.run(SECOND);
        (1..=voters).for_each(|number| cluster.read(&instance(number)));
        cluster.run(SECOND);
        expect_that!(
            cluster.invariants.acknowledged,
            len(eq(50)),
            "{voters} voters"
        );
        expect_that!(
            cluster.invariants.reads_answered,
            eq(voters),
            "{voters} voters"
        );
        expect_that!(cluster.invariants.violations, is_empty());
        let last = cluster.invariants.last_committed();
        let applied = cluster.running().map(|(_, process)| process.applied);
        expect_true!(applied.into_iter().all(|applied| applied == last));
    }
}

#[googletest::test]
fn a_sole_voter_leads_as_soon_as_its_vote_is_synced() {
    let mut cluster = Cluster::new(7, 1, Settings::default());
    cluster.run(Duration::from_millis(5));
    expect_that!(cluster.leader(), some(eq(&instance(1))));
}

#[googletest::test]
fn joining_instances_catch_up_and_become_voters() {
    let settings = Settings {
        snapshot_after: 20,
        retained_entries: 5,
        ..Settings::default()
    };
    let mut cluster = Cluster::new(3, 1, settings);
    let leader = cluster.run_to_leader();
    for number in 0..100 {
        cluster.propose(&leader, format!("change {number}"));
        cluster.run(Duration::from_millis(10));
    }
    (2..=5).for_each(|number| cluster.add(number, 3));
    for number in 2..=5 {
        cluster.start(&instance(number));
        cluster.run(10 * SECOND);
    }
    expect_true!(cluster.all_instances_vote());
    expect_that!(cluster.invariants.violations, is_empty());
}

#[googletest::test]
fn a_leadership_transfer_does_not_wait_for_the_election_timeout() {
    let mut cluster = Cluster::new(5, 3, Settings::default());
    let first = cluster.run_to_leader();
    cluster.propose(&first, "change");
    cluster.run(SECOND);
    cluster.handle_event(&first, Event::TransferLeadership);
    cluster.run(Duration::from_millis(100));
    expect_that!(cluster.leader(), some(not(eq(&first))));
}

#[googletest::test]
fn joining_as_an_instance_that_still_responds_is_refused() {
    let mut cluster = Cluster::new(5, 3, Settings::default());
    let leader = cluster.run_to_leader();
    cluster.run(SECOND);
    let before = cluster.process(&leader).replica.membership().clone();
    for number in 1..=3 {
        let join = Message {
            from: ReplicaId {
                instance: instance(number),
                incarnation: Incarnation(9),
            },
            to: leader.clone(),
            to_incarnation: None,
            term: Term::ZERO,
            body: Body::Join,
        };
        cluster.handle_event(&leader, Event::Receive(join));
    }
    cluster.run(SECOND);
    let refused = cluster
        .trace
        .iter()
        .filter(|line| line.contains("InstanceInUse"));
    expect_that!(refused.count(), eq(3));
    expect_that!(cluster.process(&leader).replica.membership(), eq(&before));
}

#[googletest::test]
fn a_follower_behind_the_compacted_log_catches_up_from_a_snapshot() {
    let settings = Settings {
        snapshot_after: 10,
        retained_entries: 2,
        max_inflight: 4,
        ..Settings::default()
    };
    let mut cluster = Cluster::new(5, 3, settings);
    let leader = cluster.run_to_leader();
    let isolated = cluster.nodes.keys().find(|id| **id != leader).cloned();
    cluster.isolate(isolated.as_slice());
    for number in 0..99 {
        cluster.propose(&leader, format!("change {number}"));
        cluster.run(Duration::from_millis(20));
    }
    cluster.heal();
    let isolated = isolated.expect("there are three instances");
    let node = cluster
        .nodes
        .get_mut(&isolated)
        .expect("the instance exists");
    node.sync_time = SECOND;
    // Reads must not be answered from the snapshot before it is synced and applied.
    for _ in 0..100 {
        cluster.read(&isolated);
        cluster.run(Duration::from_millis(50));
    }
    expect_that!(cluster.invariants.violations, is_empty());
    expect_that!(cluster.invariants.reads_answered, gt(0));
    let last = cluster.invariants.last_committed();
    expect_that!(last, eq(LogIndex(100)));
    expect_that!(cluster.process(&isolated).applied, eq(last));
}

#[googletest::test]
fn removing_members_one_by_one_leaves_a_working_sole_voter() {
    let mut cluster = Cluster::new(5, 5, Settings::default());
    for number in 0..4 {
        let leader = cluster.run_to_leader();
        cluster.propose(&leader, format!("change {number}"));
        cluster.run(SECOND);
        // Removes a leader, then a follower, and so on.
        let members = cluster.process(&leader).replica.membership().clone();
        let own = cluster.process(&leader).replica.id().clone();
        let to_remove = if number % 2 == 0 {
            Some(own)
        } else {
            members.voters.into_iter().find(|id| *id != own)
        };
        let change = MembershipChange::Remove(to_remove.clone().expect("there are other voters"));
        let id = ProposalId(1_000 + number);
        cluster.handle_event(&leader, Event::ChangeMembership { id, change });
        cluster.run(SECOND);
        let to_remove = to_remove.expect("there are other voters").instance;
        expect_that!(cluster.leader(), not(some(eq(&to_remove))));
        cluster.crash(&to_remove);
        cluster.run(5 * SECOND);
    }
    let last = cluster.run_to_leader();
    cluster.propose(&last, "last");
    cluster.run(SECOND);
    expect_that!(
        cluster.process(&last).replica.membership().voters,
        len(eq(1))
    );
    expect_that!(cluster.invariants.acknowledged, len(eq(5)));
    expect_that!(cluster.invariants.violations, is_empty());
}
