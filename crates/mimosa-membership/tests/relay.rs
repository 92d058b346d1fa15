//! The spread of the configuration: a golden session, and revisions under loss, repetition,
//! reordering, changes of the relay and an old control instance.

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

/// Entries, the newest revision at control, and the packets under way.
struct Spread {
    now: Timestamp,
    followers: Vec<Follower>,
    in_force: Vec<u64>,
    confirmed: Vec<Option<Timestamp>>,
    links: BTreeMap<usize, Control>,
    newest: u64,
    /// What an isolated control instance still answers.
    old: u64,
    under_way: Vec<(usize, Event)>,
    log: String,
}

#[derive(Clone, Copy, PartialEq)]
enum Control {
    Current,
    Old,
}

impl Spread {
    fn new(size: usize) -> Self {
        let follower = |index| {
            let me = Identity {
                instance: id(index),
                incarnation: Incarnation(1),
            };
            Follower::new(me, "harbour".parse().unwrap(), Settings::default())
        };
        Self {
            now: Timestamp::from_secs(100),
            followers: (0..size).map(follower).collect(),
            in_force: vec![0; size],
            confirmed: vec![None; size],
            links: BTreeMap::new(),
            newest: 1,
            old: 1,
            under_way: Vec::new(),
            log: String::new(),
        }
    }

    fn feed(&mut self, index: usize, event: Event) {
        for action in self.followers[index].handle(self.now, event) {
            self.act(index, action);
        }
    }

    fn act(&mut self, index: usize, action: Action) {
        let at = self.now.since(Timestamp::from_secs(100)).as_millis();
        writeln!(self.log, "{at:>6} ms {} {action:?}", id(index)).unwrap();
        match action {
            Action::OpenControl | Action::ChangeControl(_) => self.connect(index, Control::Current),
            Action::CloseControl => {
                self.links.remove(&index);
            }
            Action::ToControl(message) => self.answer(index, &message),
            Action::ToPeer { to, message } => {
                let to = (0..self.followers.len())
                    .find(|other| id(*other) == to)
                    .unwrap();
                let from = id(index);
                self.under_way.push((to, Event::Peer { from, message }));
            }
            Action::SendSnapshot { to } => {
                let revision = Revision(self.in_force[index]);
                let configuration = Box::new(Configuration {
                    revision,
                    ..Configuration::default()
                });
                let message = mimosa_membership::relay::PeerMessage::Snapshot(configuration);
                self.act(index, Action::ToPeer { to, message });
            }
            Action::Apply(delta) => self.put_in_force(index, delta.revision),
            Action::Replace(whole) => self.put_in_force(index, whole.revision),
            Action::Confirmed { asked, revision } => {
                assert!(
                    revision.get() >= self.in_force[index],
                    "confirmed by an old sender"
                );
                self.confirmed[index] = Some(asked);
            }
            Action::Diverged { .. } => {}
        }
    }

    fn put_in_force(&mut self, index: usize, revision: Revision) {
        let old = std::mem::replace(&mut self.in_force[index], revision.get());
        assert!(revision.get() > old, "went from {old} back to {revision}");
    }

    fn connect(&mut self, index: usize, control: Control) {
        self.links.insert(index, control);
        self.under_way.push((index, Event::ControlConnected));
    }

    fn answer(&mut self, index: usize, message: &EntryMessage) {
        let newest = match self.links.get(&index) {
            Some(Control::Current) => self.newest,
            Some(Control::Old) => self.old,
            None => return,
        };
        let answer = match message {
            EntryMessage::Hello { .. } => snapshot(newest),
            EntryMessage::InForce { probe, .. } => ControlMessage::Current {
                revision: Revision(newest),
                probe: *probe,
            },
            other => panic!("not for this session: {other:?}"),
        };
        self.under_way.push((index, Event::Control(answer)));
    }

    fn commit(&mut self) {
        self.newest += 1;
        let delta = delta(self.newest);
        let linked = self.links.iter().filter(|(_, to)| **to == Control::Current);
        for (index, _) in linked {
            let event = Event::Control(ControlMessage::Delta(delta.clone()));
            self.under_way.push((*index, event));
        }
    }

    fn deliver_all(&mut self) {
        while !self.under_way.is_empty() {
            let (to, event) = self.under_way.remove(0);
            self.feed(to, event);
        }
    }

    fn pass(&mut self, time: Duration) {
        self.now = self.now + time;
        for index in 0..self.followers.len() {
            self.feed(index, Event::Tick);
        }
    }

    fn elect(&mut self, relay: usize) {
        for index in 0..self.followers.len() {
            self.feed(index, Event::RelayChanged(Some(id(relay))));
        }
    }

    fn settle(&mut self) {
        for _ in 0..8 {
            self.pass(Duration::from_secs(1));
            self.deliver_all();
        }
    }
}

#[test]
fn a_session_of_three_entries() {
    let mut spread = Spread::new(3);
    let say = |spread: &mut Spread, text: &str| writeln!(spread.log, "-- {text}").unwrap();
    say(&mut spread, "entry-1 is the relay; all start empty");
    spread.elect(0);
    spread.deliver_all();
    spread.pass(Duration::from_secs(1));
    spread.deliver_all();
    say(&mut spread, "a change is committed");
    spread.commit();
    spread.deliver_all();
    say(&mut spread, "the relay falls silent");
    for _ in 0..3 {
        spread.pass(Duration::from_secs(1));
        spread.under_way.retain(|(to, _)| *to != 0);
        spread.deliver_all();
    }
    say(&mut spread, "entry-2 takes over");
    spread.elect(1);
    spread.deliver_all();
    spread.pass(Duration::from_secs(1));
    spread.deliver_all();
    say(&mut spread, "entry-2 reaches an old control instance");
    spread.commit();
    spread.deliver_all();
    spread.links.insert(1, Control::Old);
    spread.pass(Duration::from_secs(1));
    spread.deliver_all();
    insta::assert_snapshot!(spread.log);
}

#[derive(Clone, Debug)]
enum Step {
    Commit,
    Pass {
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
    /// The control link of an entry moves to an isolated old control instance, or back.
    Reconnect {
        who: usize,
        old: bool,
    },
    /// The isolated instance is cut off here.
    Isolate,
}

fn steps() -> impl Strategy<Value = Vec<Step>> {
    let who = 0..3_usize;
    let step = prop_oneof![
        3 => Just(Step::Commit),
        3 => (100_u64..2_000).prop_map(|millis| Step::Pass { millis }),
        12 => (any::<usize>(), any::<bool>())
            .prop_map(|(pick, repeat)| Step::Deliver { pick, repeat }),
        2 => any::<usize>().prop_map(|pick| Step::Lose { pick }),
        1 => who.clone().prop_map(|who| Step::Elect { who }),
        2 => (who, any::<bool>()).prop_map(|(who, old)| Step::Reconnect { who, old }),
        1 => Just(Step::Isolate),
    ];
    proptest::collection::vec(step, 1..120)
}

fn take(spread: &mut Spread, step: &Step) {
    match *step {
        Step::Commit => spread.commit(),
        Step::Pass { millis } => spread.pass(Duration::from_millis(millis)),
        Step::Deliver { pick, repeat } if !spread.under_way.is_empty() => {
            let pick = pick % spread.under_way.len();
            let (to, event) = spread.under_way.remove(pick);
            if repeat {
                spread.under_way.push((to, event.clone()));
            }
            spread.feed(to, event);
        }
        Step::Lose { pick } if !spread.under_way.is_empty() => {
            let pick = pick % spread.under_way.len();
            spread.under_way.remove(pick);
        }
        Step::Deliver { .. } | Step::Lose { .. } => {}
        Step::Elect { who } => spread.elect(who),
        Step::Reconnect { who, old } => {
            let to = if old { Control::Old } else { Control::Current };
            spread.connect(who, to);
        }
        Step::Isolate => spread.old = spread.newest,
    }
}

#[googletest::test]
fn revisions_only_rise_and_all_entries_reach_the_newest() {
    let config = Config {
        cases: 500,
        failure_persistence: None,
        ..Config::default()
    };
    let rng = TestRng::deterministic_rng(RngAlgorithm::ChaCha);
    let mut runner = TestRunner::new_with_rng(config, rng);
    let verdict = runner.run(&steps(), |steps| {
        let mut spread = Spread::new(3);
        spread.elect(0);
        steps.iter().for_each(|step| take(&mut spread, step));
        spread.under_way.clear();
        spread.links.clear();
        for index in 0..3 {
            spread.feed(index, Event::ControlLost);
            spread.connect(index, Control::Current);
        }
        spread.elect(1);
        spread.settle();
        let newest = spread.newest;
        assert_eq!(spread.in_force, [newest; 3], "not all reach the newest");
        let oldest = spread.confirmed.iter().min().copied().flatten();
        let age = oldest.map(|asked| spread.now.since(asked));
        assert!(
            age.is_some_and(|age| age <= Duration::from_secs(3)),
            "not fresh: {age:?}"
        );
        Ok(())
    });
    expect_that!(verdict, ok(eq(&())));
}
