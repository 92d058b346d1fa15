//! Each caller receives its own response, complete or marked as incomplete, and exactly once.

use std::time::Duration;

use googletest::prelude::*;
use http_body_util::BodyExt;
use mimosa_protocol::Tokens;
use mimosa_standin::Engine;
use mimosa_standin::EngineSettings;
use mimosa_standin::engine::output;

use crate::fixture::Fixture;
use crate::fixture::Setup;
use crate::http::Call;

/// Output tokens of a response in these tests.
const OUTPUT_TOKENS: u64 = 8;

/// Number of consecutive requests that is enough for each of two endpoints to receive one.
const CALLS: u64 = 4;

/// Longer than any test runs.
const FOREVER: Duration = Duration::from_secs(3_600);

/// The generated text of a streamed response.
fn text_of(stream: &str) -> String {
    let events = stream
        .split("\n\n")
        .filter_map(|event| event.strip_prefix("data: "));
    events
        .filter_map(|event| serde_json::from_str::<serde_json::Value>(event).ok())
        .filter_map(|event| {
            event["choices"][0]["delta"]["content"]
                .as_str()
                .map(str::to_owned)
        })
        .collect()
}

#[googletest::test]
#[tokio::test]
async fn concurrent_requests_each_get_their_own_complete_response() {
    let fixture = Fixture::start(Setup::default()).await;
    let prompts: Vec<_> = (0..16).map(|number| format!("prompt {number}")).collect();
    let calls = prompts
        .iter()
        .map(|prompt| fixture.call(Call::streamed(prompt)));
    let answers = futures_util::future::join_all(calls).await;
    for (prompt, answer) in prompts.iter().zip(answers) {
        expect_that!(answer.status, eq(200));
        expect_that!(
            text_of(&answer.body),
            eq(&output::full_text(prompt, OUTPUT_TOKENS))
        );
        expect_that!(answer.body, ends_with("data: [DONE]\n\n"));
    }
    fixture.wait_until_no_holds().await;
}

#[googletest::test]
#[tokio::test]
async fn a_refusal_or_lost_connection_before_the_first_byte_is_retried_at_another_endpoint() {
    let engine = EngineSettings {
        prefill_life: FOREVER,
        ..EngineSettings::default()
    };
    let fixture = Fixture::start(Setup {
        engine,
        ..Setup::default()
    })
    .await;
    for engine in &fixture.decodes {
        engine.refuse_next(1);
    }
    let answer = fixture.call(Call::streamed("refused")).await;
    expect_that!(
        text_of(&answer.body),
        eq(&output::full_text("refused", OUTPUT_TOKENS))
    );
    let runs = || {
        fixture
            .decodes
            .iter()
            .map(mimosa_standin::Engine::runs)
            .sum::<u64>()
    };
    let before = runs();
    for engine in &fixture.decodes {
        engine.abort_next(1);
        for _ in 0..CALLS {
            let answer = fixture.call(Call::chat("cut")).await;
            expect_that!(answer.status, eq(200), "{}", answer.body);
            expect_that!(
                answer.body,
                contains_substring(output::full_text("cut", OUTPUT_TOKENS))
            );
        }
        engine.abort_next(0);
    }
    expect_that!(
        runs(),
        gt(before + 2 * CALLS),
        "a run lost its connection and was retried"
    );
    fixture.wait_until_no_holds().await;
}

#[googletest::test]
#[tokio::test]
async fn a_stream_that_breaks_off_ends_with_an_error_event() {
    let fixture = Fixture::start(Setup::default()).await;
    let cut: fn(&Engine) = |engine| engine.abort_next(1);
    let stop: fn(&Engine) = |engine| engine.truncate_next(1);
    for (case, end) in [("cut", cut), ("no closing event", stop)] {
        fixture.decodes.iter().for_each(end);
        let answer = fixture.call(Call::streamed(case)).await;
        expect_that!(
            text_of(&answer.body),
            eq(&output::full_text(case, 1)),
            "{case}: no second run is spliced in"
        );
        expect_that!(
            answer.complete,
            eq(true),
            "{case}: the response body ends without an error"
        );
        expect_that!(answer.body, not(contains_substring("[DONE]")), "{case}");
        expect_that!(
            answer.body,
            contains_substring(r#""ran":"failed""#),
            "{case}"
        );
        fixture.wait_until_no_holds().await;
        fixture.decodes.iter().for_each(|engine| {
            engine.abort_next(0);
            engine.truncate_next(0);
        });
    }
}

#[googletest::test]
#[tokio::test]
async fn a_disconnected_caller_frees_the_engine_memory() {
    let engine = EngineSettings {
        output: Tokens(1_000_000),
        token_gap: Duration::from_millis(5),
        ..EngineSettings::default()
    };
    let fixture = Fixture::start(Setup {
        engine,
        ..Setup::default()
    })
    .await;
    let mut response = Call::streamed("leaves").open(fixture.entry.address()).await;
    let first = response.body_mut().frame().await.expect("a first frame");
    let first = first.ok().and_then(|frame| frame.into_data().ok());
    let first = String::from_utf8_lossy(&first.unwrap_or_default()).into_owned();
    expect_that!(
        text_of(&first),
        starts_with(output::token_text("leaves", 0))
    );
    let held = fixture
        .decodes
        .iter()
        .flat_map(Engine::kv_allocations)
        .count();
    expect_that!(
        held,
        eq(1),
        "the response is streamed before it is complete"
    );
    drop(response);
    fixture.wait_until_no_holds().await;
    fixture
        .wait_for_metric("mimosa_holds{up_to_seconds=\"any\"} 0")
        .await;
}

#[googletest::test]
#[tokio::test]
async fn a_request_that_crashed_its_endpoint_is_not_reported_as_not_run() {
    let engine = EngineSettings {
        crash_marker: Some("poison".to_owned()),
        ..EngineSettings::default()
    };
    let fixture = Fixture::start(Setup {
        engine,
        ..Setup::default()
    })
    .await;
    let answer = fixture.call(Call::chat("poison")).await;
    expect_that!(answer.status, not(eq(200)));
    expect_that!(answer.body, not(contains_substring(r#""ran":"no""#)));
}
