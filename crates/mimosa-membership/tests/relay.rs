//! Distribution of the configuration: a snapshot test of a session, and a property test under
//! packet loss, duplication, reordering, changes of the relay and an isolated control instance.

use std::collections::BTreeMap;
use std::fmt::Write;
use std::time::Duration;

use googletest::prelude::*;
use mimosa_membership::Identity;
use mimosa_membership::relay::Action;
use mimosa_membership::relay::Event;
use mimosa_membership::relay::Follower;
use mimosa_membership::relay::Settings;
use mimosa_protocol::Configuration;
use mimosa_protocol::Incarnation;
use mimosa_protocol::InstanceId;
use mimosa_protocol::Revision;
use mimosa_protocol::Timestamp;
use mimosa_protocol::change::Delta;
use mimosa_protocol::message::ControlMessage;
use mimosa_protocol::message::EntryMessage;
use proptest::prelude::any;
use proptest::prop_oneof;
use proptest::strategy::Just;
use proptest::strategy::Strategy;
use proptest::test_runner::Config;
use proptest::test_runner::RngAlgorithm;
use proptest::test_runner::TestRng;
use proptest::test_runner::TestRunner;

fn id(index: usize) -> InstanceId {
    format!("entry-{}", index + 1).parse().unwrap()
}

fn delta(revision: u64) -> Delta {
    Delta {
        revision: Revision(revision),
        changes: Vec::new(),
    }
}

fn snapshot(revision: u64) -> ControlMessage {
    ControlMessage::Snapshot(Box::new(Configuration {
        revision: Revision(revision),
        ..Configuration::default()
    }))
}

/// Simulated entries, control instances and packets in flight.
struct RelaySimulation {
    now: Timestamp,
    followers: Vec<Follower>,
    in_force: Vec<u64>,
    confirmed: Vec<Option<Timestamp>>,
    links: BTreeMap<usize, Control>,
    newest: u64,
    /// The revision that the isolated control instance answers with.
    isolated_revision: u64,
    in_flight: Vec<(usize, Event)>,
    log: String,
}

#[derive(Clone, Copy, PartialEq)]
enum Control {
    Current,
    Isolated,
}

impl RelaySimulation {
    fn new(size: usize) -> Self {
        let follower = |index| {
            let identity = Identity {
                instance: id(index),
                incarnation: Incarnation(1),
            };
            Follower::new(identity, "harbour".parse().unwrap(), Settings::default())
        };
        Self {
            now: Timestamp::from_secs(100),
            followers: (0..size).map(follower).collect(),
            in_force: vec![0; size],
            confirmed: vec![None; size],
            links: BTreeMap::new(),
            newest: 1,
            isolated_revision: 1,
            in_flight: Vec::new(),
            log: String::new(),
        }
    }

    fn handle(&mut self, index: usize, event: Event) {
        for action in self.followers[index].handle(self.now, event) {
            self.execute(index, action);
        }
    }

    fn execute(&mut self, index: usize, action: Action) {
        let at = self.now.since(Timestamp::from_secs(100)).as_millis();
        writeln!(self.log, "{at:>6} ms {} {action:?}", id(index)).unwrap();
        match action {
            Action::OpenControl | Action::SwitchControl(_) => self.connect(index, Control::Current),
            Action::CloseControl => {
                self.links.remove(&index);
            }
            Action::ToControl(message) => self.answer(index, &message),
            Action::ToPeer { to, message } => {
                let to = (0..self.followers.len())
                    .find(|other| id(*other) == to)
                    .unwrap();
                let from = id(index);
                self.in_flight.push((to, Event::Peer { from, message }));
            }
            Action::SendSnapshot { to } => {
                let revision = Revision(self.in_force[index]);
                let configuration = Box::new(Configuration {
                    revision,
                    ..Configuration::default()
                });
                let message = mimosa_membership::relay::PeerMessage::Snapshot(configuration);
                self.execute(index, Action::ToPeer { to, message });
            }
            Action::Apply(delta) => self.put_in_force(index, delta.revision),
            Action::Replace(snapshot) => self.put_in_force(index, snapshot.revision),
            Action::Confirmed { asked, revision } => {
                assert!(
                    revision.get() >= self.in_force[index],
                    "confirmed by a stale sender"
                );
                self.confirmed[index] = Some(asked);
            }
            Action::Diverged { .. } => {}
        }
    }

    fn put_in_force(&mut self, index: usize, revision: Revision) {
        let previous = std::mem::replace(&mut self.in_force[index], revision.get());
        assert!(
            revision.get() > previous,
            "revision went from {previous} back to {revision}"
        );
    }

    fn connect(&mut self, index: usize, control: Control) {
        self.links.insert(index, control);
        self.in_flight.push((index, Event::ControlConnected));
    }

    fn answer(&mut self, index: usize, message: &EntryMessage) {
        let newest = match self.links.get(&index) {
            Some(Control::Current) => self.newest,
            Some(Control::Isolated) => self.isolated_revision,
            None => return,
        };
        let answer = match message {
            EntryMessage::Hello { .. } => snapshot(newest),
            EntryMessage::InForce { probe, .. } => ControlMessage::Current {
                revision: Revision(newest),
                probe: *probe,
            },
            other => panic!("a follower sends no {other:?}"),
        };
        self.in_flight.push((index, Event::Control(answer)));
    }

    fn commit(&mut self) {
        self.newest += 1;
        let delta = delta(self.newest);
        let linked = self.links.iter().filter(|(_, to)| **to == Control::Current);
        for (index, _) in linked {
            let event = Event::Control(ControlMessage::Delta(delta.clone()));
            self.in_flight.push((*index, event));
        }
    }

    fn deliver_all(&mut self) {
        while !self.in_flight.is_empty() {
            let (to, event) = self.in_flight.remove(0);
            self.handle(to, event);
        }
    }

    fn advance(&mut self, time: Duration) {
        self.now = self.now + time;
        for index in 0..self.followers.len() {
            self.handle(index, Event::Tick);
        }
    }

    fn elect(&mut self, relay: usize) {
        for index in 0..self.followers.len() {
            self.handle(index, Event::RelayChanged(Some(id(relay))));
        }
    }

    fn run_until_settled(&mut self) {
        for _ in 0..8 {
            self.advance(Duration::from_secs(1));
            self.deliver_all();
        }
    }
}

#[test]
fn a_session_with_a_silent_relay_and_a_stale_control_instance_matches_the_snapshot() {
    let mut sim = RelaySimulation::new(3);
    let log_phase = |sim: &mut RelaySimulation, text: &str| writeln!(sim.log, "-- {text}").unwrap();
    log_phase(&mut sim, "entry-1 is the relay; all start empty");
    sim.elect(0);
    sim.deliver_all();
    sim.advance(Duration::from_secs(1));
    sim.deliver_all();
    log_phase(&mut sim, "a change is committed");
    sim.commit();
    sim.deliver_all();
    log_phase(&mut sim, "the relay falls silent");
    for _ in 0..3 {
        sim.advance(Duration::from_secs(1));
        sim.in_flight.retain(|(to, _)| *to != 0);
        sim.deliver_all();
    }
    log_phase(&mut sim, "entry-2 takes over");
    sim.elect(1);
    sim.deliver_all();
    sim.advance(Duration::from_secs(1));
    sim.deliver_all();
    log_phase(&mut sim, "entry-2 reaches an old control instance");
    sim.commit();
    sim.deliver_all();
    sim.links.insert(1, Control::Isolated);
    sim.advance(Duration::from_secs(1));
    sim.deliver_all();
    insta::assert_snapshot!(sim.log);
}

#[derive(Clone, Debug)]
enum Step {
    Commit,
    Advance {
        millis: u64,
    },
    Deliver {
        pick: usize,
        repeat: bool,
    },
    Lose {
        pick: usize,
    },
    Elect {
        who: usize,
    },
    /// Moves the control link of an entry to the isolated control instance, or back.
    Reconnect {
        who: usize,
        isolated: bool,
    },
    /// Sets the revision at which the isolated control instance is cut off.
    Isolate,
}

fn steps() -> impl Strategy<Value = Vec<Step>> {
    let who = 0..3_usize;
    let step = prop_oneof![
        3 => Just(Step::Commit),
        3 => (100_u64..2_000).prop_map(|millis| Step::Advance { millis }),
        12 => (any::<usize>(), any::<bool>())
            .prop_map(|(pick, repeat)| Step::Deliver { pick, repeat }),
        2 => any::<usize>().prop_map(|pick| Step::Lose { pick }),
        1 => who.clone().prop_map(|who| Step::Elect { who }),
        2 => (who, any::<bool>()).prop_map(|(who, isolated)| Step::Reconnect { who, isolated }),
        1 => Just(Step::Isolate),
    ];
    proptest::collection::vec(step, 1..120)
}

fn apply_step(sim: &mut RelaySimulation, step: &Step) {
    match *step {
        Step::Commit => sim.commit(),
        Step::Advance { millis } => sim.advance(Duration::from_millis(millis)),
        Step::Deliver { pick, repeat } if !sim.in_flight.is_empty() => {
            let pick = pick % sim.in_flight.len();
            let (to, event) = sim.in_flight.remove(pick);
            if repeat {
                sim.in_flight.push((to, event.clone()));
            }
            sim.handle(to, event);
        }
        Step::Lose { pick } if !sim.in_flight.is_empty() => {
            let pick = pick % sim.in_flight.len();
            sim.in_flight.remove(pick);
        }
        Step::Deliver { .. } | Step::Lose { .. } => {}
        Step::Elect { who } => sim.elect(who),
        Step::Reconnect { who, isolated } => {
            let to = if isolated {
                Control::Isolated
            } else {
                Control::Current
            };
            sim.connect(who, to);
        }
        Step::Isolate => sim.isolated_revision = sim.newest,
    }
}

#[googletest::test]
fn revisions_only_rise_under_random_faults_and_all_entries_reach_the_newest() {
    let config = Config {
        cases: 500,
        failure_persistence: None,
        ..Config::default()
    };
    let rng = TestRng::deterministic_rng(RngAlgorithm::ChaCha);
    let mut runner = TestRunner::new_with_rng(config, rng);
    let outcome = runner.run(&steps(), |steps| {
        let mut sim = RelaySimulation::new(3);
        sim.elect(0);
        steps.iter().for_each(|step| apply_step(&mut sim, step));
        sim.in_flight.clear();
        sim.links.clear();
        for index in 0..3 {
            sim.handle(index, Event::ControlLost);
            sim.connect(index, Control::Current);
        }
        sim.elect(1);
        sim.run_until_settled();
        let newest = sim.newest;
        assert_eq!(
            sim.in_force, [newest; 3],
            "not all entries reach the newest revision"
        );
        let oldest = sim.confirmed.iter().min().copied().flatten();
        let age = oldest.map(|asked| sim.now.since(asked));
        assert!(
            age.is_some_and(|age| age <= Duration::from_secs(3)),
            "age of the oldest confirmation: {age:?}"
        );
        Ok(())
    });
    expect_that!(outcome, ok(eq(&())));
}
