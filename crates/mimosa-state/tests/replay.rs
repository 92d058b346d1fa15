//! A replay of a log gives the same state, also through a snapshot at any point of the log.

mod fixture;

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

use crate::fixture::Fixture;

/// Applies the orders and ledger calls that a list of random bytes selects.
fn random_log(choices: &[u8]) -> Fixture {
    let mut fixture = Fixture::with_two_data_centres();
    for choice in choices {
        fixture.now = fixture.now + std::time::Duration::from_secs(u64::from(*choice) * 600);
        let (kind, detail) = (choice % 7, u64::from(choice / 7));
        let operator = if detail % 2 == 0 { "ada" } else { "bo" };
        let plan = PlanId(fixture.machine.plans().last().map_or(1, |plan| plan.id.0));
        match kind {
            0 => drop(fixture.plan(
                operator,
                detail,
                json!({"set_rate": {"account": "wisla", "rate": detail, "burst": 5}}),
            )),
            1 => drop(fixture.plan(
                operator,
                detail,
                json!({"take_out_data_centre": {"data_centre": "west"}}),
            )),
            2 => drop(fixture.confirm(operator, detail + 100, plan)),
            3 => drop(fixture.begin(u128::from(detail), "a", "x")),
            4 => fixture.finish(u128::from(detail), "a", LedgerEnd::Unknown),
            5 => fixture.finish(u128::from(detail), "a", LedgerEnd::NotRun),
            _ => drop(fixture.plan(
                operator,
                detail,
                json!({"load_model": {"endpoint": "decode-east", "model": "m", "version": "1"}}),
            )),
        }
    }
    fixture
}

#[googletest::test]
fn a_replay_through_a_snapshot_at_any_point_gives_the_same_state() {
    let config = Config {
        cases: 48,
        failure_persistence: None,
        ..Config::default()
    };
    let rng = TestRng::deterministic_rng(RngAlgorithm::ChaCha);
    let mut runner = TestRunner::new_with_rng(config, rng);
    let strategy = (proptest::collection::vec(any::<u8>(), 1..60), any::<u16>());
    let outcome = runner.run(&strategy, |(choices, snapshot_at)| {
        let fixture = random_log(&choices);
        let snapshot_at = usize::from(snapshot_at) % (fixture.log.len() + 1);
        let mut replayed = StateMachine::default();
        for (index, command) in fixture.log.iter().enumerate() {
            if index == snapshot_at {
                replayed = StateMachine::decode(&replayed.encode()).unwrap();
            }
            let command = Command::decode(&command.encode()).unwrap();
            replayed.apply(index as u64 + 1, command);
        }
        proptest::prop_assert_eq!(replayed.encode(), fixture.machine.encode());
        Ok(())
    });
    expect_that!(outcome, ok(anything()));
}

#[googletest::test]
fn deltas_lead_from_any_kept_revision_to_the_newest() {
    let mut fixture = Fixture::default();
    let mut old = vec![Configuration::default()];
    let account = |rate: usize| json!({"put_account": {"account": "a", "rate": rate, "burst": 1}});
    for rate in 1..=MAX_DELTAS + 5 {
        fixture.plan_and_confirm(account(rate));
        old.push(fixture.machine.configuration().clone());
    }
    for (revision, configuration) in old.iter().enumerate() {
        let deltas = fixture.machine.deltas_after(Revision(revision as u64));
        if revision < 5 {
            expect_true!(deltas.is_none());
            continue;
        }
        let mut follower = configuration.clone();
        expect_true!(deltas.unwrap().all(|delta| follower.apply(delta)));
        expect_that!(&follower, eq(fixture.machine.configuration()));
    }
    let ahead = Revision(old.len() as u64);
    expect_true!(fixture.machine.deltas_after(ahead).is_none());
}
