//! Replays seeded traces of two deployments against the scheduler and against baseline policies.
//!
//! `cargo run --release -p mimosa-schedule --example replay [-- --seed N] [--detail]`
//!
//! Unless a row says otherwise, entries forward refused requests that have not run to the next data
//! centre.

#[path = "replay/attempt.rs"]
mod attempt;
#[path = "replay/baseline.rs"]
mod baseline;
#[path = "replay/bound.rs"]
mod bound;
#[path = "replay/data_centre.rs"]
mod data_centre;
#[path = "replay/engine.rs"]
mod engine;
#[path = "replay/random.rs"]
mod random;
#[path = "replay/rate_limiter.rs"]
mod rate_limiter;
#[path = "replay/score.rs"]
mod score;
#[path = "replay/simulation.rs"]
mod simulation;
#[path = "replay/workload.rs"]
mod workload;

use mimosa_schedule::Policy;
use mimosa_schedule::Scheduler;
use mimosa_schedule::Settings;
use mimosa_schedule::settings::QueueSettings;

use crate::baseline::Baseline;
use crate::baseline::Rule;
use crate::simulation::EntryOptions;
use crate::simulation::Simulation;
use crate::workload::Arrival;
use crate::workload::Deployment;
use crate::workload::SCENARIOS;
use crate::workload::Scenario;
use crate::workload::WARM_UP;

/// Number of entries between which the static split divides each rate.
const ENTRIES: usize = 7;
const DEFAULT_SEED: u64 = 1;

/// A policy to compare.
struct PolicyCase {
    name: &'static str,
    entries: EntryOptions,
    create: Box<dyn Fn() -> Box<dyn Policy>>,
}

fn main() {
    let arguments: Vec<String> = std::env::args().collect();
    let detail = arguments.iter().any(|each| each == "--detail");
    let after = arguments.iter().skip_while(|each| *each != "--seed").nth(1);
    let seed = after.and_then(|text| text.parse().ok());
    let seed = seed.unwrap_or(DEFAULT_SEED);
    println!("seed {seed}; figures in per cent of the requests inside their rates");
    for deployment in [workload::kembang(), workload::wisla()] {
        for scenario in SCENARIOS {
            print_table(&deployment, scenario, seed, detail);
        }
    }
}

fn print_table(deployment: &Deployment, scenario: Scenario, seed: u64, detail: bool) {
    let trace = deployment.trace(scenario, seed);
    println!("\n{}, {}", deployment.name, scenario.name);
    println!(
        "{:24} | {:>7} | {:>7} | {:>6} | {:>7} | {:>7} | {:>6} | {:>6} | {:>6} | {:>4}",
        "policy", "goodput", "of best", "wasted", "worst", "refused", "late", "out", "back", "cold"
    );
    for case in policy_cases() {
        let create = &case.create;
        let outcomes = Simulation::replay(deployment, scenario, &trace, case.entries, create);
        let arrivals: Vec<&Arrival> = trace
            .arrivals
            .iter()
            .zip(&outcomes)
            .filter(|(arrival, outcome)| outcome.inside_rate && arrival.at >= WARM_UP)
            .map(|(arrival, _)| arrival)
            .collect();
        let best = bound::bound(deployment, scenario, &arrivals);
        let score = score::score(deployment, &trace, &outcomes, best);
        println!("{:24} | {score}", case.name);
        if detail {
            println!(
                "    {:?} of {best:.0} of {}",
                score::reasons(&outcomes),
                arrivals.len()
            );
            for line in score::by_account(deployment, &trace, &outcomes) {
                println!("    {line}");
            }
        }
    }
}

fn policy_cases() -> Vec<PolicyCase> {
    let forward = EntryOptions {
        forward: true,
        ..EntryOptions::default()
    };
    let split = EntryOptions {
        static_parts: Some(ENTRIES),
        ..forward
    };
    let baseline = |name, rule| PolicyCase {
        name,
        entries: forward,
        create: Box::new(move || Box::new(Baseline::new(rule))),
    };
    let scheduler = |name, entries| PolicyCase {
        name,
        entries,
        create: Box::new(|| Box::new(Scheduler::new(Settings::default()))),
    };
    vec![
        scheduler("scheduler", forward),
        scheduler("  without forwarding", EntryOptions::default()),
        PolicyCase {
            name: "  half the wait",
            entries: forward,
            create: Box::new(|| Box::new(Scheduler::new(half_wait()))),
        },
        scheduler("static split by entry", split),
        baseline("round robin", Rule::RoundRobin),
        baseline("least reported load", Rule::LeastReported),
        baseline("prefill first", Rule::PrefillFirst),
    ]
}

fn half_wait() -> Settings {
    Settings {
        queue: QueueSettings {
            wait_permille: 500,
            ..QueueSettings::default()
        },
        ..Settings::default()
    }
}
