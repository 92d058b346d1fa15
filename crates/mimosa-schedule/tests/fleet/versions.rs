//! Placement while a service moves to another version.

use std::time::Duration;

use googletest::prelude::*;
use mimosa_protocol::EndpointId;
use mimosa_protocol::ServiceVersion;
use mimosa_protocol::Timestamp;
use mimosa_rollout::RolloutNumber;
use mimosa_rollout::RolloutPhase;
use mimosa_rollout::RolloutView;
use mimosa_schedule::cold::Pacing;
use mimosa_schedule::fleet::Action;
use mimosa_schedule::fleet::Event;
use mimosa_schedule::fleet::FleetScheduler;
use mimosa_schedule::fleet::Placement;
use mimosa_schedule::fleet::PlacementRefusal;
use mimosa_schedule::fleet::PlacementRequest;
use mimosa_schedule::fleet::RunEnd;
use mimosa_schedule::fleet::Settings;
use mimosa_schedule::fleet::StreamVersion;
use mimosa_schedule::fleet::View;

use crate::START;
use crate::simulation::request;
use crate::simulation::view;
use crate::simulation::view_of;

const NUMBER: RolloutNumber = RolloutNumber(7);
/// Time until the leader has placed a request that waits for capacity.
const LATER: Duration = Duration::from_millis(300);

fn version(name: &str) -> ServiceVersion {
    name.parse().unwrap()
}

/// A rollout from v1 to v2.
fn rollout(phase: RolloutPhase) -> RolloutView {
    RolloutView {
        service: "verse".parse().unwrap(),
        number: NUMBER,
        to: version("v2"),
        from: vec![version("v1")],
        barred: Vec::new(),
        phase,
    }
}

/// Two prefill and three decode endpoints of each version; `n` marks the new ones.
fn both_versions(phase: RolloutPhase) -> View {
    let mut old = view_of(2, 3);
    let mut new = view_of(2, 3);
    for each in &mut old.endpoints {
        each.version = Some(version("v1"));
    }
    for each in &mut new.endpoints {
        each.id = format!("n-{}", each.id).parse().unwrap();
        each.version = Some(version("v2"));
    }
    old.endpoints.append(&mut new.endpoints);
    View {
        rollout: Some(rollout(phase)),
        ..old
    }
}

fn fleet(view: View) -> FleetScheduler {
    let mut fleet = FleetScheduler::new(Settings::default(), Timestamp::ZERO);
    fleet.handle(START, Event::Configure(view));
    fleet
}

fn grant(now: Timestamp, permits: u32) -> Event {
    Event::GrantPermits {
        rollout: NUMBER,
        permits,
        endpoints: 1,
        until: now + Duration::from_secs(1),
    }
}

fn is_new(id: &EndpointId) -> bool {
    id.as_str().starts_with("n-")
}

/// The placements among the actions. Each of their endpoints must be of one version.
fn placements(actions: &[Action]) -> Vec<Placement> {
    let placed = actions.iter().filter_map(|action| match action {
        Action::Place { placement, .. } => Some(placement.clone()),
        Action::Refuse { .. } => None,
    });
    let placed: Vec<_> = placed.collect();
    for each in &placed {
        let prefill_is_new = each.prefill.as_ref().map(is_new);
        assert!(prefill_is_new.is_none_or(|prefill| prefill == is_new(&each.decode)));
    }
    placed
}

/// Submits a request and ends it when it is placed. Returns its placement.
fn submit(fleet: &mut FleetScheduler, now: Timestamp, request: PlacementRequest) -> Vec<Placement> {
    let id = request.id.clone();
    let actions = fleet.handle(now, Event::Submit(request));
    let placed = placements(&actions);
    if !placed.is_empty() {
        let end = RunEnd::Aborted;
        fleet.handle(now, Event::Ended { id, end });
    }
    placed
}

/// Submits a request every 10 ms. Returns the placements.
fn submit_many(
    fleet: &mut FleetScheduler,
    start: Timestamp,
    numbers: std::ops::Range<u64>,
) -> Vec<Placement> {
    let first = numbers.start;
    let submitted = numbers.flat_map(|number| {
        let now = start + Duration::from_millis(10) * u32::try_from(number - first).unwrap();
        submit(fleet, now, request(number, 2_000, 100))
    });
    submitted.collect()
}

fn new_ones(placed: &[Placement]) -> usize {
    placed.iter().filter(|each| is_new(&each.decode)).count()
}

/// Guards against a rule for rollouts that changes the placement of a service without one.
#[gtest]
fn without_a_rollout_versions_do_not_change_any_placement() {
    let mut with_versions = view();
    for (index, each) in with_versions.endpoints.iter_mut().enumerate() {
        each.version = (index % 3 > 0).then(|| version(["v1", "v2"][index % 2]));
    }
    let mut fleets = [fleet(view()), fleet(with_versions)];
    for number in 0..200 {
        let now = START + Duration::from_millis(20 * number);
        let request = PlacementRequest {
            kv_cache_at: (number % 5 == 0).then(|| "p-1".parse().unwrap()),
            ..request(number, 1_000 + number * 37 % 9_000, 1_000)
        };
        let id = request.id.clone();
        let [plain, versioned] = fleets.each_mut().map(|fleet| {
            let actions = fleet.handle(now, Event::Submit(request.clone()));
            if number % 2 == 0 {
                let end = RunEnd::Aborted;
                fleet.handle(
                    now,
                    Event::Ended {
                        id: id.clone(),
                        end,
                    },
                );
            }
            actions
        });
        expect_that!(versioned, eq(&plain));
    }
}

/// Guards against requests to an unproven version beyond the bound.
#[gtest]
fn the_new_version_gets_as_many_requests_as_permits_and_none_after_their_lease() {
    let mut fleet = fleet(both_versions(RolloutPhase::Testing));
    expect_that!(new_ones(&submit_many(&mut fleet, START, 0..50)), eq(0));
    let start = START + Duration::from_secs(1);
    fleet.handle(start, grant(start, 5));
    let placed = submit_many(&mut fleet, start, 50..100);
    expect_that!(placed, len(eq(50)));
    expect_that!(new_ones(&placed), eq(5));
    expect_that!(fleet.used_permits(), eq(5));
    expect_that!(fleet.unused_permits(), eq(0));
    let start = START + Duration::from_secs(2);
    fleet.handle(start, grant(start, 5));
    let after_lease = start + Duration::from_secs(1);
    expect_that!(
        new_ones(&submit_many(&mut fleet, after_lease, 100..150)),
        eq(0)
    );
    // The leader takes the unused ones back, and then grants others.
    expect_that!(fleet.unused_permits(), eq(5));
    fleet.handle(after_lease, grant(after_lease, 1));
    expect_that!(fleet.unused_permits(), eq(1));
}

/// Guards against permits of an earlier rollout that are used in the next one.
#[gtest]
fn permits_hold_for_one_rollout_only() {
    let mut fleet = fleet(both_versions(RolloutPhase::Testing));
    fleet.handle(START, grant(START, 5));
    let mut next = both_versions(RolloutPhase::Testing);
    next.rollout.as_mut().unwrap().number = RolloutNumber(8);
    fleet.handle(START, Event::Configure(next));
    expect_that!(fleet.unused_permits(), eq(0));
    fleet.handle(START, grant(START, 5));
    expect_that!(new_ones(&submit_many(&mut fleet, START, 0..50)), eq(0));
}

/// Guards against bursts that make a good version look slow: it must see the load of the old one.
#[gtest]
fn permits_are_spread_over_time_and_spent_on_few_endpoints() {
    let mut fleet = fleet(both_versions(RolloutPhase::Testing));
    fleet.handle(START, grant(START, 10));
    let placed: Vec<_> = (0..20)
        .flat_map(|number| submit(&mut fleet, START, request(number, 2_000, 100)))
        .collect();
    expect_that!(new_ones(&placed), eq(1));
    // These requests run on, so that the other new endpoints have fewer.
    let placed: Vec<_> = (20..60)
        .flat_map(|number| {
            let now = START + Duration::from_millis(10) * number;
            let number = u64::from(number);
            placements(&fleet.handle(now, Event::Submit(request(number, 500, 100))))
        })
        .collect();
    expect_that!(new_ones(&placed), eq(9));
    for each in placed.iter().filter(|each| is_new(&each.decode)) {
        expect_that!(each.decode.as_str(), eq("n-d-1"));
        expect_that!(each.prefill.as_ref().unwrap().as_str(), eq("n-p-1"));
    }
}

/// Guards against warm-up that looks like a slow version.
#[gtest]
fn permits_are_spent_on_warm_endpoints_if_there_are_any() {
    let mut view = both_versions(RolloutPhase::Testing);
    for each in &mut view.endpoints {
        if each.id.as_str().starts_with("n-") && each.id.as_str().ends_with('1') {
            each.cold_until = START + Duration::from_secs(10);
        }
    }
    let mut fleet = fleet(view);
    fleet.handle(START, grant(START, 5));
    let placed = submit_many(&mut fleet, START, 0..50);
    expect_that!(new_ones(&placed), eq(5));
    for each in placed.iter().filter(|each| is_new(&each.decode)) {
        expect_that!(each.decode.as_str(), eq("n-d-2"));
        expect_that!(each.prefill.as_ref().unwrap().as_str(), eq("n-p-2"));
    }
}

/// Guards against permits that exceed the rate limit of cold endpoints, and against prompts on decode
/// endpoints while the prefill endpoints warm up.
#[gtest]
fn cold_endpoints_get_no_more_requests_than_their_rate_limit_allows() {
    for cold in ["n-p", "n-d"] {
        let mut view = both_versions(RolloutPhase::Testing);
        // One request per second.
        view.cold_pacing = Pacing::single_sender(1_000);
        for each in &mut view.endpoints {
            if each.id.as_str().starts_with(cold) {
                each.cold_until = START + Duration::from_secs(10);
            }
        }
        let mut fleet = fleet(view);
        fleet.handle(START, grant(START, 50));
        let placed = submit_many(&mut fleet, START, 0..50);
        expect_that!(placed, len(eq(50)));
        // Two endpoints of the role.
        expect_that!(new_ones(&placed), le(3), "{cold}");
        let new = placed.iter().filter(|each| is_new(&each.decode));
        let runs_prefill: Vec<_> = new.map(|each| each.prefill.is_some()).collect();
        expect_that!(runs_prefill, each(eq(&true)), "{cold}");
    }
}

#[gtest]
fn a_request_that_failed_on_the_new_version_is_placed_on_the_old_one() {
    let mut fleet = fleet(both_versions(RolloutPhase::Testing));
    fleet.handle(START, grant(START, 5));
    let failed = PlacementRequest {
        avoid: vec!["n-d-1".parse().unwrap()],
        ..request(1, 2_000, 100)
    };
    let placed = submit(&mut fleet, START, failed);
    expect_that!(placed, len(eq(1)));
    expect_that!(new_ones(&placed), eq(0));
    expect_that!(fleet.used_permits(), eq(0));
}

#[gtest]
fn only_versions_that_the_phase_allows_get_requests() {
    for (phase, expected) in [
        (RolloutPhase::Testing, false),
        (RolloutPhase::Moving, true),
        (RolloutPhase::Completed, true),
        (RolloutPhase::RolledBack, false),
    ] {
        let mut fleet = fleet(both_versions(phase));
        let placed = submit_many(&mut fleet, START, 0..50);
        expect_that!(placed, len(eq(50)));
        expect_that!(
            new_ones(&placed),
            eq(if expected { 50 } else { 0 }),
            "{phase}"
        );
    }
}

/// Guards against decodes that read the KV cache of another version, whose format may differ.
#[gtest]
fn a_kv_cache_is_used_on_its_own_version_only() {
    for (phase, holder, is_used) in [
        (RolloutPhase::Testing, "p-1", true),
        (RolloutPhase::Testing, "n-p-1", false),
        (RolloutPhase::Moving, "p-1", false),
        (RolloutPhase::Moving, "n-p-1", true),
        (RolloutPhase::Completed, "p-1", false),
        (RolloutPhase::RolledBack, "n-p-1", false),
        // The holder is gone from the list, so its version is unknown.
        (RolloutPhase::Testing, "p-9", false),
    ] {
        let mut fleet = fleet(both_versions(phase));
        let with_cache = PlacementRequest {
            kv_cache_at: Some(holder.parse().unwrap()),
            ..request(1, 2_000, 100)
        };
        let placed = submit(&mut fleet, START, with_cache);
        expect_that!(placed, len(eq(1)));
        let runs_prefill = placed[0].prefill.is_some();
        expect_that!(runs_prefill, eq(!is_used), "{phase} {holder}");
    }
}

/// Guards against a prefill that the scheduler does not expect at its endpoint.
#[gtest]
fn the_prefill_of_a_request_whose_kv_cache_is_not_used_occupies_its_endpoint() {
    let mut fleet = fleet(both_versions(RolloutPhase::Moving));
    let with_cache = PlacementRequest {
        kv_cache_at: Some("p-1".parse().unwrap()),
        ..request(1, 5_000, 100)
    };
    let first = placements(&fleet.handle(START, Event::Submit(with_cache)));
    let second = placements(&fleet.handle(START, Event::Submit(request(2, 5_000, 100))));
    let prefills = [&first, &second].map(|placed| placed[0].prefill.clone());
    expect_that!(prefills[0], some(anything()));
    expect_that!(prefills[0], not(eq(&prefills[1])));
}

#[gtest]
fn a_stream_resumes_on_the_version_on_which_it_began() {
    let resumed = |number, began_on| PlacementRequest {
        resumes: Some(StreamVersion(Some(version(began_on)))),
        avoid: vec![
            if began_on == "v1" { "d-1" } else { "n-d-1" }
                .parse()
                .unwrap(),
        ],
        ..request(number, 2_000, 100)
    };
    for (phase, began_on) in [
        (RolloutPhase::Testing, "v1"),
        (RolloutPhase::Moving, "v1"),
        (RolloutPhase::Moving, "v2"),
        (RolloutPhase::Completed, "v2"),
        (RolloutPhase::RolledBack, "v1"),
    ] {
        let mut fleet = fleet(both_versions(phase));
        let placed = submit(&mut fleet, START, resumed(1, began_on));
        expect_that!(placed, len(eq(1)));
        expect_that!(
            new_ones(&placed),
            eq(usize::from(began_on == "v2")),
            "{phase}"
        );
    }
    for (phase, began_on) in [
        (RolloutPhase::Completed, "v1"),
        (RolloutPhase::RolledBack, "v2"),
    ] {
        let mut fleet = fleet(both_versions(phase));
        let actions = fleet.handle(START, Event::Submit(resumed(1, began_on)));
        expect_that!(
            actions,
            contains(matches_pattern!(Action::Refuse {
                reason: eq(&PlacementRefusal::NoEndpoint),
                ..
            })),
            "{phase}"
        );
    }
}

/// A resumption sends another request to the unproven version, so it waits for a permit.
#[gtest]
fn a_stream_of_the_new_version_resumes_with_a_permit_while_testing() {
    let mut fleet = fleet(both_versions(RolloutPhase::Testing));
    let resumed = PlacementRequest {
        resumes: Some(StreamVersion(Some(version("v2")))),
        ..request(1, 2_000, 100)
    };
    let actions = fleet.handle(START, Event::Submit(resumed));
    expect_that!(actions, is_empty());
    let now = START + LATER;
    let placed = placements(&fleet.handle(now, grant(now, 1)));
    expect_that!(new_ones(&placed), eq(1));
    expect_that!(fleet.used_permits(), eq(1));
}

/// Guards against early refusals: idle endpoints of the new version, which need a permit, must not count
/// as capacity of requests that wait for the old one.
#[gtest]
fn a_queue_for_the_old_version_is_refused_as_if_the_new_one_were_not_there() {
    let mut old_only = both_versions(RolloutPhase::Testing);
    old_only.endpoints.retain(|each| !is_new(&each.id));
    let mut fleets = [old_only, both_versions(RolloutPhase::Testing)].map(fleet);
    for number in 0..300 {
        let now = START + Duration::from_millis(5 * number);
        let [alone, beside] = fleets
            .each_mut()
            .map(|fleet| fleet.handle(now, Event::Submit(request(number, 5_000, 4_000))));
        expect_that!(beside, eq(&alone));
    }
}

/// Guards against role changes that count endpoints which get no requests yet.
#[gtest]
fn endpoints_that_need_a_permit_or_get_no_requests_do_not_count_for_role_changes() {
    for phase in [
        RolloutPhase::Testing,
        RolloutPhase::Moving,
        RolloutPhase::Completed,
        RolloutPhase::RolledBack,
    ] {
        let fleet = fleet(both_versions(phase));
        expect_that!(fleet.pools().prefill, eq(2), "{phase}");
        expect_that!(fleet.pools().decode, eq(3), "{phase}");
    }
}
