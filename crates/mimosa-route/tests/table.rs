//! Route, account and service lookup, and validation.

use std::time::Duration;

use googletest::prelude::*;
use mimosa_route::RetryPolicy;
use mimosa_route::Route;
use mimosa_route::RouteTable;
use mimosa_route::RoutedAccount;
use mimosa_route::RoutingConfiguration;
use mimosa_route::WeightedService;
use mimosa_route::model::ColdStart;
use mimosa_route::model::RoutedService;
use mimosa_route::validation;
use mimosa_route::validation::InvalidConfiguration;

fn route(name: &str, host: &str, prefix: &str) -> Route {
    Route {
        name: name.to_owned(),
        host: host.to_owned(),
        path_prefix: prefix.to_owned(),
        retry_policy: RetryPolicy::Idempotent,
        timeout: Duration::from_secs(1),
        latency_target: Duration::from_millis(100),
        event_gap_target: None,
        priority: 1,
        split: vec![part("desk", 1)],
        max_attempts: 2,
        allows_anonymous: false,
        carries_prompt: false,
    }
}

fn part(service: &str, weight: u32) -> WeightedService {
    WeightedService {
        service: service.parse().unwrap(),
        weight,
    }
}

fn service(id: &str) -> RoutedService {
    RoutedService {
        id: id.parse().unwrap(),
        health_path: "/healthz".to_owned(),
        max_connections: 10,
        cold_start: ColdStart::default(),
        engine: None,
    }
}

fn account(id: &str, key: &str) -> RoutedAccount {
    RoutedAccount {
        id: id.parse().unwrap(),
        keys: vec![key.to_owned()],
        priority: None,
        quota: None,
    }
}

fn configuration(routes: Vec<Route>) -> RoutingConfiguration {
    RoutingConfiguration {
        routes,
        services: vec![service("desk"), service("verse")],
        accounts: vec![account("orchid", "k1"), account("fern", "k2")],
        ..RoutingConfiguration::default()
    }
}

#[gtest]
fn route_lookup_prefers_the_longest_prefix_of_the_host() {
    let table = RouteTable::new(configuration(vec![
        route("short", "a.example", "/x/"),
        route("long", "a.example", "/x/y/"),
        route("other", "b.example", "/x/y/z/"),
    ]));
    let found = |host: &str, path: &str| table.route(host, path).map(|route| route.name.as_str());
    expect_that!(found("a.example", "/x/y/z/1"), some(eq("long")));
    expect_that!(found("a.example:8360", "/x/1"), some(eq("short")));
    expect_that!(found("A.Example", "/x/1"), some(eq("short")));
    expect_that!(found("a.example", "/x"), none());
    expect_that!(found("c.example", "/x/1"), none());
}

#[gtest]
fn known_key_resolves_to_its_account_and_unknown_key_to_none() {
    let table = RouteTable::new(configuration(Vec::new()));
    let account = table
        .account_by_key("k2")
        .map(|account| account.id.to_string());
    expect_that!(account, some(eq("fern")));
    expect_that!(table.account_by_key("k3"), none());
}

#[gtest]
fn traffic_split_follows_the_weights() {
    let mut split = route("split", "a.example", "/");
    split.split = vec![part("desk", 90), part("verse", 0), part("other", 10)];
    let selected: Vec<_> = (0..100)
        .filter_map(|number| split.select_service(number))
        .collect();
    let count = |name: &str| selected.iter().filter(|id| id.as_str() == name).count();
    expect_that!(
        (count("desk"), count("verse"), count("other")),
        eq((90, 0, 10))
    );
}

#[gtest]
fn each_invalid_configuration_is_rejected_with_its_reason() {
    let validate = |change: fn(&mut RoutingConfiguration)| {
        let mut cfg = configuration(vec![
            route("r1", "a.example", "/x/"),
            route("r2", "a.example", "/y/"),
        ]);
        change(&mut cfg);
        validation::validate(&cfg)
    };
    expect_that!(validate(|_| ()), ok(anything()));
    expect_that!(
        validate(|cfg| cfg.routes[0].split[0] = part("gone", 1)),
        err(matches_pattern!(
            InvalidConfiguration::UnknownService { .. }
        ))
    );
    expect_that!(
        validate(|cfg| cfg.routes[1].path_prefix = "/x/".to_owned()),
        err(matches_pattern!(
            InvalidConfiguration::DuplicateRoute { .. }
        ))
    );
    expect_that!(
        validate(|cfg| cfg.routes[0].split[0].weight = 0),
        err(matches_pattern!(InvalidConfiguration::ZeroWeight(_)))
    );
    expect_that!(
        validate(|cfg| cfg.routes[0].timeout = Duration::ZERO),
        err(matches_pattern!(InvalidConfiguration::ZeroTimeout(_)))
    );
    expect_that!(
        validate(|cfg| cfg.accounts[1].keys = vec!["k1".to_owned()]),
        err(matches_pattern!(InvalidConfiguration::SharedKey { .. }))
    );
}
