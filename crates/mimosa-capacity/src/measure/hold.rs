//! Replication of an entry's holds to its monitor.

use std::collections::VecDeque;
use std::time::Duration;

use mimosa_hold::attempt::AttemptNumber;
use mimosa_hold::hold::HoldId;
use mimosa_hold::hold::HoldSettings;
use mimosa_hold::monitor;
use mimosa_hold::monitor::HoldMonitor;
use mimosa_hold::owner;
use mimosa_hold::owner::HoldOwner;
use mimosa_protocol::Incarnation;
use mimosa_protocol::RequestId;
use mimosa_protocol::Timestamp;

use crate::measure::encoded_bytes;
use crate::meter;
use crate::sample;
use crate::table::Measure;

const REQUESTS_PER_S: [usize; 4] = [16, 32, 64, 128];
const HOLD_DURATION: Duration = Duration::from_secs(10);
const MEASUREMENT_DURATION: Duration = Duration::from_secs(20);
const CLOCK_STEP: Duration = Duration::from_millis(1);

pub(crate) fn measures() -> Vec<Measure> {
    let costs = REQUESTS_PER_S.map(|rate| (rate, cost(rate)));
    let column =
        |value: fn(&Cost) -> f64| costs.each_ref().map(|(size, cost)| (*size, value(cost)));
    let size = "requests/s of the entry, two holds each";
    vec![
        Measure::new(
            "holds, sent by the owner (B/s)",
            size,
            column(|cost| cost.report_bytes),
        ),
        Measure::new(
            "holds, sent by the guard (B/s)",
            size,
            column(|cost| cost.ack_bytes),
        ),
        Measure::new(
            "holds, both (messages/s)",
            size,
            column(|cost| cost.messages),
        ),
        Measure::new(
            "holds, owner and guard (CPU µs/request)",
            size,
            column(|cost| cost.cpu_micros),
        ),
    ]
}

/// Sent bytes and messages per second, and CPU time per request.
#[derive(Clone, Copy)]
struct Cost {
    report_bytes: f64,
    ack_bytes: f64,
    messages: f64,
    cpu_micros: f64,
}

struct Simulation {
    now: Timestamp,
    owner: HoldOwner,
    monitor: HoldMonitor,
    /// Placed holds with their end, the earliest first.
    active: VecDeque<(Timestamp, HoldId)>,
    last_request: u128,
    report_bytes: f64,
    ack_bytes: f64,
    messages: f64,
}

fn cost(requests_per_s: usize) -> Cost {
    let (owner_id, monitor_id) = (sample::instance_id(1), sample::instance_id(2));
    let settings = HoldSettings::default();
    let now = Timestamp(1_780_000_000_000_000);
    let mut owner = HoldOwner::new(settings, owner_id, Incarnation(1));
    owner.handle(now, owner::Event::MonitorAssigned(Some(monitor_id.clone())));
    let mut simulation = Simulation {
        now,
        owner,
        monitor: HoldMonitor::new(settings, monitor_id, Incarnation(1)),
        active: VecDeque::new(),
        last_request: 0,
        report_bytes: 0.0,
        ack_bytes: 0.0,
        messages: 0.0,
    };
    simulation.advance(requests_per_s, HOLD_DURATION);
    assert_eq!(
        simulation.monitor.len(),
        simulation.owner.len(),
        "the monitor knows every hold"
    );
    (
        simulation.report_bytes,
        simulation.ack_bytes,
        simulation.messages,
    ) = (0.0, 0.0, 0.0);
    let mut secs = 0.0;
    let cpu_micros = meter::micros_per_iteration(|| {
        simulation.advance(requests_per_s, MEASUREMENT_DURATION);
        secs += MEASUREMENT_DURATION.as_secs_f64();
        requests_per_s * MEASUREMENT_DURATION.as_secs() as usize
    });
    Cost {
        report_bytes: simulation.report_bytes / secs,
        ack_bytes: simulation.ack_bytes / secs,
        messages: simulation.messages / secs,
        cpu_micros,
    }
}

impl Simulation {
    fn advance(&mut self, requests_per_s: usize, time: Duration) {
        let end = self.now + time;
        let mut due_requests = 0.0;
        while self.now < end {
            self.now = self.now + CLOCK_STEP;
            let membership = monitor::Event::MemberUntil(self.now + Duration::from_secs(1));
            self.monitor.handle(self.now, membership);
            while self
                .active
                .front()
                .is_some_and(|(until, _)| *until <= self.now)
            {
                let (_, hold) = self.active.pop_front().expect("the queue is not empty");
                self.handle_owner_event(owner::Event::Release(hold));
            }
            due_requests += requests_per_s as f64 * CLOCK_STEP.as_secs_f64();
            while due_requests >= 1.0 {
                due_requests -= 1.0;
                self.place_request();
            }
            self.handle_owner_event(owner::Event::Tick);
        }
    }

    fn place_request(&mut self) {
        self.last_request += 1;
        for endpoint in ["worker-00003", "worker-00004"] {
            let hold = HoldId {
                request: RequestId(self.last_request | 1 << 127),
                attempt: AttemptNumber::ZERO.next(),
                endpoint: endpoint.parse().expect("a valid name"),
            };
            self.active
                .push_back((self.now + HOLD_DURATION, hold.clone()));
            self.handle_owner_event(owner::Event::Place(hold));
        }
    }

    fn handle_owner_event(&mut self, event: owner::Event) {
        let mut events = VecDeque::from([event]);
        while let Some(event) = events.pop_front() {
            for action in self.owner.handle(self.now, event) {
                let owner::Action::Send(_, report) = action else {
                    continue;
                };
                self.messages += 1.0;
                self.report_bytes += encoded_bytes(&report);
                for action in self
                    .monitor
                    .handle(self.now, monitor::Event::Report(report))
                {
                    if let monitor::Action::Ack(_, ack) = action {
                        self.messages += 1.0;
                        self.ack_bytes += encoded_bytes(&ack);
                        events.push_back(owner::Event::Ack(ack));
                    }
                }
            }
        }
    }
}
