//! At most one entry acts in a role and its epoch never decreases, under packet loss, duplication,
//! reordering, paused processes, restarts and partitions. Once the faults end, every role is held
//! again.

#[path = "support/simulation.rs"]
mod simulation;

use std::collections::BTreeMap;
use std::time::Duration;

use mimosa_membership::Role;
use mimosa_membership::Settings;
use mimosa_membership::Shard;
use mimosa_protocol::Epoch;
use proptest::prelude::*;
use proptest::test_runner::Config;
use proptest::test_runner::RngAlgorithm;
use proptest::test_runner::TestRng;
use proptest::test_runner::TestRunner;
use simulation::Simulation;

#[derive(Clone, Debug)]
enum Fault {
    Wait {
        millis: u64,
    },
    Pause {
        who: usize,
        millis: u64,
    },
    Restart {
        who: usize,
    },
    Partition {
        partitions: u8,
    },
    Heal,
    Drain {
        who: usize,
        draining: bool,
    },
    /// The process terminates for good and the platform drops it from the list.
    Terminate {
        who: usize,
    },
}

fn faults(size: usize) -> impl Strategy<Value = Vec<Fault>> {
    let who = 0..size;
    let fault = prop_oneof![
        6 => (100_u64..6_000).prop_map(|millis| Fault::Wait { millis }),
        3 => (who.clone(), 500_u64..9_000).prop_map(|(who, millis)| Fault::Pause { who, millis }),
        3 => who.clone().prop_map(|who| Fault::Restart { who }),
        3 => any::<u8>().prop_map(|partitions| Fault::Partition { partitions }),
        2 => Just(Fault::Heal),
        1 => (who.clone(), any::<bool>())
            .prop_map(|(who, draining)| Fault::Drain { who, draining }),
        1 => who.prop_map(|who| Fault::Terminate { who }),
    ];
    prop::collection::vec(fault, 1..25)
}

fn any_session() -> impl Strategy<Value = (usize, u64, u64, Vec<Fault>)> {
    (1_usize..=5).prop_flat_map(|size| (Just(size), any::<u64>(), 0_u64..30, faults(size)))
}

fn roles() -> Vec<Role> {
    let services = ["verse", "orders"].map(|id| Role::Scheduler(id.parse().unwrap()));
    let shards = [0, 1, 2].map(|shard| Role::RateKeeper(Shard(shard)));
    services
        .into_iter()
        .chain(shards)
        .chain([Role::ConfigurationRelay])
        .collect()
}

/// Checks the holders of the roles. Keeps the last process to act in each role, its incarnation and
/// the epoch.
#[derive(Default)]
struct RoleChecker(BTreeMap<Role, (usize, u64, Epoch)>);

impl RoleChecker {
    fn check(&mut self, sim: &Simulation) {
        for role in roles() {
            let acting = sim.acting(&role);
            assert!(
                acting.len() <= 1,
                "two holders of {role} at {} ms: {acting:?}",
                sim.millis
            );
            let Some((who, epoch)) = acting.into_iter().next() else {
                continue;
            };
            let process = &sim.processes[who];
            assert!(!process.report.draining, "a draining holder of {role}");
            let current = (who, process.incarnation, epoch);
            let last = self.0.insert(role.clone(), current);
            if let Some((last_who, last_incarnation, last_epoch)) = last {
                let same = (last_who, last_incarnation) == (who, process.incarnation);
                let rises = epoch > last_epoch || (same && epoch == last_epoch);
                assert!(
                    rises,
                    "the epoch of {role} goes from {last_epoch} to {epoch}"
                );
            }
        }
    }
}

fn inject(sim: &mut Simulation, fault: &Fault, checker: &mut RoleChecker) {
    let millis = sim.millis;
    match *fault {
        Fault::Wait { millis } => {
            sim.run(Duration::from_millis(millis), |sim| checker.check(sim));
        }
        Fault::Pause { who, millis: time } if sim.processes[who].listed => {
            sim.processes[who].paused_until = millis + time;
        }
        Fault::Restart { who } if sim.processes[who].listed => sim.restart(who),
        Fault::Pause { .. } | Fault::Restart { .. } => {}
        Fault::Partition { partitions } => {
            for (index, process) in sim.processes.iter_mut().enumerate() {
                process.partition = (partitions >> index) & 1;
            }
        }
        Fault::Heal => sim
            .processes
            .iter_mut()
            .for_each(|process| process.partition = 0),
        Fault::Drain { who, draining } => sim.drain(who, draining),
        Fault::Terminate { who } => {
            sim.processes[who].paused_until = u64::MAX;
            sim.processes[who].listed = false;
        }
    }
}

fn run_session(size: usize, seed: u64, loss: u64, faults: &[Fault]) {
    let mut sim = Simulation::new(size, seed, Settings::default());
    let mut checker = RoleChecker::default();
    sim.run(Duration::from_secs(6), |sim| checker.check(sim));
    sim.loss_percent = loss;
    for fault in faults {
        inject(&mut sim, fault, &mut checker);
        sim.run(Duration::from_millis(200), |sim| checker.check(sim));
    }
    recover(&mut sim, &mut checker);
}

/// Ends all faults and checks that every role is held again, if any entry may hold it.
fn recover(sim: &mut Simulation, checker: &mut RoleChecker) {
    sim.loss_percent = 0;
    sim.processes.iter_mut().for_each(|process| {
        process.partition = 0;
        if process.listed {
            process.paused_until = 0;
        }
    });
    sim.run(Duration::from_secs(40), |sim| checker.check(sim));
    let eligible = sim
        .processes
        .iter()
        .filter(|process| process.listed && !process.report.draining)
        .count();
    for role in roles() {
        let acting = sim.acting(&role).len();
        assert_eq!(acting, eligible.min(1), "{role} is not held again");
    }
}

#[test]
fn at_most_one_entry_acts_in_a_role_under_random_faults_and_its_epoch_never_decreases() {
    let config = Config {
        cases: 80,
        failure_persistence: None,
        ..Config::default()
    };
    let rng = TestRng::deterministic_rng(RngAlgorithm::ChaCha);
    let mut runner = TestRunner::new_with_rng(config, rng);
    runner
        .run(&any_session(), |(size, seed, loss, faults)| {
            run_session(size, seed, loss, &faults);
            Ok(())
        })
        .unwrap();
}
