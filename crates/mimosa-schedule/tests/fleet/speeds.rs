//! Placement by the speed of single endpoints.

use std::time::Duration;

use googletest::prelude::*;
use mimosa_protocol::Timestamp;
use mimosa_protocol::Tokens;
use mimosa_schedule::fleet::Action;
use mimosa_schedule::fleet::Event;
use mimosa_schedule::fleet::FleetScheduler;
use mimosa_schedule::fleet::GatewayRequestId;
use mimosa_schedule::fleet::Placement;
use mimosa_schedule::fleet::RunEnd;
use mimosa_schedule::fleet::Settings;

use crate::simulation::request;
use crate::simulation::view_of;

const START: Timestamp = Timestamp::from_secs(100);
const PROMPT: u64 = 4_000;
const OUTPUT: u64 = 400;

fn fleet(endpoint_speeds: bool, prefills: usize, decodes: usize) -> FleetScheduler {
    let settings = Settings {
        endpoint_speeds,
        ..Settings::default()
    };
    let mut fleet = FleetScheduler::new(settings, Timestamp::ZERO);
    fleet.handle(START, Event::Configure(view_of(prefills, decodes)));
    fleet
}

fn submit(fleet: &mut FleetScheduler, now: Timestamp, number: u64) -> Option<Placement> {
    let event = Event::Submit(request(number, PROMPT, OUTPUT));
    let actions = fleet.handle(now, event);
    actions.into_iter().find_map(|action| match action {
        Action::Place { placement, .. } => Some(placement),
        Action::Refuse { .. } => None,
    })
}

fn id(number: u64) -> GatewayRequestId {
    request(number, 1, 1).id
}

/// Runs one request alone; `prefill_ms` and `decode_ms` tell how long an endpoint takes.
fn run(
    fleet: &mut FleetScheduler,
    now: Timestamp,
    number: u64,
    prefill_ms: impl Fn(&str) -> u64,
    decode_ms: impl Fn(&str) -> u64,
) -> Placement {
    let placement = submit(fleet, now, number).expect("the endpoints are idle");
    let prefill = placement.prefill.as_ref().expect("there are prefills");
    let took = Duration::from_millis(prefill_ms(prefill.as_str()));
    fleet.handle(
        now + took,
        Event::Prefilled {
            id: id(number),
            took,
        },
    );
    fleet.handle(now + took, Event::Started { id: id(number) });
    let end = now + took + Duration::from_millis(decode_ms(placement.decode.as_str()));
    let event = Event::Ended {
        id: id(number),
        end: RunEnd::Complete(Tokens(OUTPUT)),
    };
    fleet.handle(end, event);
    placement
}

/// Guards against prompts at an endpoint that is known to be slow while a fast one is idle.
#[gtest]
fn a_slow_prefill_endpoint_gets_few_prompts_but_some() {
    let mut fleet = fleet(true, 2, 2);
    let mut slow = 0;
    for number in 0..300 {
        let now = START + Duration::from_secs(number);
        let prefill_ms = |endpoint: &str| if endpoint == "p-2" { 170 } else { 70 };
        let placement = run(&mut fleet, now, number, prefill_ms, |_| 280);
        slow += u32::from(placement.prefill.unwrap().as_str() == "p-2");
    }
    // At most one trial in 5 s.
    expect_that!(slow, all![ge(1), le(300 / 5)]);
}

/// Guards against decode memory that is believed to be free sooner than it is.
#[gtest]
fn a_slow_decode_endpoint_gets_few_requests_but_some() {
    let mut fleet = fleet(true, 2, 2);
    let mut slow = 0;
    for number in 0..300 {
        let now = START + Duration::from_secs(2 * number);
        let decode_ms = |endpoint: &str| if endpoint == "d-2" { 700 } else { 280 };
        let placement = run(&mut fleet, now, number, |_| 70, decode_ms);
        slow += u32::from(placement.decode.as_str() == "d-2");
    }
    expect_that!(slow, all![ge(1), le(600 / 5)]);
}

/// Guards against a queue at an endpoint that has become slow at this moment, which nothing else tells
/// before the end of the episode.
#[gtest]
fn an_endpoint_with_an_overdue_prompt_gets_no_other_one() {
    for endpoint_speeds in [false, true] {
        let mut fleet = fleet(endpoint_speeds, 2, 2);
        let first = submit(&mut fleet, START, 0).unwrap().prefill.unwrap();
        let second = submit(&mut fleet, START, 1).unwrap().prefill.unwrap();
        expect_that!(first, not(eq(&second)));
        // 4,000 tokens take 100 ms at the assumed rate; only the second prompt ends in time.
        let took = Duration::from_millis(100);
        fleet.handle(START + took, Event::Prefilled { id: id(1), took });
        let now = START + Duration::from_millis(250);
        let next = submit(&mut fleet, now, 2).unwrap().prefill.unwrap();
        let after = submit(&mut fleet, now, 3).map(|placement| placement.prefill);
        match endpoint_speeds {
            true => {
                expect_that!(next, eq(&second));
                expect_that!(after.flatten(), none());
            }
            false => expect_that!(after.flatten(), some(anything())),
        }
    }
}

/// Guards against endpoints that stay idle until a distant gateway has reported each prompt.
#[gtest]
fn reports_that_are_always_late_do_not_keep_the_next_prompt_away() {
    let mut fleet = fleet(true, 1, 2);
    let delay = Duration::from_millis(40);
    let took = Duration::from_millis(100);
    let mut now = START;
    for number in 0..60 {
        now = START + Duration::from_secs(number);
        submit(&mut fleet, now, number).unwrap();
        let reported = now + took + delay;
        fleet.handle(
            reported,
            Event::Prefilled {
                id: id(number),
                took,
            },
        );
        fleet.handle(reported, Event::Started { id: id(number) });
        let end = RunEnd::Complete(Tokens(OUTPUT));
        let end = Event::Ended {
            id: id(number),
            end,
        };
        fleet.handle(reported + Duration::from_millis(280), end);
    }
    now = now + Duration::from_secs(1);
    submit(&mut fleet, now, 100).unwrap();
    // The prompt was processed after 100 ms; its report is under way.
    expect_that!(
        submit(&mut fleet, now + Duration::from_millis(125), 101),
        some(anything())
    );
}

/// Guards against a stated figure that is older than the episode, and against one without the feature.
#[gtest]
fn a_fresh_stated_figure_decides_between_equal_endpoints() {
    let stated_slow = |fleet: &mut FleetScheduler, now| {
        let endpoint = "p-1".parse().unwrap();
        let percent = 250;
        fleet.handle(now, Event::Stated { endpoint, percent });
    };
    let prefill_after = |endpoint_speeds, age_ms| {
        let mut fleet = fleet(endpoint_speeds, 2, 2);
        for name in ["p-1", "p-2"] {
            let endpoint = name.parse().unwrap();
            let percent = 100;
            fleet.handle(START, Event::Stated { endpoint, percent });
        }
        let stated_at = START + Duration::from_secs(5);
        stated_slow(&mut fleet, stated_at);
        let now = stated_at + Duration::from_millis(age_ms);
        submit(&mut fleet, now, 0)
            .unwrap()
            .prefill
            .unwrap()
            .to_string()
    };
    expect_that!(prefill_after(true, 100), eq("p-2"));
    expect_that!(prefill_after(true, 700), eq("p-1"));
    expect_that!(prefill_after(false, 100), eq("p-1"));
}

/// Guards against role changes that take the pool of slow endpoints for one of average ones.
#[gtest]
fn the_demand_counts_the_rate_of_each_endpoint() {
    let mut fleet = fleet(true, 2, 2);
    let mut now = START;
    for number in 0..100 {
        now = START + Duration::from_secs(number);
        let prefill_ms = |endpoint: &str| if endpoint == "p-2" { 200 } else { 100 };
        run(&mut fleet, now, number, prefill_ms, |_| 280);
    }
    let demand = fleet.demand(now).unwrap();
    // The mean rate of 100 ms and 200 ms is that of 133 ms; without evidence on the slow endpoint, which
    // gets few prompts, it is assumed to be average.
    expect_that!(
        demand.prefill,
        all![
            ge(Duration::from_millis(95)),
            le(Duration::from_millis(150))
        ]
    );
}

/// Runs rounds of concurrent requests, one for each prefill endpoint, on endpoints of which a third needs
/// `slow_ms` and the others 70 ms.
fn run_rounds(settings: Settings, slow_ms: u64) -> (FleetScheduler, Vec<Placement>) {
    const PREFILLS: usize = 6;
    const ROUNDS: u64 = 12;
    let mut fleet = FleetScheduler::new(settings, Timestamp::ZERO);
    fleet.handle(START, Event::Configure(view_of(PREFILLS, 6)));
    let mut placements = Vec::new();
    for round in 0..ROUNDS {
        let now = START + Duration::from_secs(2) * round as u32;
        let mut ends = Vec::new();
        for at in 0..PREFILLS as u64 {
            let number = round * PREFILLS as u64 + at;
            let Some(placement) = submit(&mut fleet, now, number) else {
                continue;
            };
            let prefill = placement.prefill.clone().expect("there are prefills");
            let is_slow = prefill.as_str().ends_with(['1', '2']);
            let took = Duration::from_millis(if is_slow { slow_ms } else { 70 });
            ends.push((took, number));
            placements.push(placement);
        }
        ends.sort_unstable();
        for (took, number) in ends {
            let event = Event::Prefilled {
                id: id(number),
                took,
            };
            fleet.handle(now + took, event);
            let end = RunEnd::Complete(Tokens(OUTPUT));
            let event = Event::Ended {
                id: id(number),
                end,
            };
            fleet.handle(now + Duration::from_secs(1), event);
        }
    }
    (fleet, placements)
}

fn uneven_speeds() -> Settings {
    Settings {
        uneven_speeds: true,
        ..Settings::default()
    }
}

/// Guards against a change of placement on deployments whose endpoints are alike.
#[googletest::test]
fn endpoints_that_are_alike_are_placed_as_without_the_feature() {
    let (_, with) = run_rounds(uneven_speeds(), 80);
    let (_, without) = run_rounds(Settings::default(), 80);
    expect_that!(with, eq(&without));
}

/// Guards against prompts at a slow endpoint while a fast one is idle.
#[googletest::test]
fn endpoints_that_differ_are_placed_by_speed() {
    let later = START + Duration::from_secs(30);
    let is_slow = |placement: Option<Placement>| {
        let prefill = placement.and_then(|placement| placement.prefill);
        prefill.map(|id| id.as_str().ends_with(['1', '2']))
    };
    let (mut with, _) = run_rounds(uneven_speeds(), 170);
    expect_that!(is_slow(submit(&mut with, later, 1_000)), some(eq(false)));
    let (mut without, _) = run_rounds(Settings::default(), 170);
    expect_that!(is_slow(submit(&mut without, later, 1_000)), some(eq(true)));
}
