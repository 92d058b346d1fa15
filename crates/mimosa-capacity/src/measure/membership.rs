//! Heartbeats within one data centre, over real UDP sockets, with a simulated clock.

use std::collections::BTreeMap;
use std::hint::black_box;
use std::net::SocketAddr;
use std::time::Duration;

use mimosa_membership::Action;
use mimosa_membership::Event;
use mimosa_membership::Identity;
use mimosa_membership::Membership;
use mimosa_membership::Role;
use mimosa_membership::Settings;
use mimosa_membership::message::Message;
use mimosa_membership::peers::ListedInstance;
use mimosa_membership::peers::PlatformList;
use mimosa_protocol::Incarnation;
use mimosa_protocol::Timestamp;
use mimosa_transport::datagram::ClusterTag;
use mimosa_transport::datagram::Received;
use mimosa_transport::datagram::Socket;
use tokio::time::timeout;

use crate::measure::runtime;
use crate::meter;
use crate::sample;
use crate::table::Measure;

const ENTRIES: [usize; 5] = [4, 8, 16, 24, 32];
const WARM_UP_DURATION: Duration = Duration::from_secs(10);
const MEASUREMENT_DURATION: Duration = Duration::from_secs(20);
const CLOCK_STEP: Duration = Duration::from_millis(100);
/// Size of the IPv4 and UDP headers, which sockets do not count.
const HEADER_BYTES: f64 = 28.0;
const LOOKUPS_PER_ITERATION: usize = 1_000;

pub(crate) fn measures() -> Vec<Measure> {
    let traffic = ENTRIES.map(|entries| (entries, runtime().block_on(heartbeats(entries))));
    let restart = ENTRIES.map(|entries| (entries, runtime().block_on(restart_packets(entries))));
    vec![
        Measure::new(
            "heartbeats, sent by an entry (packets/s)",
            "entries of the data centre",
            traffic.map(|(size, cost)| (size, cost.packets)),
        ),
        Measure::new(
            "heartbeats, sent by an entry (B/s with IP and UDP headers)",
            "entries of the data centre",
            traffic.map(|(size, cost)| (size, cost.bytes)),
        ),
        Measure::new(
            "heartbeats, an entry, both ways (CPU µs/s)",
            "entries of the data centre",
            traffic.map(|(size, cost)| (size, cost.cpu_micros)),
        ),
        Measure::new(
            "view change by a restart, all entries, beyond heartbeats (packets)",
            "entries of the data centre",
            restart,
        ),
        Measure::new(
            "holder of a role (CPU µs)",
            "entries of the data centre",
            ENTRIES.map(|entries| (entries, lookup_micros(entries))),
        ),
    ]
}

/// Traffic and CPU time of one entry per second.
#[derive(Clone, Copy)]
struct Traffic {
    packets: f64,
    bytes: f64,
    cpu_micros: f64,
}

struct Cluster {
    now: Timestamp,
    sockets: Vec<Socket>,
    addresses: Vec<SocketAddr>,
    members: Vec<Membership>,
    packets: f64,
    bytes: f64,
}

async fn heartbeats(entries: usize) -> Traffic {
    let mut cluster = Cluster::new(entries).await;
    cluster.advance(WARM_UP_DURATION).await;
    cluster.packets = 0.0;
    cluster.bytes = 0.0;
    let before = meter::cpu_time();
    let mut cpu_time = Duration::ZERO;
    let mut secs = 0.0;
    while cpu_time < meter::MIN_CPU_TIME {
        cluster.advance(MEASUREMENT_DURATION).await;
        secs += MEASUREMENT_DURATION.as_secs_f64();
        cpu_time = meter::cpu_time() - before;
    }
    let entry_secs = entries as f64 * secs;
    Traffic {
        packets: cluster.packets / entry_secs,
        bytes: (cluster.bytes + cluster.packets * HEADER_BYTES) / entry_secs,
        cpu_micros: cpu_time.as_secs_f64() * 1e6 / entry_secs,
    }
}

/// Additional packets, beyond heartbeats, while one entry restarts.
async fn restart_packets(entries: usize) -> f64 {
    let mut cluster = Cluster::new(entries).await;
    cluster.advance(WARM_UP_DURATION).await;
    cluster.packets = 0.0;
    cluster.advance(WARM_UP_DURATION).await;
    let baseline = cluster.packets;
    cluster.packets = 0.0;
    cluster.members[entries - 1] = new_member(entries - 1, 2);
    cluster.advance(WARM_UP_DURATION).await;
    let view = cluster.members[0].view().expect("there is a view");
    assert!(
        view.contains(&identity(entries - 1, 2)),
        "the entry is back"
    );
    cluster.packets - baseline
}

impl Cluster {
    async fn new(entries: usize) -> Self {
        let any = SocketAddr::from(([127, 0, 0, 1], 0));
        let mut sockets = Vec::new();
        for _ in 0..entries {
            let socket = Socket::bind(any, ClusterTag::of("capacity")).await;
            sockets.push(socket.expect("loopback has a free port"));
        }
        let addresses = sockets
            .iter()
            .map(|socket| socket.local_addr().expect("the socket is bound"));
        Self {
            now: Timestamp(1_780_000_000_000_000),
            addresses: addresses.collect(),
            members: (0..entries).map(|index| new_member(index, 1)).collect(),
            sockets,
            packets: 0.0,
            bytes: 0.0,
        }
    }

    async fn advance(&mut self, time: Duration) {
        let end = self.now + time;
        while self.now < end {
            self.now = self.now + CLOCK_STEP;
            let mut in_flight = vec![0; self.members.len()];
            for index in 0..self.members.len() {
                let event = Event::PlatformList(self.platform_list());
                self.handle_event(index, event, &mut in_flight).await;
                self.handle_event(index, Event::Tick, &mut in_flight).await;
            }
            while in_flight.iter().any(|count| *count > 0) {
                for index in 0..self.members.len() {
                    let expected = std::mem::take(&mut in_flight[index]);
                    self.receive(index, expected, &mut in_flight).await;
                }
            }
        }
    }

    /// Handles the expected packets of an entry, or fewer if some were dropped.
    async fn receive(&mut self, index: usize, expected: usize, in_flight: &mut [usize]) {
        for _ in 0..expected {
            let arrival = self.sockets[index].receive::<Message>();
            // Loopback drops packets when a socket buffer is full.
            let Ok(Ok(arrival)) = timeout(Duration::from_millis(200), arrival).await else {
                return;
            };
            if let Received::Message { from, message } = arrival {
                let event = Event::Received { from, message };
                self.handle_event(index, event, in_flight).await;
            }
        }
    }

    async fn handle_event(&mut self, index: usize, event: Event, in_flight: &mut [usize]) {
        for action in self.members[index].handle(self.now, event) {
            let Action::Send { to, message } = action else {
                continue;
            };
            let sent = self.sockets[index].send(to, &message).await;
            self.bytes += sent.expect("loopback takes packets") as f64;
            self.packets += 1.0;
            let to = self.addresses.iter().position(|address| *address == to);
            in_flight[to.expect("packets go to entries")] += 1;
        }
    }

    fn platform_list(&self) -> PlatformList {
        let listed = self.addresses.iter().enumerate().map(|(index, address)| {
            let entry = ListedInstance {
                address: *address,
                leaving: false,
            };
            (sample::instance_id(index), entry)
        });
        listed.collect::<BTreeMap<_, _>>()
    }
}

fn identity(index: usize, restarts: u64) -> Identity {
    Identity {
        instance: sample::instance_id(index),
        // The incarnation of an entry is its start time in microseconds.
        incarnation: Incarnation(1_780_000_000_000_000 + restarts),
    }
}

fn new_member(index: usize, restarts: u64) -> Membership {
    let data_centre = sample::data_centre_id(1);
    Membership::new(identity(index, restarts), data_centre, Settings::default())
}

/// CPU time to find the entry that holds a role.
fn lookup_micros(entries: usize) -> f64 {
    let mut cluster = runtime().block_on(async {
        let mut cluster = Cluster::new(entries).await;
        cluster.advance(WARM_UP_DURATION).await;
        cluster
    });
    let members = cluster.members.remove(0);
    let role = Role::Scheduler(sample::service_id(7));
    meter::micros_per_iteration(|| {
        for _ in 0..LOOKUPS_PER_ITERATION {
            black_box(members.holder(&role));
        }
        LOOKUPS_PER_ITERATION
    })
}
