//! Invariants under random sequences of events.

use mimosa_schedule::Settings;
use proptest::collection::vec;
use proptest::prelude::Strategy;
use proptest::test_runner::Config;
use proptest::test_runner::RngAlgorithm;
use proptest::test_runner::TestRng;
use proptest::test_runner::TestRunner;

use crate::simulation::Simulation;
use crate::step::Step;
use crate::step::any_step;
use crate::step::busy_step;

const CASES: u32 = 200;
const STEPS: std::ops::Range<usize> = 50..400;

fn check_invariants(step: impl Strategy<Value = Step>) {
    let config = Config {
        cases: CASES,
        failure_persistence: None,
        ..Config::default()
    };
    let rng = TestRng::deterministic_rng(RngAlgorithm::ChaCha);
    let mut runner = TestRunner::new_with_rng(config, rng);
    let checked = runner.run(&vec(step, STEPS), |steps| {
        let mut simulation = Simulation::new(Settings::default());
        steps.iter().for_each(|step| simulation.step(step));
        simulation.drain();
        Ok(())
    });
    if let Err(error) = checked {
        panic!("{error}");
    }
}

#[googletest::test]
fn random_sequences_of_events_keep_the_invariants() {
    check_invariants(any_step());
}

#[googletest::test]
fn growing_outputs_never_exceed_the_memory() {
    check_invariants(busy_step());
}
