//! A response that belongs to another request is never relayed to a caller.

use googletest::prelude::*;
use mimosa_standin::Engine;
use mimosa_standin::engine::OTHER_PROMPT;
use mimosa_standin::engine::output;
use mimosa_standin::plain::Behaviour;

use crate::fixture::Fixture;
use crate::fixture::Setup;
use crate::http::Answer;
use crate::http::Call;

/// Output tokens of a response in these tests.
const OUTPUT_TOKENS: u64 = 8;
/// Number of consecutive requests that is enough for each of two endpoints to receive one.
const CALLS: u64 = 4;
/// Number of responses to misdeliver that outlasts all attempts of the requests in a test.
const ALWAYS: u32 = 1_000;

fn contains_other_response(answer: &Answer) -> bool {
    let first = output::token_text(OTHER_PROMPT, 0);
    answer.body.contains(first.trim()) || answer.body.contains(OTHER_PROMPT)
}

fn misdeliver(count: u32) -> Behaviour {
    Behaviour {
        misdeliver_next: count,
        ..Behaviour::default()
    }
}

#[googletest::test]
#[tokio::test]
async fn an_engine_response_to_another_request_is_dropped_and_the_request_retried() {
    let fixture = Fixture::start(Setup::default()).await;
    for engine in &fixture.decodes {
        engine.misdeliver_next(1);
        for _ in 0..CALLS {
            let answer = fixture.call(Call::chat("own")).await;
            expect_that!(answer.status, eq(200), "{}", answer.body);
            expect_that!(
                answer.body,
                contains_substring(output::full_text("own", OUTPUT_TOKENS))
            );
            expect_that!(
                contains_other_response(&answer),
                eq(false),
                "{}",
                answer.body
            );
        }
        engine.misdeliver_next(0);
    }
    let runs: u64 = fixture.decodes.iter().map(Engine::runs).sum();
    expect_that!(
        runs,
        gt(2 * CALLS),
        "a request got a wrong response and was retried"
    );
    for engine in &fixture.decodes {
        engine.misdeliver_next(ALWAYS);
    }
    for call in [Call::chat("own"), Call::streamed("own")] {
        let answer = fixture.call(call).await;
        expect_that!(answer.status, eq(502));
        expect_that!(answer.body, contains_substring(r#""ran":"unknown""#));
        expect_that!(
            contains_other_response(&answer),
            eq(false),
            "{}",
            answer.body
        );
    }
    fixture.wait_until_no_holds().await;
}

#[googletest::test]
#[tokio::test]
async fn a_plain_response_to_another_request_is_dropped_and_only_a_get_retried() {
    let fixture = Fixture::start(Setup::default()).await;
    for plain in &fixture.plains {
        plain.set_behaviour(misdeliver(1));
        for _ in 0..CALLS {
            let answer = fixture.call(Call::get("/services/orders/stock")).await;
            expect_that!(answer.status, eq(200), "{}", answer.body);
            expect_that!(answer.body, contains_substring("/stock"));
            expect_that!(
                contains_other_response(&answer),
                eq(false),
                "{}",
                answer.body
            );
        }
        plain.set_behaviour(Behaviour::default());
    }
    let runs = || -> u64 { fixture.plains.iter().map(mimosa_standin::Plain::runs).sum() };
    expect_that!(
        runs(),
        gt(2 * CALLS),
        "a GET got a wrong response and was retried"
    );
    let before = runs();
    for plain in &fixture.plains {
        plain.set_behaviour(misdeliver(ALWAYS));
    }
    let charge = Call::post("/services/orders/charge", "12");
    let answer = fixture.call(charge).await;
    expect_that!(answer.status, eq(502));
    expect_that!(answer.body, contains_substring(r#""ran":"unknown""#));
    expect_that!(
        contains_other_response(&answer),
        eq(false),
        "{}",
        answer.body
    );
    expect_that!(
        runs(),
        eq(before + 1),
        "a request that may have run is not retried"
    );
}
