//! Complete operator sessions over HTTP, compared with snapshots.

mod support;

use mimosa_protocol::Revision;
use mimosa_protocol::message::ControlMessage;
use serde_json::Value;
use serde_json::json;

use crate::support::ADA;
use crate::support::Attempts;
use crate::support::BO;
use crate::support::Entry;
use crate::support::Session;

#[tokio::test]
async fn operator_creates_service_account_and_key_and_changes_the_rate() {
    let mut session = Session::start().await;
    let intents = [
        json!({"put_service": {"service": "verse", "kind": "model"}}),
        json!({"put_account": {"account": "wisla", "rate": 4000, "burst": 20000}}),
        json!({"create_key": {"key": "wisla-1", "account": "wisla"}}),
        json!({"set_rate": {"account": "wisla", "rate": 5000, "burst": 25000}}),
    ];
    for (index, intent) in intents.into_iter().enumerate() {
        let number = 2 * index as u64 + 1;
        let plan = session.plan(ADA, number, intent).await;
        session.confirm(ADA, number + 1, &plan).await;
    }
    session.call(BO, "GET /v1/configuration", Value::Null).await;
    session.call(BO, "GET /v1/audit?after=4", Value::Null).await;
    insta::assert_snapshot!(session.transcript());
}

#[tokio::test]
async fn resent_orders_get_the_first_answer_and_conflicting_ones_are_refused() {
    let mut session = Session::start().await;
    let account = |name: &str| json!({"put_account": {"account": name, "rate": 10, "burst": 10}});
    session.note("two operators under one number do not mix");
    let ada = session.plan(ADA, 7, account("ada-account")).await;
    session.plan(BO, 7, account("bo-account")).await;
    session.note("a resend gets the first answer");
    session.plan(ADA, 7, account("ada-account")).await;
    session.note("other content under a used number, from another shell of the same operator");
    session.plan(ADA, 7, account("other")).await;
    session.note("a confirm whose answer was lost is given again");
    session.confirm(ADA, 8, &ada).await;
    session.confirm(ADA, 8, &ada).await;
    session.note("the same plan under a new number");
    session.confirm(ADA, 9, &ada).await;
    session.note("a plan's number used for a confirm");
    session.confirm(ADA, 7, &ada).await;
    session.note("a key plan given again does not show the secret again");
    let key = json!({"create_key": {"key": "k-1", "account": "ada-account"}});
    session.plan(ADA, 10, key.clone()).await;
    session.plan(ADA, 10, key).await;
    session.call(BO, "GET /v1/audit", Value::Null).await;
    insta::assert_snapshot!(session.transcript());
}

#[tokio::test]
async fn confirm_of_a_plan_is_refused_after_the_revision_moved() {
    let mut session = Session::start().await;
    let account = json!({"put_account": {"account": "wisla", "rate": 10, "burst": 10}});
    session.apply_intents([account]).await;
    let rate = |rate: u64| json!({"set_rate": {"account": "wisla", "rate": rate, "burst": 10}});
    let first = session.plan(ADA, 1, rate(20)).await;
    let second = session.plan(BO, 1, rate(30)).await;
    session.confirm(BO, 2, &second).await;
    session.confirm(ADA, 2, &first).await;
    insta::assert_snapshot!(session.transcript());
}

#[tokio::test]
async fn data_centre_is_taken_out_and_returned_except_the_last_one() {
    let mut session = Session::start().await;
    session
        .apply_intents(support::intents_for_two_data_centres())
        .await;
    let address = session.control.entry_address();
    let mut east = Entry::connect(address, "entry-east", "east", 0).await;
    east.proof().await;
    let mut west = Entry::connect(address, "entry-west", "west", 10).await;
    west.proof().await;
    drop(west);
    wait_until_in_force_lists(&session, "unreachable", "entry-west").await;
    let out = json!({"take_out_data_centre": {"data_centre": "west"}});
    let plan = session.plan(ADA, 1, out).await;
    session.confirm(ADA, 2, &plan).await;
    session.note("the last one cannot go as well");
    let last = json!({"take_out_data_centre": {"data_centre": "east"}});
    session.plan(ADA, 3, last).await;
    session.note("nor can the last endpoint of a pool");
    let drain = json!({"drain_endpoint": {"endpoint": "decode-east"}});
    session.plan(ADA, 4, drain).await;
    let back = json!({"return_data_centre": {"data_centre": "west"}});
    let plan = session.plan(ADA, 5, back).await;
    session.confirm(ADA, 6, &plan).await;
    insta::assert_snapshot!(session.transcript());
}

#[tokio::test]
async fn withdrawn_key_is_reported_in_force_and_stays_withdrawn() {
    let mut session = Session::start().await;
    let account = json!({"put_account": {"account": "wisla", "rate": 10, "burst": 10}});
    let key = json!({"create_key": {"key": "wisla-1", "account": "wisla"}});
    session.apply_intents([account, key.clone()]).await;
    let mut entry = Entry::connect(session.control.entry_address(), "entry-1", "east", 2).await;
    entry.proof().await;
    let withdraw = json!({"withdraw_key": {"key": "wisla-1"}});
    let plan = session.plan(ADA, 1, withdraw.clone()).await;
    session.note("accepted, but not yet in force at the entry");
    session.confirm(ADA, 2, &plan).await;
    let revision = Revision(3);
    let change = entry.next_change().await;
    assert!(matches!(change, Some(ControlMessage::Delta(delta)) if delta.revision == revision));
    entry.report(revision).await;
    wait_until_in_force_lists(&session, "at", "entry-1").await;
    session.note("given again after the entry reported it");
    session.confirm(ADA, 2, &plan).await;
    session.note("the entry is lost");
    drop(entry);
    wait_until_in_force_lists(&session, "unreachable", "entry-1").await;
    session.confirm(ADA, 2, &plan).await;
    session.note("a withdrawn key stays withdrawn");
    session.plan(ADA, 3, withdraw).await;
    session.plan(ADA, 4, key).await;
    insta::assert_snapshot!(session.transcript());
}

#[tokio::test]
async fn unauthenticated_and_malformed_requests_are_refused() {
    let mut session = Session::start().await;
    session.call("mso-eve", "GET /v1/status", Value::Null).await;
    session.call("", "POST /v1/plans", json!({})).await;
    session
        .call(ADA, "POST /v1/plans", json!({"number": 1}))
        .await;
    let unknown_field = json!({"set_rate": {"account": "a", "rate": 1, "burst": 1, "colour": 3}});
    session.plan(ADA, 1, unknown_field).await;
    session.plan(ADA, 1, json!({"fly": {}})).await;
    let bad_name = json!({"remove_account": {"account": "A B"}});
    session.plan(ADA, 1, bad_name).await;
    session
        .call(ADA, "GET /v1/audit?after=x", Value::Null)
        .await;
    session.call(ADA, "GET /v2/nothing", Value::Null).await;
    session.call(ADA, "GET /v1/audit", Value::Null).await;
    insta::assert_snapshot!(session.transcript());
}

/// Waits until the status lists exactly this entry in a field of `in_force`.
async fn wait_until_in_force_lists(session: &Session, field: &str, entry: &str) {
    let admin = session.control.admin_address();
    let mut attempts = Attempts::default();
    loop {
        let (_, status) = support::call(admin, ADA, "GET /v1/status", &Value::Null).await;
        if status["in_force"][field] == json!([entry]) {
            return;
        }
        attempts.pause().await;
    }
}
