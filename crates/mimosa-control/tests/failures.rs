//! Control instances that are killed, isolated or lose their disks.

mod cluster;

use std::time::Duration;

use googletest::prelude::*;
use mimosa_control::Settings;
use mimosa_protocol::RequestId;
use mimosa_protocol::Timestamp;
use mimosa_protocol::hash::Sha256Digest;
use mimosa_protocol::message::ControlMessage;
use mimosa_protocol::message::EntryMessage;
use mimosa_protocol::message::LedgerAnswer;
use mimosa_protocol::message::LedgerBegin;
use mimosa_protocol::message::LedgerEnd;
use mimosa_protocol::message::LedgerFinish;
use mimosa_protocol::message::LedgerKey;
use mimosa_protocol::message::RecordedAnswer;
use serde_json::Value;
use serde_json::json;

use crate::cluster::Cluster;
use crate::cluster::account;
use crate::cluster::support;
use crate::cluster::support::ADA;
use crate::cluster::support::Attempts;
use crate::cluster::support::Entry;

/// A test of a cluster with real threads, sockets and files.
macro_rules! cluster_test {
    ($name:ident, $body:expr) => {
        #[googletest::test]
        #[tokio::test(flavor = "multi_thread", worker_threads = 2)]
        async fn $name() {
            $body.await
        }
    };
}

cluster_test!(no_change_is_lost_when_leaders_are_killed, async {
    let mut cluster = Cluster::start(3).await;
    for rate in 1..=10 {
        cluster.plan_and_confirm(2 * rate, account(rate)).await;
        if rate % 4 == 0 {
            let leader = cluster.leader().await;
            cluster.kill(leader).await;
            cluster
                .plan_and_confirm(2 * rate + 100, account(rate + 100))
                .await;
            cluster.restart(leader).await;
        }
    }
    let expected = cluster.configuration(cluster.leader().await).await;
    expect_that!(expected["revision"], eq(&json!(12)));
    for index in cluster.running_instances() {
        expect_that!(cluster.configuration(index).await, eq(&expected));
    }
});

cluster_test!(
    changes_are_accepted_after_all_connections_went_silent,
    async {
        let cluster = Cluster::start(3).await;
        for rate in 1..=3 {
            cluster.drop_traffic();
            cluster.plan_and_confirm(2 * rate, account(rate)).await;
        }
        let expected = cluster.configuration(cluster.leader().await).await;
        expect_that!(expected["revision"], eq(&json!(3)));
    }
);

cluster_test!(
    state_survives_a_restart_of_all_instances_from_snapshots,
    async {
        let settings = |settings: Settings| Settings {
            snapshot_after: 64,
            ..settings
        };
        let mut cluster = Cluster::start_with(3, settings).await;
        for rate in 1..=150 {
            cluster.plan_and_confirm(2 * rate, account(rate)).await;
        }
        let leader = cluster.leader().await;
        let expected = cluster.configuration(leader).await;
        for index in 0..3 {
            cluster.kill(index).await;
        }
        for index in 0..3 {
            cluster.restart(index).await;
        }
        for index in 0..3 {
            expect_that!(cluster.configuration(index).await, eq(&expected));
        }
        let answer = cluster.order("GET /v1/audit?after=299", Value::Null).await;
        expect_that!(answer["records"][0]["sequence"], eq(&json!(300)));
    }
);

cluster_test!(
    instance_with_an_empty_disk_rejoins_and_a_second_disk_loss_is_tolerated,
    async {
        let mut cluster = Cluster::start(3).await;
        cluster.plan_and_confirm(2, account(1)).await;
        let leader = cluster.leader().await;
        let [emptied, other] = [(leader + 1) % 3, (leader + 2) % 3];
        cluster.kill(emptied).await;
        cluster.replace_data_folder(emptied);
        cluster.plan_and_confirm(4, account(2)).await;
        cluster.restart(emptied).await;
        cluster.wait_until_all_vote().await;
        // A second instance loses its disk right after the repair of the first.
        cluster.kill(other).await;
        cluster.replace_data_folder(other);
        cluster.plan_and_confirm(6, account(3)).await;
        // Then the leader is lost for a while. The first repaired instance alone would be no
        // quorum.
        let leader = cluster.leader().await;
        expect_that!(
            cluster.configuration(emptied).await["revision"],
            eq(&json!(3))
        );
        cluster.restart(other).await;
        cluster.wait_until_all_vote().await;
        cluster.kill(leader).await;
        cluster.plan_and_confirm(8, account(4)).await;
        for index in cluster.running_instances() {
            expect_that!(
                cluster.configuration(index).await["revision"],
                eq(&json!(4))
            );
        }
    }
);

cluster_test!(
    bootstrap_instance_with_an_empty_disk_joins_the_existing_cluster,
    async {
        let mut cluster = Cluster::start(3).await;
        cluster.plan_and_confirm(2, account(1)).await;
        cluster.kill(0).await;
        cluster.replace_data_folder(0);
        cluster.enable_bootstrap(0);
        cluster.restart(0).await;
        cluster.wait_until_all_vote().await;
        for index in cluster.running_instances() {
            expect_that!(
                cluster.configuration(index).await["revision"],
                eq(&json!(1))
            );
        }
    }
);

cluster_test!(
    isolated_leader_proves_and_accepts_nothing_until_it_reconnects,
    async {
        let cluster = Cluster::start(3).await;
        cluster.plan_and_confirm(2, account(1)).await;
        let old = cluster.leader().await;
        let mut entry =
            Entry::connect(cluster.instance(old).entry_address(), "entry-1", "east", 0).await;
        entry.proof().await;
        cluster.isolate(old, true);
        let others: Vec<usize> = cluster
            .running_instances()
            .into_iter()
            .filter(|index| *index != old)
            .collect();
        // The majority continues.
        let admin = cluster.instance(others[0]).admin_address();
        let body = json!({ "number": 4, "intent": account(2) });
        let mut attempts = Attempts::default();
        let plan = loop {
            match support::call(admin, ADA, "POST /v1/plans", &body).await {
                (200, plan) => break plan,
                _ => attempts.pause().await,
            }
        };
        let line = format!("POST /v1/plans/{}/confirm", plan["plan"]);
        while support::call(admin, ADA, &line, &json!({"number": 5}))
            .await
            .0
            != 200
        {}
        // The isolated instance answers 503, accepts no order and sends its entry no freshness proof.
        let isolated = cluster.instance(old).admin_address();
        let reads = support::call(isolated, ADA, "GET /v1/configuration", &Value::Null).await;
        expect_that!(reads.0, eq(503));
        expect_that!(reads.1["code"], eq(&json!("not_current")));
        expect_that!(cluster.status(old).await["current"], eq(&json!(false)));
        let order = json!({ "number": 6, "intent": account(9) });
        let refused = support::call(isolated, ADA, "POST /v1/plans", &order).await;
        expect_that!(refused.0, eq(503));
        let drained = tokio::time::timeout(Duration::from_millis(300), async {
            let mut proofs = Vec::new();
            while let Some(message) = entry.next().await {
                proofs.push(message);
            }
            proofs
        });
        expect_that!(drained.await.is_err(), eq(true));
        let silent = tokio::time::timeout(Duration::from_millis(300), entry.next()).await;
        expect_that!(silent.is_err(), eq(true));
        // Reconnected, it catches up, and its entry gets a proof of the new revision.
        cluster.isolate(old, false);
        cluster.wait_until_revision(old, 2).await;
        expect_that!(entry.proof().await.get(), eq(2));
    }
);

cluster_test!(
    ledger_call_runs_once_when_the_leader_is_lost_at_any_step,
    async {
        for lost_after in ["nothing", "begin", "finish"] {
            let mut cluster = Cluster::start(3).await;
            let mut runs = 0;
            let kill_if = async |cluster: &mut Cluster, step: &str| {
                if step == lost_after {
                    let leader = cluster.leader().await;
                    cluster.kill(leader).await;
                }
            };
            kill_if(&mut cluster, "nothing").await;
            runs += u32::from(begin(&cluster, 1).await == LedgerAnswer::Run);
            kill_if(&mut cluster, "begin").await;
            // The caller times out and resends the call through another entry.
            runs += u32::from(begin(&cluster, 2).await == LedgerAnswer::Run);
            finish(&cluster, 1).await;
            kill_if(&mut cluster, "finish").await;
            let resent = begin(&cluster, 3).await;
            runs += u32::from(resent == LedgerAnswer::Run);
            expect_that!(runs, eq(1), "leader lost after {lost_after}");
            expect_that!(resent, eq(&LedgerAnswer::Recorded(paid_answer())));
        }
    }
);

cluster_test!(ledger_call_without_a_quorum_is_refused_as_not_run, async {
    for is_leader_running in [true, false] {
        let mut cluster = Cluster::start(3).await;
        let leader = cluster.leader().await;
        let remaining = if is_leader_running {
            leader
        } else {
            (leader + 1) % 3
        };
        for index in cluster
            .running_instances()
            .into_iter()
            .filter(|index| *index != remaining)
        {
            cluster.kill(index).await;
        }
        let mut attempts = Attempts::default();
        while !is_leader_running && !cluster.status(remaining).await["replica"]["leader"].is_null()
        {
            attempts.pause().await;
        }
        let answer = begin_at(&cluster, remaining, 1).await;
        expect_that!(answer, some(eq(&LedgerAnswer::NoQuorum)));
        // The idempotency key is free again once there is a quorum, although the begin was in the
        // leader's log.
        for index in (0..3).filter(|index| *index != remaining) {
            cluster.restart(index).await;
        }
        let mut answer = begin(&cluster, 2).await;
        while answer == LedgerAnswer::Unknown {
            attempts.pause().await;
            answer = begin(&cluster, 2).await;
        }
        expect_that!(answer, eq(&LedgerAnswer::Run));
    }
});

fn payout_key() -> LedgerKey {
    LedgerKey {
        account: "wisla".parse().unwrap(),
        service: "payouts".parse().unwrap(),
        idempotency_key: "student-7".to_owned(),
    }
}

fn paid_answer() -> RecordedAnswer {
    RecordedAnswer {
        status: 201,
        content_type: None,
        body: b"paid".to_vec(),
    }
}

/// Begins the call through the instances in turn until one has a quorum, like an entry.
async fn begin(cluster: &Cluster, request: u128) -> LedgerAnswer {
    loop {
        for index in cluster.running_instances() {
            match begin_at(cluster, index, request).await {
                Some(LedgerAnswer::NoQuorum) | None => {}
                Some(answer) => return answer,
            }
        }
    }
}

async fn begin_at(cluster: &Cluster, index: usize, request: u128) -> Option<LedgerAnswer> {
    let address = cluster.instance(index).entry_address();
    let mut entry = Entry::connect(address, &format!("entry-{request}"), "east", 0).await;
    let begin = LedgerBegin {
        request: RequestId(request),
        key: payout_key(),
        content: Sha256Digest::of(b"pay 100"),
        at: Timestamp::ZERO,
    };
    entry.send(EntryMessage::LedgerBegin(begin)).await;
    match entry.next_change().await {
        Some(ControlMessage::LedgerBegun { answer, .. }) => Some(answer),
        _ => None,
    }
}

async fn finish(cluster: &Cluster, request: u128) {
    let finish = LedgerFinish {
        request: RequestId(request),
        key: payout_key(),
        end: LedgerEnd::Answered(paid_answer()),
        at: Timestamp::ZERO,
    };
    let leader = cluster.leader().await;
    let address = cluster.instance(leader).entry_address();
    let mut entry = Entry::connect(address, "entry-finish", "east", 0).await;
    entry.send(EntryMessage::LedgerFinish(finish)).await;
    let change = entry.next_change().await;
    expect_that!(
        change,
        some(matches_pattern!(ControlMessage::LedgerFinished { .. }))
    );
}
