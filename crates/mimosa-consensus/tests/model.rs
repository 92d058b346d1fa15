//! Bounded model checking, with bounds small enough for CI. `examples/model_check.rs` has larger
//! ones.

#[path = "support/model.rs"]
mod model;

use googletest::prelude::*;

use mimosa_consensus::InjectedBug;
use mimosa_consensus::Settings;

use crate::model::Bounds;
use crate::model::Outcome;
use crate::model::search;

/// Searches without pre-votes, which only add messages before an election.
fn search_with(bug: Option<InjectedBug>, bounds: Bounds, max_states: usize) -> Outcome {
    let settings = Settings {
        injected_bugs: bug.into_iter().chain([InjectedBug::NoPreVote]).collect(),
        ..Settings::default()
    };
    let outcome = search(&settings, bounds, max_states);
    println!(
        "{bug:?} {bounds:?}: {} states, exhausted: {}",
        outcome.states, outcome.is_exhausted
    );
    if let Some((text, steps)) = &outcome.violation {
        println!("{text} after");
        steps.iter().for_each(|step| println!("  {step}"));
    }
    outcome
}

#[googletest::test]
fn one_election_and_one_command_violate_no_invariant_in_any_state() {
    let bounds = Bounds {
        timeouts: 1,
        proposals: 1,
        crashes: 0,
        cuts: 1,
        slow_syncs: false,
    };
    let outcome = search_with(None, bounds, 20_000);
    expect_that!(outcome.violation, none());
    expect_true!(outcome.is_exhausted);
    expect_that!(outcome.highest_commit, eq(2));
}

#[googletest::test]
fn concurrent_elections_violate_no_invariant_in_the_first_states() {
    let bounds = Bounds {
        timeouts: 2,
        proposals: 1,
        crashes: 1,
        cuts: 0,
        slow_syncs: true,
    };
    let outcome = search_with(None, bounds, 4_000);
    expect_that!(outcome.violation, none());
}

#[googletest::test]
fn a_vote_sent_before_its_sync_is_detected() {
    let bounds = Bounds {
        timeouts: 2,
        proposals: 0,
        crashes: 1,
        cuts: 0,
        slow_syncs: true,
    };
    let outcome = search_with(Some(InjectedBug::VoteWithoutPersist), bounds, 40_000);
    expect_that!(outcome.violation, some(anything()));
}

#[googletest::test]
fn a_vote_for_a_stale_log_is_detected() {
    let bounds = Bounds {
        timeouts: 2,
        proposals: 0,
        crashes: 0,
        cuts: 0,
        slow_syncs: false,
    };
    let outcome = search_with(Some(InjectedBug::VoteForAnyLog), bounds, 40_000);
    expect_that!(outcome.violation, some(anything()));
}
