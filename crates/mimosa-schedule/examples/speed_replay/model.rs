//! Engines of a model behind the fleet scheduler, with and without speeds of single endpoints.

use std::collections::BTreeMap;
use std::collections::VecDeque;
use std::time::Duration;

use mimosa_protocol::EndpointId;
use mimosa_protocol::Timestamp;
use mimosa_protocol::Tokens;
use mimosa_protocol::configuration::EndpointRole;
use mimosa_schedule::cold::Pacing;
use mimosa_schedule::fleet::Action;
use mimosa_schedule::fleet::Event;
use mimosa_schedule::fleet::FleetScheduler;
use mimosa_schedule::fleet::GatewayRequestId;
use mimosa_schedule::fleet::PlacementRequest;
use mimosa_schedule::fleet::RunEnd;
use mimosa_schedule::fleet::Settings;
use mimosa_schedule::fleet::View;
use mimosa_schedule::fleet::ViewEndpoint;

use crate::Random;
use crate::endpoint::Noise;

const PREFILLS: usize = 10;
const ENGINES: usize = 35;
const FACTORS: [f64; 3] = [0.7, 0.7, 1.7];
const MEMORY_TOKENS: f64 = 105_738.0;
const SLOTS: usize = 32;
const PREFILL_TOKENS_PER_MS: f64 = 55.56;
const STEP_BASE_MS: f64 = 0.569;
const STEP_PER_REQUEST_MS: f64 = 0.0226;
const TARGET_MS: f64 = 900.0;
const TICK_MS: f64 = 1.0;
const RUN_MS: f64 = 60_000.0;

/// What callers of the model got.
#[derive(Default)]
pub struct Outcome {
    pub submitted: u32,
    pub in_time: u32,
    pub refused: u32,
    pub preempted: u32,
    pub by_second: Vec<(u32, u32)>,
    pub waits_ms: Vec<f64>,
}

struct Job {
    submitted_ms: f64,
    placed_ms: f64,
    prompt: f64,
    output: f64,
    decode: usize,
    generated: f64,
}

struct Engine {
    id: EndpointId,
    noise: Noise,
    prompts: VecDeque<(u64, f64)>,
    running: Vec<u64>,
    stated: u16,
}

/// How the scheduler learns of speeds.
#[derive(Clone, Copy, PartialEq)]
pub enum Knowledge {
    Service,
    Outcomes,
    OutcomesAndStated,
}

pub fn run(knowledge: Knowledge, rate: f64, seed: u64, outcome: &mut Outcome) {
    let mut random = Random(seed);
    let mut engines: Vec<Engine> = (0..ENGINES)
        .map(|at| Engine {
            id: format!("engine-{at:02}").parse().unwrap(),
            noise: Noise::new(FACTORS[at % 3], random.unit()),
            prompts: VecDeque::new(),
            running: Vec::new(),
            stated: 0,
        })
        .collect();
    let mut episodes = Random(random.next());
    let settings = Settings {
        endpoint_speeds: knowledge != Knowledge::Service,
        ..Settings::default()
    };
    let mut fleet = FleetScheduler::new(settings, Timestamp::ZERO);
    fleet.handle(at(0.0), Event::Configure(view(&engines)));
    let index: BTreeMap<EndpointId, usize> = engines
        .iter()
        .enumerate()
        .map(|(at, each)| (each.id.clone(), at))
        .collect();
    let mut jobs: BTreeMap<u64, Job> = BTreeMap::new();
    let mut seconds = vec![(0, 0); (RUN_MS / 1e3) as usize];
    let (mut now_ms, mut next_ms, mut number) = (0.0, 0.0, 0);
    while now_ms < RUN_MS || !jobs.is_empty() {
        let now = at(now_ms);
        let mut actions = Vec::new();
        while next_ms <= now_ms && now_ms < RUN_MS {
            next_ms -= (1.0 - random.unit()).ln() / rate * 1e3;
            number += 1;
            let (job, estimate) = new_job(&mut random, now_ms);
            outcome.submitted += 1;
            seconds[(now_ms / 1e3) as usize].1 += 1;
            let request = request(number, job.prompt as u64, estimate);
            jobs.insert(number, job);
            actions.extend(fleet.handle(now, Event::Submit(request)));
        }
        for engine in &mut engines {
            let factor = engine.noise.factor(now_ms, || episodes.unit());
            let mut work = TICK_MS * PREFILL_TOKENS_PER_MS / factor;
            while let Some((number, left)) = engine.prompts.front_mut() {
                if *left > work {
                    *left -= work;
                    break;
                }
                work -= *left;
                let number = *number;
                engine.prompts.pop_front();
                let Some(job) = jobs.get(&number) else {
                    continue;
                };
                let took = Duration::from_secs_f64((now_ms + 2.0 - job.placed_ms) / 1e3);
                let id = id(number);
                let stated = engine.noise.percent();
                if knowledge == Knowledge::OutcomesAndStated && engine.stated != stated {
                    engine.stated = stated;
                    let endpoint = engine.id.clone();
                    let event = Event::Stated {
                        endpoint,
                        percent: stated,
                    };
                    actions.extend(fleet.handle(now, event));
                }
                actions.extend(fleet.handle(
                    now,
                    Event::Prefilled {
                        id: id.clone(),
                        took,
                    },
                ));
                actions.extend(fleet.handle(now, Event::Started { id }));
                let waited_ms = now_ms + 60.0 - job.submitted_ms;
                outcome.waits_ms.push(waited_ms);
                if waited_ms <= TARGET_MS {
                    outcome.in_time += 1;
                    seconds[(job.submitted_ms / 1e3) as usize].0 += 1;
                }
            }
        }
        // Prompts that were processed start to decode.
        let waiting: Vec<u64> = engines
            .iter()
            .flat_map(|engine| engine.prompts.iter().map(|(number, _)| *number))
            .collect();
        for (number, job) in &jobs {
            if job.decode < ENGINES
                && !waiting.contains(number)
                && !engines[job.decode].running.contains(number)
                && engines[job.decode].running.len() < SLOTS
            {
                engines[job.decode].running.push(*number);
            }
        }
        for engine in &mut engines {
            let factor = engine.noise.current();
            let step = STEP_BASE_MS + STEP_PER_REQUEST_MS * engine.running.len() as f64;
            let tokens = TICK_MS / (step * factor);
            let mut used = 0.0;
            let mut ended = Vec::new();
            for number in &engine.running {
                let Some(job) = jobs.get_mut(number) else {
                    continue;
                };
                job.generated += tokens;
                used += job.prompt + job.generated;
                if job.generated >= job.output {
                    ended.push((*number, RunEnd::Complete(Tokens(job.output as u64))));
                } else if used > MEMORY_TOKENS {
                    outcome.preempted += 1;
                    ended.push((*number, RunEnd::Aborted));
                }
            }
            for (number, end) in ended {
                jobs.remove(&number);
                let event = Event::Ended {
                    id: id(number),
                    end,
                };
                actions.extend(fleet.handle(now, event));
            }
            engine.running.retain(|number| jobs.contains_key(number));
        }
        actions.extend(fleet.handle(now, Event::Tick));
        for action in actions {
            match action {
                Action::Place { id, placement } => {
                    let job = jobs.get_mut(&id.number).expect("it is queued");
                    job.decode = index[&placement.decode];
                    job.placed_ms = now_ms;
                    let (engine, prompt) = match &placement.prefill {
                        Some(prefill) => (index[prefill], job.prompt),
                        None => (job.decode, job.prompt * 2.0),
                    };
                    engines[engine].prompts.push_back((id.number, prompt));
                }
                Action::Refuse { id, .. } => {
                    jobs.remove(&id.number);
                    outcome.refused += 1;
                }
            }
        }
        now_ms += TICK_MS;
    }
    outcome.by_second.extend(seconds);
}

fn new_job(random: &mut Random, now_ms: f64) -> (Job, u64) {
    let output = 2_000.0 + random.unit() * 5_600.0;
    let job = Job {
        submitted_ms: now_ms,
        placed_ms: now_ms,
        prompt: 2_000.0 + random.unit() * 6_400.0,
        output,
        decode: usize::MAX,
        generated: 0.0,
    };
    (job, (output * (0.5 + random.unit())) as u64)
}

fn at(now_ms: f64) -> Timestamp {
    Timestamp::from_secs(100) + Duration::from_secs_f64(now_ms / 1e3)
}

fn id(number: u64) -> GatewayRequestId {
    GatewayRequestId {
        gateway: "gateway-1".parse().unwrap(),
        number,
    }
}

fn request(number: u64, prompt: u64, estimate: u64) -> PlacementRequest {
    PlacementRequest {
        id: id(number),
        account: None,
        prompt: Tokens(prompt),
        max_output: Tokens(8_970),
        expected_output: Some(Tokens(estimate)),
        priority: 1,
        time_to_target: Duration::from_millis(900),
        time_to_timeout: Duration::from_millis(3_600),
        data_centre: "north".parse().unwrap(),
        avoid: Vec::new(),
        exclude: Vec::new(),
        kv_cache_at: None,
        resumes: None,
        fingerprint: None,
    }
}

fn view(engines: &[Engine]) -> View {
    let endpoints = engines.iter().enumerate().map(|(at, each)| ViewEndpoint {
        id: each.id.clone(),
        data_centre: "north".parse().unwrap(),
        role: if at < PREFILLS {
            EndpointRole::Prefill
        } else {
            EndpointRole::Decode
        },
        cold_until: Timestamp::ZERO,
        version: None,
    });
    View {
        memory: Tokens(MEMORY_TOKENS as u64),
        slots: SLOTS as u32,
        cold_pacing: Pacing::single_sender(0),
        max_pause: Some(Duration::from_millis(300)),
        endpoints: endpoints.collect(),
        rollout: None,
        weights: None,
    }
}
