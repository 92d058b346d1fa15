//! Test of calls that must not run twice, while the control leader and an entry are killed.

use std::collections::BTreeMap;
use std::time::Duration;

use futures_util::future::join_all;
use googletest::prelude::*;

use crate::caller::Call;
use crate::caller::FullResponse;
use crate::system::System;

const PAYOUTS_PER_ROUND: usize = 12;
/// Attempts per payout until the test fails.
const MAX_ATTEMPTS: u32 = 200;
const RESEND_INTERVAL: Duration = Duration::from_millis(50);
/// Delay after which the payouts of a round are in progress.
const IN_PROGRESS_DELAY: Duration = Duration::from_millis(75);

fn payout(round: &str, number: usize) -> Call {
    let call = Call::post("/services/orders/payout", &format!("student={number}"));
    call.header("idempotency-key", &format!("{round}-{number}"))
}

/// Sends a payout until its outcome is final. Like a caller, it resends while the response says
/// that the call did not run.
async fn send_until_final(system: &System, entry: &str, call: &Call) -> FullResponse {
    for _ in 0..MAX_ATTEMPTS {
        let response = system.send(entry, call).await;
        if response.status == 200 || response.body.contains(r#""ran":"unknown""#) {
            return response;
        }
        assert!(response.body.contains(r#""ran":"no""#), "{}", response.body);
        tokio::time::sleep(RESEND_INTERVAL).await;
    }
    panic!("the payout has no final outcome after {MAX_ATTEMPTS} attempts");
}

/// Sends all payouts of a round concurrently, each until its outcome is final.
async fn send_round_until_final(system: &System, entry: &str, round: &str) -> Vec<FullResponse> {
    let calls: Vec<_> = (0..PAYOUTS_PER_ROUND)
        .map(|number| payout(round, number))
        .collect();
    join_all(
        calls
            .iter()
            .map(|call| send_until_final(system, entry, call)),
    )
    .await
}

/// Checks that each payout ran at most once, and exactly once if its response says so.
fn expect_at_most_once(runs: &BTreeMap<String, u64>, round: &str, responses: &[FullResponse]) {
    for (number, response) in responses.iter().enumerate() {
        let ran = runs
            .get(&format!("{round}-{number}"))
            .copied()
            .unwrap_or_default();
        expect_that!(ran, le(1), "{round}-{number}");
        if response.status == 200 {
            expect_that!(ran, eq(1), "{round}-{number}");
        }
    }
}

#[googletest::test]
#[tokio::test(flavor = "multi_thread")]
async fn a_payout_runs_at_most_once_when_the_leader_or_an_entry_is_killed() {
    let entries = [("a", "north"), ("b", "north"), ("c", "north")];
    let mut system = System::start_with(3, &entries).await;
    system.set_up_client_and_services().await;

    let undisturbed = send_round_until_final(&system, "a", "quiet").await;
    expect_that!(
        undisturbed.iter().all(|response| response.status == 200),
        eq(true)
    );
    let resent = send_round_until_final(&system, "b", "quiet").await;
    for (first, second) in undisturbed.iter().zip(&resent) {
        expect_that!(
            second.body,
            eq(&first.body),
            "a resent call gets the recorded response"
        );
    }

    let addresses = system.entry_addresses();
    let in_progress = spawn_round(&addresses["a"], system.caller_key(), "leader");
    tokio::time::sleep(IN_PROGRESS_DELAY).await;
    system.kill_leader();
    in_progress.await.expect("the calls end");
    let after_leader_kill = send_round_until_final(&system, "b", "leader").await;
    expect_at_most_once(&system.runs_by_key().await, "leader", &after_leader_kill);

    let in_progress = spawn_round(&addresses["a"], system.caller_key(), "entry");
    tokio::time::sleep(IN_PROGRESS_DELAY).await;
    system.kill("a");
    in_progress.abort();
    let entry = send_round_until_final(&system, "b", "entry").await;
    expect_at_most_once(&system.runs_by_key().await, "entry", &entry);
    let final_round = send_round_until_final(&system, "c", "last").await;
    expect_that!(
        final_round.iter().all(|response| response.status == 200),
        eq(true)
    );
    expect_at_most_once(&system.runs_by_key().await, "last", &final_round);
    expect_at_most_once(&system.runs_by_key().await, "quiet", &resent);
}

/// Sends a round of payouts once and ignores the responses.
fn spawn_round(address: &str, key: &str, round: &'static str) -> tokio::task::JoinHandle<()> {
    let (address, key) = (address.to_owned(), key.to_owned());
    tokio::spawn(async move {
        let calls: Vec<_> = (0..PAYOUTS_PER_ROUND)
            .map(|number| payout(round, number))
            .collect();
        join_all(calls.iter().map(|call| call.send(&address, &key))).await;
    })
}
