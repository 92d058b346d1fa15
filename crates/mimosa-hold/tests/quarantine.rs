//! Requests that crash endpoints, and innocent ones beside them.

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

/// Entries that gossip after each step, unless they are kept apart.
struct Fleet {
    entries: Vec<Quarantine>,
    points: Vec<u64>,
    requests: u128,
}

impl Fleet {
    fn new(entries: usize) -> Self {
        Self {
            entries: vec![Quarantine::new(QuarantineSettings::default()); entries],
            points: vec![0; entries],
            requests: 0,
        }
    }

    fn start(&mut self, entry: usize, content: u128, to: u64, life: u64) -> RequestId {
        self.requests += 1;
        let request = RequestId(self.requests);
        let fingerprint = fingerprint(content);
        self.entries[entry].started(request, fingerprint, endpoint(to), Incarnation(life));
        request
    }

    fn crash(&mut self, secs: u64, of: u64, life: u64) {
        for entry in &mut self.entries {
            entry.crashed(at(secs), endpoint(of), Incarnation(life));
        }
    }

    fn gossip(&mut self, secs: u64) {
        for from in 0..self.entries.len() {
            let (delta, point) = self.entries[from].delta(self.points[from], 64);
            self.points[from] = point;
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
fn a_poison_request_is_stopped_after_two_crashes_through_different_entries() {
    let memory = QuarantineSettings::default().memory.as_secs();
    let mut fleet = Fleet::new(3);
    fleet.start(0, POISON, 1, 1);
    let beside = fleet.start(1, 5, 1, 1);
    fleet.crash(0, 1, 1);
    fleet.gossip(0);
    expect_that!(fleet.verdict(2, 1, POISON), eq(Verdict::Isolated));
    expect_that!(fleet.verdict(0, 1, 5), eq(Verdict::Isolated));
    let life = |endpoint, life| CrashId {
        endpoint,
        incarnation: Incarnation(life),
    };

    // The caller sends it again through another entry; another caller's request runs beside it.
    fleet.start(2, POISON, 2, 1);
    let bystander = fleet.start(2, 6, 2, 1);
    let with_suspect = fleet.entries[2].fits(at(1), fingerprint(5), &life(endpoint(2), 1));
    expect_that!(with_suspect, eq(false));
    expect_that!(
        fleet.entries[2].fits(at(1), fingerprint(7), &life(endpoint(2), 1)),
        eq(true)
    );
    fleet.crash(2, 2, 1);
    fleet.gossip(2);
    for entry in 0..3 {
        expect_that!(
            fleet.verdict(entry, 3, POISON),
            eq(until(2 + memory)),
            "{entry}"
        );
        expect_that!(fleet.verdict(entry, 3, 6), eq(Verdict::Clear), "{entry}");
    }
    // The one that ran beside the first crash completes elsewhere and is cleared.
    expect_that!(beside, not(eq(bystander)));
    let again = fleet.start(1, 5, 3, 1);
    fleet.entries[1].completed(at(5), again);
    fleet.gossip(5);
    for entry in 0..3 {
        expect_that!(fleet.verdict(entry, 6, 5), eq(Verdict::Clear), "{entry}");
        expect_that!(
            fleet.verdict(entry, 6, POISON),
            eq(until(2 + memory)),
            "{entry}"
        );
    }
    expect_that!(fleet.verdict(0, 2 + memory, POISON), eq(Verdict::Clear));
}

#[googletest::test]
fn one_crash_seen_by_many_entries_counts_once() {
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
fn an_innocent_request_in_two_crashes_is_out_for_a_while_only() {
    let doubt = QuarantineSettings::default().doubt.as_secs();
    let mut fleet = Fleet::new(2);
    for crash in 0..2 {
        fleet.start(0, POISON, crash, 1);
        fleet.start(1, 5, crash, 1);
        fleet.crash(crash, crash, 1);
    }
    fleet.gossip(2);
    for content in [POISON, 5] {
        expect_that!(fleet.verdict(0, 3, content), eq(until(1 + doubt)));
        expect_that!(fleet.verdict(1, 1 + doubt, content), eq(Verdict::Isolated));
    }
    let alone = fleet.start(0, 5, 7, 1);
    fleet.entries[0].completed(at(100), alone);
    fleet.gossip(100);
    expect_that!(fleet.verdict(1, 101, 5), eq(Verdict::Clear));
    // With the other cleared, there is one left to have caused both crashes.
    let memory = QuarantineSettings::default().memory.as_secs();
    expect_that!(fleet.verdict(1, 101, POISON), eq(until(1 + memory)));
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
        let life = Incarnation(content as u64 / 10);
        entry.started(request, fingerprint(content), endpoint(1), life);
        if content % 10 == 9 {
            entry.crashed(at(content as u64), endpoint(1), life);
        }
    }
    expect_that!(entry.len(), le(100));
    let (first, point) = entry.delta(0, 60);
    let (second, _) = entry.delta(point, 60);
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
    let late = now + settings.memory + Duration::from_secs(1);
    forward.expire(late);
    expect_that!(forward.is_empty(), eq(true));
}

/// One poison request, sent again and again through any entry, among innocent ones that complete.
struct Traffic {
    fleet: Fleet,
    random: u64,
    lives: [u64; 6],
    /// Request, entry, content, endpoint, and the step at which it ends.
    running: Vec<(RequestId, usize, u128, u64, u64)>,
    poison_crashes: u64,
    refused: u64,
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
        let life = self.lives[to as usize];
        let place = CrashId {
            endpoint: endpoint(to),
            incarnation: Incarnation(life),
        };
        let quarantine = &self.fleet.entries[entry];
        if !quarantine.fits(at(step), fingerprint(content), &place) {
            self.refused += u64::from(content != POISON);
            return;
        }
        let request = self.fleet.start(entry, content, to, life);
        let lasts = 1 + self.random(4);
        self.running
            .push((request, entry, content, to, step + lasts));
    }

    fn end(&mut self, step: u64) {
        let (due, rest): (Vec<_>, Vec<_>) = self.running.drain(..).partition(|run| run.4 <= step);
        self.running = rest;
        for (request, entry, content, to, _) in due {
            if content != POISON {
                self.fleet.entries[entry].completed(at(step), request);
            } else if self.fleet.entries[entry].is_running(request) {
                self.poison_crashes += 1;
                let beside = self.running.iter().filter(|run| run.3 == to).count();
                self.log
                    .push_str(&format!("{step} {to} crashes, {beside} ran beside\n"));
                self.fleet.crash(step, to, self.lives[to as usize]);
                self.lives[to as usize] += 1;
                self.running.retain(|run| run.3 != to);
            }
        }
    }
}

fn traffic(seed: u64, gossip_every: u64) -> Traffic {
    let mut traffic = Traffic {
        fleet: Fleet::new(3),
        random: seed,
        lives: [1; 6],
        running: Vec::new(),
        poison_crashes: 0,
        refused: 0,
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
fn a_resent_poison_request_is_stopped_and_innocent_ones_come_back() {
    for seed in 0..40 {
        let traffic = traffic(seed, 1 + seed % 3);
        expect_that!(
            traffic.poison_crashes,
            le(8),
            "seed {seed}\n{}",
            traffic.log
        );
        expect_that!(traffic.refused, le(4_800 / 50), "seed {seed}");
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
fn a_session_with_a_poison_request_among_others() {
    let traffic = traffic(1, 1);
    let verdict = traffic.fleet.verdict(0, 600, POISON);
    insta::assert_snapshot!(format!(
        "{}refused innocent: {}\npoison: {verdict:?}\n",
        traffic.log, traffic.refused
    ));
}
