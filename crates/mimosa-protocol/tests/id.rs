//! Parsing and formatting of identifiers and rates.

use googletest::prelude::*;

use mimosa_protocol::AccountId;
use mimosa_protocol::RequestId;
use mimosa_protocol::TokenRate;
use mimosa_protocol::Tokens;

#[googletest::test]
fn empty_and_malformed_names_are_rejected_with_the_rule() {
    expect_that!("kembang-tekan".parse::<AccountId>(), ok(anything()));
    expect_that!(
        "".parse::<AccountId>(),
        err(displays_as(contains_substring("it is empty")))
    );
    expect_that!(
        "Wisła".parse::<AccountId>(),
        err(displays_as(contains_substring("lowercase")))
    );
    expect_that!(
        "-x".parse::<AccountId>(),
        err(displays_as(contains_substring("start")))
    );
}

#[googletest::test]
fn names_are_validated_when_read_from_json() {
    let id: AccountId = serde_json::from_str("\"kembang-tekan\"").unwrap();
    expect_that!(serde_json::to_string(&id).unwrap(), eq("\"kembang-tekan\""));
    expect_that!(
        serde_json::from_str::<AccountId>("\"A B\""),
        err(anything())
    );
}

#[googletest::test]
fn a_request_id_round_trips_as_32_hexadecimal_digits() {
    let id = RequestId(0xab);
    expect_that!(id.to_string(), eq("000000000000000000000000000000ab"));
    expect_that!(id.to_string().parse::<RequestId>(), ok(eq(&id)));
}

#[googletest::test]
fn a_rate_converts_between_time_and_tokens() {
    let rate = TokenRate(3);
    expect_that!(
        rate.tokens_in(std::time::Duration::from_secs(2)),
        eq(Tokens(6))
    );
    expect_that!(
        rate.time_for(Tokens(1)),
        some(eq(std::time::Duration::from_micros(333_334)))
    );
    expect_that!(TokenRate(0).time_for(Tokens(1)), none());
}
