//! A planned stop of an entry while endpoints do not answer.

use googletest::prelude::*;
use tokio::io::AsyncReadExt;
use tokio::net::TcpListener;
use tokio::sync::mpsc;

use crate::caller::Call;
use crate::system::System;

const CHAT: &str = "/v1/chat/completions";
const REQUEST: &str =
    r#"{"model": "verse", "max_tokens": 2, "messages": [{"role": "user", "content": "short"}]}"#;

/// An endpoint that reads requests and never answers. Returns its address, and reports each request.
async fn start_silent_endpoint() -> (String, mpsc::UnboundedReceiver<()>) {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap().to_string();
    let (tx, received) = mpsc::unbounded_channel();
    tokio::spawn(async move {
        while let Ok((mut stream, _)) = listener.accept().await {
            let tx = tx.clone();
            tokio::spawn(async move {
                let mut buf = [0; 4096];
                while let Ok(length) = stream.read(&mut buf).await
                    && length > 0
                {
                    if buf.starts_with(b"POST") {
                        tx.send(()).ok();
                    }
                }
            });
        }
    });
    (address, received)
}

/// Stops the entry while a request waits for an endpoint of this role, and expects an answer that names
/// what is known of its run.
async fn expect_answer(role: &str, call: Call) {
    let (address, mut received) = start_silent_endpoint().await;
    let limits = "drain_time = \"2s\"";
    let mut system = System::start_with_limits(1, &[("a", "north")], limits).await;
    system.replace_endpoint(role, address);
    system.set_up_client_and_services().await;
    let answer = async { system.send("a", &call).await };
    let stop = async {
        received.recv().await;
        system.signal("a", "TERM");
    };
    let (answer, ()) = tokio::join!(answer, stop);
    // 503 would promise that the request was not executed.
    expect_that!(answer.status, eq(502), "{role}");
    expect_that!(
        answer.body,
        contains_substring(r#""ran":"unknown""#),
        "{role}"
    );
}

// Guards against LOST: the end of the drain time cut requests in work without an answer.
#[googletest::test]
#[tokio::test(flavor = "multi_thread")]
async fn a_request_in_work_at_a_prefill_engine_gets_an_answer_before_the_entry_ends() {
    expect_answer("prefill", Call::post(CHAT, REQUEST)).await;
}

#[googletest::test]
#[tokio::test(flavor = "multi_thread")]
async fn a_request_in_work_at_a_decode_engine_gets_an_answer_before_the_entry_ends() {
    expect_answer("decode", Call::post(CHAT, REQUEST)).await;
}

#[googletest::test]
#[tokio::test(flavor = "multi_thread")]
async fn an_unrepeatable_call_in_work_gets_an_answer_before_the_entry_ends() {
    let call = Call::post("/services/orders/charge", "amount=12");
    expect_answer("plain", call.header("idempotency-key", "order-17")).await;
}
