//! Endpoints that turn cold, lie about their caches or keep failing; repeated and late events.

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
use crate::fixture::warm;

fn patient(settings: Settings) -> Settings {
    Settings {
        queue: QueueSettings {
            shed_late: false,
            shed_early: false,
            ..QueueSettings::default()
        },
        ..settings
    }
}

fn one_prefill_many_places() -> mimosa_schedule::event::View {
    let mut view = model(1, 1);
    for endpoint in &mut view.endpoints {
        endpoint.capacity.blocks = KvBlocks(80);
        endpoint.capacity.concurrency = 20;
        endpoint.capacity.prefill_rate.0 = 1_000_000;
    }
    view
}

/// A warm decode endpoint: every request up to `count` is answered and ended.
fn warmed(count: u128) -> Session {
    let mut session = Session::new(patient(Settings::default()), one_prefill_many_places());
    session.now = Timestamp::from_secs(1);
    for request in 1..=count {
        session.submit(request, "a");
        session.wait(20);
        session.answer(request);
        session.wait(200);
        session.progress(request, 11);
        session.end(request, AttemptEnd::Complete);
    }
    session
}

/// How many requests at once the session grants from now on.
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
fn an_endpoint_ramps_to_its_concurrency() {
    expect_that!(granted_at_once(&mut warmed(0)), eq(2));
    expect_that!(granted_at_once(&mut warmed(40)), eq(20));
}

#[googletest::test]
fn a_service_that_promises_no_more_than_its_first_token_is_served() {
    let mut view = one_prefill_many_places();
    view.service.token_gap_target = view.service.first_token_target;
    let mut session = Session::new(warm(), view);
    session.now = Timestamp::from_secs(1);
    expect_that!(started(&session.submit(1, "a")), elements_are![eq(&1)]);
}

#[googletest::test]
fn a_burst_on_idle_endpoints_is_not_refused() {
    let mut view = one_prefill_many_places();
    view.endpoints[0].capacity.prefill_rate.0 = 20_000;
    let mut session = Session::new(Settings::default(), view);
    session.now = Timestamp::from_secs(1);
    // One long answer after the other: the next place is free only after seconds.
    for request in 1..=20 {
        session.submit(request, "a");
        session.wait(200);
        session.answer(request);
        session.wait(5_000);
        session.end(request, AttemptEnd::Complete);
    }
    // Prompts of 0.2 s: nine start within the target of 2 s, not many more.
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
fn requests_wait_for_a_ramp_instead_of_being_refused() {
    let mut session = Session::new(Settings::default(), one_prefill_many_places());
    session.now = Timestamp::from_secs(1);
    for request in 1..=2 {
        session.submit(request, "a");
        session.wait(20);
        session.answer(request);
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
    (101..=104).for_each(|request| session.answer(request));
    expect_that!(
        started(&session.wait(1_000)).len() + session.scheduler.queued(),
        le(4)
    );
    expect_that!(session.record, not(contains_substring("refuse")));
}

#[googletest::test]
fn a_cold_turn_is_noticed() {
    let slow = |session: &mut Session| {
        session.submit(500, "a");
        session.wait(20);
        session.answer(500);
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
            session.answer(request);
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
    let cache_gone = |session: &mut Session| {
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
        ("cache", &cache_gone),
    ];
    for (name, sign) in signs {
        let mut session = warmed(40);
        sign(&mut session);
        expect_that!(granted_at_once(&mut session), le(4), "sign: {name}");
    }
}

#[googletest::test]
fn a_failing_endpoint_is_not_stormed() {
    let mut session = Session::new(patient(Settings::default()), one_prefill_many_places());
    session.now = Timestamp::from_secs(1);
    let mut attempts = 0;
    let mut next = 0;
    // For a minute, a hundred requests a second want to run and each attempt fails at once.
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
fn a_lost_endpoint_gives_memory_back_only_with_the_ends() {
    let mut session = Session::new(patient(warm()), model(1, 1));
    for request in 1..=4 {
        session.submit(request, "a");
        session.wait(250);
        session.answer(request);
    }
    let endpoint = endpoint_id("decode-0");
    let told = session.send(Event::EndpointDown {
        endpoint: endpoint.clone(),
    });
    expect_that!(
        aborted(&told),
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
    let mut session = Session::new(warm(), model(1, 1));
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
    // All places are free again: no more, no less.
    let submitted: usize = (10..20)
        .map(|request| {
            let now = started(&session.submit(request, "a")).len();
            now + started(&session.wait(210)).len()
        })
        .sum();
    expect_that!(submitted, eq(4));
}

#[googletest::test]
fn prefixes_draw_requests_until_a_gap_makes_them_doubtful() {
    let mut session = Session::new(warm(), model(3, 2));
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
fn streams_are_limited_while_the_token_gap_is_missed() {
    let mut session = Session::new(patient(warm()), one_prefill_many_places());
    session.now = Timestamp::from_secs(1);
    for request in 1..=16 {
        session.submit(request, "a");
        session.wait(10);
        session.answer(request);
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
