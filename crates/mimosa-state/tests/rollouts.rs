//! Rollouts in the replicated state: orders and their repetitions, phases, reservations, and logs and
//! snapshots from before rollouts.

use std::time::Duration;

use googletest::prelude::*;
use mimosa_protocol::OrderNumber;
use mimosa_protocol::Timestamp;
use mimosa_rollout::RolloutNumber;
use mimosa_rollout::RolloutPhase;
use mimosa_route::DocumentVersion;
use mimosa_state::Command;
use mimosa_state::CommandResult;
use mimosa_state::Intent;
use mimosa_state::Operation;
use mimosa_state::Plan;
use mimosa_state::PlanId;
use mimosa_state::Refusal;
use mimosa_state::StateMachine;
use mimosa_state::audit::AuditResult;
use mimosa_state::command::confirm_digest;
use mimosa_state::command::plan_digest;
use mimosa_state::orders::OrderId;
use mimosa_state::plan::Confirmation;
use mimosa_state::rollouts::PhaseChange;
use mimosa_state::rollouts::Rollout;
use mimosa_state::rollouts::RolloutOrdered;
use mimosa_state::rollouts::RolloutRefusal;
use mimosa_state::routing::AdoptedDocument;
use serde_json::json;

/// Written by the version before rollouts: a routing document, two data centres taken out, a no-op.
const EARLIER_LOG: [&str; 4] = [
    "c0843d050708646f63756d656e74",
    "80897a06056e6f72746801",
    "c08db7010705736f7574680102",
    "8092f40104",
];
/// The snapshot that it made of this log.
const EARLIER_SNAPSHOT: &str = "8092f4010400000000000000000000000301c0843d07726f7574696e67011761646f\
    707420726f7574696e672076657273696f6e2037000001000280897a07726f7574696e67021a74616b65206f757420\
    646174612063656e747265206e6f7274680000010003c08db70107726f7574696e67031a74616b65206f7574206461\
    74612063656e74726520736f75746800000100030000000000010708646f63756d656e7402056e6f72746805736f75\
    74680302056e6f7274680205736f75746803";

#[derive(Default)]
struct Log {
    machine: StateMachine,
    index: u64,
}

impl Log {
    fn apply(&mut self, secs: u64, operation: Operation) -> CommandResult {
        self.index += 1;
        let command = Command {
            at: Timestamp::from_secs(secs),
            operation,
        };
        let command = Command::decode(&command.encode()).unwrap();
        self.machine.apply(self.index, command)
    }

    fn start(
        &mut self,
        secs: u64,
        to: &str,
        duration_secs: u64,
    ) -> std::result::Result<RolloutOrdered, RolloutRefusal> {
        let result = self.apply(
            secs,
            Operation::StartRollout {
                service: "shop".parse().unwrap(),
                to: to.parse().unwrap(),
                duration: Duration::from_secs(duration_secs),
            },
        );
        match result {
            CommandResult::RolloutStarted(result) => result,
            other => panic!("unexpected result {other:?}"),
        }
    }

    fn enter(&mut self, secs: u64, number: u64, phase: RolloutPhase) -> bool {
        let result = self.apply(
            secs,
            Operation::ChangeRollout {
                service: "shop".parse().unwrap(),
                number: RolloutNumber(number),
                change: PhaseChange {
                    phase,
                    reason: "test".to_owned(),
                    from: vec!["v1".parse().unwrap(), "v2".parse().unwrap()],
                },
            },
        );
        result == CommandResult::RolloutChanged { changed: true }
    }

    fn reserve(&mut self, number: u64, expected: u64, total: u64) -> (bool, u64) {
        let result = self.apply(
            1,
            Operation::ReserveExposure {
                service: "shop".parse().unwrap(),
                number: RolloutNumber(number),
                expected,
                total,
            },
        );
        match result {
            CommandResult::ExposureReserved { accepted, reserved } => (accepted, reserved),
            other => panic!("unexpected result {other:?}"),
        }
    }

    fn rollout(&self) -> &Rollout {
        let service = "shop".parse().unwrap();
        self.machine.rollouts().get(&service).unwrap()
    }
}

fn ordered(number: u64, started: bool) -> std::result::Result<RolloutOrdered, RolloutRefusal> {
    Ok(RolloutOrdered {
        number: RolloutNumber(number),
        started,
    })
}

fn running(to: &str) -> std::result::Result<RolloutOrdered, RolloutRefusal> {
    Err(RolloutRefusal::Running {
        to: to.parse().unwrap(),
    })
}

/// Operators resend an order whose answer was lost, and two of them may send orders at once.
#[googletest::test]
fn repeated_order_is_acknowledged_and_another_one_is_rejected_while_a_rollout_runs() {
    let mut log = Log::default();
    expect_that!(log.start(10, "v2", 12), eq(&ordered(1, true)));
    expect_that!(log.start(12, "v2", 12), eq(&ordered(1, false)));
    expect_that!(log.start(12, "v2", 13), eq(&running("v2")));
    expect_that!(log.start(12, "v3", 12), eq(&running("v2")));
    expect_that!(log.rollout().started, eq(Timestamp::from_secs(10)));
    expect_true!(log.enter(20, 1, RolloutPhase::Moving));
    expect_that!(log.start(21, "v2", 12), eq(&ordered(1, false)));
    let refused = |result: &AuditResult| matches!(result, AuditResult::Refused { .. });
    let records: Vec<bool> = log
        .machine
        .audit()
        .after(0)
        .map(|record| refused(&record.result))
        .collect();
    expect_that!(records, eq(&vec![false, true, true, false]));
}

/// A repetition after the end must not test a bad version again, but a new order may.
#[googletest::test]
fn repeated_order_after_a_rollback_starts_a_rollout_only_after_10_s() {
    let mut log = Log::default();
    expect_that!(log.start(10, "v2", 12), eq(&ordered(1, true)));
    expect_true!(log.enter(15, 1, RolloutPhase::RolledBack));
    expect_that!(log.start(25, "v2", 12), eq(&ordered(1, false)));
    expect_that!(log.rollout().phase, eq(RolloutPhase::RolledBack));
    expect_that!(log.start(26, "v2", 12), eq(&ordered(4, true)));
    expect_that!(log.rollout().reserved, eq(0));
}

/// A service that already runs the version has nothing to move.
#[googletest::test]
fn order_for_the_version_of_a_completed_move_changes_nothing() {
    let mut log = Log::default();
    expect_that!(log.start(10, "v2", 12), eq(&ordered(1, true)));
    expect_true!(log.enter(20, 1, RolloutPhase::Moving));
    expect_true!(log.enter(22, 1, RolloutPhase::Completed));
    expect_that!(log.start(9_000, "v2", 60), eq(&ordered(1, false)));
    expect_that!(log.start(9_001, "v1", 60), eq(&ordered(5, true)));
}

/// Endpoints of a withdrawn version may still be listed during the next rollout.
#[googletest::test]
fn versions_of_earlier_rollouts_stay_barred() {
    let mut log = Log::default();
    expect_that!(log.start(10, "v3", 12), eq(&ordered(1, true)));
    expect_true!(log.enter(15, 1, RolloutPhase::RolledBack));
    expect_that!(log.start(16, "v4", 12), eq(&ordered(3, true)));
    let barred = vec!["v3".parse().unwrap()];
    expect_that!(log.rollout().barred, eq(&barred));
    expect_true!(log.enter(20, 3, RolloutPhase::RolledBack));
    expect_that!(log.start(40, "v3", 12), eq(&ordered(5, true)));
    let barred = vec!["v4".parse().unwrap()];
    expect_that!(log.rollout().barred, eq(&barred));
}

/// A former leader may propose a phase after its successor did.
#[googletest::test]
fn phases_only_advance_and_only_for_the_rollout_in_force() {
    let mut log = Log::default();
    expect_that!(log.start(10, "v2", 12), eq(&ordered(1, true)));
    expect_false!(log.enter(11, 9, RolloutPhase::Moving));
    expect_false!(log.enter(11, 1, RolloutPhase::Completed));
    expect_true!(log.enter(11, 1, RolloutPhase::Moving));
    let from = vec!["v1".parse().unwrap()];
    expect_that!(log.rollout().from, eq(&from));
    expect_true!(log.enter(12, 1, RolloutPhase::RolledBack));
    expect_false!(log.enter(13, 1, RolloutPhase::Completed));
    expect_false!(log.enter(13, 1, RolloutPhase::Moving));
    expect_that!(log.machine.gateway_state_index(), eq(5));
}

/// Two leaders must not both own the same block.
#[googletest::test]
fn reservation_needs_the_expected_total() {
    let mut log = Log::default();
    expect_that!(log.start(10, "v2", 12), eq(&ordered(1, true)));
    expect_that!(log.reserve(1, 0, 10), eq((true, 10)));
    expect_that!(log.reserve(1, 0, 12), eq((false, 10)));
    expect_that!(log.reserve(1, 10, 10), eq((false, 10)));
    expect_that!(log.reserve(7, 10, 20), eq((false, 10)));
    expect_that!(log.reserve(1, 10, 20), eq((true, 20)));
    expect_true!(log.enter(20, 1, RolloutPhase::Moving));
    expect_that!(log.reserve(1, 20, 30), eq((false, 20)));
}

/// A restart or a new voter continues from a snapshot.
#[googletest::test]
fn rollouts_survive_a_snapshot() {
    let mut log = Log::default();
    expect_that!(log.start(10, "v2", 12), eq(&ordered(1, true)));
    expect_that!(log.reserve(1, 0, 10), eq((true, 10)));
    let decoded = StateMachine::decode(&log.machine.encode());
    expect_that!(decoded, ok(eq(&log.machine)));
}

fn bytes(hex: &str) -> Vec<u8> {
    let digits: Vec<char> = hex.chars().collect();
    let pairs = digits.chunks(2).map(|pair| pair.iter().collect::<String>());
    pairs
        .map(|pair| u8::from_str_radix(&pair, 16).unwrap())
        .collect()
}

/// An upgraded cluster must read what it wrote before.
#[googletest::test]
fn log_and_snapshot_of_the_version_before_rollouts_are_read() {
    let mut machine = StateMachine::default();
    for (index, entry) in EARLIER_LOG.iter().enumerate() {
        let command = Command::decode(&bytes(entry)).unwrap();
        expect_that!(command.encode(), eq(&bytes(entry)));
        machine.apply(index as u64 + 1, command);
    }
    expect_that!(machine.routing().data_centres_out().len(), eq(2));
    let snapshot = bytes(EARLIER_SNAPSHOT);
    expect_that!(StateMachine::decode(&snapshot), ok(eq(&machine)));
}

/// Snapshots from before the changes of data centres were recorded lack two maps.
#[googletest::test]
fn snapshot_without_the_last_two_fields_is_read() {
    let machine = StateMachine::default();
    let encoded = machine.encode();
    let earlier = &encoded[..encoded.len() - 2];
    expect_that!(StateMachine::decode(earlier), ok(eq(&machine)));
}

fn order(number: u64, content: mimosa_protocol::hash::Sha256Digest) -> OrderId {
    OrderId {
        operator: "ada".parse().unwrap(),
        number: OrderNumber(number),
        content,
    }
}

impl Log {
    fn plan(
        &mut self,
        number: u64,
        intent: serde_json::Value,
    ) -> std::result::Result<Box<Plan>, Refusal> {
        let intent: Intent = serde_json::from_value(intent).unwrap();
        let operation = Operation::Plan {
            order: order(number, plan_digest(&intent)),
            intent,
            unreachable: Vec::new(),
        };
        match self.apply(1, operation) {
            CommandResult::Planned(plan) => plan,
            other => panic!("unexpected result {other:?}"),
        }
    }

    fn confirm(&mut self, number: u64, plan: PlanId) -> std::result::Result<Confirmation, Refusal> {
        let order = order(number, confirm_digest(plan));
        match self.apply(1, Operation::Confirm { order, plan }) {
            CommandResult::Confirmed(confirmation) => confirmation,
            other => panic!("unexpected result {other:?}"),
        }
    }
}

fn start_intent(to: &str, duration_ms: u64) -> serde_json::Value {
    json!({"start_rollout": {"service": "shop", "to": to, "duration_ms": duration_ms}})
}

/// The project's own commands change nothing before the confirm, and follow the same rules.
#[googletest::test]
fn planned_rollouts_start_and_are_cancelled_at_their_confirm() {
    let mut log = Log::default();
    let cancel = json!({"cancel_rollout": {"service": "shop"}});
    let code = |result: std::result::Result<Box<Plan>, Refusal>| result.unwrap_err().code();
    expect_that!(
        code(log.plan(1, start_intent("v2", 12_000))),
        eq("unknown_service")
    );
    let document = AdoptedDocument {
        version: DocumentVersion(1),
        bytes: b"document"[..].into(),
    };
    log.apply(1, Operation::AdoptRouting(document));
    expect_that!(code(log.plan(2, start_intent("v2", 0))), eq("bad_value"));
    expect_that!(
        code(log.plan(3, start_intent("v2", 86_400_001))),
        eq("bad_value")
    );
    expect_that!(code(log.plan(4, cancel.clone())), eq("no_rollout"));

    let plan = log.plan(5, start_intent("v2", 12_000)).unwrap();
    let competing = log.plan(6, start_intent("v3", 12_000)).unwrap();
    expect_that!(log.machine.rollouts().iter().count(), eq(0));
    expect_that!(log.confirm(7, plan.id), ok(anything()));
    expect_that!(log.rollout().phase, eq(RolloutPhase::Testing));
    expect_that!(log.confirm(8, competing.id), err(anything()));
    expect_that!(
        code(log.plan(9, start_intent("v3", 12_000))),
        eq("rollout_running")
    );
    expect_that!(
        code(log.plan(10, start_intent("v2", 12_000))),
        eq("nothing_changes")
    );
    // An order through the platform's call meets the same rollout.
    expect_that!(log.start(1, "v3", 12), eq(&running("v2")));

    let plan = log.plan(11, cancel).unwrap();
    expect_that!(log.rollout().phase, eq(RolloutPhase::Testing));
    expect_that!(log.confirm(12, plan.id), ok(anything()));
    expect_that!(log.rollout().phase, eq(RolloutPhase::RolledBack));
    expect_that!(log.rollout().reason.as_str(), eq("cancelled"));
    let decoded = StateMachine::decode(&log.machine.encode());
    expect_that!(decoded, ok(eq(&log.machine)));
}
