//! Tests of the queue of the fleet scheduler with fair shares.

use std::time::Duration;

use googletest::prelude::*;
use mimosa_protocol::Timestamp;
use mimosa_protocol::Tokens;
use mimosa_protocol::configuration::EndpointRole;
use mimosa_schedule::fleet::Action;
use mimosa_schedule::fleet::Event;
use mimosa_schedule::fleet::FleetScheduler;
use mimosa_schedule::fleet::PlacementRequest;
use mimosa_schedule::fleet::RunEnd;
use mimosa_schedule::fleet::RunningRequest;
use mimosa_schedule::fleet::Settings;
use mimosa_schedule::fleet::View;

use crate::replay::HOT;
use crate::replay::START;
use crate::replay::request;
use crate::replay::view;

const MILLI: Duration = Duration::from_millis(1);
/// Long enough that no request is refused.
const PATIENT: Duration = Duration::from_secs(600);

/// A view of some of the endpoints.
fn view_of(prefills: usize, decodes: usize) -> View {
    let all = view(true, None);
    let take = |role, count| {
        let endpoints = all.endpoints.iter();
        endpoints
            .filter(move |each| each.role == role)
            .take(count)
            .cloned()
    };
    let endpoints = take(EndpointRole::Prefill, prefills);
    let endpoints = endpoints.chain(take(EndpointRole::Decode, decodes));
    View {
        endpoints: endpoints.collect(),
        ..all.clone()
    }
}

/// A scheduler whose decode endpoints run `running` requests each, numbered from 1 by endpoint, of an
/// account that sends nothing else.
fn busy_fleet(view: &View, running: u64, decoding_for: Duration) -> FleetScheduler {
    let mut fleet = FleetScheduler::new(Settings::default(), Timestamp::ZERO);
    fleet.handle(START, Event::Configure(view.clone()));
    let decodes = view.endpoints.iter();
    let decodes = decodes.filter(|each| each.role == EndpointRole::Decode);
    let mut number = 0;
    for decode in decodes {
        for _ in 0..running {
            number += 1;
            let held = RunningRequest {
                request: request(number, 90, 5_000, 4_000),
                decode: decode.id.clone(),
                decoding_for,
            };
            fleet.handle(START, Event::Adopt(held));
        }
    }
    fleet
}

fn patient(number: u64, account: usize) -> PlacementRequest {
    PlacementRequest {
        time_to_target: PATIENT,
        time_to_timeout: PATIENT,
        ..request(number, account, 5_000, 4_000)
    }
}

fn end(fleet: &mut FleetScheduler, now: Timestamp, number: u64) -> Vec<Action> {
    let id = request(number, 0, 1, 1).id;
    let end = RunEnd::Complete(Tokens(4_000));
    fleet.handle(now, Event::Ended { id, end })
}

fn placed(actions: &[Action]) -> Vec<u64> {
    let placed = actions.iter().filter_map(|action| match action {
        Action::Place { id, .. } => Some(id.number),
        Action::Refuse { .. } => None,
    });
    placed.collect()
}

fn refused(actions: &[Action]) -> Vec<(u64, Duration)> {
    let refused = actions.iter().filter_map(|action| match action {
        Action::Refuse {
            id, retry_after, ..
        } => Some((id.number, *retry_after)),
        Action::Place { .. } => None,
    });
    refused.collect()
}

/// Guards against an account whose backlog delays another one: although 50 requests are queued, the
/// next freed memory goes to the account that has just sent its first one.
#[gtest]
fn a_backlog_does_not_delay_another_account() {
    let mut fleet = busy_fleet(&view_of(2, 1), 11, Duration::from_secs(1));
    for number in 100..150 {
        fleet.handle(START, Event::Submit(patient(number, HOT)));
    }
    fleet.handle(START + MILLI, Event::Submit(patient(200, 0)));
    expect_that!(fleet.waiting(), eq(51));
    let actions = end(&mut fleet, START + MILLI * 2, 1);
    expect_that!(placed(&actions), elements_are![eq(&200)]);
}

/// Guards against a lower priority that waits for as long as requests of higher priority arrive.
#[gtest]
fn a_lower_priority_waits_for_at_most_a_third_of_its_time() {
    let mut fleet = busy_fleet(&view_of(2, 1), 11, Duration::from_secs(1));
    let time_to_target = Duration::from_secs(6);
    let low = PlacementRequest {
        priority: 3,
        time_to_target,
        ..patient(200, 0)
    };
    fleet.handle(START, Event::Submit(low));
    let mut placed_at = None;
    for step in 1..=11 {
        let now = START + Duration::from_millis(300) * step;
        let urgent = |number| PlacementRequest {
            priority: 0,
            ..patient(number, HOT)
        };
        let number = 300 + u64::from(step) * 10;
        for number in number..number + 3 {
            fleet.handle(now, Event::Submit(urgent(number)));
        }
        let actions = end(&mut fleet, now, u64::from(step));
        if placed(&actions).contains(&200) {
            placed_at = Some(now);
        }
    }
    let waited = placed_at.map(|at| at.since(START));
    let limit = time_to_target / 3 + Duration::from_millis(600);
    expect_that!(waited, some(all![ge(time_to_target / 3), le(limit)]));
}

/// Guards against clients that do as they are told and nevertheless wait behind newcomers of their
/// account.
#[gtest]
fn a_client_that_returns_as_told_goes_before_newcomers_of_its_account() {
    for returns_as_told in [true, false] {
        let mut fleet = busy_fleet(&view_of(2, 1), 11, Duration::ZERO);
        let first = PlacementRequest {
            fingerprint: Some(77),
            ..request(100, HOT, 5_000, 4_000)
        };
        // The first running request ends in 2.8 s, which is later than the deadline.
        let actions = fleet.handle(START, Event::Submit(first));
        let [(100, retry_after)] = refused(&actions)[..] else {
            panic!("{actions:?}");
        };
        expect_that!(retry_after, ge(Duration::from_secs(2)));
        let told = START + retry_after;
        let now = if returns_as_told {
            told
        } else {
            told.minus(Duration::from_secs(1))
        };
        for number in 200..203 {
            fleet.handle(now, Event::Submit(patient(number, HOT)));
        }
        let again = PlacementRequest {
            fingerprint: Some(77),
            ..patient(101, HOT)
        };
        fleet.handle(now + MILLI, Event::Submit(again));
        let mut order = Vec::new();
        for number in 1..=3 {
            order.extend(placed(&end(&mut fleet, now + MILLI * 2, number)));
        }
        let expected = if returns_as_told { 101 } else { 200 };
        expect_that!(order.first(), some(eq(&expected)));
        expect_that!(fleet.returned(), eq(u64::from(returns_as_told)));
    }
}

/// Guards against requests that wait for memory until their deadline: the backlog of an account is
/// refused at once beyond what its share can start in time, and the other account is served.
#[gtest]
fn an_account_beyond_its_share_is_refused_at_once() {
    // One of the requests ends in 0.5 s, the others in 2.8 s.
    let mut fleet = busy_fleet(&view_of(2, 1), 10, Duration::ZERO);
    let held = RunningRequest {
        request: request(50, 90, 5_000, 4_000),
        decode: view_of(2, 1).endpoints[2].id.clone(),
        decoding_for: Duration::from_millis(2_300),
    };
    fleet.handle(START, Event::Adopt(held));
    let first = fleet.handle(START, Event::Submit(request(100, HOT, 5_000, 4_000)));
    expect_that!(first, is_empty());
    // The first free memory is now expected for the other account.
    let second = fleet.handle(START + MILLI, Event::Submit(request(200, 0, 5_000, 4_000)));
    let refused = refused(&second);
    expect_that!(refused, len(eq(1)));
    expect_that!(refused[0].0, eq(100));
    let actions = end(&mut fleet, START + MILLI * 500, 50);
    expect_that!(placed(&actions), elements_are![eq(&200)]);
}

/// Guards against large requests that wait until they miss their target, because smaller ones take
/// all memory that is freed.
#[gtest]
fn a_large_request_is_not_passed_by_smaller_ones_for_long() {
    let mut fleet = busy_fleet(&view_of(2, 1), 11, Duration::from_secs(1));
    let large = PlacementRequest {
        time_to_target: Duration::from_secs(3),
        ..request(100, 0, 30_000, 4_000)
    };
    let large = PlacementRequest {
        time_to_timeout: PATIENT,
        ..large
    };
    fleet.handle(START, Event::Submit(large));
    for number in 200..240 {
        fleet.handle(START, Event::Submit(patient(number, HOT)));
    }
    let mut placed_at = None;
    for step in 1..=11 {
        let now = START + Duration::from_millis(200) * step;
        let actions = end(&mut fleet, now, u64::from(step));
        if placed(&actions).contains(&100) {
            placed_at = Some(now);
        }
    }
    let waited = placed_at.map(|at| at.since(START));
    expect_that!(waited, some(le(Duration::from_millis(2_200))));
}

/// Guards against accounts that pay for what their requests were expected to use and did not.
#[gtest]
fn charges_are_corrected_when_requests_end() {
    let mut fleet = busy_fleet(&view_of(2, 1), 9, Duration::from_secs(1));
    // Both accounts have the same weight and run one request of the same size; that of the first one
    // ends at once.
    for (number, account) in [(100, 6), (200, 7)] {
        let actions = fleet.handle(START, Event::Submit(patient(number, account)));
        expect_that!(placed(&actions), elements_are![eq(&number)]);
    }
    let now = START + MILLI;
    let queued = [(201, 7), (202, 7), (101, 6), (102, 6)];
    for (number, account) in queued {
        fleet.handle(now, Event::Submit(patient(number, account)));
    }
    let id = request(100, 0, 1, 1).id;
    let aborted = RunEnd::Aborted;
    let mut order = placed(&fleet.handle(now, Event::Ended { id, end: aborted }));
    for step in 1..=3 {
        let now = now + Duration::from_millis(200) * step;
        order.extend(placed(&end(&mut fleet, now, u64::from(step))));
    }
    expect_that!(order.first(), some(eq(&101)));
}

/// Guards against a new leader at which requests lose their place: those that had waited longest are
/// placed first within their account, and accounts that hold little go before those that hold much.
#[gtest]
fn a_new_leader_knows_the_backlog_and_what_accounts_hold() {
    let view = view_of(2, 1);
    let takeover = START + Duration::from_millis(200);
    let mut fleet = FleetScheduler::new(Settings::default(), takeover);
    fleet.handle(START, Event::Configure(view.clone()));
    for number in 1..=11 {
        let held = RunningRequest {
            request: request(number, HOT, 5_000, 4_000),
            decode: view.endpoints[2].id.clone(),
            decoding_for: Duration::from_secs(1),
        };
        fleet.handle(START, Event::Adopt(held));
    }
    let waited = |number, account, waited| PlacementRequest {
        time_to_target: PATIENT.saturating_sub(waited),
        ..patient(number, account)
    };
    // In the order in which the gateways happen to ask again.
    let second = Duration::from_secs(1);
    for request in [
        waited(100, HOT, second * 2),
        waited(200, 7, second),
        waited(201, 7, second * 2),
    ] {
        fleet.handle(START + MILLI, Event::Submit(request));
    }
    let mut order = Vec::new();
    for number in 1..=3 {
        let now = takeover + MILLI * 100 * u32::try_from(number).unwrap();
        order.extend(placed(&end(&mut fleet, now, number)));
    }
    expect_that!(order, elements_are![eq(&201), eq(&200), eq(&100)]);
}

/// Guards against a leader that spends its processor on a long queue. A decision must not take longer
/// the more requests are queued: between two arrangements, an event examines no more requests than
/// the lookahead.
#[gtest]
fn a_decision_with_1500_queued_requests_is_linear_in_the_lookahead() {
    let view = view(true, None);
    let mut fleet = busy_fleet(&view, 11, Duration::from_secs(1));
    for number in 0..1_500 {
        fleet.handle(
            START,
            Event::Submit(patient(1_000 + number, (number % 16) as usize)),
        );
    }
    expect_that!(fleet.waiting(), eq(1_500));
    expect_that!(fleet.waiting_accounts(), eq(16));
    let lookahead = Settings::default().lookahead as u64;
    // Arranges the queue, and starts the interval in which it is not arranged again.
    let now = START + Duration::from_secs(1);
    fleet.handle(now, Event::Tick);
    let (visits, tries) = (fleet.visits(), fleet.tries());
    let events = 100;
    for number in 1..=events {
        end(&mut fleet, now + MILLI, number);
        let submit = Event::Submit(patient(5_000 + number, (number % 16) as usize));
        fleet.handle(now + MILLI, submit);
    }
    expect_that!(fleet.visits() - visits, le(2 * events));
    let placed = 1_500 + events - fleet.waiting() as u64;
    expect_that!(fleet.tries() - tries, le(2 * events * lookahead + placed));
    // Each later arrangement examines each queued request once.
    let visits = fleet.visits();
    for step in 1..=10 {
        fleet.handle(now + MILLI * 10 * step, Event::Tick);
    }
    expect_that!(fleet.visits() - visits, le(5 * 1_600));
}
