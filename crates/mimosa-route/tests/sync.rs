//! The endpoint lists of gateways, kept the same as the leader's.

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
use mimosa_route::sync::Follower;
use mimosa_route::sync::ListChange;
use mimosa_route::sync::ListDigest;
use mimosa_route::sync::ListParts;
use mimosa_route::sync::News;
use serde::Serialize;

/// Endpoints of a large deployment.
const MANY: u32 = 3_000;
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
    }
}

fn list(term: u64, sequence: u64, numbers: impl IntoIterator<Item = u32>) -> EndpointList {
    EndpointList {
        term,
        sequence,
        endpoints: numbers.into_iter().map(endpoint).collect(),
    }
}

fn size(message: &impl Serialize) -> usize {
    postcard::to_stdvec(message).unwrap().len()
}

/// What a gateway holds.
#[derive(Default)]
struct Gateway {
    follower: Follower,
    held: BTreeMap<EndpointId, ListedEndpoint>,
}

impl Gateway {
    /// Gets the leader's first word on a connection, and asks for what differs.
    fn connect(&mut self, leader: &EndpointList) -> usize {
        let digest: ListDigest = leader.digest(NO_TIME);
        let own = sync::hashes(self.held.values());
        match self.follower.digest(&digest, &own) {
            News::Want(buckets) => {
                let parts = leader.parts(&buckets, NO_TIME);
                self.take_parts(&parts);
                size(&digest) + size(&parts)
            }
            _ => size(&digest),
        }
    }

    fn take_parts(&mut self, parts: &ListParts) {
        if self.follower.parts(parts) == News::Apply {
            self.held
                .retain(|id, _| !parts.buckets.contains(&sync::bucket_of(id)));
            self.put(&parts.endpoints);
        }
    }

    fn take_change(&mut self, change: &ListChange) -> News {
        let news = self.follower.change(change);
        if news == News::Apply {
            self.put(&change.put);
            for id in &change.gone {
                self.held.remove(id);
            }
        }
        news
    }

    fn put(&mut self, endpoints: &[ListedEndpoint]) {
        for each in endpoints {
            self.held.insert(each.id.clone(), each.clone());
        }
    }

    fn holds(&self, leader: &EndpointList) -> bool {
        let listed = leader.endpoints.iter();
        let listed: BTreeMap<_, _> = listed.map(|each| (each.id.clone(), each.clone())).collect();
        self.held == listed
    }
}

#[gtest]
fn a_gateway_without_a_list_gets_it_whole() {
    let leader = list(1, 1, 0..MANY);
    let mut gateway = Gateway::default();
    expect_that!(gateway.follower.is_complete(), eq(false));
    gateway.connect(&leader);
    expect_that!(gateway.follower.is_complete(), eq(true));
    expect_that!(gateway.holds(&leader), eq(true));
}

#[gtest]
fn an_empty_list_is_complete_as_well() {
    let mut gateway = Gateway::default();
    gateway.connect(&list(1, 1, []));
    expect_that!(gateway.follower.is_complete(), eq(true));
}

/// 290 gateways on links of 10 Mbit/s: a new leader may not cost each of them the list.
#[gtest]
fn a_new_leader_costs_a_digest_where_the_lists_are_the_same() {
    let mut gateway = Gateway::default();
    let first = gateway.connect(&list(1, 7, 0..MANY));
    let again = gateway.connect(&list(2, 1, 0..MANY));
    expect_that!(first, gt(100_000));
    expect_that!(again, lt(1_000));
    // The next change builds on the new leader's list.
    let change = list(2, 1, 0..MANY).change_to(&list(2, 2, 1..MANY), NO_TIME);
    expect_that!(gateway.take_change(&change), eq(&News::Apply));
    expect_that!(gateway.holds(&list(2, 2, 1..MANY)), eq(true));
}

#[gtest]
fn a_new_leader_that_read_another_list_costs_the_buckets_that_differ() {
    let mut gateway = Gateway::default();
    let whole = gateway.connect(&list(1, 7, 0..MANY));
    let other = list(2, 1, 3..MANY + 2);
    let cost = gateway.connect(&other);
    expect_that!(gateway.holds(&other), eq(true));
    // Five endpoints differ, in five buckets at most.
    expect_that!(
        cost,
        lt(whole * 5 / usize::from(BUCKET_COUNT) + whole / 20 + 1_000)
    );
}

#[gtest]
fn a_changed_endpoint_costs_one_entry() {
    let first = list(1, 1, 0..MANY);
    let mut later = list(1, 2, 0..MANY);
    later.endpoints[17].state = EndpointState::Draining;
    let change = first.change_to(&later, Duration::from_secs(1));
    expect_that!(change.put, len(eq(1)));
    expect_that!(size(&change), lt(100));
    let mut gateway = Gateway::default();
    gateway.connect(&first);
    gateway.take_change(&change);
    expect_that!(gateway.holds(&later), eq(true));
}

/// A source counts down how long an endpoint stays cold: that is no change.
#[gtest]
fn time_that_passes_for_a_cold_endpoint_is_no_change() {
    let mut first = list(1, 1, 0..3);
    first.endpoints[0].cold_remaining = Duration::from_millis(3_000);
    let mut later = first.clone();
    later.endpoints[0].cold_remaining = Duration::from_millis(1_900);
    let second = Duration::from_secs(1);
    expect_that!(first.change_to(&later, second).is_empty(), eq(true));
    // It turned cold once more.
    later.endpoints[0].cold_remaining = Duration::from_millis(3_000);
    expect_that!(first.change_to(&later, second).put, len(eq(1)));
    // The digest tells of it, as the hashes leave it out.
    let digest = later.digest(second);
    expect_that!(
        digest.cold,
        elements_are![eq(&(
            later.endpoints[0].id.clone(),
            Duration::from_millis(2_000)
        ))]
    );
    expect_that!(
        sync::hashes(&first.endpoints),
        eq(&sync::hashes(&later.endpoints))
    );
}

#[gtest]
fn news_of_an_earlier_leader_do_not_count() {
    let mut gateway = Gateway::default();
    gateway.connect(&list(2, 1, 0..10));
    gateway.connect(&list(1, 9, 0..20));
    expect_that!(gateway.holds(&list(2, 1, 0..10)), eq(true));
    let change = list(1, 9, 0..20).change_to(&list(1, 10, 0..30), NO_TIME);
    expect_that!(gateway.take_change(&change), eq(&News::Old));
    expect_that!(gateway.holds(&list(2, 1, 0..10)), eq(true));
}

#[gtest]
fn a_change_that_builds_on_another_list_asks_for_the_whole_one() {
    let mut gateway = Gateway::default();
    gateway.connect(&list(1, 1, 0..10));
    let change = list(1, 2, 0..20).change_to(&list(1, 3, 0..30), NO_TIME);
    let all: Vec<u16> = (0..BUCKET_COUNT).collect();
    expect_that!(gateway.take_change(&change), eq(&News::Want(all.clone())));
    gateway.take_parts(&list(1, 3, 0..30).parts(&all, NO_TIME));
    expect_that!(gateway.holds(&list(1, 3, 0..30)), eq(true));
    // What arrives late is in there already.
    expect_that!(gateway.take_change(&change), eq(&News::Old));
}

/// Changes that come between a digest and the parts that were asked for are not lost.
#[gtest]
fn changes_go_on_while_parts_are_on_their_way() {
    let mut gateway = Gateway::default();
    let first = list(1, 1, 0..100);
    let digest = first.digest(NO_TIME);
    let wanted = gateway
        .follower
        .digest(&digest, &sync::hashes(gateway.held.values()));
    let News::Want(buckets) = wanted else {
        panic!("a gateway without a list wants it");
    };
    let second = list(1, 2, 1..101);
    gateway.take_change(&first.change_to(&second, NO_TIME));
    expect_that!(gateway.follower.is_complete(), eq(false));
    gateway.take_parts(&second.parts(&buckets, NO_TIME));
    let third = list(1, 3, 2..102);
    gateway.take_change(&second.change_to(&third, NO_TIME));
    expect_that!(gateway.holds(&third), eq(true));
}
