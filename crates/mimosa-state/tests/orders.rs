//! Orders are answered once, plans take effect at their confirm, and refusals change nothing.

mod fixture;

use googletest::prelude::*;
use mimosa_protocol::Revision;
use mimosa_protocol::Timestamp;
use mimosa_state::Intent;
use mimosa_state::Refusal;
use mimosa_state::engine::EngineOrderKind;
use mimosa_state::orders::MAX_ORDERS_PER_OPERATOR;
use mimosa_state::plan::MAX_PENDING_PLANS;
use mimosa_state::plan::Undo;
use serde_json::Value;
use serde_json::json;

use crate::fixture::Fixture;

fn rate(rate: u64) -> Value {
    json!({"set_rate": {"account": "wisla", "rate": rate, "burst": 1000}})
}

#[googletest::test]
fn a_plan_changes_nothing_before_its_confirm() {
    let mut fixture = Fixture::with_two_data_centres();
    let before = fixture.machine.configuration().clone();
    let plan = fixture.plan("ada", 1, rate(7)).unwrap();
    expect_that!(fixture.machine.configuration(), eq(&before));
    let confirmation = fixture.confirm("ada", 2, plan.id).unwrap();
    expect_that!(confirmation.revision, eq(before.revision.next()));
    let account = &fixture.machine.configuration().accounts[&"wisla".parse().unwrap()];
    expect_that!(account.rate.get(), eq(7));
}

#[googletest::test]
fn a_key_withdrawal_is_dated_at_its_confirm() {
    let mut fixture = Fixture::with_two_data_centres();
    let withdraw = json!({"withdraw_key": {"key": "k-1"}});
    let plan = fixture.plan("ada", 1, withdraw).unwrap();
    fixture.now = Timestamp::from_secs(60);
    fixture.confirm("ada", 2, plan.id).unwrap();
    let key = &fixture.machine.configuration().keys[&"k-1".parse().unwrap()];
    expect_that!(key.withdrawn, some(eq(Timestamp::from_secs(60))));
}

#[googletest::test]
fn evicted_order_numbers_are_refused_as_too_old_per_operator() {
    let mut fixture = Fixture::with_two_data_centres();
    let first = fixture.plan("ada", 1, rate(7));
    for number in 2..=MAX_ORDERS_PER_OPERATOR as u64 {
        fixture.plan("ada", number, rate(7)).unwrap();
    }
    expect_that!(fixture.plan("ada", 1, rate(7)), eq(&first));
    fixture.plan("ada", 1_000, rate(7)).unwrap();
    expect_that!(
        fixture.plan("ada", 1, rate(7)),
        err(matches_pattern!(Refusal::OrderTooOld { .. }))
    );
    // The limit applies to each operator separately.
    expect_that!(fixture.plan("bo", 1, rate(7)), ok(anything()));
    expect_that!(fixture.machine.plans().count(), le(MAX_PENDING_PLANS));
}

#[googletest::test]
fn a_newer_engine_order_has_a_higher_fencing_token_and_goes_with_its_endpoint() {
    let mut fixture = Fixture::with_two_data_centres();
    let load = |version: &str| json!({"load_model": {"endpoint": "decode-east", "model": "verse", "version": version}});
    let newest = |fixture: &Fixture| {
        fixture
            .machine
            .engine_orders()
            .iter()
            .next()
            .unwrap()
            .clone()
    };
    fixture.plan_and_confirm(load("1"));
    let first = newest(&fixture);
    fixture.plan_and_confirm(load("2"));
    let second = newest(&fixture);
    expect_that!(second.fencing, gt(first.fencing));
    expect_that!(
        second.kind,
        matches_pattern!(EngineOrderKind::LoadModel {
            version: eq("2"),
            ..
        })
    );
    fixture.plan_and_confirm(
        json!({"put_endpoint": {"endpoint": "decode-2", "service": "verse",
        "data_centre": "east", "role": "decode", "address": "127.0.0.1:9100"}}),
    );
    fixture.plan_and_confirm(json!({"remove_endpoint": {"endpoint": "decode-east"}}));
    expect_that!(fixture.machine.engine_orders().iter().count(), eq(0));
}

#[googletest::test]
fn the_undo_intent_of_a_plan_restores_the_configuration() {
    let cases = [
        rate(7),
        json!({"put_account": {"account": "wisla", "rate": 1, "burst": 1, "weight": 3}}),
        json!({"put_service": {"service": "verse", "kind": "model", "open": true}}),
        json!({"take_out_data_centre": {"data_centre": "west"}}),
        json!({"drain_endpoint": {"endpoint": "decode-east"}}),
        json!({"remove_endpoint": {"endpoint": "plain-west"}}),
        json!({"put_endpoint": {"endpoint": "plain-west", "service": "orders",
            "data_centre": "west", "role": "plain", "address": "127.0.0.1:9200"}}),
    ];
    for intent in cases {
        let mut fixture = Fixture::with_two_data_centres();
        let before = fixture.machine.configuration().clone();
        let plan = fixture.plan("ada", 1, intent.clone()).unwrap();
        fixture.confirm("ada", 2, plan.id).unwrap();
        let Undo::By(undo) = plan.undo else {
            panic!("the plan for {intent} has no undo intent");
        };
        let undo: Value = serde_json::to_value::<Intent>(*undo).unwrap();
        fixture.plan_and_confirm(undo);
        let after = fixture.machine.configuration().clone();
        let revision = Revision(0);
        expect_that!(
            mimosa_protocol::Configuration { revision, ..after },
            eq(&mimosa_protocol::Configuration { revision, ..before }),
            "{intent}"
        );
    }
}

#[googletest::test]
fn refusals_change_nothing_and_are_audited() {
    let endpoint = |field: &str, value: Value| {
        let mut spec = json!({"endpoint": "new", "service": "verse", "data_centre": "east",
            "role": "decode", "address": "127.0.0.1:9300"});
        spec[field] = value;
        json!({ "put_endpoint": spec })
    };
    let cases = [
        (
            json!({"remove_account": {"account": "nobody"}}),
            "unknown_account",
        ),
        (
            json!({"set_rate": {"account": "wisla", "rate": 0, "burst": 1}}),
            "bad_value",
        ),
        (rate(100), "nothing_changes"),
        (
            json!({"put_account": {"account": "a", "rate": 1, "burst": 1, "weight": 0}}),
            "bad_value",
        ),
        (
            json!({"put_account": {"account": "a", "rate": 1, "burst": 1, "services": ["x"]}}),
            "unknown_service",
        ),
        (
            json!({"create_key": {"key": "k-1", "account": "wisla", "digest": "cd".repeat(32)}}),
            "key_exists",
        ),
        (
            json!({"create_key": {"key": "k-2", "account": "wisla", "digest": "ab".repeat(32)}}),
            "secret_used",
        ),
        (
            json!({"create_key": {"key": "k-2", "account": "wisla", "digest": "éé"}}),
            "bad_value",
        ),
        (json!({"withdraw_key": {"key": "k-9"}}), "unknown_key"),
        (
            json!({"put_service": {"service": "verse", "kind": "plain"}}),
            "kind_in_use",
        ),
        (
            json!({"put_service": {"service": "s", "kind": "plain", "max_queue_time_ms": 0}}),
            "bad_value",
        ),
        (
            json!({"remove_service": {"service": "s"}}),
            "unknown_service",
        ),
        (
            json!({"put_data_centre": {"data_centre": "x", "link_rate": 0}}),
            "bad_value",
        ),
        (
            json!({"take_out_data_centre": {"data_centre": "x"}}),
            "unknown_data_centre",
        ),
        (
            json!({"return_data_centre": {"data_centre": "east"}}),
            "nothing_changes",
        ),
        (endpoint("service", json!("s")), "unknown_service"),
        (endpoint("data_centre", json!("x")), "unknown_data_centre"),
        (endpoint("role", json!("plain")), "role_mismatch"),
        (
            endpoint("address", json!("127.0.0.1:9001")),
            "address_taken",
        ),
        (endpoint("capacity", json!({"concurrency": 0})), "bad_value"),
        (
            json!({"drain_endpoint": {"endpoint": "x"}}),
            "unknown_endpoint",
        ),
        (
            json!({"set_role": {"endpoint": "decode-east", "role": "decode"}}),
            "nothing_changes",
        ),
        (
            json!({"load_model": {"endpoint": "plain-east", "model": "m", "version": "1"}}),
            "bad_value",
        ),
        (
            json!({"load_model": {"endpoint": "decode-east", "model": "a b", "version": "1"}}),
            "bad_value",
        ),
    ];
    let mut fixture = Fixture::with_two_data_centres();
    let before = fixture.machine.configuration().clone();
    for (number, (intent, code)) in cases.into_iter().enumerate() {
        let answer = fixture.plan("ada", number as u64, intent.clone());
        let found = answer.as_ref().map_err(Refusal::code);
        expect_that!(found, err(eq(code)), "{intent}");
        let last = fixture.machine.audit().last();
        let record = fixture.machine.audit().after(last - 1).next().unwrap();
        expect_that!(
            serde_json::to_string(record).unwrap(),
            contains_substring(code)
        );
    }
    expect_that!(fixture.machine.configuration(), eq(&before));
}

#[googletest::test]
fn plans_that_would_empty_a_pool_of_a_service_are_refused() {
    let mut fixture = Fixture::with_two_data_centres();
    fixture.plan_and_confirm(json!({"take_out_data_centre": {"data_centre": "west"}}));
    let cases = [
        json!({"take_out_data_centre": {"data_centre": "east"}}),
        json!({"drain_endpoint": {"endpoint": "decode-east"}}),
        json!({"remove_endpoint": {"endpoint": "plain-east"}}),
        json!({"set_role": {"endpoint": "prefill-east", "role": "decode"}}),
    ];
    for (number, intent) in cases.into_iter().enumerate() {
        let answer = fixture.plan("ada", number as u64, intent.clone());
        let code = answer.as_ref().map_err(Refusal::code).err();
        let expected = ["last_data_centre", "service_would_stop"];
        expect_true!(
            code.is_some_and(|code| expected.contains(&code)),
            "{intent}: {code:?}"
        );
    }
    expect_that!(
        fixture.plan("ada", 9, json!({"remove_service": {"service": "verse"}})),
        ok(anything())
    );
}
