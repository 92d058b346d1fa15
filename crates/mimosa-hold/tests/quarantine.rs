//! Quarantine of requests that crash endpoints, among requests that do not.

use std::time::Duration;

use googletest::prelude::*;
use mimosa_hold::quarantine::CrashId;
use mimosa_hold::quarantine::Fingerprint;
use mimosa_hold::quarantine::Quarantine;
use mimosa_hold::quarantine::QuarantineSettings;
use mimosa_hold::quarantine::Verdict;
use mimosa_protocol::EndpointId;
use mimosa_protocol::Incarnation;
use mimosa_protocol::RequestId;
use mimosa_protocol::Timestamp;

const POISON: u128 = 666;

fn fingerprint(content: u128) -> Fingerprint {
    let service = "verse".parse().expect("a name");
    Fingerprint::of(None, &service, &content.to_le_bytes())
}

fn endpoint(number: u64) -> EndpointId {
    format!("decode-{number}").parse().expect("a name")
}

fn at(secs: u64) -> Timestamp {
    Timestamp::from_secs(1_000 + secs)
}

/// Entries that exchange their records when `gossip` is called.
struct Fleet {
    entries: Vec<Quarantine>,
    positions: Vec<u64>,
    requests: u128,
}

impl Fleet {
    fn new(entries: usize) -> Self {
        Self {
            entries: vec![Quarantine::new(QuarantineSettings::default()); entries],
            positions: vec![0; entries],
            requests: 0,
        }
    }

    fn start(&mut self, entry: usize, content: u128, to: u64, incarnation: u64) -> RequestId {
        self.requests += 1;
        let request = RequestId(self.requests);
        let fingerprint = fingerprint(content);
        self.entries[entry].started(request, fingerprint, endpoint(to), Incarnation(incarnation));
        request
    }

    fn crash(&mut self, secs: u64, of: u64, incarnation: u64) {
        for entry in &mut self.entries {
            entry.crashed(at(secs), endpoint(of), Incarnation(incarnation));
        }
    }

    fn gossip(&mut self, secs: u64) {
        for from in 0..self.entries.len() {
            let (delta, position) = self.entries[from].delta(self.positions[from], 64);
            self.positions[from] = position;
            for to in (0..self.entries.len()).filter(|to| *to != from) {
                self.entries[to].merge(at(secs), &delta);
            }
        }
    }

    fn verdict(&self, entry: usize, secs: u64, content: u128) -> Verdict {
        self.entries[entry].check(at(secs), fingerprint(content))
    }
}

fn until(secs: u64) -> Verdict {
    let until = at(secs);
    Verdict::Quarantined { until }
}

#[googletest::test]
fn a_poison_request_is_quarantined_after_two_crashes_through_different_entries() {
    let crash_retention = QuarantineSettings::default().crash_retention.as_secs();
    let mut fleet = Fleet::new(3);
    fleet.start(0, POISON, 1, 1);
    let concurrent = fleet.start(1, 5, 1, 1);
    fleet.crash(0, 1, 1);
    fleet.gossip(0);
    expect_that!(fleet.verdict(2, 1, POISON), eq(Verdict::Isolated));
    expect_that!(fleet.verdict(0, 1, 5), eq(Verdict::Isolated));
    let crash_id = |endpoint, incarnation| CrashId {
        endpoint,
        incarnation: Incarnation(incarnation),
    };

    // The caller sends it again through another entry, while another request runs on the endpoint.
    fleet.start(2, POISON, 2, 1);
    let unrelated = fleet.start(2, 6, 2, 1);
    let with_suspect =
        fleet.entries[2].may_run_at(at(1), fingerprint(5), &crash_id(endpoint(2), 1));
    expect_that!(with_suspect, eq(false));
    expect_that!(
        fleet.entries[2].may_run_at(at(1), fingerprint(7), &crash_id(endpoint(2), 1)),
        eq(true)
    );
    fleet.crash(2, 2, 1);
    fleet.gossip(2);
    for entry in 0..3 {
        expect_that!(
            fleet.verdict(entry, 3, POISON),
            eq(until(2 + crash_retention)),
            "{entry}"
        );
        expect_that!(fleet.verdict(entry, 3, 6), eq(Verdict::Clear), "{entry}");
    }
    // The other suspect of the first crash completes on another endpoint and is cleared.
    expect_that!(concurrent, not(eq(unrelated)));
    let again = fleet.start(1, 5, 3, 1);
    fleet.entries[1].completed(at(5), again);
    fleet.gossip(5);
    for entry in 0..3 {
        expect_that!(fleet.verdict(entry, 6, 5), eq(Verdict::Clear), "{entry}");
        expect_that!(
            fleet.verdict(entry, 6, POISON),
            eq(until(2 + crash_retention)),
            "{entry}"
        );
    }
    expect_that!(
        fleet.verdict(0, 2 + crash_retention, POISON),
        eq(Verdict::Clear)
    );
}

#[googletest::test]
fn a_crash_seen_by_several_entries_counts_once() {
    let mut fleet = Fleet::new(4);
    (0..4).for_each(|entry| {
        fleet.start(entry, POISON, 1, 1);
    });
    for (noticed, entry) in fleet.entries.iter_mut().enumerate() {
        entry.crashed(at(noticed as u64), endpoint(1), Incarnation(1));
    }
    fleet.gossip(4);
    fleet.gossip(5);
    for entry in 0..4 {
        expect_that!(fleet.verdict(entry, 6, POISON), eq(Verdict::Isolated));
    }
}

#[googletest::test]
fn an_innocent_request_in_two_crashes_is_quarantined_briefly() {
    let ambiguous_quarantine = QuarantineSettings::default().ambiguous_quarantine.as_secs();
    let mut fleet = Fleet::new(2);
    for crash in 0..2 {
        fleet.start(0, POISON, crash, 1);
        fleet.start(1, 5, crash, 1);
        fleet.crash(crash, crash, 1);
    }
    fleet.gossip(2);
    for content in [POISON, 5] {
        expect_that!(
            fleet.verdict(0, 3, content),
            eq(until(1 + ambiguous_quarantine))
        );
        expect_that!(
            fleet.verdict(1, 1 + ambiguous_quarantine, content),
            eq(Verdict::Isolated)
        );
    }
    let alone = fleet.start(0, 5, 7, 1);
    fleet.entries[0].completed(at(100), alone);
    fleet.gossip(100);
    expect_that!(fleet.verdict(1, 101, 5), eq(Verdict::Clear));
    // The other suspect is cleared, so that this one remains the only suspect of both crashes.
    let crash_retention = QuarantineSettings::default().crash_retention.as_secs();
    expect_that!(
        fleet.verdict(1, 101, POISON),
        eq(until(1 + crash_retention))
    );
}

#[googletest::test]
fn records_merge_in_any_order_and_stay_bounded() {
    let settings = QuarantineSettings {
        max_records: 100,
        ..QuarantineSettings::default()
    };
    let mut entry = Quarantine::new(settings);
    for content in 0..1_000 {
        let request = RequestId(content);
        let incarnation = Incarnation(content as u64 / 10);
        entry.started(request, fingerprint(content), endpoint(1), incarnation);
        if content % 10 == 9 {
            entry.crashed(at(content as u64), endpoint(1), incarnation);
        }
    }
    expect_that!(entry.len(), le(100));
    let (first, position) = entry.delta(0, 60);
    let (second, _) = entry.delta(position, 60);
    let mut forward = Quarantine::new(settings);
    let mut backward = Quarantine::new(settings);
    let now = at(1_000);
    for delta in [&first, &second, &first] {
        forward.merge(now, delta);
    }
    for delta in [&second, &first] {
        backward.merge(now, delta);
    }
    expect_that!(forward.merge(now, &second), eq(false));
    for content in 0..1_000 {
        let fingerprint = fingerprint(content);
        let same = forward.check(now, fingerprint) == backward.check(now, fingerprint);
        expect_that!(same, eq(true), "{content}");
    }
    let late = now + settings.crash_retention + Duration::from_secs(1);
    forward.expire(late);
    expect_that!(forward.is_empty(), eq(true));
}

/// A poison request that is sent repeatedly through any entry, among innocent requests that
/// complete.
struct Traffic {
    fleet: Fleet,
    random: u64,
    incarnations: [u64; 6],
    /// Request, entry, content, endpoint, and the step in which it ends.
    running: Vec<(RequestId, usize, u128, u64, u64)>,
    poison_crashes: u64,
    refused_innocent: u64,
    log: String,
}

impl Traffic {
    fn random(&mut self, below: u64) -> u64 {
        self.random = self
            .random
            .wrapping_mul(6_364_136_223_846_793_005)
            .wrapping_add(1_442_695);
        (self.random >> 33) % below
    }

    fn send(&mut self, step: u64, content: u128) {
        let entry = self.random(3) as usize;
        let to = self.random(6);
        let incarnation = self.incarnations[to as usize];
        let process = CrashId {
            endpoint: endpoint(to),
            incarnation: Incarnation(incarnation),
        };
        let quarantine = &self.fleet.entries[entry];
        if !quarantine.may_run_at(at(step), fingerprint(content), &process) {
            self.refused_innocent += u64::from(content != POISON);
            return;
        }
        let request = self.fleet.start(entry, content, to, incarnation);
        let duration = 1 + self.random(4);
        self.running
            .push((request, entry, content, to, step + duration));
    }

    fn end(&mut self, step: u64) {
        let (due, rest): (Vec<_>, Vec<_>) = self.running.drain(..).partition(|run| run.4 <= step);
        self.running = rest;
        for (request, entry, content, to, _) in due {
            if content != POISON {
                self.fleet.entries[entry].completed(at(step), request);
            } else if self.fleet.entries[entry].is_running(request) {
                self.poison_crashes += 1;
                let concurrent = self.running.iter().filter(|run| run.3 == to).count();
                self.log
                    .push_str(&format!("{step} {to} crashes, {concurrent} ran beside\n"));
                self.fleet.crash(step, to, self.incarnations[to as usize]);
                self.incarnations[to as usize] += 1;
                self.running.retain(|run| run.3 != to);
            }
        }
    }
}

fn traffic(seed: u64, gossip_every: u64) -> Traffic {
    let mut traffic = Traffic {
        fleet: Fleet::new(3),
        random: seed,
        incarnations: [1; 6],
        running: Vec::new(),
        poison_crashes: 0,
        refused_innocent: 0,
        log: String::new(),
    };
    for step in 0..600 {
        traffic.end(step);
        (0..8).for_each(|_| {
            let content = u128::from(traffic.random(200));
            traffic.send(step, content);
        });
        traffic.send(step, POISON);
        if step % gossip_every == 0 {
            traffic.fleet.gossip(step);
        }
    }
    traffic
}

#[googletest::test]
fn a_resent_poison_request_is_quarantined_and_innocent_ones_are_cleared() {
    for seed in 0..40 {
        let traffic = traffic(seed, 1 + seed % 3);
        expect_that!(
            traffic.poison_crashes,
            le(8),
            "seed {seed}\n{}",
            traffic.log
        );
        expect_that!(traffic.refused_innocent, le(4_800 / 50), "seed {seed}");
        let end = 600;
        let held = |content| {
            matches!(
                traffic.fleet.verdict(0, end, content),
                Verdict::Quarantined { .. }
            )
        };
        let innocent = (0..200).filter(|content| held(*content)).count();
        expect_that!(innocent, eq(0), "seed {seed}");
        expect_that!(held(POISON), eq(true), "seed {seed}");
    }
}

#[googletest::test]
fn a_session_with_a_poison_request_matches_the_snapshot() {
    let traffic = traffic(1, 1);
    let verdict = traffic.fleet.verdict(0, 600, POISON);
    insta::assert_snapshot!(format!(
        "{}refused innocent: {}\npoison: {verdict:?}\n",
        traffic.log, traffic.refused_innocent
    ));
}
