//! Measures the cost of rate limits shared through leased slices: rejections within the rate,
//! compared with a static split and an ideal central bucket; messages, bytes, processor time and
//! memory.
//!
//! `cargo run --release -p mimosa-limit --example limit_cost`

use std::collections::BTreeMap;
use std::time::Duration;

use mimosa_limit::limiter::Admission;
use mimosa_limit::limiter::RateLimiter;
use mimosa_limit::local::LocalRateLimiter;
use mimosa_limit::local::LocalSettings;
use mimosa_protocol::AccountId;
use mimosa_protocol::Configuration;
use mimosa_protocol::RequestId;
use mimosa_protocol::Timestamp;
use mimosa_protocol::Tokens;

use crate::fleet::Faults;
use crate::fleet::Fleet;
use crate::fleet::Request;
use crate::fleet::RequestState;
use crate::fleet::configuration;

#[allow(dead_code)]
#[path = "../tests/support/fleet.rs"]
mod fleet;

#[path = "limit_cost/scale.rs"]
mod scale;

const ENTRIES: usize = 8;
const RATE: u64 = 1_000;
const BURST: u64 = 8_000;
const START_MS: u64 = 20_000;
const SPAN_MS: u64 = 120_000;

struct Random(u64);

impl Random {
    fn below(&mut self, bound: u64) -> u64 {
        self.0 = self
            .0
            .wrapping_mul(6_364_136_223_846_793_005)
            .wrapping_add(1_442_695);
        (self.0 >> 33) % bound.max(1)
    }
}

/// A request with a random cost around `mean`, of which two thirds are used.
fn request(random: &mut Random, at: u64, entry: usize, mean: u64) -> Request {
    let cost = mean / 2 + random.below(mean);
    Request {
        at: Timestamp(at * 1_000),
        entry,
        cost,
        used: cost * 2 / 3,
        duration: Duration::from_millis(200 + random.below(2_000)),
    }
}

/// Arrivals whose used tokens amount to `percent` of the rate.
fn steady(seed: u64, percent: u64, mean: u64, pick: impl Fn(&mut Random) -> usize) -> Vec<Request> {
    let mut random = Random(seed);
    let gap = mean * 2 / 3 * 100_000 / (RATE * percent);
    let mut at = START_MS;
    let mut requests = Vec::new();
    while at < START_MS + SPAN_MS {
        let entry = pick(&mut random);
        requests.push(request(&mut random, at, entry, mean));
        at += random.below(2 * gap + 1);
    }
    requests
}

/// Bursts that use most of the account's burst, each after a long idle time and at one entry.
fn bursts(seed: u64) -> Vec<Request> {
    let mut random = Random(seed);
    let mut requests = Vec::new();
    for wave in 0..6 {
        let entry = random.below(ENTRIES as u64) as usize;
        for i in 0..36 {
            let at = START_MS + wave * 20_000 + i * 2;
            requests.push(request(&mut random, at, entry, 200));
        }
    }
    requests
}

#[derive(Default)]
struct Outcome {
    rejected: usize,
    used: u64,
    waited: Vec<Duration>,
}

fn outcome(requests: &[Request], states: &[RequestState]) -> Outcome {
    let mut outcome = Outcome::default();
    for (request, state) in requests.iter().zip(states) {
        match state {
            RequestState::Started(at) => {
                outcome.used += request.used;
                outcome.waited.push(at.since(request.at));
            }
            _ => outcome.rejected += 1,
        }
    }
    outcome.waited.sort();
    outcome
}

/// Runs the arrivals through local limiters: one for all entries, or one per entry.
fn local(requests: &[Request], configuration: &Configuration, limiters: usize) -> Outcome {
    let account = configuration.accounts.keys().next().expect("an account");
    let settings = LocalSettings {
        limiter_count: limiters as u64,
        ..LocalSettings::default()
    };
    let mut limiters: Vec<LocalRateLimiter> = (0..limiters)
        .map(|_| LocalRateLimiter::new(settings))
        .collect();
    for limiter in &mut limiters {
        limiter.configure(Timestamp::ZERO, configuration);
    }
    let mut states = vec![RequestState::Pending; requests.len()];
    let mut queue: BTreeMap<(Timestamp, usize, bool), ()> = BTreeMap::new();
    for (index, request) in requests.iter().enumerate() {
        queue.insert((request.at, index, false), ());
    }
    while let Some(((now, index, settles), ())) = queue.pop_first() {
        let request = &requests[index];
        let count = limiters.len();
        let limiter = &mut limiters[request.entry % count];
        let id = RequestId(index as u128);
        if settles {
            limiter.settle(now, id, Tokens(request.used));
            continue;
        }
        match limiter.reserve(now, id, account, Tokens(request.cost)) {
            Admission::Admitted => {
                states[index] = RequestState::Started(now);
                queue.insert((now + request.duration, index, true), ());
            }
            Admission::Wait(time) => {
                queue.insert((now + time, index, false), ());
            }
            Admission::Rejected(_) => states[index] = RequestState::Rejected(now),
        }
    }
    outcome(requests, &states)
}

fn shared(
    requests: &[Request],
    configuration: Configuration,
    lost_permille: u64,
) -> (Outcome, Fleet) {
    let faults = Faults {
        lost_permille,
        duplicated_permille: lost_permille,
        max_delay: Duration::from_millis(1),
    };
    let mut fleet = Fleet::new(1, configuration, ENTRIES, faults);
    requests
        .iter()
        .for_each(|request| fleet.add(request.clone()));
    fleet.run(Timestamp::from_millis(START_MS + SPAN_MS + 5_000));
    let outcome = outcome(&fleet.requests, &fleet.states);
    (outcome, fleet)
}

fn rejections() {
    println!("Rejections and service of one account, {ENTRIES} entries in 4 data centres");
    println!(
        "{:<34} {:>8} {:>9} {:>9} {:>9} {:>8} {:>8} {:>9} {:>7} {:>8}",
        "arrivals",
        "requests",
        "central",
        "static",
        "slices",
        "wait p50",
        "wait p99",
        "service",
        "msgs/s",
        "bytes/s"
    );
    let account: AccountId = "wisla".parse().expect("a name");
    let any = |random: &mut Random| random.below(ENTRIES as u64) as usize;
    let patterns: [(&str, Vec<Request>, u64); 7] = [
        (
            "small, one entry of eight, 90%",
            steady(1, 90, 150, |_| 3),
            0,
        ),
        (
            "large costs, one entry, 90%",
            steady(2, 90, 1_500, |_| 3),
            0,
        ),
        ("bursts after idling, one entry", bursts(3), 0),
        ("uniform over entries, 90%", steady(4, 90, 150, any), 0),
        (
            "uniform, 90%, 1% lost and doubled",
            steady(4, 90, 150, any),
            10,
        ),
        ("uniform over entries, 500%", steady(5, 500, 150, any), 0),
        ("one entry, 500%", steady(6, 500, 150, |_| 3), 0),
    ];
    for (name, requests, lost) in patterns {
        let configuration = configuration(4, &account, RATE, BURST);
        let central = local(&requests, &configuration, 1);
        let split = local(&requests, &configuration, ENTRIES);
        let (slices, fleet) = shared(&requests, configuration, lost);
        let rank = |percent: usize| {
            let last = slices.waited.len().saturating_sub(1);
            slices
                .waited
                .get(last * percent / 100)
                .map_or(0, Duration::as_millis)
        };
        let service = slices.used as f64 / central.used as f64 * 100.0;
        println!(
            "{name:<34} {:>8} {:>9} {:>9} {:>9} {:>5} ms {:>5} ms {service:>7.2} % {:>7} {:>8}",
            requests.len(),
            central.rejected,
            split.rejected,
            slices.rejected,
            rank(50),
            rank(99),
            fleet.messages * 1_000 / SPAN_MS,
            fleet.bytes * 1_000 / SPAN_MS,
        );
        if let Some((from, to, excess)) = fleet.excess(RATE, BURST) {
            println!("  OVER THE BOUND by {excess} between {from} and {to}");
        }
    }
}

fn main() {
    rejections();
    scale::run();
}
