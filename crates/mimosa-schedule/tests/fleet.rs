//! A fleet under load: what callers get.

#[path = "fleet/world.rs"]
mod world;

use std::time::Duration;

use googletest::prelude::*;
use mimosa_protocol::Timestamp;
use mimosa_protocol::Tokens;
use mimosa_schedule::fleet::Action;
use mimosa_schedule::fleet::Event;
use mimosa_schedule::fleet::FleetScheduler;
use mimosa_schedule::fleet::PlacementRefusal;
use mimosa_schedule::fleet::PlacementRequest;
use mimosa_schedule::fleet::RunEnd;
use mimosa_schedule::fleet::RunningRequest;
use mimosa_schedule::fleet::Settings;

use crate::world::Outcome;
use crate::world::World;
use crate::world::ask;
use crate::world::view;
use crate::world::view_of;

const START: Timestamp = Timestamp::from_secs(100);

fn fleet() -> FleetScheduler {
    let mut fleet = FleetScheduler::new(Settings::default(), Timestamp::ZERO);
    fleet.handle(START, Event::Configure(view()));
    fleet
}

fn placed(actions: &[Action]) -> usize {
    let is_placed = |action: &&Action| matches!(action, Action::Place { .. });
    actions.iter().filter(is_placed).count()
}

/// A third of what the prefill endpoints read and half of the decode memory: everything is served in
/// time and nothing is preempted.
#[gtest]
fn a_calm_load_is_served_in_time() {
    for seed in 0..2 {
        let outcome = World::new(seed).play(10.0, Duration::from_secs(25));
        expect_that!(outcome.refused, eq(0), "{outcome:?}");
        expect_that!(outcome.late * 100, le(outcome.asked), "{outcome:?}");
        expect_that!(outcome.preempted * 100, le(outcome.asked), "{outcome:?}");
    }
}

/// Twice what the decode memory bears: what is served is served whole, and most of what the memory
/// bears is used.
#[gtest]
fn an_overload_is_refused_instead_of_preempted() {
    for seed in 0..2 {
        let calm = World::new(seed).play(16.0, Duration::from_secs(25));
        let over = World::new(seed).play(40.0, Duration::from_secs(25));
        expect_that!(over.preempted * 50, le(over.asked), "{over:?}");
        expect_that!(over.in_time, ge(calm.in_time * 9 / 10), "{calm:?} {over:?}");
        expect_that!(over.refused, gt(0), "{over:?}");
    }
}

/// A refusal comes while its caller still waits, and names a time at which there is room.
#[gtest]
fn nobody_is_held_until_their_patience_ends() {
    let Outcome {
        longest_refusal, ..
    } = World::new(1).play(60.0, Duration::from_secs(30));
    let patience = ask(0, 1, 1).time_to_timeout;
    expect_that!(longest_refusal, le(patience * 2 / 3));
}

#[gtest]
fn a_request_without_endpoints_is_refused_at_once() {
    let mut fleet = FleetScheduler::new(Settings::default(), Timestamp::ZERO);
    let waits = fleet.handle(START, Event::Submit(ask(1, 5_000, 5_000)));
    expect_that!(waits, is_empty(), "the endpoints are not known yet");
    fleet.handle(
        START,
        Event::Configure(mimosa_schedule::fleet::View::default()),
    );
    let refused = fleet.handle(START, Event::Submit(ask(2, 5_000, 5_000)));
    expect_that!(
        refused,
        contains(matches_pattern!(Action::Refuse {
            reason: eq(&PlacementRefusal::NoEndpoint),
            ..
        }))
    );
}

#[gtest]
fn nothing_is_placed_before_the_gateways_have_told_what_they_hold() {
    let silent_until = START + Duration::from_millis(200);
    let mut fleet = FleetScheduler::new(Settings::default(), silent_until);
    fleet.handle(START, Event::Configure(view()));
    let early = fleet.handle(START, Event::Submit(ask(1, 5_000, 5_000)));
    expect_that!(placed(&early), eq(0));
    let later = fleet.handle(silent_until, Event::Tick);
    expect_that!(placed(&later), eq(1));
}

/// A new leader hears of the runs before it has read the list of endpoints.
#[gtest]
fn what_gateways_hold_counts_also_if_the_endpoints_come_later() {
    let mut fleet = FleetScheduler::new(Settings::default(), Timestamp::ZERO);
    let decodes: Vec<_> = view().endpoints.into_iter().map(|each| each.id).collect();
    let decodes = decodes.iter().filter(|id| id.as_str().starts_with('d'));
    let mut number = 0;
    for decode in decodes {
        // Eleven of these fill an endpoint's memory.
        for _ in 0..11 {
            number += 1;
            let held = RunningRequest {
                request: ask(number, 5_000, 4_000),
                decode: decode.clone(),
                decoding_for: Duration::ZERO,
            };
            fleet.handle(START, Event::Adopt(held));
        }
    }
    fleet.handle(START, Event::Configure(view()));
    let actions = fleet.handle(START, Event::Submit(ask(1_000, 5_000, 4_000)));
    // The first of them ends in 2.8 s, later than the request would wait.
    let [
        Action::Refuse {
            reason: why,
            retry_after,
            ..
        },
    ] = actions.as_slice()
    else {
        panic!("{actions:?}");
    };
    expect_that!(*why, eq(PlacementRefusal::TooLate));
    expect_that!(*retry_after, ge(Duration::from_millis(2_700)));
    expect_that!(*retry_after, le(Duration::from_millis(2_900)));
}

/// Hundreds of decode endpoints, of which a few are idle: not all are forecast for each request, and
/// the idle ones are found all the same.
#[gtest]
fn an_idle_endpoint_is_found_among_hundreds() {
    let mut fleet = FleetScheduler::new(Settings::default(), Timestamp::ZERO);
    let many = view_of(40, 400);
    fleet.handle(START, Event::Configure(many.clone()));
    let mut number = 0;
    for endpoint in many.endpoints.iter().skip(40) {
        let is_idle = endpoint.id.as_str().ends_with("99");
        for _ in 0..if is_idle { 0 } else { 4 } {
            number += 1;
            let held = RunningRequest {
                request: ask(number, 5_000, 4_000),
                decode: endpoint.id.clone(),
                decoding_for: Duration::ZERO,
            };
            fleet.handle(START, Event::Adopt(held));
        }
    }
    for next in 1..=4 {
        let actions = fleet.handle(START, Event::Submit(ask(number + next, 5_000, 4_000)));
        let [Action::Place { placement, .. }] = actions.as_slice() else {
            panic!("{actions:?}");
        };
        expect_that!(placement.decode.as_str(), ends_with("99"));
    }
    expect_that!(fleet.summary(START).len(), lt(2_500));
}

/// A request that broke at one endpoint is placed at others, as long as there are some.
#[gtest]
fn an_endpoint_that_is_to_be_avoided_comes_last() {
    let mut fleet = fleet();
    let mut avoid = Vec::new();
    let mut chosen = Vec::new();
    for number in 1..=6 {
        let again = PlacementRequest {
            avoid: avoid.clone(),
            ..ask(number, 5_000, 400)
        };
        let now = START + Duration::from_secs(number);
        let actions = fleet.handle(now, Event::Submit(again.clone()));
        let [Action::Place { placement, .. }] = actions.as_slice() else {
            panic!("{actions:?}");
        };
        chosen.push(placement.decode.to_string());
        avoid.push(placement.decode.clone());
        let ended = Event::Ended {
            id: again.id,
            end: RunEnd::Aborted,
        };
        fleet.handle(now, ended);
    }
    chosen[..5].sort();
    expect_that!(chosen[..5], eq(["d-1", "d-2", "d-3", "d-4", "d-5"]));
    // All were tried by then: the sixth goes to one of them again.
    expect_that!(chosen[5], starts_with("d-"));
}

/// An endpoint that went away while a request ran gets nothing for a moment.
#[gtest]
fn an_endpoint_that_went_away_is_left_alone() {
    let mut fleet = fleet();
    let actions = fleet.handle(START, Event::Submit(ask(1, 5_000, 400)));
    let [Action::Place { placement, .. }] = actions.as_slice() else {
        panic!("{actions:?}");
    };
    let lost = placement.decode.clone();
    let ended = Event::Ended {
        id: ask(1, 5_000, 400).id,
        end: RunEnd::EndpointLost(lost.clone()),
    };
    fleet.handle(START, ended);
    for number in 2..=5 {
        let actions = fleet.handle(START, Event::Submit(ask(number, 5_000, 400)));
        for action in &actions {
            if let Action::Place { placement, .. } = action {
                expect_that!(placement.decode, not(eq(&lost)));
            }
        }
    }
}

/// What would wait for memory until it is given up is told at once; what has room in time waits.
#[gtest]
fn a_hopeless_request_is_refused_at_once() {
    let mut fleet = fleet();
    let mut number = 0;
    for decode in view().endpoints.into_iter().map(|each| each.id) {
        for _ in 0..11 {
            number += 1;
            let held = RunningRequest {
                request: ask(number, 5_000, 4_000),
                decode: decode.clone(),
                // One of them ends in half a second.
                decoding_for: Duration::from_millis(if number == 50 { 2_300 } else { 0 }),
            };
            fleet.handle(START, Event::Adopt(held));
        }
    }
    let first = fleet.handle(START, Event::Submit(ask(1_000, 5_000, 4_000)));
    expect_that!(first, is_empty());
    let second = fleet.handle(START, Event::Submit(ask(1_001, 5_000, 4_000)));
    expect_that!(second, len(eq(1)));
    expect_that!(fleet.waiting(), eq(1));
}

/// An endpoint that cannot be reached gets nothing for a while; the request goes elsewhere.
#[gtest]
fn an_endpoint_that_failed_is_left_alone() {
    let mut fleet = fleet();
    let first = fleet.handle(START, Event::Submit(ask(1, 5_000, 5_000)));
    let [
        Action::Place {
            placement,
            id: ticket,
        },
    ] = first.as_slice()
    else {
        panic!("{first:?}");
    };
    let failed = placement.decode.clone();
    let end = RunEnd::Unreachable(failed.clone());
    let ticket = ticket.clone();
    fleet.handle(START, Event::Ended { id: ticket, end });
    for number in 2..6 {
        let at = START + Duration::from_millis(number);
        for action in fleet.handle(at, Event::Submit(ask(number, 1_000, 1_000))) {
            if let Action::Place { placement, .. } = action {
                expect_that!(placement.decode, not(eq(&failed)));
            }
        }
    }
}

/// A decode that found no room is placed again beside the KV cache, without another prefill.
#[gtest]
fn a_kv_cache_is_used_again() {
    let mut fleet = fleet();
    let mut again = ask(1, 5_000, 5_000);
    again.kv_cache_at = Some("p-1".parse().unwrap());
    again.time_to_timeout = Duration::from_millis(400);
    let actions = fleet.handle(START, Event::Submit(again));
    let [Action::Place { placement, .. }] = actions.as_slice() else {
        panic!("{actions:?}");
    };
    expect_that!(placement.prefill, none());
}

/// One prefill at a time: the next one is sent shortly before the endpoint is free.
#[gtest]
fn prefills_wait_here_and_not_in_the_engines() {
    let mut fleet = fleet();
    let prefills = view()
        .endpoints
        .iter()
        .filter(|each| each.id.as_str().starts_with('p'))
        .count();
    let mut at_once = 0;
    for number in 0..20 {
        let actions = fleet.handle(START, Event::Submit(ask(number, 5_000, 1_000)));
        at_once += placed(&actions);
    }
    expect_that!(at_once, eq(prefills));
    expect_that!(fleet.waiting(), eq(20 - prefills));
    expect_that!(fleet.next_wake(START), some(gt(START)));
}

#[gtest]
fn a_lost_gateway_frees_what_it_held() {
    let mut fleet = fleet();
    fleet.handle(START, Event::Submit(ask(1, 5_000, 5_000)));
    expect_that!(fleet.running(), eq(1));
    let gateway = ask(1, 1, 1).id.gateway;
    fleet.handle(START, Event::GatewayLost { gateway });
    expect_that!(fleet.running(), eq(0));
}

/// The forecast learns how long outputs get against their estimates.
#[gtest]
fn estimates_that_are_too_low_are_corrected() {
    let mut fleet = fleet();
    let mut now = START;
    for number in 0..60 {
        let mut short = ask(number, 5_000, 8_000);
        short.expected_output = Some(Tokens(1_000));
        let ticket = short.id.clone();
        fleet.handle(now, Event::Submit(short));
        let took = Duration::from_millis(90);
        let prefilled = Event::Prefilled {
            id: ticket.clone(),
            took,
        };
        fleet.handle(now + took, prefilled);
        fleet.handle(now + took, Event::Started { id: ticket.clone() });
        now = now + took + Duration::from_millis(2_800);
        let end = RunEnd::Complete(Tokens(4_000));
        fleet.handle(now, Event::Ended { id: ticket, end });
    }
    // Each needs 9,000 tokens: twelve of them fill an endpoint of 105,738, and there are five.
    let mut running = 0;
    for number in 100..400 {
        let mut short = ask(number, 5_000, 8_000);
        short.expected_output = Some(Tokens(1_000));
        running += placed(&fleet.handle(now, Event::Submit(short)));
        let took = Duration::from_millis(90);
        let ticket = ask(number, 1, 1).id;
        running += placed(&fleet.handle(now, Event::Prefilled { id: ticket, took }));
    }
    expect_that!(running, le(5 * 13));
    expect_that!(running, ge(5 * 8));
}

/// A burst that fills the decode memory: callers are served more with the pools that are proposed.
#[gtest]
fn callers_are_served_more_with_a_better_split_of_the_pools() {
    let time = Duration::from_secs(25);
    let before = World::with_pools(1, 4, 5).play(30.0, time);
    let after = World::with_pools(1, 3, 6).play(30.0, time);
    expect_that!(
        after.in_time,
        ge(before.in_time * 11 / 10),
        "{before:?} {after:?}"
    );
}
