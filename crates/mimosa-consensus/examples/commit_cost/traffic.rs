//! Counts of messages and bytes in a simulated cluster.

use std::time::Duration;
use std::time::Instant;

use mimosa_consensus::Settings;

use crate::cluster::Cluster;

const COMMAND_BYTES: usize = 256;
const COMMITS: u64 = 100;
/// Few enough to complete between two heartbeats.
const READS: usize = 20;
/// Heartbeat intervals of the idle run.
const HEARTBEATS: u64 = 1_000;

/// Prints the table of messages. The CPU time is that of all replicas together, including encoding,
/// decoding and the simulated network.
pub fn report() {
    println!("\ntraffic of all replicas, requests and replies, commands of {COMMAND_BYTES} bytes");
    println!(
        "replicas  messages/heartbeat  bytes/heartbeat  us/heartbeat  messages/commit  bytes/commit"
    );
    for voters in [3, 5, 9] {
        let mut cluster = Cluster::new(1, voters, Settings::default());
        let leader = cluster.run_to_leader();
        cluster.run(Duration::from_secs(1));
        let interval = cluster.settings.heartbeat_interval;

        let before = counts(&cluster);
        let start = Instant::now();
        cluster.run(interval * u32::try_from(HEARTBEATS).expect("the number is small"));
        let micros = start.elapsed().as_micros() as f64 / HEARTBEATS as f64;
        let idle = difference(counts(&cluster), before);

        let before = counts(&cluster);
        for _ in 0..COMMITS {
            cluster.propose(&leader, "x".repeat(COMMAND_BYTES));
            cluster.run(interval);
        }
        let busy = difference(counts(&cluster), before);
        println!(
            "{voters:8} {:19} {:16} {micros:13.1} {:16} {:13}",
            idle.0 / HEARTBEATS,
            idle.1 / HEARTBEATS,
            (busy.0 - idle.0 * COMMITS / HEARTBEATS) / COMMITS,
            (busy.1 - idle.1 * COMMITS / HEARTBEATS) / COMMITS,
        );
    }
}

/// Prints the cost of a read at the leader, with a round and with a lease.
pub fn report_reads() {
    println!("\nreads at the leader, one at a time");
    println!("replicas  lease  messages/read  virtual us/read");
    for voters in [3, 5, 9] {
        for lease in [None, Some(Duration::from_millis(800))] {
            let settings = Settings {
                lease,
                ..Settings::default()
            };
            let mut cluster = Cluster::new(1, voters, settings);
            let leader = cluster.run_to_leader();
            cluster.run(Duration::from_millis(1_010));
            let before = counts(&cluster);
            let start = cluster.now;
            for number in 1..=READS {
                cluster.read(&leader);
                let is_done = |cluster: &Cluster| cluster.invariants.reads_answered == number;
                if !is_done(&cluster) {
                    cluster.run_until(Duration::from_secs(1), is_done);
                }
            }
            let cost = difference(counts(&cluster), before);
            let micros = cluster.now.since(start).as_micros() / READS as u128;
            let has_lease = if lease.is_some() { "yes" } else { "no" };
            println!(
                "{voters:8} {has_lease:>6} {:14} {micros:16}",
                cost.0 / READS as u64
            );
        }
    }
}

fn counts(cluster: &Cluster) -> (u64, u64) {
    (cluster.message_counts.values().sum(), cluster.sent_bytes)
}

fn difference(after: (u64, u64), before: (u64, u64)) -> (u64, u64) {
    (after.0 - before.0, after.1 - before.1)
}
