//! Calls to plain services that crash each endpoint that begins to run them, and come again.

use std::time::Duration;

use googletest::prelude::*;
use mimosa_protocol::configuration::EndpointRole;
use tokio::time::sleep;

use crate::fixture::Fixture;
use crate::fixture::Setup;
use crate::http::Call;
use crate::raw::RawEndpoint;

const CRASHING: &str = "/charge-all";
/// Crashes after which the users allow `MAX_LATE_CRASHES` more.
const CRASHES: usize = 3;
const MAX_LATE_CRASHES: usize = 3;
/// Times that the call is sent.
const SENDS: usize = 16;
/// Time in which a crash is noticed.
const NOTICE_TIME: Duration = Duration::from_millis(200);

async fn start_endpoint(fixture: &Fixture) -> RawEndpoint {
    let raw = RawEndpoint::ending_on(CRASHING).await;
    raw.replace(fixture, EndpointRole::Plain).await;
    raw
}

#[googletest::test]
#[tokio::test]
async fn a_charge_that_crashed_three_endpoints_stops_while_others_are_served() {
    let fixture = Fixture::start(Setup::default()).await;
    let mut endpoint = start_endpoint(&fixture).await;
    let mut crashes = 0;
    for _ in 0..SENDS {
        let answer = fixture
            .call(Call::post("/services/orders/charge-all", "12"))
            .await;
        expect_that!(answer.status, not(eq(200)));
        sleep(NOTICE_TIME).await;
        if endpoint.has_ended() {
            crashes += 1;
            endpoint = start_endpoint(&fixture).await;
        }
        let answer = fixture
            .call(Call::post("/services/orders/charge", "12"))
            .await;
        expect_that!(answer.status, eq(200), "{}", answer.body);
    }
    expect_that!(crashes, all![ge(CRASHES), le(CRASHES + MAX_LATE_CRASHES)]);
}
