//! The same log gives the same state, also through a snapshot at any place.

mod sample;

use googletest::prelude::*;
use mimosa_protocol::Configuration;
use mimosa_protocol::Revision;
use mimosa_protocol::message::LedgerEnd;
use mimosa_state::Command;
use mimosa_state::PlanId;
use mimosa_state::StateMachine;
use mimosa_state::machine::MAX_DELTAS;
use proptest::prelude::any;
use proptest::test_runner::Config;
use proptest::test_runner::RngAlgorithm;
use proptest::test_runner::TestRng;
use proptest::test_runner::TestRunner;
use serde_json::json;

use crate::sample::Sample;

/// A log of orders and calls that a list of random bytes chooses.
fn random_log(choices: &[u8]) -> Sample {
    let mut sample = Sample::furnished();
    for choice in choices {
        sample.now = sample.now + std::time::Duration::from_secs(u64::from(*choice) * 600);
        let (kind, detail) = (choice % 7, u64::from(choice / 7));
        let operator = if detail % 2 == 0 { "ada" } else { "bo" };
        let plan = PlanId(sample.machine.plans().last().map_or(1, |plan| plan.id.0));
        match kind {
            0 => drop(sample.plan(
                operator,
                detail,
                json!({"set_rate": {"account": "wisla", "rate": detail, "burst": 5}}),
            )),
            1 => drop(sample.plan(
                operator,
                detail,
                json!({"take_out_data_centre": {"data_centre": "west"}}),
            )),
            2 => drop(sample.confirm(operator, detail + 100, plan)),
            3 => drop(sample.begin(u128::from(detail), "a", "x")),
            4 => sample.finish(u128::from(detail), "a", LedgerEnd::Unknown),
            5 => sample.finish(u128::from(detail), "a", LedgerEnd::NotRun),
            _ => drop(sample.plan(
                operator,
                detail,
                json!({"load_model": {"endpoint": "decode-east", "model": "m", "version": "1"}}),
            )),
        }
    }
    sample
}

#[googletest::test]
fn a_snapshot_at_any_place_changes_nothing() {
    let config = Config {
        cases: 48,
        failure_persistence: None,
        ..Config::default()
    };
    let rng = TestRng::deterministic_rng(RngAlgorithm::ChaCha);
    let mut runner = TestRunner::new_with_rng(config, rng);
    let strategy = (proptest::collection::vec(any::<u8>(), 1..60), any::<u16>());
    let outcome = runner.run(&strategy, |(choices, place)| {
        let sample = random_log(&choices);
        let place = usize::from(place) % (sample.log.len() + 1);
        let mut replayed = StateMachine::default();
        for (at, command) in sample.log.iter().enumerate() {
            if at == place {
                replayed = StateMachine::decode(&replayed.encode()).unwrap();
            }
            let command = Command::decode(&command.encode()).unwrap();
            replayed.apply(at as u64 + 1, command);
        }
        proptest::prop_assert_eq!(replayed.encode(), sample.machine.encode());
        Ok(())
    });
    expect_that!(outcome, ok(anything()));
}

#[googletest::test]
fn deltas_lead_from_any_kept_revision_to_the_newest() {
    let mut sample = Sample::default();
    let mut old = vec![Configuration::default()];
    let account = |rate: usize| json!({"put_account": {"account": "a", "rate": rate, "burst": 1}});
    for rate in 1..=MAX_DELTAS + 5 {
        sample.accept(account(rate));
        old.push(sample.machine.configuration().clone());
    }
    for (revision, configuration) in old.iter().enumerate() {
        let deltas = sample.machine.deltas_after(Revision(revision as u64));
        if revision < 5 {
            expect_true!(deltas.is_none());
            continue;
        }
        let mut follower = configuration.clone();
        expect_true!(deltas.unwrap().all(|delta| follower.apply(delta)));
        expect_that!(&follower, eq(sample.machine.configuration()));
    }
    let ahead = Revision(old.len() as u64);
    expect_true!(sample.machine.deltas_after(ahead).is_none());
}
