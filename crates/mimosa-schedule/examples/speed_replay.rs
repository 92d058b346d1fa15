//! Compares ways to find out how fast the endpoints of a plain service are, in virtual time.
//!
//! Run: `cargo run --release -p mimosa-schedule --example speed_replay`
//!
//! The load: 73 gateways send 196 requests/s with 15 ms of work to three endpoints whose work takes
//! 0.7, 0.7 and 1.7 times as long. For 600 ms at a time, 15% of the time in all, an endpoint takes
//! another 2.5 times as long.

use std::time::Duration;

use mimosa_protocol::Timestamp;

#[path = "speed_replay/endpoint.rs"]
mod endpoint;
#[path = "speed_replay/model.rs"]
mod model;
#[path = "speed_replay/policy.rs"]
mod policy;

use crate::endpoint::Endpoint;
use crate::endpoint::Job;
use crate::model::Knowledge;
use crate::model::Outcome;
use crate::policy::Alone;
use crate::policy::Answer;
use crate::policy::Equal;
use crate::policy::Kind;
use crate::policy::Little;
use crate::policy::Load;
use crate::policy::Model;
use crate::policy::Policy;

const ENDPOINTS: usize = 3;
const SLOTS: usize = 16;
const GATEWAYS: usize = 73;
const RATE_PER_S: f64 = 196.0;
const WORK_MS: f64 = 15.0;
const FACTORS: [f64; ENDPOINTS] = [0.7, 0.7, 1.7];
const TARGET: Duration = Duration::from_millis(120);
const STEP_MS: f64 = 0.5;
/// One-way delay between a gateway and an endpoint.
const LINK_MS: f64 = 0.5;
const RUN_MS: f64 = 60_000.0;

struct Random(u64);

impl Random {
    fn next(&mut self) -> u64 {
        self.0 = self.0.wrapping_add(0x9e37_79b9_7f4a_7c15);
        let z = (self.0 ^ (self.0 >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
        let z = (z ^ (z >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
        z ^ (z >> 31)
    }

    fn unit(&mut self) -> f64 {
        (self.next() >> 11) as f64 / (1_u64 << 53) as f64
    }
}

/// What callers got.
#[derive(Default)]
struct Score {
    durations_ms: Vec<f64>,
    in_time_by_second: Vec<(u32, u32)>,
    by_endpoint: [u32; ENDPOINTS],
    asked: u32,
}

fn run(policy: &mut dyn Policy, knees: [f64; ENDPOINTS], seed: u64, score: &mut Score) {
    // The endpoints and arrivals of a seed are the same for all policies.
    let mut random = Random(seed);
    let mut choices = Random(!seed);
    let mut endpoints: Vec<Endpoint> = FACTORS
        .iter()
        .zip(knees)
        .map(|(factor, knee)| Endpoint::new(*factor, SLOTS, knee, random.unit()))
        .collect();
    let mut episodes: [Random; ENDPOINTS] = std::array::from_fn(|_| Random(random.next()));
    let mut in_flight = vec![[0; ENDPOINTS]; GATEWAYS];
    let mut seconds = vec![(0, 0); (RUN_MS / 1_000.0) as usize];
    let mut next_ms = 0.0;
    let mut next_exchange_ms = 1_000.0;
    let mut now_ms = 0.0;
    while now_ms < RUN_MS {
        let now = Timestamp::from_secs(100) + Duration::from_secs_f64(now_ms / 1e3);
        while next_ms <= now_ms {
            next_ms -= (1.0 - random.unit()).ln() / RATE_PER_S * 1e3;
            let gateway = (random.next() % GATEWAYS as u64) as usize;
            let probe = |at: usize| Load {
                running: endpoints[at].running(),
                waiting: endpoints[at].waiting(),
                percent: endpoints[at].percent(),
            };
            let at = policy.choose(now, gateway, &in_flight[gateway], &probe, choices.next());
            in_flight[gateway][at] += 1;
            score.by_endpoint[at] += 1;
            endpoints[at].add(Job {
                gateway,
                sent_ms: now_ms,
                work_left: WORK_MS,
            });
        }
        for at in 0..ENDPOINTS {
            let done = endpoints[at].work(now_ms, STEP_MS, || episodes[at].unit());
            for job in done {
                let took_ms = now_ms + STEP_MS - job.sent_ms + 2.0 * LINK_MS;
                let took = Duration::from_secs_f64(took_ms / 1e3);
                in_flight[job.gateway][at] -= 1;
                score.durations_ms.push(took_ms);
                let second = &mut seconds[(job.sent_ms / 1e3) as usize];
                second.1 += 1;
                second.0 += u32::from(took <= TARGET);
                let answer = Answer {
                    gateway: job.gateway,
                    endpoint: at,
                    took,
                    running: endpoints[at].running() + 1,
                    waiting: endpoints[at].waiting(),
                    percent: endpoints[at].percent(),
                };
                policy.on_answer(now, &answer);
            }
        }
        if now_ms >= next_exchange_ms {
            next_exchange_ms += 1_000.0;
            policy.exchange(now);
        }
        now_ms += STEP_MS;
    }
    // Requests that have not ended are late.
    for second in &mut seconds {
        second.1 = second.1.max(1);
    }
    score.in_time_by_second.extend(seconds);
}

fn main() {
    print_model();
    let kinds = [
        ("present selection", 0),
        ("equal shares", 1),
        ("peak EWMA, two choices", 2),
        ("AIMD limits", 3),
        ("gradient limits", 4),
        ("Little's law, merged", 5),
        ("step time model, alone", 6),
        ("step time model, merged", 7),
        ("  endpoints asked, alone", 8),
        ("  endpoints asked, merged", 9),
    ];
    for knees in [[2.0; 3], [2.0, 16.0, 4.0], [16.0; 3]] {
        println!("work slows down beyond {knees:?} running requests");
        println!(
            "| selection | in 120 ms | worst second | p50 ms | p99 ms | shares | calls/request |"
        );
        println!("|---|---|---|---|---|---|---|");
        for (name, kind) in kinds {
            let mut score = Score::default();
            for seed in 1..=8 {
                let mut policy: Box<dyn Policy> = match kind {
                    0 => Box::new(Alone::new(GATEWAYS, Kind::Present)),
                    1 => Box::new(Equal),
                    2 => Box::new(Alone::new(GATEWAYS, Kind::PeakEwma)),
                    3 => Box::new(Alone::new(GATEWAYS, Kind::Aimd)),
                    4 => Box::new(Alone::new(GATEWAYS, Kind::Gradient)),
                    5 => Box::new(Little::new()),
                    6 => Box::new(Model::new(GATEWAYS, false, false)),
                    7 => Box::new(Model::new(GATEWAYS, true, false)),
                    8 => Box::new(Model::new(GATEWAYS, false, true)),
                    _ => Box::new(Model::new(GATEWAYS, true, true)),
                };
                run(policy.as_mut(), knees, seed, &mut score);
                score.asked += policy.asked();
            }
            print_row(name, score);
        }
    }
}

fn print_model() {
    println!("35 engines of a model behind the fleet scheduler, first output within 900 ms");
    println!(
        "| requests/s | knowledge | in time | worst second | refused | preempted | p50 ms | p99 ms |"
    );
    println!("|---|---|---|---|---|---|---|---|");
    let kinds = [
        ("service", Knowledge::Service),
        ("outcomes", Knowledge::Outcomes),
        ("outcomes and stated", Knowledge::OutcomesAndStated),
    ];
    for rate in [60.0, 75.0, 90.0] {
        for (name, knowledge) in kinds {
            let mut outcome = Outcome::default();
            for seed in 1..=4 {
                model::run(knowledge, rate, seed, &mut outcome);
            }
            outcome.waits_ms.sort_by(f64::total_cmp);
            let waits = &outcome.waits_ms;
            let at = |share: f64| waits[(waits.len() as f64 * share) as usize];
            let submitted = f64::from(outcome.submitted);
            let seconds = outcome.by_second.iter();
            let worst = seconds
                .map(|(in_time, all)| f64::from(*in_time) / f64::from(*all))
                .fold(1.0, f64::min);
            println!(
                "| {rate} | {name} | {:.2}% | {:.0}% | {:.2}% | {} | {:.0} | {:.0} |",
                f64::from(outcome.in_time) * 100.0 / submitted,
                worst * 100.0,
                f64::from(outcome.refused) * 100.0 / submitted,
                outcome.preempted,
                at(0.5),
                at(0.99),
            );
        }
    }
}

fn print_row(name: &str, mut score: Score) {
    score.durations_ms.sort_by(f64::total_cmp);
    let at = |share: f64| score.durations_ms[(score.durations_ms.len() as f64 * share) as usize];
    let sent: u32 = score.by_endpoint.iter().sum();
    let in_time: u32 = score.in_time_by_second.iter().map(|each| each.0).sum();
    let seconds = score.in_time_by_second.iter();
    let worst = seconds
        .map(|(in_time, all)| f64::from(*in_time) / f64::from(*all))
        .fold(1.0, f64::min);
    let shares = score.by_endpoint.map(|each| each * 100 / sent);
    println!(
        "| {name} | {:.2}% | {:.0}% | {:.1} | {:.0} | {}/{}/{} | {:.2} |",
        f64::from(in_time) * 100.0 / f64::from(sent),
        worst * 100.0,
        at(0.5),
        at(0.99),
        shares[0],
        shares[1],
        shares[2],
        f64::from(score.asked) / f64::from(sent)
    );
}
