//! Graceful shutdown does not interrupt requests in flight.

use std::time::Duration;

use googletest::prelude::*;
use http_body_util::BodyExt;
use mimosa_protocol::Tokens;
use mimosa_standin::Engine;
use mimosa_standin::EngineSettings;

use crate::fixture::Fixture;
use crate::fixture::Setup;
use crate::http::Call;

#[googletest::test]
#[tokio::test]
async fn on_shutdown_requests_in_flight_finish_and_new_ones_are_refused_as_not_run() {
    let engine = EngineSettings {
        output: Tokens(40),
        token_gap: Duration::from_millis(20),
        ..EngineSettings::default()
    };
    let fixture = Fixture::start(Setup {
        engine,
        ..Setup::default()
    })
    .await;
    let address = fixture.entry.address();
    let mut stream = Call::streamed("in flight").open(address).await;
    let _first = stream.body_mut().frame().await.expect("a first frame");
    let Fixture { entry, decodes, .. } = fixture;
    let shutdown = tokio::spawn(async move {
        entry.shutdown().await;
        decodes.iter().flat_map(Engine::kv_allocations).count()
    });
    while Call::get("/readyz").send(address).await.status == 200 {
        tokio::task::yield_now().await;
    }
    let refused = Call::chat("new").send(address).await;
    expect_that!(refused.status, eq(503));
    expect_that!(
        refused.body,
        contains_substring(r#""ran":"no","reason":"draining""#)
    );
    let rest = stream
        .into_body()
        .collect()
        .await
        .expect("the stream is not interrupted");
    let rest = String::from_utf8_lossy(&rest.to_bytes()).into_owned();
    expect_that!(rest, ends_with("data: [DONE]\n\n"));
    let held = shutdown.await.expect("the shutdown task does not panic");
    expect_that!(
        held,
        eq(0),
        "the shutdown returns after the requests in flight have ended"
    );
}
