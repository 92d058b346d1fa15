//! Latency of sequential commits, and commits per second in batches.

use std::fs::File;
use std::io::Write;
use std::path::Path;
use std::time::Duration;
use std::time::Instant;

use mimosa_consensus::Event;
use mimosa_consensus::Payload;
use mimosa_consensus::ProposalId;

use crate::driver::Cluster;
use crate::driver::Notice;

const SEQUENTIAL_COMMITS: usize = 300;
const BATCHED_COMMITS: usize = 20_000;
/// Maximum number of uncommitted commands in the batched run.
const MAX_UNCOMMITTED: usize = 1_000;
const COMMAND_BYTES: usize = 256;
/// Bytes that the store adds to each record.
const RECORD_OVERHEAD_BYTES: usize = 26;

/// Prints the table. A bare sync is timed before each commit, as the speed of the disk varies.
pub fn report(folder: &Path) -> mimosa_protocol::Result<()> {
    println!(
        "\ncommands of {COMMAND_BYTES} bytes, {SEQUENTIAL_COMMITS} one at a time, then \
         {BATCHED_COMMITS} in batches"
    );
    println!("replicas  bare sync us  p99  commit us  p99  ratio of medians  commits/s batched");
    for voters in [1, 3, 5] {
        let run_folder = folder.join(format!("latency-{voters}"));
        let cluster = Cluster::start(&run_folder, voters)?;
        let leader = cluster.leader();
        let mut file = File::create(run_folder.join("bare")).expect("the folder is writable");
        let (bare, commits): (Vec<Duration>, Vec<Duration>) = (0..SEQUENTIAL_COMMITS)
            .map(|number| (bare_sync(&mut file), commit(&cluster, leader, number)))
            .unzip();
        let (bare, bare_p99) = quantiles(bare);
        let (commit, commit_p99) = quantiles(commits);
        let rate = batched(&cluster, leader);
        let ratio = commit as f64 / bare as f64;
        println!(
            "{voters:8} {bare:13} {bare_p99:4} {commit:10} {commit_p99:4} {ratio:17.2} {rate:18.0}"
        );
        cluster.stop()?;
    }
    Ok(())
}

/// Times an append and sync of a plain file.
fn bare_sync(file: &mut File) -> Duration {
    let bytes = [7; COMMAND_BYTES + RECORD_OVERHEAD_BYTES];
    let start = Instant::now();
    file.write_all(&bytes).expect("the file is writable");
    file.sync_data().expect("the file can be synced");
    start.elapsed()
}

/// Time from a proposal until its command is applied.
fn commit(cluster: &Cluster, leader: usize, number: usize) -> Duration {
    let start = Instant::now();
    propose(cluster, leader, number);
    wait_for(cluster, 1);
    start.elapsed()
}

/// Commits per second with up to [`MAX_UNCOMMITTED`] commands in progress.
fn batched(cluster: &Cluster, leader: usize) -> f64 {
    let start = Instant::now();
    (0..MAX_UNCOMMITTED).for_each(|number| propose(cluster, leader, number));
    let mut sent = MAX_UNCOMMITTED;
    let mut done = 0;
    while done < BATCHED_COMMITS {
        let more = wait_for(cluster, 1);
        done += more;
        let refill = more.min(BATCHED_COMMITS.saturating_sub(sent));
        (0..refill).for_each(|number| propose(cluster, leader, number));
        sent += refill;
    }
    BATCHED_COMMITS as f64 / start.elapsed().as_secs_f64()
}

fn propose(cluster: &Cluster, leader: usize, number: usize) {
    let id = ProposalId(number as u64);
    let bytes = vec![7; COMMAND_BYTES];
    cluster.queue_event(leader, Event::Propose { id, bytes });
}

/// Waits until at least `count` commands are applied; returns how many.
fn wait_for(cluster: &Cluster, count: usize) -> usize {
    let mut done = 0;
    while done < count {
        if let Notice::Applied(entries) = cluster.notices.recv().expect("the replicas are running")
        {
            done += entries
                .iter()
                .filter(|entry| matches!(entry.payload, Payload::Command(_)))
                .count();
        }
    }
    done
}

/// Median and 99th percentile, in microseconds.
fn quantiles(mut times: Vec<Duration>) -> (u128, u128) {
    times.sort_unstable();
    let at = |percent: usize| times[(times.len() - 1) * percent / 100].as_micros();
    (at(50), at(99))
}
