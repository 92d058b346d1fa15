//! Distribution of the configuration within one data centre, from a control instance over a relay
//! to the followers, over real TCP connections and with a simulated clock.

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
const CLOCK_STEP: Duration = Duration::from_millis(100);
const IDLE_DURATION: Duration = Duration::from_secs(20);
const CHANGE_COUNT: usize = 20;
const RELAY_INDEX: usize = 0;

pub(crate) fn measures() -> Vec<Measure> {
    let costs = ENTRIES.map(|entries| (entries, runtime().block_on(cost(entries))));
    let column =
        |value: fn(&Cost) -> f64| costs.each_ref().map(|(size, cost)| (*size, value(cost)));
    let size = "entries of the data centre";
    vec![
        Measure::new(
            "spread, idle, sent by the relay (B/s)",
            size,
            column(|cost| cost.relay_idle),
        ),
        Measure::new(
            "spread, idle, sent by a follower (B/s)",
            size,
            column(|cost| cost.follower_idle),
        ),
        Measure::new(
            "spread, idle, sent by control (B/s)",
            size,
            column(|cost| cost.control_idle),
        ),
        Measure::new(
            "spread, one change, sent by the relay (B)",
            size,
            column(|cost| cost.relay_change),
        ),
        Measure::new(
            "spread, one change, sent by control (B)",
            size,
            column(|cost| cost.control_change),
        ),
        Measure::new(
            "control link without a relay, idle, sent by an entry (B/s)",
            "probes a second",
            [1, 2, 4].map(|probes| (probes, probes as f64 * frame_bytes(&in_force_message()))),
        ),
        Measure::new(
            "control link without a relay, idle, sent to an entry (B/s)",
            "probes a second",
            [1, 2, 4].map(|probes| (probes, probes as f64 * frame_bytes(&current_message()))),
        ),
    ]
}

/// Sent bytes: per second while idle, and per change.
struct Cost {
    relay_idle: f64,
    follower_idle: f64,
    control_idle: f64,
    relay_change: f64,
    control_change: f64,
}

/// Bytes sent so far, by sender.
#[derive(Clone, Copy, Default)]
struct SentBytes {
    relay: f64,
    followers: f64,
    control: f64,
}

/// Runs a data centre for [`IDLE_DURATION`] and then applies [`CHANGE_COUNT`] changes.
async fn cost(entries: usize) -> Cost {
    let mut cluster = Cluster::new(entries).await;
    cluster.advance(Duration::from_secs(5)).await;
    let before = cluster.sent_bytes;
    cluster.advance(IDLE_DURATION).await;
    let idle = cluster.sent_bytes;
    for _ in 0..CHANGE_COUNT {
        cluster.apply_change().await;
    }
    let changed = cluster.sent_bytes;
    let newest = cluster.configuration.revision;
    assert!(
        cluster
            .followers
            .iter()
            .all(|each| each.revision() == newest),
        "every entry has every change"
    );
    let secs = IDLE_DURATION.as_secs_f64();
    Cost {
        relay_idle: (idle.relay - before.relay) / secs,
        follower_idle: (idle.followers - before.followers) / secs / (entries - 1) as f64,
        control_idle: (idle.control - before.control) / secs,
        relay_change: (changed.relay - idle.relay) / CHANGE_COUNT as f64,
        control_change: (changed.control - idle.control) / CHANGE_COUNT as f64,
    }
}

struct Cluster {
    now: Timestamp,
    configuration: Configuration,
    followers: Vec<Follower>,
    /// One connection per entry, the relay's end first. The one at `RELAY_INDEX` leads to the
    /// control instance.
    links: Vec<(TcpStream, TcpStream)>,
    sent_bytes: SentBytes,
}

/// An event to be handled by an entry.
struct PendingEvent {
    to: usize,
    event: Event,
}

impl Cluster {
    async fn new(entries: usize) -> Self {
        let mut links = Vec::new();
        for _ in 0..entries {
            links.push(connection().await);
        }
        let follower = |index| {
            let identity = Identity {
                instance: sample::instance_id(index),
                incarnation: Incarnation(1_780_000_000_000_000),
            };
            Follower::new(identity, sample::data_centre_id(1), Settings::default())
        };
        let mut cluster = Self {
            now: Timestamp(1_780_000_000_000_000),
            configuration: sample::configuration(ACCOUNTS, 24, 0),
            followers: (0..entries).map(follower).collect(),
            links,
            sent_bytes: SentBytes::default(),
        };
        for index in 0..entries {
            let relay = Some(sample::instance_id(RELAY_INDEX));
            cluster
                .handle_event(index, Event::RelayChanged(relay))
                .await;
        }
        cluster
    }

    async fn advance(&mut self, time: Duration) {
        let end = self.now + time;
        while self.now < end {
            self.now = self.now + CLOCK_STEP;
            for index in 0..self.followers.len() {
                self.handle_event(index, Event::Tick).await;
            }
        }
    }

    async fn apply_change(&mut self) {
        let delta = Delta {
            revision: self.configuration.revision.next(),
            changes: vec![Change::PutAccount(sample::account(7))],
        };
        self.configuration.apply(&delta);
        let (pending, bytes) = self.send_from_control(ControlMessage::Delta(delta)).await;
        self.sent_bytes.control += bytes;
        self.handle_event(pending.to, pending.event).await;
    }

    async fn handle_event(&mut self, to: usize, event: Event) {
        let mut pending = vec![PendingEvent { to, event }];
        while let Some(PendingEvent { to, event }) = pending.pop() {
            for action in self.followers[to].handle(self.now, event) {
                pending.extend(self.execute(to, action).await);
            }
        }
    }

    async fn execute(&mut self, from: usize, action: Action) -> Vec<PendingEvent> {
        match action {
            Action::OpenControl => vec![PendingEvent {
                to: from,
                event: Event::ControlConnected,
            }],
            Action::ToControl(message) => self.send_to_control(&message).await,
            Action::ToPeer { to, message } => vec![self.send(from, &to, message).await],
            Action::SendSnapshot { to } => {
                let configuration = Box::new(self.configuration.clone());
                vec![
                    self.send(from, &to, PeerMessage::Snapshot(configuration))
                        .await,
                ]
            }
            _ => Vec::new(),
        }
    }

    async fn send_to_control(&mut self, message: &EntryMessage) -> Vec<PendingEvent> {
        let (relay, control) = &mut self.links[RELAY_INDEX];
        let (received, bytes) = transfer(relay, control, message).await;
        self.sent_bytes.relay += bytes;
        let response = match received {
            EntryMessage::Hello { .. } => {
                ControlMessage::Snapshot(Box::new(self.configuration.clone()))
            }
            EntryMessage::InForce { probe, .. } => ControlMessage::Current {
                revision: self.configuration.revision,
                probe,
            },
            other => panic!("unexpected message from a follower: {other:?}"),
        };
        let (pending, bytes) = self.send_from_control(response).await;
        self.sent_bytes.control += bytes;
        vec![pending]
    }

    async fn send_from_control(&mut self, message: ControlMessage) -> (PendingEvent, f64) {
        let (relay, control) = &mut self.links[RELAY_INDEX];
        let (message, bytes) = transfer(control, relay, &message).await;
        let event = Event::Control(message);
        (
            PendingEvent {
                to: RELAY_INDEX,
                event,
            },
            bytes,
        )
    }

    async fn send(
        &mut self,
        from: usize,
        to: &mimosa_protocol::InstanceId,
        message: PeerMessage,
    ) -> PendingEvent {
        let to = (0..self.followers.len()).find(|index| sample::instance_id(*index) == *to);
        let to = to.expect("messages go to entries");
        let (relay, follower) = &mut self.links[from.max(to)];
        let (message, bytes) = if from == RELAY_INDEX {
            transfer(relay, follower, &message).await
        } else {
            transfer(follower, relay, &message).await
        };
        if from == RELAY_INDEX {
            self.sent_bytes.relay += bytes;
        } else {
            self.sent_bytes.followers += bytes;
        }
        let from = sample::instance_id(from);
        let event = Event::Peer { from, message };
        PendingEvent { to, event }
    }
}

async fn connection() -> (TcpStream, TcpStream) {
    let listener = TcpListener::bind("127.0.0.1:0").await;
    let listener = listener.expect("loopback has a free port");
    let address = listener.local_addr().expect("the listener is bound");
    let (client, server) = tokio::join!(TcpStream::connect(address), listener.accept());
    let (server, _) = server.expect("loopback connects");
    (client.expect("loopback connects"), server)
}

/// Sends a message over a connection. Returns the received message and the size of its frame.
async fn transfer<T: Serialize + DeserializeOwned>(
    from: &mut TcpStream,
    to: &mut TcpStream,
    message: &T,
) -> (T, f64) {
    let (sent, received) = tokio::join!(frame::write(from, message), frame::read(to));
    sent.expect("loopback accepts the frame");
    let received = received.expect("loopback delivers the frame");
    (
        received.expect("the connection is open"),
        frame_bytes(message),
    )
}

/// Size of an encoded message with its frame, in bytes.
fn frame_bytes(message: &impl Serialize) -> f64 {
    frame::encode(message).expect("a message fits").len() as f64
}

fn in_force_message() -> EntryMessage {
    EntryMessage::InForce {
        revision: mimosa_protocol::Revision(1_000_000),
        probe: 1_000_000,
    }
}

fn current_message() -> ControlMessage {
    ControlMessage::Current {
        revision: mimosa_protocol::Revision(1_000_000),
        probe: 1_000_000,
    }
}
