//! Merging of the gateways' reports at the leader, and the digest for gateways.

use std::time::Duration;

use googletest::prelude::*;
use mimosa_control::routing::speeds::ServiceSpeeds;
use mimosa_protocol::EndpointId;
use mimosa_protocol::ServiceId;
use mimosa_protocol::Timestamp;
use mimosa_route::message::MAX_SPEEDS;
use mimosa_schedule::speed::EndpointWork;
use mimosa_schedule::speed::WorkSums;

const START: Timestamp = Timestamp::from_secs(100);

fn service() -> ServiceId {
    "desk".parse().unwrap()
}

fn endpoint(number: usize) -> EndpointId {
    format!("i-{number}").parse().unwrap()
}

fn work(number: usize, millis: u64) -> EndpointWork {
    let mut sums = WorkSums::default();
    sums.record_call(Duration::from_millis(millis), 1, 0);
    EndpointWork {
        endpoint: endpoint(number),
        sums,
    }
}

/// One report of each of 40 gateways a second, for some seconds; returns the end.
fn report(speeds: &mut ServiceSpeeds, from: Timestamp, secs: u64, slow: u64) -> Timestamp {
    let listed = [endpoint(0), endpoint(1), endpoint(2)];
    let service = service();
    for second in 0..secs {
        let now = from + Duration::from_secs(second);
        for _ in 0..40 {
            speeds.record(now, &service, &[work(0, 10), work(1, 10), work(2, slow)]);
        }
        speeds.update(now, listed.iter().map(|id| (id, &service)));
    }
    from + Duration::from_secs(secs)
}

/// Guards against a digest that grows with the gateways, or is sent again without a change.
#[gtest]
fn only_changes_are_published() {
    let mut speeds = ServiceSpeeds::default();
    let now = report(&mut speeds, START, 10, 25);
    let (number, first) = speeds.changes_after(0);
    expect_that!(first, len(eq(3)));
    let slow = first
        .iter()
        .find(|each| each.endpoint == endpoint(2))
        .unwrap();
    expect_that!(slow.estimate.time_permille, ge(1_400));
    let now = report(&mut speeds, now, 10, 25);
    expect_that!(speeds.changes_after(number), eq(&(number, Vec::new())));
    report(&mut speeds, now, 20, 10);
    let (_, changed) = speeds.changes_after(number);
    let slow = changed
        .iter()
        .find(|each| each.endpoint == endpoint(2))
        .unwrap();
    expect_that!(slow.estimate.time_permille, le(1_200));
}

/// Guards against endpoints that a gateway makes up, and against those that are gone, filling the memory.
#[gtest]
fn endpoints_that_are_not_listed_are_removed() {
    let mut speeds = ServiceSpeeds::default();
    let service = service();
    let unknown: Vec<_> = (10..40).map(|number| work(number, 10)).collect();
    speeds.record(START, &service, &unknown);
    report(&mut speeds, START, 3, 10);
    let (_, published) = speeds.changes_after(0);
    expect_that!(published, len(eq(3)));
    speeds.update(START + Duration::from_secs(4), std::iter::empty());
    expect_that!(speeds.changes_after(0).1, is_empty());
}

/// Guards against messages that take a share of the link for hundreds of endpoints at once.
#[gtest]
fn many_changes_are_sent_in_parts() {
    let mut speeds = ServiceSpeeds::default();
    let service = service();
    let ids: Vec<_> = (0..150).map(endpoint).collect();
    for chunk in (0..150).collect::<Vec<_>>().chunks(MAX_SPEEDS) {
        let chunk: Vec<_> = chunk.iter().map(|number| work(*number, 10)).collect();
        speeds.record(START, &service, &chunk);
    }
    speeds.update(START, ids.iter().map(|id| (id, &service)));
    let (mut number, mut sizes) = (0, Vec::new());
    loop {
        let (last, part) = speeds.changes_after(number);
        if part.is_empty() {
            break;
        }
        sizes.push(part.len());
        number = last;
    }
    expect_that!(sizes, elements_are![eq(&64), eq(&64), eq(&22)]);
}

/// Guards against a digest that gateways never get after this instance led before.
#[gtest]
fn changes_are_numbered_on_after_a_loss_of_leadership() {
    let mut speeds = ServiceSpeeds::default();
    let now = report(&mut speeds, START, 5, 25);
    let (number, _) = speeds.changes_after(0);
    speeds.clear();
    expect_that!(speeds.changes_after(0).1, is_empty());
    report(&mut speeds, now, 5, 25);
    expect_that!(speeds.changes_after(number).1, len(eq(3)));
}
