//! The permit account of the leader and the permits of a gateway.

use std::time::Duration;

use mimosa_protocol::Incarnation;
use mimosa_protocol::InstanceId;
use mimosa_protocol::Timestamp;
use mimosa_rollout::PermitGrant;
use mimosa_rollout::RolloutNumber;
use mimosa_rollout::RolloutPhase;
use mimosa_rollout::RolloutReport;
use mimosa_rollout::RolloutView;
use mimosa_rollout::exposure::ExposureAccount;
use mimosa_rollout::exposure::ExposureSettings;
use mimosa_rollout::exposure::PERMIT_LEASE;
use mimosa_rollout::permits::Permits;

const NUMBER: RolloutNumber = RolloutNumber(4);
const START: Timestamp = Timestamp::from_secs(100);

fn gateway() -> InstanceId {
    "gateway-1".parse().unwrap()
}

fn view() -> RolloutView {
    RolloutView {
        service: "shop".parse().unwrap(),
        number: NUMBER,
        to: "v2".parse().unwrap(),
        from: vec!["v1".parse().unwrap()],
        barred: Vec::new(),
        phase: RolloutPhase::Testing,
    }
}

fn account(reserved: u64, is_successor: bool) -> ExposureAccount {
    let term = if is_successor { 2 } else { 1 };
    ExposureAccount::new(
        START,
        ExposureSettings::default(),
        term,
        reserved,
        is_successor,
    )
}

fn reserve(account: &mut ExposureAccount, now: Timestamp, wanted: u64) {
    let (_, total) = account.start_reservation(now, wanted).unwrap();
    account.finish_reservation(true, total);
}

fn report(sequence: u64, used: u64, expired: u64) -> RolloutReport {
    RolloutReport {
        service: "shop".parse().unwrap(),
        number: NUMBER,
        sequence,
        phase: RolloutPhase::Testing,
        requests: 0,
        term: 1,
        used,
        expired,
        in_flight_new: 0,
        in_flight_old: 0,
        outcomes: Vec::new(),
    }
}

fn grant(sequence: u64, term: u64, permits: u32) -> PermitGrant {
    PermitGrant {
        service: "shop".parse().unwrap(),
        number: NUMBER,
        term,
        sequence,
        permits,
        lease: PERMIT_LEASE,
        endpoints: 1,
    }
}

fn record(account: &mut ExposureAccount, report: &RolloutReport) -> bool {
    account.record(START, &gateway(), Incarnation(1), report)
}

/// Permits beyond the log would be unknown to a successor.
#[test]
fn nothing_is_granted_without_a_reservation() {
    let mut account = account(0, false);
    assert!(record(&mut account, &report(1, 0, 0)));
    assert_eq!(account.grant(START, &gateway(), 5), 0);
    reserve(&mut account, START, 10);
    assert_eq!(account.grant(START, &gateway(), 30), 10);
    assert_eq!(account.available(START), 0);
}

/// A lost report must not free permits, and a duplicate must not free them twice.
#[test]
fn only_permits_that_are_confirmed_as_unused_return() {
    let mut account = account(0, false);
    record(&mut account, &report(1, 0, 0));
    reserve(&mut account, START, 10);
    assert_eq!(account.grant(START, &gateway(), 10), 10);
    let later = START + Duration::from_secs(60);
    assert_eq!(account.available(later), 0);
    let second = report(2, 3, 4);
    assert!(record(&mut account, &second));
    assert!(!record(&mut account, &second));
    assert_eq!(account.available(later), 4);
    assert_eq!(account.committed(), 6);
    // A late report of lower counters changes nothing.
    assert!(!record(&mut account, &report(1, 0, 0)));
    assert_eq!(account.committed(), 6);
}

/// A gateway cannot return more than it was granted, or permits of another leader.
#[test]
fn counters_of_other_terms_and_excess_counters_are_ignored() {
    let mut account = account(0, false);
    record(&mut account, &report(1, 0, 0));
    reserve(&mut account, START, 10);
    account.grant(START, &gateway(), 4);
    let foreign = RolloutReport {
        term: 7,
        ..report(2, 0, 4)
    };
    record(&mut account, &foreign);
    assert_eq!(account.committed(), 4);
    record(&mut account, &report(3, 0, 900));
    assert_eq!(account.committed(), 0);
}

/// The permits of a gateway's process that ended may all have been used.
#[test]
fn permits_of_a_replaced_process_count_as_used() {
    let mut account = account(0, false);
    record(&mut account, &report(1, 0, 0));
    reserve(&mut account, START, 10);
    account.grant(START, &gateway(), 6);
    let first = RolloutReport {
        requests: 3,
        ..report(1, 0, 0)
    };
    assert!(account.record(START, &gateway(), Incarnation(2), &first));
    assert_eq!(account.committed(), 6);
    assert_eq!(account.requests(), 3);
}

/// Predecessors may have granted all that they reserved, and their permits may still be in use.
#[test]
fn successor_counts_the_reservation_as_used_and_waits_out_the_lease() {
    let mut account = account(30, true);
    record(&mut account, &report(1, 0, 0));
    assert_eq!(account.committed(), 30);
    assert_eq!(account.start_reservation(START, 10), None);
    let later = START + PERMIT_LEASE;
    let (expected, total) = account.start_reservation(later, 15).unwrap();
    assert_eq!((expected, total), (30, 45));
    account.finish_reservation(true, total);
    assert_eq!(account.grant(later, &gateway(), 99), 15);
}

/// A reservation whose outcome is unknown may be another leader's.
#[test]
fn reservation_with_unknown_outcome_counts_as_used() {
    let mut account = account(0, false);
    record(&mut account, &report(1, 0, 0));
    account.start_reservation(START, 10).unwrap();
    account.finish_reservation(false, 0);
    account.observe_reserved(10);
    assert_eq!(account.committed(), 10);
    assert_eq!(account.available(START), 0);
}

/// The limit follows the requests that gateways reported, so lost reports only lower it.
#[test]
fn limit_is_the_slack_and_the_share_of_reported_requests() {
    let mut account = account(0, false);
    assert_eq!(account.limit(), 50);
    let reported = RolloutReport {
        requests: 1_009,
        ..report(1, 0, 0)
    };
    record(&mut account, &reported);
    assert_eq!(account.limit(), 150);
    let (_, total) = account.start_reservation(START, 1_000).unwrap();
    assert_eq!(total, 150);
}

/// A grant that was delayed must not be usable for longer than the leader assumes.
#[test]
fn lease_starts_when_the_report_was_sent() {
    let mut permits = Permits::new(NUMBER);
    let sequence = permits.report(START, &view()).sequence;
    let received = START + Duration::from_millis(900);
    assert!(permits.on_grant(received, &grant(sequence, 1, 2)));
    assert!(permits.take(received));
    let expired = START + PERMIT_LEASE;
    assert!(!permits.take(expired));
    let report = permits.report(expired, &view());
    assert_eq!((report.used, report.expired), (1, 1));
}

/// A grant that arrives after its lease is confirmed as unused.
#[test]
fn late_grant_expires_at_once() {
    let mut permits = Permits::new(NUMBER);
    let sequence = permits.report(START, &view()).sequence;
    let late = START + Duration::from_secs(4);
    assert!(permits.on_grant(late, &grant(sequence, 1, 3)));
    assert!(!permits.take(late));
    assert_eq!(permits.report(late, &view()).expired, 3);
}

/// Duplicates, grants of former leaders and grants for other rollouts must not add permits.
#[test]
fn duplicated_and_outdated_grants_are_ignored() {
    let mut permits = Permits::new(NUMBER);
    permits.report(START, &view());
    let sequence = permits.report(START, &view()).sequence;
    assert!(permits.on_grant(START, &grant(sequence, 2, 1)));
    assert!(!permits.on_grant(START, &grant(sequence, 2, 1)));
    assert!(!permits.on_grant(START, &grant(sequence - 1, 2, 1)));
    assert!(!permits.on_grant(START, &grant(sequence, 1, 1)));
    assert!(!permits.on_grant(START, &grant(sequence + 1, 2, 1)));
    let other = PermitGrant {
        number: RolloutNumber(5),
        ..grant(sequence, 3, 1)
    };
    assert!(!permits.on_grant(START, &other));
    assert_eq!(permits.available(START), 1);
}

/// The new leader counts the permits of its predecessors as used, so they are dropped.
#[test]
fn grant_of_a_new_leader_restarts_the_counters() {
    let mut permits = Permits::new(NUMBER);
    let first = permits.report(START, &view()).sequence;
    permits.on_grant(START, &grant(first, 1, 5));
    assert!(permits.take(START));
    let second = permits.report(START, &view()).sequence;
    permits.on_grant(START, &grant(second, 2, 1));
    assert_eq!(permits.available(START), 1);
    let report = permits.report(START, &view());
    assert_eq!((report.term, report.used, report.expired), (2, 0, 0));
}

/// An attempt of which nothing was sent is no request to the new version.
#[test]
fn returned_permit_counts_as_unused() {
    let mut permits = Permits::new(NUMBER);
    let sequence = permits.report(START, &view()).sequence;
    permits.on_grant(START, &grant(sequence, 1, 1));
    assert!(permits.take(START));
    permits.give_back(permits.term());
    let report = permits.report(START, &view());
    assert_eq!((report.used, report.expired), (0, 1));
    permits.give_back(9);
    assert_eq!(permits.report(START, &view()).expired, 1);
}
