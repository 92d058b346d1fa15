//! Control instances on disks whose writes or syncs fail for a while.

mod cluster;

use googletest::prelude::*;
use mimosa_protocol::ByteSize;
use serde_json::json;

use crate::cluster::Cluster;
use crate::cluster::account;

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
