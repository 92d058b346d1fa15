//! Quarantine of prompt parts that crash endpoints, among sound requests and crashes of other causes.

use std::time::Duration;

use googletest::prelude::*;
use mimosa_hold::part_quarantine::PartQuarantine;
use mimosa_hold::part_quarantine::PartQuarantineSettings;
use mimosa_hold::part_quarantine::RequestParts;
use mimosa_hold::quarantine::CrashId;
use mimosa_hold::quarantine::Fingerprint;
use mimosa_protocol::Incarnation;
use mimosa_protocol::ServiceId;
use mimosa_protocol::Timestamp;

const BAD: &str = "bad";
const SHARED: &str = "shared";
const START: Timestamp = Timestamp::from_secs(10_000);
/// Time from the start of a run to its crash.
const RUN_TIME: Duration = Duration::from_millis(90);
/// Crashes after which the users allow `MAX_LATE` more requests with the part.
const MAX_CRASHES: usize = 5;

fn service() -> ServiceId {
    "verse".parse().unwrap()
}

fn at(millis: u64) -> Timestamp {
    START + Duration::from_millis(millis)
}

fn process(number: u64) -> CrashId {
    CrashId {
        endpoint: format!("i-{number}").parse().unwrap(),
        incarnation: Incarnation(number),
    }
}

/// A request with these parts; requests with different names differ.
fn request(name: &str, parts: &[&str]) -> RequestParts {
    let part = |part: &&str| Fingerprint::of_part(part.as_bytes());
    RequestParts {
        whole: Fingerprint::of(None, &service(), name.as_bytes()),
        parts: parts.iter().map(part).collect(),
    }
}

/// A quarantine with its clock, and the numbers of requests and crashes so far.
struct Fleet {
    quarantine: PartQuarantine,
    now: Timestamp,
    requests: u64,
    crashes: u64,
}

impl Fleet {
    fn new() -> Self {
        Self {
            quarantine: PartQuarantine::default(),
            now: START,
            requests: 0,
            crashes: 0,
        }
    }

    fn next_request(&mut self, parts: &[&str]) -> RequestParts {
        self.requests += 1;
        request(&self.requests.to_string(), parts)
    }

    fn rejects(&mut self, parts: &[&str]) -> bool {
        let request = self.next_request(parts);
        self.quarantine
            .quarantined_until(self.now, &request)
            .is_some()
    }

    /// Loses runs with their endpoint, at the start of their answers.
    fn crash(&mut self, runs: &[&[&str]]) {
        let runs: Vec<_> = runs.iter().map(|parts| (*parts, RUN_TIME)).collect();
        self.crash_after(&runs);
    }

    /// Loses runs with their endpoint, each this long after its start.
    fn crash_after(&mut self, runs: &[(&[&str], Duration)]) {
        self.now = self.now + Duration::from_millis(600);
        self.crashes += 1;
        let process = process(self.crashes);
        for (parts, ran_for) in runs {
            let request = self.next_request(parts);
            self.quarantine
                .record_lost(self.now, &service(), &request, &process, *ran_for);
        }
    }

    fn complete(&mut self, parts: &[&str]) {
        self.now = self.now + Duration::from_millis(10);
        let request = self.next_request(parts);
        if self.quarantine.is_suspect(&request) {
            self.quarantine.clear(self.now, &request);
        }
        self.quarantine.count_sound_run(&service());
    }

    fn complete_others(&mut self) {
        self.complete(&["another"]);
        self.complete(&["one more"]);
    }
}

#[gtest]
fn a_part_is_quarantined_after_three_crashes_under_different_requests() {
    let mut fleet = Fleet::new();
    for crashes in 0..3 {
        expect_that!(fleet.rejects(&[BAD]), eq(false), "after {crashes} crashes");
        fleet.crash(&[&[BAD]]);
        fleet.complete_others();
    }
    expect_that!(fleet.rejects(&[BAD]), eq(true));
    expect_that!(fleet.rejects(&["new", BAD, "more"]), eq(true));
    expect_that!(fleet.rejects(&["new", "more"]), eq(false));
}

/// The shared part crashed as often as the bad one, but requests with it alone may run.
#[gtest]
fn sound_requests_that_share_another_part_run_while_the_bad_part_is_quarantined() {
    let mut fleet = Fleet::new();
    for _ in 0..3 {
        fleet.crash(&[&[SHARED, BAD]]);
        fleet.complete_others();
    }
    expect_that!(fleet.rejects(&[SHARED, BAD]), eq(true));
    expect_that!(fleet.rejects(&[SHARED]), eq(false));
    fleet.complete(&[SHARED]);
    expect_that!(fleet.rejects(&[SHARED, "sound"]), eq(false));
    expect_that!(fleet.rejects(&["new", BAD]), eq(true));
}

/// Whatever else the requests contain, and whatever is lost beside them, the crashes stay within
/// what the users allow.
#[gtest]
fn a_part_that_moves_between_requests_crashes_at_most_five_endpoints() {
    for shared_rounds in [0, 1, 3, 5, 40] {
        let mut fleet = Fleet::new();
        for round in 0..40 {
            let other = format!("other-{round}");
            let parts: Vec<&str> = match round < shared_rounds {
                true => vec![SHARED, BAD],
                false => vec![other.as_str(), BAD],
            };
            if !fleet.rejects(&parts) {
                fleet.crash_after(&[
                    (parts.as_slice(), RUN_TIME),
                    (&["beside"], Duration::from_millis(400)),
                ]);
            }
            fleet.complete_others();
        }
        expect_that!(fleet.crashes, le(MAX_CRASHES as u64), "{shared_rounds}");
        expect_that!(fleet.rejects(&["beside"]), eq(false), "{shared_rounds}");
        expect_that!(fleet.rejects(&[SHARED]), eq(false), "{shared_rounds}");
    }
}

/// A popular part is lost in each crash, but its runs began longer ago.
#[gtest]
fn parts_of_runs_that_were_lost_beside_the_bad_one_stay_allowed() {
    let mut fleet = Fleet::new();
    for _ in 0..3 {
        let older = Duration::from_millis(350);
        fleet.crash_after(&[
            (&[BAD], RUN_TIME),
            (&["popular"], older),
            (&["popular", "rare"], older),
        ]);
        fleet.complete_others();
    }
    expect_that!(fleet.rejects(&[BAD]), eq(true));
    expect_that!(fleet.rejects(&["popular"]), eq(false));
    expect_that!(fleet.rejects(&["popular", "rare"]), eq(false));
    expect_that!(fleet.rejects(&["rare", "new"]), eq(false));
}

/// A data centre that loses power ends many endpoints under one popular part.
#[gtest]
fn crashes_with_a_common_cause_count_once() {
    let mut fleet = Fleet::new();
    for number in 0..6 {
        let request = fleet.next_request(&["popular"]);
        let quarantine = &mut fleet.quarantine;
        // The runs began long before, and their losses are reported over some time.
        let now = at(number * 30);
        quarantine.record_lost(
            now,
            &service(),
            &request,
            &process(number),
            Duration::from_secs(3),
        );
    }
    fleet.now = at(1_000);
    fleet.complete_others();
    expect_that!(fleet.rejects(&["popular"]), eq(false));
}

/// During an outage all runs are lost, which is not the fault of the part that all prompts share.
#[gtest]
fn no_part_is_quarantined_while_no_run_of_the_service_completes() {
    let mut fleet = Fleet::new();
    for _ in 0..8 {
        fleet.crash(&[&[SHARED]]);
        expect_that!(fleet.rejects(&[SHARED]), eq(false));
    }
    // After the outage, completed runs with the part clear it.
    fleet.complete(&[SHARED]);
    fleet.complete_others();
    expect_that!(fleet.rejects(&[SHARED]), eq(false));
}

#[gtest]
fn a_completion_clears_a_part_that_was_quarantined() {
    let mut fleet = Fleet::new();
    for _ in 0..3 {
        fleet.crash(&[&["unlucky"]]);
        fleet.complete_others();
    }
    expect_that!(fleet.rejects(&["unlucky"]), eq(true));
    // A run that began before the quarantine.
    fleet.complete(&["unlucky"]);
    expect_that!(fleet.rejects(&["unlucky"]), eq(false));
}

#[gtest]
fn a_request_that_is_sent_again_is_quarantined_as_a_whole_but_not_its_parts() {
    let mut fleet = Fleet::new();
    let poison = request("poison", &["part"]);
    for number in 0..3 {
        fleet.now = fleet.now + Duration::from_millis(400);
        let quarantine = &mut fleet.quarantine;
        expect_that!(quarantine.quarantined_until(fleet.now, &poison), none());
        quarantine.record_lost(fleet.now, &service(), &poison, &process(number), RUN_TIME);
        fleet.complete_others();
    }
    let until = fleet.quarantine.quarantined_until(fleet.now, &poison);
    expect_that!(until, some(gt(fleet.now)));
    expect_that!(fleet.rejects(&["part"]), eq(false));
}

#[gtest]
fn a_quarantine_ends_after_its_retention() {
    let mut fleet = Fleet::new();
    for _ in 0..3 {
        fleet.crash(&[&[BAD]]);
        fleet.complete_others();
    }
    fleet.now = fleet.now + Duration::from_secs(1_799);
    expect_that!(fleet.rejects(&[BAD]), eq(true));
    fleet.now = fleet.now + Duration::from_secs(2);
    expect_that!(fleet.rejects(&[BAD]), eq(false));
    fleet.quarantine.expire(fleet.now);
    expect_that!(fleet.quarantine.quarantined(), eq(0));
}

/// Gateways pass what they know on to a new leader, in any order and more than once.
#[gtest]
fn suspects_survive_a_change_of_the_leader() {
    let mut fleet = Fleet::new();
    for _ in 0..3 {
        fleet.crash(&[&[BAD]]);
        fleet.complete_others();
    }
    fleet.crash(&[&["doubtful"]]);
    fleet.crash(&[&["doubtful"]]);
    let suspects = fleet.quarantine.suspects(fleet.now);
    // The clock of the successor has another origin.
    let now = Timestamp::from_secs(77);
    let mut successor = PartQuarantine::default();
    expect_that!(successor.merge(now, &suspects), eq(true));
    expect_that!(successor.merge(now, &suspects), eq(false));
    let bad = request("x", &[BAD]);
    expect_that!(successor.quarantined_until(now, &bad), some(gt(now)));
    // The third crash under the doubtful part is the first that the successor sees.
    let doubtful = request("y", &["doubtful"]);
    let now = now + Duration::from_secs(1);
    successor.record_lost(now, &service(), &doubtful, &process(99), RUN_TIME);
    expect_that!(successor.quarantined_until(now, &doubtful), none());
    successor.count_sound_run(&service());
    expect_that!(successor.count_sound_run(&service()), eq(true));
    expect_that!(
        successor.quarantined_until(now, &request("z", &["doubtful"])),
        some(gt(now))
    );
}

/// Entries have no leader that counts: each sees one crash, and they exchange what they saw.
#[gtest]
fn instances_that_saw_one_crash_each_quarantine_the_part_together() {
    let settings = PartQuarantineSettings {
        sent_crashes: 1,
        ..PartQuarantineSettings::default()
    };
    let mut entries: Vec<_> = (0..3).map(|_| PartQuarantine::new(settings)).collect();
    let now = |number: usize| at(500 * number as u64);
    for number in 0..3 {
        let own = request(&number.to_string(), &[BAD]);
        let process = process(number as u64);
        entries[number].record_lost(now(number), &service(), &own, &process, RUN_TIME);
        let suspects = entries[number].suspects(now(number));
        for other in &mut entries {
            other.merge(now(number), &suspects);
        }
    }
    for entry in &mut entries {
        entry.count_sound_run(&service());
        entry.count_sound_run(&service());
        let until = entry.quarantined_until(now(3), &request("new", &[BAD]));
        expect_that!(until, some(gt(now(3))));
    }
}

/// Each entry sees one of the crashes, all at the same time.
#[gtest]
fn crashes_with_a_common_cause_count_once_for_instances_that_exchange_them() {
    let settings = PartQuarantineSettings {
        sent_crashes: 1,
        ..PartQuarantineSettings::default()
    };
    let mut entries: Vec<_> = (0..4).map(|_| PartQuarantine::new(settings)).collect();
    for (entry, number) in entries.iter_mut().zip(0..) {
        let own = request(&number.to_string(), &["popular"]);
        let ran_for = Duration::from_millis(300);
        entry.record_lost(at(number), &service(), &own, &process(number), ran_for);
    }
    let known: Vec<_> = entries.iter().map(|entry| entry.suspects(at(10))).collect();
    for entry in &mut entries {
        for suspects in &known {
            entry.merge(at(10), suspects);
        }
        entry.count_sound_run(&service());
        entry.count_sound_run(&service());
    }
    for entry in &entries {
        expect_that!(
            entry.quarantined_until(at(20), &request("new", &["popular"])),
            none()
        );
    }
}

#[gtest]
fn a_clearing_wins_over_older_crashes_of_other_instances() {
    let mut fleet = Fleet::new();
    fleet.crash(&[&["unlucky"]]);
    fleet.crash(&[&["unlucky"]]);
    fleet.crash(&[&["unlucky"]]);
    fleet.complete_others();
    let outdated = fleet.quarantine.suspects(fleet.now);
    let mut gateway = PartQuarantine::default();
    gateway.merge(fleet.now, &outdated);
    fleet.complete(&["unlucky"]);
    let suspects = fleet.quarantine.suspects(fleet.now);
    expect_that!(gateway.merge(fleet.now, &suspects), eq(true));
    expect_that!(
        gateway.quarantined_until(fleet.now, &request("x", &["unlucky"])),
        none()
    );
}

/// Sound requests with the shared part are lost beside the bad one as well, some just as they begin.
#[gtest]
fn a_shared_part_stays_allowed_though_its_own_sound_runs_are_lost_beside_the_bad_one() {
    let mut fleet = Fleet::new();
    for round in 0..3_u64 {
        let part = format!("sound-{round}");
        let sound: &[&str] = &[SHARED, part.as_str()];
        let ran_for = Duration::from_millis(40 + 60 * round);
        fleet.crash_after(&[(&[SHARED, BAD], RUN_TIME), (sound, ran_for)]);
        fleet.complete_others();
    }
    expect_that!(fleet.rejects(&[SHARED, BAD]), eq(true));
    expect_that!(fleet.rejects(&[SHARED, "sound"]), eq(false));
    fleet.complete(&[SHARED, "sound"]);
    expect_that!(fleet.rejects(&["new", BAD]), eq(true));
}

/// Many losses, as of a whole data centre, keep the memory and the messages small.
#[gtest]
fn suspects_are_bounded_and_only_relevant_ones_are_sent() {
    let mut fleet = Fleet::new();
    for number in 0..10_000 {
        let part = format!("part-{number}");
        fleet.crash(&[&[part.as_str()]]);
    }
    expect_that!(fleet.quarantine.len(), le(4_096));
    expect_that!(fleet.quarantine.suspects(fleet.now).suspects, is_empty());
}
