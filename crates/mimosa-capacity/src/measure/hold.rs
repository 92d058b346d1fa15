//! The mirror of an entry's holds at its guard.

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

const REQUESTS: [usize; 4] = [16, 32, 64, 128];
const LASTS: Duration = Duration::from_secs(10);
const MEASURED: Duration = Duration::from_secs(20);
const MILLI: Duration = Duration::from_millis(1);

pub(crate) fn measures() -> Vec<Measure> {
    let costs = REQUESTS.map(|requests| (requests, cost(requests)));
    let column = |of: fn(&Cost) -> f64| costs.each_ref().map(|(size, cost)| (*size, of(cost)));
    let size = "requests/s of the entry, two holds each";
    vec![
        Measure::new(
            "holds, sent by the owner (B/s)",
            size,
            column(|of| of.reports),
        ),
        Measure::new("holds, sent by the guard (B/s)", size, column(|of| of.acks)),
        Measure::new("holds, both (messages/s)", size, column(|of| of.messages)),
        Measure::new(
            "holds, owner and guard (CPU µs/request)",
            size,
            column(|of| of.micros),
        ),
    ]
}

#[derive(Clone, Copy)]
struct Cost {
    reports: f64,
    acks: f64,
    messages: f64,
    micros: f64,
}

struct Pair {
    now: Timestamp,
    mirror: HoldOwner,
    guard: HoldMonitor,
    held: VecDeque<(Timestamp, HoldId)>,
    next: u128,
    reports: f64,
    acks: f64,
    messages: f64,
}

fn cost(requests: usize) -> Cost {
    let (owner, guardian) = (sample::instance_id(1), sample::instance_id(2));
    let settings = HoldSettings::default();
    let now = Timestamp(1_780_000_000_000_000);
    let mut mirror = HoldOwner::new(settings, owner, Incarnation(1));
    mirror.handle(now, owner::Event::MonitorAssigned(Some(guardian.clone())));
    let mut pair = Pair {
        now,
        mirror,
        guard: HoldMonitor::new(settings, guardian, Incarnation(1)),
        held: VecDeque::new(),
        next: 0,
        reports: 0.0,
        acks: 0.0,
        messages: 0.0,
    };
    pair.run(requests, LASTS);
    assert_eq!(pair.guard.len(), pair.mirror.len(), "every hold is guarded");
    (pair.reports, pair.acks, pair.messages) = (0.0, 0.0, 0.0);
    let mut secs = 0.0;
    let micros = meter::micros_each(|| {
        pair.run(requests, MEASURED);
        secs += MEASURED.as_secs_f64();
        requests * MEASURED.as_secs() as usize
    });
    Cost {
        reports: pair.reports / secs,
        acks: pair.acks / secs,
        messages: pair.messages / secs,
        micros,
    }
}

impl Pair {
    fn run(&mut self, requests: usize, time: Duration) {
        let end = self.now + time;
        let mut due = 0.0;
        while self.now < end {
            self.now = self.now + MILLI;
            let duty = monitor::Event::MemberUntil(self.now + Duration::from_secs(1));
            self.guard.handle(self.now, duty);
            while self
                .held
                .front()
                .is_some_and(|(until, _)| *until <= self.now)
            {
                let (_, hold) = self.held.pop_front().expect("there is one");
                self.tell(owner::Event::Release(hold));
            }
            due += requests as f64 * MILLI.as_secs_f64();
            while due >= 1.0 {
                due -= 1.0;
                self.place();
            }
            self.tell(owner::Event::Tick);
        }
    }

    fn place(&mut self) {
        self.next += 1;
        for endpoint in ["worker-00003", "worker-00004"] {
            let hold = HoldId {
                request: RequestId(self.next | 1 << 127),
                attempt: AttemptNumber::ZERO.next(),
                endpoint: endpoint.parse().expect("a name"),
            };
            self.held.push_back((self.now + LASTS, hold.clone()));
            self.tell(owner::Event::Place(hold));
        }
    }

    fn tell(&mut self, event: owner::Event) {
        let mut events = VecDeque::from([event]);
        while let Some(event) = events.pop_front() {
            for action in self.mirror.handle(self.now, event) {
                let owner::Action::Send(_, report) = action else {
                    continue;
                };
                self.messages += 1.0;
                self.reports += encoded_bytes(&report);
                for answer in self.guard.handle(self.now, monitor::Event::Report(report)) {
                    if let monitor::Action::Ack(_, ack) = answer {
                        self.messages += 1.0;
                        self.acks += encoded_bytes(&ack);
                        events.push_back(owner::Event::Ack(ack));
                    }
                }
            }
        }
    }
}
