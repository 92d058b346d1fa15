//! Benchmark of the time per decision for different numbers of endpoints and accounts.
//!
//! `cargo run --release -p mimosa-schedule --example decision_cost`
//!
//! With `--memory` it measures the memory of requests and attempts instead.
//!
//! Each round ends one attempt and submits one request, with all events of an attempt in between.
//! In the mode `free`, a tenth of the streams is free, so that each request is granted immediately.
//! In the mode `queued`, one request of each account is queued. The results are the median of
//! several slices.

use std::collections::VecDeque;
use std::time::Duration;
use std::time::Instant;

use mimosa_protocol::AccountId;
use mimosa_protocol::ByteRate;
use mimosa_protocol::RequestId;
use mimosa_protocol::Timestamp;
use mimosa_protocol::TokenRate;
use mimosa_protocol::Tokens;
use mimosa_protocol::configuration::Capacity;
use mimosa_protocol::configuration::DataCentre;
use mimosa_protocol::configuration::DataCentreState;
use mimosa_protocol::configuration::Endpoint;
use mimosa_protocol::configuration::EndpointRole;
use mimosa_protocol::configuration::EndpointState;
use mimosa_protocol::configuration::Service;
use mimosa_protocol::configuration::ServiceKind;
use mimosa_schedule::Action;
use mimosa_schedule::AttemptEnd;
use mimosa_schedule::Event;
use mimosa_schedule::Policy;
use mimosa_schedule::Scheduler;
use mimosa_schedule::Settings;
use mimosa_schedule::Submission;
use mimosa_schedule::event::View;
use mimosa_schedule::settings::QueueSettings;

const ENDPOINTS: [usize; 3] = [10, 100, 1_000];
const ACCOUNTS: [usize; 3] = [5, 1_000, 23_000];
const SLICES: usize = 11;
const ROUNDS: usize = 5_000;
const EVENTS_PER_ROUND: usize = 5;
const PROMPT: Tokens = Tokens(6_000);
const MAX_OUTPUT: Tokens = Tokens(512);
/// Virtual time of one round, divided by the number of endpoints.
const ROUND_MICROS: u64 = 40_000;
/// Warm-up rounds per endpoint.
const WARM_UP_ROUNDS: usize = 200;

/// A scheduler under load.
struct Bench {
    scheduler: Scheduler,
    accounts: Vec<AccountId>,
    now: Timestamp,
    step: Duration,
    next: u128,
    running: VecDeque<RequestId>,
    elapsed: Duration,
    grants: usize,
}

fn main() {
    if std::env::args().any(|each| each == "--memory") {
        return measure_memory();
    }
    println!(
        "{:>9} | {:>8} | {:>6} | {:>9} | {:>12} | {:>9}",
        "endpoints", "accounts", "mode", "ns/event", "ns/decision", "grants/s"
    );
    for endpoints in ENDPOINTS {
        for accounts in ACCOUNTS {
            measure(endpoints, accounts, false);
            measure(endpoints, accounts, true);
        }
    }
}

/// Prints the memory of queued requests and of attempts, including the records of the benchmark.
fn measure_memory() {
    let (endpoints, accounts) = (ENDPOINTS[0], ACCOUNTS[2]);
    let before = resident_bytes();
    let mut waiting = Bench::new(endpoints, accounts);
    (0..accounts).for_each(|_| waiting.submit());
    let each = (resident_bytes() - before) / accounts as u64;
    println!("{each} bytes for each waiting request of an account of its own");
    let endpoints = ENDPOINTS[2];
    let before = resident_bytes();
    let mut running = Bench::new(endpoints, 1);
    for _ in 0..endpoints * WARM_UP_ROUNDS {
        running.round(usize::MAX);
        if running.scheduler.queued() > endpoints {
            running.now = running.now + Duration::from_secs(1);
            running.send(Event::Tick);
        }
        if running.running.len() >= endpoints * 2 / 3 * 20 {
            break;
        }
    }
    let attempts = running.running.len();
    let each = (resident_bytes() - before) / attempts as u64;
    println!("{each} bytes for each of {attempts} attempts, endpoints included");
    // Keeps the first benchmark alive, so that the second does not reuse its memory.
    drop(waiting);
}

/// Resident memory of this process.
fn resident_bytes() -> u64 {
    let status = std::fs::read_to_string("/proc/self/status").unwrap_or_default();
    let line = status.lines().find(|line| line.starts_with("VmRSS"));
    let digits = line.and_then(|line| line.split_whitespace().nth(1));
    let kilobytes: u64 = digits.and_then(|text| text.parse().ok()).unwrap_or(0);
    kilobytes * 1_024
}

fn measure(endpoints: usize, accounts: usize, queued: bool) {
    let mut bench = Bench::new(endpoints, accounts);
    let max_streams = endpoints * 2 / 3 * 20;
    let target = max_streams * 9 / 10;
    for _ in 0..endpoints * WARM_UP_ROUNDS {
        bench.round(target);
    }
    if queued {
        bench.fill(max_streams);
        for _ in 0..accounts {
            bench.submit();
        }
    }
    let target = if queued { 0 } else { target };
    let mut slices: Vec<(f64, usize)> = (0..SLICES).map(|_| bench.slice(target)).collect();
    slices.sort_by(|a, b| a.0.total_cmp(&b.0));
    let (nanos, grants) = slices[SLICES / 2];
    println!(
        "{endpoints:>9} | {accounts:>8} | {:>6} | {:>9.0} | {:>12.0} | {:>9.0}",
        if queued { "queued" } else { "free" },
        nanos / (ROUNDS * EVENTS_PER_ROUND) as f64,
        nanos / grants.max(1) as f64,
        grants as f64 * 1e9 / nanos,
    );
}

impl Bench {
    fn new(endpoints: usize, accounts: usize) -> Self {
        let settings = Settings {
            queue: QueueSettings {
                max_queued: 100_000,
                shed_late: false,
                shed_early: false,
                ..QueueSettings::default()
            },
            ..Settings::default()
        };
        let mut bench = Self {
            scheduler: Scheduler::new(settings),
            accounts: (0..accounts)
                .map(|i| {
                    format!("account-{i}")
                        .parse()
                        .expect("the name is well-formed")
                })
                .collect(),
            now: Timestamp::from_secs(1),
            step: Duration::from_micros(ROUND_MICROS / endpoints as u64),
            next: 0,
            running: VecDeque::new(),
            elapsed: Duration::ZERO,
            grants: 0,
        };
        let view = Box::new(view(endpoints));
        bench.send(Event::Configure(view));
        bench
    }

    /// Runs one slice and returns its time in nanoseconds and its number of grants.
    fn slice(&mut self, target: usize) -> (f64, usize) {
        self.elapsed = Duration::ZERO;
        self.grants = 0;
        for _ in 0..ROUNDS {
            self.round(target);
        }
        (self.elapsed.as_nanos() as f64, self.grants)
    }

    /// Ends the oldest attempt if `target` attempts run, and submits a request.
    fn round(&mut self, target: usize) {
        self.now = self.now + self.step;
        if self.running.len() >= target.max(1) {
            let request = self.running.pop_front();
            let end = AttemptEnd::Complete;
            request
                .into_iter()
                .for_each(|request| self.send(Event::Ended { request, end }));
        }
        self.submit();
    }

    /// Submits requests until `streams` attempts run or a request is not granted.
    fn fill(&mut self, streams: usize) {
        while self.running.len() < streams {
            let before = self.running.len();
            self.now = self.now + self.step;
            self.submit();
            if self.running.len() == before {
                return;
            }
        }
    }

    fn submit(&mut self) {
        self.next += 1;
        let account = self.next as usize * 7_919 % self.accounts.len();
        let submission = Submission {
            request: RequestId(self.next),
            account: self.accounts[account].clone(),
            weight: 1,
            prompt: PROMPT,
            max_output: MAX_OUTPUT,
            prefix: vec![self.next as u64 % 50],
            arrived: self.now,
            idempotent: true,
            avoid: Vec::new(),
        };
        self.send(Event::Submit(submission));
    }

    fn send(&mut self, event: Event) {
        let started = Instant::now();
        let actions = self.scheduler.handle(self.now, event);
        self.elapsed += started.elapsed();
        for action in actions {
            if let Action::Start(grant) = action {
                self.grants += 1;
                self.run(grant.request);
            }
        }
    }

    fn run(&mut self, request: RequestId) {
        self.running.push_back(request);
        self.send(Event::Prefilled { request });
        self.send(Event::Transferred { request });
        let output = Tokens(1);
        self.send(Event::Progress { request, output });
    }
}

fn view(endpoints: usize) -> View {
    let data_centre = DataCentre {
        id: "dc".parse().expect("the name is well-formed"),
        state: DataCentreState::In,
        link_rate: ByteRate(1_000_000_000_000),
    };
    let service = Service {
        id: "model".parse().expect("the name is well-formed"),
        kind: ServiceKind::Model,
        open: false,
        first_token_target: Duration::from_secs(2),
        token_gap_target: Duration::from_millis(40),
        max_queue_time: Duration::from_secs(3_600),
    };
    let endpoint = |i: usize| Endpoint {
        id: format!("endpoint-{i}")
            .parse()
            .expect("the name is well-formed"),
        service: service.id.clone(),
        data_centre: data_centre.id.clone(),
        address: ([127, 0, 0, 1], 1).into(),
        role: if i.is_multiple_of(3) {
            EndpointRole::Prefill
        } else {
            EndpointRole::Decode
        },
        state: EndpointState::Active,
        capacity: Capacity {
            prefill_rate: TokenRate(10_000_000),
            ..Capacity::default()
        },
        checks_fencing: false,
    };
    View {
        endpoints: (0..endpoints).map(endpoint).collect(),
        data_centre: data_centre.clone(),
        service: service.clone(),
    }
}
