//! Control instances on disks that take no writes for a while.

mod cluster;

use googletest::prelude::*;
use mimosa_protocol::ByteSize;
use serde_json::json;

use crate::cluster::Cluster;
use crate::cluster::account;

/// A disk that is full and has room again must not cost an instance its part in the log: with two
/// such disks, one after the other, three instances would have no quorum left.
#[googletest::test]
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn an_instance_takes_part_again_when_its_full_disk_has_room() {
    let cluster = Cluster::start_on_faulty_disks(3).await;
    let mut number = 0;
    let mut change = async || {
        number += 2;
        cluster.accept(number, account(number)).await;
    };
    change().await;
    for _ in 0..3 {
        // Each leader in turn, as its disk is written first.
        let full = cluster.leader().await;
        cluster.disk(full).limit(Some(ByteSize(0)));
        change().await;
        change().await;
        let status = cluster.status(full).await;
        expect_that!(status["replica"]["role"], eq(&json!("stopped")));
        expect_that!(status["replica"]["fault"].is_string(), eq(true));
        cluster.disk(full).limit(None);
        cluster.until_well(full).await;
    }
    change().await;
    let expected = cluster.configuration(0).await;
    expect_that!(expected["revision"], eq(&json!(8)));
    for at in 1..3 {
        expect_that!(cluster.configuration(at).await, eq(&expected));
    }
}

/// After a failed sync the kernel shows pages that it never wrote. What an instance says it has must
/// be there after a loss of power all the same.
#[googletest::test]
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn nothing_is_lost_when_syncs_fail_and_the_power_goes() {
    let mut cluster = Cluster::start_on_faulty_disks(3).await;
    let mut number = 0;
    for round in 0..6 {
        let failing = round % 3;
        cluster.disk(failing).fail_sync_after(round as u64 % 2);
        for _ in 0..3 {
            number += 2;
            cluster.accept(number, account(number)).await;
        }
        cluster.until_well(failing).await;
        let before = cluster.configuration(failing).await;
        for at in 0..3 {
            cluster.kill(at).await;
            cluster.disk(at).crash();
        }
        for at in 0..3 {
            cluster.restart(at).await;
        }
        cluster.until_all_vote().await;
        for at in 0..3 {
            expect_that!(
                cluster.configuration(at).await,
                eq(&before),
                "round {round}"
            );
        }
    }
}

/// An instance alone is back as well.
#[googletest::test]
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn an_instance_alone_goes_on_after_its_disk_was_full() {
    let cluster = Cluster::start_on_faulty_disks(1).await;
    cluster.accept(2, account(2)).await;
    cluster.disk(0).limit(Some(ByteSize(0)));
    let order = json!({"number": 4, "intent": account(4)});
    let admin = cluster.at(0).admin_address();
    let refused =
        cluster::support::try_call(admin, cluster::support::ADA, "POST /v1/plans", &order);
    expect_that!(refused.await.map(|(status, _)| status), some(eq(503)));
    cluster.disk(0).limit(None);
    cluster.until_well(0).await;
    cluster.accept(6, account(6)).await;
    expect_that!(cluster.configuration(0).await["revision"], eq(&json!(2)));
}
