//! The spread of the configuration in one data centre over real TCP connections, under a manual
//! clock: a control instance, a relay, and followers.

use std::time::Duration;

use mimosa_membership::Identity;
use mimosa_membership::relay::Action;
use mimosa_membership::relay::Event;
use mimosa_membership::relay::Follower;
use mimosa_membership::relay::PeerMessage;
use mimosa_membership::relay::Settings;
use mimosa_protocol::Change;
use mimosa_protocol::Configuration;
use mimosa_protocol::Incarnation;
use mimosa_protocol::Timestamp;
use mimosa_protocol::change::Delta;
use mimosa_protocol::message::ControlMessage;
use mimosa_protocol::message::EntryMessage;
use mimosa_transport::frame;
use serde::Serialize;
use serde::de::DeserializeOwned;
use tokio::net::TcpListener;
use tokio::net::TcpStream;

use crate::measure::runtime;
use crate::sample;
use crate::table::Measure;

const ENTRIES: [usize; 4] = [4, 8, 16, 32];
const ACCOUNTS: usize = 1_000;
const STEP: Duration = Duration::from_millis(100);
const IDLE: Duration = Duration::from_secs(20);
const CHANGES: usize = 20;
const RELAY: usize = 0;

pub(crate) fn measures() -> Vec<Measure> {
    let costs = ENTRIES.map(|entries| (entries, runtime().block_on(cost(entries))));
    let column = |of: fn(&Cost) -> f64| costs.each_ref().map(|(size, cost)| (*size, of(cost)));
    let size = "entries of the data centre";
    vec![
        Measure::new(
            "spread, idle, sent by the relay (B/s)",
            size,
            column(|of| of.relay_idle),
        ),
        Measure::new(
            "spread, idle, sent by a follower (B/s)",
            size,
            column(|of| of.follower_idle),
        ),
        Measure::new(
            "spread, idle, sent by control (B/s)",
            size,
            column(|of| of.control_idle),
        ),
        Measure::new(
            "spread, one change, sent by the relay (B)",
            size,
            column(|of| of.relay_change),
        ),
        Measure::new(
            "spread, one change, sent by control (B)",
            size,
            column(|of| of.control_change),
        ),
        Measure::new(
            "control link without a relay, idle, sent by an entry (B/s)",
            "probes a second",
            [1, 2, 4].map(|probes| (probes, probes as f64 * bytes_of(&in_force()))),
        ),
        Measure::new(
            "control link without a relay, idle, sent to an entry (B/s)",
            "probes a second",
            [1, 2, 4].map(|probes| (probes, probes as f64 * bytes_of(&current()))),
        ),
    ]
}

struct Cost {
    relay_idle: f64,
    follower_idle: f64,
    control_idle: f64,
    relay_change: f64,
    control_change: f64,
}

/// Bytes sent so far.
#[derive(Clone, Copy, Default)]
struct Sent {
    relay: f64,
    followers: f64,
    control: f64,
}

async fn cost(entries: usize) -> Cost {
    let mut spread = Spread::new(entries).await;
    spread.run(Duration::from_secs(5)).await;
    let before = spread.sent;
    spread.run(IDLE).await;
    let idle = spread.sent;
    for _ in 0..CHANGES {
        spread.change().await;
    }
    let changed = spread.sent;
    let newest = spread.configuration.revision;
    assert!(
        spread
            .followers
            .iter()
            .all(|each| each.revision() == newest),
        "every entry has every change"
    );
    let secs = IDLE.as_secs_f64();
    Cost {
        relay_idle: (idle.relay - before.relay) / secs,
        follower_idle: (idle.followers - before.followers) / secs / (entries - 1) as f64,
        control_idle: (idle.control - before.control) / secs,
        relay_change: (changed.relay - idle.relay) / CHANGES as f64,
        control_change: (changed.control - idle.control) / CHANGES as f64,
    }
}

struct Spread {
    now: Timestamp,
    configuration: Configuration,
    followers: Vec<Follower>,
    /// The relay's end first; the control instance's at the place of the relay.
    links: Vec<(TcpStream, TcpStream)>,
    sent: Sent,
}

/// What an entry or the control instance is to be told next.
struct Due {
    to: usize,
    event: Event,
}

impl Spread {
    async fn new(entries: usize) -> Self {
        let mut links = Vec::new();
        for _ in 0..entries {
            links.push(connection().await);
        }
        let follower = |index| {
            let me = Identity {
                instance: sample::instance_id(index),
                incarnation: Incarnation(1_780_000_000_000_000),
            };
            Follower::new(me, sample::data_centre_id(1), Settings::default())
        };
        let mut spread = Self {
            now: Timestamp(1_780_000_000_000_000),
            configuration: sample::configuration(ACCOUNTS, 24, 0),
            followers: (0..entries).map(follower).collect(),
            links,
            sent: Sent::default(),
        };
        for index in 0..entries {
            let relay = Some(sample::instance_id(RELAY));
            spread.feed_all(index, Event::RelayChanged(relay)).await;
        }
        spread
    }

    async fn run(&mut self, time: Duration) {
        let end = self.now + time;
        while self.now < end {
            self.now = self.now + STEP;
            for index in 0..self.followers.len() {
                self.feed_all(index, Event::Tick).await;
            }
        }
    }

    async fn change(&mut self) {
        let delta = Delta {
            revision: self.configuration.revision.next(),
            changes: vec![Change::PutAccount(sample::account(7))],
        };
        self.configuration.apply(&delta);
        let (due, bytes) = self.tell(ControlMessage::Delta(delta)).await;
        self.sent.control += bytes;
        self.feed_all(due.to, due.event).await;
    }

    async fn feed_all(&mut self, to: usize, event: Event) {
        let mut due = vec![Due { to, event }];
        while let Some(Due { to, event }) = due.pop() {
            for action in self.followers[to].handle(self.now, event) {
                due.extend(self.act(to, action).await);
            }
        }
    }

    async fn act(&mut self, from: usize, action: Action) -> Vec<Due> {
        match action {
            Action::OpenControl => vec![Due {
                to: from,
                event: Event::ControlConnected,
            }],
            Action::ToControl(message) => self.ask_control(&message).await,
            Action::ToPeer { to, message } => vec![self.send(from, &to, message).await],
            Action::SendSnapshot { to } => {
                let whole = Box::new(self.configuration.clone());
                vec![self.send(from, &to, PeerMessage::Snapshot(whole)).await]
            }
            _ => Vec::new(),
        }
    }

    async fn ask_control(&mut self, message: &EntryMessage) -> Vec<Due> {
        let (relay, control) = &mut self.links[RELAY];
        let (asked, bytes) = transfer(relay, control, message).await;
        self.sent.relay += bytes;
        let answer = match asked {
            EntryMessage::Hello { .. } => {
                ControlMessage::Snapshot(Box::new(self.configuration.clone()))
            }
            EntryMessage::InForce { probe, .. } => ControlMessage::Current {
                revision: self.configuration.revision,
                probe,
            },
            other => panic!("a follower sends no {other:?}"),
        };
        let (due, bytes) = self.tell(answer).await;
        self.sent.control += bytes;
        vec![due]
    }

    async fn tell(&mut self, message: ControlMessage) -> (Due, f64) {
        let (relay, control) = &mut self.links[RELAY];
        let (message, bytes) = transfer(control, relay, &message).await;
        let event = Event::Control(message);
        (Due { to: RELAY, event }, bytes)
    }

    async fn send(
        &mut self,
        from: usize,
        to: &mimosa_protocol::InstanceId,
        message: PeerMessage,
    ) -> Due {
        let to = (0..self.followers.len()).find(|index| sample::instance_id(*index) == *to);
        let to = to.expect("messages go to entries");
        let (relay, follower) = &mut self.links[from.max(to)];
        let (message, bytes) = if from == RELAY {
            transfer(relay, follower, &message).await
        } else {
            transfer(follower, relay, &message).await
        };
        if from == RELAY {
            self.sent.relay += bytes;
        } else {
            self.sent.followers += bytes;
        }
        let from = sample::instance_id(from);
        let event = Event::Peer { from, message };
        Due { to, event }
    }
}

async fn connection() -> (TcpStream, TcpStream) {
    let listener = TcpListener::bind("127.0.0.1:0").await;
    let listener = listener.expect("loopback has a free port");
    let address = listener.local_addr().expect("the listener is bound");
    let (near, far) = tokio::join!(TcpStream::connect(address), listener.accept());
    let (far, _) = far.expect("loopback connects");
    (near.expect("loopback connects"), far)
}

/// Sends a message over a connection; returns it as received, and the bytes of its frame.
async fn transfer<T: Serialize + DeserializeOwned>(
    from: &mut TcpStream,
    to: &mut TcpStream,
    message: &T,
) -> (T, f64) {
    let (sent, received) = tokio::join!(frame::write(from, message), frame::read(to));
    sent.expect("loopback takes the frame");
    let received = received.expect("loopback brings the frame");
    (received.expect("the connection is open"), bytes_of(message))
}

fn bytes_of(message: &impl Serialize) -> f64 {
    frame::encode(message).expect("a message fits").len() as f64
}

fn in_force() -> EntryMessage {
    EntryMessage::InForce {
        revision: mimosa_protocol::Revision(1_000_000),
        probe: 1_000_000,
    }
}

fn current() -> ControlMessage {
    ControlMessage::Current {
        revision: mimosa_protocol::Revision(1_000_000),
        probe: 1_000_000,
    }
}
