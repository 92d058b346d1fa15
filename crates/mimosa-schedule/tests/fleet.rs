//! Tests of the fleet scheduler, with simulated engines under load.

#[path = "fleet/simulation.rs"]
mod simulation;
#[path = "fleet/speeds.rs"]
mod speeds;
#[path = "fleet/versions.rs"]
mod versions;

use std::time::Duration;

use googletest::prelude::*;
use mimosa_protocol::EndpointId;
use mimosa_protocol::RequestRate;
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

use crate::simulation::Outcome;
use crate::simulation::Simulation;
use crate::simulation::request;
use crate::simulation::view;
use crate::simulation::view_of;

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

/// At a third of the prefill capacity and half of the decode memory, all requests are served in
/// time without preemption.
#[gtest]
fn a_load_below_capacity_is_served_in_time() {
    for seed in 0..2 {
        let outcome = Simulation::new(seed).run(10.0, Duration::from_secs(25));
        expect_that!(outcome.refused, eq(0), "{outcome:?}");
        expect_that!(outcome.late * 100, le(outcome.submitted), "{outcome:?}");
        expect_that!(
            outcome.preempted * 100,
            le(outcome.submitted),
            "{outcome:?}"
        );
    }
}

/// At twice the capacity of the decode memory, served requests complete without preemption, and
/// most of the memory is used.
#[gtest]
fn excess_load_is_refused_and_not_preempted() {
    for seed in 0..2 {
        let normal = Simulation::new(seed).run(16.0, Duration::from_secs(25));
        let overload = Simulation::new(seed).run(40.0, Duration::from_secs(25));
        expect_that!(
            overload.preempted * 50,
            le(overload.submitted),
            "{overload:?}"
        );
        expect_that!(
            overload.in_time,
            ge(normal.in_time * 9 / 10),
            "{normal:?} {overload:?}"
        );
        expect_that!(overload.refused, gt(0), "{overload:?}");
    }
}

/// Guards against refusals that arrive only when the client has given up.
#[gtest]
fn requests_are_refused_before_two_thirds_of_their_time_to_timeout() {
    let Outcome {
        longest_refusal, ..
    } = Simulation::new(1).run(60.0, Duration::from_secs(30));
    let time_to_timeout = request(0, 1, 1).time_to_timeout;
    expect_that!(longest_refusal, le(time_to_timeout * 2 / 3));
}

#[gtest]
fn a_request_without_endpoints_is_refused_immediately() {
    let mut fleet = FleetScheduler::new(Settings::default(), Timestamp::ZERO);
    let queued = fleet.handle(START, Event::Submit(request(1, 5_000, 5_000)));
    expect_that!(
        queued,
        is_empty(),
        "requests are queued while the endpoints are unknown"
    );
    fleet.handle(
        START,
        Event::Configure(mimosa_schedule::fleet::View::default()),
    );
    let refused = fleet.handle(START, Event::Submit(request(2, 5_000, 5_000)));
    expect_that!(
        refused,
        contains(matches_pattern!(Action::Refuse {
            reason: eq(&PlacementRefusal::NoEndpoint),
            ..
        }))
    );
}

#[gtest]
fn nothing_is_placed_before_gateways_have_reported_running_requests() {
    let handover_until = START + Duration::from_millis(200);
    let mut fleet = FleetScheduler::new(Settings::default(), handover_until);
    fleet.handle(START, Event::Configure(view()));
    let early = fleet.handle(START, Event::Submit(request(1, 5_000, 5_000)));
    expect_that!(placed(&early), eq(0));
    let later = fleet.handle(handover_until, Event::Tick);
    expect_that!(placed(&later), eq(1));
}

/// A new leader may receive running requests before it has read the list of endpoints.
#[gtest]
fn running_requests_count_if_reported_before_the_endpoints() {
    let mut fleet = FleetScheduler::new(Settings::default(), Timestamp::ZERO);
    let decodes: Vec<_> = view().endpoints.into_iter().map(|each| each.id).collect();
    let decodes = decodes.iter().filter(|id| id.as_str().starts_with('d'));
    let mut number = 0;
    for decode in decodes {
        // 11 of these requests fill the memory of an endpoint.
        for _ in 0..11 {
            number += 1;
            let running_request = RunningRequest {
                request: request(number, 5_000, 4_000),
                decode: decode.clone(),
                decoding_for: Duration::ZERO,
            };
            fleet.handle(START, Event::Adopt(running_request));
        }
    }
    fleet.handle(START, Event::Configure(view()));
    let actions = fleet.handle(START, Event::Submit(request(1_000, 5_000, 4_000)));
    // The first of them ends in 2.8 s, which is later than the deadline of the new request.
    let [
        Action::Refuse {
            reason,
            retry_after,
            ..
        },
    ] = actions.as_slice()
    else {
        panic!("{actions:?}");
    };
    expect_that!(*reason, eq(PlacementRefusal::TooLate));
    expect_that!(*retry_after, ge(Duration::from_millis(2_700)));
    expect_that!(*retry_after, le(Duration::from_millis(2_900)));
}

/// With hundreds of decode endpoints, only some are forecast for each request. The few idle ones
/// must be among them.
#[gtest]
fn an_idle_endpoint_is_selected_among_hundreds() {
    let mut fleet = FleetScheduler::new(Settings::default(), Timestamp::ZERO);
    let many = view_of(40, 400);
    fleet.handle(START, Event::Configure(many.clone()));
    let mut number = 0;
    for endpoint in many.endpoints.iter().skip(40) {
        let is_idle = endpoint.id.as_str().ends_with("99");
        for _ in 0..if is_idle { 0 } else { 4 } {
            number += 1;
            let running_request = RunningRequest {
                request: request(number, 5_000, 4_000),
                decode: endpoint.id.clone(),
                decoding_for: Duration::ZERO,
            };
            fleet.handle(START, Event::Adopt(running_request));
        }
    }
    for next in 1..=4 {
        let actions = fleet.handle(START, Event::Submit(request(number + next, 5_000, 4_000)));
        let [Action::Place { placement, .. }] = actions.as_slice() else {
            panic!("{actions:?}");
        };
        expect_that!(placement.decode.as_str(), ends_with("99"));
    }
    expect_that!(fleet.summary(START).len(), lt(2_500));
}

/// A request that failed at one endpoint is placed at other endpoints while there are any.
#[gtest]
fn avoided_endpoints_are_used_only_after_all_others() {
    let mut fleet = fleet();
    let mut avoid = Vec::new();
    let mut chosen = Vec::new();
    for number in 1..=6 {
        let retry = PlacementRequest {
            avoid: avoid.clone(),
            exclude: Vec::new(),
            ..request(number, 5_000, 400)
        };
        let now = START + Duration::from_secs(number);
        let actions = fleet.handle(now, Event::Submit(retry.clone()));
        let [Action::Place { placement, .. }] = actions.as_slice() else {
            panic!("{actions:?}");
        };
        chosen.push(placement.decode.to_string());
        avoid.push(placement.decode.clone());
        let ended = Event::Ended {
            id: retry.id,
            end: RunEnd::Aborted,
        };
        fleet.handle(now, ended);
    }
    chosen[..5].sort();
    expect_that!(chosen[..5], eq(["d-1", "d-2", "d-3", "d-4", "d-5"]));
    // All endpoints have failed, so the sixth attempt goes to one of them again.
    expect_that!(chosen[5], starts_with("d-"));
}

/// An endpoint that disconnected while a request ran gets no requests during its backoff.
#[gtest]
fn an_endpoint_that_disconnected_gets_no_requests() {
    let mut fleet = fleet();
    let actions = fleet.handle(START, Event::Submit(request(1, 5_000, 400)));
    let [Action::Place { placement, .. }] = actions.as_slice() else {
        panic!("{actions:?}");
    };
    let lost = placement.decode.clone();
    let ended = Event::Ended {
        id: request(1, 5_000, 400).id,
        end: RunEnd::EndpointLost(lost.clone()),
    };
    fleet.handle(START, ended);
    for number in 2..=5 {
        let actions = fleet.handle(START, Event::Submit(request(number, 5_000, 400)));
        for action in &actions {
            if let Action::Place { placement, .. } = action {
                expect_that!(placement.decode, not(eq(&lost)));
            }
        }
    }
}

/// A request that would wait for memory until its deadline is refused immediately; one that gets
/// memory in time is queued.
#[gtest]
fn a_request_that_cannot_start_in_time_is_refused_immediately() {
    let mut fleet = fleet();
    let mut number = 0;
    for decode in view().endpoints.into_iter().map(|each| each.id) {
        for _ in 0..11 {
            number += 1;
            let running_request = RunningRequest {
                request: request(number, 5_000, 4_000),
                decode: decode.clone(),
                // One of them ends in 0.5 s.
                decoding_for: Duration::from_millis(if number == 50 { 2_300 } else { 0 }),
            };
            fleet.handle(START, Event::Adopt(running_request));
        }
    }
    let first = fleet.handle(START, Event::Submit(request(1_000, 5_000, 4_000)));
    expect_that!(first, is_empty());
    let second = fleet.handle(START, Event::Submit(request(1_001, 5_000, 4_000)));
    expect_that!(second, len(eq(1)));
    expect_that!(fleet.waiting(), eq(1));
}

/// An unreachable endpoint gets no requests during its backoff.
#[gtest]
fn an_unreachable_endpoint_gets_no_requests() {
    let mut fleet = fleet();
    let first = fleet.handle(START, Event::Submit(request(1, 5_000, 5_000)));
    let [Action::Place { placement, id }] = first.as_slice() else {
        panic!("{first:?}");
    };
    let failed = placement.decode.clone();
    let end = RunEnd::Unreachable(failed.clone());
    let id = id.clone();
    fleet.handle(START, Event::Ended { id, end });
    for number in 2..6 {
        let at = START + Duration::from_millis(number);
        for action in fleet.handle(at, Event::Submit(request(number, 1_000, 1_000))) {
            if let Action::Place { placement, .. } = action {
                expect_that!(placement.decode, not(eq(&failed)));
            }
        }
    }
}

/// A request whose KV cache is still held is placed again without another prefill.
#[gtest]
fn a_request_with_a_kv_cache_needs_no_prefill() {
    let mut fleet = fleet();
    let mut retry = request(1, 5_000, 5_000);
    retry.kv_cache_at = Some("p-1".parse().unwrap());
    retry.time_to_timeout = Duration::from_millis(400);
    let actions = fleet.handle(START, Event::Submit(retry));
    let [Action::Place { placement, .. }] = actions.as_slice() else {
        panic!("{actions:?}");
    };
    expect_that!(placement.prefill, none());
}

/// Each prefill endpoint gets one prompt at a time; the next is sent shortly before it becomes
/// idle.
#[gtest]
fn prompts_beyond_one_per_prefill_endpoint_are_queued() {
    let mut fleet = fleet();
    let prefills = view()
        .endpoints
        .iter()
        .filter(|each| each.id.as_str().starts_with('p'))
        .count();
    let mut at_once = 0;
    for number in 0..20 {
        let actions = fleet.handle(START, Event::Submit(request(number, 5_000, 1_000)));
        at_once += placed(&actions);
    }
    expect_that!(at_once, eq(prefills));
    expect_that!(fleet.waiting(), eq(20 - prefills));
    expect_that!(fleet.next_wake(START), some(gt(START)));
}

#[gtest]
fn requests_of_a_lost_gateway_are_removed() {
    let mut fleet = fleet();
    fleet.handle(START, Event::Submit(request(1, 5_000, 5_000)));
    expect_that!(fleet.running(), eq(1));
    let gateway = request(1, 1, 1).id.gateway;
    fleet.handle(START, Event::GatewayLost { gateway });
    expect_that!(fleet.running(), eq(0));
}

/// The forecast learns the ratio of outputs to their estimates.
#[gtest]
fn low_output_estimates_are_corrected() {
    let mut fleet = fleet();
    let mut now = START;
    for number in 0..60 {
        let mut underestimated = request(number, 5_000, 8_000);
        underestimated.expected_output = Some(Tokens(1_000));
        let id = underestimated.id.clone();
        fleet.handle(now, Event::Submit(underestimated));
        let took = Duration::from_millis(90);
        let prefilled = Event::Prefilled {
            id: id.clone(),
            took,
        };
        fleet.handle(now + took, prefilled);
        fleet.handle(now + took, Event::Started { id: id.clone() });
        now = now + took + Duration::from_millis(2_800);
        let end = RunEnd::Complete(Tokens(4_000));
        fleet.handle(now, Event::Ended { id, end });
    }
    // Each request needs 9,000 tokens: 12 of them fill an endpoint of 105,738 tokens, and there are
    // 5 endpoints.
    let mut running = 0;
    for number in 100..400 {
        let mut underestimated = request(number, 5_000, 8_000);
        underestimated.expected_output = Some(Tokens(1_000));
        running += placed(&fleet.handle(now, Event::Submit(underestimated)));
        let took = Duration::from_millis(90);
        let id = request(number, 1, 1).id;
        running += placed(&fleet.handle(now, Event::Prefilled { id, took }));
    }
    expect_that!(running, le(5 * 13));
    expect_that!(running, ge(5 * 8));
}

/// In a burst that fills the decode memory, the recommended pool sizes serve more requests in time.
#[gtest]
fn recommended_pool_sizes_serve_more_requests_in_time() {
    let time = Duration::from_secs(25);
    let before = Simulation::with_pools(1, 4, 5).run(30.0, time);
    let after = Simulation::with_pools(1, 3, 6).run(30.0, time);
    expect_that!(
        after.in_time,
        ge(before.in_time * 11 / 10),
        "{before:?} {after:?}"
    );
}

/// Engines that respond 57 ms after they have processed a prompt process the next one meanwhile. At
/// 80% of the prefill capacity, with much decode memory, requests are served as without the latency.
#[gtest]
fn the_latency_of_prefills_does_not_reduce_their_rate() {
    let time = Duration::from_secs(25);
    for seed in 0..2 {
        let outcome = Simulation::with_pools(seed, 2, 12)
            .with_prefill_latency(Duration::from_millis(57))
            .run(17.0, time);
        expect_that!(
            outcome.in_time * 100,
            ge(outcome.submitted * 97),
            "{outcome:?}"
        );
    }
}

fn fleet_with_busy_prefills() -> FleetScheduler {
    let mut fleet = FleetScheduler::new(Settings::default(), Timestamp::ZERO);
    fleet.handle(START, Event::Configure(view_of(1, 5)));
    // 12 prompts take 1.5 s at 40,000 tokens/s, longer than the latency target of 900 ms.
    for number in 1..=12 {
        fleet.handle(START, Event::Submit(request(number, 5_000, 400)));
    }
    fleet
}

/// In a burst of prompts beyond the capacity of the prefill endpoints, short prompts run at decode
/// endpoints, where they delay other outputs by less than the accepted pause.
#[gtest]
fn a_short_prompt_runs_at_a_decode_endpoint_if_prefills_would_be_late() {
    let mut fleet = fleet_with_busy_prefills();
    let actions = fleet.handle(START, Event::Submit(request(100, 1_500, 400)));
    let [Action::Place { id, placement }] = actions.as_slice() else {
        panic!("{actions:?}");
    };
    expect_that!(id.number, eq(100));
    expect_that!(placement.prefill, none());
}

/// The outputs at a decode endpoint pause while it processes a prompt.
#[gtest]
fn a_long_prompt_waits_for_a_prefill_endpoint() {
    let mut fleet = fleet_with_busy_prefills();
    let actions = fleet.handle(START, Event::Submit(request(100, 5_000, 400)));
    expect_that!(placed(&actions), eq(0));
}

/// A second prompt at the same decode endpoint would double the pause.
#[gtest]
fn a_decode_endpoint_processes_one_prompt_at_a_time() {
    let mut fleet = fleet_with_busy_prefills();
    let mut decodes = std::collections::BTreeSet::new();
    for number in 100..120 {
        for action in fleet.handle(START, Event::Submit(request(number, 1_500, 400))) {
            if let Action::Place { placement, .. } = action {
                expect_that!(decodes.insert(placement.decode), eq(true));
            }
        }
    }
    expect_that!(decodes.len(), eq(5));
}

/// Guards against a leader that spends its processor on requests that cannot be placed: with 42 full
/// decode endpoints, events that free no capacity must not try the whole queue again. A try takes
/// the forecasts of up to 32 endpoints.
#[gtest]
fn events_that_free_no_capacity_do_not_try_queued_requests_again() {
    let mut fleet = FleetScheduler::new(Settings::default(), Timestamp::ZERO);
    let many = view_of(24, 42);
    fleet.handle(START, Event::Configure(many.clone()));
    let mut number = 0;
    for endpoint in many.endpoints.iter().skip(24) {
        for _ in 0..11 {
            number += 1;
            let running_request = RunningRequest {
                request: request(number, 5_000, 4_000),
                decode: endpoint.id.clone(),
                decoding_for: Duration::from_millis(1_900),
            };
            fleet.handle(START, Event::Adopt(running_request));
        }
    }
    for _ in 0..30 {
        number += 1;
        fleet.handle(START, Event::Submit(request(number, 5_000, 4_000)));
    }
    expect_that!(fleet.waiting(), eq(30));
    let tries = fleet.tries();
    for running in 1..=400 {
        let id = request(running, 1, 1).id;
        fleet.handle(START + Duration::from_millis(1), Event::Started { id });
    }
    expect_that!(fleet.tries() - tries, eq(0));
}

const STEP: Duration = Duration::from_millis(100);

/// Two prefill and two decode endpoints.
fn small_fleet() -> FleetScheduler {
    let mut fleet = FleetScheduler::new(Settings::default(), Timestamp::ZERO);
    fleet.handle(START, Event::Configure(view_of(2, 2)));
    fleet
}

fn limit(fleet: &mut FleetScheduler, now: Timestamp, endpoint: &str, max_rate: RequestRate) {
    let event = Event::Limited {
        endpoint: endpoint.parse().unwrap(),
        max_rate: Some(max_rate),
    };
    fleet.handle(now, event);
}

/// The decode endpoints of all placements, whose requests complete at once.
fn complete_placed(
    fleet: &mut FleetScheduler,
    now: Timestamp,
    actions: Vec<Action>,
) -> Vec<EndpointId> {
    let mut decodes = Vec::new();
    let mut pending = actions;
    while let Some(action) = pending.pop() {
        if let Action::Place { id, placement } = action {
            decodes.push(placement.decode);
            let end = RunEnd::Complete(Tokens(100));
            pending.extend(fleet.handle(now, Event::Ended { id, end }));
        }
    }
    decodes
}

#[gtest]
fn a_limited_decode_endpoint_is_placed_at_within_its_limit_and_the_other_takes_the_rest() {
    let mut fleet = small_fleet();
    let mut decodes = Vec::new();
    for step in 0..40 {
        let now = START + STEP * step;
        limit(&mut fleet, now, "d-1", RequestRate(1_000));
        let submit = Event::Submit(request(u64::from(step), 5_000, 100));
        let actions = fleet.handle(now, submit);
        decodes.extend(complete_placed(&mut fleet, now, actions));
    }
    let limited = decodes.iter().filter(|id| id.as_str() == "d-1").count();
    expect_that!(decodes, len(eq(40)));
    // One and a half times the limit in 4 s, and five more.
    expect_that!(limited, all![ge(1), le(11)]);
}

#[gtest]
fn an_excluded_endpoint_is_never_selected_and_without_another_the_request_is_refused_at_once() {
    let mut fleet = small_fleet();
    for number in 0..20 {
        let request = PlacementRequest {
            exclude: vec!["d-1".parse().unwrap()],
            // A request that failed at the other endpoint does not go to the excluded one either.
            avoid: vec!["d-2".parse().unwrap()],
            ..request(number, 5_000, 100)
        };
        let actions = fleet.handle(START, Event::Submit(request));
        let decodes = complete_placed(&mut fleet, START, actions);
        expect_that!(decodes, each(not(eq(&"d-1".parse().unwrap()))));
    }
    let request = PlacementRequest {
        exclude: vec!["d-1".parse().unwrap(), "d-2".parse().unwrap()],
        ..request(99, 5_000, 100)
    };
    let refused = fleet.handle(START, Event::Submit(request));
    expect_that!(
        refused,
        contains(matches_pattern!(Action::Refuse {
            reason: eq(&PlacementRefusal::NoEndpoint),
            ..
        }))
    );
}

/// Guards against requests that wait for limited endpoints until their deadline.
#[gtest]
fn requests_beyond_the_limits_of_all_decode_endpoints_are_refused_at_once() {
    let mut fleet = small_fleet();
    for endpoint in ["d-1", "d-2"] {
        limit(&mut fleet, START, endpoint, RequestRate(1_000));
    }
    let mut refused = 0;
    let mut placed = 0;
    for number in 0..30 {
        let actions = fleet.handle(START, Event::Submit(request(number, 5_000, 100)));
        let delays = actions.iter().filter_map(|action| match action {
            Action::Refuse { retry_after, .. } => Some(*retry_after),
            Action::Place { .. } => None,
        });
        let delays: Vec<_> = delays.collect();
        refused += delays.len();
        expect_that!(delays, each(gt(&Duration::from_secs(1))));
        placed += complete_placed(&mut fleet, START, actions).len();
    }
    expect_that!(refused, ge(20));
    // Those that were kept are served at the rate of both limits.
    let mut late_refusals = 0;
    for step in 1..40 {
        let now = START + STEP * step;
        let actions = fleet.handle(now, Event::Tick);
        let is_refusal = |action: &&Action| matches!(action, Action::Refuse { .. });
        late_refusals += actions.iter().filter(is_refusal).count();
        placed += complete_placed(&mut fleet, now, actions).len();
    }
    expect_that!(placed + refused + late_refusals, eq(30));
    expect_that!(placed, ge(4));
    expect_that!(late_refusals, le(1));
}
