//! One scenario of faults per safety property. Each scenario must pass without a bug, and must fail
//! with the injected bug that violates the property.

#[path = "support/cluster.rs"]
mod cluster;
#[path = "support/random_faults.rs"]
mod random_faults;
#[path = "support/scenarios.rs"]
mod scenarios;

use std::panic;

use googletest::prelude::*;

use mimosa_consensus::InjectedBug;

const SEEDS: u64 = 8;

/// Runs a scenario with all seeds, without and with the bug. An assertion that stops a process also
/// counts as detection.
fn check_scenario(
    bug: impl std::fmt::Debug,
    scenario: impl Fn(u64, bool) -> Vec<String> + panic::RefUnwindSafe,
) {
    for seed in 0..SEEDS {
        expect_that!(scenario(seed, false), is_empty(), "seed {seed}");
    }
    let detected: Vec<(u64, String)> = (0..SEEDS)
        .filter_map(|seed| {
            let failures = panic::catch_unwind(|| scenario(seed, true)).unwrap_or_else(|cause| {
                let text = cause.downcast_ref::<String>().cloned();
                vec![format!("stopped: {}", text.unwrap_or_default())]
            });
            failures.into_iter().next().map(|failure| (seed, failure))
        })
        .collect();
    println!("{bug:?}: detected with {} of {SEEDS} seeds", detected.len());
    if let Some((seed, failure)) = detected.first() {
        println!("  seed {seed}: {failure}");
    }
    expect_that!(detected, not(is_empty()), "{bug:?}");
}

fn check_bug(bug: InjectedBug, scenario: fn(u64, Option<InjectedBug>) -> Vec<String>) {
    check_scenario(bug, |seed, has_bug| scenario(seed, has_bug.then_some(bug)));
}

#[googletest::test]
fn a_vote_survives_a_crash() {
    check_bug(
        InjectedBug::VoteWithoutPersist,
        scenarios::crash_before_the_vote_is_synced,
    );
}

#[googletest::test]
fn an_acknowledged_entry_survives_a_crash() {
    check_bug(
        InjectedBug::AckBeforeSync,
        scenarios::crash_before_entries_are_synced,
    );
}

#[googletest::test]
fn an_entry_of_an_earlier_term_is_committed_only_with_one_of_the_current_term() {
    check_bug(
        InjectedBug::CommitOldTerm,
        scenarios::entry_of_an_earlier_term_reaches_a_quorum,
    );
}

#[googletest::test]
fn an_isolated_leader_answers_no_stale_reads() {
    check_bug(
        InjectedBug::ReadWithoutRound,
        scenarios::isolated_leader_receives_a_read,
    );
}

#[googletest::test]
fn an_isolated_leader_cannot_commit_membership_changes() {
    check_bug(
        InjectedBug::ConcurrentMembershipChanges,
        scenarios::isolated_leader_removes_the_other_members,
    );
}

#[googletest::test]
fn a_learner_votes_only_after_it_has_caught_up() {
    check_bug(
        InjectedBug::PromoteEarly,
        scenarios::learner_receives_a_snapshot_slowly,
    );
}

#[googletest::test]
fn messages_to_and_from_an_old_incarnation_are_ignored() {
    check_bug(
        InjectedBug::AcceptOldIncarnations,
        scenarios::old_incarnation_sends_a_vote_request,
    );
}

#[googletest::test]
fn a_follower_that_rejoins_after_a_partition_does_not_depose_the_leader() {
    check_bug(
        InjectedBug::NoPreVote,
        scenarios::follower_rejoins_after_a_partition,
    );
}

#[googletest::test]
fn losing_a_second_disk_right_after_the_first_is_restored_loses_nothing() {
    check_scenario(
        "a replica with an emptied disk votes under its old incarnation",
        scenarios::two_disks_are_lost_in_succession,
    );
}

#[googletest::test]
fn restarting_all_replicas_after_hundreds_of_entries_loses_nothing() {
    check_scenario("syncs without effect", scenarios::all_replicas_restart);
}

#[googletest::test]
fn a_failed_sync_loses_no_acknowledged_entry() {
    check_scenario(
        "a failed sync is treated as successful",
        scenarios::sync_fails_on_the_only_replica,
    );
}
