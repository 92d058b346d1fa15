//! Frozen schedulers, competing epochs, and successors that rebuild their state.

use std::time::Duration;

use googletest::prelude::*;
use mimosa_protocol::Epoch;
use mimosa_protocol::KvBlocks;
use mimosa_protocol::RequestId;
use mimosa_protocol::Timestamp;
use mimosa_protocol::Tokens;
use mimosa_protocol::configuration::EndpointRole;
use mimosa_schedule::Action;
use mimosa_schedule::Event;
use mimosa_schedule::FenceError;
use mimosa_schedule::Grant;
use mimosa_schedule::GrantFence;
use mimosa_schedule::Scheduler;
use mimosa_schedule::Settings;
use mimosa_schedule::SuccessorStart;
use mimosa_schedule::event::AttemptReport;
use mimosa_schedule::event::EntryReport;
use mimosa_schedule::event::LoadReport;
use mimosa_schedule::event::View;

use crate::fixture::Session;
use crate::fixture::aborted;
use crate::fixture::load;
use crate::fixture::model;
use crate::fixture::started;
use crate::fixture::submission;
use crate::fixture::warm_settings;

const LEASE: Duration = Duration::from_secs(2);

fn grants(actions: &[Action]) -> Vec<Grant> {
    let grant = |action: &Action| match action {
        Action::Start(grant) => Some(grant.clone()),
        _ => None,
    };
    actions.iter().filter_map(grant).collect()
}

fn report(instance: &str, epoch: u64, attempts: Vec<AttemptReport>, queued: &[u128]) -> Event {
    let submission = |request: &u128| submission(*request, "a", Timestamp::from_secs(12));
    Event::Report(Box::new(EntryReport {
        instance: instance.parse().expect("the name is well-formed"),
        epoch: Epoch(epoch),
        queued: queued.iter().map(submission).collect(),
        attempts,
    }))
}

fn attempt_report(grant: &Grant) -> AttemptReport {
    AttemptReport {
        submission: submission(grant.request.0, "a", Timestamp::from_secs(10)),
        grant: grant.clone(),
        prefilled: true,
        transferred: true,
        output: Tokens(10),
    }
}

fn small_view() -> View {
    let mut view = model(1, 1);
    let decode =
        |each: &&mut mimosa_protocol::configuration::Endpoint| each.role == EndpointRole::Decode;
    let decode = view.endpoints.iter_mut().find(decode);
    decode.expect("there is a decode endpoint").capacity.blocks = KvBlocks(4);
    view
}

/// A first scheduler with two attempts that fill the memory, and their grants.
fn first_scheduler() -> (Session, Vec<Grant>) {
    let mut earlier = Session::new(warm_settings(), small_view());
    earlier.now = Timestamp::from_secs(10);
    earlier.send(Event::Lease {
        until: earlier.now + LEASE,
    });
    let mut granted = grants(&earlier.submit(1, "a"));
    earlier.wait(200);
    granted.extend(grants(&earlier.submit(2, "a")));
    earlier.wait(200);
    earlier.run_to_first_token(1);
    earlier.run_to_first_token(2);
    (earlier, granted)
}

fn successor(now: Timestamp, lease_until: Timestamp) -> Session {
    let settings = Settings {
        epoch: Epoch(2),
        ..warm_settings()
    };
    let start = SuccessorStart {
        now,
        expected: vec![
            "e1".parse().expect("the name is well-formed"),
            "e2".parse().expect("the name is well-formed"),
        ],
        previous_lease_until: lease_until,
        clock_skew: Duration::from_millis(50),
    };
    let mut session = Session::with_scheduler(Scheduler::successor(settings, start), small_view());
    session.now = now;
    session
}

#[googletest::test]
fn a_successor_grants_only_after_all_entries_reported() {
    let (earlier, granted) = first_scheduler();
    assert_that!(granted.len(), eq(2));
    let mut successor = successor(earlier.now, earlier.now + LEASE);
    let early = successor.submit(3, "a");
    expect_that!(started(&early), is_empty());
    let first = successor.send(report("e1", 2, vec![attempt_report(&granted[0])], &[4]));
    expect_that!(started(&first), is_empty());
    let second = successor.send(report("e2", 2, vec![attempt_report(&granted[1])], &[]));
    expect_that!(started(&second), is_empty());
    expect_that!(successor.scheduler.running(), eq(2));
    let freed = successor.end(1, mimosa_schedule::AttemptEnd::Complete);
    expect_that!(started(&freed).len(), eq(1));
}

#[googletest::test]
fn a_successor_waits_for_memory_that_an_unreported_entry_may_hold() {
    let (earlier, granted) = first_scheduler();
    let lease_until = earlier.now + LEASE;
    let mut successor = successor(earlier.now, lease_until);
    successor.send(report("e1", 2, vec![attempt_report(&granted[0])], &[]));
    successor.submit(3, "a");
    // Entry e2 may still hold the rest of the memory.
    expect_that!(started(&successor.wait(1_000)), is_empty());
    let too_early = LoadReport {
        used_blocks: KvBlocks(2),
        ..load("decode-0", successor.now)
    };
    expect_that!(started(&successor.send(Event::Load(too_early))), is_empty());
    successor.now = lease_until + Duration::from_secs(1);
    successor.submit(5, "a");
    let shown = LoadReport {
        used_blocks: KvBlocks(4),
        running: 2,
        ..load("decode-0", successor.now)
    };
    expect_that!(started(&successor.send(Event::Load(shown))), is_empty());
    let now = successor.now + Duration::from_millis(100);
    successor.now = now;
    let freed = LoadReport {
        used_blocks: KvBlocks(2),
        running: 1,
        ..load("decode-0", now)
    };
    expect_that!(started(&successor.send(Event::Load(freed))).len(), eq(1));
}

#[googletest::test]
fn grants_of_a_resumed_scheduler_are_rejected_and_it_is_superseded() {
    let (mut earlier, _) = first_scheduler();
    let frozen_at = earlier.now;
    let mut fence = GrantFence::default();
    fence.observe(Epoch(2));
    // It resumes with an old clock reading inside its lease and frees memory.
    earlier.now = frozen_at;
    earlier.submit(7, "a");
    let resumed = grants(&earlier.end(1, mimosa_schedule::AttemptEnd::Complete));
    assert_that!(resumed.len(), eq(1));
    let refused = fence.accept(frozen_at + Duration::from_secs(9), &resumed[0]);
    expect_that!(refused.is_err(), eq(true));
    // With the correct clock it grants nothing because its lease has expired.
    earlier.now = frozen_at + LEASE;
    earlier.run_to_first_token(7);
    earlier.submit(8, "a");
    let late = earlier.end(2, mimosa_schedule::AttemptEnd::Complete);
    expect_that!(started(&late), is_empty());
    // A report with the higher epoch supersedes it.
    earlier.send(report("e1", 2, vec![], &[]));
    expect_that!(earlier.scheduler.is_superseded(), eq(true));
    earlier.send(Event::Lease {
        until: Timestamp::from_secs(100),
    });
    expect_that!(started(&earlier.submit(9, "a")), is_empty());
}

#[googletest::test]
fn a_scheduler_grants_nothing_after_its_lease_until_renewal() {
    let mut session = Session::new(warm_settings(), model(1, 2));
    session.now = Timestamp::from_secs(10);
    session.send(Event::Lease {
        until: session.now + Duration::from_millis(100),
    });
    session.submit(1, "a");
    session.wait(50);
    session.submit(2, "a");
    expect_that!(started(&session.wait(500)), is_empty());
    let until = session.now + LEASE;
    expect_that!(
        started(&session.send(Event::Lease { until })),
        elements_are![eq(&2)]
    );
}

#[googletest::test]
fn an_adopted_attempt_reserves_memory_for_its_current_output() {
    let (earlier, granted) = first_scheduler();
    let mut successor = successor(earlier.now, earlier.now + LEASE);
    // The earlier scheduler has grown the reservation, but the entry knows only the first grant.
    let grown = AttemptReport {
        output: Tokens(5_000),
        ..attempt_report(&granted[0])
    };
    successor.send(report("e1", 2, vec![grown], &[]));
    successor.send(report("e2", 2, vec![], &[]));
    expect_that!(started(&successor.submit(3, "a")), is_empty());
}

#[googletest::test]
fn a_fence_rejects_duplicate_expired_and_superseded_grants() {
    let (_, granted) = first_scheduler();
    let grant = &granted[0];
    let now = grant.start_by;
    let mut fence = GrantFence::default();
    expect_that!(fence.accept(now, grant), ok(eq(())));
    expect_that!(fence.accept(now, grant), err(eq(FenceError::Repeated)));
    let later = now + Duration::from_micros(1);
    let start_by = grant.start_by;
    let expired = FenceError::Expired { start_by };
    expect_that!(fence.accept(later, grant), err(eq(expired)));
    let newer = Grant {
        epoch: Epoch(2),
        request: RequestId(50),
        ..grant.clone()
    };
    expect_that!(fence.accept(now, &newer), ok(eq(())));
    let superseded = Grant {
        request: RequestId(51),
        ..grant.clone()
    };
    let stale = FenceError::OldEpoch {
        granted: Epoch(1),
        known: Epoch(2),
    };
    expect_that!(fence.accept(now, &superseded), err(eq(stale)));
}

#[googletest::test]
fn reports_recover_lost_grants_and_lost_ends() {
    let (mut earlier, granted) = first_scheduler();
    // The grant of request 1 was lost: its entry still waits after the expiry of the grant. The
    // other entry reports rarely.
    earlier.send(report("e2", 1, vec![attempt_report(&granted[1])], &[]));
    earlier.now = granted[0].start_by + Duration::from_millis(1);
    let early = earlier.send(report("e1", 1, vec![], &[1]));
    expect_that!(started(&early), is_empty());
    earlier.now = granted[0].start_by + Duration::from_millis(2_001);
    let until = earlier.now + LEASE * 2;
    earlier.send(Event::Lease { until });
    let again = earlier.send(report("e1", 1, vec![], &[1]));
    expect_that!(started(&again), elements_are![eq(&1)]);
    // The end of request 2 was lost: its entry no longer reports it.
    earlier.send(report("e2", 1, vec![attempt_report(&granted[1])], &[]));
    earlier.send(report("e2", 1, vec![], &[]));
    expect_that!(earlier.scheduler.running(), eq(2));
    earlier.wait(2_000);
    earlier.send(report("e2", 1, vec![], &[]));
    expect_that!(earlier.scheduler.running(), eq(1));
}

#[googletest::test]
fn aborts_are_repeated_until_the_end_is_reported() {
    let (mut earlier, _) = first_scheduler();
    let request = RequestId(1);
    let actions = earlier.send(Event::Cancel { request });
    expect_that!(aborted(&actions), elements_are![eq(&1)]);
    expect_that!(aborted(&earlier.wait(2_500)), elements_are![eq(&1), eq(&1)]);
    earlier.end(1, mimosa_schedule::AttemptEnd::Cancelled);
    expect_that!(aborted(&earlier.wait(2_500)), is_empty());
}
