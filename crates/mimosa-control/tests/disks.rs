//! Control instances on disks whose writes or syncs fail for a while.

mod cluster;

use std::time::Duration;

use googletest::prelude::*;
use mimosa_protocol::ByteSize;
use mimosa_storage::fault::Random;
use serde_json::json;
use tokio::time::Instant;
use tokio::time::sleep;
use tokio::time::timeout;
use tokio::time::timeout_at;

use crate::cluster::Cluster;
use crate::cluster::account;
use crate::cluster::support::ADA;
use crate::cluster::support::try_call;

/// Guards against an instance that stays out of the cluster after its full disk has space again:
/// after two such disks, three instances would have no quorum left.
#[googletest::test]
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn instance_rejoins_after_its_full_disk_has_space_again() {
    let cluster = Cluster::start_on_faulty_disks(3).await;
    let mut number = 0;
    let mut change = async || {
        number += 2;
        cluster.plan_and_confirm(number, account(number)).await;
    };
    change().await;
    for _ in 0..3 {
        // The leader each time, as its disk is written first.
        let full = cluster.leader().await;
        cluster.disk(full).limit(Some(ByteSize(0)));
        change().await;
        change().await;
        let status = cluster.status(full).await;
        expect_that!(status["replica"]["role"], eq(&json!("stopped")));
        expect_that!(status["replica"]["fault"].is_string(), eq(true));
        cluster.disk(full).limit(None);
        cluster.wait_until_healthy(full).await;
    }
    change().await;
    let expected = cluster.configuration(0).await;
    expect_that!(expected["revision"], eq(&json!(8)));
    for index in 1..3 {
        expect_that!(cluster.configuration(index).await, eq(&expected));
    }
}

/// After a failed sync, the page cache can return data that never reached the disk. Guards against
/// an instance that confirms such data, which a power loss then removes.
#[googletest::test]
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn no_confirmed_change_is_lost_after_failed_syncs_and_a_power_loss() {
    let mut cluster = Cluster::start_on_faulty_disks(3).await;
    let mut number = 0;
    for round in 0..6 {
        let failing = round % 3;
        cluster.disk(failing).fail_sync_after(round as u64 % 2);
        for _ in 0..3 {
            number += 2;
            cluster.plan_and_confirm(number, account(number)).await;
        }
        cluster.wait_until_healthy(failing).await;
        let before = cluster.configuration(failing).await;
        for index in 0..3 {
            cluster.kill(index).await;
            cluster.disk(index).crash();
        }
        for index in 0..3 {
            cluster.restart(index).await;
        }
        cluster.wait_until_all_vote().await;
        for index in 0..3 {
            expect_that!(
                cluster.configuration(index).await,
                eq(&before),
                "round {round}"
            );
        }
    }
}

/// A single instance has no peers to catch up from after its disk was full.
#[googletest::test]
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn single_instance_recovers_after_its_disk_was_full() {
    let cluster = Cluster::start_on_faulty_disks(1).await;
    cluster.plan_and_confirm(2, account(2)).await;
    cluster.disk(0).limit(Some(ByteSize(0)));
    let order = json!({"number": 4, "intent": account(4)});
    let admin = cluster.instance(0).admin_address();
    let refused =
        cluster::support::try_call(admin, cluster::support::ADA, "POST /v1/plans", &order);
    expect_that!(refused.await.map(|(status, _)| status), some(eq(503)));
    cluster.disk(0).limit(None);
    cluster.wait_until_healthy(0).await;
    cluster.plan_and_confirm(6, account(6)).await;
    expect_that!(cluster.configuration(0).await["revision"], eq(&json!(2)));
}

/// Guards against CONFIG: disks that are full for a short time each, one right after another, after which no change
/// was acknowledged any more although all processes ran. Each disk fails at another step of a write, some
/// processes are killed and start on a full disk, and the next disk fills up before the last has recovered.
#[googletest::test]
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn changes_are_acknowledged_after_the_disks_of_all_instances_were_full_in_turn() {
    const INSTANCES: usize = 5;
    const ROUNDS: usize = 3;
    const FULL_TIME: Duration = Duration::from_millis(700);
    /// Time within which a change is acknowledged once all disks have room.
    const ACKNOWLEDGE_TIME: Duration = Duration::from_secs(4);
    let mut cluster = Cluster::start_on_faulty_disks(INSTANCES).await;
    let mut random = Random(INSTANCES as u64);
    let mut number = 0;
    for round in 0..ROUNDS {
        for index in 0..INSTANCES {
            let files = cluster.disk(index).files();
            let used: u64 = files.iter().map(|(_, size)| size.0).sum();
            let left = random.below(400) as u64;
            cluster.disk(index).limit(Some(ByteSize(used + left)));
            let is_restarted = random.below(3) == 0;
            let until = Instant::now() + FULL_TIME;
            while Instant::now() < until {
                number += 2;
                let order = json!({"number": number, "intent": account(number)});
                let admin = cluster.instance((index + 1) % INSTANCES).admin_address();
                let ordered = try_call(admin, ADA, "POST /v1/plans", &order);
                timeout(FULL_TIME / 4, ordered).await.ok();
                sleep(FULL_TIME / 10).await;
            }
            if is_restarted {
                cluster.kill(index).await;
                cluster.disk(index).kill();
                cluster.restart(index).await;
            }
            cluster.disk(index).limit(None);
        }
        let due = Instant::now() + ACKNOWLEDGE_TIME;
        number += 2;
        let change = cluster.plan_and_confirm(number, account(number));
        let acknowledged = timeout_at(due, change).await;
        expect_that!(acknowledged.is_ok(), eq(true), "round {round}");
        for index in 0..INSTANCES {
            cluster.wait_until_healthy(index).await;
        }
    }
}
