//! Orders that take a data centre out of routing or return it.

use googletest::prelude::*;
use mimosa_protocol::Timestamp;
use mimosa_state::Command;
use mimosa_state::CommandResult;
use mimosa_state::Operation;
use mimosa_state::StateMachine;

fn apply(machine: &mut StateMachine, index: u64, out: bool, as_of: u64) -> CommandResult {
    let command = Command {
        at: Timestamp::from_secs(index),
        operation: Operation::OrderDataCentreOut {
            data_centre: "north".parse().unwrap(),
            out,
            as_of,
        },
    };
    machine.apply(index, command)
}

const CHANGED: CommandResult = CommandResult::RoutingChanged { changed: true };
const UNCHANGED: CommandResult = CommandResult::RoutingChanged { changed: false };

#[googletest::test]
fn an_order_received_before_the_opposite_took_effect_is_superseded() {
    let mut machine = StateMachine::default();
    expect_that!(apply(&mut machine, 1, true, 0), eq(&CHANGED));
    expect_that!(apply(&mut machine, 2, false, 1), eq(&CHANGED));
    expect_that!(apply(&mut machine, 3, true, 2), eq(&CHANGED));
    // Received after the first one; held up until now.
    let late = apply(&mut machine, 4, false, 1);
    expect_that!(late, eq(&CommandResult::RoutingSuperseded));
    expect_that!(machine.routing().data_centres_out().len(), eq(1));
    expect_that!(machine.routing().last_changed(), eq(3));
}

#[googletest::test]
fn a_second_copy_of_an_order_is_confirmed_and_changes_nothing() {
    let mut machine = StateMachine::default();
    expect_that!(apply(&mut machine, 1, true, 0), eq(&CHANGED));
    expect_that!(apply(&mut machine, 2, true, 0), eq(&UNCHANGED));
    expect_that!(apply(&mut machine, 3, false, 2), eq(&CHANGED));
    expect_that!(apply(&mut machine, 4, false, 2), eq(&UNCHANGED));
}

#[googletest::test]
fn a_snapshot_of_a_version_without_the_last_changes_is_read() {
    let mut machine = StateMachine::default();
    machine.apply(
        1,
        Command {
            at: Timestamp::from_secs(1),
            operation: Operation::Nothing,
        },
    );
    let bytes = machine.encode();
    // The changes, a map without entries, end the snapshot.
    let (last, earlier) = bytes.split_last().unwrap();
    expect_that!(*last, eq(0));
    expect_that!(StateMachine::decode(earlier), ok(eq(&machine)));
    expect_that!(StateMachine::decode(&earlier[..3]), err(anything()));
}

#[googletest::test]
fn the_order_of_a_log_of_an_earlier_version_is_applied() {
    let mut machine = StateMachine::default();
    let operation = Operation::SetDataCentreOut {
        data_centre: "north".parse().unwrap(),
        out: true,
    };
    let command = Command {
        at: Timestamp::from_secs(1),
        operation,
    };
    expect_that!(machine.apply(1, command), eq(&CHANGED));
    // The second order was received before it.
    let late = apply(&mut machine, 2, false, 0);
    expect_that!(late, eq(&CommandResult::RoutingSuperseded));
}
