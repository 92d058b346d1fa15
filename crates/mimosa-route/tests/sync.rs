//! Synchronisation of endpoint lists from the leader to gateways.

use std::collections::BTreeMap;
use std::time::Duration;

use googletest::prelude::*;
use mimosa_protocol::EndpointId;
use mimosa_protocol::configuration::EndpointRole;
use mimosa_protocol::configuration::EndpointState;
use mimosa_route::EndpointList;
use mimosa_route::ListedEndpoint;
use mimosa_route::sync;
use mimosa_route::sync::BUCKET_COUNT;
use mimosa_route::sync::ListChange;
use mimosa_route::sync::ListDigest;
use mimosa_route::sync::ListParts;
use mimosa_route::sync::ListTracker;
use mimosa_route::sync::UpdateAction;
use serde::Serialize;

/// Number of endpoints in a large deployment, for which the synchronisation is designed.
const ENDPOINT_COUNT: u32 = 3_000;
const NO_TIME: Duration = Duration::ZERO;

fn endpoint(number: u32) -> ListedEndpoint {
    ListedEndpoint {
        id: format!("i-{number:08x}").parse().unwrap(),
        service: "verse".parse().unwrap(),
        address: format!("10.{}.{}.9:8080", number / 250, number % 250)
            .parse()
            .unwrap(),
        data_centre: "north".parse().unwrap(),
        role: EndpointRole::Decode,
        state: EndpointState::Active,
        slots: 16,
        cold_remaining: NO_TIME,
        started_at_ms: 1_700_000_000_000 + u64::from(number),
        version: None,
    }
}

fn list(term: u64, sequence: u64, numbers: impl IntoIterator<Item = u32>) -> EndpointList {
    EndpointList {
        term,
        sequence,
        endpoints: numbers.into_iter().map(endpoint).collect(),
    }
}

fn encoded_size(message: &impl Serialize) -> usize {
    postcard::to_stdvec(message).unwrap().len()
}

/// The receiving side: a tracker and the endpoints received so far.
#[derive(Default)]
struct Gateway {
    tracker: ListTracker,
    endpoints: BTreeMap<EndpointId, ListedEndpoint>,
}

impl Gateway {
    /// Receives the leader's digest on a new connection and fetches the buckets that differ.
    /// Returns the number of bytes received.
    fn connect(&mut self, leader: &EndpointList) -> usize {
        let digest: ListDigest = leader.digest(NO_TIME);
        let own = sync::bucket_hashes(self.endpoints.values());
        match self.tracker.on_digest(&digest, &own) {
            UpdateAction::Request(buckets) => {
                let parts = leader.parts(&buckets, NO_TIME);
                self.receive_parts(&parts);
                encoded_size(&digest) + encoded_size(&parts)
            }
            _ => encoded_size(&digest),
        }
    }

    fn receive_parts(&mut self, parts: &ListParts) {
        if self.tracker.on_parts(parts) == UpdateAction::Apply {
            self.endpoints
                .retain(|id, _| !parts.buckets.contains(&sync::bucket_of(id)));
            self.upsert(&parts.endpoints);
        }
    }

    fn receive_change(&mut self, change: &ListChange) -> UpdateAction {
        let action = self.tracker.on_change(change);
        if action == UpdateAction::Apply {
            self.upsert(&change.upserted);
            for id in &change.removed {
                self.endpoints.remove(id);
            }
        }
        action
    }

    fn upsert(&mut self, endpoints: &[ListedEndpoint]) {
        for each in endpoints {
            self.endpoints.insert(each.id.clone(), each.clone());
        }
    }

    fn matches_list(&self, leader: &EndpointList) -> bool {
        let listed = leader.endpoints.iter();
        let listed: BTreeMap<_, _> = listed.map(|each| (each.id.clone(), each.clone())).collect();
        self.endpoints == listed
    }
}

#[gtest]
fn gateway_without_a_list_receives_all_buckets() {
    let leader = list(1, 1, 0..ENDPOINT_COUNT);
    let mut gateway = Gateway::default();
    expect_that!(gateway.tracker.is_complete(), eq(false));
    gateway.connect(&leader);
    expect_that!(gateway.tracker.is_complete(), eq(true));
    expect_that!(gateway.matches_list(&leader), eq(true));
}

#[gtest]
fn empty_list_counts_as_complete() {
    let mut gateway = Gateway::default();
    gateway.connect(&list(1, 1, []));
    expect_that!(gateway.tracker.is_complete(), eq(true));
}

/// With 290 gateways on 10 Mbit/s links, a leader change must not resend the list to each of them.
#[gtest]
fn leader_change_with_identical_list_costs_only_a_digest() {
    let mut gateway = Gateway::default();
    let first = gateway.connect(&list(1, 7, 0..ENDPOINT_COUNT));
    let again = gateway.connect(&list(2, 1, 0..ENDPOINT_COUNT));
    expect_that!(first, gt(100_000));
    expect_that!(again, lt(1_000));
    // The next change is relative to the new leader's list.
    let change = list(2, 1, 0..ENDPOINT_COUNT).change_to(&list(2, 2, 1..ENDPOINT_COUNT), NO_TIME);
    expect_that!(gateway.receive_change(&change), eq(&UpdateAction::Apply));
    expect_that!(
        gateway.matches_list(&list(2, 2, 1..ENDPOINT_COUNT)),
        eq(true)
    );
}

#[gtest]
fn leader_change_with_different_list_costs_only_the_differing_buckets() {
    let mut gateway = Gateway::default();
    let whole = gateway.connect(&list(1, 7, 0..ENDPOINT_COUNT));
    let other = list(2, 1, 3..ENDPOINT_COUNT + 2);
    let cost = gateway.connect(&other);
    expect_that!(gateway.matches_list(&other), eq(true));
    // Five endpoints differ, so at most five buckets are resent.
    expect_that!(
        cost,
        lt(whole * 5 / usize::from(BUCKET_COUNT) + whole / 20 + 1_000)
    );
}

#[gtest]
fn changed_endpoint_costs_one_entry() {
    let first = list(1, 1, 0..ENDPOINT_COUNT);
    let mut later = list(1, 2, 0..ENDPOINT_COUNT);
    later.endpoints[17].state = EndpointState::Draining;
    let change = first.change_to(&later, Duration::from_secs(1));
    expect_that!(change.upserted, len(eq(1)));
    expect_that!(encoded_size(&change), lt(100));
    let mut gateway = Gateway::default();
    gateway.connect(&first);
    gateway.receive_change(&change);
    expect_that!(gateway.matches_list(&later), eq(true));
}

/// Sources count the remaining warm-up time down, which must not count as a change.
#[gtest]
fn elapsed_warm_up_time_is_not_a_change() {
    let mut first = list(1, 1, 0..3);
    first.endpoints[0].cold_remaining = Duration::from_millis(3_000);
    let mut later = first.clone();
    later.endpoints[0].cold_remaining = Duration::from_millis(1_900);
    let second = Duration::from_secs(1);
    expect_that!(first.change_to(&later, second).is_empty(), eq(true));
    // The warm-up started again.
    later.endpoints[0].cold_remaining = Duration::from_millis(3_000);
    expect_that!(first.change_to(&later, second).upserted, len(eq(1)));
    // The digest carries the remaining time, because the hashes do not cover it.
    let digest = later.digest(second);
    expect_that!(
        digest.cold,
        elements_are![eq(&(
            later.endpoints[0].id.clone(),
            Duration::from_millis(2_000)
        ))]
    );
    expect_that!(
        sync::bucket_hashes(&first.endpoints),
        eq(&sync::bucket_hashes(&later.endpoints))
    );
}

#[gtest]
fn updates_of_an_earlier_leader_are_ignored() {
    let mut gateway = Gateway::default();
    gateway.connect(&list(2, 1, 0..10));
    gateway.connect(&list(1, 9, 0..20));
    expect_that!(gateway.matches_list(&list(2, 1, 0..10)), eq(true));
    let change = list(1, 9, 0..20).change_to(&list(1, 10, 0..30), NO_TIME);
    expect_that!(gateway.receive_change(&change), eq(&UpdateAction::Ignore));
    expect_that!(gateway.matches_list(&list(2, 1, 0..10)), eq(true));
}

#[gtest]
fn change_relative_to_an_unknown_list_requests_all_buckets() {
    let mut gateway = Gateway::default();
    gateway.connect(&list(1, 1, 0..10));
    let change = list(1, 2, 0..20).change_to(&list(1, 3, 0..30), NO_TIME);
    let all: Vec<u16> = (0..BUCKET_COUNT).collect();
    expect_that!(
        gateway.receive_change(&change),
        eq(&UpdateAction::Request(all.clone()))
    );
    gateway.receive_parts(&list(1, 3, 0..30).parts(&all, NO_TIME));
    expect_that!(gateway.matches_list(&list(1, 3, 0..30)), eq(true));
    // The buckets already contain the change, so a late copy is ignored.
    expect_that!(gateway.receive_change(&change), eq(&UpdateAction::Ignore));
}

/// Changes that arrive between a digest and the requested buckets must not be lost.
#[gtest]
fn changes_during_a_bucket_request_are_not_lost() {
    let mut gateway = Gateway::default();
    let first = list(1, 1, 0..100);
    let digest = first.digest(NO_TIME);
    let wanted = gateway
        .tracker
        .on_digest(&digest, &sync::bucket_hashes(gateway.endpoints.values()));
    let UpdateAction::Request(buckets) = wanted else {
        panic!("a gateway without a list must request all buckets");
    };
    let second = list(1, 2, 1..101);
    gateway.receive_change(&first.change_to(&second, NO_TIME));
    expect_that!(gateway.tracker.is_complete(), eq(false));
    gateway.receive_parts(&second.parts(&buckets, NO_TIME));
    let third = list(1, 3, 2..102);
    gateway.receive_change(&second.change_to(&third, NO_TIME));
    expect_that!(gateway.matches_list(&third), eq(true));
}
