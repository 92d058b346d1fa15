//! An owner, monitors and endpoints with a manual clock and a seeded network between them.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::time::Duration;

use googletest::prelude::*;
use mimosa_hold::attempt::AttemptNumber;
use mimosa_hold::hold::HoldId;
use mimosa_hold::hold::HoldSettings;
use mimosa_hold::monitor;
use mimosa_hold::monitor::HoldMonitor;
use mimosa_hold::owner;
use mimosa_hold::owner::HoldOwner;
use mimosa_protocol::Incarnation;
use mimosa_protocol::InstanceId;
use mimosa_protocol::RequestId;
use mimosa_protocol::Timestamp;

const STEP: Duration = Duration::from_millis(10);
const MEMBERSHIP: Duration = Duration::from_secs(1);

fn instance(id: &str) -> InstanceId {
    id.parse().expect("a name")
}

fn hold(request: u128, endpoint: &str) -> HoldId {
    HoldId {
        request: RequestId(request),
        attempt: AttemptNumber(1),
        endpoint: endpoint.parse().expect("a name"),
    }
}

#[derive(Clone, Debug)]
enum Message {
    Monitor(InstanceId, monitor::Event),
    Owner(owner::Event),
    Endpoint(HoldId),
}

struct Peer {
    monitor: HoldMonitor,
    member_until: Timestamp,
    reachable: bool,
}

/// One owner, two monitors, and the holds at the endpoints.
struct Simulation {
    now: Timestamp,
    owner: Option<HoldOwner>,
    peers: BTreeMap<InstanceId, Peer>,
    held: BTreeMap<HoldId, Timestamp>,
    released: BTreeSet<HoldId>,
    lost: BTreeSet<HoldId>,
    /// Cancellations of holds that the owner could still use.
    wrongly_cancelled: Vec<HoldId>,
    messages: BTreeMap<(Timestamp, u64), Message>,
    sequence: u64,
    random: u64,
    fault_permille: u64,
    log: String,
}

impl Simulation {
    fn new(seed: u64, fault_permille: u64) -> Self {
        let settings = HoldSettings::default();
        let now = Timestamp::from_secs(10);
        let peer = |id: &str| {
            let monitor = HoldMonitor::new(settings, instance(id), Incarnation(1));
            let reachable = true;
            let member_until = now;
            (
                instance(id),
                Peer {
                    monitor,
                    member_until,
                    reachable,
                },
            )
        };
        let mut sim = Self {
            now,
            owner: Some(HoldOwner::new(settings, instance("owner"), Incarnation(1))),
            peers: [peer("a"), peer("b")].into(),
            held: BTreeMap::new(),
            released: BTreeSet::new(),
            lost: BTreeSet::new(),
            wrongly_cancelled: Vec::new(),
            messages: BTreeMap::new(),
            sequence: 0,
            random: seed,
            fault_permille,
            log: String::new(),
        };
        sim.owner(owner::Event::MonitorAssigned(Some(instance("a"))));
        sim
    }

    fn random(&mut self) -> u64 {
        self.random = self
            .random
            .wrapping_mul(6_364_136_223_846_793_005)
            .wrapping_add(1_442_695);
        self.random >> 33
    }

    fn record(&mut self, text: &str) {
        self.log.push_str(&format!("{} {text}\n", self.now));
    }

    fn send(&mut self, message: Message) {
        let copies = match self.random() % 1_000 {
            value if value < self.fault_permille => 0,
            value if value < 2 * self.fault_permille => 2,
            _ => 1,
        };
        for _ in 0..copies {
            let span = if self.fault_permille > 0 { 150 } else { 2 };
            let delay = Duration::from_millis(1 + self.random() % span);
            self.sequence += 1;
            self.messages
                .insert((self.now + delay, self.sequence), message.clone());
        }
    }

    fn owner(&mut self, event: owner::Event) {
        let Some(owner) = &mut self.owner else { return };
        for action in owner.handle(self.now, event) {
            match action {
                owner::Action::Dispatch(hold) => {
                    self.record(&format!("dispatch {} to {}", hold.request.0, hold.endpoint));
                    self.held.insert(hold, self.now);
                }
                owner::Action::Send(monitor, report) => {
                    self.send(Message::Monitor(monitor, monitor::Event::Report(report)));
                }
                owner::Action::Lost { hold, dispatched } => {
                    let request = hold.request.0;
                    self.record(&format!(
                        "lost {request} at {}, {dispatched}",
                        hold.endpoint
                    ));
                    self.lost.insert(hold);
                }
            }
        }
    }

    fn release(&mut self, hold: &HoldId) {
        self.held.remove(hold);
        self.released.insert(hold.clone());
        self.owner(owner::Event::Release(hold.clone()));
    }

    fn monitor(&mut self, id: &InstanceId, event: monitor::Event) {
        let Some(peer) = self.peers.get_mut(id) else {
            return;
        };
        for action in peer.monitor.handle(self.now, event) {
            match action {
                monitor::Action::Ack(_, ack) => {
                    self.send(Message::Owner(owner::Event::Ack(ack)));
                }
                monitor::Action::Cancel(hold) => self.cancel(id, hold),
            }
        }
    }

    fn cancel(&mut self, by: &InstanceId, hold: HoldId) {
        let live = self
            .owner
            .as_ref()
            .is_some_and(|owner| owner.may_continue(self.now, hold.request));
        if live && !self.released.contains(&hold) {
            self.wrongly_cancelled.push(hold.clone());
        }
        self.record(&format!(
            "{by} cancels {} at {}",
            hold.request.0, hold.endpoint
        ));
        self.send(Message::Endpoint(hold));
    }

    fn run(&mut self, millis: u64) {
        let end = self.now + Duration::from_millis(millis);
        while self.now < end {
            self.now = self.now + STEP;
            while let Some(entry) = self.messages.first_entry() {
                if entry.key().0 > self.now {
                    break;
                }
                let message = entry.remove();
                self.deliver(message);
            }
            self.owner(owner::Event::Tick);
            self.cancel_lost();
            let ids: Vec<InstanceId> = self.peers.keys().cloned().collect();
            for id in ids {
                self.renew_membership(&id);
                self.monitor(&id, monitor::Event::Tick);
            }
        }
    }

    /// Repeats the owner's cancellation of lost holds until the endpoints confirm it.
    fn cancel_lost(&mut self) {
        if self.owner.is_some() {
            let lost: Vec<HoldId> = self.lost.difference(&self.released).cloned().collect();
            for hold in lost {
                self.send(Message::Endpoint(hold));
            }
        }
    }

    /// Renews the membership of reachable peers. The owner learns that a peer is gone when its
    /// membership has expired.
    fn renew_membership(&mut self, id: &InstanceId) {
        let now = self.now;
        let Some(peer) = self.peers.get_mut(id) else {
            return;
        };
        let over = peer.member_until <= now;
        if peer.reachable {
            peer.member_until = now + MEMBERSHIP;
            self.monitor(id, monitor::Event::MemberUntil(now + MEMBERSHIP));
        } else if over {
            self.owner(owner::Event::Gone(id.clone()));
            let other = if id.as_str() == "a" { "b" } else { "a" };
            self.owner(owner::Event::MonitorAssigned(Some(instance(other))));
        }
    }

    fn deliver(&mut self, message: Message) {
        match message {
            Message::Monitor(id, event) => {
                if self.peers.get(&id).is_some_and(|peer| peer.reachable) {
                    self.monitor(&id, event);
                }
            }
            Message::Owner(event) => self.owner(event),
            Message::Endpoint(hold) => {
                self.held.remove(&hold);
                if self.lost.contains(&hold) && self.owner.is_some() {
                    self.release(&hold);
                }
                for id in [instance("a"), instance("b")] {
                    self.monitor(&id, monitor::Event::Cancelled(hold.clone()));
                }
            }
        }
    }
}

/// The holds of a request in each stage: queued, prefilling, transferring, decoding, relaying.
const STAGES: [&[&str]; 5] = [
    &[],
    &["decode-1", "prefill-1"],
    &["decode-1", "link-1", "prefill-1"],
    &["decode-1"],
    &["decode-1"],
];

#[googletest::test]
fn holds_of_an_owner_killed_at_any_stage_are_all_cancelled_once() {
    let bound = HoldSettings::default().max_cancel_delay();
    for (stage, _) in STAGES.iter().enumerate() {
        let mut sim = Simulation::new(stage as u64, 0);
        for (at, wanted) in STAGES.iter().enumerate().take(stage + 1) {
            let had: Vec<HoldId> = sim.held.keys().cloned().collect();
            for hold in had {
                if !wanted.contains(&hold.endpoint.as_str()) {
                    sim.release(&hold);
                }
            }
            for endpoint in *wanted {
                sim.owner(owner::Event::Place(hold(1, endpoint)));
            }
            sim.run(30);
            expect_that!(sim.held.len(), eq(wanted.len()), "stage {at}");
        }
        sim.owner = None;
        sim.run(bound.as_millis() as u64 + 100);
        expect_that!(sim.held, is_empty(), "killed at stage {stage}");
        let cancelled = sim
            .log
            .lines()
            .filter(|line| line.contains("cancels"))
            .count();
        expect_that!(cancelled, eq(STAGES[stage].len()), "stage {stage}");
    }
}

#[googletest::test]
fn a_suspended_owner_learns_that_its_holds_are_lost_before_it_continues() {
    let mut sim = Simulation::new(1, 0);
    sim.owner(owner::Event::Place(hold(1, "decode-1")));
    sim.run(100);
    let suspended = sim.owner.take();
    sim.run(3_000);
    expect_that!(sim.held, is_empty());
    sim.owner = suspended;
    let owner = sim.owner.as_ref().expect("the owner");
    expect_that!(owner.may_continue(sim.now, RequestId(1)), eq(false));
    sim.owner(owner::Event::Place(hold(2, "decode-1")));
    sim.run(200);
    expect_that!(sim.lost, elements_are![eq(&hold(1, "decode-1"))]);
    expect_that!(
        sim.held.keys().collect::<Vec<_>>(),
        elements_are![eq(&&hold(2, "decode-1"))]
    );
    expect_that!(sim.wrongly_cancelled, is_empty());
}

#[googletest::test]
fn a_new_incarnation_of_the_owner_releases_the_holds_of_the_old_one_at_once() {
    let mut sim = Simulation::new(1, 0);
    sim.owner(owner::Event::Place(hold(1, "decode-1")));
    sim.run(100);
    let settings = HoldSettings::default();
    sim.owner = Some(HoldOwner::new(settings, instance("owner"), Incarnation(2)));
    sim.owner(owner::Event::MonitorAssigned(Some(instance("a"))));
    sim.owner(owner::Event::Place(hold(2, "decode-1")));
    sim.run(50);
    expect_that!(
        sim.held.keys().collect::<Vec<_>>(),
        elements_are![eq(&&hold(2, "decode-1"))]
    );
}

#[googletest::test]
fn an_old_copy_of_a_report_is_ignored_by_the_monitor() {
    let settings = HoldSettings::default();
    let now = Timestamp::from_secs;
    let mut owner = HoldOwner::new(settings, instance("owner"), Incarnation(1));
    let mut monitor = HoldMonitor::new(settings, instance("a"), Incarnation(1));
    monitor.handle(now(1), monitor::Event::MemberUntil(now(2)));
    owner.handle(now(1), owner::Event::MonitorAssigned(Some(instance("a"))));
    owner.handle(now(1), owner::Event::Place(hold(1, "decode-1")));
    let mut copies = Vec::new();
    for _ in 0..2 {
        for action in owner.handle(now(1), owner::Event::Tick) {
            let owner::Action::Send(_, report) = action else {
                continue;
            };
            copies.push(report.clone());
            for action in monitor.handle(now(1), monitor::Event::Report(report)) {
                let monitor::Action::Ack(_, ack) = action else {
                    continue;
                };
                owner.handle(now(1), owner::Event::Ack(ack));
            }
        }
    }
    expect_that!(monitor.len(), eq(1));
    // The monitor was not a member for a while; its owners have continued with another one.
    monitor.handle(now(3), monitor::Event::MemberUntil(now(100)));
    for report in copies {
        monitor.handle(now(3), monitor::Event::Report(report));
    }
    expect_that!(monitor.len(), eq(0));
    expect_that!(monitor.handle(now(10), monitor::Event::Tick), is_empty());
}

#[googletest::test]
fn a_lost_hold_stays_registered_until_it_is_released() {
    let mut sim = Simulation::new(1, 0);
    sim.owner(owner::Event::Place(hold(1, "decode-1")));
    sim.run(100);
    // The monitor is unreachable but remains a member. Another one is assigned too late for the
    // owner to keep its holds, and the owner is killed before it can cancel them.
    let unreachable = sim.peers.remove(&instance("a"));
    expect_that!(unreachable.is_some(), eq(true));
    sim.run(1_500);
    sim.owner(owner::Event::MonitorAssigned(Some(instance("b"))));
    sim.run(50);
    sim.now = sim.now + Duration::from_millis(500);
    sim.owner(owner::Event::Tick);
    expect_that!(sim.lost, elements_are![eq(&hold(1, "decode-1"))]);
    expect_that!(sim.held.len(), eq(1));
    sim.owner = None;
    sim.run(HoldSettings::default().max_cancel_delay().as_millis() as u64 + 100);
    expect_that!(sim.held, is_empty());
}

#[googletest::test]
fn no_hold_remains_and_no_usable_one_is_cancelled_under_random_faults() {
    for seed in 0..150 {
        let mut sim = Simulation::new(seed, [0, 50, 250][seed as usize % 3]);
        let mut next = 0;
        for _ in 0..60 {
            let millis = 20 + sim.random() % 150;
            sim.run(millis);
            match sim.random() % 14 {
                0..=6 => {
                    next += 1;
                    let endpoint = format!("decode-{}", sim.random() % 3);
                    sim.owner(owner::Event::Place(hold(next, &endpoint)));
                }
                7..=9 => {
                    let first = sim.held.keys().next().cloned();
                    first.iter().for_each(|hold| sim.release(hold));
                }
                10 => sim
                    .peers
                    .values_mut()
                    .for_each(|peer| peer.reachable = true),
                11 => {
                    let id = instance(["a", "b"][sim.random() as usize % 2]);
                    let others = sim.peers.values().filter(|peer| peer.reachable).count();
                    if others == 2 {
                        sim.peers.get_mut(&id).expect("a peer").reachable = false;
                    }
                }
                12 => {
                    let id = instance(["a", "b"][sim.random() as usize % 2]);
                    sim.owner(owner::Event::MonitorAssigned(Some(id)));
                }
                _ => sim.run(300),
            }
        }
        sim.peers
            .values_mut()
            .for_each(|peer| peer.reachable = true);
        expect_that!(next, gt(10), "seed {seed}");
        sim.run(4_000);
        sim.owner = None;
        sim.run(4_000);
        expect_that!(sim.wrongly_cancelled, is_empty(), "seed {seed}");
        expect_that!(sim.held, is_empty(), "seed {seed}\n{}", sim.log);
    }
}

#[googletest::test]
fn a_session_with_a_failed_monitor_and_then_a_failed_owner_matches_the_snapshot() {
    let mut sim = Simulation::new(1, 0);
    sim.owner(owner::Event::Place(hold(1, "prefill-1")));
    sim.owner(owner::Event::Place(hold(1, "decode-1")));
    sim.run(50);
    sim.release(&hold(1, "prefill-1"));
    sim.peers.get_mut(&instance("a")).expect("a peer").reachable = false;
    sim.run(1_500);
    sim.owner(owner::Event::Place(hold(2, "decode-2")));
    sim.run(500);
    sim.record("the owner is killed");
    sim.owner = None;
    sim.run(3_000);
    expect_that!(sim.held, is_empty());
    insta::assert_snapshot!(sim.log);
}
