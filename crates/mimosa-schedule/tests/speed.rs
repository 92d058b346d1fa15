//! The learned speed of endpoints, and the selection by it.

use std::time::Duration;

use googletest::prelude::*;
use mimosa_protocol::EndpointId;
use mimosa_protocol::Timestamp;
use mimosa_schedule::pick::Candidate;
use mimosa_schedule::speed::SpeedEstimate;
use mimosa_schedule::speed::SpeedTable;
use mimosa_schedule::speed::WorkSums;
use mimosa_schedule::speed::select::RatedCandidate;
use mimosa_schedule::speed::select::draw;
use mimosa_schedule::speed::select::select;

const START: Timestamp = Timestamp::from_secs(100);

fn id(name: &str) -> EndpointId {
    name.parse().unwrap()
}

fn call(millis: u64, running: u32, waiting: u32) -> WorkSums {
    let mut sums = WorkSums::default();
    sums.record_call(Duration::from_millis(millis), running, waiting);
    sums
}

/// Records ten calls a second to each endpoint for some seconds; returns the end.
fn record(table: &mut SpeedTable, from: Timestamp, secs: u64, calls: &[(&str, u64)]) -> Timestamp {
    for tick in 0..secs * 10 {
        let now = from + Duration::from_millis(tick * 100);
        for (endpoint, millis) in calls {
            table.record(now, &id(endpoint), &call(*millis, 1, 0));
        }
    }
    from + Duration::from_secs(secs)
}

fn time_permille(table: &SpeedTable, now: Timestamp, endpoint: &str) -> u32 {
    table.estimate(now, &id(endpoint)).time_permille
}

/// Guards against static weights: the speed is found out, and a change is followed within seconds.
#[gtest]
fn speeds_are_learned_and_follow_a_change() {
    let mut table = SpeedTable::default();
    let now = record(&mut table, START, 20, &[("a", 10), ("b", 10), ("c", 25)]);
    expect_that!(time_permille(&table, now, "a"), all![ge(600), le(760)]);
    expect_that!(time_permille(&table, now, "c"), all![ge(1_550), le(1_750)]);
    let now = record(&mut table, now, 10, &[("a", 25), ("b", 10), ("c", 10)]);
    expect_that!(time_permille(&table, now, "a"), ge(1_250));
    expect_that!(time_permille(&table, now, "c"), le(1_100));
}

/// Guards against an endpoint that is never tried again after it was slow.
#[gtest]
fn old_evidence_falls_back_to_the_mean() {
    let mut table = SpeedTable::default();
    let now = record(&mut table, START, 20, &[("a", 10), ("c", 30)]);
    let later = record(&mut table, now, 60, &[("a", 10)]);
    expect_that!(time_permille(&table, now, "c"), ge(1_400));
    expect_that!(time_permille(&table, later, "c"), all![ge(900), le(1_100)]);
    expect_that!(time_permille(&table, later, "unknown"), eq(1_000));
    table.expire(later + Duration::from_secs(600));
    expect_that!(table.estimates(later).count(), eq(0));
}

/// Guards against a few calls deciding the shares of an endpoint.
#[gtest]
fn scarce_evidence_counts_little() {
    let mut table = SpeedTable::default();
    let now = record(&mut table, START, 20, &[("a", 10), ("b", 10)]);
    table.record(now, &id("c"), &call(100, 1, 0));
    expect_that!(time_permille(&table, now, "c"), le(3_000));
}

/// Guards against queues that make an endpoint with much work appear slow.
#[gtest]
fn time_in_the_queue_of_an_endpoint_is_left_out() {
    let mut table = SpeedTable::default();
    for tick in 0..200 {
        let now = START + Duration::from_millis(tick * 100);
        table.record(now, &id("a"), &call(10, 4, 0));
        table.record(now, &id("b"), &call(30, 4, 8));
    }
    let now = START + Duration::from_secs(20);
    let (a, b) = (
        time_permille(&table, now, "a"),
        time_permille(&table, now, "b"),
    );
    expect_that!(a.abs_diff(b), le(50));
}

/// Guards against a full endpoint being taken for one with room for all its slots.
#[gtest]
fn the_load_at_which_work_takes_twice_as_long_is_learned() {
    let mut table = SpeedTable::default();
    for tick in 0..300_u64 {
        let now = START + Duration::from_millis(tick * 50);
        let load = 1 + (tick % 8) as u32;
        // Doubles at 4 running requests.
        table.record(now, &id("a"), &call(8 + 2 * u64::from(load), load, 0));
        table.record(now, &id("b"), &call(10, load, 0));
    }
    let now = START + Duration::from_secs(15);
    let concurrency = |name: &str| table.estimate(now, &id(name)).concurrency_permille;
    expect_that!(concurrency("a"), some(all![ge(3_000), le(6_000)]));
    expect_that!(concurrency("b").unwrap_or(u32::MAX), ge(20_000));
}

/// Guards against evidence on an episode that has ended steering requests away.
#[gtest]
fn a_stated_figure_counts_only_while_it_is_fresh() {
    let mut table = SpeedTable::default();
    for tick in 0..200 {
        let now = START + Duration::from_millis(tick * 50);
        table.record_percent(now, &id("a"), 100);
    }
    let now = START + Duration::from_secs(10);
    table.record_percent(now, &id("a"), 250);
    let at = |millis| table.current_permille(now + Duration::from_millis(millis), &id("a"));
    expect_that!(at(0), ge(2_300));
    expect_that!(at(300), all![ge(1_500), le(1_800)]);
    expect_that!(at(600), eq(1_000));
    expect_that!(table.current_permille(now, &id("unknown")), eq(1_000));
}

/// Guards against endpoints that misreport: a figure that does not explain durations is ignored, and a
/// constant one has no effect.
#[gtest]
fn a_figure_that_does_not_explain_durations_is_ignored() {
    let mut table = SpeedTable::default();
    for tick in 0..400_u64 {
        let now = START + Duration::from_millis(tick * 50);
        let stated = if tick.is_multiple_of(4) { 300 } else { 60 };
        table.record_percent(now, &id("liar"), stated);
        table.record(now, &id("liar"), &call(10, 1, 0));
        table.record_percent(now, &id("constant"), 400);
        table.record(now, &id("constant"), &call(10, 1, 0));
    }
    let now = START + Duration::from_secs(20);
    table.record_percent(now, &id("liar"), 20);
    table.record_percent(now, &id("constant"), 400);
    expect_that!(table.current_permille(now, &id("liar")), eq(1_000));
    expect_that!(
        table.current_permille(now, &id("constant")),
        all![ge(950), le(1_050)]
    );
}

fn rated(time_permille: u32, load: u64) -> RatedCandidate {
    RatedCandidate {
        candidate: Candidate {
            reported_load: Some(load),
            concurrency: 8,
            is_local: true,
            ..Candidate::default()
        },
        estimate: SpeedEstimate {
            time_permille,
            ..SpeedEstimate::default()
        },
        current_permille: 1_000,
    }
}

fn shares(candidates: &[RatedCandidate]) -> Vec<u32> {
    let mut counts = vec![0; candidates.len()];
    let mut random = 1_u64;
    for _ in 0..10_000 {
        random = random
            .wrapping_mul(6_364_136_223_846_793_005)
            .wrapping_add(1);
        let drawn = draw(candidates, random ^ (random >> 29)).unwrap();
        counts[select(candidates, drawn)] += 1;
    }
    counts
}

/// Guards against slow endpoints that get no requests any more, and failing ones that get many because
/// they answer fast.
#[gtest]
fn slow_and_failing_endpoints_get_few_requests_but_some() {
    let unknown = |time_permille| {
        let mut each = rated(time_permille, 0);
        each.candidate.reported_load = None;
        each
    };
    let mut failing = unknown(300);
    failing.candidate.failure_permille = 900;
    let counts = shares(&[unknown(700), unknown(8_000), failing]);
    expect_that!(counts[1], all![ge(100), le(1_500)]);
    expect_that!(counts[2], all![ge(100), le(3_000)]);
}

/// Guards against the use of an endpoint that is backing off while there is another one.
#[gtest]
fn a_last_resort_is_used_only_alone() {
    let mut last = rated(100, 0);
    last.candidate.last_resort = true;
    expect_that!(shares(&[last, rated(4_000, 7)])[0], eq(0));
    expect_that!(shares(&[last]), elements_are![eq(&10_000)]);
    expect_that!(draw(&[], 7), none());
}

/// Guards against traffic between data centres that gains nothing, while the load of remote endpoints is not
/// known.
#[gtest]
fn a_local_endpoint_is_preferred_unless_a_remote_one_is_better() {
    let at = |time_permille, is_local, load: Option<u64>| {
        let mut each = rated(time_permille, 0);
        each.candidate.is_local = is_local;
        each.candidate.reported_load = load;
        each
    };
    let remote = at(1_000, false, None);
    let counts = shares(&[at(1_000, true, Some(0)), remote, remote]);
    // Both drawn endpoints are remote in one of 15 cases.
    expect_that!(counts[0], ge(9_000));
    let overloaded = shares(&[at(1_000, true, Some(40)), at(1_000, false, Some(0))]);
    expect_that!(overloaded[1], eq(10_000));
    let idle = shares(&[at(1_000, true, Some(0)), at(950, false, Some(0))]);
    expect_that!(idle[0], eq(10_000));
}

/// Guards against requests to an endpoint that is full while the gateway knows of a better one.
#[gtest]
fn the_endpoint_known_to_be_better_is_selected() {
    let counts = shares(&[rated(1_000, 0), rated(1_000, 20)]);
    expect_that!(counts[1], eq(0));
    let mut slow_now = rated(1_000, 0);
    slow_now.current_permille = 2_500;
    expect_that!(shares(&[slow_now, rated(1_000, 2)])[0], eq(0));
}

/// Guards against a herd: gateways that all follow reports which are a second old must not swing the load
/// from one endpoint to the other. Work slows down beyond two requests at each endpoint.
#[gtest]
fn shares_do_not_oscillate_with_reports_that_are_late() {
    const FACTORS: [f64; 3] = [0.7, 0.7, 1.7];
    let ids = ["a", "b", "c"].map(id);
    let mut table = SpeedTable::default();
    let mut digests = vec![[SpeedEstimate::default(); 3]; 2];
    let mut random = 1_u64;
    let mut history = Vec::new();
    for second in 0..60 {
        let now = START + Duration::from_secs(second);
        let candidates = digests[0].map(|estimate| {
            let mut each = rated(1_000, 0);
            each.candidate.reported_load = None;
            each.estimate = estimate;
            each
        });
        let mut counts = [0_u32; 3];
        for _ in 0..196 {
            random = random
                .wrapping_mul(6_364_136_223_846_793_005)
                .wrapping_add(1);
            let drawn = draw(&candidates, random ^ (random >> 29)).unwrap();
            counts[select(&candidates, drawn)] += 1;
        }
        for (at, count) in counts.iter().enumerate() {
            // The load that follows from the rate and the work at the idle endpoint.
            let idle_ms = 15.0 * FACTORS[at];
            let offered = f64::from(*count) * idle_ms / 1e3;
            let slowdown = (1.0 / (1.0 - (offered / 2.0).min(0.95))).max(1.0);
            let mut sums = WorkSums::default();
            for spread in 0..*count {
                let running = (offered * slowdown) as u32 + spread % 3;
                let took = idle_ms * (f64::from(running.max(1)) / 2.0).max(1.0);
                sums.record_call(Duration::from_secs_f64(took / 1e3), running, 0);
            }
            table.record(now, &ids[at], &sums);
        }
        digests.push([0, 1, 2].map(|at| table.estimate(now, &ids[at])));
        digests.remove(0);
        history.push(counts);
    }
    for at in 0..3 {
        let settled = history[20..].iter().map(|counts| counts[at]);
        let (least, most) = (settled.clone().min().unwrap(), settled.max().unwrap());
        // Four standard deviations of a binomial share around its mean, on both sides.
        expect_that!(most - least, le(56), "endpoint {at}: {least} to {most}");
    }
}
