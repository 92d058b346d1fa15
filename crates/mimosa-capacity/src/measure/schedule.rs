//! The scheduler of one service in one data centre: CPU time of decisions, size of messages.

use std::collections::VecDeque;
use std::time::Duration;

use mimosa_protocol::Epoch;
use mimosa_protocol::KvBlocks;
use mimosa_protocol::RequestId;
use mimosa_protocol::Timestamp;
use mimosa_protocol::TokenRate;
use mimosa_protocol::Tokens;
use mimosa_schedule::Action;
use mimosa_schedule::AttemptEnd;
use mimosa_schedule::Event;
use mimosa_schedule::Grant;
use mimosa_schedule::Policy;
use mimosa_schedule::Scheduler;
use mimosa_schedule::Settings;
use mimosa_schedule::Submission;
use mimosa_schedule::event::AttemptReport;
use mimosa_schedule::event::EntryReport;
use mimosa_schedule::event::View;
use mimosa_schedule::settings::QueueSettings;

use crate::measure::encoded_bytes;
use crate::meter;
use crate::sample;
use crate::table::Measure;

const ENDPOINTS: [usize; 4] = [12, 84, 420, 2_000];
const ACCOUNTS: [usize; 3] = [1_000, 5_000, 23_000];
const REPORTED_ATTEMPTS: [usize; 4] = [10, 100, 400, 800];
pub(crate) const QUEUED_REQUESTS: [usize; 3] = [1_000, 5_000, 23_000];
const ROUNDS_PER_ITERATION: usize = 1_000;
/// Running requests per endpoint during the measurement; the concurrency limit is 20.
const REQUESTS_PER_ENDPOINT: usize = 8;

pub(crate) fn measures() -> Vec<Measure> {
    vec![
        Measure::new(
            "scheduler, whole course of a request (CPU µs)",
            "endpoints of the service",
            ENDPOINTS.map(|endpoints| (endpoints, request_micros(endpoints, 1_000))),
        ),
        Measure::new(
            "scheduler, whole course of a request (CPU µs)",
            "accounts",
            ACCOUNTS.map(|accounts| (accounts, request_micros(84, accounts))),
        ),
        Measure::new(
            "scheduler, messages of a request (B)",
            "prompt blocks",
            [1, 4, 16].map(|blocks| (blocks, request_bytes(blocks))),
        ),
        Measure::new(
            "scheduler, an entry's report (B)",
            "attempts in hand",
            REPORTED_ATTEMPTS
                .map(|attempt_count| (attempt_count, encoded_bytes(&report(attempt_count)))),
        ),
        Measure::new(
            "scheduler, encode, decode and take in an entry's report (CPU µs)",
            "attempts in hand",
            REPORTED_ATTEMPTS.map(|attempt_count| (attempt_count, report_micros(attempt_count))),
        ),
    ]
}

pub(crate) struct Bench {
    scheduler: Scheduler,
    accounts: usize,
    now: Timestamp,
    /// Time between two requests: inversely proportional to the number of endpoints, so that each
    /// endpoint gets the same load.
    step: Duration,
    last_request: usize,
    running: VecDeque<RequestId>,
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
            accounts,
            now: Timestamp::from_secs(1),
            step: Duration::from_micros(40_000 / endpoints.max(1) as u64),
            last_request: 0,
            running: VecDeque::new(),
        };
        let (service, data_centre) = (sample::service(0), sample::data_centre(0));
        let endpoints = (0..endpoints)
            .map(|index| sample::endpoint(index, &service.id, &data_centre.id))
            .map(|mut endpoint| {
                // Only decisions are measured, so the endpoints must not be the bottleneck.
                endpoint.capacity.prefill_rate = TokenRate(100_000_000);
                endpoint
            })
            .collect();
        bench.handle_event(Event::Configure(Box::new(View {
            service,
            data_centre,
            endpoints,
        })));
        bench
    }

    /// Submits a request one step later than the last. If `running` requests run already or some
    /// are queued, the oldest one ends first.
    fn round(&mut self, running: usize) {
        self.now = self.now + self.step;
        let is_full = self.running.len() >= running || self.scheduler.queued() > 0;
        if is_full && let Some(request) = self.running.pop_front() {
            let end = AttemptEnd::Complete;
            self.handle_event(Event::Ended { request, end });
        }
        self.submit();
    }

    fn submit(&mut self) {
        self.last_request += 1;
        // A prime factor visits all accounts in a scattered order.
        let account = self.last_request * 7_919 % self.accounts;
        let submission = submission(self.last_request, account, 2, self.now);
        self.handle_event(Event::Submit(submission));
    }

    fn handle_event(&mut self, event: Event) {
        let mut events = VecDeque::from([event]);
        while let Some(event) = events.pop_front() {
            for action in self.scheduler.handle(self.now, event) {
                if let Action::Start(Grant { request, .. }) = action {
                    self.running.push_back(request);
                    events.push_back(Event::Prefilled { request });
                    events.push_back(Event::Transferred { request });
                    let output = Tokens(1);
                    events.push_back(Event::Progress { request, output });
                }
            }
        }
    }
}

/// A request with one of 50 prompts of the given number of blocks.
fn submission(number: usize, account: usize, blocks: usize, arrived: Timestamp) -> Submission {
    Submission {
        request: RequestId(number as u128 | 1 << 127),
        account: sample::account_id(account),
        weight: 1,
        prompt: Tokens(4_096 * blocks as u64),
        max_output: Tokens(512),
        prefix: (0..blocks)
            .map(|block| (number as u64 % 50 + block as u64).wrapping_mul(0x9e37_79b9_7f4a_7c15))
            .collect(),
        arrived,
        idempotent: true,
        avoid: Vec::new(),
    }
}

fn request_micros(endpoints: usize, accounts: usize) -> f64 {
    let mut bench = Bench::new(endpoints, accounts);
    let running = endpoints * 2 / 3 * REQUESTS_PER_ENDPOINT;
    // New endpoints start with a low concurrency limit: raise it before measuring.
    for _ in 0..endpoints * 200 {
        bench.round(running);
    }
    let cpu_micros = meter::micros_per_iteration(|| {
        for _ in 0..ROUNDS_PER_ITERATION {
            bench.round(running);
        }
        ROUNDS_PER_ITERATION
    });
    let queued = bench.scheduler.queued();
    assert!(
        queued <= endpoints,
        "{queued} requests are queued for {endpoints} endpoints"
    );
    cpu_micros
}

/// A scheduler with submitted requests, at least 90% of which are queued.
pub(crate) fn with_queued_requests(requests: usize) -> Bench {
    let mut bench = Bench::new(12, requests);
    (0..requests).for_each(|_| bench.submit());
    let queued = bench.scheduler.queued();
    assert!(
        queued * 10 >= requests * 9,
        "only {queued} requests are queued"
    );
    bench
}

/// CPU time to encode, decode and handle an entry's report.
fn report_micros(attempt_count: usize) -> f64 {
    let mut bench = Bench::new(84, attempt_count);
    let event = Event::Report(Box::new(report(attempt_count)));
    meter::micros_per_iteration(|| {
        bench.now = bench.now + Duration::from_millis(250);
        let bytes = postcard::to_stdvec(&event).expect("a report can be encoded");
        let event = postcard::from_bytes(&bytes).expect("it was just encoded");
        bench.handle_event(event);
        1
    })
}

fn grant(request: RequestId) -> Grant {
    Grant {
        request,
        epoch: Epoch(1_780_000_000_000),
        prefill: Some("worker-00003".parse().expect("a valid name")),
        decode: "worker-00004".parse().expect("a valid name"),
        blocks: KvBlocks(3),
        start_by: Timestamp(1_780_000_000_250_000),
    }
}

/// Size of the messages between an entry and the scheduler for one request that starts immediately.
fn request_bytes(blocks: usize) -> f64 {
    let submission = submission(1, 1, blocks, Timestamp(1_780_000_000_000_000));
    let request = submission.request;
    let grant = Action::Start(grant(request));
    let end = AttemptEnd::Complete;
    [
        encoded_bytes(&Event::Submit(submission)),
        encoded_bytes(&grant),
        encoded_bytes(&Event::Prefilled { request }),
        encoded_bytes(&Event::Transferred { request }),
        encoded_bytes(&Event::Ended { request, end }),
    ]
    .iter()
    .sum()
}

fn report(attempt_count: usize) -> EntryReport {
    let at = Timestamp(1_780_000_000_000_000);
    let attempts = (0..attempt_count).map(|index| {
        let submission = submission(index, index, 2, at);
        AttemptReport {
            grant: grant(submission.request),
            submission,
            prefilled: true,
            transferred: true,
            output: Tokens(100),
        }
    });
    EntryReport {
        instance: sample::instance_id(1),
        epoch: Epoch(1_780_000_000_000),
        queued: Vec::new(),
        attempts: attempts.collect(),
    }
}
