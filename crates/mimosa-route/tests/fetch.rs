//! Requests of newer routing documents.

use std::collections::BTreeSet;
use std::time::Duration;

use googletest::prelude::*;
use mimosa_protocol::InstanceId;
use mimosa_protocol::Timestamp;
use mimosa_route::DocumentVersion;
use mimosa_route::fetch::DocumentFetch;
use mimosa_route::fetch::FetchAction;

/// Within this time after its acknowledgement, a version is in force at every gateway in touch.
const APPLY_LIMIT: Duration = Duration::from_secs(2);
/// Interval of the states that an instance sends without a change.
const HEARTBEAT: Duration = Duration::from_secs(1);
/// One way between data centres, with the time of both processes.
const TRANSIT: Duration = Duration::from_millis(20);

fn at(ms: u64) -> Timestamp {
    Timestamp::from_secs(100) + Duration::from_millis(ms)
}

fn instance(number: u64) -> InstanceId {
    format!("10.{number}.0.1").parse().unwrap()
}

fn version(number: u64) -> Option<DocumentVersion> {
    Some(DocumentVersion(number))
}

/// Control instances of which the first is in the gateway's data centre. Steps time by 1 ms and
/// returns how long the gateway lacked each version after it was committed.
fn lags(
    commits: &[(u64, u64)],
    heartbeat_offset: u64,
    is_silent: impl Fn(u64) -> bool,
) -> Vec<Duration> {
    let mut fetch = DocumentFetch::default();
    let mut current = version(1);
    let mut in_flight: Option<(Timestamp, DocumentVersion)> = None;
    let mut lags = Vec::new();
    let mut applied = BTreeSet::new();
    for ms in 0..20_000 {
        let now = at(ms);
        let committed = |now: Timestamp| {
            let earlier = commits.iter().filter(|(sent, _)| at(*sent) <= now);
            earlier.map(|(_, version)| *version).max().unwrap_or(1)
        };
        let is_heartbeat = (ms + heartbeat_offset).is_multiple_of(HEARTBEAT.as_millis() as u64);
        let is_change = commits.iter().any(|(sent, _)| at(*sent) + TRANSIT == now);
        if is_heartbeat || is_change {
            for number in (1..=3).filter(|number| !is_silent(*number)) {
                let announced = version(committed(at(ms.saturating_sub(20))));
                fetch.announce(now, &instance(number), number == 1, announced, current);
            }
        }
        if let FetchAction::Request(target) = fetch.next(now) {
            let answers = (1..=3).any(|number| instance(number) == target && !is_silent(number));
            if answers {
                in_flight = Some((now + TRANSIT * 2, DocumentVersion(committed(now + TRANSIT))));
            }
        }
        if let Some((_, received)) = in_flight.take_if(|(arrives, _)| *arrives <= now) {
            current = current.max(Some(received));
            fetch.received(received);
        }
        for (sent, version) in commits {
            if current >= Some(DocumentVersion(*version)) && applied.insert(*version) {
                lags.push(now.since(at(*sent)));
            }
        }
    }
    assert_eq!(lags.len(), commits.len(), "every version arrives");
    lags
}

// Guards against CONFIG: with the local instance frozen, each version restarted the wait for it, and
// requests were made only with heartbeats, so a version came 2.1 s after its acknowledgement.
#[googletest::test]
fn versions_in_quick_succession_are_fetched_in_time_without_the_local_instance() {
    for interval in [50, 150, 900, 1_000, 1_100] {
        let commits: Vec<_> = (1..=8)
            .map(|step| (1_000 + step * interval, step + 1))
            .collect();
        for heartbeat_offset in (0..1_000).step_by(50) {
            let longest = lags(&commits, heartbeat_offset, |number| number == 1);
            expect_that!(longest.into_iter().max(), some(lt(APPLY_LIMIT / 4)));
        }
    }
}

#[googletest::test]
fn a_version_is_fetched_in_time_from_the_only_instance_that_answers() {
    for answering in 1..=3 {
        let commits = [(1_000, 2), (1_900, 3)];
        for heartbeat_offset in (0..1_000).step_by(50) {
            let longest = lags(&commits, heartbeat_offset, |number| number != answering);
            expect_that!(longest.into_iter().max(), some(lt(APPLY_LIMIT / 4)));
        }
    }
}

// The instances freeze after their announcement, one after the other.
#[googletest::test]
fn instances_that_do_not_answer_are_asked_once_before_the_others() {
    let mut fetch = DocumentFetch::default();
    for number in 1..=3 {
        fetch.announce(
            at(0),
            &instance(number),
            number == 1,
            version(2),
            version(1),
        );
    }
    let mut asked = Vec::new();
    for ms in 0..2_000 {
        if let FetchAction::Request(target) = fetch.next(at(ms)) {
            asked.push((ms, target));
        }
    }
    let expected = vec![(0, instance(1)), (500, instance(2)), (1_500, instance(3))];
    expect_that!(asked, eq(&expected));
}

#[googletest::test]
fn an_instance_in_the_own_data_centre_is_asked_at_once_and_others_after_a_wait() {
    let mut fetch = DocumentFetch::default();
    fetch.announce(at(0), &instance(2), false, version(2), version(1));
    expect_that!(fetch.next(at(0)), eq(&FetchAction::WaitUntil(at(150))));
    fetch.announce(at(10), &instance(1), true, version(2), version(1));
    expect_that!(fetch.next(at(10)), eq(&FetchAction::Request(instance(1))));
    fetch.received(DocumentVersion(2));
    expect_that!(fetch.next(at(10)), eq(&FetchAction::Idle));
    expect_that!(fetch.is_behind(), eq(false));
}

#[googletest::test]
fn an_instance_whose_connection_was_lost_is_not_asked() {
    let mut fetch = DocumentFetch::default();
    fetch.announce(at(0), &instance(2), false, version(2), version(1));
    fetch.forget(&instance(2));
    expect_that!(fetch.next(at(500)), eq(&FetchAction::Idle));
    // An instance that lags behind announces the current document.
    fetch.announce(at(600), &instance(3), false, version(1), version(1));
    expect_that!(fetch.is_behind(), eq(false));
}
