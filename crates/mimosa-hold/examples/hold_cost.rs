//! Measures the cost of registering holds, matching response chunks and checking fingerprints.
//!
//! `cargo run --release -p mimosa-hold --example hold_cost`

use std::hint::black_box;
use std::time::Duration;
use std::time::Instant;

use mimosa_hold::attempt::AttemptNumber;
use mimosa_hold::attempt::AttemptTable;
use mimosa_hold::attempt::Chunk;
use mimosa_hold::attempt::Offset;
use mimosa_hold::attempt::Stream;
use mimosa_hold::attempt::StreamNumber;
use mimosa_hold::hold::HoldId;
use mimosa_hold::hold::HoldSettings;
use mimosa_hold::monitor;
use mimosa_hold::monitor::HoldMonitor;
use mimosa_hold::owner;
use mimosa_hold::owner::HoldOwner;
use mimosa_hold::quarantine::Fingerprint;
use mimosa_hold::quarantine::Quarantine;
use mimosa_hold::quarantine::QuarantineSettings;
use mimosa_protocol::EndpointId;
use mimosa_protocol::Incarnation;
use mimosa_protocol::InstanceId;
use mimosa_protocol::RequestId;
use mimosa_protocol::Timestamp;

const SECONDS: u64 = 60;
const HOLD_TIME: Duration = Duration::from_secs(4);

fn endpoint(number: u64) -> EndpointId {
    format!("decode-{number:04}").parse().expect("a name")
}

/// An owner and its monitor, with the messages exchanged and the processor time used.
struct Simulation {
    owner: HoldOwner,
    monitor: HoldMonitor,
    monitor_id: InstanceId,
    messages: u64,
    bytes: u64,
    dispatched: u64,
    owner_time: Duration,
    monitor_time: Duration,
}

impl Simulation {
    fn new() -> Self {
        let monitor_id: InstanceId = "entry-2".parse().expect("a name");
        let own = "entry-1".parse().expect("a name");
        let settings = HoldSettings::default();
        let mut sim = Self {
            owner: HoldOwner::new(settings, own, Incarnation(1)),
            monitor: HoldMonitor::new(settings, monitor_id.clone(), Incarnation(1)),
            monitor_id,
            messages: 0,
            bytes: 0,
            dispatched: 0,
            owner_time: Duration::ZERO,
            monitor_time: Duration::ZERO,
        };
        let far_future = Timestamp::from_secs(1_000_000);
        sim.monitor
            .handle(Timestamp::ZERO, monitor::Event::MemberUntil(far_future));
        let monitor = Some(sim.monitor_id.clone());
        sim.owner(Timestamp::ZERO, owner::Event::MonitorAssigned(monitor));
        sim
    }

    fn owner(&mut self, now: Timestamp, event: owner::Event) {
        let start = Instant::now();
        let actions = self.owner.handle(now, event);
        self.owner_time += start.elapsed();
        for action in actions {
            match action {
                owner::Action::Send(_, report) => {
                    self.count(&report);
                    self.monitor(now, monitor::Event::Report(report));
                }
                owner::Action::Dispatch(_) => self.dispatched += 1,
                owner::Action::Lost { .. } => {}
            }
        }
    }

    fn monitor(&mut self, now: Timestamp, event: monitor::Event) {
        let start = Instant::now();
        let actions = self.monitor.handle(now, event);
        self.monitor_time += start.elapsed();
        for action in actions {
            if let monitor::Action::Ack(_, ack) = action {
                self.count(&ack);
                self.owner(now, owner::Event::Ack(ack));
            }
        }
    }

    fn count(&mut self, message: &impl serde::Serialize) {
        let bytes = postcard::to_stdvec(message).expect("messages encode");
        self.messages += 1;
        self.bytes += bytes.len() as u64;
    }
}

fn measure_registration(rate: u64) {
    let mut sim = Simulation::new();
    let mut next = 0_u64;
    let mut ended = 0_u64;
    for milli in 0..SECONDS * 1_000 {
        let now = Timestamp::from_millis(milli);
        let hold = |request: u64, endpoint_offset: u64| HoldId {
            request: RequestId(u128::from(request) << 64),
            attempt: AttemptNumber(1),
            endpoint: endpoint(request * 7 % 300 + endpoint_offset),
        };
        while next < rate * milli / 1_000 {
            sim.owner(now, owner::Event::Place(hold(next, 0)));
            sim.owner(now, owner::Event::Place(hold(next, 300)));
            next += 1;
        }
        let done = milli.saturating_sub(HOLD_TIME.as_millis() as u64);
        while ended < rate * done / 1_000 {
            sim.owner(now, owner::Event::Release(hold(ended, 0)));
            sim.owner(now, owner::Event::Release(hold(ended, 300)));
            ended += 1;
        }
        sim.owner(now, owner::Event::Tick);
    }
    let core = |time: Duration| time.as_secs_f64() / SECONDS as f64 * 100.0;
    println!(
        "{rate:>10} {:>10} {:>8} {:>9} {:>9} {:>11} {:>9.3} % {:>9.3} %",
        sim.dispatched,
        sim.owner.len(),
        sim.messages / SECONDS,
        sim.bytes / SECONDS,
        sim.bytes / next.max(1),
        core(sim.owner_time),
        core(sim.monitor_time),
    );
}

fn measure_each(name: &str, count: u64, mut call: impl FnMut(u64)) {
    let start = Instant::now();
    (0..count).for_each(&mut call);
    let nanos = start.elapsed().as_nanos() as u64 / count;
    println!("{name:<52} {nanos:>7} ns");
}

fn measure_calls() {
    let stream = |request: u64| Stream {
        endpoint: endpoint(request % 300),
        incarnation: Incarnation(1),
        number: StreamNumber(request),
    };
    let mut attempts = AttemptTable::new();
    for request in 0..1_000 {
        let id = RequestId(u128::from(request));
        attempts.add(id);
        attempts
            .begin(Timestamp::ZERO, id, stream(request))
            .expect("a free stream");
    }
    let mut chunk = Chunk {
        stream: stream(7),
        echo: None,
        offset: Offset(0),
        length: Offset(1),
        last: false,
    };
    measure_each("match one chunk among 1,000 streams", 1_000_000, |i| {
        chunk.offset = Offset(i);
        black_box(attempts.receive(&chunk));
    });
    let now = Timestamp::from_secs(1);
    let mut quarantine = Quarantine::new(QuarantineSettings::default());
    for content in 0..4_096_u64 {
        let fingerprint = Fingerprint(u128::MAX / 4_096 * u128::from(content));
        let incarnation = Incarnation(content / 16);
        quarantine.started(
            RequestId(u128::from(content)),
            fingerprint,
            endpoint(1),
            incarnation,
        );
        if content % 16 == 15 {
            quarantine.crashed(now, endpoint(1), incarnation);
        }
    }
    measure_each(
        "check one fingerprint among 4,096 suspects",
        1_000_000,
        |i| {
            black_box(quarantine.check(now, Fingerprint(u128::from(i))));
        },
    );
    let service = "verse".parse().expect("a name");
    let body = vec![b'a'; 16_384];
    measure_each("fingerprint of a body of 16 KiB", 100_000, |_| {
        black_box(Fingerprint::of(None, &service, &body));
    });
    let (delta, _) = quarantine.delta(0, usize::MAX);
    let bytes = postcard::to_stdvec(&delta).expect("messages encode").len();
    println!(
        "{:<52} {:>7} B",
        "encoded record of one suspect",
        bytes / delta.records.len().max(1)
    );
}

fn main() {
    println!("One owner and one monitor, two holds a request, held {HOLD_TIME:?}");
    println!(
        "{:>10} {:>10} {:>8} {:>9} {:>9} {:>11} {:>11} {:>11}",
        "requests/s", "dispatched", "held", "msgs/s", "bytes/s", "bytes/req.", "owner", "monitor"
    );
    [10, 63, 500].into_iter().for_each(measure_registration);
    println!();
    measure_calls();
}
