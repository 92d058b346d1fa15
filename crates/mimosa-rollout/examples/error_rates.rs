//! Measures how often a simulated rollout ends wrongly: `error_rates SEEDS RATE GATEWAYS SECONDS`.

use std::time::Duration;

use mimosa_rollout::RolloutPhase;

#[path = "../tests/support/fleet.rs"]
mod fleet;
#[path = "../tests/support/scenarios.rs"]
mod scenarios;

fn main() {
    let mut arguments = std::env::args().skip(1);
    let mut next = |default: u64| {
        let given = arguments.next().and_then(|text| text.parse().ok());
        given.unwrap_or(default)
    };
    let (seeds, rate, gateways, seconds) = (next(40), next(100), next(40), next(12));
    println!("seeds={seeds} rate={rate} gateways={gateways} seconds={seconds}");
    for scenario in scenarios::all() {
        let (mut wrong, mut exposed, mut cut, mut late) = (0, 0, 0, 0);
        let mut requests = 0;
        for seed in 1..=seeds {
            let setup = fleet::Setup {
                seed,
                gateways: usize::try_from(gateways).unwrap_or(1),
                rate: rate as f64,
                duration: Duration::from_secs(seconds),
                faults: fleet::Faults::default(),
            };
            let report = fleet::run(setup, &*scenario.behaviour);
            let right = match scenario.is_good {
                true => RolloutPhase::Completed,
                false => RolloutPhase::RolledBack,
            };
            wrong += u64::from(report.phase != right);
            exposed += u64::from(!scenario.is_good && !report.is_within_exposure());
            cut += u64::from(report.cut > 0);
            late += u64::from(report.ended.is_none_or(|at| at > setup.duration));
            requests += report.new_requests;
        }
        println!(
            "scenario=\"{}\" good={} wrong={wrong} over_exposure={exposed} cut={cut} late={late} \
             mean_new_requests={}",
            scenario.name,
            scenario.is_good,
            requests / seeds.max(1)
        );
    }
}
