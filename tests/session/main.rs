//! End-to-end tests with separate processes on loopback: control instances, entries in one or
//! several data centres, stand-in engines and a stand-in plain service.

mod addresses;
mod caller;
mod cut_head;
mod demo;
mod endless;
mod failures;
mod payouts;
mod planned_stop;
mod process;
mod reload;
mod setup;
mod system;
mod transcript;

use googletest::prelude::*;

use crate::caller::Call;
use crate::system::System;

const CHAT: &str = "/v1/chat/completions";
const VERSE_REQUEST: &str =
    r#"{"model": "verse", "max_tokens": 3, "messages": [{"role": "user", "content": "A verse"}]}"#;
const VERSE_STREAM: &str = r#"{"model": "verse", "max_tokens": 3, "stream": true, "messages": [{"role": "user", "content": "A verse"}]}"#;

/// Compares a complete session of an operator and a caller with its recorded transcript.
#[googletest::test]
#[tokio::test(flavor = "multi_thread")]
async fn a_first_session_of_operator_and_caller_matches_its_transcript() {
    let mut system = System::start(&[("north", "north"), ("south", "south")]).await;
    system
        .operator(&[
            "plan",
            "--number",
            "1",
            "put-account",
            "account=orchid",
            "rate=2000",
            "burst=20000",
        ])
        .await;
    system.operator(&["confirm", "--number", "2", "1"]).await;
    system
        .operator(&[
            "plan",
            "--number",
            "3",
            "create-key",
            "key=orchid-1",
            "account=orchid",
        ])
        .await;
    system.operator(&["confirm", "--number", "4", "2"]).await;
    system.set_up_services().await;
    system.wait_until_in_force().await;

    system.call("north", Call::post(CHAT, VERSE_REQUEST)).await;
    system.call("south", Call::post(CHAT, VERSE_STREAM)).await;
    system.call("north", Call::get("/v1/models")).await;
    system
        .call("south", Call::get("/services/orders/stock?item=7"))
        .await;
    let charge = Call::post("/services/orders/charge", "amount=12");
    let charge = charge.header("idempotency-key", "order-17");
    system.call("north", charge.clone()).await;
    system.call("south", charge.clone()).await;
    system.call("south", charge.body("amount=13")).await;

    system
        .call("north", Call::post(CHAT, "{").label("malformed"))
        .await;
    system
        .call(
            "north",
            Call::post(CHAT, &VERSE_REQUEST.replace("verse", "poem")),
        )
        .await;
    system.call("north", Call::get("/v1/nothing")).await;
    system
        .call("north", Call::post(CHAT, VERSE_REQUEST).key("msk-unknown"))
        .await;
    system
        .call("north", Call::post(CHAT, VERSE_REQUEST).without_key())
        .await;

    system
        .operator(&["plan", "--number", "90", "withdraw-key", "key=orchid-1"])
        .await;
    let plan = system.last_plan();
    system.operator(&["confirm", "--number", "91", &plan]).await;
    system.wait_until_in_force().await;
    system.call("north", Call::post(CHAT, VERSE_REQUEST)).await;
    system.call("south", Call::post(CHAT, VERSE_REQUEST)).await;
    insta::assert_snapshot!("first_session", system.transcript());
    expect_that!(system.texts_containing_caller_key(), is_empty());
    system.stop().await;
}
