//! Control instances are killed, cut off and emptied.

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
use crate::cluster::support::Entry;
use crate::cluster::support::Looks;

/// The test runs in real processes' terms: threads, sockets, files.
macro_rules! cluster_test {
    ($name:ident, $body:expr) => {
        #[googletest::test]
        #[tokio::test(flavor = "multi_thread", worker_threads = 2)]
        async fn $name() {
            $body.await
        }
    };
}

cluster_test!(a_killed_leader_loses_nothing, async {
    let mut cluster = Cluster::start(3).await;
    for rate in 1..=10 {
        cluster.accept(2 * rate, account(rate)).await;
        if rate % 4 == 0 {
            let leader = cluster.leader().await;
            cluster.kill(leader).await;
            cluster.accept(2 * rate + 100, account(rate + 100)).await;
            cluster.restart(leader).await;
        }
    }
    let expected = cluster.configuration(cluster.leader().await).await;
    expect_that!(expected["revision"], eq(&json!(12)));
    for at in cluster.alive() {
        expect_that!(cluster.configuration(at).await, eq(&expected));
    }
});

cluster_test!(connections_that_go_silent_are_replaced, async {
    let cluster = Cluster::start(3).await;
    for rate in 1..=3 {
        cluster.silence();
        cluster.accept(2 * rate, account(rate)).await;
    }
    let expected = cluster.configuration(cluster.leader().await).await;
    expect_that!(expected["revision"], eq(&json!(3)));
});

cluster_test!(all_instances_restart_after_hundreds_of_changes, async {
    let settings = |settings: Settings| Settings {
        snapshot_after: 64,
        ..settings
    };
    let mut cluster = Cluster::start_with(3, settings).await;
    for rate in 1..=150 {
        cluster.accept(2 * rate, account(rate)).await;
    }
    let leader = cluster.leader().await;
    let expected = cluster.configuration(leader).await;
    for at in 0..3 {
        cluster.kill(at).await;
    }
    for at in 0..3 {
        cluster.restart(at).await;
    }
    for at in 0..3 {
        expect_that!(cluster.configuration(at).await, eq(&expected));
    }
    let answer = cluster.order("GET /v1/audit?after=299", Value::Null).await;
    expect_that!(answer["records"][0]["sequence"], eq(&json!(300)));
});

cluster_test!(
    an_emptied_folder_joins_anew_and_a_second_loss_is_borne,
    async {
        let mut cluster = Cluster::start(3).await;
        cluster.accept(2, account(1)).await;
        let leader = cluster.leader().await;
        let [emptied, other] = [(leader + 1) % 3, (leader + 2) % 3];
        cluster.kill(emptied).await;
        cluster.empty_folder(emptied);
        cluster.accept(4, account(2)).await;
        cluster.restart(emptied).await;
        cluster.until_all_vote().await;
        // The second instance is lost right after the repair, with its disk.
        cluster.kill(other).await;
        cluster.empty_folder(other);
        cluster.accept(6, account(3)).await;
        // And the leader is lost as well for a while: the repaired one alone is no quorum.
        let leader = cluster.leader().await;
        expect_that!(
            cluster.configuration(emptied).await["revision"],
            eq(&json!(3))
        );
        cluster.restart(other).await;
        cluster.until_all_vote().await;
        cluster.kill(leader).await;
        cluster.accept(8, account(4)).await;
        for at in cluster.alive() {
            expect_that!(cluster.configuration(at).await["revision"], eq(&json!(4)));
        }
    }
);

cluster_test!(an_emptied_founder_that_is_told_to_found_joins, async {
    let mut cluster = Cluster::start(3).await;
    cluster.accept(2, account(1)).await;
    cluster.kill(0).await;
    cluster.empty_folder(0);
    cluster.tell_to_found(0);
    cluster.restart(0).await;
    cluster.until_all_vote().await;
    for at in cluster.alive() {
        expect_that!(cluster.configuration(at).await["revision"], eq(&json!(1)));
    }
});

cluster_test!(an_isolated_leader_answers_nothing_as_current, async {
    let cluster = Cluster::start(3).await;
    cluster.accept(2, account(1)).await;
    let old = cluster.leader().await;
    let mut entry = Entry::connect(cluster.at(old).entry_address(), "entry-1", "east", 0).await;
    entry.proof().await;
    cluster.isolate(old, true);
    let others: Vec<usize> = cluster
        .alive()
        .into_iter()
        .filter(|at| *at != old)
        .collect();
    // The majority goes on.
    let admin = cluster.at(others[0]).admin_address();
    let body = json!({ "number": 4, "intent": account(2) });
    let mut looks = Looks::default();
    let plan = loop {
        match support::call(admin, ADA, "POST /v1/plans", &body).await {
            (200, plan) => break plan,
            _ => looks.pause().await,
        }
    };
    let line = format!("POST /v1/plans/{}/confirm", plan["plan"]);
    while support::call(admin, ADA, &line, &json!({"number": 5}))
        .await
        .0
        != 200
    {}
    // The isolated one says so, takes no order and proves nothing to its entry.
    let isolated = cluster.at(old).admin_address();
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
    // Healed, it follows, and its entry goes on without a step back.
    cluster.isolate(old, false);
    cluster.until_revision(old, 2).await;
    expect_that!(entry.proof().await.get(), eq(2));
});

cluster_test!(a_payout_runs_once_whichever_step_loses_the_leader, async {
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
        // The caller loses patience and sends again, through another entry.
        runs += u32::from(begin(&cluster, 2).await == LedgerAnswer::Run);
        finish(&cluster, 1).await;
        kill_if(&mut cluster, "finish").await;
        let resent = begin(&cluster, 3).await;
        runs += u32::from(resent == LedgerAnswer::Run);
        expect_that!(runs, eq(1), "leader lost after {lost_after}");
        expect_that!(resent, eq(&LedgerAnswer::Recorded(paid())));
    }
});

cluster_test!(without_a_quorum_a_payout_is_refused_as_not_run, async {
    for is_leader_left in [true, false] {
        let mut cluster = Cluster::start(3).await;
        let leader = cluster.leader().await;
        let left = if is_leader_left {
            leader
        } else {
            (leader + 1) % 3
        };
        for at in cluster.alive().into_iter().filter(|at| *at != left) {
            cluster.kill(at).await;
        }
        let mut looks = Looks::default();
        while !is_leader_left && !cluster.status(left).await["replica"]["leader"].is_null() {
            looks.pause().await;
        }
        let answer = begin_at(&cluster, left, 1).await;
        expect_that!(answer, some(eq(&LedgerAnswer::NoQuorum)));
        // The name is free again once there is a quorum, although the intent stood in the
        // leader's log.
        for at in (0..3).filter(|at| *at != left) {
            cluster.restart(at).await;
        }
        let mut answer = begin(&cluster, 2).await;
        while answer == LedgerAnswer::Unknown {
            looks.pause().await;
            answer = begin(&cluster, 2).await;
        }
        expect_that!(answer, eq(&LedgerAnswer::Run));
    }
});

fn payout() -> LedgerKey {
    LedgerKey {
        account: "wisla".parse().unwrap(),
        service: "payouts".parse().unwrap(),
        idempotency_key: "student-7".to_owned(),
    }
}

fn paid() -> RecordedAnswer {
    RecordedAnswer {
        status: 201,
        content_type: None,
        body: b"paid".to_vec(),
    }
}

/// Asks for the permit through the instances in turn, as an entry does.
async fn begin(cluster: &Cluster, request: u128) -> LedgerAnswer {
    loop {
        for at in cluster.alive() {
            match begin_at(cluster, at, request).await {
                Some(LedgerAnswer::NoQuorum) | None => {}
                Some(answer) => return answer,
            }
        }
    }
}

async fn begin_at(cluster: &Cluster, at: usize, request: u128) -> Option<LedgerAnswer> {
    let address = cluster.at(at).entry_address();
    let mut entry = Entry::connect(address, &format!("entry-{request}"), "east", 0).await;
    let begin = LedgerBegin {
        request: RequestId(request),
        key: payout(),
        content: Sha256Digest::of(b"pay 100"),
        at: Timestamp::ZERO,
    };
    entry.send(EntryMessage::LedgerBegin(begin)).await;
    match entry.next_news().await {
        Some(ControlMessage::LedgerBegun { answer, .. }) => Some(answer),
        _ => None,
    }
}

async fn finish(cluster: &Cluster, request: u128) {
    let finish = LedgerFinish {
        request: RequestId(request),
        key: payout(),
        end: LedgerEnd::Answered(paid()),
        at: Timestamp::ZERO,
    };
    let leader = cluster.leader().await;
    let address = cluster.at(leader).entry_address();
    let mut entry = Entry::connect(address, "entry-finish", "east", 0).await;
    entry.send(EntryMessage::LedgerFinish(finish)).await;
    let news = entry.next_news().await;
    expect_that!(
        news,
        some(matches_pattern!(ControlMessage::LedgerFinished { .. }))
    );
}
