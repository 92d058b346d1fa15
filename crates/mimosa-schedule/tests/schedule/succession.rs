//! Freeze and wake, crossed epochs, and a successor that rebuilds.

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
use crate::fixture::warm;

const LEASE: Duration = Duration::from_secs(2);

fn grants(actions: &[Action]) -> Vec<Grant> {
    let grant = |action: &Action| match action {
        Action::Start(grant) => Some(grant.clone()),
        _ => None,
    };
    actions.iter().filter_map(grant).collect()
}

fn report(instance: &str, epoch: u64, held: Vec<AttemptReport>, queued: &[u128]) -> Event {
    let submission = |request: &u128| submission(*request, "a", Timestamp::from_secs(12));
    Event::Report(Box::new(EntryReport {
        instance: instance.parse().expect("a name"),
        epoch: Epoch(epoch),
        queued: queued.iter().map(submission).collect(),
        attempts: held,
    }))
}

fn held(grant: &Grant) -> AttemptReport {
    AttemptReport {
        submission: submission(grant.request.0, "a", Timestamp::from_secs(10)),
        grant: grant.clone(),
        prefilled: true,
        transferred: true,
        output: Tokens(10),
    }
}

fn small() -> View {
    let mut view = model(1, 1);
    let decode =
        |each: &&mut mimosa_protocol::configuration::Endpoint| each.role == EndpointRole::Decode;
    let decode = view.endpoints.iter_mut().find(decode);
    decode.expect("one decode endpoint").capacity.blocks = KvBlocks(4);
    view
}

/// A first scheduler with two attempts, which fill the memory.
fn first() -> (Session, Vec<Grant>) {
    let mut old = Session::new(warm(), small());
    old.now = Timestamp::from_secs(10);
    old.send(Event::Lease {
        until: old.now + LEASE,
    });
    let mut granted = grants(&old.submit(1, "a"));
    old.wait(200);
    granted.extend(grants(&old.submit(2, "a")));
    old.wait(200);
    old.answer(1);
    old.answer(2);
    (old, granted)
}

fn successor(now: Timestamp, lease_until: Timestamp) -> Session {
    let settings = Settings {
        epoch: Epoch(2),
        ..warm()
    };
    let start = SuccessorStart {
        now,
        expected: vec!["e1".parse().expect("a name"), "e2".parse().expect("a name")],
        previous_lease_until: lease_until,
        clock_skew: Duration::from_millis(50),
    };
    let mut session = Session::of(Scheduler::successor(settings, start), small());
    session.now = now;
    session
}

#[googletest::test]
fn a_successor_rebuilds_from_reports_before_it_grants() {
    let (old, granted) = first();
    assert_that!(granted.len(), eq(2));
    let mut new = successor(old.now, old.now + LEASE);
    let early = new.submit(3, "a");
    expect_that!(started(&early), is_empty());
    let first = new.send(report("e1", 2, vec![held(&granted[0])], &[4]));
    expect_that!(started(&first), is_empty());
    let second = new.send(report("e2", 2, vec![held(&granted[1])], &[]));
    expect_that!(started(&second), is_empty());
    expect_that!(new.scheduler.running(), eq(2));
    let freed = new.end(1, mimosa_schedule::AttemptEnd::Complete);
    expect_that!(started(&freed).len(), eq(1));
}

#[googletest::test]
fn a_successor_waits_out_what_an_unreported_entry_may_hold() {
    let (old, granted) = first();
    let lease_until = old.now + LEASE;
    let mut new = successor(old.now, lease_until);
    new.send(report("e1", 2, vec![held(&granted[0])], &[]));
    new.submit(3, "a");
    // e2 may still hold the rest of the memory.
    expect_that!(started(&new.wait(1_000)), is_empty());
    let too_early = LoadReport {
        used_blocks: KvBlocks(2),
        ..load("decode-0", new.now)
    };
    expect_that!(started(&new.send(Event::Load(too_early))), is_empty());
    new.now = lease_until + Duration::from_secs(1);
    new.submit(5, "a");
    let shown = LoadReport {
        used_blocks: KvBlocks(4),
        running: 2,
        ..load("decode-0", new.now)
    };
    expect_that!(started(&new.send(Event::Load(shown))), is_empty());
    let now = new.now + Duration::from_millis(100);
    new.now = now;
    let freed = LoadReport {
        used_blocks: KvBlocks(2),
        running: 1,
        ..load("decode-0", now)
    };
    expect_that!(started(&new.send(Event::Load(freed))).len(), eq(1));
}

#[googletest::test]
fn a_frozen_scheduler_that_wakes_is_not_followed() {
    let (mut old, _) = first();
    let frozen_at = old.now;
    let mut fence = GrantFence::default();
    fence.observe(Epoch(2));
    // It wakes with an old reading of the clock, inside its lease, and frees its memory.
    old.now = frozen_at;
    old.submit(7, "a");
    let woken = grants(&old.end(1, mimosa_schedule::AttemptEnd::Complete));
    assert_that!(woken.len(), eq(1));
    let refused = fence.accept(frozen_at + Duration::from_secs(9), &woken[0]);
    expect_that!(refused.is_err(), eq(true));
    // With the right clock it grants nothing, as its lease is over.
    old.now = frozen_at + LEASE;
    old.answer(7);
    old.submit(8, "a");
    let late = old.end(2, mimosa_schedule::AttemptEnd::Complete);
    expect_that!(started(&late), is_empty());
    // A report that carries the higher epoch makes it stand down.
    old.send(report("e1", 2, vec![], &[]));
    expect_that!(old.scheduler.has_stood_down(), eq(true));
    old.send(Event::Lease {
        until: Timestamp::from_secs(100),
    });
    expect_that!(started(&old.submit(9, "a")), is_empty());
}

#[googletest::test]
fn a_scheduler_without_a_lease_sleeps() {
    let mut session = Session::new(warm(), model(1, 2));
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
fn an_adopted_attempt_holds_what_its_output_needs() {
    let (old, granted) = first();
    let mut new = successor(old.now, old.now + LEASE);
    // Its reservation was grown by the earlier scheduler; its entry knows only the first grant.
    let grown = AttemptReport {
        output: Tokens(5_000),
        ..held(&granted[0])
    };
    new.send(report("e1", 2, vec![grown], &[]));
    new.send(report("e2", 2, vec![], &[]));
    expect_that!(started(&new.submit(3, "a")), is_empty());
}

#[googletest::test]
fn a_fence_follows_each_grant_once_in_time_and_by_epoch() {
    let (_, granted) = first();
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
    let crossed = Grant {
        request: RequestId(51),
        ..grant.clone()
    };
    let old = FenceError::OldEpoch {
        granted: Epoch(1),
        known: Epoch(2),
    };
    expect_that!(fence.accept(now, &crossed), err(eq(old)));
}

#[googletest::test]
fn reports_mend_lost_grants_and_lost_ends() {
    let (mut old, granted) = first();
    // The grant of request 1 was lost: its entry still waits after the grant's end. The other entry
    // reports seldom.
    old.send(report("e2", 1, vec![held(&granted[1])], &[]));
    old.now = granted[0].start_by + Duration::from_millis(1);
    let early = old.send(report("e1", 1, vec![], &[1]));
    expect_that!(started(&early), is_empty());
    old.now = granted[0].start_by + Duration::from_millis(2_001);
    let until = old.now + LEASE * 2;
    old.send(Event::Lease { until });
    let again = old.send(report("e1", 1, vec![], &[1]));
    expect_that!(started(&again), elements_are![eq(&1)]);
    // The end of request 2 was lost: its entry stops reporting it.
    old.send(report("e2", 1, vec![held(&granted[1])], &[]));
    old.send(report("e2", 1, vec![], &[]));
    expect_that!(old.scheduler.running(), eq(2));
    old.wait(2_000);
    old.send(report("e2", 1, vec![], &[]));
    expect_that!(old.scheduler.running(), eq(1));
}

#[googletest::test]
fn aborts_are_repeated_until_the_end_is_reported() {
    let (mut old, _) = first();
    let request = RequestId(1);
    let told = old.send(Event::Cancel { request });
    expect_that!(aborted(&told), elements_are![eq(&1)]);
    expect_that!(aborted(&old.wait(2_500)), elements_are![eq(&1), eq(&1)]);
    old.end(1, mimosa_schedule::AttemptEnd::Cancelled);
    expect_that!(aborted(&old.wait(2_500)), is_empty());
}
