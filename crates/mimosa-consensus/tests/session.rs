//! The trace of one run from bootstrap to a replaced disk, compared with a recorded one.

#[path = "support/cluster.rs"]
mod cluster;

use std::time::Duration;

use googletest::prelude::*;

use mimosa_consensus::Event;
use mimosa_consensus::Settings;

use crate::cluster::Cluster;
use crate::cluster::instance;

const SECOND: Duration = Duration::from_secs(1);

#[googletest::test]
fn a_full_session_matches_the_recorded_trace() {
    let settings = Settings {
        snapshot_after: 6,
        retained_entries: 1,
        ..Settings::default()
    };
    let mut cluster = Cluster::new(11, 3, settings);
    cluster.annotate("three instances are founded");
    let first = cluster.run_to_leader();
    cluster.propose(&first, "rate of kembang-tekan: 900");
    cluster.run(SECOND);
    (1..=3).for_each(|number| cluster.read(&instance(number)));
    cluster.run(SECOND);

    cluster.annotate("the leader is cut off, asked for a write and a read");
    cluster.isolate(std::slice::from_ref(&first));
    cluster.propose(&first, "rate of wisla: 1");
    cluster.read(&first);
    cluster.run(5 * SECOND);

    cluster.annotate("the new leader takes a write");
    let second = cluster
        .leader()
        .expect("the other replicas elected a leader");
    cluster.propose(&second, "rate of wisla: 700");
    cluster.run(SECOND);
    cluster.annotate("the old leader is back");
    cluster.heal();
    cluster.run(2 * SECOND);

    cluster.annotate("more writes, up to a snapshot");
    for number in 1..=3 {
        cluster.propose(&second, format!("key {number} of wisla withdrawn"));
        cluster.run(Duration::from_millis(200));
    }

    cluster.annotate("the old leader loses its disk and comes back empty");
    cluster.lose_disk(&first);
    cluster.start(&first);
    cluster.run(5 * SECOND);

    cluster.annotate("the leader shuts down and hands over");
    cluster.handle_event(&second, Event::TransferLeadership);
    cluster.run(Duration::from_millis(50));
    cluster.crash(&second);
    cluster.run(SECOND);
    let third = cluster
        .leader()
        .expect("another replica leads after the transfer");
    cluster.read(&third);
    cluster.run(SECOND);

    cluster.annotate("a fourth instance that no settings name asks to join");
    cluster.add(10, 1);
    cluster.start(&instance(10));
    cluster.run(Duration::from_millis(100));

    expect_that!(cluster.invariants.violations, is_empty());
    insta::assert_snapshot!(cluster.trace.join("\n"));
}
