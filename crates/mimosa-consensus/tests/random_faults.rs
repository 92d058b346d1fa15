//! Safety and recovery under random faults: message loss, delay, duplication and reordering,
//! partitions, paused processes, crashes that lose unsynced writes, and lost disks. Runs are
//! deterministic: the same seed gives the same run.

#[path = "support/cluster.rs"]
mod cluster;
#[path = "support/random_faults.rs"]
mod random_faults;

use std::panic;
use std::time::Duration;

use googletest::prelude::*;

use mimosa_consensus::InjectedBug;
use mimosa_consensus::Settings;

use crate::random_faults::RandomFaults;

#[googletest::test]
fn three_voters_violate_no_invariant_under_random_faults() {
    let faults = RandomFaults::default();
    for seed in 0..60 {
        expect_that!(faults.run(seed), is_empty(), "seed {seed}");
    }
}

#[googletest::test]
fn five_voters_violate_no_invariant_under_random_faults() {
    let faults = RandomFaults {
        voters: 5,
        ..RandomFaults::default()
    };
    for seed in 100..115 {
        expect_that!(faults.run(seed), is_empty(), "seed {seed}");
    }
}

#[googletest::test]
fn reads_with_leases_violate_no_invariant_under_random_faults() {
    let faults = RandomFaults {
        settings: Settings {
            lease: Some(Duration::from_millis(900)),
            ..RandomFaults::default().settings
        },
        drift_percent: 4,
        ..RandomFaults::default()
    };
    for seed in 200..230 {
        expect_that!(faults.run(seed), is_empty(), "seed {seed}");
    }
}

/// Guards against faults too mild to expose a bug.
#[googletest::test]
fn injected_bugs_are_detected_under_random_faults() {
    for bug in [
        InjectedBug::VoteForAnyLog,
        InjectedBug::VoteWithoutPersist,
        InjectedBug::AckBeforeSync,
    ] {
        let faults = RandomFaults {
            settings: Settings {
                injected_bugs: vec![bug],
                ..RandomFaults::default().settings
            },
            ..RandomFaults::default()
        };
        let detected = (0..60).find(|seed| {
            panic::catch_unwind(|| faults.run(*seed)).map_or(true, |failures| !failures.is_empty())
        });
        println!("{bug:?}: first detected with seed {detected:?}");
        expect_that!(detected, some(anything()), "{bug:?}");
    }
}
