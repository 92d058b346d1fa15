//! A request that repeatedly crashes engines is quarantined; other requests are still served.

use googletest::prelude::*;
use mimosa_standin::EngineSettings;

use crate::fixture::Fixture;
use crate::fixture::Setup;
use crate::http::Call;

/// Prompt that crashes an engine.
const POISON: &str = "poison";
/// Number of times that the crashing request is sent.
const SENDS: u64 = 8;
/// Maximum number of crashes before the request must be quarantined.
const MAX_CRASHES: u64 = 3;

/// A fixture whose engines crash when a prompt contains `POISON`.
async fn fixture_with_crashing_prompt() -> Fixture {
    let engine = EngineSettings {
        crash_marker: Some(POISON.to_owned()),
        ..EngineSettings::default()
    };
    Fixture::start(Setup {
        engine,
        ..Setup::default()
    })
    .await
}

fn crashes(fixture: &Fixture) -> u64 {
    let engines = std::iter::once(&fixture.prefill).chain(&fixture.decodes);
    engines.map(mimosa_standin::Engine::crashes).sum()
}

#[googletest::test]
#[tokio::test]
async fn a_request_that_crashes_engines_is_quarantined_while_others_are_served() {
    let fixture = fixture_with_crashing_prompt().await;
    let mut refused = 0;
    for number in 0..SENDS {
        let before = crashes(&fixture);
        let answer = fixture.call(Call::chat(POISON)).await;
        expect_that!(answer.status, not(eq(200)));
        if answer.body.contains(r#""ran":"no","reason":"quarantined""#) {
            refused += 1;
            expect_that!(answer.headers.contains_key("retry-after"), eq(true));
            expect_that!(
                crashes(&fixture),
                eq(before),
                "a refused request does not run"
            );
        } else {
            expect_that!(
                refused,
                eq(0),
                "the request remains quarantined: {}",
                answer.body
            );
        }
        let innocent = fixture
            .call(Call::chat(&format!("innocent {number}")))
            .await;
        expect_that!(innocent.status, eq(200), "{}", innocent.body);
    }
    expect_that!(crashes(&fixture), all![gt(0), le(MAX_CRASHES)]);
    expect_that!(refused, ge(SENDS - MAX_CRASHES));
    fixture.wait_until_no_holds().await;
}

/// Crashes after which at most `MAX_LATE_CRASHES` more may follow.
const PART_CRASHES: u64 = 5;
const MAX_LATE_CRASHES: u64 = 3;

#[googletest::test]
#[tokio::test]
async fn a_message_that_crashes_engines_is_quarantined_in_all_requests_that_contain_it() {
    let fixture = fixture_with_crashing_prompt().await;
    for number in 0..4 * SENDS {
        let own = format!("question {number}");
        fixture
            .call(Call::chat_with(&["rules of the house", POISON, &own]))
            .await;
        let sound = fixture
            .call(Call::chat_with(&["rules of the house", &own]))
            .await;
        expect_that!(sound.status, eq(200), "{number}: {}", sound.body);
    }
    expect_that!(
        crashes(&fixture),
        all![gt(0), le(PART_CRASHES + MAX_LATE_CRASHES)]
    );
    fixture.wait_until_no_holds().await;
}
