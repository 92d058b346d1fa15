//! Endpoints that become cold, report wrong caches or keep failing; repeated and late events.

use std::time::Duration;

use googletest::prelude::*;
use mimosa_protocol::Incarnation;
use mimosa_protocol::KvBlocks;
use mimosa_protocol::RequestId;
use mimosa_protocol::Timestamp;
use mimosa_protocol::Tokens;
use mimosa_schedule::AttemptEnd;
use mimosa_schedule::Event;
use mimosa_schedule::Settings;
use mimosa_schedule::Submission;
use mimosa_schedule::event::CacheReport;
use mimosa_schedule::event::LoadReport;
use mimosa_schedule::settings::QueueSettings;

use crate::fixture::Session;
use crate::fixture::aborted;
use crate::fixture::endpoint_id;
use crate::fixture::load;
use crate::fixture::model;
use crate::fixture::started;
use crate::fixture::submission;
use crate::fixture::warm_settings;

fn without_shedding(settings: Settings) -> Settings {
    Settings {
        queue: QueueSettings {
            shed_late: false,
            shed_early: false,
            ..QueueSettings::default()
        },
        ..settings
    }
}

fn view_with_20_streams() -> mimosa_schedule::event::View {
    let mut view = model(1, 1);
    for endpoint in &mut view.endpoints {
        endpoint.capacity.blocks = KvBlocks(80);
        endpoint.capacity.concurrency = 20;
        endpoint.capacity.prefill_rate.0 = 1_000_000;
    }
    view
}

/// A session in which `count` requests have completed at the decode endpoint, one after the other.
fn session_after(count: u128) -> Session {
    let mut session = Session::new(
        without_shedding(Settings::default()),
        view_with_20_streams(),
    );
    session.now = Timestamp::from_secs(1);
    for request in 1..=count {
        session.submit(request, "a");
        session.wait(20);
        session.run_to_first_token(request);
        session.wait(200);
        session.progress(request, 11);
        session.end(request, AttemptEnd::Complete);
    }
    session
}

/// Number of concurrent requests that the session grants from now on.
fn granted_at_once(session: &mut Session) -> usize {
    let mut granted = 0;
    for request in 1_000..1_030 {
        granted += started(&session.submit(request, "a")).len();
        granted += started(&session.wait(6)).len();
        session.prefilled(request);
    }
    granted
}

#[googletest::test]
fn an_endpoint_is_ramped_up_to_its_concurrency() {
    expect_that!(granted_at_once(&mut session_after(0)), eq(2));
    expect_that!(granted_at_once(&mut session_after(40)), eq(20));
}

#[googletest::test]
fn a_token_gap_target_equal_to_the_first_token_target_allows_requests() {
    let mut view = view_with_20_streams();
    view.service.token_gap_target = view.service.first_token_target;
    let mut session = Session::new(warm_settings(), view);
    session.now = Timestamp::from_secs(1);
    expect_that!(started(&session.submit(1, "a")), elements_are![eq(&1)]);
}

#[googletest::test]
fn a_burst_on_idle_endpoints_is_not_refused() {
    let mut view = view_with_20_streams();
    view.endpoints[0].capacity.prefill_rate.0 = 20_000;
    let mut session = Session::new(Settings::default(), view);
    session.now = Timestamp::from_secs(1);
    // With sequential long outputs, the estimated time until a stream is free is several seconds.
    for request in 1..=20 {
        session.submit(request, "a");
        session.wait(200);
        session.run_to_first_token(request);
        session.wait(5_000);
        session.end(request, AttemptEnd::Complete);
    }
    // A prefill takes 0.2 s: 9 requests start within the target of 2 s, and few more.
    for request in 101..=109 {
        session.submit(request, "a");
    }
    expect_that!(session.record, not(contains_substring("refuse")));
    for request in 110..=140 {
        session.submit(request, "a");
    }
    expect_that!(session.record, contains_substring("refuse"));
    expect_that!(session.scheduler.queued(), le(12));
}

#[googletest::test]
fn requests_are_queued_and_not_refused_during_ramp_up() {
    let mut session = Session::new(Settings::default(), view_with_20_streams());
    session.now = Timestamp::from_secs(1);
    for request in 1..=2 {
        session.submit(request, "a");
        session.wait(20);
        session.run_to_first_token(request);
        session.wait(5_000);
        session.end(request, AttemptEnd::Complete);
    }
    let mut at_once = 0;
    for request in 101..=108 {
        at_once += started(&session.submit(request, "a")).len();
        session.wait(6);
        session.prefilled(request);
    }
    expect_that!(at_once, eq(4));
    expect_that!(session.scheduler.queued(), eq(4));
    (101..=104).for_each(|request| session.run_to_first_token(request));
    expect_that!(
        started(&session.wait(1_000)).len() + session.scheduler.queued(),
        le(4)
    );
    expect_that!(session.record, not(contains_substring("refuse")));
}

#[googletest::test]
fn each_sign_of_a_cold_endpoint_restarts_the_ramp_up() {
    let slow = |session: &mut Session| {
        session.submit(500, "a");
        session.wait(20);
        session.run_to_first_token(500);
        for i in 1..=20 {
            session.wait(600);
            session.progress(500, 1 + i * 10);
        }
        session.end(500, AttemptEnd::Complete);
    };
    let failing = |session: &mut Session| {
        for request in 500..503 {
            session.submit(request, "a");
            session.wait(20);
            session.run_to_first_token(request);
            session.end(request, AttemptEnd::Failed);
        }
        session.wait(2_000);
    };
    let restarted = |session: &mut Session| {
        let report = LoadReport {
            incarnation: Incarnation(2),
            ..load("decode-0", session.now)
        };
        session.send(Event::Load(load("decode-0", session.now)));
        session.send(Event::Load(report));
    };
    let cache_restarted = |session: &mut Session| {
        for sequence in [7, 8, 1] {
            session.send(Event::Cache(CacheReport {
                endpoint: endpoint_id("decode-0"),
                sequence,
                stored: vec![],
                evicted: vec![],
            }));
        }
    };
    type Sign<'a> = (&'a str, &'a dyn Fn(&mut Session));
    let signs: [Sign<'_>; 4] = [
        ("slow tokens", &slow),
        ("failures", &failing),
        ("incarnation", &restarted),
        ("cache", &cache_restarted),
    ];
    for (name, sign) in signs {
        let mut session = session_after(40);
        sign(&mut session);
        expect_that!(granted_at_once(&mut session), le(4), "sign: {name}");
    }
}

#[googletest::test]
fn a_failing_endpoint_gets_few_attempts() {
    let mut session = Session::new(
        without_shedding(Settings::default()),
        view_with_20_streams(),
    );
    session.now = Timestamp::from_secs(1);
    let mut attempts = 0;
    let mut next = 0;
    // For a minute, 100 requests arrive per second and each attempt fails immediately.
    for _ in 0..6_000 {
        next += 1;
        let mut actions = session.submit(next, "a");
        actions.extend(session.wait(10));
        while let Some(request) = started(&actions).pop() {
            attempts += 1;
            session.prefilled(request);
            actions = session.end(request, AttemptEnd::Failed);
        }
    }
    expect_that!(attempts, le(20));
}

#[googletest::test]
fn memory_of_an_endpoint_that_was_down_is_freed_only_when_attempts_end() {
    let mut session = Session::new(without_shedding(warm_settings()), model(1, 1));
    for request in 1..=4 {
        session.submit(request, "a");
        session.wait(250);
        session.run_to_first_token(request);
    }
    let endpoint = endpoint_id("decode-0");
    let actions = session.send(Event::EndpointDown {
        endpoint: endpoint.clone(),
    });
    expect_that!(
        aborted(&actions),
        elements_are![eq(&1), eq(&2), eq(&3), eq(&4)]
    );
    session.submit(5, "a");
    let found = session.send(Event::EndpointUp {
        endpoint,
        incarnation: Incarnation(2),
    });
    expect_that!(started(&found), is_empty());
    let ended = session.end(3, AttemptEnd::Failed);
    expect_that!(started(&ended), elements_are![eq(&5)]);
}

#[googletest::test]
fn repeated_events_change_nothing() {
    let mut session = Session::new(warm_settings(), model(1, 1));
    session.now = Timestamp::from_secs(1);
    let again = |session: &mut Session, event: Event| {
        session.send(event.clone());
        let repeated = session.send(event);
        expect_that!(repeated, is_empty());
    };
    let request = RequestId(1);
    let submit = Event::Submit(submission(1, "a", session.now));
    again(&mut session, submit);
    session.wait(250);
    again(&mut session, Event::Prefilled { request });
    again(&mut session, Event::Transferred { request });
    let output = Tokens(10);
    again(&mut session, Event::Progress { request, output });
    let end = AttemptEnd::Complete;
    again(&mut session, Event::Ended { request, end });
    expect_that!(session.scheduler.running(), eq(0));
    // All streams are free again, and no more than that.
    let submitted: usize = (10..20)
        .map(|request| {
            let now = started(&session.submit(request, "a")).len();
            now + started(&session.wait(210)).len()
        })
        .sum();
    expect_that!(submitted, eq(4));
}

#[googletest::test]
fn prefix_affinity_ends_after_a_gap_in_the_cache_reports() {
    let mut session = Session::new(warm_settings(), model(3, 2));
    session.now = Timestamp::from_secs(1);
    let with_prefix = |request: u128, now: Timestamp| {
        Event::Submit(Submission {
            prompt: Tokens(9_000),
            prefix: vec![11, 12],
            ..submission(request, "a", now)
        })
    };
    let report = |sequence: u64, stored: Vec<u64>| {
        Event::Cache(CacheReport {
            endpoint: endpoint_id("prefill-2"),
            sequence,
            stored,
            evicted: vec![],
        })
    };
    session.send(report(4, vec![11, 12]));
    session.send(with_prefix(1, session.now));
    session.wait(100);
    session.prefilled(1);
    session.send(report(9, vec![]));
    session.wait(1_000);
    session.send(with_prefix(2, session.now));
    let placed: Vec<&str> = session
        .record
        .lines()
        .filter(|line| line.contains("start"))
        .collect();
    expect_that!(placed[0], contains_substring("on prefill-2"));
    expect_that!(placed[1], not(contains_substring("on prefill-2")));
}

#[googletest::test]
fn streams_are_limited_while_the_token_gap_target_is_missed() {
    let mut session = Session::new(without_shedding(warm_settings()), view_with_20_streams());
    session.now = Timestamp::from_secs(1);
    for request in 1..=16 {
        session.submit(request, "a");
        session.wait(10);
        session.run_to_first_token(request);
    }
    session.wait(500);
    let slow = LoadReport {
        running: 16,
        used_blocks: KvBlocks(32),
        token_gap: Some(Duration::from_millis(60)),
        ..load("decode-0", session.now)
    };
    session.send(Event::Load(slow));
    session.wait(100);
    expect_that!(started(&session.submit(17, "a")), is_empty());
    session.end(1, AttemptEnd::Complete);
    session.end(2, AttemptEnd::Complete);
    expect_that!(
        started(&session.end(3, AttemptEnd::Complete)),
        elements_are![eq(&17)]
    );
}
