//! Heartbeats of one data centre over real UDP sockets, under a manual clock.

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
const WARM_UP: Duration = Duration::from_secs(10);
const MEASURED: Duration = Duration::from_secs(20);
const STEP: Duration = Duration::from_millis(100);
/// Bytes of IPv4 and UDP headers, which the sockets do not show.
const HEADER_BYTES: f64 = 28.0;
const LOOKUPS: usize = 1_000;

pub(crate) fn measures() -> Vec<Measure> {
    let traffic = ENTRIES.map(|entries| (entries, runtime().block_on(heartbeats(entries))));
    let change = ENTRIES.map(|entries| (entries, runtime().block_on(restart(entries))));
    vec![
        Measure::new(
            "heartbeats, sent by an entry (packets/s)",
            "entries of the data centre",
            traffic.map(|(size, of)| (size, of.packets)),
        ),
        Measure::new(
            "heartbeats, sent by an entry (B/s with IP and UDP headers)",
            "entries of the data centre",
            traffic.map(|(size, of)| (size, of.bytes)),
        ),
        Measure::new(
            "heartbeats, an entry, both ways (CPU µs/s)",
            "entries of the data centre",
            traffic.map(|(size, of)| (size, of.micros)),
        ),
        Measure::new(
            "view change by a restart, all entries, beyond heartbeats (packets)",
            "entries of the data centre",
            change,
        ),
        Measure::new(
            "holder of a role (CPU µs)",
            "entries of the data centre",
            ENTRIES.map(|entries| (entries, lookup_micros(entries))),
        ),
    ]
}

/// What one entry costs in a second.
#[derive(Clone, Copy)]
struct Traffic {
    packets: f64,
    bytes: f64,
    micros: f64,
}

struct Fleet {
    now: Timestamp,
    sockets: Vec<Socket>,
    addresses: Vec<SocketAddr>,
    members: Vec<Membership>,
    packets: f64,
    bytes: f64,
}

async fn heartbeats(entries: usize) -> Traffic {
    let mut fleet = Fleet::new(entries).await;
    fleet.run(WARM_UP).await;
    fleet.packets = 0.0;
    fleet.bytes = 0.0;
    let before = meter::processor_time();
    let mut spent = Duration::ZERO;
    let mut secs = 0.0;
    while spent < meter::LEAST_TIME {
        fleet.run(MEASURED).await;
        secs += MEASURED.as_secs_f64();
        spent = meter::processor_time() - before;
    }
    let each = entries as f64 * secs;
    Traffic {
        packets: fleet.packets / each,
        bytes: (fleet.bytes + fleet.packets * HEADER_BYTES) / each,
        micros: spent.as_secs_f64() * 1e6 / each,
    }
}

/// Packets beyond the heartbeats while one entry restarts and comes back.
async fn restart(entries: usize) -> f64 {
    let mut fleet = Fleet::new(entries).await;
    fleet.run(WARM_UP).await;
    fleet.packets = 0.0;
    fleet.run(WARM_UP).await;
    let usual = fleet.packets;
    fleet.packets = 0.0;
    fleet.members[entries - 1] = members(entries - 1, 2);
    fleet.run(WARM_UP).await;
    let view = fleet.members[0].view().expect("there is a view");
    assert!(
        view.contains(&identity(entries - 1, 2)),
        "the entry is back"
    );
    fleet.packets - usual
}

impl Fleet {
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
            members: (0..entries).map(|index| members(index, 1)).collect(),
            sockets,
            packets: 0.0,
            bytes: 0.0,
        }
    }

    async fn run(&mut self, time: Duration) {
        let end = self.now + time;
        while self.now < end {
            self.now = self.now + STEP;
            let mut under_way = vec![0; self.members.len()];
            for index in 0..self.members.len() {
                let list = Event::PlatformList(self.list());
                self.feed(index, list, &mut under_way).await;
                self.feed(index, Event::Tick, &mut under_way).await;
            }
            while under_way.iter().any(|count| *count > 0) {
                for index in 0..self.members.len() {
                    let expected = std::mem::take(&mut under_way[index]);
                    self.receive(index, expected, &mut under_way).await;
                }
            }
        }
    }

    async fn receive(&mut self, index: usize, expected: usize, under_way: &mut [usize]) {
        for _ in 0..expected {
            let arrival = self.sockets[index].receive::<Message>();
            // Loopback may drop a packet when a buffer is full.
            let Ok(Ok(arrival)) = timeout(Duration::from_millis(200), arrival).await else {
                return;
            };
            if let Received::Message { from, message } = arrival {
                let event = Event::Received { from, message };
                self.feed(index, event, under_way).await;
            }
        }
    }

    async fn feed(&mut self, index: usize, event: Event, under_way: &mut [usize]) {
        for action in self.members[index].handle(self.now, event) {
            let Action::Send { to, message } = action else {
                continue;
            };
            let sent = self.sockets[index].send(to, &message).await;
            self.bytes += sent.expect("loopback takes packets") as f64;
            self.packets += 1.0;
            let to = self.addresses.iter().position(|address| *address == to);
            under_way[to.expect("packets go to entries")] += 1;
        }
    }

    fn list(&self) -> PlatformList {
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

fn identity(index: usize, life: u64) -> Identity {
    Identity {
        instance: sample::instance_id(index),
        // An entry takes the time of its start as its incarnation.
        incarnation: Incarnation(1_780_000_000_000_000 + life),
    }
}

fn members(index: usize, life: u64) -> Membership {
    let data_centre = sample::data_centre_id(1);
    Membership::new(identity(index, life), data_centre, Settings::default())
}

fn lookup_micros(entries: usize) -> f64 {
    let mut fleet = runtime().block_on(async {
        let mut fleet = Fleet::new(entries).await;
        fleet.run(WARM_UP).await;
        fleet
    });
    let members = fleet.members.remove(0);
    let role = Role::Scheduler(sample::service_id(7));
    meter::micros_each(|| {
        for _ in 0..LOOKUPS {
            black_box(members.holder(&role));
        }
        LOOKUPS
    })
}
