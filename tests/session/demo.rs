//! Test of `demo --gateway`.

use googletest::prelude::*;

use crate::caller::Call;
use crate::process::Process;

#[googletest::test]
#[tokio::test]
async fn gateway_demo_serves_requests_at_the_printed_addresses() {
    let mut demo = Process::start(&["demo", "--gateway"]);
    let gateway = demo.wait_for_line("gateway: http://");
    let metrics = demo.wait_for_line("metrics: http://");
    let control = demo.wait_for_line("control instance: http://");
    let call = |path: &str| {
        let call = Call::post(path, "letter");
        call.header("host", "shop.example")
            .header("x-api-key", "demo-key")
    };
    let plain = call("/stock/1").send(&gateway, "").await;
    expect_that!(plain.status, eq(200));
    expect_that!(plain.body, eq("6 bytes arrived for orchid\n"));
    let stream = call("/verses/1").header("x-token-count", "100,200");
    let stream = stream.send(&gateway, "").await;
    expect_that!(stream.status, eq(200));
    expect_that!(stream.body, contains_substring("line 12 of a verse"));
    let document = Call::get("/api/config").send(&control, "").await;
    expect_that!(document.body, contains_substring("\"version\":1"));
    let counted = Call::get("/metrics").send(&metrics, "").await;
    expect_that!(
        counted.body,
        contains_substring("mimosa_gateway_requests_total")
    );
    expect_that!(demo.terminate(), eq(true));
}
