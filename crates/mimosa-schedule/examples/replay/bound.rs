//! Upper bound of the number of requests that any policy could serve on time.
//!
//! The bound is a relaxation. Time is divided into windows. A request that is served on time uses
//! at least a certain amount of each resource within the window of its arrival, regardless of when
//! and where it starts. Resources are divisible and pooled over all data centres in service, the
//! token gap is that of an idle endpoint, and prefix caches contain all earlier prefixes. In each
//! window, the requests with the lowest needs are counted until the resource is used up, the last
//! one as a fraction. The bound is the minimum over several window widths.

use mimosa_protocol::Timestamp;

use crate::engine::full_rate;
use crate::engine::token_gap;
use crate::workload::Arrival;
use crate::workload::Deployment;
use crate::workload::END;
use crate::workload::OUT_SPAN;
use crate::workload::Scenario;
use crate::workload::WARM_UP;

/// Window widths in seconds.
const WINDOW_WIDTHS_S: [f64; 5] = [5.0, 10.0, 20.0, 60.0, 240.0];

/// A time window in seconds.
#[derive(Clone, Copy)]
struct Window {
    start: f64,
    end: f64,
}

/// Upper bound of the number of requests within their rates that can be served on time.
pub fn bound(deployment: &Deployment, scenario: Scenario, arrivals: &[&Arrival]) -> f64 {
    let sum = |width: &f64| sum_of_windows(deployment, scenario, arrivals, *width);
    WINDOW_WIDTHS_S.iter().map(sum).fold(f64::MAX, f64::min)
}

fn sum_of_windows(
    deployment: &Deployment,
    scenario: Scenario,
    arrivals: &[&Arrival],
    width: f64,
) -> f64 {
    let first = seconds(WARM_UP);
    let count = ((seconds(END) - first) / width).ceil() as usize;
    let windows = (0..count).map(|i| Window {
        start: first + i as f64 * width,
        end: first + (i + 1) as f64 * width,
    });
    windows
        .map(|window| window_bound(deployment, scenario, arrivals, window))
        .sum()
}

fn window_bound(
    deployment: &Deployment,
    scenario: Scenario,
    arrivals: &[&Arrival],
    window: Window,
) -> f64 {
    let inside = |arrival: &&&Arrival| {
        let at = seconds(arrival.at);
        at >= window.start && at < window.end
    };
    let here: Vec<&&Arrival> = arrivals.iter().filter(inside).collect();
    let capacity = &deployment.capacity;
    let (prefill, decode) = endpoint_seconds(deployment, scenario, window);
    let memory = decode * capacity.blocks.0 as f64;
    let needs = |need: &dyn Fn(&Arrival) -> f64| here.iter().map(|each| need(each)).collect();
    let tokens = |each: &Arrival| share_in_window(deployment, each, window) * each.output.0 as f64;
    let blocks = |each: &Arrival| {
        let held = each.prompt.blocks(capacity.tokens_per_block).0 as f64;
        let time = each.output.0 as f64 * token_gap(capacity, 1);
        share_in_window(deployment, each, window) * held * time
    };
    let prompts = |each: &Arrival| {
        let fresh = each.prompt.0 as f64 - each.prefix.len() as f64 * 4_096.0;
        share_in_window(deployment, each, window) * fresh.max(0.0) / capacity.prefill_rate.0 as f64
    };
    let by_tokens = count_cheapest(needs(&tokens), decode * full_rate(capacity));
    let by_memory = count_cheapest(needs(&blocks), memory);
    let by_prefill = count_cheapest(needs(&prompts), prefill);
    by_tokens.min(by_memory).min(by_prefill)
}

/// Minimum share of a request's work within the window, for the latest possible start.
fn share_in_window(deployment: &Deployment, arrival: &Arrival, window: Window) -> f64 {
    let target = deployment.first_token_target.as_secs_f64();
    let slowest = deployment.token_gap_target.as_secs_f64();
    let latest_start = seconds(arrival.at) + target;
    let longest = arrival.output.0 as f64 * slowest;
    ((window.end - latest_start) / longest).clamp(0.0, 1.0)
}

/// Endpoint seconds available in a window, for prefill and decode.
fn endpoint_seconds(deployment: &Deployment, scenario: Scenario, window: Window) -> (f64, f64) {
    let overlap = window.end.min(seconds(OUT_SPAN.1)) - window.start.max(seconds(OUT_SPAN.0));
    let out = if scenario.faults {
        overlap.max(0.0)
    } else {
        0.0
    };
    let width = window.end - window.start;
    let time = |i: usize| if i == 0 { width - out } else { width };
    let data_centres = deployment.data_centres.iter().enumerate();
    data_centres.fold((0.0, 0.0), |sum, (i, (prefill, decode))| {
        let prefill = sum.0 + *prefill as f64 * time(i);
        (prefill, sum.1 + *decode as f64 * time(i))
    })
}

fn count_cheapest(mut needs: Vec<f64>, capacity: f64) -> f64 {
    needs.sort_by(f64::total_cmp);
    let mut left = capacity;
    let mut count = 0.0;
    for need in needs {
        if need > left {
            return count + left / need;
        }
        left -= need;
        count += 1.0;
    }
    count
}

fn seconds(at: Timestamp) -> f64 {
    at.as_micros() as f64 / 1e6
}
